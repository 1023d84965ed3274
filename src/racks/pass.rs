//! A rack that passes from one owner to the next: what is in flight there goes along.

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
    /// A rack has passed to another member; returns what is in flight there.
    pub fn lost(&mut self, rack: &RackId, epoch: Epoch) -> Handover {
        let mut over = Handover { rack: rack.clone(), epoch, requests: vec![], tasks: vec![] };
        let workers = match self.racks.get_mut(rack) {
            Some(rack) => mem::take(&mut rack.workers),
            None => return over,
        };
        for worker in workers {
            // A worker that was silent or not ready here is not known well enough to be handed over.
            match self.links.get(&worker).is_some_and(|l| l.ready && !l.cut) {
                true => self.flights(&worker, &mut over),
                false => over.tasks.push(row(&worker, rack, epoch, TaskState::Lost)),
            }
            self.remove(&worker);
        }
        self.racks.remove(rack);
        self.resize();
        over
    }

    /// Takes over what the former owner of a rack has in flight there.
    ///
    /// Returns whether the rack is this member's already; otherwise it must be told again.
    pub fn handover(&mut self, over: &Handover, now: Time) -> bool {
        let Some(rack) = self.racks.get(&over.rack).filter(|r| r.epoch.0 == over.epoch.0 + 1)
        else {
            return false;
        };
        for worker in rack.workers.clone() {
            self.adopt(&worker, over, now);
        }
        true
    }

    /// Enters what the former owner had in flight on one worker, unless the worker itself has said
    /// by now: a handover that was delayed, or a repeat, is older.
    fn adopt(&mut self, worker: &WorkerId, over: &Handover, now: Time) {
        let Some(link) = self.links.get_mut(worker).filter(|l| !l.ready && !l.handed) else {
            return;
        };
        let tasks = over.tasks.iter().filter(|t| t.worker.as_ref() == Some(worker));
        let tasks: Vec<TaskRow> = tasks.cloned().collect();
        if tasks.iter().any(|t| t.state == TaskState::Lost) {
            return;
        }
        link.handed = true;
        link.ready |= link.fenced.is_some();
        let flights = over.requests.iter().filter(|r| r.worker == *worker);
        let requests = flights.map(|r| r.request).collect();
        let report = Report { age: 0, epoch: over.epoch, requests, tasks: vec![] };
        self.ledger.adopt(worker, &report, &tasks, now);
        self.gate(worker, now);
    }

    /// Adds what a worker holds to a handover.
    fn flights(&self, worker: &WorkerId, over: &mut Handover) {
        let held = self.ledger.worker(worker).into_iter().flat_map(|a| a.held());
        for held in held {
            match held {
                Held::Request(request) => {
                    let (request, worker) = (*request, worker.clone());
                    over.requests.push(FlightRow { request, worker, left: 0 });
                }
                Held::Task(task, attempt) => {
                    let size = self.ledger.load(held).map_or(Size::default(), |l| l.size);
                    let row = row(worker, &over.rack, over.epoch, TaskState::Running);
                    over.tasks.push(TaskRow { task: task.clone(), attempt: *attempt, size, ..row });
                }
            }
        }
    }
}

/// A row of a handover; without a task and [`TaskState::Lost`], it marks a worker whose load the
/// former owner did not know itself.
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
