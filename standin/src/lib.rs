//! The simulated environment of a member as state machines, the judge of their events, and network
//! links with faults. For tests and measurements only; not shipped.

pub mod crowd;
pub mod link;
pub mod site;
pub mod web;
