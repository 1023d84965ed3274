//! What goes out to a worker, and its answers to it.

use {
    super::{
        Racks,
        link::{REFENCE, SILENT, Start, bare, same},
    },
    crate::{
        Time,
        attempts::{FLIGHT, LEASE},
        event::Order,
        http::Failure,
        ids::{Attempt, TaskId, WorkerId},
        ledger::Held,
        messages::{TaskOrder, TaskState, WorkerAsk, WorkerReply},
        time::millis,
    },
    std::time::Duration,
};

/// How long an attempt is renewed that no bucket's owner has spoken for.
///
/// Longer than a bucket takes to change its owner twice; a probe comes every two seconds.
pub(super) const VOUCH: Duration = Duration::from_secs(60);
/// A pause between two ticks after which nobody counts as silent: nobody was asked.
const GAP: Duration = Duration::from_secs(1);
/// How often a worker whose leases have lapsed is looked at.
const LOOK: Duration = Duration::from_millis(500);

impl Racks {
    /// Does what is due: fences, reports, renewals, starts and stops. Nothing without a lease.
    pub fn tick(&mut self, now: Time, leased: bool, out: &mut Vec<Order>) {
        self.expire(now);
        if !leased {
            return;
        }
        self.resume(now);
        while let Some((at, worker)) = self.agenda.first().cloned()
            && at <= now
        {
            self.agenda.pop_first();
            let Some(link) = self.links.get_mut(&worker).filter(|l| l.wake == at) else { continue };
            link.wake = Time::NEVER;
            self.serve(&worker, now, out);
            self.later(&worker, now);
        }
    }

