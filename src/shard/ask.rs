//! Advice: which workers a step may run on, asked in time and no oftener than needed.
//!
//! What may run a step never changes, but tickets are valid for two seconds or so and a call takes
//! up to a second: so a step's first call names all workers, is made while the step before still
//! runs, and later calls name only workers that have room now.

use {
    crate::{
        decide::rank::objective,
        ids::{Incarnation, WorkerId},
        ports::{Advice, AdviceCall, Fault},
        shard::{event::Order, jobs::At, machine::Shard, workers::WorkerNo},
        time::Time,
        work::{AdviceCost, StepKey},
    },
    std::time::Duration,
};

/// The most workers that one call names.
const MOST: usize = 100;
/// The most workers that a later call names.
const AGAIN: usize = 10;
/// How much earlier than a ticket ends it is no longer used: the start's way, and the answer's.
const EARLY: Duration = Duration::from_millis(100);
/// The pause after a call without an answer.
const PAUSE: Duration = Duration::from_millis(150);
/// How much longer than it should take a call is waited for.
const SLACK: Duration = Duration::from_millis(1500);

impl Shard {
    /// Asks about all workers that were not asked about yet.
    pub(super) fn ask_all(
        &mut self,
        key: &StepKey,
        usable: &[WorkerNo],
        cost: AdviceCost,
        now: Time,
    ) {
        let workers = self.unasked(key, usable, MOST);
        self.ask(key, workers, cost, now);
    }

    /// Workers that were not asked about yet.
    fn unasked(&self, key: &StepKey, usable: &[WorkerNo], most: usize) -> Vec<WorkerId> {
        let part = self.jobs.get(&key.job).and_then(|j| j.parts.get(&(key.time, key.step)));
        let Some(part) = part else { return vec![] };
        // Where not all can be named at once, steps begin with different ones.
        let first = usize::try_from(key.job.0).unwrap_or(0) % usable.len().max(1);
        let (before, after) = usable.split_at(first);
        let asked = &part.tickets.asked;
        let new = after.iter().chain(before).filter(|n| !asked.contains(n));
        new.take(most).map(|n| self.workers[n.0].id.clone()).collect()
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
            let Some(part) =
                self.jobs.get(&key.job).and_then(|j| j.parts.get(&(key.time, key.step)))
            else {
                return;
            };
            // Guards against a step that waits for ever though a worker has come that may run it: those
            // that it knows of may be full, or have as many of its tasks as they may.
            let known = |n: &WorkerNo| part.tickets.asked.contains(n);
            if usable.iter().all(known) {
                return;
            }
            return self.ask_all(key, usable, cost, now);
        }
        let mut all: Vec<WorkerNo> = stale.to_vec();
        all.sort_by_key(|n| std::cmp::Reverse(self.workers[n.0].free().cores));
        let mut workers: Vec<WorkerId> =
            all.iter().take(AGAIN).map(|n| self.workers[n.0].id.clone()).collect();
        workers.extend(self.unasked(key, usable, AGAIN - workers.len()));
        self.ask(key, workers, cost, now);
    }

    /// When the ticket of a step for a worker ends.
    pub(super) fn valid_until(&self, key: &StepKey, no: WorkerNo) -> Option<Time> {
        let part = self.jobs.get(&key.job).and_then(|j| j.parts.get(&(key.time, key.step)));
        part.and_then(|p| p.tickets.good.get(&no)).map(|t| t.1)
    }

    fn ask(&mut self, key: &StepKey, workers: Vec<WorkerId>, cost: AdviceCost, now: Time) {
        let unix = self.unix(now);
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let chain = job.allowed(key.time);
        let came = job.came.max(job.due(key.time));
        let due = self.known.get(&job.queue).map_or(Duration::ZERO, |q| objective(q, chain));
        let Some(part) = job.parts.get_mut(&(key.time, key.step)) else { return };
        if workers.is_empty() || part.tickets.asking || part.tickets.next > now {
            return;
        }
        let takes = cost.base + cost.each * u32::try_from(workers.len()).unwrap_or(u32::MAX);
        let left = (came + super::workers::millis(due)).saturating_sub(unix);
        let Some((via, end)) = self.lanes.pick(takes, now + Duration::from_millis(left), now)
        else {
            return;
        };
        part.tickets.asking = true;
        let call = Box::new(AdviceCall { step: *key, workers });
        self.out.push(Order::Advise { via, call, sent: now, limit: (end - now) + SLACK });
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
        self.lanes.done(via, sent, reply.is_ok(), now);
        self.stir = true;
        let key = call.step;
        let Some(job) = self.jobs.get_mut(&key.job) else { return };
        let valid = self.known.get(&job.queue).and_then(|q| q.advice).map(|a| a.valid);
        let Some(part) = job.parts.get_mut(&(key.time, key.step)) else { return };
        part.tickets.asking = false;
        match reply {
            Ok(advice) => {
                let valid = advice.valid.or(valid).unwrap_or(Duration::from_secs(1));
                let until = now + valid.saturating_sub(EARLY);
                part.advised = part.advised.or((!advice.good.is_empty()).then_some(now));
                let ids = &self.ids;
                let good = advice.good.into_iter();
                let good = good.filter_map(|(id, t)| Some((*ids.get(&id)?, (t, until))));
                part.tickets.good.extend(good);
                part.tickets.asked.extend(call.workers.iter().filter_map(|id| ids.get(id)));
            }
            Err(fault) => {
                log::info!(target: "shard", did = "unadvised", job:% = key.job, step:% = key, via:% = via, fault = crate::store::fault_name(&fault), after_ms = super::workers::millis(now - sent); "Advice has not come.");
                part.tickets.next = now + PAUSE;
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
                let fresh = part.tickets.asked.is_empty() && !part.tickets.asking;
                if fresh && part.waiting > 0 && !job.free(*time, *step) {
                    let lead = cost.base + cost.each * 40 + Duration::from_millis(50);
                    if self.ends_within(&key, lead, now) {
                        soon.push((key, queue.pool.clone(), cost));
                    }
                }
            }
        }
        for (key, pool, cost) in soon {
            let Some(all) = self.pools.get(&pool) else { continue };
            let usable: Vec<_> =
                all.iter().copied().filter(|n| self.workers[n.0].usable(now)).collect();
            self.ask_all(&key, &usable, cost, now);
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
