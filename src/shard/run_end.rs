//! Processes the ends of runs and their consequences for tasks.

use crate::{
    ports::{EndReason, EndedRun},
    shard::{
        jobs::Placement,
        state_machine::Shard,
        stats::LossCause,
        workers::{Run, RunPhase, WorkerNo},
    },
    time::Time,
    work::{JobState, TaskKey},
};

/// The number of failed runs that are recorded of a long-running task, the last ones.
const MAX_RECORDED_FAILURES: usize = 4;

/// Records a failed run of a long-running task, whose attempts are unlimited.
///
/// Guards against progress records that grow with each failure.
fn record_failure(failed_runs: &mut Vec<u32>, run: u32) {
    failed_runs.push(run);
    failed_runs.sort_unstable();
    let surplus = failed_runs.len().saturating_sub(MAX_RECORDED_FAILURES);
    failed_runs.drain(..surplus);
}

impl Shard {
    /// Processes the end of a run that its worker reported.
    pub(super) fn on_run_end(&mut self, no: WorkerNo, end: &EndedRun, now: Time) {
        self.log_end(no, end, now);
        let run = self.take_run(no, &end.task, end.run);
        let ended_by = run.as_ref().and_then(|r| r.ended_by).unwrap_or(now);
        self.round_due = true;
        let saved = match (&run, &*end.checkpoint) {
            (Some(r), "") => r.checkpoint.clone(),
            _ => end.checkpoint.clone(),
        };
        let current = self.has_run(&end.task, no, end.run);
        if let Some(run) = &run {
            self.record_outcome(no, end, run, ended_by);
            self.record_run_time(no, end, run, ended_by);
        }
        self.apply_end(&end.task, end.run, end.reason, saved, current, now);
        if current {
            self.record_ended_at(&end.task, now);
            // A run from a checkpoint did only a part of its task's work. When an adopted run began
            // is unknown.
            let whole = run.filter(|r| r.progress_percent.0 == 0 && !r.adopted);
            if let (EndReason::Done, Some(run)) = (end.reason, whole) {
                self.record_step_time(&end.task.step, ended_by - run.started_at);
            }
        }
        self.finish_if_done(end.task.step.job, now);
        let place = self.mark_changed(end.task.step.job);
        self.workers[no.0].unstored_ends.push_back((end.number, end.task.step.job, place));
    }

    /// Removes a run from a worker, also if its end was not listed yet; returns it if it has this
    /// number.
    fn take_run(&mut self, no: WorkerNo, task: &TaskKey, run: u32) -> Option<Run> {
        let unlisted = self.workers[no.0].remove_unlisted_end(task, run);
        unlisted.or_else(|| self.remove_run(no, task, run))
    }

    /// Handles a run that is no longer on its worker although the worker reported no end.
    pub(super) fn on_run_lost(
        &mut self,
        no: WorkerNo,
        task: &TaskKey,
        run: u32,
        cause: LossCause,
        now: Time,
    ) {
        self.log_lost(no, task, run, cause, now);
        let Some(old) = self.take_run(no, task, run) else { return };
        self.round_due = true;
        let current = self.has_run(task, no, run);
        if current {
            self.apply_end(task, run, EndReason::Stopped, old.checkpoint, true, now);
        }
        if current && old.was_seen {
            self.record_ended_at(task, now);
        }
        if old.crash_suspect {
            // Without a stored change, a successor that does not find this run would count it as a
            // crash.
            self.mark_changed(task.step.job);
        }
    }

    /// Records the end time of a task's run, unless another run of the task continues.
    fn record_ended_at(&mut self, task: &TaskKey, now: Time) {
        let task = self.jobs.get_mut(&task.step.job).and_then(|j| j.task(task));
        if let Some(task) = task.filter(|t| t.placement == Placement::Waiting) {
            task.ended_at = Some(now);
        }
    }

