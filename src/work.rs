//! Jobs as callers submit them: steps of tasks with their requirements, and the queues and workers
//! of the configuration.

use {
    crate::{
        customers::Customers,
        error::{Error, Kind},
        ids::{PoolId, RackId, Zone},
        units::Size,
    },
    derive_more::Display,
    serde::{Deserialize, Serialize},
    std::{fmt, num::ParseIntError, str::FromStr, time::Duration},
};

/// Maximum number of tasks of a job, whose progress must fit into one record of the store.
pub const MAX_TASKS: u64 = 20_000;

/// Number of a job, chosen by its caller.
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

    /// Parses 16 lower-case hexadecimal digits; errs with [`Kind::BadRequest`] on anything else.
    fn from_str(s: &str) -> Result<Self, Error> {
        let plain = s.len() == 16 && s.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'));
        let bad = || Error::new(Kind::BadRequest, "a job's number has 16 hexadecimal digits");
        if !plain {
            return Err(bad());
        }
        u64::from_str_radix(s, 16).map(JobNo).map_err(|_| bad())
    }
}

/// Identifies a step of one occurrence of a job.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{job}.{time}.{step}")]
pub struct StepKey {
    /// The job.
    pub job: JobNo,
    /// Number of the occurrence, from 0.
    pub time: u32,
    /// Number of the step, from 0.
    pub step: u16,
}

/// Identifies a task.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
#[display("{step}.{index}")]
pub struct TaskKey {
    /// The step of the task.
    pub step: StepKey,
    /// Number of the task within the step, from 0.
    pub index: u32,
}

impl FromStr for TaskKey {
    type Err = Error;

    /// Parses the output of `Display`; errs with [`Kind::BadRequest`] on anything else.
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

/// A job as its caller submits it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Job {
    /// Payload that is passed to the workers with each task.
    pub text: Box<str>,
    /// The steps of the job.
    pub steps: Box<[Step]>,
    /// The occurrences of the job; `None` if it runs only once, as soon as possible.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub times: Option<Occurrences>,
}

/// The occurrences of a periodic job.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Occurrences {
    /// Number of occurrences; above 0.
    pub count: u32,
    /// Time at which the first occurrence is due, in milliseconds of Unix time.
    pub first: u64,
    /// Interval between occurrences, in milliseconds.
    pub every: u64,
}

/// A step of a job: a number of identical tasks.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct Step {
    /// Number of tasks; above 0.
    pub count: u32,
    /// Resources of a worker that each task needs.
    pub size: Size,
    /// Estimated duration of a task, in milliseconds.
    pub estimate: u64,
    /// Numbers of the steps that must be done before this one starts.
    pub after: Box<[u16]>,
    /// Whether the tasks write checkpoints.
    pub saves: bool,
    /// Whether the tasks form a gang, which makes progress only while all of them run.
    pub gang: bool,
    /// Whether the tasks run slower when spread over several racks.
    pub tight: bool,
    /// A label that the worker must have.
    pub needs: Option<Box<str>>,
    /// The rack on which the tasks run fastest.
    pub near: Option<RackId>,
    /// Maximum number of the step's tasks on one worker; 0 for no limit.
    pub apart: u32,
    /// Whether speculative copies of a task may run.
    pub copies: bool,
    /// Whether the tasks are long-running, that is, run until the job is cancelled.
    pub lasts: bool,
    /// The image that the tasks run.
    pub image: Box<str>,
    /// Tail latency below which the responses of a long-running task must stay, in milliseconds; 0
    /// for none.
    pub target: u64,
    /// Whether the tasks are fillers, which run on processors that other tasks leave unused.
    pub fills: bool,
    /// Maximum number of the step's long-running tasks that the scheduler may stop at the same time
    /// by its own decisions; `None` if the job does not say.
    pub may_miss: Option<u32>,
}

impl Step {
    /// Returns the resources reserved at a worker for one task. Fillers reserve no processors.
    pub fn reserved(&self) -> Size {
        let mut size = self.size;
        if self.fills {
            size.cores = Default::default();
        }
        size
    }
}

impl Job {
    /// Returns roughly how many bytes of memory the job takes.
    pub fn byte_count(&self) -> usize {
        let name = |name: &Option<Box<str>>| name.as_ref().map_or(0, |n| n.len());
        let step = |s: &Step| {
            let near = s.near.as_ref().map_or(0, |r| r.as_str().len());
            let after = size_of_val(&*s.after);
            size_of::<Step>() + after + name(&s.needs) + near + s.image.len()
        };
        self.text.len() + self.steps.iter().map(step).sum::<usize>()
    }

