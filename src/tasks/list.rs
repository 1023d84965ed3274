//! Adds and removes jobs according to the plan in force and the buckets owned.

use {
    super::{Held, Tasks, live, reclaim_mode},
    crate::{
        Time,
        decide::order,
        ids::{Bucket, JobId, TaskId, team_bucket},
        messages::{TaskRow, TaskState},
        ranges::Ranges,
        text::{Job, JobKind, Plan},
        units::Size,
    },
    std::{rc::Rc, time::Duration},
};

/// Number of failures after which a member gives up a task that failed under previous owners. The
/// evidence of those owners about workers is not available to this member.
const MAX_TRIES: u32 = 12;

/// The recorded history of a job in its bucket.
pub struct History {
    /// Rows of its attempts.
    pub rows: Vec<TaskRow>,
    /// Tasks that have ended successfully and have no row any more.
    pub done: Ranges,
    /// Why the job was given up.
    pub fault: Option<Box<str>>,
    /// Time since the job was first taken in.
    pub age: Duration,
}

impl Tasks {
    /// Applies the plan in force: sets the quotas and removes jobs that the plan no longer lists.
    pub fn set_plan(&mut self, plan: &Rc<Plan>) {
        let before = std::mem::replace(&mut self.plan, plan.clone());
        let all = self.total_size();
        for (id, team) in &plan.teams {
            self.quotas.set_quota(id, team.quota.unwrap_or(all), team.weight);
        }
        // The quota of a team that was removed must not be lent.
        for id in before.teams.keys().filter(|id| !plan.teams.contains_key(*id)) {
            self.quotas.set_quota(id, Size::default(), 1);
        }
        self.order.recompute_ranks(&self.quotas);
        self.remote_ended.retain(|name| plan.jobs.get(name) == before.jobs.get(name));
        let gone: Vec<JobId> = self
            .listed
            .iter()
            .filter(|(name, job)| plan.jobs.get(*name) != Some(*job))
            .map(|(name, _)| name.clone())
            .collect();
        gone.iter().for_each(|name| self.unlist(name));
        // Tasks still being stopped because of an earlier plan may include more that must be
        // cancelled now.
        let held: Vec<TaskId> =
            self.held.keys().filter(|t| !self.listed.contains_key(&t.job)).cloned().collect();
        held.iter().for_each(|task| self.cancel_unlisted(task));
    }

    /// Takes in a job of the plan, with its history from the bucket's record.
    ///
    /// Returns false while tasks of an earlier job of the same name are being stopped or room is
    /// being requested for them: replies for those tasks would be mistaken for replies for the new
    /// job.
    pub fn add_job(&mut self, name: &JobId, past: History, now: Time) -> bool {
        let Some(job) = self.plan.jobs.get(name).cloned() else { return true };
        if self.busy(name) {
            return false;
        }
        let running: Vec<(TaskId, Option<Time>)> =
            self.held_of(name).map(|(t, h)| (t.clone(), h.placed_at)).collect();
        // Running tasks are counted again, according to the current definition of the job.
        running.iter().for_each(|(task, _)| self.release(task));
        if self.cancels.clear_marks(name).is_err() {
            return false;
        }
        let left = job.deadline.map(|d| d.saturating_sub(past.age));
        let entry = order::WaitingJob {
            id: name.clone(),
            team: job.team.clone(),
            deadline: left.map_or(Time::NEVER, |left| now + left),
            priority: u8::try_from(job.priority).unwrap_or(u8::MAX),
            run_time: self.estimates.expected_run_time(name, job.run),
            width: job.tasks,
            tasks: job.tasks,
            size: job.size,
            reclaim: reclaim_mode(&job),
        };
        self.listed.insert(name.clone(), job.clone());
        self.order.push(now, entry, &mut self.quotas);
        self.restore_job(name, &job, past, now);
        for (task, placed_at) in running {
            if let (Some(held), Some(placed_at)) = (self.held.get_mut(&task), placed_at) {
                held.placed_at = Some(placed_at);
            }
        }
        if job.urgent {
            self.order.quota_requests(name).iter().for_each(|a| self.urgent.add(&a.task));
        }
        true
    }

    /// Holds and cancels the task of a row whose job the plan does not list, so that it is stopped.
    pub fn cancel_orphan(&mut self, row: &TaskRow, bucket: Bucket, now: Time) {
        let held = Held { bucket, placed_at: Some(now), urgent: None };
        self.held.insert(row.task.clone(), held);
        self.cancels.try_start(&row.task);
        self.cancels.cancel_task(&row.task);
    }

