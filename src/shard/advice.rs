//! Advice calls: requests in time, and no more often than needed, advice on which workers may run a
//! step.
//!
//! The set of workers that may run a step never changes, but tickets are valid for about two
//! seconds and a call takes up to one second. A step's first call is therefore made while the
//! previous step still runs, and it names many workers, including some without room. Later calls
//! name only workers that have room now.

use {
    crate::{
        decide::{
            gather::call_size,
            lanes::{CALL_SLACK, LONG_CALL},
            rank::job_objective,
        },
        ids::Incarnation,
        ports::{Advice, AdviceCall, Fault},
        shard::{
            event::Order,
            jobs::Placement,
            round::{Round, Turn},
            state_machine::Shard,
            workers::WorkerNo,
        },
        time::Time,
        work::{AdviceCost, StepKey},
    },
    std::{cmp::Reverse, time::Duration},
};

/// The maximum number of workers that one call names.
pub(super) const MAX_NAMED_WORKERS: usize = 100;
/// The maximum number of workers that a call to renew tickets names.
pub(super) const MAX_RENEWED_WORKERS: usize = 10;
/// The minimum remaining validity of a ticket that may be used. It covers the transit of the advice
/// reply and of the start order.
const TICKET_MARGIN: Duration = Duration::from_millis(100);
/// The pause before a step's next advice call after a failed one.
const ADVICE_RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Returns the expected duration of a call that is one of several parallel ones.
pub(super) fn chunk_duration(cost: AdviceCost) -> Duration {
    let chunk = call_size(cost.base, cost.each);
    cost.base + cost.each * u32::try_from(chunk).unwrap_or(u32::MAX)
}

impl Shard {
    /// Requests advice on all workers that no earlier call of this step has named.
    pub(super) fn ask_unnamed(
        &mut self,
        key: &StepKey,
        usable: &[WorkerNo],
        cost: AdviceCost,
        now: Time,
    ) {
        if self.step_state(key).is_none_or(|p| p.tickets.is_pending()) {
            return;
        }
        let workers = self.unnamed_workers(key, usable, MAX_NAMED_WORKERS);
        self.order_call(key, workers, cost, now);
    }

    /// Requests advice for the tasks that would find no room on the workers already known to be
    /// permitted. Names the workers with the most room first, and no more workers than are needed.
    ///
    /// Guards against an owner that spends its CPU time preparing calls that cannot be made: after
    /// the loss of all members, thousands of steps wait for their first call, and each of them
    /// examines every worker.
    pub(super) fn ask_for_missing(&mut self, turn: &Turn, round: &mut Round, now: Time) {
        let (Some(cost), true) = (turn.advice, self.may_ask(turn, round, now)) else { return };
        let duration = chunk_duration(cost);
        let slots = |no| self.slots_by(turn, no, duration, round, now);
        let known: u32 = self.permitted_workers(turn).into_iter().map(slots).sum();
        let waiting = u32::try_from(turn.waiting.len()).unwrap_or(u32::MAX);
        self.ask_roomy(turn, waiting.saturating_sub(known), round, now);
    }

    /// Requests advice for the waiting tasks of a long-running step: renews these expired tickets,
    /// which `found` tasks could use now, and asks about other workers for the `missing` tasks for
    /// which no known worker has room.
    ///
    /// An unanswered call does not hold back a call about other workers while members are idle.
    /// Otherwise a lost call, or renewals for single tasks, would keep the step from learning of
    /// workers that have room.
    pub(super) fn ask_for_lasting(
        &mut self,
        turn: &Turn,
        stale: &[WorkerNo],
        (found, missing): (usize, usize),
        round: &mut Round,
        now: Time,
    ) {
        let (Some(cost), true) = (turn.advice, self.may_ask(turn, round, now)) else { return };
        let Some(part) = self.step_state(turn.key) else { return };
        let tickets = &part.tickets;
        let alone = !tickets.is_pending();
        let awaited = |n: &WorkerNo| tickets.pending_workers.contains(n);
        let size = turn.step.reserved();
        let has_room = |n: &WorkerNo| size.fits(&self.workers[n.0].free());
        let mut old: Vec<WorkerNo> = stale.iter().filter(|n| !awaited(n)).copied().collect();
        old.sort_by_key(|n| Reverse(self.workers[n.0].free().cores));
        if alone {
            old.truncate(found.max(MAX_RENEWED_WORKERS).min(call_size(cost.base, cost.each)));
        } else {
            let apart = turn.step.apart;
            let renewed = tickets.pending_workers.iter().filter(|n| {
                tickets.eligible.contains_key(n)
                    && has_room(n)
                    && (apart == 0 || self.task_count(**n, turn.key) < apart)
            });
            old.retain(has_room);
            old.truncate(found.saturating_sub(renewed.count()));
        }
        if !old.is_empty() {
            if alone && old.len() < MAX_RENEWED_WORKERS {
                let new = self.unnamed_by_room(turn, chunk_duration(cost), round, now);
                old.extend(new.iter().map(|n| n.1).take(MAX_RENEWED_WORKERS - old.len()));
            }
            self.order_call(turn.key, old, cost, now);
        }
        if missing > 0 && self.may_ask(turn, round, now) {
            self.ask_roomy(turn, u32::try_from(missing).unwrap_or(u32::MAX), round, now);
        }
    }

