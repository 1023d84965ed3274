//! Decides which waiting steps lose value soon, and which of those are worth the most for the
//! capacity that they take (utility accrual scheduling).
//!
//! Load: more work than capacity for many seconds, quick jobs beside long ones, and estimates of run
//! times that are off by up to 0.9 of their value. If every step that may still be in time went
//! before every late one, late quick jobs would lose their remaining value beside long jobs that
//! have half a minute to spare. If the order were by due time alone, nearly every job of a queue
//! that cannot keep up would start at the last moment and end just after its objective. If
//! estimates were taken as they are, jobs whose estimate is too low would count as lost while they
//! could still be in time.
//!
//! A job has its full value until its objective, the late value until a multiple of it, then none.
//! A step is urgent if its job may lose value within the horizon. Among the urgent steps of one
//! priority, the one whose job loses the most for the capacity and time that it still takes goes
//! first, so that few jobs are given up, and few of them after most of their work is done. All other
//! steps can wait and go by their due time.
//!
//! The configuration has no values of jobs, so all jobs count alike.

use {
    crate::{time::millis, units::Size},
    std::{collections::VecDeque, time::Duration},
};

/// A step is urgent if its job may lose value within this time, plus one part in
/// [`HORIZON_DIVISOR`] of the objective. The time covers a stop, a restore and an advice call before
/// the start. Without the part of the objective, long jobs start too late to allow for errors of
/// their estimates.
const MIN_HORIZON: Duration = Duration::from_secs(2);
const HORIZON_DIVISOR: u32 = 4;
/// Value of a job that ends late, as a fraction of the value of a job in time.
const LATE_VALUE: f64 = 0.2;
/// Ratio of the greatest to the least work per value within one level; steps of one level go by
/// their due time. With a ratio of 4, the largest tenth of the long jobs was in time less than half as
/// often as all of them at twice the capacity, since the sizes of one kind differ by more than that.
/// With 8, late quick jobs shared a level with those that could be in time.
const LEVEL_WIDTH: f64 = 16.0;
/// Number of steps of a queue whose run times are remembered.
const MAX_SAMPLES: usize = 64;
/// Minimum number of steps from which the observed ratios replace the ratio 1. The quantiles below
/// need at least one sample on either side.
const MIN_SAMPLES: usize = 10;
/// The quantiles of the ratio by which a step is considered lost, and urgent. A step is given up only
/// if nine in ten like it would be late. With the median, a queue of quick jobs with little slack is
/// given up as soon as it has waited for a moment. A step is urgent if one in ten like it would lose
/// value.
const QUANTILES: [f64; 2] = [0.1, 0.9];
/// Bounds of a recorded ratio, so that a stopped clock or a run of no length has no great weight.
const RATIO_BOUNDS: (f64, f64) = (0.05, 20.0);
/// Relative change from which new quantiles are used, so that each end of a step does not reorder
/// all steps of its queue.
const MIN_CHANGE: f64 = 0.1;

/// Quantiles of the ratio of observed to estimated run time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Ratios {
    /// The ratio that nine in ten steps exceed.
    pub low: f64,
    /// The ratio that one in ten steps exceeds.
    pub high: f64,
}

impl Default for Ratios {
    fn default() -> Self {
        Ratios { low: 1.0, high: 1.0 }
    }
}

/// The ratios of observed to estimated run time of the last steps of a queue.
#[derive(Clone, Debug, Default)]
pub struct RatioHistory {
    recent: VecDeque<f64>,
    used: Ratios,
}

