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
/// Maximum number of borrowed tasks returned per second. Each writes a checkpoint of gigabytes; at
/// 20 per second, 7,000 borrowed tasks (a third of those running) are returned in six minutes, and
/// a hundred in five seconds.
const RETURNS_PER_SECOND: u64 = 20;
/// Maximum number of borrowed tasks returned at once after a period without returns.
const MAX_RETURN_BURST: u64 = 20;
/// Fixed-point representation of a share of 1.0.
const SHARE_SCALE: u128 = 1 << 40;

/// How a task's room can be reclaimed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReclaimMethod {
    /// The task is checkpointed and stopped.
    Checkpoint,
    /// The task's end is awaited, which is expected within [`BRIEF_TASK`].
    Brief,
    /// The room can't be reclaimed, as for services and single tasks of a gang.
    Never,
}

/// Request for room for one task.
#[derive(Clone, Debug)]
pub struct QuotaRequest {
    /// The team whose quota is charged.
    pub team: TeamId,
    /// The task.
    pub task: TaskId,
    /// Resources that the task reserves.
    pub size: Size,
    /// How the task's room can be reclaimed.
    pub reclaim: ReclaimMethod,
}

/// Kind of room that a task may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuotaGrant {
    /// Room within its team's own quota.
    Own,
    /// Idle room within other teams' quotas.
    Borrowed,
    /// No room for now: the task has to wait.
    Wait,
}

/// Why a job is refused at submission.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Refusal {
    /// No team of this name has a quota.
    #[display("no team of this name has a quota")]
    Unknown,
    /// The job's tasks must all run at once, and together they exceed the team's quota.
    #[display("all its tasks at once need {need}, more than the team's quota of {quota}")]
    OverQuota {
        /// Total resources of all tasks.
        need: Size,
        /// The team's quota.
        quota: Size,
    },
}

/// Rank of a team among all teams; the team with the lowest rank is served next.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct TeamRank {
    /// Whether the team has borrowed room.
    pub borrows: bool,
    /// The team's dominant share divided by its weight, in units of 2^-40.
    pub share: u64,
}

/// Quotas of all teams, and the resources that their tasks hold.
#[derive(Debug, Default)]
pub struct Quotas {
    teams: BTreeMap<TeamId, TeamAccount>,
    tasks: FxHashMap<TaskId, HeldTask>,
    total: Size,
    /// Idle quota of all teams. This and the next two sums are stored so that a grant reads only
    /// one team.
    lendable: Size,
    borrowed: Size,
    returning: Size,
    next_sequence: u64,
    return_tokens: u64,
    last_refill: Time,
}

#[derive(Debug, Default)]
struct TeamAccount {
    quota: Size,
    weight: u64,
    own: Size,
    borrowed: Size,
    waiting: Size,
    /// Tasks in borrowed room that can be checkpointed and are not being returned yet, by the order
    /// in which they started.
    loans: BTreeMap<u64, TaskId>,
}

