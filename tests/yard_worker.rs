//! Tests the fakes of the simulation themselves: that workers, store, advice and rules follow the
//! protocol.

mod yard;

use {
    dogwoodreach::{
        Time,
        ids::Incarnation,
        ports::{
            AdviceCall, EndReason, EndedRun, Fault, Held, Put, Start, StoreReply, Txn, WorkerCall,
            WorkerRefusal, WorkerReply as Reply,
        },
        shard::record::{JobRecord, Progress, TaskRow},
        units::Size,
        work::{AdviceCost, Job, JobNo, JobState, Occurrences, Step, StepKey, TaskKey},
    },
    std::{
        panic::{AssertUnwindSafe, catch_unwind},
        time::Duration,
    },
    yard::{
        assert_kept, bounds, job, queues,
        rules::{Rules, UNIX_START_MS},
        step,
        store::{CallOutcome, Mode, Store},
        worker::{Note, World},
        workers,
    },
};

/// A world of four workers in which job 1 is in a queue.
fn world(queue: &str, job: Job) -> World {
    let mut world = World::new(1, bounds(), queues(), workers(4));
    world.jobs.insert(
        JobNo(1),
        JobRecord {
            queue: queue.into(),
            submitted_ms: 0,
            job,
            queue_settings: None,
            customer: None,
        },
    );
    world
}

fn task(step: u16, index: u32) -> TaskKey {
    TaskKey { step: StepKey { job: JobNo(1), time: 0, step }, index }
}

fn order(task: TaskKey, run: u32) -> Start {
    let (text, saved) = ("do it".into(), "".into());
    Start {
        task,
        run,
        payload: text,
        lease_end_ms: 1_000_000,
        token: 1,
        checkpoint: saved,
        ticket: None,
    }
}

fn call(world: &mut World, at: usize, call: WorkerCall) -> Option<Reply> {
    let id = world.id(at);
    world.call(at, &id, &call, false)
}

/// Starts a run; returns the reason if the worker refuses it.
fn start(world: &mut World, at: usize, start: Start) -> Option<WorkerRefusal> {
    match call(world, at, WorkerCall::Start(start)) {
        Some(Reply::Done(_)) => None,
        Some(Reply::Refused(_, why)) => Some(why),
        other => panic!("{other:?}"),
    }
}

fn stop(world: &mut World, at: usize, task: TaskKey, run: u32) -> Option<Reply> {
    call(world, at, WorkerCall::Stop { task, run, token: 1 })
}

fn hold(world: &mut World, at: usize, until: Option<u64>, seen: u64) -> Held {
    let hold = WorkerCall::Hold { until, token: 1, seen, wait: Duration::ZERO };
    match call(world, at, hold) {
        Some(Reply::Held(held)) => held,
        other => panic!("{other:?}"),
    }
}

/// Advances time while renewing all leases.
fn advance_renewing(world: &mut World, ms: u64) {
    let to = world.now.0 / 1_000 + ms;
    while world.now < Time::from_millis(to) {
        world.advance(Time::from_millis(to.min(world.now.0 / 1_000 + 1_000)));
        let up: Vec<usize> = (0..4).filter(|at| world.workers[*at].up).collect();
        up.into_iter().for_each(|at| drop(hold(world, at, Some(1_000_000), 0)));
    }
}

fn end_kinds(held: &Held) -> Vec<(u64, u32, EndReason)> {
    held.ended.iter().map(|e: &EndedRun| (e.number, e.task.index, e.reason)).collect()
}

#[test]
fn lease_is_bounded_never_shortens_and_lapses_on_the_workers_clock() {
    let mut w = world("plain", job([step(2, 60_000)]));
    w.workers[1].clock_rate = 0.98;
    assert_eq!(start(&mut w, 1, order(task(0, 0), 1)), None);
    assert_eq!(hold(&mut w, 1, Some(1), 0).running.len(), 1); // the lease isn't shortened
    w.advance(Time::from_millis(8_100)); // the lease is 8 s at most, on a clock that is 2% slow
    assert_eq!(hold(&mut w, 1, None, 0).running.len(), 1);
    w.advance(Time::from_millis(8_200));
    let held = hold(&mut w, 1, None, 0);
    assert_eq!((held.running.len(), end_kinds(&held)), (0, vec![(1, 0, EndReason::Lapsed)]));
    let late = Start { lease_end_ms: held.clock_ms, ..order(task(0, 1), 1) };
    assert_eq!(start(&mut w, 1, late), Some(WorkerRefusal::Late));
}

