//! The jobs of a shard that are not over: the state of their steps, tasks and runs.

use {
    crate::{
        shard::{
            record::{CrashRow, JobRecord, Progress, TaskRow},
            workers::WorkerNo,
        },
        time::Time,
        work::{Job, JobNo, State, Step, StepKey, TaskKey},
    },
    rustc_hash::{FxHashMap, FxHashSet},
    std::{collections::BTreeMap, time::Duration},
};

/// Where a task is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum At {
    /// The task is at no worker and waits.
    #[default]
    Waiting,
    /// The task is assigned to this worker.
    There(WorkerNo),
    /// The task is done.
    Done,
}

/// The state of a task.
#[derive(Clone, Debug, Default)]
pub struct Task {
    /// Where the task is.
    pub at: At,
    /// The number of its last run; 0 before the first. If a speculative copy runs too, the earlier
    /// of the two.
    pub run: u32,
    /// The worker and the run of its speculative copy, if there is one.
    pub copy: Option<(WorkerNo, u32)>,
    /// The highest run number that a copy has had.
    pub top: u32,
    /// The runs that have failed.
    pub fails: Vec<u32>,
    /// The runs that are blamed for a worker's crash.
    pub crashes: Vec<u32>,
    /// The run that a former owner had begun, until its fate is known; 0 if there is none.
    pub former: u32,
    /// Its last checkpoint.
    pub saved: Box<str>,
    /// When the last run that this owner has seen ended.
    pub left: Option<Time>,
}

impl Task {
    /// The highest run number that it has had.
    pub fn last(&self) -> u32 {
        self.run.max(self.top)
    }

    /// Whether this run is its current run, or that of its copy, at this worker.
    pub fn has(&self, at: WorkerNo, run: u32) -> bool {
        (self.at == At::There(at) && self.run == run) || self.copy == Some((at, run))
    }
}

/// What advice has said about a step.
#[derive(Clone, Debug, Default)]
pub struct Tickets {
    /// The workers that may run the step, each with its ticket and the end of the ticket's
    /// validity. Whether a worker may run the step does not change.
    pub good: FxHashMap<WorkerNo, (Box<str>, Time)>,
    /// The workers that were asked about.
    pub asked: FxHashSet<WorkerNo>,
    /// The workers that unanswered calls name.
    pub out: FxHashSet<WorkerNo>,
    /// No call before this time.
    pub next: Time,
    /// When the unanswered calls were made; for the log only.
    pub calls: Vec<Time>,
    /// When the last answer arrived; for the log only.
    pub heard: Option<Time>,
}

impl Tickets {
    /// Whether a call is unanswered.
    pub fn asking(&self) -> bool {
        !self.out.is_empty()
    }
}

/// The state of one step in one occurrence of a job.
#[derive(Clone, Debug, Default)]
pub struct Part {
    /// Its tasks.
    pub tasks: Vec<Task>,
    /// The number of tasks that are not done.
    pub left: u32,
    /// The number of tasks that wait.
    pub waiting: u32,
    /// What advice has said about the step.
    pub tickets: Tickets,
    /// For a gang: no search for workers before this time.
    pub look: Time,
    /// When the step could first have started.
    pub ready: Option<Time>,
    /// When advice first named a worker for it; for the log only.
    pub advised: Option<Time>,
    /// Whether its first start was logged; for the log only.
    pub begun: bool,
    /// The durations of runs that did all of the work, in ascending order.
    pub took: Vec<Duration>,
}

impl Part {
    /// Adds the duration of a complete run.
    pub fn took(&mut self, time: Duration) {
        let at = self.took.partition_point(|t| *t < time);
        self.took.insert(at, time);
    }

    /// The expected duration of a run of this step: the median, if there are at least `least` runs.
    pub fn expected(&self, least: usize) -> Option<Duration> {
        (self.took.len() >= least).then(|| self.took[self.took.len() / 2])
    }
}

/// A job that is not over.
#[derive(Clone, Debug)]
pub struct Active {
    /// The name of its queue.
    pub queue: Box<str>,
    /// When it was submitted, in milliseconds of the Unix clock.
    pub came: u64,
    /// The specification of the job.
    pub job: Job,
    /// The state of the job.
    pub state: State,
    /// Whether a former owner may have started some of its tasks.
    pub old: bool,
    /// When this owner learnt of it.
    pub heard: Time,
    /// The steps of the occurrences that have come due, by occurrence and step.
    pub parts: BTreeMap<(u32, u16), Part>,
    /// For each step, the length of the longest chain of steps that begins with it, by their
    /// estimates.
    pub tails: Box<[Duration]>,
    /// The number of waves in which the tasks of each step run; empty until the workers are known.
    pub waves: Box<[u32]>,
    /// Whether its first start was counted; for the log only.
    pub begun: bool,
    /// The sequence number of its last change.
    pub changed: u64,
    /// The sequence number of the last change that is stored, or being written.
    pub stored: u64,
}

