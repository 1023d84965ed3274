//! Tests what a new owner starts before it knows which tasks run.

mod hand;

use {
    hand::{
        Harness, MAX_LEASE, job, step, task,
        worker::{NORMAL, SILENT},
    },
    std::time::Duration,
};

/// One job runs and a task of another waits for room; then one worker is cut off, and a new owner
/// takes over.
fn taken_over() -> (Harness, usize) {
    let mut hand = Harness::new(3);
    hand.submit(1, "plain", job(step(3, 2)));
    hand.submit(2, "plain", job(step(2, 3)));
    hand.run(1_000);
    let at = hand.workers_running(task(1, 1))[0];
    hand.workers[at].hook = SILENT;
    hand.take_over();
    hand.call_log.clear();
    (hand, at)
}

#[test]
fn old_jobs_wait_until_all_workers_have_answered() {
    // The former owner started a task on a worker that the new one can't reach. The store has no
    // record of starts. If the new owner took the task for waiting, it would run twice.
    let (mut hand, at) = taken_over();
    hand.submit(3, "plain", job(step(1, 1)));
    hand.run(300);
    assert_eq!(hand.starts_of(3).len(), 1, "a new job starts at once");
    hand.run(3_000);
    assert_eq!(hand.starts().len(), 1, "no old one does");
    hand.workers[at].hook = NORMAL;
    hand.run(1_500);
    assert!((0..3).all(|i| hand.workers_running(task(1, i)).len() == 1), "what ran is found");
    assert!(hand.starts_of(1).is_empty() && hand.stops().is_empty());
}

#[test]
fn old_jobs_start_once_all_leases_have_ended() {
    // As above, but the worker never answers again. The job must not wait for ever, nor start
    // before the last lease that the former owner may have granted has ended on a slow clock.
    let (mut hand, at) = taken_over();
    let over = hand.now + MAX_LEASE.div_f64(0.98);
    let runs: Vec<_> = (0..3).map(|i| hand.workers_running(task(1, i)).len()).collect();
    assert_eq!(runs, [1; 3]);
    let start = hand.run_until("a start", 40_000, |h| !h.starts().is_empty());
    assert!(start > over, "at {start}, and the lease ends at {over}");
    assert!(start < over + Duration::from_secs(4), "at {start}, and the lease ended at {over}");
    hand.run(2_000);
    let started = hand.starts_of(1);
    assert_eq!(started.len(), 1, "only what ran there, and there is room for one");
    assert!(started[0].1 != at && started[0].2.run > 1);
}
