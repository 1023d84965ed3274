//! The records that the store keeps for shards, and their keys.
//!
//! | key | written by | contents |
//! |---|---|---|
//! | `dwr/in/SHARD/j/JOB` | any member, if absent; removed by the owner | a submitted job |
//! | `dwr/in/SHARD/c/JOB` | any member | the request of the job's caller to cancel it |
//! | `dwr/p/SHARD/JOB` | the owner | the progress of a job; kept for a while after its end |
//! | `dwr/r/SHARD` | the owner | the workers that may run tasks of this shard |
//! | `dwr/c/SHARD` | the owner, with every write | fence: each write expects the last one's revision |
//! | `dwr/q/CUSTOMER` | any owner | the division of a customer's cap among the shards |
//! | `dwr/t/o/SHARD` | the member that takes over | the owner of the shard and its token |
//! | `dwr/t/m/MEMBER` | each member, under its lease | that the member is alive, and its address |
//! | `dwr/t/closing` | the owner of the first shard | the workers whose VMs are due for upkeep |
//! | `dwr/u` | the owner of the first shard | the progress of each wave of upkeep |
//! | `dwr/t/layout` | the first member | the layout: how many shards there are |

use {
    crate::{
        ids::{CustomerId, Incarnation, PoolId, WorkerId, Zone},
        work::{Job, JobNo, JobState, Queue},
    },
    bytes::Bytes,
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::{collections::BTreeMap, io, net::SocketAddr},
};

/// Prefix of the keys that all members watch.
pub const TABLE_PREFIX: &str = "dwr/t/";
/// Prefix of the keys of members.
pub const MEMBERS_PREFIX: &str = "dwr/t/m/";
/// Prefix of the keys of shard owners.
pub const OWNERS_PREFIX: &str = "dwr/t/o/";
/// Key of the layout.
pub const LAYOUT_KEY: &str = "dwr/t/layout";

/// Prefix of the keys of the divisions of customers' caps.
pub const DIVISIONS_PREFIX: &str = "dwr/q/";

/// The number of a shard. A shard is a part of the jobs and of the workers, scheduled by one
/// member.
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
    /// Returns the prefix of the keys of submitted jobs and of the requests to cancel them.
    pub fn inbox_prefix(self) -> Box<str> {
        format!("dwr/in/{self}/").into()
    }

    /// Returns the key of a job.
    pub fn job_key(self, job: JobNo) -> Box<str> {
        format!("dwr/in/{self}/j/{job}").into()
    }

    /// Returns the key of the request to cancel a job.
    pub fn cancel_key(self, job: JobNo) -> Box<str> {
        format!("dwr/in/{self}/c/{job}").into()
    }

    /// Returns the prefix of the keys of progress records.
    pub fn progress_prefix(self) -> Box<str> {
        format!("dwr/p/{self}/").into()
    }

    /// Returns the key of a job's progress.
    pub fn progress_key(self, job: JobNo) -> Box<str> {
        format!("dwr/p/{self}/{job}").into()
    }

    /// Returns the key of the shard's [`Roster`].
    pub fn roster_key(self) -> Box<str> {
        format!("dwr/r/{self}").into()
    }

    /// Returns the key of the shard's [`CommitRow`].
    pub fn commit_key(self) -> Box<str> {
        format!("dwr/c/{self}").into()
    }

    /// Returns the key of the shard's [`OwnerRow`].
    pub fn owner_key(self) -> Box<str> {
        format!("{OWNERS_PREFIX}{self}").into()
    }
}

/// A caller's request to cancel a job.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct CancelRecord {
    /// Unix time at which the caller asked, in milliseconds; 0 if a member of an earlier version wrote
    /// the record.
    #[serde(default)]
    pub asked_ms: u64,
    /// Whose job may be cancelled.
    #[serde(default)]
    pub scope: CancelScope,
}

/// Whose job a request to cancel it may end.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CancelScope {
    /// The member that wrote the request has found the job to be the caller's.
    #[default]
    Checked,
    /// The job was not stored yet: it is cancelled if it belongs to the customer of one of the callers, or
    /// to none.
    Callers(Vec<Option<CustomerId>>),
}

