//! Runs of jobs that are over, found by a new owner.

mod hand;

use {
    dogwoodreach::{
        ports::{How, WorkerCall, WorkerReply},
        work::State,
    },
    hand::{Hand, job, step, task, worker::FINE},
};

#[test]
fn a_worker_with_runs_of_unknown_size_gets_nothing() {
    // Story: a job is over and two of its tasks are still being stopped when another member takes
    // the shard over; the job's record is gone, so nobody knows what the two take. When the first
    // had ended, the owner gave the worker new work, beyond what it has room for.
    let mut hand = Hand::new(1);
    hand.submit(1, "plain", job(step(2, 2)));
    hand.run(300);
    hand.workers[0].hook = |call| match call {
        WorkerCall::Stop { .. } => Some(Ok(WorkerReply::Done(0))),
        _ => None,
    };
    hand.cancel(1);
    hand.until("the cancel is stored", 500, |h| h.stored(1).state == State::Cancelled);
    hand.succeed();
    hand.submit(2, "plain", job(step(1, 1)));
    hand.run(1_000);
    assert!(hand.starts_of(2).is_empty(), "both are there");
    hand.end(task(1, 0), How::Stopped);
    hand.run(1_000);
    assert!(hand.starts_of(2).is_empty(), "one is there");
    hand.workers[0].hook = FINE;
    hand.until("both have ended", 4_000, |h| h.places(task(1, 1)).is_empty());
    hand.until("there is room", 300, |h| !h.starts_of(2).is_empty());
}
