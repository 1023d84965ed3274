//! Events that the decision thread receives, and orders that it gives to the other threads.

use {
    crate::{
        error::Error,
        http::Failure,
        ids::{
            Bucket, CallerId, Epoch, Incarnation, Key, RequestId, Revision, ServiceId, WorkerId,
        },
        messages::{
            Beat, BeatReply, ClaimAsk, ClaimEnd, ClaimProbe, ClaimReply, ConfigRecord, EndTell,
            Handover, KvEntry, KvList, KvPut, KvPutReply, MemberRecord, ProbeAsk, ProbeReply,
            ReserveAsk, ReserveReply, Show, StartAsk, StartReply, Submit, SubmitReply, VmList,
            WorkerAsk, WorkerReply,
        },
        ownership::Swap,
        time::Time,
    },
    async_channel::Sender,
    bytes::Bytes,
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Duration},
};

/// Delivers events to the decision thread.
pub(crate) type Inbox = Sender<Event>;

/// Identifies a call that awaits its reply; unique within the calling thread.
pub type Ticket = u64;

/// A request as received from a caller or from a member that forwarded it.
#[derive(Clone, Debug)]
pub struct ClientRequest {
    /// The ticket for the reply.
    pub ticket: Ticket,
    /// The request's id.
    pub id: RequestId,
    /// The called service.
    pub service: ServiceId,
    /// The identity of the caller.
    pub caller: CallerId,
    /// The idempotency key, if the request is not idempotent and its claim is not yet made.
    pub key: Option<Key>,
    /// The caller's deadline; `None` means the service's own deadline.
    pub deadline: Option<Time>,
    /// The expected run time.
    pub run: Option<Duration>,
    /// The number of times the request was forwarded.
    pub hops: u32,
    /// The part that the endpoint receives.
    pub load: Payload,
}

/// The part of a request that an endpoint receives.
#[derive(Clone, Debug)]
pub struct Payload {
    /// The method.
    pub method: Box<str>,
    /// The path and query after the service's name.
    pub path: Box<str>,
    /// The content type.
    pub content_type: Box<str>,
    /// The idempotency key, passed on so that the endpoint can detect repeated requests itself.
    pub key: Box<str>,
    /// The body.
    pub body: Bytes,
}

/// A complete response of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    pub content_type: Box<str>,
    /// The body.
    pub body: Bytes,
}

/// The result that a caller gets.
pub type Verdict = Result<Answer, Error>;

/// The outcome of a request at an endpoint, or at a peer to which it was forwarded.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// The complete response to the request.
    Answered(Answer),
    /// The request was refused and did not run.
    Refused(Error),
    /// The request failed in transit. With [`Failure::Unsent`] it did not run; with any other
    /// failure it may have run.
    Failed(Failure),
}

/// A call between members.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Call {
    /// A periodic report of a member's state.
    Beat(Beat),
    /// A request for a claim on a key.
    Claim(ClaimAsk),
    /// The end of a claimed request.
    ClaimEnd(ClaimEnd),
    /// A query for the end of a claimed request, to the member that made the claim.
    ClaimProbe(ClaimProbe),
    /// A request for reservations.
    Reserve(ReserveAsk),
    /// The release of reservations that are not needed.
    Release(ReserveReply),
    /// Starts and stops of attempts.
    Start(StartAsk),
    /// A report of the states of running or ended attempts.
    End(EndTell),
    /// A query for the states of attempts.
    Probe(ProbeAsk),
    /// The requests in flight and the attempts on a rack that changes its owner.
    Handover(Handover),
    /// A query for the configuration in force.
    Config(),
}

impl Call {
    /// The names of the calls on the wire.
    pub const NAMES: [&str; 11] = [
        "beat",
        "claim",
        "claim_end",
        "claim_probe",
        "reserve",
        "release",
        "start",
        "end",
        "probe",
        "handover",
        "config",
    ];
}

/// The reply to a call between members.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallReply {
    /// The reply to a beat.
    Beat(BeatReply),
    /// The reply to a claim request.
    Claim(ClaimReply),
    /// The reply to a query for the end of a claimed request.
    ClaimProbe(HolderState),
    /// The reply to a reservation request.
    Reserve(ReserveReply),
    /// The reply to starts and stops.
    Start(StartReply),
    /// The reply to a probe.
    Probe(ProbeReply),
    /// The configuration and its revision; `None` if the member has none.
    Config(Option<(Revision, ConfigRecord)>),
    /// Accepted.
    Done,
    /// Not accepted: the callee does not own the call's subject.
    Unowned,
}

/// What the member that made a claim knows of the claimed request.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HolderState {
    /// It has no final answer yet.
    Running,
    /// It has ended, and no owner of its key has acknowledged that yet.
    Ended(ClaimEnd),
    /// It is over, and an owner of its key has acknowledged its end.
    Acknowledged,
}

/// An operator's call.
#[derive(Clone, Debug)]
pub enum OperatorCall {
    /// Put a configuration in force.
    Submit(Submit),
    /// Show this member's state.
    Show,
    /// Stop the member without interrupting any request.
    Drain,
}

