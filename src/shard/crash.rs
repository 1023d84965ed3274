//! Attributes crashes of workers to the tasks that ran there, and limits how many workers a task
//! may crash.

use crate::{
    decide::{
        crash::{
            CrashedRun, MAX_QUICK_RESTARTS, MIN_CRASHES, RESTART_PAUSE, SETTLE_TIME, blamed_runs,
        },
        fit::Room,
    },
    shard::{
        dispatch::choose_workers,
        jobs::{Placement, Task},
        round::{Round, Turn},
        state_machine::Shard,
        workers::{Run, WorkerNo},
    },
    time::Time,
    work::{JobState, Queue, Step, StepKey, TaskKey},
};

/// Returns the number of crashes after which a task of a queue is not started again.
fn max_crashes(queue: &Queue) -> usize {
    (queue.attempts as usize).max(MIN_CRASHES)
}

impl Shard {
    /// Returns the runs that may have crashed a worker; none if the worker's end was planned.
    pub(super) fn suspect_runs(&self, no: WorkerNo) -> Vec<(TaskKey, u32)> {
        let worker = &self.workers[no.0];
        if worker.leaves_at.is_some() || worker.is_draining() {
            return vec![];
        }
        // Stopping runs are included: a stop may have been ordered after the crash, because the
        // other members of a gang ended when the member on this worker was lost.
        let runs: Vec<_> = worker.runs.iter().collect();
        let all: Vec<CrashedRun> = runs
            .iter()
            .map(|(task, run)| CrashedRun {
                reported: run.was_seen,
                started_at: run.started_at,
                settled: run.settled
                    || worker.last_answer.is_some_and(|h| run.started_at + SETTLE_TIME <= h),
                lasting: self.is_long_running(task),
            })
            .collect();
        blamed_runs(&all).into_iter().map(|i| (*runs[i].0, runs[i].1.run)).collect()
    }

    /// Counts a worker crash against a task, and fails the task's job if it has crashed too many
    /// workers and is not long-running.
    ///
    /// Guards against a task that takes down one worker after another.
    pub(super) fn count_crash(&mut self, task: &TaskKey, run: u32, now: Time) {
        let job = task.step.job;
        let Some(active) = self.jobs.get_mut(&job).filter(|j| !j.state.is_final()) else { return };
        let lasts = active.step(&task.step).is_some_and(|s| s.lasts);
        let attempts = self.queue_configs.get(&active.queue).map_or(usize::MAX, max_crashes);
        let Some(t) = active.task(task).filter(|t| !t.crashed_runs.contains(&run)) else { return };
        t.crashed_runs.push(run);
        t.pause_end = Some(now + RESTART_PAUSE);
        if lasts && t.crashed_runs.len() > MAX_QUICK_RESTARTS {
            t.crashed_runs.remove(0);
        }
        let crashes = t.crashed_runs.len();
        log::info!(target: "shard", did = "crashed", job:% = job, task:% = task, run, crashes; "Worker has crashed under a task.");
        self.mark_changed(job);
        if crashes >= attempts && !lasts {
            self.end_job(job, JobState::Failed, now);
        }
    }

    /// Forgets the crashes of a long-running task whose present run has lasted long enough to show
    /// that its start does not crash its worker.
    pub(super) fn forget_crashes(&mut self, no: WorkerNo, task: &TaskKey, now: Time) {
        let run = self.workers[no.0].runs.get(task);
        // Of an adopted run, only the time since its adoption is known.
        let settled = |r: &Run| r.settled && r.started_at + SETTLE_TIME <= now;
        if run.is_none_or(|r| !r.crash_suspect || !settled(r)) || !self.is_long_running(task) {
            return;
        }
        if let Some(run) = self.workers[no.0].runs.get_mut(task) {
            run.crash_suspect = false;
        }
        if let Some(task) = self.jobs.get_mut(&task.step.job).and_then(|j| j.task(task)) {
            task.crashed_runs.clear();
        }
        self.mark_changed(task.step.job);
    }

    /// Counts a crash against each task that has crashed workers before and whose last run, begun
    /// by a former owner, is neither on any worker nor known to have ended.
    ///
    /// Guards against a count that never rises because owners end as often as workers crash. Such
    /// an unobserved crash never fails a job: the run may have ended otherwise, and its owner may
    /// have ended before storing that.
    pub(super) fn count_former_crashes(&mut self, now: Time) {
        let mut unobserved = vec![];
        for (no, job) in &mut self.jobs {
            let attempts = self.queue_configs.get(&job.queue).map_or(usize::MAX, max_crashes);
            for ((time, step), part) in &mut job.step_states {
                let step = StepKey { job: *no, time: *time, step: *step };
                for (index, t) in (0..).zip(&mut part.tasks) {
                    let former = std::mem::take(&mut t.former_run);
                    if former > 0
                        && t.placement == Placement::Waiting
                        && t.crashed_runs.len() + 1 < attempts
                    {
                        unobserved.push((TaskKey { step, index }, former));
                    }
                }
            }
        }
        for (task, run) in unobserved {
            self.count_crash(&task, run, now);
        }
    }

    /// Returns the time until which a task of a long-running step must not restart, if it pauses.
    pub(super) fn pause_end(step: &Step, task: &Task) -> Option<Time> {
        let pauses = step.lasts && task.crashed_runs.len() >= MAX_QUICK_RESTARTS;
        task.pause_end.filter(|_| pauses)
    }

    /// Starts tasks that have crashed workers, each alone on one of the workers with the fewest
    /// runs that began recently and, among these, with the fewest runs. Removes these tasks from
    /// the turn if there is any room.
    ///
    /// Guards against sound tasks being failed along with the task that crashes their worker: tasks
    /// that begin together lose their worker together and would be placed together again. Also
    /// guards against a sound task that is never done because each restart of a long-running task
    /// crashes the worker where it runs.
    pub(super) fn place_isolated(&mut self, turn: &mut Turn, round: &Round, now: Time) {
        let Some(part) = self.step_state(turn.key) else { return };
        let crashed = |i: &u32| !part.tasks[*i as usize].crashed_runs.is_empty();
        let isolated: Vec<u32> = turn.waiting.iter().copied().filter(crashed).collect();
        if isolated.is_empty() {
            return;
        }
        let rooms = self.rooms(turn, round, now).0;
        let runs_at_risk = |r: &Room| {
            let runs = &self.workers[r.index].runs;
            (runs.values().filter(|r| !r.settled).count(), runs.len())
        };
        let Some(fewest) = rooms.iter().map(runs_at_risk).min() else { return };
        let candidates = rooms.iter().filter(|r| runs_at_risk(r) == fewest);
        let mut candidates: Vec<Room> =
            candidates.map(|r| Room { max_new: r.max_new.min(1), ..*r }).collect();
        let chosen = choose_workers(&turn.step, &isolated, &mut candidates);
        turn.waiting.retain(|i| !isolated.contains(i));
        self.start_tasks(turn.key, &turn.step, &chosen, now);
    }
}
