//! Fences, polls and orders that are sent to a worker, and the worker's answers to orders.

use {
    super::{
        Racks,
        link::{RETRY_PAUSE, SILENCE_MAX, Start, attempt_order, is_for},
    },
    crate::{
        Time,
        attempts::{LEASE, MAX_TRANSIT},
        event::Order,
        http::Failure,
        ids::{Attempt, TaskId, WorkerId},
        ledger::Held,
        messages::{TaskOrder, TaskState, WorkerAsk, WorkerReply},
        time::millis,
    },
    std::time::Duration,
};

/// How long an attempt's lease is renewed without a probe or order from its bucket's owner.
///
/// Longer than a bucket takes to change its owner twice; a probe arrives every two seconds.
pub(super) const VOUCH_TTL: Duration = Duration::from_secs(60);
/// The longest pause between two ticks after which silence still counts; after a longer one the
/// workers were not polled.
const TICK_GAP_MAX: Duration = Duration::from_secs(1);
/// How often a worker whose leases have lapsed is checked.
const LAPSED_CHECK: Duration = Duration::from_millis(500);

impl Racks {
    /// Sends what is due: fences, report polls, renewals, starts and stops; nothing without a lease.
    pub fn tick(&mut self, now: Time, leased: bool, out: &mut Vec<Order>) {
        self.expire(now);
        if !leased {
            return;
        }
        self.reset_silence(now);
        while let Some((at, worker)) = self.agenda.first().cloned()
            && at <= now
        {
            self.agenda.pop_first();
            let Some(link) = self.links.get_mut(&worker).filter(|l| l.wake_at == at) else {
                continue;
            };
            link.wake_at = Time::NEVER;
            self.process(&worker, now, out);
            self.reschedule(&worker, now);
        }
    }

    /// Processes a worker's answer to orders.
    pub fn ordered(
        &mut self,
        worker: &WorkerId,
        ask: &WorkerAsk,
        sent: Time,
        reply: Result<WorkerReply, Failure>,
        now: Time,
    ) {
        let Some(link) = self.links.get_mut(worker).filter(|l| l.epoch == ask.epoch) else {
            return;
        };
        link.in_flight = false;
        // The renewal may have reached the worker although its answer was lost.
        let renews = !ask.renew.is_empty() || !ask.start.is_empty();
        if renews && reply != Err(Failure::Unsent) {
            link.last_renewal = link.last_renewal.max(sent);
        }
        match reply {
            Err(failure) => {
                link.next_order = now + RETRY_PAUSE;
                link.unanswered(ask, sent, Some(failure));
            }
            Ok(reply) if reply.epoch > ask.epoch => {
                link.last_heard = now;
                link.unanswered(ask, sent, None);
                log::info!(target: "racks", "Worker {worker} has a newer owner.");
            }
            Ok(reply) => {
                link.last_heard = now;
                self.started(worker, ask, &reply, now);
                self.stopped(worker, reply.stopped, now);
            }
        }
        self.wake(worker);
    }

    /// Frees reservations and slots that have expired.
    fn expire(&mut self, now: Time) {
        let lapsed = self.ledger.expire(now);
        if lapsed.iter().any(|h| matches!(h, Held::Task(..))) {
            let all: Vec<WorkerId> = self.links.keys().cloned().collect();
            all.iter().for_each(|w| self.reindex(w));
        }
    }

    /// Restarts the silence of all workers after a time in which this member polled none of them.
    ///
    /// Guards against an owner that was paused or had no lease for longer than [`SILENCE_MAX`]: it would
    /// find all workers unresponsive at once and let the leases of all their tasks lapse.
    fn reset_silence(&mut self, now: Time) {
        if now - self.ticked > TICK_GAP_MAX {
            for link in self.links.values_mut().filter(|l| !l.lapsing) {
                link.last_heard = now;
            }
        }
        self.ticked = now;
    }

