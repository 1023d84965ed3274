//! One worker's standing: full trust, single starts after failures in a row, or quarantine with probes.
//!
//! The load is that of [`super::suspect`], which passes the verdicts; here stand their terms and how a
//! worker comes back. Without probes a mended worker would stay out, or a broken one be let back in
//! whole; without growing times a broken one would go on taking starts.

use {
    crate::{Time, ids::TaskId},
    std::time::Duration,
};

/// The first quarantine, doubled by each failed probe up to the longest. A wrong verdict costs half a
/// minute of one worker; a broken worker costs two starts an hour.
const QUARANTINE: Duration = Duration::from_secs(30);
const QUARANTINE_MAX: Duration = Duration::from_secs(1800);
/// Probes in a row that must end well: a worker that fails half of its tasks passes one in eight.
const PROBES: u32 = 3;
/// Failures in a row from which a worker's starts are spaced. A good worker has four bad tasks in a row
/// only when most of what is started is bad, and then pays with a wait.
const STREAK: u32 = 4;
/// The first space between such starts, doubled by each failure up to the longest: six starts a minute
/// bound the damage, and keep a good worker that met a run of bad tasks from standing idle.
const SPACE: Duration = Duration::from_secs(1);
const SPACE_MAX: Duration = Duration::from_secs(10);
/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It ended well; for a service, it has been ready for a minute.
    Done,
    /// It failed by itself.
    Failed,
    /// It was stopped, preempted, or lost with its worker: nobody is blamed.
    Stopped,
}

/// What a worker may be given.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Trust {
    /// Any work.
    Full,
    /// One task, best a short one, which [`super::suspect::Suspects::started`] then takes as the probe.
    Probe,
    /// Nothing until this time; [`Time::NEVER`] while a probe runs.
    Held(Time),
}

/// How far a worker is trusted, and why.
#[derive(Debug, Default)]
pub(super) struct Standing {
    quarantine: Option<Quarantine>,
    /// Failures in a row.
    streak: u32,
    /// The next start while they last.
    next: Time,
}

#[derive(Debug)]
struct Quarantine {
    until: Time,
    wait: Duration,
    probe: Option<TaskId>,
    passed: u32,
}

impl Standing {
    pub(super) fn trust(&self, now: Time) -> Trust {
        match &self.quarantine {
            None if self.streak < STREAK => Trust::Full,
            None if now < self.next => Trust::Held(self.next),
            Some(q) if q.probe.is_some() => Trust::Held(Time::NEVER),
            Some(q) if now < q.until => Trust::Held(q.until),
            _ => Trust::Probe,
        }
    }

    pub(super) fn quarantined(&self) -> bool {
        self.quarantine.is_some()
    }

    pub(super) fn quarantine(&mut self, now: Time) {
        let until = now + QUARANTINE;
        self.quarantine = Some(Quarantine { until, wait: QUARANTINE, probe: None, passed: 0 });
    }

    pub(super) fn started(&mut self, now: Time, task: &TaskId) {
        self.next = now + self.space();
        if let Some(q) = &mut self.quarantine {
            q.probe.get_or_insert_with(|| task.clone());
        }
    }

    /// Counts failures in a row; a failure puts off the next start as well, since several tasks may
    /// run when the streak begins.
    pub(super) fn count(&mut self, now: Time, outcome: Outcome) {
        match outcome {
            Outcome::Done => self.streak = 0,
            Outcome::Failed => {
                self.streak += 1;
                self.next = self.next.max(now + self.space());
            }
            Outcome::Stopped => {}
        }
    }

    /// Takes the end of a task, and says whether it was the last probe needed; a failure counts only
    /// if the worker is `blamed` for it.
    pub(super) fn probed(
        &mut self,
        now: Time,
        task: &TaskId,
        outcome: Outcome,
        blamed: bool,
    ) -> bool {
        let Some(q) = &mut self.quarantine else { return false };
        if q.probe.as_ref() != Some(task) {
            return false;
        }
        q.probe = None;
        match outcome {
            Outcome::Done => q.passed += 1,
            Outcome::Failed if blamed => {
                q.passed = 0;
                q.wait = (q.wait * 2).min(QUARANTINE_MAX);
                q.until = now + q.wait;
            }
            Outcome::Failed | Outcome::Stopped => {}
        }
        let passed = q.passed == PROBES;
        if passed {
            self.quarantine = None;
        }
        passed
    }

    fn space(&self) -> Duration {
        let Some(over) = self.streak.checked_sub(STREAK) else { return Duration::ZERO };
        SPACE.saturating_mul(1 << over.min(16)).min(SPACE_MAX)
    }
}
