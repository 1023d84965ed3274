//! What the store keeps of shards, and under which keys.
//!
//! | key | who writes it | what for |
//! |---|---|---|
//! | `dwr/in/SHARD/j/JOB` | any member, if absent; its removal the owner | a job that was taken in |
//! | `dwr/in/SHARD/c/JOB` | any member | that its caller has cancelled it |
//! | `dwr/p/SHARD/JOB` | the owner | how a job stands; stays for a while when it is over |
//! | `dwr/r/SHARD` | the owner | the workers that may run something of this shard |
//! | `dwr/c/SHARD` | the owner, with every write | fences: each write expects the last one's revision |
//! | `dwr/t/o/SHARD` | who takes over | who owns the shard, and with which token |
//! | `dwr/t/m/MEMBER` | each member, under its lease | that the member is alive, and where |
//! | `dwr/t/closing` | who owns the first shard | the workers whose VMs are to have their upkeep |
//! | `dwr/u` | the same | how far each wave of upkeep is |
//! | `dwr/t/layout` | the first member | how many shards there are |

use {
    crate::{
        ids::{Incarnation, PoolId, WorkerId, Zone},
        work::{Job, JobNo, Queue, State},
    },
    bytes::Bytes,
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::{collections::BTreeMap, net::SocketAddr},
};

/// What the keys begin with that every member watches.
pub const TABLE: &str = "dwr/t/";
/// What the keys of members begin with.
pub const MEMBERS: &str = "dwr/t/m/";
/// What the keys of owners begin with.
pub const OWNERS: &str = "dwr/t/o/";
/// The key of the layout.
pub const LAYOUT: &str = "dwr/t/layout";

/// A shard: a part of the jobs and of the workers, scheduled by one member.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    derive_more::Display,
    Serialize,
    Deserialize,
)]
#[display("{_0:03}")]
#[serde(transparent)]
pub struct ShardNo(pub u16);

impl ShardNo {
    /// What the keys of jobs and cancels begin with.
    pub fn inbox(self) -> Box<str> {
        format!("dwr/in/{self}/").into()
    }

    /// The key of a job.
    pub fn job(self, job: JobNo) -> Box<str> {
        format!("dwr/in/{self}/j/{job}").into()
    }

    /// The key of a cancel.
    pub fn cancel(self, job: JobNo) -> Box<str> {
        format!("dwr/in/{self}/c/{job}").into()
    }

    /// What the keys of progress begin with.
    pub fn all_progress(self) -> Box<str> {
        format!("dwr/p/{self}/").into()
    }

    /// The key of a job's progress.
    pub fn progress(self, job: JobNo) -> Box<str> {
        format!("dwr/p/{self}/{job}").into()
    }

    /// The key of the roster.
    pub fn roster(self) -> Box<str> {
        format!("dwr/r/{self}").into()
    }

    /// The key of the commit row.
    pub fn commit(self) -> Box<str> {
        format!("dwr/c/{self}").into()
    }

    /// The key of the owner's row.
    pub fn owner(self) -> Box<str> {
        format!("{OWNERS}{self}").into()
    }
}

/// Shards that follow each other.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Span(
    /// The first.
    pub u16,
    /// How many.
    pub u16,
);

impl Span {
    /// Whether a shard is one of these.
    pub fn has(self, shard: ShardNo) -> bool {
        shard.0 >= self.0 && shard.0 - self.0 < self.1
    }

    /// The one of these shards that a hash falls on.
    pub fn of(self, hash: u64) -> ShardNo {
        ShardNo(self.0 + (hash % u64::from(self.1.max(1))) as u16)
    }
}

/// How many shards there are, and what members show each other.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Layout {
    /// Their number; above 0, and never changed.
    pub shards: u16,
    /// What a member shows to another: drawn by the first, known to who can read the store.
    pub secret: Box<str>,
    /// The shards of the workers that were listed when it was made, in order of their addresses.
    #[serde(default)]
    pub homes: Vec<(SocketAddr, ShardNo)>,
    /// The shards of each pool that had workers when it was made.
    #[serde(default)]
    pub pools: BTreeMap<PoolId, Span>,
}

