//! Tickets that are requested before the room is free, and the time that the objective allows.

mod hand;

use {
    dogwoodreach::{
        Time,
        decide::{
            ahead::{self, Backlog, Progress},
            rank::round_count,
        },
        ports::EndReason,
        work::Step,
    },
    hand::{Harness, job, step, task},
    std::time::Duration,
};

/// Duration of a call for advice.
const CALL: Duration = Duration::from_millis(600);
/// Duration of the task that occupies the worker, in milliseconds.
const WORK_MS: u64 = 5_000;

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// A worker that is occupied by a task, and a step that waits for it; calls for advice take
/// [`CALL`].
fn occupied(estimate: u64) -> Harness {
    let mut hand = Harness::new(1);
    hand.advice_delay = CALL;
    hand.submit(1, "plain", job(Step { estimate, ..step(1, 4) }));
    hand.run_until("the first starts", 500, |h| h.workers_running(task(1, 0)) == [0]);
    hand.submit(2, "advised", job(step(1, 4)));
    hand
}

/// Runs the task from `from` to `to`, at the speed that `estimate` implies.
fn work(hand: &mut Harness, estimate: u64, from: u64, to: u64) {
    for at in (from..to).step_by(250) {
        hand.workers[0].row_mut(&task(1, 0)).percent = (100 * at / estimate) as u8;
        hand.run(250);
    }
}

/// Idle time of the worker between two tasks that each take all of it. The first is expected to
/// take `estimate` and takes [`WORK_MS`].
fn idle(estimate: u64) -> Duration {
    let mut hand = occupied(estimate);
    work(&mut hand, estimate, 0, WORK_MS);
    hand.end(task(1, 0), EndReason::Done);
    let end = hand.now;
    hand.run_until("the second starts", 2_000, |h| !h.starts_of(2).is_empty()) - end
}

#[test]
fn a_worker_is_not_idle_while_tickets_are_asked_for() {
    // Tasks that take a whole worker for 5 s wait for it, and each call for advice takes 0.6 s. If
    // a step asked only once there was room, the worker would be idle for a tenth of its time, and
    // jobs would be late that could be in time.
    let predicted = idle(WORK_MS);
    assert!(predicted < ms(100), "{predicted:?}");
    // Baseline: the end isn't predicted, so the call is made only once there is room.
    let plain = idle(60_000);
    assert!(plain >= CALL, "{plain:?}");
}

#[test]
fn calls_ahead_are_made_only_shortly_before_room() {
    // A step waits half a minute for a busy worker. If it were supplied with tickets all the time,
    // it would occupy a member that others need.
    let mut hand = occupied(30_000);
    work(&mut hand, 30_000, 0, 25_000);
    assert_eq!(hand.advice_calls, 1, "no call after the first one");
    work(&mut hand, 30_000, 25_000, 30_000);
    assert!(hand.advice_calls > 1);
}

#[test]
fn no_call_is_made_for_room_that_lasting_tasks_have() {
    // A lasting task occupies a worker; it reports all of its work as done and never ends. If that
    // counted as room that is about to become free, a step that waits there would ask again and
    // again.
    let mut hand = Harness::new(1);
    hand.advice_delay = CALL;
    hand.submit(1, "plain", job(Step { estimate: 400, lasts: true, ..step(1, 4) }));
    hand.run_until("it starts", 500, |h| h.workers_running(task(1, 0)) == [0]);
    hand.workers[0].row_mut(&task(1, 0)).percent = 100;
    hand.submit(2, "advised", job(step(1, 4)));
    hand.run(20_000);
    assert_eq!(hand.advice_calls, 1, "no call after the first one");
}

#[test]
fn an_end_is_foreseen_by_what_is_done() {
    let at = Time::from_millis;
    let run = |last| Progress {
        started_at: at(0),
        initial_percent: 0,
        percent: last,
        checked_at: at(4_000),
        estimate: ms(10_000),
    };
    assert_eq!(ahead::expected_end(run(5)), at(10_000), "by its estimate");
    assert_eq!(
        ahead::expected_end(run(50)),
        at(8_000),
        "by its speed, whatever the time of the question"
    );
    let resumed = Progress { initial_percent: 40, ..run(40) };
    assert_eq!(ahead::expected_end(resumed), at(6_000), "progress from before the start counts");
}

#[test]
fn only_the_first_steps_for_a_worker_ask_ahead() {
    let mut backlog = Backlog::default();
    assert_eq!([(); 5].map(|()| backlog.add_step(1)), [true, true, true, false, false]);
    assert!(backlog.add_step(2));
    assert!(
        !ahead::may_call_ahead(2, 9) && ahead::may_call_ahead(3, 9) && ahead::may_call_ahead(1, 1)
    );
}

#[test]
fn a_wide_step_has_the_time_of_its_waves() {
    // Seven tasks that each take a whole worker run on 13 workers. The objective allows them three
    // waves; if it allowed one, the job would be ordered behind all others with most of its time
    // left.
    assert_eq!([1, 3, 4, 6, 7].map(|n| round_count(n, 13)), [1, 1, 2, 2, 3]);
    assert_eq!(round_count(6, 0), 6);
    assert_eq!(round_count(40, 1_000), 1);
}