    /// Checks the rules that decoding alone does not enforce.
    ///
    /// Errs with [`Kind::BadRequest`] if a step has no task or names a step that does not precede
    /// it (so that there are no cycles), or if the job has no step, too many steps, no occurrence
    /// or more than [`MAX_TASKS`] tasks.
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
            return bad("a periodic job has at least one occurrence".into());
        }
        let tasks: u64 = self.steps.iter().map(|s| u64::from(s.count)).sum();
        let times = self.times.map_or(1, |t| u64::from(t.count));
        if tasks.saturating_mul(times) > MAX_TASKS {
            return bad(format!("a job has at most {MAX_TASKS} tasks"));
        }
        Ok(())
    }
}

/// The state of a job.
#[derive(Clone, Copy, Debug, Default, Display, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobState {
    /// No task has started.
    #[default]
    #[display("queued")]
    Queued,
    /// A task has started, and not all tasks have ended.
    #[display("running")]
    Running,
    /// All tasks have completed.
    #[display("completed")]
    Done,
    /// A task has failed as often as its queue allows.
    #[display("failed")]
    Failed,
    /// The caller has cancelled the job.
    #[display("cancelled")]
    Cancelled,
}

impl JobState {
    /// Returns whether the state is final, so that no task of the job will start again.
    pub fn is_final(self) -> bool {
        matches!(self, JobState::Done | JobState::Failed | JobState::Cancelled)
    }
}

/// A queue of the configuration: which requests it accepts and how its jobs are scheduled.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Queue {
    /// Name of the queue, the same in all versions of the configuration.
    pub name: Box<str>,
    /// Host that callers address; empty for any.
    pub host: Box<str>,
    /// Prefix of the paths that callers request.
    pub prefix: Box<str>,
    /// The pool of workers that run its tasks.
    pub pool: PoolId,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Number of failures of one task after which its job fails.
    pub attempts: u32,
    /// Factor by which a job may take longer than its longest chain of dependent steps.
    pub stretch: f64,
    /// Time that a job may take in addition to its stretched longest chain of steps.
    pub slack: Duration,
    /// Cost of placement advice on its steps; `None` if it needs no advice.
    pub advice: Option<AdviceCost>,
    /// Whether calls need no key. Jobs of such a queue belong to no customer.
    #[serde(default)]
    pub public: bool,
}

/// The cost of placement advice.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct AdviceCost {
    /// Time that an advice call takes, apart from the workers it names.
    pub base: Duration,
    /// Additional time that an advice call takes for each worker it names.
    pub each: Duration,
    /// Time for which a ticket is valid.
    pub valid: Duration,
}

/// One version of the configuration.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct QueueConfig {
    /// Version number; it rises with each change.
    pub version: u64,
    /// Revision of the configuration's item in the store; 0 if it is unknown.
    pub revision: u64,
    /// The queues.
    pub queues: Vec<Queue>,
    /// The pools.
    pub pools: Vec<Pool>,
    /// Largest body that a caller may send, in bytes.
    pub max_body: usize,
    /// The customers; `None` if the deployment has none, so that calls need no key.
    pub customers: Option<Customers>,
}

/// A pool of workers.
#[derive(Clone, Debug, PartialEq)]
pub struct Pool {
    /// Name of the pool.
    pub name: PoolId,
    /// Whether the pool's workers refuse tasks for which they have no room.
    pub checks_room: bool,
    /// Whether the pool is a standby pool, whose VMs are off.
    pub standby: bool,
}

impl QueueConfig {
    /// Returns the queue that accepts `host` and has the longest prefix of `path`.
    pub fn find_queue(&self, host: &str, path: &str) -> Option<&Queue> {
        let fits = |q: &&Queue| {
            (q.host.is_empty() || q.host.eq_ignore_ascii_case(host)) && path.starts_with(&*q.prefix)
        };
        self.queues.iter().filter(fits).max_by_key(|q| q.prefix.len())
    }

    /// Returns the queue with this name.
    pub fn queue_by_name(&self, name: &str) -> Option<&Queue> {
        self.queues.iter().find(|q| *q.name == *name)
    }
}

/// A worker's entry in the worker list.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedWorker {
    /// Id of the worker's present incarnation.
    pub id: crate::ids::WorkerId,
    /// The pool of the worker.
    pub pool: PoolId,
    /// Address on which the worker takes orders.
    pub addr: std::net::SocketAddr,
    /// Availability zone of the worker.
    pub zone: Zone,
    /// Whether the worker is leaving.
    pub draining: bool,
    /// When the worker's process started, in milliseconds of the Unix clock, if the entry says so.
    pub born_ms: Option<u64>,
    /// Minimum time for which a leaving worker stays.
    pub min_stay: Option<Duration>,
    /// Total resources of the worker.
    pub capacity: Size,
    /// Labels of the worker.
    pub labels: Box<[Box<str>]>,
}

impl ListedWorker {
    /// Returns the rack of the worker, or the worker's id if its labels name no rack.
    pub fn rack(&self) -> &str {
        self.labels.get(1).map_or(self.id.as_str(), |rack| rack)
    }

    /// Returns whether the worker has this label.
    pub fn has_label(&self, label: &str) -> bool {
        self.labels.iter().any(|l| **l == *label)
    }
}
