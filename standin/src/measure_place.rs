//! Measures placement: decisions per second and their latency, in one thread, at steady state.
//!
//! A population of tasks runs; at each step a random task ends and another one starts. The time of
//! a step covers the end in the ledger, the choice of a worker and the reservation. The baseline
//! does the same with a linear scan of all workers for the same best fit, in the same run and from
//! the same seed. The absolute figures hold only for this machine and run; the ratio carries over.

use {
    dogwoodreach::{
        Time,
        decide::place::PlacementIndex,
        ids::{Attempt, JobId, PoolId, RackId, TaskId, TaskIndex, WorkerId},
        ledger::Ledger,
        units::Size,
    },
    hdrhistogram::Histogram,
    lexopt::prelude::{Long, ValueExt},
    std::time::{Duration, Instant},
};

/// Number of workers at the target size of the requirements, and the number of them with
/// accelerators (8 each).
const TARGET_WORKERS: (usize, usize) = (3_900, 1_150);
/// Number of timed steps in each run.
const STEPS: usize = 100_000;
/// Replicas of each service; a fifth of all tasks are replicas.
const REPLICAS: usize = 12;
/// Workers in a rack, as in the largest present racks.
const RACK_WORKERS: usize = 5;
/// Maximum lag of reports that the ledger assumes.
const MAX_REPORT_LAG: Duration = Duration::from_secs(5);
/// Time after which a reservation expires.
const RESERVATION_TTL: Duration = Duration::from_secs(10);
/// Virtual time between starts: 940 per second, the peak rate of the requirements.
const START_INTERVAL: Duration = Duration::from_micros(1_064);
/// Upper bound of the latency histogram.
const MAX_LATENCY_NS: u64 = 1_000_000_000;

struct Args {
    workers: Vec<usize>,
    tasks: usize,
    runs: usize,
}

/// Runs the measurement and prints its tables. Errs on invalid arguments.
///
/// `--workers` takes comma-separated numbers, `--tasks` the number of running tasks at 3,900
/// workers (scaled with the workers), `--runs` the number of repetitions.
pub fn run(mut parser: lexopt::Parser) -> Result<(), lexopt::Error> {
    let mut args = Args { workers: vec![48, 100, 1_000, 3_900], tasks: 21_000, runs: 5 };
    while let Some(arg) = parser.next()? {
        match arg {
            Long("workers") => {
                let list = parser.value()?.string()?;
                let parse = |n: &str| n.parse().map_err(|e| format!("--workers: {n}: {e}"));
                args.workers = list.split(',').map(parse).collect::<Result<_, _>>()?;
            }
            Long("tasks") => args.tasks = parser.value()?.parse()?,
            Long("runs") => args.runs = parser.value()?.parse()?,
            _ => return Err(arg.unexpected()),
        }
    }
    if args.runs == 0 || args.workers.iter().any(|n| *n < 2) {
        return Err("--runs of 1 or more, --workers of 2 or more".into());
    }
    report(&args);
    Ok(())
}

/// A worker's room as the linear baseline sees it.
struct WorkerRoom {
    worker: WorkerId,
    rack: usize,
    size: Size,
    free: Size,
}

struct Task {
    id: TaskId,
    service: Option<usize>,
    at: usize,
}

struct Bench {
    /// `None` for the baseline.
    index: Option<PlacementIndex>,
    ledger: Ledger,
    rooms: Vec<WorkerRoom>,
    running: Vec<Task>,
    services: Vec<Vec<usize>>,
    rng: fastrand::Rng,
    next: u32,
}

impl Bench {
    fn new(workers: usize, tasks: usize, indexed: bool, seed: u64) -> Self {
        let (mut ledger, mut index, mut rooms) =
            (Ledger::new(MAX_REPORT_LAG), PlacementIndex::new(), Vec::new());
        for n in 0..workers {
            // Workers with accelerators are spread evenly among the others.
            let accel = n * TARGET_WORKERS.1 / TARGET_WORKERS.0
                != (n + 1) * TARGET_WORKERS.1 / TARGET_WORKERS.0;
            let size = if accel { Size::new(128, 524_288, 8) } else { Size::new(16, 65_536, 0) };
            let (worker, rack) = (WorkerId::from(&*format!("w{n}")), n / RACK_WORKERS);
            let name = RackId::from(&*format!("r{rack}"));
            ledger.add(&worker, &PoolId::from("cell"), &name, size, 8);
            index.add(&worker, &name, size);
            rooms.push(WorkerRoom { worker, rack, size, free: size });
        }
        let services = vec![Vec::new(); (tasks / 5).div_ceil(REPLICAS)];
        let mut bench = Bench {
            index: indexed.then_some(index),
            ledger,
            rooms,
            running: Vec::new(),
            services,
            rng: fastrand::Rng::with_seed(seed),
            next: 0,
        };
        for n in 0..tasks {
            let service = (n % 5 == 0).then_some(n / 5 / REPLICAS);
            let size = bench.draw(service);
            bench.start(size, service);
        }
        bench
    }

