//! Copies of slow tasks: when a copy is worthwhile, and how the two runs end.

mod hand;

use {
    dogwoodreach::{
        decide::copies::{Candidate, copy_worthwhile, max_copies},
        ports::EndReason,
        work::{JobState, Step},
    },
    hand::{Harness, job, step, task},
    std::time::Duration,
};

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Whether a copy is worthwhile for a run that has completed `percent` percent in `elapsed` milliseconds,
/// if its siblings took two seconds.
fn slow(ran: u64, done: u8) -> bool {
    copy_worthwhile(
        Candidate { elapsed: ms(ran), initial_percent: 0, percent: done, saved_percent: 0 },
        ms(2_000),
    )
    .is_some()
}

#[test]
fn a_run_is_slow_only_far_beyond_its_siblings() {
    assert!(!slow(2_900, 0), "one and a half times the median may be a larger task");
    assert!(slow(3_000, 30));
    assert!(!slow(3_000, 50), "it ends at about the same time as a copy would");
    assert!(!slow(6_000, 80));
    assert!(slow(60_000, 80), "it started well and then made no progress");
    let half = Candidate { elapsed: ms(4_000), initial_percent: 0, percent: 40, saved_percent: 0 };
    assert!(copy_worthwhile(half, ms(2_000)).is_some());
    // A run that resumed from a checkpoint has done less itself than its progress shows.
    let resumed = Candidate { initial_percent: 40, percent: 55, ..half };
    assert!(copy_worthwhile(resumed, ms(2_000)).is_some());
    assert_eq!((max_copies(1), max_copies(9), max_copies(20), max_copies(45)), (1, 1, 2, 4));
}

/// Runs four tasks on workers of their own, with a fifth worker empty. Three tasks have ended after
/// two seconds, and the first is far behind. Returns the worker of its run and that of its copy.
fn behind(saves: bool) -> (Harness, usize, usize) {
    let mut hand = Harness::new(5);
    hand.submit(1, "plain", job(Step { copies: true, apart: 1, saves, ..step(4, 2) }));
    hand.run(2_000);
    let at = hand.workers_running(task(1, 0))[0];
    (1..4).for_each(|i| hand.end(task(1, i), EndReason::Done));
    hand.workers[at].row_mut(&task(1, 0)).percent = 10;
    hand.run_until("a copy", 2_500, |h| h.workers_running(task(1, 0)).len() == 2);
    let copy = hand.workers_running(task(1, 0)).into_iter().find(|p| *p != at).expect("elsewhere");
    (hand, at, copy)
}

/// Lets the slow run catch up, so that a further copy is not worthwhile.
fn caught_up(hand: &mut Harness, at: usize) {
    hand.workers[at].row_mut(&task(1, 0)).percent = 95;
    hand.run(100);
}

fn copies(hand: &Harness) -> Vec<u32> {
    hand.starts_of(1).iter().filter(|s| s.2.task == task(1, 0)).map(|s| s.2.run).collect()
}

/// Ends the run of the first task at one worker.
fn end(hand: &mut Harness, at: usize, how: EndReason) {
    assert!(hand.workers[at].end(&task(1, 0), how));
}

#[test]
fn the_first_end_counts_and_the_other_run_is_stopped() {
    for first in [true, false] {
        let (mut hand, at, copy) = behind(false);
        let (winner, other) = if first { (at, copy) } else { (copy, at) };
        end(&mut hand, winner, EndReason::Done);
        hand.run_until("done", 500, |h| h.stored_progress(1).state == JobState::Done);
        hand.run_until("stopped", 500, |h| h.stops().iter().any(|s| s.1 == other));
        hand.run(5_000);
        assert_eq!(hand.stops().len(), 1);
        assert_eq!(copies(&hand), [1, 2], "no further run starts");
        assert!(hand.workers.iter().all(|w| w.running.is_empty()));
    }
}

