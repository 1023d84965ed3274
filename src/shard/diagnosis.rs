//! Diagnosis: finds out why a waiting step does not start. It takes no scheduling decisions.
//!
//! The diagnosis rehearses the next round with the round's own functions: whatever the steps that
//! come earlier would take or withhold is not available to the step in question.

use {
    crate::{
        decide::{fit::Room, gather::call_size, health::Verdict, lanes::LONG_CALL},
        shard::{
            advice::{MAX_NAMED_WORKERS, MAX_RENEWED_WORKERS},
            cause::{AbsentStep, Cause, Exclusion, Sight},
            dispatch::{MAX_ROUND_STEPS, choose_workers, withhold},
            jobs::{Placement, StepState},
            round::{Round, Turn},
            state_machine::Shard,
            workers::{RunPhase, WorkerNo},
        },
        time::Time,
        work::{StepKey, TaskKey},
    },
    rustc_hash::FxHashSet,
    std::{cmp::Reverse, collections::BTreeMap, time::Duration},
};

/// The minimum time without a run after which a long-running task counts as away. Most tasks run
/// again by then, and a third of the maximum permitted time remains.
const MIN_AWAY_TIME: Duration = Duration::from_secs(2);
/// The maximum number of steps that are diagnosed; those that have been away longest come first.
/// It exceeds the number of steps that a round examines.
const MAX_DIAGNOSED_STEPS: usize = 500;

impl Shard {
    /// Returns the long-running steps that have tasks away, longest first, each with its cause.
    pub fn absences(&self, now: Time) -> Vec<AbsentStep> {
        let mut all = vec![];
        for (no, job) in self.jobs.iter().filter(|(_, j)| !j.state.is_final()) {
            let lasts = |s: u16| job.job.steps.get(usize::from(s)).is_some_and(|s| s.lasts);
            for ((time, step), step_state) in job.step_states.iter().filter(|p| lasts(p.0.1)) {
                let key = StepKey { job: *no, time: *time, step: *step };
                all.extend(self.find_away_tasks(key, step_state, now));
            }
        }
        all.sort_unstable_by_key(|a| (Reverse(a.absence_time), a.key));
        let waiting = all.iter().filter(|a| a.waiting_count > 0).take(MAX_DIAGNOSED_STEPS);
        let keys: FxHashSet<StepKey> = waiting.map(|a| a.key).collect();
        let mut sights = match keys.is_empty() {
            true => BTreeMap::new(),
            false => self.diagnose_steps(&keys, now),
        };
        for away in &mut all {
            away.class = self.ranks.get(&away.key).map_or(0, |r| r.class());
            if let Some((behind, sight)) = sights.remove(&away.key) {
                (away.preceding_count, away.cause, away.sight) = (behind, sight.cause(), sight);
            }
        }
        all
    }

    /// Returns the tasks of a long-running step that are away, if any. The caller fills in why the
    /// waiting tasks wait.
    fn find_away_tasks(
        &self,
        key: StepKey,
        step_state: &StepState,
        now: Time,
    ) -> Option<AbsentStep> {
        let ready = self.ranks.contains_key(&key);
        let (mut waiting, mut held) = (vec![], vec![]);
        for (index, task) in (0..).zip(&step_state.tasks) {
            let since = task.ended_at.or(step_state.ready_since);
            match task.placement {
                Placement::Waiting if ready => waiting.extend(since.map(|t| (t, index))),
                Placement::Assigned(no) => {
                    let task = TaskKey { step: key, index };
                    let lost = self.unseen_since(no, &task, since.unwrap_or(now));
                    held.extend(
                        lost.filter(|l| l.0 + MIN_AWAY_TIME <= now).map(|l| (l.0, index, l.1)),
                    );
                }
                _ => {}
            }
        }
        held.sort_unstable();
        let first = waiting.iter().min().filter(|w| w.0 + MIN_AWAY_TIME <= now);
        let (since, first, cause) = match (first, held.first()) {
            (Some((since, index)), _) => (*since, *index, Cause::Turn),
            (None, Some(first)) => *first,
            (None, None) => return None,
        };
        let sight = Sight {
            listed: now - self.reported.listed_at,
            unsettled: self.unsettled_workers.len(),
            ..Sight::default()
        };
        let (tasks, held) = (waiting.len(), held.len());
        Some(AbsentStep {
            key,
            waiting_count: tasks,
            unseen_count: held,
            oldest_index: first,
            absence_time: now - since,
            class: 0,
            preceding_count: 0,
            cause,
            sight,
        })
    }

