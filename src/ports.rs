//! The ports to the platform: typed calls and replies, and the functions that encode and decode
//! them.
//!
//! A platform is described by a [`Codec`], a set of plain functions that encode a call as a
//! [`WireRequest`] request and decode the answer into a typed reply. The functions keep no state and make
//! no decisions: deadlines, retries and the reaction to an answer are up to the scheduler.

mod limits;
mod site;
mod store;
mod vms;
mod worker;

pub use {limits::*, site::*, store::*, vms::*, worker::*};

use {
    crate::{
        error::Error,
        ids::{WaveNo, WorkerId},
        work::{Job, JobState, ListedWorker, QueueConfig},
    },
    bytes::Bytes,
};

/// The store's revision of a change. Revisions rise over all keys of the store.
pub type Rev = u64;

/// An encoded HTTP request.
#[derive(Clone, Debug, PartialEq)]
pub struct WireRequest {
    /// The HTTP method.
    pub method: &'static str,
    /// The path, including the query.
    pub path: Box<str>,
    /// Headers other than `host`.
    pub headers: Vec<(&'static str, Box<str>)>,
    /// The body; empty if there is none.
    pub body: Bytes,
}

/// The reason why a call has no reply.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// The call was refused: it has had no effect and will have none.
    Refused,
    /// The call could not be sent and has had no effect.
    Unsent,
    /// No answer arrived: the call may have taken effect, or may still do so.
    Unknown,
    /// The call was refused because of the present items of the store, which are too large to be
    /// returned with the answer. It has had no effect.
    TooLarge,
    /// The answer can't be decoded.
    Bad(Box<str>),
}

/// The encoders and decoders for one platform.
#[derive(Clone, Copy)]
pub struct Codec {
    /// Decodes the settings file.
    pub decode_settings: fn(&str) -> Result<SiteSettings, Error>,
    /// Path at which the load balancer asks whether the member is ready.
    pub ready_path: &'static str,
    /// Name of the header in which a caller says how long it waits, in milliseconds.
    pub deadline_header: &'static str,
    /// Prefix of all keys that the operators write.
    pub operator_prefix: &'static str,
    /// Key of the configuration.
    pub config_key: &'static str,
    /// Prefix of the keys of maintenance waves.
    pub wave_prefix: &'static str,
    /// Prefix of the keys of the worker list; the worker's id follows.
    pub worker_prefix: &'static str,
    /// Decodes the configuration.
    pub decode_config: fn(&[u8]) -> Result<QueueConfig, Error>,
    /// Decodes a worker's entry in the worker list, given its id and its value.
    pub decode_listed: fn(&str, &[u8]) -> Result<ListedWorker, Error>,
    /// Encodes a call to the store.
    pub encode_store: fn(&StoreCall) -> WireRequest,
    /// Decodes the store's answer, given its status and body.
    pub decode_store: fn(&StoreCall, u16, &[u8]) -> Result<StoreReply, Fault>,
    /// Encodes a call to the worker with this id.
    pub encode_worker: fn(&WorkerId, &WorkerCall) -> WireRequest,
    /// Decodes the worker's answer.
    pub decode_worker: fn(&WorkerCall, u16, &[u8]) -> Result<WorkerReply, Fault>,
    /// Encodes an advice call.
    pub encode_advice: fn(&AdviceCall) -> WireRequest,
    /// Decodes the answer to an advice call.
    pub decode_advice: fn(u16, &[u8]) -> Result<Advice, Fault>,
    /// Encodes the request for a page of the list of VMs, given the page token; empty for the first
    /// page.
    pub encode_vms: fn(&str) -> WireRequest,
    /// Decodes a page of the list of VMs.
    pub decode_vms: fn(u16, &[u8]) -> Result<VmPage, Fault>,
    /// Encodes an order for a VM.
    pub encode_vm: fn(&VmCall) -> WireRequest,
    /// Decodes the answer to an order for a VM.
    pub decode_vm: fn(u16, &[u8]) -> Result<VmReply, Fault>,
    /// Decodes a maintenance wave.
    pub decode_wave: fn(&[u8]) -> Result<Wave, Error>,
    /// Encodes the state of a wave, given whether it is completed, as key and value.
    pub encode_wave: fn(WaveNo, bool) -> (Box<str>, Bytes),
    /// Decodes a caller's job.
    pub decode_job: fn(&[u8]) -> Result<Job, Error>,
    /// Encodes the state of a job.
    pub encode_state: fn(JobState) -> Bytes,
    /// Encodes the number of a queue's jobs that have not started.
    pub encode_waiting: fn(u64) -> Bytes,
}
