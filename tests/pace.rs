//! Fillers beside serving tasks: targets must hold, and the remaining processors must be used.

use {
    dogwoodreach::{
        Time,
        decide::pace::{Pace, UNMEASURED_TAIL_RATIO},
    },
    fastrand::Rng,
};

/// Longest time that a task may exceed its target, in milliseconds.
const MAX_EXCESS_MS: u64 = 4000;
/// Time step of the simulation, in milliseconds.
const STEP_MS: u64 = 50;

/// How the speed of the fillers is controlled.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Policy {
    Ours,
    /// Always at full speed.
    Full,
    /// By 10 points up or down with each measurement.
    Even,
}

/// Results of a run.
#[derive(Debug, Default)]
struct Results {
    /// Longest time over the target that is caused by the fillers, in milliseconds.
    longest: u64,
    /// Total of these times.
    over: u64,
    /// Mean speed of the fillers, in percent.
    mean: f64,
    /// Number of speed orders.
    orders: u64,
}

/// Simulates a worker. `tail` gives the serving task's tail latency without fillers, relative to
/// its target, and the factor by which fillers at full speed extend it.
fn play(policy: Policy, seed: u64, seconds: u64, tail: impl Fn(u64) -> (f64, f64)) -> Results {
    let (mut rng, mut pace, mut results) = (Rng::with_seed(seed), Pace::new(), Results::default());
    let (mut at_work, mut ordered, mut effect) = (100.0, 100u8, 0);
    let (mut measurements, mut next, mut excess) = (Vec::new(), 1000, 0);
    for t in (0..seconds * 1000).step_by(STEP_MS as usize) {
        let (alone, disturbs) = tail(t);
        if t >= effect {
            at_work = f64::from(ordered);
        }
        let both = alone * (1.0 + disturbs * at_work / 100.0);
        measurements.push(both);
        let exceeds = alone <= 1.0 && both > 1.0;
        excess = if exceeds { excess + STEP_MS } else { 0 };
        results.longest = results.longest.max(excess);
        results.over += u64::from(exceeds) * STEP_MS;
        results.mean += at_work * STEP_MS as f64 / (seconds * 1000) as f64;
        if t < next {
            continue;
        }
        next = t + rng.u64(1000..2000);
        let window = &measurements[measurements.len().saturating_sub(10)..];
        let mean: f64 = window.iter().sum::<f64>() / window.len() as f64;
        let rough = mean * (0.95 + 0.1 * rng.f64());
        let wanted = match policy {
            Policy::Ours => pace.update(Some(rough), Time::from_millis(t)),
            Policy::Full => 100,
            Policy::Even if rough > HALVE_RATIO => ordered.saturating_sub(10),
            Policy::Even => (ordered + 10).min(100),
        };
        if wanted != ordered {
            (ordered, effect) = (wanted, t + 150);
            results.orders += 1;
        }
    }
    println!("{policy:?}, seed {seed}: {results:?}");
    results
}

const HALVE_RATIO: f64 = 0.8;

/// Tail latency and disturbance that change every 2 to 10 s, drawn from a seed.
fn changing(seed: u64, alone: (f64, f64), disturbs: (f64, f64)) -> impl Fn(u64) -> (f64, f64) {
    let mut rng = Rng::with_seed(seed);
    let mut between = |(low, high): (f64, f64)| low + (high - low) * rng.f64();
    let spans: Vec<_> = (0..200)
        .map(|_| (between((2000.0, 10_000.0)) as u64, between(alone), between(disturbs)))
        .collect();
    move |t| {
        let mut from = 0;
        let here = spans.iter().find(|(span, ..)| {
            from += span;
            t < from
        });
        here.map_or((0.5, 0.5), |&(_, alone, disturbs)| (alone, disturbs))
    }
}

