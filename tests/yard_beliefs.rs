//! Tests that the simulation notices an owner that believes a task to run that doesn't, or that
//! doesn't know of one that does.

mod yard;

use {
    dogwoodreach::{
        Time,
        ports::{Held, PresentRun, WorkerCall, WorkerReply as Reply},
        shard::{TaskPlace, event::Event},
        work::{JobNo, Step, StepKey, TaskKey},
    },
    std::{
        panic::{AssertUnwindSafe, catch_unwind},
        time::Duration,
    },
    yard::{
        ShardSim,
        assignments::{Beliefs, Differences, MAX_DIFFERENCE},
        job, step,
    },
};

const SEED: u64 = 1;

/// Makes a belief wrong.
type Change = fn(&mut Beliefs);

fn task(index: u32) -> TaskKey {
    TaskKey { step: StepKey { job: JobNo(1), time: 0, step: 0 }, index }
}

/// A simulation in which the three long-running tasks of job 1 run.
fn settled() -> ShardSim {
    let mut yard = ShardSim::new(SEED, 4);
    yard.submit(1, "plain", job([Step { lasts: true, ..step(3, 1_000) }]));
    yard.run_until(5_000);
    assert_eq!(yard.run_count(JobNo(1)), 3);
    yard
}

fn beliefs(yard: &mut ShardSim) -> Beliefs {
    let shard = &yard.owner().shard;
    let (counted, long_running) = (shard.counted_runs(), shard.long_running_tasks());
    Beliefs { counted, long_running, ..Beliefs::default() }
}

/// Checks these beliefs while time passes, and returns the first breach and when it was found.
fn first_breach(
    yard: &mut ShardSim,
    beliefs: &Beliefs,
    suspended_until: Time,
) -> Option<(Duration, String)> {
    let (mut differences, from) = (Differences::default(), yard.world.now);
    for _ in 0..150 {
        if let Some(text) = differences.overdue(&yard.world, beliefs, suspended_until) {
            return Some((yard.world.now - from, text));
        }
        yard.world.now = yard.world.now + Duration::from_millis(100);
    }
    None
}

#[test]
fn a_wrong_belief_is_found_within_two_holds() {
    // Each way in which the owner and the workers can differ about a long-running task.
    let mut yard = settled();
    let right = beliefs(&mut yard);
    assert_eq!((right.counted.len(), right.long_running.len()), (3, 3));
    assert_eq!(first_breach(&mut yard, &right, Time::ZERO), None);

    let wrong: [(&str, Change); 4] = [
        ("which doesn't run there", |b| b.counted[0].run += 1),
        ("and the owner doesn't count it", |b| drop(b.counted.pop())),
        ("counts no such run", |b| {
            if let Some(TaskPlace::Assigned(_, run)) = b.long_running.get_mut(&task(0)) {
                *run += 1;
            }
        }),
        ("is not in the ready queue", |b| {
            b.long_running.insert(task(0), TaskPlace::NotReady);
        }),
    ];
    for (text, change) in wrong {
        let mut wrong = beliefs(&mut yard);
        change(&mut wrong);
        let found = first_breach(&mut yard, &wrong, Time::ZERO);
        let (after, breach) = found.unwrap_or_else(|| panic!("no breach: {text}"));
        assert_eq!(after, MAX_DIFFERENCE, "{breach}");
        assert!(breach.contains(text) && breach.contains("workers: [\"run"), "{breach}");
    }
}

#[test]
fn a_run_on_an_ended_worker_may_be_believed_until_its_lease_ends() {
    let mut yard = settled();
    let wrong = beliefs(&mut yard);
    let at =
        yard.world.workers.iter().position(|w| !w.runs.is_empty()).expect("a worker with runs");
    yard.world.crash(at);
    let (after, breach) = first_breach(&mut yard, &wrong, Time::ZERO).expect("a breach");
    assert_eq!(after, Duration::from_secs(9), "{breach}");
}

#[test]
fn differences_during_a_fault_do_not_count() {
    let mut yard = settled();
    let mut wrong = beliefs(&mut yard);
    wrong.counted.pop();
    // The grace of 5 s after the last moment of the fault covers the time of two holds.
    let until = yard.now + Duration::from_secs(7);
    let (after, _) = first_breach(&mut yard, &wrong, until).expect("a breach");
    assert_eq!(after, Duration::from_secs(7));
}

/// Tells the owner that an empty worker runs task 0 of job 1 in a run that doesn't exist.
fn report_ghost(yard: &mut ShardSim) {
    let running =
        vec![PresentRun { task: task(0), run: 900, checkpoint: "".into(), percent: 100, load: 0 }];
    let at = yard.world.workers.iter().position(|w| w.runs.is_empty()).expect("an empty worker");
    let clock_ms = yard.world.workers[at].clock(yard.now);
    let (worker, sent) = (yard.world.id(at), yard.now);
    let hold = WorkerCall::Hold { until: None, token: 1, seen: 0, wait: Duration::ZERO };
    let reply = Ok(Reply::Held(Held { clock_ms, running, ..Held::default() }));
    yard.owner().shard.apply(Event::Worker { worker, sent, call: Box::new(hold), reply }, sent);
}

#[test]
fn the_simulation_stops_at_an_owner_that_counts_a_run_that_is_not_there() {
    // The owner is told again and again of a run that doesn't exist.
    let told = |ghost: bool| {
        catch_unwind(AssertUnwindSafe(|| {
            let mut yard = settled();
            for ms in (5_100..12_000).step_by(100) {
                yard.run_until(ms - 1);
                if ghost {
                    report_ghost(&mut yard);
                }
                yard.run_until(ms);
            }
        }))
    };
    assert!(told(false).is_ok());
    let error = told(true).expect_err("the simulation goes on");
    let text = error.downcast_ref::<String>().expect("a text");
    assert!(text.contains("in run 900 at w1-1, which doesn't run there"), "{text}");
}
