//! Fair order: heavy callers, weights, wrong estimates, long among short requests, expiry and
//! bounds.

mod fake;

use {
    dogwoodreach::{
        Kind, Time,
        decide::fair::{Item, Queue},
        ids::RequestId,
    },
    fake::{
        ms,
        slots::{Admission, Outcome, TimedRequest, ask, poisson_arrivals, simulate},
    },
    std::{
        collections::{BTreeMap, VecDeque},
        time::Duration,
    },
};

const LONG: Duration = ms(400);
/// Number of bytes of one random run, which is the lower half of its seed.
const SIZE: u64 = 4096;

fn item(id: u128, caller: &str, run: Duration) -> Item {
    let far = Duration::from_secs(3600);
    Item { id: RequestId(id), ..ask(caller, Time::ZERO, far, run).item }
}

/// 95th percentile of the waits of the callers whose names start with `who`.
fn wait(outcomes: &[Outcome], who: &str) -> Duration {
    let of = |o: &&Outcome| o.item.caller.as_str().starts_with(who);
    let mut waits: Vec<_> = outcomes.iter().filter(of).filter_map(Outcome::wait).collect();
    waits.sort();
    waits[waits.len() * 95 / 100]
}

fn plain() -> Admission {
    Admission::Fifo(VecDeque::new())
}

// The whole load is 1.2 times the capacity: two callers send 80% of it, and twenty others a little
// each. In first-come order all callers wait behind the two. In fair order only the two wait.
#[test]
fn heavy_callers_delay_only_themselves() {
    let until = Time::from_millis(10_000);
    let asks = || {
        let heavy = (0..2)
            .flat_map(|i| poisson_arrivals(i, &format!("heavy{i}"), 154.0, until, 60_000, 50));
        let light =
            (2..22).flat_map(|i| poisson_arrivals(i, &format!("light{i}"), 3.8, until, 60_000, 50));
        heavy.chain(light).collect::<Vec<_>>()
    };
    let ours = simulate(asks(), 16, Admission::Fair(Queue::new(16, LONG)));
    let base = simulate(asks(), 16, plain());
    let (light, plain, heavy) = (wait(&ours, "light"), wait(&base, "light"), wait(&ours, "heavy"));
    println!("light callers wait {light:?}, plain {plain:?}; heavy callers wait {heavy:?}");
    assert!(light < ms(200));
    assert!(plain > ms(1000) && heavy > ms(1000));
}

#[test]
fn teams_are_served_by_weight() {
    let mut queue = Queue::new(8, LONG);
    queue.set_weight("insurer".into(), 3);
    for i in 0..60 {
        let team = if i % 2 == 0 { "insurer" } else { "surveyor" };
        queue.push(item(i, team, ms(10)), Time::ZERO).expect("room");
    }
    let mut served = BTreeMap::new();
    for _ in 0..32 {
        let next = queue.pop(Time::ZERO).expect("waiting");
        *served.entry(next.team.to_string()).or_insert(0) += 1;
    }
    assert_eq!(served["insurer"], 24);
    assert_eq!(served["surveyor"], 8);
}

// A caller declares 10 ms for requests that run for 100 ms; another declares the true time. If the
// first were charged what it declared, it would get ten times the slots of the second.
#[test]
fn wrong_estimates_buy_nothing() {
    let mut queue = Queue::new(1, Duration::from_secs(1));
    let mut ran = BTreeMap::new();
    for (id, (who, run)) in [("liar", ms(10)), ("honest", ms(100))].repeat(5).iter().enumerate() {
        queue.push(item(id as u128, who, *run), Time::ZERO).expect("room");
    }
    for id in 10..410 {
        let next = queue.pop(Time::ZERO).expect("waiting");
        queue.record_end(&next, ms(100));
        *ran.entry(next.caller.to_string()).or_insert(0) += 1;
        queue.push(Item { id: RequestId(id), ..next }, Time::ZERO).expect("room");
    }
    println!("runs {ran:?}");
    assert!(ran["liar"] * 2 < ran["honest"] * 3, "{ran:?}");
}

// One caller has been served alone for long when another one arrives. If the second got the service
// that it might have had before, it would block the first for as long as it was absent.
#[test]
fn time_away_earns_nothing() {
    let mut queue = Queue::new(8, LONG);
    let push = |queue: &mut Queue, id, caller: &str, team: &str| {
        let item = Item { team: team.into(), ..item(id, caller, ms(10)) };
        queue.push(item, Time::ZERO).expect("room");
    };
    for (other, team) in [("second", "first"), ("second", "second")] {
        for id in 0..60 {
            push(&mut queue, id, "first", "first");
        }
        for _ in 0..30 {
            queue.pop(Time::ZERO);
        }
        for id in 100..130 {
            push(&mut queue, id, other, team);
        }
        let next = (0..20).filter_map(|_| queue.pop(Time::ZERO));
        let first = next.filter(|i| i.caller.as_str() == "first").count();
        assert!((9..=11).contains(&first), "{first} of 20");
        while queue.pop(Time::ZERO).is_some() {}
    }
}

