//! Orders the waiting tasks of all teams and decides which task starts next.
//!
//! *Load pattern:* tens of thousands of tasks of 310 teams wait when the nightly batches arrive,
//! and some of them must end before a fixed hour. *Without it:* under first come, first served, one
//! team's batch of thousands runs before all others, and a branch's small batch behind it misses
//! its hour.
//!
//! *Between teams:* the next team is the one with the least weighted dominant share. Teams within
//! their own quota come before those that borrow ([`Quotas::team_rank`]).
//!
//! *Within a team:* the next job is the one with the earliest latest start: its deadline minus the
//! time that its remaining tasks need, by declared or estimated run times. The slack of all waiting
//! jobs shrinks at the same rate, so this order equals that of least slack and needs no sorting as
//! time passes. Ties are broken by priority, then by arrival.
//!
//! *No starvation:* a job's latest start is at most `ROOM_WAIT` after its arrival, and precedes the
//! arrival by at most half of the job's work. A deadline that can no longer be met, by the estimate
//! and [`WaitingJob::width`], is ignored. So a job of the same team can only be passed by work that
//! arrived within that time. Between teams, one start in `STARTS_PER_AGED_START` goes to the team
//! that has had no start for longest among those whose first job's latest start has passed,
//! regardless of the team's share.
//!
//! A start takes O(log n) in the number of teams and of the team's jobs; the tasks of a job are
//! alike and are kept inside its entry.

