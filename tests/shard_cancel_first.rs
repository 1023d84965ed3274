//! A cancellation that the owner reads before its job.

mod hand;

use {
    dogwoodreach::work::JobState,
    hand::{Harness, job, step},
    standin::site::setup::bounds,
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

#[test]
fn a_job_cancelled_long_before_it_is_heard_of_is_kept_as_long_as_others() {
    // The notice of a cancellation arrives, and the store can't be read for 20 s, so the owner
    // hears of the job that much later. Guards against counting the time for which its end is kept
    // from the notice: callers were told that there is no such job while they may still ask.
    let mut harness = Harness::new(2);
    harness.cancel(1);
    harness.run(20_000);
    harness.submit(1, "plain", job(step(2, 1)));
    harness.run_until("the end", 1_000, |h| h.state(1) == Some(JobState::Cancelled));
    harness.run(bounds().state_retention.as_millis() as u64);
    assert_eq!(harness.state(1), Some(JobState::Cancelled));
    assert_eq!(harness.stored_progress(1).state, JobState::Cancelled);
    harness.run_until("its removal", 20_000, |h| h.state(1).is_none());
}
