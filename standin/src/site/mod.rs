//! The environment of a member as state machines: workers, store, advice service and the judge.
//! The time is an argument, and nothing here does I/O. The simulated cluster in `tests/yard` drives
//! them in virtual time, `standin soak` drives them against real processes.

pub mod advice;
pub mod assignments;
pub mod caps;
pub mod contact;
pub mod crashes;
pub mod customers;
pub mod judge;
pub mod keys;
pub mod plan;
mod pools;
pub mod setup;
pub mod starvation;
pub mod stay;
pub mod store;
pub mod wait;
pub mod worker;
