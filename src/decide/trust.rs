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

/// Length of the first quarantine, doubled by each failed probe up to the maximum. A wrong decision
/// costs half a minute of one worker; a broken worker costs two starts an hour.
const MIN_QUARANTINE: Duration = Duration::from_secs(30);
const MAX_QUARANTINE: Duration = Duration::from_secs(1800);
/// Number of probes in a row that must succeed: a worker that fails half of its tasks passes one
/// time in eight.
const REQUIRED_PROBES: u32 = 3;
/// Number of failures in a row from which the starts on a worker are spaced. A good worker has four
/// bad tasks in a row only if most of what is started is bad; the cost is then a wait.
const MIN_STREAK: u32 = 4;
/// First interval between such starts, doubled by each failure up to the maximum. Six starts a
/// minute limit the damage, and keep a good worker that got a series of bad tasks from idling.
const MIN_INTERVAL: Duration = Duration::from_secs(1);
const MAX_INTERVAL: Duration = Duration::from_secs(10);

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The attempt succeeded; for a service, it has been ready for a minute.
    Done,
    /// The attempt failed by itself.
    Failed,
    /// The attempt was stopped, preempted, or lost with its worker: nobody is at fault.
    Stopped,
}

/// What a worker may be given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trust {
    /// Any work.
    Full,
    /// One task, preferably a short one, which [`super::suspect::FaultTracker::record_start`] then records
    /// as the probe.
    Probe,
    /// Nothing until this time; [`Time::NEVER`] while a probe runs.
    Blocked(Time),
}

/// Trust in a worker, and the failures that limit it.
#[derive(Debug, Default)]
pub(super) struct Standing {
    quarantine: Option<Quarantine>,
    /// Failures in a row.
    streak: u32,
    /// Earliest next start while the streak limits starts.
    next_start: Time,
}

#[derive(Debug)]
struct Quarantine {
    until: Time,
    length: Duration,
    probe: Option<TaskId>,
    /// Probes in a row that succeeded.
    passed: u32,
}

impl Standing {
    pub(super) fn trust(&self, now: Time) -> Trust {
        match &self.quarantine {
            None if self.streak < MIN_STREAK => Trust::Full,
            None if now < self.next_start => Trust::Blocked(self.next_start),
            Some(q) if q.probe.is_some() => Trust::Blocked(Time::NEVER),
            Some(q) if now < q.until => Trust::Blocked(q.until),
            _ => Trust::Probe,
        }
    }

    pub(super) fn quarantined(&self) -> bool {
        self.quarantine.is_some()
    }

    pub(super) fn quarantine(&mut self, now: Time) {
        let until = now + MIN_QUARANTINE;
        self.quarantine =
            Some(Quarantine { until, length: MIN_QUARANTINE, probe: None, passed: 0 });
    }

    pub(super) fn started(&mut self, now: Time, task: &TaskId) {
        self.next_start = now + self.interval();
        if let Some(q) = &mut self.quarantine {
            q.probe.get_or_insert_with(|| task.clone());
        }
    }

    /// Counts failures in a row. A failure also delays the next start, since several tasks may be
    /// running when the streak begins.
    pub(super) fn count(&mut self, now: Time, outcome: Outcome) {
        match outcome {
            Outcome::Done => self.streak = 0,
            Outcome::Failed => {
                self.streak += 1;
                self.next_start = self.next_start.max(now + self.interval());
            }
            Outcome::Stopped => {}
        }
    }

    /// Records the end of a task and returns whether it was the last probe needed. A failure counts
    /// only if it is `conclusive` about the worker.
    pub(super) fn probed(
        &mut self,
        now: Time,
        task: &TaskId,
        outcome: Outcome,
        conclusive: bool,
    ) -> bool {
        let Some(q) = &mut self.quarantine else { return false };
        if q.probe.as_ref() != Some(task) {
            return false;
        }
        q.probe = None;
        match outcome {
            Outcome::Done => q.passed += 1,
            Outcome::Failed if conclusive => {
                q.passed = 0;
                q.length = (q.length * 2).min(MAX_QUARANTINE);
                q.until = now + q.length;
            }
            Outcome::Failed | Outcome::Stopped => {}
        }
        let passed = q.passed == REQUIRED_PROBES;
        if passed {
            self.quarantine = None;
        }
        passed
    }

    fn interval(&self) -> Duration {
        let Some(excess) = self.streak.checked_sub(MIN_STREAK) else { return Duration::ZERO };
        MIN_INTERVAL.saturating_mul(1 << excess.min(16)).min(MAX_INTERVAL)
    }
}
