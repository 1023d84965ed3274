//! Shards: a part of the jobs and of the workers, scheduled by one member.
//!
//! A job is in one of its pool's shards, by its number; a worker in the one that the layout has for its
//! address, so that all that decides where a task runs is in one place and in memory. The state machine has no
//! clock and does no I/O; `docs/PLATFORM.md` has the reasons.

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
