//! Choice of endpoint and ejection: a slow endpoint, its recovery, and endpoints that fail.

mod fake;

use {
    dogwoodreach::{
        Time,
        decide::{choose::Scores, eject::Ejector},
        ids::WorkerId,
    },
    fake::{Agenda, exp, ms},
    std::{
        collections::{BTreeMap, VecDeque},
        ops::Range,
        time::Duration,
    },
};

const WORKERS: usize = 10;
const SLOTS: u32 = 8;
const RUN: Duration = ms(50);

fn worker(i: usize) -> WorkerId {
    WorkerId::from(&*format!("worker{i}"))
}

/// What worker 0 does with a request at a time; the others run it as expected.
enum Deed {
    Slower(f64),
    Fail,
}

struct Played {
    times: Vec<Duration>,
    failed: usize,
    /// Requests that worker 0 was given, by second.
    given: BTreeMap<u64, u32>,
}

impl Played {
    fn given(&self, seconds: Range<u64>) -> u32 {
        self.given.range(seconds).map(|(_, n)| n).sum()
    }

    fn p99(&self) -> Duration {
        let mut times = self.times.clone();
        times.sort();
        times[times.len() * 99 / 100]
    }
}

/// Plays 20 s at `load` parts of the capacity; `ours` or a random free endpoint.
fn play(ours: bool, load: f64, deed: impl Fn(Time) -> Deed) -> Played {
    let mut rng = fastrand::Rng::with_seed(3);
    let (mut scores, mut ejector) =
        (Scores::new(fastrand::Rng::with_seed(4)), Ejector::new(WORKERS));
    let mut busy = [0; WORKERS];
    (0..WORKERS).for_each(|i| scores.add(worker(i), SLOTS, Time::ZERO));
    let (mut agenda, mut waiting) = (Agenda::new(), VecDeque::new());
    let (mut now, gap) = (Time::ZERO, RUN.div_f64(load * f64::from(SLOTS) * WORKERS as f64));
    while now < Time::from_millis(20_000) {
        now = now + exp(&mut rng, gap);
        agenda.add(now, None);
    }
    let mut played = Played { times: Vec::new(), failed: 0, given: BTreeMap::new() };
    while let Some((now, event)) = agenda.next() {
        match event {
            None => waiting.push_back(now),
            Some((at, born, ran, failed)) => {
                let name = worker(at);
                busy[at] -= 1;
                if failed {
                    played.failed += 1;
                    scores.release(&name);
                    if ejector.failed(&name, now) {
                        scores.restart(&name, now);
                    }
                } else {
                    played.times.push(now.since(born));
                    let slowness = scores.answered(&name, RUN, ran, now);
                    if ejector.answered(&name, slowness, now) {
                        scores.restart(&name, now);
                    }
                }
            }
        }
        while let Some(&born) = waiting.front() {
            let free: Vec<_> = (0..WORKERS).filter(|&i| busy[i] < SLOTS).collect();
            let random = rng.choice(&free).copied();
            let picked = match ours {
                true => scores.pick(&ejector, now).map(|w| {
                    let number = w.as_str().strip_prefix("worker").expect("a worker");
                    number.parse().expect("its number")
                }),
                false => random,
            };
            let Some(at) = picked else { break };
            waiting.pop_front();
            busy[at] += 1;
            let (mut ran, mut failed) = (exp(&mut rng, RUN), false);
            if at == 0 {
                *played.given.entry(now.0 / 1_000_000).or_insert(0) += 1;
                match deed(now) {
                    Deed::Slower(by) => ran = ran.mul_f64(by),
                    Deed::Fail => (ran, failed) = (ms(1), true),
                }
            }
            agenda.add(now + ran, Some((at, born, ran, failed)));
        }
    }
    played
}

// One worker of ten runs everything six times as slow. Chosen at random it is given a request
// whenever a slot of it is free, so one caller in thirty waits for it. It is to get little.
#[test]
fn slow_endpoint_gets_little() {
    let ours = play(true, 0.7, |_| Deed::Slower(6.0));
    let base = play(false, 0.7, |_| Deed::Slower(6.0));
    let given = |p: &Played| p.given(2..20);
    println!("slow endpoint was given {} and {}", given(&ours), given(&base));
    println!("p99 {:?}, random {:?}", ours.p99(), base.p99());
    assert!(given(&ours) * 4 < given(&base));
    // The runs by themselves, with no wait and no slow worker, have theirs at 230 ms.
    assert!(ours.p99() < ms(245) && base.p99() > ms(300));
}

// The same at 95% of the capacity: the other slots are nearly always taken, so that a choice among
// free ones would fill up the slow worker whatever it knows.
#[test]
fn slow_endpoint_gets_little_under_high_load() {
    let ours = play(true, 0.95, |_| Deed::Slower(6.0));
    let base = play(false, 0.95, |_| Deed::Slower(6.0));
    let (given, random) = (ours.given(2..20), base.given(2..20));
    println!("high load: slow endpoint was given {given} and {random}");
    assert!(given * 4 < random);
}

