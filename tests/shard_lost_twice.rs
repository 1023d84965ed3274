//! Long-running tasks whose starts are lost twice in a row, or whose tickets are renewed early for long.

mod hand;

use {
    dogwoodreach::{
        ports::{Fault, WorkerCall, WorkerReply as Reply},
        shard::event::Event,
        work::{AdviceCost, Job, Queue, QueueConfig, Step},
    },
    hand::{
        Harness, TICK, job, queues, step, task,
        worker::{Hook, NORMAL, ONLY_HOLDS, SILENT},
    },
    std::{sync::Arc, time::Duration},
};

/// The duration of an advice call that names five workers.
const CALL: Duration = Duration::from_millis(1_200);
/// The time within which a long-running task has to run again beside free capacity.
const MAX_ABSENCE: Duration = Duration::from_secs(6);

/// Starts get no answer; other calls do.
const NO_STARTS: Hook = |call| matches!(call, WorkerCall::Start(_)).then_some(Err(Fault::Unknown));
/// The worker accepts stops, which have no effect.
const STOPS_WITHOUT_EFFECT: Hook =
    |call| matches!(call, WorkerCall::Stop { .. }).then_some(Ok(Reply::Done(0)));

/// An owner with this many workers, whose advice calls take [`CALL`].
fn with_slow_advice(workers: usize) -> Harness {
    let mut hand = Harness::new(workers);
    hand.advice_delay = CALL;
    let cost =
        AdviceCost { base: CALL * 9 / 10, each: CALL / 50, valid: Duration::from_millis(2_000) };
    let defaults = queues();
    let slow = |q: &Queue| Queue { advice: q.advice.map(|_| cost), ..q.clone() };
    hand.deliver(Event::Queues(Arc::new(QueueConfig {
        queues: defaults.queues.iter().map(slow).collect(),
        ..(*defaults).clone()
    })));
    hand
}

/// A job of `count` long-running tasks, at most one on each worker.
fn long_running(count: u32) -> Job {
    job(Step { lasts: true, apart: 1, ..step(count, 1) })
}

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
    let at = hand.workers_running(task(1, 0))[0];
    hand.workers[at].hook = STOPS_WITHOUT_EFFECT;
    hand.workers[at].leaves_in = Some(Duration::from_secs(600));
    hand.deliver_list();
    hand.run(30_000);
    assert!(!hand.stops().is_empty());
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
