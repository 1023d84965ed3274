//! Delay scheduling: lets tasks wait for the rack on which they run fastest
//! ([`crate::decide::locality`]).
//!
//! A waiting task takes no other room and nothing is reserved for it. Its step is examined in every
//! round like any other, and an end of a run on the rack causes a round.

mod forecast;
mod gangs;

use {
    crate::{
        decide::{
            fit::Room,
            locality::{Plan, Terms, Wait},
            rank::job_objective,
        },
        ports::{EndReason, EndedRun},
        shard::{
            dispatch::withhold,
            jobs::{Placement, Task},
            round::{Round, Turn},
            state_machine::Shard,
            workers::{FULL_PACE_PERCENT, Run, WorkerNo, millis},
        },
        time::Time,
        work::{Step, StepKey},
    },
    std::{collections::BTreeMap, time::Duration},
};

/// The maximum number of racks that are compared for a step whose tasks should share one.
const MAX_COMPARED_RACKS: usize = 3;
/// The longest time from which a step is ready until its wait ends, if its job has no run and its
/// pool is underused: half of the 3 s in which a job must
/// run beside free room, since an advice call takes up to 1 s more.
const MAX_UNDERUSED_WAIT: Duration = Duration::from_millis(1500);
/// Multiple of a job's objective after which it has no value, as in [`crate::decide::rank`].
const VALUE_FACTOR: u32 = 3;
/// The interval at which the state of steps whose jobs have ended is removed.
const CLEANUP_INTERVAL: Duration = Duration::from_secs(1);

impl Shard {
    /// Returns whether the tasks of a step run faster on one rack than elsewhere.
    pub(super) fn seeks_rack(&self, step: &Step) -> bool {
        (step.near.is_some() || (step.tight && step.count > 1))
            && !step.lasts
            && !step.fills
            && self.setup.bounds.remote_factor > 1.0
    }

    /// Returns the rack that a step requests, if it matters for its run time.
    pub(super) fn requested_rack(&self, key: &StepKey) -> Option<&str> {
        let step = self.jobs.get(&key.job)?.step(key).filter(|s| self.seeks_rack(s))?;
        step.near.as_ref().map(|r| r.as_str())
    }

    /// Returns whether a worker is on a rack.
    pub(super) fn is_on_rack(&self, no: WorkerNo, rack: &str) -> bool {
        let listed = self.workers[no.0].list_entry.as_ref();
        listed.is_some_and(|l| l.rack() == rack || l.has_label(rack))
    }

    /// Returns the expected duration of a run of a step on its rack.
    pub(super) fn run_time(&self, turn: &Turn) -> Duration {
        let estimate = Duration::from_millis(turn.step.estimate);
        self.locality.run_times.expected(&turn.queue, estimate)
    }

    /// Returns what decides whether a wait of a step pays. `factor` is how many times as long the
    /// step takes if it does not wait.
    pub(super) fn terms(&self, turn: &Turn, factor: f64, now: Time) -> Option<Terms> {
        let key = turn.key;
        let job = self.jobs.get(&key.job)?;
        let queue = self.queue_configs.get(&job.queue)?;
        let run = self.run_time(turn);
        let estimate = Duration::from_millis(turn.step.estimate);
        let chain = job.chain_lengths.get(usize::from(key.step)).copied().unwrap_or(estimate);
        let rest = self.locality.run_times.expected(&turn.queue, chain.saturating_sub(estimate));
        let rest = if chain > estimate { rest } else { Duration::ZERO };
        let objective = job_objective(queue, job.objective_time(key.time));
        let arrived = Duration::from_millis(job.submitted_ms.max(job.due_ms(key.time)));
        let end = Duration::from_millis(self.unix_ms(now)).saturating_add(run).saturating_add(rest);
        // A job that is late already can wait until it would have no value at all.
        let latest = |n: u32| arrived.saturating_add(objective.saturating_mul(n));
        let slack = [1, VALUE_FACTOR].map(|n| latest(n).checked_sub(end));
        let slack = slack[0].or(slack[1]).unwrap_or_default();
        Some(Terms { run, factor, slack })
    }

