//! One worker's link: its fence, its reports, the renewals of its leases, and its orders.

use {
    super::{Racks, tell::millis},
    crate::{
        Time,
        attempts::{FLIGHT, LEASE},
        decide::estimate::Action,
        event::Order,
        http::Failure,
        ids::{Attempt, Epoch, TaskId, WorkerId},
        ledger::Held,
        messages::{Report, TaskOrder, TaskReport, TaskState, WorkerAsk, WorkerReply},
        units::Size,
    },
    std::{collections::BTreeSet, time::Duration},
};

/// How often a worker is asked for its report. Half of the time that urgent work may wait.
const POLL: Duration = Duration::from_millis(500);

/// The pause before an unanswered fence is repeated.
const REFENCE: Duration = Duration::from_millis(200);

/// How long a worker may be silent before its leases are renewed no more.
///
/// Long enough for a restarted switch to come back, short beside the lease that then still runs.
const SILENT: Duration = Duration::from_secs(10);

/// How long an attempt is renewed that no bucket's owner has spoken for.
///
/// Longer than a bucket takes to change its owner twice; a probe comes every two seconds.
const VOUCH: Duration = Duration::from_secs(60);

/// What is known of one worker since its rack was gained.
pub(super) struct Link {
    pub(super) epoch: Epoch,
    pub(super) fenced: Option<Time>,
    pub(super) fence: Time,
    pub(super) ready: bool,
    pub(super) heard: Time,
    pub(super) report: Option<(Time, Vec<TaskReport>)>,
    pub(super) poll: Time,
    pub(super) asked: Option<Time>,
    pub(super) ordering: bool,
    pub(super) starts: Vec<(TaskOrder, Time)>,
    pub(super) stops: Vec<TaskOrder>,
    pub(super) renewed: Time,
    pub(super) due: Time,
    pub(super) cut: bool,
    pub(super) handed: bool,
    pub(super) since: Time,
}

impl Link {
    pub(super) fn new(epoch: Epoch, now: Time) -> Self {
        Link {
            epoch,
            fenced: None,
            fence: now,
            ready: false,
            heard: now,
            report: None,
            poll: now,
            asked: None,
            ordering: false,
            starts: vec![],
            stops: vec![],
            // The former owner may have renewed just before.
            renewed: now,
            due: now,
            cut: false,
            handed: false,
            since: now,
        }
    }
}

impl Racks {
    /// Does what is due: fences, reports, renewals, starts and stops. Nothing without a lease.
    pub fn tick(&mut self, now: Time, leased: bool, out: &mut Vec<Order>) {
        for held in self.ledger.expire(now) {
            log::debug!(target: "racks", "Lapsed: {held:?}.");
            if let Held::Task(..) = held {
                let all: Vec<WorkerId> = self.links.keys().cloned().collect();
                all.iter().for_each(|w| self.reindex(w));
            }
        }
        if !leased {
            return;
        }
        let workers: Vec<WorkerId> = self.links.keys().cloned().collect();
        for worker in workers {
            self.serve(&worker, now, out);
        }
    }

    /// Takes a worker's answer to a fence.
    pub fn fenced(
        &mut self,
        worker: &WorkerId,
        epoch: Epoch,
        reply: Result<Epoch, Failure>,
        now: Time,
    ) {
        let Some(link) = self.links.get_mut(worker).filter(|l| l.epoch == epoch) else { return };
        if reply == Ok(epoch) {
            link.fenced.get_or_insert(now);
            link.heard = now;
            link.ready |= link.handed;
            link.poll = now;
        }
        self.gate(now);
    }

    /// Takes a worker's report.
    pub fn reported(&mut self, worker: &WorkerId, report: Result<Report, Failure>, now: Time) {
        let Some(link) = self.links.get_mut(worker) else { return };
        let Some(sent) = link.asked.take() else { return };
        link.poll = now + POLL;
        let Ok(mut report) = report else { return };
        link.heard = now;
        // What the report says was true at the latest when it was asked for, less its age: the way
        // back must not make it look younger.
        let taken = sent - Duration::from_millis(report.age);
        let Some(fenced) = link.fenced else { return };
        report.age = u64::try_from((now - taken).as_millis()).unwrap_or(u64::MAX) + 1;
        if taken <= fenced {
            link.poll = now + POLL / 5;
            return;
        }
        link.ready = true;
        link.report = Some((taken, report.tasks.clone()));
        let running = report.tasks.iter().filter(|t| t.state == TaskState::Running);
        let running: Vec<(TaskId, Attempt)> =
            running.map(|t| (t.task.clone(), t.attempt)).collect();
        self.outgrown(worker, &report.tasks, now);
        let ended = self.ledger.adopt(worker, &report, &[], now);
        for (task, attempt) in ended {
            let said = report.tasks.iter().find(|t| t.task == task && t.attempt == attempt);
            self.say(task, attempt, said.map_or(TaskState::Lost, |t| t.state), worker);
        }
        if let Some(link) = self.links.get_mut(worker) {
            link.starts.retain(|(o, _)| !running.contains(&(o.task.clone(), o.attempt)));
        }
        self.gate(now);
        self.reindex(worker);
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
        let Some(link) = self.links.get_mut(worker) else { return };
        link.ordering = false;
        // The renewal may have arrived although its answer did not.
        if !ask.renew.is_empty() || !ask.start.is_empty() {
            link.renewed = link.renewed.max(sent);
        }
        let Ok(reply) = reply else {
            link.due = now + REFENCE;
            return;
        };
        link.heard = now;
        if reply.epoch > link.epoch {
            log::info!(target: "racks", "Worker {worker} has a newer owner.");
            return;
        }
        let sent_starts: BTreeSet<_> =
            ask.start.iter().map(|o| (o.task.clone(), o.attempt)).collect();
        link.starts.retain(|(o, _)| !sent_starts.contains(&(o.task.clone(), o.attempt)));
        link.stops
            .retain(|o| !reply.stopped.iter().any(|s| s.task == o.task && s.attempt == o.attempt));
        let refused: BTreeSet<_> =
            reply.refused.iter().map(|o| (o.task.clone(), o.attempt)).collect();
        for (task, attempt) in &sent_starts {
            let no = refused.contains(&(task.clone(), *attempt));
            if no {
                self.ledger.release(task, *attempt, now);
                self.reindex(worker);
            }
            let state = if no { TaskState::Lost } else { TaskState::Running };
            self.say(task.clone(), *attempt, state, worker);
        }
        for stop in reply.stopped {
            if self.ledger.release(&stop.task, stop.attempt, now) {
                self.reindex(worker);
                self.say(stop.task, stop.attempt, TaskState::Checkpointed, worker);
            }
        }
    }