    /// Drops the tasks of a bucket that passed to another member, which decides on them from now
    /// on.
    pub fn drop_bucket(&mut self, bucket: Bucket) {
        let held: Vec<TaskId> =
            self.held.iter().filter(|(_, h)| h.bucket == bucket).map(|(t, _)| t.clone()).collect();
        held.iter().for_each(|t| self.release(t));
        let mut gone: Vec<JobId> = self
            .listed
            .iter()
            .filter(|(_, j)| team_bucket(&j.team) == bucket)
            .map(|(n, _)| n.clone())
            .collect();
        for name in &gone {
            self.listed.remove(name);
            self.order.remove(name, &mut self.quotas);
            self.drop_job(name);
        }
        gone.extend(held.into_iter().map(|t| t.job));
        // None of their tasks is held any more, so their cancel marks are not needed.
        for name in &gone {
            let _ = self.cancels.clear_marks(name);
        }
    }

    fn unlist(&mut self, name: &JobId) {
        self.listed.remove(name);
        self.order.remove(name, &mut self.quotas);
        self.drop_job(name);
    }

    /// Cancels a held task unless the plan lists it in the bucket in which it is held.
    fn cancel_unlisted(&mut self, task: &TaskId) {
        let Some(held) = self.held.get(task) else { return };
        let job = self.plan.jobs.get(&task.job);
        let kept = |j: &Job| task.index.0 < j.tasks && team_bucket(&j.team) == held.bucket;
        match job {
            // One mark covers all tasks of the job, so the work is bounded whatever their number.
            None => self.cancels.cancel_job(&task.job),
            Some(job) if !kept(job) => self.cancels.cancel_task(task),
            Some(_) => {}
        }
    }

    fn busy(&self, name: &JobId) -> bool {
        self.held_of(name).any(|(t, h)| h.placed_at.is_none() || self.cancels.is_cancelled(t))
    }

    fn restore_job(&mut self, name: &JobId, job: &Job, past: History, now: Time) {
        for index in past.done.iter().filter(|i| i.0 < job.tasks) {
            self.restore_ended(&TaskId { job: name.clone(), index }, job, now);
        }
        for row in past.rows.iter().filter(|r| r.task.index.0 < job.tasks) {
            self.restore_row(row, job, now);
        }
        if let Some(fault) = past.fault {
            self.abandon(name, fault);
        }
        let done = self.done.get(name).map_or(0, Ranges::len);
        if job.kind == JobKind::Gang && done < job.tasks {
            // A gang taken over with one of its tasks lost is incomplete.
            let whole = self.held_of(name).count() + done as usize == job.tasks as usize;
            if !whole {
                self.restart_gang(name, now);
            }
        } else if job.kind == JobKind::Gang {
            self.order.remove(name, &mut self.quotas);
        }
    }

    fn restore_row(&mut self, row: &TaskRow, job: &Job, now: Time) {
        match row.state {
            s if live(s) => {
                self.order.record_adopted(now, &row.task, false, &mut self.quotas);
                let bucket = team_bucket(&job.team);
                let held = Held { bucket, placed_at: Some(now), urgent: None };
                self.held.insert(row.task.clone(), held);
                self.cancels.try_start(&row.task);
            }
            TaskState::Ended if job.kind != JobKind::Replicas => {
                self.restore_ended(&row.task, job, now);
            }
            TaskState::Failed if row.tries.unwrap_or(0) >= MAX_TRIES => {
                let reason = format!("the task failed {} times", row.tries.unwrap_or(0));
                self.order.record_adopted(now, &row.task, true, &mut self.quotas);
                match job.kind {
                    JobKind::Gang => self.abandon(&row.task.job, reason.into()),
                    _ => drop(self.abandoned.insert(row.task.clone(), reason.into())),
                }
            }
            _ => {}
        }
    }

    fn restore_ended(&mut self, task: &TaskId, job: &Job, now: Time) {
        if job.kind == JobKind::Replicas {
            return;
        }
        if !self.done.entry(task.job.clone()).or_default().insert(task.index) {
            return;
        }
        match job.kind {
            // The ended task does not wait, but another task of the gang may still fail; then it
            // waits again.
            JobKind::Gang => {
                self.order.record_adopted(now, task, false, &mut self.quotas);
                self.quotas.record_end(task);
            }
            _ => self.order.record_adopted(now, task, true, &mut self.quotas),
        }
    }

    fn drop_job(&mut self, name: &JobId) {
        self.done.remove(name);
        self.faults.remove(name);
        self.suspects.remove_job(name);
        self.estimates.forget(name);
        self.abandoned.retain(|t, _| t.job != *name);
        self.delayed.retain(|(_, t)| t.job != *name);
        self.urgent.drop_job(name);
    }
}
