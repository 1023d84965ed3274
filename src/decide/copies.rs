//! Decides which tasks get a second run (a copy) in parallel, if their step allows copies.
//!
//! *Load pattern:* a step ends with its last task, and among many similar tasks one or two take
//! many times as long: their worker is slow, or fails without showing it, for some seconds.
//! *Without it:* the step, and all work that waits for it, ends with the slowest worker. If the
//! slow run were stopped and started elsewhere instead, its progress would be lost, which is worse
//! if it would have ended soon.
//!
//! *Thresholds:* a copy is work that is done and paid for twice, so it must be likely to end first.
//! A run is compared with the median of its siblings' complete runs, once three have ended, because
//! the errors of estimates are larger than the effect that is looked for. It must have run for one
//! and a half times that median: sizes within a step differ by less, so below it most runs are
//! simply the larger tasks. The time that it still needs at its own speed must be twice what a copy
//! takes from the start order to the end. The copy then ends with half of the difference to spare,
//! and still in time if its own worker is half as fast as the siblings'. At most a tenth of a
//! step's tasks, but at least one, have a copy at the same time: if more are slow, the cause is not
//! a few workers. Copies only take room that no other task waits for.

use std::time::Duration;

/// Minimum number of finished sibling tasks needed to estimate a task's run time.
pub const MIN_SIBLINGS: usize = 3;
/// Minimum ratio of a run's elapsed time to the median run time of its siblings for a copy.
const MIN_RUN_RATIO: f64 = 1.5;
/// Minimum ratio of the remaining time of a run to the time that a copy takes.
const MIN_TIME_RATIO: f64 = 2.0;
/// Time added to a run by the delivery of its start order and of its end report.
const START_OVERHEAD: Duration = Duration::from_millis(300);
/// Divisor of a step's number of tasks that gives the maximum number of copies at the same time.
const COPIES_DIVISOR: u32 = 10;

/// A run that may be slow enough for a copy.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// Time since the start of the run.
    pub elapsed: Duration,
    /// Share of the work that was done at its start, in percent.
    pub initial_percent: u8,
    /// Share of the work that is done, in percent.
    pub percent: u8,
    /// Share of the work that is saved in a checkpoint and that a copy would skip, in percent.
    pub saved_percent: u8,
}

/// Returns the time that a run still needs at its own speed if a copy of it is worthwhile.
/// `expected` is the median of its siblings' complete runs.
pub fn copy_worthwhile(run: Candidate, expected: Duration) -> Option<Duration> {
    if run.elapsed < expected.mul_f64(MIN_RUN_RATIO) {
        return None;
    }
    // Progress is rounded down to whole percents, so one more percent is assumed, in favour of the
    // run.
    let gain = f64::from(run.percent.saturating_sub(run.initial_percent)) + 1.0;
    let left = f64::from(100_u8.saturating_sub(run.percent).max(1));
    let remaining = run.elapsed.mul_f64(left / gain);
    let copy_time = expected.mul_f64(f64::from(100_u8.saturating_sub(run.saved_percent)) / 100.0)
        + START_OVERHEAD;
    (remaining >= copy_time.mul_f64(MIN_TIME_RATIO)).then_some(remaining)
}

/// Returns the maximum number of tasks of a step that may have a copy at the same time.
pub fn max_copies(tasks: u32) -> u32 {
    (tasks / COPIES_DIVISOR).max(1)
}
