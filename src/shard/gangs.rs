//! Starts gangs: either all members start together or none does.
//!
//! Load: wide gangs compete with small tasks that take each bit of room as it becomes free, and few
//! workers may run a gang. A gang is assigned its workers once and keeps them until it starts
//! ([`crate::decide::gather`]). Runs on these workers end or are stopped, and missing tickets are
//! requested in parallel so that they are valid when the room is free.

use {
    crate::{
        decide::gather::{
            self, MAX_KEEP_TIME, MAX_RESERVED_DIVISOR, MAX_RESERVED_LATE_DIVISOR,
            MIN_CAPACITY_RATIO, Offer, Placement, earliest_end, soonest_placement,
        },
        shard::{
            advice::chunk_duration,
            preempt::MIN_ROOM_WAIT,
            reservation::GangReservation,
            round::{Round, Turn},
            state_machine::Shard,
            workers::{Run, RunPhase, WorkerNo, millis},
        },
        time::Time,
        units::Size,
        work::{StepKey, TaskKey},
    },
    std::time::Duration,
};

/// The overhead of an advice call beyond its expected duration, plus the time to start the gang
/// afterwards.
const ADVICE_CALL_OVERHEAD: Duration = Duration::from_millis(150);
/// The minimum interval between two searches for workers for the same gang, which leaves searches
/// for the other gangs.
const GANG_SEARCH_INTERVAL: Duration = Duration::from_millis(100);
/// The minimum interval between two checks of the room reserved for a gang. A gang that can start
/// does not wait for the next check.
const RESERVATION_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// The minimum remaining time that is assumed for a run that should already be over.
pub(super) const MIN_REMAINING_TIME: Duration = Duration::from_millis(50);

impl Shard {
    /// Starts a gang if there is room for all members now; otherwise reserves room for it.
    pub(super) fn place_gang(&mut self, turn: &Turn, round: &mut Round, now: Time) {
        let Turn { key, ref waiting, .. } = *turn;
        let valid = self.rooms(turn, round, now).0;
        let chosen = self.choose_gang_workers(turn, valid);
        let complete = chosen.len() == waiting.len();
        if complete && !self.gang_waits(turn, &chosen, round, now) {
            return self.start_gang(turn, &chosen, now);
        }
        let overdue = |r: &GangReservation| r.since + MAX_KEEP_TIME <= now;
        if self.reservations.get(key).is_some_and(overdue) {
            log::info!(target: "shard", did = "released", job:% = key.job, step:% = key, cause = "too long"; "Reservation is released.");
            self.reservations.remove(key);
        }
        // Workers on which advice has arrived since the reservation may have room sooner.
        let may_search = self.step_state(key).is_some_and(|p| p.next_gang_search <= now);
        let distant = |r: &GangReservation| may_search && r.ready_at > now + gather::MAX_NEAR_WAIT;
        if round.underused.contains(&turn.pool) && self.reservations.get(key).is_some_and(distant) {
            self.reservations.remove(key);
        }
        let checked = self.reservations.get(key).map(|r| r.checked_at);
        if checked.is_some_and(|t| t + RESERVATION_CHECK_INTERVAL > now) {
            return;
        }
        if checked.is_some() || self.reserve_room(turn, round, now) {
            self.check_reservation(turn, round, now);
        } else if complete {
            self.end_wait(key, "crowded", now);
            self.start_gang(turn, &chosen, now);
        }
    }

    fn start_gang(&mut self, turn: &Turn, chosen: &[(u32, WorkerNo)], now: Time) {
        self.reservations.remove(turn.key);
        self.start_tasks(turn.key, &turn.step, chosen, now);
        self.record_rack_starts(turn, chosen, now);
    }