    /// Decides how many of a step's waiting tasks, the last ones, are to wait for a rack, and marks
    /// the rooms on that rack as near.
    ///
    /// Only a step that has room elsewhere decides. One that has none waits for room on any rack.
    pub(super) fn wait_for_rack(
        &mut self,
        turn: &Turn,
        valid: &mut [Room],
        stale: &mut [Room],
        round: &mut Round,
        now: Time,
    ) -> Plan {
        let Turn { key, ref step, ref waiting, .. } = *turn;
        let none = Plan::default();
        if !self.seeks_rack(step) {
            return none;
        }
        self.locality.active = true;
        let Some(rack) = self.target_rack(turn, valid, round, now) else { return none };
        if step.tight {
            let rooms = valid.iter_mut().chain(stale.iter_mut());
            rooms.for_each(|r| r.near = self.is_on_rack(WorkerNo(r.index), &rack));
        }
        let state = self.locality.steps.entry(*key).or_default();
        let elsewhere = valid.iter().chain(stale.iter()).any(|r| !r.near);
        if state.wait_over || !elsewhere || (step.tight && state.slowdown.is_some_and(|s| s > 1.0))
        {
            return none;
        }
        let kept = Plan { waiting: state.waiting.min(waiting.len()), ..none };
        let Some(terms) = self.terms(turn, self.setup.bounds.remote_factor, now) else {
            return none;
        };
        if !round.locality.try_examine() {
            // A wait ends in time even if too many other steps are examined before this one.
            self.ensure_forecast(turn, &rack, round, now);
            let outcome = match () {
                () if round.locality.rack_workers(&turn.pool, &rack).is_empty() => {
                    self.blocked_cause(turn, &rack, &[])
                }
                () if !self.may_wait(turn, Duration::ZERO, round, now) => "overdue",
                () => return kept,
            };
            self.end_wait(key, outcome, now);
            return none;
        }
        let slots = self.slot_waits(turn, &rack, None, round, now);
        let ahead = self.tasks_ahead(turn, &rack, round);
        let mut plan = terms.plan(&slots, ahead, waiting.len(), step.tight);
        let in_time = self.ranks.get(key).is_some_and(|r| r.class() == 0);
        if plan.now + plan.waiting < waiting.len()
            && in_time
            && self.stop_pays(&terms, terms.elsewhere())
        {
            let slots = self.slot_waits(turn, &rack, Some(turn.priority), round, now);
            let stops = terms.plan(&slots, ahead, waiting.len(), step.tight);
            if stops.waiting > plan.waiting {
                plan = Plan { by_stops: true, ..stops };
            }
        }
        if plan.waiting > 0 && self.may_wait(turn, plan.wait, round, now) {
            round.locality.claim(&turn.pool, &rack, step.reserved().times(plan.waiting as u64));
            self.begin_wait(key, &rack, &terms, plan, now);
            return plan;
        }
        if plan.waiting > 0 {
            self.end_wait(key, "overdue", now);
        } else if plan.now < waiting.len() {
            self.end_wait(key, self.blocked_cause(turn, &rack, &slots), now);
        }
        none
    }

    /// Returns whether a step may wait, or go on waiting, for `expected`.
    pub(super) fn may_wait(
        &self,
        turn: &Turn,
        expected: Duration,
        round: &Round,
        now: Time,
    ) -> bool {
        let Some(state) = self.locality.steps.get(turn.key) else { return true };
        let since = self.step_state(turn.key).and_then(|p| p.ready_since).unwrap_or(now);
        let must_start = || {
            let parts =
                self.jobs.get(&turn.key.job).into_iter().flat_map(|j| j.step_states.values());
            let runs = |t: &Task| matches!(t.placement, Placement::Assigned(_));
            round.underused.contains(&turn.pool) && !parts.flat_map(|p| &p.tasks).any(runs)
        };
        !state.wait_over
            && (now + expected <= since + MAX_UNDERUSED_WAIT || !must_start())
            && state.wait.is_none_or(|w| now < w.limit)
    }

