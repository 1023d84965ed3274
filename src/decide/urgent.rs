//! Urgent work that starts at once, in the room of work that can be checkpointed.
//!
//! The load: a surveyor's structural model or an eligibility run for a family at the counter arrives
//! while all workers are full of batch work. In the queue it would wait for hours, and the letter asks
//! for a start within 1.1 s. Preempting whatever is found first stops services, breaks gangs and throws
//! away hours of work; and if "urgent" costs its team nothing, everything is soon urgent.
//!
//! Victims are tasks that checkpoint within `SAVE`, never services nor single members of a gang (the
//! rest of the gang would hold its room and do nothing). Borrowed room goes first, then what loses
//! least: processor time since the last checkpoint, with a fixed price a victim, so that one task is
//! not replaced by ten small ones. Each team has an allowance in parts of its quota; urgent work over
//! it is not refused, it waits in the usual order.

use {
    crate::{
        Time,
        ids::{TaskId, TeamId, WorkerId},
        units::{Accels, Cores, Memory, Size},
    },
    rustc_hash::FxHashMap,
    std::time::Duration,
};

/// The longest checkpoint of a victim: of the 1.1 s, 0.2 s go to the decision, the commit of intent
/// and two messages, and 0.2 s are kept for a late one.
const SAVE: Duration = Duration::from_millis(700);
/// Tasks stopped for one start at most; each may fail to checkpoint in time.
const VICTIMS: usize = 4;
/// What a victim costs whatever it loses, in core-seconds: a restart loads its image and inputs anew,
/// about half a minute of one core.
const RESTART: u64 = 30;
/// The part of a team's quota that its urgent tasks may hold at a time, one in so many. With a tenth
/// for each team, at most a tenth of the cell is ever preempted for urgent work.
const PART: u64 = 10;
/// Urgent starts of a team in a burst, and the time in which one comes back: a counter's rush passes,
/// and a team that marks its nightly batch urgent gets twelve of these a minute, no more.
const BURST: u32 = 20;
const EACH: Duration = Duration::from_secs(5);

/// What a running task is, for the choice of victims.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A replica of a service, not to be stopped.
    Service,
    /// A member of a gang, not to be stopped alone.
    Gang,
    /// Urgent itself.
    Urgent,
    /// Batch work that cannot be checkpointed.
    Plain,
    /// Batch work that can.
    Checkpoint,
}

/// A task that runs on a worker.
#[derive(Clone, Debug)]
pub struct Running {
    /// The task.
    pub task: TaskId,
    /// What it reserves.
    pub size: Size,
    /// What it is.
    pub kind: Kind,
    /// Whether it runs in borrowed room.
    pub borrowed: bool,
    /// When it started, or was last checkpointed.
    pub saved: Time,
    /// How long a checkpoint takes.
    pub save: Duration,
}

/// A worker that might take the urgent task.
#[derive(Clone, Debug)]
pub struct Place {
    /// The worker.
    pub worker: WorkerId,
    /// What is free there.
    pub free: Size,
    /// What runs there.
    pub running: Vec<Running>,
}

/// Where an urgent task starts, and what is checkpointed and stopped there before.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// The worker.
    pub worker: WorkerId,
    /// The tasks to stop; empty where there is room.
    pub victims: Vec<TaskId>,
    /// What that costs.
    pub cost: Cost,
}

/// What a preemption costs; own room weighs more than any loss of borrowed room.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Cost {
    /// Victims in room of their own team's quota.
    pub owners: usize,
    /// Work lost, in core-seconds.
    pub lost: u64,
}

/// Each team's allowance of urgent work.
#[derive(Debug, Default)]
pub struct Allowances {
    teams: FxHashMap<TeamId, Allowance>,
}

#[derive(Debug)]
struct Allowance {
    held: Size,
    /// When the allowance of starts was, or will be, full.
    full: Time,
}

impl Allowances {
    /// Whether the team may start urgent work of this size now; if so, it is counted.
    pub fn start(&mut self, now: Time, team: &TeamId, size: Size, quota: Size) -> bool {
        let new = Allowance { held: Size::default(), full: Time::ZERO };
        let a = self.teams.entry(team.clone()).or_insert(new);
        let full = a.full.max(now) + EACH;
        let held = a.held + size;
        if full > now + EACH * BURST || !held.fits(&part(quota)) {
            return false;
        }
        a.full = full;
        a.held = held;
        true
    }

    /// Frees what an urgent task of the team held.
    pub fn ended(&mut self, team: &TeamId, size: Size) {
        let Some(a) = self.teams.get_mut(team) else { return };
        a.held = a.held.saturating_sub(&size);
    }
}

/// The cheapest of `places` for a task of size `need`, or `None` where no allowed victims make room.
///
/// Work grows with the tasks that run on `places`; the caller gives some dozens of workers, not all.
pub fn plan(now: Time, need: Size, places: &[Place]) -> Option<Plan> {
    let plans = places.iter().filter_map(|p| plan_at(now, need, p));
    plans.min_by(|a, b| (a.cost, &a.worker).cmp(&(b.cost, &b.worker)))
}

fn plan_at(now: Time, need: Size, place: &Place) -> Option<Plan> {
    let mut open: Vec<_> = place.running.iter().filter(|r| may_stop(r)).collect();
    open.sort_by_key(|r| (!r.borrowed, lost(now, r), r.task.clone()));
    let mut free = place.free;
    let mut victims = Vec::new();
    for r in open {
        if need.fits(&free) {
            break;
        }
        if helps(&need, &free, &r.size) {
            free += r.size;
            victims.push(r);
        }
    }
    if !need.fits(&free) {
        return None;
    }
    spare_needless(need, free, &mut victims);
    if victims.len() > VICTIMS {
        return None;
    }
    let cost = Cost {
        owners: victims.iter().filter(|r| !r.borrowed).count(),
        lost: victims.iter().map(|r| lost(now, r)).sum(),
    };
    let victims = victims.iter().map(|r| r.task.clone()).collect();
    Some(Plan { worker: place.worker.clone(), victims, cost })
}

/// Drops victims that turned out not to be needed after a larger one was added, the dearest, which are last, first.
fn spare_needless(need: Size, mut free: Size, victims: &mut Vec<&Running>) {
    for i in (0..victims.len()).rev() {
        let Some(less) = free.checked_sub(&victims[i].size) else { continue };
        if need.fits(&less) {
            free = less;
            victims.remove(i);
        }
    }
}

/// Whether stopping a task of this size brings any dimension that is short nearer to the need.
fn helps(need: &Size, free: &Size, size: &Size) -> bool {
    let short = need.saturating_sub(free);
    (short.cores > Cores(0) && size.cores > Cores(0))
        || (short.memory > Memory(0) && size.memory > Memory(0))
        || (short.accels > Accels(0) && size.accels > Accels(0))
}

fn may_stop(r: &Running) -> bool {
    r.kind == Kind::Checkpoint && r.save <= SAVE
}

fn lost(now: Time, r: &Running) -> u64 {
    now.since(r.saved).as_secs().saturating_mul(r.size.cores.0) / 1000 + RESTART
}

fn part(quota: Size) -> Size {
    // At least one task of some size must be possible, so parts are rounded up.
    Size {
        cores: Cores(quota.cores.0.div_ceil(PART)),
        memory: Memory(quota.memory.0.div_ceil(PART)),
        accels: Accels(quota.accels.0.div_ceil(PART)),
    }
}
