//! What a bucket's record keeps of its jobs beyond their attempts.
//!
//! A row for each ended task would fill the record: a batch of 20,000 tasks has over ten times its
//! room. Since tasks end roughly in their order, those that have ended are kept as ranges. The time
//! from which a job's deadline counts stands here too; counted from each takeover, a batch whose
//! owners change often would never be late.

use {
    crate::{
        ids::{JobId, TaskId},
        messages::JobRow,
        ranges::Ranges,
    },
    std::collections::BTreeMap,
};

/// The most bounds of ranges in a record: a hundred kilobytes at nine bytes each. What ends beyond
/// them keeps its own row.
const BOUNDS: usize = 12_000;

/// The jobs of one bucket.
#[derive(Default)]
pub struct Pasts {
    jobs: BTreeMap<JobId, Past>,
    bounds: usize,
}

/// What is kept of a job.
pub struct Past {
    /// When it was taken in, in seconds of the Unix clock.
    pub since: u64,
    /// The tasks that have ended well and have no row.
    pub done: Ranges,
    /// Why it was given up.
    pub fault: Option<Box<str>>,
}

impl Pasts {
    /// The jobs that the owner before left.
    pub fn adopt(rows: Vec<JobRow>) -> Self {
        let mut pasts = Pasts::default();
        for row in rows {
            let done = Ranges::from_bounds(&row.done);
            pasts.bounds += row.done.len();
            pasts.jobs.insert(row.job, Past { since: row.since, done, fault: row.fault });
        }
        pasts
    }

    /// The rows, for the record.
    pub fn rows(&self) -> impl Iterator<Item = JobRow> {
        self.jobs.iter().map(|(job, past)| JobRow {
            done: past.done.bounds(),
            fault: past.fault.clone(),
            job: job.clone(),
            since: past.since,
        })
    }

    /// What is kept of a job.
    pub fn get(&self, job: &JobId) -> Option<&Past> {
        self.jobs.get(job)
    }

    /// The jobs of which anything is kept.
    pub fn names(&self) -> impl Iterator<Item = &JobId> {
        self.jobs.keys()
    }

    /// Takes a job in, unless it is known; returns whether it is new.
    pub fn begin(&mut self, job: &JobId, unix: u64) -> bool {
        let new = !self.jobs.contains_key(job);
        if new {
            let past = Past { since: unix, done: Ranges::default(), fault: None };
            self.jobs.insert(job.clone(), past);
        }
        new
    }

    /// Keeps a task as ended well; returns false where there is no room.
    pub fn finish(&mut self, task: &TaskId) -> bool {
        let Some(past) = self.jobs.get_mut(&task.job).filter(|_| self.bounds + 2 <= BOUNDS) else {
            return false;
        };
        let before = past.done.bounds_len();
        past.done.insert(task.index);
        self.bounds = self.bounds + past.done.bounds_len() - before;
        true
    }

    /// Drops the ended tasks of a job of which not all have ended; returns whether there were any.
    pub fn keep_whole(&mut self, job: &JobId, tasks: u32) -> bool {
        let past = self.jobs.get_mut(job);
        let Some(past) = past.filter(|p| (1..tasks).contains(&p.done.len())) else { return false };
        self.bounds -= past.done.bounds_len();
        past.done = Ranges::default();
        true
    }

    /// Keeps why a job was given up; returns whether that is new.
    pub fn give_up(&mut self, job: &JobId, fault: &str) -> bool {
        let Some(past) = self.jobs.get_mut(job).filter(|p| p.fault.is_none()) else { return false };
        past.fault = Some(fault.into());
        true
    }

    /// Drops a job; returns whether it was known.
    pub fn forget(&mut self, job: &JobId) -> bool {
        let Some(past) = self.jobs.remove(job) else { return false };
        self.bounds -= past.done.bounds_len();
        true
    }
}
