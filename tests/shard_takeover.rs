//! What a new owner must not do while a former one may still act.

mod hand;

use {
    dogwoodreach::ports::{How, Row, WorkerCall, WorkerReply as Reply},
    hand::{
        Hand, job, step, task,
        worker::{FINE, Hook, MUTE},
    },
};

/// The life that is meant is over.
const OVER: Hook = |_| Some(Ok(Reply::Other));
/// Stops are taken, and their effect takes a while.
const SLOW: Hook = |call| matches!(call, WorkerCall::Stop { .. }).then_some(Ok(Reply::Done(0)));

#[test]
fn no_end_is_noted_before_all_workers_have_answered() {
    // Story: a task has ended, the new owner stores that and has the worker forget it; then the
    // worker crashes. The former owner, which doesn't know yet that it is one, hears of another life,
    // takes its run for lost, and starts the task again at a worker that the new one hasn't reached.
    let mut hand = Hand::new(3);
    hand.submit(1, "plain", job(step(3, 2)));
    hand.run(500);
    let at = hand.places(task(1, 0))[0];
    let far = (0..3).find(|w| *w != at).expect("another");
    hand.workers[far].hook = MUTE;
    hand.end(task(1, 0), How::Done);
    hand.log.clear();
    hand.succeed();
    let stored = |h: &Hand| h.stored(1).tasks.iter().any(|t| t.2 == 0 && t.5);
    hand.until("the end is stored", 1_000, stored);
    hand.run(500);
    assert_eq!(hand.noted(at), 0, "noted while a worker may still take the former owner's orders");
    hand.workers[far].hook = FINE;
    hand.until("the end is noted", 2_000, |h| h.noted(at) == 1);
}

#[test]
fn a_task_waits_for_the_end_of_a_run_besides() {
    // Story: the former owner has started a task again elsewhere just before it was fenced there.
    // The new owner goes by the first run and orders the second to stop, which takes a while. Then
    // the first is lost with its worker, and the task starts while the second still runs.
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
    hand.workers[other].hook = SLOW;
    hand.log.clear();
    hand.until("the stop of the other run", 2_000, |h| !h.stops().is_empty());
    hand.workers[at].rows.clear();
    hand.workers[at].hook = OVER;
    hand.run(1_000);
    assert!(hand.starts().is_empty(), "started while it runs at worker {other}");
    hand.workers[other].hook = FINE;
    hand.end(task(1, 0), How::Stopped);
    hand.until("the task's start", 2_000, |h| h.starts_of(1).len() == 1);
}
