//! Tests that the judge detects each breach that shows in the answers to callers or in the store.
//! Breaches that show at workers are tested in `tests/yard_worker.rs` of the root package.

use {
    dogwoodreach::{
        Time,
        ports::{Start, WorkerCall, WorkerReply},
        shard::record::{JobRecord, Progress, ShardNo, TaskRow},
        units::Size,
        work::{JobNo, JobState, Step, StepKey, TaskKey},
    },
    standin::site::{
        contact::Part,
        judge::{Breach, Rules},
        setup::{bounds, job, queues, step, workers},
        worker::World,
    },
    std::time::Duration,
};

const JOB: JobNo = JobNo(1);

/// Creates a world with one submitted job of one task, and its judge.
fn world_with_job() -> (World, Rules) {
    let mut world = World::new(5, bounds(), queues(), workers(4));
    let job = job([step(1, 200)]);
    world.jobs.insert(
        JOB,
        JobRecord {
            queue: "open".into(),
            submitted_ms: 0,
            job,
            queue_settings: None,
            customer: None,
        },
    );
    (world, Rules::new(5))
}

/// Starts the job's task.
fn start(world: &mut World) {
    let start = Start {
        task: TaskKey { step: StepKey { job: JOB, time: 0, step: 0 }, index: 0 },
        run: 1,
        payload: "do it".into(),
        lease_end_ms: u64::MAX,
        token: 1,
        checkpoint: "".into(),
        ticket: None,
    };
    let id = world.id(2);
    let reply = world.call(2, &id, &WorkerCall::Start(start), false);
    assert!(matches!(reply, Some(WorkerReply::Done(_))), "{reply:?}");
}

fn assert_breach(promise: Result<(), Breach>, text: &str) {
    let breach = promise.expect_err(text);
    assert!(breach.text.contains(text) && breach.seed == 5, "{breach}, not {text}");
}

#[test]
fn a_refused_job_that_runs() {
    let (mut world, mut rules) = world_with_job();
    assert_eq!(rules.refused(Time::ZERO, JOB), Ok(()));
    start(&mut world);
    assert_breach(rules.check(&mut world), "its job was refused");

    let (mut world, mut rules) = world_with_job();
    start(&mut world);
    assert_eq!(rules.check(&mut world), Ok(()));
    assert_breach(rules.refused(Time::ZERO, JOB), "had started");
    assert_breach(rules.accepted(Time::ZERO, JOB), "and then accepted");
}

#[test]
fn an_accepted_job_that_is_not_known() {
    let (_, mut rules) = world_with_job();
    let ms = Time::from_millis;
    assert_eq!(rules.check_unknown(ms(0), JOB), Ok(()), "nobody has accepted it");
    assert_eq!(rules.accepted(ms(1_000), JOB), Ok(()));
    assert_eq!(rules.check_unknown(ms(3_900), JOB), Ok(()), "it may not be visible yet");
    assert_breach(rules.check_unknown(ms(4_100), JOB), "isn't known");
    rules.cancels.insert(JOB, ms(4_000));
    assert_eq!(rules.check_unknown(ms(4_100), JOB), Ok(()), "its caller has cancelled it");
}

#[test]
fn a_job_that_is_over_and_then_is_not() {
    let (mut world, mut rules) = world_with_job();
    assert_eq!(rules.check_reported(&world, JOB, JobState::Running), Ok(()));
    assert_breach(rules.check_reported(&world, JOB, JobState::Done), "without cause");
    start(&mut world);
    world.advance(Time::from_millis(300));
    assert_eq!(rules.check(&mut world), Ok(()));
    assert_eq!(rules.check_reported(&world, JOB, JobState::Done), Ok(()));
    assert_eq!(rules.check_reported(&world, JOB, JobState::Done), Ok(()));
    assert_breach(rules.check_reported(&world, JOB, JobState::Running), "was completed before");
    assert_breach(rules.check_reported(&world, JobNo(9), JobState::Queued), "without cause");
}

