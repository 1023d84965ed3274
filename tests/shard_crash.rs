//! Tasks that crash the workers that start them.

mod hand;

use {
    dogwoodreach::work::{State, Step, TaskKey},
    hand::{Hand, job, step, task},
    std::time::Duration,
};

/// The most starts of a task that crashes its workers: three crashes, and fewer than three more.
const MOST: usize = 5;

/// Crashes the worker of a task whenever it has started, until its job is over; returns how often.
fn crash_until_over(hand: &mut Hand, poison: TaskKey) -> usize {
    for crashes in 0..=MOST {
        let over = |h: &Hand| h.state(poison.step.job.0) == Some(State::Failed);
        hand.until("started or over", 20_000, |h| over(h) || !h.places(poison).is_empty());
        if over(hand) {
            return crashes;
        }
        let at = hand.places(poison)[0];
        // What was started with it is there as well.
        hand.run(100);
        hand.crash(at);
    }
    panic!("started again after {MOST} crashes")
}

#[test]
fn a_task_that_crashes_its_workers_is_given_up() {
    let mut hand = Hand::new(6);
    hand.submit(1, "plain", job(step(1, 1)));
    assert_eq!(crash_until_over(&mut hand, task(1, 0)), 3);
    let starts = hand.starts_of(1).len();
    hand.run(5_000);
    assert_eq!(hand.starts_of(1).len(), starts);
}

#[test]
fn what_lasts_is_given_up_too_and_a_gang_for_one_member() {
    let steps = [
        Step { lasts: true, ..step(2, 1) },
        Step { gang: true, ..step(3, 1) },
        Step { copies: true, ..step(2, 1) },
    ];
    for step in steps {
        let mut hand = Hand::new(6);
        hand.submit(1, "plain", job(step));
        assert_eq!(crash_until_over(&mut hand, task(1, 1)), 3);
    }
}

#[test]
fn a_successor_goes_on_counting_crashes() {
    let mut hand = Hand::new(6);
    hand.submit(1, "plain", job(step(1, 1)));
    for _ in 0..2 {
        hand.until("started", 20_000, |h| !h.places(task(1, 0)).is_empty());
        let at = hand.places(task(1, 0))[0];
        hand.crash(at);
        hand.run(300);
    }
    hand.succeed();
    assert!(crash_until_over(&mut hand, task(1, 0)) <= 2);
}

#[test]
fn work_beside_a_task_that_crashes_its_worker_is_done() {
    // Work that ran before is not to blame; what began with it is placed apart from it afterwards.
    let mut hand = Hand::new(6);
    hand.submit(1, "plain", job(Step { lasts: true, ..step(4, 1) }));
    hand.submit(2, "plain", job(step(4, 1)));
    hand.run(3_000);
    hand.submit(3, "plain", job(step(1, 1)));
    hand.submit(4, "plain", job(step(3, 1)));
    assert_eq!(crash_until_over(&mut hand, task(3, 0)), 3);
    hand.run(5_000);
    for (no, count) in [(1, 4), (2, 4), (4, 3)] {
        assert_ne!(hand.state(no), Some(State::Failed), "job {no}");
        let there = (0..count).filter(|i| !hand.places(task(no, *i)).is_empty()).count();
        assert_eq!(there as u32, count, "tasks of job {no}");
    }
}

#[test]
fn a_worker_that_leaves_or_is_cut_off_is_no_crash() {
    let mut hand = Hand::new(3);
    hand.submit(1, "plain", job(Step { lasts: true, ..step(1, 1) }));
    for _ in 0..MOST {
        hand.until("started", 30_000, |h| !h.places(task(1, 0)).is_empty());
        let at = hand.places(task(1, 0))[0];
        hand.workers[at].left = Some(Duration::ZERO);
        hand.list();
        hand.crash(at);
    }
    hand.run(1_000);
    assert_eq!(hand.state(1), Some(State::Running));
}

#[test]
fn a_crash_between_two_owners_is_counted() {
    // Owners that end as often as workers crash started such a task for ever.
    let mut hand = Hand::new(6);
    hand.submit(1, "plain", job(step(1, 1)));
    for crashes in 1..=3 {
        hand.until("started", 20_000, |h| !h.places(task(1, 0)).is_empty());
        hand.run(300);
        let at = hand.places(task(1, 0))[0];
        if crashes == 2 {
            hand.restart(at);
            hand.succeed();
        } else {
            hand.crash(at);
            hand.run(300);
        }
    }
    assert_eq!(hand.state(1), Some(State::Failed));
}

#[test]
fn a_task_under_which_a_worker_has_crashed_starts_away_from_what_has_just_begun() {
    // What begins together is blamed together.
    let mut hand = Hand::new(4);
    hand.submit(1, "plain", job(Step { lasts: true, ..step(1, 3) }));
    hand.run(2_000);
    hand.submit(2, "plain", job(step(1, 1)));
    hand.until("beside it", 1_000, |h| h.places(task(2, 0)) == h.places(task(1, 0)));
    hand.submit(3, "plain", job(step(1, 2)));
    hand.until("elsewhere", 1_000, |h| !h.places(task(3, 0)).is_empty());
    hand.crash(hand.places(task(2, 0))[0]);
    hand.until("again", 1_000, |h| !h.places(task(2, 0)).is_empty());
    hand.run(100);
    let at = hand.places(task(2, 0));
    assert!(at != hand.places(task(1, 0)) && at != hand.places(task(3, 0)), "at {at:?}");
}

#[test]
fn a_run_that_its_owner_knew_to_be_gone_is_no_crash_to_a_successor() {
    let mut hand = Hand::new(3);
    hand.submit(1, "plain", job(step(1, 1)));
    hand.until("started", 1_000, |h| !h.places(task(1, 0)).is_empty());
    hand.run(100);
    hand.crash(hand.places(task(1, 0))[0]);
    hand.until("again", 1_000, |h| !h.places(task(1, 0)).is_empty());
    hand.run(300);
    // Nothing more can start, and the worker has lost the run.
    hand.workers.iter_mut().for_each(|w| w.there = false);
    hand.list();
    let at = hand.places(task(1, 0))[0];
    hand.workers[at].rows.clear();
    hand.run(500);
    hand.succeed();
    hand.run(500);
    let crashes: Vec<usize> = hand.stored(1).crashes.iter().map(|c| c.3.len()).collect();
    assert_eq!(crashes, [1]);
}
