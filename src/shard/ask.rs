//! Advice: which workers a step may run on, asked in time and no oftener than needed.
//!
//! What may run a step never changes, but tickets are valid for two seconds or so and a call takes
//! up to a second: so a step's first call names all workers, is made while the step before still
//! runs, and later calls name only workers that have room now.

use {
    crate::{
        decide::{
            gather::chunk,
            lanes::{LONG, SLACK},
            rank::objective,
        },
        ids::Incarnation,
        ports::{Advice, AdviceCall, Fault},
        shard::{
            event::Order,
            jobs::At,
            machine::Shard,
            round::{Round, Turn},
            workers::WorkerNo,
        },
        time::Time,
        work::{AdviceCost, StepKey},
    },
    std::{cmp::Reverse, time::Duration},
};

/// The most workers that one call names.
pub(super) const MOST: usize = 100;
/// The most workers that a later call names.
pub(super) const AGAIN: usize = 10;
/// How much earlier than a ticket ends it is no longer used: the start's way, and the answer's.
const EARLY: Duration = Duration::from_millis(100);
/// The pause after a call without an answer.
const PAUSE: Duration = Duration::from_millis(150);

impl Shard {
    /// Asks about all workers that were not asked about yet.
    pub(super) fn ask_all(
        &mut self,
        key: &StepKey,
        usable: &[WorkerNo],
        cost: AdviceCost,
        now: Time,
    ) {
        if self.part(key).is_none_or(|p| p.tickets.asking()) {
            return;
        }
        let workers = self.unasked(key, usable, MOST);
        self.ask(key, workers, cost, now);
    }

    /// Asks about workers for the tasks that would find no room on those that are known: those with the
    /// most room first, and no more than are needed.
    ///
    /// Guards against an owner that spends its processor on calls that can't be made: after the loss of
    /// all members thousands of steps wait for their first, and each of them looks at each worker.
    pub(super) fn ask_wide(&mut self, turn: &Turn, round: &mut Round, now: Time) {
        let Turn { key, ref step, advice, .. } = *turn;
        let (Some(cost), Some(part)) = (advice, self.part(key)) else { return };
        if part.tickets.asking() || part.tickets.next > now || round.busy.contains(&turn.queue) {
            return;
        }
        let chunk = chunk(cost.base, cost.each);
        let takes = cost.base + cost.each * u32::try_from(chunk).unwrap_or(u32::MAX);
        // Gangs have room made for them; others take what is free or will be.
        let (stops, by) = match step.gang {
            true => (Some(turn.priority), now + takes + self.setup.bounds.stop),
            false => (None, now + takes),
        };
        let size = step.counted();
        let slots = |no: WorkerNo| {
            let free = self.room_by(no, stops, by, now);
            let slots = size.count(&free.saturating_sub(&round.all_claims(no)));
            let most = if step.apart > 0 { slots.min(step.apart.into()) } else { slots };
            u32::try_from(most).unwrap_or(u32::MAX)
        };
        let known: u32 = self.good(turn).into_iter().map(slots).sum();
        let asked = &part.tickets.asked;
        let new = turn.usable.iter().copied().filter(|n| !asked.contains(n));
        let mut new: Vec<(u32, WorkerNo)> = new.map(|n| (slots(n), n)).collect();
        // Steps begin with different ones where one worker is as good as another.
        let mix = |n: &WorkerNo| (n.0 as u64 ^ key.job.0).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        new.sort_by_key(|(slots, n)| (Reverse(*slots), mix(n)));
        let missing = u32::try_from(turn.waiting.len()).unwrap_or(u32::MAX).saturating_sub(known);
        let share = self.shares.get(&turn.queue).copied().unwrap_or_default();
        let wide = new.iter().map(|n| n.0).take_while(|s| *s > 0);
        // Up to here further ones cost little, and those without room are learnt of for later.
        let count = share.named(wide, missing.max(1)).max(chunk);
        let workers = new.into_iter().take(count).map(|n| n.1).collect();
        if !self.ask_many(key, workers, cost, now) {
            round.busy.insert(turn.queue.clone());
        }
    }

    /// Asks about these workers in calls that go side by side, as long as members are free for them.
    ///
    /// Returns whether there were enough of them.
    ///
    /// Guards against a gang whose first tickets are over before its last have come.
    pub(super) fn ask_many(
        &mut self,
        key: &StepKey,
        workers: Vec<WorkerNo>,
        cost: AdviceCost,
        now: Time,
    ) -> bool {
        let Some(part) = self.part(key) else { return true };
        let new: Vec<WorkerNo> =
            workers.into_iter().filter(|n| !part.tickets.out.contains(n)).collect();
        let calls = new.len().div_ceil(chunk(cost.base, cost.each)).max(1);
        new.chunks(new.len().div_ceil(calls).max(1))
            .all(|some| self.ask(key, some.to_vec(), cost, now))
    }

