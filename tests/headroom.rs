//! Whether stopping a run for more urgent work pays, and which runs are stopped.

use {
    dogwoodreach::{
        Time,
        decide::headroom::{CheckpointAge, Gain, StopCost, Victim, preemption_pays},
        units::Size,
    },
    std::time::Duration,
};

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Returns the cost on the recorded deployment: a stop of 200 ms, a restore of 600 ms, and a
/// checkpoint every 500 ms.
fn cost(since: u64, at_report: u64) -> StopCost {
    let age = CheckpointAge {
        since_checkpoint: ms(since),
        since_checkpoint_at_report: ms(at_report),
        has_checkpoint: true,
    };
    StopCost::of_run(ms(200), ms(600), ms(500), age)
}

fn pays(wait: u64, slack: u64) -> bool {
    preemption_pays(cost(100, 0), Gain { expected_wait: ms(wait), slack: ms(slack) })
}

#[test]
fn a_stop_pays_only_if_the_step_would_be_late_and_the_stop_brings_it_in_time() {
    // Stops for steps that would have had room in time cost a quarter of a pool.
    assert!(!pays(300, 800), "the step has time to wait");
    assert!(pays(900, 800), "the step would be late");
    assert!(!pays(500, 800), "the stop may turn out to be unnecessary");
    assert!(pays(440, 440), "a later stop would not bring the step in time");
    assert!(!pays(700, 150), "the step is late in any case");
    assert!(!pays(250, 300), "50 ms are gained for 900 ms of work");
}

#[test]
fn a_stop_costs_the_work_since_the_last_checkpoint() {
    assert_eq!(cost(100, 0).total(), ms(900));
    // Reports are older than the interval, so later checkpoints have not been reported yet.
    assert_eq!(cost(3_000, 0).total(), ms(1_300));
    // A run that writes no checkpoints would lose everything, and would never end.
    assert_eq!(cost(3_000, 2_900).total(), ms(3_800));
    // Several small runs are scaled to the size of the task that starts instead.
    let each = (cost(100, 0), Size::new(2, 0, 0));
    assert_eq!(StopCost::combined(&[each; 3], &Size::new(6, 0, 0)).total(), ms(900));
    assert_eq!(StopCost::combined(&[each; 6], &Size::new(6, 0, 0)).total(), ms(1_800));
}

#[test]
fn runs_that_lose_least_are_stopped_first() {
    let victim = |since, due, percent| Victim {
        cost: cost(since, 0),
        ends_at: Time::from_millis(4_000),
        due_at: Time::from_millis(due),
        percent,
    };
    let best = victim(50, 60_000, 10);
    assert!(best.loss() < victim(400, 60_000, 10).loss(), "a fresh checkpoint");
    assert!(best.loss() < victim(50, 60_000, 80).loss(), "little progress");
    assert!(victim(400, 60_000, 80).loss() < victim(50, 4_500, 10).loss(), "enough slack");
    assert!(victim(50, 4_500, 10).becomes_late() && !victim(50, 3_000, 10).becomes_late());
}
