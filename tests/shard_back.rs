//! A worker that comes back.

mod hand;

use hand::{
    Hand, job, step, task,
    worker::{FINE, MUTE},
};

#[test]
fn one_that_was_taken_for_gone_is_used_again() {
    // Story: a worker is cut off for so long that its entry of the list ends and its work starts
    // elsewhere; it comes back, the same life. It was known as gone, and got nothing any more.
    let mut hand = Hand::new(2);
    hand.submit(1, "plain", job(step(1, 4)));
    hand.run(500);
    let at = hand.places(task(1, 0))[0];
    (hand.workers[at].hook, hand.workers[at].there) = (MUTE, false);
    hand.list();
    hand.until("a start elsewhere", 30_000, |h| h.starts().len() == 2);
    hand.run(5_000);
    hand.workers[at].rows.clear();
    (hand.workers[at].hook, hand.workers[at].there) = (FINE, true);
    hand.list();
    hand.submit(2, "plain", job(step(1, 4)));
    hand.until("a start there", 1_000, |h| h.places(task(2, 0)) == [at]);
    hand.run(3_000);
    assert_eq!(hand.starts_of(2).len(), 1);
    assert!(!hand.leases(at).is_empty());
    let before = hand.leases(at).len();
    hand.run(1_000);
    assert!(hand.leases(at).len() > before, "its lease is renewed");
}
