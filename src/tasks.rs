//! The tasks of a member's buckets: which waits, which is next, which is stopped or given up.
//!
//! All jobs of a team stand in one bucket, so that one member counts the team's quota. Room is lent
//! between teams whose buckets have the same owner.

use {
    crate::{
        Time,
        decide::{
            cancel::Cancels,
            estimate::Estimates,
            order::{self, Order},
            quota::{Ask, BRIEF, Back, Grant, Quotas},
            suspect::{Fault, Outcome, Suspects, Trust, Verdict},
            urgent::Allowances,
        },
        ids::{Bucket, JobId, TaskId, TaskIndex, WorkerId},
        jobs::team_bucket,
        messages::{EndItem, Hold, TaskRow, TaskState, Vm},
        text::{Job, JobKind, Plan},
        units::Size,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        rc::Rc,
        time::Duration,
    },
};

/// How long a replica that has ended stays down before it is started again.
const RESTART: Duration = Duration::from_secs(1);
/// How often a member tries a task that failed under owners before it, whose evidence it has not.
const TRIES: u32 = 12;

/// A task, or a whole gang, that is to be placed now.
pub struct Pick {
    /// What its team was granted.
    pub asks: Vec<(Ask, Grant)>,
    /// The job.
    pub job: Job,
}

/// The tasks of a member's buckets.
pub struct Tasks {
    plan: Rc<Plan>,
    order: Order,
    quotas: Quotas,
    suspects: Suspects,
    estimates: Estimates,
    cancels: Cancels,
    allowances: Allowances,
    listed: BTreeMap<JobId, Job>,
    paused: BTreeSet<(Time, TaskId)>,
    urgent: BTreeSet<TaskId>,
    shaky: BTreeSet<WorkerId>,
    given: BTreeMap<TaskId, Fault>,
    began: BTreeMap<TaskId, Time>,
    ended: BTreeMap<JobId, u32>,
    joined: BTreeSet<WorkerId>,
    stops: Vec<TaskId>,
}

impl Tasks {
    /// No tasks; `seed` sets the jitter of the back-off.
    pub fn new(seed: u64) -> Self {
        Tasks {
            plan: Rc::default(),
            order: Order::default(),
            quotas: Quotas::default(),
            suspects: Suspects::new(seed),
            estimates: Estimates::default(),
            cancels: Cancels::default(),
            allowances: Allowances::default(),
            listed: BTreeMap::new(),
            paused: BTreeSet::new(),
            urgent: BTreeSet::new(),
            shaky: BTreeSet::new(),
            given: BTreeMap::new(),
            began: BTreeMap::new(),
            ended: BTreeMap::new(),
            joined: BTreeSet::new(),
            stops: vec![],
        }
    }

    /// The next task or gang to place; the caller answers by [`Tasks::placed`] or [`Tasks::unplaced`].
    pub fn next(&mut self, now: Time) -> Option<Pick> {
        if let Some(pick) = self.next_urgent(now) {
            return Some(pick);
        }
        loop {
            let pick = self.order.next(now, &self.quotas)?;
            let name = pick.ask.task.job.clone();
            let Some(job) = self.listed.get(&name).cloned() else {
                self.order.remove(&name, &mut self.quotas);
                continue;
            };
            if let Some(fault) = self.suspects.fault(&name) {
                self.abandon(&name, fault);
                continue;
            }
            let held = matches!(self.suspects.job_trust(now, &name), Trust::Held(_));
            if held || !self.ready(&job) {
                self.order.park(now, &name, &self.quotas);
                continue;
            }
            if job.kind == JobKind::Gang {
                match self.gang(&name, now) {
                    Some(asks) => return Some(Pick { asks, job }),
                    None => self.order.park(now, &name, &self.quotas),
                }
                continue;
            }
            let grant = self.order.take(now, &pick, &mut self.quotas);
            if grant == Grant::Wait {
                self.order.park(now, &name, &self.quotas);
                continue;
            }
            if !self.cancels.start(&pick.ask.task) {
                self.quotas.ended(&pick.ask.task);
                continue;
            }
            return Some(Pick { asks: vec![(pick.ask, grant)], job });
        }
    }

    /// A task was given a worker and its attempt made.
    pub fn placed(&mut self, task: &TaskId, worker: &WorkerId, now: Time) {
        self.suspects.started(now, task, worker);
        self.began.insert(task.clone(), now);
    }

    /// A picked task found no room: it waits again, behind others for a while.
    pub fn unplaced(&mut self, task: &TaskId, now: Time) {
        self.release(task);
        self.back(task, now);
        self.order.park(now, &task.job, &self.quotas);
    }

