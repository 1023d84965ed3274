//! Long-running tasks that fail again and again.

mod hand;

use {
    dogwoodreach::{
        ports::EndReason,
        shard::record::encode,
        work::{JobState, Step},
    },
    hand::{Harness, job, step, task},
};

#[test]
fn the_stored_progress_of_a_long_running_task_does_not_grow_with_its_failures() {
    // Guards against a row that grows with each failed run of a task that has no limit of attempts.
    let mut hand = Harness::new(1);
    hand.submit(1, "plain", job(Step { lasts: true, ..step(1, 1) }));
    let mut sizes = vec![];
    for failures in 1..=200 {
        hand.run_until("a run", 6_000, |h| !h.workers_running(task(1, 0)).is_empty());
        hand.run(100);
        hand.end(task(1, 0), EndReason::Failed);
        if failures % 100 == 0 {
            hand.run(1_000);
            sizes.push(encode(&hand.stored_progress(1)).len());
        }
    }
    assert_eq!(hand.state(1), Some(JobState::Running));
    assert!(sizes[1] <= sizes[0] + 10, "{sizes:?} bytes after 100 and 200 failures");
}
