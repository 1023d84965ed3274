//! Carries out what a member's buckets request: reservations, starts, probes, and notices of
//! attempts that ended.

use {
    super::{CONTACT_TIMEOUT, Core, PREEMPT_TIMEOUT, Urgent, rack_row},
    crate::{
        event::{Call, CallReply, Order, Ticket},
        ids::{Incarnation, RackId, TaskId},
        jobs::{JobRequest, peer_call},
        messages::{EndTell, RackLoad, ReserveAsk, ReserveReply},
        requests::OWN_END_MARK,
        time::Time,
    },
    std::mem,
};

impl Core {
    /// Runs the jobs' periodic work and carries out what the buckets request.
    pub(super) fn run_jobs(&mut self, now: Time) {
        let lease_end = self.lease_end(now);
        let racks = if self.jobs.scan_due(now) { self.all_racks(now) } else { vec![] };
        let requests = self.jobs.tick(now, lease_end, &racks, &mut self.out);
        self.carry_out(requests, now);
    }

    pub(super) fn carry_out(&mut self, requests: Vec<JobRequest>, now: Time) {
        for request in requests {
            match request {
                JobRequest::Claimed(request, reply) => match self.claims.remove(&request) {
                    Some(ticket) => {
                        self.out.push(Order::ReplyPeer(ticket, CallReply::Claim(reply)))
                    }
                    None => self.claimed(request, Some(reply), now),
                },
                JobRequest::EndCommitted(ticket) if ticket & OWN_END_MARK != 0 => {
                    self.end_committed(ticket)
                }
                JobRequest::EndCommitted(ticket) => {
                    self.out.push(Order::ReplyPeer(ticket, CallReply::Done))
                }
                JobRequest::Reserve(ask) => self.reserve(ask, now),
                JobRequest::Release(ref rack, _) => self.at_rack(rack.clone(), request, now),
                JobRequest::Start(ref ask) => self.at_rack(ask.rack.clone(), request, now),
                JobRequest::Probe(ref ask) => self.at_rack(ask.rack.clone(), request, now),
            }
        }
    }

    /// The time until which no other member can take over from this one; `None` without a lease.
    pub(super) fn lease_end(&self, now: Time) -> Option<Time> {
        self.ownership.leased_until().filter(|_| self.ownership.leased(now))
    }

    /// Sends a request of the buckets to the owner of a rack, which may be this member.
    pub(super) fn at_rack(&mut self, rack: RackId, request: JobRequest, now: Time) {
        let Some((owner, _)) = self.ownership.owner(&rack_row(&rack)) else { return };
        let Some(call) = peer_call(request) else { return };
        if owner != self.me() {
            return self.call(owner, call);
        }
        if let Some(back) = self.serve(call.clone(), now) {
            self.on_reply(owner, call, Ok(back), now);
        }
    }

    /// Sends a reservation request to the member most likely to have room.
    pub(super) fn reserve(&mut self, ask: ReserveAsk, now: Time) {
        if let Some(rack) = &ask.rack {
            return match self.ownership.owner(&rack_row(rack)) {
                Some((owner, _)) if owner == self.me() => self.reserve_here(None, ask, now),
                Some((owner, _)) => self.call(owner, Call::Reserve(ask)),
                None => self.reserved(ask, None, now),
            };
        }
        let Some(first) = ask.items.first() else { return };
        let (size, spread, urgent) = (first.size, first.spread, first.urgent);
        let mine = self.racks.loads();
        let mut best: Option<(bool, u64, Incarnation)> = None;
        let peers = self.peers.iter().filter(|(_, p)| now - p.last_heard < CONTACT_TIMEOUT);
        let theirs = peers.filter_map(|(id, p)| Some((*id, &p.beat.as_ref()?.racks)));
        for (id, racks) in theirs.chain([(self.me(), &mine)]) {
            if ask.tried.contains(&id) {
                continue;
            }
            for rack in racks.iter().filter(|r| r.pool == ask.pool) {
                let full = !size.fits(&rack.widest);
                // If no rack has room, an owner can make some for urgent work.
                if full && !(urgent && rack.workers > 0) {
                    continue;
                }
                let free = rack.free.cores.0;
                let rank = (full, if spread { u64::MAX - free } else { free }, id);
                if best.is_none_or(|b| rank < b) {
                    best = Some(rank);
                }
            }
        }
        match best {
            None => self.reserved(ask, None, now),
            Some((.., id)) if id == self.me() => self.reserve_here(None, ask, now),
            Some((.., id)) => self.call(id, Call::Reserve(ask)),
        }
    }

