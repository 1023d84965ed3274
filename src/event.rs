//! What the decisions' duty is told, and what it orders the other duties to do.

use {
    crate::{
        error::Error,
        http::Failure,
        ids::{
            Bucket, CallerId, Epoch, Incarnation, Key, RequestId, Revision, ServiceId, WorkerId,
        },
        messages::{
            Beat, BeatReply, ClaimAsk, ClaimEnd, ClaimReply, ConfigRecord, EndTell, Handover,
            KvEntry, KvList, KvPut, KvPutReply, MemberRecord, ProbeAsk, ProbeReply, ReserveAsk,
            ReserveReply, Show, StartAsk, StartReply, Submit, SubmitReply, VmList, WorkerAsk,
            WorkerReply,
        },
        ownership::Swap,
        time::Time,
    },
    async_channel::Sender,
    bytes::Bytes,
    serde::{Deserialize, Serialize},
    std::{net::SocketAddr, time::Duration},
};

/// The way to the decisions' duty.
pub(crate) type Inbox = Sender<Event>;

/// The number of a question that waits for its answer, unique within a duty.
pub type Ticket = u64;

/// A request as a caller, or a member that forwards it, sent it.
#[derive(Clone, Debug)]
pub struct Ask {
    /// Where its answer goes.
    pub ticket: Ticket,
    /// Its id.
    pub id: RequestId,
    /// The service that it calls.
    pub service: ServiceId,
    /// Who calls.
    pub caller: CallerId,
    /// Its key, where it is not idempotent and its claim is not made yet.
    pub key: Option<Key>,
    /// When its caller gives up; none takes the service's own deadline.
    pub deadline: Option<Time>,
    /// How long it is expected to run.
    pub run: Option<Duration>,
    /// How often it was forwarded.
    pub hops: u32,
    /// What the endpoint gets.
    pub load: Load,
}

/// What an endpoint gets of a request.
#[derive(Clone, Debug)]
pub struct Load {
    /// The method.
    pub method: Box<str>,
    /// The path and what follows it, after the service's name.
    pub path: Box<str>,
    /// The content type.
    pub kind: Box<str>,
    /// The key, passed on so that the endpoint can tell repeats by itself.
    pub key: Box<str>,
    /// The body.
    pub body: Bytes,
}

/// An endpoint's whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The content type.
    pub kind: Box<str>,
    /// The body.
    pub body: Bytes,
}

/// What a caller gets.
pub type Verdict = Result<Answer, Error>;

/// What an endpoint, or a peer in its place, made of a request.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// The whole answer to this very request.
    Answered(Answer),
    /// It was refused and did not run.
    Refused(Error),
    /// It failed on the way: [`Failure::Unsent`] did not run, the others may have.
    Failed(Failure),
}

/// A call between members.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Call {
    /// The regular word of a member's state.
    Beat(Beat),
    /// A claim on a key.
    Claim(ClaimAsk),
    /// How a claimed request ended.
    ClaimEnd(ClaimEnd),
    /// Room for attempts.
    Reserve(ReserveAsk),
    /// Room that is not needed after all.
    Release(ReserveReply),
    /// Starts and stops.
    Start(StartAsk),
    /// Attempts that run or ended.
    End(EndTell),
    /// What became of attempts.
    Probe(ProbeAsk),
    /// What is in flight on a rack that changes its owner.
    Handover(Handover),
    /// The configuration in force.
    Config(),
}

impl Call {
    /// The names of the calls on the wire.
    pub const NAMES: [&str; 10] = [
        "beat",
        "claim",
        "claim_end",
        "reserve",
        "release",
        "start",
        "end",
        "probe",
        "handover",
        "config",
    ];
}

/// The answer to a call between members.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Back {
    /// To a beat.
    Beat(BeatReply),
    /// To a claim.
    Claim(ClaimReply),
    /// To a wish for room.
    Reserve(ReserveReply),
    /// To starts and stops.
    Start(StartReply),
    /// To a probe.
    Probe(ProbeReply),
    /// The configuration and its revision; none where the member has none.
    Config(Option<(Revision, ConfigRecord)>),
    /// Taken in.
    Done,
    /// Not taken in: the callee does not own what the call is about.
    Unowned,
}

/// An operator's question.
#[derive(Clone, Debug)]
pub enum Operate {
    /// Put a text in force.
    Submit(Submit),
    /// Show this member's state.
    Show,
    /// Stop, with no request interrupted.
    Drain,
}