// Load and disturbance change every few seconds, so that fillers at full speed are harmless at one
// time and too much at another. At full speed the target is exceeded for 4 s in a row again and
// again; by even steps, a change that occurs at full speed takes ten measurements to undo. A good
// part of what the fillers could do is given up for this, because time over the target counts four
// times.
#[test]
fn target_holds_while_all_changes() {
    for seed in 0..20 {
        let [ours, full, even] = [Policy::Ours, Policy::Full, Policy::Even]
            .map(|policy| play(policy, seed, 300, changing(seed, (0.2, 0.8), (0.1, 2.5))));
        assert!(ours.longest < MAX_EXCESS_MS * 3 / 4, "{ours:?}");
        assert!(full.longest >= MAX_EXCESS_MS, "{full:?}");
        assert!(ours.over * 3 < even.over && even.longest > ours.longest, "{even:?}");
        assert!(ours.mean >= 15.0, "{ours:?}");
    }
}

// The serving task's load doubles for 20 s while the fillers are at full speed. Even steps need
// most of that time to slow the fillers enough.
#[test]
fn burst_of_the_serving_load() {
    let burst = |t| if (60_000..80_000).contains(&t) { (0.7, 0.9) } else { (0.35, 0.6) };
    let [ours, even] = [Policy::Ours, Policy::Even].map(|policy| play(policy, 1, 120, burst));
    assert!(ours.longest < MAX_EXCESS_MS * 3 / 4, "{ours:?}");
    assert!(even.longest >= MAX_EXCESS_MS, "{even:?}");
    assert!(ours.mean >= 55.0, "{ours:?}");
}

// The fillers disturb a lot all the time, and there is room for a fifth of their speed only. A
// controller that approaches the limit in even steps exceeds the target at each attempt.
#[test]
fn saturated_worker_settles_below_the_target() {
    let [ours, full, even] = [Policy::Ours, Policy::Full, Policy::Even]
        .map(|policy| play(policy, 2, 300, |_| (0.45, 5.0)));
    assert!(ours.longest < MAX_EXCESS_MS && ours.over <= 10_000, "{ours:?}");
    assert!(full.longest > MAX_EXCESS_MS, "{full:?}");
    assert!(ours.over < even.over, "{even:?}");
    assert!(ours.mean >= 5.0, "{ours:?}");
}

// The worker is slow, so that the serving task exceeds its target for half a minute even without
// fillers. Fillers would make this worse, so they must stop, and work again soon after the
// recovery.
#[test]
fn slow_worker_gets_no_fillers_until_it_is_well() {
    let slow = |t| if (30_000..60_000).contains(&t) { (1.5, 0.5) } else { (0.3, 0.5) };
    let ours = play(Policy::Ours, 3, 30, slow);
    assert!(ours.mean >= 70.0, "{ours:?}");
    let with = play(Policy::Ours, 3, 60, slow);
    assert!(with.mean * 2.0 - ours.mean <= 8.0, "{with:?}");
    let after = play(Policy::Ours, 3, 90, slow);
    assert!(after.mean * 3.0 - with.mean * 2.0 >= 35.0, "{after:?}");
}

// Load and disturbance are constant, and there is room: not every measurement must cause an order.
#[test]
fn quiet_worker_needs_few_orders() {
    let results = play(Policy::Ours, 4, 300, |_| (0.3, 0.5));
    assert!(results.orders <= 8 && results.mean >= 95.0, "{results:?}");
}

#[test]
fn steps_are_as_told() {
    let mut pace = Pace::new();
    let at = |s: u64| Time::from_millis(s * 1000);
    assert_eq!(pace.update(None, at(0)), 100);
    assert_eq!(pace.update(Some(UNMEASURED_TAIL_RATIO), at(1)), 50, "a task begins to serve");
    assert_eq!(
        pace.update(Some(UNMEASURED_TAIL_RATIO), at(9)),
        50,
        "without a measurement the speed stays"
    );
    assert_eq!(pace.update(Some(0.85), at(10)), 20);
    assert_eq!(pace.update(Some(0.85), at(10)), 20, "the last halving has no effect yet");
    assert_eq!(pace.update(Some(0.5), at(11)), 20, "not low for long enough");
    assert_eq!(pace.update(Some(0.5), at(12)), 20);
    assert_eq!(pace.update(Some(0.5), at(13)), 30);
    assert_eq!(pace.update(Some(1.01), at(14)), 0);
    assert_eq!(pace.update(None, at(15)), 100, "no task serves");
}
