//! Decides whether a worker is healthy or quarantined, and whether a run is stuck.
//!
//! *Load pattern:* a worker fails everything it starts, or tasks on it make no progress, or it runs
//! four to eight times slower than its peers. At the same time, some jobs fail on every worker, and
//! between one in 200 and one in 10 tasks of the other jobs fail on their own. *Without it:* a
//! worker that fails tasks at once is always free and attracts most tasks; since tasks have 3 or 4
//! attempts, good jobs are lost within seconds. If failures alone were counted, a burst of bad jobs
//! would quarantine every worker.
//!
//! *Thresholds for failures:* if one run in 32 fails, two jobs that fail in a row without a success
//! between them occur by chance once in 1000 ends. If the worker has seen a higher failure rate
//! while healthy, it takes as many failures as are equally unlikely: three at a rate of one in ten,
//! six at one in three. A failure counts a tenth if the same job has failed on another worker or
//! shortly before on this one, so that a bad job with many tasks does not quarantine every worker
//! it reaches. A single failure makes a worker suspect for 5 s but counts for 30 s: a suspect
//! worker gets few tasks, so a second failure would otherwise never arrive in time.
//!
//! The first quarantine lasts 2 s, about three short tasks. Then one task is sent as a probe, and
//! each failed probe doubles the quarantine, up to 16 s; a dead worker then costs one task every
//! 16 s. A success clears all failures. A success while no probe is out may belong to a task that
//! started before the quarantine, so it only allows the probe to be sent at once.
//!
//! A long-running task does not end, so as a probe it succeeds once it has been running for 2 s. It
//! may be sent 2 s after the quarantine began or the last probe was sent: a failure costs it only
//! one start, while each second that it is not running affects the users of its service.
//!
//! *Thresholds for slowness:* three reports in a row, over at least 2 s, below 0.35 of the speed of
//! the peers. Rough estimates make a healthy worker appear half as fast, and work away from its
//! data and split over two racks reduces that to 0.44; a slow worker reaches 0.25 at most. From 0.5
//! on, the worker counts as healthy again.
//!
//! The caller limits how many workers are quarantined at once with [`max_quarantined`]: if more
//! than a third of a pool looks bad, the cause is not the workers.

use {
    crate::{Time, work::JobNo},
    std::time::Duration,
};

/// Minimum sum of failure weights, without a success between them, that causes a quarantine.
const MIN_THRESHOLD: f64 = 2.0;
/// Maximum sum of failure weights that is required for a quarantine, for workers that often fail
/// tasks while healthy.
const MAX_THRESHOLD: f64 = 8.0;
/// Accepted probability that a healthy worker reaches the threshold by chance.
const FALSE_POSITIVE_RATE: f64 = 0.001;
/// Weight of one run in the moving average of the failure rate, which spans some 60 runs.
const LEARNING_RATE: f64 = 1.0 / 64.0;
/// Time for which a failure counts towards a quarantine if no success follows it.
const FAILURE_WINDOW: Duration = Duration::from_secs(30);
/// Time for which a worker is suspect after a failure or a slow report.
const SUSPECT_PERIOD: Duration = Duration::from_secs(5);
/// Weight of a failure whose job has also failed on another worker, or shortly before on this one.
/// Other failures weigh 1.
const REPEAT_WEIGHT: f64 = 0.1;
/// Maximum number of failures stored; more would not change the verdict.
const MAX_FAILURES: usize = 32;
/// Speed relative to the peers below which a worker is slow.
const SLOW_RATE: f64 = 0.35;
/// Relative speed from which a worker is no longer slow.
const NORMAL_RATE: f64 = 0.5;
/// Minimum number of slow reports in a row that cause a quarantine.
const MIN_SLOW_REPORTS: u32 = 3;
/// Minimum time between the first and the last of the slow reports that cause a quarantine.
const SLOW_PERIOD: Duration = Duration::from_secs(2);
/// Length of the first quarantine of a worker.
const MIN_QUARANTINE: Duration = Duration::from_secs(2);
/// Maximum length of a quarantine.
const MAX_QUARANTINE: Duration = Duration::from_secs(16);
/// Time after which a probe without a result is given up.
const PROBE_TIMEOUT: Duration = Duration::from_secs(10);
/// Divisor of a pool's number of workers that gives the maximum number quarantined at once.
const QUARANTINE_DIVISOR: usize = 3;

/// Assessment of a worker's health, which decides which tasks it may get.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The worker may get any task.
    Sound,
    /// The worker gets tasks only if no sound worker has room.
    Suspect,
    /// The worker gets only the probes that [`WorkerHealth::try_probe`] or [`WorkerHealth::allows_start`]
    /// allows.
    Quarantined {
        /// Time from which a probe may be sent. The quarantine lasts until a probe succeeds.
        until: Time,
    },
}

