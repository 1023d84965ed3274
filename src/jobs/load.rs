//! Takes in jobs from records and plans, and handles the ends of attempts.

use {
    super::{JobRequest, Jobs, Owned, release},
    crate::{
        Time,
        ids::{Bucket, JobId, TaskId, team_bucket},
        messages::{EndItem, TaskRow, TaskState},
        tasks::{History, live},
        text::{JobKind, Plan},
    },
    std::{collections::BTreeMap, time::Duration},
};

impl Jobs {
    /// Takes in the jobs of buckets that were read, and of a new plan.
    ///
    /// Waits for the first plan. Without this, a member that takes over a bucket before it has the
    /// configuration would regard all running tasks as unlisted and stop them.
    pub(super) fn load(&mut self, now: Time, requests: &mut Vec<JobRequest>) {
        if !self.has_plan {
            return;
        }
        let fresh: Vec<Bucket> = self
            .buckets
            .iter()
            .filter(|(_, o)| !o.loaded && o.state.ready())
            .map(|(id, _)| *id)
            .collect();
        for id in &fresh {
            self.adopt(*id, now);
        }
        if !fresh.is_empty() || self.needs_load {
            self.needs_load = false;
            self.forget_unlisted();
            self.drop_gangs(now, requests);
            let jobs = self.plan.jobs.iter().filter(|(name, _)| !self.tasks.has_job(name));
            let here = jobs.filter(|(_, j)| self.buckets.contains_key(&team_bucket(&j.team)));
            self.unloaded = here.map(|(name, _)| name.clone()).collect();
        }
        if !self.unloaded.is_empty() {
            self.list(now);
        }
    }

    fn adopt(&mut self, id: Bucket, now: Time) {
        let Some(owned) = self.buckets.get_mut(&id) else { return };
        owned.loaded = true;
        for row in owned.state.attempts().rows().filter(|r| live(r.state)) {
            owned.running.insert(row.task.clone(), row.attempt);
            if !lists(&self.plan, id, &row.task) {
                self.tasks.cancel_orphan(row, id, now);
            }
        }
    }

    fn list(&mut self, now: Time) {
        let mut rows: BTreeMap<Bucket, BTreeMap<JobId, Vec<TaskRow>>> = BTreeMap::new();
        let unix = self.unix + now.since(Time::ZERO).as_secs();
        for name in std::mem::take(&mut self.unloaded) {
            let Some(job) = self.plan.jobs.get(&name) else { continue };
            let id = team_bucket(&job.team);
            let Some(owned) = self.buckets.get_mut(&id).filter(|o| o.loaded) else { continue };
            let rows = rows.entry(id).or_insert_with(|| by_job(owned)).remove(&name);
            owned.state.add_job(&name, unix);
            owned.touched = true;
            if job.kind == JobKind::Gang {
                owned.state.drop_partial_gang(&name, job.tasks);
            }
            let Some(past) = owned.state.history(&name) else { continue };
            let past = History {
                rows: rows.unwrap_or_default(),
                done: past.done.clone(),
                fault: past.fault.clone(),
                age: Duration::from_secs(unix.saturating_sub(past.since)),
            };
            let ended: Vec<TaskId> = past
                .rows
                .iter()
                .filter(|r| r.state == TaskState::Ended)
                .map(|r| r.task.clone())
                .collect();
            if !self.tasks.add_job(&name, past, now) {
                self.unloaded.insert(name);
                continue;
            }
            ended.iter().for_each(|task| self.finish(id, task));
        }
    }

    /// Records a task or a whole gang that has ended by index only, without a row.
    fn finish(&mut self, id: Bucket, task: &TaskId) {
        let Some(owned) = self.buckets.get_mut(&id) else { return };
        let Some(job) = self.plan.jobs.get(&task.job) else { return };
        match job.kind {
            JobKind::Replicas => {}
            JobKind::Batch => owned.state.mark_ended(task),
            JobKind::Gang if self.tasks.finished(&task.job) => {
                let rows = owned.state.attempts().rows().filter(|r| r.task.job == task.job);
                let tasks: Vec<TaskId> = rows.map(|r| r.task.clone()).collect();
                tasks.iter().for_each(|t| owned.state.mark_ended(t));
            }
            JobKind::Gang => {}
        }
        owned.touched = true;
    }

