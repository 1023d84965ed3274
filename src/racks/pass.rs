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
};

impl Racks {
    /// A rack has passed to another member; returns what is in flight there.
    pub fn lost(&mut self, rack: &RackId, epoch: Epoch) -> Handover {
        self.racks.remove(rack);
        let mut over = Handover { rack: rack.clone(), epoch, requests: vec![], tasks: vec![] };
        let workers: Vec<WorkerId> = self.on(rack).cloned().collect();
        for worker in workers {
            let Some(link) = self.links.remove(&worker) else { continue };
            let account = self.ledger.worker(&worker);
            let held: Vec<(Held, Size)> = account
                .into_iter()
                .flat_map(|a| a.held())
                .map(|h| (h.clone(), self.ledger.load(h).map_or(Size::default(), |l| l.size)))
                .collect();
            self.ledger.remove(&worker);
            self.indexes.values_mut().for_each(|i| i.remove(&worker));
            for choice in self.choices.values_mut() {
                choice.scores.remove(&worker);
                choice.ejector.forget(&worker);
            }
            for (held, size) in held {
                match held {
                    Held::Request(request) => {
                        over.requests.push(FlightRow { request, worker: worker.clone(), left: 0 })
                    }
                    Held::Task(task, attempt) => over.tasks.push(TaskRow {
                        size,
                        task,
                        attempt,
                        state: TaskState::Running,
                        worker: Some(worker.clone()),
                        rack: Some(rack.clone()),
                        epoch: Some(epoch),
                        tries: None,
                        reason: None,
                    }),
                }
            }
            // A worker that was not ready here is not known well enough to be handed over.
            if !link.ready {
                over.requests.retain(|r| r.worker != worker);
                over.tasks.retain(|t| t.worker.as_ref() != Some(&worker));
                over.tasks.push(unready(&worker, rack, epoch));
            }
        }
        over
    }

    /// Takes over what the former owner of a rack has in flight there.
    ///
    /// Returns whether the rack is this member's already; otherwise it must be told again.
    pub fn handover(&mut self, over: &Handover, now: Time) -> bool {
        if self.racks.get(&over.rack).is_none_or(|e| e.0 != over.epoch.0 + 1) {
            return false;
        }
        let workers: Vec<WorkerId> = self.on(&over.rack).cloned().collect();
        for worker in workers {
            let tasks: Vec<TaskRow> =
                over.tasks.iter().filter(|t| t.worker.as_ref() == Some(&worker)).cloned().collect();
            if tasks.iter().any(|t| t.state == TaskState::Lost) {
                continue;
            }
            let flights = over.requests.iter().filter(|r| r.worker == worker);
            let report = Report {
                age: 0,
                epoch: over.epoch,
                requests: flights.map(|r| r.request).collect(),
                tasks: vec![],
            };
            self.ledger.adopt(&worker, &report, &tasks, now);
            if let Some(link) = self.links.get_mut(&worker) {
                link.handed = true;
                link.ready |= link.fenced.is_some();
            }
        }
        self.gate(now);
        true
    }
}

/// Marks a worker in a handover as one whose load the former owner did not know itself.
fn unready(worker: &WorkerId, rack: &RackId, epoch: Epoch) -> TaskRow {
    TaskRow {
        task: TaskId { job: "".into(), index: Default::default() },
        attempt: Attempt(0),
        state: TaskState::Lost,
        worker: Some(worker.clone()),
        rack: Some(rack.clone()),
        epoch: Some(epoch),
        size: Size::default(),
        tries: None,
        reason: None,
    }
}
