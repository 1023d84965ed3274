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
//! Nothing starves. Within a team, a job's latest start is at most `PATIENCE` after its arrival and
//! never before it (a deadline that can't be kept any more must not overtake for ever), so only work
//! that came within that time can pass it. Between teams, one start in `AGED` goes, whatever its share, to
//! the team that has had no start for longest while its first job's latest start is past.
//!
//! A step takes O(log n) of the teams and of the team's jobs; tasks of a job are alike and stand in it.

use {
    super::quota::{Ask, Back, Grant, Quotas, Rank},
    crate::{
        Time,
        ids::{JobId, TaskId, TaskIndex, TeamId},
        units::Size,
    },
    rustc_hash::FxHashMap,
    std::{
        cmp::Reverse,
        collections::{BTreeMap, BTreeSet, VecDeque},
        time::Duration,
    },
};

/// The longest that work without a deadline stands behind later work of its team: four hours, half of
/// the night in which batches run, so that what came in the evening is over in the morning.
const PATIENCE: Duration = Duration::from_secs(4 * 3600);
/// Latest starts this close together count as equal, so that priority decides: estimates are not
/// better than a minute.
const GRAIN: u64 = 60_000_000;
/// What is added to the estimated time of the remaining tasks, one part in so many: run times are
/// often off by half, and a batch that is early harms nobody.
const MARGIN: u32 = 2;
/// One start in so many goes by age alone. An eighth takes little from fair shares, and at 940 starts
/// a second each of 310 teams that are all overdue has a start within three seconds.
const AGED: u32 = 8;
/// Jobs of a team that are tried against its quota before the team waits for the next tick: a job that
/// may not borrow must not keep those behind it from borrowing, but a search must end.
const LOOK: usize = 8;
/// Jobs that come back at a tick after they found no room; they are tried again by their order, so
/// more would only repeat the search on workers that are still full.
const WAKE: usize = 64;

/// A job whose tasks wait.
#[derive(Clone, Debug)]
pub struct Job {
    /// Its name.
    pub id: JobId,
    /// The team that pays.
    pub team: TeamId,
    /// When all its tasks must have ended, or [`Time::NEVER`].
    pub deadline: Time,
    /// Higher goes first.
    pub priority: u8,
    /// A task's run time, declared or estimated.
    pub run: Duration,
    /// How many of its tasks can run at once; zero counts as one.
    pub width: u32,
    /// How many tasks it has.
    pub tasks: u32,
    /// What a task reserves.
    pub size: Size,
    /// How a task's room can be had back.
    pub back: Back,
}

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

#[derive(Debug)]
struct Entry {
    job: Job,
    arrival: Time,
    key: Key,
    /// Tasks that have not ended.
    left: u32,
    waiting: BTreeSet<TaskIndex>,
    parked: bool,
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

/// A job's place within its team.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Key {
    grain: u64,
    priority: Reverse<u8>,
    arrival: Time,
    job: JobId,
}

impl Entry {
    fn key(&self) -> Key {
        let job = &self.job;
        let rounds = self.left.div_ceil(job.width.max(1));
        let work = job.run.saturating_mul(rounds);
        let dated = job.deadline - (work + work / MARGIN);
        let aged = self.arrival + PATIENCE / (1 + u32::from(job.priority));
        let latest = dated.min(aged).max(self.arrival);
        Key {
            grain: latest.0 / GRAIN,
            priority: Reverse(job.priority),
            arrival: self.arrival,
            job: job.id.clone(),
        }
    }

    fn ask(&self) -> Option<Ask> {
        let job = &self.job;
        let task = TaskId { job: job.id.clone(), index: *self.waiting.first()? };
        Some(Ask { team: job.team.clone(), task, size: job.size, back: job.back })
    }
}

impl Order {
    /// Adds a job; its tasks wait, and its team's quota is no longer idle. One of the same name is
    /// replaced.
    pub fn push(&mut self, now: Time, job: Job, quotas: &mut Quotas) {
        self.remove(&job.id, quotas);
        quotas.wait(&job.team, job.size, job.tasks as usize);
        let key = Key { grain: 0, priority: Reverse(0), arrival: now, job: job.id.clone() };
        let waiting = (0..job.tasks).map(TaskIndex).collect();
        let (id, left) = (job.id.clone(), job.tasks);
        let entry = Entry { job, arrival: now, key, left, waiting, parked: false };
        self.jobs.insert(id.clone(), entry);
        self.place(&id, quotas);
    }

