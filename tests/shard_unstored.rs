//! Ends of runs and jobs that wait to be stored: what they cost the owner in calls, and in which
//! order they are written.

mod hand;

use {
    dogwoodreach::{
        ports::{EndReason, WorkerCall},
        units::Size,
        work::{JobState, Step, TaskKey},
    },
    hand::{Harness, job, step, task},
};

/// Time for which a worker without ends holds a call open, in milliseconds.
const HOLD_MS: usize = 900;

/// A step whose tasks are so small that a worker has room for thousands.
fn small(count: u32) -> Step {
    Step { size: Size::new(0, 1, 0), ..step(count, 0) }
}

/// The number of workers that run exactly one task.
fn busy_count(hand: &Harness) -> usize {
    hand.workers.iter().filter(|w| w.running.len() == 1).count()
}

/// The number of calls so far that ask a worker for its ends and don't wait for one.
fn poll_count(hand: &Harness) -> usize {
    let polls = |c: &WorkerCall| matches!(c, WorkerCall::Hold { wait, .. } if wait.is_zero());
    hand.call_log.iter().filter(|(_, _, call)| polls(call)).count()
}

/// Ends one run of each worker.
fn end_one_each(hand: &mut Harness) {
    for worker in &mut hand.workers {
        let first: Option<TaskKey> = worker.running.first().map(|r| r.task);
        first.iter().for_each(|t| assert!(worker.end(t, EndReason::Done)));
    }
}

/// An owner with workers that have room for one task each, and jobs with four times as many tasks.
fn with_runs(workers: usize) -> Harness {
    let mut hand = Harness::new(workers);
    hand.submit(1, "plain", job(step(4 * workers as u32, 3)));
    hand.run_until("each runs one", 4_000, |h| busy_count(h) == workers);
    hand.run(500);
    hand
}

// Guards against an owner whose calls grow with the time that ends wait to be stored.
#[test]
fn workers_whose_ends_wait_to_be_stored_are_not_called_more_often_than_running_ones() {
    const WORKERS: usize = 350;
    let mut hand = with_runs(WORKERS);
    hand.store_up = false;
    end_one_each(&mut hand);
    hand.run(1_000);
    let before = poll_count(&hand);
    hand.run(4_500);
    let calls = poll_count(&hand) - before;
    assert!(calls <= WORKERS * 4_500 / HOLD_MS + WORKERS, "{calls} calls in 4.5 s");
    hand.store_up = true;
    hand.run_until("ends are acknowledged", 1_500, |h| h.workers.iter().all(|w| w.ends.is_empty()));
}

// Guards against few workers whose next ends are heard late because their first wait to be stored.
#[test]
fn new_ends_of_few_workers_are_heard_soon_while_others_wait_to_be_stored() {
    const WORKERS: usize = 20;
    let mut hand = with_runs(WORKERS);
    hand.store_up = false;
    for _ in 0..3 {
        end_one_each(&mut hand);
        hand.run_until("each runs the next", 250, |h| busy_count(h) == WORKERS);
    }
}

// Guards against callers who wait for the end of a job while changes that nobody waits for are
// stored first.
#[test]
fn the_end_of_a_job_is_stored_before_changes_of_jobs_that_go_on() {
    const JOBS: u64 = 400;
    let mut hand = Harness::new(40);
    for no in 1..=JOBS {
        hand.submit(no, "plain", job(small(2)));
    }
    let all = 2 * JOBS as usize;
    hand.run_until("all run", 4_000, |h| {
        h.workers.iter().map(|w| w.running.len()).sum::<usize>() == all
    });
    hand.run(500);
    (1..JOBS).for_each(|no| hand.end(task(no, 0), EndReason::Done));
    [0, 1].into_iter().for_each(|index| hand.end(task(JOBS, index), EndReason::Done));
    let writes = hand.store.writes;
    hand.run_until("the job is told as over", 2_000, |h| h.state(JOBS) == Some(JobState::Done));
    assert!(hand.store.writes <= writes + 3, "{} writes", hand.store.writes - writes);
}

// Guards against a release that waits for, or loses, the end of a job whose earlier change waits.
#[test]
fn a_job_that_ends_while_its_change_waits_is_written_once() {
    let mut hand = Harness::new(2);
    hand.submit(1, "plain", job(small(2)));
    hand.run_until("both run", 2_000, |h| {
        h.workers.iter().map(|w| w.running.len()).sum::<usize>() == 2
    });
    hand.run(500);
    hand.store_up = false;
    hand.end(task(1, 0), EndReason::Done);
    hand.run(300);
    hand.end(task(1, 1), EndReason::Done);
    hand.run(300);
    let writes = hand.store.writes;
    hand.store_up = true;
    hand.run_until("told as over", 2_000, |h| h.state(1) == Some(JobState::Done));
    assert!(hand.shard.is_flushed());
    hand.run(300);
    // The write of the change that was on its way, and that of the end.
    assert_eq!(hand.store.writes, writes + 2);
    assert_eq!(hand.shard.unwritten_jobs(), 0);
}
