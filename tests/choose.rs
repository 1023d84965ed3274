//! Choice and ejection of endpoints: a slow endpoint, its recovery, and failing endpoints.

mod fake;

use {
    dogwoodreach::{
        Time,
        decide::{choose::Scores, eject::Ejector},
        ids::WorkerId,
    },
    fake::{EventQueue, exponential, ms},
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

/// The fault of worker 0; the other workers run requests as expected.
enum Fault {
    Slow(f64),
    Fail,
}

struct Played {
    times: Vec<Duration>,
    failed: usize,
    /// Requests sent to worker 0, by second.
    received: BTreeMap<u64, u32>,
}

impl Played {
    fn received(&self, seconds: Range<u64>) -> u32 {
        self.received.range(seconds).map(|(_, n)| n).sum()
    }

    fn p99(&self) -> Duration {
        let mut times = self.times.clone();
        times.sort();
        times[times.len() * 99 / 100]
    }
}

/// Plays 20 s at `load` times the capacity, with `Scores` if `ours`, and otherwise with a random
/// free endpoint.
fn play(ours: bool, load: f64, fault: impl Fn(Time) -> Fault) -> Played {
    let mut rng = fastrand::Rng::with_seed(3);
    let (mut scores, mut ejector) =
        (Scores::new(fastrand::Rng::with_seed(4)), Ejector::new(WORKERS));
    let mut busy = [0; WORKERS];
    (0..WORKERS).for_each(|i| scores.add(worker(i), SLOTS, Time::ZERO));
    let (mut agenda, mut waiting) = (EventQueue::new(), VecDeque::new());
    let (mut now, gap) = (Time::ZERO, RUN.div_f64(load * f64::from(SLOTS) * WORKERS as f64));
    while now < Time::from_millis(20_000) {
        now = now + exponential(&mut rng, gap);
        agenda.add(now, None);
    }
    let mut played = Played { times: Vec::new(), failed: 0, received: BTreeMap::new() };
    while let Some((now, event)) = agenda.next() {
        match event {
            None => waiting.push_back(now),
            Some((at, arrived_at, ran, failed)) => {
                let name = worker(at);
                busy[at] -= 1;
                if failed {
                    played.failed += 1;
                    scores.release(&name);
                    if ejector.record_failure(&name, now) {
                        scores.reset(&name, now);
                    }
                } else {
                    played.times.push(now.since(arrived_at));
                    let slowness = scores.record_answer(&name, RUN, ran, now);
                    if ejector.record_answer(&name, slowness, now) {
                        scores.reset(&name, now);
                    }
                }
            }
        }
        while let Some(&arrived_at) = waiting.front() {
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
            let (mut ran, mut failed) = (exponential(&mut rng, RUN), false);
            if at == 0 {
                *played.received.entry(now.0 / 1_000_000).or_insert(0) += 1;
                match fault(now) {
                    Fault::Slow(factor) => ran = ran.mul_f64(factor),
                    Fault::Fail => (ran, failed) = (ms(1), true),
                }
            }
            agenda.add(now + ran, Some((at, arrived_at, ran, failed)));
        }
    }
    played
}

// One worker of ten is six times as slow. A random choice sends it a request whenever one of its
// slots is free, so one caller in thirty waits for it. It must get few requests.
#[test]
fn slow_endpoint_gets_little() {
    let ours = play(true, 0.7, |_| Fault::Slow(6.0));
    let base = play(false, 0.7, |_| Fault::Slow(6.0));
    let received = |p: &Played| p.received(2..20);
    println!("slow endpoint received {} and {}", received(&ours), received(&base));
    println!("p99 {:?}, random {:?}", ours.p99(), base.p99());
    assert!(received(&ours) * 4 < received(&base));
    // The 99th percentile of the runs alone, without waits and slow workers, is 230 ms.
    assert!(ours.p99() < ms(245) && base.p99() > ms(300));
}

// The same at 95% of the capacity: the other slots are nearly always in use, so that a choice among
// the free ones would fill up the slow worker, whatever its score.
#[test]
fn slow_endpoint_gets_little_under_high_load() {
    let ours = play(true, 0.95, |_| Fault::Slow(6.0));
    let base = play(false, 0.95, |_| Fault::Slow(6.0));
    let (received, random) = (ours.received(2..20), base.received(2..20));
    println!("high load: slow endpoint received {received} and {random}");
    assert!(received * 4 < random);
}

#[test]
fn somewhat_slower_endpoint_gets_somewhat_less() {
    let ours = play(true, 0.5, |_| Fault::Slow(1.7));
    let base = play(false, 0.5, |_| Fault::Slow(1.7));
    let (received, random) = (ours.received(2..20), base.received(2..20));
    println!("1.7 times as slow: received {received} and {random}");
    assert!(received * 4 < random * 3);
    assert!(received * 4 > random);
}

// The service is nearly idle, so a better endpoint than the slow one is always free, even after the
// slow one has recovered. If it weren't tried occasionally, it would never be used again.
#[test]
fn recovery_is_seen_by_an_idle_service() {
    let fault = |now| Fault::Slow(if now < Time::from_millis(8000) { 6.0 } else { 1.0 });
    let ours = play(true, 0.02, fault);
    println!("idle: received per second {:?}", ours.received);
    assert!(ours.received(14..20) > 6);
}

// The slow worker recovers after eight seconds. It gets so few requests that the recovery could go
// unnoticed; with its full share at once it might become slow again. Its share must grow in stages.
#[test]
fn recovered_endpoint_comes_back_by_steps() {
    let fault = |now| Fault::Slow(if now < Time::from_millis(8000) { 6.0 } else { 1.0 });
    let ours = play(true, 0.7, fault);
    println!("received per second {:?}", ours.received);
    let share = 112;
    assert!((2..8).all(|s| ours.received(s..s + 1) < share / 5));
    assert!(ours.received(17..20) > 3 * share * 2 / 3);
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
            scores.record_answer(&w, RUN, RUN, Time::ZERO);
        }
    }
    assert_eq!(steps, [1, 2, 4, 8, 8]);
}

