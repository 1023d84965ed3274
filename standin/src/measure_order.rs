//! Compares scheduling orders of tasks on the same jobs in virtual time, and measures the time of
//! one step of the product's order.
//!
//! [`Policy::Paper`] is the order of `PAPER-workload-pattern-based-schedul`: each user's share is
//! inverse to the mean size of the user's present jobs (Eq. 7 and 8, alpha 1). Within a user, jobs
//! are served first come, first served if both coefficients of variation are below one, otherwise
//! with equal shares (Algorithm 3). [`Policy::Shares`] uses only these shares, as weights of the
//! product's order. Nothing is preempted.

mod jobs;
mod sim;

use {
    self::{
        jobs::{Load, Work, generate},
        sim::{Policy, Sim, job, team},
    },
    dogwoodreach::{
        Time,
        decide::{
            order::{WaitingJob, WaitingTasks},
            quota::{Quotas, ReclaimMethod},
        },
        units::Size,
    },
    fastrand::Rng,
    lexopt::{Arg, Parser, ValueExt},
    std::{
        collections::{BTreeSet, VecDeque},
        error::Error,
        time::{Duration, Instant},
    },
};

const CORE: Size = Size::new(1, 1024, 0);
const USERS: usize = 31;
/// Number of users with large jobs. If all users draw from one distribution, these are the tenth
/// with the largest mean.
const LARGE_USERS: usize = 3;
const POLICIES: [Policy; 6] =
    [Policy::First, Policy::Fair, Policy::Paper, Policy::Slack, Policy::Own, Policy::Shares];
const LOADS: [Load; 4] = [Load::Uniform, Load::Heavy, Load::Unlike, Load::Dated];

struct Options {
    slots: usize,
    hours: u64,
    seeds: u64,
    load: f64,
}

/// Prints the tables. Errs on an invalid argument.
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
        measure_steps(teams, tasks);
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

/// Mean response times in seconds of all jobs, of small users' jobs and of large users' jobs, the
/// longest of a large user's job, and the share of late jobs among those with a deadline.
fn figures(work: &[Work], over: &[Time], large: &BTreeSet<usize>) -> [f64; 5] {
    let response = |i: &usize| (over[*i] - work[*i].arrival).as_secs_f64();
    let mean = |of: Vec<usize>| of.iter().map(response).sum::<f64>() / of.len() as f64;
    let of = |big| (0..work.len()).filter(|i| large.contains(&work[*i].user) == big).collect();
    let worst = (0..work.len()).filter(|i| large.contains(&work[*i].user)).map(|i| response(&i));
    let dated = work.iter().filter(|w| w.deadline < Time::NEVER).count();
    let late = (0..work.len()).filter(|i| over[*i] > work[*i].deadline).count();
    [
        mean((0..work.len()).collect()),
        mean(of(false)),
        mean(of(true)),
        worst.fold(0.0, f64::max),
        late as f64 / dated as f64,
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
    means.iter().take(LARGE_USERS).map(|(_, u)| *u).collect()
}

fn mean_tasks(work: &[Work], user: usize) -> f64 {
    let of: Vec<_> = work.iter().filter(|w| w.user == user).map(|w| f64::from(w.tasks)).collect();
    of.iter().sum::<f64>() / of.len().max(1) as f64
}

/// Prints the duration of a step with this number of teams and waiting tasks, in jobs of a hundred
/// tasks. In a step, one running task ends and is queued again, and the next task is selected and
/// started.
fn measure_steps(teams: usize, tasks: usize) {
    let (mut order, mut quotas) = (WaitingTasks::default(), Quotas::default());
    let mut rng = Rng::with_seed(1);
    (0..teams).for_each(|t| quotas.set_quota(&team(t), Size::new(20, 20 * 1024, 0), rng.u32(1..5)));
    for i in 0..tasks / 100 {
        let now = Time(rng.u64(0..3_600_000_000));
        let new = WaitingJob {
            id: job(i),
            team: team(i % teams),
            deadline: now + Duration::from_secs(rng.u64(3600..36_000)),
            priority: rng.u8(0..3),
            run_time: Duration::from_secs(rng.u64(30..600)),
            width: 50,
            tasks: 100,
            size: CORE,
            reclaim: ReclaimMethod::Checkpoint,
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
            quotas.record_end(&task);
            order.requeue(now, &task, &mut quotas);
        }
        let Some(pick) = order.next(now + Duration::from_micros(i), &quotas) else { break };
        order.take(now + Duration::from_micros(i), &pick, &mut quotas);
        times.push(begin.elapsed());
        running.push_back(pick.quota_request.task);
    }
    times.sort();
    let at = |part: f64| times[((times.len() - 1) as f64 * part) as usize].as_nanos() as f64 / 1e3;
    let (p50, p999, max) = (at(0.5), at(0.999), at(1.0));
    println!("| {teams} | {tasks} | {p50:.1} | {p999:.1} | {max:.0} |");
}
