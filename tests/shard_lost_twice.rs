//! Long-running tasks whose starts are lost twice in a row, or whose tickets are renewed early for long.

mod hand;

use {
    hand::{
        Harness, TICK,
        slow_advice::{NO_STARTS, long_running, with_slow_advice},
        task,
        worker::{NORMAL, ONLY_HOLDS, SILENT},
    },
    std::time::Duration,
};

/// The time within which a long-running task has to run again beside free capacity.
const MAX_ABSENCE: Duration = Duration::from_secs(6);

#[test]
fn a_task_whose_orders_are_lost_twice_runs_within_the_bound() {
    // Two starts in a row are not carried out, and the first order to stop each of them is lost as
    // well. Guards against waits in series that together exceed the bound.
    let mut hand = with_slow_advice(5);
    hand.submit(1, "advised", long_running(1));
    for run in [1, 2] {
        hand.run_until("a start", 9_000, |h| h.starts().iter().any(|s| s.2.run == run));
        hand.workers.iter_mut().for_each(|w| w.hook = ONLY_HOLDS);
        let stops = hand.stops().len();
        hand.run_until("its stop", 5_000, |h| h.stops().len() > stops);
        hand.run(500);
        hand.workers.iter_mut().for_each(|w| w.hook = NO_STARTS);
        hand.run_until("another stop", 3_000, |h| h.stops().len() > stops + 1);
    }
    hand.workers.iter_mut().for_each(|w| w.hook = NORMAL);
    let again = hand.run_until("it runs", 9_000, |h| !h.workers_running(task(1, 0)).is_empty());
    let first = hand.starts()[0].0;
    assert!(again - first < MAX_ABSENCE, "it runs only after {:?}", again - first);
}

#[test]
fn early_calls_for_one_task_leave_calls_for_the_others_of_its_step() {
    // The stop of one task never takes effect. Guards against another task of the step, whose worker
    // is silent, that has no tickets when the lease ends.
    let mut hand = with_slow_advice(6);
    hand.submit(1, "advised", long_running(3));
    hand.submit(2, "plain", long_running(3));
    hand.run(8_000);
    let at = hand.leave_without_effect();
    for no in [1, 2] {
        let other = (1..3).find(|i| hand.workers_running(task(no, *i)) != [at]);
        let silent = hand.workers_running(task(no, other.expect("another worker")))[0];
        hand.workers[silent].hook = SILENT;
    }
    hand.call_log.clear();
    let restarted = |h: &Harness, no: u64| !h.starts_of(no).is_empty();
    hand.run_until("a start without advice", 30_000, |h| restarted(h, 2));
    hand.run(2 * TICK.as_millis() as u64);
    assert!(restarted(&hand, 1), "the task with advice has to wait for its tickets");
}
