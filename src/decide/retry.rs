//! Decides which refused requests are retried, and limits the retries of the whole fleet.
//!
//! *Load pattern:* endpoints refuse requests or can't be reached, a few of them (a worker restarts)
//! or all (an outage, overload). *Without it:* each request is tried several times just when the
//! least capacity is available. The load is multiplied at each layer that retries, and the outage
//! outlasts its cause. A retry of a request that may have run would run it twice.
//!
//! *Budget:* a first try earns a tenth of a retry. If at most one worker in ten of a pool is bad,
//! all refusals can be retried. Retries add at most a tenth to the load, less than what admission
//! leaves free. A request earns at the member that received it; a forwarded request carries its
//! number of tries and earns nothing, so the same bound holds for the sum over all members.
//!
//! *Small callers:* each member reserves one retry a second for callers that had none recently.
//! Otherwise a caller with few requests would earn no retry, since a tenth of few requests is none,
//! and the refusals of a heavy caller would use up what all callers have earned.

use {
    crate::{Error, Kind, Ran, Time, ids::CallerId},
    rustc_hash::FxHashMap,
    std::time::Duration,
};

/// Number of retries that the first try of a request adds to the budget.
const EARNED_RETRIES_PER_TRY: f64 = 0.1;
/// Maximum number of earned retries: the 8 slots and 64 connections of one worker, refused at once,
/// can all be retried. A higher limit would let a quiet hour pay for a retry storm.
const MAX_EARNED_RETRIES: f64 = 72.0;
/// Retries per second reserved for callers that had none recently. The delay that callers get with
/// `RetryBudget` is the time for one such retry.
const RESERVED_RETRIES_PER_SECOND: f64 = 1.0;
/// Maximum number of reserved retries.
const MAX_RESERVED_RETRIES: f64 = 5.0;
/// Time after a caller's retry during which it may use no reserved retry.
const RECENT_RETRY_PERIOD: Duration = Duration::from_secs(10);
/// Maximum number of tries of one request, over all members: if most endpoints refuse, a third
/// random one refuses too.
const MAX_TRIES: u32 = 3;

/// Budget of the retries that one member may make.
pub struct RetryAllowance {
    /// Number of retries that first tries have earned.
    earned_retries: f64,
    /// Number of retries reserved for callers that had none recently.
    reserved_retries: f64,
    /// Time at which `reserved_retries` was last updated.
    refilled_at: Time,
    /// Time of the last retry of each caller.
    last_retry: FxHashMap<CallerId, Time>,
}

impl RetryAllowance {
    /// Creates a budget with no earned retries.
    pub fn new(now: Time) -> Self {
        RetryAllowance {
            earned_retries: 0.0,
            reserved_retries: MAX_RESERVED_RETRIES,
            refilled_at: now,
            last_retry: FxHashMap::default(),
        }
    }

    /// Records that a request is about to be tried; `tries` is the number of its earlier tries,
    /// over all members.
    pub fn record_try(&mut self, tries: u32) {
        if tries == 0 {
            self.earned_retries =
                (self.earned_retries + EARNED_RETRIES_PER_TRY).min(MAX_EARNED_RETRIES);
        }
    }

    /// Decides whether a request that was tried `tries` times and refused with `error` may be
    /// retried.
    ///
    /// # Errors
    ///
    /// Returns `error` if another try is useless or might run the request twice, and `RetryBudget`
    /// if the budget is exhausted.
    pub fn spend_retry(
        &mut self,
        caller: &CallerId,
        error: Error,
        tries: u32,
        now: Time,
    ) -> Result<(), Error> {
        if !can_retry(error.kind()) || tries >= MAX_TRIES {
            return Err(error);
        }
        self.refill_reserved(now);
        let recent =
            self.last_retry.get(caller).is_some_and(|&t| now.since(t) < RECENT_RETRY_PERIOD);
        if self.earned_retries >= 1.0 {
            self.earned_retries -= 1.0;
        } else if self.reserved_retries >= 1.0 && !recent {
            self.reserved_retries -= 1.0;
        } else {
            return Err(Error::new(Kind::RetryBudget, error.to_string()));
        }
        self.last_retry.insert(caller.clone(), now);
        Ok(())
    }

    fn refill_reserved(&mut self, now: Time) {
        let passed = now.since(self.refilled_at);
        self.reserved_retries = (self.reserved_retries
            + RESERVED_RETRIES_PER_SECOND * passed.as_secs_f64())
        .min(MAX_RESERVED_RETRIES);
        // Entries are removed once per period, so the map holds only callers with a retry in the
        // last two periods, whose number the budget limits.
        if self.refilled_at.0 / RECENT_RETRY_PERIOD.as_micros() as u64
            != now.0 / RECENT_RETRY_PERIOD.as_micros() as u64
        {
            self.last_retry.retain(|_, at| now.since(*at) < RECENT_RETRY_PERIOD);
        }
        self.refilled_at = now;
    }
}

/// Returns whether a request that was refused with this kind certainly did not run and may run
/// elsewhere. Refusals by admission are not included: they mean that there is already too much
/// load.
pub fn can_retry(kind: Kind) -> bool {
    let elsewhere = matches!(
        kind,
        Kind::EndpointRefused
            | Kind::NoEndpoint
            | Kind::RingFull
            | Kind::Draining
            | Kind::Stale
            | Kind::Peer
    );
    elsewhere && kind.answer().ran == Ran::No
}
