//! Gangs of which not all members come together.

mod hand;

use {
    dogwoodreach::{
        Time,
        ports::{How, Refusal, Start, WorkerCall, WorkerReply as Reply},
        work::Step,
    },
    hand::{
        Hand, job, step, task,
        worker::{FINE, Hook, MUTE},
    },
    std::collections::BTreeSet,
};

/// Starts are refused.
const FULL: Hook = |call| match call {
    WorkerCall::Start(_) => Some(Ok(Reply::Refused(0, Refusal::Room))),
    _ => None,
};

/// A gang of three that fills a worker with each member, and its starts so far.
fn gang(hand: &mut Hand) -> Vec<(Time, usize, Start)> {
    hand.submit(1, "plain", job(Step { gang: true, saves: true, ..step(3, 4) }));
    hand.until("its starts", 500, |h| h.starts().len() == 3);
    hand.starts()
}

/// The runs and checkpoints of the starts after the first few.
fn alike(hand: &Hand, after: usize) -> BTreeSet<(u32, Box<str>)> {
    hand.starts()[after..].iter().map(|s| (s.2.run, s.2.saved.clone())).collect()
}

#[test]
fn the_others_are_stopped_and_all_start_again() {
    // Story: one member's start is refused, as its worker has less room than was thought. The two
    // others waited for it until they ended alone, and took up their workers all the while.
    let mut hand = Hand::new(3);
    hand.workers[1].hook = FULL;
    let first = gang(&mut hand);
    let refused = hand.now;
    hand.until("the others are stopped", 200, |h| h.stops().len() == 2);
    hand.run(200);
    assert!((0..3).all(|i| hand.places(task(1, i)).is_empty()), "none waits alone");
    hand.workers[1].hook = FINE;
    hand.until("all start again", 3_000, |h| h.starts().len() == 6);
    assert_eq!(alike(&hand, 3), [(first[0].2.run + 1, "".into())].into());
    assert_eq!(hand.starts()[3].0, hand.starts()[5].0, "together, not from {refused} on");
}

#[test]
fn all_go_on_from_one_checkpoint() {
    // Story: one member fails, and the others, which are stopped, show other checkpoints than it.
    // Members that start from different checkpoints break a rule, and their work is spoilt.
    let mut hand = Hand::new(3);
    gang(&mut hand);
    hand.run(300);
    for (i, saved) in (0..).zip(["a3", "a4", ""]) {
        let at = hand.places(task(1, i))[0];
        hand.workers[at].row(&task(1, i)).saved = saved.into();
    }
    hand.end(task(1, 0), How::Failed);
    hand.until("all start again", 5_000, |h| h.starts().len() == 6);
    let again = alike(&hand, 3);
    assert_eq!(again.len(), 1, "{again:?}");
    assert!(again.iter().all(|(run, saved)| *run == 2 && !saved.is_empty()), "{again:?}");
}

#[test]
fn an_end_heard_late_changes_the_checkpoint_of_all() {
    // Story: a member's worker is cut off until its lease has ended; the gang waits for room. The
    // worker is back and lists the member's end, with a newer checkpoint. Taken for that member
    // alone, the members start from different checkpoints.
    let mut hand = Hand::new(3);
    gang(&mut hand);
    hand.run(300);
    for i in 0..3 {
        let at = hand.places(task(1, i))[0];
        hand.workers[at].row(&task(1, i)).saved = "a3".into();
    }
    hand.run(300);
    let at = hand.places(task(1, 1))[0];
    hand.workers[at].hook = MUTE;
    hand.until("the others are stopped", 30_000, |h| h.stops().len() == 2);
    hand.run(2_000);
    assert_eq!(hand.starts().len(), 3, "there is no room");
    hand.workers[at].row(&task(1, 1)).saved = "a5".into();
    hand.end(task(1, 1), How::Lapsed);
    hand.workers[at].hook = FINE;
    hand.until("all start again", 5_000, |h| h.starts().len() == 6);
    let again = alike(&hand, 3);
    assert_eq!(again.len(), 1, "{again:?}");
}

#[test]
fn ends_that_a_former_owner_has_not_heard_of_give_one_checkpoint() {
    // Story: a gang's members end while its shard has no owner, each with its last checkpoint. The
    // next owner hears of the ends one by one.
    let mut hand = Hand::new(3);
    gang(&mut hand);
    hand.run(300);
    for (i, saved) in (0..).zip(["a3", "a4", "a5"]) {
        let at = hand.places(task(1, i))[0];
        hand.workers[at].row(&task(1, i)).saved = saved.into();
        hand.end(task(1, i), How::Broken);
    }
    hand.succeed();
    hand.until("all start again", 5_000, |h| h.starts().len() == 6);
    let again = alike(&hand, 3);
    assert_eq!(again.len(), 1, "{again:?}");
}
