//! Identifiers. Each kind has its own type, so that two kinds can't be confused.

use {
    derive_more::{Display, FromStr},
    serde::{Deserialize, Serialize, de},
    std::{fmt, num::ParseIntError, str::FromStr},
    xxhash_rust::xxh3::xxh3_64,
};

macro_rules! text_id {
    ($($(#[$doc:meta])* $name:ident)*) => {$(
        $(#[$doc])*
        #[derive(
            Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub Box<str>);

        impl $name {
            /// Returns the identifier as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl From<&str> for $name {
            fn from(s: &str) -> Self {
                $name(s.into())
            }
        }

        impl FromStr for $name {
            type Err = std::convert::Infallible;
            fn from_str(s: &str) -> Result<Self, Self::Err> {
                Ok($name(s.into()))
            }
        }
    )*};
}

text_id! {
    /// Id of a worker incarnation in the platform's list of VMs.
    WorkerId
    /// Id of a VM, which stays the same over all incarnations of its worker.
    VmId
    /// A rack of workers, the unit of worker ownership.
    RackId
    /// An availability zone.
    Zone
    /// A service of the operators' configuration text: long-running, and called by requests.
    ServiceId
    /// A pool of similar workers, by its name in the list of VMs.
    PoolId
    /// A job of the operators' configuration text: the replicas of a service, batch work, or a
    /// gang.
    JobId
    /// A team with quotas.
    TeamId
    /// A customer whose jobs the shards run, by its name in the configuration.
    CustomerId
    /// Name that a caller gives in its requests.
    CallerId
    /// The key of a non-idempotent request.
    Key
    /// A row of the ownership table: a rack or a bucket.
    RowId
}

macro_rules! number_id {
    ($($(#[$doc:meta])* $name:ident($inner:ty))*) => {$(
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Display, FromStr, PartialEq, Eq, PartialOrd, Ord, Hash,
            Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub $inner);
    )*};
}

number_id! {
    /// Number of a maintenance wave, given by the operators.
    WaveNo(u64)
    /// Number of owners that a row of the ownership table has had. A worker refuses dispatches with
    /// a lower number than it has seen.
    Epoch(u64)
    /// Version of the configuration; it rises with each accepted text.
    Version(u64)
    /// Revision of a record in the platform's key-value service; 0 if the record does not exist.
    Revision(u64)
    /// Number of a task within its job.
    TaskIndex(u32)
    /// Number of a task's attempt; a later attempt has a higher one, and none is given twice.
    Attempt(u32)
    /// A hash bucket of jobs and keys.
    Bucket(u16)
}

macro_rules! hex_id {
    ($($(#[$doc:meta])* $name:ident($inner:ty, $width:literal))*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!("{:0", $width, "x}"), self.0)
            }
        }

        impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                fmt::Display::fmt(self, f)
            }
        }

        impl FromStr for $name {
            type Err = ParseIntError;
            fn from_str(s: &str) -> Result<Self, ParseIntError> {
                <$inner>::from_str_radix(s, 16).map($name)
            }
        }

        impl Serialize for $name {
            fn serialize<S: serde::Serializer>(&self, s: S) -> Result<S::Ok, S::Error> {
                s.collect_str(self)
            }
        }

        impl<'de> Deserialize<'de> for $name {
            fn deserialize<D: serde::Deserializer<'de>>(d: D) -> Result<Self, D::Error> {
                <std::borrow::Cow<'de, str>>::deserialize(d)?.parse().map_err(de::Error::custom)
            }
        }
    )*};
}

hex_id! {
    /// One run of a member process; a restarted member has a new one.
    Incarnation(u64, "16")
    /// A request, unique over all members.
    RequestId(u128, "32")
    /// One submission of a text. If its answer is lost, reading the text shows whether it was
    /// accepted.
    SubmissionId(u64, "16")
}

impl RequestId {
    /// The member through which the request came.
    pub fn entry(self) -> Incarnation {
        Incarnation((self.0 >> 64) as u64)
    }
}

/// A task of a job.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[display("{job}/{index}")]
pub struct TaskId {
    /// The job of the task.
    pub job: JobId,
    /// Number of the task within the job.
    pub index: TaskIndex,
}

/// Number of buckets, enough to spread the load over about sixty members.
pub const BUCKET_COUNT: u16 = 64;

/// Returns the bucket of a key.
pub fn bucket_of(name: &str) -> Bucket {
    Bucket((xxh3_64(name.as_bytes()) % u64::from(BUCKET_COUNT)) as u16)
}

/// Returns the bucket of a team's jobs. A team has only one, so that a single member counts its
/// quota.
pub fn team_bucket(team: &TeamId) -> Bucket {
    bucket_of(team.as_str())
}