#[test]
fn somewhat_slower_endpoint_gets_somewhat_less() {
    let ours = play(true, 0.5, |_| Deed::Slower(1.7));
    let base = play(false, 0.5, |_| Deed::Slower(1.7));
    let (given, random) = (ours.given(2..20), base.given(2..20));
    println!("1.7 times as slow: given {given} and {random}");
    assert!(given * 4 < random * 3);
    assert!(given * 4 > random);
}

// The service is nearly idle, so that a better endpoint than the slow one is always free, also
// when the slow one is well again. Were it not tried now and then, it would stay out for good.
#[test]
fn recovery_is_seen_by_an_idle_service() {
    let deed = |now| Deed::Slower(if now < Time::from_millis(8000) { 6.0 } else { 1.0 });
    let ours = play(true, 0.02, deed);
    println!("idle: given by second {:?}", ours.given);
    assert!(ours.given(14..20) > 6);
}

// The slow worker is well again after eight seconds. It gets so little that its recovery could go
// unseen for good; and given its full share at once it might fall back. It must return by steps.
#[test]
fn recovered_endpoint_comes_back_by_steps() {
    let deed = |now| Deed::Slower(if now < Time::from_millis(8000) { 6.0 } else { 1.0 });
    let ours = play(true, 0.7, deed);
    println!("given by second {:?}", ours.given);
    let share = 112;
    assert!((2..8).all(|s| ours.given(s..s + 1) < share / 5));
    assert!(ours.given(17..20) > 3 * share * 2 / 3);
}

#[test]
fn new_endpoint_starts_with_one_slot() {
    let (mut scores, ejector) = (Scores::new(fastrand::Rng::with_seed(1)), Ejector::new(1));
    scores.add(worker(0), SLOTS, Time::ZERO);
    let mut steps = Vec::new();
    for _ in 0..5 {
        let picked: Vec<_> = std::iter::from_fn(|| scores.pick(&ejector, Time::ZERO)).collect();
        steps.push(picked.len());
        for w in picked {
            scores.answered(&w, RUN, RUN, Time::ZERO);
        }
    }
    assert_eq!(steps, [1, 2, 4, 8, 8]);
}

// A worker fails everything within a millisecond. Its slots are always free, so that without
// ejection it fails a large part of all requests, far more than its tenth.
#[test]
fn failing_endpoint_is_taken_out() {
    let ours = play(true, 0.7, |_| Deed::Fail);
    let base = play(false, 0.7, |_| Deed::Fail);
    println!("failed {} of {}", ours.failed, ours.failed + ours.times.len());
    println!("failed, random {} of {}", base.failed, base.failed + base.times.len());
    // Five in a row, one probe each after 5 and 15 s, and what was in flight.
    assert!(ours.failed < 20);
    assert!(base.failed > 2000);
}

#[test]
fn ejections_grow_and_a_single_request_probes() {
    let (mut ejector, w) = (Ejector::new(3), worker(0));
    let mut now = Time::ZERO;
    assert_eq!((0..5).filter(|_| ejector.failed(&w, now)).count(), 1);
    for length in [5, 10, 20, 40] {
        assert!(!ejector.allows(&w, 0, now + Duration::from_secs(length) - ms(1)));
        now = now + Duration::from_secs(length);
        assert!(ejector.allows(&w, 0, now) && !ejector.allows(&w, 1, now));
        assert!(ejector.failed(&w, now), "a failed probe ejects");
    }
    assert!(!ejector.answered(&w, 1.0, now), "an answer to an older request");
    now = now + Duration::from_secs(80);
    assert!(ejector.answered(&w, 1.0, now));
    assert!(ejector.allows(&w, 7, now));
}

// The database behind all workers fails, and with it every request. Were every worker ejected,
// nothing could be served when it comes back, and nothing would notice that it has.
#[test]
fn two_thirds_of_a_pool_stay() {
    let mut ejector = Ejector::new(WORKERS);
    for _ in 0..20 {
        for i in 0..WORKERS {
            ejector.failed(&worker(i), Time::ZERO);
        }
    }
    let open = (0..WORKERS).filter(|&i| ejector.allows(&worker(i), 0, Time::ZERO));
    assert_eq!((open.count(), ejector.out()), (7, 3));
    for i in 0..WORKERS {
        ejector.answered(&worker(i), 100.0, Time::ZERO);
    }
    assert_eq!(ejector.out(), 3);
}

#[test]
fn far_slower_than_peers_is_taken_out() {
    let mut ejector = Ejector::new(WORKERS);
    ejector.answered(&worker(0), 4.0, Time::ZERO);
    assert_eq!(ejector.out(), 0);
    ejector.answered(&worker(0), 9.0, Time::ZERO);
    assert!(!ejector.allows(&worker(0), 0, Time::ZERO));
}