    /// Returns whether a step may make an advice call now. A long-running step may make one beside
    /// an unanswered one as long as a member stays free for other steps.
    fn may_ask(&self, turn: &Turn, round: &Round, now: Time) -> bool {
        let Some(part) = self.step_state(turn.key) else { return false };
        part.tickets.next_call <= now
            && !round.advice_blocked.contains(&turn.queue)
            && (!part.tickets.is_pending()
                || (turn.step.lasts && !turn.step.gang && self.lanes.has_spare_lane(now)))
    }

    /// Requests advice on workers that no call of this step has named, those with the most room
    /// first, and on no more than are needed for `missing` tasks.
    fn ask_roomy(&mut self, turn: &Turn, missing: u32, round: &mut Round, now: Time) {
        let (Some(cost), Some(part)) = (turn.advice, self.step_state(turn.key)) else { return };
        let duration = chunk_duration(cost);
        let new = self.unnamed_by_room(turn, duration, round, now);
        let tickets = &part.tickets;
        let awaited = tickets.pending_workers.difference(&tickets.asked_workers);
        let awaited = awaited.map(|n| self.slots_by(turn, *n, duration, round, now));
        let awaited: Vec<u32> = awaited.filter(|slots| *slots > 0).collect();
        let share = self.advice_shares.get(&turn.queue).copied().unwrap_or_default();
        let slots_each = awaited.iter().copied().chain(new.iter().map(|n| n.0));
        let enough = share.workers_to_ask(slots_each.take_while(|s| *s > 0), missing.max(1));
        let enough = enough.saturating_sub(awaited.len());
        let (beside, chunk) = (tickets.is_pending(), call_size(cost.base, cost.each));
        // Naming up to `call_size` workers adds little cost, and advice on workers without room is
        // useful later.
        let count = if beside && enough == 0 { 0 } else { enough.max(chunk) };
        let workers: Vec<WorkerNo> = new.into_iter().take(count).map(|n| n.1).collect();
        let calls = workers.len().div_ceil(chunk).max(1);
        for some in workers.chunks(workers.len().div_ceil(calls).max(1)) {
            if beside && !self.lanes.has_spare_lane(now) {
                return;
            }
            if !self.order_call(turn.key, some.to_vec(), cost, now) {
                round.advice_blocked.insert(turn.queue.clone());
                return;
            }
        }
    }

    /// Returns the workers that no call of this step has named, each with the number of tasks for
    /// which it will have room when a call has been answered. Those with the most room come first.
    fn unnamed_by_room(
        &self,
        turn: &Turn,
        duration: Duration,
        round: &Round,
        now: Time,
    ) -> Vec<(u32, WorkerNo)> {
        let Some(part) = self.step_state(turn.key) else { return vec![] };
        let tickets = &part.tickets;
        let named =
            |n: &WorkerNo| tickets.asked_workers.contains(n) || tickets.pending_workers.contains(n);
        let new = turn.usable.iter().copied().filter(|n| !named(n));
        let mut new: Vec<(u32, WorkerNo)> =
            new.map(|n| (self.slots_by(turn, n, duration, round, now), n)).collect();
        // Varies by job which of several equally suitable workers is named first, so that steps
        // spread over the workers.
        let job = turn.key.job.0;
        let spread = |n: &WorkerNo| (n.0 as u64 ^ job).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        new.sort_by_key(|(slots, n)| (Reverse(*slots), spread(n)));
        match self.requested_rack(turn.key) {
            Some(rack) => self.alternate_racks(rack, new),
            None => new,
        }
    }

