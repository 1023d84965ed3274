//! Owners that may have a successor: they have lost their connection to the store, or a worker has
//! refused their token.

mod hand;

use {
    dogwoodreach::{
        Time,
        ports::{Fault, Held, WorkerCall, WorkerRefusal, WorkerReply as Reply},
        work::JobNo,
    },
    hand::{
        Harness, job, step,
        worker::{NORMAL, SILENT, Worker},
    },
    std::time::Duration,
};

/// An owner that has been without the store for 7 s and hears from `heard` of its five workers. The
/// call log has the last 3 s.
fn cut_off(heard: usize) -> Harness {
    let mut harness = Harness::new(5);
    harness.submit(1, "plain", job(step(5, 3)));
    harness.submit_due(2, 5_000, job(step(1, 1)));
    harness.run(500);
    harness.lease_confirmed = false;
    harness.workers[heard..].iter_mut().for_each(|w| w.hook = SILENT);
    harness.run(4_000);
    harness.call_log.clear();
    harness.run(3_000);
    harness
}

/// How many leases the workers were given in the time that the call log covers.
fn lease_count(harness: &Harness) -> usize {
    (0..5).map(|w| harness.leases(w).len()).sum()
}

#[test]
fn owner_that_hears_from_few_workers_does_nothing() {
    // A member is cut off from the store and from most workers, and another member has taken over
    // its shard with the other workers. Guards against both owners starting the same tasks and
    // filling the same workers.
    let mut harness = cut_off(2);
    assert_eq!((harness.starts().len(), lease_count(&harness)), (0, 0));
    harness.lease_confirmed = true;
    harness.run_until("a start", 500, |h| !h.starts().is_empty());
    // The owner starts tasks in its next scheduling round; it renews the workers' leases with its
    // next calls to them.
    harness.run_until("lease renewals", 1_000, |h| lease_count(h) > 1);
}

#[test]
fn owner_that_hears_from_few_workers_does_not_repeat_a_start() {
    // As above, with a start that got no answer just before. Guards against sending the start again
    // with a new lease: that would be another start by an owner that may have a successor.
    let mut harness = Harness::new(5);
    harness.run(500);
    harness.lease_confirmed = false;
    harness.workers[..3].iter_mut().for_each(|w| w.hook = SILENT);
    harness.run(1_800);
    harness.submit(1, "plain", job(step(1, 1)));
    let first = harness.run_until("a start", 100, |h| h.starts().len() == 1);
    harness.run(4_000);
    let late = harness.starts().iter().filter(|s| s.0 > first + Duration::from_millis(900)).count();
    assert_eq!(late, 0, "{:?}", harness.starts());
}

#[test]
fn owner_that_hears_from_most_workers_continues() {
    // The store is down for all members. If no owner started tasks or renewed leases, all work
    // would end.
    let harness = cut_off(3);
    assert_eq!(harness.starts().len(), 1);
    assert!(
        (0..3).all(|w| !harness.leases(w).is_empty()),
        "every worker that answers must get a new lease"
    );
}

#[test]
fn workers_that_the_list_lacks_count_as_unheard() {
    // The store was down for a while, and its list has got only one of five workers back when the
    // owner and that worker are cut off from it and from the others. Guards against an owner that
    // takes the one worker for a majority: it renewed that worker's lease for ever, and its
    // successor, which hears from the other four, started the worker's tasks elsewhere.
    let mut harness = Harness::new(5);
    harness.submit(1, "plain", job(step(5, 3)));
    harness.run(500);
    harness.workers[1..].iter_mut().for_each(|w| (w.listed, w.hook) = (false, SILENT));
    harness.deliver_list();
    (harness.lease_confirmed, harness.store_up) = (false, false);
    harness.run(4_000);
    harness.call_log.clear();
    harness.run(3_000);
    assert_eq!((harness.starts().len(), lease_count(&harness)), (0, 0));
}

#[test]
fn workers_of_no_stored_roster_make_no_majority() {
    // Four workers join an owner with three just as it loses the store, two of the three and thus
    // the write of its roster. Guards against counting the four: a successor knows only the three,
    // and two of them are a majority for it.
    let mut harness = Harness::new(3);
    harness.submit(1, "plain", job(step(3, 3)));
    harness.run(500);
    (harness.lease_confirmed, harness.store_up) = (false, false);
    harness.workers[1..].iter_mut().for_each(|w| w.hook = SILENT);
    harness.workers.extend((3..7).map(Worker::new));
    harness.deliver_list();
    harness.run(4_000);
    harness.call_log.clear();
    harness.run(3_000);
    let leases: usize = (0..7).map(|w| harness.leases(w).len()).sum();
    assert_eq!((harness.starts().len(), leases), (0, 0));
}

#[test]
fn owner_that_hears_from_most_workers_starts_no_new_job() {
    // A job that arrives while the store doesn't answer this owner may have arrived after a
    // takeover.
    let mut harness = cut_off(3);
    harness.submit(3, "plain", job(step(1, 1)));
    harness.run(3_000);
    assert_eq!(harness.starts_of(3).len(), 0);
    harness.lease_confirmed = true;
    harness.run_until("a start", 100, |h| h.starts_of(3).len() == 1);
}

#[test]
fn owner_that_resumes_does_not_act_on_earlier_answers() {
    // A member's process is paused for 8 s and another member takes over its shard. When the
    // process resumes, it reads earlier answers of its workers from its sockets. Guards against an
    // owner that concludes from them that most workers answer, and starts tasks and renews leases
    // before any worker has refused its token.
    let mut harness = Harness::new(5);
    harness.submit_due(1, 6_000, job(step(1, 1)));
    harness.run(500);
    harness.lease_confirmed = false;
    for w in &mut harness.workers {
        w.hook = |call| match call {
            WorkerCall::Hold { .. } => {
                Some(Ok(Reply::Held(Held { clock_ms: 1_750, ..Held::default() })))
            }
            _ => Some(Err(Fault::Unknown)),
        };
    }
    harness.now = harness.now + Duration::from_secs(8);
    harness.call_log.clear();
    harness.tick();
    harness.workers.iter_mut().for_each(|w| w.hook = SILENT);
    harness.run(100);
    assert_eq!((harness.starts().len(), lease_count(&harness)), (0, 0));
    harness.workers.iter_mut().for_each(|w| w.hook = NORMAL);
    harness.run_until("a start once the workers answer", 2_000, |h| !h.starts().is_empty());
}

#[test]
fn owner_that_is_refused_by_a_fence_gives_up_the_shard() {
    // A worker has seen a higher token. Whatever the owner orders or shows after the refusal is
    // wrong, and orders with the old token break the fencing invariant.
    let mut harness = Harness::new(5);
    harness.submit(1, "plain", job(step(5, 3)));
    harness.run(500);
    harness.workers[3].hook = |call| match call {
        WorkerCall::Hold { .. } => Some(Ok(Reply::Refused(0, WorkerRefusal::Fence))),
        _ => None,
    };
    let at = harness.run_until("the order to give up the shard", 100, |h| h.deposed);
    let last_call = |h: &Harness| h.call_log.last().map_or(Time::ZERO, |l| l.0);
    assert!(last_call(&harness) <= at);
    harness.submit(2, "plain", job(step(1, 1)));
    harness.cancel(1);
    harness.run(3_000);
    assert!(last_call(&harness) <= at, "the owner must not call a worker after the refusal");
    assert!(
        harness.starts_of(2).is_empty() && harness.shard.report(JobNo(2), harness.now).is_none()
    );
}