/// The reply to an operator.
#[derive(Clone, Debug)]
pub enum OperatorReply {
    /// The reply to a submission.
    Submit(SubmitReply),
    /// The reply to a query for the state.
    Show(Box<Show>),
    /// The reply to a request to stop.
    Drain,
}

/// The purpose of a read or write of a record; it is returned with the reply.
#[derive(Clone, Debug)]
pub enum Purpose {
    /// An ownership table.
    Owners(Swap),
    /// The configuration.
    Config,
    /// A bucket's record, with the bucket's epoch and the number of the bucket's own call.
    Bucket(Bucket, Epoch, u64),
}

/// An event for the decision thread.
#[derive(Debug)]
pub enum Event {
    /// A request arrived.
    Ask(Box<ClientRequest>),
    /// A caller hung up.
    HungUp(Ticket),
    /// A dispatch of a request is over.
    DispatchEnded {
        /// The request.
        request: RequestId,
        /// The endpoint to which it was sent.
        worker: WorkerId,
        /// The outcome.
        outcome: Outcome,
    },
    /// The forwarding of a request is over.
    Forwarded {
        /// The request.
        request: RequestId,
        /// The peer to which it was sent.
        to: Incarnation,
        /// The outcome.
        outcome: Outcome,
    },
    /// A worker's reply to orders.
    WorkerReplied {
        /// The worker.
        worker: WorkerId,
        /// The orders.
        ask: Box<WorkerAsk>,
        /// When the orders were sent.
        sent: Time,
        /// The reply.
        reply: Result<WorkerReply, Failure>,
    },
    /// A worker's report.
    Reported {
        /// The worker.
        worker: WorkerId,
        /// The report.
        report: Result<crate::messages::Report, Failure>,
    },
    /// A worker's reply to a fence: the highest epoch that it has seen.
    Fenced {
        /// The worker.
        worker: WorkerId,
        /// The epoch of the fence.
        epoch: Epoch,
        /// The reply.
        reply: Result<Epoch, Failure>,
    },
    /// A peer's reply.
    PeerReplied {
        /// The peer.
        to: Incarnation,
        /// The call.
        call: Box<Call>,
        /// The reply.
        back: Result<CallReply, Failure>,
    },
    /// A peer's call.
    PeerCalled(Ticket, Call),
    /// An operator's call.
    Operator(Ticket, OperatorCall),
    /// The platform's list of VMs.
    Vms(VmList),
    /// The changes of the watched records in the key-value store.
    Watched(KvList),
    /// A lease renewal, sent at this time, succeeded.
    Renewed(Time),
    /// The result of reading a record.
    RecordRead(Purpose, Result<KvEntry, Failure>),
    /// The result of writing a record.
    RecordWritten(Purpose, Result<KvPutReply, Failure>),
    /// The process was told to stop.
    Drain,
    /// A periodic tick.
    Tick,
}

/// A dispatch to an endpoint.
#[derive(Clone, Debug)]
pub struct Run {
    /// The request.
    pub request: RequestId,
    /// The endpoint.
    pub worker: WorkerId,
    /// Its address.
    pub addr: SocketAddr,
    /// The epoch of its rack.
    pub epoch: Epoch,
    /// The longest time that it may run.
    pub lease: Duration,
    /// The time after which it must not begin.
    pub until: Time,
    /// The expected run time.
    pub run: Option<Duration>,
    /// The part that the endpoint receives.
    pub load: Payload,
}

/// A request forwarded to a peer.
#[derive(Clone, Debug)]
pub struct Forward {
    /// The peer.
    pub to: Incarnation,
    /// Its address for requests.
    pub addr: SocketAddr,
    /// The request.
    pub request: RequestId,
    /// The called service.
    pub service: ServiceId,
    /// The identity of the caller.
    pub caller: CallerId,
    /// The remaining time until the deadline.
    pub left: Duration,
    /// The expected run time.
    pub run: Option<Duration>,
    /// The number of times the request was forwarded, including this one.
    pub hops: u32,
    /// The part that the endpoint receives.
    pub load: Payload,
}

/// An order from the decision thread to another thread.
#[derive(Debug)]
pub enum Order {
    /// Reply to a caller, or to a member that forwarded a request.
    Reply(Ticket, Verdict),
    /// Send a request to an endpoint.
    Run(Box<Run>),
    /// Forward a request to a peer.
    Forward(Box<Forward>),
    /// Send orders to a worker. They must not take effect after the given time.
    Worker(WorkerId, SocketAddr, Box<WorkerAsk>, Time),
    /// Ask a worker for its report.
    Report(WorkerId, SocketAddr),
    /// Raise a worker's epoch.
    Fence(WorkerId, SocketAddr, Epoch),
    /// Call a peer.
    Call(Incarnation, SocketAddr, Box<Call>),
    /// Reply to a peer's call.
    ReplyPeer(Ticket, CallReply),
    /// Reply to an operator.
    ReplyOperator(Ticket, OperatorReply),
    /// Read a record.
    Get(Purpose, Box<str>),
    /// Write a record.
    Put(Purpose, Box<str>, KvPut),
    /// Register this member or update its record.
    Register(MemberRecord),
    /// End the process.
    Stop,
}
