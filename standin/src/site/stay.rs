//! The rule on lasting tasks: one that does not run is at work again soon where there is room for it.

use {
    crate::site::{judge::CONTACT, worker::World},
    dogwoodreach::{
        Time,
        units::Size,
        work::{JobNo, Step, StepKey, TaskKey},
    },
    std::{
        collections::{BTreeMap, HashSet},
        time::Duration,
    },
};

/// How long after its last run a task may be away, whatever there is room for.
const AWAY: Duration = Duration::from_secs(6);
/// How long there has to be room for it.
pub const ROOM: Duration = Duration::from_secs(3);
/// How long before that nothing may have been amiss.
const CALM: Duration = Duration::from_secs(4);
/// For how many such tasks there has to be room.
pub const TWICE: u64 = 2;
/// The pause between two looks.
pub const LOOK: Duration = Duration::from_millis(100);

/// The lasting tasks that do not run.
#[derive(Default)]
pub struct Stays {
    next: Time,
    away: BTreeMap<TaskKey, Absence>,
}

/// Since when a task does not run, and since when there is room for it.
struct Absence {
    since: Time,
    room: Option<Time>,
}

impl Stays {
    /// A task that should be at work by now, in words; `trouble` is the end of the last fault's bounds,
    /// and `owed` tells which jobs are to run.
    pub fn overdue(
        &mut self,
        world: &World,
        trouble: Time,
        owed: impl Fn(JobNo) -> bool,
    ) -> Option<String> {
        let now = world.now;
        if now < self.next {
            return None;
        }
        self.next = now + LOOK;
        let runs: HashSet<TaskKey> =
            world.workers.iter().flat_map(|w| &w.runs).map(|r| r.start.task).collect();
        let all = world.jobs.keys().filter(|no| owed(**no)).flat_map(|no| world.lasting(*no));
        let absent: Vec<TaskKey> = all.filter(|t| !runs.contains(t)).collect();
        self.away.retain(|t, _| absent.binary_search(t).is_ok());
        let calm = calm(trouble, now);
        for task in absent {
            let room = world.room_for(task) >= TWICE;
            let absence = self.away.entry(task).or_insert(Absence { since: now, room: None });
            absence.room = if room { absence.room.or(Some(now)) } else { None };
            let (since, long) = (absence.since, absence.room.is_some_and(|r| r + ROOM <= now));
            if calm && long && since + AWAY + ROOM <= now {
                return Some(format!("{task} lasts and has not run since {since}, beside room"));
            }
        }
        None
    }
}

/// Whether nothing has been amiss for so long that there should have been room for long enough, where
/// `trouble` is the end of the last fault's bounds.
pub fn calm(trouble: Time, now: Time) -> bool {
    // A fault counts for `CONTACT` from its last moment.
    trouble + (CALM + ROOM).saturating_sub(CONTACT) <= now
}

impl World {
    /// The lasting tasks of a job, in order.
    fn lasting(&self, no: JobNo) -> Vec<TaskKey> {
        let Some(record) = self.jobs.get(&no) else { return vec![] };
        if self.poison.iter().any(|t| t.step.job == no) {
            return vec![];
        }
        let steps = (0_u16..).zip(&record.job.steps);
        let lasts = steps.filter(|(i, s)| s.lasts && !self.hopeless.contains(&(no, *i)));
        let tasks = |(step, s): (u16, &Step)| {
            let step = StepKey { job: no, time: 0, step };
            (0..s.count).map(move |index| TaskKey { step, index }).collect::<Vec<_>>()
        };
        lasts.flat_map(tasks).collect()
    }

    /// For how many tasks like this one sound workers that may run it have room.
    pub fn room_for(&self, task: TaskKey) -> u64 {
        self.slots(task, TWICE)
    }

    /// As [`Self::room_for`], counted up to `wanted` at each worker.
    pub fn slots(&self, task: TaskKey, wanted: u64) -> u64 {
        let (Some(step), Some(queue)) = (self.step(task.step), self.queue(task.step.job)) else {
            return 0;
        };
        let size = step.counted();
        let room = |at: usize| {
            let w = &self.workers[at];
            let sound = w.up && !w.cut && !w.hung && !w.unwell && !w.grey && w.speed >= 1.0;
            let labelled = step.needs.as_ref().is_none_or(|l| w.labels.contains(l));
            if !sound || w.draining.is_some() || w.pool != queue.pool || !labelled {
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