    fn process(&mut self, worker: &WorkerId, now: Time, out: &mut Vec<Order>) {
        let Some(link) = self.links.get_mut(worker) else { return };
        if !link.lapsing && now - link.last_heard > SILENCE_MAX {
            log::warn!(target: "racks", "Worker {worker} is unresponsive; its leases are no longer renewed.");
            link.stop_renewals(now);
            self.update_cordon(worker, now);
        }
        self.poll(worker, now, out);
        self.drop_stale_starts(worker, now);
        match self.links.get(worker).is_some_and(|l| l.lapsing) {
            true => self.end_lapsed(worker, now),
            false => self.send_orders(worker, now, out),
        }
    }

    /// Puts a worker back on the agenda, not before the next tick.
    fn reschedule(&mut self, worker: &WorkerId, now: Time) {
        let Some(link) = self.links.get_mut(worker) else { return };
        self.agenda.remove(&(link.wake_at, worker.clone()));
        link.wake_at = link.next_due().max(now + Duration::from_micros(1));
        self.agenda.insert((link.wake_at, worker.clone()));
    }

    /// Fences a worker until it has accepted the epoch, then polls it for reports.
    fn poll(&mut self, worker: &WorkerId, now: Time, out: &mut Vec<Order>) {
        let Some(link) = self.links.get_mut(worker) else { return };
        let Some(vm) = self.vms.get(worker) else { return };
        if link.fenced.is_none() && link.next_fence <= now {
            link.next_fence = now + RETRY_PAUSE;
            out.push(Order::Fence(worker.clone(), vm.addr, link.epoch));
        }
        if link.fenced.is_some() && link.polled_at.is_none() && link.next_poll <= now {
            link.polled_at = Some(now);
            out.push(Order::Report(worker.clone(), vm.addr));
        }
    }

    /// Drops the starts that are neither sent again nor in flight.
    fn drop_stale_starts(&mut self, worker: &WorkerId, now: Time) {
        let Some(link) = self.links.get_mut(worker).filter(|l| !l.in_flight) else { return };
        let late = link.starts.extract_if(.., |s| !s.fresh(now) && !s.flying(now));
        let late: Vec<Start> = late.collect();
        if !late.is_empty() {
            link.next_order = now;
        }
        for Start { order, sent, .. } in late {
            log::warn!(target: "racks", "Start of {} was given up.", order.task);
            // A start that was sent and not answered may run: its room stays reserved until a report
            // shows its state.
            if sent.is_none() {
                self.end_unsent(worker, order, now);
            }
        }
    }

    /// Ends an attempt whose start was never sent.
    fn end_unsent(&mut self, worker: &WorkerId, order: TaskOrder, now: Time) {
        if let Some(link) = self.links.get_mut(worker) {
            link.stops.retain(|s| !is_for(s, &order.task, order.attempt));
        }
        self.end_attempt(worker, order.task, order.attempt, TaskState::Lost, now);
    }

    /// Sends renewals, starts and stops.
    fn send_orders(&mut self, worker: &WorkerId, now: Time, out: &mut Vec<Order>) {
        let renew = match self.links.get(worker) {
            Some(l) if l.fenced.is_some() && l.ready && !l.in_flight && l.next_order <= now => {
                self.vouched_attempts(worker, l.created_at, now)
            }
            _ => return,
        };
        let Some(link) = self.links.get_mut(worker) else { return };
        let Some(vm) = self.vms.get(worker) else { return };
        link.next_order = now + LEASE / 5;
        let mut start = vec![];
        // Computed here, right after the lease was checked: if the process is paused before the
        // order is sent, the worker sees that it is too late. Bounded also by the not-after time of
        // each start in the order.
        let mut until = now + MAX_TRANSIT;
        for s in link.starts.iter_mut().filter(|s| s.fresh(now)) {
            until = until.min(s.until);
            (s.sent, s.tries) = (Some(now), s.tries + 1);
            start.push(s.order.clone());
        }
        let (epoch, lease, stop) = (link.epoch, millis(LEASE), link.stoppable());
        if start.is_empty() && renew.is_empty() && stop.is_empty() {
            return;
        }
        link.in_flight = true;
        let ask = WorkerAsk { epoch, lease, until: 0, start, renew, stop };
        out.push(Order::Worker(worker.clone(), vm.addr, Box::new(ask), until));
    }