// A worker fails every request within a millisecond. Its slots are always free, so that without
// ejection it fails far more than a tenth of all requests.
#[test]
fn failing_endpoint_is_taken_out() {
    let ours = play(true, 0.7, |_| Fault::Fail);
    let base = play(false, 0.7, |_| Fault::Fail);
    println!("failed {} of {}", ours.failed, ours.failed + ours.times.len());
    println!("failed, random {} of {}", base.failed, base.failed + base.times.len());
    // Five in a row, one trial each after 5 and 15 s, and the requests in flight.
    assert!(ours.failed < 20);
    assert!(base.failed > 2000);
}

#[test]
fn ejections_grow_and_a_single_request_probes() {
    let (mut ejector, w) = (Ejector::new(3), worker(0));
    let mut now = Time::ZERO;
    assert_eq!((0..5).filter(|_| ejector.record_failure(&w, now)).count(), 1);
    for length in [5, 10, 20, 40] {
        assert!(!ejector.allows_request(&w, 0, now + Duration::from_secs(length) - ms(1)));
        now = now + Duration::from_secs(length);
        assert!(ejector.allows_request(&w, 0, now) && !ejector.allows_request(&w, 1, now));
        assert!(ejector.record_failure(&w, now), "a failed trial must eject again");
    }
    assert!(!ejector.record_answer(&w, 1.0, now), "an answer to an older request");
    now = now + Duration::from_secs(80);
    assert!(ejector.record_answer(&w, 1.0, now));
    assert!(ejector.allows_request(&w, 7, now));
}

// The database behind all workers fails, and with it every request. If every worker were ejected,
// no request could be served after its recovery, and nothing would detect the recovery.
#[test]
fn two_thirds_of_a_pool_stay() {
    let mut ejector = Ejector::new(WORKERS);
    for _ in 0..20 {
        for i in 0..WORKERS {
            ejector.record_failure(&worker(i), Time::ZERO);
        }
    }
    let open = (0..WORKERS).filter(|&i| ejector.allows_request(&worker(i), 0, Time::ZERO));
    assert_eq!((open.count(), ejector.ejected_count()), (7, 3));
    for i in 0..WORKERS {
        ejector.record_answer(&worker(i), 100.0, Time::ZERO);
    }
    assert_eq!(ejector.ejected_count(), 3);
}

#[test]
fn far_slower_than_peers_is_taken_out() {
    let mut ejector = Ejector::new(WORKERS);
    ejector.record_answer(&worker(0), 4.0, Time::ZERO);
    assert_eq!(ejector.ejected_count(), 0);
    ejector.record_answer(&worker(0), 9.0, Time::ZERO);
    assert!(!ejector.allows_request(&worker(0), 0, Time::ZERO));
}
