//! Tests that every acknowledged end is in the store, whatever the store answers.

mod hand;

use {
    arbtest::{arbitrary::Unstructured, arbtest},
    dogwoodreach::{
        ports::How,
        work::{JobNo, Step, StepKey, TaskKey},
    },
    hand::{
        Hand, job, step,
        store::Fate::{self, Answered, Lost, Refused, Unheard},
    },
    std::{collections::BTreeMap, time::Duration},
};

/// Ended runs by worker and by the number of the end at that worker.
type Ends = BTreeMap<(usize, u64), (TaskKey, u32, How)>;

/// Draws the outcome of a write: done, refused, unknown but done, unknown and not done, or done
/// late.
fn fate(u: &mut Unstructured<'_>) -> arbtest::arbitrary::Result<Fate> {
    Ok(match u.int_in_range(0..=5)? {
        0 => Refused,
        1 => Unheard,
        2 => Lost(Duration::ZERO),
        3 => Lost(Duration::from_millis(20 * u.int_in_range(1..=60)?)),
        _ => Answered,
    })
}

/// Checks that the store has each end that was acknowledged to a worker, and each job that is shown
/// as over.
fn check(hand: &Hand, ends: &Ends) {
    for ((worker, number), (task, run, how)) in ends {
        if hand.noted(*worker) < *number {
            continue;
        }
        let progress = hand.stored(task.step.job.0);
        let row = progress.tasks.iter().find(|t| t.2 == task.index);
        let there = match how {
            How::Done => row.is_some_and(|t| t.5),
            How::Failed => row.is_some_and(|t| t.4.contains(run)),
            _ => row.is_some_and(|t| t.3 >= *run),
        };
        assert!(
            progress.state.over() || there,
            "{task} run {run} has ended as {how}: {progress:?}"
        );
    }
    for no in 1..=3 {
        if let Some(state) = hand.state(no).filter(|s| s.over()) {
            assert_eq!(
                hand.stored(no).state,
                state,
                "job {no} is shown as over but not stored as such"
            );
        }
    }
}

/// Ends one of the running tasks.
fn end(
    hand: &mut Hand,
    ends: &mut Ends,
    u: &mut Unstructured<'_>,
) -> arbtest::arbitrary::Result<()> {
    let at = u.choose_index(hand.workers.len())?;
    let worker = &mut hand.workers[at];
    if worker.rows.is_empty() {
        return Ok(());
    }
    let row = worker.rows[u.choose_index(worker.rows.len())?].clone();
    let how = *u.choose(&[How::Done, How::Done, How::Done, How::Failed, How::Stopped])?;
    worker.end(&row.task, how);
    ends.insert((at, worker.count), (row.task, row.run, how));
    Ok(())
}

#[test]
fn nothing_that_is_noted_is_missing() {
    // Writes are done, refused or unanswered; of the unanswered ones some are done at once, some
    // never, and some late, after the owner has gone on. In each case, an end that a worker was
    // told to forget and a job that is shown as over must be in the store; once the store works
    // again, every end is acknowledged.
    let day = |u: &mut Unstructured<'_>| {
        let (mut hand, mut ends) = (Hand::new(2), Ends::new());
        for no in 1..=3 {
            hand.submit(no, "plain", job(Step { saves: true, ..step(4, 1) }));
        }
        for _ in 0..40 {
            let fate = fate(u)?;
            hand.fates.push_back(fate);
            if u.ratio(2, 3)? {
                end(&mut hand, &mut ends, u)?;
            }
            if u.ratio(1, 6)? {
                hand.unread = u.int_in_range(1..=2)?;
            }
            if u.ratio(1, 20)? {
                hand.succeed();
            }
            for _ in 0..u.int_in_range(1..=6)? {
                hand.pass();
                check(&hand, &ends);
            }
        }
        hand.fates.clear();
        hand.unread = 0;
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
        for (task, ..) in ends.values().filter(|e| e.2 == How::Done) {
            let StepKey { job: JobNo(no), .. } = task.step;
            let progress = hand.stored(no);
            let done = progress.tasks.iter().any(|t| t.2 == task.index && t.5);
            assert!(progress.state.over() || done, "{task} was done");
        }
        Ok(())
    };
    for seed in 1..=40_u64 {
        arbtest(day).seed(seed << 32 | 0x1000).run();
    }
}
