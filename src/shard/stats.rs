//! Statistics of a shard's decisions for the metrics, and the values that the shard last reported.

use {
    crate::{
        shard::{cause::Cause, event::CancelSource},
        time::Time,
    },
    std::{collections::BTreeMap, time::Duration},
};

/// Why a run counts as lost.
#[derive(Clone, Copy, Debug, derive_more::Display, PartialEq, Eq, PartialOrd, Ord)]
pub enum LossCause {
    /// Its worker reports it neither as running nor as ended.
    #[display("unreported")]
    Unreported,
    /// Its worker is over.
    #[display("worker_over")]
    WorkerOver,
    /// Its worker has restarted.
    #[display("worker_restarted")]
    WorkerRestarted,
    /// Its lease has certainly expired.
    #[display("lapsed")]
    Lapsed,
    /// Its worker has refused the start.
    #[display("refused")]
    Refused,
}

/// Events since the statistics were last collected.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Stats {
    /// The number of steps that have started for the first time, by the reason for their delay.
    pub step_starts: BTreeMap<&'static str, u64>,
    /// The times from a job's arrival to its first start, one for each job.
    pub first_starts: Vec<Duration>,
    /// The times from a job's arrival to its completion, one for each job.
    pub completions: Vec<Duration>,
    /// The number of completed jobs, by whether they ended in time, late, or too late to have value.
    pub job_outcomes: BTreeMap<&'static str, u64>,
    /// The number of runs that have ended, by the way in which they ended.
    pub run_ends: BTreeMap<&'static str, u64>,
    /// The number of runs that count as lost because no end was reported, by cause.
    pub lost_runs: BTreeMap<LossCause, u64>,
    /// The number of cancels that this owner learnt of, by how it did.
    pub cancels: BTreeMap<CancelSource, u64>,
    /// The times from a caller's request to cancel a job until this owner learnt of it.
    pub cancel_delays: Vec<Duration>,
    /// The number of answers of workers that list only the first of their ends.
    pub cut_off_lists: u64,
    /// The number of stored ends of runs that were acknowledged to their workers.
    pub acknowledged_ends: u64,
    /// The number of holds sent to workers that list ends which are not stored yet. Such a hold
    /// brings nothing but the ends that came since the one before.
    pub unstored_polls: u64,
    /// The number of writes of the shard's changes that have begun.
    pub writes: u64,
    /// The number of changes of jobs that go on in these writes.
    pub written_changes: u64,
    /// The times from a job's end until it was stored, one for each job.
    pub end_delays: Vec<Duration>,
    /// The number of writes of divisions of customers' caps.
    pub division_writes: u64,
    /// The number of jobs that were found to be beyond their customer's quota.
    pub over_quota_jobs: u64,
    /// The number of runs that were stopped for more urgent work, by cause.
    pub preemptions: BTreeMap<&'static str, u64>,
    /// The expected cost of these stops, in core seconds.
    pub preemption_cost: f64,
    /// The number of waits for racks that have ended, by how they ended.
    pub rack_waits: BTreeMap<&'static str, u64>,
    /// The sum of the durations of these waits.
    pub rack_wait_time: Duration,
    /// What these waits gained.
    pub rack_gain: RackGain,
}

/// The gain of tasks that waited for a rack over a start elsewhere at once.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RackGain {
    /// The gain as expected when the tasks started.
    pub expected: Duration,
    /// The observed gain of the tasks that ended earlier than elsewhere.
    pub gained: Duration,
    /// The observed loss of the tasks that ended later than elsewhere.
    pub lost: Duration,
}

/// The advice calls of one queue.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct AdviceStats {
    /// The number of calls.
    pub call_count: u64,
    /// The number of workers that the calls named.
    pub named_workers: u64,
    /// The sum of the expected durations of the calls.
    pub expected_time: Duration,
    /// The number of calls made although none of the named workers was expected to have room for a
    /// task by the time of the answer.
    pub without_room: u64,
    /// The number of tasks that were started with tickets.
    pub started_tasks: u64,
}

/// The values that were last reported of a shard.
#[derive(Clone, Debug)]
pub(super) struct ReportedValues {
    /// The time at which the last worker list was received.
    pub listed_at: Time,
    /// The number of workers in that list.
    pub listed_count: usize,
    /// The time at which the shard was settled: since then, no run of a former owner is unknown.
    pub settled_at: Option<Time>,
    /// The longest time for which a long-running task has been away, by cause.
    pub away: BTreeMap<Cause, Duration>,
}

impl ReportedValues {
    /// Returns the values before any report.
    pub fn new(now: Time) -> Self {
        ReportedValues { listed_at: now, listed_count: 0, settled_at: None, away: BTreeMap::new() }
    }
}

/// The gauges of a shard.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Gauges {
    /// The number of waiting tasks that could start, by the priority of their queue.
    pub waiting_tasks: BTreeMap<u8, usize>,
    /// The age of the worker list.
    pub worker_list_age: Duration,
    /// The age of what is known of cancels.
    pub inbox_age: Duration,
    /// The number of jobs whose current state may not be stored yet.
    pub unwritten_jobs: usize,
    /// The longest time since the end of a job whose end is not stored yet.
    pub unstored_end_age: Duration,
    /// The longest time for which a long-running task has been away, by cause.
    pub longest_absence: BTreeMap<Cause, Duration>,
    /// The number of customers whose jobs wait.
    pub waiting_customers: usize,
    /// The number of customers above their share of a pool for which work waits.
    pub customers_above_share: usize,
}
