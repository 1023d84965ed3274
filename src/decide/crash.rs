//! Which runs a worker's crash is laid to.
//!
//! *Load pattern:* a task that crashes each worker that starts it, among tasks that are sound; racks
//! and VMs that are lost for other causes. *Without it:* such a task takes one worker after the
//! other down for as long as its job is there, and what runs beside it each time.
//!
//! *Thresholds:* a run that was seen at work a second after its start did not crash its worker by
//! starting. Three crashes, as two may be accidents: workers that go down and up again take a task
//! with them more than once.

use std::time::Duration;

/// The crashes after which a task is not started again.
pub const CRASHES: usize = 3;
/// A run that was seen so long after its start has not crashed its worker by starting.
pub const SETTLED: Duration = Duration::from_secs(1);
/// How long a task under which a worker has crashed waits for a worker without another such task.
pub const APART: Duration = Duration::from_secs(1);

/// What is known of a run at a worker that has crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Resident {
    /// Whether the worker had said that it was there.
    pub there: bool,
    /// Whether it was seen [`SETTLED`] after its start.
    pub settled: bool,
    /// Whether its task lasts.
    pub lasts: bool,
}

/// The runs, by their places in `all`, to which the crash is laid.
///
/// Those that had just begun; where none had, those whose start was not answered; else the only run,
/// if its task doesn't last.
pub fn blamed(all: &[Resident]) -> Vec<usize> {
    let places = |is: fn(&Resident) -> bool| -> Vec<usize> {
        (0..all.len()).filter(|i| is(&all[*i])).collect()
    };
    let begun = places(|r| r.there && !r.settled);
    if !begun.is_empty() {
        return begun;
    }
    let sent = places(|r| !r.there && !r.settled);
    if !sent.is_empty() {
        return sent;
    }
    if let [only] = all
        && !only.lasts
    {
        vec![0]
    } else {
        vec![]
    }
}
