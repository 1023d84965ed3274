//! Workers that crash, and the tasks under which they do.

use crate::{
    decide::{
        crash::{CRASHES, Resident, SETTLED, blamed},
        fit::Room,
    },
    shard::{
        jobs::At,
        machine::Shard,
        plan::choose,
        round::{Round, Turn},
        workers::WorkerNo,
    },
    time::Time,
    work::{State, StepKey, TaskKey},
};

impl Shard {
    /// The runs to which the end of a worker's life is laid; none where that was planned.
    pub(super) fn blamed(&self, no: WorkerNo) -> Vec<(TaskKey, u32)> {
        let worker = &self.workers[no.0];
        if worker.leaving.is_some() || worker.closed() {
            return vec![];
        }
        // A stop may have been ordered since, as the rest of a gang had ended without its member here.
        let runs: Vec<_> = worker.runs.iter().collect();
        let all: Vec<Resident> = runs
            .iter()
            .map(|(task, run)| Resident {
                there: run.ran,
                began: run.began,
                settled: run.settled || worker.heard.is_some_and(|h| run.began + SETTLED <= h),
                lasts: self.lasts(task),
            })
            .collect();
        blamed(&all).into_iter().map(|i| (*runs[i].0, runs[i].1.run)).collect()
    }

    /// Counts a crash for a task, and ends its job if there were too many.
    ///
    /// Guards against a task that takes down one worker after the other.
    pub(super) fn crashed(&mut self, task: &TaskKey, run: u32, now: Time) {
        let job = task.step.job;
        let Some(active) = self.jobs.get_mut(&job).filter(|j| !j.state.over()) else { return };
        let Some(t) = active.task(task).filter(|t| !t.crashes.contains(&run)) else { return };
        t.crashes.push(run);
        let crashes = t.crashes.len();
        log::info!(target: "shard", did = "crashed", job:% = job, task:% = task, run, crashes; "Worker has crashed under a task.");
        self.touch(job);
        if crashes >= CRASHES {
            self.end(job, State::Failed, now);
        }
    }

    /// Counts a crash for each task under which workers have crashed before, and of which a former owner
    /// had begun a run that is neither there nor has ended.
    ///
    /// Guards against a count that stands still, where owners end as often as workers crash. What was seen
    /// by no owner ends no job: the run may have ended otherwise, and its owner before that was stored.
    pub(super) fn count_former(&mut self, now: Time) {
        let mut gone = vec![];
        for (no, job) in &mut self.jobs {
            for ((time, step), part) in &mut job.parts {
                let step = StepKey { job: *no, time: *time, step: *step };
                for (index, t) in (0..).zip(&mut part.tasks) {
                    let former = std::mem::take(&mut t.former);
                    if former > 0 && t.at == At::Waiting && t.crashes.len() + 1 < CRASHES {
                        gone.push((TaskKey { step, index }, former));
                    }
                }
            }
        }
        for (task, run) in gone {
            self.crashed(&task, run, now);
        }
    }

    /// Starts tasks under which workers have crashed, each at a worker of its own where the fewest runs
    /// have just begun, and takes them from the turn if there is any room.
    ///
    /// Guards against sound tasks that are given up with the one that crashes their worker: begun
    /// together, they lose it together, and would be placed together again.
    pub(super) fn place_apart(&mut self, turn: &mut Turn, round: &Round, now: Time) {
        let Some(part) = self.part(turn.key) else { return };
        let crashed = |i: &u32| !part.tasks[*i as usize].crashes.is_empty();
        let apart: Vec<u32> = turn.waiting.iter().copied().filter(crashed).collect();
        if apart.is_empty() {
            return;
        }
        let rooms = self.rooms(turn, round, now).0;
        let begun = |r: &Room| self.workers[r.index].runs.values().filter(|r| !r.settled).count();
        let Some(fewest) = rooms.iter().map(begun).min() else { return };
        let quiet = rooms.iter().filter(|r| begun(r) == fewest);
        let mut quiet: Vec<Room> = quiet.map(|r| Room { most: r.most.min(1), ..*r }).collect();
        let chosen = choose(&turn.step, &apart, &mut quiet);
        turn.waiting.retain(|i| !apart.contains(i));
        self.start_all(turn.key, &turn.step, &chosen, now);
    }
}
