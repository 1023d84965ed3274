//! Endpoints taken out of use, for how long, and how they come back.
//!
//! *Load pattern:* one worker fails or times out everything, or answers far slower than its peers,
//! while the others are well. *Without it:* an endpoint that fails at once always has free slots,
//! so it draws and fails a large part of all requests; one that times out holds each caller until
//! its deadline. Taken out all at once, a pool whose common dependency fails would have no
//! endpoint left when it recovers, and the last ones would be overloaded before.
//!
//! *Thresholds:* five failures in a row come by chance once in three million requests where one in
//! twenty fails. At most a third of the pool is out at once: where more fail together the cause is
//! rarely the endpoints, and two thirds carry a load of 65% as a whole pool carries it. An ejection
//! lasts 5 s, a restart's time, and twice as long each next time, to 5 minutes. After it a single
//! request is let through; its answer ends the ejection, its failure begins the next.

use {
    crate::{Time, ids::WorkerId},
    rustc_hash::FxHashMap,
    std::time::Duration,
};

/// Failures in a row that eject.
const FAILURES: u32 = 5;
/// The time relative to the peers' median that ejects: slower by less is left to the choice of
/// endpoint, which gives it less; slower by more than this, a slot there is worth next to nothing.
const FAR: f64 = 8.0;
/// One in this many endpoints may be out at once.
const ONE_IN: usize = 3;
/// The first ejection's length.
const SHORTEST: Duration = Duration::from_secs(5);
/// The longest ejection, and how long an endpoint must be in use for its past to be forgotten.
const LONGEST: Duration = Duration::from_secs(300);

/// The endpoints of one pool that fail, and those that are out.
#[derive(Default)]
pub struct Ejector {
    /// How many endpoints the pool has.
    size: usize,
    health: FxHashMap<WorkerId, Health>,
}

#[derive(Default)]
struct Health {
    failures: u32,
    /// When it may be tried again, while it is out.
    until: Option<Time>,
    /// Ejections that are not forgotten.
    times: u32,
    /// When it was last taken back.
    back: Time,
}

impl Ejector {
    /// An ejector for a pool of `size` endpoints.
    pub fn new(size: usize) -> Self {
        Ejector { size, health: FxHashMap::default() }
    }

    /// Sets how many endpoints the pool has.
    pub fn resize(&mut self, size: usize) {
        self.size = size;
    }

    /// Forgets an endpoint that has left the pool.
    pub fn forget(&mut self, worker: &WorkerId) {
        self.health.remove(worker);
    }

    /// Whether an endpoint with `busy` requests in flight may be given another: an endpoint that
    /// was out takes one by itself first.
    pub fn allows(&self, worker: &WorkerId, busy: u32, now: Time) -> bool {
        let until = self.health.get(worker).and_then(|h| h.until);
        until.is_none_or(|until| now >= until && busy == 0)
    }

    /// How many endpoints are out, those being tried included.
    pub fn out(&self) -> usize {
        self.health.values().filter(|h| h.until.is_some()).count()
    }

    /// Records a failure or timeout of an endpoint; true where it is ejected by it.
    pub fn failed(&mut self, worker: &WorkerId, now: Time) -> bool {
        let health = self.health.entry(worker.clone()).or_default();
        health.failures = health.failures.saturating_add(1);
        match health.until {
            Some(until) if now >= until => {
                health.eject(now);
                true
            }
            Some(_) => false,
            None => health.failures >= FAILURES && self.eject(worker, now),
        }
    }

    /// Records a whole answer of an endpoint that is `slowness` times as slow as its peers' median;
    /// true where its ejection ends, and it is to start slowly.
    pub fn answered(&mut self, worker: &WorkerId, slowness: f64, now: Time) -> bool {
        if slowness > FAR {
            match self.health.get(worker).and_then(|h| h.until) {
                None => _ = self.eject(worker, now),
                Some(until) if now >= until => _ = self.failed(worker, now),
                Some(_) => {}
            }
            return false;
        }
        let Some(health) = self.health.get_mut(worker) else { return false };
        // An answer to what was sent before the ejection says nothing of the endpoint now.
        if health.until.is_some_and(|until| now < until) {
            return false;
        }
        health.failures = 0;
        let ends = health.until.take().is_some();
        if ends {
            health.back = now;
        }
        ends
    }

    fn eject(&mut self, worker: &WorkerId, now: Time) -> bool {
        if (self.out() + 1) * ONE_IN > self.size {
            return false;
        }
        let health = self.health.entry(worker.clone()).or_default();
        if now.since(health.back) >= LONGEST {
            health.times = 0;
        }
        health.eject(now);
        true
    }
}

impl Health {
    fn eject(&mut self, now: Time) {
        let length = SHORTEST * 2u32.saturating_pow(self.times.min(10));
        self.times += 1;
        self.until = Some(now + length.min(LONGEST));
    }
}
