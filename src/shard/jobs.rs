//! The jobs of a shard: their steps, their tasks, and what each has come to.

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
    /// Nowhere: it waits.
    #[default]
    Waiting,
    /// At a worker.
    There(WorkerNo),
    /// Its work is done.
    Done,
}

/// A task.
#[derive(Clone, Debug, Default)]
pub struct Task {
    /// Where it is.
    pub at: At,
    /// Its last run; 0 before the first. Where a copy is beside it, the first of the two.
    pub run: u32,
    /// A copy: where, and its run.
    pub copy: Option<(WorkerNo, u32)>,
    /// The highest run that a copy had.
    pub top: u32,
    /// The runs that have failed.
    pub fails: Vec<u32>,
    /// The runs to which a worker's crash is laid.
    pub crashes: Vec<u32>,
    /// The run that a former owner had begun, until it is known what became of it; 0 is none.
    pub former: u32,
    /// Its last checkpoint.
    pub saved: Box<str>,
    /// When its last run that was seen here ended.
    pub left: Option<Time>,
}

impl Task {
    /// The highest run that it had.
    pub fn last(&self) -> u32 {
        self.run.max(self.top)
    }

    /// Whether this run is one of its own that is there.
    pub fn has(&self, at: WorkerNo, run: u32) -> bool {
        (self.at == At::There(at) && self.run == run) || self.copy == Some((at, run))
    }
}

/// What advice on a step has said.
#[derive(Clone, Debug, Default)]
pub struct Tickets {
    /// The workers that may run the step, and their tickets; what may run it does not change.
    pub good: FxHashMap<WorkerNo, (Box<str>, Time)>,
    /// The workers that were asked about.
    pub asked: FxHashSet<WorkerNo>,
    /// The workers that calls name which are out.
    pub out: FxHashSet<WorkerNo>,
    /// No call before.
    pub next: Time,
    /// When the calls were made which are out; for the log alone.
    pub calls: Vec<Time>,
    /// When the last answer came; for the log alone.
    pub heard: Option<Time>,
}

impl Tickets {
    /// Whether a call is out.
    pub fn asking(&self) -> bool {
        !self.out.is_empty()
    }
}

/// One step of one occurrence.
#[derive(Clone, Debug, Default)]
pub struct Part {
    /// Its tasks.
    pub tasks: Vec<Task>,
    /// How many are not done.
    pub left: u32,
    /// How many wait.
    pub waiting: u32,
    /// What advice has said.
    pub tickets: Tickets,
    /// Of a gang: no look for its places before.
    pub look: Time,
    /// Since when it could have begun.
    pub ready: Option<Time>,
    /// When advice first named a worker for it; for the log alone.
    pub advised: Option<Time>,
    /// Whether its first start was told; for the log alone.
    pub begun: bool,
    /// How long runs took that went from the beginning to the end of their work, in order.
    pub took: Vec<Duration>,
}

impl Part {
    /// Notes how long a whole run took.
    pub fn took(&mut self, time: Duration) {
        let at = self.took.partition_point(|t| *t < time);
        self.took.insert(at, time);
    }

    /// What a run of this step takes, by the median of at least `least` runs.
    pub fn expected(&self, least: usize) -> Option<Duration> {
        (self.took.len() >= least).then(|| self.took[self.took.len() / 2])
    }
}

/// A job that is not over.
#[derive(Clone, Debug)]
pub struct Active {
    /// The name of its queue.
    pub queue: Box<str>,
    /// When it came, in milliseconds of the Unix clock.
    pub came: u64,
    /// What it says.
    pub job: Job,
    /// Its state.
    pub state: State,
    /// Whether a former owner may have started something of it.
    pub old: bool,
    /// When this owner heard of it.
    pub heard: Time,
    /// Its steps that have come up, by occurrence and step.
    pub parts: BTreeMap<(u32, u16), Part>,
    /// The longest chain of steps by their estimates, from each step on.
    pub tails: Box<[Duration]>,
    /// In how many waves each step runs; empty until the workers are known.
    pub waves: Box<[u32]>,
    /// Whether its first start was told; for the log alone.
    pub begun: bool,
    /// The place in the journal of its last change.
    pub changed: u64,
    /// The place in the journal up to which it is stored.
    pub stored: u64,
}

