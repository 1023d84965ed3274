//! The ports between the product and the outside: typed calls, and how a form writes and reads them.
//!
//! A form is a [`Forms`]: plain functions that turn a call into a [`Wire`] request and its answer
//! into a typed reply. It keeps nothing and decides nothing; deadlines, repeats and what follows
//! from an answer are the product's.

use {
    crate::{
        error::Error,
        ids::WorkerId,
        work::{Job, Listed, Queues, State, StepKey, TaskKey},
    },
    bytes::Bytes,
    std::{net::SocketAddr, time::Duration},
};

/// The number of a change in the store, over all its keys; rises.
pub type Rev = u64;

/// One request as it goes out.
#[derive(Clone, Debug, PartialEq)]
pub struct Wire {
    /// The method.
    pub method: &'static str,
    /// The path with its query.
    pub path: Box<str>,
    /// Headers besides the host's.
    pub headers: Vec<(&'static str, Box<str>)>,
    /// The body; empty where there is none.
    pub body: Bytes,
}

/// Why a call has no reply.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// It was refused: nothing was done, and nothing will be.
    Refused,
    /// It could not be sent: nothing was done.
    Unsent,
    /// No answer: it may have been done, or may be later.
    Unknown,
    /// An answer that can't be read.
    Bad(Box<str>),
}

/// A call of the store.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreCall {
    /// Reads one item.
    Get {
        /// Its key.
        key: Box<str>,
    },
    /// Reads one page of items.
    Range {
        /// What their keys begin with.
        prefix: Box<str>,
        /// The key before the first, or nothing.
        after: Box<str>,
        /// Whether it may be seconds old.
        stale: bool,
    },
    /// Waits for changes.
    Watch {
        /// What their keys begin with.
        prefix: Box<str>,
        /// The change after which.
        after: Rev,
        /// How long at most.
        wait: Duration,
    },
    /// Changes items, all or none.
    Txn(Txn),
    /// Makes a lease.
    Lease {
        /// How long it lasts without being renewed.
        ttl: Duration,
    },
    /// Renews a lease.
    Keep {
        /// Its number.
        lease: u64,
    },
    /// Ends a lease.
    EndLease {
        /// Its number.
        lease: u64,
    },
}

impl StoreCall {
    /// Whether the call may be made twice: it changes nothing, or only what is so already.
    pub fn repeats(&self) -> bool {
        !matches!(self, StoreCall::Txn(_) | StoreCall::Lease { .. })
    }
}

/// A change of items, all or none.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Txn {
    /// Items and the revisions that they must have; 0 where there must be none.
    pub expect: Vec<(Box<str>, Rev)>,
    /// What is written.
    pub puts: Vec<Put>,
    /// What is removed.
    pub remove: Vec<Box<str>>,
}

/// The most rows of one [`Txn`], of all three kinds together.
pub const ROWS: usize = 32;

/// One item to be written.
#[derive(Clone, Debug, PartialEq)]
pub struct Put {
    /// Its key.
    pub key: Box<str>,
    /// Its value.
    pub value: Bytes,
    /// The lease with which it ends; 0 is none.
    pub lease: u64,
}

/// One item.
#[derive(Clone, Debug, PartialEq)]
pub struct Item {
    /// Its key.
    pub key: Box<str>,
    /// Its value; none where it was removed.
    pub value: Option<Bytes>,
    /// Its last change; 0 where there is no such item.
    pub rev: Rev,
}

/// The answer of the store.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreReply {
    /// One item, or none.
    Item(Option<Item>),
    /// Items, whether there are more, and the store's revision.
    Page(Vec<Item>, bool, Rev),
    /// Changes, and the revision after which to go on.
    Events(Vec<Item>, Rev),
    /// The changes asked for are forgotten: read the range again.
    Forgotten,
    /// Done, with its revision.
    Done(Rev),
    /// Nothing was done: how the items expected stand.
    Conflict(Vec<Item>),
    /// There is no such lease: nothing was done.
    NoLease,
    /// A lease: its number and how long it lasts.
    Lease(u64, Duration),
    /// Renewed or ended.
    Kept,
}

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

