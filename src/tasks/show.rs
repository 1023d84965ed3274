//! Information on the tasks for operators and other members.

use {
    super::{Balance, Tasks},
    crate::{
        ids::{JobId, TaskId},
        text::{Job, JobKind},
        units::Size,
    },
    std::collections::BTreeSet,
};

impl Tasks {
    /// Why a task does not run, if known.
    pub fn reason(&self, task: &TaskId) -> Option<Box<str>> {
        if let Some(fault) = self.abandoned.get(task).or_else(|| self.faults.get(&task.job)) {
            return Some(format!("given up: {fault}").into());
        }
        let job = self.listed.get(&task.job)?;
        if !self.dependencies_met(job) {
            return Some(format!("waits for {}", job.after.join(", ")).into());
        }
        let (own, borrowed) = self.quotas.held_resources(&job.team);
        Some(format!("waits for room; its team holds {own}, and {borrowed} of other teams").into())
    }

    /// Whether all tasks of a job have ended.
    pub fn finished(&self, name: &JobId) -> bool {
        let Some(job) = self.listed.get(name) else { return false };
        job.kind != JobKind::Replicas && self.done.get(name).is_some_and(|d| d.len() >= job.tasks)
    }

    /// Records jobs that have ended on other members, so that jobs that depend on them may start.
    pub fn add_remote_ended(&mut self, jobs: Vec<JobId>) {
        let known = jobs.into_iter().filter(|n| self.plan.jobs.contains_key(n));
        self.remote_ended.extend(known);
    }

    /// The jobs here that have ended and on which others depend.
    pub fn done(&self) -> Vec<JobId> {
        let after: BTreeSet<&str> =
            self.plan.jobs.values().flat_map(|j| &j.after).map(|a| &**a).collect();
        let names = after.into_iter().map(JobId::from);
        names.filter(|n| self.finished(n)).collect()
    }

    /// Totals of the tasks here; all are zero once all work is over.
    pub fn balance(&self) -> Balance {
        let teams = || self.plan.teams.keys();
        let size =
            teams().map(|t| self.quotas.held_resources(t)).map(|(own, lent)| own + lent).sum();
        let waits = teams().map(|t| self.quotas.waiting_resources(t)).sum();
        Balance { held: self.held.len(), waiting: self.order.waiting_count(), size, waits }
    }

    pub(super) fn dependencies_met(&self, job: &Job) -> bool {
        job.after.iter().all(|name| {
            let id = JobId(name.clone());
            // A dependency on a service or on replicas, which run all the time, counts as met.
            let Some(first) = self.plan.jobs.get(&id) else { return true };
            let here = || self.finished(&id);
            first.kind == JobKind::Replicas || here() || self.remote_ended.contains(&id)
        })
    }

    /// Total resources of all workers of the plan.
    pub(super) fn total_size(&self) -> Size {
        self.plan.pools.values().map(|p| p.size.times(u64::from(p.workers))).sum()
    }
}
