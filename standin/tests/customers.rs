//! Tests of the customers of a soak, and that the judge detects each breach that concerns them.

use {
    dogwoodreach::{
        Time,
        ids::CustomerId,
        ports::{Start, WorkerCall},
        shard::record::JobRecord,
        units::{Cores, Size},
        work::{JobNo, StepKey, TaskKey},
    },
    standin::site::{
        customers::{Change, KeyUse, Tenants, changes, key_use, overloads},
        judge::{Breach, Rules},
        keys::Keys,
        plan::{Fault, draw_job, faults},
        setup::{bounds, job, queues, step, workers},
        worker::World,
    },
    std::{collections::BTreeSet, time::Duration},
};

const LENGTH: Duration = Duration::from_secs(60);
const MS: fn(u64) -> Time = Time::from_millis;

#[test]
fn a_saved_seed_draws_the_faults_and_jobs_that_it_drew_before_there_were_customers() {
    let digest = |text: String| xxhash_rust::xxh3::xxh3_64(text.as_bytes());
    let drawn: Vec<String> = faults(401, LENGTH, 5, 24).iter().map(ToString::to_string).collect();
    assert_eq!(digest(drawn.join("\n")), 8_559_937_659_969_343_042, "{drawn:#?}");
    let mut rng = fastrand::Rng::with_seed(401);
    let jobs: Vec<String> = (0..100)
        .map(|_| draw_job(&mut rng, 24, 0))
        .map(|d| format!("{} {} {:?} {} {}", d.no, d.queue, d.cancel, d.fails, d.resubmit))
        .collect();
    assert_eq!(digest(jobs.join("\n")), 3_111_232_207_838_532_127, "{jobs:#?}");
}

#[test]
fn a_seed_plays_the_same_customers_again_and_changes_of_all_kinds() {
    assert_eq!(changes(3, LENGTH), changes(3, LENGTH));
    assert_ne!(changes(3, LENGTH), changes(4, LENGTH));
    assert_eq!(Tenants::draw(3, Cores(96_000)), Tenants::draw(3, Cores(96_000)));
    assert_eq!(overloads(3, LENGTH), overloads(3, LENGTH));
    let kinds: BTreeSet<String> =
        (1..9).flat_map(|s| changes(s, LENGTH)).map(|c| format!("{:?}", c.change)).collect();
    for kind in ["Cap(", "Weight(", "NewKey(", "FurtherKey("] {
        assert!(kinds.iter().any(|k| k.starts_with(kind)), "{kind}");
    }
    let uses: Vec<KeyUse> = (0..500).map(key_use).collect();
    assert!(uses.contains(&KeyUse::Unknown) && uses.contains(&KeyUse::Revoked));
    for overload in overloads(3, LENGTH) {
        let mut rng = fastrand::Rng::with_seed(1);
        let jobs: Vec<_> = (0..300).map(|_| overload.draw_job(&mut rng)).collect();
        assert!(jobs.iter().all(|j| j.3.check().is_ok()));
        assert!(jobs.iter().any(|j| j.3.steps[0].near.is_some()));
        assert!(jobs.iter().filter(|j| j.2 == overload.heavy).count() > 150);
    }
}

#[test]
fn a_call_that_is_served_or_refused_against_its_key() {
    let mut tenants = Tenants::draw(1, Cores(96_000));
    let mut keys = Keys::default();
    keys.set(&tenants, MS(0));
    let old = tenants.all[2].keys[0].clone();
    tenants.apply(Change::NewKey(2));
    keys.set(&tenants, MS(10_000));
    let new = tenants.all[2].keys[0].clone();
    let found = |key: &str, status, asked| {
        keys.contradiction(key, status, MS(asked), MS(asked + 50)).unwrap_or_default()
    };
    assert!(found("key-of-nobody", 200, 100).contains("which nobody has"));
    assert!(found("key-of-nobody", 410, 100).contains("which nobody has"), "it was looked up");
    assert_eq!(found("key-of-nobody", 401, 100), "");
    assert_eq!(found(&old, 200, 9_000), "");
    assert!(found(&old, 401, 9_000).contains("valid since"));
    assert_eq!(found(&old, 200, 12_000), "", "a member may not know the revocation yet");
    assert!(found(&old, 200, 13_100).contains("was revoked at"));
    assert_eq!(found(&new, 401, 12_000), "", "a member may not know the new key yet");
    assert!(found(&new, 401, 13_100).contains("was refused"));
    assert_eq!(found(&new, 503, 13_100), "");
}

/// Creates a world in which customer `a` runs `busy` tasks of a minute in the pool `open`, and a task
/// of customer `b` is ready there.
fn contended(busy: u32) -> (World, Rules) {
    let mut world = World::new(5, bounds(), queues(), workers(4));
    let mut rules = Rules::new(5);
    for (no, name, count) in [(1, "a", busy), (2, "b", 1)] {
        let customer = Some(CustomerId::from(name));
        let job = job([step(count, 60_000)]);
        let record = JobRecord {
            queue: "open".into(),
            submitted_ms: 0,
            job,
            queue_settings: None,
            customer,
        };
        world.jobs.insert(JobNo(no), record);
        rules.starvation.set_weight(&CustomerId::from(name), 1.0);
        rules.caps.set(&CustomerId::from(name), Size::new(16, 65_536, 16), Time::ZERO);
    }
    (0..busy).for_each(|index| start(&mut world, index));
    (world, rules)
}

