//! Messages between members, and with the platform, workers and operators.
//!
//! Written by `cargo run -p codegen` from `schema/messages.json`; not edited by hand.

///What a member tells every peer a few times a second.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct Beat {
    ///The jobs of its buckets that have ended and that others depend on.
    pub done: ::std::vec::Vec<crate::ids::JobId>,
    ///Whether the sender is stopping.
    pub draining: bool,
    ///The sender.
    pub from: crate::ids::Incarnation,
    ///How long ago the key-value service last answered the sender.
    pub kv: u64,
    ///What is free on its racks.
    pub racks: ::std::vec::Vec<RackLoad>,
    ///Its load by service.
    pub services: ::std::vec::Vec<ServiceLoad>,
    ///The configuration in force at the sender.
    pub version: crate::ids::Version,
}
///The answer to a beat.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct BeatReply {
    ///How long ago the key-value service last answered the receiver.
    pub kv: u64,
    ///The configuration in force at the receiver.
    pub version: crate::ids::Version,
}
///What must last of one bucket of jobs and keys.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct BucketRecord {
    ///The claims on keys.
    pub claims: ::std::vec::Vec<ClaimRow>,
    ///The epoch of the bucket's owner that wrote it.
    pub epoch: crate::ids::Epoch,
    ///The jobs of the bucket.
    #[serde(default, skip_serializing_if = "::std::vec::Vec::is_empty")]
    pub jobs: ::std::vec::Vec<JobRow>,
    ///That owner.
    pub owner: crate::ids::Incarnation,
    ///Counts the writes of that owner, so that a lost answer can be settled by reading.
    pub serial: u64,
    ///The attempts of tasks that have not been forgotten.
    pub tasks: ::std::vec::Vec<TaskRow>,
}
///Asks a key's owner for a claim.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ClaimAsk {
    ///A digest of the request.
    pub digest: ::std::boxed::Box<str>,
    ///The key.
    pub key: crate::ids::Key,
    ///The request.
    pub request: crate::ids::RequestId,
}
///Tells a key's owner how the request ended.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ClaimEnd {
    ///The answer, where it is small enough to be kept.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub answer: ::std::option::Option<::std::boxed::Box<str>>,
    ///How it ended.
    pub fate: ClaimFate,
    ///The key.
    pub key: crate::ids::Key,
    ///The request.
    pub request: crate::ids::RequestId,
    ///The status of its answer.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub status: ::std::option::Option<u32>,
}
///How a claimed request ended.
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum ClaimFate {
    #[serde(rename = "answered")]
    Answered,
    #[serde(rename = "not_run")]
    NotRun,
    #[serde(rename = "unknown")]
    Unknown,
}
impl ::std::fmt::Display for ClaimFate {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Answered => f.write_str("answered"),
            Self::NotRun => f.write_str("not_run"),
            Self::Unknown => f.write_str("unknown"),
        }
    }
}
impl ::std::str::FromStr for ClaimFate {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "answered" => Ok(Self::Answered),
            "not_run" => Ok(Self::NotRun),
            "unknown" => Ok(Self::Unknown),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for ClaimFate {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for ClaimFate {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///Asks the member that made a claim whether the claimed request has ended.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ClaimProbe {
    ///The request that holds it.
    pub holder: crate::ids::RequestId,
    ///The key.
    pub key: crate::ids::Key,
    ///The request that was refused the claim.
    pub request: crate::ids::RequestId,
}
///The answer to a claim's ask.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ClaimReply {
    ///The kept answer.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub answer: ::std::option::Option<::std::boxed::Box<str>>,
    ///The request that holds the key, if it is running.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub holder: ::std::option::Option<crate::ids::RequestId>,
    ///The status of the kept answer.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub status: ::std::option::Option<u32>,
    ///Whether the request may run.
    pub verdict: ClaimVerdict,
}
///The claim on a key of a non-idempotent request.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ClaimRow {
    ///The answer, where it is small enough to be kept.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub answer: ::std::option::Option<::std::boxed::Box<str>>,
    ///When it was made, in seconds of the Unix clock.
    pub born: u64,
    ///A digest of the request that first used it.
    pub digest: ::std::boxed::Box<str>,
    ///The key.
    pub key: crate::ids::Key,
    ///The request that holds it.
    pub request: crate::ids::RequestId,
    ///What is known of it.
    pub state: ClaimState,
    ///The status of the answer, where it is kept.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub status: ::std::option::Option<u32>,
}
///What is known of a key.
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum ClaimState {
    #[serde(rename = "running")]
    Running,
    #[serde(rename = "answered")]
    Answered,
    #[serde(rename = "unknown")]
    Unknown,
}
impl ::std::fmt::Display for ClaimState {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Running => f.write_str("running"),
            Self::Answered => f.write_str("answered"),
            Self::Unknown => f.write_str("unknown"),
        }
    }
}
impl ::std::str::FromStr for ClaimState {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "running" => Ok(Self::Running),
            "answered" => Ok(Self::Answered),
            "unknown" => Ok(Self::Unknown),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for ClaimState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for ClaimState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///The answer to an ask.
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum ClaimVerdict {
    #[serde(rename = "granted")]
    Granted,
    #[serde(rename = "running")]
    Running,
    #[serde(rename = "answered")]
    Answered,
    #[serde(rename = "unknown")]
    Unknown,
    #[serde(rename = "mismatch")]
    Mismatch,
    #[serde(rename = "unowned")]
    Unowned,
    #[serde(rename = "kv_down")]
    KvDown,
    #[serde(rename = "full")]
    Full,
}
impl ::std::fmt::Display for ClaimVerdict {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Granted => f.write_str("granted"),
            Self::Running => f.write_str("running"),
            Self::Answered => f.write_str("answered"),
            Self::Unknown => f.write_str("unknown"),
            Self::Mismatch => f.write_str("mismatch"),
            Self::Unowned => f.write_str("unowned"),
            Self::KvDown => f.write_str("kv_down"),
            Self::Full => f.write_str("full"),
        }
    }
}
impl ::std::str::FromStr for ClaimVerdict {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "granted" => Ok(Self::Granted),
            "running" => Ok(Self::Running),
            "answered" => Ok(Self::Answered),
            "unknown" => Ok(Self::Unknown),
            "mismatch" => Ok(Self::Mismatch),
            "unowned" => Ok(Self::Unowned),
            "kv_down" => Ok(Self::KvDown),
            "full" => Ok(Self::Full),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for ClaimVerdict {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for ClaimVerdict {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///The configuration in force, one record in the key-value service.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ConfigRecord {
    ///Who submitted it.
    pub by: ::std::boxed::Box<str>,
    ///The submission that made it.
    pub submission: crate::ids::SubmissionId,
    ///The operators' text.
    pub text: ::std::boxed::Box<str>,
    ///Its version.
    pub version: crate::ids::Version,
}
///How an attempt ended.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct EndItem {
    ///The attempt.
    pub attempt: crate::ids::Attempt,
    ///How it ended.
    pub state: TaskState,
    ///The task.
    pub task: crate::ids::TaskId,
    ///The most that it was seen to use.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub used: ::std::option::Option<crate::units::Size>,
    ///Where it ran.
    pub worker: crate::ids::WorkerId,
}
///Tells a bucket's owner of attempts that run or ended.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct EndTell {
    ///The bucket.
    pub bucket: crate::ids::Bucket,
    ///The attempts.
    pub items: ::std::vec::Vec<EndItem>,
}
///Raises the epoch below which a worker refuses dispatches.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct FenceAsk {
    ///The new owner's epoch.
    pub epoch: crate::ids::Epoch,
}
///A request in flight.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct FlightRow {
    ///What is left of its lease.
    pub left: u64,
    ///The request.
    pub request: crate::ids::RequestId,
    ///Where it runs.
    pub worker: crate::ids::WorkerId,
}
///Tells the next owner of a rack what is in flight there.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct Handover {
    ///The epoch handed over.
    pub epoch: crate::ids::Epoch,
    ///The rack.
    pub rack: crate::ids::RackId,
    ///The requests in flight.
    pub requests: ::std::vec::Vec<FlightRow>,
    ///The attempts reserved or running.
    pub tasks: ::std::vec::Vec<TaskRow>,
}
///How a task's room can be had back.
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum Hold {
    #[serde(rename = "never")]
    Never,
    #[serde(rename = "checkpoint")]
    Checkpoint,
    #[serde(rename = "brief")]
    Brief,
}
impl ::std::fmt::Display for Hold {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Never => f.write_str("never"),
            Self::Checkpoint => f.write_str("checkpoint"),
            Self::Brief => f.write_str("brief"),
        }
    }
}
impl ::std::str::FromStr for Hold {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "never" => Ok(Self::Never),
            "checkpoint" => Ok(Self::Checkpoint),
            "brief" => Ok(Self::Brief),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for Hold {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for Hold {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///What must last of a job beyond its attempts.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct JobRow {
    ///The tasks that have ended well, as ranges: begin and end, the end not within.
    pub done: ::std::vec::Vec<u32>,
    ///Why it was given up.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub fault: ::std::option::Option<::std::boxed::Box<str>>,
    ///The job.
    pub job: crate::ids::JobId,
    ///When it was taken in, in seconds of the Unix clock; its deadline counts from here.
    pub since: u64,
}
///A record of the key-value service.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct KvEntry {
    ///Its key.
    pub key: ::std::boxed::Box<str>,
    ///The version of the record.
    pub revision: crate::ids::Revision,
    ///Its value.
    pub value: ::std::boxed::Box<str>,
}
///A lease of the key-value service.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct KvLease {
    ///Its number; 0 asks for a new one.
    pub id: u64,
    ///How long it lasts without a renewal.
    pub ttl: u64,
}
///Records under a prefix.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct KvList {
    ///The store's version that this is true at.
    pub at: crate::ids::Revision,
    ///The records.
    pub entries: ::std::vec::Vec<KvEntry>,
    ///The keys of records removed since the version asked after.
    pub gone: ::std::vec::Vec<::std::boxed::Box<str>>,
}
///A compare-and-swap.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct KvPut {
    ///The version that the record must have; 0 where there must be none.
    pub expect: crate::ids::Revision,
    ///The lease that the record ends with.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub lease: ::std::option::Option<u64>,
    ///The new value; none removes the record.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub value: ::std::option::Option<::std::boxed::Box<str>>,
}
///The answer to a compare-and-swap.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct KvPutReply {
    ///Whether it took effect.
    pub done: bool,
    ///The version of the record now.
    pub revision: crate::ids::Revision,
}
///What a member registers of itself in the key-value service, under its lease.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct MemberRecord {
    ///Where peers forward requests to it.
    pub bodies: ::std::net::SocketAddr,
    ///Where callers reach it.
    pub callers: ::std::net::SocketAddr,
    ///Where peers call it.
    pub control: ::std::net::SocketAddr,
    ///Whether it is stopping.
    pub draining: bool,
    ///The run of the process.
    pub incarnation: crate::ids::Incarnation,
    ///Its availability zone.
    pub zone: crate::ids::Zone,
}
///A member, for operators.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct MemberShow {
    ///Whether it is stopping.
    pub draining: bool,
    ///The run of the process.
    pub incarnation: crate::ids::Incarnation,
    ///The racks and buckets that it owns.
    pub rows: u32,
    ///The configuration in force there, as last heard; 0 if it was never heard.
    pub version: crate::ids::Version,
    ///Its availability zone.
    pub zone: crate::ids::Zone,
}
///`MessagesBetweenMembersWithThePlatformWorkersAndOperators`
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
#[serde(transparent)]
pub struct MessagesBetweenMembersWithThePlatformWorkersAndOperators(
    pub ::serde_json::Value,
);
impl ::std::ops::Deref for MessagesBetweenMembersWithThePlatformWorkersAndOperators {
    type Target = ::serde_json::Value;
    fn deref(&self) -> &::serde_json::Value {
        &self.0
    }
}
impl ::std::convert::From<MessagesBetweenMembersWithThePlatformWorkersAndOperators>
for ::serde_json::Value {
    fn from(value: MessagesBetweenMembersWithThePlatformWorkersAndOperators) -> Self {
        value.0
    }
}
impl ::std::convert::From<::serde_json::Value>
for MessagesBetweenMembersWithThePlatformWorkersAndOperators {
    fn from(value: ::serde_json::Value) -> Self {
        Self(value)
    }
}
///The ownership table of one availability zone, one record in the key-value service.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct OwnersRecord {
    ///The rows by their name.
    pub rows: ::std::collections::HashMap<::std::string::String, Row>,
}
///Asks a rack's owner what became of attempts.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ProbeAsk {
    ///The bucket that they belong to.
    pub bucket: crate::ids::Bucket,
    ///The attempts.
    pub items: ::std::vec::Vec<ProbeItem>,
    ///The rack.
    pub rack: crate::ids::RackId,
}
///An attempt that a bucket's owner wants to hear of.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ProbeItem {
    ///The attempt.
    pub attempt: crate::ids::Attempt,
    ///The task.
    pub task: crate::ids::TaskId,
    ///Where it was placed.
    pub worker: crate::ids::WorkerId,
}
///The answer to a probe.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ProbeReply {
    ///A row for each worker asked for.
    pub rows: ::std::vec::Vec<ProbeRow>,
}
///What a rack's owner knows of one worker.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ProbeRow {
    ///How long ago its newest report was true; none where there is none since the owner changed.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub age: ::std::option::Option<u64>,
    ///How long attempts there may still run, where their leases are renewed no more.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub cut: ::std::option::Option<u64>,
    ///The attempts asked for that the report shows.
    pub tasks: ::std::vec::Vec<TaskReport>,
    ///The worker.
    pub worker: crate::ids::WorkerId,
}
///What is free on a rack.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct RackLoad {
    ///The sum of what is free.
    pub free: crate::units::Size,
    ///The pool of its workers.
    pub pool: crate::ids::PoolId,
    ///The rack.
    pub rack: crate::ids::RackId,
    ///The largest single free room, dimension by dimension.
    pub widest: crate::units::Size,
    ///The workers that take new work.
    pub workers: u32,
}
///What a worker says of itself; it lags.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct Report {
    ///How long ago this was true.
    pub age: u64,
    ///The highest epoch seen.
    pub epoch: crate::ids::Epoch,
    ///The requests running.
    pub requests: ::std::vec::Vec<crate::ids::RequestId>,
    ///The tasks running, and those that ended of late.
    pub tasks: ::std::vec::Vec<TaskReport>,
}
///Asks an owner of racks for room; a reservation expires by itself.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ReserveAsk {
    ///The wishes.
    pub items: ::std::vec::Vec<ReserveItem>,
    ///The pool.
    pub pool: crate::ids::PoolId,
    ///The only rack asked for.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub rack: ::std::option::Option<crate::ids::RackId>,
    ///The members that had no room for these.
    pub tried: ::std::vec::Vec<crate::ids::Incarnation>,
    ///Whether all or none are to be placed.
    pub whole: bool,
}
///A wish to place one attempt.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ReserveItem {
    ///The attempt.
    pub attempt: crate::ids::Attempt,
    ///The workers where it has failed.
    pub avoid: ::std::vec::Vec<crate::ids::WorkerId>,
    ///What it needs.
    pub size: crate::units::Size,
    ///Whether it shuns workers that run its job already.
    pub spread: bool,
    ///The task.
    pub task: crate::ids::TaskId,
    ///Whether it may push others aside.
    pub urgent: bool,
}
///The answer to wishes.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ReserveReply {
    ///A row for each wish that has room.
    pub rows: ::std::vec::Vec<ReserveRow>,
}
///The answer to a wish that has room.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ReserveRow {
    ///The attempt.
    pub attempt: crate::ids::Attempt,
    ///The epoch of that rack.
    pub epoch: crate::ids::Epoch,
    ///The rack of that worker.
    pub rack: crate::ids::RackId,
    ///The task.
    pub task: crate::ids::TaskId,
    ///Where it has room.
    pub worker: crate::ids::WorkerId,
}
///Who owns a rack or a bucket.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct Row {
    ///Counted up by each change of the owner.
    pub epoch: crate::ids::Epoch,
    ///The owner; none where it was released.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub owner: ::std::option::Option<crate::ids::Incarnation>,
}
///How busy one service is at a member.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct ServiceLoad {
    ///The slots free now.
    pub free: u32,
    ///The service.
    pub service: crate::ids::ServiceId,
    ///The slots of the workers owned.
    pub slots: u32,
    ///The wait that a new request would have.
    pub wait: u64,
    ///The requests waiting.
    pub waiting: u32,
}
///What an operator sees of one member.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct Show {
    ///The member that answers.
    pub member: crate::ids::Incarnation,
    ///The members that this one knows.
    pub members: ::std::vec::Vec<MemberShow>,
    ///The tasks whose bucket this one owns.
    pub tasks: ::std::vec::Vec<TaskShow>,
    ///The operators' text.
    pub text: ::std::boxed::Box<str>,
    ///The configuration in force.
    pub version: crate::ids::Version,
    ///The requests waiting here.
    pub waiting: u32,
    ///The workers that this one owns.
    pub workers: ::std::vec::Vec<WorkerShow>,
}
///Starts reserved attempts, and stops others.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct StartAsk {
    ///The epoch that the reservations were made under.
    pub epoch: crate::ids::Epoch,
    ///How long the starts may still take effect.
    pub left: u64,
    ///The rack.
    pub rack: crate::ids::RackId,
    ///The attempts to start.
    pub start: ::std::vec::Vec<StartItem>,
    ///The attempts to stop.
    pub stop: ::std::vec::Vec<StartItem>,
}
///A start of an attempt whose intent is committed.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct StartItem {
    ///The attempt.
    pub attempt: crate::ids::Attempt,
    ///Whether it runs in room that other teams lend.
    pub borrowed: bool,
    ///The bucket whose owner hears of it.
    pub bucket: crate::ids::Bucket,
    ///How its room can be had back.
    pub hold: Hold,
    ///How long it is declared to run; 0 is for ever.
    pub run: u64,
    ///What is reserved.
    pub size: crate::units::Size,
    ///The task.
    pub task: crate::ids::TaskId,
    ///Where it was placed.
    pub worker: crate::ids::WorkerId,
}
///The answer to starts and stops.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct StartReply {
    ///The starts that will never take effect.
    pub refused: ::std::vec::Vec<EndItem>,
}
///An operator's submission of a text.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct Submit {
    ///The version that the text was edited from.
    pub base: crate::ids::Version,
    ///Who submits.
    pub by: ::std::boxed::Box<str>,
    ///Made by the client, so that a repeat is known.
    pub submission: crate::ids::SubmissionId,
    ///The text.
    pub text: ::std::boxed::Box<str>,
}
///The answer to a submission.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct SubmitReply {
    ///Whether it is in force now.
    pub accepted: bool,
    ///What is wrong with the text, by line.
    pub errors: ::std::vec::Vec<::std::boxed::Box<str>>,
    ///The text in force, where another was first.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub text: ::std::option::Option<::std::boxed::Box<str>>,
    ///The version in force.
    pub version: crate::ids::Version,
}
///One start, renewal or stop for a worker.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct TaskOrder {
    ///The attempt.
    pub attempt: crate::ids::Attempt,
    ///How long the stand-in work lasts; 0 is for ever.
    pub run: u64,
    ///What is reserved.
    pub size: crate::units::Size,
    ///The task.
    pub task: crate::ids::TaskId,
}
///A task at a worker.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct TaskReport {
    ///The attempt.
    pub attempt: crate::ids::Attempt,
    ///How far it is.
    pub state: TaskState,
    ///The task.
    pub task: crate::ids::TaskId,
    ///What it uses.
    pub used: crate::units::Size,
}
///One attempt of a task, as its bucket's record keeps it.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct TaskRow {
    ///Counted up from 1.
    pub attempt: crate::ids::Attempt,
    ///The epoch of the rack when it was placed.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub epoch: ::std::option::Option<crate::ids::Epoch>,
    ///The rack of that worker.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub rack: ::std::option::Option<crate::ids::RackId>,
    ///Why it is not running.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub reason: ::std::option::Option<::std::boxed::Box<str>>,
    ///What is reserved for it.
    pub size: crate::units::Size,
    ///How far it is.
    pub state: TaskState,
    ///The task.
    pub task: crate::ids::TaskId,
    ///How many attempts have failed.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub tries: ::std::option::Option<u32>,
    ///Where it was placed.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub worker: ::std::option::Option<crate::ids::WorkerId>,
}
///A task, for operators.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct TaskShow {
    ///Its attempt.
    pub attempt: crate::ids::Attempt,
    ///Why it waits.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub reason: ::std::option::Option<::std::boxed::Box<str>>,
    ///How far it is.
    pub state: ::std::boxed::Box<str>,
    ///The task.
    pub task: crate::ids::TaskId,
    ///Where it runs.
    #[serde(skip_serializing_if = "::std::option::Option::is_none")]
    pub worker: ::std::option::Option<crate::ids::WorkerId>,
}
///How far an attempt is.
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum TaskState {
    #[serde(rename = "intent")]
    Intent,
    #[serde(rename = "running")]
    Running,
    #[serde(rename = "stopping")]
    Stopping,
    #[serde(rename = "ended")]
    Ended,
    #[serde(rename = "failed")]
    Failed,
    #[serde(rename = "lost")]
    Lost,
    #[serde(rename = "checkpointed")]
    Checkpointed,
}
impl ::std::fmt::Display for TaskState {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Intent => f.write_str("intent"),
            Self::Running => f.write_str("running"),
            Self::Stopping => f.write_str("stopping"),
            Self::Ended => f.write_str("ended"),
            Self::Failed => f.write_str("failed"),
            Self::Lost => f.write_str("lost"),
            Self::Checkpointed => f.write_str("checkpointed"),
        }
    }
}
impl ::std::str::FromStr for TaskState {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "intent" => Ok(Self::Intent),
            "running" => Ok(Self::Running),
            "stopping" => Ok(Self::Stopping),
            "ended" => Ok(Self::Ended),
            "failed" => Ok(Self::Failed),
            "lost" => Ok(Self::Lost),
            "checkpointed" => Ok(Self::Checkpointed),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for TaskState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for TaskState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///A worker VM on the platform's list.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct Vm {
    ///Where it is reached.
    pub addr: ::std::net::SocketAddr,
    ///How many connections it takes at once.
    pub connections: u32,
    ///Its pool.
    pub pool: crate::ids::PoolId,
    ///Its rack.
    pub rack: crate::ids::RackId,
    ///What it has.
    pub size: crate::units::Size,
    ///How many requests it takes at once.
    pub slots: u32,
    ///Whether it is leaving.
    pub state: VmState,
    ///Its name.
    pub worker: crate::ids::WorkerId,
    ///Its availability zone.
    pub zone: crate::ids::Zone,
}
///The platform's lagging list of VMs.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct VmList {
    ///The VMs.
    pub vms: ::std::vec::Vec<Vm>,
}
///The platform's word on a VM.
#[derive(
    ::serde::Deserialize,
    ::serde::Serialize,
    Clone,
    Copy,
    Debug,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd
)]
pub enum VmState {
    #[serde(rename = "live")]
    Live,
    #[serde(rename = "leaving")]
    Leaving,
}
impl ::std::fmt::Display for VmState {
    fn fmt(&self, f: &mut ::std::fmt::Formatter<'_>) -> ::std::fmt::Result {
        match *self {
            Self::Live => f.write_str("live"),
            Self::Leaving => f.write_str("leaving"),
        }
    }
}
impl ::std::str::FromStr for VmState {
    type Err = self::error::ConversionError;
    fn from_str(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        match value {
            "live" => Ok(Self::Live),
            "leaving" => Ok(Self::Leaving),
            _ => Err("invalid value".into()),
        }
    }
}
impl ::std::convert::TryFrom<&str> for VmState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: &str,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
impl ::std::convert::TryFrom<::std::string::String> for VmState {
    type Error = self::error::ConversionError;
    fn try_from(
        value: ::std::string::String,
    ) -> ::std::result::Result<Self, self::error::ConversionError> {
        value.parse()
    }
}
///Orders to a worker, refused whole if the epoch is too low.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct WorkerAsk {
    ///The owner's epoch.
    pub epoch: crate::ids::Epoch,
    ///How long the tasks named may run on without a renewal.
    pub lease: u64,
    ///To renew.
    pub renew: ::std::vec::Vec<TaskOrder>,
    ///To start.
    pub start: ::std::vec::Vec<TaskOrder>,
    ///To stop.
    pub stop: ::std::vec::Vec<TaskOrder>,
    ///The time after which nothing of it may take effect, in milliseconds of the Unix clock.
    pub until: u64,
}
///A worker's answer to orders.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct WorkerReply {
    ///The highest epoch seen; above the order's if it was refused.
    pub epoch: crate::ids::Epoch,
    ///The starts that were refused and will not run.
    pub refused: ::std::vec::Vec<TaskOrder>,
    ///The stops that are done: nothing of them runs.
    pub stopped: ::std::vec::Vec<TaskOrder>,
}
///A worker, for operators.
#[derive(::serde::Deserialize, ::serde::Serialize, Clone, Debug, PartialEq)]
pub struct WorkerShow {
    ///The slots in use.
    pub busy: u32,
    ///Its pool.
    pub pool: crate::ids::PoolId,
    ///Its rack.
    pub rack: crate::ids::RackId,
    ///What is free.
    pub room: crate::units::Size,
    ///Its slots.
    pub slots: u32,
    ///Whether it takes new work, and if not, why.
    pub state: ::std::boxed::Box<str>,
    ///The worker.
    pub worker: crate::ids::WorkerId,
}
/// Error types.
pub mod error {
    /// Error from a `TryFrom` or `FromStr` implementation.
    pub struct ConversionError(::std::borrow::Cow<'static, str>);
    impl ::std::error::Error for ConversionError {}
    impl ::std::fmt::Display for ConversionError {
        fn fmt(
            &self,
            f: &mut ::std::fmt::Formatter<'_>,
        ) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Display::fmt(&self.0, f)
        }
    }
    impl ::std::fmt::Debug for ConversionError {
        fn fmt(
            &self,
            f: &mut ::std::fmt::Formatter<'_>,
        ) -> Result<(), ::std::fmt::Error> {
            ::std::fmt::Debug::fmt(&self.0, f)
        }
    }
    impl From<&'static str> for ConversionError {
        fn from(value: &'static str) -> Self {
            Self(value.into())
        }
    }
    impl From<String> for ConversionError {
        fn from(value: String) -> Self {
            Self(value.into())
        }
    }
}
