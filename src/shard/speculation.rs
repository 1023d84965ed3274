//! Starts speculative copies: second runs of tasks that are far slower than their siblings, for
//! steps that allow them.

use {
    crate::{
        decide::{
            copies::{Candidate, MIN_SIBLINGS, copy_worthwhile, max_copies},
            fit::best_room,
            health::Verdict,
        },
        shard::{
            jobs::Placement,
            state_machine::Shard,
            workers::{RunPhase, WorkerNo, millis},
        },
        time::Time,
        work::{Step, StepKey, TaskKey},
    },
    std::{cmp::Reverse, time::Duration},
};

/// The maximum duration of a copy, as a multiple of the expected duration of its siblings. Beyond
/// it, both the copy and the first run are considered hung.
const MAX_COPY_FACTOR: u32 = 3;

impl Shard {
    /// Starts copies of slow tasks on spare workers.
    pub(super) fn start_copies(&mut self, now: Time) {
        if !self.may_start(now) {
            return;
        }
        let copyable = |s: &Step| s.copies && !s.gang && !s.lasts && !s.fills;
        let mut all = vec![];
        for (no, job) in self.jobs.iter().filter(|(_, j)| !j.state.is_final()) {
            for (time, step) in job.step_states.keys() {
                let key = StepKey { job: *no, time: *time, step: *step };
                if job.step(&key).is_some_and(copyable) {
                    all.push(key);
                }
            }
        }
        all.sort_unstable();
        for key in all {
            self.start_step_copies(&key, now);
        }
    }

    /// Returns whether a run without progress may continue because a copy of its task runs or can
    /// start at once.
    ///
    /// A copy without progress is stopped like any other run. If the copy has taken too long as
    /// well, both runs are stopped, since two hung runs would never end.
    pub(super) fn copy_may_replace(&self, no: WorkerNo, task: &TaskKey, now: Time) -> bool {
        let key = &task.step;
        let Some(job) = self.jobs.get(&key.job) else { return false };
        let Some(step) = job.step(key).filter(|s| s.copies) else { return false };
        let Some(part) = job.step_states.get(&(key.time, key.step)) else { return false };
        let Some(t) = part.tasks.get(task.index as usize) else { return false };
        let Some(expected) = part.expected_duration(MIN_SIBLINGS) else { return false };
        match t.copy {
            Some((at, _)) if at == no => false,
            Some((at, _)) => {
                let began = self.workers[at.0].runs.get(task).map(|r| r.started_at);
                began.is_some_and(|b| now - b < expected * MAX_COPY_FACTOR)
            }
            None => {
                let copies = part.tasks.iter().filter(|t| t.copy.is_some()).count();
                let few = copies < max_copies(step.count) as usize;
                part.waiting_count == 0 && few && self.spare_worker(task, step, no, now).is_some()
            }
        }
    }

    fn start_step_copies(&mut self, key: &StepKey, now: Time) {
        let Some(job) = self.jobs.get(&key.job) else { return };
        let Some(step) = job.step(key).cloned() else { return };
        let Some(part) = job.step_states.get(&(key.time, key.step)) else { return };
        let Some(expected) =
            part.expected_duration(MIN_SIBLINGS).filter(|_| part.waiting_count == 0)
        else {
            return;
        };
        let copies = part.tasks.iter().filter(|t| t.copy.is_some()).count();
        let allowed =
            max_copies(step.count).saturating_sub(u32::try_from(copies).unwrap_or(u32::MAX));
        let mut slow: Vec<(Duration, TaskKey, WorkerNo)> = vec![];
        for (index, task) in (0..).zip(&part.tasks) {
            let key = TaskKey { step: *key, index };
            // A copy of a task that has crashed its worker could crash another worker.
            if let (Placement::Assigned(at), None, []) =
                (task.placement, task.copy, &task.crashed_runs[..])
                && let Some(needs) = self.remaining_if_slow(&key, at, expected, now)
            {
                slow.push((needs, key, at));
            }
        }
        slow.sort_by_key(|s| (Reverse(s.0), s.1));
        for (needs, task, at) in slow.into_iter().take(allowed as usize) {
            let Some(to) = self.spare_worker(&task, &step, at, now) else { return };
            log::info!(target: "shard", did = "copy", job:% = key.job, task:% = task, worker:% = self.workers[to.0].id, beside:% = self.workers[at.0].id, needs_ms = millis(needs), expected_ms = millis(expected); "A speculative copy starts.");
            self.start_copy(task, at, to, &step, now);
        }
    }