#[test]
fn refused_for_old_still_extends_the_lease() {
    let mut w = world("plain", job([step(2, 60_000)]));
    let until = |until| Start { lease_end_ms: until, ..order(task(0, 0), 1) };
    start(&mut w, 0, until(2_000));
    stop(&mut w, 0, task(0, 1), 3);
    let old = Start { lease_end_ms: 5_000, ..order(task(0, 1), 3) };
    assert_eq!(start(&mut w, 0, old), Some(WorkerRefusal::Old));
    w.advance(Time::from_millis(3_900)); // the clock began at 1,000
    assert_eq!(hold(&mut w, 0, None, 0).running.len(), 1);
    w.advance(Time::from_millis(4_100));
    assert_eq!(hold(&mut w, 0, None, 0).running.len(), 0);
}

#[test]
fn a_lower_token_does_nothing_until_the_worker_is_another() {
    let mut w = world("plain", job([step(2, 60_000)]));
    assert_eq!(start(&mut w, 0, Start { token: 2, ..order(task(0, 0), 1) }), None);
    assert_eq!(start(&mut w, 0, order(task(0, 1), 1)), Some(WorkerRefusal::Fence));
    let fence = stop(&mut w, 0, task(0, 0), 1);
    assert!(matches!(fence, Some(Reply::Refused(_, WorkerRefusal::Fence))));
    let old = w.id(0);
    w.crash(0);
    assert_eq!(call(&mut w, 0, WorkerCall::Start(order(task(0, 1), 1))), None);
    w.workers[0].up = true;
    assert_eq!(
        w.call(0, &old, &WorkerCall::Start(order(task(0, 1), 1)), false),
        Some(Reply::Other)
    );
    assert_eq!(start(&mut w, 0, order(task(0, 1), 1)), None);
}

#[test]
fn a_stop_takes_its_time_and_room_and_bars_runs_not_higher() {
    let mut w = world("plain", job([step(5, 60_000)]));
    (0..4).for_each(|i| assert_eq!(start(&mut w, 0, order(task(0, i), 2)), None));
    assert_eq!(start(&mut w, 0, order(task(0, 0), 2)), None); // it runs already
    stop(&mut w, 0, task(0, 0), 2);
    assert_eq!(start(&mut w, 0, order(task(0, 4), 1)), Some(WorkerRefusal::Room));
    advance_renewing(&mut w, 1_100);
    assert_eq!(end_kinds(&hold(&mut w, 0, None, 0)), [(1, 0, EndReason::Stopped)]);
    assert_eq!(start(&mut w, 0, order(task(0, 0), 2)), Some(WorkerRefusal::Old));
    assert_eq!(start(&mut w, 0, order(task(0, 0), 3)), None);
    stop(&mut w, 1, task(0, 4), 2); // the run hasn't arrived yet
    assert_eq!(start(&mut w, 1, order(task(0, 4), 1)), Some(WorkerRefusal::Old));
}

#[test]
fn ends_are_listed_until_seen_500_at_a_time() {
    let mut w = world("plain", job([step(600, 100)]));
    w.workers[0].size = Size::new(600, 1 << 20, 0);
    (0..600).for_each(|i| assert_eq!(start(&mut w, 0, order(task(0, i), 1)), None));
    advance_renewing(&mut w, 300);
    let first = hold(&mut w, 0, None, 0);
    assert_eq!(first.ended.len(), 500);
    assert_eq!(hold(&mut w, 0, None, 0), first);
    let last = first.ended.last().map_or(0, |e| e.number);
    let rest = hold(&mut w, 0, None, last);
    assert_eq!((rest.ended.len(), rest.ended[0].number), (100, 501));
    let seen = w
        .notes
        .iter()
        .filter(|n| matches!(n, Note::Acknowledged { how: EndReason::Done, .. }))
        .count();
    assert_eq!(seen, 500);
}