/// Starts a task of the job of customer `a`.
fn start(world: &mut World, index: u32) {
    let step = StepKey { job: JobNo(1), time: 0, step: 0 };
    let (at, task) = (2 + index as usize % 2, TaskKey { step, index });
    let start = Start {
        task,
        run: 1,
        payload: "do it".into(),
        lease_end_ms: u64::MAX,
        token: 1,
        checkpoint: "".into(),
        ticket: None,
    };
    let id = world.id(at);
    world.call(at, &id, &WorkerCall::Start(start), false).expect("an answer");
}

/// Advances a world to `ms`, and renews the leases of its workers.
fn run(world: &mut World, rules: &mut Rules, ms: u64, fault: bool) -> Result<(), Breach> {
    while world.now < MS(ms) {
        for at in 2..4 {
            let (id, wait) = (world.id(at), Duration::ZERO);
            let hold = WorkerCall::Hold { until: Some(u64::MAX), token: 1, seen: 0, wait };
            world.call(at, &id, &hold, false);
        }
        world.advance(world.now + Duration::from_millis(250));
        if fault {
            rules.record_fault(world.now);
        }
        rules.check(world)?;
    }
    Ok(())
}

#[test]
fn a_customer_that_starves_beside_one_above_its_share() {
    // `a` has all 8 cores of the pool, half of all workers; as it has no more than its part of one
    // half, nobody is above its share.
    let (mut world, mut rules) = contended(8);
    assert_eq!(run(&mut world, &mut rules, 14_000, false), Ok(()));
    let (mut world, mut rules) = contended(8);
    rules.starvation.set_weight(&CustomerId::from("b"), 2.0);
    assert_eq!(run(&mut world, &mut rules, 9_000, false), Ok(()));
    let breach = run(&mut world, &mut rules, 14_000, false).expect_err("b starves");
    assert!(breach.text.contains("customer b has had nothing running in pool open"), "{breach}");
}

#[test]
fn time_with_faults_does_not_count_as_starvation_and_does_not_end_it() {
    // Faults come so often in a soak that a rule that begins anew after each would never apply.
    let (mut world, mut rules) = contended(8);
    rules.starvation.set_weight(&CustomerId::from("b"), 2.0);
    assert_eq!(run(&mut world, &mut rules, 6_000, false), Ok(()));
    assert_eq!(run(&mut world, &mut rules, 20_000, true), Ok(()));
    assert_eq!(run(&mut world, &mut rules, 28_000, false), Ok(()));
    assert!(run(&mut world, &mut rules, 33_000, false).is_err(), "b starves");
}

/// Lowers the cap of customer `a` below its two runs at 1 s, starts a third task at `ms`, and returns
/// the judge's verdict. `delay` is the last moment at which a fault delays orders.
fn start_above_cap(ms: u64, delay: Option<u64>) -> Result<(), Breach> {
    let (mut world, mut rules) = contended(8);
    for w in &mut world.workers {
        w.runs.truncate(1);
    }
    world.notes.clear();
    run(&mut world, &mut rules, 1_000, false)?;
    rules.caps.set(&CustomerId::from("a"), Size::new(1, 65_536, 16), MS(1_000));
    run(&mut world, &mut rules, ms, true)?;
    if let Some(delay) = delay {
        rules.caps.record_delay(MS(delay));
    }
    start(&mut world, 7);
    rules.check(&mut world)
}

#[test]
fn a_start_above_a_lowered_cap_is_found_during_a_fault_that_delays_no_orders() {
    // A wider bound for every fault hid such starts for nearly all of a soak.
    assert_eq!(start_above_cap(3_500, None), Ok(()), "a member may not know the cap yet");
    let breach = start_above_cap(4_500, None).expect_err("a start above the cap");
    assert!(breach.text.contains("over its cap of 1 cores"), "{breach}");
    assert_eq!(start_above_cap(4_500, Some(1_500)), Ok(()), "the order may be older than the cap");
    assert!(start_above_cap(16_750, Some(1_500)).is_err(), "15 s after the delay");
    assert!(start_above_cap(19_500, Some(19_000)).is_err(), "the order is older than 18 s");
    let delaying = [Fault::Freeze(0), Fault::CutWorkers(0), Fault::CutStore(0), Fault::Late(4)];
    assert!(delaying.iter().all(Fault::delays_orders));
    let others = [Fault::Kill(0), Fault::Down, Fault::Crash(0), Fault::Config, Fault::NoAdvice];
    assert!(!others.iter().any(Fault::delays_orders));
}