    /// Records that tasks of a step wait for a rack.
    pub(super) fn begin_wait(
        &mut self,
        key: &StepKey,
        rack: &str,
        terms: &Terms,
        plan: Plan,
        now: Time,
    ) {
        let state = self.locality.steps.entry(*key).or_default();
        state.waiting = plan.waiting;
        let begun = state.wait.is_some();
        let wait = *state.wait.get_or_insert_with(|| Wait::begin(terms, plan.wait, now));
        self.locality.waiters.insert(*key);
        self.next_pause_end = self.next_pause_end.min(wait.limit);
        if !begun {
            let (expected_ms, limit_ms) = (millis(plan.wait), millis(wait.limit - now));
            let (run_ms, slack_ms) = (millis(terms.run), millis(terms.slack));
            log::info!(target: "shard", did = "rack_wait", job:% = key.job, step:% = key, rack, tasks = plan.waiting, expected_ms, limit_ms, run_ms, slack_ms; "Tasks wait for room on a rack.");
        }
    }

    /// Ends the wait of a step, if it waits. After any end other than `near`, the step does not wait
    /// again.
    pub(super) fn end_wait(&mut self, key: &StepKey, outcome: &'static str, now: Time) {
        let Some(state) = self.locality.steps.get_mut(key) else { return };
        state.waiting = 0;
        let Some(wait) = state.wait.take() else { return };
        self.locality.waiters.remove(key);
        state.wait_over = outcome != "near";
        if matches!(outcome, "near" | "overdue" | "crowded") {
            self.locality.wait_error.record(&wait, now);
        }
        let (took, expected_ms) = (now - wait.since, millis(wait.expected));
        *self.stats.rack_waits.entry(outcome).or_default() += 1;
        self.stats.rack_wait_time += took;
        log::info!(target: "shard", did = "rack_wait_end", job:% = key.job, step:% = key, outcome, waited_ms = millis(took), expected_ms; "Wait for a rack has ended.");
    }

