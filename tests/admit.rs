//! Admission by deadline: bursts, saturation, stalled endpoints, and retry times.

mod fake;

use {
    dogwoodreach::{
        Kind, Ran, Time,
        decide::{admit::Gate, fair::Queue},
    },
    fake::{
        ms,
        slots::{Admission, Ending, Outcome, TimedRequest, ask, poisson_arrivals, simulate},
    },
    std::{
        collections::{BTreeMap, VecDeque},
        time::Duration,
    },
};

const SLOTS: u32 = 16;
const RUN: u64 = 50;
/// Requests per second that 16 slots can serve at 50 ms each.
const CAPACITY: f64 = 320.0;

fn gate() -> Admission {
    Admission::Gate(Box::new(Gate::new(fastrand::Rng::with_seed(7))), Queue::new(SLOTS, ms(400)))
}

/// Arrivals of 20 s from ten callers at `load` times the capacity, each due within half a second.
fn saturation(load: f64) -> Vec<TimedRequest> {
    let until = Time::from_millis(20_000);
    let rate = CAPACITY * load / 10.0;
    (0..10)
        .flat_map(|i| poisson_arrivals(i, &format!("caller{i}"), rate, until, 500, RUN))
        .collect()
}

/// Requests answered in time, relative to what the slots can serve in 20 s.
fn goodput(outcomes: &[Outcome]) -> f64 {
    outcomes.iter().filter(|o| o.good()).count() as f64 / (CAPACITY * 20.0)
}

fn percentile(outcomes: &[Outcome], percent: usize) -> Duration {
    let mut waits: Vec<_> = outcomes.iter().filter_map(Outcome::wait).collect();
    waits.sort();
    waits[waits.len() * percent / 100]
}

// Ten callers send 1.5, then 3 times what the workers can serve. With an unbounded first-come queue
// every slot stays busy and hardly any request is answered in time, because each has waited past
// its deadline when it starts. The gate must refuse at once what can't be served.
#[test]
fn goodput_holds_under_saturation() {
    for load in [1.5, 3.0] {
        let ours = simulate(saturation(load), SLOTS, gate());
        let plain = simulate(saturation(load), SLOTS, Admission::Fifo(VecDeque::new()));
        let (good, base) = (goodput(&ours), goodput(&plain));
        let expired = ours.iter().filter(|o| matches!(o.ending, Ending::Expired(_))).count();
        let (p50, p99) = (percentile(&ours, 50), percentile(&ours, 99));
        println!("load {load}: goodput {good:.3}, plain {base:.3}; wait {p50:?}, p99 {p99:?}");
        println!("  expired {expired} of {}", ours.len());
        assert!(good > 0.9, "goodput {good} at {load}");
        assert!(base < 0.2, "plain goodput {base} at {load}");
        assert!(p50 < ms(150) && p99 < ms(400));
        // Admitted requests must be served; those that expire in the queue have waited in vain.
        assert!(expired * 100 < ours.len());
    }
}

#[test]
fn refusals_say_why_and_when() {
    let outcomes = simulate(saturation(3.0), SLOTS, gate());
    let refused: Vec<_> = outcomes
        .iter()
        .filter_map(|o| if let Ending::Refused(e) = &o.ending { Some(e) } else { None })
        .collect();
    assert!(refused.len() > outcomes.len() / 2);
    for e in refused {
        assert!(matches!(e.kind(), Kind::Late | Kind::OverShare), "{e}");
        assert_eq!(e.kind().answer().ran, Ran::No);
        let delay = e.retry_after().expect("a retry delay");
        assert!(delay > Duration::ZERO && delay < Duration::from_secs(45), "{delay:?}");
    }
}