    /// Takes the end of an attempt, as it stands in the record now.
    pub fn over(&mut self, item: &EndItem, now: Time) {
        let task = &item.task;
        self.release(task);
        let ran = self.began.remove(task).map(|at| now - at);
        let Some(job) = self.listed.get(&task.job).cloned() else { return };
        let used = item.used.unwrap_or(job.size);
        let outcome = match item.state {
            TaskState::Ended => Outcome::Done,
            TaskState::Failed => Outcome::Failed,
            _ => Outcome::Stopped,
        };
        if outcome == Outcome::Failed {
            self.shaky.insert(item.worker.clone());
        }
        if let (Outcome::Done, Some(ran)) = (outcome, ran) {
            self.estimates.ended(&task.job, ran, used);
            let run = self.estimates.run(&task.job, job.run);
            self.order.correct(now, &task.job, run, &self.quotas);
        } else if !used.fits(&job.size) {
            self.estimates.check(&task.job, used, job.size, Size::default());
        }
        if job.kind == JobKind::Gang && outcome != Outcome::Done {
            // The others can do nothing without it; they are stopped, and the gang starts anew.
            let others = self.began.keys().filter(|t| t.job == task.job);
            self.stops.extend(others.cloned());
        }
        match self.suspects.ended(now, task, &item.worker, outcome) {
            Verdict::Over if job.kind == JobKind::Replicas => {
                self.paused.insert((now + RESTART, task.clone()));
            }
            Verdict::Over => {
                *self.ended.entry(task.job.clone()).or_default() += 1;
                self.order.ended(now, task, &mut self.quotas);
            }
            Verdict::Retry(at) => {
                self.paused.insert((at, task.clone()));
            }
            Verdict::GiveUp(fault) => {
                self.given.insert(task.clone(), fault);
            }
        }
    }

    /// The tasks to stop now: room that goes back to lenders, and what the text no longer lists.
    pub fn stops(&mut self, now: Time) -> Vec<TaskId> {
        let mut stops = std::mem::take(&mut self.stops);
        stops.extend(self.quotas.returns(now));
        stops.extend(self.cancels.tick(now));
        stops
    }

    /// Lets what has waited long enough, or found no room, be picked again.
    pub fn wake(&mut self, now: Time) {
        while self.paused.first().is_some_and(|(at, _)| *at <= now) {
            let Some((_, task)) = self.paused.pop_first() else { break };
            self.back(&task, now);
        }
        self.order.wake(now, &self.quotas);
    }

    /// Takes the plan in force: quotas, and the jobs that it no longer lists.
    pub fn planned(&mut self, plan: &Rc<Plan>) {
        self.plan = plan.clone();
        let all: Size = plan.pools.values().map(|p| p.size.times(u64::from(p.workers))).sum();
        for (id, team) in &plan.teams {
            self.quotas.set(id, team.quota.unwrap_or(all), team.weight);
        }
        self.order.relist(&self.quotas);
        let gone: Vec<JobId> = self
            .listed
            .iter()
            .filter(|(name, job)| plan.jobs.get(*name) != Some(*job))
            .map(|(name, _)| name.clone())
            .collect();
        for name in gone {
            let job = self.listed.remove(&name);
            self.order.remove(&name, &mut self.quotas);
            let still = plan.jobs.get(&name);
            let kept = still.map_or(0, |j| j.tasks);
            // What goes on running is counted anew when the job is taken in again.
            let on: Vec<TaskId> =
                self.began.keys().filter(|t| t.job == name && t.index.0 < kept).cloned().collect();
            on.iter().for_each(|t| self.quotas.ended(t));
            self.drop_job(&name);
            match (still, job) {
                (None, _) => self.cancels.job(&name),
                (Some(_), Some(old)) => (kept..old.tasks).for_each(|i| {
                    self.cancels.task(&TaskId { job: name.clone(), index: TaskIndex(i) });
                }),
                _ => {}
            }
        }
    }

