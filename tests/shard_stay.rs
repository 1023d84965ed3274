//! Tests lasting tasks beside other load, on workers of which few may run them.

mod yard;

use {
    dogwoodreach::{
        units::Size,
        work::{AdviceCost, JobNo, Queue, QueueConfig, Step, StepKey, TaskKey},
    },
    std::{
        panic::{AssertUnwindSafe, catch_unwind},
        sync::Arc,
        time::Duration,
    },
    yard::{ShardSim, job, step, worker::Worker},
};

/// Cores and megabytes of a worker of size 100.
const WORKER_SIZE: (u64, u64) = (16, 65_536);
/// Sizes of the workers, in hundredths of `WORKER_SIZE`, in turn.
const SIZES: [u64; 4] = [100, 100, 50, 200];
/// Time during which jobs are submitted, in milliseconds.
const LOAD_MS: u64 = 30_000;

/// The queues: name, priority, stretch (how late a job may be), base and per-worker cost of advice
/// in microseconds, and the share of workers that may run a step, in hundredths.
const QUEUES: [(&str, u8, f64, u64, u64, u64); 5] = [
    ("quote", 0, 1.5, 19_500, 270, 70),
    ("feed", 1, 2.0, 728_000, 10_400, 30),
    ("accum", 2, 4.0, 208_000, 2_860, 45),
    ("swarm", 0, 2.2, 100_000, 1_000, 50),
    ("review", 1, 2.2, 310_000, 4_400, 30),
];

fn queues() -> Arc<QueueConfig> {
    let old = yard::queues();
    let us = Duration::from_micros;
    let queue = |(name, priority, stretch, base, each, _): (&str, u8, f64, u64, u64, u64)| Queue {
        name: name.into(),
        prefix: format!("/{name}/").into(),
        priority,
        stretch,
        slack: Duration::from_secs(1),
        attempts: 4,
        advice: Some(AdviceCost { base: us(base), each: us(each), valid: Duration::from_secs(2) }),
        ..old.queue_by_name("open").expect("a queue").clone()
    };
    Arc::new(QueueConfig { queues: QUEUES.map(queue).into(), ..(*old).clone() })
}

/// Creates a pool of this many workers and members.
fn pool(seed: u64, workers: usize, members: u64) -> ShardSim {
    let one = |i: usize| {
        let part = SIZES[i % SIZES.len()];
        let size = Size::new(WORKER_SIZE.0 * part / 100, WORKER_SIZE.1 * part / 100, 0);
        Worker::new("open", &format!("r{}", i / 8), size)
    };
    let mut yard = ShardSim::with(seed, queues(), (0..workers).map(one).collect(), members);
    yard.time_step = Duration::from_millis(5);
    yard
}

/// Submits a job of one step.
fn submit(yard: &mut ShardSim, no: u64, queue: &str, step: Step) {
    let known = QUEUES.iter().find(|q| q.0 == queue).expect("a queue");
    yard.world.advice.shares.insert(JobNo(no), known.5);
    yard.submit(no, queue, job([step]));
}

/// A size in tenths of a core and in megabytes.
fn size(tenths: u64, memory: u64) -> Size {
    let mut size = Size::new(1, memory, 0);
    size.cores.0 = size.cores.0 * tenths / 10;
    size
}

/// Short, most urgent tasks.
fn quote() -> Step {
    Step { size: size(27, 7_600), ..step(10, 700) }
}

/// Lasting tasks.
fn feed(count: u32, memory: u64, apart: u32) -> Step {
    Step { lasts: true, image: "web".into(), size: size(45, memory), apart, ..step(count, 1) }
}

/// Long, least urgent tasks.
fn accum() -> Step {
    Step { saves: true, size: size(45, 16_000), ..step(28, 3_600) }
}

/// A load, in hundredths of the cores of the pool.
#[derive(Clone, Copy, Debug)]
struct Load {
    quote: u64,
    feed: u64,
    accum: u64,
    /// Share of the gangs of each kind.
    gangs: u64,
    /// Additional load in bursts, in hundredths.
    burst: u64,
    /// Smallest and largest task count of a lasting step.
    wide: (u32, u32),
    /// Percentage of the lasting steps with at most one task per worker.
    apart: u32,
}

impl Load {
    fn random(seed: u64) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let all = rng.u64(60..130);
        let feed = rng.u64(15..35);
        let gangs = if rng.bool() { rng.u64(3..12) } else { 0 };
        let rest = all - feed - 2 * gangs;
        let quote = rest * rng.u64(30..80) / 100;
        let burst = rng.u64(0..60);
        Load { quote, feed, accum: rest - quote, gangs, burst, wide: (4, 60), apart: 60 }
    }
}

