//! The judge's rule for long-running tasks: one that isn't running must start again soon if
//! there is room for it.

use {
    crate::site::{judge::FAULT_GRACE, worker::World},
    dogwoodreach::{
        Time,
        ids::PoolId,
        units::Size,
        work::{JobNo, Step, StepKey, TaskKey},
    },
    std::{
        collections::{BTreeMap, HashSet},
        time::Duration,
    },
};

/// A task may be down for this long after its last run, even if there is room for it.
pub const MAX_ABSENCE: Duration = Duration::from_secs(6);
/// The rule applies once there has been room for this long without a break.
pub const ROOM_DURATION: Duration = Duration::from_secs(3);
/// No fault may have been active for this long before the room appeared.
const FAULT_FREE: Duration = Duration::from_secs(4);
/// There must be room for this number of such tasks.
pub const ROOM_FACTOR: u64 = 2;
/// Interval between two checks.
pub const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Long-running tasks that aren't running.
#[derive(Default)]
pub struct Absences {
    next: Time,
    absences: BTreeMap<TaskKey, Absence>,
}

/// Since when a task has not run, and since when there has been room for it.
struct Absence {
    since: Time,
    room_since: Option<Time>,
}

impl Absences {
    /// Returns the text of the breach if a task should be running by now. `suspended_until` is the time
    /// until which the rules are suspended, and `owed` selects the jobs that must run.
    pub fn overdue(
        &mut self,
        world: &World,
        suspended_until: Time,
        owed: impl Fn(JobNo) -> bool,
    ) -> Option<String> {
        let now = world.now;
        if now < self.next {
            return None;
        }
        self.next = now + CHECK_INTERVAL;
        let runs: HashSet<TaskKey> =
            world.workers.iter().flat_map(|w| &w.runs).map(|r| r.start.task).collect();
        let lasting = world.jobs.iter().filter(|(_, j)| j.job.steps.iter().any(|s| s.lasts));
        let mine = lasting.map(|(no, _)| *no).filter(|no| owed(*no));
        let all = mine.flat_map(|no| world.long_running(no));
        let absent: Vec<TaskKey> = all.filter(|t| !runs.contains(t)).collect();
        self.absences.retain(|t, _| absent.binary_search(t).is_ok());
        let fault_free = fault_free(suspended_until, now);
        for task in absent {
            let room = world.room_for(task) >= ROOM_FACTOR;
            let absence =
                self.absences.entry(task).or_insert(Absence { since: now, room_since: None });
            absence.room_since = if room { absence.room_since.or(Some(now)) } else { None };
            let (since, long) =
                (absence.since, absence.room_since.is_some_and(|r| r + ROOM_DURATION <= now));
            if fault_free && long && since + MAX_ABSENCE + ROOM_DURATION <= now {
                return Some(format!("{task} lasts and has not run since {since}, beside room"));
            }
        }
        None
    }
}

/// Whether the last fault is long enough ago for the rule to apply; `suspended_until` is the time until
/// which the rules are suspended.
pub fn fault_free(suspended_until: Time, now: Time) -> bool {
    // `suspended_until` already includes `FAULT_GRACE` after the last moment of the fault.
    suspended_until + (FAULT_FREE + ROOM_DURATION).saturating_sub(FAULT_GRACE) <= now
}

impl World {
    /// The long-running tasks of a job, in order.
    fn long_running(&self, no: JobNo) -> Vec<TaskKey> {
        let Some(record) = self.jobs.get(&no) else { return vec![] };
        let steps = (0_u16..).zip(&record.job.steps);
        let lasts = steps.filter(|(i, s)| s.lasts && !self.failing_steps.contains(&(no, *i)));
        let tasks = |(step, s): (u16, &Step)| {
            let step = StepKey { job: no, time: 0, step };
            (0..s.count).map(move |index| TaskKey { step, index }).collect::<Vec<_>>()
        };
        lasts.flat_map(tasks).filter(|t| !self.crashing_tasks.contains(t)).collect()
    }

    /// Number of tasks like this one that fit on healthy workers that may run it.
    pub fn room_for(&self, task: TaskKey) -> u64 {
        self.slots(task, ROOM_FACTOR)
    }

    /// Like [`Self::room_for`], but counts up to `wanted` tasks for each worker. Counts for the pool
    /// with the fewest, if its queue has moved.
    pub fn slots(&self, task: TaskKey, wanted: u64) -> u64 {
        let pools = self.pools(task.step.job).into_iter();
        pools.map(|pool| self.slots_in(task, wanted, pool)).min().unwrap_or(0)
    }

    /// Like [`Self::slots`], but counts the workers of one pool only.
    pub(super) fn slots_in(&self, task: TaskKey, wanted: u64, pool: &PoolId) -> u64 {
        let (Some(step), Some(queue)) = (self.step(task.step), self.queue(task.step.job)) else {
            return 0;
        };
        let size = step.reserved();
        let room = |at: usize| {
            let w = &self.workers[at];
            let sound = w.up && !w.cut_off && !w.unresponsive && !w.unwell && !w.failing;
            let quick = w.speed >= 1.0;
            let labelled = step.needs.as_ref().is_none_or(|l| w.labels.contains(l));
            if !sound || !quick || w.leaving_since.is_some() || w.pool != *pool || !labelled {
                return 0;
            }
            let free: Size = w.size.saturating_sub(&self.used(at));
            let here = w.runs.iter().filter(|r| r.start.task.step == task.step).count() as u64;
            let most = match step.apart {
                0 => u64::MAX,
                apart => u64::from(apart).saturating_sub(here),
            };
            match size.count(&free).min(most) {
                0 => 0,
                _ if queue.advice.is_some() && !self.advice.good(task.step, &self.id(at)) => 0,
                slots => slots.min(wanted),
            }
        };
        (0..self.workers.len()).map(room).sum()
    }
}
