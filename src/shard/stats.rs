//! Statistics of a shard's decisions for the metrics, and the values that were last reported.

use {
    crate::{shard::cause::Cause, time::Time},
    std::{collections::BTreeMap, time::Duration},
};

/// Events since the statistics were last collected.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Stats {
    /// First starts of steps, by the reason for their delay.
    pub starts: BTreeMap<&'static str, u64>,
    /// Times from a job's arrival to its first start.
    pub first_starts: Vec<Duration>,
    /// Times from a job's arrival to its completion.
    pub completions: Vec<Duration>,
    /// Ended runs, by the way in which they ended.
    pub ends: BTreeMap<&'static str, u64>,
    /// Stored ends of runs that were acknowledged to their workers.
    pub acknowledged: u64,
}

/// The advice calls of one queue.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct AdviceStats {
    /// The number of calls.
    pub calls: u64,
    /// The number of workers that the calls named.
    pub named: u64,
    /// The sum of the expected durations of the calls.
    pub expected_time: Duration,
    /// The number of calls of which no named worker was expected to have room for a task when the
    /// answer arrives.
    pub without_room: u64,
    /// The number of tasks that were started with tickets.
    pub starts: u64,
}

/// The values that were last reported of a shard.
#[derive(Clone, Debug)]
pub(super) struct Reported {
    /// When the last worker list was received.
    pub listed_at: Time,
    /// The number of workers in that list.
    pub listed_count: usize,
    /// When the shard was settled.
    pub settled_at: Option<Time>,
    /// The longest time for which a long-running task has been away, by cause.
    pub away: BTreeMap<Cause, Duration>,
}

impl Reported {
    /// The values before any report.
    pub fn new(now: Time) -> Self {
        Reported { listed_at: now, listed_count: 0, settled_at: None, away: BTreeMap::new() }
    }
}

/// The gauges of a shard.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Gauges {
    /// Waiting tasks that could start, by the priority of their queue.
    pub waiting: BTreeMap<u8, usize>,
    /// The age of the worker list.
    pub list_age: Duration,
    /// The longest time for which a long-running task has been away, by cause.
    pub away: BTreeMap<Cause, Duration>,
}