    fn serve(&mut self, worker: &WorkerId, now: Time, out: &mut Vec<Order>) {
        let (Some(link), Some(vm)) = (self.links.get_mut(worker), self.vms.get(worker)) else {
            return self.bury(worker, now);
        };
        if link.fenced.is_none() {
            if link.fence <= now {
                link.fence = now + REFENCE;
                out.push(Order::Fence(worker.clone(), vm.addr, link.epoch));
            }
            return;
        }
        let was = link.cut;
        link.cut |= now - link.heard > SILENT;
        if link.asked.is_none() && link.poll <= now {
            link.asked = Some(now);
            out.push(Order::Report(worker.clone(), vm.addr));
        }
        if link.cut && !was {
            log::warn!(target: "racks", "Worker {worker} is silent; its leases run out.");
            self.gate(now);
            return;
        }
        if link.cut {
            return self.bury(worker, now);
        }
        // Past its not-after time a start must not go out: another attempt may have been made.
        let dead: Vec<TaskOrder> = link
            .starts
            .extract_if(.., |(_, until)| *until <= now + FLIGHT / 4)
            .map(|(o, _)| o)
            .collect();
        if !link.ordering && (link.due <= now) {
            let epoch = link.epoch;
            let held = self.ledger.worker(worker).map(|a| a.held().cloned().collect::<Vec<_>>());
            // What no bucket's owner speaks for is nobody's: its lease runs out.
            let renew = held.into_iter().flatten().filter_map(|h| match h {
                Held::Task(task, attempt) => {
                    let facts = self.facts.get(&(task.clone(), attempt));
                    let spoken = facts.map_or(link.since, |f| f.vouched);
                    let order = TaskOrder { task, attempt, size: Size::default(), run: 0 };
                    (now - spoken < VOUCH).then_some(order)
                }
                Held::Request(_) => None,
            });
            let ask = WorkerAsk {
                epoch,
                lease: millis(LEASE),
                until: 0,
                start: link.starts.iter().map(|(o, _)| o.clone()).collect(),
                renew: renew.collect(),
                stop: link.stops.clone(),
            };
            link.due = now + LEASE / 5;
            if !(ask.start.is_empty() && ask.renew.is_empty() && ask.stop.is_empty()) {
                link.ordering = true;
                out.push(Order::Worker(worker.clone(), vm.addr, Box::new(ask)));
            }
        }
        for order in dead {
            // Never sent, or sent and unanswered: reports tell which, so the room stays taken.
            log::warn!(target: "racks", "Start of {} was given up.", order.task);
        }
    }

    /// Ends what a silent worker still holds, once no lease of it can run any more.
    fn bury(&mut self, worker: &WorkerId, now: Time) {
        let Some(link) = self.links.get_mut(worker) else { return };
        if now < link.renewed + LEASE + FLIGHT {
            return;
        }
        let back = link.heard > link.renewed + LEASE + FLIGHT;
        let held: Vec<Held> =
            self.ledger.worker(worker).map(|a| a.held().cloned().collect()).unwrap_or_default();
        for held in held {
            if let Held::Task(task, attempt) = held {
                self.ledger.release(&task, attempt, now);
                self.reindex(worker);
                self.say(task, attempt, TaskState::Lost, worker);
            }
        }
        if let Some(link) = self.links.get_mut(worker).filter(|_| back) {
            link.cut = false;
            self.gate(now);
        }
    }

    /// Acts on tasks that use more than is reserved for them.
    ///
    /// A worker's memory can't be shared out twice: a task that outgrows its reservation gets more
    /// where its worker has room, and is checkpointed and stopped where not, before the worker is
    /// full and its kernel kills a neighbour.
    fn outgrown(&mut self, worker: &WorkerId, tasks: &[TaskReport], now: Time) {
        for t in tasks.iter().filter(|t| t.state == TaskState::Running) {
            let held = Held::Task(t.task.clone(), t.attempt);
            let Some(reserved) = self.ledger.load(&held).map(|l| l.size) else { continue };
            let room = self.ledger.worker(worker).map_or(Size::default(), |a| a.room());
            match self.estimates.check(&t.task.job, t.used, reserved, room) {
                Action::Keep | Action::Throttle => {}
                Action::Raise(size) => {
                    let _ = self.ledger.reserve(&t.task, t.attempt, worker, size, Time::NEVER);
                }
                Action::Stop => {
                    let Some(link) = self.links.get_mut(worker) else { continue };
                    if link.stops.iter().any(|s| s.task == t.task) {
                        continue;
                    }
                    log::warn!(target: "racks", "Task {} outgrew its memory and is stopped.", t.task);
                    let (task, attempt) = (t.task.clone(), t.attempt);
                    link.stops.push(TaskOrder { task, attempt, size: Size::default(), run: 0 });
                    link.due = now;
                }
            }
        }
    }
}
