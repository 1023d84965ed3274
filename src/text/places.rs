//! The lines of services and jobs and of their keys, for faults found after the whole text is
//! parsed.

use std::collections::BTreeMap;

/// The lines of a section's head and of its keys.
#[derive(Clone, Copy, Default)]
pub(super) struct Lines {
    pub head: u32,
    pub cores: u32,
    pub memory: u32,
    pub accels: u32,
    pub tasks: u32,
    pub after: u32,
}

/// The lines of services and jobs, by name.
pub(super) type Places<'a> = BTreeMap<&'a str, Lines>;
