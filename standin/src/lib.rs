//! The outside of a site as state machines, and the judge of what they have seen. Not shipped.

pub mod site;