#[test]
fn an_end_whose_worker_lapsed_before_it_was_noted_does_not_count_as_noted() {
    let mut w = world("plain", job([step(1, 100)]));
    start(&mut w, 0, order(task(0, 0), 1));
    w.advance(Time::from_millis(9_000));
    assert_eq!(end_kinds(&hold(&mut w, 0, None, 0)), [(1, 0, EndReason::Done)]);
    assert!(hold(&mut w, 0, None, 1).ended.is_empty());
    assert!(!w.notes.iter().any(|n| matches!(n, Note::Acknowledged { .. })));
}

#[test]
fn work_goes_on_from_a_checkpoint_after_the_restore() {
    let saves = Step { saves: true, ..step(1, 3_000) };
    let mut w = world("plain", job([saves]));
    start(&mut w, 0, order(task(0, 0), 1));
    advance_renewing(&mut w, 1_500);
    let shown = hold(&mut w, 0, None, 0).running.remove(0);
    assert!(shown.checkpoint.starts_with("000003e8"), "{}", shown.checkpoint); // one per second of work
    assert_eq!(shown.percent, 50);
    stop(&mut w, 0, task(0, 0), 1);
    advance_renewing(&mut w, 1_100);
    let end = hold(&mut w, 0, None, 0).ended.remove(0);
    assert!(end.checkpoint.starts_with("000005dc"), "{}", end.checkpoint); // and at a stop
    start(&mut w, 1, Start { checkpoint: end.checkpoint, ..order(task(0, 0), 2) });
    advance_renewing(&mut w, 1_900);
    assert!(hold(&mut w, 1, None, 0).ended.is_empty()); // the restore takes 0.5 s
    advance_renewing(&mut w, 200);
    assert_eq!(end_kinds(&hold(&mut w, 1, None, 0)), [(1, 0, EndReason::Done)]);
    start(&mut w, 1, Start { checkpoint: "00000001~none".into(), ..order(task(0, 0), 3) });
    assert!(w.notes.iter().any(|n| matches!(n, Note::Violation(_))));
}

#[test]
fn a_gang_works_only_when_all_are_there_and_ends_together() {
    let gang = Step { gang: true, tight: true, ..step(2, 1_000) };
    let mut w = world("plain", job([gang]));
    start(&mut w, 0, order(task(0, 0), 1));
    advance_renewing(&mut w, 2_000);
    assert_eq!(hold(&mut w, 0, None, 0).running[0].percent, 0);
    start(&mut w, 1, order(task(0, 1), 1));
    advance_renewing(&mut w, 1_400); // 50% longer on two racks
    assert_eq!(hold(&mut w, 0, None, 0).running.len(), 1);
    advance_renewing(&mut w, 200);
    assert_eq!(end_kinds(&hold(&mut w, 0, None, 0)), [(1, 0, EndReason::Done)]);
    assert_eq!(end_kinds(&hold(&mut w, 1, None, 0)), [(1, 1, EndReason::Done)]);
}

#[test]
fn a_gang_is_alone_without_the_others_and_broken_without_one() {
    let gang = Step { gang: true, ..step(2, 60_000) };
    let mut w = world("plain", job([gang]));
    start(&mut w, 0, order(task(0, 0), 1));
    start(&mut w, 1, order(task(0, 1), 2)); // a different run
    advance_renewing(&mut w, 5_100);
    assert_eq!(end_kinds(&hold(&mut w, 0, None, 0)), [(1, 0, EndReason::Alone)]);
    start(&mut w, 0, order(task(0, 0), 3));
    start(&mut w, 1, order(task(0, 1), 3));
    advance_renewing(&mut w, 1_000);
    stop(&mut w, 0, task(0, 0), 3);
    advance_renewing(&mut w, 1_100);
    let ends = end_kinds(&hold(&mut w, 1, None, 0));
    assert_eq!(ends, [(1, 1, EndReason::Alone), (2, 1, EndReason::Broken)]);
    start(&mut w, 0, order(task(0, 0), 4));
    start(&mut w, 1, order(task(0, 1), 4));
    w.crash(0);
    assert_eq!(end_kinds(&hold(&mut w, 1, None, 2)), [(3, 1, EndReason::Broken)]);
}

