//! What is counted of a shard's decisions between two looks, and what was last told of it.

use {
    crate::{shard::cause::Cause, time::Time},
    std::{collections::BTreeMap, time::Duration},
};

/// What has happened since the last look.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tally {
    /// First starts of a step by the reason of their delay.
    pub starts: BTreeMap<&'static str, u64>,
    /// From a job's coming to its first start.
    pub first: Vec<Duration>,
    /// From a job's coming to its completion.
    pub done: Vec<Duration>,
    /// Runs that ended, by how.
    pub ends: BTreeMap<&'static str, u64>,
    /// Ends that were noted once they were stored.
    pub noted: u64,
}

/// The calls for advice of one queue.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Asked {
    /// How many.
    pub calls: u64,
    /// How many workers they named.
    pub named: u64,
    /// What they take, each by itself.
    pub takes: Duration,
    /// How many of them named no worker with room for a task by the time of the answer.
    pub bare: u64,
    /// How many tasks were started with tickets.
    pub starts: u64,
}

/// What was last told of a shard, and when.
#[derive(Clone, Debug)]
pub(super) struct Told {
    /// When the list of workers was last taken in.
    pub listed: Time,
    /// How many it had.
    pub count: usize,
    /// When it was settled.
    pub settled: Option<Time>,
    /// The longest that a lasting task is away, by cause.
    pub away: BTreeMap<Cause, Duration>,
}

impl Told {
    /// Nothing was told.
    pub fn new(now: Time) -> Self {
        Told { listed: now, count: 0, settled: None, away: BTreeMap::new() }
    }
}

/// The levels of a shard.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Levels {
    /// Tasks that could start and wait, by the priority of their queue.
    pub waiting: BTreeMap<u8, usize>,
    /// The age of the workers' list.
    pub list: Duration,
    /// The longest that a lasting task is away, by cause.
    pub away: BTreeMap<Cause, Duration>,
}
