//! Decides which endpoints are ejected (taken out of use), for how long, and when they return.
//!
//! *Load pattern:* one worker fails or times out every request, or answers far slower than its
//! peers, while the others are healthy. *Without it:* an endpoint that fails immediately always has
//! free slots, so it attracts and fails a large share of all requests; one that times out holds
//! each caller until its deadline. If all failing endpoints were ejected at once, a pool whose
//! common dependency fails would have no endpoint left when the dependency recovers, and the last
//! ones would be overloaded before.
//!
//! *Thresholds:* if one request in twenty fails, five failures in a row occur by chance once in
//! three million requests. At most a third of the pool is ejected at the same time: if more fail
//! together, the cause is rarely in the endpoints, and two thirds of a pool still carry a load of
//! 65%. An ejection lasts 5 s, the time of a restart, and each next time twice as long, up to 5
//! minutes. After it a single request is sent as a trial: an answer ends the ejection, a failure
//! begins the next one.

use {
    crate::{Time, ids::WorkerId},
    rustc_hash::FxHashMap,
    std::time::Duration,
};

/// Number of failures in a row after which an endpoint is ejected.
const MAX_FAILURES: u32 = 5;
/// Ratio of an endpoint's time to its peers' median above which it is ejected. The choice of
/// endpoint handles smaller ratios by sending fewer requests; above this one, a slot there is worth
/// almost nothing.
const EJECT_RATIO: f64 = 8.0;
/// Divisor of the pool's size that gives the maximum number of endpoints ejected at the same time.
const EJECT_DIVISOR: usize = 3;
/// Length of the first ejection.
const FIRST_EJECTION: Duration = Duration::from_secs(5);
/// Maximum length of an ejection. Also the time without an ejection after which earlier ejections
/// of an endpoint no longer count.
const MAX_EJECTION: Duration = Duration::from_secs(300);

/// The failing and the ejected endpoints of one pool.
#[derive(Default)]
pub struct Ejector {
    /// Number of endpoints in the pool.
    size: usize,
    health: FxHashMap<WorkerId, Health>,
}

#[derive(Default)]
struct Health {
    failure_count: u32,
    /// End of the current ejection, after which the endpoint gets a trial request; `None` if it is
    /// not ejected.
    ejected_until: Option<Time>,
    /// Number of recent ejections, which determines the length of the next one.
    ejection_count: u32,
    /// When the last ejection of the endpoint ended.
    returned_at: Time,
}

impl Ejector {
    /// Creates an ejector for a pool of `size` endpoints.
    pub fn new(size: usize) -> Self {
        Ejector { size, health: FxHashMap::default() }
    }

    /// Sets the number of endpoints in the pool.
    pub fn resize(&mut self, size: usize) {
        self.size = size;
    }

    /// Removes the state of an endpoint that has left the pool.
    pub fn forget(&mut self, worker: &WorkerId) {
        self.health.remove(worker);
    }

    /// Returns whether an endpoint with `busy` requests in flight may get another one. After an
    /// ejection it may have one request in flight, as a trial.
    pub fn allows_request(&self, worker: &WorkerId, busy: u32, now: Time) -> bool {
        let until = self.health.get(worker).and_then(|h| h.ejected_until);
        until.is_none_or(|until| now >= until && busy == 0)
    }

    /// Returns the number of ejected endpoints, including those on trial.
    pub fn ejected_count(&self) -> usize {
        self.health.values().filter(|h| h.ejected_until.is_some()).count()
    }

    /// Records a failure or timeout of an endpoint. Returns whether this ejects the endpoint.
    pub fn record_failure(&mut self, worker: &WorkerId, now: Time) -> bool {
        let health = self.health.entry(worker.clone()).or_default();
        health.failure_count = health.failure_count.saturating_add(1);
        match health.ejected_until {
            Some(until) if now >= until => {
                health.eject(now);
                true
            }
            Some(_) => false,
            None => health.failure_count >= MAX_FAILURES && self.eject(worker, now),
        }
    }

    /// Records a complete answer of an endpoint that is `slowness` times as slow as its peers'
    /// median. Returns whether this ends its ejection; the endpoint must then start slowly.
    pub fn record_answer(&mut self, worker: &WorkerId, slowness: f64, now: Time) -> bool {
        if slowness > EJECT_RATIO {
            match self.health.get(worker).and_then(|h| h.ejected_until) {
                None => _ = self.eject(worker, now),
                Some(until) if now >= until => _ = self.record_failure(worker, now),
                Some(_) => {}
            }
            return false;
        }
        let Some(health) = self.health.get_mut(worker) else { return false };
        // An answer to a request sent before the ejection says nothing about the endpoint now.
        if health.ejected_until.is_some_and(|until| now < until) {
            return false;
        }
        health.failure_count = 0;
        let ends = health.ejected_until.take().is_some();
        if ends {
            health.returned_at = now;
        }
        ends
    }

    fn eject(&mut self, worker: &WorkerId, now: Time) -> bool {
        if (self.ejected_count() + 1) * EJECT_DIVISOR > self.size {
            return false;
        }
        let health = self.health.entry(worker.clone()).or_default();
        if now.since(health.returned_at) >= MAX_EJECTION {
            health.ejection_count = 0;
        }
        health.eject(now);
        true
    }
}

impl Health {
    fn eject(&mut self, now: Time) {
        let length = FIRST_EJECTION * 2u32.saturating_pow(self.ejection_count.min(10));
        self.ejection_count += 1;
        self.ejected_until = Some(now + length.min(MAX_EJECTION));
    }
}
