//! Defines a job with waiting tasks and its place among the jobs of its team.
//!
//! The load is that of [`super::order`], which holds the jobs; this module decides which job comes
//! first. Jobs that by their estimate can no longer meet their deadline are not ordered by slack:
//! slack would put them first, where they would make the jobs behind them late as well, one after
//! the other (rows `Slack` and `Own` of docs/MEASUREMENTS.md, "Order of tasks").

use {
    super::quota::{QuotaRequest, ReclaimMethod},
    crate::{
        Time,
        ids::{JobId, TaskId, TaskIndex, TeamId},
        units::Size,
    },
    std::{cmp::Reverse, collections::BTreeSet, time::Duration},
};

/// Maximum time for which a job without a deadline can be delayed by jobs of its team that were
/// submitted later: four hours, half of the night in which batches run, so that a job submitted in
/// the evening is done in the morning.
const MAX_JOB_DELAY: Duration = Duration::from_secs(4 * 3600);
/// Length, in microseconds, of the intervals to which latest start times are rounded. Jobs in the
/// same interval are ordered by priority, as estimates are not more precise than a minute.
const START_BUCKET_MICROS: u64 = 60_000_000;
/// Divisor of a job's remaining run time that gives the margin added to it. Estimates are often
/// wrong by half, and a batch that ends early does no harm.
const TIME_MARGIN_DIVISOR: u32 = 2;

/// A job that has waiting tasks.
#[derive(Clone, Debug)]
pub struct WaitingJob {
    /// The name of the job.
    pub id: JobId,
    /// The team whose quota is charged.
    pub team: TeamId,
    /// Time by which all tasks of the job must have ended, or [`Time::NEVER`].
    pub deadline: Time,
    /// Priority of the job; jobs with a higher value go first.
    pub priority: u8,
    /// Declared or estimated run time of one task.
    pub run_time: Duration,
    /// Maximum number of the job's tasks that can run at once; zero counts as one.
    pub width: u32,
    /// Total number of tasks of the job.
    pub tasks: u32,
    /// Resources that a task reserves.
    pub size: Size,
    /// How a task's room can be reclaimed.
    pub reclaim: ReclaimMethod,
}

#[derive(Debug)]
pub(super) struct WaitingEntry {
    pub(super) job: WaitingJob,
    arrival: Time,
    /// Sort key under which the job was last queued.
    pub(super) key: JobKey,
    /// Number of tasks of the job that have not ended.
    pub(super) unfinished: u32,
    /// Tasks of the job that wait for a start.
    pub(super) waiting: BTreeSet<TaskIndex>,
    /// Whether the job found no room and is kept out of its team's queue until a tick queues it
    /// again.
    pub(super) is_parked: bool,
}

/// Sort key of a job within its team; the job with the lowest key goes first.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct JobKey {
    start_bucket: u64,
    priority: Reverse<u8>,
    arrival: Time,
    pub(super) job: JobId,
}

impl JobKey {
    pub(super) fn latest_start(&self) -> Time {
        Time(self.start_bucket.saturating_mul(START_BUCKET_MICROS))
    }
}

impl WaitingEntry {
    pub(super) fn new(now: Time, job: WaitingJob) -> Self {
        let (arrival, unfinished) = (now, job.tasks);
        let waiting = (0..job.tasks).map(TaskIndex).collect();
        let priority = Reverse(job.priority);
        let key = JobKey { start_bucket: 0, priority, arrival, job: job.id.clone() };
        WaitingEntry { job, arrival, key, unfinished, waiting, is_parked: false }
    }

    pub(super) fn key(&self, now: Time) -> JobKey {
        let job = &self.job;
        let rounds = self.unfinished.div_ceil(job.width.max(1));
        let remaining = job.run_time.saturating_mul(rounds);
        let by_age = self.arrival + MAX_JOB_DELAY / (1 + u32::from(job.priority));
        let late = now + remaining > job.deadline;
        let by_deadline = if late {
            by_age
        } else {
            job.deadline - (remaining + remaining / TIME_MARGIN_DIVISOR)
        };
        let latest = by_deadline.min(by_age);
        JobKey {
            start_bucket: latest.0 / START_BUCKET_MICROS,
            priority: Reverse(job.priority),
            arrival: self.arrival,
            job: job.id.clone(),
        }
    }

    pub(super) fn request(&self) -> Option<QuotaRequest> {
        self.waiting.first().map(|index| self.request_for(*index))
    }

    pub(super) fn request_for(&self, index: TaskIndex) -> QuotaRequest {
        let job = &self.job;
        let task = TaskId { job: job.id.clone(), index };
        QuotaRequest { team: job.team.clone(), task, size: job.size, reclaim: job.reclaim }
    }
}
