//! A worker that was cut off for a long time and becomes reachable again.

mod hand;

use hand::{
    Harness, job, step, task,
    worker::{NORMAL, SILENT},
};

#[test]
fn worker_that_was_taken_for_gone_is_used_again() {
    // A worker is cut off for so long that its entry in the list ends and its work starts
    // elsewhere. Then the same incarnation of the worker becomes reachable again. Guards against an
    // owner that still takes the worker for gone and gives it no work.
    let mut harness = Harness::new(2);
    harness.submit(1, "plain", job(step(1, 4)));
    harness.run(500);
    let at = harness.workers_running(task(1, 0))[0];
    (harness.workers[at].hook, harness.workers[at].listed) = (SILENT, false);
    harness.deliver_list();
    harness.run_until("a start elsewhere", 30_000, |h| h.starts().len() == 2);
    harness.run(5_000);
    harness.workers[at].running.clear();
    (harness.workers[at].hook, harness.workers[at].listed) = (NORMAL, true);
    harness.deliver_list();
    harness.submit(2, "plain", job(step(1, 4)));
    harness.run_until("a start on the recovered worker", 1_000, |h| {
        h.workers_running(task(2, 0)) == [at]
    });
    harness.run(3_000);
    assert_eq!(harness.starts_of(2).len(), 1);
    assert!(!harness.leases(at).is_empty());
    let before = harness.leases(at).len();
    harness.run(1_000);
    assert!(harness.leases(at).len() > before, "the lease must be renewed");
}
