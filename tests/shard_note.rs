//! Tests when the end of a run is acknowledged to its worker, and when a job is shown as done.

mod hand;

use {
    dogwoodreach::{
        Time,
        ports::{EndReason, Fault, WorkerCall},
        shard::report::JobReport,
        work::{JobNo, JobState},
    },
    hand::{
        Harness, job, step,
        store::CallOutcome::{self, AnswerLost, Answered, Refused, Unanswered},
        task,
        worker::NORMAL,
    },
    std::time::Duration,
};

/// A worker with two tasks, one of which has just ended, while the store does not answer.
fn one_end_unstored() -> Harness {
    let mut hand = Harness::new(1);
    hand.submit(1, "plain", job(step(2, 1)));
    hand.run(300);
    hand.end(task(1, 0), EndReason::Done);
    hand.store_up = false;
    hand.run(500);
    hand
}

/// Returns when the store has the end and when the worker receives its acknowledgement; the next
/// writes have these outcomes.
fn note_times(fates: &[CallOutcome]) -> (Time, Time) {
    let mut hand = one_end_unstored();
    assert_eq!(hand.last_acked_end(0), 0, "nothing is written");
    hand.write_outcomes = fates.iter().copied().collect();
    hand.store_up = true;
    let has = |h: &Harness| h.stored_progress(1).tasks.iter().any(|t| t.5);
    let stored = hand.run_until("stored", 5_000, |h| has(h) || h.last_acked_end(0) == 1);
    let stored = if has(&hand) { stored } else { Time::NEVER };
    (stored, hand.run_until("told", 5_000, |h| h.last_acked_end(0) == 1))
}

#[test]
fn an_end_is_noted_once_the_write_is_done() {
    // If an end is acknowledged before its write is done, the worker forgets it. If the owner's
    // machine then loses power, the next owner starts the task a second time.
    let late = Duration::from_secs(2);
    let soon = Duration::from_millis(100);
    for fates in [
        &[Answered][..],
        &[Refused, Answered],
        &[Refused, Refused, Refused, Answered],
        &[Unanswered, Answered],
        &[AnswerLost(Duration::ZERO)],
        &[AnswerLost(late), Answered],
        &[Unanswered, Refused, AnswerLost(Duration::ZERO)],
    ] {
        let (stored, acknowledged) = note_times(fates);
        assert!(
            stored <= acknowledged,
            "{fates:?}: acknowledged at {acknowledged}, stored at {stored}"
        );
        assert!(
            acknowledged <= stored + soon,
            "{fates:?}: acknowledged at {acknowledged}, stored at {stored}"
        );
    }
}

#[test]
fn an_end_that_came_after_the_write_had_begun_waits_for_the_next() {
    // A second task of the job ends while the write with the first end is in flight. If that write
    // acknowledged the second end too, it would be lost with the owner, because the store doesn't
    // have it.
    let mut hand = one_end_unstored();
    hand.end(task(1, 1), EndReason::Done);
    hand.run(500);
    hand.write_outcomes = [Answered, Refused, Refused, Refused].into();
    hand.store_up = true;
    hand.run_until("the first is noted", 500, |h| h.last_acked_end(0) > 0);
    assert_eq!((hand.last_acked_end(0), hand.stored_progress(1).state), (1, JobState::Running));
    hand.run_until("the second is stored", 2_000, |h| {
        h.last_acked_end(0) > 1 || h.stored_progress(1).state.is_final()
    });
    assert_eq!(hand.stored_progress(1).state, JobState::Done);
    hand.run_until("the second is noted", 500, |h| h.last_acked_end(0) == 2);
}

#[test]
fn the_commit_row_says_what_an_unclear_write_has_done() {
    // The answer to a write is lost. If the owner took the write for done, workers would forget
    // ends that the store doesn't have. If it took the write for not done, it would repeat it, the
    // condition would fail, and the owner would mistake its own write for another owner's and give
    // up the shard.
    for (fate, writes) in [(AnswerLost(Duration::ZERO), 1), (Unanswered, 2)] {
        let mut hand = one_end_unstored();
        let before = hand.store.writes;
        hand.write_outcomes = [fate].into();
        hand.store_up = true;
        hand.run(1_000);
        let made = hand.store.writes - before + u64::from(fate == Unanswered);
        assert_eq!((made, hand.last_acked_end(0), hand.deposed), (writes, 1, false), "{fate:?}");
    }
}

#[test]
fn a_job_is_shown_as_done_once_that_is_stored() {
    // If a caller is shown a job as completed and the owner ends before that is stored, the last
    // task of the job runs again.
    let mut hand = one_end_unstored();
    hand.store_up = true;
    hand.run(300);
    hand.store_up = false;
    hand.end(task(1, 1), EndReason::Done);
    hand.run(1_000);
    let report = hand.shard.report(JobNo(1), hand.now);
    assert_eq!(report, Some(JobReport::AtLeast(JobState::Running)));
    assert_eq!(hand.shard.queued_jobs("plain"), 0);
    hand.store_up = true;
    hand.run_until("completed", 200, |h| h.state(1) == Some(JobState::Done));
    assert_eq!(hand.stored_progress(1).state, JobState::Done);
    hand.take_over();
    assert_eq!(hand.state(1), Some(JobState::Done), "job {} is over", JobNo(1));
}

#[test]
fn an_end_of_a_job_that_is_stored_needs_no_further_write() {
    // A job is cancelled and stored as such, and its runs end after that. No further write was
    // needed, so no write acknowledged these ends: the worker listed them in each answer and was
    // polled eight times a second until another job changed.
    let mut hand = Harness::new(1);
    hand.submit(1, "plain", job(step(2, 1)));
    hand.run(300);
    hand.workers[0].hook = |call| match call {
        WorkerCall::Stop { .. } => Some(Err(Fault::Unknown)),
        _ => None,
    };
    hand.cancel(1);
    hand.run_until("stored", 1_000, |h| h.state(1) == Some(JobState::Cancelled));
    hand.run(500);
    hand.workers[0].hook = NORMAL;
    hand.run_until("the runs have ended", 3_000, |h| h.workers[0].running.is_empty());
    hand.run_until("noted", 1_000, |h| h.workers[0].ends.is_empty());
}
