//! Teams' quotas: what each may hold, what it may borrow, and how borrowed room goes back.
//!
//! The load: 310 teams, of which most are idle at any time and a few have far more work than their
//! quota. With hard quotas the cell stands half empty while these wait. With free borrowing, a team
//! that comes back to its quota in the morning finds it taken by others' long tasks.
//!
//! So idle quota is lent, in all three dimensions, to work that can be given back: tasks that
//! checkpoint, and brief ones. What a lender's waiting work needs of its own quota is no longer idle,
//! and when more is borrowed than is idle, borrowed tasks are checkpointed and stopped, the newest of
//! the team that has borrowed most by dominant share and weight, at a bounded rate.
//!
//! Shares are of the sum of all quotas, which is taken to be what the cell has; where operators give
//! out more than that, placement says what fits, and this code still keeps teams to their parts.

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

/// A task expected to end within this is brief: it may borrow without a checkpoint, since waiting for
/// its end costs a lender no more than a checkpoint and restart would cost the borrower.
pub const BRIEF: Duration = Duration::from_secs(60);
/// Returns a second. Each is a checkpoint of gigabytes; at 20 a second, 7,000 borrowed tasks (a third
/// of those running) are returned in six minutes, and a hundred in five seconds.
const RETURNS: u64 = 20;
/// Returns that may go out at once after a quiet time.
const BURST: u64 = 20;
/// One of weight and share, as a fixed-point number.
const ONE: u128 = 1 << 40;

/// How a task's room can be had back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Back {
    /// By checkpoint.
    Checkpoint,
    /// By waiting: it is expected to end within [`BRIEF`].
    Brief,
    /// Not at all, as with services and single tasks of a gang.
    Never,
}

/// A task that asks for room.
#[derive(Clone, Debug)]
pub struct Ask {
    /// The team that pays.
    pub team: TeamId,
    /// The task.
    pub task: TaskId,
    /// What it reserves.
    pub size: Size,
    /// How its room can be had back.
    pub back: Back,
}

/// What a task may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Grant {
    /// Room of its team's own quota.
    Own,
    /// Idle room of other teams' quotas.
    Borrowed,
    /// Nothing now.
    Wait,
}

/// Why a job is refused at submission.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Refusal {
    /// No such team.
    #[display("no team of this name has a quota")]
    Unknown,
    /// Its tasks must run at once, and never could.
    #[display("all its tasks at once need {need}, more than the team's quota of {quota}")]
    OverQuota {
        /// What all tasks need.
        need: Size,
        /// What the team has.
        quota: Size,
    },
}

/// A team's place among teams; the lowest is next.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Whether it has borrowed.
    pub borrows: bool,
    /// Its dominant share by weight, in parts of 2^40.
    pub share: u64,
}

/// All teams' quotas and what is held of them.
#[derive(Debug, Default)]
pub struct Quotas {
    teams: BTreeMap<TeamId, Account>,
    tasks: FxHashMap<TaskId, Held>,
    total: Size,
    /// The sums over teams, kept so that a grant looks at one team only.
    lendable: Size,
    borrowed: Size,
    returning: Size,
    next: u64,
    tokens: u64,
    filled: Time,
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
    back: Back,
    number: u64,
    state: State,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Own,
    Borrowed,
    Returning,
}

impl Account {
    /// Quota that neither runs nor is wanted by waiting work of the team.
    fn lendable(&self) -> Size {
        self.quota.saturating_sub(&self.own).saturating_sub(&self.waiting)
    }

    fn has_own(&self, size: &Size) -> bool {
        (self.own + *size).fits(&self.quota)
    }
}

impl Quotas {
    /// Sets a team's quota and weight; a weight of zero counts as one.
    ///
    /// What runs stays as it was granted: a smaller quota is reached as tasks end.
    pub fn set(&mut self, team: &TeamId, quota: Size, weight: u32) {
        self.change(team, |a| {
            a.quota = quota;
            a.weight = u64::from(weight.max(1));
        });
        self.total = self.teams.values().map(|a| a.quota).sum();
    }

    /// Whether a job whose tasks must all run at once can ever do so; errs with the reason.
    pub fn check(&self, team: &TeamId, need: Size) -> Result<(), Refusal> {
        let Some(a) = self.teams.get(team) else { return Err(Refusal::Unknown) };
        if need.fits(&a.quota) {
            return Ok(());
        }
        Err(Refusal::OverQuota { need, quota: a.quota })
    }

    /// Notes so many tasks of a team that wait, so that its quota is not lent on.
    pub fn wait(&mut self, team: &TeamId, size: Size, count: usize) {
        self.change(team, |a| a.waiting += size.times(count as u64));
    }

    /// Notes that so many tasks no longer wait, other than by [`Quotas::start`].
    pub fn leave(&mut self, team: &TeamId, size: Size, count: usize) {
        self.change(team, |a| a.waiting = a.waiting.saturating_sub(&size.times(count as u64)));
    }

    /// What the task might take now.
    pub fn grant(&self, ask: &Ask) -> Grant {
        let Some(a) = self.teams.get(&ask.team) else { return Grant::Wait };
        if a.has_own(&ask.size) {
            return Grant::Own;
        }
        let spare = self.lendable.saturating_sub(&self.borrowed);
        if ask.back != Back::Never && ask.size.fits(&spare) { Grant::Borrowed } else { Grant::Wait }
    }

    /// Starts a task that waited, if it is granted room.
    pub fn start(&mut self, ask: &Ask) -> Grant {
        let grant = self.grant(ask);
        let state = match grant {
            Grant::Own => State::Own,
            Grant::Borrowed => State::Borrowed,
            Grant::Wait => return grant,
        };
        self.enter(ask, state);
        grant
    }

