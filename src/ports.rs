//! The ports between the product and the outside: typed calls, and how a form writes and reads them.
//!
//! A form is a [`Forms`]: plain functions that turn a call into a [`Wire`] request and its answer
//! into a typed reply. It keeps nothing and decides nothing; deadlines, repeats and what follows
//! from an answer are the product's.

mod site;
mod store;
mod vms;
mod worker;

pub use {site::*, store::*, vms::*, worker::*};

use {
    crate::{
        error::Error,
        ids::{WaveNo, WorkerId},
        work::{Job, Listed, Queues, State},
    },
    bytes::Bytes,
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
    /// It was refused for what stands in the store, which is too large to be read with the answer:
    /// nothing was done.
    TooLarge,
    /// An answer that can't be read.
    Bad(Box<str>),
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
    /// What the keys of all that operators write begin with.
    pub operators: &'static str,
    /// The key of the configuration.
    pub config: &'static str,
    /// What the keys of waves of upkeep begin with.
    pub waves: &'static str,
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
    /// Writes the call for a page of the list of VMs; the first has no token.
    pub ask_vms: fn(&str) -> Wire,
    /// Reads a page of the list of VMs.
    pub vms: fn(u16, &[u8]) -> Result<Vms, Fault>,
    /// Writes an order for a VM.
    pub ask_vm: fn(&VmCall) -> Wire,
    /// Reads what became of it.
    pub vm: fn(u16, &[u8]) -> Result<VmReply, Fault>,
    /// Reads a wave of upkeep.
    pub wave: fn(&[u8]) -> Result<Wave, Error>,
    /// Writes how a wave stands, whether it is completed: key and value.
    pub told_wave: fn(WaveNo, bool) -> (Box<str>, Bytes),
    /// Reads a caller's job.
    pub job: fn(&[u8]) -> Result<Job, Error>,
    /// Writes a job's state.
    pub state: fn(State) -> Bytes,
    /// Writes the number of a queue's jobs that have not begun.
    pub waiting: fn(u64) -> Bytes,
}
