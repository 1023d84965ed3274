//! Dispatch: chooses which waiting steps start next, and on which workers, in rounds over the ready
//! steps.

use {
    crate::{
        decide::{
            fit::{Room, best_room},
            health::{Verdict, max_quarantined},
        },
        shard::{
            health::MIN_DURATION_SAMPLES,
            jobs::{Placement, StepState},
            round::{Requester, Round, Turn},
            state_machine::Shard,
            workers::{RunPhase, Worker, WorkerNo},
        },
        time::Time,
        units::Size,
        work::{Step, StepKey, TaskKey},
    },
    std::{collections::BTreeSet, time::Duration},
};

/// The maximum number of ready steps that a round takes from the head of the order.
pub(super) const MAX_ROUND_STEPS: usize = 400;
/// The pause after a round: the part for each waiting step, and the maximum of the whole pause.
///
/// Examining one step costs about 10 µs, so without a pause the owner would spend its processor on
/// rounds when many steps wait.
const ROUND_PAUSE: (Duration, Duration) = (Duration::from_micros(200), Duration::from_millis(40));
/// How long a step waits before it may use resources that are reserved for less urgent steps.
const RESERVED_USE_DELAY: Duration = Duration::from_millis(100);
/// How long a step waits in an underused pool before it may start on a worker that is being
/// drained: a third of the time for which a job may wait beside free capacity.
const DRAINING_USE_DELAY: Duration = Duration::from_secs(1);
/// The expected run time divided by this is how much longer a task may run than expected.
const OVERRUN_DIVISOR: u32 = 3;
/// A pool is underused while at most this percentage of each resource is in use.
const UNDERUSED_PERCENT: u64 = 55;

/// Chooses workers for as many of these tasks as fit, and deducts the tasks from the workers' free
/// resources.
pub(super) fn choose_workers(
    step: &Step,
    tasks: &[u32],
    rooms: &mut [Room],
) -> Vec<(u32, WorkerNo)> {
    let mut chosen = vec![];
    for index in tasks {
        let Some(at) = best_room(step, rooms) else { break };
        let room = &mut rooms[at];
        room.free = room.free.saturating_sub(&step.reserved());
        room.same_step += 1;
        room.max_new -= 1;
        room.fillers += u32::from(step.fills);
        chosen.push((*index, WorkerNo(room.index)));
    }
    chosen
}

/// Withholds resources for tasks that cannot start yet from the steps that follow in the order.
pub(super) fn withhold(step: &Step, places: &[(u32, WorkerNo)], round: &mut Round) {
    places.iter().for_each(|(_, no)| round.withhold(*no, step.reserved()));
}

impl Shard {
    /// Runs a scheduling round: goes through the steps in order and starts every task for which a
    /// worker has room.
    pub(super) fn dispatch(&mut self, now: Time) {
        let is_due = self.round_due && self.next_round <= now;
        if !is_due || self.ready.is_empty() || !self.may_start(now) {
            return;
        }
        self.round_due = false;
        let waiting = u32::try_from(self.ready.len()).unwrap_or(u32::MAX);
        self.next_round = now + ROUND_PAUSE.0.saturating_mul(waiting).min(ROUND_PAUSE.1);
        self.forget_ended_strays();
        let mut round = self.new_round(now);
        let starving = self.starving_steps(&round, now);
        self.begin_cap_round();
        let keys = self.round_steps(&starving);
        round.starving_steps = starving;
        for key in &keys {
            self.add_demand(key, 1, &mut round);
        }
        self.start_absent(&mut round, now);
        for key in &keys {
            let old = self.reservations.get(key).cloned();
            self.place_step(key, &mut round, now);
            round.end_turn(key, old, self.reservations.get(key));
        }
    }

