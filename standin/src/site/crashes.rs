//! The judge's rules for tasks that crash the workers on which they start.

use {
    crate::site::worker::World,
    dogwoodreach::{
        Time,
        work::{JobNo, Step, TaskKey},
    },
    std::{collections::BTreeMap, time::Duration},
};

/// After this number of worker crashes under a task, the task is known to crash its workers.
/// Fewer than [`EXTRA_STARTS`] further starts are allowed.
const CRASH_LIMIT: usize = 3;
/// Number of starts after [`CRASH_LIMIT`] crashes that counts as a breach.
const EXTRA_STARTS: usize = 3;
/// Shortest time between a crash and the next start of a long-running task that is known to crash its
/// workers. Such a task is never given up.
const CRASH_PAUSE: Duration = Duration::from_secs(2);
/// The scheduler may fail a job after this number of worker crashes under one of its tasks.
const GIVE_UP_CRASHES: usize = 2;
/// Worker crashes under tasks, and the starts after them.
#[derive(Default)]
pub struct Crashes {
    /// Number of worker crashes under each task, and the time of the last one.
    by_task: BTreeMap<TaskKey, (usize, Time)>,
    /// Number of starts of each task after [`CRASH_LIMIT`] crashes; of a long-running task, those
    /// within [`CRASH_PAUSE`] of the last one.
    extra_starts: BTreeMap<TaskKey, usize>,
}

impl Crashes {
    /// Records that a worker has crashed under a task.
    pub fn record(&mut self, task: TaskKey, now: Time) {
        let (count, at) = self.by_task.entry(task).or_default();
        (*count, *at) = (*count + 1, now);
    }

    /// Records a start. Returns the text of the breach if the task has been started too often for
    /// one that crashes its workers.
    pub fn excess_start(&mut self, world: &World, at: Time, task: TaskKey) -> Option<String> {
        let (crashes, last) = self.by_task.get(&task).copied().unwrap_or_default();
        if !world.crashing_tasks.contains(&task) || crashes < CRASH_LIMIT {
            return None;
        }
        if world.step(task.step).is_some_and(|s| s.lasts) && at >= last + CRASH_PAUSE {
            return None;
        }
        let more = self.extra_starts.entry(task).or_default();
        *more += 1;
        let text = || format!("{task} was started again, and {crashes} workers crashed under it");
        (*more >= EXTRA_STARTS).then(text)
    }

    /// Returns whether the scheduler may fail a job because workers have crashed under one of its
    /// tasks. A long-running task is restarted however it ends.
    pub fn may_fail(&self, world: &World, job: JobNo) -> bool {
        let gives_up = |step| world.step(step).is_some_and(|s: &Step| !s.lasts);
        let mut mine = self.by_task.iter().filter(|(t, _)| t.step.job == job && gives_up(t.step));
        mine.any(|(_, (count, _))| *count >= GIVE_UP_CRASHES)
    }
}