    /// Orders workers for the calls of a step that requests a rack: those with slots first, and
    /// within each group alternately one on the rack and one elsewhere.
    ///
    /// A wait for the rack is possible only at workers that are known to be permitted. But if a
    /// call named only workers of a full rack, the step could start nowhere until the next call has
    /// been answered.
    fn alternate_racks(&self, rack: &str, all: Vec<(u32, WorkerNo)>) -> Vec<(u32, WorkerNo)> {
        let (roomy, full): (Vec<_>, Vec<_>) = all.into_iter().partition(|w| w.0 > 0);
        let alternate = |group: Vec<(u32, WorkerNo)>, near_first: bool| {
            let (near, far): (Vec<_>, Vec<_>) =
                group.into_iter().partition(|w| self.is_on_rack(w.1, rack));
            let (mut first, mut second) = match near_first {
                true => (near.into_iter(), far.into_iter()),
                false => (far.into_iter(), near.into_iter()),
            };
            let pairs = std::iter::from_fn(move || match (first.next(), second.next()) {
                (None, None) => None,
                (a, b) => Some(a.into_iter().chain(b)),
            });
            pairs.flatten()
        };
        alternate(roomy, true).chain(alternate(full, false)).collect()
    }

    /// Returns the number of tasks of a step for which a worker will have room after `duration`.
    fn slots_by(
        &self,
        turn: &Turn,
        no: WorkerNo,
        duration: Duration,
        round: &Round,
        now: Time,
    ) -> u32 {
        // Only gangs can make room by preemption here; other steps use only room that is free or
        // will become free.
        let (stops, by) = match turn.step.gang {
            true => (Some(turn.priority), now + duration + self.setup.bounds.stop_time),
            false => (None, now + duration),
        };
        let size = turn.step.reserved();
        let free = self.free_by(no, stops, by, now);
        let slots = size.count(&free.saturating_sub(&round.all_withheld(no)));
        let most = if turn.step.apart > 0 { turn.step.apart.into() } else { slots };
        u32::try_from(slots.min(most)).unwrap_or(u32::MAX)
    }

    /// Requests advice on these workers in parallel calls, as long as members are available to make
    /// them.
    ///
    /// Returns whether enough members were available.
    ///
    /// Parallel calls prevent the first tickets of a gang from expiring before its last ones
    /// arrive.
    pub(super) fn ask_parallel(
        &mut self,
        key: &StepKey,
        workers: Vec<WorkerNo>,
        cost: AdviceCost,
        now: Time,
    ) -> bool {
        let Some(part) = self.step_state(key) else { return true };
        let new: Vec<WorkerNo> =
            workers.into_iter().filter(|n| !part.tickets.pending_workers.contains(n)).collect();
        let calls = new.len().div_ceil(call_size(cost.base, cost.each)).max(1);
        new.chunks(new.len().div_ceil(calls).max(1))
            .all(|some| self.order_call(key, some.to_vec(), cost, now))
    }

    /// Returns up to `most` workers that no earlier call of this step has named.
    fn unnamed_workers(&self, key: &StepKey, usable: &[WorkerNo], most: usize) -> Vec<WorkerNo> {
        let Some(part) = self.step_state(key) else { return vec![] };
        // If one call cannot name all workers, steps of different jobs begin at different
        // positions.
        let first = usize::try_from(key.job.0).unwrap_or(0) % usable.len().max(1);
        let (before, after) = usable.split_at(first);
        let asked = &part.tickets.asked_workers;
        let new = after.iter().chain(before).filter(|n| !asked.contains(n)).copied();
        let step = self.jobs.get(&key.job).and_then(|j| j.step(key));
        match (self.requested_rack(key), step) {
            (Some(rack), Some(step)) => {
                let size = step.reserved();
                let slots = |n: WorkerNo| (u32::from(size.fits(&self.workers[n.0].free())), n);
                let all = self.alternate_racks(rack, new.map(slots).collect());
                all.into_iter().map(|w| w.1).take(most).collect()
            }
            _ => new.take(most).collect(),
        }
    }

