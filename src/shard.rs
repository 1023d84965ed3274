//! Shards: each holds a part of the jobs and of the workers and is scheduled by one member.
//!
//! The number of a job selects one of its pool's shards; the layout assigns each worker to a shard
//! by its address. All data that placement decisions need is therefore in one place and in memory.
//! The state machine has no clock and does no I/O; `docs/PLATFORM.md` has the reasons.

mod advice;
mod assignments;
mod authority;
mod caps;
mod cause;
mod closing;
mod commit;
mod crash;
mod customer_cap;
mod diagnosis;
mod dispatch;
pub mod event;
mod explain;
mod gangs;
mod health;
mod in_flight;
mod jobs;
mod lifecycle;
mod listing;
mod locality;
mod logging;
mod orders;
mod preempt;
mod preempt_cost;
mod prefetch;
mod rack_state;
mod ready_queue;
pub mod record;
mod replies;
pub mod report;
mod reservation;
mod restart;
mod rooms;
mod round;
mod run_end;
mod share_state;
mod shares;
mod speculation;
mod start;
mod state_machine;
mod stats;
mod unwritten;
mod usage;
pub mod view;
mod worker_loss;
mod workers;
mod writes;

pub use {
    assignments::{CountedRun, TaskPlace},
    caps::oversized_step,
    cause::{AbsentStep, Cause, Exclusion, Exclusions, Sight},
    closing::{Occupancy, PoolWait},
    customer_cap::CustomerUsage,
    shares::REPORT_INTERVAL,
    state_machine::{Setup, Shard},
    stats::{Gauges, RackGain, Stats},
    usage::{Amounts, CustomerReport, UsageReport},
};