    /// Takes in a job of the plan with the attempts that stand in its bucket's record.
    ///
    /// Returns false while tasks of a former job of this name are still being stopped.
    pub fn list<'a>(
        &mut self,
        name: &JobId,
        rows: impl Iterator<Item = &'a TaskRow>,
        now: Time,
    ) -> bool {
        let Some(job) = self.plan.jobs.get(name).cloned() else { return true };
        if self.cancels.relist(name).is_err() {
            return false;
        }
        let back = match job.kind {
            JobKind::Replicas | JobKind::Gang => Back::Never,
            JobKind::Batch if job.run <= BRIEF => Back::Brief,
            JobKind::Batch => Back::Checkpoint,
        };
        let entry = order::Job {
            id: name.clone(),
            team: job.team.clone(),
            deadline: job.deadline.map_or(Time::NEVER, |d| now + d),
            priority: u8::try_from(job.priority).unwrap_or(u8::MAX),
            run: self.estimates.run(name, job.run),
            width: job.tasks,
            tasks: job.tasks,
            size: job.size,
            back,
        };
        self.order.push(now, entry, &mut self.quotas);
        for row in rows.filter(|r| r.task.job == *name && r.task.index.0 < job.tasks) {
            self.take_row(row, &job, now);
        }
        if job.urgent {
            self.urgent.extend(self.order.asks(name).into_iter().map(|a| a.task));
        }
        self.listed.insert(name.clone(), job);
        true
    }

    /// Marks a row of a job that the plan does not list, so that it is stopped.
    pub fn orphan(&mut self, row: &TaskRow) {
        if live(row.state) {
            self.cancels.start(&row.task);
            self.cancels.task(&row.task);
        }
    }

    /// A bucket has passed to another member, which decides on its tasks from now on.
    pub fn lost(&mut self, bucket: Bucket) {
        let gone: Vec<JobId> = self
            .listed
            .iter()
            .filter(|(_, j)| team_bucket(&j.team) == bucket)
            .map(|(n, _)| n.clone())
            .collect();
        for name in gone {
            self.listed.remove(&name);
            let running: Vec<TaskId> =
                self.began.keys().filter(|t| t.job == name).cloned().collect();
            running.iter().for_each(|t| self.release(t));
            self.order.remove(&name, &mut self.quotas);
            self.cancels.job(&name);
            self.drop_job(&name);
        }
    }

    /// Whether a job is taken in.
    pub fn lists(&self, name: &JobId) -> bool {
        self.listed.contains_key(name)
    }

    /// Takes the platform's list of workers.
    pub fn workers<'a>(&mut self, vms: impl Iterator<Item = &'a Vm>) {
        let mut now = BTreeSet::new();
        for vm in vms {
            self.suspects.join(&vm.worker, &vm.pool, &vm.rack);
            now.insert(vm.worker.clone());
        }
        for gone in self.joined.difference(&now) {
            self.suspects.leave(gone);
        }
        self.joined = now;
    }

    /// The workers that an attempt of a task keeps away from.
    pub fn avoid(&self, task: &TaskId, now: Time) -> Vec<WorkerId> {
        let held = |w: &&WorkerId| matches!(self.suspects.trust(now, w), Trust::Held(_));
        let mut avoid: BTreeSet<&WorkerId> = self.shaky.iter().filter(held).collect();
        avoid.extend(self.suspects.failed_on(task));
        avoid.into_iter().cloned().collect()
    }

    /// What an attempt of a task reserves.
    pub fn size(&self, task: &TaskId, declared: Size) -> Size {
        self.estimates.reserve(&task.job, declared)
    }

    /// How a task's room can be had back.
    pub fn hold(&self, task: &TaskId) -> (Hold, bool) {
        let hold = match self.listed.get(&task.job) {
            Some(j) if j.kind == JobKind::Batch && !j.urgent && j.run > BRIEF => Hold::Checkpoint,
            Some(j) if j.kind == JobKind::Batch && !j.urgent => Hold::Brief,
            _ => Hold::Never,
        };
        (hold, self.quotas.borrows(task))
    }

    /// Whether all tasks of a job have ended.
    pub fn finished(&self, name: &JobId) -> bool {
        let Some(job) = self.listed.get(name) else { return false };
        job.kind != JobKind::Replicas && self.ended.get(name).is_some_and(|n| *n >= job.tasks)
    }

    /// Why a task does not run, where that is known.
    pub fn reason(&self, task: &TaskId) -> Option<Box<str>> {
        if let Some(fault) = self.given.get(task) {
            return Some(format!("given up: {fault}").into());
        }
        if let Some(fault) = self.suspects.fault(&task.job) {
            return Some(format!("given up: {fault}").into());
        }
        let job = self.listed.get(&task.job)?;
        if !self.ready(job) {
            return Some(format!("waits for {}", job.after.join(", ")).into());
        }
        let (own, borrowed) = self.quotas.held(&job.team);
        Some(format!("waits for room; its team holds {own}, and {borrowed} of other teams").into())
    }

    /// The jobs elsewhere that have ended, so that what depends on them may start.
    pub fn ended_afar(&mut self, jobs: Vec<JobId>) {
        for name in jobs.into_iter().filter(|n| !self.listed.contains_key(n)) {
            let all = self.plan.jobs.get(&name).map_or(0, |j| j.tasks);
            self.ended.insert(name, all);
        }
    }

    /// The jobs here that have ended and that others depend on.
    pub fn done(&self) -> Vec<JobId> {
        let after: BTreeSet<&str> =
            self.plan.jobs.values().flat_map(|j| &j.after).map(|a| &**a).collect();
        let listed = self.listed.keys().filter(|n| after.contains(n.as_str()));
        listed.filter(|n| self.finished(n)).cloned().collect()
    }

    /// Urgent work does not wait for its team's turn; its allowance bounds it.
    fn next_urgent(&mut self, now: Time) -> Option<Pick> {
        let tasks: Vec<TaskId> = self.urgent.iter().cloned().collect();
        for task in tasks {
            let Some(job) = self.listed.get(&task.job).cloned() else {
                self.urgent.remove(&task);
                continue;
            };
            let ask = self.order.asks(&task.job).into_iter().find(|a| a.task == task);
            let Some(ask) = ask else {
                self.urgent.remove(&task);
                continue;
            };
            if job.kind == JobKind::Gang || !self.ready(&job) {
                continue;
            }
            let quota = self.plan.teams.get(&job.team).and_then(|t| t.quota).unwrap_or(job.size);
            if !self.allowances.start(now, &job.team, job.size, quota) {
                return None;
            }
            self.urgent.remove(&task);
            self.order.adopt(now, &task, false, &mut self.quotas);
            if self.cancels.start(&task) {
                return Some(Pick { asks: vec![(ask, Grant::Own)], job });
            }
        }
        None
    }

    /// All tasks of a gang, if its team may hold them all.
    fn gang(&mut self, name: &JobId, now: Time) -> Option<Vec<(Ask, Grant)>> {
        let job = self.listed.get(name)?.clone();
        let asks = self.order.asks(name);
        // Those that still run, or wait out a pause, come first.
        let ended = self.ended.get(name).copied().unwrap_or(0);
        if asks.len() + (ended as usize) < job.tasks as usize {
            return None;
        }
        let mut taken = vec![];
        for ask in asks {
            let pick = order::Pick { grant: self.quotas.grant(&ask), ask: ask.clone() };
            let grant = self.order.take(now, &pick, &mut self.quotas);
            if grant == Grant::Wait || !self.cancels.start(&ask.task) {
                for (ask, _) in taken {
                    let ask: Ask = ask;
                    self.release(&ask.task);
                    self.back(&ask.task, now);
                }
                return None;
            }
            taken.push((ask, grant));
        }
        Some(taken)
    }

    fn take_row(&mut self, row: &TaskRow, job: &Job, now: Time) {
        match row.state {
            s if live(s) => {
                self.order.adopt(now, &row.task, false, &mut self.quotas);
                self.cancels.start(&row.task);
                self.began.insert(row.task.clone(), now);
            }
            TaskState::Ended if job.kind != JobKind::Replicas => {
                self.order.adopt(now, &row.task, true, &mut self.quotas);
                *self.ended.entry(row.task.job.clone()).or_default() += 1;
            }
            TaskState::Failed if row.tries.unwrap_or(0) >= TRIES => {
                self.given.insert(row.task.clone(), Fault::Attempts(row.tries.unwrap_or(0)));
                self.order.adopt(now, &row.task, true, &mut self.quotas);
            }
            _ => {}
        }
    }

    /// Gives a job up: nothing of it is started any more.
    fn abandon(&mut self, name: &JobId, fault: Fault) {
        for ask in self.order.asks(name) {
            self.given.insert(ask.task, fault);
        }
        self.order.remove(name, &mut self.quotas);
    }

    fn release(&mut self, task: &TaskId) {
        self.quotas.ended(task);
        self.cancels.ended(task);
        if let Some(job) = self.listed.get(&task.job).filter(|j| j.urgent) {
            self.allowances.ended(&job.team, job.size);
        }
    }

    fn back(&mut self, task: &TaskId, now: Time) {
        self.order.requeue(now, task, &mut self.quotas);
        if self.listed.get(&task.job).is_some_and(|j| j.urgent) {
            self.urgent.insert(task.clone());
        }
    }

    fn drop_job(&mut self, name: &JobId) {
        self.ended.remove(name);
        self.suspects.forget(name);
        self.estimates.forget(name);
        self.given.retain(|t, _| t.job != *name);
        self.paused.retain(|(_, t)| t.job != *name);
        self.urgent.retain(|t| t.job != *name);
        self.began.retain(|t, _| t.job != *name);
    }

    fn ready(&self, job: &Job) -> bool {
        job.after.iter().all(|name| {
            let id = JobId(name.clone());
            // What it depends on may be a service or replicas, which are kept up all the time.
            let Some(first) = self.plan.jobs.get(&id) else { return true };
            first.kind == JobKind::Replicas
                || self.ended.get(&id).is_some_and(|n| *n >= first.tasks)
        })
    }
}

pub(crate) fn live(state: TaskState) -> bool {
    matches!(state, TaskState::Intent | TaskState::Running | TaskState::Stopping)
}