#[test]
fn work_is_slower_off_its_rack_at_a_reduced_pace_and_as_a_filler() {
    let near = Step { near: Some("r2".into()), ..step(1, 1_000) };
    let fills = Step { fills: true, size: Size::new(4, 512, 0), ..step(1, 1_000) };
    let serves = Step { lasts: true, target: 100, size: Size::new(2, 512, 0), ..step(1, 1) };
    let mut w = world("plain", job([near, fills, serves]));
    start(&mut w, 0, order(task(0, 0), 1));
    call(&mut w, 0, WorkerCall::Pace { task: task(0, 0), run: 1, percent: 50, token: 1 });
    start(&mut w, 1, order(task(1, 0), 1));
    start(&mut w, 1, order(task(2, 0), 1));
    advance_renewing(&mut w, 900);
    let percent = |w: &mut World, at| hold(w, at, None, 0).running[0].percent;
    assert_eq!((percent(&mut w, 0), percent(&mut w, 1)), (30, 45));
    let serving = hold(&mut w, 1, None, 0).running.remove(1);
    assert_eq!((serving.percent, serving.load), (0, 75));
    advance_renewing(&mut w, 1_000);
    assert_eq!(hold(&mut w, 1, None, 0).running[1].percent, 100);
    w.fail_task(task(2, 0));
    assert_eq!(end_kinds(&hold(&mut w, 1, None, 0)), [(1, 0, EndReason::Failed)]);
}

#[test]
fn faulty_workers_fail_tasks_refuse_starts_or_do_not_answer() {
    let mut w = world("plain", job([step(3, 1_000)]));
    w.failing_steps.insert((JobNo(1), 0));
    start(&mut w, 0, order(task(0, 0), 1));
    w.workers[1].failing = true;
    start(&mut w, 1, order(task(0, 1), 1));
    advance_renewing(&mut w, 400);
    assert_eq!(end_kinds(&hold(&mut w, 1, None, 0)), [(1, 1, EndReason::Failed)]);
    advance_renewing(&mut w, 200);
    assert_eq!(end_kinds(&hold(&mut w, 0, None, 0)), [(1, 0, EndReason::Failed)]);
    w.workers[0].unwell = true;
    assert_eq!(call(&mut w, 0, WorkerCall::Start(order(task(0, 2), 1))), Some(Reply::Unwell));
    w.workers[1].cut_off = true;
    assert_eq!(stop(&mut w, 1, task(0, 1), 1), None);
}

#[test]
fn a_start_needs_a_ticket_that_is_valid_for_its_step_and_worker() {
    let mut w = world("advised", job([step(9, 9_000), step(1, 9_000)]));
    w.advice.share = 100;
    let cost = AdviceCost {
        base: Duration::from_millis(20),
        each: Duration::from_millis(2),
        valid: Duration::from_secs(3),
    };
    let ask = AdviceCall { step: task(0, 0).step, workers: vec![w.id(2), w.id(3)] };
    let me = Incarnation(1);
    assert_eq!(w.advice.accept(me, &ask, cost, w.now), Ok(Time::from_millis(24)));
    assert_eq!(w.advice.accept(me, &ask, cost, w.now), Ok(Time::from_millis(48))); // in sequence
    assert_eq!(w.advice.accept(Incarnation(2), &ask, cost, w.now), Ok(Time::from_millis(24)));
    let waiting = (0..40).map(|_| w.advice.accept(me, &ask, cost, w.now));
    assert_eq!(waiting.filter(|a| *a == Err(Fault::Refused)).count(), 9);
    let advice = w.advice.answer(&ask, cost.valid, w.now);
    let ticket = |t: TaskKey| Start { ticket: Some(advice.accepted[0].1.clone()), ..order(t, 1) };
    assert_eq!(start(&mut w, 2, order(task(0, 0), 1)), Some(WorkerRefusal::Ticket));
    assert_eq!(start(&mut w, 2, ticket(task(0, 0))), None);
    assert_eq!(start(&mut w, 3, ticket(task(0, 1))), Some(WorkerRefusal::Ticket));
    assert_eq!(start(&mut w, 2, ticket(task(1, 0))), Some(WorkerRefusal::Ticket));
    w.advance(Time::from_millis(3_000));
    assert_eq!(start(&mut w, 2, ticket(task(0, 2))), Some(WorkerRefusal::Ticket));
}