    /// Renews the expired tickets of workers that have room; if there are none, requests advice on
    /// workers that have joined since.
    pub(super) fn renew_tickets(
        &mut self,
        key: &StepKey,
        stale: &[WorkerNo],
        usable: &[WorkerNo],
        cost: AdviceCost,
        now: Time,
    ) {
        if stale.is_empty() {
            let Some(part) = self.step_state(key) else { return };
            // Guards against a step that waits forever although a worker that may run it has
            // joined: the workers known so far may be full or at the step's limit of tasks per
            // worker.
            let known = |n: &WorkerNo| part.tickets.asked_workers.contains(n);
            if usable.iter().all(known) {
                return;
            }
            return self.ask_unnamed(key, usable, cost, now);
        }
        let mut all: Vec<WorkerNo> = stale.to_vec();
        all.sort_by_key(|n| Reverse(self.workers[n.0].free().cores));
        if self.step_state(key).is_none_or(|p| p.tickets.is_pending()) {
            return;
        }
        all.truncate(MAX_RENEWED_WORKERS);
        let more = self.unnamed_workers(key, usable, MAX_RENEWED_WORKERS - all.len());
        all.extend(more);
        self.order_call(key, all, cost, now);
    }

    /// Returns the time at which a step's ticket for a worker expires.
    pub(super) fn valid_until(&self, key: &StepKey, no: WorkerNo) -> Option<Time> {
        self.step_state(key).and_then(|p| p.tickets.eligible.get(&no)).map(|t| t.1)
    }

    /// Orders an advice call on these workers. Returns false if a call is needed but no member is
    /// available for it or another pool has precedence.
    fn order_call(
        &mut self,
        key: &StepKey,
        workers: Vec<WorkerNo>,
        cost: AdviceCost,
        now: Time,
    ) -> bool {
        let duration = cost.base + cost.each * u32::try_from(workers.len()).unwrap_or(u32::MAX);
        let unix = self.unix_ms(now);
        let roomy = self.has_room_by(key, &workers, now + duration, now);
        let Some(job) = self.jobs.get_mut(&key.job) else { return true };
        let (Some(queue), Some(pool)) = (self.queue_configs.get(&job.queue), job.pool.clone())
        else {
            return true;
        };
        let objective = job_objective(queue, job.objective_time(key.time));
        let due = job.submitted_ms.max(job.due_ms(key.time));
        let due = due.saturating_add(super::workers::millis(objective));
        // A long-running task that is not running does not give precedence to other pools.
        let takes_turns = duration > LONG_CALL && !job.step(key).is_some_and(|s| s.lasts);
        let Some(part) = job.step_states.get_mut(&(key.time, key.step)) else { return true };
        if workers.is_empty() || part.tickets.next_call > now {
            return true;
        }
        let left = Duration::from_millis(due.saturating_sub(unix));
        let may_call = !takes_turns
            || self.lanes.has_spare_lane(now)
            || self.advice_turns.may_call(&pool, roomy, now);
        let by = now + left;
        let Some((via, end)) = may_call.then(|| self.lanes.pick(duration, by, now)).flatten()
        else {
            if takes_turns {
                self.advice_turns.record_wait(&pool, roomy, now);
            }
            return false;
        };
        if duration > LONG_CALL {
            self.advice_turns.record_call(&pool, via, duration, now);
        }
        part.tickets.pending_workers.extend(&workers);
        part.tickets.call_times.push(now);
        let asked = self.advice_stats.entry(job.queue.clone()).or_default();
        asked.call_count += 1;
        asked.named_workers += workers.len() as u64;
        asked.expected_time += duration;
        asked.without_room += u64::from(!roomy);
        let workers = workers.iter().map(|n| self.workers[n.0].id.clone()).collect();
        let call = Box::new(AdviceCall { step: *key, workers });
        let limit = (end - now) + CALL_SLACK;
        self.orders.push(Order::Advise { via, call, sent: now, expected: duration, limit });
        true
    }

    /// Returns whether one of these workers is expected to have room for a task of the step at the
    /// time `by`. Always true for a gang, since room is made for it.
    fn has_room_by(&self, key: &StepKey, workers: &[WorkerNo], by: Time, now: Time) -> bool {
        let Some(step) = self.jobs.get(&key.job).and_then(|j| j.step(key)) else { return false };
        let size = step.reserved();
        step.gang || workers.iter().any(|no| size.fits(&self.free_by(*no, None, by, now)))
    }

