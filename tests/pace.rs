//! Fillers beside serving tasks: their targets hold, and the processors left are used.

use {
    dogwoodreach::{
        Time,
        decide::pace::{Pace, UNKNOWN},
    },
    fastrand::Rng,
};

/// How long a task may be over its target, in milliseconds.
const HARM: u64 = 4000;
/// A moment of the fake, in milliseconds.
const MOMENT: u64 = 50;

/// How the fillers' speed is decided.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Way {
    Ours,
    /// Always at full speed.
    Full,
    /// By 10 points up or down with each figure.
    Even,
}

/// How a day went.
#[derive(Debug, Default)]
struct Seen {
    /// The longest time over the target through the fillers' doing, in milliseconds.
    longest: u64,
    /// All of it.
    over: u64,
    /// The fillers' mean speed, in hundredths.
    mean: f64,
    /// Orders of a speed.
    orders: u64,
}

/// Plays seconds of a worker: `tail` gives what the serving task's tail would be without fillers,
/// against its target, and by how much fillers at full speed lengthen it.
fn play(way: Way, seed: u64, seconds: u64, tail: impl Fn(u64) -> (f64, f64)) -> Seen {
    let (mut rng, mut pace, mut seen) = (Rng::with_seed(seed), Pace::new(), Seen::default());
    let (mut at_work, mut ordered, mut effect) = (100.0, 100u8, 0);
    let (mut figures, mut next, mut on_end) = (Vec::new(), 1000, 0);
    for t in (0..seconds * 1000).step_by(MOMENT as usize) {
        let (alone, disturbs) = tail(t);
        if t >= effect {
            at_work = f64::from(ordered);
        }
        let both = alone * (1.0 + disturbs * at_work / 100.0);
        figures.push(both);
        let harms = alone <= 1.0 && both > 1.0;
        on_end = if harms { on_end + MOMENT } else { 0 };
        seen.longest = seen.longest.max(on_end);
        seen.over += u64::from(harms) * MOMENT;
        seen.mean += at_work * MOMENT as f64 / (seconds * 1000) as f64;
        if t < next {
            continue;
        }
        next = t + rng.u64(1000..2000);
        let window = &figures[figures.len().saturating_sub(10)..];
        let mean: f64 = window.iter().sum::<f64>() / window.len() as f64;
        let rough = mean * (0.95 + 0.1 * rng.f64());
        let wanted = match way {
            Way::Ours => pace.step(Some(rough), Time::from_millis(t)),
            Way::Full => 100,
            Way::Even if rough > NEAR => ordered.saturating_sub(10),
            Way::Even => (ordered + 10).min(100),
        };
        if wanted != ordered {
            (ordered, effect) = (wanted, t + 150);
            seen.orders += 1;
        }
    }
    println!("{way:?}, seed {seed}: {seen:?}");
    seen
}

const NEAR: f64 = 0.8;

/// Values that change every 2 to 10 s, from a seed: the tail alone and the disturbance.
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
// time and too much at another. At full speed the target is passed for 4 s on end again and again;
// by even steps a change that comes at full speed takes ten figures to undo. Of what the fillers
// could do a good part is given up for that, as being over counts four times.
#[test]
fn target_holds_while_all_changes() {
    for seed in 0..20 {
        let [ours, full, even] = [Way::Ours, Way::Full, Way::Even]
            .map(|way| play(way, seed, 300, changing(seed, (0.2, 0.8), (0.1, 2.5))));
        assert!(ours.longest < HARM * 3 / 4, "{ours:?}");
        assert!(full.longest >= HARM, "{full:?}");
        assert!(ours.over * 3 < even.over && even.longest > ours.longest, "{even:?}");
        assert!(ours.mean >= 15.0, "{ours:?}");
    }
}

// The serving task's load doubles for 20 s while the fillers are at full speed. Even steps need
// most of that time to get out of the way.
#[test]
fn burst_of_the_serving_load() {
    let burst = |t| if (60_000..80_000).contains(&t) { (0.7, 0.9) } else { (0.35, 0.6) };
    let [ours, even] = [Way::Ours, Way::Even].map(|way| play(way, 1, 120, burst));
    assert!(ours.longest < HARM * 3 / 4, "{ours:?}");
    assert!(even.longest >= HARM, "{even:?}");
    assert!(ours.mean >= 55.0, "{ours:?}");
}

// Fillers that disturb a lot, for good: a fifth of their speed is all that there is room for. What
// seeks the limit at an even pace passes the target at each try.
#[test]
fn saturated_worker_settles_below_the_target() {
    let [ours, full, even] =
        [Way::Ours, Way::Full, Way::Even].map(|way| play(way, 2, 300, |_| (0.45, 5.0)));
    assert!(ours.longest < HARM && ours.over <= 10_000, "{ours:?}");
    assert!(full.longest > HARM, "{full:?}");
    assert!(ours.over < even.over, "{even:?}");
    assert!(ours.mean >= 5.0, "{ours:?}");
}

// A slow worker, where the serving task is over its target by itself for half a minute. Fillers can
// only make it worse, so they rest, and work again soon after it is well.
#[test]
fn slow_worker_gets_no_fillers_until_it_is_well() {
    let slow = |t| if (30_000..60_000).contains(&t) { (1.5, 0.5) } else { (0.3, 0.5) };
    let ours = play(Way::Ours, 3, 30, slow);
    assert!(ours.mean >= 70.0, "{ours:?}");
    let with = play(Way::Ours, 3, 60, slow);
    assert!(with.mean * 2.0 - ours.mean <= 8.0, "{with:?}");
    let after = play(Way::Ours, 3, 90, slow);
    assert!(after.mean * 3.0 - with.mean * 2.0 >= 35.0, "{after:?}");
}

// Nothing changes, and there is room: a decision at each figure must not mean an order at each.
#[test]
fn quiet_worker_needs_few_orders() {
    let seen = play(Way::Ours, 4, 300, |_| (0.3, 0.5));
    assert!(seen.orders <= 8 && seen.mean >= 95.0, "{seen:?}");
}

#[test]
fn steps_are_as_told() {
    let mut pace = Pace::new();
    let at = |s: u64| Time::from_millis(s * 1000);
    assert_eq!(pace.step(None, at(0)), 100);
    assert_eq!(pace.step(Some(UNKNOWN), at(1)), 50, "serving begins");
    assert_eq!(pace.step(Some(UNKNOWN), at(9)), 50, "nothing is known");
    assert_eq!(pace.step(Some(0.85), at(10)), 20);
    assert_eq!(pace.step(Some(0.85), at(10)), 20, "not yet seen");
    assert_eq!(pace.step(Some(0.5), at(11)), 20, "not low for long enough");
    assert_eq!(pace.step(Some(0.5), at(12)), 20);
    assert_eq!(pace.step(Some(0.5), at(13)), 30);
    assert_eq!(pace.step(Some(1.01), at(14)), 0);
    assert_eq!(pace.step(None, at(15)), 100, "nothing serves");
}
