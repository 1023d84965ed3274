//! Orders of tasks compared on the same jobs, in virtual time; and the cost of a step of ours.
//!
//! The paper's order is that of `PAPER-workload-pattern-based-schedul`: shares of users inverse to the
//! mean size of their present jobs (its Eq. 7 and 8, alpha 1), and within a user first come, first
//! served where both coefficients of variation are below one, else equal shares (its Algorithm 3).
//! `own+shares` takes only these shares, as weights of our order. Nothing is preempted.

use {
    dogwoodreach::{
        Time,
        decide::{
            order::{Job, Order},
            quota::{Back, Grant, Quotas},
        },
        ids::{JobId, TaskId, TaskIndex, TeamId},
        units::Size,
    },
    fastrand::Rng,
    lexopt::{Arg, Parser, ValueExt},
    std::{
        cmp::Reverse,
        collections::{BTreeSet, BinaryHeap, VecDeque},
        error::Error,
        time::{Duration, Instant},
    },
};

const USERS: usize = 31;
/// Users with large jobs, or the tenth with the largest where all draw from one distribution.
const LARGE: usize = 3;
const CORE: Size = Size::new(1, 1024, 0);
const POLICIES: [Policy; 5] =
    [Policy::First, Policy::Fair, Policy::Paper, Policy::Own, Policy::Shares];
const LOADS: [Load; 3] = [Load::Uniform, Load::Heavy, Load::Unlike];

#[derive(Clone, Copy, Debug, PartialEq)]
enum Policy {
    First,
    Fair,
    Paper,
    Own,
    Shares,
}

#[derive(Clone, Copy, Debug)]
enum Load {
    /// All users alike, 10 to 30 tasks a job.
    Uniform,
    /// All users alike, tasks by a bounded Pareto distribution (1.1, from 4 to 4,000).
    Heavy,
    /// Three users bring half of the work in jobs of 500 to 1,500 tasks, the others 2 to 10.
    Unlike,
}

#[derive(Clone, Debug)]
struct Work {
    user: usize,
    arrival: Time,
    tasks: u32,
    run: Duration,
    /// What the operator says of `run`, off by up to a factor of two either way.
    declared: Duration,
    deadline: Time,
}

struct Options {
    slots: usize,
    hours: u64,
    seeds: u64,
    load: f64,
}

/// Prints the tables; errs on a wrong argument.
pub fn run(mut args: Parser) -> Result<(), Box<dyn Error>> {
    let mut o = Options { slots: 200, hours: 8, seeds: 5, load: 0.9 };
    while let Some(arg) = args.next()? {
        match arg {
            Arg::Long("slots") => o.slots = args.value()?.parse()?,
            Arg::Long("hours") => o.hours = args.value()?.parse()?,
            Arg::Long("seeds") => o.seeds = args.value()?.parse()?,
            Arg::Long("load") => o.load = args.value()?.parse()?,
            other => return Err(other.unexpected().into()),
        }
    }
    println!("{} slots, {} h, {} seeds, load {}, {USERS} users", o.slots, o.hours, o.seeds, o.load);
    println!("mean response against fair: median (min to max) over the seeds");
    println!(
        "| work | order | all jobs | small users | large users | worst large job | late jobs |"
    );
    println!("|---|---|---|---|---|---|---|");
    for load in LOADS {
        compare(&o, load);
    }
    println!();
    println!("| teams | waiting tasks | step p50 us | p99.9 us | max us |");
    println!("|---|---|---|---|---|");
    for (teams, tasks) in [(31, 3_000), (310, 30_000), (310, 300_000), (3_100, 300_000)] {
        steps(teams, tasks);
    }
    Ok(())
}

fn compare(o: &Options, load: Load) {
    let mut rows = vec![Vec::new(); POLICIES.len()];
    for seed in 0..o.seeds {
        let work = generate(o, load, seed);
        let large = large_users(&work);
        let fair = figures(&work, &Sim::new(o, &work, Policy::Fair).play(), &large);
        for (row, policy) in rows.iter_mut().zip(POLICIES) {
            let f = figures(&work, &Sim::new(o, &work, policy).play(), &large);
            row.push([f[0] / fair[0], f[1] / fair[1], f[2] / fair[2], f[3] / fair[3], f[4]]);
        }
    }
    for (row, policy) in rows.iter().zip(POLICIES) {
        let cells: Vec<_> = (0..5).map(|i| spread(row.iter().map(|r| r[i]).collect())).collect();
        println!("| {load:?} | {policy:?} | {} |", cells.join(" | "));
    }
}

