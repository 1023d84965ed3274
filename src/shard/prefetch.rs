//! Requests tickets in advance: for workers that are expected to have room soon, and for
//! long-running tasks that cannot start yet.

use {
    crate::{
        decide::{
            ahead::{self, Progress},
            fit::Room,
        },
        shard::{
            dispatch::{choose_workers, withhold},
            jobs::{ActiveJob, Placement, StepState},
            round::{Round, Turn},
            state_machine::Shard,
            workers::{Run, RunPhase, WorkerNo},
        },
        time::Time,
        units::Size,
        work::{AdviceCost, JobNo, StepKey, TaskKey},
    },
    std::time::Duration,
};

/// The number of workers that an advice call is assumed to name when its duration is estimated.
const ASSUMED_WORKERS: u32 = 5;
/// The time for which a task must have waited before tickets are requested although it cannot
/// start yet. Most workers report their runs to a new owner within that time.
const MIN_DELAY: Duration = Duration::from_millis(500);
/// The maximum number of advice calls in a row for a task that cannot start. Their tickets are valid
/// for more than the 6 s within which a long-running task must run again.
const MAX_EARLY_CALLS: u32 = 4;
/// The maximum number of steps whose tickets are examined at a time.
const MAX_DELAYED_STEPS: usize = 100;

/// A long-running step with tasks that cannot start yet.
struct DelayedStep {
    key: StepKey,
    /// The indices of these tasks.
    tasks: Vec<u32>,
    cost: AdviceCost,
    /// The least number of early calls that one of the tasks has had.
    early_calls: u32,
}

impl Shard {
    /// Returns the workers that will soon have room for a task of this step, or none if no ticket
    /// for them has to be requested yet.
    pub(super) fn freeing_workers(
        &self,
        turn: &Turn,
        good: &[Room],
        cost: AdviceCost,
        round: &mut Round,
        now: Time,
    ) -> Vec<WorkerNo> {
        let size = turn.step.reserved();
        let duration = cost.base + cost.each * ASSUMED_WORKERS;
        let by = ahead::call_ahead_horizon(duration, now);
        let mut freeing = vec![];
        let apart = turn.step.apart;
        let full = |r: &&Room| !size.fits(&r.free) && (apart == 0 || r.same_step < apart);
        for room in good.iter().filter(full) {
            let no = WorkerNo(room.index);
            if self.will_have_room(no, &size, by, now) && round.upcoming_steps.add_step(no) {
                freeing.push(no);
            }
        }
        let ends = |no: &WorkerNo| {
            self.valid_until(turn.key, *no)
                .is_none_or(|until| ahead::ticket_expires_early(until, duration, now))
        };
        if !freeing.iter().any(ends)
            || !ahead::may_call_ahead(self.lanes.idle_count(), self.lanes.len())
        {
            freeing.clear();
        }
        freeing
    }

    /// Returns whether a worker is expected to have room for `size` by the time `by`. Long-running
    /// tasks are assumed to stay.
    fn will_have_room(&self, no: WorkerNo, size: &Size, by: Time, now: Time) -> bool {
        let worker = &self.workers[no.0];
        let lasts = |t: &TaskKey| {
            let step = self.jobs.get(&t.step.job).and_then(|j| j.step(&t.step));
            step.is_some_and(|s| s.lasts)
        };
        let ending = worker.runs.iter().filter(|(t, r)| expected_end(r, now) <= by && !lasts(t));
        size.fits(&ending.fold(worker.free(), |sum, (_, r)| sum + r.size))
    }

    /// Keeps tickets valid for long-running tasks that cannot start yet for a reason that may end
    /// soon.
    ///
    /// Guards against waits in series: an advice call that begins only when an unanswered start
    /// has been stopped, a lease has ended or the shard is settled takes one to two seconds more.
    pub(super) fn renew_delayed(&mut self, now: Time) {
        let steps = self.delayed_steps(now);
        if steps.is_empty() {
            return;
        }
        let mut round = self.new_round(now);
        for step in &steps {
            if !ahead::may_call_ahead(self.lanes.idle_count(), self.lanes.len()) {
                return;
            }
            self.renew_early(step, &mut round, now);
            if self.step_state(&step.key).is_some_and(|p| p.tickets.is_pending()) {
                step.tasks.iter().for_each(|i| self.set_early_calls(&step.key, *i, |n| n + 1));
            }
        }
    }

    /// Returns the long-running steps that may make an early call, with the tasks that need it, and
    /// resets the count of early calls of tasks that no longer need one.
    ///
    /// Calls are counted for each task: one that cannot start for long must not use up the calls of
    /// the other tasks of its step.
    fn delayed_steps(&mut self, now: Time) -> Vec<DelayedStep> {
        let (mut delayed, mut resumed) = (vec![], vec![]);
        for (no, job) in self.jobs.iter().filter(|(_, j)| !j.state.is_final()) {
            let queue = self.queue_configs.get(&job.queue);
            let Some(cost) = queue.and_then(|q| q.advice) else { continue };
            let by = ahead::call_ahead_horizon(cost.base + cost.each * ASSUMED_WORKERS, now);
            for ((time, step), part) in &job.step_states {
                let key = StepKey { job: *no, time: *time, step: *step };
                let mut tasks = self.delayed_tasks(&key, job, part, by, now);
                let called = (0..).zip(&part.tasks).filter(|(_, t)| t.early_calls > 0);
                resumed.extend(called.filter(|t| !tasks.contains(&t.0)).map(|t| (key, t.0)));
                let early_calls = |i: &u32| part.tasks[*i as usize].early_calls;
                tasks.retain(|i| early_calls(i) < MAX_EARLY_CALLS);
                let Some(early_calls) = tasks.iter().map(early_calls).min() else { continue };
                if !part.tickets.is_pending() && part.tickets.next_call <= now {
                    delayed.push(DelayedStep { key, tasks, cost, early_calls });
                }
            }
        }
        for (key, index) in resumed {
            self.set_early_calls(&key, index, |_| 0);
        }
        delayed.sort_unstable_by_key(|d| (d.early_calls, d.key));
        delayed.truncate(MAX_DELAYED_STEPS);
        delayed
    }

