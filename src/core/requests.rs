//! The course of a request through this member: admission, claim, queue, dispatch and reply.

use {
    super::{Core, claims::RETRY_DELAY},
    crate::{
        decide::{
            admit::Gate,
            fair::{Item, Queue},
        },
        error::{Error, Kind},
        event::{ClientRequest, Forward, Order, Outcome, Run, Ticket, Verdict},
        http::Failure,
        ids::{Incarnation, RequestId, ServiceId, WorkerId},
        requests::{Claim, Pending, ServiceRequests, Stage},
        text::Service,
        time::Time,
    },
    fastrand::Rng,
    rustc_hash::FxHashMap,
    std::time::Duration,
};

/// A request counts as long, and leaves some slots to others, if it is expected to run this many
/// times the service's usual run time. With a smaller factor, the variation of usual requests would
/// count as long.
const LONG_FACTOR: u32 = 4;
/// A request waits for racks to change owner only if its service had an endpoint within this time;
/// otherwise it is refused at once.
const RECENT_ENDPOINT: Duration = Duration::from_secs(10);
/// How long a slot stays taken after the request's lease: the drift of two clocks and one transit.
const SLOT_MARGIN: Duration = Duration::from_millis(500);

impl Core {
    /// Admits a request.
    pub(crate) fn ask(&mut self, ask: ClientRequest, now: Time) {
        let ticket = ask.ticket;
        let refused = match self.config.plan().services.get(&ask.service) {
            _ if !self.current(now) => {
                self.log_stale(now);
                Kind::Stale
            }
            None if self.config.version().0 == 0 => Kind::Stale,
            None => Kind::UnknownService,
            Some(service) => {
                let deadline = ask.deadline.unwrap_or(now + service.deadline);
                return self.admit(ask, deadline, now);
            }
        };
        self.reply(ticket, Err(refused.into()));
    }

    /// Handles a caller that hung up: its request is dropped unless it was dispatched.
    pub(crate) fn hung_up(&mut self, ticket: Ticket, now: Time) {
        let Some(id) = self.requests.tickets.get(&ticket).copied() else { return };
        if self.requests.table.get(&id).is_some_and(|p| p.stage == Stage::Waiting) {
            self.finish(id, Err(Kind::Expired.into()), now);
        }
    }

    /// Handles the outcome of a dispatch to one of this member's endpoints.
    pub(crate) fn dispatch_ended(
        &mut self,
        request: RequestId,
        worker: &WorkerId,
        outcome: Outcome,
        now: Time,
    ) {
        let ran = !matches!(outcome, Outcome::Refused(_) | Outcome::Failed(Failure::Unsent));
        let mut times = (Duration::ZERO, Duration::ZERO);
        for line in self.requests.services.values_mut() {
            if let Some((item, at)) = line.running.remove(&request) {
                times = (item.run_time, now - at);
                line.queue.record_end(&item, if ran { now - at } else { Duration::ZERO });
            }
        }
        self.racks.finish(request, worker, &outcome, times, now);
        self.settle(request, outcome, now);
        self.pump(now);
    }

    /// Handles the outcome of a forwarded request.
    pub(crate) fn forwarded(
        &mut self,
        request: RequestId,
        to: Incarnation,
        outcome: Outcome,
        now: Time,
    ) {
        let answered = matches!(outcome, Outcome::Answered(_));
        if let Some(p) = self.requests.table.get(&request).filter(|_| !answered)
            && let Some(spread) = self.requests.spreads.get_mut(&p.ask.service)
        {
            spread.record_refusal(to);
        }
        if let Outcome::Refused(e) = &outcome
            && matches!(e.kind(), Kind::NoEndpoint | Kind::Draining)
            && self.requests.table.get_mut(&request).is_some_and(|p| p.may_retry(now))
        {
            // The peer's racks have changed owner since its beat. No endpoint was involved, and the
            // peer gets no more requests until its next beat. The retry budget, which limits the
            // load on failing endpoints, is therefore not charged.
            return self.route(request, now);
        }
        self.settle(request, outcome, now);
    }

    /// Fails the requests that can no longer run in time, retries those that are due, and resends
    /// notices of the ends of claims.
    pub(crate) fn expire(&mut self, now: Time) {
        let mut late = vec![];
        for line in self.requests.services.values_mut() {
            for item in line.queue.expire(now) {
                late.push((item.id, line.gate.expiry_error(&line.queue, &item, now)));
            }
        }
        for (id, error) in late {
            self.finish(id, Err(error), now);
        }
        self.expire_claims(now);
        while self.requests.retries.first().is_some_and(|(at, _)| *at <= now) {
            let Some((_, id)) = self.requests.retries.pop_first() else { break };
            match self.requests.table.get(&id).map(|p| &p.stage) {
                Some(Stage::Claiming) => self.claim(id, now),
                Some(Stage::Waiting) => self.route(id, now),
                _ => {}
            }
        }
        self.resend_ends(now);
        self.pump(now);
    }

