//! Preemption: makes room by stopping less urgent work, which resumes elsewhere from its
//! checkpoint.
//!
//! Load: urgent jobs arrive while long, less urgent ones occupy all the room. Without preemption
//! the urgent jobs wait for runs to end and are late, although the others have time to spare.

use {
    crate::{
        decide::fit::Room,
        shard::{
            customer_cap::CustomerNo,
            round::{Round, Turn},
            state_machine::Shard,
            workers::{RunPhase, WorkerNo},
        },
        time::Time,
        units::Size,
        work::{Step, TaskKey},
    },
    std::time::Duration,
};

/// The minimum time that a step waits before other runs are stopped or room is reserved for it.
pub(super) const MIN_ROOM_WAIT: Duration = Duration::from_millis(300);

/// The effect of stopping less urgent runs of one worker.
struct PreemptionPlan {
    no: WorkerNo,
    /// The room that is free now or will be free without further stops.
    free: Size,
    /// How many tasks would have room if all victims were stopped.
    slots: u64,
    /// The runs that may be stopped, with the room that each frees.
    victims: Vec<(TaskKey, Size)>,
}

impl Shard {
    /// Makes room for the tasks `rest` of a step, of which those in `chosen` start in this round.
    ///
    /// A worker with a chosen task is left out, except for long-running steps if stops are weighed:
    /// runs that are stopping there would not count as room for the step, and others would be stopped
    /// as well. Other steps do not count on such workers: in a burst they would wait for stops that
    /// come too late.
    pub(super) fn preempt_beside(
        &mut self,
        turn: &Turn,
        rest: &[u32],
        chosen: &[(u32, WorkerNo)],
        good: &[Room],
        round: &mut Round,
        now: Time,
    ) -> Vec<(u32, WorkerNo)> {
        let weighed = self.weighs_stop_cost() && turn.step.lasts;
        let after = |r: &Room| {
            let starts = chosen.iter().filter(|c| c.1.0 == r.index).count() as u32;
            let (same_step, max_new) = (r.same_step + starts, r.max_new.saturating_sub(starts));
            (weighed || starts == 0).then_some(Room { same_step, max_new, ..*r })
        };
        let good: Vec<Room> = good.iter().filter_map(after).collect();
        if !weighed {
            return self.preempt(turn, rest, &good, round, now);
        }
        // Until the chosen tasks have started, the free room of their workers includes theirs.
        for (_, no) in chosen {
            round.awaited[no.0] += turn.step.reserved();
        }
        let places = self.preempt(turn, rest, &good, round, now);
        for (_, no) in chosen {
            let left = round.awaited[no.0].saturating_sub(&turn.step.reserved());
            round.awaited[no.0] = left;
        }
        places
    }

    /// Stops less urgent runs to make room for tasks of a step that may preempt; returns the chosen
    /// worker of each task.
    pub(super) fn preempt(
        &mut self,
        turn: &Turn,
        waiting: &[u32],
        good: &[Room],
        round: &mut Round,
        now: Time,
    ) -> Vec<(u32, WorkerNo)> {
        if self.weighs_stop_cost() {
            let places = self.preempt_by_cost(turn, waiting.len(), good, round, now);
            return waiting.iter().copied().zip(places).collect();
        }
        let Turn { key, ref step, .. } = *turn;
        let queue = self.jobs.get(&key.job).and_then(|j| self.queue_configs.get(&j.queue));
        let Some(priority) = queue.map(|q| q.priority) else { return vec![] };
        let part = self.jobs.get(&key.job).and_then(|j| j.step_states.get(&(key.time, key.step)));
        let waited = part.and_then(|p| p.ready_since).is_some_and(|t| t + MIN_ROOM_WAIT <= now);
        if !waited || self.ranks.get(key).is_none_or(|r| !r.may_preempt()) {
            return vec![];
        }
        let places = self.make_room(step, waiting.len(), good, priority, now);
        waiting.iter().copied().zip(places).collect()
    }

    /// Returns the priority at which a run of a task may be preempted by more urgent work, or `None`
    /// if it may not be, and the latest end of the run at which its job is still in time.
    pub(super) fn preemptible_at(&self, task: &TaskKey, step: &Step) -> (Option<u8>, Time) {
        let plain = step.saves && !step.gang && !step.lasts && !step.fills;
        let queue = self.jobs.get(&task.step.job).and_then(|j| self.queue_configs.get(&j.queue));
        let queue = queue.filter(|_| plain && !self.is_stopped_too_often(task, step));
        let weighed = queue.is_some() && self.weighs_stop_cost();
        let due_at = if weighed { self.latest_end(&task.step) } else { Time::NEVER };
        (queue.map(|q| q.priority), due_at)
    }