/// A member, as the table has it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberRow {
    /// Where it takes calls of other members.
    pub control: SocketAddr,
    /// Its availability zone.
    pub zone: Zone,
    /// Whether it is stopping.
    pub draining: bool,
    /// Its share of a processor, in cores.
    #[serde(default)]
    pub cores: f64,
    /// Whether the store serves it through other members only.
    #[serde(default)]
    pub relayed: bool,
}

/// Who owns a shard.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OwnerRow {
    /// The owner; none where it was released.
    pub owner: Option<Incarnation>,
    /// Counts the owners that the shard has had.
    pub token: u64,
    /// Where the owner takes calls of other members.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub control: Option<SocketAddr>,
}

/// What each write of an owner changes, so that none of its earlier writes can take effect later.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CommitRow {
    /// The owner's token.
    pub token: u64,
    /// Counts the owner's writes.
    pub number: u64,
}

/// A job as it was taken in.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The name of its queue.
    pub queue: Box<str>,
    /// When it came, in milliseconds of the Unix clock of the member that took it in.
    pub came: u64,
    /// What it says.
    pub job: Job,
    /// Its queue as it was then; nothing in a record of before.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub terms: Option<Box<Queue>>,
}

/// How a job stands.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Progress {
    /// Its state.
    pub state: State,
    /// When it was over, in milliseconds of the Unix clock; 0 before.
    #[serde(default)]
    pub over: u64,
    /// The name of its queue.
    pub queue: Box<str>,
    /// The tasks of which something has ended.
    #[serde(default)]
    pub tasks: Vec<TaskRow>,
    /// The tasks under which workers have crashed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<CrashRow>,
}

/// What is stored of a task.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskRow(
    /// The occurrence.
    pub u32,
    /// The step.
    pub u16,
    /// The task's number in its step.
    pub u32,
    /// The last run that is known.
    pub u32,
    /// The runs that have failed.
    pub Vec<u32>,
    /// Whether its work is done.
    pub bool,
    /// Its last checkpoint.
    pub Box<str>,
);

/// The crashes of workers that are laid to a task.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CrashRow(
    /// The occurrence.
    pub u32,
    /// The step.
    pub u16,
    /// The task's number in its step.
    pub u32,
    /// The runs under which workers have crashed.
    pub Vec<u32>,
    /// The run that has begun; 0 is none.
    pub u32,
);

/// The workers that may run something of a shard.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Roster {
    /// Their ids and addresses.
    pub workers: Vec<(WorkerId, SocketAddr)>,
}

/// A record as the store keeps it.
pub fn write<T: Serialize>(record: &T) -> Bytes {
    serde_json::to_vec(record).expect("records have plain keys and finite numbers").into()
}

/// Reads a record; nothing where it is not one.
pub fn read<T: DeserializeOwned>(value: &[u8]) -> Option<T> {
    serde_json::from_slice(value).ok()
}

/// The key of the workers whose VMs are to have their upkeep; all members watch it.
pub const CLOSING: &str = "dwr/t/closing";

/// Which turn a worker has in a wave of upkeep.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Turn {
    /// None.
    #[default]
    Open,
    /// Its turn is yet to come: what lasts had better go elsewhere.
    Due,
    /// It is emptied: nothing starts there, what lasts moves, the rest may end by itself.
    Closing,
    /// As before, and the rest is waited for no longer.
    Forced,
}

/// The workers whose VMs are to have their upkeep.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Closing {
    /// The token of who wrote it, and how often that one wrote before: it only rises.
    pub place: (u64, u64),
    /// The workers, and their turns.
    pub turns: BTreeMap<WorkerId, Turn>,
}

impl Closing {
    /// A worker's turn.
    pub fn turn(&self, worker: &WorkerId) -> Turn {
        self.turns.get(worker).copied().unwrap_or_default()
    }
}