#[test]
fn an_end_that_is_noted_and_not_stored() {
    let (world, mut rules) = world_with_job();
    let task = TaskKey { step: StepKey { job: JOB, time: 0, step: 0 }, index: 0 };
    let row = |done| Progress {
        tasks: vec![TaskRow(0, 0, 0, 1, vec![], done, "".into())],
        ..Progress::default()
    };
    assert_eq!(
        rules.check_acknowledged(&world, task, None),
        Ok(()),
        "no caller was told that the job is accepted"
    );
    assert_eq!(rules.accepted(Time::ZERO, JOB), Ok(()));
    assert_breach(rules.check_acknowledged(&world, task, None), "isn't stored");
    assert_breach(
        rules.check_acknowledged(&world, task, Some(&Progress::default())),
        "isn't stored",
    );
    assert_breach(rules.check_acknowledged(&world, task, Some(&row(false))), "isn't stored");
    assert_eq!(rules.check_acknowledged(&world, task, Some(&row(true))), Ok(()));
    let over = Progress { state: JobState::Cancelled, ..Progress::default() };
    assert_eq!(rules.check_acknowledged(&world, task, Some(&over)), Ok(()));
}

#[test]
fn a_token_that_goes_back() {
    let (_, mut rules) = world_with_job();
    for token in [3, 3, 4] {
        assert_eq!(rules.check_token(Time::ZERO, ShardNo(0), token), Ok(()));
    }
    assert_eq!(rules.check_token(Time::ZERO, ShardNo(1), 1), Ok(()), "another shard");
    assert_breach(rules.check_token(Time::ZERO, ShardNo(0), 3), "token 3 after 4");
}

#[test]
fn bounds_of_time_may_be_left_out_and_nothing_else() {
    let (mut world, mut rules) = world_with_job();
    rules.time_rules = false;
    rules.cancels.insert(JOB, Time::ZERO);
    let long = |s: &mut Step| s.estimate = 60_000;
    world.jobs.entry(JOB).and_modify(|r| long(&mut r.job.steps[0]));
    world.advance(Time::from_millis(9_000));
    start(&mut world);
    assert_eq!(rules.check(&mut world), Ok(()));
    world.workers[2].size = Default::default();
    assert_breach(rules.check(&mut world), "runs");
}

#[test]
fn times_are_due_by_the_clock_of_the_day() {
    let (mut world, mut rules) = world_with_job();
    rules.unix_ms = 5_000_000;
    let times = dogwoodreach::work::Occurrences { count: 1, first: 5_002_000, every: 0 };
    world.jobs.entry(JOB).and_modify(|r| r.job.times = Some(times));
    world.advance(Time::ZERO + Duration::from_millis(1_000));
    start(&mut world);
    assert_breach(rules.check(&mut world), "before it was due");
}

#[test]
fn a_job_that_waits_beside_room() {
    let (mut world, mut rules) = world_with_job();
    let until = |world: &mut World, rules: &mut Rules, ms: u64| {
        while world.now < Time::from_millis(ms) {
            world.advance(world.now + Duration::from_millis(10));
            rules.check(world)?;
        }
        Ok(())
    };
    assert_eq!(until(&mut world, &mut rules, 2_900), Ok(()), "not for 3 s yet");
    assert_breach(until(&mut world, &mut rules, 3_200), "nothing of its job runs");

    let (mut world, mut rules) = world_with_job();
    rules.record_fault(Time::ZERO);
    assert_eq!(
        until(&mut world, &mut rules, 6_900),
        Ok(()),
        "a fault was active less than 4 s before"
    );
    assert_breach(until(&mut world, &mut rules, 7_200), "nothing of its job runs");

    let (mut world, mut rules) = world_with_job();
    world.workers[3].up = false;
    world.workers[2].size = Size::new(1, 16_384, 1);
    assert_eq!(until(&mut world, &mut rules, 9_000), Ok(()), "there is room for one");
    world.workers[2].size = Size::new(4, 16_384, 1);
    rules.cancels.insert(JOB, world.now);
    assert_eq!(until(&mut world, &mut rules, 14_000), Ok(()), "it is cancelled");

    let (mut world, mut rules) = world_with_job();
    let gang = |r: &mut JobRecord| (r.job.steps[0].gang, r.job.steps[0].count) = (true, 5);
    world.jobs.entry(JOB).and_modify(gang);
    assert_eq!(until(&mut world, &mut rules, 9_000), Ok(()), "there is room for eight of ten");
    world.workers[2].size = Size::new(6, 16_384, 1);
    assert_breach(until(&mut world, &mut rules, 12_200), "nothing of its job runs");
}

