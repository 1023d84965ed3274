//! Simulated advice service: a fixed random share of the workers is suitable for each step. It
//! answers the calls of each member one after the other and issues tickets.

use {
    dogwoodreach::{
        Time,
        ids::{Incarnation, WorkerId},
        ports::{Advice, AdviceCall, Fault},
        work::{AdviceCost, JobNo, StepKey},
    },
    std::{collections::BTreeMap, time::Duration},
};

/// Maximum number of waiting calls from one member.
const WAITING_CALLS: usize = 32;

/// The advice service.
pub struct Service {
    seed: u64,
    /// Percentage of workers that are suitable for a step.
    pub share: u64,
    /// Percentages that replace [`Service::share`] for some jobs.
    pub shares: BTreeMap<JobNo, u64>,
    /// Whether the service leaves all calls unanswered.
    pub down: bool,
    /// Issued tickets: step, worker and expiry.
    tickets: BTreeMap<Box<str>, (StepKey, WorkerId, Time)>,
    /// Times at which the pending calls of each member are answered.
    busy: BTreeMap<Incarnation, Vec<Time>>,
    /// The fallback worker of each step for which no worker of a call was suitable.
    fallback: BTreeMap<StepKey, WorkerId>,
}

impl Service {
    /// Creates the service; the seed determines which workers are suitable for which steps.
    pub fn new(seed: u64) -> Self {
        let (shares, tickets, busy, fallback) = Default::default();
        Service { seed, share: 50, shares, down: false, tickets, busy, fallback }
    }

    /// Whether a worker may run a step. The draw for a pair never changes.
    pub fn good(&self, step: StepKey, worker: &WorkerId) -> bool {
        let text = format!("{step} {worker} {}", self.seed);
        let share = self.shares.get(&step.job).copied().unwrap_or(self.share);
        let drawn = xxhash_rust::xxh3::xxh3_64(text.as_bytes()) % 100 < share;
        drawn || self.fallback.get(&step) == Some(worker)
    }

    /// Accepts a call that arrives now and returns the time of its answer. Errs if the service
    /// is down, the call lists over 100 workers or too many calls wait.
    pub fn accept(
        &mut self,
        via: Incarnation,
        call: &AdviceCall,
        cost: AdviceCost,
        now: Time,
    ) -> Result<Time, Fault> {
        if self.down {
            return Err(Fault::Unknown);
        }
        if call.workers.len() > 100 {
            return Err(Fault::Bad("over 100 workers".into()));
        }
        let calls = self.busy.entry(via).or_default();
        calls.retain(|t| *t > now);
        if calls.len() > WAITING_CALLS {
            return Err(Fault::Refused);
        }
        let begin = calls.last().copied().unwrap_or(now);
        let over = begin + cost.base + cost.each * call.workers.len() as u32;
        calls.push(over);
        Ok(over)
    }

    /// Answers a call and issues a ticket for each suitable worker.
    pub fn answer(&mut self, call: &AdviceCall, valid: Duration, now: Time) -> Advice {
        // If no worker were suitable, no scheduler could ever complete the step.
        let none = !call.workers.iter().any(|w| self.good(call.step, w));
        if let (true, Some(first)) = (none, call.workers.first()) {
            self.fallback.entry(call.step).or_insert_with(|| first.clone());
        }
        let mut good = Vec::new();
        for worker in &call.workers {
            if self.good(call.step, worker) {
                let ticket: Box<str> = format!("t{}", self.tickets.len() + 1).into();
                let row = (call.step, worker.clone(), now + valid);
                self.tickets.insert(ticket.clone(), row);
                good.push((worker.clone(), ticket));
            }
        }
        Advice { accepted: good, validity: Some(valid) }
    }

    /// Whether a ticket is valid for a step at a worker.
    pub fn is_valid(&self, ticket: Option<&str>, step: StepKey, id: &WorkerId, now: Time) -> bool {
        let row = ticket.and_then(|t| self.tickets.get(t));
        row.is_some_and(|(s, w, until)| *s == step && w == id && now < *until)
    }
}
