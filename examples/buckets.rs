//! Benchmark of the CPU cost of an owner's buckets: time per event and share of a core for idle
//! ticks, with the given number of running tasks.
//!
//! Run it with `cargo run --release --example buckets [TASKS]`. The simulated store and racks
//! answer at once.

use {
    dogwoodreach::{
        Time,
        event::{Order, Purpose},
        ids::{Bucket, Epoch, Incarnation, Revision, team_bucket},
        jobs::{JobRequest, Jobs},
        messages::{EndItem, KvEntry, KvPutReply, RackLoad, ReserveReply, ReserveRow, TaskState},
        text::Plan,
        units::Size,
    },
    std::{
        collections::BTreeMap,
        rc::Rc,
        time::{Duration, Instant},
    },
};

/// Number of teams with one job each: one member's share of the target, which is 310 teams in the
/// buckets of nine members.
const TEAMS: u32 = 35;

struct Bench {
    jobs: Jobs,
    now: Time,
    store: BTreeMap<Box<str>, (u64, Box<str>)>,
    racks: Vec<RackLoad>,
    running: Vec<(Bucket, EndItem)>,
    spent: Duration,
}

impl Bench {
    fn new(tasks: u32) -> Self {
        let mut text = "[pool p]\ncores = 16\nmemory = 64GB\nworkers = 4000\n".to_owned();
        for t in 0..TEAMS {
            text += &format!(
                "[team t{t}]\n[batch b{t}]\nteam = t{t}\npool = p\ntasks = {}\ncores = 1\n\
                 memory = 1GB\nrun = 1h\n",
                tasks.div_ceil(TEAMS)
            );
        }
        let plan = Plan::read(&text).expect("the plan must be valid");
        let size = Size::new(16, 64 << 10, 0);
        let rack = RackLoad {
            free: size.times(4000),
            pool: "p".into(),
            rack: "r".into(),
            widest: size,
            workers: 4000,
        };
        let mut bench = Bench {
            jobs: Jobs::new(Incarnation(1), 1_700_000_000),
            now: Time::ZERO,
            store: BTreeMap::new(),
            racks: vec![rack],
            running: vec![],
            spent: Duration::ZERO,
        };
        bench.jobs.set_plan(&Rc::new(plan));
        for t in 0..TEAMS {
            let bucket = team_bucket(&format!("t{t}").as_str().into());
            if !bench.jobs.owns(bucket) {
                bench.jobs.add_bucket(bucket, Epoch(1));
            }
        }
        bench
    }

    fn time<T>(&mut self, f: impl FnOnce(&mut Jobs, Time) -> T) -> T {
        let start = Instant::now();
        let result = f(&mut self.jobs, self.now);
        self.spent += start.elapsed();
        result
    }

    fn tick(&mut self) {
        let racks = self.racks.clone();
        let mut out = vec![];
        let lease_end = Some(self.now + Duration::from_secs(8));
        let wants = self.time(|jobs, now| jobs.tick(now, lease_end, &racks, &mut out));
        wants.into_iter().for_each(|want| self.execute(want));
        for order in out {
            match order {
                Order::Get(Purpose::Bucket(b, e, c), key) => {
                    let (revision, value) = self.store.get(&key).cloned().unwrap_or_default();
                    let entry = KvEntry { key, revision: Revision(revision), value };
                    self.time(|jobs, now| jobs.record_read((b, e, c), Ok(entry), now));
                }
                Order::Put(Purpose::Bucket(b, e, c), key, put) => {
                    let entry = self.store.entry(key).or_default();
                    *entry = (entry.0 + 1, put.value.unwrap_or_default());
                    let reply = KvPutReply { done: true, revision: Revision(entry.0) };
                    self.time(|jobs, now| jobs.record_written((b, e, c), Ok(reply), now));
                }
                _ => {}
            }
        }
    }

    fn execute(&mut self, want: JobRequest) {
        match want {
            JobRequest::Reserve(ask) => {
                let row = |(n, i): (usize, &dogwoodreach::messages::ReserveItem)| ReserveRow {
                    attempt: i.attempt,
                    epoch: Epoch(1),
                    rack: "r".into(),
                    task: i.task.clone(),
                    worker: format!("w{n}").as_str().into(),
                };
                let rows = ask.items.iter().enumerate().map(row).collect();
                let reply = Some(ReserveReply { rows });
                let wants = self.time(|jobs, now| jobs.reserved(&ask, reply, now));
                wants.into_iter().for_each(|want| self.execute(want));
            }
            JobRequest::Start(ask) => {
                let running_item = |s: dogwoodreach::messages::StartItem| {
                    let (attempt, task, worker) = (s.attempt, s.task, s.worker);
                    let state = TaskState::Running;
                    (s.bucket, EndItem { attempt, state, task, used: None, worker })
                };
                self.running.extend(ask.start.into_iter().map(running_item));
            }
            _ => {}
        }
    }
}

fn main() {
    let tasks = std::env::args().nth(1).and_then(|n| n.parse().ok()).unwrap_or(2400);
    let mut bench = Bench::new(tasks);
    while bench.running.len() < tasks as usize {
        bench.tick();
        bench.now = bench.now + Duration::from_millis(50);
        assert!(bench.now < Time::from_millis(60_000), "{} run", bench.running.len());
    }
    bench.spent = Duration::ZERO;
    for _ in 0..1000 {
        bench.tick();
        bench.now = bench.now + Duration::from_millis(10);
    }
    println!("idle: {:.2}% of a core at 100 ticks a second", bench.spent.as_secs_f64() * 10.0);
    bench.spent = Duration::ZERO;
    let items: Vec<_> = bench.running.iter().cycle().take(4000).cloned().collect();
    let count = items.len() as u32;
    for (bucket, item) in items {
        bench.time(|jobs, now| jobs.update_attempts(bucket, &[item], now));
        bench.tick();
        bench.now = bench.now + Duration::from_millis(1);
    }
    println!(
        "event: {:.1} us with {tasks} tasks running",
        (bench.spent / count).as_secs_f64() * 1e6
    );
}
