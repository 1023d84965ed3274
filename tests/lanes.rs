//! Distribution of calls for advice over the members: bursts, long among short calls, slow and
//! cut-off members.

use {
    dogwoodreach::{
        Time,
        decide::lanes::{Lanes, Peers},
        ids::Incarnation,
    },
    fastrand::Rng,
    std::time::Duration,
};

const MEMBERS: u64 = 7;
/// Round trip to the service, in milliseconds.
const ROUND_TRIP_MS: u64 = 5;
/// How long beyond the expected time a caller waits for an answer, in milliseconds.
const SLACK_MS: u64 = 2000;
const SHORT_MS: u64 = 13;
const LONG_MS: u64 = 840;

/// Simulates the service. The calling members are chosen by `Lanes` if `ours`, and otherwise in
/// rotation as the baseline.
struct Fake {
    ours: bool,
    /// Factor by which a member's calls take longer; 0 means that they are never answered.
    slow: [u64; MEMBERS as usize],
    rng: Rng,
}

#[derive(Default)]
struct Results {
    /// Time from arrival to answer, in milliseconds, of short and of long calls.
    short: Vec<u64>,
    long: Vec<u64>,
    /// Largest number of calls that waited at one member.
    deepest: usize,
    /// Time of the last answer, in milliseconds.
    end: u64,
}

struct Sent {
    call: (u64, u64),
    via: u64,
    sent: Time,
    /// Time when it is answered or given up.
    end: u64,
    answered: bool,
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn lanes(n: u64) -> Lanes {
    let mut lanes = Lanes::new();
    lanes.set_members(&Peers { unshared: (0..n).map(Incarnation).collect(), shared: vec![] });
    lanes
}

impl Fake {
    fn new(ours: bool) -> Self {
        Fake { ours, slow: [1; MEMBERS as usize], rng: Rng::with_seed(11) }
    }

