//! Stops the tasks that a new job text no longer lists, with bounded work per tick.
//!
//! *Load pattern:* a new text, or the removal of a team's mistake, cancels thousands of tasks at
//! once while other tasks start. *Without it:* if each task were searched for and stopped
//! immediately, the decision loop would be blocked for the whole wave. If stops were only queued, a
//! task further back in the queue would still be started and then stopped, and its work would be
//! lost.
//!
//! So a cancel only sets a mark, in O(1) for a task and for a whole job. [`Cancels::try_start`],
//! which every start must pass, checks the mark, so nothing of the task or job starts after the
//! cancel. [`Cancels::tick`] sends the stops of running tasks, at most `STOPS_PER_TICK` per call. A
//! stop may be lost with its connection, so a stop that is not confirmed within `RESEND_AFTER` is
//! sent again, until the task has ended.
//!
//! The marks hold for the buckets of this member. After a change of owner, the desired state in the
//! operators' text says that a task must not run, and the new owner marks it again.

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

/// Maximum number of stops sent per tick. With a tick every 10 ms this allows 6,400 per second: a
/// wave over all 21,000 running tasks is sent in 3.3 s, and each tick's share takes some tens of
/// microseconds of the decision loop.
const STOPS_PER_TICK: usize = 64;
/// Time after which an unconfirmed stop is sent again. It is longer than the delay of reports, so a
/// stop that reached its worker is rarely repeated.
const RESEND_AFTER: Duration = Duration::from_secs(2);

/// Marks of cancelled tasks and jobs, and the stops that are not confirmed.
#[derive(Debug, Default)]
pub struct Cancels {
    jobs: FxHashMap<JobId, Job>,
    unsent: VecDeque<Unsent>,
    /// Stops that were sent, each with the time to send it again. The delay is constant, so the
    /// front of the queue has the earliest time.
    sent: VecDeque<(Time, TaskId)>,
}

/// Error of [`Cancels::clear_marks`]: the given number of cancelled tasks of the job still run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StillRunning(pub usize);

/// Cancelled tasks whose stops [`Cancels::tick`] has not sent yet.
#[derive(Debug)]
enum Unsent {
    Task(TaskId),
    /// All running tasks of the job with this index or a higher one.
    Job(JobId, TaskIndex),
}

#[derive(Debug, Default)]
struct Job {
    all_cancelled: bool,
    cancelled_tasks: FxHashSet<TaskIndex>,
    running: BTreeSet<TaskIndex>,
}

impl Job {
    fn is_idle(&self) -> bool {
        !self.all_cancelled && self.cancelled_tasks.is_empty() && self.running.is_empty()
    }
}

impl Cancels {
    /// Cancels one task, in O(1).
    pub fn cancel_task(&mut self, task: &TaskId) {
        let job = self.jobs.entry(task.job.clone()).or_default();
        if !job.all_cancelled && job.cancelled_tasks.insert(task.index) {
            self.unsent.push_back(Unsent::Task(task.clone()));
        }
    }

    /// Cancels a whole job, in O(1) however many tasks it has.
    pub fn cancel_job(&mut self, job: &JobId) {
        let entry = self.jobs.entry(job.clone()).or_default();
        if !entry.all_cancelled {
            entry.all_cancelled = true;
            self.unsent.push_back(Unsent::Job(job.clone(), TaskIndex(0)));
        }
    }

    /// Checks whether the task may start, and if so counts it as running. Every start must call
    /// this.
    pub fn try_start(&mut self, task: &TaskId) -> bool {
        let job = self.jobs.entry(task.job.clone()).or_default();
        if job.all_cancelled || job.cancelled_tasks.contains(&task.index) {
            return false;
        }
        job.running.insert(task.index);
        true
    }

    /// Returns whether the task or its job is cancelled.
    pub fn is_cancelled(&self, task: &TaskId) -> bool {
        let job = self.jobs.get(&task.job);
        job.is_some_and(|j| j.all_cancelled || j.cancelled_tasks.contains(&task.index))
    }

    /// Records that the task no longer runs, by its own end or by a confirmed stop.
    pub fn record_end(&mut self, task: &TaskId) {
        let Some(job) = self.jobs.get_mut(&task.job) else { return };
        job.running.remove(&task.index);
        if job.is_idle() {
            self.jobs.remove(&task.job);
        }
    }

    /// Clears the marks of a job that the text lists again. Errs while cancelled tasks of it still
    /// run.
    pub fn clear_marks(&mut self, job: &JobId) -> Result<(), StillRunning> {
        let Some(entry) = self.jobs.get(job) else { return Ok(()) };
        let cancelled = entry.all_cancelled || !entry.cancelled_tasks.is_empty();
        if cancelled && !entry.running.is_empty() {
            return Err(StillRunning(entry.running.len()));
        }
        if cancelled {
            self.jobs.remove(job);
        }
        Ok(())
    }

    /// Returns the stops to send now, at most `STOPS_PER_TICK`. New ones come before repeated ones,
    /// because few stops are lost.
    pub fn tick(&mut self, now: Time) -> Vec<TaskId> {
        let mut stops = Vec::new();
        for _ in 0..STOPS_PER_TICK {
            let Some(task) = self.next_unsent().or_else(|| self.next_due(now)) else { break };
            if self.needs_stop(&task) {
                self.sent.push_back((now + RESEND_AFTER, task.clone()));
                stops.push(task);
            }
        }
        stops
    }

    /// Returns the number of unsent and unconfirmed stops. A job whose stops have not all been sent
    /// counts as one.
    pub fn pending_count(&self) -> usize {
        self.unsent.len() + self.sent.len()
    }

    fn next_unsent(&mut self) -> Option<TaskId> {
        loop {
            match self.unsent.pop_front()? {
                Unsent::Task(task) => return Some(task),
                Unsent::Job(job, from) => {
                    let running = self.jobs.get(&job).map(|j| &j.running);
                    let Some(&index) = running.and_then(|r| r.range(from..).next()) else {
                        continue;
                    };
                    let rest = Unsent::Job(job.clone(), TaskIndex(index.0.saturating_add(1)));
                    self.unsent.push_front(rest);
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

    /// Returns whether the task still has to be stopped. If the job text lists the task again, a
    /// repeated stop must not end its new run.
    fn needs_stop(&self, task: &TaskId) -> bool {
        let runs = self.jobs.get(&task.job).is_some_and(|j| j.running.contains(&task.index));
        runs && self.is_cancelled(task)
    }
}
