//! The judge's comparison of what a shard's owner believes to run with what the workers run.

use {
    crate::site::{
        judge::FAULT_GRACE,
        stay::{MAX_ABSENCE, ROOM_DURATION},
        worker::World,
    },
    derive_more::Display,
    dogwoodreach::{
        Time,
        ids::WorkerId,
        shard::{CountedRun, TaskPlace},
        work::TaskKey,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Longest time from the sending of a hold to its answer, while the worker has runs.
const HOLD_TIME: Duration = Duration::from_millis(1_600);
/// A difference must disappear within two holds: one that was sent before it arose, and the next.
pub const MAX_DIFFERENCE: Duration = Duration::from_millis(2 * HOLD_TIME.as_millis() as u64);
/// If a worker ends without a sign, its runs count as running for as long as a long-running task
/// may be down.
const MAX_LOSS: Duration =
    Duration::from_millis((MAX_ABSENCE.as_millis() + ROOM_DURATION.as_millis()) as u64);

/// A run of a task at a worker.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
#[display("{task} in run {run} at {worker}")]
struct Place {
    task: TaskKey,
    run: u32,
    worker: WorkerId,
}

/// A difference between the owner's rows and the workers' runs.
#[derive(Clone, Debug, Display, PartialEq, Eq, PartialOrd, Ord)]
enum Difference {
    #[display("the owner counts {_0}, which doesn't run there")]
    Missing(Place),
    #[display("{_0} runs, and the owner doesn't count it")]
    Unknown(Place),
    #[display("the owner's row assigns {_0}, and the owner counts no such run")]
    Unbacked(Place),
    #[display("the owner's row says that {_0} waits, and its step is not in the ready queue")]
    Unqueued(TaskKey),
}

/// What an owner believes, and how far it can be expected to know.
#[derive(Debug, Default)]
pub struct Beliefs {
    /// The owner's token or another number that differs between owners.
    pub owner: u64,
    /// The runs that the owner counts at workers.
    pub counted: Vec<CountedRun>,
    /// The places of the long-running tasks.
    pub long_running: BTreeMap<TaskKey, TaskPlace>,
    /// The workers that the owner can't reach.
    pub unreached: BTreeSet<usize>,
    /// Whether orders may be carried out late, without an answer.
    pub late_orders: bool,
}

/// The differences at the last check, with the time since which each has lasted.
#[derive(Default)]
pub struct Differences {
    owner: u64,
    since: BTreeMap<Difference, Time>,
}

impl Differences {
    /// Returns the text of the breach if a difference has lasted too long. `suspended_until` is the
    /// time until which the rules are suspended.
    pub fn overdue(
        &mut self,
        world: &World,
        beliefs: &Beliefs,
        suspended_until: Time,
    ) -> Option<String> {
        let now = world.now;
        let before = match self.owner == beliefs.owner {
            true => std::mem::take(&mut self.since),
            false => BTreeMap::new(),
        };
        self.owner = beliefs.owner;
        let mut text = None;
        // `suspended_until` includes `FAULT_GRACE` after the last moment of the fault.
        let calm = |since: Time, limit| {
            suspended_until <= now
                && suspended_until + limit <= now + FAULT_GRACE
                && since + limit <= now
        };
        for (difference, limit) in differences(world, beliefs) {
            let since = before.get(&difference).copied().unwrap_or(now);
            if calm(since, limit) && text.is_none() {
                text = Some(describe(world, beliefs, &difference, since));
            }
            self.since.insert(difference, since);
        }
        text
    }
}

/// The present differences, each with the time for which it may last.
fn differences(world: &World, beliefs: &Beliefs) -> Vec<(Difference, Duration)> {
    let (mut found, reached) = (vec![], |at: &usize| !beliefs.unreached.contains(at));
    let ids: BTreeMap<WorkerId, usize> =
        (0..world.workers.len()).map(|at| (world.id(at), at)).collect();
    let mut running = BTreeSet::new();
    for at in (0..world.workers.len()).filter(reached) {
        running.extend(world.workers[at].runs.iter().map(|r| Place {
            task: r.start.task,
            run: r.start.run,
            worker: world.id(at),
        }));
    }
    let mut counted = BTreeSet::new();
    for r in &beliefs.counted {
        let place = Place { task: r.task, run: r.run, worker: r.worker.clone() };
        counted.insert(place.clone());
        let at = ids.get(&r.worker);
        if at.is_some_and(|at| !reached(at)) || running.contains(&place) {
            continue;
        }
        // A run that was never answered may still begin.
        if r.is_running || r.is_answered || !beliefs.late_orders {
            let lives = at.is_some_and(|at| world.workers[*at].up);
            let limit = if lives { MAX_DIFFERENCE } else { MAX_LOSS };
            found.push((Difference::Missing(place), limit));
        }
    }
    let unknown = running.difference(&counted).cloned();
    found.extend(unknown.map(|place| (Difference::Unknown(place), MAX_DIFFERENCE)));
    for (task, place) in &beliefs.long_running {
        let difference = match place {
            TaskPlace::Ready => continue,
            TaskPlace::NotReady => Difference::Unqueued(*task),
            TaskPlace::Assigned(worker, run) => {
                let place = Place { task: *task, run: *run, worker: worker.clone() };
                if counted.contains(&place) {
                    continue;
                }
                Difference::Unbacked(place)
            }
        };
        found.push((difference, MAX_DIFFERENCE));
    }
    found
}

/// Describes a difference with what both sides have of the task.
fn describe(world: &World, beliefs: &Beliefs, difference: &Difference, since: Time) -> String {
    let task = match difference {
        Difference::Missing(p) | Difference::Unknown(p) | Difference::Unbacked(p) => p.task,
        Difference::Unqueued(task) => *task,
    };
    let counted: Vec<_> = beliefs.counted.iter().filter(|r| r.task == task).collect();
    let at = |at: usize| {
        let runs = world.workers[at].runs.iter().filter(|r| r.start.task == task);
        runs.map(|r| format!("run {} at {}", r.start.run, world.id(at))).collect::<Vec<_>>()
    };
    let running: Vec<_> = (0..world.workers.len()).flat_map(at).collect();
    format!(
        "{difference}, since {since}; owner: {counted:?}, row {:?}; workers: {running:?}",
        beliefs.long_running.get(&task)
    )
}
