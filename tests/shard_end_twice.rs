//! The end of a run that is reported twice.

mod hand;

use {
    dogwoodreach::{ports::EndReason, work::JobState},
    hand::{Harness, job, step, task},
};

#[test]
fn a_failure_heard_again_by_a_new_owner_counts_once() {
    // A run fails, the failure is stored, and the owner stops before it acknowledges the end to the
    // worker, so the next owner gets the report again. Guards against counting the failure twice:
    // the job would be shown as failed after two failures although its queue allows three.
    let mut harness = Harness::new(1);
    harness.submit(1, "plain", job(step(1, 1)));
    harness.run(300);
    harness.end(task(1, 0), EndReason::Failed);
    let failures = |h: &Harness| h.stored_progress(1).tasks.first().map_or(0, |t| t.4.len());
    harness.run_until("the end is stored", 500, |h| failures(h) == 1);
    harness.take_over();
    assert_eq!(harness.workers[0].ends.len(), 1, "the end must not have been acknowledged");
    harness.run_until("a second run", 1_000, |h| h.workers_running(task(1, 0)) == [0]);
    harness.end(task(1, 0), EndReason::Failed);
    harness.run_until("the second failure", 500, |h| failures(h) == 2);
    harness.run_until("a third run", 5_000, |h| h.workers_running(task(1, 0)) == [0]);
    harness.end(task(1, 0), EndReason::Failed);
    harness.run_until("the failure of the job", 500, |h| h.state(1) == Some(JobState::Failed));
}
