//! Tracks teams' quotas: what each team may hold, what it may borrow, and how borrowed room is
//! returned.
//!
//! The load: 310 teams, most of which are idle at any time, while a few have far more work than
//! their quota. With hard quotas, half of the cell is idle while these few wait. With unrestricted
//! borrowing, a team that needs its quota again in the morning finds it taken by other teams' long
//! tasks.
//!
//! So idle quota is lent, in all three dimensions, to tasks whose room can be reclaimed: tasks that
//! checkpoint, and brief ones. The part of a lender's quota that its own waiting work needs is not
//! idle. When more is borrowed than is idle, borrowed tasks are checkpointed and stopped at a
//! bounded rate, starting with the newest task of the team that has borrowed the most, measured by
//! its weighted dominant share.
//!
//! Shares are relative to the sum of all quotas, which is assumed to be the capacity of the cell.
//! If operators assign more than that, placement decides what fits, and this module still limits
//! each team to its quota.

use {
    crate::{
        Time,
        ids::{TaskId, TeamId},
        units::Size,
    },
    derive_more::Display,
    rustc_hash::FxHashMap,
    std::{collections::BTreeMap, time::Duration},
};

/// A task that is expected to end within this time is brief. It may borrow without a checkpoint,
/// since waiting for its end costs a lender no more than a checkpoint and a restart would cost the
/// borrower.
pub const BRIEF_TASK: Duration = Duration::from_secs(60);
/// Number of returns a second. Each is a checkpoint of gigabytes; at 20 a second, 7,000 borrowed
/// tasks (a third of those running) are returned in six minutes, and a hundred in five seconds.
const RETURNS_PER_SECOND: u64 = 20;
/// Number of returns that may be requested at once after a period without returns.
const MAX_RETURN_BURST: u64 = 20;
/// The value 1.0 of a share, as a fixed-point number.
const SHARE_SCALE: u128 = 1 << 40;

/// How a task's room can be reclaimed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reclaim {
    /// By checkpointing and stopping the task.
    Checkpoint,
    /// By waiting: the task is expected to end within [`BRIEF_TASK`].
    Brief,
    /// Not at all, as for services and single tasks of a gang.
    Never,
}

/// A task that requests room.
#[derive(Clone, Debug)]
pub struct QuotaRequest {
    /// The team whose quota is charged.
    pub team: TeamId,
    /// The task.
    pub task: TaskId,
    /// Resources that the task reserves.
    pub size: Size,
    /// How its room can be reclaimed.
    pub reclaim: Reclaim,
}

/// What a task may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Grant {
    /// Room within its team's own quota.
    Own,
    /// Idle room within other teams' quotas.
    Borrowed,
    /// Nothing for now.
    Wait,
}

/// Why a job is refused at submission.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Refusal {
    /// There is no such team.
    #[display("no team of this name has a quota")]
    Unknown,
    /// All tasks must run at once, which exceeds the quota.
    #[display("all its tasks at once need {need}, more than the team's quota of {quota}")]
    OverQuota {
        /// Total resources of all tasks.
        need: Size,
        /// The team's quota.
        quota: Size,
    },
}

/// A team's place among all teams; the lowest is served next.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Whether the team has borrowed room.
    pub borrows: bool,
    /// Its dominant share divided by its weight, in units of 2^-40.
    pub share: u64,
}

/// All quotas and what is held of them.
#[derive(Debug, Default)]
pub struct Quotas {
    teams: BTreeMap<TeamId, Account>,
    tasks: FxHashMap<TaskId, Held>,
    total: Size,
    /// Sums over all teams, kept so that a grant reads one team only.
    lendable: Size,
    borrowed: Size,
    returning: Size,
    next_sequence: u64,
    tokens: u64,
    last_refill: Time,
}

#[derive(Debug, Default)]
struct Account {
    quota: Size,
    weight: u64,
    own: Size,
    borrowed: Size,
    waiting: Size,
    /// Borrowed tasks that are not being returned, by order of start.
    loans: BTreeMap<u64, TaskId>,
}

#[derive(Debug)]
struct Held {
    team: TeamId,
    size: Size,
    back: Reclaim,
    sequence: u64,
    state: State,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Own,
    Borrowed,
    Returning,
}