    /// Returns why a step can no longer expect room on its rack in time.
    fn blocked_cause(&self, turn: &Turn, rack: &str, slots: &[Duration]) -> &'static str {
        if !slots.is_empty() {
            return "crowded";
        }
        let all = self.pools.get(&turn.pool).into_iter().flatten();
        let on_rack: Vec<_> = all.filter(|n| self.is_on_rack(**n, rack)).collect();
        let leaves = |n: &&WorkerNo| {
            self.workers[n.0].is_draining() || self.workers[n.0].leaves_at.is_some()
        };
        match () {
            () if on_rack.is_empty() => "lost",
            () if on_rack.iter().all(leaves) => "drained",
            () if !on_rack.iter().any(|n| turn.usable.contains(n)) => "lost",
            () => "crowded",
        }
    }

    /// Returns the rack on which the tasks of a step should start, if there is one.
    fn target_rack(
        &mut self,
        turn: &Turn,
        valid: &[Room],
        round: &mut Round,
        now: Time,
    ) -> Option<Box<str>> {
        if let Some(near) = &turn.step.near {
            return Some(near.as_str().into());
        }
        if let Some(home) = self.locality.steps.get(turn.key).and_then(|s| s.home.clone()) {
            return Some(home);
        }
        let placed = self.step_state(turn.key)?.tasks.iter().find_map(|t| match t.placement {
            Placement::Assigned(no) => self.workers[no.0].list_entry.as_ref(),
            _ => None,
        });
        let home = match placed {
            Some(listed) => Some(listed.rack().into()),
            None => self.choose_home(turn, valid, round, now),
        };
        self.locality.steps.entry(*turn.key).or_default().home.clone_from(&home);
        home
    }

    /// Chooses the rack that the tasks of a `tight` step should share: the one with room for all of
    /// them and the least room beyond, or else the one that has room for the last of them first.
    fn choose_home(
        &self,
        turn: &Turn,
        valid: &[Room],
        round: &mut Round,
        now: Time,
    ) -> Option<Box<str>> {
        let (size, count) = (turn.step.reserved(), turn.waiting.len());
        let mut racks: BTreeMap<&str, u64> = BTreeMap::new();
        for room in valid {
            let rack = self.workers[room.index].list_entry.as_ref()?.rack();
            let apart = turn.step.apart;
            let most = if apart > 0 { apart.saturating_sub(room.same_step) } else { u32::MAX };
            *racks.entry(rack).or_default() +=
                size.count(&room.free).min(most.min(room.max_new).into());
        }
        let fitting = racks.iter().filter(|r| *r.1 >= count as u64).min_by_key(|r| r.1);
        if let Some((rack, _)) = fitting {
            return Some((*rack).into());
        }
        let mut racks: Vec<(&str, u64)> = racks.into_iter().collect();
        racks.sort_by_key(|r| std::cmp::Reverse(r.1));
        let terms = self.terms(turn, self.setup.bounds.remote_factor, now)?;
        let mut last_wait = |rack: &str| {
            let slots = self.slot_waits(turn, rack, None, round, now);
            let ahead = self.tasks_ahead(turn, rack, round);
            let plan = terms.plan(&slots, ahead, count, true);
            (plan.waiting > 0).then_some(plan.wait)
        };
        let compared = racks.iter().take(MAX_COMPARED_RACKS);
        let ends = compared.filter_map(|r| Some((last_wait(r.0)?, r.0)));
        ends.min().map(|(_, rack)| rack.into())
    }

    /// Prepares room for tasks that wait for a rack: stops less urgent runs there if that pays, and
    /// requests tickets of the workers that have room or will have it soon.
    pub(super) fn prepare_rack(
        &mut self,
        turn: &Turn,
        plan: Plan,
        stale: &[Room],
        round: &mut Round,
        now: Time,
    ) {
        let Turn { key, ref step, ref waiting, .. } = *turn;
        let near = step.near.as_ref().map(|r| r.as_str());
        let home = self.locality.steps.get(key).and_then(|s| s.home.as_deref());
        let Some(rack) = near.or(home) else { return };
        let workers = round.locality.rack_workers(&turn.pool, rack);
        let may = |no: &WorkerNo| turn.advice.is_none() || self.valid_until(key, *no).is_some();
        let requester = self.requester(turn, round, false, now);
        let workers = workers.into_iter().filter(may);
        let rooms = workers.filter_map(|no| self.open_room(turn, no, &requester, round, now));
        let good: Vec<Room> = rooms.collect();
        let (run, factor) = (self.run_time(turn), self.setup.bounds.remote_factor);
        let terms = Terms { run, factor, slack: Duration::ZERO };
        let otherwise = if plan.by_stops { terms.elsewhere() } else { plan.wait + run };
        if self.stop_pays(&terms, otherwise) {
            let tasks = &waiting[waiting.len() - plan.waiting..];
            let places = self.preempt(turn, tasks, &good, round, now);
            withhold(step, &places, round);
        }
        if let Some(cost) = turn.advice {
            let near = stale.iter().filter(|r| r.near).map(|r| WorkerNo(r.index));
            let mut wanted: Vec<WorkerNo> = near.collect();
            wanted.extend(self.freeing_workers(turn, &good, cost, round, now));
            wanted.sort_unstable();
            wanted.dedup();
            if !wanted.is_empty() {
                self.renew_tickets(key, &wanted, &turn.usable, cost, now);
            }
        }
    }

    /// Returns whether less urgent runs on a rack should be stopped for a task that would end after
    /// `otherwise` without that.
    fn stop_pays(&self, terms: &Terms, otherwise: Duration) -> bool {
        let bounds = &self.setup.bounds;
        let (stop, restore) = (bounds.stop_time, bounds.restore_time);
        terms.stop_pays(otherwise, stop, restore, bounds.checkpoint_interval)
    }

    /// Returns the steps that wait for a rack.
    pub(super) fn rack_waiters(&self) -> impl Iterator<Item = &StepKey> {
        self.locality.waiters.iter()
    }

    /// Counts tasks that found no room, which take room from the steps that follow in the order.
    pub(super) fn add_unplaced(&self, turn: &Turn, count: usize, round: &mut Round) {
        if self.locality.active {
            round.locality.add_unplaced(&turn.pool, turn.step.reserved().times(count as u64));
        }
    }

    /// Records on which racks tasks of a step start, and what waits for the rack gained.
    pub(super) fn record_rack_starts(
        &mut self,
        turn: &Turn,
        chosen: &[(u32, WorkerNo)],
        now: Time,
    ) {
        let Turn { key, ref step, .. } = *turn;
        if chosen.is_empty() || !self.seeks_rack(step) {
            return;
        }
        self.locality.active = true;
        let factor = self.setup.bounds.remote_factor;
        let home = self.locality.steps.get(key).and_then(|s| s.home.clone());
        let rack = step.near.as_ref().map(|r| Box::from(r.as_str())).or(home);
        let Some(part) = self.step_state(key) else { return };
        let started = |(index, no): &(u32, WorkerNo)| {
            part.tasks[*index as usize].placement == Placement::Assigned(*no)
        };
        let group = step.gang.then(|| self.gang_factor(step, chosen));
        let on_rack = |no| match group {
            Some(slowdown) => slowdown <= 1.0,
            None => rack.as_ref().is_some_and(|r| self.is_on_rack(no, r)),
        };
        let started = chosen.iter().filter(|c| started(c));
        type Starts<'a> = Vec<&'a (u32, WorkerNo)>;
        let (near, far): (Starts, Starts) = started.partition(|c| on_rack(c.1));
        let all_started = part.waiting_count == 0;
        let gain = self.run_time(turn).mul_f64(factor - 1.0);
        let state = self.locality.steps.entry(*key).or_default();
        let plain = if step.tight && !far.is_empty() { factor } else { 1.0 };
        state.slowdown = Some(group.unwrap_or(plain.max(state.slowdown.unwrap_or(1.0))));
        let waited = state.wait.map(|w| now - w.since);
        if let Some(took) = waited {
            state.waited.extend(near.iter().map(|c| (c.0, took)));
            let each = gain.saturating_sub(took).as_secs_f64();
            self.stats.rack_gain.expected += Duration::from_secs_f64(each * near.len() as f64);
        }
        if all_started {
            self.end_wait(key, if far.is_empty() { "near" } else { "elsewhere" }, now);
        }
    }

    /// Returns how many times as long as on its rack a task of a step takes on a worker.
    fn slowdown(&self, key: &StepKey, step: &Step, no: WorkerNo) -> f64 {
        let far =
            !step.gang && step.near.as_ref().is_some_and(|r| !self.is_on_rack(no, r.as_str()));
        let group = self.locality.steps.get(key).and_then(|s| s.slowdown).unwrap_or(1.0);
        group * if far { self.setup.bounds.remote_factor.max(1.0) } else { 1.0 }
    }

    /// Learns from a run that did all of a task's work, and compares it with a run elsewhere if its
    /// task had waited for the rack.
    pub(super) fn record_run_time(&mut self, no: WorkerNo, end: &EndedRun, run: &Run, now: Time) {
        let key = end.task.step;
        if !self.locality.active {
            return;
        }
        let Some(job) = self.jobs.get(&key.job) else { return };
        let Some(step) = job.step(&key).filter(|s| !s.lasts && !s.fills) else { return };
        let whole = run.progress_percent.0 == 0 && run.pace == Some(FULL_PACE_PERCENT);
        if end.reason != EndReason::Done || !whole || run.adopted {
            return;
        }
        let took = now - run.started_at;
        let slowdown = self.slowdown(&key, step, no);
        let near = took.div_f64(slowdown);
        self.locality.run_times.record(&job.queue, run.estimate, near);
        let state = self.locality.steps.get_mut(&key);
        let Some(waited) = state.and_then(|s| s.waited.remove(&end.task.index)) else { return };
        let (here, elsewhere) = (waited + took, near.mul_f64(self.setup.bounds.remote_factor));
        self.stats.rack_gain.gained += elsewhere.saturating_sub(here);
        self.stats.rack_gain.lost += here.saturating_sub(elsewhere);
    }

    /// Ends the waits of steps that are no longer ready, and removes the state of steps whose jobs
    /// have ended.
    pub(super) fn clean_rack_steps(&mut self, now: Time) {
        if self.locality.steps.is_empty() || self.locality.next_cleanup > now {
            return;
        }
        self.locality.next_cleanup = now + CLEANUP_INTERVAL;
        let over: Vec<StepKey> =
            self.rack_waiters().filter(|k| !self.ranks.contains_key(k)).copied().collect();
        over.iter().for_each(|key| self.end_wait(key, "cancelled", now));
        let jobs = &self.jobs;
        self.locality.steps.retain(|k, _| jobs.contains_key(&k.job));
    }
}