impl RatioHistory {
    /// Records the longest run time of a step's tasks; returns whether the ratios in use have
    /// changed.
    pub fn record(&mut self, observed: Duration, estimate: Duration) -> bool {
        let ratio = observed.as_secs_f64() / estimate.as_secs_f64().max(1e-3);
        self.recent.push_back(ratio.clamp(RATIO_BOUNDS.0, RATIO_BOUNDS.1));
        if self.recent.len() > MAX_SAMPLES {
            self.recent.pop_front();
        }
        if self.recent.len() < MIN_SAMPLES {
            return false;
        }
        let mut sorted: Vec<f64> = self.recent.iter().copied().collect();
        sorted.sort_unstable_by(f64::total_cmp);
        let [low, high] =
            QUANTILES.map(|part| sorted[((sorted.len() - 1) as f64 * part).round() as usize]);
        let differs = |new: f64, old: f64| (new - old).abs() > MIN_CHANGE * old;
        let changed = differs(low, self.used.low) || differs(high, self.used.high);
        if changed {
            self.used = Ratios { low, high };
        }
        changed
    }

    /// Returns the ratios in use.
    pub fn ratios(&self) -> Ratios {
        self.used
    }
}

/// What is known of a step's job beyond its times.
#[derive(Clone, Copy, Debug)]
pub struct Stake {
    /// The ratios of observed to estimated run time in the job's queue.
    pub ratios: Ratios,
    /// Remaining work of the job, from [`task_work`].
    pub work: f64,
}

/// Times of a step in milliseconds since the Unix epoch, and its remaining run time.
#[derive(Clone, Copy, Debug)]
pub struct Deadlines {
    /// Arrival of the job.
    pub arrived: u64,
    /// The time until which the job has its full value.
    pub due: u64,
    /// The time until which the job has the late value.
    pub value_end: u64,
    /// Estimated run time on the critical path up to the end of this step.
    pub remaining: Duration,
}

/// Value that a step's job can still earn.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Lateness {
    /// It can be in time.
    InTime,
    /// It is late and can still earn the late value.
    Late,
    /// It is too late to have value.
    TooLate,
}

/// What a step's job can lose by waiting.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Outlook {
    /// Value that the job can still earn.
    pub lateness: Lateness,
    /// Level of the remaining work for the value at stake if the job may lose value within the
    /// horizon; the lowest goes first.
    pub urgent_level: Option<i8>,
}

/// Returns the work of one task: the fraction of the pool that it takes in its scarcest resource,
/// multiplied by its estimated run time.
pub fn task_work(size: &Size, total: &Size, estimate: Duration) -> f64 {
    let part = |size: u64, total: u64| size as f64 / total.max(1) as f64;
    let share = part(size.cores.0, total.cores.0)
        .max(part(size.memory.0, total.memory.0))
        .max(part(size.accels.0, total.accels.0));
    share * estimate.as_secs_f64()
}

/// Returns what a step's job can lose by waiting at `now`, in milliseconds since the Unix epoch.
pub fn outlook(stake: &Stake, deadlines: &Deadlines, now: u64) -> Outlook {
    let Deadlines { arrived, due, value_end, remaining } = *deadlines;
    let likely_end = |ratio: f64| now.saturating_add(millis(remaining.mul_f64(ratio.max(0.0))));
    // The objective is computed from the estimates as they are. If all of them are too low, an
    // expected end by the observed ratio would be past the objective on arrival.
    let earliest = likely_end(stake.ratios.low.min(1.0));
    let (lateness, loss_at, loss) = if earliest <= due {
        (Lateness::InTime, due, 1.0 - LATE_VALUE)
    } else if earliest <= value_end {
        (Lateness::Late, value_end, LATE_VALUE)
    } else {
        return Outlook { lateness: Lateness::TooLate, urgent_level: None };
    };
    let horizon = millis(MIN_HORIZON) + due.saturating_sub(arrived) / u64::from(HORIZON_DIVISOR);
    let urgent = likely_end(stake.ratios.high).saturating_add(horizon) >= loss_at;
    let level = (stake.work / loss).max(f64::MIN_POSITIVE).log(LEVEL_WIDTH).floor();
    Outlook { lateness, urgent_level: urgent.then_some(level as i8) }
}