impl CancelScope {
    /// Returns whether the request may end a job of this customer.
    pub fn includes(&self, customer: Option<&CustomerId>) -> bool {
        match self {
            CancelScope::Checked => true,
            CancelScope::Callers(all) => {
                customer.is_none() || all.iter().any(|c| c.as_ref() == customer)
            }
        }
    }
}

impl CancelRecord {
    /// Adds an earlier request for the same job to this one.
    pub fn merge(&mut self, earlier: CancelRecord) {
        self.asked_ms = self.asked_ms.max(earlier.asked_ms);
        match (&mut self.scope, earlier.scope) {
            (CancelScope::Callers(all), CancelScope::Callers(more)) => {
                all.extend(more);
                all.sort_unstable();
                all.dedup();
            }
            (scope, _) => *scope = CancelScope::Checked,
        }
    }
}

/// Returns the key of the division of a customer's cap.
pub fn division_key(customer: &CustomerId) -> Box<str> {
    format!("{DIVISIONS_PREFIX}{customer}").into()
}

/// A range of consecutive shards.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShardRange(
    /// The first shard.
    pub u16,
    /// The number of shards.
    pub u16,
);

impl ShardRange {
    /// Returns whether a shard is in the range.
    pub fn contains(self, shard: ShardNo) -> bool {
        shard.0 >= self.0 && shard.0 - self.0 < self.1
    }

    /// Returns the shard of the range that a hash maps to.
    pub fn shard_for(self, hash: u64) -> ShardNo {
        ShardNo(self.0 + (hash % u64::from(self.1.max(1))) as u16)
    }
}

/// The division of a deployment into shards, and the secret that its members share. The record is
/// never changed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Layout {
    /// The number of shards, above 0.
    pub shards: u16,
    /// The secret by which members authenticate to each other. The first member generates it, and
    /// whoever can read the store knows it.
    pub secret: Box<str>,
    /// The shards of the workers that were listed when the layout was made, sorted by address.
    #[serde(default, rename = "homes")]
    pub worker_shards: Vec<(SocketAddr, ShardNo)>,
    /// The shards of each pool that had workers when the layout was made.
    #[serde(default)]
    pub pools: BTreeMap<PoolId, ShardRange>,
}

/// A member, as the store's membership table describes it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberRow {
    /// The address at which the member takes calls of other members.
    pub control: SocketAddr,
    /// The member's availability zone.
    pub zone: Zone,
    /// Whether the member is shutting down.
    pub draining: bool,
    /// The processor time available to the member, in cores.
    #[serde(default)]
    pub cores: f64,
    /// Whether the member reaches the store only through other members.
    #[serde(default)]
    pub relayed: bool,
    /// Whether the member was recently too slow for the shards that it owned.
    #[serde(default)]
    pub slow: bool,
}

/// The ownership of a shard.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct OwnerRow {
    /// The owner; `None` if the shard was released.
    pub owner: Option<Incarnation>,
    /// The number of owners that the shard has had so far.
    pub token: u64,
    /// The owner's address for calls of other members.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub control: Option<SocketAddr>,
}

/// A row that each write of an owner changes, so that none of its earlier writes can take effect
/// later.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CommitRow {
    /// The owner's token.
    pub token: u64,
    /// The number of writes of this owner.
    pub number: u64,
}

/// A job as it was submitted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct JobRecord {
    /// The name of the job's queue.
    pub queue: Box<str>,
    /// The time of submission, in milliseconds of the Unix clock of the member that received the
    /// job.
    #[serde(rename = "came")]
    pub submitted_ms: u64,
    /// The specification of the job.
    pub job: Job,
    /// The settings of the job's queue at submission; `None` in records of older versions.
    #[serde(default, rename = "terms", skip_serializing_if = "Option::is_none")]
    pub queue_settings: Option<Box<Queue>>,
    /// The customer to whom the job belongs, whatever becomes of the key that it came with; `None`
    /// for jobs of public queues and of deployments without customers.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub customer: Option<CustomerId>,
}

