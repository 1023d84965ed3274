//! Shards: a part of the jobs and of the workers, scheduled by one member.
//!
//! A job is in the shard that its number hashes to, a worker in the one that its rack hashes to, so
//! that all that decides where a task runs is in one place and in memory. The state machine has no
//! clock and does no I/O; `docs/PLATFORM.md` has the reasons.

mod ask;
mod commit;
pub mod event;
mod explain;
mod flight;
mod hear;
mod jobs;
mod judge;
mod machine;
mod plan;
pub mod record;
mod store;
mod tally;
mod tell;
mod workers;

pub use {
    machine::{Setup, Shard},
    tally::{Levels, Tally},
};
