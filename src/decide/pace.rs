//! Decides how fast filler tasks may work beside serving tasks on one worker.
//!
//! *Load pattern:* fillers use the processors that are left, and raise the tail latency of serving
//! tasks by amounts that are not known in advance and that change within seconds, like the load of
//! the serving tasks. Measurements cover the last half second and arrive every 1 to 2 s, or later
//! if one is lost. *Without it:* a serving task exceeds its target as long as a filler runs beside
//! it; or, if fillers are kept away from all serving tasks, the remaining processors are idle.
//!
//! *Thresholds:* a task may exceed its target for 4 s at a time. An excess is seen within 2 s plus
//! the half second that a measurement covers, and an order takes effect within 0.1 s. So above the
//! target all fillers stop at once, because a second attempt would come too late. At 80% of the
//! target their speed is halved, which removes half of the disturbance before the target is
//! exceeded. This happens at most once per second, because an earlier measurement doesn't show the
//! effect of the last halving yet. The speed rises by 10 points per second, at most 20 between two
//! measurements, and only after the tail was below 60% for a second. Between 60% and 80% the speed
//! stays, so that it doesn't oscillate under a steady load. When a task begins to serve, the
//! fillers go down to half speed until its first measurement.

use {crate::Time, std::time::Duration};

/// Minimum ratio of tail latency to target at which the speed of fillers is halved.
const HALVE_RATIO: f64 = 0.8;
/// Maximum ratio of tail latency to target at which the speed of fillers rises.
const MAX_RISE_RATIO: f64 = 0.6;
/// Ratio of tail latency to target that is assumed for a serving task without a measurement. It
/// leaves the speed unchanged.
pub const UNMEASURED_TAIL_RATIO: f64 = 0.7;
/// Time for which the tail latency must be low before the speed rises. Also the time until
/// measurements show the effect of a halving.
const FEEDBACK_DELAY: Duration = Duration::from_secs(1);
/// Rise of the speed, in percentage points per second.
const RISE_PER_S: f64 = 10.0;
/// Maximum time since the last update that counts towards a rise of the speed. In a longer time
/// measurements were missing.
const MAX_RISE_INTERVAL: Duration = Duration::from_secs(2);
/// Speed of fillers, in percent, when a task begins to serve.
const INITIAL_PERCENT: f64 = 50.0;
/// Full speed, in percent.
const FULL_PERCENT: f64 = 100.0;
/// Granularity of ordered speeds, in percentage points, so that not every update causes a call for
/// each filler.
const PERCENT_STEP: f64 = 10.0;

/// Controls the speed of one worker's fillers.
#[derive(Clone, Debug)]
pub struct Pace {
    /// Current speed in percent; orders are rounded down to whole `PERCENT_STEP`s.
    percent: f64,
    /// Whether a serving task runs on the worker.
    serving: bool,
    /// Time of the last update.
    last_update: Time,
    /// Since when the tail latency has been low; `None` while it is not low.
    low_since: Option<Time>,
    /// When the speed was last halved.
    halved_at: Option<Time>,
}

impl Default for Pace {
    fn default() -> Self {
        Pace::new()
    }
}

impl Pace {
    /// Creates a controller at full speed, without serving tasks.
    pub fn new() -> Self {
        Pace {
            percent: FULL_PERCENT,
            serving: false,
            last_update: Time::ZERO,
            low_since: None,
            halved_at: None,
        }
    }

    /// Updates the speed by a new measurement, and returns the speed of each filler in percent.
    /// `worst` is the highest ratio of tail latency to target among the serving tasks of the
    /// worker. It is `None` if no serving task runs there, and [`UNMEASURED_TAIL_RATIO`] if there is no
    /// measurement yet.
    pub fn update(&mut self, worst: Option<f64>, now: Time) -> u8 {
        let passed = now.since(self.last_update).min(MAX_RISE_INTERVAL);
        self.last_update = now;
        let Some(worst) = worst else {
            *self = Pace { last_update: now, ..Pace::new() };
            return self.ordered_percent();
        };
        if !self.serving {
            self.serving = true;
            self.percent = INITIAL_PERCENT;
        }
        if worst >= MAX_RISE_RATIO {
            self.low_since = None;
        }
        if worst > 1.0 {
            self.percent = 0.0;
            self.halved_at = Some(now);
        } else if worst >= HALVE_RATIO {
            self.halve(now);
        } else if worst < MAX_RISE_RATIO {
            self.rise(passed, now);
        }
        self.ordered_percent()
    }

    /// Returns the ordered speed of each filler, in percent.
    pub fn ordered_percent(&self) -> u8 {
        ((self.percent / PERCENT_STEP).floor() * PERCENT_STEP) as u8
    }

    fn halve(&mut self, now: Time) {
        if self.halved_at.is_none_or(|at| now.since(at) >= FEEDBACK_DELAY) {
            self.percent /= 2.0;
            self.halved_at = Some(now);
        }
    }

    fn rise(&mut self, passed: Duration, now: Time) {
        let low = *self.low_since.get_or_insert(now);
        let duration = now.since(low).saturating_sub(FEEDBACK_DELAY).min(passed);
        self.percent = (self.percent + RISE_PER_S * duration.as_secs_f64()).min(FULL_PERCENT);
    }
}