/// Mean response of all jobs, of small and large users', the worst of a large user's, in seconds; and
/// the part of jobs that were late.
fn figures(work: &[Work], over: &[Time], large: &BTreeSet<usize>) -> [f64; 5] {
    let response = |i: &usize| (over[*i] - work[*i].arrival).as_secs_f64();
    let mean = |of: Vec<usize>| of.iter().map(response).sum::<f64>() / of.len() as f64;
    let of = |big| (0..work.len()).filter(|i| large.contains(&work[*i].user) == big).collect();
    let worst = (0..work.len()).filter(|i| large.contains(&work[*i].user)).map(|i| response(&i));
    let late = (0..work.len()).filter(|i| over[*i] > work[*i].deadline).count();
    [
        mean((0..work.len()).collect()),
        mean(of(false)),
        mean(of(true)),
        worst.fold(0.0, f64::max),
        late as f64 / work.len() as f64,
    ]
}

fn spread(mut values: Vec<f64>) -> String {
    values.sort_by(f64::total_cmp);
    let (min, max) = (values[0], values[values.len() - 1]);
    format!("{:.2} ({min:.2} to {max:.2})", values[values.len() / 2])
}

fn large_users(work: &[Work]) -> BTreeSet<usize> {
    let mut means: Vec<_> = (0..USERS).map(|u| (mean_tasks(work, u), u)).collect();
    means.sort_by(|a, b| b.0.total_cmp(&a.0));
    means.iter().take(LARGE).map(|(_, u)| *u).collect()
}

fn mean_tasks(work: &[Work], user: usize) -> f64 {
    let of: Vec<_> = work.iter().filter(|w| w.user == user).map(|w| f64::from(w.tasks)).collect();
    of.iter().sum::<f64>() / of.len().max(1) as f64
}

/// Jobs of each user at random times until its part of the work is reached.
fn generate(o: &Options, load: Load, seed: u64) -> Vec<Work> {
    let mut rng = Rng::with_seed(seed);
    let horizon = o.hours * 3600;
    let total = o.load * o.slots as f64 * horizon as f64;
    let mut work = Vec::new();
    for user in 0..USERS {
        let part = match load {
            Load::Unlike if user < LARGE => 0.5 / LARGE as f64,
            Load::Unlike => 0.5 / (USERS - LARGE) as f64,
            Load::Uniform | Load::Heavy => 1.0 / USERS as f64,
        };
        let mut left = total * part;
        while left > 0.0 {
            let w = draw(&mut rng, load, user, horizon, o.slots);
            left -= f64::from(w.tasks) * w.run.as_secs_f64();
            work.push(w);
        }
    }
    work.sort_by_key(|w| (w.arrival, w.user));
    work
}

fn draw(rng: &mut Rng, load: Load, user: usize, horizon: u64, slots: usize) -> Work {
    let tasks = match load {
        Load::Uniform => rng.u32(10..=30),
        Load::Heavy => (4.0 / (1.0 - rng.f64()).powf(1.0 / 1.1)).min(4000.0) as u32,
        Load::Unlike if user < LARGE => rng.u32(500..=1500),
        Load::Unlike => rng.u32(2..=10),
    };
    let arrival = Time(rng.u64(0..horizon * 1_000_000));
    let run = Duration::from_millis(rng.u64(30_000..90_000));
    let declared = run.mul_f64(2f64.powf(rng.f64() * 2.0 - 1.0));
    let rounds = u32::try_from(slots / 4).map_or(1, |width| tasks.div_ceil(width.max(1)));
    let deadline = arrival + run * rounds * 2 + Duration::from_secs(600);
    Work { user, arrival, tasks, run, declared, deadline }
}

#[derive(Clone, Default)]
struct User {
    running: usize,
    /// Jobs with waiting tasks, by arrival.
    open: Vec<usize>,
    /// Jobs that have not ended.
    present: Vec<usize>,
    share: f64,
    in_turn: bool,
    sizes: Moments,
    runs: Moments,
}

/// Welford's mean and variation.
#[derive(Clone, Copy, Default)]
struct Moments {
    n: f64,
    mean: f64,
    sum: f64,
}

impl Moments {
    fn add(&mut self, x: f64) {
        self.n += 1.0;
        let off = x - self.mean;
        self.mean += off / self.n;
        self.sum += off * (x - self.mean);
    }

    fn variation(&self) -> f64 {
        if self.mean == 0.0 { 0.0 } else { (self.sum / self.n).sqrt() / self.mean }
    }
}

#[derive(Clone, Copy)]
struct Left {
    waiting: u32,
    running: usize,
    ended: u32,
}

