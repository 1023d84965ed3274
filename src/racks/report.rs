//! What a worker answers when it is fenced, and what its reports say.

use {
    super::{
        Racks,
        link::{POLL, same},
    },
    crate::{
        Time,
        decide::estimate::Action,
        http::Failure,
        ids::{Epoch, WorkerId},
        ledger::Held,
        messages::{Report, TaskOrder, TaskReport, TaskState},
        time::millis,
        units::Size,
    },
    std::time::Duration,
};

impl Racks {
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
            // Until now a former owner may have renewed.
            if !link.cut {
                link.renewed = link.renewed.max(now);
            }
        }
        self.gate(worker, now);
    }

    /// Takes a worker's report.
    pub fn reported(&mut self, worker: &WorkerId, report: Result<Report, Failure>, now: Time) {
        let Some(link) = self.links.get_mut(worker) else { return };
        let Some(sent) = link.asked.take() else { return };
        link.poll = now + POLL;
        if let Ok(report) = report {
            link.heard = now;
            // What the report says was true at the latest when it was asked for, less its age: the
            // way back must not make it look younger.
            self.taken(worker, report, sent, now);
        }
        self.gate(worker, now);
    }

    fn taken(&mut self, worker: &WorkerId, mut report: Report, sent: Time, now: Time) {
        let Some(link) = self.links.get_mut(worker) else { return };
        let Some(fenced) = link.fenced else { return };
        let taken = sent - Duration::from_millis(report.age);
        report.age = millis(now - taken) + 1;
        if taken <= fenced {
            link.poll = now + POLL / 5;
            return;
        }
        // Guards against a worker that was restarted and knows no epoch: it would take a former
        // owner's orders. It shows by an epoch below the one that it took, and is fenced again.
        if report.epoch < link.epoch {
            (link.fenced, link.fence) = (None, now);
            return;
        }
        link.ready = true;
        link.report = Some((taken, report.tasks.clone()));
        link.starts.retain(|s| !lists(&report.tasks, &s.order));
        self.outgrown(worker, &report.tasks, now);
        for (task, attempt) in self.ledger.adopt(worker, &report, &[], now) {
            let said = report.tasks.iter().find(|t| t.task == task && t.attempt == attempt);
            self.say(task, attempt, said.map_or(TaskState::Lost, |t| t.state), worker);
        }
        self.forgo(worker, &report.tasks, now);
    }

    /// Drops the stops of attempts that neither the report nor the account knows.
    fn forgo(&mut self, worker: &WorkerId, tasks: &[TaskReport], now: Time) {
        let Some(link) = self.links.get_mut(worker) else { return };
        let ledger = &self.ledger;
        link.stops.retain(|s| {
            let held = ledger.place(&Held::Task(s.task.clone(), s.attempt)) == Some(worker);
            held || lists(tasks, s)
        });
        if !link.stops.is_empty() {
            link.due = now;
        }
    }

    /// Acts on tasks that use more than is reserved for them.
    ///
    /// A worker's memory can't be shared out twice: a task that outgrows its reservation gets more
    /// where its worker has room, and is checkpointed and stopped where not, before the worker is
    /// full and its kernel kills a neighbour.
    fn outgrown(&mut self, worker: &WorkerId, tasks: &[TaskReport], now: Time) {
        for t in tasks.iter().filter(|t| t.state == TaskState::Running) {
            if !self.holds(worker, &t.task, t.attempt) {
                continue;
            }
            let held = Held::Task(t.task.clone(), t.attempt);
            let Some(reserved) = self.ledger.load(&held).map(|l| l.size) else { continue };
            let room = self.ledger.worker(worker).map_or(Size::default(), |a| a.room());
            match self.estimates.check(&t.task.job, t.used, reserved, room) {
                Action::Keep => {}
                Action::Raise(size) => {
                    let _ = self.ledger.reserve(&t.task, t.attempt, worker, size, Time::NEVER);
                }
                Action::Stop => {
                    log::warn!(target: "racks", "Task {} outgrew its memory: stopped.", t.task);
                    let Some(link) = self.links.get_mut(worker) else { return };
                    link.stop(t.task.clone(), t.attempt, now);
                }
            }
        }
    }
}

/// Whether a report lists the attempt of an order, in whatever state.
fn lists(tasks: &[TaskReport], order: &TaskOrder) -> bool {
    tasks.iter().any(|t| same(order, &t.task, t.attempt))
}