// Three hundred callers send a request at the same instant, more than can be served within the
// deadline, and then none for a while. What fits is served, at once or after a wait. The others
// must be refused immediately instead of after their deadline.
#[test]
fn burst_is_served_as_far_as_deadlines_allow() {
    let burst = || (0..300).map(|i| ask(&format!("broker{i}"), Time::ZERO, ms(500), ms(RUN)));
    let ours = simulate(burst(), SLOTS, gate());
    let plain = simulate(burst(), SLOTS, Admission::Fifo(VecDeque::new()));
    let good = |outcomes: &[Outcome]| outcomes.iter().filter(|o| o.good()).count();
    let late = |outcomes: &[Outcome]| {
        let answered = |o: &&Outcome| matches!(o.ending, Ending::Answered { .. });
        outcomes.iter().filter(answered).filter(|o| !o.good()).count()
    };
    println!("burst: good {} of 300, plain {}", good(&ours), good(&plain));
    // At most 160 can end within 500 ms.
    assert!(good(&ours) >= 110, "{}", good(&ours));
    assert_eq!(late(&ours), 0);
    assert_eq!(late(&plain), 140);
}

// A burst is refused, and each caller retries at its retry time. With one fixed delay they would
// all retry at the same instant and be refused again, as long as they keep retrying.
#[test]
fn refused_callers_come_back_at_the_drain_rate() {
    let burst = (0..2000).map(|i| ask(&format!("broker{i}"), Time::ZERO, ms(500), ms(RUN)));
    let outcomes = simulate(burst, SLOTS, gate());
    let (mut ours, mut fixed) = (BTreeMap::new(), BTreeMap::new());
    for o in &outcomes {
        let Ending::Refused(e) = &o.ending else { continue };
        let step = |d: Duration| d.as_millis() / 500;
        *ours.entry(step(e.retry_after().expect("a retry delay"))).or_insert(0) += 1;
        *fixed.entry(step(e.kind().answer().retry_after.expect("a retry delay"))).or_insert(0) += 1;
    }
    let most = |steps: &BTreeMap<u128, u32>| steps.values().copied().max();
    println!("most returns in half a second: {:?}, fixed {:?}", most(&ours), most(&fixed));
    // The slots serve 160 requests in half a second.
    assert!(most(&ours) <= Some(200));
    assert!(most(&fixed) > Some(1500));
}

// All endpoints of a service stop answering while requests wait. No request leaves the queue any
// more, so there are no new measurements. A gate that relied on the last one would admit every
// caller to wait in vain, so it must detect the gap.
#[test]
fn stalled_endpoints_close_the_gate() {
    let mut gate = Gate::new(fastrand::Rng::with_seed(1));
    let mut queue = Queue::new(SLOTS, ms(400));
    let mut admit = |i: u64, at: u64| {
        let now = Time::from_millis(at);
        let mut item = ask(&format!("caller{i}"), now, ms(5000), ms(RUN)).item;
        item.id.0 = i.into();
        let result = gate.admit(&mut queue, item, now);
        // One request leaves, so that the drain rate is known, and then none.
        if i == 40 {
            gate.pop(&mut queue, now);
        }
        result
    };
    for i in 0..=40 {
        admit(i, i).expect("room for a burst");
    }
    admit(41, 60).expect("a gap of 20 ms must not count as a stall");
    let refused = admit(42, 4000).expect_err("nothing has left the queue for four seconds");
    assert_eq!(refused.kind(), Kind::Late);
    assert!(refused.retry_after() > Some(ms(1000)), "{refused:?}");
}

