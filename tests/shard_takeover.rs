//! Tests what a new owner must not do while a former one may still act.

mod hand;

use {
    dogwoodreach::{
        ports::{EndReason, PresentRun, WorkerCall, WorkerReply as Reply},
        shard::{
            Shard,
            event::{Event, Order},
            record::{CommitRow, encode},
        },
        units::Size,
        work::Step,
    },
    hand::{
        Harness, SHARD, job, load, setup, step, task,
        worker::{Hook, NORMAL, SILENT, Worker},
    },
};

/// The worker answers that the addressed incarnation is over.
const OTHER_INCARNATION: Hook = |_| Some(Ok(Reply::Other));
/// The worker accepts stops, which take effect only later.
const SLOW_STOPS: Hook =
    |call| matches!(call, WorkerCall::Stop { .. }).then_some(Ok(Reply::Done(0)));

#[test]
fn no_end_is_noted_before_all_workers_have_answered() {
    // A task has ended; the new owner stores that and lets the worker forget it, and then the
    // worker crashes. The former owner, which doesn't know of the takeover yet, sees another
    // incarnation, takes its run for lost, and starts the task again on a worker that the new owner
    // hasn't reached.
    let mut hand = Harness::new(3);
    hand.submit(1, "plain", job(step(3, 2)));
    hand.run(500);
    let at = hand.workers_running(task(1, 0))[0];
    let unreachable = (0..3).find(|w| *w != at).expect("another");
    hand.workers[unreachable].hook = SILENT;
    hand.end(task(1, 0), EndReason::Done);
    hand.call_log.clear();
    hand.take_over();
    let stored = |h: &Harness| h.stored_progress(1).tasks.iter().any(|t| t.2 == 0 && t.5);
    hand.run_until("the end is stored", 1_000, stored);
    hand.run(500);
    assert_eq!(
        hand.last_acked_end(at),
        0,
        "acknowledged while a worker may still accept orders of the former owner"
    );
    hand.workers[unreachable].hook = NORMAL;
    hand.run_until("the end is noted", 2_000, |h| h.last_acked_end(at) == 1);
}

#[test]
fn a_task_waits_for_the_end_of_its_second_run() {
    // The former owner started a task again elsewhere just before it was fenced there. The new
    // owner keeps the first run and orders the second to stop, which takes a while. Then the first
    // run is lost with its worker, and the task must not start while the second run still exists.
    let mut hand = Harness::new(3);
    hand.submit(1, "plain", job(step(1, 2)));
    hand.run(500);
    let at = hand.workers_running(task(1, 0))[0];
    let other = (0..3).find(|w| *w != at).expect("another");
    let row = PresentRun { run: 2, ..hand.workers[at].row_mut(&task(1, 0)).clone() };
    hand.workers[other].running.push(row);
    hand.workers[other].hook = SILENT;
    hand.take_over();
    hand.run(300);
    hand.workers[other].hook = SLOW_STOPS;
    hand.call_log.clear();
    hand.run_until("the stop of the other run", 2_000, |h| !h.stops().is_empty());
    hand.workers[at].running.clear();
    hand.workers[at].hook = OTHER_INCARNATION;
    hand.run(1_000);
    assert!(hand.starts().is_empty(), "started while another run exists at worker {other}");
    hand.workers[other].hook = NORMAL;
    hand.end(task(1, 0), EndReason::Stopped);
    hand.run_until("the task's start", 2_000, |h| h.starts_of(1).len() == 1);
}

#[test]
fn leases_lapse_only_for_an_owner_that_is_confirmed() {
    // A new owner has heard from most workers and is then cut off from the store. Guards against
    // starting the tasks of a silent worker again a lease later: the owner after it may have
    // reached that worker and may keep them alive.
    let mut hand = Harness::new(3);
    hand.submit(1, "plain", job(step(1, 2)));
    hand.run(500);
    let at = hand.workers_running(task(1, 0))[0];
    hand.workers[at].hook = SILENT;
    hand.call_log.clear();
    hand.take_over();
    hand.run(1_000);
    hand.lease_confirmed = false;
    hand.run(30_000);
    assert!(hand.starts().is_empty(), "started elsewhere by an owner that may have a successor");
    hand.lease_confirmed = true;
    hand.run_until("the task's start", 1_000, |h| h.starts_of(1).len() == 1);
}

