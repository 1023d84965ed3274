//! The claims with which gangs reserve their room on the racks of several owners.

use {
    dogwoodreach::{
        Time,
        decide::gang::{Action, Claim},
        ids::{Attempt, JobId, PoolId, RackId, TaskId, TaskIndex, WorkerId},
        ledger::Ledger,
        units::Size,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

const WHOLE: Size = Size::new(16, 65536, 0);

fn secs(n: u64) -> Time {
    Time::from_millis(n * 1000)
}

fn worker(n: usize) -> WorkerId {
    WorkerId::from(&*format!("w{n}"))
}

/// A message in flight between a gang's member and a rack's owner.
enum Message {
    Reserve { gang: usize, rack: usize, hold: Duration, round: u32 },
    Reply { gang: usize, rack: usize, round: u32, granted: bool },
}

/// Simulates gangs of several members on racks of several owners; each rack has one worker.
struct Owners {
    ledgers: Vec<Ledger>,
    claims: Vec<(Claim, Vec<usize>)>,
    retries: BTreeMap<usize, Time>,
    ends: BTreeMap<usize, Time>,
    messages: Vec<Message>,
    done: usize,
}

fn rack(n: usize) -> RackId {
    RackId::from(&*format!("r{n}"))
}

fn task(gang: usize) -> TaskId {
    TaskId { job: JobId::from("gang"), index: TaskIndex(gang as u32) }
}

impl Owners {
    fn new(racks: usize, gangs: Vec<Vec<usize>>) -> Self {
        let ledger = || {
            let mut ledger = Ledger::new(Duration::from_secs(1));
            ledger.add(&worker(0), &PoolId::from("p"), &rack(0), WHOLE, 8);
            ledger
        };
        Owners {
            ledgers: (0..racks).map(|_| ledger()).collect(),
            retries: (0..gangs.len()).map(|g| (g, Time::ZERO)).collect(),
            claims: gangs.into_iter().map(|racks| (Claim::new(Time::ZERO), racks)).collect(),
            ends: BTreeMap::new(),
            messages: Vec::new(),
            done: 0,
        }
    }

    fn execute(&mut self, gang: usize, order: Action, now: Time) {
        let number = |r: &RackId| (0..self.ledgers.len()).find(|n| rack(*n) == *r);
        match order {
            Action::Reserve(r, hold, round) => {
                let rack = number(&r).expect("a known rack");
                self.messages.push(Message::Reserve { gang, rack, hold, round });
            }
            Action::Start => {
                for r in &self.claims[gang].1 {
                    let whole = self.ledgers[*r].confirm(&task(gang), Attempt(1), now);
                    assert!(whole, "half a gang would run");
                }
                self.ends.insert(gang, now + Duration::from_secs(3));
            }
            Action::Release(racks, retry_at) => {
                for r in racks.iter().filter_map(number).collect::<Vec<_>>() {
                    self.ledgers[r].release(&task(gang), Attempt(1), now);
                }
                self.retries.insert(gang, retry_at);
            }
            Action::Nothing => {}
        }
    }

    fn deliver(&mut self, message: Message, now: Time, rng: &mut fastrand::Rng) {
        match message {
            Message::Reserve { gang, rack, hold, round } => {
                let ledger = &mut self.ledgers[rack];
                let size = Size::new(10, 1024, 0);
                let got = ledger.reserve(&task(gang), Attempt(1), &worker(0), size, now + hold);
                let granted = got.is_ok();
                self.messages.push(Message::Reply { gang, rack, round, granted });
            }
            Message::Reply { gang, rack: r, round, granted } => {
                let claim = &mut self.claims[gang].0;
                let order = if granted {
                    claim.record_grant(&rack(r), round, now)
                } else {
                    claim.record_refusal(&rack(r), round, now, rng)
                };
                self.execute(gang, order, now);
            }
        }
    }

    fn step(&mut self, now: Time, rng: &mut fastrand::Rng) {
        self.ledgers.iter_mut().for_each(|l| drop(l.expire(now)));
        for gang in 0..self.claims.len() {
            if self.ends.get(&gang).is_some_and(|at| *at <= now) {
                self.ends.remove(&gang);
                self.done += 1;
                for r in &self.claims[gang].1 {
                    self.ledgers[*r].release(&task(gang), Attempt(1), now);
                }
            }
            if self.retries.get(&gang).is_some_and(|at| *at <= now) {
                self.retries.remove(&gang);
                let racks = self.claims[gang].1.iter().map(|r| rack(*r)).collect();
                let order = self.claims[gang].0.begin_round(racks, now);
                self.execute(gang, order, now);
            }
            let order = self.claims[gang].0.tick(now, rng);
            self.execute(gang, order, now);
        }
        for _ in 0..rng.usize(0..6).min(self.messages.len()) {
            let message = self.messages.swap_remove(rng.usize(0..self.messages.len()));
            if rng.u32(0..20) > 0 {
                self.deliver(message, now, rng);
            }
        }
    }
}

/// The greedy baseline: each gang takes its racks in an order of its own and keeps what it has.
/// Returns the number of gangs that have run.
fn run_greedy(gangs: &[Vec<usize>], racks: usize, rng: &mut fastrand::Rng) -> usize {
    let mut orders = gangs.to_vec();
    orders.iter_mut().for_each(|o| rng.shuffle(o));
    let (mut holders, mut got) = (vec![None; racks], vec![0; gangs.len()]);
    for _ in 0..10_000 {
        let g = rng.usize(0..gangs.len());
        let Some(r) = orders[g].get(got[g]) else {
            holders.iter_mut().filter(|h| **h == Some(g)).for_each(|h| *h = None);
            continue;
        };
        if *holders[*r].get_or_insert(g) == g {
            got[g] += 1;
        }
    }
    (0..gangs.len()).filter(|g| got[*g] == gangs[*g].len()).count()
}

// Two gangs can deadlock, if each holds the room on one rack that the other needs. Greedy gangs
// take what they get in their own order and keep it.
#[test]
fn gangs_on_the_racks_of_several_owners_all_run() {
    let mut stuck = 0;
    for seed in 0..60 {
        let mut rng = fastrand::Rng::with_seed(seed);
        let racks = rng.usize(2..6);
        let mut gangs = Vec::new();
        for _ in 0..rng.usize(2..8) {
            let wanted: BTreeSet<usize> =
                (0..rng.usize(1..=racks)).map(|_| rng.usize(0..racks)).collect();
            gangs.push(wanted.into_iter().collect());
        }
        let count = gangs.len();
        stuck += count - run_greedy(&gangs, racks, &mut rng);
        let mut owners = Owners::new(racks, gangs);
        for now in 0..24_000 {
            owners.step(Time::from_millis(now * 25), &mut rng);
        }
        assert_eq!(owners.done, count, "seed {seed}");
        assert!(owners.ledgers.iter().all(|l| l.worker(&worker(0)).unwrap().room() == WHOLE));
    }
    println!("greedy gangs that wait for each other for ever: {stuck}");
    assert!(stuck > 0);
}

// An owner's answer arrives so late that the gang has given up, released all racks and asked again.
// If it counted for the new round, it would stand for room that is not reserved, and half a gang
// would run.
#[test]
fn a_late_answer_of_a_former_round_does_not_count() {
    let mut rng = fastrand::Rng::with_seed(1);
    let mut claim = Claim::new(Time::ZERO);
    let racks = vec![rack(1), rack(0)];
    let hold = Duration::from_secs(5);
    assert_eq!(claim.begin_round(racks.clone(), secs(0)), Action::Reserve(rack(0), hold, 0));
    let Action::Release(held, next) = claim.tick(secs(5), &mut rng) else {
        panic!("it has expired")
    };
    assert!(held == [rack(0)] && next > secs(5));
    assert_eq!(claim.begin_round(racks, secs(6)), Action::Reserve(rack(0), hold, 1));
    assert_eq!(claim.record_grant(&rack(0), 0, secs(7)), Action::Nothing);
    let next = Action::Reserve(rack(1), Duration::from_secs(4), 1);
    assert_eq!(claim.record_grant(&rack(0), 1, secs(7)), next);
    assert_eq!(claim.record_grant(&rack(1), 1, secs(11)), Action::Nothing, "too late to start");
    let Action::Release(held, _) = claim.tick(secs(11), &mut rng) else { panic!("it has expired") };
    assert_eq!(held, [rack(0), rack(1)]);
}

#[test]
fn a_gang_that_has_waited_longer_comes_back_sooner() {
    let back_off = |since: u64, round: u32, seed: u64| {
        let (mut rng, mut claim) = (fastrand::Rng::with_seed(seed), Claim::new(secs(since)));
        let mut at = secs(300);
        for n in 0..=round {
            claim.begin_round(vec![rack(0)], at);
            let now = at;
            let order = claim.record_refusal(&rack(0), n, now, &mut rng);
            let Action::Release(_, next) = order else {
                panic!("a refused claim must be released")
            };
            at = next;
            if n == round {
                return at - now;
            }
        }
        Duration::ZERO
    };
    for seed in 0..50 {
        assert!(back_off(0, 5, seed) < back_off(290, 5, seed + 50) / 2);
        assert!(back_off(290, 3, seed) > back_off(290, 0, seed));
        assert!(back_off(290, 12, seed) <= Duration::from_secs(10));
    }
}
