//! The rules that the judge of a simulated run checks against the events of the workers and the
//! store. A violated rule is a [`Breach`]. Without the judge, a duplicate start or a lost end could
//! pass unnoticed because the jobs still finish.

use {
    crate::site::{
        caps::Caps,
        contact::Contact,
        crashes::Crashes,
        keys::Keys,
        starvation::Starvation,
        stay::Absences,
        wait::{Waits, due},
        worker::{Note, World},
    },
    derive_more::Display,
    dogwoodreach::{
        Time,
        ports::{EndReason, Start},
        shard::record::{Progress, ShardNo, TaskRow},
        work::{JobNo, JobState, StepKey, TaskKey},
    },
    std::{
        collections::{BTreeMap, BTreeSet, HashSet},
        time::Duration,
    },
};

/// A task of a cancelled job may still start for this long after the cancel was acknowledged.
pub const CANCEL_GRACE: Duration = Duration::from_secs(2);
/// A task of a timed job may start this much before its due time.
const START_TOLERANCE: Duration = Duration::from_millis(500);
/// The rules with a time bound are suspended for this long after the last moment of a fault.
pub const FAULT_GRACE: Duration = Duration::from_secs(5);
/// The Unix clock at [`Time::ZERO`], in milliseconds.
pub const UNIX_START_MS: u64 = 1_700_000_000_000;

/// A member may answer that it doesn't know a job for this long after the job was accepted.
const VISIBLE_WITHIN: Duration = Duration::from_secs(3);

/// A violation of one of the scheduler's guarantees.
#[derive(Clone, Debug, Display, PartialEq)]
#[display("seed {seed}, at {at}: {text}")]
pub struct Breach {
    /// Seed of the run.
    pub seed: u64,
    /// Time at which the judge detected the violation.
    pub at: Time,
    /// Description of the violation.
    pub text: Box<str>,
}

/// Result of a check.
pub type Verdict = Result<(), Breach>;

/// State of the judge: the events of the run so far that later checks need.
#[derive(Default)]
pub struct Rules {
    /// Seed of the run.
    pub seed: u64,
    /// The Unix clock at [`Time::ZERO`], in milliseconds.
    pub unix_ms: u64,
    /// Whether the rules with a time bound are checked.
    pub time_rules: bool,
    /// The rules with a time bound are suspended until this time.
    pub suspended_until: Time,
    /// Whether the rules on starts and on cancelled jobs are suspended for each machine alone, as
    /// `contact` says, rather than for all until `suspended_until`.
    pub per_machine: bool,
    /// Which machines are in touch.
    pub contact: Contact,
    /// Until this time, no customer counts as starving.
    pub disturbed_until: Time,
    /// Whether any fault has been injected.
    pub had_faults: bool,
    /// Jobs for which a cancel was sent, with the time of its acknowledgement ([`Time::NEVER`]
    /// until then).
    pub cancels: BTreeMap<JobNo, Time>,
    /// Accepted jobs, with the time of their acceptance.
    pub accepted: BTreeMap<JobNo, Time>,
    pub(super) refused: BTreeSet<JobNo>,
    /// Final states of jobs, as reported to callers.
    pub(super) final_states: BTreeMap<JobNo, JobState>,
    /// Latest token of each shard.
    tokens: BTreeMap<ShardNo, u64>,
    /// Runs that completed: run number, end time, and time of the owner's acknowledgement. An
    /// acknowledgement after the worker's lease has lapsed doesn't count, and the acknowledgement
    /// of one run doesn't cover other runs of the task.
    pub(super) done: BTreeMap<TaskKey, Vec<(u32, Time, Option<Time>)>>,
    /// Time of the latest start of each task.
    starts: BTreeMap<TaskKey, Time>,
    /// Runs that failed: run number, end time, and time of the owner's acknowledgement.
    pub(super) failed: BTreeMap<TaskKey, Vec<(u32, Time, Option<Time>)>>,
    /// Worker crashes under tasks.
    crashes: Crashes,
    /// The caps of customers.
    pub caps: Caps,
    /// The API keys of customers.
    pub keys: Keys,
    /// Customers that have work and nothing running.
    pub starvation: Starvation,
    /// Long-running tasks that aren't running.
    absences: Absences,
    /// Jobs that have room but don't run.
    pub(super) waits: Waits,
    /// Number of starts.
    pub start_count: u64,
}

