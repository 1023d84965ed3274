//! A worker that falls silent.

mod hand;

use {
    dogwoodreach::Time,
    hand::{Hand, STEP, job, step, task, worker::MUTE},
    std::time::Duration,
};

#[test]
fn its_tasks_start_elsewhere_once_their_lease_has_ended() {
    // Story: a worker is cut off, and its clock is 2% slow. Each look at it carried a new lease,
    // which may arrive late, so that its tasks never started elsewhere; and with a lease counted on
    // this machine's clock they would start while they still run there.
    let mut hand = Hand::new(2);
    hand.workers.iter_mut().for_each(|w| w.rate = 0.98);
    hand.run(5_000);
    hand.submit(1, "plain", job(step(1, 1)));
    hand.run(1_000);
    let at = hand.places(task(1, 0))[0];
    hand.workers[at].hook = MUTE;
    let cut = hand.now;
    let start = hand.until("a start elsewhere", 30_000, |h| h.starts().len() == 2);
    assert_ne!(hand.starts()[1].1, at);
    let leases = hand.leases(at);
    let last = leases.last().expect("it had one").0;
    assert!(last <= cut + STEP, "no lease once it is silent, but one at {last}");
    // All may have arrived.
    let until = leases.iter().map(|l| l.1).max().expect("it had one");
    let lapse = Time((((until - 1_000) as f64 / 0.98) * 1e3) as u64);
    assert!(start >= lapse, "{start}, and the lease ends at {lapse}");
    assert!(start <= lapse + Duration::from_secs(1), "{start}, and the lease ended at {lapse}");
}

#[test]
fn a_start_sent_again_carries_no_new_lease() {
    // Story: the worker falls silent just as a start goes out. Sent again with a lease of its own
    // each time, the start puts off the end of all that runs there.
    let mut hand = Hand::new(1);
    hand.submit(1, "plain", job(step(1, 1)));
    hand.run(300);
    hand.workers[0].hook = MUTE;
    hand.submit(2, "plain", job(step(1, 1)));
    hand.run(4_000);
    let all: Vec<u64> = hand.starts_of(2).iter().map(|s| s.2.until).collect();
    assert_eq!(all.len(), 3);
    assert_eq!(all[1], all[2], "two without an answer are a silent worker");
}
