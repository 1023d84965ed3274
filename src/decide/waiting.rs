//! A job whose tasks wait, and its places among the jobs of its team.
//!
//! The load is that of [`super::order`], which holds the jobs; here stands what makes one job go before
//! another. Work that by its estimate can't be in time any more is taken out of the order by slack: at
//! the front, where its slack would put it, it makes the work behind it late as well, job after job
//! (the rows `Slack` and `Own` of docs/MEASUREMENTS.md, "Order of tasks").

use {
    super::quota::{Ask, Back},
    crate::{
        Time,
        ids::{JobId, TaskId, TaskIndex, TeamId},
        units::Size,
    },
    std::{cmp::Reverse, collections::BTreeSet, time::Duration},
};

/// The longest that work without a deadline stands behind later work of its team: four hours, half of
/// the night in which batches run, so that what came in the evening is over in the morning.
const PATIENCE: Duration = Duration::from_secs(4 * 3600);
/// Latest starts this close together count as equal, so that priority decides: estimates are not
/// better than a minute.
const GRAIN: u64 = 60_000_000;
/// What is added to the estimated time of the remaining tasks, one part in so many: run times are
/// often off by half, and a batch that is early harms nobody.
const MARGIN: u32 = 2;

/// A job whose tasks wait.
#[derive(Clone, Debug)]
pub struct Job {
    /// Its name.
    pub id: JobId,
    /// The team that pays.
    pub team: TeamId,
    /// When all its tasks must have ended, or [`Time::NEVER`].
    pub deadline: Time,
    /// Higher goes first.
    pub priority: u8,
    /// A task's run time, declared or estimated.
    pub run: Duration,
    /// How many of its tasks can run at once; zero counts as one.
    pub width: u32,
    /// How many tasks it has.
    pub tasks: u32,
    /// What a task reserves.
    pub size: Size,
    /// How a task's room can be had back.
    pub back: Back,
}

#[derive(Debug)]
pub(super) struct Entry {
    pub(super) job: Job,
    arrival: Time,
    pub(super) key: Key,
    /// Tasks that have not ended.
    pub(super) left: u32,
    pub(super) waiting: BTreeSet<TaskIndex>,
    pub(super) parked: bool,
}

/// A job's place within its team.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Key {
    grain: u64,
    priority: Reverse<u8>,
    arrival: Time,
    pub(super) job: JobId,
}

impl Key {
    pub(super) fn latest(&self) -> Time {
        Time(self.grain.saturating_mul(GRAIN))
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
        let work = job.run.saturating_mul(rounds);
        let aged = self.arrival + PATIENCE / (1 + u32::from(job.priority));
        let lost = now + work > job.deadline;
        let dated = if lost { aged } else { job.deadline - (work + work / MARGIN) };
        let latest = dated.min(aged);
        Key {
            grain: latest.0 / GRAIN,
            priority: Reverse(job.priority),
            arrival: self.arrival,
            job: job.id.clone(),
        }
    }

    pub(super) fn ask(&self) -> Option<Ask> {
        self.waiting.first().map(|index| self.ask_for(*index))
    }

    pub(super) fn ask_for(&self, index: TaskIndex) -> Ask {
        let job = &self.job;
        let task = TaskId { job: job.id.clone(), index };
        Ask { team: job.team.clone(), task, size: job.size, back: job.back }
    }
}