impl Rules {
    /// Creates the judge of a run that hasn't begun, with all rules enabled.
    pub fn new(seed: u64) -> Self {
        Rules { seed, unix_ms: UNIX_START_MS, time_rules: true, ..Rules::default() }
    }

    pub(super) fn breach(&self, at: Time, text: String) -> Verdict {
        Err(Breach { seed: self.seed, at, text: text.into() })
    }

    /// Records that a fault is active now.
    pub fn record_fault(&mut self, now: Time) {
        self.disturbed_until = self.disturbed_until.max(now + FAULT_GRACE);
        self.record_planned(now);
    }

    /// Records that there is planned work of operators now, which suspends the rules with a time bound
    /// too, except for the one for starving customers.
    pub fn record_planned(&mut self, now: Time) {
        self.had_faults = true;
        self.suspended_until = self.suspended_until.max(now + FAULT_GRACE);
    }

    /// Checks the events since the last call and the runs that are active now.
    pub fn check(&mut self, world: &mut World) -> Verdict {
        for note in std::mem::take(&mut world.notes) {
            match note {
                Note::Start { at, worker, start, late } => {
                    self.start(world, at, worker, &start, late)?;
                }
                Note::Crash { task } => self.crashes.record(task, world.now),
                Note::End { at, end } => self.end(world, at, end.task, end.run, end.reason)?,
                Note::Acknowledged { task, run, how } => self.acknowledge(world, task, run, how)?,
                Note::Violation(text) => self.breach(world.now, text)?,
            }
        }
        self.check_running(world)?;
        self.check_long_running(world)?;
        self.check_waiting(world)?;
        self.check_starving(world)
    }

    /// Checks that no long-running task stays down for long while there is room for it.
    fn check_long_running(&mut self, world: &World) -> Verdict {
        if !self.time_rules {
            return Ok(());
        }
        let mut stays = std::mem::take(&mut self.absences);
        let owed = |no| {
            self.is_accepted(no)
                && !self.cancels.contains_key(&no)
                && self.caps.is_below_half(world, no)
        };
        let text = stays.overdue(world, self.suspended_until, owed);
        self.absences = stays;
        text.map_or(Ok(()), |text| self.breach(world.now, text))
    }

    /// Whether a job was accepted. If the test records no acceptances, every job counts as
    /// accepted.
    pub(super) fn is_accepted(&self, no: JobNo) -> bool {
        self.accepted.is_empty() || self.accepted.contains_key(&no)
    }

    /// Checks that no worker runs more than its size allows, that no task runs twice at once
    /// (except speculative copies), and that cancelled tasks stop in time.
    fn check_running(&self, world: &World) -> Verdict {
        let mut runs = HashSet::new();
        let overdue = CANCEL_GRACE + world.bounds.stop_time;
        for (at, w) in world.workers.iter().enumerate() {
            let used = world.used(at);
            if !used.fits(&w.size) {
                let text = format!("{} has {}, and {used} runs", world.id(at), w.size);
                return self.breach(world.now, text);
            }
            for run in &w.runs {
                let task = run.start.task;
                let copies = world.step(task.step).is_some_and(|s| s.copies);
                if !runs.insert(task) && !copies {
                    return self.breach(world.now, format!("{task} runs twice at once"));
                }
                let cancel = self.cancels.get(&task.step.job).filter(|_| self.time_rules);
                let Some(cancel) = cancel else { continue };
                let excused = match self.per_machine {
                    true => self.contact.run_excused(run.start.token, at),
                    false => self.suspended_until,
                };
                let since = excused.max(*cancel).max(run.started_at);
                if world.now > since + overdue {
                    return self
                        .breach(world.now, format!("{task} runs on, cancelled at {cancel}"));
                }
            }
        }
        Ok(())
    }

