//! The judge's rule for waiting jobs: a job without an active run must start soon if there is
//! room for it.

use {
    crate::site::{
        judge::{Rules, Verdict, task_key},
        stay::{CHECK_INTERVAL, ROOM_DURATION, ROOM_FACTOR, fault_free},
        worker::World,
    },
    dogwoodreach::{
        Time,
        ids::PoolId,
        shard::record::JobRecord,
        units::Size,
        work::{JobNo, Step, StepKey, TaskKey},
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

impl Rules {
    /// Checks that no job without an active run waits for long while there is room for it.
    pub(super) fn check_waiting(&mut self, world: &World) -> Verdict {
        if !self.time_rules {
            return Ok(());
        }
        let mut waits = std::mem::take(&mut self.waits);
        let ready = |no| {
            let tasks = self.ready_tasks(world, no);
            let owed = tasks.is_empty() || self.caps.is_below_half(world, no);
            if owed { tasks } else { vec![] }
        };
        let text = waits.overdue(world, self.suspended_until, ready);
        self.waits = waits;
        text.map_or(Ok(()), |text| self.breach(world.now, text))
    }

    /// The tasks of a job that are ready to start and that the cap of its customer allows, at most one
    /// for each step.
    pub(super) fn ready_tasks(&self, world: &World, no: JobNo) -> Vec<TaskKey> {
        let Some(record) = world.jobs.get(&no) else { return vec![] };
        let most = world.queue(no).map_or(0, |q| q.attempts) as usize;
        let key = TaskKey { step: StepKey { job: no, time: 0, step: 0 }, index: 0 };
        let mut mine = self.failed.range(key..).take_while(|(t, _)| t.step.job == no);
        if !self.is_accepted(no)
            || self.cancels.contains_key(&no)
            || self.refused.contains(&no)
            || self.final_states.contains_key(&no)
            || mine.any(|(_, f)| f.len() >= most)
        {
            return vec![];
        }
        let steps = (0_u16..).zip(&record.job.steps).collect::<Vec<_>>();
        let times = record.job.times.map_or(1, |t| t.count);
        let came =
            (0..times).filter(|t| due(record, *t, self.unix_ms).is_none_or(|d| d <= world.now));
        let all = came.flat_map(|time| {
            let key = move |step| StepKey { job: no, time, step };
            let open = |(step, s): &(u16, &Step)| {
                let own = (0..if s.gang { 1 } else { s.count })
                    .map(|index| TaskKey { step: key(*step), index })
                    .find(|t| !self.done.contains_key(t))?;
                let noted = |a: &u16| self.step_acknowledged(world, key(*a));
                let may = !world.failing_steps.contains(&(no, *step))
                    && s.after.iter().all(noted)
                    && self.caps.fits_cap(world, no, s);
                may.then_some(own)
            };
            steps.iter().filter_map(open).collect::<Vec<_>>()
        });
        all.collect()
    }

    /// Whether the owner has acknowledged the completion of all tasks of a step.
    fn step_acknowledged(&self, world: &World, key: StepKey) -> bool {
        let count = world.step(key).map_or(0, |s| s.count);
        (0..count).all(|index| {
            let ends = self.done.get(&task_key(world, TaskKey { step: key, index }));
            ends.is_some_and(|e| e.iter().any(|r| r.2.is_some()))
        })
    }
}

impl World {
    /// Whether each pool that may run a task is less than half in use and has room for it twice
    /// over (for a gang, for all of its tasks twice over).
    fn has_room(&self, task: TaskKey) -> bool {
        let pools = self.pools(task.step.job);
        !pools.is_empty() && pools.into_iter().all(|pool| self.has_room_in(task, pool))
    }

    fn has_room_in(&self, task: TaskKey, pool: &PoolId) -> bool {
        let Some(step) = self.step(task.step) else { return false };
        let mine = || (0..self.workers.len()).filter(|at| self.workers[*at].pool == *pool);
        let used: Size = mine().map(|at| self.used(at)).sum();
        let total: Size =
            mine().filter(|at| self.workers[*at].up).map(|at| self.workers[at].size).sum();
        let under = |used: u64, total: u64| used == 0 || used * IDLE_DIVISOR < total;
        let idle = under(used.cores.0, total.cores.0)
            && under(used.memory.0, total.memory.0)
            && under(used.accels.0, total.accels.0);
        let wanted = ROOM_FACTOR * if step.gang { u64::from(step.count) } else { 1 };
        idle && self.slots_in(task, wanted, pool) >= wanted
    }
}

/// Due time of an occurrence of a timed job; `unix_ms` is the Unix time at [`Time::ZERO`] in
/// milliseconds.
pub(super) fn due(record: &JobRecord, time: u32, unix: u64) -> Option<Time> {
    let times = record.job.times?;
    Some(Time::from_millis((times.first + u64::from(time) * times.every).saturating_sub(unix)))
}
