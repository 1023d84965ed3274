//! Tests what a member reports about a shard that it may no longer own.

mod hand;
mod yard;

use {
    dogwoodreach::{
        ports::{WorkerCall, WorkerRefusal, WorkerReply as Reply},
        shard::report::JobReport,
        work::{JobNo, JobState},
    },
    hand::Harness,
    yard::{ShardSim, job, step},
};

#[test]
fn an_owner_that_wakes_does_not_tell_what_was_true_before() {
    // The process of an owner is paused. Its successor runs a job to its end, and a caller is told
    // that the job is completed. When the former owner resumes, it would tell a caller that the
    // same job is queued, until a worker refuses its token some milliseconds later.
    for seed in 1..6 {
        let mut yard = ShardSim::new(seed, 6);
        yard.fault(2_000, |y| y.pause_owner(0, true));
        yard.at(2_100, |y| y.submit(1, "plain", job([step(2, 300)])));
        yard.fault(5_500, ShardSim::take_over);
        yard.run_until(5_000);
        yard.run_until_settled(10_000);
        assert_eq!(yard.stored_state(1), Some(JobState::Done));
        let resumed_at = yard.now.0 / 1_000 + 200;
        yard.fault(resumed_at, |y| y.pause_owner(0, false));
        for ms in resumed_at..resumed_at + 20 {
            yard.run_until(ms + 1);
            yard.check_shown_states();
        }
    }
}

#[test]
fn an_owner_that_the_store_does_not_confirm_tells_only_what_is_over() {
    // A member is cut off from the store but reaches most of its workers. Another member may have
    // taken over its shard, and callers ask both. A finished job is final in the store. About
    // unfinished jobs and the number of waiting ones, the former owner may know less than callers
    // were already told.
    let mut hand = Harness::new(5);
    hand.submit(1, "plain", hand::job(hand::step(1, 1)));
    hand.run(300);
    hand.end(hand::task(1, 0), dogwoodreach::ports::EndReason::Done);
    hand.run_until("stored", 500, |h| h.state(1) == Some(JobState::Done));
    hand.submit(2, "plain", hand::job(hand::step(1, 9)));
    assert_eq!(hand.state(2), Some(JobState::Queued));
    assert!(hand.shard.may_report(hand.now));
    hand.lease_confirmed = false;
    hand.run(2_500);
    assert_eq!(hand.state(2), None);
    assert!(
        !hand.shard.may_report(hand.now),
        "it must not report the number of waiting jobs or its workers' tasks either"
    );
    assert_eq!(hand.state(1), Some(JobState::Done), "job {} is over", JobNo(1));
    hand.lease_confirmed = true;
    hand.run(100);
    assert_eq!(hand.state(2), Some(JobState::Queued));
}

#[test]
fn an_owner_that_stood_still_as_it_loaded_its_shard_tells_nothing() {
    // A member takes a shard over, and its process is paused while it loads the store. When it
    // resumes, another member has taken the shard over, which it doesn't know yet.
    let mut hand = Harness::new(5);
    hand.submit(1, "plain", hand::job(hand::step(1, 1)));
    hand.run(5_000);
    hand.lease_confirmed = false;
    hand.take_over();
    assert_eq!(hand.state(1), None);
    hand.lease_confirmed = true;
    hand.run(100);
    assert!(hand.state(1).is_some());
}

#[test]
fn a_job_cancelled_before_it_began_is_not_told_as_running() {
    // A worker refuses the job's first start, which has a run number by then. Until the cancel is
    // stored, callers were told that the job is running.
    let mut hand = Harness::new(1);
    hand.workers[0].hook = |call| match call {
        WorkerCall::Start(_) => Some(Ok(Reply::Refused(0, WorkerRefusal::Room))),
        _ => None,
    };
    hand.submit(1, "plain", hand::job(hand::step(1, 1)));
    hand.run_until("the refused start", 500, |h| !h.starts_of(1).is_empty());
    hand.run(40);
    hand.store_up = false;
    hand.cancel(1);
    let report = hand.shard.report(JobNo(1), hand.now);
    assert_eq!(report, Some(JobReport::AtLeast(JobState::Queued)));
}
