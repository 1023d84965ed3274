//! Workers that have announced that they are leaving.

mod hand;

use {
    dogwoodreach::{
        ports::{EndReason, Fault, WorkerCall},
        work::Step,
    },
    hand::{Harness, MAX_STOP, job, step, task},
    std::time::Duration,
};

/// Two workers: one runs a long-running task and a checkpointing task and leaves in 6 s, the other
/// is empty. Returns the index of the first as well.
fn with_leaving_worker() -> (Harness, usize) {
    let mut harness = Harness::new(2);
    harness.submit(1, "plain", job(Step { lasts: true, may_miss: Some(1), ..step(1, 1) }));
    harness.submit(2, "plain", job(Step { saves: true, ..step(1, 1) }));
    harness.run(500);
    let at = harness.workers_running(task(1, 0))[0];
    assert_eq!(harness.workers_running(task(2, 0)), [at], "the fuller worker must be preferred");
    harness.workers[at].row_mut(&task(2, 0)).checkpoint = "a7".into();
    harness.run(300);
    harness.workers[at].leaves_in = Some(Duration::from_secs(6));
    harness.deliver_list();
    (harness, at)
}

#[test]
fn nothing_starts_on_a_leaving_worker() {
    // A worker announces that it is leaving while its free capacity still suits new tasks best.
    // Tasks that start on it are lost with it, and a start later than 2 s after the announcement
    // breaks an invariant.
    let (mut harness, at) = with_leaving_worker();
    let notice = harness.now;
    harness.submit(3, "plain", job(step(4, 1)));
    harness.run(10_000);
    let late: Vec<_> =
        harness.starts().into_iter().filter(|s| s.0 >= notice && s.1 == at).collect();
    assert!(late.is_empty(), "{late:?}");
}

#[test]
fn unanswered_start_is_not_repeated_on_a_leaving_worker() {
    // A start has got no answer when the worker announces that it is leaving. Guards against
    // sending the start for another second: it would begin work that is lost with the worker.
    let mut harness = Harness::new(1);
    harness.workers[0].hook = |call| match call {
        WorkerCall::Start(_) => Some(Err(Fault::Unknown)),
        _ => None,
    };
    harness.submit(1, "plain", job(step(1, 1)));
    harness.run(60);
    harness.workers[0].leaves_in = Some(Duration::from_secs(6));
    harness.deliver_list();
    harness.run(5_000);
    assert_eq!(harness.starts().len(), 1);
    assert_eq!(harness.stops().len(), 1, "a stop must bar the start, which may still arrive late");
}

#[test]
fn long_running_tasks_move_at_once_and_others_continue_from_a_checkpoint() {
    // The worker leaves with all that runs on it. A long-running task that stays until then is down
    // for longer than necessary. Any other task that stays loses its work since the last checkpoint
    // and can start elsewhere only after its lease has expired.
    let (mut harness, at) = with_leaving_worker();
    let end = harness.now + Duration::from_secs(6);
    let moved = harness
        .run_until("the move of the long-running task", 1_000, |h| h.starts_of(1).len() == 2);
    assert!(harness.stops().iter().all(|s| s.2 == task(1, 0)), "the other task must keep running");
    let stop = harness.run_until("the stop of the other task", 6_000, |h| {
        h.stops().iter().any(|s| s.2 == task(2, 0))
    });
    assert!(stop + MAX_STOP < end, "stopped too late: at {stop}");
    assert!(stop > moved + Duration::from_secs(2), "stopped too early: at {stop}");
    harness.run_until("a start elsewhere", 500, |h| h.workers_running(task(2, 0)) == [1 - at]);
    assert_eq!(&*harness.starts_of(2)[1].2.checkpoint, "a7");
    harness.end(task(2, 0), EndReason::Done);
    harness.run_until("the end of the job", 500, |h| h.stored_progress(2).state.is_final());
}

#[test]
fn long_running_tasks_stay_until_there_is_room_elsewhere() {
    // A worker with three long-running tasks leaves in 20 s, and there is capacity for one of them
    // elsewhere. Guards against stopping the other two at once as well: they would not run until
    // other tasks end, although their worker could still run them for half a minute.
    let mut harness = Harness::new(2);
    harness.submit(1, "plain", job(Step { lasts: true, may_miss: Some(1), ..step(3, 1) }));
    harness.run(500);
    let at = harness.workers_running(task(1, 0))[0];
    assert!(
        (1..3).all(|i| harness.workers_running(task(1, i)) == [at]),
        "the fuller worker must be preferred"
    );
    harness.submit(2, "plain", job(step(1, 1)));
    harness.submit(3, "plain", job(step(1, 3)));
    harness.run(500);
    assert_eq!(harness.workers_running(task(3, 0)), [1 - at]);
    harness.workers[at].leaves_in = Some(Duration::from_secs(20));
    harness.deliver_list();
    harness.run(10_000);
    let run_count = |i| harness.workers_running(task(1, i)).len();
    assert_eq!((0..3).map(run_count).collect::<Vec<_>>(), [1; 3], "all tasks must run");
    let moved = (0..3).filter(|i| harness.workers_running(task(1, *i)) == [1 - at]);
    assert_eq!(moved.count(), 1, "one task has capacity elsewhere");
    harness.end(task(3, 0), EndReason::Done);
    harness.run(2_000);
    let moved = (0..3).filter(|i| harness.workers_running(task(1, *i)) == [1 - at]);
    assert_eq!(moved.count(), 3, "the others must move once there is capacity");
}

#[test]
fn long_running_tasks_of_two_steps_do_not_count_on_the_same_room() {
    // Long-running tasks of two jobs run on a worker that leaves in 20 s, and there is capacity for
    // one of them elsewhere. Guards against both steps counting on the same capacity: both tasks
    // would be stopped, and one of them would not run until its worker is gone.
    let mut harness = Harness::new(2);
    let one = || job(Step { lasts: true, may_miss: Some(1), ..step(1, 1) });
    harness.submit(1, "plain", one());
    harness.submit(2, "plain", one());
    harness.run(500);
    let at = harness.workers_running(task(1, 0))[0];
    assert_eq!(harness.workers_running(task(2, 0)), [at], "the fuller worker must be preferred");
    harness.submit(3, "plain", job(step(1, 2)));
    harness.submit(4, "plain", job(step(1, 3)));
    harness.run(500);
    assert_eq!(harness.workers_running(task(4, 0)), [1 - at]);
    harness.workers[at].leaves_in = Some(Duration::from_secs(20));
    harness.deliver_list();
    harness.run(10_000);
    let places = |no| harness.workers_running(task(no, 0));
    let mut both = [places(1), places(2)].concat();
    both.sort_unstable();
    assert_eq!(both, [0, 1], "both tasks must run, one of them elsewhere");
}