    fn start(
        &mut self,
        world: &World,
        at: Time,
        worker: usize,
        start: &Start,
        late: bool,
    ) -> Verdict {
        let task = start.task;
        let Some(step) = world.step(task.step) else {
            return self.breach(at, format!("{task} was asked for by nobody"));
        };
        let (w, record) = (&world.workers[worker], &world.jobs[&task.step.job]);
        let task_key = task_key(world, task);
        self.start_count += 1;
        self.starts.insert(task_key, at);
        if *start.payload != *record.job.text || task.index >= step.count {
            return self.breach(at, format!("{task} was not asked for like this: {start:?}"));
        }
        let pools = world.pools(task.step.job);
        if !pools.contains(&w.pool) || step.needs.as_ref().is_some_and(|n| !w.labels.contains(n)) {
            return self.breach(
                at,
                format!("{task} started at {}, which is none of its", world.id(worker)),
            );
        }
        let beside = w.runs.iter().filter(|r| r.start.task.step == task.step).count();
        if step.apart > 0 && beside > step.apart as usize {
            return self
                .breach(at, format!("{beside} of {} run at {}", task.step, world.id(worker)));
        }
        if let Some(before) = step.after.iter().find(|a| !self.step_done(world, task.step, **a)) {
            return self.breach(at, format!("{task} started before step {before} was done"));
        }
        if let Some(due) =
            due(record, task.step.time, self.unix_ms).filter(|d| at + START_TOLERANCE < *d)
        {
            return self.breach(at, format!("{task} started before it was due at {due}"));
        }
        if self.refused.contains(&task.step.job) {
            return self.breach(at, format!("{task} started, and its job was refused"));
        }
        if let Some(text) = self.caps.excess_start(world, start, late, at) {
            return self.breach(at, text);
        }
        self.check_crash_limit(world, at, task)?;
        self.check_start_times(world, at, worker, start, late)?;
        self.check_repeats(world, at, task_key)
    }

    /// Checks that a task that crashes its workers isn't started again without limit.
    fn check_crash_limit(&mut self, world: &World, at: Time, task: TaskKey) -> Verdict {
        let text = self.crashes.excess_start(world, at, task);
        text.map_or(Ok(()), |text| self.breach(at, text))
    }

    /// Time until which the owner with this token is excused from the rules for starts that have a time
    /// bound.
    pub fn start_excused(&self, token: u64) -> Time {
        if self.per_machine { self.contact.sender_excused(token) } else { self.suspended_until }
    }

    /// Checks the rules for starts that have a time bound.
    fn check_start_times(
        &self,
        world: &World,
        at: Time,
        worker: usize,
        start: &Start,
        late: bool,
    ) -> Verdict {
        let task = start.task;
        if late || at < self.start_excused(start.token) || !self.time_rules {
            return Ok(());
        }
        if let Some(c) = self.cancels.get(&task.step.job).filter(|c| at > **c + CANCEL_GRACE) {
            return self.breach(at, format!("{task} started, its job was cancelled at {c}"));
        }
        // A worker tells the store with a heartbeat that it leaves, which a fault of others may delay.
        let leaving = world.workers[worker].leaving_since.filter(|_| at >= self.suspended_until);
        if let Some(d) = leaving.filter(|d| at > *d + world.bounds.drain_time) {
            return self
                .breach(at, format!("{task} started at {}, leaving at {d}", world.id(worker)));
        }
        let noted = self.done.get(&task_key(world, task)).and_then(|d| d.iter().find_map(|r| r.2));
        if noted.is_some_and(|n| at > n + Duration::from_secs(1)) {
            return self.breach(at, format!("{task} started, it was noted as done before"));
        }
        Ok(())
    }

