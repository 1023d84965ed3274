//! Empties workers whose VMs are due for upkeep.

use {
    crate::{
        decide::{health::Verdict, upkeep::stoppable_count},
        ids::{PoolId, WorkerId},
        shard::{
            dispatch::choose_workers,
            jobs::{Placement, Task},
            record::{Closing, UpkeepTurn},
            state_machine::Shard,
            workers::{FULL_PROGRESS_PERCENT, RunPhase, Worker, WorkerNo, millis},
        },
        time::Time,
        units::Size,
        work::{StepKey, TaskKey},
    },
    std::{collections::BTreeMap, sync::Arc},
};

/// What is still running at a worker that is to be emptied.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Occupancy {
    /// The worker.
    pub worker: WorkerId,
    /// Whether the shard's owner no longer starts tasks on the worker.
    pub closed: bool,
    /// Whether the shard's owner knows every run on the worker.
    pub known: bool,
    /// Whether the worker is about to shut down.
    pub leaving: bool,
    /// The number of tasks on the worker that are not long-running.
    #[serde(rename = "brief")]
    pub finite_count: u32,
    /// The number of long-running tasks on the worker.
    #[serde(rename = "lasting")]
    pub long_running_count: u32,
}

/// How long the work of a pool has been waiting.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct PoolWait {
    /// The pool.
    pub pool: PoolId,
    /// The waiting time of the oldest work that could start, in milliseconds.
    #[serde(rename = "waits")]
    pub wait_ms: u64,
}

impl Occupancy {
    /// Returns whether nothing runs on the worker and nothing will start there.
    pub fn is_vacant(&self) -> bool {
        self.closed && self.known && self.finite_count + self.long_running_count == 0
    }
}

/// Room at a worker that is allocated to one task that is to move to it.
pub(super) struct Allocation {
    no: WorkerNo,
    step: StepKey,
    size: Size,
}

impl Shard {
    /// Sets which workers are to be emptied; an older list never replaces a newer one.
    ///
    /// Guards against an older list that arrives after the shard began with a newer one: it would
    /// reopen a worker that was just reported as empty, and a task started there would end with its
    /// VM.
    pub(super) fn set_closing(&mut self, closing: &Arc<Closing>) {
        if closing.version < self.closing.version {
            return;
        }
        self.closing = closing.clone();
        for worker in &mut self.workers {
            worker.upkeep_turn = closing.turn(&worker.id);
        }
        self.round_due = true;
    }

    /// Returns what is running on each of the given workers that belongs to this shard.
    pub fn occupancy(&self, workers: &[WorkerId]) -> Vec<Occupancy> {
        let known = workers.iter().filter_map(|id| self.worker_numbers.get(id));
        let listed =
            known.map(|n| &self.workers[n.0]).filter(|w| !w.gone && w.list_entry.is_some());
        listed.map(|w| self.occupancy_of(w)).collect()
    }

    /// Returns how long the work of each pool has been waiting, counting only work that any worker
    /// of the pool could run.
    ///
    /// Work that waits for advice or needs a label is excluded, because keeping another VM open
    /// would not let it start.
    pub fn pool_waits(&self, now: Time) -> Vec<PoolWait> {
        let mut needs: BTreeMap<&PoolId, u64> = BTreeMap::new();
        for (_, key) in &self.ready {
            let Some(job) = self.jobs.get(&key.job) else { continue };
            let (Some(queue), Some(pool)) = (self.queue_configs.get(&job.queue), &job.pool) else {
                continue;
            };
            let Some(part) = job.step_states.get(&(key.time, key.step)) else { continue };
            let unrestricted = job.step(key).is_some_and(|s| s.needs.is_none() && !s.fills);
            let advised = queue.advice.is_none() || !part.tickets.eligible.is_empty();
            if let (true, true, Some(since)) = (unrestricted, advised, part.ready_since) {
                let waits = needs.entry(pool).or_default();
                *waits = (*waits).max(millis(now - since));
            }
        }
        let need = |(pool, waits): (&PoolId, u64)| PoolWait { pool: pool.clone(), wait_ms: waits };
        needs.into_iter().map(need).collect()
    }

    fn occupancy_of(&self, w: &Worker) -> Occupancy {
        // An end that the worker has not listed is lost with its VM.
        let all = w.runs.keys().chain(w.unlisted_ends.keys());
        let count =
            |lasts: bool| all.clone().filter(|t| self.is_long_running(t) == lasts).count() as u32;
        Occupancy {
            worker: w.id.clone(),
            closed: w.is_draining(),
            known: w.is_known,
            leaving: w.leaves_at.is_some(),
            finite_count: count(false),
            long_running_count: count(true),
        }
    }

    pub(super) fn is_long_running(&self, task: &TaskKey) -> bool {
        let step = self.jobs.get(&task.step.job).and_then(|j| j.step(&task.step));
        step.is_some_and(|s| s.lasts)
    }