pub use super::waiting::WaitingJob;
use {
    super::{
        quota::{QuotaGrant, QuotaRequest, Quotas, TeamRank},
        waiting::{JobKey, WaitingEntry},
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

/// Number of starts of which one goes to a team by age alone. An eighth of all starts takes little
/// from the fair shares. At 940 starts per second, each of 310 overdue teams still has a start
/// within three seconds.
const STARTS_PER_AGED_START: u32 = 8;
/// Maximum number of jobs of a team that are tried against its quota per tick. The others wait for
/// the next tick. A job that may not borrow must not keep those behind it from borrowing, but the
/// search must be bounded.
const MAX_TRIED_JOBS: usize = 8;
/// Maximum number of parked jobs that are queued again per tick. They are tried in order, so a
/// higher number would only repeat the search on workers that are still full.
const MAX_WOKEN_JOBS: usize = 64;

/// The next task, and the grant of its team's quota.
#[derive(Clone, Debug)]
pub struct Pick {
    /// Quota request for the task, with its team and size.
    pub quota_request: QuotaRequest,
    /// Whether the quota is the team's own or borrowed.
    pub grant: QuotaGrant,
}

/// All waiting jobs, by team.
#[derive(Debug, Default)]
pub struct WaitingTasks {
    jobs: FxHashMap<JobId, WaitingEntry>,
    teams: BTreeMap<TeamId, TeamQueue>,
    /// Teams with jobs to try, by share.
    by_rank: BTreeSet<(TeamRank, TeamId)>,
    /// The same teams, by the latest start of their first job or their last start, whichever is
    /// later: a team that is served by its share doesn't need the starts by age.
    by_age: BTreeSet<(Time, TeamId)>,
    parked: VecDeque<JobId>,
    blocked: Vec<TeamId>,
    start_counter: u32,
}

#[derive(Debug, Default)]
struct TeamQueue {
    jobs: BTreeSet<JobKey>,
    /// Keys of the team in `by_rank` and `by_age`, while it has jobs to try.
    index_keys: Option<(TeamRank, Time)>,
    blocked: bool,
    /// When a task of the team last started.
    last_start: Time,
}

impl WaitingTasks {
    /// Adds a job with all its tasks waiting, and counts them in its team's quota. Replaces a job
    /// of the same id.
    pub fn push(&mut self, now: Time, job: WaitingJob, quotas: &mut Quotas) {
        self.remove(&job.id, quotas);
        quotas.add_waiting(&job.team, job.size, job.tasks as usize);
        let id = job.id.clone();
        self.jobs.insert(id.clone(), WaitingEntry::new(now, job));
        self.update_job(now, &id, quotas);
    }

    /// Queues a task again that failed or was preempted, after [`Quotas::record_end`]. The arrival
    /// time of its job stays.
    pub fn requeue(&mut self, now: Time, task: &TaskId, quotas: &mut Quotas) {
        let Some(e) = self.jobs.get_mut(&task.job) else { return };
        if e.waiting.insert(task.index) {
            quotas.add_waiting(&e.job.team, e.job.size, 1);
        }
        self.update_job(now, &task.job, quotas);
    }

    /// Removes a task that a previous owner has started, or whose end that owner has recorded, from
    /// the waiting tasks.
    pub fn record_adopted(&mut self, now: Time, task: &TaskId, ended: bool, quotas: &mut Quotas) {
        let Some(e) = self.jobs.get_mut(&task.job) else { return };
        if !e.waiting.remove(&task.index) {
            return;
        }
        let job = &e.job;
        if ended {
            quotas.remove_waiting(&job.team, job.size, 1);
            return self.record_end(now, task, quotas);
        }
        let (team, task) = (job.team.clone(), task.clone());
        quotas.adopt(&QuotaRequest {
            team,
            task: task.clone(),
            size: job.size,
            reclaim: job.reclaim,
        });
        self.update_job(now, &task.job, quotas);
    }

    /// Returns the quota requests of a job's waiting tasks, for a gang, whose tasks start together.
    pub fn quota_requests(&self, job: &JobId) -> Vec<QuotaRequest> {
        let Some(e) = self.jobs.get(job) else { return Vec::new() };
        e.waiting.iter().map(|index| e.request_for(*index)).collect()
    }

    /// Removes a job with its waiting tasks.
    pub fn remove(&mut self, job: &JobId, quotas: &mut Quotas) {
        let Some(e) = self.jobs.remove(job) else { return };
        quotas.remove_waiting(&e.job.team, e.job.size, e.waiting.len());
        if let Some(queue) = self.teams.get_mut(&e.job.team) {
            queue.jobs.remove(&e.key);
        }
        self.update_team(&e.job.team, quotas);
    }

    /// Records the end of a task, after [`Quotas::record_end`]. Its job has less work left, so the
    /// job's latest start becomes later.
    pub fn record_end(&mut self, now: Time, task: &TaskId, quotas: &mut Quotas) {
        let Some(e) = self.jobs.get_mut(&task.job) else { return };
        e.unfinished = e.unfinished.saturating_sub(1);
        self.update_job(now, &task.job, quotas);
        if self.jobs.get(&task.job).is_some_and(|e| e.unfinished == 0) {
            self.remove(&task.job, quotas);
        }
    }

    /// Sets a new estimate of the run time of a job's tasks.
    pub fn set_run_time(&mut self, now: Time, job: &JobId, run: Duration, quotas: &Quotas) {
        let Some(e) = self.jobs.get_mut(job) else { return };
        e.job.run_time = run;
        self.update_job(now, job, quotas);
    }

    /// Returns the next task. The caller then calls [`WaitingTasks::take`] or [`WaitingTasks::park`].
    pub fn next(&mut self, now: Time, quotas: &Quotas) -> Option<Pick> {
        loop {
            let team = self.next_team(now)?;
            if let Some(pick) = self.try_team(&team, quotas) {
                if self.key_changed(now, &pick.quota_request.task.job) {
                    self.update_job(now, &pick.quota_request.task.job, quotas);
                    continue;
                }
                return Some(pick);
            }
            if let Some(queue) = self.teams.get_mut(&team) {
                queue.blocked = true;
            }
            self.blocked.push(team.clone());
            self.update_team(&team, quotas);
        }
    }

    /// Starts a picked task and charges it to its team's quota.
    pub fn take(&mut self, now: Time, pick: &Pick, quotas: &mut Quotas) -> QuotaGrant {
        let grant = quotas.start(&pick.quota_request);
        let Some(e) = self.jobs.get_mut(&pick.quota_request.task.job) else { return grant };
        if grant != QuotaGrant::Wait {
            e.waiting.remove(&pick.quota_request.task.index);
            self.start_counter = (self.start_counter + 1) % STARTS_PER_AGED_START;
            if let Some(queue) = self.teams.get_mut(&pick.quota_request.team) {
                queue.last_start = now;
            }
            self.update_job(now, &pick.quota_request.task.job, quotas);
        }
        grant
    }

    /// Sets a job aside until [`WaitingTasks::requeue_parked`], because no worker has room for its task.
    pub fn park(&mut self, now: Time, job: &JobId, quotas: &Quotas) {
        let Some(e) = self.jobs.get_mut(job) else { return };
        if !e.is_parked {
            e.is_parked = true;
            self.parked.push_back(job.clone());
        }
        self.update_job(now, job, quotas);
    }

    /// Queues the teams again that had no quota left, and the jobs for which no worker had room.
    /// Called once per tick.
    pub fn requeue_parked(&mut self, now: Time, quotas: &Quotas) {
        for team in std::mem::take(&mut self.blocked) {
            if let Some(queue) = self.teams.get_mut(&team) {
                queue.blocked = false;
            }
            self.update_team(&team, quotas);
        }
        for _ in 0..MAX_WOKEN_JOBS {
            let Some(job) = self.parked.pop_front() else { break };
            let Some(e) = self.jobs.get_mut(&job) else { continue };
            e.is_parked = false;
            self.update_job(now, &job, quotas);
        }
    }

    /// Recomputes the rank of all teams, after [`Quotas::set_quota`]. O(n log n) in the number of teams,
    /// once per configuration.
    pub fn recompute_ranks(&mut self, quotas: &Quotas) {
        let teams: Vec<_> = self.teams.keys().cloned().collect();
        teams.iter().for_each(|team| self.update_team(team, quotas));
    }

    /// Returns the number of waiting tasks. It adds up all jobs, so it is for reports only.
    pub fn waiting_count(&self) -> usize {
        self.jobs.values().map(|e| e.waiting.len()).sum()
    }

    /// Returns whether the job's key has changed with time alone, because its deadline can no
    /// longer be met.
    fn key_changed(&self, now: Time, job: &JobId) -> bool {
        self.jobs.get(job).is_some_and(|e| e.key != e.key(now))
    }

    fn next_team(&self, now: Time) -> Option<TeamId> {
        let overdue = self.by_age.first().filter(|(since, _)| *since < now);
        match overdue {
            Some((_, team)) if self.start_counter == 0 => Some(team.clone()),
            _ => self.by_rank.first().map(|(_, team)| team.clone()),
        }
    }

    /// Returns the team's first job that its quota allows. After one is refused, the jobs behind it
    /// may only borrow: if small tasks took the team's own quota whenever a part is freed, a
    /// large task would never start.
    fn try_team(&self, team: &TeamId, quotas: &Quotas) -> Option<Pick> {
        let queue = self.teams.get(team)?;
        let mut refused = false;
        for key in queue.jobs.iter().take(MAX_TRIED_JOBS) {
            let Some(ask) = self.jobs.get(&key.job).and_then(WaitingEntry::request) else {
                continue;
            };
            match quotas.grant(&ask) {
                QuotaGrant::Own if refused => {}
                QuotaGrant::Wait => refused = true,
                grant => return Some(Pick { quota_request: ask, grant }),
            }
        }
        None
    }

    /// Updates the job's position in its team, and the team's position among the teams.
    fn update_job(&mut self, now: Time, job: &JobId, quotas: &Quotas) {
        let Some(e) = self.jobs.get_mut(job) else { return };
        let queue = self.teams.entry(e.job.team.clone()).or_default();
        queue.jobs.remove(&e.key);
        e.key = e.key(now);
        if !e.is_parked && !e.waiting.is_empty() {
            queue.jobs.insert(e.key.clone());
        }
        let team = e.job.team.clone();
        self.update_team(&team, quotas);
    }

    fn update_team(&mut self, team: &TeamId, quotas: &Quotas) {
        let Some(queue) = self.teams.get_mut(team) else { return };
        if let Some((rank, since)) = queue.index_keys.take() {
            self.by_rank.remove(&(rank, team.clone()));
            self.by_age.remove(&(since, team.clone()));
        }
        let Some(key) = queue.jobs.first().filter(|_| !queue.blocked) else { return };
        let rank = quotas.team_rank(team);
        let since = queue.last_start.max(key.latest_start());
        self.by_rank.insert((rank, team.clone()));
        self.by_age.insert((since, team.clone()));
        queue.index_keys = Some((rank, since));
    }
}
