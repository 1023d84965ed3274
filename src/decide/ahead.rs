//! Decides when a step that waits for room asks for its tickets.
//!
//! *Load pattern:* tasks that take a whole worker for a few seconds, in a pool with more work than
//! room. A call for advice takes 0.5 to 1.5 s, and its tickets are valid for little longer.
//! *Without it:* a step asks only once there is room, and the worker is idle until the answer
//! arrives. This is a tenth of a pool's time if tasks take 5.6 s and calls 0.6 s, at a moment when
//! the pool has no time to spare. Steps that could be in time are late, and so is each step behind
//! them.
//!
//! So the first steps in order for a worker ask shortly before its room is expected to become free,
//! and again before their tickets expire.
//!
//! *Thresholds:* three steps per worker, because the first may start elsewhere meanwhile, and with
//! two steps a third of the idle time remains. The end of a run is known to within 0.8 s, the time
//! between two progress checks, so the first call is made that much earlier. 150 ms covers the
//! round trip and a short call before this one. Two members stay without a call, for steps that
//! have no ticket yet.

use {
    crate::Time,
    std::{collections::HashMap, hash::Hash, time::Duration},
};

/// Number of steps per worker that are kept supplied with tickets.
const STEPS_PER_WORKER: u32 = 3;
/// Largest error of a run's expected end.
const END_ERROR: Duration = Duration::from_millis(800);
/// Time that a call takes beyond its own duration.
const CALL_OVERHEAD: Duration = Duration::from_millis(150);
/// Number of members that stay without a call.
const SPARE_MEMBERS: usize = 2;
/// Members that are needed for each member that stays without a call.
const MEMBERS_PER_SPARE: usize = 4;
/// Least progress, in percent, from which a run's own speed predicts its end.
const MIN_PROGRESS: u8 = 10;

/// Progress of a run.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    /// When it started.
    pub started_at: Time,
    /// Share of its work that was done at the start, in percent.
    pub initial_percent: u8,
    /// Share of its work that was done at the last check, in percent.
    pub percent: u8,
    /// Time of the last check.
    pub checked_at: Time,
    /// Expected duration of its whole work.
    pub estimate: Duration,
}

/// Expected end of a run: by its speed up to the last check, or by its estimate while its progress
/// is too small to tell.
pub fn expected_end(run: Progress) -> Time {
    let done = run.percent.saturating_sub(run.initial_percent);
    let left = f64::from(100_u8.saturating_sub(run.percent));
    if done >= MIN_PROGRESS {
        return run.checked_at + (run.checked_at - run.started_at).mul_f64(left / f64::from(done));
    }
    let share = f64::from(100_u8.saturating_sub(run.initial_percent)) / 100.0;
    run.started_at + run.estimate.mul_f64(share)
}

/// Counts, for one round, the steps that wait for each worker without room.
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
    /// Adds the next step in order to a worker's count, and returns whether it is among the first
    /// ones.
    pub fn add(&mut self, worker: W) -> bool {
        let steps = self.steps.entry(worker).or_default();
        *steps += 1;
        *steps <= STEPS_PER_WORKER
    }
}

/// Latest expected time of room at a worker for which a call of duration `call_time` should be made
/// now.
pub fn horizon(call_time: Duration, now: Time) -> Time {
    now + call_time + CALL_OVERHEAD + END_ERROR
}

/// Whether a ticket that is valid until `until` expires before a new one could arrive.
pub fn expires_early(until: Time, call_time: Duration, now: Time) -> bool {
    until <= now + call_time + CALL_OVERHEAD
}

/// Whether a call may be made in advance while `idle` of the members have no call.
pub fn may_call_ahead(idle: usize, members: usize) -> bool {
    idle > SPARE_MEMBERS.min(members / MEMBERS_PER_SPARE)
}