    /// Takes a worker's answer to orders.
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
        link.ordering = false;
        // The renewal may have arrived although its answer did not.
        let opens = !ask.renew.is_empty() || !ask.start.is_empty();
        if opens && reply != Err(Failure::Unsent) {
            link.renewed = link.renewed.max(sent);
        }
        match reply {
            Err(failure) => {
                link.due = now + REFENCE;
                link.unanswered(ask, sent, Some(failure));
            }
            Ok(reply) if reply.epoch > ask.epoch => {
                link.heard = now;
                link.unanswered(ask, sent, None);
                log::info!(target: "racks", "Worker {worker} has a newer owner.");
            }
            Ok(reply) => {
                link.heard = now;
                self.started(worker, ask, &reply, now);
                self.stopped(worker, reply.stopped, now);
            }
        }
        self.wake(worker);
    }

    /// Frees what has lapsed.
    fn expire(&mut self, now: Time) {
        let lapsed = self.ledger.expire(now);
        if lapsed.iter().any(|h| matches!(h, Held::Task(..))) {
            let all: Vec<WorkerId> = self.links.keys().cloned().collect();
            all.iter().for_each(|w| self.reindex(w));
        }
    }

    /// Counts nobody as silent for a time in which nobody was asked.
    ///
    /// Guards against an owner that was paused or had no lease for longer than [`SILENT`]: it would
    /// find all workers silent at once and let all their tasks run out.
    fn resume(&mut self, now: Time) {
        if now - self.ticked > GAP {
            for link in self.links.values_mut().filter(|l| !l.cut) {
                link.heard = now;
            }
        }
        self.ticked = now;
    }

    fn serve(&mut self, worker: &WorkerId, now: Time, out: &mut Vec<Order>) {
        let Some(link) = self.links.get_mut(worker) else { return };
        if !link.cut && now - link.heard > SILENT {
            log::warn!(target: "racks", "Worker {worker} is silent; its leases run out.");
            link.cut_off(now);
            self.gate(worker, now);
        }
        self.ask(worker, now, out);
        self.weed(worker, now);
        match self.links.get(worker).is_some_and(|l| l.cut) {
            true => self.bury(worker, now),
            false => self.order(worker, now, out),
        }
    }

    /// Enters a worker in the agenda again, not before the next tick.
    fn later(&mut self, worker: &WorkerId, now: Time) {
        let Some(link) = self.links.get_mut(worker) else { return };
        self.agenda.remove(&(link.wake, worker.clone()));
        link.wake = link.next().max(now + Duration::from_micros(1));
        self.agenda.insert((link.wake, worker.clone()));
    }

    /// Fences a worker until it has taken the epoch, then asks for its reports.
    fn ask(&mut self, worker: &WorkerId, now: Time, out: &mut Vec<Order>) {
        let Some(link) = self.links.get_mut(worker) else { return };
        let Some(vm) = self.vms.get(worker) else { return };
        if link.fenced.is_none() && link.fence <= now {
            link.fence = now + REFENCE;
            out.push(Order::Fence(worker.clone(), vm.addr, link.epoch));
        }
        if link.fenced.is_some() && link.asked.is_none() && link.poll <= now {
            link.asked = Some(now);
            out.push(Order::Report(worker.clone(), vm.addr));
        }
    }

    /// Drops the starts that are neither sent again nor on their way.
    fn weed(&mut self, worker: &WorkerId, now: Time) {
        let Some(link) = self.links.get_mut(worker).filter(|l| !l.ordering) else { return };
        let late = link.starts.extract_if(.., |s| !s.fresh(now) && !s.flying(now));
        let late: Vec<Start> = late.collect();
        if !late.is_empty() {
            link.due = now;
        }
        for Start { order, sent, .. } in late {
            log::warn!(target: "racks", "Start of {} was given up.", order.task);
            // What was sent and not answered may run: reports tell, and its room stays taken.
            if sent.is_none() {
                self.unsent(worker, order, now);
            }
        }
    }

    /// Ends an attempt whose start never went out.
    fn unsent(&mut self, worker: &WorkerId, order: TaskOrder, now: Time) {
        if let Some(link) = self.links.get_mut(worker) {
            link.stops.retain(|s| !same(s, &order.task, order.attempt));
        }
        self.end(worker, order.task, order.attempt, TaskState::Lost, now);
    }

    /// Sends renewals, starts and stops.
    fn order(&mut self, worker: &WorkerId, now: Time, out: &mut Vec<Order>) {
        let renew = match self.links.get(worker) {
            Some(l) if l.fenced.is_some() && l.ready && !l.ordering && l.due <= now => {
                self.renewals(worker, l.since, now)
            }
            _ => return,
        };
        let Some(link) = self.links.get_mut(worker) else { return };
        let Some(vm) = self.vms.get(worker) else { return };
        link.due = now + LEASE / 5;
        let mut start = vec![];
        // Taken here, where the lease was checked: a process that is paused before the order goes out
        // sends what is too late. And no later than any start in it may take effect.
        let mut until = now + FLIGHT;
        for s in link.starts.iter_mut().filter(|s| s.fresh(now)) {
            until = until.min(s.until);
            (s.sent, s.tries) = (Some(now), s.tries + 1);
            start.push(s.order.clone());
        }
        let (epoch, lease, stop) = (link.epoch, millis(LEASE), link.stoppable());
        if start.is_empty() && renew.is_empty() && stop.is_empty() {
            return;
        }
        link.ordering = true;
        let ask = WorkerAsk { epoch, lease, until: 0, start, renew, stop };
        out.push(Order::Worker(worker.clone(), vm.addr, Box::new(ask), until));
    }

    /// The attempts to renew; what no bucket's owner speaks for is nobody's, and runs out.
    fn renewals(&self, worker: &WorkerId, since: Time, now: Time) -> Vec<TaskOrder> {
        let held = self.ledger.worker(worker).into_iter().flat_map(|a| a.held());
        let renew = held.filter_map(|h| {
            let Held::Task(task, attempt) = h else { return None };
            let key = (task.clone(), *attempt);
            let spoken = self.facts.get(&key).map_or(since, |f| f.vouched.max(since));
            (now - spoken < VOUCH).then(|| bare(key.0, key.1))
        });
        renew.collect()
    }

    /// Takes a worker's word of the starts that it was sent.
    fn started(&mut self, worker: &WorkerId, ask: &WorkerAsk, reply: &WorkerReply, now: Time) {
        for TaskOrder { task, attempt, .. } in &ask.start {
            let Some(link) = self.links.get_mut(worker) else { return };
            let start = link.starts.extract_if(.., |s| same(&s.order, task, *attempt)).next();
            let refused = reply.refused.iter().any(|o| same(o, task, *attempt));
            // A repeat that is refused says nothing of the copy sent before it: that may run.
            let only = start.is_some_and(|s| s.tries == 1);
            if refused && only {
                self.end(worker, task.clone(), *attempt, TaskState::Lost, now);
            } else if !refused && self.holds(worker, task, *attempt) {
                self.say(task.clone(), *attempt, TaskState::Running, worker);
            }
            if let Some(link) = self.links.get_mut(worker).filter(|l| !l.stops.is_empty()) {
                link.due = now;
            }
        }
    }

    /// Takes a worker's word that attempts are stopped.
    fn stopped(&mut self, worker: &WorkerId, stopped: Vec<TaskOrder>, now: Time) {
        for TaskOrder { task, attempt, .. } in stopped {
            if let Some(link) = self.links.get_mut(worker) {
                link.stops.retain(|s| !same(s, &task, attempt));
            }
            self.end(worker, task, attempt, TaskState::Checkpointed, now);
        }
    }

    /// Ends what a worker still holds that was cut off, once no lease of it can run any more.
    fn bury(&mut self, worker: &WorkerId, now: Time) {
        let Some(link) = self.links.get_mut(worker) else { return };
        if link.ordering || now < link.lapse() {
            return;
        }
        link.due = now + LOOK;
        let back = link.heard > link.lapse();
        let held = self.ledger.worker(worker).into_iter().flat_map(|a| a.held());
        let tasks = held.filter_map(|h| match h {
            Held::Task(task, attempt) => Some((task.clone(), *attempt)),
            Held::Request(_) => None,
        });
        for (task, attempt) in tasks.collect::<Vec<_>>() {
            self.end(worker, task, attempt, TaskState::Lost, now);
        }
        if !self.vms.contains_key(worker) {
            return self.remove(worker);
        }
        if let Some(link) = self.links.get_mut(worker).filter(|_| back) {
            link.cut = false;
            self.gate(worker, now);
        }
    }

    /// Frees an attempt's room and tells how it ended, if it was held there.
    fn end(
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
            self.say(task, attempt, state, worker);
        }
    }

    /// Whether an attempt is counted on a worker.
    pub(super) fn holds(&self, worker: &WorkerId, task: &TaskId, attempt: Attempt) -> bool {
        self.ledger.place(&Held::Task(task.clone(), attempt)) == Some(worker)
    }
}
