//! A cancel that is read before its job.

mod hand;

use {
    dogwoodreach::work::State,
    hand::{Hand, job, step},
};

#[test]
fn a_job_cancelled_before_it_is_heard_of_never_starts() {
    // Story: the store has lost its history, so the owner reads the range again; the cancel stands
    // before its job there. Its caller was told that the job is cancelled, and its tasks ran.
    let mut hand = Hand::new(2);
    hand.cancel(1);
    hand.run(500);
    hand.submit(1, "plain", job(step(2, 1)));
    hand.submit(2, "plain", job(step(1, 1)));
    hand.run(3_000);
    assert!(hand.starts_of(1).is_empty());
    assert_eq!(hand.starts_of(2).len(), 1, "others start");
    assert_eq!(hand.state(1), Some(State::Cancelled));
    assert_eq!(hand.stored(1).state, State::Cancelled);
}
