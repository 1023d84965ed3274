//! The simulated environment of a member as state machines, and the judge of their events. For
//! tests and measurements only; not shipped.

pub mod site;
