//! Takeovers of shards whose workers answer slowly, and long-running tasks on leaving workers.

mod hand;

use {
    dogwoodreach::{ports::EndReason, work::Step},
    hand::{Harness, job, step, task, worker::Worker},
    std::time::Duration,
};

/// How long a long-running task may be away beside room, in milliseconds.
const MAX_ABSENCE_MS: u64 = 6_000;

#[test]
fn a_new_owner_hears_of_workers_that_answer_slowly() {
    // Calls to workers take 0.6 s. Guards against a new owner that gives up each call before its
    // answer, so that nothing starts until the leases of the former owner have ended.
    let mut hand = Harness::new(3);
    hand.submit(1, "plain", job(Step { lasts: true, ..step(3, 1) }));
    hand.run(3_000);
    hand.hold_delay = Duration::from_millis(600);
    hand.take_over();
    hand.end(task(1, 0), EndReason::Failed);
    let starts = hand.starts_of(1).len();
    hand.run_until("a start", MAX_ABSENCE_MS, |h| h.starts_of(1).len() > starts);
}

#[test]
fn a_task_on_a_leaving_worker_moves_to_a_worker_that_has_joined() {
    // Guards against a long-running task that stays until its worker ends, since nobody has
    // requested advice on a new worker that has room.
    for queue in ["plain", "advised"] {
        let mut hand = Harness::new(1);
        hand.submit(1, queue, job(Step { lasts: true, may_miss: Some(1), ..step(1, 1) }));
        hand.run(3_000);
        assert_eq!(hand.workers_running(task(1, 0)), [0]);
        hand.workers.push(Worker::new(1));
        hand.workers[0].leaves_in = Some(Duration::from_secs(30));
        hand.deliver_list();
        hand.run(MAX_ABSENCE_MS);
        assert_eq!(hand.workers_running(task(1, 0)), [1], "{queue}");
    }
}