/// The answer to an operator.
#[derive(Clone, Debug)]
pub enum Operated {
    /// To a submission.
    Submit(SubmitReply),
    /// To a question for the state.
    Show(Box<Show>),
    /// To an order to stop.
    Drain,
}

/// What a write or read of a record is for; it comes back with the answer.
#[derive(Clone, Debug)]
pub enum Purpose {
    /// An ownership table.
    Owners(Swap),
    /// The configuration.
    Config,
    /// A bucket's record, and the number of the bucket's own call.
    Bucket(Bucket, Epoch, u64),
}

/// What the decisions' duty is told.
#[derive(Debug)]
pub enum Event {
    /// A request came.
    Ask(Box<Ask>),
    /// A caller has hung up.
    Gone(Ticket),
    /// A request's dispatch is over.
    Ran {
        /// The request.
        request: RequestId,
        /// Where it was sent.
        worker: WorkerId,
        /// What came of it.
        outcome: Outcome,
    },
    /// A request's forwarding is over.
    Forwarded {
        /// The request.
        request: RequestId,
        /// Where it was sent.
        to: Incarnation,
        /// What came of it.
        outcome: Outcome,
    },
    /// A worker's answer to orders.
    Ordered {
        /// The worker.
        worker: WorkerId,
        /// The orders.
        ask: Box<WorkerAsk>,
        /// When they were sent.
        sent: Time,
        /// The answer.
        reply: Result<WorkerReply, Failure>,
    },
    /// A worker's report.
    Reported {
        /// The worker.
        worker: WorkerId,
        /// The report.
        report: Result<crate::messages::Report, Failure>,
    },
    /// A worker's answer to a fence: the highest epoch that it has seen.
    Fenced {
        /// The worker.
        worker: WorkerId,
        /// The epoch that it was to take.
        epoch: Epoch,
        /// The answer.
        reply: Result<Epoch, Failure>,
    },
    /// A peer's answer.
    Called {
        /// The peer.
        to: Incarnation,
        /// What it was asked.
        call: Box<Call>,
        /// The answer.
        back: Result<Back, Failure>,
    },
    /// A peer's call.
    Asked(Ticket, Call),
    /// An operator's question.
    Operator(Ticket, Operate),
    /// The platform's list.
    Vms(VmList),
    /// What changed in the key-value service.
    Watched(KvList),
    /// A renewal, sent at this time, succeeded.
    Renewed(Time),
    /// A record that was read.
    Got(Purpose, Result<KvEntry, Failure>),
    /// A record that was written, or not.
    Put(Purpose, Result<KvPutReply, Failure>),
    /// The process was told to stop.
    Drain,
    /// Time has passed.
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
    /// How long it may run.
    pub lease: Duration,
    /// When it must not begin any more.
    pub until: Time,
    /// How long it is expected to run.
    pub run: Option<Duration>,
    /// What the endpoint gets.
    pub load: Load,
}

/// A request passed on to a peer.
#[derive(Clone, Debug)]
pub struct Forward {
    /// The peer.
    pub to: Incarnation,
    /// Its address for requests.
    pub addr: SocketAddr,
    /// The request.
    pub request: RequestId,
    /// The service that it calls.
    pub service: ServiceId,
    /// Who calls.
    pub caller: CallerId,
    /// What is left of its deadline.
    pub left: Duration,
    /// How long it is expected to run.
    pub run: Option<Duration>,
    /// How often it was forwarded, this time included.
    pub hops: u32,
    /// What the endpoint gets.
    pub load: Load,
}

/// What the decisions' duty orders the others to do.
#[derive(Debug)]
pub enum Order {
    /// Answer a caller, or a member that forwarded.
    Reply(Ticket, Verdict),
    /// Send a request to an endpoint.
    Run(Box<Run>),
    /// Send a request to a peer.
    Forward(Box<Forward>),
    /// Send orders to a worker, which must not take effect after this time.
    Worker(WorkerId, SocketAddr, Box<WorkerAsk>, Time),
    /// Ask a worker for its report.
    Report(WorkerId, SocketAddr),
    /// Raise a worker's epoch.
    Fence(WorkerId, SocketAddr, Epoch),
    /// Call a peer.
    Call(Incarnation, SocketAddr, Box<Call>),
    /// Answer a peer's call.
    Back(Ticket, Back),
    /// Answer an operator.
    Operated(Ticket, Operated),
    /// Read a record.
    Get(Purpose, Box<str>),
    /// Write a record.
    Put(Purpose, Box<str>, KvPut),
    /// Register this member, or change its record.
    Register(MemberRecord),
    /// End the process.
    Stop,
}
