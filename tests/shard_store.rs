//! Tests that every acknowledged end is in the store, whatever the store answers.

mod hand;

use {
    arbtest::{arbitrary::Unstructured, arbtest},
    dogwoodreach::{
        ports::EndReason,
        work::{JobNo, Step, StepKey, TaskKey},
    },
    hand::{
        Harness, job, step,
        store::CallOutcome::{self, AnswerLost, Answered, Refused, Unanswered},
    },
    std::{collections::BTreeMap, time::Duration},
};

/// Ended runs by worker and by the number of the end at that worker.
type Ends = BTreeMap<(usize, u64), (TaskKey, u32, EndReason)>;

/// Draws the outcome of a write: done, refused, unknown but done, unknown and not done, or done
/// late.
fn fate(u: &mut Unstructured<'_>) -> arbtest::arbitrary::Result<CallOutcome> {
    Ok(match u.int_in_range(0..=5)? {
        0 => Refused,
        1 => Unanswered,
        2 => AnswerLost(Duration::ZERO),
        3 => AnswerLost(Duration::from_millis(20 * u.int_in_range(1..=60)?)),
        _ => Answered,
    })
}

/// Checks that the store has each end that was acknowledged to a worker, and each job that is shown
/// as over.
fn check(hand: &Harness, ends: &Ends) {
    for ((worker, number), (task, run, how)) in ends {
        if hand.last_acked_end(*worker) < *number {
            continue;
        }
        let progress = hand.stored_progress(task.step.job.0);
        let row = progress.tasks.iter().find(|t| t.2 == task.index);
        let there = match how {
            EndReason::Done => row.is_some_and(|t| t.5),
            EndReason::Failed => row.is_some_and(|t| t.4.contains(run)),
            _ => row.is_some_and(|t| t.3 >= *run),
        };
        assert!(
            progress.state.is_final() || there,
            "{task} run {run} has ended as {how}: {progress:?}"
        );
    }
    for no in 1..=3 {
        if let Some(state) = hand.state(no).filter(|s| s.is_final()) {
            assert_eq!(
                hand.stored_progress(no).state,
                state,
                "job {no} is shown as over but not stored as such"
            );
        }
    }
}

/// Ends one of the running tasks.
fn end(
    hand: &mut Harness,
    ends: &mut Ends,
    u: &mut Unstructured<'_>,
) -> arbtest::arbitrary::Result<()> {
    let at = u.choose_index(hand.workers.len())?;
    let worker = &mut hand.workers[at];
    if worker.running.is_empty() {
        return Ok(());
    }
    let row = worker.running[u.choose_index(worker.running.len())?].clone();
    let how = *u.choose(&[
        EndReason::Done,
        EndReason::Done,
        EndReason::Done,
        EndReason::Failed,
        EndReason::Stopped,
    ])?;
    worker.end(&row.task, how);
    ends.insert((at, worker.end_count), (row.task, row.run, how));
    Ok(())
}

#[test]
fn nothing_that_is_noted_is_missing() {
    // Writes are done, refused or unanswered; of the unanswered ones some are done at once, some
    // never, and some late, after the owner has gone on. In each case, an end that a worker was
    // told to forget and a job that is shown as over must be in the store; once the store works
    // again, every end is acknowledged.
    let day = |u: &mut Unstructured<'_>| {
        let (mut hand, mut ends) = (Harness::new(2), Ends::new());
        for no in 1..=3 {
            hand.submit(no, "plain", job(Step { saves: true, ..step(4, 1) }));
        }
        for _ in 0..40 {
            let fate = fate(u)?;
            hand.write_outcomes.push_back(fate);
            if u.ratio(2, 3)? {
                end(&mut hand, &mut ends, u)?;
            }
            if u.ratio(1, 6)? {
                hand.lost_reads = u.int_in_range(1..=2)?;
            }
            if u.ratio(1, 20)? {
                hand.take_over();
            }
            for _ in 0..u.int_in_range(1..=6)? {
                hand.tick();
                check(&hand, &ends);
            }
        }
        hand.write_outcomes.clear();
        hand.lost_reads = 0;
        hand.run(8_000);
        check(&hand, &ends);
        assert!(!hand.deposed);
        for (at, worker) in hand.workers.iter().enumerate() {
            assert!(
                worker.ends.is_empty(),
                "ends not acknowledged at worker {at}: {:?}",
                worker.ends
            );
        }
        for (task, ..) in ends.values().filter(|e| e.2 == EndReason::Done) {
            let StepKey { job: JobNo(no), .. } = task.step;
            let progress = hand.stored_progress(no);
            let done = progress.tasks.iter().any(|t| t.2 == task.index && t.5);
            assert!(progress.state.is_final() || done, "{task} was done");
        }
        Ok(())
    };
    for seed in 1..=40_u64 {
        arbtest(day).seed(seed << 32 | 0x1000).run();
    }
}
