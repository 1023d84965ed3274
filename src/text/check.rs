//! The checks that need more than one section: what can never run, and what waits for itself.

use {
    super::{
        places::Places,
        plan::{Job, JobKind, Plan, Pool},
    },
    crate::{
        ids::JobId,
        ini::Faults,
        units::{Accels, Cores, Memory, Size},
    },
    std::collections::BTreeMap,
};

/// The most names of a cycle that a fault lists.
const CYCLE: usize = 8;

/// Finds jobs whose size no worker of their pool, no quota or no whole pool could ever hold.
pub(super) fn sizes(plan: &Plan, places: &Places<'_>, faults: &mut Faults) {
    for (name, job) in &plan.jobs {
        let Some(lines) = places.get(name.as_str()) else { continue };
        if let Some(pool) = plan.pools.get(&job.pool) {
            let before = faults.count();
            worker(name, job, pool, places, faults);
            if job.kind == JobKind::Gang && faults.count() == before {
                let room = held(&job.size, pool).saturating_mul(u64::from(pool.workers));
                if u64::from(job.tasks) > room {
                    let cause = format!(
                        "gang {name} has {} tasks, and all of pool {} holds {room} of its size",
                        job.tasks, job.pool
                    );
                    faults.add(lines.tasks, cause, format!("at most {room} tasks"));
                }
            }
        }
        let Some(quota) = plan.teams.get(&job.team).and_then(|t| t.quota) else { continue };
        let (sum, what) = match job.kind {
            JobKind::Gang => (times(&job.size, job.tasks), "gang"),
            JobKind::Replicas | JobKind::Batch => (job.size, "one task of"),
        };
        if !sum.fits(&quota) {
            let cause = format!("{what} {name} needs {sum}, and team {} has {quota}", job.team);
            faults.add(lines.head, cause, "raise the team's quota or make the job smaller");
        }
    }
}

/// Finds the dimensions in which one task is larger than one worker.
fn worker(name: &JobId, job: &Job, pool: &Pool, places: &Places<'_>, faults: &mut Faults) {
    let Some(lines) = places.get(name.as_str()) else { return };
    let (need, room) = (&job.size, &pool.size);
    let mut over = |line, fits: bool, need: String, room: String| {
        if !fits {
            let cause =
                format!("a task of {name} needs {need}, and a worker of {} has {room}", job.pool);
            faults.add(line, cause, format!("at most {room}, or another pool"));
        }
    };
    let cores = |c: Cores| format!("{c} cores");
    over(lines.cores, need.cores <= room.cores, cores(need.cores), cores(room.cores));
    let memory = |m: Memory| m.to_string();
    over(lines.memory, need.memory <= room.memory, memory(need.memory), memory(room.memory));
    let accels = |a: Accels| format!("{a} accelerators");
    over(lines.accels, need.accels <= room.accels, accels(need.accels), accels(room.accels));
}

/// How many tasks of a size one worker holds.
fn held(size: &Size, pool: &Pool) -> u64 {
    let parts = [
        pool.size.cores.0.checked_div(size.cores.0),
        pool.size.memory.0.checked_div(size.memory.0),
        pool.size.accels.0.checked_div(size.accels.0),
    ];
    parts.into_iter().flatten().min().unwrap_or(0)
}

fn times(size: &Size, tasks: u32) -> Size {
    let n = u64::from(tasks);
    Size {
        cores: Cores(size.cores.0.saturating_mul(n)),
        memory: Memory(size.memory.0.saturating_mul(n)),
        accels: Accels(size.accels.0.saturating_mul(n)),
    }
}

/// A service or job on the way of the search for cycles.
struct Step<'p> {
    name: &'p str,
    rest: std::slice::Iter<'p, Box<str>>,
}

/// Finds services and jobs that wait for themselves, in one walk of every dependency.
///
/// One fault is told for each dependency that closes a cycle; without these there is none left.
/// The walk keeps its own stack: a chain as long as a text allows would overflow a thread's.
pub(super) fn cycles(plan: &Plan, places: &Places<'_>, faults: &mut Faults) {
    let services = plan.services.iter().map(|(n, s)| (n.as_str(), &s.after));
    let jobs = plan.jobs.iter().map(|(n, j)| (n.as_str(), &j.after));
    let graph: BTreeMap<&str, &Vec<Box<str>>> = services.chain(jobs).collect();
    // Where a name is on the way; `None` once all that it waits for is known to end.
    let mut seen: BTreeMap<&str, Option<usize>> = BTreeMap::new();
    let mut way: Vec<Step<'_>> = Vec::new();
    for (name, after) in &graph {
        if seen.contains_key(name) {
            continue;
        }
        seen.insert(name, Some(0));
        way.push(Step { name, rest: after.iter() });
        while let Some(step) = way.last_mut() {
            let (from, next) = (step.name, step.rest.next());
            let Some(next) = next else {
                seen.insert(from, None);
                way.pop();
                continue;
            };
            let Some((next, after)) = graph.get_key_value(&**next) else { continue };
            match seen.get(next) {
                Some(None) => {}
                Some(Some(at)) => {
                    let line = places.get(from).map_or(1, |l| l.after);
                    let cause = format!("a cycle: {}", cycle(&way[*at..]));
                    faults.add(line, cause, "remove one of these dependencies");
                }
                None => {
                    seen.insert(next, Some(way.len()));
                    way.push(Step { name: next, rest: after.iter() });
                }
            }
        }
    }
}

fn cycle(way: &[Step<'_>]) -> String {
    let mut names: Vec<&str> = way.iter().take(CYCLE).map(|s| s.name).collect();
    if way.len() > CYCLE {
        names.push("...");
    }
    names.extend(way.first().map(|s| s.name));
    names.join(" -> ")
}