    /// Reserves the workers on which the gang has room soonest; returns whether room was reserved.
    fn reserve_room(&mut self, turn: &Turn, round: &mut Round, now: Time) -> bool {
        let Turn { key, ref step, .. } = *turn;
        if self.step_state(key).is_none_or(|p| p.next_gang_search > now)
            || !round.try_deep_search(false)
        {
            return false;
        }
        let part = self.jobs.get_mut(&key.job).and_then(|j| j.step_state_mut(key.time, key.step));
        if let Some(part) = part {
            part.next_gang_search = now + GANG_SEARCH_INTERVAL;
        }
        let Some(places) = self.best_places(turn, round, now) else {
            // If the permitted workers are merely busy, requesting advice on more workers would
            // take advice calls from other steps.
            let too_few = self.eventual_slots(turn) < u64::from(step.count) * MIN_CAPACITY_RATIO;
            if too_few || round.underused.contains(&turn.pool) {
                self.ask_for_missing(turn, round, now);
            }
            return false;
        };
        let size = step.reserved();
        let far = now + gather::MAX_NEAR_WAIT;
        // In a pool with spare room, other workers may have room at once.
        if places.available_at > far && round.underused.contains(&turn.pool) {
            self.ask_for_missing(turn, round, now);
        }
        let far_count = self.reservations.values().filter(|r| r.ready_at > far).count();
        if places.available_at > far
            && far_count >= gather::MAX_FAR_GANGS
            && !round.starving_steps.contains(key)
        {
            return false;
        }
        if !self.may_reserve(turn, round, size.times(step.count.into())) {
            return false;
        }
        let (workers, in_ms) = (places.member_counts.len(), millis(places.available_at - now));
        log::debug!(target: "shard", did = "reserved", job:% = key.job, step:% = key, workers, in_ms; "Room is reserved for a gang.");
        let priority = turn.priority;
        self.reservations.insert(
            *key,
            GangReservation {
                members: places.member_counts,
                size,
                priority,
                since: now,
                ready_at: places.available_at,
                checked_at: now,
            },
        );
        true
    }

    /// Returns whether another `more` of the pool's resources may be reserved.
    ///
    /// Prevents several gangs that arrive together from leaving a pool idle: each would reserve
    /// room that it cannot use yet.
    fn may_reserve(&self, turn: &Turn, round: &Round, more: Size) -> bool {
        let quiet = round.underused.contains(&turn.pool);
        let late = self.ranks.get(turn.key).is_none_or(|r| r.class() > 0);
        let first =
            quiet || round.starving_steps.contains(turn.key) || self.reservations.is_empty();
        let part = if late { MAX_RESERVED_LATE_DIVISOR } else { MAX_RESERVED_DIVISOR };
        let room = turn.usable.iter().filter_map(|n| self.workers[n.0].list_entry.as_ref());
        let total = room.fold(Size::default(), |sum, l| sum + l.capacity);
        let kept = self.reservations.values().fold(Size::default(), |sum, r| {
            let members = r.members.iter().map(|e| u64::from(e.1)).sum();
            sum + r.size.times(members)
        });
        first || (kept + more).times(part).fits(&total)
    }

    /// Returns the workers on which a gang has room soonest or, if its run time depends on the racks,
    /// ends soonest.
    pub(super) fn best_places(
        &self,
        turn: &Turn,
        round: &Round,
        now: Time,
    ) -> Option<Placement<WorkerNo>> {
        let offers = self.room_offers(turn, round, now);
        if !self.seeks_rack(&turn.step) {
            return soonest_placement(offers, turn.step.count);
        }
        let mut racks: Vec<&str> = vec![];
        let with_rack = |offer: Offer<WorkerNo>| {
            let rack = self.rack_of(offer.worker);
            let at = racks.iter().position(|r| *r == rack).unwrap_or_else(|| {
                racks.push(rack);
                racks.len() - 1
            });
            (at, offer)
        };
        let offers = offers.into_iter().map(with_rack).collect();
        let run = self.run_time(turn);
        earliest_end(offers, turn.step.count, |rack| {
            run.mul_f64(self.rack_factor(&turn.step, rack.map(|at| racks[at])))
        })
    }

