//! A cancellation that the owner reads before its job.

mod hand;

use {
    dogwoodreach::work::JobState,
    hand::{Harness, job, step},
};

#[test]
fn a_job_cancelled_before_it_is_heard_of_never_starts() {
    // The store has compacted its history, so the owner reads the whole range again, in which the
    // cancellation precedes its job. Guards against an owner that then runs the job's tasks
    // although the caller was told that the job is cancelled.
    let mut harness = Harness::new(2);
    harness.cancel(1);
    harness.run(500);
    harness.submit(1, "plain", job(step(2, 1)));
    harness.submit(2, "plain", job(step(1, 1)));
    harness.run(3_000);
    assert!(harness.starts_of(1).is_empty());
    assert_eq!(harness.starts_of(2).len(), 1, "other jobs must start");
    assert_eq!(harness.state(1), Some(JobState::Cancelled));
    assert_eq!(harness.stored_progress(1).state, JobState::Cancelled);
}
