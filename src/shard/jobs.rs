//! The unfinished jobs of a shard: the state of their steps, tasks and runs.

use {
    crate::{
        decide::{arrivals::Arrival, crash::remaining_pause},
        ids::PoolId,
        shard::{
            customer_cap::CustomerNo,
            record::{CrashRow, JobRecord, Progress, TaskRow},
            workers::WorkerNo,
        },
        time::{Time, millis},
        work::{Job, JobNo, JobState, Step, StepKey, TaskKey},
    },
    rustc_hash::{FxHashMap, FxHashSet},
    std::{collections::BTreeMap, time::Duration},
};

/// Whether a task is waiting, assigned to a worker or done.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Placement {
    /// The task is assigned to no worker and waits.
    #[default]
    Waiting,
    /// The task is assigned to this worker.
    Assigned(WorkerNo),
    /// The task is done.
    Done,
}

/// The state of a task.
#[derive(Clone, Debug, Default)]
pub struct Task {
    /// Where the task is.
    pub placement: Placement,
    /// The number of the task's last run; 0 before the first. While a speculative copy runs too,
    /// this is the run that began earlier.
    pub run: u32,
    /// The worker and the run number of the task's speculative copy, if there is one.
    pub copy: Option<(WorkerNo, u32)>,
    /// The highest run number of any speculative copy of the task.
    pub last_copy_run: u32,
    /// The numbers of the runs that have failed.
    pub failed_runs: Vec<u32>,
    /// The numbers of the runs that are blamed for a worker's crash; of a long-running task, those of
    /// the last crashes in a row.
    pub crashed_runs: Vec<u32>,
    /// The end of the pause that the last crash of a worker causes if it is one of several in a row.
    pub pause_end: Option<Time>,
    /// The number of the run that a former owner began and of which it is not known whether it
    /// ended; 0 if there is none.
    pub former_run: u32,
    /// The task's last checkpoint.
    pub checkpoint: Box<str>,
    /// End time of the last run seen by this owner.
    pub ended_at: Option<Time>,
    /// The number of advice calls made in a row while the task could not start.
    pub early_calls: u32,
    /// The number of times that this owner has stopped a run of the task for more urgent work.
    pub preemptions: u32,
}

impl Task {
    /// Returns the highest run number that the task has had.
    pub fn last_run(&self) -> u32 {
        self.run.max(self.last_copy_run)
    }

    /// Returns whether this run, at this worker, is the task's current run or the run of its
    /// speculative copy.
    pub fn has_run(&self, at: WorkerNo, run: u32) -> bool {
        (self.placement == Placement::Assigned(at) && self.run == run)
            || self.copy == Some((at, run))
    }
}

/// The answers to advice calls about a step, and the calls that are unanswered.
#[derive(Clone, Debug, Default)]
pub struct Tickets {
    /// The workers that may run the step, each with its ticket and the end of the ticket's
    /// validity. Whether a worker may run the step does not change.
    pub eligible: FxHashMap<WorkerNo, (Box<str>, Time)>,
    /// The workers that advice calls have named so far.
    pub asked_workers: FxHashSet<WorkerNo>,
    /// The workers named in advice calls that are still unanswered.
    pub pending_workers: FxHashSet<WorkerNo>,
    /// Earliest time for the next advice call.
    pub next_call: Time,
    /// The times at which the unanswered advice calls were made; for the log only.
    pub call_times: Vec<Time>,
    /// Arrival time of the last answer to an advice call; for the log only.
    pub answered_at: Option<Time>,
}

impl Tickets {
    /// Returns whether an advice call is unanswered.
    pub fn is_pending(&self) -> bool {
        !self.pending_workers.is_empty()
    }
}

/// The state of one step in one occurrence of a job.
#[derive(Clone, Debug, Default)]
pub struct StepState {
    /// The tasks of the step.
    pub tasks: Vec<Task>,
    /// The number of tasks that are not done.
    pub unfinished_count: u32,
    /// The number of tasks that are waiting.
    pub waiting_count: u32,
    /// What advice has said about the step.
    pub tickets: Tickets,
    /// Earliest time for the next search for workers; used for gangs only.
    pub next_gang_search: Time,
    /// The time from which the step could have started.
    pub ready_since: Option<Time>,
    /// The time at which advice first named a worker for the step; for the log only.
    pub advised_at: Option<Time>,
    /// Whether the step's first start has been logged; for the log only.
    pub start_logged: bool,
    /// The durations of the runs that did all of a task's work, in ascending order.
    pub run_durations: Vec<Duration>,
}

