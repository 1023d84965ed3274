//! Decides when to request tickets for a step that waits for free resources.
//!
//! *Load pattern:* tasks that take a whole worker for a few seconds, in a pool with more work than
//! room. A call for advice takes 0.5 to 1.5 s, and the tickets that it returns are valid for only
//! slightly longer than that. *Without prefetching:* a step asks only once there is room, and the
//! worker is idle until the answer arrives. If tasks take 5.6 s and calls 0.6 s, workers are idle
//! for a tenth of their time although work is waiting. Steps that could be in time are late, and so
//! is each step behind them.
//!
//! So the first steps in order for a worker ask shortly before its room is expected to become free,
//! and again before their tickets expire.
//!
//! *Thresholds:* three steps per worker, because the first may start elsewhere meanwhile, and with
//! two steps a third of the idle time remains. The expected end of a run is accurate to 0.8 s, the
//! time between two progress checks, so the first call is made that much earlier. 150 ms covers the
//! round trip and a short call before this one. Two members are kept free of calls made in advance,
//! for steps that have no ticket yet.

use {
    crate::Time,
    std::{collections::HashMap, hash::Hash, time::Duration},
};

/// Maximum number of waiting steps per worker for which tickets are requested in advance.
const MAX_STEPS_PER_WORKER: u32 = 3;
/// Maximum error of the expected end time of a run.
const MAX_END_ERROR: Duration = Duration::from_millis(800);
/// Time added to the expected duration of a call, for the round trip and a short call before it.
const CALL_OVERHEAD: Duration = Duration::from_millis(150);
/// Maximum number of members that are kept free of calls made in advance.
const MAX_SPARE_MEMBERS: usize = 2;
/// Divisor of the number of members that gives the number kept free of calls made in advance, up to
/// `MAX_SPARE_MEMBERS`.
const MEMBERS_PER_SPARE: usize = 4;
/// Minimum progress since the start, in percentage points, at which the end of a run is predicted
/// from its speed.
const MIN_PROGRESS: u8 = 10;

/// Progress of a run, measured at the last check.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    /// Start time of the run.
    pub started_at: Time,
    /// Share of its work that was done at the start, in percent.
    pub initial_percent: u8,
    /// Share of its work that was done at the last check, in percent.
    pub percent: u8,
    /// Time of the last check.
    pub checked_at: Time,
    /// Expected duration of the whole task.
    pub estimate: Duration,
}

/// Returns the expected end time of a run, computed from its speed up to the last check, or from
/// its estimate while less than `MIN_PROGRESS` has been done.
pub fn expected_end(run: Progress) -> Time {
    let done = run.percent.saturating_sub(run.initial_percent);
    let left = f64::from(100_u8.saturating_sub(run.percent));
    if done >= MIN_PROGRESS {
        return run.checked_at + (run.checked_at - run.started_at).mul_f64(left / f64::from(done));
    }
    let share = f64::from(100_u8.saturating_sub(run.initial_percent)) / 100.0;
    run.started_at + run.estimate.mul_f64(share)
}

/// Number of steps that wait for each full worker in one scheduling round.
#[derive(Clone, Debug)]
pub struct Backlog<W> {
    steps: HashMap<W, u32>,
}

impl<W: Hash + Eq> Default for Backlog<W> {
    fn default() -> Self {
        Backlog { steps: HashMap::new() }
    }
}

impl<W: Hash + Eq> Backlog<W> {
    /// Counts the next step that waits for a worker, and returns whether it is among the first
    /// `MAX_STEPS_PER_WORKER`.
    pub fn add_step(&mut self, worker: W) -> bool {
        let steps = self.steps.entry(worker).or_default();
        *steps += 1;
        *steps <= MAX_STEPS_PER_WORKER
    }
}

/// Returns the latest time at which resources may be expected to become free for an advice call of
/// duration `call_time` to be made now.
pub fn call_ahead_horizon(call_time: Duration, now: Time) -> Time {
    now + call_time + CALL_OVERHEAD + MAX_END_ERROR
}

/// Returns whether a ticket that is valid until `until` expires before a new one could arrive.
pub fn ticket_expires_early(until: Time, call_time: Duration, now: Time) -> bool {
    until <= now + call_time + CALL_OVERHEAD
}

/// Returns whether a call may be made in advance if `idle` of `members` members have no call.
pub fn may_call_ahead(idle: usize, members: usize) -> bool {
    idle > MAX_SPARE_MEMBERS.min(members / MEMBERS_PER_SPARE)
}