    /// Puts a task back that failed or was preempted, after [`Quotas::ended`]; its job's place stays.
    pub fn requeue(&mut self, task: &TaskId, quotas: &mut Quotas) {
        let Some(e) = self.jobs.get_mut(&task.job) else { return };
        if e.waiting.insert(task.index) {
            quotas.wait(&e.job.team, e.job.size, 1);
        }
        self.place(&task.job, quotas);
    }

    /// Takes a task that a former owner has started, or has seen to end, out of those that wait.
    pub fn adopt(&mut self, task: &TaskId, ended: bool, quotas: &mut Quotas) {
        let Some(e) = self.jobs.get_mut(&task.job) else { return };
        if !e.waiting.remove(&task.index) {
            return;
        }
        let job = &e.job;
        if ended {
            quotas.leave(&job.team, job.size, 1);
            return self.ended(task, quotas);
        }
        let (team, task) = (job.team.clone(), task.clone());
        quotas.adopt(&Ask { team, task: task.clone(), size: job.size, back: job.back });
        self.place(&task.job, quotas);
    }

    /// Whether a job is known, with tasks that have not ended.
    pub fn has(&self, job: &JobId) -> bool {
        self.jobs.contains_key(job)
    }

    /// The tasks of a job that wait, as asks; for a gang, which is taken whole.
    pub fn asks(&self, job: &JobId) -> Vec<Ask> {
        let Some(e) = self.jobs.get(job) else { return Vec::new() };
        let ask = |index: &TaskIndex| Ask {
            team: e.job.team.clone(),
            task: TaskId { job: job.clone(), index: *index },
            size: e.job.size,
            back: e.job.back,
        };
        e.waiting.iter().map(ask).collect()
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
    pub fn ended(&mut self, task: &TaskId, quotas: &Quotas) {
        let Some(e) = self.jobs.get_mut(&task.job) else { return };
        e.left = e.left.saturating_sub(1);
        self.place(&task.job, quotas);
        let Some(e) = self.jobs.get(&task.job) else { return };
        let team = e.job.team.clone();
        if e.left == 0 {
            self.jobs.remove(&task.job);
        }
        self.list(&team, quotas);
    }

    /// Corrects a job's run time.
    pub fn correct(&mut self, job: &JobId, run: Duration, quotas: &Quotas) {
        let Some(e) = self.jobs.get_mut(job) else { return };
        e.job.run = run;
        self.place(job, quotas);
    }

    /// The task that is next; the caller then calls [`Order::take`] or [`Order::park`].
    pub fn next(&mut self, now: Time, quotas: &Quotas) -> Option<Pick> {
        loop {
            let team = self.next_team(now)?;
            if let Some(pick) = self.try_team(&team, quotas) {
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
            self.place(&pick.ask.task.job, quotas);
        }
        grant
    }

    /// Sets a job aside until [`Order::wake`], as no worker has room for its task.
    pub fn park(&mut self, job: &JobId, quotas: &Quotas) {
        let Some(e) = self.jobs.get_mut(job) else { return };
        if !e.parked {
            e.parked = true;
            self.parked.push_back(job.clone());
        }
        self.place(job, quotas);
    }

    /// Brings back teams that had no quota and jobs that found no room; once a tick.
    pub fn wake(&mut self, quotas: &Quotas) {
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
            self.place(&job, quotas);
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
    fn place(&mut self, job: &JobId, quotas: &Quotas) {
        let Some(e) = self.jobs.get_mut(job) else { return };
        let queue = self.teams.entry(e.job.team.clone()).or_default();
        queue.jobs.remove(&e.key);
        e.key = e.key();
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
        let since = queue.served.max(Time(key.grain.saturating_mul(GRAIN)));
        self.ranks.insert((rank, team.clone()));
        self.ages.insert((since, team.clone()));
        queue.listed = Some((rank, since));
    }
}