impl StepState {
    /// Adds the duration of a run that did all of a task's work.
    pub fn add_duration(&mut self, time: Duration) {
        let at = self.run_durations.partition_point(|t| *t < time);
        self.run_durations.insert(at, time);
    }

    /// Returns the expected duration of a run of this step: the median of the recorded durations,
    /// or `None` if there are fewer than `min_count`.
    pub fn expected_duration(&self, min_count: usize) -> Option<Duration> {
        (self.run_durations.len() >= min_count)
            .then(|| self.run_durations[self.run_durations.len() / 2])
    }
}

/// A job that has not ended.
#[derive(Clone, Debug)]
pub struct ActiveJob {
    /// The name of the job's queue.
    pub queue: Box<str>,
    /// The pool whose workers run the job; `None` until it is known.
    pub pool: Option<PoolId>,
    /// The customer to whom the job belongs, if any.
    pub customer: Option<CustomerNo>,
    /// The job's place among the arrivals of its customer.
    pub arrival: Option<Arrival>,
    /// Whether the job was submitted beyond the customer's quota, as far as that is known.
    pub over_quota: bool,
    /// The time at which the job was submitted, in milliseconds of the Unix clock.
    pub submitted_ms: u64,
    /// The specification of the job.
    pub job: Job,
    /// The state of the job.
    pub state: JobState,
    /// The state before the job's end was decided.
    pub prior_state: JobState,
    /// Whether a former owner may have started some tasks of the job.
    pub inherited: bool,
    /// The time at which this owner learnt of the job.
    pub known_since: Time,
    /// The steps of the occurrences that have come due, by occurrence and step.
    pub step_states: BTreeMap<(u32, u16), StepState>,
    /// For each step, the summed estimates of the longest chain of steps that begins with it.
    pub chain_lengths: Box<[Duration]>,
    /// For each step, the number of batches in which its tasks have to run one after another; empty
    /// until the workers are known.
    pub waves: Box<[u32]>,
    /// For each step, the work of one of its tasks ([`crate::decide::utility::task_work`]); empty
    /// until the workers are known.
    pub task_works: Box<[f64]>,
    /// Whether the job's first start has been counted; for the log only.
    pub start_counted: bool,
    /// The sequence number of the job's last change.
    pub changed_seq: u64,
    /// The sequence number of the last change that is stored, or being written.
    pub stored_seq: u64,
    /// The time at which this owner decided that the job is over.
    pub ended_at: Option<Time>,
    /// Whether a write of the job's end has begun, whatever its outcome.
    pub end_sent: bool,
}

impl ActiveJob {
    /// Returns whether the job has a change that is neither stored nor being written.
    pub fn is_unwritten(&self) -> bool {
        self.changed_seq > self.stored_seq
    }

    /// Builds a job from its record and its stored progress. `epoch_ms` is the Unix time at
    /// [`Time::ZERO`], in milliseconds.
    pub fn new(
        record: JobRecord,
        progress: Option<&Progress>,
        from_former_owner: bool,
        learnt_at: Time,
        epoch_ms: u64,
    ) -> Self {
        let mut active = ActiveJob {
            queue: record.queue,
            pool: record.queue_settings.map(|q| q.pool),
            customer: None,
            arrival: None,
            over_quota: false,
            submitted_ms: record.submitted_ms,
            chain_lengths: longest_chains(&record.job.steps),
            waves: [].into(),
            task_works: [].into(),
            job: record.job,
            state: JobState::Queued,
            prior_state: JobState::Queued,
            inherited: from_former_owner,
            known_since: learnt_at,
            step_states: BTreeMap::new(),
            start_counted: false,
            changed_seq: 0,
            stored_seq: 0,
            ended_at: None,
            end_sent: false,
        };
        for row in progress.map_or(&[][..], |p| &p.tasks) {
            let TaskRow(time, step, index, run, ref fails, done, ref saved) = *row;
            active.step_state_mut(time, step);
            let Some(step_state) = active.step_states.get_mut(&(time, step)) else { continue };
            let Some(task) = step_state.tasks.get_mut(index as usize) else { continue };
            (task.run, task.failed_runs, task.checkpoint) = (run, fails.clone(), saved.clone());
            if done && task.placement != Placement::Done {
                task.placement = Placement::Done;
                step_state.unfinished_count -= 1;
                step_state.waiting_count -= 1;
            }
            active.state = JobState::Running;
            active.start_counted = true;
        }
        for (i, row) in progress.map_or(&[][..], |p| &p.crashes).iter().enumerate() {
            let CrashRow(time, step, index, ref runs, former) = *row;
            let stored_end = progress.and_then(|p| p.pause_ends_ms.get(i));
            let step_state = active.step_states.get_mut(&(time, step));
            if let Some(task) = step_state.and_then(|p| p.tasks.get_mut(index as usize)) {
                (task.crashed_runs, task.former_run) = (runs.clone(), former);
                let pause = remaining_pause(
                    stored_end.copied(),
                    epoch_ms + millis(learnt_at.since(Time::ZERO)),
                );
                task.pause_end = (!runs.is_empty()).then_some(learnt_at + pause);
            }
        }
        active
    }