// Two callers send three times what the workers can serve; twenty callers together send a tenth of
// the capacity. The twenty must be served as if the two were absent, and the two must get the
// refusals.
#[test]
fn refusals_go_to_who_sends_too_much() {
    let until = Time::from_millis(20_000);
    let asks = || {
        let heavy =
            (0..2).flat_map(|i| poisson_arrivals(i, &format!("heavy{i}"), 480.0, until, 500, RUN));
        let light =
            (2..22).flat_map(|i| poisson_arrivals(i, &format!("light{i}"), 1.6, until, 500, RUN));
        heavy.chain(light).collect::<Vec<_>>()
    };
    let served = |outcomes: &[Outcome]| {
        let light = |o: &&Outcome| o.item.caller.as_str().starts_with("light");
        let good = outcomes.iter().filter(light).filter(|o| o.good()).count();
        good as f64 / outcomes.iter().filter(light).count() as f64
    };
    let ours = simulate(asks(), SLOTS, gate());
    let plain = simulate(asks(), SLOTS, Admission::Fifo(VecDeque::new()));
    let (light, base, all) = (served(&ours), served(&plain), goodput(&ours));
    println!("light callers served {light:.3}, plain {base:.3}; goodput {all:.3}");
    assert!(light > 0.95 && all > 0.9);
    assert!(base < 0.2);
}

// Model runs of two seconds at 1.5 times the capacity, together with quotes of 20 ms that are due
// within a fifth of a second. Neither may be refused because of the other.
#[test]
fn long_and_short_are_admitted_apart() {
    let until = Time::from_millis(60_000);
    let asks = || {
        let long = |i| poisson_arrivals(i, &format!("models{i}"), 0.6, until, 20_000, 2000);
        let short = poisson_arrivals(30, "quotes", 40.0, until, 200, 20);
        (0..20).flat_map(long).chain(short).collect::<Vec<_>>()
    };
    let good = |outcomes: &[Outcome], who: &str| {
        let of = |o: &&Outcome| o.item.caller.as_str().starts_with(who);
        outcomes.iter().filter(of).filter(|o| o.good()).count()
    };
    let ours = simulate(asks(), SLOTS, gate());
    let plain = simulate(asks(), SLOTS, Admission::Fifo(VecDeque::new()));
    let (quotes, models) = (good(&ours, "quotes"), good(&ours, "models"));
    let (plain_quotes, plain_models) = (good(&plain, "quotes"), good(&plain, "models"));
    println!("quotes {quotes}, plain {plain_quotes}; models {models}, {plain_models}");
    assert!(quotes > 2300 && plain_quotes < 1200);
    // Twelve slots serve 360 model runs in a minute.
    assert!(models > 330);
}

// Workers run every request three times as slowly as expected. The measured drain rate must show
// this: a gate that trusts the expected run times would admit three times what can be served.
#[test]
fn drain_rate_is_measured() {
    let slow = saturation(1.0).into_iter().map(|a| TimedRequest { run_time: a.run_time * 3, ..a });
    let outcomes = simulate(slow, SLOTS, gate());
    let expired = outcomes.iter().filter(|o| matches!(o.ending, Ending::Expired(_))).count();
    println!("three times as slow: expired {expired} of {}", outcomes.len());
    assert!(expired * 50 < outcomes.len());
}

#[test]
fn no_slots_and_expiry_are_told_apart() {
    let mut gate = Gate::new(fastrand::Rng::with_seed(1));
    let (mut none, mut queue) = (Queue::new(0, ms(400)), Queue::new(1, ms(400)));
    let asked = ask("clerk", Time::ZERO, ms(500), ms(RUN)).item;
    let refused = gate.admit(&mut none, asked.clone(), Time::ZERO).expect_err("no slots");
    assert_eq!(refused.kind(), Kind::NoEndpoint);
    gate.admit(&mut queue, asked, Time::ZERO).expect("an empty queue");
    let now = Time::from_millis(451);
    let [late] = &queue.expire(now)[..] else { panic!("the deadline can no longer be met") };
    let error = gate.expiry_error(&queue, late, now);
    assert_eq!((error.kind(), error.kind().answer().ran), (Kind::Expired, Ran::No));
    // Nothing has left the queue for 451 ms, so this is the expected time per request.
    assert!(error.retry_after().is_some_and(|b| b >= ms(451) && b <= ms(677)), "{error:?}");
}
