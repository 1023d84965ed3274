//! An end that is heard twice.

mod hand;

use {
    dogwoodreach::{ports::How, work::State},
    hand::{Hand, job, step, task},
};

#[test]
fn a_failure_heard_again_by_a_new_owner_counts_once() {
    // Story: a run fails, that is stored, and the owner ends before the worker is told that the end
    // was noted. The next owner hears of it again; counted twice, the job was shown as failed after
    // two failures, where its queue allows it three.
    let mut hand = Hand::new(1);
    hand.submit(1, "plain", job(step(1, 1)));
    hand.run(300);
    hand.end(task(1, 0), How::Failed);
    let fails = |h: &Hand| h.stored(1).tasks.first().map_or(0, |t| t.4.len());
    hand.until("the end is stored", 500, |h| fails(h) == 1);
    hand.succeed();
    assert_eq!(hand.workers[0].ends.len(), 1, "the worker wasn't told");
    hand.until("it runs again", 1_000, |h| h.places(task(1, 0)) == [0]);
    hand.end(task(1, 0), How::Failed);
    hand.until("the second failure", 500, |h| fails(h) == 2);
    hand.until("a third run", 5_000, |h| h.places(task(1, 0)) == [0]);
    hand.end(task(1, 0), How::Failed);
    hand.until("failed", 500, |h| h.state(1) == Some(State::Failed));
}