#[test]
fn the_store_changes_all_or_nothing() {
    let mut store = Store::new(1);
    let put = |key: &str| Put { key: key.into(), value: "1".into(), lease: 0 };
    let txn = |rev, puts: Vec<Put>| Txn {
        expected_revs: vec![("a".into(), rev)],
        puts,
        removed_keys: vec![],
    };
    assert_eq!(store.txn(&txn(0, vec![put("a"), put("b")])), StoreReply::Done(8));
    let conflict = store.txn(&txn(0, vec![put("c")]));
    assert!(matches!(conflict, StoreReply::Conflict(items) if items[0].rev == 8));
    assert_eq!((store.rev, store.get("c")), (8, None));
    let gone = Txn { removed_keys: vec!["b".into()], ..txn(8, vec![]) };
    assert_eq!((store.txn(&gone), store.get("b")), (StoreReply::Done(9), None));
    store.health = Mode::Down;
    assert!(
        (0..20).all(|_| matches!(
            store.draw_outcome(),
            CallOutcome::Refused | CallOutcome::Unanswered
        ))
    );
    store.health = Mode::Losing(2);
    let lost =
        (0..100).filter(|_| matches!(store.draw_outcome(), CallOutcome::AnswerLost(_))).count();
    assert!((30..70).contains(&lost), "{lost}");
}

/// A job of two steps, the second after the first, in a pool that doesn't guard, and the rules that
/// check it.
fn two_steps() -> (World, Rules) {
    let second = Step { after: [0].into(), apart: 1, needs: Some("gpu".into()), ..step(9, 200) };
    (world("open", job([step(9, 200), second])), Rules::new(0))
}

#[test]
fn a_day_that_keeps_the_rules_passes() {
    let (mut w, mut rules) = two_steps();
    w.jobs.entry(JobNo(1)).and_modify(|r| r.job.steps.iter_mut().for_each(|s| s.count = 2));
    for s in 0..2 {
        for i in 0..2 {
            start(&mut w, 2, order(task(s, i), 1));
            advance_renewing(&mut w, 300);
            assert_kept(rules.check(&mut w));
        }
    }
    let last = hold(&mut w, 2, None, 4);
    assert!(last.ended.is_empty());
    assert_kept(rules.check(&mut w));
    assert_kept(rules.check_state(&w, JobNo(1), JobState::Done));
    assert_eq!(rules.start_count, 4);
}

/// Does something in a fresh world, and checks that the rules report this breach.
fn assert_breach(expected: &str, action: impl FnOnce(&mut World, &mut Rules)) {
    let (mut world, mut rules) = two_steps();
    let all = AssertUnwindSafe(|| {
        action(&mut world, &mut rules);
        assert_kept(rules.check(&mut world));
    });
    let text = catch_unwind(all).expect_err(expected);
    let text = text.downcast_ref::<String>().map_or("", String::as_str);
    assert!(text.contains(expected) && text.contains("seed 0"), "{text}, not {expected}");
}

/// Changes the first step of job 1.
fn change(world: &mut World, change: impl FnOnce(&mut Step)) {
    world.jobs.entry(JobNo(1)).and_modify(|r| change(&mut r.job.steps[0]));
}