/// One page of the list of machines: the lives of workers that are there now.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Lives {
    /// The lives; one that is not on any page is over, unless it is newer than the list.
    pub ids: Vec<WorkerId>,
    /// The token of the next page; none on the last.
    pub next: Option<Box<str>>,
}

/// What a process learns at its start and on a reload.
#[derive(Clone, Debug, PartialEq)]
pub struct Site {
    /// This machine's name.
    pub node: Box<str>,
    /// Its availability zone.
    pub zone: crate::ids::Zone,
    /// Its share of a processor, in cores.
    pub cores: f64,
    /// Where callers come in.
    pub callers: SocketAddr,
    /// Where the balancer asks whether this member is ready.
    pub ready: SocketAddr,
    /// Where other members call.
    pub control: SocketAddr,
    /// Where metrics are shown: at the first of these that is free.
    pub metrics: Box<[SocketAddr]>,
    /// The store.
    pub store: SocketAddr,
    /// The advice service, where there is one.
    pub advice: Option<SocketAddr>,
    /// The list of machines, where there is one.
    pub lives: Option<SocketAddr>,
    /// Bounds.
    pub bounds: Bounds,
}

/// The bounds of a deployment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// The longest lease of what runs at a worker.
    pub hold: Duration,
    /// The longest that a stop takes.
    pub stop: Duration,
    /// How long a gang's members wait for each other.
    pub gang: Duration,
    /// How long the state of a job that is over is kept.
    pub keep: Duration,
    /// How much longer work takes away from its rack.
    pub remote: f64,
    /// The work between two checkpoints.
    pub save: Duration,
    /// How long a start from a checkpoint takes.
    pub restore: Duration,
    /// How long a lasting task may be over its target.
    pub harm: Duration,
    /// How long after a start a lasting task may not be at work yet.
    pub notice: Duration,
    /// How long after an acknowledged change of it the configuration may be behind.
    pub config: Duration,
    /// How long after its notice a leaving worker may still get work.
    pub drain: Duration,
    /// How long a stop of this process may take.
    pub grace: Duration,
    /// The shortest lease of the store.
    pub ttl: Duration,
}

/// A form: how the outside is spoken to.
#[derive(Clone, Copy)]
pub struct Forms {
    /// Reads the settings file.
    pub settings: fn(&str) -> Result<Site, Error>,
    /// The path that the balancer asks.
    pub ready: &'static str,
    /// The header in which a caller says how long it waits, in milliseconds.
    pub deadline: &'static str,
    /// The key of the configuration.
    pub config: &'static str,
    /// What the keys of the list of workers begin with; the worker's id follows.
    pub workers: &'static str,
    /// Reads the configuration.
    pub queues: fn(&[u8]) -> Result<Queues, Error>,
    /// Reads a worker's entry of the list.
    pub listed: fn(&str, &[u8]) -> Result<Listed, Error>,
    /// Writes a call of the store.
    pub ask_store: fn(&StoreCall) -> Wire,
    /// Reads the store's answer: status and body.
    pub store: fn(&StoreCall, u16, &[u8]) -> Result<StoreReply, Fault>,
    /// Writes a call of the worker with this id.
    pub ask_worker: fn(&WorkerId, &WorkerCall) -> Wire,
    /// Reads the worker's answer.
    pub worker: fn(&WorkerCall, u16, &[u8]) -> Result<WorkerReply, Fault>,
    /// Writes a call for advice.
    pub ask_advice: fn(&AdviceCall) -> Wire,
    /// Reads the advice.
    pub advice: fn(u16, &[u8]) -> Result<Advice, Fault>,
    /// Writes the call for a page of the list of machines; the first has no token.
    pub ask_lives: fn(&str) -> Wire,
    /// Reads a page of the list of machines.
    pub lives: fn(u16, &[u8]) -> Result<Lives, Fault>,
    /// Reads a caller's job.
    pub job: fn(&[u8]) -> Result<Job, Error>,
    /// Writes a job's state.
    pub state: fn(State) -> Bytes,
    /// Writes the number of a queue's jobs that have not begun.
    pub waiting: fn(u64) -> Bytes,
}