#[test]
fn a_lasting_task_that_is_away_is_owed_once_its_job_is_accepted() {
    // Submissions are refused while the store is down, and the scheduler doesn't have to run a job
    // that wasn't accepted.
    let until = |world: &mut World, rules: &mut Rules, ms: u64| {
        while world.now < Time::from_millis(ms) {
            world.advance(world.now + Duration::from_millis(10));
            rules.check(world)?;
        }
        Ok(())
    };
    let lasting = || {
        let (mut world, rules) = world_with_job();
        let lasts = |r: &mut JobRecord| r.job.steps[0].lasts = true;
        world.jobs.entry(JOB).and_modify(lasts);
        (world, rules)
    };
    let (mut world, mut rules) = lasting();
    rules.accepted(Time::ZERO, JobNo(2)).expect("another job");
    assert_eq!(until(&mut world, &mut rules, 20_000), Ok(()), "it was not accepted");
    rules.accepted(world.now, JOB).expect("it is");
    assert_breach(until(&mut world, &mut rules, 30_000), "nothing of its job runs");

    let (mut world, mut rules) = lasting();
    start(&mut world);
    assert_eq!(until(&mut world, &mut rules, 2_000), Ok(()));
    world.crash(2);
    world.workers[2].up = true;
    let broken = until(&mut world, &mut rules, 12_000).expect_err("the task isn't running");
    assert!(broken.at >= Time::from_millis(2_000 + 3_000), "{broken}");
}

/// A world whose clock stands at 9 s, with a judge that knows of two owners: member 0 with token 1, and
/// member 1 with token 2.
fn world_with_owners(cancelled: Time) -> (World, Rules) {
    let (mut world, mut rules) = world_with_job();
    world.jobs.entry(JOB).and_modify(|r| r.job.steps[0].estimate = 60_000);
    world.advance(Time::from_millis(9_000));
    rules.per_machine = true;
    rules.contact.owners = [(1, 0), (2, 1)].into();
    rules.record_fault(world.now);
    rules.cancelled(cancelled, JOB);
    (world, rules)
}

#[test]
fn a_start_after_a_cancel_counts_whatever_happens_to_others() {
    // Guards against a rule that is hardly ever in force, because something always fails somewhere.
    let started = |part: Part, at: u64| {
        let (mut world, mut rules) = world_with_owners(Time::from_millis(6_900));
        rules.contact.disturb(part, Time::from_millis(at));
        start(&mut world);
        rules.check(&mut world)
    };
    for other in [Part::Member(1), Part::Worker(2), Part::Orders] {
        assert_breach(started(other, 9_000), "its job was cancelled");
    }
    for part in [Part::Member(0), Part::Store] {
        assert_eq!(started(part, 6_010), Ok(()), "{part:?} was not in touch");
        assert_breach(started(part, 6_000), "its job was cancelled");
    }
}

#[test]
fn a_run_goes_on_only_beside_a_fault_of_its_own() {
    // Guards against an owner that forgets a stop, and against blaming it for a worker out of reach.
    let runs_on = |part: Part| {
        let (mut world, mut rules) = world_with_owners(Time::NEVER);
        start(&mut world);
        rules.cancelled(Time::from_millis(9_000), JOB);
        rules.contact.disturb(part, Time::from_millis(6_500));
        world.advance(Time::from_millis(12_010));
        let before = rules.check(&mut world);
        world.advance(Time::from_millis(12_510));
        (before, rules.check(&mut world))
    };
    for other in [Part::Member(2), Part::Worker(3)] {
        assert_breach(runs_on(other).0, "runs on, cancelled");
    }
    let own = [Part::Member(0), Part::Member(1), Part::Worker(2), Part::Orders, Part::Store];
    for (before, after) in own.map(runs_on) {
        assert_eq!(before, Ok(()));
        assert_breach(after, "runs on, cancelled");
    }
}

#[test]
fn the_first_acknowledgement_of_a_cancel_counts() {
    // Guards against a caller's later cancels of one job that set back the time from which it may not start.
    let (mut world, mut rules) = world_with_owners(Time::from_millis(2_000));
    rules.cancelling(JOB);
    rules.cancelled(Time::from_millis(8_900), JOB);
    start(&mut world);
    assert_breach(rules.check(&mut world), "its job was cancelled");
}