    /// Returns the state of a step in an occurrence, and creates it if it does not exist.
    pub fn step_state_mut(&mut self, time: u32, step: u16) -> Option<&mut StepState> {
        let count = self.job.steps.get(usize::from(step))?.count;
        Some(self.step_states.entry((time, step)).or_insert_with(|| StepState {
            tasks: vec![Task::default(); count as usize],
            unfinished_count: count,
            waiting_count: count,
            ..StepState::default()
        }))
    }

    /// Returns the specification of the step with this key.
    pub fn step(&self, key: &StepKey) -> Option<&Step> {
        self.job.steps.get(usize::from(key.step))
    }

    /// Returns the state of a task.
    pub fn task(&mut self, key: &TaskKey) -> Option<&mut Task> {
        let step_state = self.step_states.get_mut(&(key.step.time, key.step.step))?;
        step_state.tasks.get_mut(key.index as usize)
    }

    /// Records a task's checkpoint; in a gang, as the checkpoint of all members.
    ///
    /// All members of a gang must start from the same checkpoint. Their ends can arrive one by one,
    /// each with a checkpoint of its own, if a former owner had not received them or their worker
    /// had been given up.
    pub fn save_checkpoint(&mut self, key: &TaskKey, saved: &str) {
        let gang = self.step(&key.step).is_some_and(|s| s.gang);
        let Some(step_state) = self.step_states.get_mut(&(key.step.time, key.step.step)) else {
            return;
        };
        for (index, task) in (0..).zip(&mut step_state.tasks) {
            if gang || index == key.index {
                task.checkpoint = saved.into();
            }
        }
    }

    /// Removes one of a task's runs. If the task has another run, that run becomes its only one.
    pub fn end_run(&mut self, key: &TaskKey, run: u32) {
        let Some(task) = self.task(key) else { return };
        match task.copy.take() {
            Some((_, copy)) if copy == run => {}
            Some((at, copy)) => (task.placement, task.run) = (Placement::Assigned(at), copy),
            None => self.set_placement(key, Placement::Waiting),
        }
    }

    /// Sets a task's placement, and updates the counts of its step.
    pub fn set_placement(&mut self, key: &TaskKey, at: Placement) {
        let Some(step_state) = self.step_states.get_mut(&(key.step.time, key.step.step)) else {
            return;
        };
        let Some(task) = step_state.tasks.get_mut(key.index as usize) else { return };
        match task.placement {
            Placement::Waiting => step_state.waiting_count -= 1,
            Placement::Done => step_state.unfinished_count += 1,
            Placement::Assigned(_) => {}
        }
        match at {
            Placement::Waiting => step_state.waiting_count += 1,
            Placement::Done => step_state.unfinished_count -= 1,
            Placement::Assigned(_) => {}
        }
        task.placement = at;
    }

    /// Returns the length of the longest chain of steps in an occurrence as the latency objective
    /// defines it: a step takes its estimate once for each batch of its tasks, plus once for each
    /// failure of the task that failed most often.
    pub fn objective_time(&self, time: u32) -> Duration {
        let mut ends: Vec<Duration> = vec![];
        for (no, step) in (0_u16..).zip(&self.job.steps) {
            let waves = self.waves.get(usize::from(no)).copied().unwrap_or(1);
            let step_state = self.step_states.get(&(time, no));
            let fails = step_state
                .and_then(|p| p.tasks.iter().map(|t| t.failed_runs.len()).max())
                .unwrap_or(0);
            let runs = waves.saturating_add(u32::try_from(fails).unwrap_or(u32::MAX));
            let begin = step.after.iter().map(|a| ends[usize::from(*a)]).max().unwrap_or_default();
            let length = Duration::from_millis(step.estimate).saturating_mul(runs);
            ends.push(begin.saturating_add(length));
        }
        ends.into_iter().max().unwrap_or_default()
    }

