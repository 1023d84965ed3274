//! Decides which runs are blamed for the crash of a worker.
//!
//! *Load pattern:* a task that crashes every worker that starts it, among healthy tasks, while
//! racks and VMs are also lost for other causes. *Without it:* such a task takes down one worker
//! after another as long as its job exists, together with the tasks that run beside it.
//!
//! *Thresholds:* a run did not crash its worker by starting if the worker still answered a second
//! after the start. A task is given up after as many crashes as its queue allows attempts, and not
//! before the third one, because two may be accidents: workers that go down and up repeatedly take
//! the same task with them more than once.
//!
//! A long-running task is never given up, since it has to be restarted however it ends, and workers
//! that are lost in waves take it with them any number of times. After three crashes in a row it is
//! restarted after a pause, so that a task that crashes every worker takes down a bounded number of
//! them.

use {crate::time::Time, std::time::Duration};

/// Minimum number of crashes after which a task that is not long-running is given up.
pub const MIN_CRASHES: usize = 3;
/// Number of crashes in a row after which a long-running task is restarted only after
/// [`RESTART_PAUSE`].
pub const MAX_QUICK_RESTARTS: usize = 3;
/// Time between the crash of a worker and the restart of a long-running task that has crashed
/// [`MAX_QUICK_RESTARTS`] workers in a row: a third of the 6 s within which the task must run again.
pub const RESTART_PAUSE: Duration = Duration::from_secs(2);
/// Time after the start of a run from which an answer of its worker shows that the start did not
/// crash the worker.
pub const SETTLE_TIME: Duration = Duration::from_secs(1);
/// Maximum time between the sending of two starts that count as sent together.
const START_WINDOW: Duration = Duration::from_millis(100);
/// Time for which no other task is started at a worker after the start of a task that has been
/// blamed for a crash. A crash that is caused by a start happens within this time.
pub const ISOLATION_TIME: Duration = Duration::from_millis(300);

/// Returns the rest of a pause at a new owner, if a former owner has stored the end of the pause.
/// Both times are in milliseconds of the Unix clock.
///
/// The clocks of two owners may differ, so the rest is never longer than [`RESTART_PAUSE`].
pub fn remaining_pause(stored_end_ms: Option<u64>, now_ms: u64) -> Duration {
    let left = stored_end_ms.map(|end| Duration::from_millis(end.saturating_sub(now_ms)));
    left.map_or(RESTART_PAUSE, |left| left.min(RESTART_PAUSE))
}

/// State of a run at a worker that has crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashedRun {
    /// Whether the worker had reported the run.
    pub reported: bool,
    /// When the start of the run was sent.
    pub started_at: Time,
    /// Whether the worker has answered [`SETTLE_TIME`] or longer after the start.
    pub settled: bool,
    /// Whether the run belongs to a long-running task, which has no expected end.
    pub lasting: bool,
}

/// Returns the indexes in `all` of the runs that are blamed for the crash.
///
/// These are the runs that started last, with those whose starts were sent together with them. If
/// the worker had not reported any new run, they are the first ones sent, because later ones may
/// have reached a worker that was already down. If there is no new run at all, the only run is
/// blamed, unless its task is long-running. All runs that started together are blamed, because more
/// than one may be a crashing task.
pub fn blamed_runs(all: &[CrashedRun]) -> Vec<usize> {
    let new = || all.iter().filter(|r| !r.settled);
    let last = new().filter(|r| r.reported).map(|r| r.started_at).max();
    if let Some(at) = last.or(new().map(|r| r.started_at).min()) {
        let together =
            |r: &CrashedRun| r.started_at < at + START_WINDOW && at < r.started_at + START_WINDOW;
        return (0..all.len()).filter(|i| !all[*i].settled && together(&all[*i])).collect();
    }
    if let [only] = all
        && !only.lasting
    {
        vec![0]
    } else {
        vec![]
    }
}