    /// Removes records that the plan does not list here and that are not running. A job of the same
    /// name that is listed later is a new job.
    fn forget_unlisted(&mut self) {
        for (id, owned) in self.buckets.iter_mut().filter(|(_, o)| o.loaded) {
            let rows = owned.state.attempts().rows().filter(|r| !live(r.state));
            let gone: Vec<TaskId> =
                rows.map(|r| r.task.clone()).filter(|t| !lists(&self.plan, *id, t)).collect();
            for task in gone.iter().filter(|t| !owned.running.contains_key(*t)) {
                let _ = owned.state.remove_task(task);
            }
            let here =
                |job: &JobId| self.plan.jobs.get(job).is_some_and(|j| team_bucket(&j.team) == *id);
            let jobs: Vec<JobId> = owned.state.jobs().filter(|j| !here(j)).cloned().collect();
            jobs.iter().for_each(|job| owned.state.remove_job(job));
            owned.touched |= !(gone.is_empty() && jobs.is_empty());
        }
    }

    /// Gives up the gangs being placed whose job or bucket is gone.
    fn drop_gangs(&mut self, now: Time, requests: &mut Vec<JobRequest>) {
        let gone: Vec<JobId> =
            self.gangs.jobs().filter(|j| !self.tasks.has_job(j)).cloned().collect();
        for job in gone {
            let (tasks, rows) = self.gangs.remove(&job);
            for task in
                tasks.iter().filter(|t| self.tasks.room_requested(t)).cloned().collect::<Vec<_>>()
            {
                self.tasks.unplaced(&task, now);
            }
            requests.extend(release(rows));
        }
    }

    /// Handles ended attempts in the changed buckets, or in all of them.
    pub(super) fn settle_changed(&mut self, all: bool, now: Time) {
        let mut over = vec![];
        for (id, owned) in self.buckets.iter_mut().filter(|(_, o)| all || o.changed) {
            owned.changed = false;
            let live = |t: &TaskId| owned.state.attempts().get(t).is_some_and(|r| live(r.state));
            let tasks = owned.running.keys().filter(|t| !live(t));
            over.extend(tasks.map(|t| (*id, t.clone())));
        }
        for (id, task) in over {
            self.settle(id, &task, now);
        }
    }

    /// Handles the end of an attempt if its row shows that it has ended, whichever source reported
    /// it.
    pub(super) fn settle(&mut self, id: Bucket, task: &TaskId, now: Time) {
        let Some(owned) = self.buckets.get_mut(&id) else { return };
        let Some(attempt) = owned.running.get(task).copied() else { return };
        let row = owned.state.attempts().get(task);
        let Some(row) = row.filter(|r| r.attempt == attempt && !live(r.state)) else { return };
        let Some(worker) = row.worker.clone() else { return };
        let state = row.state;
        let used = owned.used.remove(task);
        owned.running.remove(task);
        owned.touched = true;
        let cancelled = self.tasks.cancelled(task);
        self.tasks
            .attempt_ended(&EndItem { task: task.clone(), attempt, state, worker, used }, now);
        let Some(owned) = self.buckets.get_mut(&id) else { return };
        if let Some(fault) = self.tasks.fault(&task.job) {
            owned.state.set_fault(&task.job, fault);
        }
        if cancelled && (state == TaskState::Ended || !lists(&self.plan, id, task)) {
            let _ = owned.state.remove_task(task);
        } else if state == TaskState::Ended && self.tasks.has_job(&task.job) {
            self.finish(id, task);
        }
    }
}

/// Whether a plan lists a task in a bucket.
fn lists(plan: &Plan, bucket: Bucket, task: &TaskId) -> bool {
    let job = plan.jobs.get(&task.job);
    job.is_some_and(|j| team_bucket(&j.team) == bucket && task.index.0 < j.tasks)
}

fn by_job(owned: &Owned) -> BTreeMap<JobId, Vec<TaskRow>> {
    let mut jobs: BTreeMap<JobId, Vec<TaskRow>> = BTreeMap::new();
    for row in owned.state.attempts().rows() {
        match jobs.get_mut(&row.task.job) {
            Some(rows) => rows.push(row.clone()),
            None => drop(jobs.insert(row.task.job.clone(), vec![row.clone()])),
        }
    }
    jobs
}