    /// Checks that no task starts after its acknowledged completion or after its last allowed
    /// failure was acknowledged.
    fn check_repeats(&self, world: &World, now: Time, task_key: TaskKey) -> Verdict {
        let Some(step) = world.step(task_key.step).filter(|s| !s.copies) else { return Ok(()) };
        let Some(&last) = self.starts.get(&task_key) else { return Ok(()) };
        let done = self.done.get(&task_key).map(Vec::as_slice).unwrap_or_default();
        if done.iter().any(|(_, end, noted)| noted.is_some() && last > *end) {
            return self.breach(now, format!("{task_key} started at {last}, after it was done"));
        }
        let most = world.queue(task_key.step.job).map_or(0, |q| q.attempts) as usize;
        let failed = self.failed.get(&task_key).map(Vec::as_slice).unwrap_or_default();
        let before = failed.iter().filter(|f| f.2.is_some() && f.1 < last).count();
        if before >= most && !step.lasts {
            return self
                .breach(now, format!("{task_key} started at {last}, after {before} failures"));
        }
        Ok(())
    }

    fn end(&mut self, world: &World, at: Time, task: TaskKey, run: u32, how: EndReason) -> Verdict {
        let task_key = task_key(world, task);
        match how {
            EndReason::Done => self.done.entry(task_key).or_default().push((run, at, None)),
            EndReason::Failed => self.failed.entry(task_key).or_default().push((run, at, None)),
            EndReason::Alone
                if self.time_rules
                    && !self.had_faults
                    && !self.cancels.contains_key(&task.step.job) =>
            {
                return self.breach(at, format!("{task} ended alone, and nothing was amiss"));
            }
            _ => {}
        }
        Ok(())
    }

    fn acknowledge(&mut self, world: &World, task: TaskKey, run: u32, how: EndReason) -> Verdict {
        let (task_key, now) = (task_key(world, task), world.now);
        let ends = match how {
            EndReason::Done => self.done.entry(task_key).or_default(),
            EndReason::Failed => self.failed.entry(task_key).or_default(),
            _ => return self.check_repeats(world, now, task_key),
        };
        if let Some(end) = ends.iter_mut().find(|e| e.0 == run) {
            end.2.get_or_insert(now);
        }
        self.check_repeats(world, now, task_key)
    }

    /// Whether all tasks of a step have completed.
    fn step_done(&self, world: &World, of: StepKey, step: u16) -> bool {
        let key = StepKey { step, ..of };
        let count = world.step(key).map_or(0, |s| s.count);
        let done = |index| self.done.contains_key(&task_key(world, TaskKey { step: key, index }));
        (0..count).all(done)
    }

    /// Whether all tasks of a job have completed.
    pub fn job_done(&self, world: &World, job: JobNo) -> bool {
        let Some(record) = world.jobs.get(&job) else { return false };
        let times = record.job.times.map_or(1, |t| t.count);
        let steps = record.job.steps.len() as u16;
        let all = (0..times).flat_map(|time| (0..steps).map(move |step| (time, step)));
        all.into_iter().all(|(time, step)| self.step_done(world, StepKey { job, time, step }, step))
    }

    /// Checks a job's state that a caller received or that a member stored.
    pub fn check_state(&self, world: &World, job: JobNo, state: JobState) -> Verdict {
        let most = world.queue(job).map_or(0, |q| q.attempts) as usize;
        let mine = self.failed.iter().filter(|(t, _)| t.step.job == job);
        let right = match state {
            JobState::Done => self.job_done(world, job),
            JobState::Failed => {
                mine.into_iter().any(|(_, f)| f.len() >= most) || self.crashes.may_fail(world, job)
            }
            JobState::Cancelled => self.cancels.contains_key(&job),
            JobState::Queued | JobState::Running => true,
        };
        if !right || !world.jobs.contains_key(&job) {
            return self.breach(world.now, format!("job {job} is shown as {state} without cause"));
        }
        Ok(())
    }

    /// Checks a job's state that a caller received. A final state must not change.
    pub fn check_reported(&mut self, world: &World, job: JobNo, state: JobState) -> Verdict {
        self.check_state(world, job, state)?;
        if let Some(before) = self.final_states.get(&job).filter(|s| **s != state) {
            return self
                .breach(world.now, format!("job {job} is {state}, and was {before} before"));
        }
        if state.is_final() {
            self.final_states.insert(job, state);
        }
        Ok(())
    }