struct Sim<'a> {
    work: &'a [Work],
    policy: Policy,
    slots: usize,
    users: Vec<User>,
    left: Vec<Left>,
    queue: VecDeque<usize>,
    order: Order,
    quotas: Quotas,
    ends: BinaryHeap<Reverse<(Time, usize, u32)>>,
    over: Vec<Time>,
}

fn team(user: usize) -> TeamId {
    format!("t{user:04}").as_str().into()
}

fn job(index: usize) -> JobId {
    format!("j{index}").as_str().into()
}

impl<'a> Sim<'a> {
    fn new(o: &Options, work: &'a [Work], policy: Policy) -> Self {
        let mut quotas = Quotas::default();
        (0..USERS).for_each(|u| quotas.set(&team(u), quota(o.slots), 100));
        let left = |w: &Work| Left { waiting: w.tasks, running: 0, ended: 0 };
        Sim {
            work,
            policy,
            slots: o.slots,
            users: vec![User::default(); USERS],
            left: work.iter().map(left).collect(),
            queue: VecDeque::new(),
            order: Order::default(),
            quotas,
            ends: BinaryHeap::new(),
            over: vec![Time::ZERO; work.len()],
        }
    }

    fn ours(&self) -> bool {
        matches!(self.policy, Policy::Own | Policy::Shares)
    }

    fn play(mut self) -> Vec<Time> {
        let mut next = 0;
        loop {
            let arrival = self.work.get(next).map(|w| w.arrival);
            let end = self.ends.peek().map(|Reverse(e)| e.0);
            let Some(now) = [arrival, end].into_iter().flatten().min() else { return self.over };
            if arrival == Some(now) {
                self.arrive(now, next);
                next += 1;
            } else if let Some(Reverse((_, i, task))) = self.ends.pop() {
                self.end(now, i, task);
            }
            self.order.wake(&self.quotas);
            while self.ends.len() < self.slots {
                let Some((i, task)) = self.pick(now) else { break };
                self.start(now, i, task);
            }
        }
    }

    fn arrive(&mut self, now: Time, i: usize) {
        let w = &self.work[i];
        self.users[w.user].open.push(i);
        self.users[w.user].present.push(i);
        self.queue.push_back(i);
        if matches!(self.policy, Policy::Paper | Policy::Shares) {
            self.share_out(w.user);
        }
        if !self.ours() {
            return;
        }
        let new = Job {
            id: job(i),
            team: team(w.user),
            deadline: w.deadline,
            priority: 0,
            run: w.declared,
            width: (self.slots / 4) as u32,
            tasks: w.tasks,
            size: CORE,
            back: Back::Checkpoint,
        };
        self.order.push(now, new, &mut self.quotas);
    }

    /// The paper's Eq. 7 and 8 for all users, and Algorithm 3 for the user whose job arrived.
    fn share_out(&mut self, arrived: usize) {
        let size = |i: &usize| f64::from(self.work[*i].tasks) * self.guess(*i);
        let inverse = |u: &User| {
            let sum: f64 = u.present.iter().map(size).sum();
            if u.present.is_empty() { 0.0 } else { u.present.len() as f64 / sum }
        };
        let inverses: Vec<_> = self.users.iter().map(inverse).collect();
        let mut now = Moments::default();
        self.users[arrived].present.iter().map(size).for_each(|s| now.add(s));
        let total: f64 = inverses.iter().sum();
        for (u, inverse) in self.users.iter_mut().zip(inverses) {
            u.share = self.slots as f64 * inverse / total;
        }
        let user = &mut self.users[arrived];
        let (past, present) = (user.sizes.variation(), now.variation());
        user.in_turn = past < 1.0 && present < 1.0;
        if (past < 1.0) != (present < 1.0) {
            user.sizes = Moments::default();
        }
        if self.policy == Policy::Shares {
            self.weigh();
        }
    }

    fn weigh(&mut self) {
        for (i, u) in self.users.iter().enumerate() {
            let weight = (u.share * 100.0 * USERS as f64 / self.slots as f64).max(1.0) as u32;
            self.quotas.set(&team(i), quota(self.slots), weight);
        }
        self.order.relist(&self.quotas);
    }

    /// A task's run time as the paper takes it: of the job's ended tasks, else the user's, else declared.
    fn guess(&self, i: usize) -> f64 {
        let w = &self.work[i];
        let runs = &self.users[w.user].runs;
        match self.left[i].ended {
            0 if runs.n == 0.0 => w.declared.as_secs_f64(),
            0 => runs.mean,
            _ => w.run.as_secs_f64(),
        }
    }