    /// Stops tasks at workers that are being emptied: long-running tasks as far as their steps
    /// allow, and all others once the turn is forced.
    pub(super) fn stop_on_closing_workers(&mut self, now: Time) {
        let mut allocated = vec![];
        for no in (0..self.workers.len()).map(WorkerNo) {
            let w = &self.workers[no.0];
            if w.gone || !w.is_draining() {
                continue;
            }
            let forced = w.upkeep_turn == UpkeepTurn::Forced;
            let running = w.runs.iter().filter(|(_, r)| r.phase == RunPhase::Running);
            let tasks: Vec<TaskKey> = running.map(|(t, _)| *t).collect();
            for task in tasks {
                let may_stop = match self.is_long_running(&task) {
                    true => self.may_stop_now(&task, forced, &mut allocated, now),
                    false => forced,
                };
                // An earlier iteration may already have stopped this task as a member of its gang.
                let current_run = self.workers[no.0].runs.get(&task);
                if may_stop && current_run.is_some_and(|r| r.phase == RunPhase::Running) {
                    self.log_stop(no, &task, "upkeep");
                    self.stop_run(no, &task, now);
                }
            }
        }
    }

    /// Returns whether a long-running task may be stopped now to start elsewhere.
    ///
    /// Unless room for it is known to be free, the task stays until the turn is forced: room may
    /// become free meanwhile, and a task that is stopped without room elsewhere serves nobody.
    fn may_stop_now(
        &self,
        task: &TaskKey,
        forced: bool,
        allocated: &mut Vec<Allocation>,
        now: Time,
    ) -> bool {
        let key = &task.step;
        let Some(job) = self.jobs.get(&key.job) else { return true };
        let Some(step) = job.step(key) else { return true };
        if stoppable_count(step.may_miss, self.absent_count(key, now)) == 0 {
            return false;
        }
        if forced {
            return true;
        }
        self.allocate_room(key, 1, allocated, now)
    }

    /// Allocates room for `count` tasks of a step if enough is known to be free, not counting room
    /// that is reserved for gangs or already allocated; returns whether it did.
    ///
    /// Guards against tasks of several steps being stopped for the same room, and against a task
    /// being stopped for room that it does not get.
    pub(super) fn allocate_room(
        &self,
        key: &StepKey,
        count: u32,
        allocated: &mut Vec<Allocation>,
        now: Time,
    ) -> bool {
        let Some(job) = self.jobs.get(&key.job) else { return false };
        let (Some(step), Some(queue)) = (job.step(key), self.queue_configs.get(&job.queue)) else {
            return false;
        };
        let part = job.step_states.get(&(key.time, key.step));
        let good = |no| part.is_some_and(|p| p.tickets.eligible.contains_key(no));
        let all = job.pool.as_ref().and_then(|p| self.pools.get(p)).into_iter().flatten();
        let open = all.filter(|n| {
            let w = &self.workers[n.0];
            w.is_usable(now) && (queue.advice.is_none() || good(n))
        });
        let mut rooms: Vec<_> = open.filter_map(|n| self.room(*n, key, step, now)).collect();
        for room in &mut rooms {
            let reserved =
                self.reservations.values().flat_map(|r| r.members.iter().map(|e| (e, r.size)));
            let reserved = reserved.filter(|((no, _), _)| no.0 == room.index);
            let reserved = reserved.map(|((_, n), size)| size.times((*n).into()));
            let here = allocated.iter().filter(|t| t.no.0 == room.index);
            room.same_step += here.clone().filter(|t| t.step == *key).count() as u32;
            room.free = room.free.saturating_sub(&reserved.chain(here.map(|t| t.size)).sum());
        }
        let tasks: Vec<u32> = (0..count).collect();
        let chosen = choose_workers(step, &tasks, &mut rooms);
        let all = chosen.len() == tasks.len();
        if all {
            let size = step.reserved();
            allocated.extend(chosen.into_iter().map(|(_, no)| Allocation { no, step: *key, size }));
        }
        all
    }

    /// Returns the number of tasks of a step that are waiting or being stopped.
    pub(super) fn unplaced_count(&self, key: &StepKey) -> u32 {
        let placed = |(index, t): (u32, &Task)| match t.placement {
            Placement::Waiting => false,
            Placement::Done => true,
            Placement::Assigned(no) => {
                let run = self.workers[no.0].runs.get(&TaskKey { step: *key, index });
                run.is_some_and(|r| r.phase != RunPhase::Stopping)
            }
        };
        let tasks = self.step_state(key).map_or(&[][..], |p| &p.tasks);
        let unplaced = (0..).zip(tasks).filter(|t| !placed(*t)).count();
        u32::try_from(unplaced).unwrap_or(u32::MAX)
    }

    /// Returns the number of tasks of a step that are not fully running on a healthy worker.
    fn absent_count(&self, key: &StepKey, now: Time) -> u32 {
        let part = self.jobs.get(&key.job).and_then(|j| j.step_states.get(&(key.time, key.step)));
        let Some(part) = part else { return 0 };
        let at_work = |index: u32, at: Placement| {
            let Placement::Assigned(no) = at else { return false };
            let w = &self.workers[no.0];
            let run = w.runs.get(&TaskKey { step: *key, index });
            let fully_running = run.is_some_and(|r| {
                r.phase == RunPhase::Running && r.progress_percent.1 >= FULL_PROGRESS_PERCENT
            });
            fully_running
                && w.unanswered_calls == 0
                && !w.gone
                && w.health.verdict(now) == Verdict::Sound
        };
        let away = (0..).zip(&part.tasks).filter(|(i, t)| !at_work(*i, t.placement));
        u32::try_from(away.count()).unwrap_or(u32::MAX)
    }
}
