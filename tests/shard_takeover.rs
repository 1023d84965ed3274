//! Tests what a new owner must not do while a former one may still act.

mod hand;

use {
    dogwoodreach::ports::{How, Row, WorkerCall, WorkerReply as Reply},
    hand::{
        Hand, job, step, task,
        worker::{FINE, Hook, MUTE},
    },
};

/// The worker answers that the addressed incarnation is over.
const OTHER_INCARNATION: Hook = |_| Some(Ok(Reply::Other));
/// The worker accepts stops, which take effect only later.
const SLOW_STOPS: Hook =
    |call| matches!(call, WorkerCall::Stop { .. }).then_some(Ok(Reply::Done(0)));

#[test]
fn no_end_is_noted_before_all_workers_have_answered() {
    // A task has ended; the new owner stores that and lets the worker forget it, and then the
    // worker crashes. The former owner, which doesn't know of the takeover yet, sees another
    // incarnation, takes its run for lost, and starts the task again on a worker that the new owner
    // hasn't reached.
    let mut hand = Hand::new(3);
    hand.submit(1, "plain", job(step(3, 2)));
    hand.run(500);
    let at = hand.places(task(1, 0))[0];
    let unreachable = (0..3).find(|w| *w != at).expect("another");
    hand.workers[unreachable].hook = MUTE;
    hand.end(task(1, 0), How::Done);
    hand.log.clear();
    hand.succeed();
    let stored = |h: &Hand| h.stored(1).tasks.iter().any(|t| t.2 == 0 && t.5);
    hand.until("the end is stored", 1_000, stored);
    hand.run(500);
    assert_eq!(
        hand.noted(at),
        0,
        "acknowledged while a worker may still accept orders of the former owner"
    );
    hand.workers[unreachable].hook = FINE;
    hand.until("the end is noted", 2_000, |h| h.noted(at) == 1);
}

#[test]
fn a_task_waits_for_the_end_of_its_second_run() {
    // The former owner started a task again elsewhere just before it was fenced there. The new
    // owner keeps the first run and orders the second to stop, which takes a while. Then the first
    // run is lost with its worker, and the task must not start while the second run still exists.
    let mut hand = Hand::new(3);
    hand.submit(1, "plain", job(step(1, 2)));
    hand.run(500);
    let at = hand.places(task(1, 0))[0];
    let other = (0..3).find(|w| *w != at).expect("another");
    let row = Row { run: 2, ..hand.workers[at].row(&task(1, 0)).clone() };
    hand.workers[other].rows.push(row);
    hand.workers[other].hook = MUTE;
    hand.succeed();
    hand.run(300);
    hand.workers[other].hook = SLOW_STOPS;
    hand.log.clear();
    hand.until("the stop of the other run", 2_000, |h| !h.stops().is_empty());
    hand.workers[at].rows.clear();
    hand.workers[at].hook = OTHER_INCARNATION;
    hand.run(1_000);
    assert!(hand.starts().is_empty(), "started while another run exists at worker {other}");
    hand.workers[other].hook = FINE;
    hand.end(task(1, 0), How::Stopped);
    hand.until("the task's start", 2_000, |h| h.starts_of(1).len() == 1);
}