    /// Returns the steps that a round examines, in order: starving steps, then the first ready
    /// steps, then steps with reservations and steps that wait for a rack.
    ///
    /// Steps with reservations are included because a gang may reserve resources and then fall
    /// behind later, more urgent steps. If no round examined it, nobody would request its tickets
    /// or release the resources, and jobs would wait beside a pool that is only a quarter in use.
    /// Likewise, a step that waits for a rack must see the room that becomes free there.
    pub(super) fn round_steps(&self, starving: &[StepKey]) -> Vec<StepKey> {
        let mut keys = starving.to_vec();
        let new = |k: &StepKey| !starving.contains(k);
        keys.extend(self.ready.iter().take(MAX_ROUND_STEPS).map(|r| r.1).filter(new));
        let Some(last) = self.ready.iter().nth(MAX_ROUND_STEPS - 1) else { return keys };
        let place = |k: &StepKey| Some((*self.ranks.get(k)?, *k));
        let kept = self.reservations.keys().filter_map(place).filter(|p| p > last && new(&p.1));
        keys.extend(kept.collect::<BTreeSet<_>>().into_iter().map(|p| p.1));
        let waits = self.rack_waiters().filter_map(place).filter(|p| p > last && new(&p.1));
        let waits = waits.filter(|p| !self.reservations.contains_key(&p.1));
        keys.extend(waits.collect::<BTreeSet<_>>().into_iter().map(|p| p.1));
        keys
    }

    /// Builds a new round: the workers that may receive starts, and the resources reserved for
    /// gangs.
    pub(super) fn new_round(&mut self, now: Time) -> Round {
        let ranks = &self.ranks;
        self.reservations.retain(|key, _| ranks.contains_key(key));
        self.read_round(now)
    }

    /// Like [`Self::new_round`], without changing the shard's state.
    pub(super) fn read_round(&self, now: Time) -> Round {
        let mut round = Round::new(self.workers.len());
        for (key, reserve) in self.reservations.iter().filter(|r| self.ranks.contains_key(r.0)) {
            round.add_reservation(key, reserve, false);
        }
        for (pool, all) in &self.pools {
            round.usable.insert(pool.clone(), self.usable_workers(all, false, false, now).into());
            round
                .long_running
                .insert(pool.clone(), self.usable_workers(all, true, true, now).into());
            if self.is_underused(all) {
                round.underused.insert(pool.clone());
                if all.iter().any(|n| self.workers[n.0].is_draining()) {
                    round
                        .with_draining
                        .insert(pool.clone(), self.usable_workers(all, false, true, now).into());
                }
            }
        }
        round
    }

    /// Forgets the extra runs of tasks (`stray_tasks`) that have ended.
    ///
    /// While an extra run, begun by a former owner, is still stopping, a task whose current run is
    /// lost must not start again, or it would run twice.
    fn forget_ended_strays(&mut self) {
        let workers = &self.workers;
        let stopping = |t: &TaskKey, w: &Worker| {
            let ends = w.runs.get(t).is_some_and(|r| r.phase == RunPhase::Stopping);
            !w.gone && (ends || w.unlisted_ends.contains_key(t))
        };
        self.stray_tasks.retain(|t| workers.iter().any(|w| stopping(t, w)));
    }

    /// Returns whether the pool of these workers is underused in every resource.
    pub(super) fn is_underused(&self, all: &[WorkerNo]) -> bool {
        let sum = |size: fn(&Worker) -> Size| {
            all.iter().fold(Size::default(), |sum, n| sum + size(&self.workers[n.0]))
        };
        let used = sum(|w| w.used);
        let total = sum(|w| w.list_entry.as_ref().map_or(Size::default(), |l| l.capacity));
        used.times(100).fits(&total.times(UNDERUSED_PERCENT))
    }

    /// Returns the workers that may receive starts: those not in quarantine, and quarantined ones
    /// that may be probed.
    ///
    /// At most about a third of a pool is kept in quarantine. If more workers look faulty, the
    /// cause is probably elsewhere, and the others are offered to gangs as well.
    fn usable_workers(
        &self,
        all: &[WorkerNo],
        lasts: bool,
        with_draining: bool,
        now: Time,
    ) -> Vec<WorkerNo> {
        let usable = all.iter().copied().filter(|n| {
            let w = &self.workers[n.0];
            w.is_usable(now) || (with_draining && w.is_usable_draining(now))
        });
        let mut held = max_quarantined(all.len());
        let not_held = |n: &WorkerNo| match self.workers[n.0].health.verdict(now) {
            Verdict::Quarantined { .. }
                if lasts && self.workers[n.0].health.allows_start(lasts, now) =>
            {
                true
            }
            Verdict::Quarantined { until } if until > now && held > 0 => {
                held -= 1;
                false
            }
            _ => true,
        };
        usable.filter(not_held).collect()
    }

