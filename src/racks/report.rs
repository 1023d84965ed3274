//! Processes workers' answers to fences and their reports.

use {
    super::{
        Racks,
        link::{POLL_INTERVAL, is_for},
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
    /// Processes a worker's answer to a fence.
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
            link.last_heard = now;
            link.ready |= link.handed_over;
            link.next_poll = now;
            // A former owner may have renewed leases until now.
            if !link.lapsing {
                link.last_renewal = link.last_renewal.max(now);
            }
        }
        self.update_cordon(worker, now);
    }

    /// Processes a worker's report, or the failure of the call for it.
    pub fn reported(&mut self, worker: &WorkerId, report: Result<Report, Failure>, now: Time) {
        let Some(link) = self.links.get_mut(worker) else { return };
        let Some(sent) = link.polled_at.take() else { return };
        link.next_poll = now + POLL_INTERVAL;
        if let Ok(report) = report {
            link.last_heard = now;
            // The report is taken to be as old as its age before the time when it was asked for, so
            // that the delay of the answer does not make it look more recent.
            self.apply_report(worker, report, sent, now);
        }
        self.update_cordon(worker, now);
    }

    fn apply_report(&mut self, worker: &WorkerId, mut report: Report, sent: Time, now: Time) {
        let Some(link) = self.links.get_mut(worker) else { return };
        let Some(fenced) = link.fenced else { return };
        let taken_at = sent - Duration::from_millis(report.age);
        report.age = millis(now - taken_at) + 1;
        if taken_at <= fenced {
            link.next_poll = now + POLL_INTERVAL / 5;
            return;
        }
        // Guards against a worker that was restarted and knows no epoch: it would accept a former
        // owner's orders. Its report carries an epoch below the one it had accepted, so it is fenced
        // again.
        if report.epoch < link.epoch {
            (link.fenced, link.next_fence) = (None, now);
            return;
        }
        link.ready = true;
        link.report = Some((taken_at, report.tasks.clone()));
        link.starts.retain(|s| !lists(&report.tasks, &s.order));
        self.check_usage(worker, &report.tasks, now);
        for (task, attempt) in self.ledger.adopt(worker, &report, &[], now) {
            let reported = report.tasks.iter().find(|t| t.task == task && t.attempt == attempt);
            self.record_end(task, attempt, reported.map_or(TaskState::Lost, |t| t.state), worker);
        }
        self.drop_unknown_stops(worker, &report.tasks, now);
    }

    /// Drops the stops of attempts that neither the report nor the ledger lists.
    fn drop_unknown_stops(&mut self, worker: &WorkerId, tasks: &[TaskReport], now: Time) {
        let Some(link) = self.links.get_mut(worker) else { return };
        let ledger = &self.ledger;
        link.stops.retain(|s| {
            let held = ledger.place(&Held::Task(s.task.clone(), s.attempt)) == Some(worker);
            held || lists(tasks, s)
        });
        if !link.stops.is_empty() {
            link.next_order = now;
        }
    }

    /// Handles tasks that use more than is reserved for them.
    ///
    /// A worker's memory can't be allotted twice: a task that outgrows its reservation gets a larger
    /// one if its worker has room; otherwise it is checkpointed and stopped, before the worker runs
    /// out of memory and its kernel kills another task.
    fn check_usage(&mut self, worker: &WorkerId, tasks: &[TaskReport], now: Time) {
        for t in tasks.iter().filter(|t| t.state == TaskState::Running) {
            if !self.holds(worker, &t.task, t.attempt) {
                continue;
            }
            let held = Held::Task(t.task.clone(), t.attempt);
            let Some(reserved) = self.ledger.load(&held).map(|l| l.size) else { continue };
            let room = self.ledger.worker(worker).map_or(Size::default(), |a| a.room());
            match self.estimates.check_use(&t.task.job, t.used, reserved, room) {
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

/// Whether a report lists the attempt of an order, in any state.
fn lists(tasks: &[TaskReport], order: &TaskOrder) -> bool {
    tasks.iter().any(|t| is_for(order, &t.task, t.attempt))
}
