//! An owner that hears nothing of its inbox: it may have missed a cancel.

mod hand;

use {
    dogwoodreach::{ports::EndReason, work::JobState},
    hand::{
        Harness, job, step, task,
        worker::{NORMAL, ONLY_HOLDS},
    },
    standin::site::setup::bounds,
    std::time::Duration,
};

/// Half a second past the bound on starts after a cancel, in milliseconds.
fn past_bound() -> u64 {
    bounds().cancel_lag.as_millis() as u64 + 500
}

#[test]
fn a_task_of_a_job_that_was_cancelled_unheard_does_not_start() {
    // Guards against an owner that keeps its lease while it hears nothing of its inbox, and starts
    // the job's other tasks as room becomes free.
    let mut hand = Harness::new(1);
    hand.submit(1, "plain", job(step(2, 4)));
    hand.run_until("a start", 500, |h| h.starts().len() == 1);
    hand.inbox_heard = false;
    hand.cancel(1);
    hand.run(past_bound());
    hand.end(task(1, 0), EndReason::Done);
    hand.run(3_000);
    assert_eq!(hand.starts().len(), 1, "the second task started");
}

#[test]
fn a_start_of_a_job_that_was_cancelled_unheard_is_not_sent_again() {
    // Guards against a start that is sent again, and carried out, after the bound: the first
    // sending was in time.
    let mut hand = Harness::new(1);
    hand.inbox_heard = false;
    hand.run(past_bound() - 1_000);
    hand.workers[0].hook = ONLY_HOLDS;
    hand.submit(1, "plain", job(step(1, 1)));
    hand.run(100);
    hand.cancel(1);
    hand.run(1_500);
    let last = hand.starts().last().expect("a start").0;
    assert!(last <= hand.now - Duration::from_secs(1), "sent again at {last}");
}

#[test]
fn work_goes_on_as_soon_as_the_inbox_is_heard_again() {
    // Guards against work that waits, or runs that lapse, longer than the owner hears nothing.
    let mut hand = Harness::new(1);
    hand.submit(1, "plain", job(step(1, 2)));
    hand.submit(2, "plain", job(step(2, 2)));
    hand.run_until("two starts", 500, |h| h.starts().len() == 2);
    hand.inbox_heard = false;
    hand.run(30_000);
    assert_eq!((hand.starts().len(), hand.workers[0].running.len()), (2, 2));
    hand.end(task(1, 0), EndReason::Done);
    hand.run(1_000);
    assert_eq!(hand.state(1), Some(JobState::Done));
    hand.inbox_heard = true;
    hand.run_until("the third start", 100, |h| h.starts().len() == 3);
}

#[test]
fn stops_of_a_cancelled_job_are_repeated_until_they_are_answered() {
    // Guards against a run that goes on because the order to stop it was lost.
    let mut hand = Harness::new(1);
    hand.submit(1, "plain", job(step(1, 1)));
    hand.run_until("a start", 500, |h| h.workers[0].running.len() == 1);
    hand.workers[0].hook = ONLY_HOLDS;
    hand.cancel(1);
    hand.run(3_000);
    assert_eq!(hand.workers[0].running.len(), 1, "the stops were lost");
    hand.workers[0].hook = NORMAL;
    hand.run_until("its stop", 600, |h| h.workers[0].running.is_empty());
}

#[test]
fn a_successor_knows_a_cancel_whose_end_was_not_stored() {
    // Guards against a successor that starts tasks of a job which its predecessor knew to be
    // cancelled, and had not stored as such.
    let mut hand = Harness::new(1);
    hand.submit(1, "plain", job(step(2, 4)));
    hand.run_until("a start", 500, |h| h.workers[0].running.len() == 1);
    hand.store_up = false;
    hand.cancel(1);
    hand.run(100);
    hand.store_up = true;
    hand.take_over();
    hand.run(5_000);
    assert_eq!((hand.starts_of(1).len(), hand.workers[0].running.len()), (1, 0));
    assert_eq!(hand.state(1), Some(JobState::Cancelled));
}
