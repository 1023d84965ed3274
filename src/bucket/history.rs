//! Data that a bucket's record holds on its jobs besides their attempts.
//!
//! A row for each ended task would fill the record: the rows of a batch of 20,000 tasks need more
//! than ten times its space. Tasks end roughly in order, so ended tasks are stored as ranges. The
//! record also holds the time from which a job's deadline counts. If each takeover restarted that
//! time, a batch whose owner changes often would never count as late.

use {
    crate::{
        ids::{JobId, TaskId},
        messages::JobRow,
        ranges::Ranges,
    },
    std::collections::BTreeMap,
};

/// The largest number of range bounds in a record: about 100 kB at nine bytes each. Tasks that end
/// beyond this limit keep their own rows.
const MAX_BOUNDS: usize = 12_000;

/// The stored data of the jobs of one bucket.
#[derive(Default)]
pub struct JobHistories {
    jobs: BTreeMap<JobId, JobHistory>,
    bounds: usize,
}

/// The stored data of one job.
pub struct JobHistory {
    /// When the job was first taken in, in Unix seconds.
    pub since: u64,
    /// The tasks that have ended successfully and have no row.
    pub done: Ranges,
    /// Why the job was given up.
    pub fault: Option<Box<str>>,
}

impl JobHistories {
    /// Restores the jobs that the previous owner recorded.
    pub fn restore(rows: Vec<JobRow>) -> Self {
        let mut pasts = JobHistories::default();
        for row in rows {
            let done = Ranges::from_bounds(&row.done);
            pasts.bounds += row.done.len();
            pasts.jobs.insert(row.job, JobHistory { since: row.since, done, fault: row.fault });
        }
        pasts
    }

    /// The rows to be written to the record.
    pub fn rows(&self) -> impl Iterator<Item = JobRow> {
        self.jobs.iter().map(|(job, past)| JobRow {
            done: past.done.bounds(),
            fault: past.fault.clone(),
            job: job.clone(),
            since: past.since,
        })
    }

    /// The stored data of a job.
    pub fn get(&self, job: &JobId) -> Option<&JobHistory> {
        self.jobs.get(job)
    }

    /// The jobs with stored data.
    pub fn names(&self) -> impl Iterator<Item = &JobId> {
        self.jobs.keys()
    }

    /// Adds a job unless it is known; returns whether it is new.
    pub fn add(&mut self, job: &JobId, unix: u64) -> bool {
        let new = !self.jobs.contains_key(job);
        if new {
            let past = JobHistory { since: unix, done: Ranges::default(), fault: None };
            self.jobs.insert(job.clone(), past);
        }
        new
    }

    /// Records a task as successfully ended; returns false if there is no space.
    pub fn mark_ended(&mut self, task: &TaskId) -> bool {
        let Some(past) = self.jobs.get_mut(&task.job).filter(|_| self.bounds + 2 <= MAX_BOUNDS)
        else {
            return false;
        };
        let before = past.done.bounds_len();
        past.done.insert(task.index);
        self.bounds = self.bounds + past.done.bounds_len() - before;
        true
    }

    /// Drops the ended tasks of a job unless all its tasks have ended; returns whether any were
    /// dropped.
    pub fn drop_partial_gang(&mut self, job: &JobId, tasks: u32) -> bool {
        let past = self.jobs.get_mut(job);
        let Some(past) = past.filter(|p| (1..tasks).contains(&p.done.len())) else { return false };
        self.bounds -= past.done.bounds_len();
        past.done = Ranges::default();
        true
    }

    /// Stores why a job was given up; returns whether the reason is new.
    pub fn set_fault(&mut self, job: &JobId, fault: &str) -> bool {
        let Some(past) = self.jobs.get_mut(job).filter(|p| p.fault.is_none()) else { return false };
        past.fault = Some(fault.into());
        true
    }

    /// Removes a job; returns whether it was known.
    pub fn remove(&mut self, job: &JobId) -> bool {
        let Some(past) = self.jobs.remove(job) else { return false };
        self.bounds -= past.done.bounds_len();
        true
    }
}