    /// Reserves room on this member's racks. For urgent work, replies once room has been made.
    pub(super) fn reserve_here(&mut self, ticket: Option<Ticket>, ask: ReserveAsk, now: Time) {
        let reply = match self.may_dispatch(now) {
            true => self.racks.reserve(&ask, now),
            false => ReserveReply { rows: vec![] },
        };
        if reply.rows.is_empty() && self.racks.preempt(&ask, now) {
            self.urgent.push(Urgent { ticket, ask, until: now + PREEMPT_TIMEOUT });
            return;
        }
        self.reserve_answer(ticket, ask, reply, now);
    }

    pub(super) fn reserve_answer(
        &mut self,
        ticket: Option<Ticket>,
        ask: ReserveAsk,
        reply: ReserveReply,
        now: Time,
    ) {
        match ticket {
            Some(ticket) => self.out.push(Order::ReplyPeer(ticket, CallReply::Reserve(reply))),
            None => self.on_reserve_reply(self.me(), ask, reply, now),
        }
    }

    /// Replies to the urgent reservations whose room has been made or whose wait is over.
    pub(super) fn answer_urgent(&mut self, now: Time) {
        for u in mem::take(&mut self.urgent) {
            let reply = self.racks.reserve(&u.ask, now);
            if reply.rows.is_empty() && now < u.until {
                self.urgent.push(u);
            } else {
                self.reserve_answer(u.ticket, u.ask, reply, now);
            }
        }
    }

    /// Handles the reply of one owner; items that it had no room for are requested from the next
    /// one.
    ///
    /// An owner may have room according to its beat, but none on a worker that the attempt may use.
    /// If that owner were asked first each time, the attempt would wait forever.
    pub(super) fn on_reserve_reply(
        &mut self,
        by: Incarnation,
        ask: ReserveAsk,
        reply: ReserveReply,
        now: Time,
    ) {
        if ask.rack.is_some() {
            return self.reserved(ask, Some(reply), now);
        }
        let placed = |task: &TaskId| reply.rows.iter().any(|r| r.task == *task);
        let (done, left): (Vec<_>, Vec<_>) =
            ask.items.iter().cloned().partition(|i| placed(&i.task));
        if !left.is_empty() {
            let mut tried = ask.tried.clone();
            tried.push(by);
            self.reserve(ReserveAsk { items: left, tried, ..ask.clone() }, now);
        }
        if !done.is_empty() {
            self.reserved(ReserveAsk { items: done, ..ask }, Some(reply), now);
        }
    }

    pub(super) fn reserved(&mut self, ask: ReserveAsk, reply: Option<ReserveReply>, now: Time) {
        let requests = self.jobs.reserved(&ask, reply, now);
        self.carry_out(requests, now);
    }

    /// The free resources of all racks, as far as this member knows them.
    pub(super) fn all_racks(&self, now: Time) -> Vec<RackLoad> {
        let peers = self.peers.values().filter(|p| now - p.last_heard < CONTACT_TIMEOUT);
        let theirs = peers.filter_map(|p| p.beat.as_ref()).flat_map(|b| b.racks.iter().cloned());
        theirs.chain(self.racks.loads()).collect()
    }

    /// Reports the states of attempts to the owners of their buckets.
    pub(super) fn report_attempts(&mut self, now: Time) {
        for (bucket, items) in self.racks.pending_reports() {
            match self.bucket_owner(bucket) {
                Some(owner)
                    if owner == self.me() && self.jobs.update_attempts(bucket, &items, now) =>
                {
                    self.racks.acknowledge(&items);
                }
                Some(owner) => self.call(owner, Call::End(EndTell { bucket, items })),
                None => {}
            }
        }
    }
}
