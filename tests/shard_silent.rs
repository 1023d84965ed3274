//! Tests a worker that stops answering.

mod hand;

use {
    dogwoodreach::Time,
    hand::{Harness, MAX_LEASE, TICK, job, step, task, worker::SILENT},
    std::time::Duration,
};

#[test]
fn its_tasks_start_elsewhere_once_their_lease_has_ended() {
    // A worker is cut off, and its clock is 2% slow. If each hold call to it carried a new lease,
    // which may arrive late, its tasks would never start elsewhere. If the lease were measured on
    // this machine's clock, they would start elsewhere while they still run there.
    let mut hand = Harness::new(2);
    hand.workers.iter_mut().for_each(|w| w.clock_rate = 0.98);
    hand.run(5_000);
    hand.submit(1, "plain", job(step(1, 1)));
    hand.run(1_000);
    let at = hand.workers_running(task(1, 0))[0];
    hand.workers[at].hook = SILENT;
    let cut = hand.now;
    let start = hand.run_until("a start elsewhere", 30_000, |h| h.starts().len() == 2);
    assert_ne!(hand.starts()[1].1, at);
    let leases = hand.leases(at);
    let last = leases.last().expect("it had one").0;
    assert!(last <= cut + TICK, "no lease once it is silent, but one at {last}");
    // Any of the leases may have arrived.
    let until = leases.iter().map(|l| l.1).max().expect("it had one");
    let lease_end = Time((((until - 1_000) as f64 / 0.98) * 1e3) as u64);
    assert!(start >= lease_end, "{start}, and the lease ends at {lease_end}");
    assert!(
        start <= lease_end + Duration::from_secs(1),
        "{start}, and the lease ended at {lease_end}"
    );
}

#[test]
fn a_start_sent_again_carries_no_new_lease() {
    // The worker stops answering just as a start is sent. If each repeated start carried a new
    // lease, it would delay the end of everything that runs there.
    let mut hand = Harness::new(1);
    hand.submit(1, "plain", job(step(1, 1)));
    // The lease that a former owner may have given ends before the owner's own.
    hand.run(MAX_LEASE.as_millis() as u64);
    hand.workers[0].hook = SILENT;
    hand.submit(2, "plain", job(step(1, 1)));
    hand.run(4_000);
    let all: Vec<u64> = hand.starts_of(2).iter().map(|s| s.2.lease_end_ms).collect();
    assert_eq!(all.len(), 5);
    let repeated = all[2..].iter().all(|end| *end == all[1]);
    assert!(repeated, "two without an answer are a silent worker: {all:?}");
}
