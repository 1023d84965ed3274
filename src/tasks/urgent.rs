//! Urgent work, which does not wait for its team's turn and is bounded by the team's allowance.

use {
    super::{Pick, Tasks},
    crate::{
        Time,
        decide::quota::{QuotaGrant, QuotaRequest},
        ids::{JobId, TaskId, TaskIndex},
        text::{Job, JobKind},
    },
    std::collections::{BTreeMap, BTreeSet},
};

type Waiting = BTreeMap<JobId, BTreeSet<TaskIndex>>;

/// The waiting tasks of urgent jobs.
#[derive(Default)]
pub(super) struct Urgent {
    open: Waiting,
    /// Tasks of jobs that could not start since the last wake.
    parked: Waiting,
}

impl Urgent {
    pub(super) fn add(&mut self, task: &TaskId) {
        let parked = self.parked.contains_key(&task.job);
        let side = if parked { &mut self.parked } else { &mut self.open };
        side.entry(task.job.clone()).or_default().insert(task.index);
    }

    pub(super) fn remove(&mut self, task: &TaskId) {
        for side in [&mut self.open, &mut self.parked] {
            let Some(tasks) = side.get_mut(&task.job) else { continue };
            tasks.remove(&task.index);
            if tasks.is_empty() {
                side.remove(&task.job);
            }
        }
    }

    pub(super) fn drop_job(&mut self, job: &JobId) {
        self.open.remove(job);
        self.parked.remove(job);
    }

    pub(super) fn wake(&mut self) {
        self.open.append(&mut self.parked);
    }

    fn first(&self) -> Option<TaskId> {
        let (job, tasks) = self.open.first_key_value()?;
        tasks.first().map(|index| TaskId { job: job.clone(), index: *index })
    }

    fn park(&mut self, job: &JobId) {
        self.parked.extend(self.open.remove_entry(job));
    }
}

impl Tasks {
    /// Returns the next urgent task or gang that its team's allowance admits.
    ///
    /// Work over the allowance waits in the normal order and does not block other work.
    pub(super) fn next_urgent(&mut self, now: Time) -> Option<Pick> {
        while let Some(task) = self.urgent.first() {
            if let Some(pick) = self.try_urgent(&task, now) {
                return Some(pick);
            }
            // The tasks of a job are alike: if one can't start, none can.
            self.urgent.park(&task.job);
        }
        None
    }

    fn try_urgent(&mut self, task: &TaskId, now: Time) -> Option<Pick> {
        let job = self.listed.get(&task.job)?.clone();
        if !self.may_start(&task.job, &job, now) {
            return None;
        }
        let tasks = match job.kind {
            JobKind::Gang => self.urgent_gang(&task.job, &job)?,
            JobKind::Batch | JobKind::Replicas => vec![task.clone()],
        };
        let size = job.size.times(tasks.len() as u64);
        let quota = self
            .plan
            .teams
            .get(&job.team)
            .and_then(|t| t.quota)
            .unwrap_or_else(|| self.total_size());
        if !self.allowances.admit_start(now, &job.team, size, quota) {
            return None;
        }
        let mut asks = vec![];
        let mut admitted = true;
        for task in &tasks {
            self.urgent.remove(task);
            self.order.record_adopted(now, task, false, &mut self.quotas);
            admitted &= self.hold_pending(task, &job, Some((job.team.clone(), job.size)));
            let back = super::reclaim_mode(&job);
            let ask = QuotaRequest {
                team: job.team.clone(),
                task: task.clone(),
                size: job.size,
                reclaim: back,
            };
            asks.push((ask, QuotaGrant::Own));
        }
        if !admitted {
            tasks.iter().for_each(|t| self.unplaced(t, now));
            return None;
        }
        Some(Pick { asks, job, urgent: true })
    }

    fn urgent_gang(&self, name: &JobId, job: &Job) -> Option<Vec<TaskId>> {
        let tasks: Vec<TaskId> =
            self.order.quota_requests(name).into_iter().map(|a| a.task).collect();
        (tasks.len() == job.tasks as usize).then_some(tasks)
    }
}