    /// Applies the end of a run to its task.
    fn apply_end(
        &mut self,
        task: &TaskKey,
        run: u32,
        how: EndReason,
        saved: Box<str>,
        current: bool,
        now: Time,
    ) {
        let Some(job) = self.jobs.get_mut(&task.step.job) else { return };
        let Some(step) = job.step(&task.step).cloned() else { return };
        job.step_state_mut(task.step.time, task.step.step);
        if job.state.is_final() {
            return;
        }
        let Some(t) = job.task(task) else { return };
        if t.former_run == run {
            t.former_run = 0;
        }
        let was_done = t.placement == Placement::Done;
        // If the task has a speculative copy, the number of this run must not replace the number of
        // the run that is still in progress.
        let running = step.copies && matches!(t.placement, Placement::Assigned(_));
        let highest = if running { &mut t.last_copy_run } else { &mut t.run };
        *highest = run.max(*highest);
        // The end of a run that its owner had given up counts as long as no other run has begun;
        // with copies, the first end counts.
        let counts = current || t.placement == Placement::Waiting || running;
        if counts && !saved.is_empty() {
            job.save_checkpoint(task, &saved);
        }
        // A copy that fails after another run has finished does not count as a failure.
        let after_done = step.copies && was_done;
        if current {
            job.end_run(task, run);
        }
        match how {
            EndReason::Done if counts && !step.lasts => {
                self.mark_done(task, step.gang, run);
                if step.copies {
                    self.stop_all_runs(task, now);
                }
            }
            EndReason::Failed if !after_done => self.count_failure(task, run, now),
            _ => {}
        }
        if current && how != EndReason::Done && step.gang {
            self.stop_gang(task, run, now);
        }
        self.update_ready(task.step.job, now);
    }

    /// Marks a task as done; for a gang, all of its members.
    fn mark_done(&mut self, task: &TaskKey, gang: bool, run: u32) {
        let Some(job) = self.jobs.get_mut(&task.step.job) else { return };
        if !gang {
            if let Some(t) = job.task(task) {
                t.copy = None;
            }
            return job.set_placement(task, Placement::Done);
        }
        let count = job.step(&task.step).map_or(0, |s| s.count);
        for index in 0..count {
            let key = TaskKey { step: task.step, index };
            let same = job.task(&key).is_some_and(|t| t.run <= run);
            if same {
                job.set_placement(&key, Placement::Done);
            }
        }
    }

    /// Counts a failed run of a task. The failures of several members of one gang run count once.
    ///
    /// Guards against an end that is reported twice: a new owner receives ends again that are
    /// already stored but were not acknowledged to the worker. Without this the job would fail too
    /// early.
    pub(super) fn count_failure(&mut self, task: &TaskKey, run: u32, now: Time) {
        let no = task.step.job;
        let Some(job) = self.jobs.get_mut(&no) else { return };
        let Some(step) = job.step(&task.step).cloned() else { return };
        let attempts = self.queue_configs.get(&job.queue).map_or(u32::MAX, |q| q.attempts.max(1));
        let key = if step.gang { TaskKey { step: task.step, index: 0 } } else { *task };
        let Some(t) = job.task(&key) else { return };
        if t.failed_runs.contains(&run) {
            return;
        }
        if step.lasts {
            return record_failure(&mut t.failed_runs, run);
        }
        t.failed_runs.push(run);
        if t.failed_runs.len() >= attempts as usize && !job.state.is_final() {
            self.end_job(no, JobState::Failed, now);
        }
    }

    /// Stops the other members of a gang's run after one member has ended, so that none of them
    /// waits in vain.
    fn stop_gang(&mut self, task: &TaskKey, run: u32, now: Time) {
        let Some(job) = self.jobs.get(&task.step.job) else { return };
        let Some(part) = job.step_states.get(&(task.step.time, task.step.step)) else { return };
        let mut members = vec![];
        for (index, t) in (0..).zip(&part.tasks) {
            if let Placement::Assigned(at) = t.placement
                && t.run == run
            {
                members.push((at, TaskKey { step: task.step, index }));
            }
        }
        for (at, key) in members {
            if self.workers[at.0].runs.get(&key).is_some_and(|r| r.phase != RunPhase::Stopping) {
                self.log_stop(at, &key, "gang member ended");
                self.stop_run(at, &key, now);
            }
        }
    }
}
