//! Tests of forwarding between members: stale reports, and availability zones without oscillation.

mod fake;

use {
    dogwoodreach::{
        Time,
        decide::forward::PeerSelector,
        ids::{Incarnation, Zone},
        messages::ServiceLoad,
    },
    fake::{EventQueue, exponential, ms},
    std::{collections::VecDeque, time::Duration},
};

const RUN: Duration = ms(50);
/// Total slots of all owners.
const SLOTS: usize = 96;
/// Interval between reports, and their age on arrival.
const REPORT: Duration = ms(400);

fn zone(owner: usize, owners: usize) -> Zone {
    Zone::from(if owner < owners / 2 { "near" } else { "far" })
}

fn load(slots: usize, free: usize, waiting: usize) -> ServiceLoad {
    let wait = RUN.as_millis() as usize * waiting / slots;
    ServiceLoad {
        service: "quotes".into(),
        slots: slots as u32,
        free: free as u32,
        waiting: waiting as u32,
        wait: wait as u64,
    }
}

enum Event {
    Arrive,
    End(usize),
    Measure,
    Report(Vec<ServiceLoad>),
}

struct Outcome {
    /// Waits at the owners.
    waits: Vec<Duration>,
    /// Number of requests for which no owner was expected to have room.
    without_room: usize,
    /// Share sent to the other availability zone in each 400 ms.
    far: Vec<f64>,
}

impl Outcome {
    fn p95(&self) -> Duration {
        let mut waits = self.waits.clone();
        waits.sort();
        waits[waits.len() * 95 / 100]
    }

    /// Mean change of the far share between consecutive intervals, after the first two seconds.
    fn swing(&self) -> f64 {
        let pairs = || self.far[5..].windows(2);
        pairs().map(|p| (p[1] - p[0]).abs()).sum::<f64>() / pairs().count() as f64
    }
}

/// Simulates 20 s of load at `rate` times the capacity, sent by `senders` members to `owners`
/// owners, the first half of which are in the near zone. Uses `PeerSelector` if `ours`, otherwise the
/// owner that was least loaded by its report, near ones first.
fn simulate(ours: bool, senders: usize, owners: usize, rate: f64) -> Outcome {
    let slots = SLOTS / owners;
    let mut rng = fastrand::Rng::with_seed(11);
    let new = |seed| PeerSelector::new("near".into(), fastrand::Rng::with_seed(seed));
    let mut spreads: Vec<_> = (0..senders as u64).map(new).collect();
    let mut queues = vec![VecDeque::new(); owners];
    let (mut busy, mut known) = (vec![0; owners], vec![load(slots, slots, 0); owners]);
    let mut agenda = EventQueue::new();
    let (mut now, gap) = (Time::ZERO, RUN.div_f64(rate * SLOTS as f64));
    while now < Time::from_millis(20_000) {
        now = now + exponential(&mut rng, gap);
        agenda.add(now, Event::Arrive);
    }
    for i in 0..50 {
        agenda.add(Time::ZERO + REPORT * i, Event::Measure);
    }
    let mut outcome = Outcome { waits: Vec::new(), without_room: 0, far: Vec::new() };
    let mut sent = [0; 2];
    while let Some((now, event)) = agenda.next() {
        match event {
            Event::Arrive => {
                let sender = &mut spreads[rng.usize(..senders)];
                let owner = match ours {
                    true => sender.pick_peer(Duration::MAX, RUN, now).map(|i| i.0 as usize),
                    false => least(&known),
                };
                outcome.without_room += usize::from(owner.is_none());
                let owner = owner.unwrap_or_else(|| rng.usize(..owners));
                sent[owner / (owners / 2)] += 1;
                queues[owner].push_back(now);
            }
            Event::End(owner) => busy[owner] -= 1,
            Event::Measure => {
                let far = f64::from(sent[1]) / f64::from((sent[0] + sent[1]).max(1));
                outcome.far.push(far);
                sent = [0; 2];
                let loads =
                    (0..owners).map(|o| load(slots, slots - busy[o], queues[o].len())).collect();
                agenda.add(now + REPORT, Event::Report(loads));
            }
            Event::Report(loads) => {
                for (o, load) in loads.iter().enumerate() {
                    let peer = Incarnation(o as u64);
                    for spread in &mut spreads {
                        spread.record_report(peer, &zone(o, owners), load.clone(), REPORT, now);
                    }
                }
                known = loads;
            }
        }
        for owner in 0..owners {
            while busy[owner] < slots
                && let Some(born) = queues[owner].pop_front()
            {
                busy[owner] += 1;
                outcome.waits.push(now.since(born));
                agenda.add(now + exponential(&mut rng, RUN), Event::End(owner));
            }
        }
    }
    outcome
}