impl Active {
    /// A job as it was stored, with what is known of it.
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
            let Some(part) = active.parts.get_mut(&(time, step)) else { continue };
            let Some(task) = part.tasks.get_mut(index as usize) else { continue };
            (task.run, task.fails, task.saved) = (run, fails.clone(), saved.clone());
            if done && task.at != At::Done {
                task.at = At::Done;
                part.left -= 1;
                part.waiting -= 1;
            }
            active.state = State::Running;
            active.begun = true;
        }
        for row in progress.map_or(&[][..], |p| &p.crashes) {
            let CrashRow(time, step, index, ref runs, former) = *row;
            let part = active.parts.get_mut(&(time, step));
            if let Some(task) = part.and_then(|p| p.tasks.get_mut(index as usize)) {
                (task.crashes, task.former) = (runs.clone(), former);
            }
        }
        active
    }

    /// The step of an occurrence, made if it is not there yet.
    pub fn part(&mut self, time: u32, step: u16) -> Option<&mut Part> {
        let count = self.job.steps.get(usize::from(step))?.count;
        Some(self.parts.entry((time, step)).or_insert_with(|| Part {
            tasks: vec![Task::default(); count as usize],
            left: count,
            waiting: count,
            ..Part::default()
        }))
    }

    /// The step that a key names.
    pub fn step(&self, key: &StepKey) -> Option<&Step> {
        self.job.steps.get(usize::from(key.step))
    }

    /// A task.
    pub fn task(&mut self, key: &TaskKey) -> Option<&mut Task> {
        let part = self.parts.get_mut(&(key.step.time, key.step.step))?;
        part.tasks.get_mut(key.index as usize)
    }

    /// Notes a task's checkpoint; for a gang, that of all its members.
    ///
    /// Guards against members that start from different checkpoints: ends that a former owner has not
    /// heard of, or of a worker that was given up, come in one by one, each with its own.
    pub fn keep(&mut self, key: &TaskKey, saved: &str) {
        let gang = self.step(&key.step).is_some_and(|s| s.gang);
        let Some(part) = self.parts.get_mut(&(key.step.time, key.step.step)) else { return };
        for (index, task) in (0..).zip(&mut part.tasks) {
            if gang || index == key.index {
                task.saved = saved.into();
            }
        }
    }

    /// One of a task's own runs has ended: where there is another, that goes on alone.
    pub fn leave(&mut self, key: &TaskKey, run: u32) {
        let Some(task) = self.task(key) else { return };
        match task.copy.take() {
            Some((_, copy)) if copy == run => {}
            Some((at, copy)) => (task.at, task.run) = (At::There(at), copy),
            None => self.put(key, At::Waiting),
        }
    }

    /// Moves a task; the counts of its step go along.
    pub fn put(&mut self, key: &TaskKey, at: At) {
        let Some(part) = self.parts.get_mut(&(key.step.time, key.step.step)) else { return };
        let Some(task) = part.tasks.get_mut(key.index as usize) else { return };
        match task.at {
            At::Waiting => part.waiting -= 1,
            At::Done => part.left += 1,
            At::There(_) => {}
        }
        match at {
            At::Waiting => part.waiting += 1,
            At::Done => part.left -= 1,
            At::There(_) => {}
        }
        task.at = at;
    }

    /// The longest chain of an occurrence's steps as the objective counts it: each step takes its
    /// waves, and as many runs more as one of its tasks has failed.
    pub fn allowed(&self, time: u32) -> Duration {
        let mut ends: Vec<Duration> = vec![];
        for (no, step) in (0_u16..).zip(&self.job.steps) {
            let waves = self.waves.get(usize::from(no)).copied().unwrap_or(1);
            let part = self.parts.get(&(time, no));
            let fails = part.and_then(|p| p.tasks.iter().map(|t| t.fails.len()).max()).unwrap_or(0);
            let runs = waves.saturating_add(u32::try_from(fails).unwrap_or(u32::MAX));
            let begin = step.after.iter().map(|a| ends[usize::from(*a)]).max().unwrap_or_default();
            ends.push(begin + Duration::from_millis(step.estimate).saturating_mul(runs));
        }
        ends.into_iter().max().unwrap_or_default()
    }

    /// How many occurrences it has.
    pub fn times(&self) -> u32 {
        self.job.times.map_or(1, |t| t.count)
    }

    /// When an occurrence is due, in milliseconds of the Unix clock.
    pub fn due(&self, time: u32) -> u64 {
        self.job.times.map_or(0, |t| t.first.saturating_add(t.every.saturating_mul(time.into())))
    }

    /// Whether all that a step waits for is done.
    pub fn free(&self, time: u32, step: u16) -> bool {
        let Some(s) = self.job.steps.get(usize::from(step)) else { return false };
        s.after.iter().all(|a| self.parts.get(&(time, *a)).is_some_and(|p| p.left == 0))
    }

    /// Whether all tasks of all occurrences are done.
    pub fn done(&self) -> bool {
        let wanted = self.times() as usize * self.job.steps.len();
        self.parts.len() == wanted && self.parts.values().all(|p| p.left == 0)
    }

    /// What is stored of it.
    pub fn progress(&self, over: u64) -> Progress {
        let (mut tasks, mut crashes) = (vec![], vec![]);
        if !self.state.over() {
            for ((time, step), part) in &self.parts {
                for (index, t) in (0..).zip(&part.tasks) {
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

    /// How many runs have failed, in all its tasks.
    pub fn failures(&self) -> u32 {
        let tasks = self.parts.values().flat_map(|p| &p.tasks);
        u32::try_from(tasks.map(|t| t.fails.len()).sum::<usize>()).unwrap_or(u32::MAX)
    }

    /// All tasks that are at a worker.
    pub fn there(&self, no: JobNo) -> Vec<(TaskKey, WorkerNo, u32)> {
        let mut all = vec![];
        for ((time, step), part) in &self.parts {
            let step = StepKey { job: no, time: *time, step: *step };
            for (index, task) in (0..).zip(&part.tasks) {
                if let At::There(at) = task.at {
                    all.push((TaskKey { step, index }, at, task.run));
                    all.extend(task.copy.map(|(at, run)| (TaskKey { step, index }, at, run)));
                }
            }
        }
        all
    }
}

/// The longest chain of steps by their estimates, from each step on.
fn tails(steps: &[Step]) -> Box<[Duration]> {
    let mut tails: Vec<u64> = steps.iter().map(|s| s.estimate).collect();
    for (i, step) in steps.iter().enumerate().rev() {
        for before in step.after.iter().map(|a| usize::from(*a)) {
            tails[before] = tails[before].max(steps[before].estimate.saturating_add(tails[i]));
        }
    }
    tails.into_iter().map(Duration::from_millis).collect()
}
