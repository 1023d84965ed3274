//! The bodies of calls between members.

use {
    crate::{
        ids::{Incarnation, WorkerId},
        ports::{Advice, Fault},
        shard::record::{CancelRecord, JobRecord, ShardNo},
        time::millis,
    },
    serde::{Deserialize, Serialize},
    std::time::Duration,
};

/// An advice call that one member asks another to make.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct AdviseRequest {
    pub(super) job: Box<str>,
    pub(super) time: u32,
    pub(super) step: u16,
    pub(super) workers: Vec<WorkerId>,
    pub(super) limit_ms: u64,
    /// Expected duration of the advice call, in milliseconds; members of an earlier version don't
    /// send it.
    #[serde(default)]
    pub(super) takes_ms: u64,
}

/// The result of an advice call, from the member that made it.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(super) enum AdviseReply {
    Told { good: Vec<(WorkerId, Box<str>)>, valid_ms: Option<u64> },
    Refused,
    Unsent,
    Unknown,
    Bad(Box<str>),
}

/// A request for the states of jobs.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct StatesRequest {
    pub(super) jobs: Box<[(ShardNo, Box<str>)]>,
}

/// Notice of a stored job, or of a job's cancellation if `record` is absent.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct JobNotice {
    pub(super) shard: ShardNo,
    pub(super) job: Box<str>,
    pub(super) record: Option<JobRecord>,
    /// The cancel; members of an earlier version don't send it.
    #[serde(default)]
    pub(super) cancel: CancelRecord,
}

/// A request for the cancels that a member has acknowledged in the last `age_ms` milliseconds.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct CancelsRequest {
    /// The asked process. Another one that has its address knows nothing of its cancels.
    pub(super) member: Incarnation,
    /// The shards whose cancels are wanted.
    pub(super) shards: Box<[ShardNo]>,
    pub(super) age_ms: u64,
    /// The hash of the members that the asking member knows.
    pub(super) members: u64,
}

/// The answer to a [`CancelsRequest`]; `None` if the asked member can't name them all, knows other
/// members, or is another process than the asked one.
pub(super) type CancelsReply = Option<Box<[(ShardNo, Box<str>, CancelRecord)]>>;

/// Notice of what customers have in the shards of a member; `R` is a sequence of reports.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct UsageNotice<R> {
    pub(super) reports: R,
}

/// A request for the number of jobs of a queue that have not begun.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct QueueLengthRequest {
    pub(super) queue: Box<str>,
    pub(super) shards: Box<[ShardNo]>,
}

/// A request for the tasks that workers hold.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct HeldRequest {
    pub(super) workers: Box<[WorkerId]>,
    pub(super) shards: Box<[ShardNo]>,
}

impl From<Result<Advice, Fault>> for AdviseReply {
    fn from(reply: Result<Advice, Fault>) -> Self {
        match reply {
            Ok(a) => AdviseReply::Told { good: a.accepted, valid_ms: a.validity.map(millis) },
            Err(Fault::Refused | Fault::TooLarge) => AdviseReply::Refused,
            Err(Fault::Unsent) => AdviseReply::Unsent,
            Err(Fault::Unknown) => AdviseReply::Unknown,
            Err(Fault::Bad(why)) => AdviseReply::Bad(why),
        }
    }
}

impl From<AdviseReply> for Result<Advice, Fault> {
    fn from(answer: AdviseReply) -> Self {
        match answer {
            AdviseReply::Told { good, valid_ms } => {
                Ok(Advice { accepted: good, validity: valid_ms.map(Duration::from_millis) })
            }
            AdviseReply::Refused => Err(Fault::Refused),
            AdviseReply::Unsent => Err(Fault::Unsent),
            AdviseReply::Unknown => Err(Fault::Unknown),
            AdviseReply::Bad(why) => Err(Fault::Bad(why)),
        }
    }
}