    fn pick(&mut self, now: Time) -> Option<(usize, u32)> {
        let i = match self.policy {
            Policy::First => *self.queue.front()?,
            Policy::Fair => self.fairest(|u| -(u.running as f64))?,
            Policy::Paper => self.fairest(|u| u.share - u.running as f64)?,
            Policy::Own | Policy::Shares => {
                let pick = self.order.next(now, &self.quotas)?;
                let grant = self.order.take(now, &pick, &mut self.quotas);
                assert_ne!(grant, Grant::Wait, "a pick is granted");
                let i = pick.ask.task.job.as_str()[1..].parse().ok()?;
                return Some((i, pick.ask.task.index.0));
            }
        };
        Some((i, self.left[i].waiting))
    }

    /// A job of the user with the most to come by `deficit`; within it in turn, or by equal shares.
    fn fairest(&self, deficit: impl Fn(&User) -> f64) -> Option<usize> {
        let open = self.users.iter().filter(|u| !u.open.is_empty());
        let user = open.max_by(|a, b| {
            deficit(a).total_cmp(&deficit(b)).then_with(|| b.open[0].cmp(&a.open[0]))
        })?;
        if user.in_turn {
            return user.open.first().copied();
        }
        user.open.iter().copied().min_by_key(|i| (self.left[*i].running, *i))
    }

    fn start(&mut self, now: Time, i: usize, task: u32) {
        let w = &self.work[i];
        let left = &mut self.left[i];
        left.waiting -= 1;
        left.running += 1;
        self.users[w.user].running += 1;
        if left.waiting == 0 {
            self.users[w.user].open.retain(|j| *j != i);
            self.queue.retain(|j| *j != i);
        }
        self.ends.push(Reverse((now + w.run, i, task)));
    }

    fn end(&mut self, now: Time, i: usize, task: u32) {
        let w = &self.work[i];
        let (left, user) = (&mut self.left[i], &mut self.users[w.user]);
        left.running -= 1;
        left.ended += 1;
        user.running -= 1;
        user.runs.add(w.run.as_secs_f64());
        if left.ended == w.tasks {
            user.present.retain(|j| *j != i);
            user.sizes.add(f64::from(w.tasks) * w.run.as_secs_f64());
            self.over[i] = now;
        }
        if self.ours() {
            let id = TaskId { job: job(i), index: TaskIndex(task) };
            self.quotas.ended(&id);
            self.order.ended(&id, &self.quotas);
        }
    }
}

/// An equal part of the slots for each user, rounded up.
fn quota(slots: usize) -> Size {
    let cores = slots.div_ceil(USERS) as u64;
    Size::new(cores, cores * 1024, 0)
}

/// Prints how long a step takes (a task ends and waits anew, the next is picked and taken) with so
/// many teams and waiting tasks, in jobs of a hundred tasks.
fn steps(teams: usize, tasks: usize) {
    let (mut order, mut quotas) = (Order::default(), Quotas::default());
    let mut rng = Rng::with_seed(1);
    (0..teams).for_each(|t| quotas.set(&team(t), Size::new(20, 20 * 1024, 0), rng.u32(1..5)));
    for i in 0..tasks / 100 {
        let now = Time(rng.u64(0..3_600_000_000));
        let new = Job {
            id: job(i),
            team: team(i % teams),
            deadline: now + Duration::from_secs(rng.u64(3600..36_000)),
            priority: rng.u8(0..3),
            run: Duration::from_secs(rng.u64(30..600)),
            width: 50,
            tasks: 100,
            size: CORE,
            back: Back::Checkpoint,
        };
        order.push(now, new, &mut quotas);
    }
    let now = Time(3_600_000_000);
    let mut running = VecDeque::new();
    let mut times = Vec::new();
    for i in 0..200_000 {
        let begin = Instant::now();
        if running.len() >= teams * 10 {
            let Some(task) = running.pop_front() else { break };
            quotas.ended(&task);
            order.requeue(&task, &mut quotas);
        }
        let Some(pick) = order.next(now + Duration::from_micros(i), &quotas) else { break };
        order.take(now + Duration::from_micros(i), &pick, &mut quotas);
        times.push(begin.elapsed());
        running.push_back(pick.ask.task);
    }
    times.sort();
    let at = |part: f64| times[((times.len() - 1) as f64 * part) as usize].as_nanos() as f64 / 1e3;
    let (p50, p999, max) = (at(0.5), at(0.999), at(1.0));
    println!("| {teams} | {tasks} | {p50:.1} | {p999:.1} | {max:.0} |");
}
