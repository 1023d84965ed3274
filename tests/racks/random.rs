//! Random orders of faults, and what must hold after each tick of them.

use {
    super::{
        bench::Bench,
        fake::{TICK, pool, rack, stop, vm, worker},
        owner::Owner,
    },
    arbtest::{arbitrary, arbtest},
    dogwoodreach::{
        Time,
        event::{Answer, Outcome},
        http::Failure,
        ids::{Attempt, Epoch, RequestId, TaskId},
        messages::{Handover, VmState},
        racks::Racks,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Random runs, a seed each.
const SEEDS: u64 = 60;
/// The run that found an announced lapse to outlive the owner that announced it.
const FOUND: u64 = 0xa4;
/// The bytes drawn for each.
const SIZE: u64 = 16384;
/// How often the bucket's owner asks after its attempts, and the list comes in.
const PROBE: Duration = Duration::from_secs(2);
const WORKERS: usize = 3;
const TASKS: u32 = 6;
/// The slots of a worker.
const SLOTS: usize = 8;

/// A rack that changes its owner among two members, its workers, and a bucket's owner.
struct World {
    b: Bench,
    owner: Owner,
    holder: usize,
    epoch: u64,
    /// When the former holder hears of its loss, and how much later its handover arrives, if it does.
    losing: Option<(Time, Option<Duration>)>,
    /// When the next holder of a dead one takes over.
    taking: Option<Time>,
    over: Option<(Time, Handover)>,
    /// What became of each request's dispatch, and when its sender hears.
    answers: BTreeMap<RequestId, (usize, usize, Time, Outcome)>,
    requests: u128,
}

impl World {
    fn new() -> Self {
        World {
            b: Bench::new(WORKERS),
            owner: Owner::default(),
            holder: 0,
            epoch: 1,
            losing: None,
            taking: None,
            over: None,
            answers: BTreeMap::new(),
            requests: 0,
        }
    }

    fn run(&mut self, ms: u64) {
        let end = self.b.now + Duration::from_millis(ms);
        while self.b.now < end {
            self.b.now = self.b.now + TICK;
            self.b.step();
            self.pass();
            self.answer();
            let now = self.b.now;
            for m in &mut self.b.members {
                self.owner.hear(m);
            }
            if now.0.is_multiple_of(PROBE.as_micros() as u64) {
                let holder = self.holder;
                self.owner.probe(&mut self.b.members[holder], now);
                self.b.list();
            }
            self.owner.tick(now);
            self.check();
        }
    }

    /// Carries on a change of the rack's owner.
    fn pass(&mut self) {
        let (now, former) = (self.b.now, 1 - self.holder);
        if let Some((at, handed)) = self.losing.filter(|(at, _)| *at <= now) {
            let over = self.b.members[former].lost(&rack(), Epoch(self.epoch - 1));
            self.over = handed.map(|later| (at + later, over));
            self.losing = None;
        }
        if let Some((_, over)) = self.over.take_if(|(at, _)| *at <= now) {
            self.b.members[self.holder].handover(&over, now);
        }
        if self.taking.take_if(|at| *at <= now).is_some() {
            self.take_over();
        }
    }

    fn take_over(&mut self) {
        self.holder = 1 - self.holder;
        self.epoch += 1;
        let now = self.b.now;
        self.b.leased[self.holder] = true;
        self.b.members[self.holder].gained(&rack(), Epoch(self.epoch), now);
    }

    fn quiet(&self) -> bool {
        self.losing.is_none() && self.taking.is_none() && self.over.is_none()
    }

    /// OnePlace, and the truth of what was told.
    fn check(&self) {
        let mut places: BTreeSet<&TaskId> = BTreeSet::new();
        for fake in self.b.workers.values() {
            for (task, attempt) in fake.runs.keys() {
                assert!(places.insert(task), "OnePlace: {task} runs twice");
                let ended = self.owner.ended.contains(&(task.clone(), *attempt));
                assert!(!ended, "Truth: {task} was told as ended and runs");
            }
            assert!(fake.requests.len() <= SLOTS, "a worker has more requests than slots");
        }
    }

    fn request(&mut self, u: &mut arbitrary::Unstructured<'_>) -> arbitrary::Result<()> {
        let now = self.b.now;
        let (n, ends) = (self.holder, now + Duration::from_secs(3));
        if !self.b.leased[n] {
            return Ok(());
        }
        self.requests += 1;
        let id = RequestId(self.requests);
        let Some(chosen) = self.b.members[n].choose(&pool(), now) else { return Ok(()) };
        let Some(spot) = self.b.members[n].take(chosen, id, ends) else { return Ok(()) };
        let at = (0..WORKERS).find(|n| worker(*n) == spot.worker).expect("a worker of the bench");
        let ran = now + Duration::from_millis(u.int_in_range(20..=2900)?);
        let fake = self.b.fake(at);
        let (lost, refused) = (fake.cut, spot.epoch < fake.epoch);
        if !lost && !refused {
            fake.epoch = spot.epoch;
            fake.requests.insert(id, ran);
        }
        let (status, kind, body) = (200, "".into(), Default::default());
        let outcome = match (lost || u.ratio(1, 4)?, refused) {
            (_, true) => Outcome::Failed(Failure::Unsent),
            (true, _) => Outcome::Failed(Failure::Timeout),
            _ => Outcome::Answered(Answer { status, kind, body }),
        };
        let hears = if lost || matches!(outcome, Outcome::Failed(_)) { now } else { ran };
        self.answers.insert(id, (n, at, hears, outcome));
        Ok(())
    }

    fn answer(&mut self) {
        let now = self.b.now;
        for (id, (n, at, _, outcome)) in self.answers.extract_if(.., |_, a| a.2 <= now) {
            let times = (Duration::from_secs(1), Duration::from_secs(1));
            self.b.members[n].ran(id, &worker(at), &outcome, times, now);
        }
    }

    fn fault(&mut self, u: &mut arbitrary::Unstructured<'_>) -> arbitrary::Result<()> {
        let now = self.b.now;
        let n = u.int_in_range(0..=WORKERS - 1)?;
        let soon = now + Duration::from_millis(u.int_in_range(0..=3000)?);
        match u.int_in_range(0..=8)? {
            0 => self.b.fake(n).cut ^= true,
            1 => self.b.fake(n).mute ^= true,
            2 => self.b.fake(n).paused = soon,
            3 => self.b.fake(n).lag = soon - now,
            4 => self.b.flight = Duration::from_millis(u.int_in_range(1..=900)?),
            5 => self.b.leased[self.holder] ^= true,
            6 => self.change_list(n, u.int_in_range(0..=2)?),
            7 if self.quiet() && self.b.leased[self.holder] => {
                self.take_over();
                let later = (soon - now) * 2;
                let handed = u.arbitrary::<bool>()?.then_some(later);
                self.losing = Some((now + (soon - now) / 10, handed));
            }
            8 if self.quiet() => {
                self.b.members[self.holder] = Racks::new(9);
                self.taking = Some(now + Duration::from_secs(4));
            }
            _ => {}
        }
        Ok(())
    }

    fn change_list(&mut self, n: usize, what: u32) {
        match what {
            0 => _ = self.b.vms.remove(&worker(n)),
            1 => _ = self.b.vms.insert(worker(n), vm(n)),
            _ => {
                if let Some(vm) = self.b.vms.get_mut(&worker(n)) {
                    vm.state = VmState::Leaving;
                }
            }
        }
        self.b.list();
    }

    fn step(&mut self, u: &mut arbitrary::Unstructured<'_>) -> arbitrary::Result<()> {
        let (now, holder) = (self.b.now, self.holder);
        let n = u.int_in_range(0..=TASKS - 1)?;
        let racks = &mut self.b.members[holder];
        match u.int_in_range(0..=7)? {
            0..=2 if self.b.leased[holder] => {
                self.owner.place(n, u.int_in_range(1..=8)?, racks, now);
            }
            3 => {
                if let Some(live) = self.owner.rows.get(&n) {
                    racks.start(stop(&live.row), now);
                }
            }
            4 | 5 => {
                for _ in 0..u.int_in_range(1..=12)? {
                    self.request(u)?;
                }
            }
            _ => self.fault(u)?,
        }
        self.run(*u.choose(&[20, 60, 200, 1000, 4000, 12_000])?);
        Ok(())
    }

    /// All faults end, and whatever was in doubt is settled.
    fn heal(&mut self) {
        self.run(5000);
        self.b.workers.values_mut().for_each(|w| (w.cut, w.mute) = (false, false));
        self.b.vms = (0..WORKERS).map(|n| (worker(n), vm(n))).collect();
        self.b.leased = vec![true; 2];
        self.b.flight = Duration::from_millis(1);
        self.b.list();
        self.run(120_000);
        for n in 0..TASKS {
            let (now, holder) = (self.b.now, self.holder);
            self.owner.place(n, 1, &mut self.b.members[holder], now);
            self.run(1000);
            let live = self.owner.rows.get(&n).expect("the task has an attempt");
            let key = (live.row.task.clone(), Attempt(self.owner.last[&n]));
            let runs = self.b.workers.values().any(|w| w.runs.contains_key(&key));
            assert!(runs, "{} runs nowhere", live.row.task);
        }
    }
}

#[test]
fn one_place() {
    for seed in (0..SEEDS).chain([FOUND]) {
        arbtest(|u| {
            let mut w = World::new();
            w.run(1000);
            for _ in 0..60 {
                w.step(u)?;
            }
            w.heal();
            Ok(())
        })
        .seed(seed << 32 | SIZE)
        .run();
    }
}