    /// The attempts to renew; an attempt without a recent probe or order from a bucket's owner has no
    /// owner, and its lease lapses.
    fn vouched_attempts(&self, worker: &WorkerId, since: Time, now: Time) -> Vec<TaskOrder> {
        let held = self.ledger.worker(worker).into_iter().flat_map(|a| a.held());
        let renew = held.filter_map(|h| {
            let Held::Task(task, attempt) = h else { return None };
            let key = (task.clone(), *attempt);
            let vouched = self.attempts.get(&key).map_or(since, |f| f.vouched_at.max(since));
            (now - vouched < VOUCH_TTL).then(|| attempt_order(key.0, key.1))
        });
        renew.collect()
    }

    /// Processes a worker's answer to the starts in an order.
    fn started(&mut self, worker: &WorkerId, ask: &WorkerAsk, reply: &WorkerReply, now: Time) {
        for TaskOrder { task, attempt, .. } in &ask.start {
            let Some(link) = self.links.get_mut(worker) else { return };
            let start = link.starts.extract_if(.., |s| is_for(&s.order, task, *attempt)).next();
            let refused = reply.refused.iter().any(|o| is_for(o, task, *attempt));
            // The refusal of a repeated start says nothing about the copy sent before: that may run.
            let only = start.is_some_and(|s| s.tries == 1);
            if refused && only {
                self.end_attempt(worker, task.clone(), *attempt, TaskState::Lost, now);
            } else if !refused && self.holds(worker, task, *attempt) {
                self.record_end(task.clone(), *attempt, TaskState::Running, worker);
            }
            if let Some(link) = self.links.get_mut(worker).filter(|l| !l.stops.is_empty()) {
                link.next_order = now;
            }
        }
    }

    /// Processes a worker's confirmation that attempts are stopped.
    fn stopped(&mut self, worker: &WorkerId, stopped: Vec<TaskOrder>, now: Time) {
        for TaskOrder { task, attempt, .. } in stopped {
            if let Some(link) = self.links.get_mut(worker) {
                link.stops.retain(|s| !is_for(s, &task, attempt));
            }
            self.end_attempt(worker, task, attempt, TaskState::Checkpointed, now);
        }
    }

    /// Ends the attempts held on a worker whose leases are no longer renewed, once all have lapsed.
    ///
    /// A reservation that no start has used is only freed. Its attempt may never have been committed,
    /// and nobody asked for its end; members of an older version give its number to another attempt,
    /// which a record of the end would end.
    fn end_lapsed(&mut self, worker: &WorkerId, now: Time) {
        let Some(link) = self.links.get_mut(worker) else { return };
        if link.in_flight || now < link.lapse() {
            return;
        }
        link.next_order = now + LAPSED_CHECK;
        let responsive = link.last_heard > link.lapse();
        let held = self.ledger.worker(worker).into_iter().flat_map(|a| a.held());
        let tasks = held.filter_map(|h| match h {
            Held::Task(task, attempt) => Some((task.clone(), *attempt, self.ledger.started(h))),
            Held::Request(_) => None,
        });
        for (task, attempt, started) in tasks.collect::<Vec<_>>() {
            match started {
                true => self.end_attempt(worker, task, attempt, TaskState::Lost, now),
                false => _ = self.ledger.release(&task, attempt, now),
            }
        }
        self.reindex(worker);
        if !self.vms.contains_key(worker) {
            return self.remove(worker);
        }
        if let Some(link) = self.links.get_mut(worker).filter(|_| responsive) {
            link.lapsing = false;
            self.update_cordon(worker, now);
        }
    }

    /// Frees an attempt's room and records how it ended, if it was held there.
    fn end_attempt(
        &mut self,
        worker: &WorkerId,
        task: TaskId,
        attempt: Attempt,
        state: TaskState,
        now: Time,
    ) {
        if self.holds(worker, &task, attempt) {
            self.ledger.release(&task, attempt, now);
            self.reindex(worker);
            self.record_end(task, attempt, state, worker);
        }
    }

    /// Whether an attempt is counted on a worker.
    pub(super) fn holds(&self, worker: &WorkerId, task: &TaskId, attempt: Attempt) -> bool {
        self.ledger.place(&Held::Task(task.clone(), attempt)) == Some(worker)
    }
}
