//! Processes the ends of runs and their consequences for tasks.

use crate::{
    ports::{End, How},
    shard::{
        jobs::At,
        machine::Shard,
        workers::{Phase, WorkerNo},
    },
    time::Time,
    work::{State, TaskKey},
};

impl Shard {
    /// Processes the end of a run that its worker reported.
    pub(super) fn on_run_end(&mut self, no: WorkerNo, end: &End, now: Time) {
        self.tell_end(no, end, now);
        let run = self.workers[no.0].take(&end.task, end.run);
        self.stir = true;
        let saved = match (&run, &*end.saved) {
            (Some(r), "") => r.saved.clone(),
            _ => end.saved.clone(),
        };
        let current = self.at(&end.task, no, end.run);
        if let Some(run) = &run {
            self.record_outcome(no, end, run, now);
        }
        self.apply_end(&end.task, end.run, end.how, saved, current, now);
        if current {
            self.record_left_at(&end.task, now);
        }
        let place = self.touch(end.task.step.job);
        self.workers[no.0].pending.push_back((end.number, end.task.step.job, place));
        self.finish_if_done(end.task.step.job, now);
    }

    /// Processes the disappearance of a run whose end was not reported.
    pub(super) fn lost(&mut self, no: WorkerNo, task: &TaskKey, run: u32, now: Time) {
        self.tell_lost(no, task, run, now);
        let Some(old) = self.workers[no.0].take(task, run) else { return };
        self.stir = true;
        let current = self.at(task, no, run);
        if current {
            self.apply_end(task, run, How::Stopped, old.saved, true, now);
        }
        if current && old.ran {
            self.record_left_at(task, now);
        }
        if old.tried {
            // A successor that does not find this run would count it as a crash.
            self.touch(task.step.job);
        }
    }

    /// Records when a task's run has ended, unless another run of the task continues.
    fn record_left_at(&mut self, task: &TaskKey, now: Time) {
        let task = self.jobs.get_mut(&task.step.job).and_then(|j| j.task(task));
        if let Some(task) = task.filter(|t| t.at == At::Waiting) {
            task.left = Some(now);
        }
    }

    /// Applies the end of a run to its task.
    fn apply_end(
        &mut self,
        task: &TaskKey,
        run: u32,
        how: How,
        saved: Box<str>,
        current: bool,
        now: Time,
    ) {
        let Some(job) = self.jobs.get_mut(&task.step.job) else { return };
        let Some(step) = job.step(&task.step).cloned() else { return };
        job.part(task.step.time, task.step.step);
        if job.state.over() {
            return;
        }
        let Some(t) = job.task(task) else { return };
        if t.former == run {
            t.former = 0;
        }
        let was_done = t.at == At::Done;
        // With speculative copies, another run must not be confused with the one that is present.
        let running = step.copies && matches!(t.at, At::There(_));
        let highest = if running { &mut t.top } else { &mut t.run };
        *highest = run.max(*highest);
        // The end of a run that its owner had given up counts as long as no other run has begun;
        // with copies, the first end counts.
        let counts = current || t.at == At::Waiting || running;
        if counts && !saved.is_empty() {
            job.keep(task, &saved);
        }
        // A copy that fails after another run has finished does not count as a failure.
        let after_done = step.copies && was_done;
        if current {
            job.leave(task, run);
        }
        match how {
            How::Done if counts && !step.lasts => {
                self.mark_done(task, step.gang, run);
                if step.copies {
                    self.stop_all_runs(task, now);
                }
            }
            How::Failed if !after_done => self.failed(task, run, now),
            _ => {}
        }
        if current && how != How::Done && step.gang {
            self.stop_gang(task, run, now);
        }
        self.review(task.step.job, now);
    }

    /// Marks a task as done; for a gang, all of its members.
    fn mark_done(&mut self, task: &TaskKey, gang: bool, run: u32) {
        let Some(job) = self.jobs.get_mut(&task.step.job) else { return };
        if !gang {
            if let Some(t) = job.task(task) {
                t.copy = None;
            }
            return job.put(task, At::Done);
        }
        let count = job.step(&task.step).map_or(0, |s| s.count);
        for index in 0..count {
            let key = TaskKey { step: task.step, index };
            let same = job.task(&key).is_some_and(|t| t.run <= run);
            if same {
                job.put(&key, At::Done);
            }
        }
    }

    /// Counts a failed run, once for all members of a gang.
    ///
    /// Guards against an end that is reported twice: a new owner receives ends again that are
    /// already stored but were not acknowledged to the worker. Without this the job would fail too
    /// early.
    pub(super) fn failed(&mut self, task: &TaskKey, run: u32, now: Time) {
        let no = task.step.job;
        let Some(job) = self.jobs.get_mut(&no) else { return };
        let Some(step) = job.step(&task.step).cloned() else { return };
        let attempts = self.known.get(&job.queue).map_or(u32::MAX, |q| q.attempts.max(1));
        let key = if step.gang { TaskKey { step: task.step, index: 0 } } else { *task };
        let Some(t) = job.task(&key) else { return };
        if t.fails.contains(&run) {
            return;
        }
        t.fails.push(run);
        if t.fails.len() >= attempts as usize && !step.lasts && !job.state.over() {
            self.end(no, State::Failed, now);
        }
    }

    /// Stops the other members of a gang's run after one member has ended, so that none of them
    /// waits in vain.
    fn stop_gang(&mut self, task: &TaskKey, run: u32, now: Time) {
        let Some(job) = self.jobs.get(&task.step.job) else { return };
        let Some(part) = job.parts.get(&(task.step.time, task.step.step)) else { return };
        let mut members = vec![];
        for (index, t) in (0..).zip(&part.tasks) {
            if let At::There(at) = t.at
                && t.run == run
            {
                members.push((at, TaskKey { step: task.step, index }));
            }
        }
        for (at, key) in members {
            if self.workers[at.0].runs.get(&key).is_some_and(|r| r.phase != Phase::Stopping) {
                self.tell_stop(at, &key, "gang member ended");
                self.stop(at, &key, now);
            }
        }
    }
}
