//! Shards: each holds a part of the jobs and of the workers and is scheduled by one member.
//!
//! The number of a job selects one of its pool's shards; the layout assigns each worker to a shard
//! by its address. All data that placement decisions need is therefore in one place and in memory.
//! The state machine has no clock and does no I/O; `docs/PLATFORM.md` has the reasons.

mod ahead;
mod ask;
mod authority;
mod cause;
mod closing;
mod commit;
mod copy;
mod course;
mod crash;
mod ends;
pub mod event;
mod evict;
mod explain;
mod flight;
mod gangs;
mod hear;
mod jobs;
mod judge;
mod lapse;
mod listing;
mod machine;
mod orders;
mod plan;
mod queue;
pub mod record;
mod reserve;
mod round;
mod sight;
mod start;
mod store;
mod tally;
mod tell;
mod workers;

pub use {
    cause::{Away, Bar, Bars, Cause, Sight},
    closing::{Held, Need},
    machine::{Setup, Shard},
    tally::{Levels, Tally},
};
