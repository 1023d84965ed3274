//! Changes of jobs that go on while ends of jobs fill all writes.

mod hand;

use {
    dogwoodreach::{
        ports::EndReason,
        units::Size,
        work::{JobState, Step},
    },
    hand::{Harness, job, step, task},
};

/// A step whose tasks are so small that a worker has room for thousands.
fn small(count: u32) -> Step {
    Step { size: Size::new(0, 1, 0), ..step(count, 0) }
}

/// An owner with this many jobs of one task and, as number 0, one of two tasks; all run.
fn with_jobs(workers: usize, jobs: u64) -> Harness {
    let mut hand = Harness::new(workers);
    (0..=jobs).for_each(|no| hand.submit(no, "plain", job(small(if no == 0 { 2 } else { 1 }))));
    let all = jobs as usize + 2;
    hand.run_until("all run", 6_000, |h| {
        h.workers.iter().map(|w| w.running.len()).sum::<usize>() == all
    });
    hand.run(500);
    hand
}

// Guards against the end of a task that is never acknowledged because ends of jobs fill all writes.
#[test]
fn the_end_of_a_task_is_acknowledged_while_ends_of_jobs_fill_all_writes() {
    const ENDS_EACH: u64 = 20;
    const ROUNDS: u64 = 20;
    let mut hand = with_jobs(40, ENDS_EACH * ROUNDS);
    let worker = hand.workers_running(task(0, 0))[0];
    let mut next = 1..;
    for round in 0..ROUNDS {
        if round == 1 {
            hand.end(task(0, 0), EndReason::Done);
        }
        next.by_ref()
            .take(ENDS_EACH as usize)
            .for_each(|no| hand.end(task(no, 0), EndReason::Done));
        // The store takes 100 ms for a write.
        hand.store_up = false;
        hand.run(80);
        hand.store_up = true;
        hand.run(20);
    }
    let stored = (1..=ENDS_EACH * ROUNDS).filter(|no| hand.state(*no) == Some(JobState::Done));
    let (stored, writes) = (stored.count(), hand.store.writes);
    let ends = &hand.workers[worker].ends;
    assert!(
        ends.iter().all(|e| e.task != task(0, 0)),
        "not in {} ms; the worker lists {}; {stored} ends stored, {writes} writes",
        (ROUNDS - 1) * 100,
        ends.len()
    );
}

// Guards against writes that hold nothing.
#[test]
fn ends_that_fill_a_write_cause_no_other_write() {
    const ENDS: u64 = 14;
    let mut hand = with_jobs(ENDS as usize, ENDS);
    let writes = hand.store.writes;
    (1..=ENDS).for_each(|no| hand.end(task(no, 0), EndReason::Done));
    hand.run_until("all are told", 2_000, |h| {
        (1..=ENDS).all(|no| h.state(no) == Some(JobState::Done))
    });
    let needed = hand.store.writes - writes;
    let (flushed, waiting) = (hand.shard.is_flushed(), hand.shard.unwritten_jobs());
    hand.run(500);
    let made = hand.store.writes - writes;
    assert!(
        flushed && made == needed,
        "{needed} writes store all ends; then flushed={flushed}, unwritten={waiting}, {made} writes in the end"
    );
}