    /// Workers that were not asked about yet.
    fn unasked(&self, key: &StepKey, usable: &[WorkerNo], most: usize) -> Vec<WorkerNo> {
        let Some(part) = self.part(key) else { return vec![] };
        // Where not all can be named at once, steps begin with different ones.
        let first = usize::try_from(key.job.0).unwrap_or(0) % usable.len().max(1);
        let (before, after) = usable.split_at(first);
        let asked = &part.tickets.asked;
        let new = after.iter().chain(before).filter(|n| !asked.contains(n));
        new.take(most).copied().collect()
    }

    /// Asks for new tickets where there is room, or about workers that have come since.
    pub(super) fn ask_again(
        &mut self,
        key: &StepKey,
        stale: &[WorkerNo],
        usable: &[WorkerNo],
        cost: AdviceCost,
        now: Time,
    ) {
        if stale.is_empty() {
            let Some(part) = self.part(key) else { return };
            // Guards against a step that waits for ever though a worker has come that may run it: those
            // that it knows of may be full, or have as many of its tasks as they may.
            let known = |n: &WorkerNo| part.tickets.asked.contains(n);
            if usable.iter().all(known) {
                return;
            }
            return self.ask_all(key, usable, cost, now);
        }
        let mut all: Vec<WorkerNo> = stale.to_vec();
        all.sort_by_key(|n| Reverse(self.workers[n.0].free().cores));
        if self.part(key).is_none_or(|p| p.tickets.asking()) {
            return;
        }
        all.truncate(AGAIN);
        let more = self.unasked(key, usable, AGAIN - all.len());
        all.extend(more);
        self.ask(key, all, cost, now);
    }

    /// When the ticket of a step for a worker ends.
    pub(super) fn valid_until(&self, key: &StepKey, no: WorkerNo) -> Option<Time> {
        self.part(key).and_then(|p| p.tickets.good.get(&no)).map(|t| t.1)
    }

    /// Makes a call; returns whether a member was free for it, where one is to be made.
    fn ask(&mut self, key: &StepKey, workers: Vec<WorkerNo>, cost: AdviceCost, now: Time) -> bool {
        let takes = cost.base + cost.each * u32::try_from(workers.len()).unwrap_or(u32::MAX);
        let unix = self.unix(now);
        let roomy = self.roomy(key, &workers, now + takes, now);
        let Some(job) = self.jobs.get_mut(&key.job) else { return true };
        let Some(queue) = self.known.get(&job.queue) else { return true };
        let due = job.came.max(job.due(key.time))
            + super::workers::millis(objective(queue, job.allowed(key.time)));
        // A lasting task that is away waits for no other pool.
        let shares = takes > LONG && !job.step(key).is_some_and(|s| s.lasts);
        let Some(part) = job.parts.get_mut(&(key.time, key.step)) else { return true };
        if workers.is_empty() || part.tickets.next > now {
            return true;
        }
        let left = Duration::from_millis(due.saturating_sub(unix));
        let ours = !shares || self.lanes.spare(now) || self.turns.may(&queue.pool, roomy, now);
        let by = now + left;
        let Some((via, end)) = ours.then(|| self.lanes.pick(takes, by, now)).flatten() else {
            if shares {
                self.turns.wait(&queue.pool, roomy, now);
            }
            return false;
        };
        if takes > LONG {
            self.turns.sent(&queue.pool, via, takes, now);
        }
        part.tickets.out.extend(&workers);
        part.tickets.calls.push(now);
        let asked = self.asked.entry(job.queue.clone()).or_default();
        asked.calls += 1;
        asked.named += workers.len() as u64;
        asked.takes += takes;
        asked.bare += u64::from(!roomy);
        let workers = workers.iter().map(|n| self.workers[n.0].id.clone()).collect();
        let call = Box::new(AdviceCall { step: *key, workers });
        let limit = (end - now) + SLACK;
        self.out.push(Order::Advise { via, call, sent: now, takes, limit });
        true
    }