    /// Processes the reply to a call for advice, or its failure.
    pub(super) fn on_advice(
        &mut self,
        call: AdviceCall,
        via: Incarnation,
        sent: Time,
        reply: Result<Advice, Fault>,
        now: Time,
    ) {
        match reply {
            Err(Fault::Refused) => self.lanes.record_rejection(via, sent, now),
            _ => self.lanes.record_end(via, sent, reply.is_ok(), now),
        }
        self.advice_turns.record_call_end(via, sent);
        self.round_due = true;
        let key = call.step;
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let valid = self.queue_configs.get(&job.queue).and_then(|q| q.advice).map(|a| a.valid);
        let Some(part) = job.step_states.get_mut(&(key.time, key.step)) else { return };
        let ids = &self.worker_numbers;
        let named: Vec<WorkerNo> =
            call.workers.iter().filter_map(|id| ids.get(id)).copied().collect();
        part.tickets.pending_workers.retain(|n| !call.workers.contains(&self.workers[n.0].id));
        if let Some(at) = part.tickets.call_times.iter().position(|c| *c == sent) {
            part.tickets.call_times.swap_remove(at);
        }
        match reply {
            Ok(advice) => {
                let new = named.iter().filter(|n| !part.tickets.asked_workers.contains(n)).count();
                if new == named.len() {
                    let share = self.advice_shares.entry(job.queue.clone()).or_default();
                    share.record(new, advice.accepted.len());
                }
                let valid = advice.validity.or(valid).unwrap_or(Duration::from_secs(1));
                let until = now + valid.saturating_sub(TICKET_MARGIN);
                part.tickets.answered_at = Some(now);
                part.advised_at = part.advised_at.or((!advice.accepted.is_empty()).then_some(now));
                let good = advice.accepted.into_iter();
                let good = good.filter_map(|(id, t)| Some((*ids.get(&id)?, (t, until))));
                part.tickets.eligible.extend(good);
                part.tickets.asked_workers.extend(named);
            }
            Err(fault) => {
                log::info!(target: "shard", did = "unadvised", job:% = key.job, step:% = key, via:% = via, fault = crate::service_clients::fault_label(&fault), after_ms = super::workers::millis(now - sent); "Call for advice failed.");
                // A busy member refuses at once and other members are available, so a pause would
                // only lose time.
                if fault != Fault::Refused {
                    part.tickets.next_call = now + ADVICE_RETRY_PAUSE;
                }
            }
        }
    }

    /// Requests advice for steps that are expected to become ready soon.
    pub(super) fn prefetch_advice(&mut self, now: Time) {
        let mut soon = vec![];
        for (no, job) in &self.jobs {
            if job.state.is_final() || job.job.steps.len() < 2 {
                continue;
            }
            let Some(queue) = self.queue_configs.get(&job.queue) else { continue };
            let Some(cost) = queue.advice else { continue };
            for ((time, step), part) in &job.step_states {
                let key = StepKey { job: *no, time: *time, step: *step };
                let fresh = part.tickets.asked_workers.is_empty() && !part.tickets.is_pending();
                if fresh && part.waiting_count > 0 && !job.is_unblocked(*time, *step) {
                    let lead = cost.base + cost.each * 40 + Duration::from_millis(50);
                    if self.predecessors_end_within(&key, lead, now) {
                        soon.push(key);
                    }
                }
            }
        }
        if soon.is_empty() {
            return;
        }
        let mut round = self.new_round(now);
        for key in soon {
            let Some(turn) = self.turn(&key, &round, now) else { continue };
            self.ask_for_missing(&turn, &mut round, now);
        }
    }

    /// Returns whether all predecessors of a step are placed and expected to finish within `lead`.
    fn predecessors_end_within(&self, key: &StepKey, lead: Duration, now: Time) -> bool {
        let Some(job) = self.jobs.get(&key.job) else { return false };
        let Some(step) = job.step(key) else { return false };
        step.after.iter().all(|a| {
            let Some(part) = job.step_states.get(&(key.time, *a)) else { return false };
            part.tasks.iter().enumerate().all(|(i, t)| match t.placement {
                Placement::Done => true,
                Placement::Waiting => false,
                Placement::Assigned(no) => {
                    let step = StepKey { job: key.job, time: key.time, step: *a };
                    let task = crate::work::TaskKey { step, index: i as u32 };
                    self.workers[no.0].runs.get(&task).is_some_and(|r| {
                        let elapsed = now - r.started_at;
                        let left =
                            r.estimate.mul_f64(1.0 - f64::from(r.progress_percent.1) / 100.0);
                        left.saturating_sub(elapsed.min(left)) <= lead
                    })
                }
            })
        })
    }
}