#[test]
fn where_one_of_the_two_ends_without_success_the_other_goes_on_alone() {
    // The slow run or its copy fails while the other continues. If the task were started again as
    // if there were no other run, a third run would start while the second is about to end. A
    // failure that is counted twice or not at all would make the job fail too early or never.
    for how in [EndReason::Failed, EndReason::Stopped, EndReason::Lapsed] {
        for first in [true, false] {
            let (mut hand, at, copy) = behind(false);
            let (loser, other) = if first { (at, copy) } else { (copy, at) };
            caught_up(&mut hand, at);
            end(&mut hand, loser, how);
            hand.run(300);
            let fails = hand.stored_progress(1).tasks.iter().map(|t| t.4.len()).max();
            assert_eq!(fails, Some(usize::from(how == EndReason::Failed)));
            assert_eq!(hand.workers_running(task(1, 0)), [other]);
            end(&mut hand, other, EndReason::Done);
            hand.run_until("done", 500, |h| h.stored_progress(1).state == JobState::Done);
        }
    }
}

#[test]
fn a_run_that_starts_later_has_a_number_of_its_own() {
    // Both runs have failed. A third run with the number of the copy would be refused where the
    // copy ran, and elsewhere its end would be taken for that of the copy.
    let (mut hand, at, copy) = behind(false);
    caught_up(&mut hand, at);
    end(&mut hand, copy, EndReason::Failed);
    hand.run(100);
    end(&mut hand, at, EndReason::Failed);
    hand.run_until("a third", 500, |h| copies(h).len() == 3);
    assert_eq!(copies(&hand), [1, 2, 3]);
    assert_eq!(hand.state(1), Some(JobState::Running));
    hand.run(100);
    let third = hand.workers_running(task(1, 0))[0];
    end(&mut hand, third, EndReason::Failed);
    hand.run_until("failed", 500, |h| h.stored_progress(1).state == JobState::Failed);
}

#[test]
fn both_runs_of_a_cancelled_job_are_stopped() {
    let (mut hand, ..) = behind(false);
    hand.cancel(1);
    hand.run(500);
    assert!(hand.workers.iter().all(|w| w.running.is_empty()));
}

#[test]
fn a_copy_goes_on_from_the_checkpoint() {
    let mut hand = Harness::new(5);
    hand.submit(1, "plain", job(Step { copies: true, apart: 1, saves: true, ..step(4, 2) }));
    hand.run(1_000);
    let at = hand.workers_running(task(1, 0))[0];
    *hand.workers[at].row_mut(&task(1, 0)) = dogwoodreach::ports::PresentRun {
        percent: 5,
        checkpoint: "a7".into(),
        ..hand.workers[at].running[0].clone()
    };
    hand.run(1_000);
    (1..4).for_each(|i| hand.end(task(1, i), EndReason::Done));
    hand.run_until("a copy", 2_500, |h| h.workers_running(task(1, 0)).len() == 2);
    assert_eq!(&*hand.starts_of(1).last().expect("a start").2.checkpoint, "a7");
}

#[test]
fn the_next_owner_keeps_one_of_the_two() {
    // The owner dies while a task has two runs. The next owner learns of both, and must neither
    // report the job as lost nor wait for ever.
    for first in [true, false] {
        let (mut hand, at, copy) = behind(false);
        hand.take_over();
        hand.run(1_000);
        let left = hand.workers_running(task(1, 0));
        assert_eq!(left.len(), 1, "the other run is stopped");
        assert!(left == [at] || left == [copy]);
        let how = if first { EndReason::Done } else { EndReason::Failed };
        end(&mut hand, left[0], how);
        let wanted = if first { JobState::Done } else { JobState::Running };
        hand.run_until("stored", 500, |h| h.stored_progress(1).state == wanted);
    }
}

#[test]
fn a_step_without_leave_gets_no_copy() {
    let mut hand = Harness::new(5);
    hand.submit(1, "plain", job(Step { apart: 1, ..step(4, 2) }));
    hand.run(2_000);
    (1..4).for_each(|i| hand.end(task(1, i), EndReason::Done));
    for _ in 0..250 {
        hand.run(20);
        assert!(hand.workers_running(task(1, 0)).len() <= 1, "at {}", hand.now);
    }
}