/// Returns the maximum number of workers that may be quarantined at once in a pool of `workers`.
pub fn max_quarantined(workers: usize) -> usize {
    workers / QUARANTINE_DIVISOR
}

/// Recent failures and slow reports of one worker, and its quarantines.
#[derive(Clone, Debug, Default)]
pub struct WorkerHealth {
    /// Job, weight and time of each failure since the last success.
    failures: Vec<(JobNo, f64, Time)>,
    /// Share of runs that failed while the worker was healthy, as a moving average.
    failure_rate: f64,
    /// Current quarantine because of failures, if any.
    failure_quarantine: Quarantine,
    /// Number of slow reports in a row, and the times of the first and the last of them.
    slow_reports: Option<(u32, Time, Time)>,
    /// Current quarantine because of slowness, if any.
    slow_quarantine: Quarantine,
}

/// State of the quarantine of a worker for one cause: failures or slowness.
#[derive(Clone, Debug, Default)]
struct Quarantine {
    /// Time from which a probe may be sent, or `None` if the worker is not quarantined.
    until: Option<Time>,
    /// Time at which the quarantine began.
    since: Time,
    /// Number of quarantines in a row for this cause; each failed probe doubles their length.
    count: u32,
    /// Time at which the current probe was sent, or `None` if no probe is running.
    probe_sent: Option<Time>,
}

impl WorkerHealth {
    /// Creates the record of a worker without failures or slow reports.
    pub fn new() -> Self {
        WorkerHealth::default()
    }

    /// Records that a run ended by itself. `fails_before` is how often this task, or other tasks of
    /// its job, failed on other workers. Runs that were stopped must not be recorded.
    pub fn record_end(&mut self, job: JobNo, ok: bool, fails_before: u32, now: Time) {
        if ok {
            return self.record_success(now);
        }
        if self.failure_quarantine.until.is_some() {
            return self.failure_quarantine.record_failed_probe(now, fails_before == 0);
        }
        self.failures.retain(|(.., at)| now.since(*at) < FAILURE_WINDOW);
        let known = self.failures.iter().any(|(j, ..)| *j == job);
        let weight = if known || fails_before > 0 { REPEAT_WEIGHT } else { 1.0 };
        if self.failures.len() < MAX_FAILURES {
            self.failures.push((job, weight, now));
        }
        // The failures are kept: if the worker proves healthy, they raise its usual failure rate.
        if self.failure_weight(now, FAILURE_WINDOW) >= self.failure_threshold() {
            self.failure_quarantine.begin(now);
        }
    }

    /// Records the speed of a run, relative to what is expected from its peers. Called with each
    /// progress report and when a run ends by itself; runs that are paced, restored or waiting for
    /// their gang must not be recorded.
    pub fn record_speed(&mut self, rate: f64, now: Time) {
        if rate >= NORMAL_RATE {
            self.slow_reports = None;
            self.slow_quarantine = Quarantine::default();
        } else if rate < SLOW_RATE {
            let recent = self.slow_reports.filter(|(.., last)| now.since(*last) < FAILURE_WINDOW);
            let (count, since, _) = recent.unwrap_or((0, now, now));
            self.slow_reports = Some((count.saturating_add(1), since, now));
            if self.slow_quarantine.until.is_some() {
                self.slow_quarantine.record_failed_probe(now, true);
            } else if count + 1 >= MIN_SLOW_REPORTS && now.since(since) >= SLOW_PERIOD {
                self.slow_quarantine.begin(now);
            }
        }
    }

    /// Returns the current assessment of the worker.
    pub fn verdict(&self, now: Time) -> Verdict {
        let until = self.failure_quarantine.until.max(self.slow_quarantine.until);
        match until {
            Some(until) => Verdict::Quarantined { until },
            None if self.is_suspect(now) => Verdict::Suspect,
            None => Verdict::Sound,
        }
    }

    /// Returns whether a task may be sent to the worker now. In quarantine, the task is recorded as
    /// sent, and no other is allowed until the probe has a result or 10 s have passed.
    pub fn try_probe(&mut self, now: Time) -> bool {
        let allowed = self.allows_start(false, now);
        if allowed {
            self.record_start(now);
        }
        allowed
    }

    /// Returns whether a task may be sent now; `long_running` says whether it is long-running.
    pub fn allows_start(&self, long_running: bool, now: Time) -> bool {
        self.failure_quarantine.allows(long_running, now)
            && self.slow_quarantine.allows(long_running, now)
    }

    /// Records that a task was sent. In quarantine, the task is the probe.
    pub fn record_start(&mut self, now: Time) {
        self.failure_quarantine.record_probe(now);
        self.slow_quarantine.record_probe(now);
    }