/// Returns the near owner with the most free slots, or a far one if no near owner has any.
fn least(known: &[ServiceLoad]) -> Option<usize> {
    let best = |side: std::ops::Range<usize>| {
        side.min_by_key(|&o| (known[o].waiting as i64) - i64::from(known[o].free))
    };
    let near = best(0..known.len() / 2)?;
    if known[near].free > 0 { Some(near) } else { best(known.len() / 2..known.len()) }
}

// Reports are 400 to 800 ms old, and a request runs for 50 ms. If each member sent everything to
// the peer that was least loaded by the last report, that peer would fill up while the others
// idled, until the next report named another.
#[test]
fn stale_reports_do_not_draw_a_crowd() {
    let (ours, baseline) = (simulate(true, 3, 6, 0.7), simulate(false, 3, 6, 0.7));
    println!("p95 wait {:?}, least loaded {:?}", ours.p95(), baseline.p95());
    assert!(ours.p95() < ms(50));
    assert!(baseline.p95() > ms(500));
}

// The near half can't serve the whole load, so a share must go to the other availability zone. This
// share must be steady: if it were switched at a threshold by old reports, it would swing between
// nothing and everything.
#[test]
fn zones_share_without_swinging() {
    for owners in [2, 6] {
        let (ours, baseline) = (simulate(true, 3, owners, 0.7), simulate(false, 3, owners, 0.7));
        println!(
            "{owners} owners: swing {:.3}, least loaded {:.3}",
            ours.swing(),
            baseline.swing()
        );
        println!("far part {:.2?}", &ours.far[5..15]);
        assert!(ours.swing() < 0.1);
        assert!(baseline.swing() > 0.2);
    }
}

#[test]
fn light_load_stays_in_the_zone() {
    let far = simulate(true, 3, 6, 0.15).far;
    let mean = far[5..].iter().sum::<f64>() / (far.len() - 5) as f64;
    println!("far part at 15% load {mean:.3}");
    assert!(mean < 0.02);
}

// All connections of a broker are to one member. This member assumes that the others send as much
// as it does, which is usually true, and could wrongly find all peers full.
#[test]
fn single_sender_finds_room() {
    for senders in [1, 6] {
        let ours = simulate(true, senders, 6, 0.7);
        println!("{senders} senders: lost {} of {}", ours.without_room, ours.waits.len());
        println!("p95 wait {:?}", ours.p95());
        assert!(ours.without_room * 10 < ours.waits.len());
        assert!(ours.p95() < ms(50));
    }
}

#[test]
fn peers_that_are_no_help_are_left_out() {
    let mut spread = PeerSelector::new("near".into(), fastrand::Rng::with_seed(1));
    let (peer, long) = (Incarnation(1), Duration::from_secs(5));
    let report = |spread: &mut PeerSelector, free, waiting, at| {
        spread.record_report(peer, &"far".into(), load(16, free, waiting), ms(0), at);
    };
    let at = Time::from_millis;
    report(&mut spread, 2, 0, at(0));
    assert_eq!(spread.pick_peer(long, long, at(1)), Some(peer));
    spread.record_refusal(peer);
    assert_eq!(spread.pick_peer(long, RUN, at(1)), None, "the peer refused a request");
    report(&mut spread, 2, 0, at(100));
    assert_eq!(spread.pick_peer(long, RUN, at(101)), Some(peer));
    assert_eq!(spread.pick_peer(long, RUN, at(3101)), None, "the report is too old");
    // The request would wait for 100 ms at the peer.
    report(&mut spread, 0, 32, at(4000));
    assert_eq!(spread.pick_peer(ms(150), RUN, at(4000)), None);
    assert_eq!(spread.pick_peer(ms(300), RUN, at(4000)), Some(peer));
    spread.remove_peer(peer);
    assert_eq!(spread.pick_peer(long, RUN, at(4000)), None);
}