    /// Returns, for each worker that may run the step, the times at which it gains room for more
    /// members.
    fn room_offers(&self, turn: &Turn, round: &Round, now: Time) -> Vec<Offer<WorkerNo>> {
        let Turn { key, ref step, .. } = *turn;
        let size = step.reserved();
        // If stops are weighed, the workers are chosen by the ends of runs alone.
        let stops = !self.weighs_stop_cost() && self.may_preempt_for(key, now);
        let stops = stops.then_some(turn.priority);
        let asker = self.requester(turn, round, false, now);
        let mut offers = vec![];
        for no in self.permitted_workers(turn) {
            let Some(listed) = &self.workers[no.0].list_entry else { continue };
            if step.needs.as_ref().is_some_and(|label| !listed.has_label(label)) {
                continue;
            }
            let claims = round.unavailable(no, &asker);
            let most = if step.apart > 0 { step.apart.into() } else { u64::MAX };
            let mut free = self.workers[no.0].free();
            let mut known = 0;
            let mut offer = |at: Time, free: &Size| {
                let slots = size.count(&free.saturating_sub(&claims)).min(most);
                if slots > known {
                    let more = u32::try_from(slots - known).unwrap_or(u32::MAX);
                    offers.push(Offer { worker: no, available_at: at, slots: more });
                    known = slots;
                }
            };
            offer(now, &free);
            for (at, freed) in self.expected_releases(no, stops, now) {
                free += freed;
                offer(at, &free);
            }
        }
        offers
    }

    /// Returns the workers that may run a step and may receive starts.
    pub(super) fn permitted_workers(&self, turn: &Turn) -> Vec<WorkerNo> {
        let part = self.step_state(turn.key);
        let may = |n: &WorkerNo| {
            turn.advice.is_none() || part.is_some_and(|p| p.tickets.eligible.contains_key(n))
        };
        turn.usable.iter().copied().filter(may).collect()
    }

    /// Returns the times at which runs of a worker are expected to end, with the room that each
    /// frees. If `stops` is given, includes runs that may be stopped for work of that priority.
    pub(super) fn expected_releases(
        &self,
        no: WorkerNo,
        stops: Option<u8>,
        now: Time,
    ) -> Vec<(Time, Size)> {
        let stopped = now + self.setup.bounds.stop_time;
        let leaves = |(task, run): (&TaskKey, &Run)| {
            let by_itself = match run.phase {
                RunPhase::Stopping => {
                    Some((run.sent_at + self.setup.bounds.stop_time).max(now + MIN_REMAINING_TIME))
                }
                _ if self.is_long_running(task) => None,
                _ => Some(super::prefetch::expected_end(run, now).max(now + MIN_REMAINING_TIME)),
            };
            let may = run.phase == RunPhase::Running
                && stops.is_some_and(|p| run.preempt_priority.is_some_and(|y| y > p));
            let at = match by_itself {
                Some(at) if may => Some(at.min(stopped)),
                None if may => Some(stopped),
                at => at,
            };
            at.map(|at| (at, run.size))
        };
        let mut all: Vec<_> = self.workers[no.0].runs.iter().filter_map(leaves).collect();
        all.sort_unstable_by_key(|f| f.0);
        all
    }

    /// Returns the free room that a worker will have at the time `by`. If `stops` is given,
    /// includes runs that may be stopped for work of that priority.
    pub(super) fn free_by(&self, no: WorkerNo, stops: Option<u8>, by: Time, now: Time) -> Size {
        let worker = &self.workers[no.0];
        let leaves = |task: &TaskKey, run: &Run| match run.phase {
            RunPhase::Stopping => true,
            RunPhase::Running
                if stops.is_some_and(|p| run.preempt_priority.is_some_and(|y| y > p)) =>
            {
                true
            }
            _ => super::prefetch::expected_end(run, now) <= by && !self.is_long_running(task),
        };
        let ending = worker.runs.iter().filter(|(t, r)| leaves(t, r));
        ending.fold(worker.free(), |sum, (_, r)| sum + r.size)
    }

    /// Returns the time at which a worker has room for `need` in addition to what is reserved for
    /// preceding steps.
    fn fit_time(
        &self,
        key: &StepKey,
        (no, need): (WorkerNo, Size),
        stops: Option<u8>,
        round: &Round,
        now: Time,
    ) -> Option<Time> {
        let wanted = need + round.withheld_before(no, key);
        let mut free = self.workers[no.0].free();
        if wanted.fits(&free) {
            return Some(now);
        }
        for (at, freed) in self.expected_releases(no, stops, now) {
            free += freed;
            if wanted.fits(&free) {
                return Some(at);
            }
        }
        None
    }

