//! Long-running tasks that cannot start yet have their tickets by the time they can.

mod hand;

use {
    dogwoodreach::{
        ports::{EndReason, PresentRun, WorkerReply as Reply},
        shard::event::Event,
    },
    hand::{
        Harness, TICK,
        slow_advice::{
            NO_STARTS, STOPS_WITHOUT_EFFECT, long_running, slow_advice, with_slow_advice,
        },
        task,
        worker::{Hook, NORMAL, ONLY_HOLDS, SILENT, Worker},
    },
};

/// The worker answers that the addressed incarnation is over.
const OTHER_INCARNATION: Hook = |_| Some(Ok(Reply::Other));

/// Replaces the owner; the new one gets the queues of [`slow_advice`].
fn take_over(hand: &mut Harness) {
    hand.take_over();
    hand.deliver(Event::Queues(slow_advice()));
}

/// Runs one task of job 1, which needs advice, and one of job 2, which does not, on each worker,
/// until all tickets have expired.
fn with_running_tasks(workers: u32) -> Harness {
    let mut hand = with_slow_advice(workers as usize);
    hand.submit(1, "advised", long_running(workers));
    hand.submit(2, "plain", long_running(workers));
    hand.run(8_000);
    assert_eq!(
        (hand.starts_of(1).len(), hand.starts_of(2).len()),
        (workers as usize, workers as usize)
    );
    hand.call_log.clear();
    hand
}

/// Runs until job 2 starts a task, and checks that job 1 starts one at the same time.
fn assert_starts_together(hand: &mut Harness, ms: u64) {
    hand.run_until("a start without advice", ms, |h| !h.starts_of(2).is_empty());
    hand.run(TICK.as_millis() as u64);
    assert_eq!(hand.starts_of(1).len(), 1, "the task with advice has to wait for its tickets");
}

#[test]
fn lost_orders_do_not_add_up_with_advice_calls() {
    // Two starts in a row are not carried out, and the first order to stop each of them is lost as
    // well. Guards against an advice call that begins only after each stop.
    let mut hand = with_slow_advice(5);
    hand.workers.iter_mut().for_each(|w| w.hook = ONLY_HOLDS);
    hand.submit(1, "advised", long_running(1));
    hand.run_until("a start", 9_000, |h| !h.starts().is_empty());
    hand.submit(2, "plain", long_running(1));
    for run in [1, 2] {
        let stops = hand.stops().len();
        hand.run_until("their stops", 5_000, |h| h.stops().len() >= stops + 2);
        hand.run(500);
        hand.workers.iter_mut().for_each(|w| w.hook = NO_STARTS);
        let restarted = |h: &Harness, no| h.starts_of(no).iter().any(|s| s.2.run > run);
        hand.run_until("a start without advice", 9_000, |h| restarted(h, 2));
        hand.run(2 * TICK.as_millis() as u64);
        assert!(restarted(&hand, 1), "run {} has to wait for its tickets", run + 1);
        hand.workers.iter_mut().for_each(|w| w.hook = ONLY_HOLDS);
    }
}

#[test]
fn tickets_are_ready_when_a_lease_ends() {
    // A worker is silent. Guards against an advice call that begins only after its lease.
    let mut hand = with_running_tasks(3);
    hand.workers[1].hook = SILENT;
    hand.workers.push(Worker::new(3));
    hand.deliver_list();
    assert_starts_together(&mut hand, 30_000);
}

#[test]
fn tickets_are_ready_when_a_shard_is_settled() {
    // A worker of a former owner is silent. Guards against an advice call that begins only after
    // the new owner may start tasks of jobs from before its takeover.
    let mut hand = with_running_tasks(3);
    hand.workers[1].hook = SILENT;
    hand.workers.push(Worker::new(3));
    take_over(&mut hand);
    assert_starts_together(&mut hand, 40_000);
}

#[test]
fn tickets_are_ready_when_the_lease_of_the_owner_is_confirmed() {
    // Two tasks fail while their owner is cut off from the store and hears of few workers. Guards
    // against an advice call that begins only when the owner may act again.
    let mut hand = with_running_tasks(3);
    hand.lease_confirmed = false;
    hand.workers[1..].iter_mut().for_each(|w| w.hook = SILENT);
    hand.run(4_000);
    hand.call_log.clear();
    for no in [1, 2] {
        let on_first = |i: &u32| hand.workers_running(task(no, *i)) == [0];
        let index = (0..3).find(on_first).expect("each worker runs a task of each job");
        hand.end(task(no, index), EndReason::Stopped);
    }
    hand.run(3_000);
    assert_eq!((hand.starts_of(1).len(), hand.starts_of(2).len()), (0, 0));
    hand.lease_confirmed = true;
    assert_starts_together(&mut hand, 1_000);
}

#[test]
fn tickets_are_ready_when_another_run_has_ended() {
    // A new owner finds two runs of a task and stops one; then the other is lost with its worker.
    // Guards against an advice call that begins only when the stop has taken effect.
    let mut hand = with_running_tasks(4);
    for no in [1, 2] {
        let at = |w: usize| (0..4).find(|i| hand.workers_running(task(no, *i)) == [w]);
        let lost = task(no, at(0).expect("each worker runs a task of each job"));
        let row = PresentRun { run: 2, ..hand.workers[0].row_mut(&lost).clone() };
        hand.workers[1].running.push(row);
    }
    hand.workers[1].hook = SILENT;
    take_over(&mut hand);
    hand.run(300);
    hand.workers[1].hook = STOPS_WITHOUT_EFFECT;
    hand.run_until("the stops of the second runs", 2_000, |h| h.stops().len() == 2);
    let second: Vec<_> = hand.stops().iter().map(|s| s.2).collect();
    hand.workers.push(Worker::new(4));
    hand.deliver_list();
    hand.workers[0].running.clear();
    hand.workers[0].hook = OTHER_INCARNATION;
    hand.run(4_000);
    assert_eq!((hand.starts_of(1).len(), hand.starts_of(2).len()), (0, 0));
    hand.workers[1].hook = NORMAL;
    second.iter().for_each(|t| assert!(hand.workers[1].end(t, EndReason::Stopped)));
    assert_starts_together(&mut hand, 1_000);
}

#[test]
fn advice_calls_end_while_a_task_cannot_start() {
    // A stop never takes effect. Guards against calls without end for a task that cannot start.
    let mut hand = with_slow_advice(4);
    hand.submit(1, "advised", long_running(3));
    hand.run(8_000);
    hand.leave_without_effect();
    let calls = hand.advice_calls;
    hand.run(60_000);
    assert_eq!(hand.advice_calls, calls);
}
