//! The judge's rule for waiting jobs: a job without an active run must start soon if there is
//! room for it.

use {
    crate::site::{
        stay::{CHECK_INTERVAL, ROOM_DURATION, ROOM_FACTOR, fault_free},
        worker::World,
    },
    dogwoodreach::{
        Time,
        units::Size,
        work::{JobNo, TaskKey},
    },
    std::collections::{BTreeMap, BTreeSet},
};

/// A pool's jobs must not wait if less than 1/`IDLE_DIVISOR` of the pool is in use.
const IDLE_DIVISOR: u64 = 2;

/// Jobs that have a task ready to start but no active run.
#[derive(Default)]
pub struct Waits {
    next: Time,
    /// Since when there has been room for each job.
    room_since: BTreeMap<JobNo, Time>,
}

impl Waits {
    /// Returns the text of the breach if a job should be running by now. `suspended_until` is the time
    /// until which the rules are suspended, and `open` returns the tasks of a job that are ready to
    /// start, at most one for each step.
    pub fn overdue(
        &mut self,
        world: &World,
        suspended_until: Time,
        open: impl Fn(JobNo) -> Vec<TaskKey>,
    ) -> Option<String> {
        let now = world.now;
        if now < self.next {
            return None;
        }
        self.next = now + CHECK_INTERVAL;
        let runs: BTreeSet<JobNo> =
            world.workers.iter().flat_map(|w| &w.runs).map(|r| r.start.task.step.job).collect();
        let mut room = BTreeMap::new();
        for no in world.jobs.keys().filter(|no| !runs.contains(*no)) {
            let Some(task) = open(*no).into_iter().find(|t| world.has_room(*t)) else { continue };
            let since = self.room_since.get(no).copied().unwrap_or(now);
            room.insert(*no, since);
            if fault_free(suspended_until, now) && since + ROOM_DURATION <= now {
                return Some(format!(
                    "{task} has had room since {since}, and nothing of its job runs"
                ));
            }
        }
        self.room_since = room;
        None
    }
}

impl World {
    /// Whether a pool that is less than half in use has room for a task twice over (for a gang,
    /// for all of its tasks twice over).
    fn has_room(&self, task: TaskKey) -> bool {
        let (Some(step), Some(queue)) = (self.step(task.step), self.queue(task.step.job)) else {
            return false;
        };
        let mine = || (0..self.workers.len()).filter(|at| self.workers[*at].pool == queue.pool);
        let used: Size = mine().map(|at| self.used(at)).sum();
        let total: Size =
            mine().filter(|at| self.workers[*at].up).map(|at| self.workers[at].size).sum();
        let under = |used: u64, total: u64| used == 0 || used * IDLE_DIVISOR < total;
        let idle = under(used.cores.0, total.cores.0)
            && under(used.memory.0, total.memory.0)
            && under(used.accels.0, total.accels.0);
        let wanted = ROOM_FACTOR * if step.gang { u64::from(step.count) } else { 1 };
        idle && self.slots(task, wanted) >= wanted
    }
}