#[test]
fn rules_see_what_runs_where_it_should_not() {
    assert_breach("runs twice at once", |w, _| {
        start(w, 2, order(task(0, 0), 1));
        start(w, 3, order(task(0, 0), 2));
    });
    assert_breach("5 cores", |w, rules| {
        (0..4).for_each(|i| assert_eq!(start(w, 2, order(task(0, i), 1)), None));
        stop(w, 2, task(0, 0), 1); // a run that is being stopped counts
        assert_kept(rules.check(w));
        start(w, 2, order(task(0, 4), 1));
    });
    assert_breach("which is none of its", |w, _| {
        assert_eq!(start(w, 0, order(task(0, 0), 1)), None)
    });
    assert_breach("which is none of its", |w, _| {
        change(w, |s| s.needs = Some("gpu".into()));
        start(w, 3, order(task(0, 0), 1));
    });
    assert_breach("2 of 0000000000000001.0.0 run at", |w, _| {
        change(w, |s| s.apart = 1);
        start(w, 2, order(task(0, 0), 1));
        start(w, 2, order(task(0, 1), 1));
    });
}

#[test]
fn rules_see_what_runs_when_it_should_not() {
    assert_breach("before step 0 was done", |w, _| {
        assert_eq!(start(w, 2, order(task(1, 0), 1)), None)
    });
    assert_breach("before it was due", |w, _| {
        let times = Some(Occurrences { count: 1, first: UNIX_START_MS + 1_000, every: 0 });
        w.jobs.entry(JobNo(1)).and_modify(|r| r.job.times = times);
        start(w, 2, order(task(0, 0), 1));
    });
    assert_breach("after it was done", |w, rules| {
        start(w, 2, order(task(0, 0), 1));
        advance_renewing(w, 300);
        start(w, 3, order(task(0, 0), 2));
        assert_kept(rules.check(w)); // no breach yet: the end is acknowledged only now
        hold(w, 2, None, 1);
    });
    assert_breach("after 3 failures", |w, rules| {
        for run in 1..=4 {
            start(w, 2, order(task(0, 0), run));
            assert_kept(rules.check(w));
            w.fail_task(task(0, 0));
            w.advance(w.now + Duration::from_millis(10));
            hold(w, 2, None, u64::from(run));
        }
    });
    assert_breach("started, its job was cancelled", |w, rules| {
        rules.cancels.insert(JobNo(1), Time::ZERO);
        w.advance(Time::from_millis(2_100));
        start(w, 2, order(task(0, 0), 1));
    });
    assert_breach("runs on, cancelled", |w, rules| {
        change(w, |s| s.estimate = 9_000);
        start(w, 2, order(task(0, 0), 1));
        rules.cancels.insert(JobNo(1), Time::ZERO);
        advance_renewing(w, 2_900);
        assert_kept(rules.check(w)); // 2 s for the order and 1 s for the stop
        advance_renewing(w, 200);
    });
    assert_breach("leaving at", |w, _| {
        w.workers[2].leaving_since = Some(w.now);
        w.advance(Time::from_millis(2_100));
        start(w, 2, order(task(0, 0), 1));
    });
    assert_breach("ended alone", |w, _| {
        change(w, |s| s.gang = true);
        start(w, 2, order(task(0, 0), 1));
        advance_renewing(w, 5_100);
    });
}

#[test]
fn rules_see_what_nobody_asked_for_and_what_is_not_so() {
    assert_breach("was not asked for like this", |w, _| {
        start(w, 2, Start { payload: "do that".into(), ..order(task(0, 0), 1) });
    });
    assert_breach("has no checkpoint", |w, _| {
        start(w, 2, Start { checkpoint: "00000001".into(), ..order(task(0, 0), 1) });
    });
    for state in [JobState::Done, JobState::Failed, JobState::Cancelled] {
        assert_breach("without cause", |w, rules| {
            assert_kept(rules.check_state(w, JobNo(1), state))
        });
    }
    assert_breach("is stored as done", |w, rules| {
        let tasks = vec![TaskRow(0, 0, 0, 1, vec![], true, "".into())];
        assert_kept(rules.check_progress(w, JobNo(1), &Progress { tasks, ..Progress::default() }));
    });
}