#[derive(Debug)]
struct HeldTask {
    team: TeamId,
    size: Size,
    reclaim: ReclaimMethod,
    sequence: u64,
    state: HeldState,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HeldState {
    Own,
    Borrowed,
    Returning,
}

impl TeamAccount {
    /// Returns the part of the quota that is neither in use nor needed by the team's waiting work.
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
    /// Running tasks keep their grants. If the quota is reduced, usage falls to it only as tasks
    /// end.
    pub fn set_quota(&mut self, team: &TeamId, quota: Size, weight: u32) {
        self.update_account(team, |a| {
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
    pub fn check_quota(&self, team: &TeamId, need: Size) -> Result<(), Refusal> {
        let Some(a) = self.teams.get(team) else { return Err(Refusal::Unknown) };
        if need.fits(&a.quota) {
            return Ok(());
        }
        Err(Refusal::OverQuota { need, quota: a.quota })
    }

    /// Records `count` waiting tasks of a team, so that the quota they need is not lent.
    pub fn add_waiting(&mut self, team: &TeamId, size: Size, count: usize) {
        self.update_account(team, |a| a.waiting += size.times(count as u64));
    }

    /// Records that `count` tasks of a team no longer wait, for another reason than a start by
    /// [`Quotas::start`].
    pub fn remove_waiting(&mut self, team: &TeamId, size: Size, count: usize) {
        self.update_account(team, |a| {
            a.waiting = a.waiting.saturating_sub(&size.times(count as u64))
        });
    }

    /// Returns the kind of room that the task could take now.
    pub fn grant(&self, request: &QuotaRequest) -> QuotaGrant {
        let Some(a) = self.teams.get(&request.team) else { return QuotaGrant::Wait };
        if a.fits_own(&request.size) {
            return QuotaGrant::Own;
        }
        let spare = self.lendable.saturating_sub(&self.borrowed);
        if request.reclaim != ReclaimMethod::Never && request.size.fits(&spare) {
            QuotaGrant::Borrowed
        } else {
            QuotaGrant::Wait
        }
    }

    /// Starts a task that waited, if it is granted room.
    pub fn start(&mut self, request: &QuotaRequest) -> QuotaGrant {
        let grant = self.grant(request);
        let state = match grant {
            QuotaGrant::Own => HeldState::Own,
            QuotaGrant::Borrowed => HeldState::Borrowed,
            QuotaGrant::Wait => return grant,
        };
        self.insert_task(request, state);
        grant
    }

    /// Counts a task that a former owner started, whether or not there is idle quota for it.
    pub fn adopt(&mut self, request: &QuotaRequest) {
        let own = self.teams.get(&request.team).is_some_and(|a| a.fits_own(&request.size));
        self.insert_task(request, if own { HeldState::Own } else { HeldState::Borrowed });
    }

    /// Records the end of a task and frees its resources. If they were part of the team's own
    /// quota, the team's oldest loans are moved into them.
    pub fn record_end(&mut self, task: &TaskId) {
        let Some(held) = self.tasks.remove(task) else { return };
        self.release_task(&held);
        if held.state == HeldState::Own {
            self.repay_loans(&held.team);
        }
    }

    /// Chooses borrowed tasks to checkpoint and stop so that lenders get their room back. Each task
    /// is chosen only once.
    pub fn tasks_to_return(&mut self, now: Time) -> Vec<TaskId> {
        self.refill_tokens(now);
        let mut tasks = Vec::new();
        while self.return_tokens > 0 && !(self.borrowed.fits(&(self.lendable + self.returning))) {
            let Some(task) = self.next_loan_to_return() else { break };
            let Some(held) = self.tasks.get_mut(&task) else { break };
            held.state = HeldState::Returning;
            self.returning += held.size;
            if let Some(a) = self.teams.get_mut(&held.team) {
                a.loans.remove(&held.sequence);
            }
            self.return_tokens -= 1;
            tasks.push(task);
        }
        tasks
    }

    /// Returns the team's rank among all teams.
    pub fn team_rank(&self, team: &TeamId) -> TeamRank {
        let Some(a) = self.teams.get(team) else { return TeamRank::default() };
        TeamRank {
            borrows: a.borrowed != Size::default(),
            share: self.weighted_share(a, a.own + a.borrowed),
        }
    }

    /// Returns the resources that the team's tasks hold of its own quota, and those they have
    /// borrowed.
    pub fn held_resources(&self, team: &TeamId) -> (Size, Size) {
        self.teams.get(team).map(|a| (a.own, a.borrowed)).unwrap_or_default()
    }

    /// Returns the total resources of the team's waiting tasks.
    pub fn waiting_resources(&self, team: &TeamId) -> Size {
        self.teams.get(team).map(|a| a.waiting).unwrap_or_default()
    }

    /// Returns whether the task runs in borrowed room.
    pub fn is_borrowed(&self, task: &TaskId) -> bool {
        self.tasks.get(task).is_some_and(|h| h.state != HeldState::Own)
    }

    /// Returns the dominant share of `used`, that is, its largest share of the total in any
    /// dimension, divided by the team's weight.
    fn weighted_share(&self, a: &TeamAccount, used: Size) -> u64 {
        let part =
            |used: u64, total: u64| u128::from(used) * SHARE_SCALE / u128::from(total.max(1));
        let cores = part(used.cores.0, self.total.cores.0);
        let memory = part(used.memory.0, self.total.memory.0);
        let accels = part(used.accels.0, self.total.accels.0);
        let share = cores.max(memory).max(accels) / u128::from(a.weight.max(1));
        u64::try_from(share).unwrap_or(u64::MAX)
    }

    fn insert_task(&mut self, request: &QuotaRequest, state: HeldState) {
        self.remove_waiting(&request.team, request.size, 1);
        let sequence = self.next_sequence;
        self.next_sequence += 1;
        let team = request.team.clone();
        let held = HeldTask { team, size: request.size, reclaim: request.reclaim, sequence, state };
        self.charge_team(&request.task, &held);
        self.tasks.insert(request.task.clone(), held);
    }

    fn update_account(&mut self, team: &TeamId, f: impl FnOnce(&mut TeamAccount)) {
        let a = self.teams.entry(team.clone()).or_default();
        let before = a.lendable();
        f(a);
        self.lendable = self.lendable.saturating_sub(&before) + a.lendable();
    }

    fn charge_team(&mut self, task: &TaskId, held: &HeldTask) {
        let size = held.size;
        if held.state == HeldState::Own {
            return self.update_account(&held.team, |a| a.own += size);
        }
        self.borrowed += size;
        self.update_account(&held.team, |a| {
            a.borrowed += size;
            if held.reclaim == ReclaimMethod::Checkpoint {
                a.loans.insert(held.sequence, task.clone());
            }
        });
    }

    fn release_task(&mut self, held: &HeldTask) {
        let size = held.size;
        if held.state == HeldState::Own {
            return self.update_account(&held.team, |a| a.own = a.own.saturating_sub(&size));
        }
        if held.state == HeldState::Returning {
            self.returning = self.returning.saturating_sub(&size);
        }
        self.borrowed = self.borrowed.saturating_sub(&size);
        self.update_account(&held.team, |a| {
            a.borrowed = a.borrowed.saturating_sub(&size);
            a.loans.remove(&held.sequence);
        });
    }

    /// Charges the team's oldest borrowed tasks to its own quota, as long as enough is left for the
    /// team's waiting work. Otherwise waiting work that can't borrow would starve.
    fn repay_loans(&mut self, team: &TeamId) {
        loop {
            let Some(a) = self.teams.get(team) else { return };
            let Some(task) = a.loans.values().next().cloned() else { return };
            let Some(mut held) = self.tasks.remove(&task) else { return };
            let fits = held.size.fits(&a.lendable());
            if fits {
                self.release_task(&held);
                held.state = HeldState::Own;
                self.charge_team(&task, &held);
            }
            self.tasks.insert(task, held);
            if !fits {
                return;
            }
        }
    }

    /// Returns the newest borrowed task of the team that has borrowed the most. The newest task
    /// loses the least work.
    fn next_loan_to_return(&self) -> Option<TaskId> {
        let lent = self.teams.values().filter(|a| !a.loans.is_empty());
        let largest = lent.max_by_key(|a| self.weighted_share(a, a.borrowed))?;
        largest.loans.values().next_back().cloned()
    }

    fn refill_tokens(&mut self, now: Time) {
        let passed = u64::try_from(now.since(self.last_refill).as_micros()).unwrap_or(u64::MAX);
        let refilled = passed.saturating_mul(RETURNS_PER_SECOND) / 1_000_000;
        if refilled > 0 {
            self.return_tokens = (self.return_tokens + refilled).min(MAX_RETURN_BURST);
            self.last_refill = now;
        }
    }
}
