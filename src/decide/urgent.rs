//! Chooses the tasks that are preempted so that urgent work starts at once.
//!
//! The load: a surveyor's structural model or an eligibility run for a family at the counter
//! arrives while all workers are full of batch work. In the queue it would wait for hours, but it
//! has to start within 1.1 s. Preempting the first task found stops services, breaks gangs and
//! discards hours of work. If urgent work has no limit for its team, everything soon becomes
//! urgent.
//!
//! Victims are tasks that checkpoint within `MAX_CHECKPOINT_TIME`, never services or single members
//! of a gang (the rest of the gang would hold its room and make no progress). Tasks in borrowed
//! room are preempted first, then those that lose the least processor time since their last
//! checkpoint. Each victim has a fixed extra cost, so that one task is not replaced by ten small
//! ones. Each team has an allowance, a part of its quota; urgent work over the allowance is not
//! refused but waits in the usual order.

use {
    crate::{
        Time,
        ids::{TaskId, TeamId, WorkerId},
        units::{Accels, Cores, Memory, Size},
    },
    rustc_hash::FxHashMap,
    std::time::Duration,
};

/// Maximum time that a victim's checkpoint may take. Of the 1.1 s, 0.2 s are used by the decision,
/// the commit of intent and two messages, and 0.2 s are reserved for a late message.
const MAX_CHECKPOINT_TIME: Duration = Duration::from_millis(700);
/// Maximum number of tasks stopped for the start of one urgent task, as each of them may fail to
/// checkpoint in time.
const MAX_VICTIMS: usize = 4;
/// Cost of restarting a victim, in core-seconds, which is added to the work it loses. A restart
/// loads the image and inputs again, which takes about half a minute of one core.
const RESTART_COST_CORE_SECONDS: u64 = 30;
/// Divisor of a team's quota that gives the maximum resources its urgent tasks may hold at a time.
/// With a tenth for each team, at most a tenth of the cell is ever preempted for urgent work.
const URGENT_QUOTA_DIVISOR: u64 = 10;
/// Maximum number of urgent starts that a team may make in a burst, enough for a rush at a counter.
const MAX_BURST_STARTS: u32 = 20;
/// Interval at which a team is allowed one more urgent start. A team that marks its nightly batch
/// as urgent gets twelve of them a minute.
const MIN_START_INTERVAL: Duration = Duration::from_secs(5);

/// Kind of a running task, which decides whether it may be preempted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskKind {
    /// A replica of a service, which must not be stopped.
    Service,
    /// A member of a gang, which must not be stopped alone.
    Gang,
    /// An urgent task.
    Urgent,
    /// A batch task that cannot be checkpointed.
    Plain,
    /// A batch task that can be checkpointed.
    Checkpoint,
}

/// A task that runs on a worker.
#[derive(Clone, Debug)]
pub struct RunningTask {
    /// The task.
    pub task: TaskId,
    /// Resources that the task reserves.
    pub size: Size,
    /// Kind of the task, which decides whether it may be preempted.
    pub kind: TaskKind,
    /// Whether the task runs in borrowed room.
    pub is_borrowed: bool,
    /// Time at which the task started or was last checkpointed.
    pub last_checkpoint: Time,
    /// Expected time that a checkpoint of the task takes.
    pub checkpoint_time: Duration,
}

/// A worker that could take the urgent task.
#[derive(Clone, Debug)]
pub struct CandidateWorker {
    /// The worker.
    pub worker: WorkerId,
    /// Free resources of the worker.
    pub free: Size,
    /// Tasks that run on the worker.
    pub running: Vec<RunningTask>,
}

/// The worker on which an urgent task starts, and the tasks that are checkpointed and stopped on it
/// first.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PreemptionPlan {
    /// The worker.
    pub worker: WorkerId,
    /// The tasks to stop; empty if the worker has room.
    pub victims: Vec<TaskId>,
    /// Cost of stopping the victims.
    pub cost: PreemptionCost,
}

/// Cost of a preemption. Stopping one task within its team's own quota costs more than stopping any
/// number of tasks in borrowed room.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct PreemptionCost {
    /// Number of victims within their own team's quota.
    pub own_quota: usize,
    /// Lost work, in core-seconds.
    pub lost_work: u64,
}

/// Each team's allowance of urgent work.
#[derive(Debug, Default)]
pub struct UrgentAllowances {
    teams: FxHashMap<TeamId, Allowance>,
}