    /// Draws the size of a task. A sixth of the batch tasks needs accelerators, the others only
    /// cores and memory.
    fn draw(&mut self, service: Option<usize>) -> Size {
        let rng = &mut self.rng;
        if service.is_none() && rng.u32(0..6) == 0 {
            return Size::new(rng.u64(2..=16), 1024 * rng.u64(8..=64), rng.u64(1..=4));
        }
        match rng.u32(0..10) {
            0..=5 => Size::new(rng.u64(1..=2), 1024 * rng.u64(1..=6), 0),
            6..=8 => Size::new(rng.u64(1..=3), 1024 * rng.u64(8..=24), 0),
            _ => Size::new(rng.u64(4..=10), 1024 * rng.u64(4..=16), 0),
        }
    }

    fn choose(&self, size: &Size, service: Option<usize>) -> Option<usize> {
        let replicas = service.map(|s| &*self.services[s]);
        let Some(index) = &self.index else { return self.scan(size, replicas) };
        let found = match replicas {
            None => index.pack(size, &[]),
            Some(list) => {
                let names: Vec<_> = list.iter().map(|n| self.rooms[*n].worker.clone()).collect();
                index.spread(size, &names, &[])
            }
        };
        // The id of a worker is "w" and its number.
        found.and_then(|w| w.as_str().get(1..)).and_then(|n| n.parse().ok())
    }

    /// The baseline: scans all workers.
    fn scan(&self, size: &Size, replicas: Option<&[usize]>) -> Option<usize> {
        let share = |part: u64, all: u64| (part << 20) / all.max(1);
        let emptiness = |s: &WorkerRoom| {
            share(s.free.cores.0, s.size.cores.0)
                + share(s.free.memory.0, s.size.memory.0)
                + share(s.free.accels.0, s.size.accels.0)
        };
        let key = |n: &usize| {
            let s = &self.rooms[*n];
            let avoided = size.accels.0 == 0 && s.size.accels.0 > 0;
            match replicas {
                None if avoided => (avoided, 0, 0, s.free.accels.0),
                None => (avoided, 0, 0, emptiness(s)),
                Some(list) => {
                    let same_rack = list.iter().filter(|r| self.rooms[**r].rack == s.rack).count();
                    let own = list.iter().filter(|r| **r == *n).count();
                    (avoided, same_rack, own, u64::MAX - emptiness(s))
                }
            }
        };
        (0..self.rooms.len()).filter(|n| size.fits(&self.rooms[*n].free)).min_by_key(key)
    }

    /// Places a task. Returns whether there was room.
    fn start(&mut self, size: Size, service: Option<usize>) -> bool {
        let Some(at) = self.choose(&size, service) else { return false };
        self.next += 1;
        let now = self.now();
        let id = TaskId { job: JobId::from("work"), index: TaskIndex(self.next) };
        let worker = &self.rooms[at].worker;
        let held = self.ledger.reserve(&id, Attempt(1), worker, size, now + RESERVATION_TTL);
        held.expect("the index and the ledger agree on what is free");
        self.ledger.confirm(&id, Attempt(1), now);
        if let Some(s) = service {
            self.services[s].push(at);
        }
        self.running.push(Task { id, service, at });
        self.note(at);
        true
    }

    fn end(&mut self, task: &Task) {
        let now = self.now();
        self.ledger.expire(now);
        self.ledger.release(&task.id, Attempt(1), now);
        if let Some(s) = task.service
            && let Some(n) = self.services[s].iter().position(|at| *at == task.at)
        {
            self.services[s].swap_remove(n);
        }
        self.note(task.at);
    }

    /// Copies a worker's room from the ledger to the index and the baseline's list.
    fn note(&mut self, at: usize) {
        let room = &mut self.rooms[at];
        room.free = self.ledger.worker(&room.worker).map_or(Size::default(), |w| w.room());
        if let Some(index) = &mut self.index {
            index.update(&room.worker, room.free, true);
        }
    }

    fn now(&self) -> Time {
        Time::ZERO + START_INTERVAL * self.next
    }

