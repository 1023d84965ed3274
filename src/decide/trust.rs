//! Tracks how far one worker is trusted: fully, with spaced single starts after failures in a row,
//! or quarantined with probes.
//!
//! The load is that of [`super::suspect`], which decides on quarantines; this module defines their
//! length and how a worker returns to service. Without probes, a repaired worker would stay
//! quarantined, or a broken one would return with full load. Without growing intervals, a broken
//! one would keep consuming starts.

use {
    crate::{Time, ids::TaskId},
    std::time::Duration,
};

/// Length of the first quarantine of a worker. Each failed probe doubles it, up to
/// `MAX_QUARANTINE`. A wrong decision costs half a minute of one worker; a broken worker costs two
/// starts an hour.
const MIN_QUARANTINE: Duration = Duration::from_secs(30);
/// Maximum length of a quarantine.
const MAX_QUARANTINE: Duration = Duration::from_secs(1800);
/// Number of probes in a row that must succeed before a quarantine ends. A worker that fails half
/// of its tasks passes these probes one time in eight.
const REQUIRED_PROBE_SUCCESSES: u32 = 3;
/// Minimum number of failures in a row after which a worker gets single starts at intervals. A good
/// worker has four bad tasks in a row only if most of what is started is bad; the cost is then a
/// wait.
const MIN_FAILURE_STREAK: u32 = 4;
/// Interval between starts on a worker that reached `MIN_FAILURE_STREAK`. Each further failure
/// doubles it, up to `MAX_START_INTERVAL`. Six starts a minute limit the damage, and keep a good
/// worker that got a series of bad tasks from idling.
const MIN_START_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum interval between starts on a worker that has failed many tasks in a row.
const MAX_START_INTERVAL: Duration = Duration::from_secs(10);

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The attempt succeeded; for a service, it has been ready for a minute.
    Done,
    /// The attempt failed by itself.
    Failed,
    /// The attempt was stopped, preempted, or lost with its worker: nobody is at fault.
    Stopped,
}

/// Which tasks a worker or a job may start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trust {
    /// Any task.
    Full,
    /// One task, preferably a short one. On a worker, the task is the probe;
    /// [`super::suspect::FaultTracker::record_start`] records it.
    Probe,
    /// No task until this time, which is [`Time::NEVER`] while a probe runs.
    Blocked(Time),
}

/// Recent failures and the quarantine of one worker, which limit what it may start.
#[derive(Debug, Default)]
pub(super) struct TrustState {
    quarantine: Option<Quarantine>,
    /// Number of failures in a row.
    failure_streak: u32,
    /// Earliest time of the next start, which applies after `MIN_FAILURE_STREAK` failures in a row.
    next_start: Time,
}

#[derive(Debug)]
struct Quarantine {
    /// Time from which a probe may be started.
    until: Time,
    length: Duration,
    /// The task that runs as the probe.
    probe: Option<TaskId>,
    /// Number of probes in a row that succeeded.
    passed_probes: u32,
}

impl TrustState {
    pub(super) fn trust(&self, now: Time) -> Trust {
        match &self.quarantine {
            None if self.failure_streak < MIN_FAILURE_STREAK => Trust::Full,
            None if now < self.next_start => Trust::Blocked(self.next_start),
            Some(q) if q.probe.is_some() => Trust::Blocked(Time::NEVER),
            Some(q) if now < q.until => Trust::Blocked(q.until),
            _ => Trust::Probe,
        }
    }

    pub(super) fn is_quarantined(&self) -> bool {
        self.quarantine.is_some()
    }

    pub(super) fn begin_quarantine(&mut self, now: Time) {
        let until = now + MIN_QUARANTINE;
        self.quarantine =
            Some(Quarantine { until, length: MIN_QUARANTINE, probe: None, passed_probes: 0 });
    }

    pub(super) fn record_start(&mut self, now: Time, task: &TaskId) {
        self.next_start = now + self.start_interval();
        if let Some(q) = &mut self.quarantine {
            q.probe.get_or_insert_with(|| task.clone());
        }
    }

    /// Updates the number of failures in a row. A failure also delays the next start, since several
    /// tasks may be running when the streak begins.
    pub(super) fn record_outcome(&mut self, now: Time, outcome: AttemptOutcome) {
        match outcome {
            AttemptOutcome::Done => self.failure_streak = 0,
            AttemptOutcome::Failed => {
                self.failure_streak += 1;
                self.next_start = self.next_start.max(now + self.start_interval());
            }
            AttemptOutcome::Stopped => {}
        }
    }

    /// Records the end of a task if it is the probe, and returns whether this ended the quarantine.
    /// A failure counts only if it is `conclusive` about the worker.
    pub(super) fn record_probe_end(
        &mut self,
        now: Time,
        task: &TaskId,
        outcome: AttemptOutcome,
        conclusive: bool,
    ) -> bool {
        let Some(q) = &mut self.quarantine else { return false };
        if q.probe.as_ref() != Some(task) {
            return false;
        }
        q.probe = None;
        match outcome {
            AttemptOutcome::Done => q.passed_probes += 1,
            AttemptOutcome::Failed if conclusive => {
                q.passed_probes = 0;
                q.length = (q.length * 2).min(MAX_QUARANTINE);
                q.until = now + q.length;
            }
            AttemptOutcome::Failed | AttemptOutcome::Stopped => {}
        }
        let passed = q.passed_probes == REQUIRED_PROBE_SUCCESSES;
        if passed {
            self.quarantine = None;
        }
        passed
    }

    fn start_interval(&self) -> Duration {
        let Some(excess) = self.failure_streak.checked_sub(MIN_FAILURE_STREAK) else {
            return Duration::ZERO;
        };
        MIN_START_INTERVAL.saturating_mul(1 << excess.min(16)).min(MAX_START_INTERVAL)
    }
}