// Model runs of two seconds arrive at 1.5 times the capacity, among quotes that run for 20 ms. In
// first-come order each quote waits for models to end. Even in fair order models may occupy all
// slots when a quote arrives, unless some slots are reserved for short work.
#[test]
fn short_work_finds_room_among_long() {
    let until = Time::from_millis(20_000);
    let asks = || {
        let long = poisson_arrivals(1, "models", 12.0, until, 60_000, 2000);
        let short = poisson_arrivals(2, "quotes", 40.0, until, 60_000, 20);
        long.into_iter().chain(short).collect::<Vec<_>>()
    };
    let ours = simulate(asks(), 16, Admission::Fair(Queue::new(16, LONG)));
    let unreserved = simulate(asks(), 16, Admission::Fair(Queue::new(16, Duration::MAX)));
    let base = simulate(asks(), 16, plain());
    let waits = [&ours, &unreserved, &base].map(|outcomes| wait(outcomes, "quotes"));
    println!("short work waits {waits:?}: ours, no slots reserved, plain");
    assert!(waits[0] < ms(20));
    assert!(waits[1] > ms(100) && waits[2] > ms(2000));
}

#[test]
fn long_work_alone_has_all_slots() {
    let mut queue = Queue::new(4, LONG);
    let at = |s: u64| Time::from_millis(s * 1000);
    queue.push(item(0, "quotes", ms(10)), at(0)).expect("room");
    for i in 1..=8 {
        queue.push(item(i, "models", ms(2000)), at(0)).expect("room");
    }
    let first: Vec<_> = std::iter::from_fn(|| queue.pop(at(0))).map(|i| i.run_time).collect();
    assert_eq!(first, [ms(10), ms(2000), ms(2000), ms(2000)]);
    // No short work has arrived for ten seconds.
    assert!(queue.pop(at(11)).is_some());
    assert!(queue.pop(at(11)).is_none());
}

// Requests wait while no slot becomes free. Those whose deadline can no longer be met are returned,
// to be answered at once, and are never started: a start would waste a slot on a late answer.
#[test]
fn what_cannot_end_in_time_is_not_started() {
    let mut queue = Queue::new(1, LONG);
    for i in 0..10 {
        let due = ms(100 + 100 * i);
        let asked = ask("clerk", Time::ZERO, due, ms(50)).item;
        queue.push(Item { id: RequestId(i.into()), ..asked }, Time::ZERO).expect("room");
    }
    let now = Time::from_millis(351);
    assert_eq!(queue.pop(now).map(|i| i.id), Some(RequestId(4)), "due at 500");
    let expired: Vec<_> = queue.expire(now).iter().map(|i| i.id.0).collect();
    assert_eq!(expired, [0, 1, 2, 3]);
    assert_eq!(queue.expire(now), []);
    let late = ask("clerk", now, ms(40), ms(50)).item;
    assert_eq!(queue.push(late, now).expect_err("too short").kind(), Kind::Late);
}

#[test]
fn one_caller_fills_half_the_queue() {
    let mut queue = Queue::new(8, LONG);
    let mut push = |id, caller: &str| queue.push(item(id, caller, ms(10)), Time::ZERO);
    let admitted = (0..1000).take_while(|&i| push(i, "heavy").is_ok()).count();
    assert_eq!(admitted, 128);
    assert_eq!(push(2000, "heavy").expect_err("over").kind(), Kind::OverShare);
    push(2001, "light").expect("room for others");
    let all = (3000..4000).filter(|&i| push(i, &format!("caller{i}")).is_ok()).count();
    assert_eq!(all, 127);
    assert_eq!(push(5000, "late").expect_err("full").kind(), Kind::QueueFull);
}

// Callers push, cancel, start and end requests in random order. Each request must be returned
// exactly once: started, expired or cancelled. A lost one would leave its caller without an answer.
#[test]
fn each_request_comes_out_once() {
    let play = |u: &mut arbtest::arbitrary::Unstructured<'_>| {
        assert!(u.len() == SIZE as usize);
        let mut queue = Queue::new(4, LONG);
        let (mut now, mut inside, mut running) = (Time::ZERO, BTreeMap::new(), Vec::new());
        for id in 0..u.int_in_range(1..=60)? {
            now = now + ms(u.int_in_range(0..=200)?);
            let run = ms(*u.choose(&[1, 50, 400, 900])?);
            let who = *u.choose(&["a", "b", "c"])?;
            let TimedRequest { item, .. } = ask(who, now, ms(u.int_in_range(0..=2000)?), run);
            let item = Item { id: RequestId(id), team: (*u.choose(&["x", "y"])?).into(), ..item };
            if queue.push(item.clone(), now).is_ok() {
                inside.insert(item.id, item);
            }
            let out = match u.int_in_range(0..=3)? {
                0 => queue.pop(now).inspect(|i| running.push(i.clone())).into_iter().collect(),
                1 => queue.expire(now),
                2 => queue.cancel(RequestId(u.int_in_range(0..=id)?)).into_iter().collect(),
                _ => {
                    running.pop().iter().for_each(|i| queue.record_end(i, i.run_time * 2));
                    Vec::new()
                }
            };
            for item in out {
                assert_eq!(inside.remove(&item.id), Some(item));
            }
        }
        let end = Time::from_millis(1_000_000);
        for item in queue.expire(end) {
            assert_eq!(inside.remove(&item.id), Some(item));
        }
        assert!(inside.is_empty() && queue.is_empty());
        Ok(())
    };
    for seed in 0..500 {
        arbtest::arbtest(play).seed(seed << 32 | SIZE).run();
    }
}
