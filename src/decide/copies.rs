//! Which tasks get a second run beside the first, where their step allows copies.
//!
//! *Load pattern:* a step ends with its last task, and among many alike tasks one or two take many
//! times as long: their worker is slow or fails without showing it, and does so for some seconds.
//! *Without it:* the step, and all that waits for it, ends with the slowest worker; or the slow run is
//! stopped and begun anew elsewhere, which loses what it did and is worse where it would have ended
//! soon after all.
//!
//! *Thresholds:* a copy is work done twice, which is paid for, so it has to be likely to end first.
//! A run is compared with the median of its siblings' whole runs, once three have ended: estimates are
//! off by more than what is looked for. It must have run for one and a half times that; sizes differ by
//! less than that within a step, so below it most runs are simply the larger tasks. What it still needs
//! by its own speed must be twice what a copy takes from the start order to the end: by then the
//! copy has ended with half of the difference to spare, also where its own worker is half as fast as
//! the siblings'. At most a tenth of a step's tasks, one at least, have a copy at once: where more are
//! slow the cause is not a few workers. Copies take only room that nothing waits for.

use std::time::Duration;

/// How many whole runs of siblings make an expectation.
pub const SIBLINGS: usize = 3;
/// How many times as long as its siblings a run must have taken.
const LONG: f64 = 1.5;
/// How many times as long as the copy it must still need.
const GAIN: f64 = 2.0;
/// What a start takes: the order's way, and the end's.
const START: Duration = Duration::from_millis(300);
/// Of how many tasks of a step one may have a copy.
const SHARE: u32 = 10;

/// A run that may be slow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Runner {
    /// How long it has run.
    pub ran: Duration,
    /// What was done when it began, in hundredths.
    pub from: u8,
    /// What is done, in hundredths.
    pub done: u8,
    /// What of the work a copy would find done, in hundredths.
    pub saved: u8,
}

/// What a run still needs by its own speed, if a copy of it is worth its price; `expected` is the
/// median of its siblings' whole runs.
pub fn worth(run: Runner, expected: Duration) -> Option<Duration> {
    if run.ran < expected.mul_f64(LONG) {
        return None;
    }
    // Whole hundredths hide up to one, which counts in the run's favour.
    let gain = f64::from(run.done.saturating_sub(run.from)) + 1.0;
    let left = f64::from(100_u8.saturating_sub(run.done).max(1));
    let needs = run.ran.mul_f64(left / gain);
    let again = expected.mul_f64(f64::from(100_u8.saturating_sub(run.saved)) / 100.0) + START;
    (needs >= again.mul_f64(GAIN)).then_some(needs)
}

/// How many tasks of a step may have a copy at once.
pub fn most(tasks: u32) -> u32 {
    (tasks / SHARE).max(1)
}
