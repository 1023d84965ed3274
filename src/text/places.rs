//! Where the items of a text stand, for faults that are found once the whole is read.

use std::collections::BTreeMap;

/// Where the keys of an item stand, for faults found once the whole is read.
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
