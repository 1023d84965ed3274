//! Tracks whether a service that this member depends on answers, and how fast. Detects when to log
//! that a service is lost or slow and that it has recovered.
//!
//! A single failed call or late answer is normal. Without a threshold the log would have a line for
//! each of them; without these lines nothing would tell why jobs are late at all members alike.

use {
    crate::time::Time,
    std::{
        collections::VecDeque,
        sync::{Mutex, PoisonError},
        time::{Duration, Instant},
    },
};

/// Minimum number of consecutive calls without an answer after which a service counts as lost.
pub const MIN_LOST_FAILURES: u32 = 3;

/// Tracks whether a service answers.
#[derive(Clone, Debug, Default)]
pub struct Reachability {
    /// Number of consecutive calls without an answer.
    failed_calls: u32,
    /// Time of the first of these failed calls.
    since: Time,
    lost: bool,
}

/// A change of whether a service answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReachabilityChange {
    /// The service has not answered since this time.
    Lost(Time),
    /// The service answers again, after it was lost for this time.
    Restored(Duration),
}

impl Reachability {
    /// Records whether a call was answered; returns a change if there is one.
    pub fn record(&mut self, answered: bool, now: Time) -> Option<ReachabilityChange> {
        if answered {
            let previous = std::mem::take(self);
            return previous.lost.then(|| ReachabilityChange::Restored(now - previous.since));
        }
        if self.failed_calls == 0 {
            self.since = now;
        }
        self.failed_calls += 1;
        if self.lost || self.failed_calls < MIN_LOST_FAILURES {
            return None;
        }
        self.lost = true;
        Some(ReachabilityChange::Lost(self.since))
    }
}

/// Number of recent answers whose median is compared with [`SLOW_THRESHOLDS`].
pub const SAMPLE_COUNT: usize = 9;
/// Medians: a service counts as slow from the first, and as quick again below the second.
///
/// The store usually answers in 4 ms, and in 10 to 20 ms during a burst of this member's own calls.
pub const SLOW_THRESHOLDS: (Duration, Duration) =
    (Duration::from_millis(50), Duration::from_millis(25));

/// Tracks how fast a service answers.
///
/// A slow store refuses and loses nothing, so no error shows the cause, yet each submitted job
/// waits for it twice.
#[derive(Clone, Debug, Default)]
pub struct Latency {
    samples: VecDeque<Duration>,
    slow: bool,
}

/// A change of how fast a service answers, with the median duration of the latest answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LatencyChange {
    /// The service has become slow.
    Slow(Duration),
    /// The service is no longer slow.
    Quick(Duration),
}

impl Latency {
    /// Records the duration of a call; returns a change if there is one.
    pub fn record(&mut self, duration: Duration) -> Option<LatencyChange> {
        if self.samples.len() == SAMPLE_COUNT {
            self.samples.pop_front();
        }
        self.samples.push_back(duration);
        if self.samples.len() < SAMPLE_COUNT {
            return None;
        }
        let mut sorted: Vec<Duration> = self.samples.iter().copied().collect();
        sorted.sort_unstable();
        let median = sorted[SAMPLE_COUNT / 2];
        let slow =
            if self.slow { median >= SLOW_THRESHOLDS.1 } else { median >= SLOW_THRESHOLDS.0 };
        if std::mem::replace(&mut self.slow, slow) == slow {
            return None;
        }
        Some(if slow { LatencyChange::Slow(median) } else { LatencyChange::Quick(median) })
    }
}

/// Tracks whether the services answer one thread and how fast the store answers, and logs each change.
#[derive(Debug)]
pub struct ServiceHealth {
    start: Instant,
    store: Mutex<Reachability>,
    advice: Mutex<Reachability>,
    latency: Mutex<Latency>,
}

impl Default for ServiceHealth {
    fn default() -> Self {
        let (store, advice, latency) = Default::default();
        ServiceHealth { start: Instant::now(), store, advice, latency }
    }
}

impl ServiceHealth {
    /// Records whether the store answered a call.
    pub fn record_store_call(&self, answered: bool) {
        self.record_call(&self.store, "store", answered);
    }

    /// Records whether the advice service answered a call.
    pub fn record_advice_call(&self, answered: bool) {
        self.record_call(&self.advice, "advice", answered);
    }

    /// Records whether a service answered a call; logs when it is lost and when it answers again.
    fn record_call(&self, reachability: &Mutex<Reachability>, service: &str, answered: bool) {
        let now = Time::ZERO + self.start.elapsed();
        let change =
            reachability.lock().unwrap_or_else(PoisonError::into_inner).record(answered, now);
        match change {
            Some(ReachabilityChange::Lost(since)) => {
                let ms = (now - since).as_millis() as u64;
                log::warn!(target: "outside", service, since_ms = ms; "Service is lost.");
            }
            Some(ReachabilityChange::Restored(after)) => {
                let ms = after.as_millis() as u64;
                log::info!(target: "outside", service, after_ms = ms; "Service answers again.");
            }
            None => {}
        }
    }

    /// Records the duration of a call to the store; logs when the store is slow and when it is quick
    /// again.
    pub fn record_latency(&self, duration: Duration) {
        let change = self.latency.lock().unwrap_or_else(PoisonError::into_inner).record(duration);
        match change {
            Some(LatencyChange::Slow(median)) => {
                let median_ms = median.as_millis() as u64;
                log::warn!(target: "outside", median_ms; "Store is slow.");
            }
            Some(LatencyChange::Quick(median)) => {
                let median_ms = median.as_millis() as u64;
                log::info!(target: "outside", median_ms; "Store is quick again.");
            }
            None => {}
        }
    }
}
