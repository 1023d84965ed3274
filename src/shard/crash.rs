//! Attributes crashes of workers to the tasks that ran there, and limits how many workers a task
//! may crash.

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
    /// The runs that may have caused the end of a worker; none if the end was planned.
    pub(super) fn suspect_runs(&self, no: WorkerNo) -> Vec<(TaskKey, u32)> {
        let worker = &self.workers[no.0];
        if worker.leaving.is_some() || worker.closed() {
            return vec![];
        }
        // Stopping runs are included: a stop may have been ordered after the crash, because the
        // other members of a gang ended when their member here was lost.
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

    /// Counts a crash for a task, and fails its job if there were too many.
    ///
    /// Guards against a task that takes down one worker after another.
    pub(super) fn count_crash(&mut self, task: &TaskKey, run: u32, now: Time) {
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

    /// Counts a crash for each task that has crashed workers before and whose last run, begun by a
    /// former owner, is neither present nor known to have ended.
    ///
    /// Guards against a count that never rises because owners end as often as workers crash. Such
    /// an unobserved crash never fails a job: the run may have ended otherwise, and its owner may
    /// have ended before storing that.
    pub(super) fn count_former_crashes(&mut self, now: Time) {
        let mut unobserved = vec![];
        for (no, job) in &mut self.jobs {
            for ((time, step), part) in &mut job.parts {
                let step = StepKey { job: *no, time: *time, step: *step };
                for (index, t) in (0..).zip(&mut part.tasks) {
                    let former = std::mem::take(&mut t.former);
                    if former > 0 && t.at == At::Waiting && t.crashes.len() + 1 < CRASHES {
                        unobserved.push((TaskKey { step, index }, former));
                    }
                }
            }
        }
        for (task, run) in unobserved {
            self.count_crash(&task, run, now);
        }
    }

    /// Starts tasks that have crashed workers, each alone on one of the workers with the fewest
    /// runs that began recently. Removes these tasks from the turn if there is any room.
    ///
    /// Guards against sound tasks being failed along with the task that crashes their worker: tasks
    /// that begin together lose their worker together and would be placed together again.
    pub(super) fn place_apart(&mut self, turn: &mut Turn, round: &Round, now: Time) {
        let Some(part) = self.part(turn.key) else { return };
        let crashed = |i: &u32| !part.tasks[*i as usize].crashes.is_empty();
        let isolated: Vec<u32> = turn.waiting.iter().copied().filter(crashed).collect();
        if isolated.is_empty() {
            return;
        }
        let rooms = self.rooms(turn, round, now).0;
        let begun = |r: &Room| self.workers[r.index].runs.values().filter(|r| !r.settled).count();
        let Some(fewest) = rooms.iter().map(begun).min() else { return };
        let candidates = rooms.iter().filter(|r| begun(r) == fewest);
        let mut candidates: Vec<Room> =
            candidates.map(|r| Room { most: r.most.min(1), ..*r }).collect();
        let chosen = choose(&turn.step, &isolated, &mut candidates);
        turn.waiting.retain(|i| !isolated.contains(i));
        self.start_all(turn.key, &turn.step, &chosen, now);
    }
}
