//! Gangs whose members do not all start, or end at different times.

mod hand;

use {
    dogwoodreach::{
        Time,
        ports::{EndReason, Start, WorkerCall, WorkerRefusal, WorkerReply as Reply},
        work::Step,
    },
    hand::{
        Harness, job, step, task,
        worker::{Hook, NORMAL, SILENT},
    },
    std::collections::BTreeSet,
};

/// Refuses starts for want of capacity.
const REFUSE_STARTS: Hook = |call| match call {
    WorkerCall::Start(_) => Some(Ok(Reply::Refused(0, WorkerRefusal::Room))),
    _ => None,
};

/// Submits a gang of three, each of which fills a worker, and returns their starts.
fn submit_gang(harness: &mut Harness) -> Vec<(Time, usize, Start)> {
    harness.submit(1, "plain", job(Step { gang: true, saves: true, ..step(3, 4) }));
    harness.run_until("the starts of the gang", 500, |h| h.starts().len() == 3);
    harness.starts()
}

/// The distinct runs and checkpoints of all starts but the first `after`.
fn restarts(harness: &Harness, after: usize) -> BTreeSet<(u32, Box<str>)> {
    harness.starts()[after..].iter().map(|s| (s.2.run, s.2.checkpoint.clone())).collect()
}

#[test]
fn the_others_are_stopped_and_all_start_again() {
    // A member's start is refused, as its worker has less capacity than the owner assumed. Guards
    // against the other two members waiting for it until they end for lack of a complete gang,
    // while they occupy their workers.
    let mut harness = Harness::new(3);
    harness.workers[1].hook = REFUSE_STARTS;
    let first = submit_gang(&mut harness);
    let refused = harness.now;
    harness.run_until("the stops of the others", 200, |h| h.stops().len() == 2);
    harness.run(200);
    assert!(
        (0..3).all(|i| harness.workers_running(task(1, i)).is_empty()),
        "no member may wait alone"
    );
    harness.workers[1].hook = NORMAL;
    harness.run_until("the restart of all members", 3_000, |h| h.starts().len() == 6);
    assert_eq!(restarts(&harness, 3), [(first[0].2.run + 1, "".into())].into());
    assert_eq!(
        harness.starts()[3].0,
        harness.starts()[5].0,
        "the members must start together; one was refused at {refused}"
    );
}

#[test]
fn all_go_on_from_one_checkpoint() {
    // A member fails, and the others, which are stopped, report other checkpoints. Guards against
    // members that start again from different checkpoints: that breaks an invariant and spoils
    // their work.
    let mut harness = Harness::new(3);
    submit_gang(&mut harness);
    harness.run(300);
    for (i, saved) in (0..).zip(["a3", "a4", ""]) {
        let at = harness.workers_running(task(1, i))[0];
        harness.workers[at].row_mut(&task(1, i)).checkpoint = saved.into();
    }
    harness.end(task(1, 0), EndReason::Failed);
    harness.run_until("the restart of all members", 5_000, |h| h.starts().len() == 6);
    let again = restarts(&harness, 3);
    assert_eq!(again.len(), 1, "{again:?}");
    assert!(again.iter().all(|(run, saved)| *run == 2 && !saved.is_empty()), "{again:?}");
}

#[test]
fn an_end_heard_late_changes_the_checkpoint_of_all() {
    // The worker of a member is cut off until its lease has expired, and the gang waits for
    // capacity. Then the worker becomes reachable again and reports the member's end with a newer
    // checkpoint. Guards against using this checkpoint for that member alone, so that the members
    // start from different ones.
    let mut harness = Harness::new(3);
    submit_gang(&mut harness);
    harness.run(300);
    for i in 0..3 {
        let at = harness.workers_running(task(1, i))[0];
        harness.workers[at].row_mut(&task(1, i)).checkpoint = "a3".into();
    }
    harness.run(300);
    let at = harness.workers_running(task(1, 1))[0];
    harness.workers[at].hook = SILENT;
    harness.run_until("the stops of the others", 30_000, |h| h.stops().len() == 2);
    harness.run(2_000);
    assert_eq!(harness.starts().len(), 3, "there must be no room for the gang");
    harness.workers[at].row_mut(&task(1, 1)).checkpoint = "a5".into();
    harness.end(task(1, 1), EndReason::Lapsed);
    harness.workers[at].hook = NORMAL;
    harness.run_until("the restart of all members", 5_000, |h| h.starts().len() == 6);
    let again = restarts(&harness, 3);
    assert_eq!(again.len(), 1, "{again:?}");
}

#[test]
fn ends_that_a_former_owner_has_not_heard_of_give_one_checkpoint() {
    // The members of a gang end while the shard has no owner, each with a different last
    // checkpoint. The next owner gets the reports of the ends one by one.
    let mut harness = Harness::new(3);
    submit_gang(&mut harness);
    harness.run(300);
    for (i, saved) in (0..).zip(["a3", "a4", "a5"]) {
        let at = harness.workers_running(task(1, i))[0];
        harness.workers[at].row_mut(&task(1, i)).checkpoint = saved.into();
        harness.end(task(1, i), EndReason::Broken);
    }
    harness.take_over();
    harness.run_until("the restart of all members", 5_000, |h| h.starts().len() == 6);
    let again = restarts(&harness, 3);
    assert_eq!(again.len(), 1, "{again:?}");
}
