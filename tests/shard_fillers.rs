//! Filler tasks beside serving tasks that have a latency target.

mod hand;

use {
    dogwoodreach::{
        Time,
        ports::{EndReason, WorkerCall},
        work::{Step, TaskKey},
    },
    hand::{Harness, job, step, task},
    std::time::Duration,
};

/// All changes of pace so far: when, the task, and the new pace in percent.
fn paces(harness: &Harness) -> Vec<(Time, TaskKey, u8)> {
    let pace = |(at, _, call): &(Time, usize, WorkerCall)| match call {
        WorkerCall::Pace { task, percent, .. } => Some((*at, *task, *percent)),
        _ => None,
    };
    harness.call_log.iter().filter_map(pace).collect()
}

fn filler() -> Step {
    Step { fills: true, ..step(1, 1) }
}

/// A worker with a serving task whose target is 100 ms and whose tail latency is `load` ms, and a
/// filler beside it.
fn with_filler_beside_serving(load: u64) -> Harness {
    let mut harness = Harness::new(1);
    harness.submit(1, "plain", job(Step { lasts: true, target: 100, ..step(1, 2) }));
    harness.run(300);
    harness.workers[0].row_mut(&task(1, 0)).load = load;
    harness.submit(2, "plain", job(filler()));
    harness.run(300);
    harness
}

fn last_pace(harness: &Harness) -> u8 {
    paces(harness).last().map_or(100, |p| p.2)
}

#[test]
fn fillers_pause_at_once_above_the_target_and_resume_slowly() {
    // A filler triples the tail latency of a serving task, whose callers have to wait. Guards
    // against returning the filler to full speed as soon as the tail latency is low, which would
    // raise it again and again.
    let mut harness = with_filler_beside_serving(50);
    assert!(last_pace(&harness) <= 50, "a filler must start at half speed at most");
    harness.workers[0].row_mut(&task(1, 0)).load = 150;
    harness.run_until("a pause", 100, |h| last_pace(h) == 0);
    harness.workers[0].row_mut(&task(1, 0)).load = 40;
    let low = harness.now;
    harness.run_until("full speed", 20_000, |h| last_pace(h) == 100);
    for (at, _, percent) in paces(&harness).iter().filter(|p| p.0 > low) {
        let limit = 10.0 * (*at - low).as_secs_f64();
        assert!(f64::from(*percent) <= limit, "{percent} at {at}, low since {low}");
    }
    let rise = harness.now - low;
    assert!(rise >= Duration::from_secs(10) && rise <= Duration::from_secs(13), "{rise:?}");
}

#[test]
fn filler_started_beside_paused_fillers_is_paused() {
    // The fillers on a worker are paused, as the tail latency is above the target. Guards against
    // another filler that is started there and keeps the full speed with which workers start tasks.
    let mut harness = with_filler_beside_serving(150);
    assert_eq!(last_pace(&harness), 0);
    let now = harness.now;
    harness.submit(3, "plain", job(filler()));
    harness.run_until("a start of the second filler", 200, |h| h.starts_of(3).len() == 1);
    let paced = |h: &Harness| paces(h).iter().any(|p| p.0 > now && p.1 == task(3, 0) && p.2 == 0);
    harness.run_until("a pause of the second filler", 100, paced);
}

#[test]
fn a_new_owner_sets_the_pace_of_the_fillers_that_it_finds() {
    // A filler is paused beside a serving task, as the tail latency was above the target. Then the
    // owner is killed and the serving task is cancelled. Guards against a new owner that takes the
    // filler for one at full speed and gives no order, so that it stays paused: in a simulation
    // five tasks of three jobs were still running, and nothing else was, two minutes after they had
    // started.
    let mut harness = with_filler_beside_serving(50);
    harness.workers[0].row_mut(&task(1, 0)).load = 150;
    harness.run_until("a pause", 100, |h| last_pace(h) == 0);
    harness.take_over();
    harness.cancel(1);
    harness.run_until("a stop of the serving task", 3_000, |h| !h.stops().is_empty());
    harness.end(task(1, 0), EndReason::Stopped);
    harness.run_until("full speed", 3_000, |h| last_pace(h) == 100);
}
