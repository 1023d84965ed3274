//! Workers that crash, and the tasks under which they do.

use crate::{
    decide::{
        crash::{APART, CRASHES, Resident, blamed},
        fit::Room,
    },
    shard::{
        machine::Shard,
        plan::choose,
        round::{Round, Turn},
        workers::{Phase, WorkerNo},
    },
    time::Time,
    work::{State, TaskKey},
};

impl Shard {
    /// The runs to which the end of a worker's life is laid; none where that was planned.
    pub(super) fn blamed(&self, no: WorkerNo) -> Vec<(TaskKey, u32)> {
        let worker = &self.workers[no.0];
        if worker.leaving.is_some() || worker.closed() {
            return vec![];
        }
        let runs: Vec<_> = worker.runs.iter().filter(|(_, r)| r.phase != Phase::Stopping).collect();
        let all: Vec<Resident> = runs
            .iter()
            .map(|(task, run)| Resident {
                there: run.phase == Phase::Running,
                settled: run.settled,
                lasts: self.lasts(task),
            })
            .collect();
        blamed(&all).into_iter().map(|i| (*runs[i].0, runs[i].1.run)).collect()
    }

    /// Counts a crash for a task, and ends its job if there were too many.
    ///
    /// Guards against a task that takes down one worker after the other.
    pub(super) fn crashed(&mut self, no: WorkerNo, task: &TaskKey, run: u32, now: Time) {
        let job = task.step.job;
        let Some(active) = self.jobs.get_mut(&job).filter(|j| !j.state.over()) else { return };
        let Some(t) = active.task(task).filter(|t| !t.crashes.contains(&run)) else { return };
        t.crashes.push(run);
        let crashes = t.crashes.len();
        log::info!(target: "shard", did = "crashed", job:% = job, task:% = task, run, crashes, worker:% = self.workers[no.0].id; "Worker has crashed under a task.");
        self.touch(job);
        if crashes >= CRASHES {
            self.end(job, State::Failed, now);
        }
    }

    /// Starts tasks under which workers have crashed, each at a worker without another one that has
    /// just begun, and takes from the turn those that wait for such a worker.
    ///
    /// Guards against sound tasks that are given up with the one that crashes their worker: begun
    /// together, they lose it together, and would be placed together again.
    pub(super) fn place_apart(&mut self, turn: &mut Turn, round: &Round, now: Time) {
        let Some(part) = self.part(turn.key) else { return };
        let bound = |i: &u32| {
            let task = &part.tasks[*i as usize];
            !task.crashes.is_empty() && task.left.is_some_and(|l| now < l + APART)
        };
        let apart: Vec<u32> = turn.waiting.iter().copied().filter(bound).collect();
        if apart.is_empty() {
            return;
        }
        let rooms = self.rooms(turn, round, now).0;
        if rooms.is_empty() {
            return;
        }
        let free = rooms.into_iter().filter(|r| !self.workers[r.index].is_tried());
        let mut free: Vec<Room> = free.map(|r| Room { most: r.most.min(1), ..r }).collect();
        let chosen = choose(&turn.step, &apart, &mut free);
        turn.waiting.retain(|i| !apart.contains(i));
        self.start_all(turn.key, &turn.step, &chosen, now);
    }
}