    /// Plays calls, given by their arrival time and cost in milliseconds, until all are answered.
    fn play(mut self, calls: &[(u64, u64)]) -> Results {
        let (mut lanes, mut results) = (lanes(MEMBERS), Results::default());
        let (mut free, mut rotation) = ([0; MEMBERS as usize], 0);
        let (mut coming, mut waiting) = (calls.to_vec(), Vec::new());
        let mut in_flight: Vec<Sent> = Vec::new();
        coming.sort_by_key(|c| std::cmp::Reverse(*c));
        let mut t = 0;
        while !(coming.is_empty() && waiting.is_empty() && in_flight.is_empty()) && t < 300_000 {
            let now = Time::from_millis(t);
            while let Some(s) =
                in_flight.iter().position(|s| s.end <= t).map(|i| in_flight.swap_remove(i))
            {
                lanes.record_end(Incarnation(s.via), s.sent, s.answered, now);
                if s.answered {
                    let (at, cost) = s.call;
                    let kind = if cost > 200 { &mut results.long } else { &mut results.short };
                    kind.push(t - at);
                    results.end = t;
                } else {
                    waiting.push(s.call);
                }
            }
            while coming.last().is_some_and(|c| c.0 <= t) {
                waiting.extend(coming.pop());
            }
            waiting.retain(|&(at, cost)| {
                let due = Time::from_millis(at + 250);
                let via = if self.ours {
                    lanes.pick(ms(cost), due, now).map(|(m, _)| m.0)
                } else {
                    rotation += 1;
                    Some(rotation % MEMBERS)
                };
                let Some(via) = via else { return true };
                let lane = &mut free[via as usize];
                let slow = self.slow[via as usize];
                let duration = cost * slow * self.rng.u64(80..120) / 100;
                *lane = t.max(*lane) + duration;
                let end = if slow == 0 { t + cost + SLACK_MS } else { *lane + ROUND_TRIP_MS };
                in_flight.push(Sent { call: (at, cost), via, sent: now, end, answered: slow > 0 });
                false
            });
            for m in 0..MEMBERS {
                results.deepest =
                    results.deepest.max(in_flight.iter().filter(|s| s.via == m).count());
            }
            t += 1;
        }
        assert_eq!(results.short.len() + results.long.len(), calls.len(), "all calls are answered");
        results.short.sort();
        results.long.sort();
        results
    }
}

/// The 99th percentile.
fn p99(sorted: &[u64]) -> u64 {
    sorted[(sorted.len() * 99 / 100).min(sorted.len() - 1)]
}

/// Generates calls over a number of seconds, with the given rates of short and long ones per
/// second.
fn load(seconds: u64, short: u64, long: u64) -> Vec<(u64, u64)> {
    let mut rng = Rng::with_seed(3);
    let mut all = Vec::new();
    for (rate, cost) in [(short, SHORT_MS), (long, LONG_MS)] {
        all.extend((0..rate * seconds).map(|_| (rng.u64(..seconds * 1000), cost)));
    }
    all
}

/// Plays the calls with `Lanes` and with the baseline, with members slowed by the given factors.
fn compare(calls: &[(u64, u64)], slow: &[(usize, u64)]) -> [Results; 2] {
    [true, false].map(|ours| {
        let mut fake = Fake::new(ours);
        slow.iter().for_each(|&(m, by)| fake.slow[m] = by);
        let results = fake.play(calls);
        let (s, l) = (p99(&results.short), results.long.last().copied().unwrap_or(0));
        println!("ours {ours}: short p99 {s}, long at most {l}, deepest {}", results.deepest);
        results
    })
}

// Four long calls per second beside 40 short ones make up nine tenths of the work. In rotation, a
// short call meets a long one at most members and waits for most of a second.
#[test]
fn short_calls_do_not_wait_behind_long_ones() {
    let [ours, baseline] = compare(&load(20, 40, 4), &[]);
    assert!(p99(&ours.short) <= 60, "{}", p99(&ours.short));
    assert!(p99(&baseline.short) > 800);
}

// 300 short calls arrive at once, as from a storm of small jobs. If all were made at once, 43 would
// wait at each member, while the service refuses more than 32.
#[test]
fn burst_stays_within_what_the_service_takes() {
    let [ours, baseline] = compare(&[(0, SHORT_MS); 300], &[]);
    assert_eq!(ours.deepest, 2);
    assert!(baseline.deepest > 32);
    // 300 calls of 13 ms on 7 lanes take 557 ms.
    assert!(ours.end <= 700, "{}", ours.end);
}

// One member's link to the service takes eight times as long. In rotation it gets a seventh of all
// calls and falls ever further behind.
#[test]
fn slow_member_gets_less() {
    let [ours, baseline] = compare(&load(20, 150, 0), &[(0, 8)]);
    assert!(p99(&ours.short) <= 130, "{}", p99(&ours.short));
    assert!(p99(&baseline.short) > 1000);
}

// One member is cut off: none of its calls is answered, so it never seems busy. Each call through
// it costs its task two seconds.
#[test]
fn silent_member_is_set_aside() {
    let [ours, baseline] = compare(&load(20, 100, 0), &[(0, 0)]);
    let lost = |s: &Results| s.short.iter().filter(|&&t| t > SLACK_MS).count();
    println!("calls delayed by two seconds: {} {}", lost(&ours), lost(&baseline));
    assert!(lost(&ours) <= 10, "{}", lost(&ours));
    assert!(lost(&baseline) > 200);
}

// The long calls alone exceed the capacity of all lanes. They must not delay the short calls among
// them, and the five lanes that may have long calls must stay in use.
#[test]
fn saturation_by_long_calls_leaves_short_ones_alone() {
    let [ours, baseline] = compare(&load(20, 40, 9), &[]);
    assert!(p99(&ours.short) <= 60, "{}", p99(&ours.short));
    assert!(p99(&baseline.short) > 1500);
    // 180 calls of 840 ms on 5 lanes take 30.2 s.
    assert!(ours.end <= 33_000, "{}", ours.end);
}

// All calls go unanswered for a while, because the service is down. If all lanes were suspended for
// 8 s, there would be no advice for 8 s after the service is up again.
#[test]
fn all_silent_are_still_tried() {
    let mut lanes = lanes(3);
    for t in 0..30 {
        let now = Time::from_millis(t);
        if let Some((via, _)) = lanes.pick(ms(SHORT_MS), now, now) {
            lanes.record_end(via, now, false, now + ms(1));
        }
    }
    let now = Time::from_millis(31);
    for _ in 0..3 {
        assert!(lanes.pick(ms(SHORT_MS), now, now).is_some(), "still tried");
    }
    assert_eq!(lanes.pick(ms(SHORT_MS), now, now), None, "with one call each");
}

#[test]
fn one_lane_takes_all_kinds() {
    let mut lanes = lanes(1);
    let now = Time::ZERO;
    assert!(lanes.pick(ms(LONG_MS), now, now).is_some());
    assert_eq!(
        lanes.pick(ms(SHORT_MS), now, now),
        Some((Incarnation(0), Time::from_millis(LONG_MS + SHORT_MS)))
    );
    assert_eq!(lanes.pick(ms(SHORT_MS), now, now), None);
    lanes.set_members(&Peers { unshared: vec![Incarnation(0), Incarnation(1)], shared: vec![] });
    assert_eq!(lanes.calls_at(Incarnation(0)), 2, "the state of a member is kept");
    assert_eq!(lanes.pick(ms(SHORT_MS), now, now).map(|p| p.0), Some(Incarnation(1)));
}

/// Picks a member for a long call and rejects the call; returns the member.
fn reject_one(lanes: &mut Lanes, now: Time) -> Option<u64> {
    let (via, _) = lanes.pick(ms(LONG_MS), now, now)?;
    lanes.record_rejection(via, now, now + ms(1));
    Some(via.0)
}

#[test]
fn member_that_turned_a_call_away_comes_after_others() {
    // A member that other callers use as well is full of their calls. Judged by the caller's own
    // calls alone it would be idle, and so would be picked again and again, before unshared
    // members.
    let mut lanes = Lanes::new();
    let of = |range: std::ops::Range<u64>| range.map(Incarnation).collect();
    lanes.set_members(&Peers { unshared: of(0..2), shared: of(2..4) });
    let now = Time::ZERO;
    assert_eq!(reject_one(&mut lanes, now), Some(2));
    assert_eq!(lanes.total_calls(), 0, "a rejected call doesn't count");
    assert_eq!(reject_one(&mut lanes, now + ms(5)), Some(3), "the next member is tried at once");
    let (own, end) = lanes.pick(ms(LONG_MS), now, now + ms(10)).expect("an unshared member");
    assert_eq!((own.0, end), (0, now + ms(10 + LONG_MS)));
    let (short, _) = lanes.pick(ms(SHORT_MS), now, now + ms(12)).expect("an unshared member");
    assert_eq!(short.0, 1);
    // The limit of long calls on unshared members is reached, and the shared members count as busy
    // for 1.5 s after their rejections.
    lanes.record_end(own, now + ms(10), true, now + ms(20));
    let later = now + ms(1_501);
    assert_eq!(lanes.pick(ms(LONG_MS), later, later).map(|p| p.0), Some(Incarnation(2)));
}

#[test]
fn where_all_turn_calls_away_they_are_asked_now_and_then() {
    // All members are full of other callers' calls, and a hundred steps wait for advice. If each
    // rejected step asked the next member at once, there would be thousands of futile calls per
    // second.
    let mut lanes = lanes(8);
    let mut count = 0;
    for t in 0..3_000 {
        let now = Time::from_millis(t);
        while count < 1_000 && reject_one(&mut lanes, now).is_some() {
            count += 1;
        }
    }
    // All 8 members at first, then one call every 150 ms.
    assert!((20..=8 + 3_000 / 150).contains(&count), "{count}");
    // The expected answer is later by the calls that each member is known to have ahead.
    let now = Time::from_millis(3_200);
    let (_, end) = lanes.pick(ms(LONG_MS), now, now).expect("a member to try");
    assert!(end > now + ms(LONG_MS), "{end}");
}

#[test]
fn callers_that_know_nothing_of_each_other_do_not_meet() {
    // Four owners call for advice. One of them makes long calls all the time, and the short calls
    // of the others queue behind these. If each owner then avoided every member that had been late,
    // the calls would soon collide everywhere; an eighth of the short tasks of a quiet day were
    // late.
    let part = |n: u64| (n * 4..n * 4 + 4).map(Incarnation);
    let peers = |n: u64| Peers {
        unshared: part(n).take(2).collect(),
        shared: (n..4).chain(0..n).flat_map(|n| part(n).skip(2)).collect(),
    };
    // Baseline: each caller may use all members for all calls.
    let plain =
        |n: u64| Peers { unshared: (n..4).chain(0..n).flat_map(part).collect(), shared: vec![] };
    let ours = short_call_p99([0, 1, 2, 3].map(peers));
    let baseline = short_call_p99([0, 1, 2, 3].map(plain));
    assert!(ours < 60, "{ours} ms");
    assert!(baseline > 500, "{baseline} ms");
}

/// Returns the 99th percentile of the time of the short calls of three callers, while a fourth
/// makes long calls.
fn short_call_p99(peers: [Peers; 4]) -> u64 {
    let mut callers = peers.map(|p| {
        let mut lanes = Lanes::new();
        lanes.set_members(&p);
        lanes
    });
    let (mut busy, mut in_flight, mut waiting) = ([0; 16], Vec::new(), Vec::new());
    let (mut short, mut rng) = (Vec::new(), Rng::with_seed(5));
    for t in 0..20_000 {
        let now = Time::from_millis(t);
        for caller in 0..4 {
            let (each, cost) = if caller == 3 { (170, LONG_MS * 2) } else { (40, SHORT_MS * 2) };
            if rng.u64(..each) == 0 {
                waiting.push((caller, t, cost));
            }
        }
        in_flight.retain(|&(caller, via, sent, end): &(usize, Incarnation, Time, u64)| {
            if end <= t {
                callers[caller].record_end(via, sent, true, now);
            }
            end > t
        });
        waiting.retain(|&(caller, arrived_at, cost)| {
            let Some((via, _)) = callers[caller].pick(ms(cost), now + ms(5_000), now) else {
                return true;
            };
            let free = &mut busy[via.0 as usize];
            *free = t.max(*free) + cost;
            in_flight.push((caller, via, now, *free));
            if caller < 3 {
                short.push(*free - arrived_at);
            }
            false
        });
    }
    short.sort_unstable();
    p99(&short)
}
