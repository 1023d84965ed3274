//! Tests orders to workers that get no answer or have no effect.

mod hand;

use {
    dogwoodreach::ports::{EndReason, Fault, WorkerCall, WorkerReply as Reply},
    hand::{
        Harness, job, step, task,
        worker::{NORMAL, ONLY_HOLDS, SILENT},
    },
    std::time::Duration,
};

#[test]
fn a_start_without_an_answer_is_sent_again_then_stopped() {
    // A start gets no answer and may be carried out seconds later. If the task were started
    // elsewhere as soon as a hold call doesn't list it, it would run twice.
    let mut hand = Harness::new(2);
    hand.workers.iter_mut().for_each(|w| w.hook = ONLY_HOLDS);
    hand.submit(1, "plain", job(step(1, 1)));
    hand.run_until("a stop", 3_000, |h| !h.stops().is_empty());
    let first = hand.starts();
    let (at, run) = (first[0].1, first[0].2.run);
    assert!(first.len() > 1, "it was sent again");
    assert!(first.iter().all(|s| (s.1, s.2.run) == (at, run)), "the same run at the same worker");
    hand.run(3_000);
    assert_eq!(hand.starts().len(), first.len(), "nothing elsewhere before the stop is confirmed");
    assert!(hand.stops().len() > 1, "the stop is sent again");
    hand.workers.iter_mut().for_each(|w| w.hook = NORMAL);
    hand.run_until("a start", 1_000, |h| h.starts().len() > first.len());
    assert_eq!(hand.starts().last().expect("one").2.run, run + 1);
}

#[test]
fn a_look_from_before_the_stop_shows_nothing() {
    // As above, but a hold call was sent before the stop was answered. It may have reached the
    // worker before a delayed start does, so its not listing the run proves nothing.
    let mut hand = Harness::new(2);
    hand.workers.iter_mut().for_each(|w| w.hook = ONLY_HOLDS);
    hand.submit(1, "plain", job(step(1, 1)));
    hand.run_until("a stop", 3_000, |h| !h.stops().is_empty());
    let (at, starts) = (hand.stops()[0].1, hand.starts().len());
    hand.workers.iter_mut().for_each(|w| w.hook = NORMAL);
    hand.workers[at].hook = SILENT;
    hand.run(100);
    hand.workers[at].hook = |call| match call {
        WorkerCall::Hold { .. } => Some(Err(Fault::Unknown)),
        _ => None,
    };
    hand.tick();
    hand.workers[at].hook = NORMAL;
    hand.tick();
    assert_eq!(hand.starts().len(), starts, "the answer to the earlier hold call starts nothing");
    hand.run_until("a start", 200, |h| h.starts().len() > starts);
}

#[test]
fn a_start_that_comes_late_is_found_by_the_look() {
    // A start got no answer but was carried out. If it were stopped and begun elsewhere, its work
    // would be lost.
    let mut hand = Harness::new(2);
    hand.workers.iter_mut().for_each(|w| w.hook = ONLY_HOLDS);
    hand.submit(1, "plain", job(step(1, 1)));
    hand.run(100);
    let (_, at, start) = hand.starts().remove(0);
    hand.workers[at].hook = NORMAL;
    let now = hand.now;
    hand.workers[at].answer(&WorkerCall::Start(start), now).expect("it is carried out");
    hand.run(5_000);
    assert!(hand.stops().is_empty());
    assert_eq!(hand.workers_running(task(1, 0)), [at]);
    hand.end(task(1, 0), EndReason::Done);
    hand.run_until("done", 500, |h| h.stored_progress(1).state.is_final());
}

#[test]
fn a_stop_that_had_an_answer_and_no_effect_is_sent_again() {
    // A worker answers a stop, but the run goes on. The stop was not sent again, and a task of a
    // cancelled job ran on for ever.
    let mut hand = Harness::new(1);
    hand.submit(1, "plain", job(step(1, 1)));
    hand.run(300);
    hand.workers[0].hook = |call| match call {
        WorkerCall::Stop { .. } => Some(Ok(Reply::Done(0))),
        _ => None,
    };
    hand.cancel(1);
    hand.run_until("a third stop", 6_000, |h| h.stops().len() == 3);
    let stops = hand.stops();
    assert!(
        stops[1].0 >= stops[0].0 + Duration::from_secs(1),
        "a stop has its time to take effect"
    );
    hand.workers[0].hook = NORMAL;
    hand.run_until("gone", 3_000, |h| h.workers_running(task(1, 0)).is_empty());
    hand.run(5_000);
    assert!(hand.stops().len() <= 4, "no more stops once the run has ended");
}

#[test]
fn a_lost_repeat_of_a_stop_does_not_undo_its_answer() {
    // A stop was answered, so the worker rejects the run from then on. Holds get no answer until
    // the stop is due again, and the repeated stop gets none either. The first answer to a hold
    // shows that the run is gone.
    let mut hand = Harness::new(2);
    hand.workers.iter_mut().for_each(|w| w.hook = ONLY_HOLDS);
    hand.submit(1, "plain", job(step(1, 1)));
    hand.run_until("a stop", 3_000, |h| !h.stops().is_empty());
    let (at, starts) = (hand.stops()[0].1, hand.starts().len());
    hand.workers.iter_mut().for_each(|w| w.hook = NORMAL);
    hand.workers[at].hook = |call| match call {
        WorkerCall::Stop { .. } => None,
        _ => Some(Err(Fault::Unknown)),
    };
    hand.tick();
    hand.workers[at].hook = SILENT;
    hand.run_until("a second stop", 4_000, |h| h.stops().len() == 2);
    assert_eq!(hand.starts().len(), starts, "nothing shows that the run is gone");
    hand.workers[at].hook = ONLY_HOLDS;
    hand.run_until("a start", 2_500, |h| h.starts().len() > starts);
    assert_eq!(hand.starts()[starts].2.run, hand.starts()[0].2.run + 1);
}

#[test]
fn a_hold_after_the_stop_of_an_unseen_run_does_not_wait() {
    // A stop was answered. If the worker never had the run, no end will be reported, and a hold
    // that waits for one only keeps the task away.
    let mut hand = Harness::new(2);
    hand.workers.iter_mut().for_each(|w| w.hook = ONLY_HOLDS);
    hand.submit(1, "plain", job(step(1, 1)));
    hand.run_until("a stop", 3_000, |h| !h.stops().is_empty());
    let at = hand.stops()[0].1;
    hand.workers[at].hook = |call| match call {
        WorkerCall::Start(_) => Some(Err(Fault::Unknown)),
        _ => None,
    };
    let stopped = hand.now;
    hand.run(100);
    let holds = hand.call_log.iter().filter(|(when, w, _)| *when > stopped && *w == at);
    let waits: Vec<Duration> = holds
        .filter_map(|(.., call)| match call {
            WorkerCall::Hold { wait, .. } => Some(*wait),
            _ => None,
        })
        .collect();
    assert!(waits.iter().any(Duration::is_zero), "{waits:?}");
}