    /// Checks the progress that a member stored for a job: it must not list a task as done that
    /// no worker has reported as done.
    pub fn check_progress(&self, world: &World, job: JobNo, progress: &Progress) -> Verdict {
        self.check_state(world, job, progress.state)?;
        for row in &progress.tasks {
            let step = StepKey { job, time: row.0, step: row.1 };
            let task_key = task_key(world, TaskKey { step, index: row.2 });
            if row.5 && !self.done.contains_key(&task_key) {
                return self
                    .breach(world.now, format!("{task_key} is stored as done, and it isn't"));
            }
        }
        Ok(())
    }

    /// Checks the acknowledgement of a task's completion against the job's stored progress. A
    /// worker forgets an end once it is acknowledged, so the store must hold it by then.
    pub fn check_acknowledged(
        &self,
        world: &World,
        task: TaskKey,
        stored: Option<&Progress>,
    ) -> Verdict {
        let Some(step) = world.step(task.step).filter(|s| !s.lasts) else { return Ok(()) };
        let mine = |r: &TaskRow| {
            (r.0, r.1) == (task.step.time, task.step.step) && (step.gang || r.2 == task.index)
        };
        let known = match stored {
            Some(stored) => stored.state.is_final() || stored.tasks.iter().any(|r| mine(r) && r.5),
            None => !self.accepted.contains_key(&task.step.job),
        };
        if known {
            return Ok(());
        }
        self.breach(world.now, format!("{task} is noted as done, and it isn't stored"))
    }

    /// Records that a caller is about to cancel a job.
    pub fn cancelling(&mut self, job: JobNo) {
        self.cancels.entry(job).or_insert(Time::NEVER);
    }

    /// Records that a cancel was acknowledged, which the first acknowledgement settles.
    pub fn cancelled(&mut self, at: Time, job: JobNo) {
        let first = self.cancels.entry(job).or_insert(at);
        *first = at.min(*first);
    }

    /// Number of jobs whose cancel was acknowledged.
    pub fn cancel_count(&self) -> usize {
        self.cancels.values().filter(|at| **at != Time::NEVER).count()
    }

    /// Records that a caller's submission was accepted.
    pub fn accepted(&mut self, at: Time, job: JobNo) -> Verdict {
        self.accepted.entry(job).or_insert(at);
        if self.refused.contains(&job) {
            return self.breach(at, format!("job {job} was refused, and then accepted"));
        }
        Ok(())
    }

    /// Records that each submission of a job was refused with an answer that promises that the
    /// job never runs.
    pub fn refused(&mut self, at: Time, job: JobNo) -> Verdict {
        self.refused.insert(job);
        match self.starts.keys().find(|t| t.step.job == job) {
            Some(task) => self.breach(at, format!("job {job} was refused, and {task} had started")),
            None => Ok(()),
        }
    }

    /// Checks the answer "no such job" to a request that a caller sent at `asked`.
    pub fn check_unknown(&self, asked: Time, job: JobNo) -> Verdict {
        match self.accepted.get(&job) {
            Some(at) if asked > *at + VISIBLE_WITHIN && !self.cancels.contains_key(&job) => {
                self.breach(asked, format!("job {job} isn't known, accepted at {at}"))
            }
            _ => Ok(()),
        }
    }

    /// Checks the token of an owner row that was written. A shard's tokens must not decrease.
    pub fn check_token(&mut self, at: Time, shard: ShardNo, token: u64) -> Verdict {
        let last = self.tokens.entry(shard).or_insert(token);
        let before = std::mem::replace(last, token);
        if token < before {
            return self.breach(at, format!("shard {shard} has token {token} after {before}"));
        }
        Ok(())
    }
}

/// The key under which a task is tracked: task 0 of the step for a gang, otherwise the task
/// itself.
pub(super) fn task_key(world: &World, task: TaskKey) -> TaskKey {
    let gang = world.step(task.step).is_some_and(|s| s.gang);
    TaskKey { index: if gang { 0 } else { task.index }, ..task }
}