/// Submits jobs at random times: jobs of this kind take `part` hundredths of the cores of the pool,
/// and `burst` hundredths more of that during bursts, which fill every third interval of 4 s.
fn submit_random(
    yard: &mut ShardSim,
    first: u64,
    queue: &'static str,
    kind: &Step,
    part: u64,
    burst: u64,
) {
    let cores: u64 = yard.world.workers.iter().map(|w| w.size.cores.0).sum();
    let work = kind.size.cores.0 * u64::from(kind.count) * kind.estimate;
    if part == 0 || work == 0 {
        return;
    }
    let mut rng = fastrand::Rng::with_seed(yard.rules.seed ^ first);
    let (mut at, mut no) = (5_000.0, first);
    while at < LOAD_MS as f64 {
        let more = if (at as u64 / 4_000) % 3 == 2 { 100 + burst } else { 100 };
        let gap = work as f64 * 1e4 / (cores * part * more) as f64;
        at += -gap * (1.0 - rng.f64()).ln();
        no += 1;
        let kind = kind.clone();
        yard.at(at as u64, move |y| submit(y, no, queue, kind));
    }
}

/// Plans a load: lasting jobs arrive first, then all others, and meanwhile single lasting tasks
/// fail.
fn plan(seed: u64, workers: usize, members: u64, load: Load) -> ShardSim {
    let mut yard = pool(seed, workers, members);
    let mut rng = fastrand::Rng::with_seed(seed);
    let cores: u64 = yard.world.workers.iter().map(|w| w.size.cores.0).sum();
    let mut left = (cores * load.feed / 100) as i64;
    let mut lasting = 0;
    while left > 0 {
        let most = (workers as u32 * 30 / 100).max(5);
        let count = rng.u32(load.wide.0..=load.wide.1).min(most / 2);
        let memory = rng.u64(13_000..25_000);
        let apart = u32::from(rng.u32(0..100) < load.apart);
        let step = feed(count, memory, apart);
        left -= (step.size.cores.0 * u64::from(count)) as i64;
        lasting += 1;
        let (no, at) = (lasting, rng.u64(500..2_000));
        yard.at(at, move |y| submit(y, no, "feed", step));
    }
    submit_random(&mut yard, 10_000, "quote", &quote(), load.quote, load.burst);
    submit_random(&mut yard, 200_000, "accum", &accum(), load.accum, load.burst);
    let wide = (workers as u32 / 12).max(3);
    let gang =
        |count, ms| Step { gang: true, saves: true, size: size(60, 12_000), ..step(count, ms) };
    submit_random(&mut yard, 300_000, "swarm", &gang(wide, 1_500), load.gangs, 0);
    submit_random(&mut yard, 400_000, "review", &gang(wide, 3_000), load.gangs, 0);
    for at in (8_000..LOAD_MS).step_by(500) {
        let random = rng.u64(..);
        yard.at(at + random % 500, move |y| {
            let mine = |t: &TaskKey| t.step.job.0 <= lasting;
            let runs = y.world.workers.iter().flat_map(|w| &w.runs);
            let mut all: Vec<TaskKey> = runs.map(|r| r.start.task).filter(mine).collect();
            all.sort_unstable();
            if !all.is_empty() {
                y.world.fail_task(all[random as usize % all.len()]);
            }
        });
    }
    yard
}

#[test]
#[ignore = "a measurement"]
fn many_days() {
    let env = |name: &str| std::env::var(name).ok().and_then(|t| t.parse::<u64>().ok());
    let (from, to) = (env("FROM").unwrap_or(0), env("TO").unwrap_or(20));
    let workers = env("WORKERS").unwrap_or(60) as usize;
    let mut bad = 0;
    for seed in from..to {
        let load = Load::random(seed);
        let begun = std::time::Instant::now();
        let members = (workers as u64 / 6).max(3);
        let mut yard = plan(seed, workers, members, load);
        let over = catch_unwind(AssertUnwindSafe(|| yard.run_until(LOAD_MS + 3_000)));
        let seconds = begun.elapsed().as_secs_f64();
        bad += u64::from(over.is_err());
        let (calls, cost) = yard.advice_calls;
        println!(
            "seed {seed}: {} at {}, {seconds:.1} s, {calls} calls of {cost:.1?}, {load:?}",
            over.is_err(),
            yard.now
        );
    }
    println!("{bad} of {} days", to - from);
}

#[test]
fn what_lasts_is_at_work_again_soon_on_a_full_day() {
    // More urgent work fills the pool, and single lasting tasks fail. Some of them did not run
    // again for 11 s and more, although room became free all the time.
    for seed in [3, 19, 171] {
        let mut yard = plan(seed, 60, 10, Load::random(seed));
        yard.run_until(LOAD_MS + 3_000);
    }
}

#[test]
fn what_lasts_is_at_work_again_soon_beside_urgent_work_that_never_ends() {
    // Short urgent steps arrive faster than they can run. Each new one could still be on time, so
    // it goes before the lasting step, which gets no turn in any round. The lasting step never
    // requested new tickets, although members were free for the call, and was absent while room
    // became free every 0.7 s.
    for seed in 0..3 {
        let mut yard = pool(seed, 60, 10);
        yard.at(1_000, |y| submit(y, 1, "feed", feed(9, 13_000, 1)));
        submit_random(&mut yard, 10_000, "quote", &quote(), 115, 0);
        yard.at(12_000, |y| {
            let step = StepKey { job: JobNo(1), time: 0, step: 0 };
            y.world.fail_task(TaskKey { step, index: 0 });
        });
        yard.run_until(LOAD_MS);
    }
}
