//! A worker that crashes and starts again under the id that it had: it holds nothing, and the numbers
//! of its ends and its clock start anew.

mod hand;

use {
    dogwoodreach::{
        ports::{EndReason, Fault, WorkerCall},
        work::Step,
    },
    hand::{Harness, job, step, task, worker::NORMAL},
};

/// A harness whose first worker has reported ends of runs in its former life.
fn with_restarted_worker() -> Harness {
    let mut harness = Harness::new(1);
    for no in 10..14 {
        harness.submit(no, "plain", job(step(1, 1)));
        harness.run(300);
        harness.end(task(no, 0), EndReason::Done);
        harness.run_until("done", 1_000, |h| h.stored_progress(no).state.is_final());
    }
    harness
}

// Guards against an end of the new life that counts as one of the former life.
#[test]
fn an_end_in_the_new_life_counts() {
    let mut harness = with_restarted_worker();
    let now = harness.now;
    harness.workers[0].restart(now);
    harness.submit(1, "plain", job(step(1, 1)));
    harness.run_until("a start", 2_000, |h| h.workers_running(task(1, 0)) == [0]);
    harness.run(300);
    harness.end(task(1, 0), EndReason::Done);
    harness.run_until("done", 2_000, |h| h.stored_progress(1).state.is_final());
    assert_eq!(harness.starts_of(1).len(), 1);
}

// Guards against a long-running task that the owner believes to be running in the former life.
#[test]
fn a_lasting_task_runs_again() {
    let mut harness = with_restarted_worker();
    harness.submit(1, "plain", job(Step { lasts: true, ..step(1, 1) }));
    harness.run(3_000);
    assert_eq!(harness.workers_running(task(1, 0)), [0]);
    let now = harness.now;
    harness.workers[0].restart(now);
    harness.run_until("a start", 6_000, |h| h.workers_running(task(1, 0)) == [0]);
    harness.run(30_000);
    assert_eq!(harness.workers_running(task(1, 0)), [0]);
    assert_eq!(harness.starts_of(1).len(), 2);
}

// Guards against a second run of a task whose first start is unanswered and reaches the worker after
// its restart.
#[test]
fn a_start_that_reaches_the_new_life_is_the_only_run() {
    let mut harness = with_restarted_worker();
    harness.workers[0].hook = |call| match call {
        WorkerCall::Start(_) => Some(Err(Fault::Unknown)),
        _ => None,
    };
    harness.submit(1, "plain", job(step(1, 1)));
    harness.run_until("a start", 1_000, |h| !h.starts_of(1).is_empty());
    let (_, _, start) = harness.starts_of(1).remove(0);
    let now = harness.now;
    harness.workers[0].restart(now);
    harness.workers[0].answer(&WorkerCall::Start(start.clone()), now).expect("it is carried out");
    harness.run(5_000);
    assert_eq!(harness.workers_running(task(1, 0)), [0]);
    assert!(harness.starts_of(1).iter().all(|s| s.2.run == start.run));
    assert!(harness.stops().is_empty());
}

// Guards against a second run of a task whose start was stopped before the restart and reaches the
// worker after it.
#[test]
fn the_answer_to_a_stop_ends_with_the_restart() {
    let mut harness = Harness::new(2);
    harness.workers.iter_mut().for_each(|w| {
        w.hook = |call| match call {
            WorkerCall::Hold { .. } => None,
            _ => Some(Err(Fault::Unknown)),
        }
    });
    harness.submit(1, "plain", job(step(1, 1)));
    harness.run_until("a stop", 5_000, |h| !h.stops().is_empty());
    let (_, at, start) = harness.starts_of(1).remove(0);
    harness.workers.iter_mut().for_each(|w| w.hook = NORMAL);
    harness.workers[at].hook = |call| match call {
        WorkerCall::Stop { .. } => None,
        _ => Some(Err(Fault::Unknown)),
    };
    harness.run(1_500);
    let now = harness.now;
    harness.workers[at].restart(now);
    harness.workers[at].answer(&WorkerCall::Start(start), now).expect("it is carried out");
    let again = |h: &Harness| h.starts_of(1).iter().any(|s| s.2.run > 1);
    harness.run_until("a new run", 5_000, again);
    assert!(harness.workers[at].running.is_empty(), "two runs at once");
}