    /// Returns the number of occurrences.
    pub fn occurrences(&self) -> u32 {
        self.job.times.map_or(1, |t| t.count)
    }

    /// Returns the time at which an occurrence is due, in milliseconds of the Unix clock.
    pub fn due_ms(&self, time: u32) -> u64 {
        self.job.times.map_or(0, |t| t.first.saturating_add(t.every.saturating_mul(time.into())))
    }

    /// Returns whether all steps that a step depends on are done.
    pub fn is_unblocked(&self, time: u32, step: u16) -> bool {
        let Some(s) = self.job.steps.get(usize::from(step)) else { return false };
        s.after
            .iter()
            .all(|a| self.step_states.get(&(time, *a)).is_some_and(|p| p.unfinished_count == 0))
    }

    /// Returns whether all tasks of all occurrences are done.
    pub fn is_done(&self) -> bool {
        let wanted = self.occurrences() as usize * self.job.steps.len();
        self.step_states.len() == wanted
            && self.step_states.values().all(|p| p.unfinished_count == 0)
    }

    /// Returns the record of the job's progress for the store. `ended_ms` is the time at which the job
    /// ended, in milliseconds of the Unix clock, or 0; `epoch_ms` is the Unix time at
    /// [`Time::ZERO`].
    pub fn progress(&self, ended_ms: u64, epoch_ms: u64) -> Progress {
        let (mut tasks, mut crashes, mut pause_ends_ms) = (vec![], vec![], vec![]);
        if !self.state.is_final() {
            for ((time, step), step_state) in &self.step_states {
                for (index, t) in (0..).zip(&step_state.tasks) {
                    let done = t.placement == Placement::Done;
                    let run = t.last_run();
                    if done || run > 0 {
                        let saved = if done { "".into() } else { t.checkpoint.clone() };
                        let fails = t.failed_runs.clone();
                        tasks.push(TaskRow(*time, *step, index, run, fails, done, saved));
                    }
                    if !done && !t.crashed_runs.is_empty() {
                        let there = if let Placement::Assigned(_) = t.placement {
                            t.run
                        } else {
                            t.former_run
                        };
                        crashes.push(CrashRow(*time, *step, index, t.crashed_runs.clone(), there));
                        let end = t.pause_end.unwrap_or(Time::ZERO);
                        pause_ends_ms.push(epoch_ms + millis(end.since(Time::ZERO)));
                    }
                }
            }
        }
        let (state, queue) = (self.state, self.queue.clone());
        Progress { state, ended_ms, queue, tasks, crashes, pause_ends_ms }
    }

    /// Returns the number of failed runs of all tasks together.
    pub fn failures(&self) -> u32 {
        let tasks = self.step_states.values().flat_map(|p| &p.tasks);
        u32::try_from(tasks.map(|t| t.failed_runs.len()).sum::<usize>()).unwrap_or(u32::MAX)
    }

    /// Returns all runs of tasks that are assigned to a worker, including speculative copies.
    pub fn assigned_runs(&self, no: JobNo) -> Vec<(TaskKey, WorkerNo, u32)> {
        let mut all = vec![];
        for ((time, step), step_state) in &self.step_states {
            let step = StepKey { job: no, time: *time, step: *step };
            for (index, task) in (0..).zip(&step_state.tasks) {
                if let Placement::Assigned(at) = task.placement {
                    all.push((TaskKey { step, index }, at, task.run));
                    all.extend(task.copy.map(|(at, run)| (TaskKey { step, index }, at, run)));
                }
            }
        }
        all
    }
}

/// Returns for each step the summed estimates of the longest chain of steps that begins with it.
fn longest_chains(steps: &[Step]) -> Box<[Duration]> {
    let mut tails: Vec<u64> = steps.iter().map(|s| s.estimate).collect();
    for (i, step) in steps.iter().enumerate().rev() {
        for before in step.after.iter().map(|a| usize::from(*a)) {
            tails[before] = tails[before].max(steps[before].estimate.saturating_add(tails[i]));
        }
    }
    tails.into_iter().map(Duration::from_millis).collect()
}
