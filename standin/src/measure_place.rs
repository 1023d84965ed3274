//! Measures placement: decisions a second and their latency, in one thread, at steady state.
//!
//! A population of tasks runs; at each step one ends at random and one starts. A step is timed
//! whole: the end in the ledger, the choice of a worker, and the reservation. The baseline does the
//! same with a linear scan of all workers for the same best fit, in the same run, from the same
//! seed. Every figure is of this machine and this run; the ratio is what carries over.

use {
    dogwoodreach::{
        Time,
        decide::place::Index,
        ids::{Attempt, JobId, PoolId, RackId, TaskId, TaskIndex, WorkerId},
        ledger::Ledger,
        units::Size,
    },
    hdrhistogram::Histogram,
    lexopt::prelude::{Long, ValueExt},
    std::time::{Duration, Instant},
};

/// The workers of the letter's target, and those of them with accelerators (8 each).
const TARGET: (usize, usize) = (3_900, 1_150);
/// Steps timed in each run.
const STEPS: usize = 100_000;
/// Replicas of each service; a fifth of all tasks are replicas.
const REPLICAS: usize = 12;
/// Workers in a rack, as today's largest.
const RACK: usize = 5;
/// The bound that the ledger takes reports to lag by.
const LAG: Duration = Duration::from_secs(5);
/// How long a reservation holds.
const HOLD: Duration = Duration::from_secs(10);
/// Virtual time between starts: 940 a second, the letter's peak.
const BETWEEN: Duration = Duration::from_micros(1_064);
/// The longest latency told apart, in nanoseconds.
const NANOS: u64 = 1_000_000_000;

struct Args {
    workers: Vec<usize>,
    tasks: usize,
    runs: usize,
}

/// Runs the measurement and prints its tables; errs on arguments that it can't read.
///
/// `--workers` takes numbers with commas between, `--tasks` the tasks running at 3,900 workers
/// (scaled with the workers), `--runs` how often each is repeated.
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

/// The room of a worker in the linear baseline.
struct Spot {
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
    /// None for the baseline.
    index: Option<Index>,
    ledger: Ledger,
    spots: Vec<Spot>,
    running: Vec<Task>,
    services: Vec<Vec<usize>>,
    rng: fastrand::Rng,
    next: u32,
}

impl Bench {
    fn new(workers: usize, tasks: usize, indexed: bool, seed: u64) -> Self {
        let (mut ledger, mut index, mut spots) = (Ledger::new(LAG), Index::new(), Vec::new());
        for n in 0..workers {
            // Evenly mixed: each worker carries on where the last one's share of 1,150 ended.
            let accel = n * TARGET.1 / TARGET.0 != (n + 1) * TARGET.1 / TARGET.0;
            let size = if accel { Size::new(128, 524_288, 8) } else { Size::new(16, 65_536, 0) };
            let (worker, rack) = (WorkerId::from(&*format!("w{n}")), n / RACK);
            let name = RackId::from(&*format!("r{rack}"));
            ledger.add(&worker, &PoolId::from("cell"), &name, size, 8);
            index.add(&worker, &name, size);
            spots.push(Spot { worker, rack, size, free: size });
        }
        let services = vec![Vec::new(); (tasks / 5).div_ceil(REPLICAS)];
        let mut bench = Bench {
            index: indexed.then_some(index),
            ledger,
            spots,
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

    /// A size: a sixth of batch work needs accelerators, the rest processors and memory.
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
                let names: Vec<_> = list.iter().map(|n| self.spots[*n].worker.clone()).collect();
                index.spread(size, &names, &[])
            }
        };
        // The worker's number stands in its name.
        found.and_then(|w| w.as_str().get(1..)).and_then(|n| n.parse().ok())
    }

    /// The baseline: looks at every worker.
    fn scan(&self, size: &Size, replicas: Option<&[usize]>) -> Option<usize> {
        let share = |part: u64, all: u64| (part << 20) / all.max(1);
        let emptiness = |s: &Spot| {
            share(s.free.cores.0, s.size.cores.0)
                + share(s.free.memory.0, s.size.memory.0)
                + share(s.free.accels.0, s.size.accels.0)
        };
        let key = |n: &usize| {
            let s = &self.spots[*n];
            let shuns = size.accels.0 == 0 && s.size.accels.0 > 0;
            match replicas {
                None if shuns => (shuns, 0, 0, s.free.accels.0),
                None => (shuns, 0, 0, emptiness(s)),
                Some(list) => {
                    let racked = list.iter().filter(|r| self.spots[**r].rack == s.rack).count();
                    let own = list.iter().filter(|r| **r == *n).count();
                    (shuns, racked, own, u64::MAX - emptiness(s))
                }
            }
        };
        (0..self.spots.len()).filter(|n| size.fits(&self.spots[*n].free)).min_by_key(key)
    }

    /// Places a task; returns whether there was room.
    fn start(&mut self, size: Size, service: Option<usize>) -> bool {
        let Some(at) = self.choose(&size, service) else { return false };
        self.next += 1;
        let now = self.now();
        let id = TaskId { job: JobId::from("work"), index: TaskIndex(self.next) };
        let worker = &self.spots[at].worker;
        let held = self.ledger.reserve(&id, Attempt(1), worker, size, now + HOLD);
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

    /// Carries the ledger's account of a worker into what the choice reads.
    fn note(&mut self, at: usize) {
        let spot = &mut self.spots[at];
        spot.free = self.ledger.worker(&spot.worker).map_or(Size::default(), |w| w.room());
        if let Some(index) = &mut self.index {
            index.set(&spot.worker, spot.free, true);
        }
    }

    fn now(&self) -> Time {
        Time::ZERO + BETWEEN * self.next
    }

    /// Ends a task at random and starts another of its kind, drawn anew while none fits.
    fn step(&mut self, out: &mut Outcome) {
        let old = self.running.swap_remove(self.rng.usize(0..self.running.len()));
        let begin = Instant::now();
        self.end(&old);
        let mut took = begin.elapsed();
        loop {
            let size = self.draw(old.service);
            let begin = Instant::now();
            let placed = self.start(size, old.service);
            took += begin.elapsed();
            out.took += took;
            out.latency.saturating_record(took.as_nanos() as u64);
            if placed {
                return;
            }
            out.refused += 1;
            took = Duration::ZERO;
        }
    }
}

/// What one run gave; `running` is the population that found room to begin with.
struct Outcome {
    latency: Histogram<u64>,
    took: Duration,
    refused: u64,
    running: usize,
}

impl Outcome {
    fn rate(&self) -> f64 {
        self.latency.len() as f64 / self.took.as_secs_f64()
    }

    /// A quantile of the latency, in microseconds.
    fn at(&self, quantile: f64) -> f64 {
        self.latency.value_at_quantile(quantile) as f64 / 1000.0
    }
}

fn measure(workers: usize, tasks: usize, indexed: bool, seed: u64) -> Outcome {
    let mut bench = Bench::new(workers, tasks, indexed, seed);
    let latency = Histogram::new_with_bounds(1, NANOS, 3).expect("the bounds are in order");
    let mut out =
        Outcome { latency, took: Duration::ZERO, refused: 0, running: bench.running.len() };
    for _ in 0..STEPS {
        bench.step(&mut out);
    }
    out
}

/// The least, median and greatest of some figures.
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
        let tasks = (args.tasks * workers / TARGET.0).max(1);
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
