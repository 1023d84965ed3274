//! Defines a job with waiting tasks and its place among the jobs of its team.
//!
//! The load is that of [`super::order`], which holds the jobs; this module decides which job comes
//! first. Jobs that by their estimate can no longer meet their deadline are not ordered by slack:
//! slack would put them first, where they would make the jobs behind them late as well, one after
//! the other (rows `Slack` and `Own` of docs/MEASUREMENTS.md, "Order of tasks").

use {
    super::quota::{QuotaRequest, Reclaim},
    crate::{
        Time,
        ids::{JobId, TaskId, TaskIndex, TeamId},
        units::Size,
    },
    std::{cmp::Reverse, collections::BTreeSet, time::Duration},
};

/// Maximum time for which later jobs of its team can go before a job without a deadline: four
/// hours, half of the night in which batches run, so that a job submitted in the evening is done in
/// the morning.
const MAX_DELAY: Duration = Duration::from_secs(4 * 3600);
/// Latest start times within the same interval of this length, in microseconds, count as equal, so
/// that priority decides: estimates are not more precise than a minute.
const GRAIN_MICROS: u64 = 60_000_000;
/// Divisor for the share of the remaining time that is added to it as a margin: run times are often
/// off by half, and a batch that ends early does no harm.
const MARGIN_DIVISOR: u32 = 2;

/// A job whose tasks wait.
#[derive(Clone, Debug)]
pub struct Job {
    /// The name of the job.
    pub id: JobId,
    /// The team whose quota is charged.
    pub team: TeamId,
    /// When all its tasks must have ended, or [`Time::NEVER`].
    pub deadline: Time,
    /// Jobs with a higher priority go first.
    pub priority: u8,
    /// Run time of a task, declared or estimated.
    pub run_time: Duration,
    /// Number of tasks that can run at once; zero counts as one.
    pub width: u32,
    /// Number of tasks.
    pub tasks: u32,
    /// Resources that a task reserves.
    pub size: Size,
    /// How a task's room can be reclaimed.
    pub reclaim: Reclaim,
}

#[derive(Debug)]
pub(super) struct Entry {
    pub(super) job: Job,
    arrival: Time,
    pub(super) key: Key,
    /// Number of tasks that have not ended.
    pub(super) left: u32,
    pub(super) waiting: BTreeSet<TaskIndex>,
    pub(super) parked: bool,
}

/// A job's place within its team; the lowest goes first.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Key {
    grain: u64,
    priority: Reverse<u8>,
    arrival: Time,
    pub(super) job: JobId,
}

impl Key {
    pub(super) fn latest_start(&self) -> Time {
        Time(self.grain.saturating_mul(GRAIN_MICROS))
    }
}

impl Entry {
    pub(super) fn new(now: Time, job: Job) -> Self {
        let (arrival, left) = (now, job.tasks);
        let waiting = (0..job.tasks).map(TaskIndex).collect();
        let priority = Reverse(job.priority);
        let key = Key { grain: 0, priority, arrival, job: job.id.clone() };
        Entry { job, arrival, key, left, waiting, parked: false }
    }

    pub(super) fn key(&self, now: Time) -> Key {
        let job = &self.job;
        let rounds = self.left.div_ceil(job.width.max(1));
        let remaining = job.run_time.saturating_mul(rounds);
        let by_age = self.arrival + MAX_DELAY / (1 + u32::from(job.priority));
        let late = now + remaining > job.deadline;
        let by_deadline =
            if late { by_age } else { job.deadline - (remaining + remaining / MARGIN_DIVISOR) };
        let latest = by_deadline.min(by_age);
        Key {
            grain: latest.0 / GRAIN_MICROS,
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
