//! Runs of finished jobs that a new owner finds on a worker.

mod hand;

use {
    dogwoodreach::{
        ports::{EndReason, WorkerCall, WorkerReply},
        work::JobState,
    },
    hand::{Harness, job, step, task, worker::NORMAL},
};

#[test]
fn a_worker_with_runs_of_unknown_size_gets_nothing() {
    // A job is over and two of its tasks are still being stopped when another member takes over the
    // shard. The job's record is gone, so the new owner doesn't know the size of the two tasks.
    // Guards against an owner that gives the worker new work after only one of the two has ended,
    // beyond the worker's capacity.
    let mut harness = Harness::new(1);
    harness.submit(1, "plain", job(step(2, 2)));
    harness.run(300);
    harness.workers[0].hook = |call| match call {
        WorkerCall::Stop { .. } => Some(Ok(WorkerReply::Done(0))),
        _ => None,
    };
    harness.cancel(1);
    harness.run_until("the cancel is stored", 500, |h| {
        h.stored_progress(1).state == JobState::Cancelled
    });
    harness.take_over();
    harness.submit(2, "plain", job(step(1, 1)));
    harness.run(1_000);
    assert!(harness.starts_of(2).is_empty(), "both runs are still there");
    harness.end(task(1, 0), EndReason::Stopped);
    harness.run(1_000);
    assert!(harness.starts_of(2).is_empty(), "one run is still there");
    harness.workers[0].hook = NORMAL;
    harness.run_until("the end of both runs", 4_000, |h| h.workers_running(task(1, 1)).is_empty());
    harness.run_until("a start in the freed room", 300, |h| !h.starts_of(2).is_empty());
}