impl Active {
    /// Builds a job from its record and its stored progress.
    pub fn new(record: JobRecord, progress: Option<&Progress>, old: bool, heard: Time) -> Self {
        let mut active = Active {
            queue: record.queue,
            came: record.came,
            tails: tails(&record.job.steps),
            waves: [].into(),
            job: record.job,
            state: State::Queued,
            old,
            heard,
            parts: BTreeMap::new(),
            begun: false,
            changed: 0,
            stored: 0,
        };
        for row in progress.map_or(&[][..], |p| &p.tasks) {
            let TaskRow(time, step, index, run, ref fails, done, ref saved) = *row;
            active.part(time, step);
            let Some(step_state) = active.parts.get_mut(&(time, step)) else { continue };
            let Some(task) = step_state.tasks.get_mut(index as usize) else { continue };
            (task.run, task.fails, task.saved) = (run, fails.clone(), saved.clone());
            if done && task.at != At::Done {
                task.at = At::Done;
                step_state.left -= 1;
                step_state.waiting -= 1;
            }
            active.state = State::Running;
            active.begun = true;
        }
        for row in progress.map_or(&[][..], |p| &p.crashes) {
            let CrashRow(time, step, index, ref runs, former) = *row;
            let step_state = active.parts.get_mut(&(time, step));
            if let Some(task) = step_state.and_then(|p| p.tasks.get_mut(index as usize)) {
                (task.crashes, task.former) = (runs.clone(), former);
            }
        }
        active
    }

    /// The state of a step in an occurrence; created if it does not exist.
    pub fn part(&mut self, time: u32, step: u16) -> Option<&mut Part> {
        let count = self.job.steps.get(usize::from(step))?.count;
        Some(self.parts.entry((time, step)).or_insert_with(|| Part {
            tasks: vec![Task::default(); count as usize],
            left: count,
            waiting: count,
            ..Part::default()
        }))
    }

    /// The specification of the step with this key.
    pub fn step(&self, key: &StepKey) -> Option<&Step> {
        self.job.steps.get(usize::from(key.step))
    }

    /// The state of a task.
    pub fn task(&mut self, key: &TaskKey) -> Option<&mut Task> {
        let step_state = self.parts.get_mut(&(key.step.time, key.step.step))?;
        step_state.tasks.get_mut(key.index as usize)
    }

    /// Records a task's checkpoint; in a gang, as the checkpoint of all members.
    ///
    /// All members of a gang must start from the same checkpoint. Their ends can arrive one by one,
    /// each with a checkpoint of its own, if a former owner had not received them or their worker
    /// had been given up.
    pub fn keep(&mut self, key: &TaskKey, saved: &str) {
        let gang = self.step(&key.step).is_some_and(|s| s.gang);
        let Some(step_state) = self.parts.get_mut(&(key.step.time, key.step.step)) else { return };
        for (index, task) in (0..).zip(&mut step_state.tasks) {
            if gang || index == key.index {
                task.saved = saved.into();
            }
        }
    }

    /// Ends one of a task's runs. If the task has another run, that one continues alone.
    pub fn leave(&mut self, key: &TaskKey, run: u32) {
        let Some(task) = self.task(key) else { return };
        match task.copy.take() {
            Some((_, copy)) if copy == run => {}
            Some((at, copy)) => (task.at, task.run) = (At::There(at), copy),
            None => self.put(key, At::Waiting),
        }
    }

    /// Changes where a task is, and updates the counts of its step.
    pub fn put(&mut self, key: &TaskKey, at: At) {
        let Some(step_state) = self.parts.get_mut(&(key.step.time, key.step.step)) else { return };
        let Some(task) = step_state.tasks.get_mut(key.index as usize) else { return };
        match task.at {
            At::Waiting => step_state.waiting -= 1,
            At::Done => step_state.left += 1,
            At::There(_) => {}
        }
        match at {
            At::Waiting => step_state.waiting += 1,
            At::Done => step_state.left -= 1,
            At::There(_) => {}
        }
        task.at = at;
    }

