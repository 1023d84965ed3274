//! When a step that waits for room asks for its tickets.
//!
//! *Load pattern:* tasks that take a whole worker for a few seconds, in a pool with more work than
//! room. A call for advice takes half a second to a second and a half, and its tickets are valid for
//! little more. *Without it:* a step asks once there is room, and the worker is idle until the answer
//! comes: a tenth of a pool's time where tasks take 5.6 s and calls 0.6 s, just when none of it can
//! be spared. Steps that could be in time are late, and each step behind them with them.
//!
//! So the steps that come first for a worker ask a while before its room is expected, and again
//! before their tickets end.
//!
//! *Thresholds:* three steps for each worker, as the first may start elsewhere meanwhile, and with two
//! a third of the idle time is left. A run's end is known to about 0.8 s, the time between two looks;
//! so much sooner than needed the first call is made. 150 ms is the way there and back and a short
//! call before this one. Two members stay without a call, for steps that have no ticket at all yet.

use {
    crate::Time,
    std::{collections::HashMap, hash::Hash, time::Duration},
};

/// How many steps are kept supplied for each worker.
const STEPS: u32 = 3;
/// How far the expected end of a run may be off.
const OFF: Duration = Duration::from_millis(800);
/// What a call takes beyond its own time.
const WAY: Duration = Duration::from_millis(150);
/// The members that stay without a call.
const SPARE: usize = 2;
/// With fewer members than this for each one, none can be spared.
const FEW: usize = 4;
/// From how many hundredths on a run's own progress says when it ends.
const TELLS: u8 = 10;

/// How far a run is.
#[derive(Clone, Copy, Debug)]
pub struct Progress {
    /// When it began.
    pub began: Time,
    /// How much of its work was done then, in hundredths.
    pub first: u8,
    /// And at the last look.
    pub last: u8,
    /// When that was.
    pub looked: Time,
    /// What the whole of its work is expected to take.
    pub estimate: Duration,
}

/// When a run is expected to end: by what it had done at the last look, and by its estimate before that
/// tells.
pub fn end(run: Progress) -> Time {
    let done = run.last.saturating_sub(run.first);
    let left = f64::from(100_u8.saturating_sub(run.last));
    if done >= TELLS {
        return run.looked + (run.looked - run.began).mul_f64(left / f64::from(done));
    }
    let whole = f64::from(100_u8.saturating_sub(run.first)) / 100.0;
    run.began + run.estimate.mul_f64(whole)
}

/// The steps of one round that wait for workers without room.
#[derive(Clone, Debug)]
pub struct Line<W> {
    steps: HashMap<W, u32>,
}

impl<W: Hash + Eq> Default for Line<W> {
    fn default() -> Self {
        Line { steps: HashMap::new() }
    }
}

impl<W: Hash + Eq> Line<W> {
    /// Whether the next step in order is among the first for a worker; it counts from then on.
    pub fn join(&mut self, worker: W) -> bool {
        let steps = self.steps.entry(worker).or_default();
        *steps += 1;
        *steps <= STEPS
    }
}

/// Until when a worker must be expected to have room for a call that takes so long to be made now.
pub fn horizon(takes: Duration, now: Time) -> Time {
    now + takes + WAY + OFF
}

/// Whether a ticket ends before another could come.
pub fn ends(until: Time, takes: Duration, now: Time) -> bool {
    until <= now + takes + WAY
}

/// Whether a call may be made ahead where so many of the members have none.
pub fn may(idle: usize, members: usize) -> bool {
    idle > SPARE.min(members / FEW)
}