    /// Returns the maximum number of tasks of a step that a worker may receive now, regardless of
    /// its free resources.
    ///
    /// A quarantined worker takes one task as a probe. Without this limit all tasks of a step would
    /// choose that worker; all but one would be refused, and none would go to other workers that
    /// have capacity.
    fn start_limit(&self, no: WorkerNo, step: &Step, now: Time) -> u32 {
        let health = &self.workers[no.0].health;
        match health.verdict(now) {
            Verdict::Quarantined { .. } if !step.gang => {
                u32::from(health.allows_start(step.lasts, now))
            }
            _ => u32::MAX,
        }
    }

    /// Adds the waiting tasks of a step to the demand of each worker that may run it; `sign` -1
    /// subtracts them.
    pub(super) fn add_demand(&self, key: &StepKey, sign: i64, round: &mut Round) {
        let Some(step_state) = self.step_state(key) else { return };
        let count = step_state.tickets.eligible.len() as i64;
        if count == 0 {
            return;
        }
        let each = sign * 100 * i64::from(step_state.waiting_count.min(8)) / count;
        for no in step_state.tickets.eligible.keys() {
            let known = &mut round.demand[no.0];
            *known = (i64::from(*known) + each).max(0) as u32;
        }
    }

    /// Returns the properties of a step that a round needs; `None` if its queue or its pool is
    /// unknown.
    pub(super) fn turn<'a>(&self, key: &'a StepKey, round: &Round, now: Time) -> Option<Turn<'a>> {
        let job = self.jobs.get(&key.job)?;
        let (queue, pool) = (self.queue_configs.get(&job.queue)?, job.pool.as_ref()?);
        let step_state = job.step_states.get(&(key.time, key.step))?;
        let waiting =
            (0..).zip(&step_state.tasks).filter(|(_, t)| t.placement == Placement::Waiting);
        let step = job.step(key)?.clone();
        let usable = match () {
            () if step.lasts => &round.long_running,
            () if self.may_use_draining(step_state, &step, now) => &round.with_draining,
            () => &round.usable,
        };
        let usable = usable.get(pool).or(round.usable.get(pool))?.clone();
        Some(Turn {
            key,
            step,
            queue: queue.name.clone(),
            priority: queue.priority,
            pool: pool.clone(),
            waiting: waiting.map(|(i, _)| i).collect(),
            usable,
            advice: queue.advice,
        })
    }

    /// Returns whether a step may start on workers that are being drained and still run something.
    ///
    /// When most of a pool is draining, a long-running task may have no place except the draining
    /// worker, so it stays there; short work would then wait beside an idle worker until new
    /// workers arrive. In a busy pool the step waits instead, because the worker would otherwise
    /// never become empty.
    fn may_use_draining(&self, step_state: &StepState, step: &Step, now: Time) -> bool {
        !step.gang
            && !step.fills
            && step_state.ready_since.is_some_and(|t| t + DRAINING_USE_DELAY <= now)
    }

    /// Starts those tasks of a step for which a worker has room.
    fn place_step(&mut self, key: &StepKey, round: &mut Round, now: Time) {
        if !self.is_sole_starter(&key.job) {
            return;
        }
        let Some(mut turn) = self.turn(key, round, now) else { return };
        if !self.limit_by_cap(&mut turn, round, now) {
            return;
        }
        if turn.advice.is_some()
            && self.step_state(key).is_none_or(|p| p.tickets.eligible.is_empty())
        {
            return self.ask_for_missing(&turn, round, now);
        }
        // The step's own demand must not count against a worker.
        self.add_demand(key, -1, round);
        let all = turn.waiting.len();
        self.retain_startable(&mut turn, now);
        if turn.waiting.is_empty() || (turn.step.gang && turn.waiting.len() < all) {
            return;
        }
        match turn.step.gang {
            true => self.place_gang(&turn, round, now),
            false => {
                self.place_isolated(&mut turn, round, now);
                if !turn.waiting.is_empty() {
                    self.place_tasks(&turn, round, now);
                }
            }
        }
    }

    /// Removes from a turn the tasks of which another run is being stopped, and those that pause
    /// after crashes of their workers.
    fn retain_startable(&mut self, turn: &mut Turn, now: Time) {
        let Turn { key, ref step, ref mut waiting, .. } = *turn;
        let Some(part) = self.step_state(key) else { return };
        let mut next_end = self.next_pause_end;
        waiting.retain(|i| {
            let end = Self::pause_end(step, &part.tasks[*i as usize]).filter(|end| *end > now);
            next_end = next_end.min(end.unwrap_or(Time::NEVER));
            end.is_none() && !self.stray_tasks.contains(&TaskKey { step: *key, index: *i })
        });
        self.next_pause_end = next_end;
    }

    /// Starts tasks of the long-running steps that come first and hold valid tickets, before any of
    /// these steps withholds room for which it has yet to request one.
    ///
    /// Guards against room that stays unused while many long-running tasks are away: the step that
    /// has waited longest would withhold it for the duration of an advice call from steps that could
    /// start at once.
    fn start_absent(&mut self, round: &mut Round, now: Time) {
        let lasts = |k: &&StepKey| {
            self.jobs.get(&k.job).and_then(|j| j.step(k)).is_some_and(|s| s.lasts && !s.gang)
        };
        let keys: Vec<StepKey> = round.starving_steps.iter().filter(lasts).copied().collect();
        if keys.len() < 2 {
            return;
        }
        for key in &keys {
            let Some(mut turn) = self.turn(key, round, now) else { continue };
            if turn.advice.is_none() || !self.is_sole_starter(&key.job) {
                continue;
            }
            self.retain_startable(&mut turn, now);
            let Some(part) = self.step_state(key) else { continue };
            turn.waiting.retain(|i| part.tasks[*i as usize].crashed_runs.is_empty());
            turn.waiting.truncate(self.fitting_in_cap(&turn, round));
            let (mut valid, _) = self.rooms(&turn, round, now);
            valid.retain(|r| !self.is_last_resort(&turn.step, WorkerNo(r.index), now));
            let chosen = choose_workers(&turn.step, &turn.waiting, &mut valid);
            self.start_tasks(key, &turn.step, &chosen, now);
        }
    }

    /// Returns whether a worker takes a task of a step only if no other worker has room.
    fn is_last_resort(&self, step: &Step, no: WorkerNo, now: Time) -> bool {
        let worker = &self.workers[no.0];
        worker.is_draining()
            || (step.lasts && matches!(worker.health.verdict(now), Verdict::Quarantined { .. }))
    }

    /// Starts tasks of a step that need not start all at once.
    fn place_tasks(&mut self, turn: &Turn, round: &mut Round, now: Time) {
        let Turn { key, ref step, ref usable, advice, .. } = *turn;
        let (mut valid, mut stale) = self.rooms(turn, round, now);
        let plan = self.wait_for_rack(turn, &mut valid, &mut stale, round, now);
        let (tasks, _) = turn.waiting.split_at(turn.waiting.len() - plan.waiting);
        // If a healthy worker has capacity, the task waits for that worker's ticket.
        let unfavourable = |r: &Room| self.is_last_resort(step, WorkerNo(r.index), now);
        let (mut last, mut valid): (Vec<_>, Vec<_>) = valid.into_iter().partition(unfavourable);
        let mut chosen = choose_workers(step, tasks, &mut valid);
        if stale.iter().all(unfavourable) {
            chosen.extend(choose_workers(step, &tasks[chosen.len()..], &mut last));
        }
        let rest = &tasks[chosen.len()..];
        if !rest.is_empty() {
            let good = match round.try_deep_search(step.lasts) {
                true => self.all_rooms(turn, round, now),
                false => vec![],
            };
            if !step.fills {
                let places = self.preempt_beside(turn, rest, &chosen, &good, round, now);
                withhold(step, &places, round);
            }
            if let Some(cost) = advice {
                let later = choose_workers(step, rest, &mut stale);
                withhold(step, &later, round);
                let mut wanted: Vec<WorkerNo> = later.iter().map(|c| c.1).collect();
                wanted.extend(self.freeing_workers(turn, &good, cost, round, now));
                wanted.sort_unstable();
                wanted.dedup();
                match step.lasts {
                    true => {
                        let tasks = (later.len(), rest.len() - later.len());
                        self.ask_for_lasting(turn, &wanted, tasks, round, now);
                    }
                    false => self.renew_tickets(key, &wanted, usable, cost, now),
                }
            }
            if chosen.is_empty() && plan.waiting == 0 && round.starving_steps.contains(key) {
                self.withhold_preferred(turn, &good, round, now);
            }
            self.add_unplaced(turn, rest.len(), round);
        }
        self.start_tasks(key, step, &chosen, now);
        self.record_rack_starts(turn, &chosen, now);
        if plan.waiting > 0 {
            self.prepare_rack(turn, plan, &stale, round, now);
        }
    }

    /// Returns the workers that can take a task of the step now: first those with a valid ticket,
    /// then those whose ticket has expired.
    pub(super) fn rooms(&self, turn: &Turn, round: &Round, now: Time) -> (Vec<Room>, Vec<Room>) {
        let (mut valid, mut stale) = (vec![], vec![]);
        let Some(step_state) = self.step_state(turn.key) else { return (valid, stale) };
        let size = turn.step.reserved();
        let own = self.reservations.get(turn.key);
        let waited = step_state.ready_since.is_some_and(|t| t + RESERVED_USE_DELAY <= now);
        let requester = self.requester(turn, round, waited && own.is_none(), now);
        for no in turn.usable.iter() {
            let free = self.workers[no.0].free();
            if !size.fits(&free) {
                continue;
            }
            let mut left = free.saturating_sub(&round.unavailable(*no, &requester));
            if let Some(n) = own.and_then(|r| r.members.iter().find(|e| e.0 == *no)) {
                let mine = free.saturating_sub(&round.withheld_before(*no, turn.key));
                left = left.max(&size.times(size.count(&mine).min(n.1.into())));
            }
            if !size.fits(&left) {
                continue;
            }
            let ticket = step_state.tickets.eligible.get(no);
            if turn.advice.is_some() && ticket.is_none() {
                continue;
            }
            let Some(mut room) = self.room(*no, turn.key, &turn.step, now) else { continue };
            (room.free, room.demand) = (left, round.demand[no.0]);
            match ticket {
                Some((_, until)) if turn.advice.is_some() && *until <= now => stale.push(room),
                _ => valid.push(room),
            }
        }
        (valid, stale)
    }

    /// Describes a step so that its claim can be compared with resources reserved for other steps.
    pub(super) fn requester<'a>(
        &self,
        turn: &Turn<'a>,
        round: &Round,
        may_outrank: bool,
        now: Time,
    ) -> Requester<'a> {
        let step_state = self.step_state(turn.key);
        let estimate = Duration::from_millis(turn.step.estimate);
        let takes =
            step_state.and_then(|p| p.expected_duration(MIN_DURATION_SAMPLES)).unwrap_or(estimate);
        let ends_at = match turn.step.lasts {
            true => Time::NEVER,
            false => now + takes + takes / OVERRUN_DIVISOR,
        };
        let overdue = turn.step.lasts && round.starving_steps.contains(turn.key);
        Requester { key: turn.key, priority: turn.priority, ends_at, may_outrank, overdue }
    }

    /// Returns the number of tasks of a step at a worker.
    pub(super) fn task_count(&self, no: WorkerNo, key: &StepKey) -> u32 {
        let tasks = self.workers[no.0].runs.keys();
        u32::try_from(tasks.filter(|t| t.step == *key).count()).unwrap_or(u32::MAX)
    }

    /// Returns the capacity of a worker for a task of this step; `None` if the task must not run
    /// on the worker.
    pub(super) fn room(&self, no: WorkerNo, key: &StepKey, step: &Step, now: Time) -> Option<Room> {
        let w = &self.workers[no.0];
        let listed = w.list_entry.as_ref()?;
        if now < w.isolated_until {
            return None;
        }
        if step.needs.as_ref().is_some_and(|label| !listed.has_label(label)) {
            return None;
        }
        let same = if step.apart > 0 { self.task_count(no, key) } else { 0 };
        Some(Room {
            index: no.0,
            free: w.free(),
            total: listed.capacity,
            near: step.near.as_ref().is_some_and(|r| listed.has_label(r.as_str())),
            serving: step.fills && w.has_serving_tasks(),
            fillers: w.fillers,
            same_step: same,
            max_new: self.start_limit(no, step, now),
            suspect: w.health.verdict(now) != Verdict::Sound
                || (step.lasts && (w.is_upkeep_due() || w.is_draining())),
            demand: 0,
        })
    }
}