/// The stored progress of a job.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Progress {
    /// The state of the job.
    pub state: JobState,
    /// The time at which the job ended, in milliseconds of the Unix clock; 0 until then.
    #[serde(default, rename = "over")]
    pub ended_ms: u64,
    /// The name of the job's queue.
    pub queue: Box<str>,
    /// The tasks that have a run or are done.
    #[serde(default)]
    pub tasks: Vec<TaskRow>,
    /// The tasks during whose runs workers have crashed.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub crashes: Vec<CrashRow>,
    /// For each row of `crashes`, the end of the task's pause after the last crash, in milliseconds
    /// of the Unix clock; empty in records of older versions.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub pause_ends_ms: Vec<u64>,
}

/// The stored state of a task.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TaskRow(
    /// The occurrence.
    pub u32,
    /// The step.
    pub u16,
    /// The index of the task in its step.
    pub u32,
    /// The number of the last known run.
    pub u32,
    /// The numbers of the runs that have failed.
    pub Vec<u32>,
    /// Whether the task is done.
    pub bool,
    /// The task's last checkpoint.
    pub Box<str>,
);

/// The worker crashes that are attributed to a task.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CrashRow(
    /// The occurrence.
    pub u32,
    /// The step.
    pub u16,
    /// The index of the task in its step.
    pub u32,
    /// The numbers of the runs during which workers have crashed.
    pub Vec<u32>,
    /// The number of the run that is in progress; 0 if there is none.
    pub u32,
);

/// The workers that may run tasks of a shard.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Roster {
    /// The ids and addresses of the workers.
    pub workers: Vec<(WorkerId, SocketAddr)>,
}

/// Encodes a record for the store.
pub fn encode<T: Serialize>(record: &T) -> Bytes {
    serde_json::to_vec(record).expect("records have plain keys and finite numbers").into()
}

/// Encodes a record of at most `max` bytes; `None` if it is larger, without encoding the rest.
pub fn encode_within<T: Serialize>(record: &T, max: usize) -> Option<Bytes> {
    struct Bounded(Vec<u8>, usize);

    impl io::Write for Bounded {
        fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
            if self.0.len() + bytes.len() > self.1 {
                return Err(io::ErrorKind::StorageFull.into());
            }
            self.0.extend_from_slice(bytes);
            Ok(bytes.len())
        }

        fn flush(&mut self) -> io::Result<()> {
            Ok(())
        }
    }

    let mut value = Bounded(Vec::new(), max);
    serde_json::to_writer(&mut value, record).ok()?;
    Some(value.0.into())
}

/// Decodes a record; `None` if the value is not one.
pub fn decode<T: DeserializeOwned>(value: &[u8]) -> Option<T> {
    serde_json::from_slice(value).ok()
}

/// Key of the [`Closing`] record; all members watch it.
pub const CLOSING_KEY: &str = "dwr/t/closing";

/// How far a worker has come in a wave of upkeep.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum UpkeepTurn {
    /// The worker is not due for upkeep.
    #[default]
    Open,
    /// The worker is due for upkeep but is not being drained yet; long-running tasks should start
    /// elsewhere.
    Due,
    /// The worker is being drained: nothing starts there, long-running tasks move, other tasks may
    /// finish.
    Closing,
    /// As `Closing`, but tasks that still run on the worker are stopped. A long-running task stays
    /// as long as its step may not miss any more tasks.
    Forced,
}

/// The workers whose VMs are due for upkeep.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Closing {
    /// The version of the record: the token of its writer, and the number of that writer's earlier
    /// writes. The pair only increases.
    #[serde(rename = "place")]
    pub version: (u64, u64),
    /// The turn of each worker.
    pub turns: BTreeMap<WorkerId, UpkeepTurn>,
}

impl Closing {
    /// Returns the turn of a worker; `Open` if the worker is not in the record.
    pub fn turn(&self, worker: &WorkerId) -> UpkeepTurn {
        self.turns.get(worker).copied().unwrap_or_default()
    }
}