    /// Dispatches waiting requests to free slots.
    pub(crate) fn pump(&mut self, now: Time) {
        // An owner whose lease has expired may have been replaced.
        if !self.may_dispatch(now) {
            return;
        }
        let plan = self.config.plan().clone();
        for (id, service) in &plan.services {
            let (slots, _) = self.racks.slots(&service.pool, now);
            let Some(line) = self.requests.services.get_mut(id) else { continue };
            line.queue.resize(slots);
            if slots == 0 {
                self.move_on(id, now);
                continue;
            }
            while self.requests.waiting(id) > 0 {
                let Some(worker) = self.racks.choose(&service.pool, now) else { break };
                let Some(line) = self.requests.services.get_mut(id) else { break };
                let Some(item) = line.gate.pop(&mut line.queue, now) else {
                    self.racks.unchoose(&worker);
                    break;
                };
                self.dispatch(worker, item, now);
            }
        }
    }

    /// Routes the waiting requests of a service again, as its racks have passed to another member.
    fn move_on(&mut self, service: &ServiceId, now: Time) {
        let Some(line) = self.requests.services.get_mut(service).filter(|l| !l.queue.is_empty())
        else {
            return;
        };
        let all = self.requests.table.iter();
        let waiting: Vec<RequestId> = all
            .filter(|(_, p)| p.stage == Stage::Waiting && p.ask.service == *service)
            .map(|(id, _)| *id)
            .filter(|id| line.queue.cancel(*id).is_some())
            .collect();
        for id in waiting {
            self.route(id, now);
        }
    }

    fn admit(&mut self, ask: ClientRequest, deadline: Time, now: Time) {
        let (id, ticket) = (ask.id, ask.ticket);
        if deadline <= now {
            return self.reply(ticket, Err(Kind::Late.into()));
        }
        if self.requests.table.contains_key(&id) {
            return self.reply(ticket, Err(Kind::BadRequest.into()));
        }
        let claim = ask.key.clone().map(|key| Claim { key, ask: id });
        let stage = if claim.is_some() { Stage::Claiming } else { Stage::Waiting };
        let tries = ask.hops;
        let keyed = claim.is_some();
        let p = Pending { ask, deadline, retry_until: None, stage, claim, tries };
        self.requests.tickets.insert(ticket, id);
        self.requests.table.insert(id, p);
        if keyed { self.claim(id, now) } else { self.route(id, now) }
    }

    /// Queues a request for a slot here, or forwards it to a peer that is expected to serve it
    /// sooner.
    pub(super) fn route(&mut self, id: RequestId, now: Time) {
        let Some(p) = self.requests.table.get_mut(&id) else { return };
        p.stage = Stage::Waiting;
        let (name, hops, tries) = (p.ask.service.clone(), p.ask.hops, p.tries);
        let Some(service) = self.config.plan().services.get(&name).cloned() else {
            return self.finish(id, Err(Kind::UnknownService.into()), now);
        };
        self.requests.budget.record_try(tries);
        let (slots, free) = self.racks.slots(&service.pool, now);
        let able = slots > 0 && self.may_dispatch(now);
        if able || self.requests.served(&name) {
            self.requests.last_served.insert(name.clone(), now);
        }
        let idle = able && free as usize > self.requests.waiting(&name);
        if hops == 0 && !idle {
            let wait = match able {
                true => self.requests.wait(&name, &service, now),
                false => Duration::MAX,
            };
            let spread = self.requests.spreads.get_mut(&name);
            let to = spread.and_then(|s| s.pick_peer(wait, service.run, now));
            if to.is_some_and(|to| self.forward(id, to, now)) {
                return;
            }
        }
        let Err(error) = self.wait(id, &name, &service, slots, now) else {
            return self.pump(now);
        };
        let lively =
            self.requests.last_served.get(&name).is_some_and(|at| now - *at < RECENT_ENDPOINT);
        let patient = self.requests.table.get_mut(&id).is_some_and(|p| p.may_retry(now));
        if error.kind() == Kind::NoEndpoint && hops == 0 && lively && patient {
            // The service's racks are changing owner; the new owner is known within milliseconds.
            self.requests.retries.insert((now + RETRY_DELAY, id));
            return;
        }
        self.finish(id, Err(error), now);
    }