    /// Ends a random task and starts another one of its kind. Draws new sizes until one fits.
    fn step(&mut self, out: &mut Outcome) {
        let old = self.running.swap_remove(self.rng.usize(0..self.running.len()));
        let begin = Instant::now();
        self.end(&old);
        let mut elapsed = begin.elapsed();
        loop {
            let size = self.draw(old.service);
            let begin = Instant::now();
            let placed = self.start(size, old.service);
            elapsed += begin.elapsed();
            out.elapsed += elapsed;
            out.latency.saturating_record(elapsed.as_nanos() as u64);
            if placed {
                return;
            }
            out.refused += 1;
            elapsed = Duration::ZERO;
        }
    }
}

/// Result of one run; `running` is the number of tasks that found room at the start.
struct Outcome {
    latency: Histogram<u64>,
    elapsed: Duration,
    refused: u64,
    running: usize,
}

impl Outcome {
    fn rate(&self) -> f64 {
        self.latency.len() as f64 / self.elapsed.as_secs_f64()
    }

    /// A quantile of the latency, in microseconds.
    fn at(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / 1000.0
    }
}

fn measure(workers: usize, tasks: usize, indexed: bool, seed: u64) -> Outcome {
    let mut bench = Bench::new(workers, tasks, indexed, seed);
    let latency =
        Histogram::new_with_bounds(1, MAX_LATENCY_NS, 3).expect("the bounds are in order");
    let mut out =
        Outcome { latency, elapsed: Duration::ZERO, refused: 0, running: bench.running.len() };
    for _ in 0..STEPS {
        bench.step(&mut out);
    }
    out
}

/// Minimum, median and maximum of some figures.
fn spread(mut figures: Vec<f64>) -> [f64; 3] {
    figures.sort_by(f64::total_cmp);
    [figures[0], figures[figures.len() / 2], figures[figures.len() - 1]]
}

fn show(figures: impl Iterator<Item = f64>, digits: usize) -> String {
    let [least, median, most] = spread(figures.collect());
    format!("{least:.digits$} / {median:.digits$} / {most:.digits$}")
}

fn report(args: &Args) {
    println!("Least / median / greatest of {} runs of {STEPS} steps each.\n", args.runs);
    println!(
        "| workers | running | by | decisions/s | p50 us | p99 us | p99.9 us | greatest us | no room |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");
    let mut means = [Vec::new(), Vec::new()];
    let mut ratios = Vec::new();
    for &workers in &args.workers {
        let tasks = (args.tasks * workers / TARGET_WORKERS.0).max(1);
        let mut runs = [Vec::new(), Vec::new()];
        for seed in 0..args.runs as u64 {
            for (n, indexed) in [true, false].into_iter().enumerate() {
                runs[n].push(measure(workers, tasks, indexed, seed));
            }
        }
        for (n, by) in ["index", "scan"].into_iter().enumerate() {
            let running = runs[n].iter().map(|r| r.running).min().unwrap_or_default();
            let quantile = |q| show(runs[n].iter().map(|r| r.at(q)), 1);
            println!(
                "| {workers} | {running} | {by} | {} | {} | {} | {} | {} | {} |",
                show(runs[n].iter().map(Outcome::rate), 0),
                quantile(0.5),
                quantile(0.99),
                quantile(0.999),
                quantile(1.0),
                show(runs[n].iter().map(|r| r.refused as f64 / r.latency.len() as f64 * 100.0), 2)
                    + "%",
            );
            let mean = spread(runs[n].iter().map(|r| 1e6 / r.rate()).collect())[1];
            means[n].push(((workers as f64).log2(), mean));
        }
        let pairs = runs[0].iter().zip(&runs[1]);
        ratios.push((workers, show(pairs.map(|(index, scan)| index.rate() / scan.rate()), 2)));
    }
    println!("\n| workers | decisions/s, index over scan |\n|---|---|");
    for (workers, ratio) in ratios {
        println!("| {workers} | {ratio} |");
    }
    if args.workers.len() < 2 {
        return;
    }
    println!("\nSlope of the mean time of a decision, least squares against log2(workers):");
    for (n, by) in ["index", "scan"].into_iter().enumerate() {
        println!("- {by}: {:.3} us for each doubling of the workers", slope(&means[n]));
    }
}

fn slope(points: &[(f64, f64)]) -> f64 {
    let n = points.len() as f64;
    let (x, y) =
        (points.iter().map(|p| p.0).sum::<f64>() / n, points.iter().map(|p| p.1).sum::<f64>() / n);
    let rise: f64 = points.iter().map(|p| (p.0 - x) * (p.1 - y)).sum();
    rise / points.iter().map(|p| (p.0 - x).powi(2)).sum::<f64>()
}