    /// Counts a task that runs already, started by a former owner, whatever is idle.
    pub fn adopt(&mut self, ask: &Ask) {
        let own = self.teams.get(&ask.team).is_some_and(|a| a.has_own(&ask.size));
        self.enter(ask, if own { State::Own } else { State::Borrowed });
    }

    /// Frees what the task held; room of the team's own goes to its oldest loans first.
    pub fn ended(&mut self, task: &TaskId) {
        let Some(held) = self.tasks.remove(task) else { return };
        self.release(&held);
        if held.state == State::Own {
            self.repay(&held.team);
        }
    }

    /// Tasks to checkpoint and stop, so that lenders have their room back; each is named once.
    pub fn returns(&mut self, now: Time) -> Vec<TaskId> {
        self.refill(now);
        let mut tasks = Vec::new();
        while self.tokens > 0 && !(self.borrowed.fits(&(self.lendable + self.returning))) {
            let Some(task) = self.newest_loan() else { break };
            let Some(held) = self.tasks.get_mut(&task) else { break };
            held.state = State::Returning;
            self.returning += held.size;
            if let Some(a) = self.teams.get_mut(&held.team) {
                a.loans.remove(&held.number);
            }
            self.tokens -= 1;
            tasks.push(task);
        }
        tasks
    }

    /// The team's place among teams.
    pub fn rank(&self, team: &TeamId) -> Rank {
        let Some(a) = self.teams.get(team) else { return Rank::default() };
        Rank { borrows: a.borrowed != Size::default(), share: self.share(a, a.own + a.borrowed) }
    }

    /// What the team holds, its own and borrowed.
    pub fn held(&self, team: &TeamId) -> (Size, Size) {
        self.teams.get(team).map(|a| (a.own, a.borrowed)).unwrap_or_default()
    }

    /// What the team waits for.
    pub fn waits(&self, team: &TeamId) -> Size {
        self.teams.get(team).map(|a| a.waiting).unwrap_or_default()
    }

    /// Whether the task runs in borrowed room.
    pub fn borrows(&self, task: &TaskId) -> bool {
        self.tasks.get(task).is_some_and(|h| h.state != State::Own)
    }

    /// The greatest part of the total that `used` takes in any dimension, by the team's weight.
    fn share(&self, a: &Account, used: Size) -> u64 {
        let part = |used: u64, total: u64| u128::from(used) * ONE / u128::from(total.max(1));
        let cores = part(used.cores.0, self.total.cores.0);
        let memory = part(used.memory.0, self.total.memory.0);
        let accels = part(used.accels.0, self.total.accels.0);
        let share = cores.max(memory).max(accels) / u128::from(a.weight.max(1));
        u64::try_from(share).unwrap_or(u64::MAX)
    }

    fn enter(&mut self, ask: &Ask, state: State) {
        self.leave(&ask.team, ask.size, 1);
        let number = self.next;
        self.next += 1;
        let team = ask.team.clone();
        let held = Held { team, size: ask.size, back: ask.back, number, state };
        self.hold(&ask.task, &held);
        self.tasks.insert(ask.task.clone(), held);
    }

    fn change(&mut self, team: &TeamId, f: impl FnOnce(&mut Account)) {
        let a = self.teams.entry(team.clone()).or_default();
        let before = a.lendable();
        f(a);
        self.lendable = self.lendable.saturating_sub(&before) + a.lendable();
    }

    fn hold(&mut self, task: &TaskId, held: &Held) {
        let size = held.size;
        if held.state == State::Own {
            return self.change(&held.team, |a| a.own += size);
        }
        self.borrowed += size;
        self.change(&held.team, |a| {
            a.borrowed += size;
            if held.back == Back::Checkpoint {
                a.loans.insert(held.number, task.clone());
            }
        });
    }

    fn release(&mut self, held: &Held) {
        let size = held.size;
        if held.state == State::Own {
            return self.change(&held.team, |a| a.own = a.own.saturating_sub(&size));
        }
        if held.state == State::Returning {
            self.returning = self.returning.saturating_sub(&size);
        }
        self.borrowed = self.borrowed.saturating_sub(&size);
        self.change(&held.team, |a| {
            a.borrowed = a.borrowed.saturating_sub(&size);
            a.loans.remove(&held.number);
        });
    }

    /// Turns the team's oldest loans into own room where they fit beside what waits for it; a loan
    /// that took the room of waiting work which can't borrow would starve that work.
    fn repay(&mut self, team: &TeamId) {
        loop {
            let Some(a) = self.teams.get(team) else { return };
            let Some(task) = a.loans.values().next().cloned() else { return };
            let Some(mut held) = self.tasks.remove(&task) else { return };
            let fits = held.size.fits(&a.lendable());
            if fits {
                self.release(&held);
                held.state = State::Own;
                self.hold(&task, &held);
            }
            self.tasks.insert(task, held);
            if !fits {
                return;
            }
        }
    }

    /// The newest loan, as the least work is lost there, of the team that has borrowed most.
    fn newest_loan(&self) -> Option<TaskId> {
        let lent = self.teams.values().filter(|a| !a.loans.is_empty());
        let most = lent.max_by_key(|a| self.share(a, a.borrowed))?;
        most.loans.values().next_back().cloned()
    }

    fn refill(&mut self, now: Time) {
        let passed = u64::try_from(now.since(self.filled).as_micros()).unwrap_or(u64::MAX);
        let new = passed.saturating_mul(RETURNS) / 1_000_000;
        if new > 0 {
            self.tokens = (self.tokens + new).min(BURST);
            self.filled = now;
        }
    }
}
