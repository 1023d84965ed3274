//! What a caller's job says: steps of tasks, and what each step asks for.

use {
    crate::{
        error::{Error, Kind},
        ids::{PoolId, RackId, Zone},
        units::Size,
    },
    derive_more::Display,
    serde::{Deserialize, Serialize},
    std::{fmt, num::ParseIntError, str::FromStr, time::Duration},
};

/// The most tasks of one job; a job's progress must fit into one record of the store.
pub const TASKS: u64 = 20_000;

/// A job's number, chosen by its caller.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct JobNo(pub u64);

impl fmt::Display for JobNo {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl fmt::Debug for JobNo {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

impl FromStr for JobNo {
    type Err = Error;

    /// Reads 16 lower-case hexadecimal digits; errs with [`Kind::BadRequest`] on anything else.
    fn from_str(s: &str) -> Result<Self, Error> {
        let plain = s.len() == 16 && s.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
        let bad = || Error::new(Kind::BadRequest, "a job's number has 16 hexadecimal digits");
        if !plain {
            return Err(bad());
        }
        u64::from_str_radix(s, 16).map(JobNo).map_err(|_| bad())
    }
}

/// One step of one occurrence of a job.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{job}.{time}.{step}")]
pub struct StepKey {
    /// The job.
    pub job: JobNo,
    /// The occurrence, from 0.
    pub time: u32,
    /// The step, from 0.
    pub step: u16,
}

/// One task.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{step}.{index}")]
pub struct TaskKey {
    /// Its step.
    pub step: StepKey,
    /// Its number within the step, from 0.
    pub index: u32,
}

impl FromStr for TaskKey {
    type Err = Error;

    /// Reads what `Display` writes; errs with [`Kind::BadRequest`] on anything else.
    fn from_str(s: &str) -> Result<Self, Error> {
        let bad = || Error::new(Kind::BadRequest, "a task's name has four parts");
        let mut parts = s.split('.');
        let mut next = || parts.next().ok_or_else(bad);
        let job = next()?.parse()?;
        let bad_number = |_: ParseIntError| bad();
        let time = next()?.parse().map_err(bad_number)?;
        let step = next()?.parse().map_err(bad_number)?;
        let index = next()?.parse().map_err(bad_number)?;
        if parts.next().is_some() {
            return Err(bad());
        }
        Ok(TaskKey { step: StepKey { job, time, step }, index })
    }
}

/// A job as its caller hands it in.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// What the workers are given with each task.
    pub text: Box<str>,
    /// Its steps.
    pub steps: Box<[Step]>,
    /// When it runs, where it runs at times.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub times: Option<Times>,
}

/// The occurrences of a job that runs at times.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Times {
    /// How often it runs; above 0.
    pub count: u32,
    /// When the first is due, in milliseconds of the Unix clock.
    pub first: u64,
    /// Between one and the next, in milliseconds.
    pub every: u64,
}

/// A step: so many alike tasks.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Step {
    /// How many tasks; above 0.
    pub count: u32,
    /// What each takes of a worker.
    pub size: Size,
    /// About how long each takes, in milliseconds.
    pub estimate: u64,
    /// The steps that must be done before, by their numbers.
    pub after: Box<[u16]>,
    /// Whether the tasks checkpoint.
    pub saves: bool,
    /// Whether the tasks work only together.
    pub gang: bool,
    /// Whether the tasks are slower on more than one rack.
    pub tight: bool,
    /// A label that the worker must have.
    pub needs: Option<Box<str>>,
    /// The rack on which the tasks are fastest.
    pub near: Option<RackId>,
    /// The most tasks on one worker; 0 is any number.
    pub apart: u32,
    /// Whether copies of a task may run side by side.
    pub copies: bool,
    /// Whether the tasks run until the job is cancelled.
    pub lasts: bool,
    /// What the tasks run.
    pub image: Box<str>,
    /// The tail, in milliseconds, below which a lasting task's response times must stay; 0 is none.
    pub target: u64,
    /// Whether the tasks live on the processors that others leave unused.
    pub fills: bool,
    /// How many lasting tasks may be away at once through the system's own doing.
    pub may_miss: Option<u32>,
}

impl Step {
    /// What a task is counted for at a worker.
    pub fn counted(&self) -> Size {
        let mut size = self.size;
        if self.fills {
            size.cores = Default::default();
        }
        size
    }
}