impl Account {
    /// Returns the quota that is neither in use nor needed by waiting work of the team.
    fn lendable(&self) -> Size {
        self.quota.saturating_sub(&self.own).saturating_sub(&self.waiting)
    }

    fn fits_own(&self, size: &Size) -> bool {
        (self.own + *size).fits(&self.quota)
    }
}

impl Quotas {
    /// Sets a team's quota and weight; a weight of zero counts as one.
    ///
    /// Running tasks keep their grants: usage drops to a smaller quota as tasks end.
    pub fn set(&mut self, team: &TeamId, quota: Size, weight: u32) {
        self.update(team, |a| {
            a.quota = quota;
            a.weight = u64::from(weight.max(1));
        });
        self.total = self.teams.values().map(|a| a.quota).sum();
    }

    /// Checks that a job whose tasks must all run at once fits the team's quota.
    ///
    /// # Errors
    ///
    /// Returns why the job can never run.
    pub fn check(&self, team: &TeamId, need: Size) -> Result<(), Refusal> {
        let Some(a) = self.teams.get(team) else { return Err(Refusal::Unknown) };
        if need.fits(&a.quota) {
            return Ok(());
        }
        Err(Refusal::OverQuota { need, quota: a.quota })
    }

    /// Records `count` waiting tasks of a team, so that the quota they need is not lent.
    pub fn add_waiting(&mut self, team: &TeamId, size: Size, count: usize) {
        self.update(team, |a| a.waiting += size.times(count as u64));
    }

    /// Records that `count` tasks no longer wait, for a reason other than [`Quotas::start`].
    pub fn remove_waiting(&mut self, team: &TeamId, size: Size, count: usize) {
        self.update(team, |a| a.waiting = a.waiting.saturating_sub(&size.times(count as u64)));
    }

    /// Returns what the task could take now.
    pub fn grant(&self, ask: &QuotaRequest) -> Grant {
        let Some(a) = self.teams.get(&ask.team) else { return Grant::Wait };
        if a.fits_own(&ask.size) {
            return Grant::Own;
        }
        let spare = self.lendable.saturating_sub(&self.borrowed);
        if ask.reclaim != Reclaim::Never && ask.size.fits(&spare) {
            Grant::Borrowed
        } else {
            Grant::Wait
        }
    }

    /// Starts a task that waited, if it is granted room.
    pub fn start(&mut self, ask: &QuotaRequest) -> Grant {
        let grant = self.grant(ask);
        let state = match grant {
            Grant::Own => State::Own,
            Grant::Borrowed => State::Borrowed,
            Grant::Wait => return grant,
        };
        self.insert(ask, state);
        grant
    }

    /// Counts a task that a former owner started, whether or not there is idle quota for it.
    pub fn adopt(&mut self, ask: &QuotaRequest) {
        let own = self.teams.get(&ask.team).is_some_and(|a| a.fits_own(&ask.size));
        self.insert(ask, if own { State::Own } else { State::Borrowed });
    }

    /// Frees what the task held. Room of the team's own quota is passed to its oldest loans first.
    pub fn record_end(&mut self, task: &TaskId) {
        let Some(held) = self.tasks.remove(task) else { return };
        self.release(&held);
        if held.state == State::Own {
            self.repay(&held.team);
        }
    }

    /// Returns tasks to checkpoint and stop so that lenders get their room back; each is returned
    /// once.
    pub fn tasks_to_return(&mut self, now: Time) -> Vec<TaskId> {
        self.refill(now);
        let mut tasks = Vec::new();
        while self.tokens > 0 && !(self.borrowed.fits(&(self.lendable + self.returning))) {
            let Some(task) = self.newest_loan() else { break };
            let Some(held) = self.tasks.get_mut(&task) else { break };
            held.state = State::Returning;
            self.returning += held.size;
            if let Some(a) = self.teams.get_mut(&held.team) {
                a.loans.remove(&held.sequence);
            }
            self.tokens -= 1;
            tasks.push(task);
        }
        tasks
    }

    /// Returns the team's place among all teams.
    pub fn rank(&self, team: &TeamId) -> Rank {
        let Some(a) = self.teams.get(team) else { return Rank::default() };
        Rank { borrows: a.borrowed != Size::default(), share: self.share(a, a.own + a.borrowed) }
    }