    /// Works towards the start of a gang with reserved room: stops less urgent runs if needed and
    /// renews tickets so that they are valid when the room is free.
    fn check_reservation(&mut self, turn: &Turn, round: &Round, now: Time) {
        let Turn { key, advice, .. } = *turn;
        let Some(reserve) = self.reservations.get(key).cloned() else { return };
        let good = self.permitted_workers(turn);
        if reserve.members.iter().any(|(no, _)| !good.contains(no)) {
            log::info!(target: "shard", did = "released", job:% = key.job, step:% = key, cause = "a worker is out of use"; "Reservation is released.");
            self.reservations.remove(key);
            return;
        }
        let fit_times = |stops| -> Option<Vec<Time>> {
            let each = reserve.members.iter();
            each.map(|(no, n)| {
                let need = reserve.size.times((*n).into());
                self.fit_time(key, (*no, need), stops, round, now)
            })
            .collect()
        };
        let last = |all: &Option<Vec<Time>>| all.as_ref().and_then(|a| a.iter().max().copied());
        let without_stops = fit_times(None);
        let mut at = last(&without_stops);
        if self.weighs_stop_cost() {
            at = self.preempt_for_gang(turn, &reserve, at, round, now).or(at);
        } else if at.is_none_or(|t| t > now + MIN_ROOM_WAIT) && self.may_preempt_for(key, now) {
            let with_stops = last(&fit_times(Some(reserve.priority)));
            let soon = now + self.setup.bounds.stop_time + MIN_ROOM_WAIT;
            if with_stops.is_some_and(|w| w <= soon && at.is_none_or(|t| w + MIN_ROOM_WAIT < t)) {
                at = with_stops;
                for (i, (no, n)) in reserve.members.iter().enumerate() {
                    if without_stops
                        .as_ref()
                        .is_none_or(|a| a[i] > now + self.setup.bounds.stop_time)
                    {
                        let need =
                            reserve.size.times((*n).into()) + round.withheld_before(*no, key);
                        self.preempt_at(*no, need, reserve.priority, now);
                    }
                }
            }
        }
        let Some(at) = at else {
            self.reservations.remove(key);
            return;
        };
        if let Some(reserve) = self.reservations.get_mut(key) {
            (reserve.ready_at, reserve.checked_at) = (at, now);
        }
        let Some(cost) = advice else { return };
        let duration = chunk_duration(cost);
        if at > now + duration + ADVICE_CALL_OVERHEAD {
            return;
        }
        let expired = |by: Time| -> Vec<WorkerNo> {
            let each = reserve.members.iter().map(|e| e.0);
            each.filter(|no| self.valid_until(key, *no).is_none_or(|until| until <= by)).collect()
        };
        if !expired(at).is_empty() {
            self.ask_parallel(
                key,
                expired(at.max(now + duration + ADVICE_CALL_OVERHEAD)),
                cost,
                now,
            );
        }
    }

    /// Stops as many less urgent runs of a worker as needed to free the resources `wanted`.
    fn preempt_at(&mut self, no: WorkerNo, wanted: Size, priority: u8, now: Time) {
        let worker = &self.workers[no.0];
        let soon = now + self.setup.bounds.stop_time;
        let (mut free, mut victims) = (worker.free(), vec![]);
        for (task, run) in &worker.runs {
            let ends = run.phase == RunPhase::Stopping
                || (!self.is_long_running(task) && super::prefetch::expected_end(run, now) <= soon);
            if ends {
                free += run.size;
            } else if run.phase == RunPhase::Running
                && run.preempt_priority.is_some_and(|y| y > priority)
            {
                victims.push((run.progress_percent.1, *task, run.size));
            }
        }
        // Runs with the least progress are stopped first, since the others end soon anyway.
        victims.sort_unstable_by_key(|v| (v.0, v.1));
        for (_, task, size) in victims {
            if wanted.fits(&free) {
                return;
            }
            free += size;
            let stop = self.unweighed_stop(no, &task, now);
            self.preempt_run(&stop, ("gang", "room for a gang"), now);
        }
    }

    /// Returns whether less urgent runs may be stopped for a step, which requires that the step
    /// could then meet its deadline.
    fn may_preempt_for(&self, key: &StepKey, now: Time) -> bool {
        let Some(job) = self.jobs.get(&key.job) else { return false };
        let left = job.chain_lengths.get(usize::from(key.step)).copied().unwrap_or_default();
        let begin = self.unix_ms(now + self.setup.bounds.stop_time);
        self.ranks
            .get(key)
            .is_some_and(|r| r.may_preempt() && begin.saturating_add(millis(left)) <= r.due_ms())
    }
}
