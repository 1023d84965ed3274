//! Jobs that need all their tasks at once.

use {
    arbtest::{arbitrary, arbtest},
    dogwoodreach::{
        Time,
        decide::gang::{Gang, Queue, Room, Start, fit},
        ids::{JobId, WorkerId},
        units::Size,
    },
    std::{collections::BTreeMap, time::Duration},
};

const WHOLE: Size = Size::new(16, 65536, 0);
/// The time between small tasks of which more always wait than fit.
const FLOOD: Duration = Duration::from_millis(500);

fn secs(n: u64) -> Time {
    Time::from_millis(n * 1000)
}

fn worker(n: usize) -> WorkerId {
    WorkerId::from(&*format!("w{n}"))
}

fn gang(n: usize, tasks: usize, size: Size, run: u64, since: u64) -> Gang {
    let job = JobId::from(&*format!("gang{n}"));
    Gang { job, needs: vec![size; tasks], run: Duration::from_secs(run), since: secs(since) }
}

/// How a cell treats its gangs.
#[derive(Clone, Copy, PartialEq)]
enum Policy {
    /// The baseline: a gang starts when it happens to fit.
    Greedy,
    /// The baseline: while a gang waits, nothing else is let in.
    Strict,
    Planned,
}

/// A small task; `lasts` is how long it really runs.
#[derive(Clone, Copy)]
struct Small {
    arrives: u64,
    size: Size,
    run: u64,
    lasts: u64,
}

struct Running {
    worker: usize,
    size: Size,
    declared: Time,
}

/// A cell in virtual time, a second a step.
struct Cell {
    policy: Policy,
    free: Vec<Size>,
    running: BTreeMap<(u64, usize), Running>,
    queue: Queue,
    greedy: Vec<Gang>,
    waiting: Vec<Small>,
    started: BTreeMap<JobId, u64>,
    promised: BTreeMap<JobId, Time>,
    waits: u64,
    next: usize,
}

impl Cell {
    fn new(policy: Policy, workers: usize) -> Self {
        Cell {
            policy,
            free: vec![WHOLE; workers],
            running: BTreeMap::new(),
            queue: Queue::new(),
            greedy: Vec::new(),
            waiting: Vec::new(),
            started: BTreeMap::new(),
            promised: BTreeMap::new(),
            waits: 0,
            next: 0,
        }
    }

    fn push(&mut self, gang: Gang) {
        if self.policy == Policy::Greedy { self.greedy.push(gang) } else { self.queue.push(gang) }
    }

    fn rooms(&self) -> Vec<Room> {
        let ends = |n| {
            let here = self.running.values().filter(move |r| r.worker == n);
            here.map(|r| (r.declared, r.size)).collect()
        };
        let room =
            |(n, free): (usize, &Size)| Room { worker: worker(n), free: *free, ends: ends(n) };
        self.free.iter().enumerate().map(room).collect()
    }

    /// Fails where a worker would get more than it has.
    fn run(&mut self, n: usize, size: Size, declared: Time, ends: u64) {
        self.free[n] = self.free[n].checked_sub(&size).expect("no worker is over its size");
        self.next += 1;
        self.running.insert((ends, self.next), Running { worker: n, size, declared });
    }

    fn step(&mut self, now: u64, stretch: u64) {
        while let Some(e) = self.running.first_entry().filter(|e| e.key().0 <= now) {
            let ended = e.remove();
            self.free[ended.worker] += ended.size;
        }
        self.start_gangs(now, stretch);
        for small in std::mem::take(&mut self.waiting) {
            if small.arrives > now || !self.start_small(small, now) {
                self.waiting.push(small);
            }
        }
    }

    fn start_gangs(&mut self, now: u64, stretch: u64) {
        while let Some(Start { gang, workers }) = self.next_gang(now) {
            self.started.insert(gang.job.clone(), now);
            for (w, size) in workers.iter().zip(&gang.needs) {
                let n = (0..self.free.len()).find(|n| worker(*n) == *w).expect("it is known");
                self.run(n, *size, secs(now) + gang.run, now + gang.run.as_secs() * stretch);
            }
        }
    }

    fn next_gang(&mut self, now: u64) -> Option<Start> {
        let rooms = self.rooms();
        if self.policy == Policy::Greedy {
            let n = self.greedy.iter().position(|g| fit(&rooms, &g.needs).is_some())?;
            let gang = self.greedy.remove(n);
            let workers = fit(&rooms, &gang.needs)?;
            return Some(Start { gang, workers });
        }
        let start = self.queue.next(secs(now), &rooms);
        if let Some((job, at)) = self.queue.planned() {
            self.promised.entry(job.clone()).or_insert(at);
        }
        start
    }

