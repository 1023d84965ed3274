//! The jobs that are taken in and left out, by the text in force and by the buckets owned.

use {
    super::{Held, Tasks, back_of, live},
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

/// How often a member tries a task that failed under owners before it, whose evidence it has not.
const TRIES: u32 = 12;

/// What a bucket's record says of a job.
pub struct Past {
    /// Its attempts.
    pub rows: Vec<TaskRow>,
    /// The tasks whose rows are gone since they have ended well.
    pub done: Ranges,
    /// Why it was given up.
    pub fault: Option<Box<str>>,
    /// How long ago it was first taken in.
    pub age: Duration,
}

impl Tasks {
    /// Takes the plan in force: quotas, and the jobs that it no longer lists.
    pub fn planned(&mut self, plan: &Rc<Plan>) {
        let before = std::mem::replace(&mut self.plan, plan.clone());
        let all = self.all();
        for (id, team) in &plan.teams {
            self.quotas.set(id, team.quota.unwrap_or(all), team.weight);
        }
        // What no team has any more must not be lent.
        for id in before.teams.keys().filter(|id| !plan.teams.contains_key(*id)) {
            self.quotas.set(id, Size::default(), 1);
        }
        self.order.relist(&self.quotas);
        self.afar.retain(|name| plan.jobs.get(name) == before.jobs.get(name));
        let gone: Vec<JobId> = self
            .listed
            .iter()
            .filter(|(name, job)| plan.jobs.get(*name) != Some(*job))
            .map(|(name, _)| name.clone())
            .collect();
        gone.iter().for_each(|name| self.leave_out(name));
        // Of what is still being stopped since an earlier text, more may have to be now.
        let held: Vec<TaskId> =
            self.held.keys().filter(|t| !self.listed.contains_key(&t.job)).cloned().collect();
        held.iter().for_each(|task| self.cancel_unlisted(task));
    }

    /// Takes in a job of the plan, with what its bucket's record says of it.
    ///
    /// Returns false while tasks of a former text's job of this name are being stopped, or room is
    /// asked for them: its answers would be taken for those of the new job.
    pub fn list(&mut self, name: &JobId, past: Past, now: Time) -> bool {
        let Some(job) = self.plan.jobs.get(name).cloned() else { return true };
        if self.busy(name) {
            return false;
        }
        let on: Vec<(TaskId, Option<Time>)> =
            self.holds(name).map(|(t, h)| (t.clone(), h.began)).collect();
        // What goes on running is counted anew, by the job as it is now.
        on.iter().for_each(|(task, _)| self.release(task));
        if self.cancels.relist(name).is_err() {
            return false;
        }
        let left = job.deadline.map(|d| d.saturating_sub(past.age));
        let entry = order::Job {
            id: name.clone(),
            team: job.team.clone(),
            deadline: left.map_or(Time::NEVER, |left| now + left),
            priority: u8::try_from(job.priority).unwrap_or(u8::MAX),
            run: self.estimates.run(name, job.run),
            width: job.tasks,
            tasks: job.tasks,
            size: job.size,
            back: back_of(&job),
        };
        self.listed.insert(name.clone(), job.clone());
        self.order.push(now, entry, &mut self.quotas);
        self.take_past(name, &job, past, now);
        for (task, began) in on {
            if let (Some(held), Some(began)) = (self.held.get_mut(&task), began) {
                held.began = Some(began);
            }
        }
        if job.urgent {
            self.order.asks(name).iter().for_each(|a| self.urgent.add(&a.task));
        }
        true
    }

    /// Marks a row of a job that the plan does not list, so that it is stopped.
    pub fn orphan(&mut self, row: &TaskRow, bucket: Bucket, now: Time) {
        let held = Held { bucket, began: Some(now), urgent: None };
        self.held.insert(row.task.clone(), held);
        self.cancels.start(&row.task);
        self.cancels.task(&row.task);
    }

    /// A bucket has passed to another member, which decides on its tasks from now on.
    pub fn lost(&mut self, bucket: Bucket) {
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
        // No task of them is held any more, so that no mark is needed either.
        for name in &gone {
            let _ = self.cancels.relist(name);
        }
    }

    fn leave_out(&mut self, name: &JobId) {
        self.listed.remove(name);
        self.order.remove(name, &mut self.quotas);
        self.drop_job(name);
    }

    /// Cancels a held task unless the plan lists it, in the bucket in which it is held.
    fn cancel_unlisted(&mut self, task: &TaskId) {
        let Some(held) = self.held.get(task) else { return };
        let job = self.plan.jobs.get(&task.job);
        let kept = |j: &Job| task.index.0 < j.tasks && team_bucket(&j.team) == held.bucket;
        match job {
            // One mark for all its tasks, in bounded work however many these are.
            None => self.cancels.job(&task.job),
            Some(job) if !kept(job) => self.cancels.task(task),
            Some(_) => {}
        }
    }

    fn busy(&self, name: &JobId) -> bool {
        self.holds(name).any(|(t, h)| h.began.is_none() || self.cancels.cancelled(t))
    }

    fn take_past(&mut self, name: &JobId, job: &Job, past: Past, now: Time) {
        for index in past.done.iter().filter(|i| i.0 < job.tasks) {
            self.take_ended(&TaskId { job: name.clone(), index }, job, now);
        }
        for row in past.rows.iter().filter(|r| r.task.index.0 < job.tasks) {
            self.take_row(row, job, now);
        }
        if let Some(fault) = past.fault {
            self.abandon(name, fault);
        }
        let done = self.done.get(name).map_or(0, Ranges::len);
        if job.kind == JobKind::Gang && done < job.tasks {
            // Taken over with one of its tasks lost, it is half a gang.
            let whole = self.holds(name).count() + done as usize == job.tasks as usize;
            if !whole {
                self.break_up(name, now);
            }
        } else if job.kind == JobKind::Gang {
            self.order.remove(name, &mut self.quotas);
        }
    }

    fn take_row(&mut self, row: &TaskRow, job: &Job, now: Time) {
        match row.state {
            s if live(s) => {
                self.order.adopt(now, &row.task, false, &mut self.quotas);
                let bucket = team_bucket(&job.team);
                let held = Held { bucket, began: Some(now), urgent: None };
                self.held.insert(row.task.clone(), held);
                self.cancels.start(&row.task);
            }
            TaskState::Ended if job.kind != JobKind::Replicas => {
                self.take_ended(&row.task, job, now);
            }
            TaskState::Failed if row.tries.unwrap_or(0) >= TRIES => {
                let reason = format!("the task failed {} times", row.tries.unwrap_or(0));
                self.order.adopt(now, &row.task, true, &mut self.quotas);
                match job.kind {
                    JobKind::Gang => self.abandon(&row.task.job, reason.into()),
                    _ => drop(self.given.insert(row.task.clone(), reason.into())),
                }
            }
            _ => {}
        }
    }

    fn take_ended(&mut self, task: &TaskId, job: &Job, now: Time) {
        if job.kind == JobKind::Replicas {
            return;
        }
        if !self.done.entry(task.job.clone()).or_default().insert(task.index) {
            return;
        }
        match job.kind {
            // It does not wait; but what is left of the gang may yet fail, and then it waits again.
            JobKind::Gang => {
                self.order.adopt(now, task, false, &mut self.quotas);
                self.quotas.ended(task);
            }
            _ => self.order.adopt(now, task, true, &mut self.quotas),
        }
    }

    fn drop_job(&mut self, name: &JobId) {
        self.done.remove(name);
        self.faults.remove(name);
        self.suspects.forget(name);
        self.estimates.forget(name);
        self.given.retain(|t, _| t.job != *name);
        self.paused.retain(|(_, t)| t.job != *name);
        self.urgent.drop_job(name);
    }
}
