//! Which waiting task is next, among the tasks of all teams.
//!
//! The load: tens of thousands of tasks wait, of 310 teams, when the nightly batches arrive; some must
//! be over before a fixed hour. First come, first served lets one team's batch of thousands stand
//! before everybody, and a branch's small batch miss its hour behind it.
//!
//! Between teams, the next is the one with the least dominant share by weight, teams within their own
//! quota before those that borrow ([`Quotas::rank`]). Within a team, the next job is the one whose
//! latest start comes first: its deadline less the time that its remaining tasks need, by declared or
//! estimated run times. Slack falls alike for all that wait, so this order is that of least slack, and
//! needs no sorting as time passes. Then priority decides, then arrival.
//!
//! Nothing starves. Within a team, a job's latest start is at most `PATIENCE` after its arrival, and
//! before it by half of its work at most: a deadline that can't be kept any more, by the estimate and
//! [`Job::width`], counts for nothing. So only work that came within that time can pass a job. Between
//! teams, one start in `AGED` goes, whatever its share, to the team that has had no start for longest
//! while its first job's latest start is past.
//!
//! A step takes O(log n) of the teams and of the team's jobs; tasks of a job are alike and stand in it.

pub use super::waiting::Job;
use {
    super::{
        quota::{Ask, Grant, Quotas, Rank},
        waiting::{Entry, Key},
    },
    crate::{
        Time,
        ids::{JobId, TaskId, TeamId},
    },
    rustc_hash::FxHashMap,
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        time::Duration,
    },
};

/// One start in so many goes by age alone. An eighth takes little from fair shares, and at 940 starts
/// a second each of 310 teams that are all overdue has a start within three seconds.
const AGED: u32 = 8;
/// Jobs of a team that are tried against its quota before the team waits for the next tick: a job that
/// may not borrow must not keep those behind it from borrowing, but a search must end.
const LOOK: usize = 8;
/// Jobs that come back at a tick after they found no room; they are tried again by their order, so
/// more would only repeat the search on workers that are still full.
const WAKE: usize = 64;

/// The task that is next, and what its team may give it.
#[derive(Clone, Debug)]
pub struct Pick {
    /// The task, its team and size.
    pub ask: Ask,
    /// Own or borrowed room.
    pub grant: Grant,
}

/// All waiting work.
#[derive(Debug, Default)]
pub struct Order {
    jobs: FxHashMap<JobId, Entry>,
    teams: BTreeMap<TeamId, Queue>,
    /// Teams with work to try, by share.
    ranks: BTreeSet<(Rank, TeamId)>,
    /// The same teams, by the latest start of their first job or the team's last start, if later: a
    /// team that is served by its share has no need of the starts by age.
    ages: BTreeSet<(Time, TeamId)>,
    parked: VecDeque<JobId>,
    blocked: Vec<TeamId>,
    turn: u32,
}

#[derive(Debug, Default)]
struct Queue {
    jobs: BTreeSet<Key>,
    /// Its places in `ranks` and `ages`.
    listed: Option<(Rank, Time)>,
    blocked: bool,
    /// When a task of it last started.
    served: Time,
}

impl Order {
    /// Adds a job; its tasks wait, and its team's quota is no longer idle. One of the same name is
    /// replaced.
    pub fn push(&mut self, now: Time, job: Job, quotas: &mut Quotas) {
        self.remove(&job.id, quotas);
        quotas.wait(&job.team, job.size, job.tasks as usize);
        let id = job.id.clone();
        self.jobs.insert(id.clone(), Entry::new(now, job));
        self.place(now, &id, quotas);
    }

    /// Puts a task back that failed or was preempted, after [`Quotas::ended`]; its job's place stays.
    pub fn requeue(&mut self, now: Time, task: &TaskId, quotas: &mut Quotas) {
        let Some(e) = self.jobs.get_mut(&task.job) else { return };
        if e.waiting.insert(task.index) {
            quotas.wait(&e.job.team, e.job.size, 1);
        }
        self.place(now, &task.job, quotas);
    }

    /// Takes a task that a former owner has started, or has seen to end, out of those that wait.
    pub fn adopt(&mut self, now: Time, task: &TaskId, ended: bool, quotas: &mut Quotas) {
        let Some(e) = self.jobs.get_mut(&task.job) else { return };
        if !e.waiting.remove(&task.index) {
            return;
        }
        let job = &e.job;
        if ended {
            quotas.leave(&job.team, job.size, 1);
            return self.ended(now, task, quotas);
        }
        let (team, task) = (job.team.clone(), task.clone());
        quotas.adopt(&Ask { team, task: task.clone(), size: job.size, back: job.back });
        self.place(now, &task.job, quotas);
    }

    /// The tasks of a job that wait, as asks; for a gang, which is taken whole.
    pub fn asks(&self, job: &JobId) -> Vec<Ask> {
        let Some(e) = self.jobs.get(job) else { return Vec::new() };
        e.waiting.iter().map(|index| e.ask_for(*index)).collect()
    }

    /// Removes a job and its waiting tasks.
    pub fn remove(&mut self, job: &JobId, quotas: &mut Quotas) {
        let Some(e) = self.jobs.remove(job) else { return };
        quotas.leave(&e.job.team, e.job.size, e.waiting.len());
        if let Some(queue) = self.teams.get_mut(&e.job.team) {
            queue.jobs.remove(&e.key);
        }
        self.list(&e.job.team, quotas);
    }