    fn start_small(&mut self, small: Small, now: u64) -> bool {
        let held = self.policy == Policy::Strict && !self.queue.is_empty();
        let declared = secs(now + small.run);
        let ok = |n: &usize| {
            let fits = small.size.fits(&self.free[*n]);
            fits && !held && self.queue.admit(&worker(*n), &small.size, declared)
        };
        let Some(n) = (0..self.free.len()).find(ok) else { return false };
        self.waits += now - small.arrives;
        self.run(n, small.size, declared, now + small.lasts);
        true
    }
}

/// Small tasks up to a time. Eight workers can take in about one every 2.2 s.
fn stream(rng: &mut fastrand::Rng, until: u64, gap: Duration) -> Vec<Small> {
    let one = |n: u32| {
        let (size, run) = (Size::new(rng.u64(2..=6), 1024 * rng.u64(2..=16), 0), rng.u64(20..120));
        Small { arrives: (gap * n).as_secs(), size, run, lasts: run }
    };
    (0..).map(one).take_while(|s| s.arrives < until).collect()
}

/// A cell of eight workers under the stream, and a gang at 100 s that needs six of them whole.
fn under_stream(policy: Policy, seed: u64, gap: Duration) -> Cell {
    let mut cell = Cell::new(policy, 8);
    cell.waiting = stream(&mut fastrand::Rng::with_seed(seed), 1000, gap);
    for now in 0..1500 {
        if now == 100 {
            cell.push(gang(0, 6, WHOLE, 60, 100));
        }
        cell.step(now, 1);
    }
    cell
}

// A gang never starts. It needs six workers whole; small tasks keep coming, and whatever becomes
// free is too little for the gang and enough for the next small task.
#[test]
fn a_gang_starts_under_a_stream_of_small_tasks() {
    let job = JobId::from("gang0");
    for seed in 0..5 {
        let greedy = under_stream(Policy::Greedy, seed, FLOOD);
        assert!(greedy.started.get(&job).is_none_or(|at| *at > 1000), "the stream ends at 1000 s");
        let planned = under_stream(Policy::Planned, seed, FLOOD);
        assert!(secs(planned.started[&job]) <= planned.promised[&job]);
        assert!(planned.started[&job] <= 220, "the longest small task runs 120 s");
    }
}

// Small tasks wait minutes for nothing: the room that is kept for a gang stands idle although they
// would end before the gang can start.
#[test]
fn backfill_uses_the_kept_room_and_does_not_delay_the_gang() {
    let (mut strict, mut planned) = (0, 0);
    for seed in 0..5 {
        let gap = Duration::from_millis(2_800);
        let s = under_stream(Policy::Strict, seed, gap);
        let p = under_stream(Policy::Planned, seed, gap);
        let job = JobId::from("gang0");
        assert!(secs(p.started[&job]) <= p.promised[&job]);
        assert!(p.started[&job] <= s.started[&job]);
        strict += s.waits;
        planned += p.waits;
    }
    println!("waiting of small tasks in all, s: no backfill {strict}, backfill {planned}");
    assert!(planned < strict);
}

/// Random gangs among random small tasks, whose real run times are up to `stretch` times declared.
fn random(u: &mut arbitrary::Unstructured<'_>, stretch: u64) -> arbitrary::Result<Cell> {
    let mut cell = Cell::new(Policy::Planned, 6);
    let mut gangs = Vec::new();
    for n in 0..u.int_in_range(1..=5)? {
        let size = Size::new(u.int_in_range(4..=16)?, 1024 * u.int_in_range(1..=64)?, 0);
        let mut gang =
            gang(n, u.int_in_range(1..=6)?, size, u.int_in_range(5..=60)?, n as u64 * 40);
        for need in gang.needs.iter_mut().skip(1).step_by(2) {
            *need = Size::new(u.int_in_range(1..=8)?, 1024 * u.int_in_range(1..=64)?, 0);
        }
        gangs.push(gang);
    }
    for n in 0..400 {
        let size = Size::new(u.int_in_range(1..=8)?, 1024 * u.int_in_range(1..=32)?, 0);
        let run = u.int_in_range(1..=100)?;
        let lasts = run * u.int_in_range(1..=stretch)?;
        cell.waiting.push(Small { arrives: n, size, run, lasts });
    }
    for now in 0..1200 {
        for g in gangs.iter().filter(|g| g.since == secs(now)) {
            cell.push(g.clone());
        }
        cell.step(now, stretch);
    }
    Ok(cell)
}