    /// Returns the time since which a task has not been seen running on its assigned worker, and
    /// the cause.
    fn unseen_since(&self, no: WorkerNo, task: &TaskKey, since: Time) -> Option<(Time, Cause)> {
        let worker = &self.workers[no.0];
        let run = worker.runs.get(task)?;
        match run.phase {
            RunPhase::Starting | RunPhase::Unsure => Some((since, Cause::Start)),
            RunPhase::Stopping if !run.was_seen => Some((since, Cause::Stop)),
            _ if worker.unanswered_calls > 0 => worker.last_answer.map(|h| (h, Cause::Silent)),
            _ => None,
        }
    }

    /// Returns, for each of these steps, the number of steps before it and the facts that decide
    /// when its tasks start.
    pub(super) fn diagnose_steps(
        &self,
        keys: &FxHashSet<StepKey>,
        now: Time,
    ) -> BTreeMap<StepKey, (usize, Sight)> {
        let mut round = self.read_round(now);
        let starving = self.starving_steps(&round, now);
        let mut order = self.round_steps(&starving);
        let look = order.len();
        let seen: FxHashSet<StepKey> = order.iter().copied().collect();
        order.extend(
            self.ready.iter().skip(MAX_ROUND_STEPS).map(|r| r.1).filter(|k| !seen.contains(k)),
        );
        round.starving_steps = starving;
        order.iter().take(look).for_each(|key| self.add_demand(key, 1, &mut round));
        let mut sights = BTreeMap::new();
        for (behind, key) in order.iter().enumerate() {
            if keys.contains(key) {
                let mut sight = self.diagnose_step(key, &round, now);
                if behind >= look {
                    sight.gate = sight.gate.or(Some(Cause::Order));
                }
                sights.insert(*key, (behind, sight));
            }
            if sights.len() == keys.len() {
                break;
            }
            if behind < look {
                self.rehearse_step(key, &mut round, now);
            }
        }
        sights
    }

    /// Withholds from later steps whatever a step would take or withhold in the next round.
    fn rehearse_step(&self, key: &StepKey, round: &mut Round, now: Time) {
        if !self.is_sole_starter(&key.job) || self.is_cap_blocked(key) {
            return;
        }
        let Some(turn) = self.turn(key, round, now) else { return };
        if turn.advice.is_some()
            && self.step_state(key).is_none_or(|p| p.tickets.eligible.is_empty())
        {
            return;
        }
        self.add_demand(key, -1, round);
        if turn.step.gang {
            return round.end_turn(
                key,
                self.reservations.get(key).cloned(),
                self.reservations.get(key),
            );
        }
        let (mut valid, mut stale) = self.rooms(&turn, round, now);
        let mut places = choose_workers(&turn.step, &turn.waiting, &mut valid);
        places.extend(choose_workers(&turn.step, &turn.waiting[places.len()..], &mut stale));
        withhold(&turn.step, &places, round);
    }