    fn set_early_calls(&mut self, key: &StepKey, index: u32, count: impl Fn(u32) -> u32) {
        let job = self.jobs.get_mut(&key.job);
        if let Some(task) = job.and_then(|j| j.task(&TaskKey { step: *key, index })) {
            task.early_calls = count(task.early_calls);
        }
    }

    /// Requests tickets of the workers that a round would choose for the tasks of a step, unless
    /// their tickets stay valid for longer than a call takes.
    fn renew_early(&mut self, delayed: &DelayedStep, round: &mut Round, now: Time) {
        let DelayedStep { ref key, ref tasks, cost, .. } = *delayed;
        let Some(mut turn) = self.turn(key, round, now) else { return };
        turn.waiting.extend(tasks);
        turn.waiting.sort_unstable();
        turn.waiting.dedup();
        if self.step_state(key).is_none_or(|p| p.tickets.eligible.is_empty()) {
            return self.ask_for_missing(&turn, round, now);
        }
        let duration = cost.base + cost.each * ASSUMED_WORKERS;
        let (valid, mut stale) = self.rooms(&turn, round, now);
        let (expiring, mut valid): (Vec<Room>, Vec<Room>) = valid.into_iter().partition(|r| {
            self.valid_until(key, WorkerNo(r.index))
                .is_none_or(|until| ahead::ticket_expires_early(until, duration, now))
        });
        stale.extend(expiring);
        let chosen = choose_workers(&turn.step, &turn.waiting, &mut valid);
        let rest = &turn.waiting[chosen.len()..];
        let later = choose_workers(&turn.step, rest, &mut stale);
        withhold(&turn.step, &chosen, round);
        withhold(&turn.step, &later, round);
        if rest.is_empty() {
            return;
        }
        let mut wanted: Vec<WorkerNo> = later.iter().map(|c| c.1).collect();
        wanted.sort_unstable();
        wanted.dedup();
        self.renew_tickets(key, &wanted, &turn.usable, cost, now);
    }

    /// Returns the tasks of a long-running step that cannot start now but may be able to by the
    /// time `by`.
    fn delayed_tasks(
        &self,
        key: &StepKey,
        job: &ActiveJob,
        part: &StepState,
        by: Time,
        now: Time,
    ) -> Vec<u32> {
        let Some(lasting) = job.step(key).filter(|s| s.lasts && !s.gang) else { return vec![] };
        if !job.is_unblocked(key.time, key.step) {
            return vec![];
        }
        let blocked = part.waiting_count > 0 && self.bar_may_end(&key.job, job, by, now);
        let delayed = (0..).zip(&part.tasks).filter(|(index, t)| {
            let task = TaskKey { step: *key, index: *index };
            match t.placement {
                Placement::Done => false,
                Placement::Waiting => {
                    let since = t.ended_at.or(part.ready_since);
                    let pauses = Self::pause_end(lasting, t).is_some_and(|end| now < end);
                    (blocked || pauses || self.stray_tasks.contains(&task))
                        && since.is_some_and(|t| t + MIN_DELAY <= now)
                }
                Placement::Assigned(no) => self.may_lose_run(no, &task, by),
            }
        });
        delayed.map(|d| d.0).collect()
    }

    /// Returns whether this owner may start no task of the job now, but perhaps by the time `by`.
    fn bar_may_end(&self, no: &JobNo, job: &ActiveJob, by: Time, now: Time) -> bool {
        match () {
            () if !self.may_start(now) => true,
            () if self.is_sole_starter(no) => false,
            () => !job.inherited || self.unsettled_workers.iter().all(|n| self.may_end(*n, by)),
        }
    }

    /// Returns whether the run of a task, if there is one, may turn out to have ended by the time
    /// `by`: it is being stopped, its start is unanswered, or its worker may have ended.
    fn may_lose_run(&self, no: WorkerNo, task: &TaskKey, by: Time) -> bool {
        self.workers[no.0].runs.get(task).is_some_and(|r| match r.phase {
            RunPhase::Unsure | RunPhase::Stopping => true,
            RunPhase::Starting => false,
            RunPhase::Running => self.may_end(no, by),
        })
    }

    /// Returns whether the runs of a silent worker may count as ended by the time `by`: the
    /// worker is missing from the VM list, or its lease ends by then.
    fn may_end(&self, no: WorkerNo, by: Time) -> bool {
        let worker = &self.workers[no.0];
        worker.unanswered_calls > 0
            && (worker.missing_since.is_some() || worker.lease_end(&self.setup.bounds) <= by)
    }
}

/// Returns the time at which a run is expected to end.
pub(super) fn expected_end(run: &Run, now: Time) -> Time {
    if run.phase == RunPhase::Stopping {
        return now;
    }
    let (first, last) = run.progress_percent;
    ahead::expected_end(Progress {
        started_at: run.started_at,
        initial_percent: first,
        percent: last,
        checked_at: run.reported_at,
        estimate: run.estimate,
    })
}
