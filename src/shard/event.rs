//! The input events of a shard and the orders that it issues.

use {
    crate::{
        decide::{allotment::Division, lanes::Peers},
        ids::{CustomerId, Incarnation, WorkerId},
        ports::{Advice, AdviceCall, Fault, Rev, StoreReply, Txn, WorkerCall, WorkerReply},
        shard::{
            record::{CancelRecord, Closing, CommitRow, JobRecord, Progress, Roster},
            usage::UsageReport,
        },
        time::Time,
        work::{JobNo, ListedWorker, QueueConfig},
    },
    derive_more::Display,
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// The stored state of a shard that its new owner begins with.
#[derive(Clone, Debug, Default)]
pub struct Snapshot {
    /// Jobs that have not ended.
    pub jobs: Vec<(JobNo, JobRecord)>,
    /// Jobs that their callers have cancelled.
    pub cancels: Vec<(JobNo, CancelRecord)>,
    /// The progress of jobs, including those that have ended.
    pub progress: Vec<(JobNo, Progress)>,
    /// The workers to which earlier owners may have given work.
    pub roster: Roster,
    /// The revision of the commit row that this owner has just written.
    pub commit_revision: u64,
    /// Whether the former owner's lease had expired or it had released the shard.
    pub lapsed: bool,
    /// The divisions of the customers' caps, each with its revision.
    pub divisions: Vec<(CustomerId, Rev, Division)>,
    /// The snapshot has all cancels that were acknowledged before this time.
    pub read_at: Time,
}

/// How an owner learnt of a cancel.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum CancelSource {
    /// It was in the store when the owner took the shard over.
    #[display("load")]
    Load,
    /// The member that the caller had asked sent a notice.
    #[display("notice")]
    Notice,
    /// The watch of the inbox delivered it.
    #[display("watch")]
    Watch,
    /// The inbox was read again.
    #[display("reread")]
    Reread,
    /// A member that acknowledged it named it when it was asked.
    #[display("members")]
    Members,
}

/// The store's reply to a write of a division.
#[derive(Clone, Debug, PartialEq)]
pub enum DivisionReply {
    /// The division was written with this revision.
    Done(Rev),
    /// The division was not written; the store has this one, with its revision, which is 0 if it has
    /// none.
    Conflict(Rev, Division),
}

/// An input of the shard's state machine.
#[derive(Clone, Debug)]
pub enum Event {
    /// A job was stored.
    Job(JobNo, Box<JobRecord>),
    /// A cancel of a job was stored.
    Cancel(JobNo, CancelRecord, CancelSource),
    /// All cancels that were acknowledged before this time have been delivered.
    InboxSeen(Time),
    /// The complete list of this shard's workers.
    Listed(Vec<ListedWorker>),
    /// A new version of the configuration of queues.
    Queues(Arc<QueueConfig>),
    /// A worker's reply to a call, or its failure.
    Worker {
        /// The worker that was called.
        worker: WorkerId,
        /// The time at which the call was sent.
        sent: Time,
        /// The call to the worker.
        call: Box<WorkerCall>,
        /// The reply of the worker, or the failure of the call.
        reply: Result<WorkerReply, Fault>,
    },
    /// The reply to a call for advice, or its failure.
    Advised {
        /// The advice call.
        call: Box<AdviceCall>,
        /// The member that made the call.
        via: Incarnation,
        /// The time at which the call was ordered.
        sent: Time,
        /// The advice, or the failure of the call.
        reply: Result<Advice, Fault>,
    },
    /// The store's reply to the transaction with this number.
    Stored(u64, Result<StoreReply, Fault>),
    /// The commit row and its revision, read after an unclear reply, or the failure to read it.
    CommitRead(Result<(u64, CommitRow), Fault>),
    /// The worker incarnations that the list of machines shows, or the failure to read the list.
    Machines {
        /// The time at which the list was requested.
        sent: Time,
        /// The listed worker incarnations, or the failure of the read.
        reply: Result<Vec<WorkerId>, Fault>,
    },
    /// The store's reply to the write of a customer's division.
    Divided(CustomerId, Result<DivisionReply, Fault>),
    /// The division of a customer's cap has changed, to one with this revision.
    Division(CustomerId, Rev, Division),
    /// All divisions, or the failure to read them.
    Divisions {
        /// The time at which the read was sent.
        sent: Time,
        /// The divisions with their revisions.
        reply: Result<Vec<(CustomerId, Rev, Division)>, Fault>,
    },
    /// Reports of owners about what customers have in their shards.
    Usage(Arc<[UsageReport]>),
    /// The store has confirmed the renewal of this member's lease that was sent at the given time.
    Confirmed(Time),
    /// The members that can make advice calls for this shard, including this member.
    Peers(Peers),
    /// The workers that are to be emptied for upkeep.
    Closing(Arc<Closing>),
    /// Periodic tick, which runs the checks that depend on the time.
    Tick,
}

/// An action that the shard's state machine requests.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// Call a worker.
    Worker {
        /// The worker to call.
        worker: WorkerId,
        /// The address of the worker.
        addr: SocketAddr,
        /// The call to the worker.
        call: Box<WorkerCall>,
        /// The time limit for the reply.
        limit: Duration,
    },
    /// Call for advice.
    Advise {
        /// The member that makes the call; it may be this one.
        via: Incarnation,
        /// The advice call.
        call: Box<AdviceCall>,
        /// The time at which the call was ordered; [`Event::Advised`] repeats this time.
        sent: Time,
        /// The expected duration of the call at the service.
        expected: Duration,
        /// The time limit for the reply.
        limit: Duration,
    },
    /// Write this transaction, which has the given number, to the store.
    Store(u64, Txn),
    /// Read the commit row to resolve an unclear reply.
    ReadCommit,
    /// Read the list of machines.
    ReadMachines,
    /// Write the division of a customer's cap.
    Divide {
        /// The customer.
        customer: CustomerId,
        /// The write; it also has to expect the configuration.
        txn: Txn,
        /// The expected revision of the configuration.
        config_rev: Rev,
    },
    /// Read the divisions of all customers.
    ReadDivisions,
    /// Send the report of what customers have in this shard to the owners of all other shards.
    ReportUsage(Arc<UsageReport>),
    /// Drop the shard, because another member owns it.
    Deposed,
}
