//! Jobs that need all their tasks at once.
//!
//! Load answered: gangs that need much room together, beside a steady stream of small tasks that
//! each need little. Started greedily, a gang waits for ever: whatever becomes free is too little
//! for it and is taken by the next small task. Two gangs that each take what they find and keep it
//! wait for each other for ever. And if all others are held back until the gang fits, the room that
//! is being drained stands idle.
//!
//! - All or nothing: [`Queue::next`] starts a gang whole or not at all, and takes rooms in the fixed
//!   order in which it is given them. Where the rooms are several members', [`Claim`] asks for
//!   them rack by rack in one order.
//! - The oldest gang that waits has a [`Plan`]: the earliest time at which it fits by the declared
//!   run times, and the rooms that it will then take. Only one gang has one, as a second would
//!   have to be planned anew whenever the first changes; it becomes the oldest in its turn.
//! - Backfill: other work is let in if it ends before that time or leaves the planned room alone,
//!   so that it can't delay the plan. Declared run times may be wrong: once the planned time has
//!   passed, nothing more is let into the planned room until the gang has started, however late the
//!   tasks there end. Otherwise each task that outruns its time would move the plan, the next ones
//!   would be let in before it, and the gang would starve after all.
//!
//! A gang that would not fit into the rooms even when all else has ended gets no plan, and keeps
//! nothing from the next oldest; [`Queue::unfit`] names it.

mod claim;
mod plan;

pub use self::{
    claim::{Claim, Order},
    plan::{Plan, Room, fit},
};

use {
    crate::{
        Time,
        ids::{JobId, WorkerId},
        units::Size,
    },
    std::{collections::BTreeMap, time::Duration},
};

/// A job that needs all its tasks at once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Gang {
    /// The job.
    pub job: JobId,
    /// What each task needs.
    pub needs: Vec<Size>,
    /// The declared run time.
    pub run: Duration,
    /// Since when it waits.
    pub since: Time,
}

/// A gang to be started now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Start {
    /// The gang, which waits no longer.
    pub gang: Gang,
    /// The worker of each task, in the tasks' order.
    pub workers: Vec<WorkerId>,
}

/// The gangs that wait, the oldest first, and the plan of the oldest.
#[derive(Clone, Debug, Default)]
pub struct Queue {
    waiting: BTreeMap<(Time, JobId), Gang>,
    plan: Option<(JobId, Plan)>,
}

impl Queue {
    /// A queue without gangs.
    pub fn new() -> Self {
        Queue::default()
    }

    /// Lets a gang wait.
    pub fn push(&mut self, gang: Gang) {
        self.waiting.insert((gang.since, gang.job.clone()), gang);
    }

    /// Takes a gang out; returns whether it was waiting.
    pub fn cancel(&mut self, job: &JobId) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|_, g| g.job != *job);
        if self.plan.as_ref().is_some_and(|(owner, _)| owner == job) {
            self.plan = None;
        }
        self.waiting.len() < before
    }

    /// How many gangs wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether none waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// The gang that has the plan, and the planned start.
    pub fn planned(&self) -> Option<(&JobId, Time)> {
        self.plan.as_ref().map(|(job, plan)| (job, plan.start()))
    }

    /// The gangs that don't fit into these rooms even when all else has ended.
    pub fn unfit(&self, rooms: &[Room], now: Time) -> Vec<&JobId> {
        let never = |g: &&Gang| Plan::new(rooms, &g.needs, now).is_none();
        self.waiting.values().filter(never).map(|g| &g.job).collect()
    }

    /// The next gang to start now, if any; it then waits no longer.
    ///
    /// `rooms` are the workers that take new work, in a fixed order. Call it again, with the rooms
    /// changed by the start, until it gives none; and before other work is let in.
    pub fn next(&mut self, now: Time, rooms: &[Room]) -> Option<Start> {
        self.check(rooms);
        let mut found = None;
        for (key, gang) in &self.waiting {
            let ends = now + gang.run;
            let planned = self.plan.as_ref().filter(|(job, _)| *job == gang.job);
            let workers = match (planned, &self.plan) {
                (Some((_, plan)), _) => plan.ready(rooms).or_else(|| fit(rooms, &gang.needs)),
                (None, Some((_, plan))) => fit(&plan.open(rooms, ends), &gang.needs),
                (None, None) => fit(rooms, &gang.needs),
            };
            if let Some(workers) = workers {
                found = Some((key.clone(), workers));
                break;
            }
            if self.plan.is_none() {
                self.plan = Plan::new(rooms, &gang.needs, now).map(|p| (gang.job.clone(), p));
            }
        }
        let (key, workers) = found?;
        let gang = self.waiting.remove(&key)?;
        match &mut self.plan {
            Some((job, _)) if *job == gang.job => self.plan = None,
            Some((_, plan)) => {
                for (worker, need) in workers.iter().zip(&gang.needs) {
                    plan.admit(worker, need, now + gang.run);
                }
            }
            None => {}
        }
        Some(Start { gang, workers })
    }

    /// Whether a task that ends at `ends` by its declared run time may go to a worker.
    ///
    /// Counts it as gone there. If the ledger then refuses it, the count stays too high until the
    /// next plan, which errs on the gang's side.
    pub fn admit(&mut self, worker: &WorkerId, size: &Size, ends: Time) -> bool {
        self.plan.as_mut().is_none_or(|(_, plan)| plan.admit(worker, size, ends))
    }

    /// Drops a plan whose rooms are gone.
    fn check(&mut self, rooms: &[Room]) {
        if self.plan.as_ref().is_some_and(|(_, plan)| !plan.holds(rooms)) {
            self.plan = None;
        }
    }
}