    /// Records that a long-running task has been running since `began` and still is.
    ///
    /// Without this, a probe that never ends has no result, and the worker stays closed to all
    /// other tasks while its room is free. The task says nothing about speed, so for a slowness
    /// quarantine it only allows the next probe.
    pub fn record_running(&mut self, began: Time, now: Time) {
        let succeeded = |h: &Quarantine| {
            h.probe_sent.is_some_and(|p| began >= p && began + MIN_QUARANTINE <= now)
        };
        if succeeded(&self.slow_quarantine) {
            self.slow_quarantine.probe_sent = None;
        }
        if succeeded(&self.failure_quarantine) {
            self.record_success(now);
        }
    }

    fn record_success(&mut self, now: Time) {
        if self.failure_quarantine.until.is_some() && self.failure_quarantine.probe_sent.is_none() {
            self.failure_quarantine.until = self.failure_quarantine.until.min(Some(now));
            return;
        }
        for failed in self.failures.iter().map(|_| 1.0).chain([0.0]) {
            self.failure_rate += (failed - self.failure_rate) * LEARNING_RATE;
        }
        self.failures.clear();
        self.failure_quarantine = Quarantine::default();
    }

    fn is_suspect(&self, now: Time) -> bool {
        let slow = self.slow_reports.is_some_and(|(.., last)| now.since(last) < SUSPECT_PERIOD);
        slow || self.failure_weight(now, SUSPECT_PERIOD) >= 1.0
    }

    fn failure_threshold(&self) -> f64 {
        let failure_rate = self.failure_rate.clamp(FALSE_POSITIVE_RATE, 0.9);
        (FALSE_POSITIVE_RATE.ln() / failure_rate.ln()).clamp(MIN_THRESHOLD, MAX_THRESHOLD)
    }

    fn failure_weight(&self, now: Time, span: Duration) -> f64 {
        let recent = self.failures.iter().filter(|(.., at)| now.since(*at) < span);
        recent.map(|(_, weight, _)| weight).sum()
    }
}

impl Quarantine {
    fn begin(&mut self, now: Time) {
        let length = MIN_QUARANTINE.saturating_mul(1 << self.count.min(8)).min(MAX_QUARANTINE);
        *self = Quarantine {
            until: Some(now + length),
            since: now,
            count: self.count + 1,
            probe_sent: None,
        };
    }

    /// Restarts the quarantine after a failed probe, if one was sent. An inconclusive probe doesn't
    /// double the length, since there may be no other task to probe with. A run that started before
    /// the quarantine is not a probe.
    fn record_failed_probe(&mut self, now: Time, conclusive: bool) {
        if self.probe_sent.is_some() {
            self.count -= u32::from(!conclusive && self.count > 0);
            self.begin(now);
        }
    }

    fn allows(&self, long_running: bool, now: Time) -> bool {
        let Some(until) = self.until else { return true };
        let (until, timeout) = match long_running {
            true => (until.min(self.since + MIN_QUARANTINE), MIN_QUARANTINE),
            false => (until, PROBE_TIMEOUT),
        };
        now >= until && self.probe_sent.is_none_or(|at| now.since(at) >= timeout)
    }

    fn record_probe(&mut self, now: Time) {
        self.probe_sent = self.until.map(|_| now);
    }
}

/// Expected time to stop a task, start it on another worker and restore its checkpoint.
const RESTART_TIME: Duration = Duration::from_secs(2);
/// Maximum part of the time between two progress reports in which a healthy run makes no progress,
/// because of a restore or a late report.
const MAX_IDLE_TIME: Duration = Duration::from_millis(600);
/// Minimum time between two progress reports from which a run may be considered stuck. It also
/// protects a run that has just begun.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(1500);
/// Minimum ratio of a run's remaining time to the time of a restart for which the run is considered
/// stuck, since the expected time may be off by a factor of 2.
const WAIT_FACTOR: f64 = 2.0;

/// Returns whether a run makes no progress, or is so slow that a new run, from its checkpoint if
/// the task `saves` one and from the beginning otherwise, would end sooner.
///
/// `then` and `now` are the percentages of two progress reports, `elapsed` apart: 2 to 4 s, or
/// longer while there is no progress. `expected` is the time of the whole task: the median of its
/// peers, or its estimate while it has no peers. Percentages are rounded down, which may hide up to
/// one percent; this is counted in the run's favour, so a run at half of the expected speed or more
/// is never considered stuck. A run at 100 percent that doesn't end may be.
pub fn is_stuck(then: u8, now: u8, elapsed: Duration, expected: Duration, saves: bool) -> bool {
    if elapsed < MIN_REPORT_INTERVAL {
        return false;
    }
    let gained = f64::from(now.saturating_sub(then)) + 1.0;
    let left = f64::from(100_u8.saturating_sub(now).max(1));
    let remaining = (elapsed - MAX_IDLE_TIME).as_secs_f64() * left / gained;
    let restart = if saves { left / 100.0 } else { 1.0 };
    remaining > WAIT_FACTOR * (RESTART_TIME.as_secs_f64() + restart * expected.as_secs_f64())
}