    /// The longest chain of steps in an occurrence, as the objective counts it: a step takes its
    /// estimate once for each wave, plus once for each failure of its most often failed task.
    pub fn allowed(&self, time: u32) -> Duration {
        let mut ends: Vec<Duration> = vec![];
        for (no, step) in (0_u16..).zip(&self.job.steps) {
            let waves = self.waves.get(usize::from(no)).copied().unwrap_or(1);
            let step_state = self.parts.get(&(time, no));
            let fails =
                step_state.and_then(|p| p.tasks.iter().map(|t| t.fails.len()).max()).unwrap_or(0);
            let runs = waves.saturating_add(u32::try_from(fails).unwrap_or(u32::MAX));
            let begin = step.after.iter().map(|a| ends[usize::from(*a)]).max().unwrap_or_default();
            ends.push(begin + Duration::from_millis(step.estimate).saturating_mul(runs));
        }
        ends.into_iter().max().unwrap_or_default()
    }

    /// The number of occurrences.
    pub fn times(&self) -> u32 {
        self.job.times.map_or(1, |t| t.count)
    }

    /// When an occurrence is due, in milliseconds of the Unix clock.
    pub fn due(&self, time: u32) -> u64 {
        self.job.times.map_or(0, |t| t.first.saturating_add(t.every.saturating_mul(time.into())))
    }

    /// Whether all steps that a step depends on are done.
    pub fn free(&self, time: u32, step: u16) -> bool {
        let Some(s) = self.job.steps.get(usize::from(step)) else { return false };
        s.after.iter().all(|a| self.parts.get(&(time, *a)).is_some_and(|p| p.left == 0))
    }

    /// Whether all tasks of all occurrences are done.
    pub fn done(&self) -> bool {
        let wanted = self.times() as usize * self.job.steps.len();
        self.parts.len() == wanted && self.parts.values().all(|p| p.left == 0)
    }

    /// The record of its progress for the store. `over` is when the job ended, in milliseconds of
    /// the Unix clock, or 0.
    pub fn progress(&self, over: u64) -> Progress {
        let (mut tasks, mut crashes) = (vec![], vec![]);
        if !self.state.over() {
            for ((time, step), step_state) in &self.parts {
                for (index, t) in (0..).zip(&step_state.tasks) {
                    let done = t.at == At::Done;
                    let run = t.last();
                    if done || run > 0 {
                        let saved = if done { "".into() } else { t.saved.clone() };
                        let fails = t.fails.clone();
                        tasks.push(TaskRow(*time, *step, index, run, fails, done, saved));
                    }
                    if !done && !t.crashes.is_empty() {
                        let there = if let At::There(_) = t.at { t.run } else { t.former };
                        crashes.push(CrashRow(*time, *step, index, t.crashes.clone(), there));
                    }
                }
            }
        }
        Progress { state: self.state, over, queue: self.queue.clone(), tasks, crashes }
    }

    /// The number of failed runs, over all tasks.
    pub fn failures(&self) -> u32 {
        let tasks = self.parts.values().flat_map(|p| &p.tasks);
        u32::try_from(tasks.map(|t| t.fails.len()).sum::<usize>()).unwrap_or(u32::MAX)
    }

    /// All runs of tasks that are assigned to a worker, copies included.
    pub fn there(&self, no: JobNo) -> Vec<(TaskKey, WorkerNo, u32)> {
        let mut all = vec![];
        for ((time, step), step_state) in &self.parts {
            let step = StepKey { job: no, time: *time, step: *step };
            for (index, task) in (0..).zip(&step_state.tasks) {
                if let At::There(at) = task.at {
                    all.push((TaskKey { step, index }, at, task.run));
                    all.extend(task.copy.map(|(at, run)| (TaskKey { step, index }, at, run)));
                }
            }
        }
        all
    }
}

/// For each step, the length of the longest chain of steps that begins with it, by their estimates.
fn tails(steps: &[Step]) -> Box<[Duration]> {
    let mut tails: Vec<u64> = steps.iter().map(|s| s.estimate).collect();
    for (i, step) in steps.iter().enumerate().rev() {
        for before in step.after.iter().map(|a| usize::from(*a)) {
            tails[before] = tails[before].max(steps[before].estimate.saturating_add(tails[i]));
        }
    }
    tails.into_iter().map(Duration::from_millis).collect()
}