    /// Whether one of these workers is expected to have room for a task of a step by then; a gang has
    /// room made for it.
    fn roomy(&self, key: &StepKey, workers: &[WorkerNo], by: Time, now: Time) -> bool {
        let Some(step) = self.jobs.get(&key.job).and_then(|j| j.step(key)) else { return false };
        let size = step.counted();
        step.gang || workers.iter().any(|no| size.fits(&self.room_by(*no, None, by, now)))
    }

    /// Takes in advice, or that none came.
    pub(super) fn advised(
        &mut self,
        call: AdviceCall,
        via: Incarnation,
        sent: Time,
        reply: Result<Advice, Fault>,
        now: Time,
    ) {
        match reply {
            Err(Fault::Refused) => self.lanes.turned_away(via, sent, now),
            _ => self.lanes.done(via, sent, reply.is_ok(), now),
        }
        self.turns.done(via, sent);
        self.stir = true;
        let key = call.step;
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let valid = self.known.get(&job.queue).and_then(|q| q.advice).map(|a| a.valid);
        let Some(part) = job.parts.get_mut(&(key.time, key.step)) else { return };
        let ids = &self.ids;
        let named: Vec<WorkerNo> =
            call.workers.iter().filter_map(|id| ids.get(id)).copied().collect();
        part.tickets.out.retain(|n| !call.workers.contains(&self.workers[n.0].id));
        if let Some(at) = part.tickets.calls.iter().position(|c| *c == sent) {
            part.tickets.calls.swap_remove(at);
        }
        match reply {
            Ok(advice) => {
                let new = named.iter().filter(|n| !part.tickets.asked.contains(n)).count();
                if new == named.len() {
                    let share = self.shares.entry(job.queue.clone()).or_default();
                    share.learn(new, advice.good.len());
                }
                let valid = advice.valid.or(valid).unwrap_or(Duration::from_secs(1));
                let until = now + valid.saturating_sub(EARLY);
                part.tickets.heard = Some(now);
                part.advised = part.advised.or((!advice.good.is_empty()).then_some(now));
                let good = advice.good.into_iter();
                let good = good.filter_map(|(id, t)| Some((*ids.get(&id)?, (t, until))));
                part.tickets.good.extend(good);
                part.tickets.asked.extend(named);
            }
            Err(fault) => {
                log::info!(target: "shard", did = "unadvised", job:% = key.job, step:% = key, via:% = via, fault = crate::store::fault_name(&fault), after_ms = super::workers::millis(now - sent); "Advice has not come.");
                // A member that is busy says so at once, and there are others: the pause would be lost.
                if fault != Fault::Refused {
                    part.tickets.next = now + PAUSE;
                }
            }
        }
    }

    /// Asks for steps whose turn comes soon.
    pub(super) fn foresee(&mut self, now: Time) {
        let mut soon = vec![];
        for (no, job) in &self.jobs {
            if job.state.over() || job.job.steps.len() < 2 {
                continue;
            }
            let Some(queue) = self.known.get(&job.queue) else { continue };
            let Some(cost) = queue.advice else { continue };
            for ((time, step), part) in &job.parts {
                let key = StepKey { job: *no, time: *time, step: *step };
                let fresh = part.tickets.asked.is_empty() && !part.tickets.asking();
                if fresh && part.waiting > 0 && !job.free(*time, *step) {
                    let lead = cost.base + cost.each * 40 + Duration::from_millis(50);
                    if self.ends_within(&key, lead, now) {
                        soon.push(key);
                    }
                }
            }
        }
        if soon.is_empty() {
            return;
        }
        let mut round = self.survey(now);
        for key in soon {
            let Some(turn) = self.turn(&key, &round, now) else { continue };
            self.ask_wide(&turn, &mut round, now);
        }
    }

    /// Whether all that a step waits for is placed and should be done within a time.
    fn ends_within(&self, key: &StepKey, lead: Duration, now: Time) -> bool {
        let Some(job) = self.jobs.get(&key.job) else { return false };
        let Some(step) = job.step(key) else { return false };
        step.after.iter().all(|a| {
            let Some(part) = job.parts.get(&(key.time, *a)) else { return false };
            part.tasks.iter().enumerate().all(|(i, t)| match t.at {
                At::Done => true,
                At::Waiting => false,
                At::There(no) => {
                    let step = StepKey { job: key.job, time: key.time, step: *a };
                    let task = crate::work::TaskKey { step, index: i as u32 };
                    self.workers[no.0].runs.get(&task).is_some_and(|r| {
                        let gone = now - r.began;
                        let left = r.estimate.mul_f64(1.0 - f64::from(r.percent.1) / 100.0);
                        left.saturating_sub(gone.min(left)) <= lead
                    })
                }
            })
        })
    }
}
