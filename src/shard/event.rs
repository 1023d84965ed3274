//! What a shard is told, and what it orders.

use {
    crate::{
        decide::lanes::Peers,
        ids::{Incarnation, WorkerId},
        ports::{Advice, AdviceCall, Fault, StoreReply, Txn, WorkerCall, WorkerReply},
        shard::record::{Closing, CommitRow, JobRecord, Progress, Roster},
        time::Time,
        work::{JobNo, Listed, Queues},
    },
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// What the store holds of a shard when its new owner begins.
#[derive(Clone, Debug, Default)]
pub struct Load {
    /// Jobs that are not over.
    pub jobs: Vec<(JobNo, JobRecord)>,
    /// Jobs whose callers have cancelled them.
    pub cancels: Vec<JobNo>,
    /// How jobs stand, those over as well.
    pub progress: Vec<(JobNo, Progress)>,
    /// The workers that earlier owners may have given work.
    pub roster: Roster,
    /// The revision of the commit row, as this owner has just written it.
    pub commit: u64,
    /// Whether the former owner can't take itself for confirmed any more: its lease had ended, or it
    /// gave the shard back.
    pub lapsed: bool,
}

/// What a shard is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// A job was stored.
    Job(JobNo, Box<JobRecord>),
    /// A job's cancel was stored.
    Cancel(JobNo),
    /// The whole list of workers of this shard.
    Listed(Vec<Listed>),
    /// A version of the configuration.
    Queues(Arc<Queues>),
    /// A worker's answer, or that none came, to what was sent then.
    Worker {
        /// The worker.
        worker: WorkerId,
        /// When the call went out.
        sent: Time,
        /// The call.
        call: Box<WorkerCall>,
        /// The answer.
        reply: Result<WorkerReply, Fault>,
    },
    /// Advice, or that none came.
    Advised {
        /// The call.
        call: Box<AdviceCall>,
        /// The member that made it.
        via: Incarnation,
        /// When it was ordered.
        sent: Time,
        /// The answer.
        reply: Result<Advice, Fault>,
    },
    /// The store's answer to the transaction of this number.
    Stored(u64, Result<StoreReply, Fault>),
    /// The commit row and its revision, read after an unclear answer, or that it could not be read.
    Reread(Result<(u64, CommitRow), Fault>),
    /// Which lives of workers are there by the list of machines, asked for then; or that the list
    /// could not be read.
    Lives {
        /// When the list was asked for.
        sent: Time,
        /// The lives.
        reply: Result<Vec<WorkerId>, Fault>,
    },
    /// The store has confirmed this member's lease, asked then.
    Confirmed(Time),
    /// The members that may be asked to call for advice, this one among them.
    Peers(Peers),
    /// The workers that are to be emptied.
    Closing(Arc<Closing>),
    /// Time has passed.
    Tick,
}

/// What a shard orders.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// Call a worker.
    Worker {
        /// The worker.
        worker: WorkerId,
        /// Where it is.
        addr: SocketAddr,
        /// The call.
        call: Box<WorkerCall>,
        /// How long its answer is waited for.
        limit: Duration,
    },
    /// Call for advice.
    Advise {
        /// The member that makes the call; it may be this one.
        via: Incarnation,
        /// The call.
        call: Box<AdviceCall>,
        /// When it was ordered; its event says so again.
        sent: Time,
        /// How long the service should take for it.
        takes: Duration,
        /// How long its answer is waited for.
        limit: Duration,
    },
    /// Write to the store.
    Store(u64, Txn),
    /// Read the commit row, to settle an unclear answer.
    Reread,
    /// Read the list of machines.
    Lives,
    /// Another member owns the shard: forget it.
    Deposed,
}
