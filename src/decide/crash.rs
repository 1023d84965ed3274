//! Which runs a worker's crash is laid to.
//!
//! *Load pattern:* a task that crashes each worker that starts it, among tasks that are sound; racks
//! and VMs that are lost for other causes. *Without it:* such a task takes one worker after the
//! other down for as long as its job is there, and what runs beside it each time.
//!
//! *Thresholds:* a run under which its worker answered a second after its start did not crash it by
//! starting. Three crashes, as two may be accidents: workers that go down and up again take a task
//! with them more than once.

use {crate::time::Time, std::time::Duration};

/// The crashes after which a task is not started again.
pub const CRASHES: usize = 3;
/// A run under which its worker has answered so long after the start has not crashed it by that.
pub const SETTLED: Duration = Duration::from_secs(1);
/// Runs whose starts were sent within less have begun together.
const TOGETHER: Duration = Duration::from_millis(100);
/// How long nothing else starts at a worker where a task has begun under which another has crashed: a
/// crash that its start brings about comes at once.
pub const ALONE: Duration = Duration::from_millis(300);

/// What is known of a run at a worker that has crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Resident {
    /// Whether the worker had said that it was there.
    pub there: bool,
    /// When its start was sent.
    pub began: Time,
    /// Whether the worker has answered [`SETTLED`] after its start.
    pub settled: bool,
    /// Whether its task lasts.
    pub lasts: bool,
}

/// The runs, by their places in `all`, to which the crash is laid.
///
/// Those that had begun last, with what was sent together with them; where no new one had begun, the
/// first that were sent, as later ones may have met a worker that was down. Else the only run, if
/// its task doesn't last. Of several that began together none is let off: more than one may be such
/// a task.
pub fn blamed(all: &[Resident]) -> Vec<usize> {
    let new = || all.iter().filter(|r| !r.settled);
    let last = new().filter(|r| r.there).map(|r| r.began).max();
    if let Some(at) = last.or(new().map(|r| r.began).min()) {
        let together = |r: &Resident| r.began < at + TOGETHER && at < r.began + TOGETHER;
        return (0..all.len()).filter(|i| !all[*i].settled && together(&all[*i])).collect();
    }
    if let [only] = all
        && !only.lasts
    {
        vec![0]
    } else {
        vec![]
    }
}