impl Job {
    /// Checks what the form alone can't rule out.
    ///
    /// Errs with [`Kind::BadRequest`] where a step has no task, names a step that isn't before it
    /// (so that no circle can be), or where the job has no step or over [`TASKS`] tasks.
    pub fn check(&self) -> Result<(), Error> {
        let bad = |why: String| Err(Error::new(Kind::BadRequest, why));
        if self.steps.is_empty() {
            return bad("a job has at least one step".into());
        }
        if self.steps.len() > usize::from(u16::MAX) {
            return bad("a job has at most 65535 steps".into());
        }
        for (i, step) in self.steps.iter().enumerate() {
            if step.count == 0 {
                return bad(format!("step {i} has no task"));
            }
            if let Some(after) = step.after.iter().find(|a| usize::from(**a) >= i) {
                return bad(format!("step {i} waits for step {after}, which isn't before it"));
            }
        }
        if self.times.is_some_and(|t| t.count == 0) {
            return bad("a job that runs at times runs at least once".into());
        }
        let tasks: u64 = self.steps.iter().map(|s| u64::from(s.count)).sum();
        let times = self.times.map_or(1, |t| u64::from(t.count));
        if tasks.saturating_mul(times) > TASKS {
            return bad(format!("a job has at most {TASKS} tasks"));
        }
        Ok(())
    }
}

/// How a job stands.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum State {
    /// No task has started.
    #[default]
    #[display("queued")]
    Queued,
    /// A task has started, and not all have ended.
    #[display("running")]
    Running,
    /// All tasks have ended as done.
    #[display("completed")]
    Done,
    /// A task has failed as often as its queue allows.
    #[display("failed")]
    Failed,
    /// Its caller has cancelled it.
    #[display("cancelled")]
    Cancelled,
}

impl State {
    /// Whether nothing of the job will start again.
    pub fn over(self) -> bool {
        matches!(self, State::Done | State::Failed | State::Cancelled)
    }
}

/// A queue, as the configuration has it: where its jobs come in and how they are served.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Its name, the same from version to version.
    pub name: Box<str>,
    /// The host that callers name.
    pub host: Box<str>,
    /// What their paths begin with.
    pub prefix: Box<str>,
    /// The workers that run its tasks.
    pub pool: PoolId,
    /// 0 comes first.
    pub priority: u8,
    /// How often a task may fail.
    pub attempts: u32,
    /// How many times its longest chain of work a job may take.
    pub stretch: f64,
    /// How much longer.
    pub slack: Duration,
    /// What advice on its steps costs, where it needs any.
    pub advice: Option<AdviceCost>,
}

/// What a call for advice takes.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct AdviceCost {
    /// Each call.
    pub base: Duration,
    /// Each worker named.
    pub each: Duration,
    /// How long its tickets are valid.
    pub valid: Duration,
}

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Queues {
    /// Counts up.
    pub version: u64,
    /// The queues.
    pub all: Vec<Queue>,
    /// The pools.
    pub pools: Vec<Pool>,
    /// The largest body of a caller, in bytes.
    pub body: usize,
}

/// A pool of workers.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// Its name.
    pub name: PoolId,
    /// Whether its workers refuse what does not fit.
    pub guards: bool,
    /// Whether its machines are off.
    pub standby: bool,
}

impl Queues {
    /// The queue whose host matches and whose prefix is the longest that `path` begins with.
    pub fn find(&self, host: &str, path: &str) -> Option<&Queue> {
        let fits = |q: &&Queue| {
            (q.host.is_empty() || q.host.eq_ignore_ascii_case(host)) && path.starts_with(&*q.prefix)
        };
        self.all.iter().filter(fits).max_by_key(|q| q.prefix.len())
    }

    /// The queue of a name.
    pub fn named(&self, name: &str) -> Option<&Queue> {
        self.all.iter().find(|q| *q.name == *name)
    }
}

/// A worker, as the list has it.
#[derive(Clone, Debug, PartialEq)]
pub struct Listed {
    /// One life of a worker.
    pub id: crate::ids::WorkerId,
    /// Its pool.
    pub pool: PoolId,
    /// Where it takes orders.
    pub addr: std::net::SocketAddr,
    /// Its availability zone.
    pub zone: Zone,
    /// Whether it is leaving.
    pub draining: bool,
    /// How long a leaving worker stays at least.
    pub left: Option<Duration>,
    /// What it has room for.
    pub size: Size,
    /// Its labels.
    pub labels: Box<[Box<str>]>,
}

impl Listed {
    /// Its rack, or its id where it names none.
    pub fn rack(&self) -> &str {
        self.labels.get(1).map_or(self.id.as_str(), |rack| rack)
    }

    /// Whether the worker has a label.
    pub fn has(&self, label: &str) -> bool {
        self.labels.iter().any(|l| **l == *label)
    }
}