    /// Takes the end of a task, after [`Quotas::ended`]: less remains of its job, so its latest start
    /// moves back.
    pub fn ended(&mut self, now: Time, task: &TaskId, quotas: &mut Quotas) {
        let Some(e) = self.jobs.get_mut(&task.job) else { return };
        e.left = e.left.saturating_sub(1);
        self.place(now, &task.job, quotas);
        if self.jobs.get(&task.job).is_some_and(|e| e.left == 0) {
            self.remove(&task.job, quotas);
        }
    }

    /// Corrects a job's run time.
    pub fn correct(&mut self, now: Time, job: &JobId, run: Duration, quotas: &Quotas) {
        let Some(e) = self.jobs.get_mut(job) else { return };
        e.job.run = run;
        self.place(now, job, quotas);
    }

    /// The task that is next; the caller then calls [`Order::take`] or [`Order::park`].
    pub fn next(&mut self, now: Time, quotas: &Quotas) -> Option<Pick> {
        loop {
            let team = self.next_team(now)?;
            if let Some(pick) = self.try_team(&team, quotas) {
                if self.moved(now, &pick.ask.task.job) {
                    self.place(now, &pick.ask.task.job, quotas);
                    continue;
                }
                return Some(pick);
            }
            if let Some(queue) = self.teams.get_mut(&team) {
                queue.blocked = true;
            }
            self.blocked.push(team.clone());
            self.list(&team, quotas);
        }
    }

    /// Starts a picked task against its team's quota.
    pub fn take(&mut self, now: Time, pick: &Pick, quotas: &mut Quotas) -> Grant {
        let grant = quotas.start(&pick.ask);
        let Some(e) = self.jobs.get_mut(&pick.ask.task.job) else { return grant };
        if grant != Grant::Wait {
            e.waiting.remove(&pick.ask.task.index);
            self.turn = (self.turn + 1) % AGED;
            if let Some(queue) = self.teams.get_mut(&pick.ask.team) {
                queue.served = now;
            }
            self.place(now, &pick.ask.task.job, quotas);
        }
        grant
    }

    /// Sets a job aside until [`Order::wake`], as no worker has room for its task.
    pub fn park(&mut self, now: Time, job: &JobId, quotas: &Quotas) {
        let Some(e) = self.jobs.get_mut(job) else { return };
        if !e.parked {
            e.parked = true;
            self.parked.push_back(job.clone());
        }
        self.place(now, job, quotas);
    }

    /// Brings back teams that had no quota and jobs that found no room; once a tick.
    pub fn wake(&mut self, now: Time, quotas: &Quotas) {
        for team in std::mem::take(&mut self.blocked) {
            if let Some(queue) = self.teams.get_mut(&team) {
                queue.blocked = false;
            }
            self.list(&team, quotas);
        }
        for _ in 0..WAKE {
            let Some(job) = self.parked.pop_front() else { break };
            let Some(e) = self.jobs.get_mut(&job) else { continue };
            e.parked = false;
            self.place(now, &job, quotas);
        }
    }

    /// Lists all teams anew, after [`Quotas::set`]; O(n log n) of the teams, once for a configuration.
    pub fn relist(&mut self, quotas: &Quotas) {
        let teams: Vec<_> = self.teams.keys().cloned().collect();
        teams.iter().for_each(|team| self.list(team, quotas));
    }

    /// How many tasks wait, counted over all jobs: for reports, not for each step.
    pub fn waiting(&self) -> usize {
        self.jobs.values().map(|e| e.waiting.len()).sum()
    }

    /// Whether the job's place has changed with time alone: its deadline is lost.
    fn moved(&self, now: Time, job: &JobId) -> bool {
        self.jobs.get(job).is_some_and(|e| e.key != e.key(now))
    }

    fn next_team(&self, now: Time) -> Option<TeamId> {
        let overdue = self.ages.first().filter(|(since, _)| *since < now);
        match overdue {
            Some((_, team)) if self.turn == 0 => Some(team.clone()),
            _ => self.ranks.first().map(|(_, team)| team.clone()),
        }
    }

    /// The team's first job that its quota allows. Once one is refused, those behind it may only
    /// borrow: small tasks that took the own room as it frees would starve a large one for ever.
    fn try_team(&self, team: &TeamId, quotas: &Quotas) -> Option<Pick> {
        let queue = self.teams.get(team)?;
        let mut refused = false;
        for key in queue.jobs.iter().take(LOOK) {
            let Some(ask) = self.jobs.get(&key.job).and_then(Entry::ask) else { continue };
            match quotas.grant(&ask) {
                Grant::Own if refused => {}
                Grant::Wait => refused = true,
                grant => return Some(Pick { ask, grant }),
            }
        }
        None
    }

    /// Puts the job where it now belongs in its team, and the team among teams.
    fn place(&mut self, now: Time, job: &JobId, quotas: &Quotas) {
        let Some(e) = self.jobs.get_mut(job) else { return };
        let queue = self.teams.entry(e.job.team.clone()).or_default();
        queue.jobs.remove(&e.key);
        e.key = e.key(now);
        if !e.parked && !e.waiting.is_empty() {
            queue.jobs.insert(e.key.clone());
        }
        let team = e.job.team.clone();
        self.list(&team, quotas);
    }

    fn list(&mut self, team: &TeamId, quotas: &Quotas) {
        let Some(queue) = self.teams.get_mut(team) else { return };
        if let Some((rank, since)) = queue.listed.take() {
            self.ranks.remove(&(rank, team.clone()));
            self.ages.remove(&(since, team.clone()));
        }
        let Some(key) = queue.jobs.first().filter(|_| !queue.blocked) else { return };
        let rank = quotas.rank(team);
        let since = queue.served.max(key.latest());
        self.ranks.insert((rank, team.clone()));
        self.ages.insert((since, team.clone()));
        queue.listed = Some((rank, since));
    }
}