    fn wait(
        &mut self,
        id: RequestId,
        name: &ServiceId,
        service: &Service,
        slots: u32,
        now: Time,
    ) -> Result<(), Error> {
        let Some(p) = self.requests.table.get(&id) else { return Ok(()) };
        let item = Item {
            id,
            caller: p.ask.caller.clone(),
            team: service.team.clone(),
            arrived_at: now,
            deadline: p.deadline,
            run_time: p.ask.run.unwrap_or(service.run),
        };
        let seed = self.me().0;
        let line = self.requests.services.entry(name.clone()).or_insert_with(|| ServiceRequests {
            gate: Gate::new(Rng::with_seed(seed)),
            queue: Queue::new(slots, service.run * LONG_FACTOR),
            running: FxHashMap::default(),
        });
        line.queue.resize(slots);
        line.gate.admit(&mut line.queue, item, now)
    }

    /// Dispatches the next request to an endpoint with a free slot.
    fn dispatch(&mut self, worker: WorkerId, item: Item, now: Time) {
        let id = item.id;
        let Some(p) = self.requests.table.get_mut(&id) else { return };
        let Some(spot) = self.racks.take(worker.clone(), id, p.deadline + SLOT_MARGIN) else {
            self.racks.unchoose(&worker);
            return self.finish(id, Err(Kind::NoEndpoint.into()), now);
        };
        p.stage = Stage::Running;
        p.tries += 1;
        let run = Run {
            request: id,
            worker: spot.worker,
            addr: spot.addr,
            epoch: spot.epoch,
            lease: p.deadline - now,
            until: p.deadline,
            run: p.ask.run,
            load: p.ask.load.clone(),
        };
        if let Some(line) = self.requests.services.get_mut(&p.ask.service) {
            line.running.insert(id, (item, now));
        }
        self.out.push(Order::Run(Box::new(run)));
    }

    /// Forwards a request to a peer. Returns false if the peer is not registered any more.
    fn forward(&mut self, id: RequestId, to: Incarnation, now: Time) -> bool {
        let Some(addr) = self.ownership().members().get(&to).map(|m| m.bodies) else {
            return false;
        };
        let Some(p) = self.requests.table.get_mut(&id) else { return false };
        p.stage = Stage::Forwarded(to);
        p.tries += 1;
        let forward = Forward {
            to,
            addr,
            request: id,
            service: p.ask.service.clone(),
            caller: p.ask.caller.clone(),
            left: p.deadline - now,
            run: p.ask.run,
            hops: p.ask.hops + 1,
            load: p.ask.load.clone(),
        };
        self.out.push(Order::Forward(Box::new(forward)));
        true
    }

    /// Decides whether an outcome is final or the request is tried again.
    ///
    /// Only a request that certainly did not run is tried again. A second dispatch of a request
    /// that may be running would run it in two places.
    fn settle(&mut self, id: RequestId, outcome: Outcome, now: Time) {
        let Some(p) = self.requests.table.get(&id) else { return };
        let error: Error = match outcome {
            Outcome::Answered(answer) => return self.finish(id, Ok(answer), now),
            Outcome::Refused(e) => e,
            Outcome::Failed(Failure::Unsent) => Kind::NoEndpoint.into(),
            Outcome::Failed(Failure::Broken | Failure::TooLarge(_)) => Kind::Broken.into(),
            Outcome::Failed(Failure::Timeout) => Kind::Timeout.into(),
        };
        let (kind, late) = (error.kind(), p.deadline <= now);
        let caller = p.ask.caller.clone();
        match self.requests.budget.spend_retry(&caller, error, p.tries, now) {
            Ok(()) if !late => {
                self.metrics.count_retry(kind);
                self.route(id, now);
            }
            Ok(()) => self.finish(id, Err(kind.into()), now),
            Err(error) => self.finish(id, Err(error), now),
        }
    }

    /// Sends a request its final reply.
    pub(super) fn finish(&mut self, id: RequestId, verdict: Verdict, now: Time) {
        let Some(p) = self.requests.table.remove(&id) else { return };
        self.requests.tickets.remove(&p.ask.ticket);
        if p.stage == Stage::Waiting
            && let Some(line) = self.requests.services.get_mut(&p.ask.service)
        {
            line.queue.cancel(id);
        }
        if let Some(claim) = p.claim {
            self.end_claim(claim, &verdict, now);
        }
        self.reply(p.ask.ticket, verdict);
    }

    fn reply(&mut self, ticket: Ticket, verdict: Verdict) {
        self.metrics.count_verdict(&verdict);
        self.out.push(Order::Reply(ticket, verdict));
    }
}