#[test]
fn backfill_never_delays_the_planned_gang() {
    for seed in 0..40u64 {
        arbtest(|u| {
            let cell = random(u, 1)?;
            assert!(cell.queue.is_empty());
            for (job, at) in &cell.started {
                assert!(cell.promised.get(job).is_none_or(|promised| secs(*at) <= *promised));
            }
            Ok(())
        })
        .seed(seed << 32 | 16384);
    }
}

// A gang starves behind tasks that run three times as long as declared: each moves its planned
// start, and new tasks that seem to end before it are let in.
#[test]
fn wrong_run_times_delay_a_gang_but_do_not_starve_it() {
    for seed in 0..5 {
        let mut cell = Cell::new(Policy::Planned, 8);
        cell.waiting = stream(&mut fastrand::Rng::with_seed(seed), 900, FLOOD);
        cell.waiting.iter_mut().for_each(|s| s.lasts = 3 * s.run);
        for now in 0..900 {
            if now == 100 {
                cell.push(gang(0, 6, WHOLE, 60, 100));
            }
            cell.step(now, 1);
        }
        let at = cell.started[&JobId::from("gang0")];
        assert!(at <= 100 + 120 + 2 * 120 + 3 * 120, "started at {at} s");
    }
    for seed in 0..20u64 {
        arbtest(|u| {
            assert!(random(u, 3)?.queue.is_empty());
            Ok(())
        })
        .seed(seed << 32 | 16384);
    }
}

#[test]
fn a_younger_gang_counts_in_the_room_that_the_plan_leaves() {
    let mut queue = Queue::new();
    queue.push(gang(0, 1, Size::new(10, 1, 0), 10, 0));
    queue.push(gang(1, 1, Size::new(4, 1, 0), 90, 1));
    let free = Size::new(8, 65536, 0);
    let rooms = [Room { worker: worker(0), free, ends: vec![(secs(50), Size::new(8, 0, 0))] }];
    let start = queue.next(secs(2), &rooms).map(|s| s.gang.job);
    assert_eq!(start, Some(JobId::from("gang1")));
    assert_eq!(queue.planned(), Some((&JobId::from("gang0"), secs(50))));
    assert!(!queue.admit(&worker(0), &Size::new(3, 1, 0), secs(51)));
    assert!(queue.admit(&worker(0), &Size::new(2, 1, 0), secs(51)));
}

// A gang doesn't start at its planned time, or never. A service that ended early makes the first
// worker look the better one for the wrong task; or a planned worker has left for good.
#[test]
fn a_plan_is_kept_as_it_was_made_while_its_workers_are_there() {
    let room = |n, cores, memory, ends: Option<u64>| {
        let ends = ends.map(|at| (secs(at), Size::new(2, 2, 0))).into_iter().collect();
        Room { worker: worker(n), free: Size::new(cores, memory, 0), ends }
    };
    let mut queue = Queue::new();
    let mut two = gang(0, 2, Size::new(1, 2, 0), 10, 0);
    two.needs[1] = Size::new(8, 1, 0);
    queue.push(two);
    let before = [room(0, 8, 1, None), room(1, 0, 0, Some(50))];
    assert_eq!(queue.next(secs(2), &before), None);
    assert_eq!(queue.planned().map(|p| p.1), Some(secs(50)));
    let mut other = queue.clone();
    let start = queue.next(secs(50), &[room(0, 8, 3, None), room(1, 2, 2, None)]);
    assert_eq!(start.map(|s| s.workers), Some(vec![worker(1), worker(0)]));
    assert_eq!(other.next(secs(3), &[room(0, 8, 1, None), room(2, 0, 0, Some(70))]), None);
    assert_eq!(other.planned().map(|p| p.1), Some(secs(70)));
}

#[test]
fn a_gang_that_never_fits_is_named_and_holds_nothing_back() {
    let mut queue = Queue::new();
    queue.push(gang(0, 3, WHOLE, 10, 0));
    queue.push(gang(1, 2, WHOLE, 10, 1));
    let busy = Room { worker: worker(0), free: Size::default(), ends: vec![(secs(50), WHOLE)] };
    let rooms = [busy, Room { worker: worker(1), free: WHOLE, ends: Vec::new() }];
    assert_eq!(queue.unfit(&rooms, secs(2)), [&JobId::from("gang0")]);
    assert_eq!(queue.next(secs(2), &rooms), None);
    assert_eq!(queue.planned(), Some((&JobId::from("gang1"), secs(50))));
    assert!(queue.admit(&worker(1), &WHOLE, secs(50)));
    assert!(!queue.admit(&worker(1), &Size::new(1, 1, 0), secs(51)));
    assert!(queue.cancel(&JobId::from("gang1")));
    assert!(queue.admit(&worker(1), &WHOLE, Time::NEVER));
}