    /// Collects the facts that decide when a step's tasks start.
    fn diagnose_step(&self, key: &StepKey, round: &Round, now: Time) -> Sight {
        let mut sight = Sight {
            wanted: 1,
            lanes: (self.lanes.idle_count(), self.lanes.len()),
            round: self.next_round > now,
            listed: now - self.reported.listed_at,
            unsettled: self.unsettled_workers.len(),
            ..Sight::default()
        };
        let (Some(turn), Some(step_state)) = (self.turn(key, round, now), self.step_state(key))
        else {
            let queue = self.jobs.get(&key.job).and_then(|j| self.queue_configs.get(&j.queue));
            sight.gate = Some(if queue.is_some() { Cause::Pool } else { Cause::Queue });
            return sight;
        };
        if turn.step.gang {
            sight.wanted = turn.step.count.into();
        }
        sight.gate = self.blocking_cause(&turn, now);
        let tickets = &step_state.tickets;
        sight.asked = tickets.asked_workers.len();
        sight.calls = tickets.call_times.len();
        sight.oldest = tickets.call_times.iter().min().map(|t| now - *t);
        sight.heard = tickets.answered_at.map(|t| now - t);
        sight.failed = tickets.next_call > now;
        self.count_pool(&mut sight, &turn, round, now);
        self.count_eligible(&mut sight, &turn, round, now);
        sight.member = self.member_is_free(&sight, &turn, now);
        sight
    }

    /// Returns the cause that delays a step regardless of the workers, if any.
    fn blocking_cause(&self, turn: &Turn, now: Time) -> Option<Cause> {
        let stray = |i: &u32| self.stray_tasks.contains(&TaskKey { step: *turn.key, index: *i });
        let strays = turn.waiting.iter().filter(|i| stray(i)).count();
        let old = self.jobs.get(&turn.key.job).is_some_and(|j| j.inherited);
        match () {
            () if !self.may_act(now) => Some(Cause::Lease),
            () if !self.knows_cancels(now) => Some(Cause::Inbox),
            () if !self.is_sole_starter(&turn.key.job) => {
                Some(if old { Cause::Unsettled } else { Cause::Lease })
            }
            () if strays > 0 && (turn.step.gang || strays == turn.waiting.len()) => {
                Some(Cause::Stray)
            }
            () if self.is_cap_blocked(turn.key) => Some(Cause::Cap),
            () if self.reservations.contains_key(turn.key) => Some(Cause::Gathers),
            () => None,
        }
    }

    /// Counts the workers of a step's pool.
    fn count_pool(&self, sight: &mut Sight, turn: &Turn, round: &Round, now: Time) {
        let Turn { key, ref step, ref pool, .. } = *turn;
        let usable: FxHashSet<WorkerNo> = turn.usable.iter().copied().collect();
        let Some(step_state) = self.step_state(key) else { return };
        let size = step.reserved();
        for no in self.pools.get(pool).into_iter().flatten() {
            sight.all += 1;
            if let Some(bar) = self.exclusion(*no, &usable, step.lasts, now) {
                *sight.out.entry(bar).or_default() += 1;
                continue;
            }
            sight.usable += 1;
            if turn.advice.is_some() && !step_state.tickets.asked_workers.contains(no) {
                sight.unasked += 1;
                let room = self.room(*no, key, step, now);
                let left = room.map(|r| r.free.saturating_sub(&round.all_withheld(*no)));
                sight.roomy += usize::from(left.is_some_and(|l| size.fits(&l)));
            }
        }
    }