#[derive(Debug)]
struct Allowance {
    /// Resources of the team's running urgent tasks.
    held: Size,
    /// Time from which the team may again start a full burst of urgent tasks.
    full_at: Time,
}

impl UrgentAllowances {
    /// Returns whether the team may start urgent work of this size now, and counts it if so.
    pub fn admit_start(&mut self, now: Time, team: &TeamId, size: Size, quota: Size) -> bool {
        let new = Allowance { held: Size::default(), full_at: Time::ZERO };
        let a = self.teams.entry(team.clone()).or_insert(new);
        let full_at = a.full_at.max(now) + MIN_START_INTERVAL;
        let held = a.held + size;
        if full_at > now + MIN_START_INTERVAL * MAX_BURST_STARTS
            || !held.fits(&urgent_allowance(quota))
        {
            return false;
        }
        a.full_at = full_at;
        a.held = held;
        true
    }

    /// Records the end of an urgent task and frees its part of the team's allowance.
    pub fn record_end(&mut self, team: &TeamId, size: Size) {
        let Some(a) = self.teams.get_mut(team) else { return };
        a.held = a.held.saturating_sub(&size);
    }
}

/// Returns the cheapest way to start a task of size `need` on one of `places`, or `None` if no
/// permitted preemption makes enough room.
///
/// The time grows with the number of tasks that run on `places`; the caller passes some dozens of
/// workers, not all.
pub fn plan_preemption(
    now: Time,
    need: Size,
    places: &[CandidateWorker],
) -> Option<PreemptionPlan> {
    let plans = places.iter().filter_map(|p| plan_at(now, need, p));
    plans.min_by(|a, b| (a.cost, &a.worker).cmp(&(b.cost, &b.worker)))
}

fn plan_at(now: Time, need: Size, place: &CandidateWorker) -> Option<PreemptionPlan> {
    let mut candidates: Vec<_> = place.running.iter().filter(|r| is_preemptible(r)).collect();
    candidates.sort_by_key(|r| (!r.is_borrowed, lost_work(now, r), r.task.clone()));
    let mut free = place.free;
    let mut victims = Vec::new();
    for r in candidates {
        if need.fits(&free) {
            break;
        }
        if reduces_shortage(&need, &free, &r.size) {
            free += r.size;
            victims.push(r);
        }
    }
    if !need.fits(&free) {
        return None;
    }
    drop_unneeded_victims(need, free, &mut victims);
    if victims.len() > MAX_VICTIMS {
        return None;
    }
    let cost = PreemptionCost {
        own_quota: victims.iter().filter(|r| !r.is_borrowed).count(),
        lost_work: victims.iter().map(|r| lost_work(now, r)).sum(),
    };
    let victims = victims.iter().map(|r| r.task.clone()).collect();
    Some(PreemptionPlan { worker: place.worker.clone(), victims, cost })
}

/// Removes victims that are no longer needed after a larger one was added, starting with the most
/// expensive, which come last.
fn drop_unneeded_victims(need: Size, mut free: Size, victims: &mut Vec<&RunningTask>) {
    for i in (0..victims.len()).rev() {
        let Some(remaining) = free.checked_sub(&victims[i].size) else { continue };
        if need.fits(&remaining) {
            free = remaining;
            victims.remove(i);
        }
    }
}

/// Returns whether stopping a task of this size reduces the shortage in any dimension.
fn reduces_shortage(need: &Size, free: &Size, size: &Size) -> bool {
    let short = need.saturating_sub(free);
    (short.cores > Cores(0) && size.cores > Cores(0))
        || (short.memory > Memory(0) && size.memory > Memory(0))
        || (short.accels > Accels(0) && size.accels > Accels(0))
}

fn is_preemptible(r: &RunningTask) -> bool {
    r.kind == TaskKind::Checkpoint && r.checkpoint_time <= MAX_CHECKPOINT_TIME
}

fn lost_work(now: Time, r: &RunningTask) -> u64 {
    now.since(r.last_checkpoint).as_secs().saturating_mul(r.size.cores.0) / 1000
        + RESTART_COST_CORE_SECONDS
}

fn urgent_allowance(quota: Size) -> Size {
    // Rounded up, so that a team with a small quota can run at least one small task.
    Size {
        cores: Cores(quota.cores.0.div_ceil(URGENT_QUOTA_DIVISOR)),
        memory: Memory(quota.memory.0.div_ceil(URGENT_QUOTA_DIVISOR)),
        accels: Accels(quota.accels.0.div_ceil(URGENT_QUOTA_DIVISOR)),
    }
}
