//! Calls and replies of workers, and advice on which of them may run a step.

use {
    crate::{
        ids::WorkerId,
        work::{StepKey, TaskKey},
    },
    std::time::Duration,
};

/// A call of a worker.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkerCall {
    /// Starts a task's run.
    Start(Start),
    /// Stops a run, and bars it and those before it from starting later.
    Stop {
        /// The task.
        task: TaskKey,
        /// Its run.
        run: u32,
        /// The owner's token.
        token: u64,
    },
    /// Renews the lease of all that runs, and asks what runs and what has ended.
    Hold {
        /// Until when, in milliseconds of the worker's clock.
        until: Option<u64>,
        /// The owner's token.
        token: u64,
        /// The last end that is stored.
        seen: u64,
        /// How long the answer may wait for an end, in whole milliseconds.
        wait: Duration,
    },
    /// Lets a run work at a share of its speed.
    Pace {
        /// The task.
        task: TaskKey,
        /// Its run.
        run: u32,
        /// The share, in hundredths.
        percent: u8,
        /// The owner's token.
        token: u64,
    },
}

/// The start of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Start {
    /// The task.
    pub task: TaskKey,
    /// Its run.
    pub run: u32,
    /// What the job gives with each task.
    pub text: Box<str>,
    /// The lease, in milliseconds of the worker's clock.
    pub until: u64,
    /// The owner's token.
    pub token: u64,
    /// Where it goes on from; empty is the beginning.
    pub saved: Box<str>,
    /// What the advice gave.
    pub ticket: Option<Box<str>>,
}

/// The answer of a worker.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkerReply {
    /// Done; its clock, in milliseconds.
    Done(u64),
    /// Nothing was done; its clock, or 0 where the answer doesn't tell it, and why.
    Refused(u64, Refusal),
    /// What runs and what has ended.
    Held(Held),
    /// Another life answered: the one that was meant is over.
    Other,
    /// The worker is unwell, and nothing was done.
    Unwell,
}

/// Why a worker did nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// It has seen a higher token.
    Fence,
    /// This run, or a later one, was stopped or has ended there.
    Old,
    /// The lease was over when the order arrived.
    Late,
    /// It has no room.
    Room,
    /// The ticket is missing or no longer valid.
    Ticket,
    /// The order is not well-formed.
    Bad,
}

/// What a worker says of itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Held {
    /// Its clock, in milliseconds.
    pub clock: u64,
    /// What runs.
    pub running: Vec<Row>,
    /// What has ended and isn't noted.
    pub ended: Vec<End>,
}

/// The most ends in one answer.
pub const ENDS: usize = 500;

/// A run that is there.
#[derive(Clone, Debug, PartialEq)]
pub struct Row {
    /// The task.
    pub task: TaskKey,
    /// Its run.
    pub run: u32,
    /// Its last checkpoint; empty is none.
    pub saved: Box<str>,
    /// How much of its work is done, in hundredths.
    pub percent: u8,
    /// Of a task that serves, its tail in milliseconds; of others, the processors in use.
    pub load: u64,
}

/// A run that has ended.
#[derive(Clone, Debug, PartialEq)]
pub struct End {
    /// Counts the ends of one life of the worker, from 1.
    pub number: u64,
    /// The task.
    pub task: TaskKey,
    /// Its run.
    pub run: u32,
    /// How.
    pub how: How,
    /// Its last checkpoint; empty is none.
    pub saved: Box<str>,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq)]
pub enum How {
    /// Its work is done.
    #[display("done")]
    Done,
    /// Through its own fault or the worker's.
    #[display("failed")]
    Failed,
    /// It was stopped.
    #[display("stopped")]
    Stopped,
    /// Its lease ended.
    #[display("lapsed")]
    Lapsed,
    /// Another member of its gang ended.
    #[display("broken")]
    Broken,
    /// Its gang did not come together.
    #[display("alone")]
    Alone,
}

/// A call for advice: which of these workers may run a step.
#[derive(Clone, Debug, PartialEq)]
pub struct AdviceCall {
    /// The step.
    pub step: StepKey,
    /// The workers.
    pub workers: Vec<WorkerId>,
}

/// The answer to a call for advice: those that may, with a ticket for each, and how long these are
/// valid, where the answer says.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Advice {
    /// Worker and ticket.
    pub good: Vec<(WorkerId, Box<str>)>,
    /// How long the tickets are valid.
    pub valid: Option<Duration>,
}
