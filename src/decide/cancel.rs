//! Cancellation: what a new text no longer lists is stopped, in bounded work a tick.
//!
//! The load: a new text, or a team's mistake taken back, cancels thousands of tasks at once, while
//! starts go on. If each were searched for and stopped on the spot, the decision loop would stand
//! still for the length of the wave; if stops were only queued, a task that waits further back in the
//! queue would still be started and then stopped, and its work done for nothing.
//!
//! So a cancel only sets a mark, in O(1) for a task and for a whole job, and [`Cancels::start`], the
//! one gate that each start passes, reads the mark: from the cancel on, nothing of it starts. Stops of
//! what runs go out by [`Cancels::tick`], at most `STOPS` each. A stop may be lost with its
//! connection, so one that is not confirmed in `RESEND` goes out again, until the task has ended.
//!
//! The gate holds for this member's buckets; across a change of owner, the desired state in the
//! operators' text is what says that a task is not to run, and the new owner marks it anew.

use {
    crate::{
        Time,
        ids::{JobId, TaskId, TaskIndex},
    },
    rustc_hash::{FxHashMap, FxHashSet},
    std::{
        collections::{BTreeSet, VecDeque},
        time::Duration,
    },
};

/// Stops a tick. With a tick each 10 ms these are 6,400 a second: a wave over all 21,000 running tasks
/// is out in 3.3 s, and each tick's share takes some tens of microseconds of the decision loop.
const STOPS: usize = 64;
/// The time after which an unconfirmed stop is sent again: longer than a report lags, so that a stop
/// which was heard is rarely repeated.
const RESEND: Duration = Duration::from_secs(2);

/// The marks, and the stops that are not confirmed.
#[derive(Debug, Default)]
pub struct Cancels {
    jobs: FxHashMap<JobId, Job>,
    fresh: VecDeque<Fresh>,
    /// Stops that went out, with the time to send them again; each waits as long, so the first is due
    /// first.
    sent: VecDeque<(Time, TaskId)>,
}

/// Old tasks of a job still run, so it can't be listed anew; holds how many.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Busy(pub usize);

/// Cancels that `tick` has yet to work off.
#[derive(Debug)]
enum Fresh {
    Task(TaskId),
    /// The job's running tasks from this index on.
    Job(JobId, TaskIndex),
}

#[derive(Debug, Default)]
struct Job {
    whole: bool,
    marked: FxHashSet<TaskIndex>,
    running: BTreeSet<TaskIndex>,
}

impl Job {
    fn idle(&self) -> bool {
        !self.whole && self.marked.is_empty() && self.running.is_empty()
    }
}

impl Cancels {
    /// Cancels one task, in O(1).
    pub fn task(&mut self, task: &TaskId) {
        let job = self.jobs.entry(task.job.clone()).or_default();
        if !job.whole && job.marked.insert(task.index) {
            self.fresh.push_back(Fresh::Task(task.clone()));
        }
    }

    /// Cancels a whole job, in O(1) however many tasks it has.
    pub fn job(&mut self, job: &JobId) {
        let entry = self.jobs.entry(job.clone()).or_default();
        if !entry.whole {
            entry.whole = true;
            self.fresh.push_back(Fresh::Job(job.clone(), TaskIndex(0)));
        }
    }

    /// The gate that each start passes: whether the task may start; it then counts as running.
    pub fn start(&mut self, task: &TaskId) -> bool {
        let job = self.jobs.entry(task.job.clone()).or_default();
        if job.whole || job.marked.contains(&task.index) {
            return false;
        }
        job.running.insert(task.index);
        true
    }

    /// Whether the task is cancelled.
    pub fn cancelled(&self, task: &TaskId) -> bool {
        let job = self.jobs.get(&task.job);
        job.is_some_and(|j| j.whole || j.marked.contains(&task.index))
    }

    /// Notes that nothing of the task runs, by its end or by a confirmed stop.
    pub fn ended(&mut self, task: &TaskId) {
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        job.running.remove(&task.index);
        if job.idle() {
            self.jobs.remove(&task.job);
        }
    }

    /// Clears the marks of a job that the text lists anew, errs while old tasks of it still run.
    pub fn relist(&mut self, job: &JobId) -> Result<(), Busy> {
        let Some(entry) = self.jobs.get(job) else { return Ok(()) };
        let cancelled = entry.whole || !entry.marked.is_empty();
        if cancelled && !entry.running.is_empty() {
            return Err(Busy(entry.running.len()));
        }
        if cancelled {
            self.jobs.remove(job);
        }
        Ok(())
    }

    /// The stops to send now, `STOPS` at most; new ones before those that are sent again, since few
    /// are lost.
    pub fn tick(&mut self, now: Time) -> Vec<TaskId> {
        let mut stops = Vec::new();
        for _ in 0..STOPS {
            let Some(task) = self.next_fresh().or_else(|| self.next_due(now)) else { break };
            if self.runs(&task) {
                self.sent.push_back((now + RESEND, task.clone()));
                stops.push(task);
            }
        }
        stops
    }

    /// How many cancels and unconfirmed stops are held; a job whose stops have yet to go out is one.
    pub fn pending(&self) -> usize {
        self.fresh.len() + self.sent.len()
    }

    fn next_fresh(&mut self) -> Option<TaskId> {
        loop {
            match self.fresh.pop_front()? {
                Fresh::Task(task) => return Some(task),
                Fresh::Job(job, from) => {
                    let running = self.jobs.get(&job).map(|j| &j.running);
                    let Some(&index) = running.and_then(|r| r.range(from..).next()) else {
                        continue;
                    };
                    let rest = Fresh::Job(job.clone(), TaskIndex(index.0.saturating_add(1)));
                    self.fresh.push_front(rest);
                    return Some(TaskId { job, index });
                }
            }
        }
    }

    fn next_due(&mut self, now: Time) -> Option<TaskId> {
        let (due, _) = self.sent.front()?;
        if *due > now {
            return None;
        }
        self.sent.pop_front().map(|(_, task)| task)
    }

    /// Whether a stop is still to go out. A task that was listed anew since runs by right, and a
    /// repeated stop of the one before it would stop it.
    fn runs(&self, task: &TaskId) -> bool {
        let runs = self.jobs.get(&task.job).is_some_and(|j| j.running.contains(&task.index));
        runs && self.cancelled(task)
    }
}
