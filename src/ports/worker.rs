//! Calls to workers and their replies, and advice on the workers that may run a step.

use {
    crate::{
        ids::WorkerId,
        work::{StepKey, TaskKey},
    },
    std::time::Duration,
};

/// A call to a worker.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkerCall {
    /// Starts a run of a task.
    Start(Start),
    /// Stops a run, and prevents this run and earlier ones of the task from starting later.
    Stop {
        /// The task.
        task: TaskKey,
        /// Number of the run.
        run: u32,
        /// Token of the owner.
        token: u64,
    },
    /// Renews the lease of all runs at the worker, and asks which runs are present and which have
    /// ended.
    Hold {
        /// New end of the lease, in milliseconds of the worker's clock; `None` to keep the old end.
        until: Option<u64>,
        /// Token of the owner.
        token: u64,
        /// Number of the last ended run that the owner has stored.
        seen: u64,
        /// Time for which the worker may delay its answer until a run ends, in whole milliseconds.
        wait: Duration,
    },
    /// Throttles a run to a fraction of its full speed.
    Pace {
        /// The task.
        task: TaskKey,
        /// Number of the run.
        run: u32,
        /// Speed of the throttled run, in percent of its full speed.
        percent: u8,
        /// Token of the owner.
        token: u64,
    },
}

/// An order to start a run of a task.
#[derive(Clone, Debug, PartialEq)]
pub struct Start {
    /// The task.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// The payload that the job passes to each of its tasks.
    pub payload: Box<str>,
    /// End of the lease, in milliseconds of the worker's clock.
    pub lease_end_ms: u64,
    /// Token of the owner.
    pub token: u64,
    /// The checkpoint to continue from; empty to start from the beginning.
    pub checkpoint: Box<str>,
    /// The ticket that came with the placement advice.
    pub ticket: Option<Box<str>>,
}

/// The reply of a worker.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkerReply {
    /// The call was carried out; the worker's clock, in milliseconds.
    Done(u64),
    /// Nothing was done; the worker's clock in milliseconds, or 0 if the answer lacks it, and the
    /// reason.
    Refused(u64, WorkerRefusal),
    /// The runs that are present and those that have ended.
    Held(Held),
    /// Another incarnation answered: the addressed one has ended.
    Other,
    /// The worker is unwell, and nothing was done.
    Unwell,
}

/// The reason why a worker did nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WorkerRefusal {
    /// The worker has seen a higher token.
    Fence,
    /// This run or a later one of the task was stopped or has ended there.
    Old,
    /// The lease had expired when the order arrived.
    Late,
    /// The worker has too few free resources.
    Room,
    /// The ticket is missing or no longer valid.
    Ticket,
    /// The order is malformed.
    Bad,
}

/// A worker's report on its runs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Held {
    /// Clock of the worker, in milliseconds.
    pub clock_ms: u64,
    /// When the worker's process started, in milliseconds of the Unix clock; `None` if the worker
    /// doesn't report it.
    pub born_ms: Option<u64>,
    /// The runs that are present.
    pub running: Vec<PresentRun>,
    /// The ended runs that the owner has not yet confirmed as stored.
    pub ended: Vec<EndedRun>,
}

/// Maximum number of ended runs in one answer of a worker.
pub const MAX_ENDS: usize = 500;

/// A run that is present at a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct PresentRun {
    /// The task.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// The last checkpoint; empty if there is none.
    pub checkpoint: Box<str>,
    /// Progress of the run, in percent.
    pub percent: u8,
    /// Tail latency in milliseconds for a task that serves requests; processors in use for other
    /// tasks.
    pub load: u64,
}

/// A run that has ended.
#[derive(Clone, Debug, PartialEq)]
pub struct EndedRun {
    /// Sequence number of this ended run at the worker's incarnation, from 1.
    pub number: u64,
    /// The task.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// How the run ended.
    pub reason: EndReason,
    /// The last checkpoint; empty if there is none.
    pub checkpoint: Box<str>,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq)]
pub enum EndReason {
    /// The task has completed.
    #[display("done")]
    Done,
    /// The task or the worker failed.
    #[display("failed")]
    Failed,
    /// The run was stopped.
    #[display("stopped")]
    Stopped,
    /// The lease expired.
    #[display("lapsed")]
    Lapsed,
    /// Another member of the gang ended.
    #[display("broken")]
    Broken,
    /// The gang did not assemble in time.
    #[display("alone")]
    Alone,
}

/// A call for placement advice: which of these workers may run a step.
#[derive(Clone, Debug, PartialEq)]
pub struct AdviceCall {
    /// The step.
    pub step: StepKey,
    /// The candidate workers.
    pub workers: Vec<WorkerId>,
}

/// Placement advice: the workers that may run the step, each with a ticket, and the validity of the
/// tickets.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Advice {
    /// The accepted workers and their tickets.
    pub accepted: Vec<(WorkerId, Box<str>)>,
    /// Validity of the tickets; `None` if the answer does not state it.
    pub validity: Option<Duration>,
}
