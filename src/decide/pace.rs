//! How fast tasks that fill may work beside tasks that serve, on one worker.
//!
//! *Load pattern:* tasks that fill use what processors are left, and disturb the tail of those that
//! serve by amounts that nobody knows beforehand and that change within seconds, as the load of
//! those that serve does. Figures are of the last half second and come every 1 to 2 s, or later
//! where one is lost. *Without it:* a serving task is over its target for as long as the two are
//! side by side; or, with fillers kept away from all that serves, the processors left are idle.
//!
//! *Thresholds:* a task may be over its target for 4 s on end. It is seen within 2 s and the half
//! second that a figure covers, and the order takes effect in a tenth: so over the target all work
//! stops at once, as a second try would come too late. At 80% it is halved, which takes away
//! half of the disturbance before there is harm; once a second at most, as the figure that comes
//! sooner doesn't show yet what the last halving did. Up it goes by 10 points a second, 20 between
//! two figures, and only once the tail was below 60% for a second: in between neither is right, and
//! a tail that is there is left alone, which also keeps a steady load from a saw's teeth. Where
//! serving begins the fillers go down to half, as the first figure is yet to come.

use {crate::Time, std::time::Duration};

/// Tail against target at which the speed is halved.
const NEAR: f64 = 0.8;
/// Tail against target below which it rises.
const LOW: f64 = 0.6;
/// What a serving task without a figure yet counts as: neither up nor down.
pub const UNKNOWN: f64 = 0.7;
/// How long the tail must be low, and how long a halving takes to be seen.
const SEEN: Duration = Duration::from_secs(1);
/// The rise, in points a second.
const RISE: f64 = 10.0;
/// The longest time for which one step rises: over a longer one nothing was known.
const STEP: Duration = Duration::from_secs(2);
/// Where the fillers begin beside what begins to serve.
const BEGIN: f64 = 50.0;
/// Full speed.
const FULL: f64 = 100.0;
/// Speeds are ordered in so many points, lest each step mean a call for each filler.
const GRAIN: f64 = 10.0;

/// The speed of one worker's fillers.
#[derive(Clone, Debug)]
pub struct Pace {
    /// In hundredths; what is ordered is this in whole grains.
    percent: f64,
    /// Whether anything serves.
    serving: bool,
    /// When the last step was.
    last: Time,
    /// Since when the tail has been low.
    low: Option<Time>,
    /// When it was halved last.
    halved: Option<Time>,
}

impl Default for Pace {
    fn default() -> Self {
        Pace::new()
    }
}

impl Pace {
    /// Full speed, with nothing that serves.
    pub fn new() -> Self {
        Pace { percent: FULL, serving: false, last: Time::ZERO, low: None, halved: None }
    }

    /// Takes the worst tail against its target of the tasks that serve on the worker, from a new
    /// figure, and says how fast each filler is to work, in hundredths. `worst` is none where no
    /// task serves, and [`UNKNOWN`] where there is no figure yet.
    pub fn step(&mut self, worst: Option<f64>, now: Time) -> u8 {
        let passed = now.since(self.last).min(STEP);
        self.last = now;
        let Some(worst) = worst else {
            *self = Pace { last: now, ..Pace::new() };
            return self.wanted();
        };
        if !self.serving {
            self.serving = true;
            self.percent = BEGIN;
        }
        if worst >= LOW {
            self.low = None;
        }
        if worst > 1.0 {
            self.percent = 0.0;
            self.halved = Some(now);
        } else if worst >= NEAR {
            self.halve(now);
        } else if worst < LOW {
            self.rise(passed, now);
        }
        self.wanted()
    }

    /// How fast each filler is to work, in hundredths.
    pub fn wanted(&self) -> u8 {
        ((self.percent / GRAIN).floor() * GRAIN) as u8
    }

    fn halve(&mut self, now: Time) {
        if self.halved.is_none_or(|at| now.since(at) >= SEEN) {
            self.percent /= 2.0;
            self.halved = Some(now);
        }
    }

    fn rise(&mut self, passed: Duration, now: Time) {
        let low = *self.low.get_or_insert(now);
        let long = now.since(low).saturating_sub(SEEN).min(passed);
        self.percent = (self.percent + RISE * long.as_secs_f64()).min(FULL);
    }
}
