//! Decides whether stopping less urgent runs for an urgent step pays.
//!
//! *Load pattern:* sustained overload, with short urgent jobs among long runs that write checkpoints.
//! *Without it:* runs are stopped for every urgent step that has waited for a fixed time. In a
//! recorded overload a fifth of all runs was stopped, which cost a quarter of the pool's core
//! seconds, although the ends of runs alone freed more capacity than the urgent steps needed.
//!
//! A stop costs the time until the run has stopped, the time to restore it later and the work since
//! its last checkpoint. It gains an earlier start. It pays if the urgent step would otherwise use up
//! so much of its slack that it is likely to be late, if the stop still brings it in time, and if
//! the time gained outweighs the cost.

use {
    crate::{Time, units::Size},
    std::time::Duration,
};

/// Divisor of a step's slack that gives the wait for which nothing is stopped. The other half allows
/// for run times that exceed their estimates.
const SLACK_DIVISOR: u32 = 2;
/// How much more a second of an urgent step's delay counts than a second of a stopped run. In the
/// recorded overload a core second of the most urgent kind has five times the value of one of the
/// kinds that are stopped, and a late job loses four fifths of its value.
const DELAY_WEIGHT: u32 = 4;
/// Time before the last moment for a stop at which it is decided: some rounds (40 ms apart), and what
/// the run may take longer than estimated. With 150 ms, 99 of 117 urgent jobs of a burst were in time,
/// with 250 ms 112; with 350 ms twice as many runs were stopped under sustained demand as by a fixed
/// wait.
const DECISION_MARGIN: Duration = Duration::from_millis(250);
/// Number of checkpoint intervals without a new checkpoint after which a run is assumed to write
/// none.
const MAX_CHECKPOINT_INTERVALS: u32 = 2;
/// Number of times that any task may be stopped for more urgent work. Without more, urgent work
/// would wait for the ends of long runs once each of them has been stopped twice, so longer tasks may
/// be stopped more often.
const MIN_PREEMPTIONS: u32 = 2;
/// Run time for which a task may be stopped once more. On the recorded deployment a stop costs 1.3 s
/// at most, 13% of it.
const RUN_TIME_PER_PREEMPTION: Duration = Duration::from_secs(10);

/// What stopping a run costs.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct StopCost {
    /// Time until the run has stopped.
    pub stop_time: Duration,
    /// Time that restoring the run takes.
    pub restore_time: Duration,
    /// Work since the run's last checkpoint.
    pub lost_work: Duration,
}

/// What an urgent step gains if runs are stopped for it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Gain {
    /// Expected time until the step can start without a stop.
    pub expected_wait: Duration,
    /// Time for which the step can wait and still end in time.
    pub slack: Duration,
}

/// What a run's reports show of its checkpoints.
#[derive(Clone, Copy, Debug)]
pub struct CheckpointAge {
    /// Time since the report that showed the run's last checkpoint, or since its start.
    pub since_checkpoint: Duration,
    /// How much of that time had passed at the last report.
    pub since_checkpoint_at_report: Duration,
    /// Whether the run has a checkpoint, which has to be restored.
    pub has_checkpoint: bool,
}

impl StopCost {
    /// Returns the cost of stopping a run, given the bounds of the deployment.
    pub fn of_run(
        stop_time: Duration,
        restore_time: Duration,
        interval: Duration,
        age: CheckpointAge,
    ) -> Self {
        let writes_none = age.since_checkpoint_at_report >= interval * MAX_CHECKPOINT_INTERVALS;
        let lost_work =
            if writes_none { age.since_checkpoint } else { age.since_checkpoint.min(interval) };
        let restored = age.has_checkpoint || (!writes_none && lost_work >= interval);
        let restore_time = if restored { restore_time } else { Duration::ZERO };
        StopCost { stop_time, restore_time, lost_work }
    }

    /// Returns the whole cost of the stop.
    pub fn total(&self) -> Duration {
        self.stop_time + self.restore_time + self.lost_work
    }

    /// Returns the cost of stopping several runs for one task of size `need`, scaled to the cores of
    /// that task. The runs stop at the same time.
    pub fn combined(victims: &[(StopCost, Size)], need: &Size) -> Self {
        let mut sum = StopCost::default();
        let mut total = Duration::ZERO;
        for (cost, size) in victims {
            let ratio = match need.cores.0 {
                0 => 1.0,
                cores => size.cores.0 as f64 / cores as f64,
            };
            sum.stop_time = sum.stop_time.max(cost.stop_time);
            sum.restore_time += cost.restore_time.mul_f64(ratio);
            total += cost.total().mul_f64(ratio);
        }
        sum.lost_work = total.saturating_sub(sum.stop_time + sum.restore_time);
        sum
    }
}

/// Returns the maximum number of times that a task with this estimated run time is stopped for more
/// urgent work.
pub fn max_preemptions(run_time: Duration) -> u32 {
    let more = run_time.as_millis() / RUN_TIME_PER_PREEMPTION.as_millis();
    MIN_PREEMPTIONS.saturating_add(u32::try_from(more).unwrap_or(u32::MAX))
}

/// Returns the longest wait for capacity for which nothing is stopped.
pub fn tolerable_wait(slack: Duration) -> Duration {
    slack / SLACK_DIVISOR
}

/// Returns whether stopping a run pays now.
///
/// If it may still turn out to be unnecessary, it is postponed as long as it can bring the step in
/// time.
pub fn preemption_pays(cost: StopCost, gain: Gain) -> bool {
    let saved = gain.expected_wait.saturating_sub(cost.stop_time);
    let late = gain.expected_wait > gain.slack;
    let last_moment = gain.slack <= cost.stop_time + DECISION_MARGIN;
    (late || last_moment)
        && gain.expected_wait > tolerable_wait(gain.slack)
        && cost.stop_time <= gain.slack
        && cost.total() <= saved.saturating_mul(DELAY_WEIGHT)
}

/// A run that may be stopped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Victim {
    /// The cost of stopping it.
    pub cost: StopCost,
    /// Time at which it is expected to end by itself.
    pub ends_at: Time,
    /// The latest end at which its job is still in time.
    pub due_at: Time,
    /// Its progress in percent.
    pub percent: u8,
}

impl Victim {
    /// Returns whether the run's job would be in time and becomes late if the run is stopped.
    pub fn becomes_late(&self) -> bool {
        self.ends_at <= self.due_at && self.ends_at + self.cost.total() > self.due_at
    }

    /// Returns the order in which runs are stopped: the lowest loses least.
    pub fn loss(&self) -> (bool, Duration, u8) {
        (self.becomes_late(), self.cost.total(), self.percent)
    }
}