    /// Stops less urgent runs of a customer for a step that may preempt and for which the customer's
    /// cap is `short` of room.
    ///
    /// Load: a customer whose long, less urgent work fills its cap. Its urgent jobs would wait for the
    /// ends of that work, however much room the workers have.
    pub(super) fn preempt_for_cap(
        &mut self,
        turn: &Turn,
        customer: CustomerNo,
        short: Size,
        round: &mut Round,
        now: Time,
    ) {
        if self.weighs_stop_cost() {
            return self.preempt_for_cap_by_cost(turn, customer, short, round, now);
        }
        let waited = self.step_state(turn.key).and_then(|p| p.ready_since);
        if waited.is_none_or(|t| t + MIN_ROOM_WAIT > now)
            || self.ranks.get(turn.key).is_none_or(|r| !r.may_preempt())
            || !round.try_deep_search(false)
        {
            return;
        }
        let mut freed = Size::default();
        let mut victims = vec![];
        for (no, worker) in self.workers.iter().enumerate() {
            for (task, run) in worker.runs.iter().filter(|(_, r)| r.customer == Some(customer)) {
                match (run.phase, run.preempt_priority) {
                    (RunPhase::Stopping, _) => freed += run.charge,
                    (RunPhase::Running, Some(p)) if p > turn.priority => {
                        victims.push((run.progress_percent.1, *task, WorkerNo(no), run.charge));
                    }
                    _ => {}
                }
            }
        }
        let withheld = round.cap_withheld.get(&customer).copied().unwrap_or_default();
        freed = freed.saturating_sub(&withheld);
        victims.sort_unstable_by_key(|v| (v.0, v.1));
        let all = victims.iter().fold(freed, |sum, v| sum + v.3);
        if turn.step.gang && !short.fits(&all) {
            return;
        }
        for (_, task, no, charge) in victims {
            if short.fits(&freed) {
                return;
            }
            freed += charge;
            let stop = self.unweighed_stop(no, &task, now);
            self.preempt_run(&stop, ("cap", "more urgent work under its customer's cap"), now);
        }
    }

    /// Stops runs of less urgent queues so that up to `count` tasks find room; returns the workers.
    ///
    /// Stopped runs resume elsewhere from their checkpoints. Room that runs already being stopped
    /// will free is used first.
    fn make_room(
        &mut self,
        step: &Step,
        count: usize,
        good: &[Room],
        priority: u8,
        now: Time,
    ) -> Vec<WorkerNo> {
        let size = step.reserved();
        let mut plans: Vec<PreemptionPlan> =
            good.iter().filter_map(|r| self.preemption(r, &size, step.apart, priority)).collect();
        plans.sort_by_key(|p| (p.victims.len(), std::cmp::Reverse(p.slots)));
        let slots: u64 = plans.iter().map(|p| p.slots).sum();
        if slots == 0 || (step.gang && slots < count as u64) {
            return vec![];
        }
        let mut places = vec![];
        for plan in plans {
            let wanted = (count - places.len()) as u64;
            if wanted == 0 {
                break;
            }
            let take = wanted.min(plan.slots);
            let mut free = plan.free;
            for (task, freed) in plan.victims {
                if size.times(take).fits(&free) {
                    break;
                }
                free += freed;
                let stop = self.unweighed_stop(plan.no, &task, now);
                self.preempt_run(&stop, ("urgent", "more urgent work"), now);
            }
            places.extend((0..take).map(|_| plan.no));
        }
        places
    }

    /// Computes the effect of stopping less urgent runs of the worker of `room`.
    fn preemption(
        &self,
        room: &Room,
        size: &Size,
        apart: u32,
        priority: u8,
    ) -> Option<PreemptionPlan> {
        let worker = &self.workers[room.index];
        // A worker that is being emptied goes down for upkeep once its remaining runs have stopped,
        // so they are not stopped for other work.
        if worker.is_draining() {
            return None;
        }
        let mut free = room.free;
        let mut victims = vec![];
        for (task, run) in &worker.runs {
            match (run.phase, run.preempt_priority) {
                (RunPhase::Stopping, _) => free += run.size,
                (RunPhase::Running, Some(p)) if p > priority => {
                    victims.push((run.progress_percent.1, *task, run.size));
                }
                _ => {}
            }
        }
        // Runs with the least progress are stopped first, since the others end soon anyway.
        victims.sort_unstable_by_key(|v| (v.0, v.1));
        let all = victims.iter().fold(free, |sum, v| sum + v.2);
        let slots = size.count(&all).min(max_slots(apart, room));
        let victims = victims.into_iter().map(|v| (v.1, v.2)).collect();
        (slots > 0).then_some(PreemptionPlan { no: WorkerNo(room.index), free, slots, victims })
    }
}

/// Returns how many more tasks of a step a worker may get, regardless of its resources; `apart` is
/// the maximum number of tasks of the step on one worker, or 0.
pub(super) fn max_slots(apart: u32, room: &Room) -> u64 {
    let most = if apart > 0 { apart.saturating_sub(room.same_step) } else { u32::MAX };
    most.min(room.max_new).into()
}
