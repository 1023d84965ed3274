//! The checks that need more than one section: jobs that can never run, and dependency cycles.

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

/// The maximum number of names of a cycle that a fault lists.
const MAX_CYCLE_NAMES: usize = 8;

/// Finds jobs that can never run: a task exceeds a worker of the pool, a gang exceeds the whole
/// pool, or a task or gang exceeds the team's quota.
pub(super) fn check_sizes(plan: &Plan, places: &Places<'_>, faults: &mut Faults) {
    for (name, job) in &plan.jobs {
        let Some(lines) = places.get(name.as_str()) else { continue };
        if let Some(pool) = plan.pools.get(&job.pool) {
            let before = faults.count();
            check_task_size(name, job, pool, places, faults);
            if job.kind == JobKind::Gang && faults.count() == before {
                let room =
                    tasks_per_worker(&job.size, pool).saturating_mul(u64::from(pool.workers));
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
            JobKind::Gang => (multiplied(&job.size, job.tasks), "gang"),
            JobKind::Replicas | JobKind::Batch => (job.size, "one task of"),
        };
        if !sum.fits(&quota) {
            let cause = format!("{what} {name} needs {sum}, and team {} has {quota}", job.team);
            faults.add(lines.head, cause, "raise the team's quota or make the job smaller");
        }
    }
}

/// Adds a fault for each dimension in which one task is larger than one worker.
fn check_task_size(name: &JobId, job: &Job, pool: &Pool, places: &Places<'_>, faults: &mut Faults) {
    let Some(lines) = places.get(name.as_str()) else { return };
    let (need, room) = (&job.size, &pool.size);
    let mut check = |line, fits: bool, need: String, room: String| {
        if !fits {
            let cause =
                format!("a task of {name} needs {need}, and a worker of {} has {room}", job.pool);
            faults.add(line, cause, format!("at most {room}, or another pool"));
        }
    };
    let cores = |c: Cores| format!("{c} cores");
    check(lines.cores, need.cores <= room.cores, cores(need.cores), cores(room.cores));
    let memory = |m: Memory| m.to_string();
    check(lines.memory, need.memory <= room.memory, memory(need.memory), memory(room.memory));
    let accels = |a: Accels| format!("{a} accelerators");
    check(lines.accels, need.accels <= room.accels, accels(need.accels), accels(room.accels));
}

/// How many tasks of a size fit on one worker of a pool.
fn tasks_per_worker(size: &Size, pool: &Pool) -> u64 {
    let parts = [
        pool.size.cores.0.checked_div(size.cores.0),
        pool.size.memory.0.checked_div(size.memory.0),
        pool.size.accels.0.checked_div(size.accels.0),
    ];
    parts.into_iter().flatten().min().unwrap_or(0)
}

fn multiplied(size: &Size, tasks: u32) -> Size {
    let n = u64::from(tasks);
    Size {
        cores: Cores(size.cores.0.saturating_mul(n)),
        memory: Memory(size.memory.0.saturating_mul(n)),
        accels: Accels(size.accels.0.saturating_mul(n)),
    }
}

/// A service or job on the current path of the search for cycles, with its unvisited dependencies.
struct Frame<'p> {
    name: &'p str,
    unvisited: std::slice::Iter<'p, Box<str>>,
}

/// Finds services and jobs that depend on themselves, in one depth-first search.
///
/// There is one fault for each dependency that closes a cycle; removing these removes all cycles.
/// The search keeps an explicit stack: recursion over the longest chain that a text allows would
/// overflow the thread's stack.
pub(super) fn check_cycles(plan: &Plan, places: &Places<'_>, faults: &mut Faults) {
    let services = plan.services.iter().map(|(n, s)| (n.as_str(), &s.after));
    let jobs = plan.jobs.iter().map(|(n, j)| (n.as_str(), &j.after));
    let graph: BTreeMap<&str, &Vec<Box<str>>> = services.chain(jobs).collect();
    // The position of a name on the path; `None` once all its dependencies are visited.
    let mut seen: BTreeMap<&str, Option<usize>> = BTreeMap::new();
    let mut path: Vec<Frame<'_>> = Vec::new();
    for (name, after) in &graph {
        if seen.contains_key(name) {
            continue;
        }
        seen.insert(name, Some(0));
        path.push(Frame { name, unvisited: after.iter() });
        while let Some(frame) = path.last_mut() {
            let (from, next) = (frame.name, frame.unvisited.next());
            let Some(next) = next else {
                seen.insert(from, None);
                path.pop();
                continue;
            };
            let Some((next, after)) = graph.get_key_value(&**next) else { continue };
            match seen.get(next) {
                Some(None) => {}
                Some(Some(at)) => {
                    let line = places.get(from).map_or(1, |l| l.after);
                    let cause = format!("a cycle: {}", describe_cycle(&path[*at..]));
                    faults.add(line, cause, "remove one of these dependencies");
                }
                None => {
                    seen.insert(next, Some(path.len()));
                    path.push(Frame { name: next, unvisited: after.iter() });
                }
            }
        }
    }
}

fn describe_cycle(path: &[Frame<'_>]) -> String {
    let mut names: Vec<&str> = path.iter().take(MAX_CYCLE_NAMES).map(|f| f.name).collect();
    if path.len() > MAX_CYCLE_NAMES {
        names.push("...");
    }
    names.extend(path.first().map(|f| f.name));
    names.join(" -> ")
}
