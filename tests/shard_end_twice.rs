//! The end of a run that is reported twice.

mod hand;

use {
    dogwoodreach::{ports::How, work::State},
    hand::{Hand, job, step, task},
};

#[test]
fn a_failure_heard_again_by_a_new_owner_counts_once() {
    // A run fails, the failure is stored, and the owner stops before it acknowledges the end to the
    // worker, so the next owner gets the report again. Guards against counting the failure twice:
    // the job would be shown as failed after two failures although its queue allows three.
    let mut harness = Hand::new(1);
    harness.submit(1, "plain", job(step(1, 1)));
    harness.run(300);
    harness.end(task(1, 0), How::Failed);
    let failures = |h: &Hand| h.stored(1).tasks.first().map_or(0, |t| t.4.len());
    harness.until("the end is stored", 500, |h| failures(h) == 1);
    harness.succeed();
    assert_eq!(harness.workers[0].ends.len(), 1, "the end must not have been acknowledged");
    harness.until("a second run", 1_000, |h| h.places(task(1, 0)) == [0]);
    harness.end(task(1, 0), How::Failed);
    harness.until("the second failure", 500, |h| failures(h) == 2);
    harness.until("a third run", 5_000, |h| h.places(task(1, 0)) == [0]);
    harness.end(task(1, 0), How::Failed);
    harness.until("the failure of the job", 500, |h| h.state(1) == Some(State::Failed));
}
