//! The handover of a rack from one owner to the next, with the work in flight there.

use {
    super::Racks,
    crate::{
        Time,
        ids::{Attempt, Epoch, RackId, TaskId, WorkerId},
        ledger::Held,
        messages::{FlightRow, Handover, Report, TaskRow, TaskState},
        units::Size,
    },
    std::mem,
};

impl Racks {
    /// Removes a rack that another member now owns; returns the work in flight there.
    pub fn lost(&mut self, rack: &RackId, epoch: Epoch) -> Handover {
        let mut handover = Handover { rack: rack.clone(), epoch, requests: vec![], tasks: vec![] };
        let workers = match self.racks.get_mut(rack) {
            Some(rack) => mem::take(&mut rack.workers),
            None => return handover,
        };
        for worker in workers {
            // The load of a worker that was unresponsive or not ready here is not fully known, so it
            // can't be handed over.
            match self.links.get(&worker).is_some_and(|l| l.ready && !l.lapsing) {
                true => self.add_load(&worker, &mut handover),
                false => handover.tasks.push(row(&worker, rack, epoch, TaskState::Lost)),
            }
            self.remove(&worker);
        }
        self.racks.remove(rack);
        self.resize();
        log_handover("Hands over", &handover);
        handover
    }

    /// Applies a handover: adopts the work that the former owner of a rack has in flight there.
    ///
    /// Returns false if this member does not own the rack yet; the sender must then repeat the call.
    pub fn handover(&mut self, handover: &Handover, now: Time) -> bool {
        let Some(rack) =
            self.racks.get(&handover.rack).filter(|r| r.epoch.0 == handover.epoch.0 + 1)
        else {
            return false;
        };
        log_handover("Takes over", handover);
        for worker in rack.workers.clone() {
            self.adopt(&worker, handover, now);
        }
        true
    }

    /// Adopts what the former owner had in flight on one worker, unless the worker has reported
    /// itself by now: a delayed or repeated handover is older than that report.
    fn adopt(&mut self, worker: &WorkerId, handover: &Handover, now: Time) {
        let Some(link) = self.links.get_mut(worker).filter(|l| !l.ready && !l.handed_over) else {
            return;
        };
        let tasks = handover.tasks.iter().filter(|t| t.worker.as_ref() == Some(worker));
        let tasks: Vec<TaskRow> = tasks.cloned().collect();
        if tasks.iter().any(|t| t.state == TaskState::Lost) {
            return;
        }
        link.handed_over = true;
        link.ready |= link.fenced.is_some();
        let flights = handover.requests.iter().filter(|r| r.worker == *worker);
        let requests = flights.map(|r| r.request).collect();
        let report = Report { age: 0, epoch: handover.epoch, requests, tasks: vec![] };
        self.ledger.adopt(worker, &report, &tasks, now);
        self.update_cordon(worker, now);
    }

    /// Adds the load of a worker to a handover, without reservations that no start has used.
    ///
    /// No start can use them any more, as it would carry this owner's epoch. A next owner that
    /// counts one as a started attempt closes its room for as long as reports lag and then reports
    /// the end of an attempt that may never have been committed.
    fn add_load(&self, worker: &WorkerId, handover: &mut Handover) {
        let held = self.ledger.worker(worker).into_iter().flat_map(|a| a.held());
        let (started, unused): (Vec<_>, Vec<_>) = held.partition(|h| self.ledger.started(h));
        if !unused.is_empty() {
            let names: Vec<String> = unused.iter().map(|h| h.to_string()).collect();
            let names = names.join(", ");
            log::info!(target: "racks", "Reservations on {worker} without a start are not handed over: {names}.");
        }
        for held in started {
            match held {
                Held::Request(request) => {
                    let (request, worker) = (*request, worker.clone());
                    handover.requests.push(FlightRow { request, worker, left: 0 });
                }
                Held::Task(task, attempt) => {
                    let size = self.ledger.load(held).map_or(Size::default(), |l| l.size);
                    let row = row(worker, &handover.rack, handover.epoch, TaskState::Running);
                    handover.tasks.push(TaskRow {
                        task: task.clone(),
                        attempt: *attempt,
                        size,
                        ..row
                    });
                }
            }
        }
    }
}

fn log_handover(verb: &str, handover: &Handover) {
    let Handover { rack, epoch, requests, tasks } = handover;
    let (requests, tasks) = (requests.len(), tasks.len());
    log::info!(target: "racks", "{verb} {rack} of epoch {epoch}: {tasks} tasks, {requests} requests.");
}

/// A row of a handover; with [`TaskState::Lost`] and without a task, it marks a worker whose load the
/// former owner did not know.
fn row(worker: &WorkerId, rack: &RackId, epoch: Epoch, state: TaskState) -> TaskRow {
    TaskRow {
        task: TaskId { job: "".into(), index: Default::default() },
        attempt: Attempt(0),
        state,
        worker: Some(worker.clone()),
        rack: Some(rack.clone()),
        epoch: Some(epoch),
        size: Size::default(),
        tries: None,
        reason: None,
    }
}
