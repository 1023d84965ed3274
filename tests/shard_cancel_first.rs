//! A cancellation that the owner reads before its job.

mod hand;

use {
    dogwoodreach::{
        ids::CustomerId,
        shard::{
            event::{CancelSource, Event},
            record::{CancelRecord, CancelScope, JobRecord, decode, encode},
        },
        work::{JobNo, JobState},
    },
    hand::{Harness, SHARD, UNIX_MS, job, step},
    standin::site::setup::bounds,
    std::time::Duration,
};

/// Stores a cancel as a member that found no job does, and notifies the owner.
fn cancel_by(hand: &mut Harness, no: u64, customer: &str) {
    let scope = CancelScope::Callers(vec![Some(CustomerId::from(customer))]);
    let mut record = CancelRecord { asked_ms: UNIX_MS + hand.now.0 / 1_000, scope };
    let stored = hand.store.get(&SHARD.cancel_key(JobNo(no))).and_then(|i| decode(&i.value?));
    stored.into_iter().for_each(|s| record.merge(s));
    hand.store.put(SHARD.cancel_key(JobNo(no)), encode(&record));
    hand.deliver(Event::Cancel(JobNo(no), record, CancelSource::Watch));
}

/// Carries out the late write of a customer's job, and notifies the owner.
fn late_write(hand: &mut Harness, no: u64, customer: &str) {
    let record = JobRecord {
        queue: "plain".into(),
        submitted_ms: UNIX_MS + hand.now.0 / 1_000,
        job: job(step(1, 1)),
        queue_settings: None,
        customer: Some(CustomerId::from(customer)),
    };
    hand.store.put(SHARD.job_key(JobNo(no)), encode(&record));
    hand.deliver(Event::Job(JobNo(no), Box::new(record)));
}

#[test]
fn a_job_cancelled_before_it_is_heard_of_never_starts() {
    // The store has compacted its history, so the owner reads the whole range again, in which the
    // cancellation precedes its job. Guards against an owner that then runs the job's tasks
    // although the caller was told that the job is cancelled.
    let mut harness = Harness::new(2);
    harness.cancel(1);
    harness.run(500);
    harness.submit(1, "plain", job(step(2, 1)));
    harness.submit(2, "plain", job(step(1, 1)));
    harness.run(3_000);
    assert!(harness.starts_of(1).is_empty());
    assert_eq!(harness.starts_of(2).len(), 1, "other jobs must start");
    assert_eq!(harness.state(1), Some(JobState::Cancelled));
    assert_eq!(harness.stored_progress(1).state, JobState::Cancelled);
}

#[test]
fn a_job_cancelled_long_before_it_is_heard_of_is_kept_as_long_as_others() {
    // The notice of a cancellation arrives, and the store can't be read for 20 s, so the owner
    // hears of the job that much later. Guards against counting the time for which its end is kept
    // from the notice: callers were told that there is no such job while they may still ask.
    let mut harness = Harness::new(2);
    harness.cancel(1);
    harness.run(20_000);
    harness.submit(1, "plain", job(step(2, 1)));
    harness.run_until("the end", 1_000, |h| h.state(1) == Some(JobState::Cancelled));
    harness.run(bounds().state_retention.as_millis() as u64);
    assert_eq!(harness.state(1), Some(JobState::Cancelled));
    assert_eq!(harness.stored_progress(1).state, JobState::Cancelled);
    harness.run_until("its removal", 20_000, |h| h.state(1).is_none());
}

#[test]
fn a_cancel_of_another_customer_does_not_undo_an_early_cancel() {
    // Guards against a cancel that is forgotten as another customer asks to cancel the same number.
    let mut hand = Harness::new(1);
    cancel_by(&mut hand, 1, "ann");
    hand.run(200);
    cancel_by(&mut hand, 1, "bob");
    hand.run(200);
    late_write(&mut hand, 1, "ann");
    hand.run(4_000);
    assert!(hand.starts_of(1).is_empty(), "the job runs: {:?}", hand.state(1));
    assert_eq!(hand.state(1), Some(JobState::Cancelled));
}

#[test]
fn an_early_cancel_is_kept_from_its_last_acknowledgement() {
    // Guards against a second cancel that is forgotten with the first.
    let mut hand = Harness::new(1);
    cancel_by(&mut hand, 1, "ann");
    let kept = bounds().state_retention + Duration::from_secs(10);
    hand.run(kept.as_millis() as u64 - 1_000);
    cancel_by(&mut hand, 1, "ann");
    hand.run(4_500);
    late_write(&mut hand, 1, "ann");
    hand.run(1_000);
    assert!(hand.starts_of(1).is_empty(), "the job runs: {:?}", hand.state(1));
}
