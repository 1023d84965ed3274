//! Calls between members: incoming calls, and replies to outgoing calls.

use {
    super::Core,
    crate::{
        event::{Call, CallReply, Order, Ticket},
        http::Failure,
        ids::{Incarnation, bucket_of},
        messages::{ClaimReply, ClaimVerdict},
        time::Time,
    },
    std::time::Duration,
};

impl Core {
    /// Calls a peer.
    pub(crate) fn call(&mut self, to: Incarnation, call: Call) {
        if let Some(addr) = self.ownership.members().get(&to).map(|m| m.control) {
            self.out.push(Order::Call(to, addr, Box::new(call)));
        } else {
            self.unreached.push((to, call));
        }
    }

    /// Replies to a peer's call, at once or when its claim is decided.
    pub(super) fn on_call(&mut self, ticket: Ticket, call: Call, now: Time) {
        if let Call::Claim(ask) = call {
            if !self.jobs.owns(bucket_of(ask.key.as_str())) {
                let verdict = ClaimVerdict::Unowned;
                let reply = ClaimReply { verdict, status: None, answer: None, holder: None };
                self.out.push(Order::ReplyPeer(ticket, CallReply::Claim(reply)));
                return;
            }
            self.claims.insert(ask.request, ticket);
            return self.jobs.claim(ask, now);
        }
        if let Call::ClaimEnd(end) = call {
            return match self.jobs.owns(bucket_of(end.key.as_str())) {
                true => self.jobs.claim_end(end, ticket),
                false => self.out.push(Order::ReplyPeer(ticket, CallReply::Unowned)),
            };
        }
        if let Call::Reserve(ask) = call {
            return self.reserve_here(Some(ticket), ask, now);
        }
        let back = self.serve(call, now).unwrap_or(CallReply::Unowned);
        self.out.push(Order::ReplyPeer(ticket, back));
    }

    /// Serves a call. Returns `None` if this member does not own the call's subject.
    pub(super) fn serve(&mut self, call: Call, now: Time) -> Option<CallReply> {
        match call {
            Call::Beat(beat) => Some(CallReply::Beat(self.on_beat(beat, now))),
            Call::Claim(_) | Call::ClaimEnd(_) => None,
            Call::ClaimProbe(probe) => self.holder_state(&probe).map(CallReply::ClaimProbe),
            Call::Reserve(ask) => Some(CallReply::Reserve(self.racks.reserve(&ask, now))),
            Call::Release(rows) => {
                self.racks.release(&rows.rows, now);
                Some(CallReply::Done)
            }
            Call::Start(ask) => self.racks.start(ask, now).map(CallReply::Start),
            Call::End(word) => {
                self.jobs.update_attempts(word.bucket, &word.items, now).then_some(CallReply::Done)
            }
            Call::Probe(ask) => self.racks.probe(&ask, now).map(CallReply::Probe),
            Call::Handover(over) => {
                if !self.racks.handover(&over, now) {
                    self.early_handovers.push((over, now));
                }
                Some(CallReply::Done)
            }
            Call::Config() => {
                Some(CallReply::Config(self.config.record().map(|(rev, r)| (rev, r.clone()))))
            }
        }
    }

    /// Handles a peer's reply.
    pub(super) fn on_reply(
        &mut self,
        to: Incarnation,
        call: Call,
        back: Result<CallReply, Failure>,
        now: Time,
    ) {
        if let Some(peer) = self.peers.get_mut(&to)
            && back.is_ok()
        {
            peer.last_heard = now;
        }
        match (call, back) {
            (Call::Beat(_), Ok(CallReply::Beat(reply))) => {
                if let Some(peer) = self.peers.get_mut(&to) {
                    peer.in_flight = false;
                    peer.kv_contact = peer.kv_contact.max(now - Duration::from_millis(reply.kv));
                }
                self.fetch_newer(to, reply.version, now);
            }
            (Call::Claim(ask), Ok(CallReply::Claim(reply))) => {
                self.claimed(ask.request, Some(reply), now);
            }
            (Call::ClaimProbe(probe), Ok(CallReply::ClaimProbe(state))) => {
                self.holder_replied(probe.request, Some(state), now);
            }
            (Call::ClaimEnd(end), back) => {
                self.end_replied(&end, matches!(back, Ok(CallReply::Done)))
            }
            (Call::Reserve(ask), Ok(CallReply::Reserve(reply))) => {
                self.on_reserve_reply(to, ask, reply, now)
            }
            (Call::Start(ask), Ok(CallReply::Start(reply))) => {
                if let Some(first) = ask.start.first() {
                    self.jobs.update_attempts(first.bucket, &reply.refused, now);
                }
            }
            (Call::End(word), Ok(CallReply::Done)) => self.racks.acknowledge(&word.items),
            (Call::Probe(ask), Ok(CallReply::Probe(reply))) => self.jobs.probed(&ask, reply, now),
            (Call::Handover(over), Ok(_)) => {
                self.handovers
                    .retain(|p| p.handover.rack != over.rack || p.handover.epoch != over.epoch);
            }
            (Call::Config(), back) => {
                self.fetching = false;
                if let Ok(CallReply::Config(Some((revision, record)))) = back {
                    self.take_config(revision, record);
                }
            }
            (call, _) => self.call_failed(to, call, now),
        }
    }

    /// Handles a call that got no reply.
    pub(super) fn call_failed(&mut self, to: Incarnation, call: Call, now: Time) {
        match call {
            Call::Beat(_) => {
                if let Some(peer) = self.peers.get_mut(&to) {
                    peer.in_flight = false;
                }
            }
            Call::Claim(ask) => self.claimed(ask.request, None, now),
            Call::ClaimProbe(probe) => self.holder_replied(probe.request, None, now),
            Call::Reserve(ask) => self.reserved(ask, None, now),
            _ => {}
        }
    }
}