    /// Counts the workers that may run a step.
    fn count_eligible(&self, sight: &mut Sight, turn: &Turn, round: &Round, now: Time) {
        let Turn { key, ref step, ref pool, .. } = *turn;
        let usable: FxHashSet<WorkerNo> = turn.usable.iter().copied().collect();
        let Some(step_state) = self.step_state(key) else { return };
        let (size, most) = (step.reserved(), u64::from(step.apart));
        let slots = |n: u64, same: u32| match most {
            0 => n,
            most => n.min(most.saturating_sub(same.into())),
        };
        let (valid, stale) = self.rooms(turn, round, now);
        let requester = self.requester(turn, round, !self.reservations.contains_key(key), now);
        let good: Vec<WorkerNo> = match turn.advice {
            Some(_) => step_state.tickets.eligible.keys().copied().collect(),
            None => self.pools.get(pool).cloned().unwrap_or_default(),
        };
        for no in good {
            sight.good += 1;
            let bar = self.exclusion(no, &usable, step.lasts, now);
            sight.barred += usize::from(bar.is_some());
            let room = self.room(no, key, step, now);
            let Some(room) = room.filter(|r| size.fits(&r.total)) else {
                match bar {
                    Some(bar) => *sight.bars.entry(bar).or_default() += 1,
                    None => sight.unfit += 1,
                }
                continue;
            };
            sight.empty = sight.empty.saturating_add(slots(size.count(&room.total), 0));
            let bound = most > 0 && u64::from(room.same_step) >= most;
            if let Some(bar) = bar {
                if !bound && size.fits(&room.free) {
                    *sight.bars.entry(bar).or_default() += 1;
                }
                continue;
            }
            let found = |all: &[Room]| {
                all.iter()
                    .find(|r| r.index == no.0)
                    .map(|r| slots(size.count(&r.free), r.same_step))
            };
            match () {
                () if bound => sight.bound += 1,
                () if !size.fits(&room.free) => sight.full += 1,
                () => match (found(&valid), found(&stale)) {
                    (Some(n), _) => {
                        sight.valid += 1;
                        let (now, all) = sight.slots;
                        sight.slots = (now.saturating_add(n), all.saturating_add(n));
                    }
                    (None, Some(n)) => {
                        sight.old += 1;
                        sight.slots.1 = sight.slots.1.saturating_add(n);
                    }
                    (None, None) => {
                        let gangs =
                            round.unavailable(no, &requester).saturating_sub(&round.withheld(no));
                        match size.fits(&room.free.saturating_sub(&gangs)) {
                            true => sight.before += 1,
                            false => sight.gangs += 1,
                        }
                    }
                },
            }
        }
    }

    /// Returns why a worker may receive no start orders, or `None` if it may.
    fn exclusion(
        &self,
        no: WorkerNo,
        usable: &FxHashSet<WorkerNo>,
        lasts: bool,
        now: Time,
    ) -> Option<Exclusion> {
        let w = &self.workers[no.0];
        let held = matches!(w.health.verdict(now), Verdict::Quarantined { .. });
        match () {
            () if w.gone || !w.is_listed() => Some(Exclusion::Unlisted),
            () if !w.fenced => Some(Exclusion::Unfenced),
            () if !w.rostered => Some(Exclusion::Unrostered),
            () if w.leaves_at.is_some() => Some(Exclusion::Leaving),
            () if w.is_draining() => Some(Exclusion::Closing),
            () if w.unanswered_calls > 0 => Some(Exclusion::Silent),
            () if w.unsized_runs > 0 => Some(Exclusion::Blind),
            () if w.paused_until > now => Some(Exclusion::Unwell),
            () if !usable.contains(&no) => Some(Exclusion::Quarantined),
            () if held && !w.health.allows_start(lasts, now) => Some(Exclusion::Unproven),
            () => None,
        }
    }

    /// Returns whether a member is free to make the advice call that a step would need.
    fn member_is_free(&self, sight: &Sight, turn: &Turn, now: Time) -> bool {
        let Some(cost) = turn.advice else { return true };
        let chunk = call_size(cost.base, cost.each);
        let named = match () {
            () if sight.good == 0 || turn.step.gang => sight.unasked.min(chunk),
            () if turn.step.lasts && sight.old > 0 => sight.old.min(chunk),
            () if turn.step.lasts => sight.unasked.min(chunk),
            () if sight.old > 0 => (sight.old + sight.unasked).min(MAX_RENEWED_WORKERS),
            () => sight.unasked.min(MAX_NAMED_WORKERS),
        };
        let takes = cost.base + cost.each * u32::try_from(named).unwrap_or(u32::MAX);
        let shares = takes > LONG_CALL && !turn.step.lasts && !self.lanes.has_spare_lane(now);
        let roomy = turn.step.gang || sight.old > 0 || sight.roomy > 0;
        if shares && !self.advice_turns.may_call(&turn.pool, roomy, now) {
            return false;
        }
        let due = self.ranks.get(turn.key).map_or(0, |r| r.due_ms());
        let left = Duration::from_millis(due.saturating_sub(self.unix_ms(now)));
        self.lanes.clone().pick(takes, now + left, now).is_some()
    }
}