#[test]
fn new_workers_do_not_show_that_a_former_owner_has_stopped() {
    // A partition: the former owner is cut off from the store and reaches three of its five
    // workers, so it goes on renewing their leases. The new owner reaches the other two and four
    // workers that have come since. Guards against counting these as a majority: after the length
    // of a lease the tasks of the three would run a second time.
    let mut hand = Harness::new(5);
    hand.submit(1, "plain", job(step(5, 3)));
    hand.run(500);
    hand.workers[..3].iter_mut().for_each(|w| w.hook = SILENT);
    hand.workers.extend((5..9).map(Worker::new));
    hand.call_log.clear();
    hand.take_over();
    hand.run(30_000);
    assert_eq!(hand.starts_of(1), [], "started while the former owner may renew their leases");
    hand.workers[0].hook = NORMAL;
    hand.submit(2, "plain", job(step(1, 3)));
    hand.run_until("a start on a new worker", 1_000, |h| h.starts_of(2).len() == 1);
    hand.run_until("the tasks of the others", 30_000, |h| h.starts_of(1).len() == 2);
}

#[test]
fn a_hold_has_more_time_than_it_waits() {
    // A new owner gives the first call to a worker less time than others, until all workers have
    // answered. Guards against holds that wait for longer than that: each would count as
    // unanswered.
    let mut hand = Harness::new(2);
    hand.submit(1, "plain", job(step(2, 3)));
    hand.run(500);
    let row = encode(&CommitRow { token: 2, number: 0 });
    let commit = hand.store.put(SHARD.commit_key(), row);
    let mut shard = Shard::new(setup(2), load(&hand.store, commit, hand.now), hand.now);
    let listed = hand.workers.iter().filter_map(Worker::entry).collect();
    let mut orders = shard.handle(Event::Confirmed(hand.now), hand.now);
    orders.extend(shard.handle(Event::Listed(listed), hand.now));
    let mut waiting = 0;
    for order in orders {
        let Order::Worker { worker, call, .. } = order else { continue };
        let at = hand.workers.iter().position(|w| w.id == worker).expect("a worker");
        let reply = hand.workers[at].answer(&call, hand.now);
        let event = Event::Worker { worker, sent: hand.now, call, reply };
        for next in shard.handle(event, hand.now) {
            let Order::Worker { call, limit, .. } = next else { continue };
            let WorkerCall::Hold { wait, .. } = *call else { continue };
            assert!(wait < limit, "waits {wait:?} of {limit:?}");
            waiting += u32::from(!wait.is_zero());
        }
    }
    assert_eq!(waiting, 2, "each worker is asked again");
}

// Guards against a successor that starts tasks again which are done: the store was down, so it lost the
// entry of their worker, and the next roster lacked that worker before all its ends were stored.
#[test]
fn a_worker_with_ends_that_are_not_stored_stays_in_the_roster() {
    let mut hand = Harness::new(1);
    // One write holds fewer rows than there are jobs.
    let jobs = 1..=40;
    jobs.clone().for_each(|no| {
        hand.submit(no, "plain", job(Step { size: Size::new(0, 1, 0), ..step(2, 0) }))
    });
    hand.run(500);
    hand.store_up = false;
    jobs.clone().for_each(|no| hand.end(task(no, 0), EndReason::Done));
    jobs.clone().for_each(|no| hand.end(task(no, 1), EndReason::Done));
    hand.run(500);
    hand.workers[0].listed = false;
    hand.deliver_list();
    hand.workers[0].hook = SILENT;
    hand.workers.push(Worker::new(1));
    hand.deliver_list();
    hand.run(500);
    let over =
        |h: &Harness| jobs.clone().filter(|no| h.stored_progress(*no).state.is_final()).count();
    hand.store_up = true;
    let lists_new =
        |h: &Harness| load(&h.store, 0, h.now).roster.workers.iter().any(|w| &*w.0.0 == "w1");
    hand.run_until("the roster is written", 1_000, lists_new);
    assert!(over(&hand) < 40);
    hand.take_over();
    hand.call_log.clear();
    hand.run(5_000);
    assert_eq!(hand.starts().len(), 0, "the ends of their last runs are not known");
    hand.workers[0].hook = NORMAL;
    hand.workers[0].listed = true;
    hand.deliver_list();
    hand.run_until("all ends are noted", 2_000, |h| h.workers[0].ends.is_empty());
    assert_eq!(hand.starts().len(), 0);
}