    /// Returns what the team holds of its own quota, and what it has borrowed.
    pub fn held(&self, team: &TeamId) -> (Size, Size) {
        self.teams.get(team).map(|a| (a.own, a.borrowed)).unwrap_or_default()
    }

    /// Returns the total resources of the team's waiting tasks.
    pub fn waiting(&self, team: &TeamId) -> Size {
        self.teams.get(team).map(|a| a.waiting).unwrap_or_default()
    }

    /// Returns whether the task runs in borrowed room.
    pub fn is_borrowed(&self, task: &TaskId) -> bool {
        self.tasks.get(task).is_some_and(|h| h.state != State::Own)
    }

    /// Returns the largest share of the total that `used` takes in any dimension, divided by the
    /// weight.
    fn share(&self, a: &Account, used: Size) -> u64 {
        let part =
            |used: u64, total: u64| u128::from(used) * SHARE_SCALE / u128::from(total.max(1));
        let cores = part(used.cores.0, self.total.cores.0);
        let memory = part(used.memory.0, self.total.memory.0);
        let accels = part(used.accels.0, self.total.accels.0);
        let share = cores.max(memory).max(accels) / u128::from(a.weight.max(1));
        u64::try_from(share).unwrap_or(u64::MAX)
    }

    fn insert(&mut self, ask: &QuotaRequest, state: State) {
        self.remove_waiting(&ask.team, ask.size, 1);
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let team = ask.team.clone();
        let held = Held { team, size: ask.size, back: ask.reclaim, sequence, state };
        self.charge(&ask.task, &held);
        self.tasks.insert(ask.task.clone(), held);
    }

    fn update(&mut self, team: &TeamId, f: impl FnOnce(&mut Account)) {
        let a = self.teams.entry(team.clone()).or_default();
        let before = a.lendable();
        f(a);
        self.lendable = self.lendable.saturating_sub(&before) + a.lendable();
    }

    fn charge(&mut self, task: &TaskId, held: &Held) {
        let size = held.size;
        if held.state == State::Own {
            return self.update(&held.team, |a| a.own += size);
        }
        self.borrowed += size;
        self.update(&held.team, |a| {
            a.borrowed += size;
            if held.back == Reclaim::Checkpoint {
                a.loans.insert(held.sequence, task.clone());
            }
        });
    }

    fn release(&mut self, held: &Held) {
        let size = held.size;
        if held.state == State::Own {
            return self.update(&held.team, |a| a.own = a.own.saturating_sub(&size));
        }
        if held.state == State::Returning {
            self.returning = self.returning.saturating_sub(&size);
        }
        self.borrowed = self.borrowed.saturating_sub(&size);
        self.update(&held.team, |a| {
            a.borrowed = a.borrowed.saturating_sub(&size);
            a.loans.remove(&held.sequence);
        });
    }

    /// Turns the team's oldest loans into own room if they fit beside the team's waiting work. A
    /// loan that took the room of waiting work that can't borrow would starve that work.
    fn repay(&mut self, team: &TeamId) {
        loop {
            let Some(a) = self.teams.get(team) else { return };
            let Some(task) = a.loans.values().next().cloned() else { return };
            let Some(mut held) = self.tasks.remove(&task) else { return };
            let fits = held.size.fits(&a.lendable());
            if fits {
                self.release(&held);
                held.state = State::Own;
                self.charge(&task, &held);
            }
            self.tasks.insert(task, held);
            if !fits {
                return;
            }
        }
    }

    /// Returns the newest loan, which loses the least work, of the team that has borrowed most.
    fn newest_loan(&self) -> Option<TaskId> {
        let lent = self.teams.values().filter(|a| !a.loans.is_empty());
        let largest = lent.max_by_key(|a| self.share(a, a.borrowed))?;
        largest.loans.values().next_back().cloned()
    }

    fn refill(&mut self, now: Time) {
        let passed = u64::try_from(now.since(self.last_refill).as_micros()).unwrap_or(u64::MAX);
        let refilled = passed.saturating_mul(RETURNS_PER_SECOND) / 1_000_000;
        if refilled > 0 {
            self.tokens = (self.tokens + refilled).min(MAX_RETURN_BURST);
            self.last_refill = now;
        }
    }
}
