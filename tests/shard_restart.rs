//! A worker that crashes and starts again under the id that it had: it holds nothing, and the numbers
//! of its ends and its clock start anew.

mod hand;

use {
    dogwoodreach::{
        ports::{EndReason, Fault, WorkerCall},
        shard::event::Event,
        units::Size,
        work::Step,
    },
    hand::{
        Harness, job, step, task,
        worker::{NORMAL, ONLY_HOLDS},
    },
    std::time::Duration,
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
    harness.deliver_list();
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

/// Lets the first worker drain and start again under its id, and delivers the new list before or
/// after the first report of the new process.
fn drain_and_restart(harness: &mut Harness, list_first: bool) {
    harness.workers[0].leaves_in = Some(Duration::from_millis(2_000));
    harness.deliver_list();
    harness.run(2_300);
    let now = harness.now;
    harness.workers[0].restart(now);
    if !list_first {
        harness.run(700);
    }
    harness.deliver_list();
    harness.run(700);
}

// Guards against a process that gets no tasks because the former one was leaving.
#[test]
fn a_worker_serves_again_after_each_drain_and_restart() {
    for list_first in [false, true] {
        let mut harness = Harness::new(1);
        for no in 1..4 {
            drain_and_restart(&mut harness, list_first);
            harness.submit(no, "plain", job(step(1, 1)));
            harness.run_until("a start", 1_000, |h| h.workers_running(task(no, 0)) == [0]);
        }
    }
}

// Guards against a start on a process that drains by the newest list, as it is new.
#[test]
fn a_new_process_that_drains_at_once_gets_no_task() {
    for list_first in [false, true] {
        let mut harness = Harness::new(1);
        drain_and_restart(&mut harness, list_first);
        harness.workers[0].leaves_in = Some(Duration::from_millis(2_000));
        harness.deliver_list();
        harness.submit(1, "plain", job(step(1, 1)));
        harness.run(2_000);
        assert!(harness.starts_of(1).is_empty());
    }
}

// Guards against tasks that are blamed for the planned end of their worker's process.
#[test]
fn a_planned_end_is_no_crash_whichever_tells_of_the_restart_first() {
    for list_first in [false, true] {
        let mut harness = Harness::new(1);
        harness.submit(1, "plain", job(step(1, 1)));
        harness.run_until("a start", 1_000, |h| h.workers_running(task(1, 0)) == [0]);
        harness.run(100);
        harness.workers[0].hook = ONLY_HOLDS;
        drain_and_restart(&mut harness, list_first);
        harness.run_until("a new run", 3_000, |h| h.workers_running(task(1, 0)) == [0]);
        harness.run(1_000);
        assert!(harness.stored_progress(1).crashes.is_empty());
    }
}

// Guards against a task that the former process had room for and the new one doesn't.
#[test]
fn nothing_starts_by_the_former_process_s_entry() {
    let mut harness = Harness::new(1);
    let former = harness.workers[0].entry();
    let now = harness.now;
    harness.workers[0].restart(now);
    harness.workers[0].capacity = Size::new(1, 16_384, 0);
    harness.run(300);
    harness.deliver(Event::Listed(former.into_iter().collect()));
    harness.submit(1, "plain", job(step(1, 2)));
    harness.submit(2, "plain", job(step(1, 1)));
    harness.run(500);
    assert!(harness.starts().is_empty());
    harness.deliver_list();
    harness.run_until("a start", 1_000, |h| h.workers_running(task(2, 0)) == [0]);
    harness.run(500);
    assert!(harness.starts_of(1).is_empty());
}

// Guards against an owner that takes the last entry of the former process for one of the new process.
#[test]
fn a_new_owner_that_reads_the_list_between_two_processes_uses_the_second() {
    let mut harness = Harness::new(1);
    harness.workers[0].leaves_in = Some(Duration::from_millis(2_000));
    harness.deliver_list();
    harness.run(2_000);
    harness.take_over();
    let now = harness.now;
    harness.workers[0].restart(now);
    harness.run(500);
    harness.deliver_list();
    harness.submit(1, "plain", job(step(1, 1)));
    harness.run_until("a start", 2_000, |h| h.workers_running(task(1, 0)) == [0]);
}

// Guards against calls to the former address, at which nobody answers, for ever; a new owner knows
// only the address in the roster.
#[test]
fn a_worker_that_restarts_at_another_address_is_used_there() {
    let mut harness = Harness::new(1);
    for no in 1..4 {
        let now = harness.now;
        harness.workers[0].restart(now);
        harness.workers[0].port = 9_100 + no as u16;
        harness.run(2_000);
        harness.deliver_list();
        harness.submit(no, "plain", job(step(1, 1)));
        harness.run_until("a start", 2_000, |h| h.workers_running(task(no, 0)) == [0]);
        harness.run(1_000);
        harness.end(task(no, 0), EndReason::Done);
        harness.run_until("done", 2_000, |h| h.stored_progress(no).state.is_final());
    }
    harness.workers[0].listed = false;
    harness.take_over();
    harness.run_until("a call", 1_000, |h| h.workers[0].token == h.token);
}

// Guards against a hold that acknowledges ends of the former process to the new one, which forgets ends
// that it has never listed: their tasks would run again.
#[test]
fn an_end_of_the_new_process_is_listed_after_a_hold_that_the_former_one_left_unanswered() {
    let mut harness = with_restarted_worker();
    for no in 1..4 {
        let now = harness.now;
        harness.workers[0].restart(now);
        harness.workers[0].hook = |call| match call {
            WorkerCall::Hold { .. } => Some(Err(Fault::Unknown)),
            _ => None,
        };
        harness.submit(no, "plain", job(step(1, 1)));
        harness.run_until("a start", 1_000, |h| h.workers_running(task(no, 0)) == [0]);
        harness.run(100);
        harness.end(task(no, 0), EndReason::Done);
        harness.run(2_700);
        harness.workers[0].hook = NORMAL;
        harness.run_until("done", 2_000, |h| h.stored_progress(no).state.is_final());
        assert_eq!(harness.starts_of(no).len(), 1);
        harness.deliver_list();
        harness.run(1_000);
    }
}
