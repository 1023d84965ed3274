//! Which refused requests are tried again, and how many over the whole fleet.
//!
//! *Load pattern:* endpoints refuse or can't be reached, a few (a worker restarts) or all (an
//! outage, overload). *Without it:* each request is tried several times just when there is least
//! to serve it; the load grows by that factor at each layer that tries again, and the outage stays
//! after its cause has gone. A retry of what may have run would run it twice.
//!
//! *Budget:* a first try earns a tenth of a retry. Of a pool with one bad worker in ten or more all
//! refusals can be tried again; and retries add a tenth to the load at most, less than what the
//! admission leaves free. A request earns at the member that it came to; a forwarded one carries
//! its try count and earns nothing, so the sum over members keeps the same bound.
//!
//! *Small callers:* one retry a second at each member is kept for callers that have not had one of
//! late: where there are few requests a tenth of them is none, and a heavy caller's refusals would
//! use up what all have earned.

use {
    crate::{Error, Kind, Ran, Time, ids::CallerId},
    rustc_hash::FxHashMap,
    std::time::Duration,
};

/// The part of a retry that a first try earns.
const EARN: f64 = 0.1;
/// The most that may be saved up: a worker's 8 slots and 64 connections refused at once are tried
/// again, and not more, lest a quiet hour pay for a storm.
const MOST: f64 = 72.0;
/// Retries a second that are kept for callers that had none of late; what `RetryBudget` tells
/// callers to wait is the time for one.
const KEPT: f64 = 1.0;
/// The most of those that may be saved up.
const MOST_KEPT: f64 = 5.0;
/// A caller that had a retry uses none of the kept ones for this long.
const LATELY: Duration = Duration::from_secs(10);
/// The tries of one request, over all members: a third random endpoint refuses too where most do.
const TRIES: u32 = 3;

/// The retries that one member may make.
pub struct Budget {
    earned: f64,
    kept: f64,
    /// When `kept` was reckoned.
    at: Time,
    /// When each caller had its last retry.
    last: FxHashMap<CallerId, Time>,
}

impl Budget {
    /// A budget that has earned nothing yet.
    pub fn new(now: Time) -> Self {
        Budget { earned: 0.0, kept: MOST_KEPT, at: now, last: FxHashMap::default() }
    }

    /// Records a request that is about to be tried, after `tries` tries at any member.
    pub fn tried(&mut self, tries: u32) {
        if tries == 0 {
            self.earned = (self.earned + EARN).min(MOST);
        }
    }

    /// Lets a request be tried again that was tried `tries` times and refused with `error`.
    ///
    /// Errs with that same error where another try is no use or might run the request twice, and
    /// with `RetryBudget` where the budget is spent.
    pub fn retry(
        &mut self,
        caller: &CallerId,
        error: Error,
        tries: u32,
        now: Time,
    ) -> Result<(), Error> {
        if !can_retry(error.kind()) || tries >= TRIES {
            return Err(error);
        }
        self.refill(now);
        let lately = self.last.get(caller).is_some_and(|&t| now.since(t) < LATELY);
        if self.earned >= 1.0 {
            self.earned -= 1.0;
        } else if self.kept >= 1.0 && !lately {
            self.kept -= 1.0;
        } else {
            return Err(Error::new(Kind::RetryBudget, error.to_string()));
        }
        self.last.insert(caller.clone(), now);
        Ok(())
    }

    fn refill(&mut self, now: Time) {
        let passed = now.since(self.at);
        self.kept = (self.kept + KEPT * passed.as_secs_f64()).min(MOST_KEPT);
        // The map holds callers with a retry in two spans at most, which the budget bounds.
        if self.at.0 / LATELY.as_micros() as u64 != now.0 / LATELY.as_micros() as u64 {
            self.last.retain(|_, at| now.since(*at) < LATELY);
        }
        self.at = now;
    }
}

/// Whether a request refused so certainly did not run, and may run elsewhere. Refusals by admission
/// are not among them: they say that there is too much load already.
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