    /// Returns the remaining time of a run, if the run is so slow that a copy is worthwhile.
    fn remaining_if_slow(
        &self,
        task: &TaskKey,
        at: WorkerNo,
        expected: Duration,
        now: Time,
    ) -> Option<Duration> {
        let run = self.workers[at.0].runs.get(task).filter(|r| r.phase == RunPhase::Running)?;
        let (from, done) = run.progress_percent;
        let saved = if run.checkpoint.is_empty() { 0 } else { done };
        copy_worthwhile(
            Candidate {
                elapsed: now - run.started_at,
                initial_percent: from,
                percent: done,
                saved_percent: saved,
            },
            expected,
        )
    }

    /// Returns a sound worker of an underused pool that has room for a copy and is not the worker
    /// of the first run.
    fn spare_worker(
        &self,
        task: &TaskKey,
        step: &Step,
        original: WorkerNo,
        now: Time,
    ) -> Option<WorkerNo> {
        let key = &task.step;
        let job = self.jobs.get(&key.job)?;
        let queue = self.queue_configs.get(&job.queue)?;
        let all = self.pools.get(job.pool.as_ref()?)?;
        if !self.is_underused(all) {
            return None;
        }
        let tickets = &job.step_states.get(&(key.time, key.step))?.tickets;
        let open = |no: &&WorkerNo| {
            let w = &self.workers[no.0];
            let valid = || tickets.eligible.get(*no).is_some_and(|t| t.1 > now);
            **no != original
                && w.is_usable(now)
                && w.health.verdict(now) == Verdict::Sound
                && !w.runs.contains_key(task)
                && (queue.advice.is_none() || valid())
        };
        let rooms: Vec<_> =
            all.iter().filter(open).filter_map(|no| self.room(*no, key, step, now)).collect();
        best_room(step, &rooms).map(|i| WorkerNo(rooms[i].index))
    }

    fn start_copy(
        &mut self,
        task: TaskKey,
        original: WorkerNo,
        to: WorkerNo,
        step: &Step,
        now: Time,
    ) {
        let saved = self.workers[original.0].runs.get(&task).map(|r| r.checkpoint.clone());
        let Some(t) = self.jobs.get_mut(&task.step.job).and_then(|j| j.task(&task)) else { return };
        let saved = saved.filter(|s| !s.is_empty()).unwrap_or_else(|| t.checkpoint.clone());
        let run = t.last_run() + 1;
        if self.launch(task, to, run, step, saved, now)
            && let Some(t) = self.jobs.get_mut(&task.step.job).and_then(|j| j.task(&task))
        {
            (t.copy, t.last_copy_run) = (Some((to, run)), run);
        }
    }

    /// Stops all runs of a task that is done: the first run to finish counts.
    pub(super) fn stop_all_runs(&mut self, task: &TaskKey, now: Time) {
        let running = |n: &usize| {
            let run = self.workers[*n].runs.get(task);
            run.is_some_and(|r| r.phase != RunPhase::Stopping)
        };
        let all: Vec<usize> = (0..self.workers.len()).filter(running).collect();
        for no in all.into_iter().map(WorkerNo) {
            self.log_stop(no, task, "another run was first");
            self.stop_run(no, task, now);
        }
    }
}
