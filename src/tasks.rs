//! The tasks of a member's buckets: which wait, which is placed next, which are stopped or given
//! up.
//!
//! Owns the sets of waiting and held tasks. Calls [`decide`](crate::decide) and reads
//! [`text`](crate::text).
//!
//! All jobs of a team belong to one bucket, so that one member accounts for the team's quota.
//! Resources are lent between teams whose buckets have the same owner.
//!
//! A task is *held* while room is being requested for it or while it may run. It counts against its
//! team's quota, against its allowance of urgent work and for cancellation from the time it is
//! picked until its attempt is over or no room was found. `Tasks::release` is the only place that
//! returns all of these counts, even if the task's job or bucket has gone in the meantime. A count
//! returned according to the current plan would leak whenever the plan changes in between.

mod fault;
mod gang;
mod list;
mod show;
mod urgent;

pub use self::list::History;
use {
    self::urgent::Urgent,
    crate::{
        Time,
        decide::{
            cancel::Cancels,
            estimate::Estimates,
            order::WaitingTasks,
            quota::{BRIEF_TASK, QuotaGrant, QuotaRequest, Quotas, ReclaimMethod},
            suspect::{AttemptOutcome, FaultTracker, TaskVerdict, Trust},
            urgent::UrgentAllowances,
        },
        ids::{Bucket, JobId, PoolId, TaskId, TaskIndex, TeamId, WorkerId, team_bucket},
        messages::{EndItem, Hold, TaskState, Vm},
        ranges::Ranges,
        text::{Job, JobKind, Plan},
        units::Size,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        rc::Rc,
        time::Duration,
    },
};

/// Delay before a replica that has ended is started again.
const RESTART_DELAY: Duration = Duration::from_secs(1);

/// A task or a whole gang that is to be placed now.
pub struct Pick {
    /// The tasks, each with the grant from its team's quota.
    pub asks: Vec<(QuotaRequest, QuotaGrant)>,
    /// The job.
    pub job: Job,
    /// Whether other work may be stopped to make room for it.
    pub urgent: bool,
}

/// Totals of the tasks here; all are zero once all work is over.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Balance {
    /// The number of held tasks.
    pub held: usize,
    /// The number of waiting tasks.
    pub waiting: usize,
    /// Resources that the teams of the plan hold, their own and borrowed.
    pub size: Size,
    /// Resources that the waiting tasks of the plan's teams request.
    pub waits: Size,
}

/// The tasks of a member's buckets.
pub struct Tasks {
    plan: Rc<Plan>,
    order: WaitingTasks,
    quotas: Quotas,
    suspects: FaultTracker,
    estimates: Estimates,
    cancels: Cancels,
    allowances: UrgentAllowances,
    listed: BTreeMap<JobId, Job>,
    held: BTreeMap<TaskId, Held>,
    delayed: BTreeSet<(Time, TaskId)>,
    urgent: Urgent,
    failed_workers: BTreeSet<WorkerId>,
    /// The tasks that are given up, with the reason.
    abandoned: BTreeMap<TaskId, Box<str>>,
    faults: BTreeMap<JobId, Box<str>>,
    done: BTreeMap<JobId, Ranges>,
    /// Jobs that have ended on other members.
    remote_ended: BTreeSet<JobId>,
    worker_pools: BTreeMap<WorkerId, PoolId>,
    stops: Vec<TaskId>,
}

/// A task for which room is requested or that may run.
struct Held {
    bucket: Bucket,
    /// When its attempt was created; `None` while room is being requested.
    placed_at: Option<Time>,
    /// What the task takes of its team's allowance of urgent work.
    urgent: Option<(TeamId, Size)>,
}

impl Tasks {
    /// Creates an empty set; `seed` determines the jitter of the back-off.
    pub fn new(seed: u64) -> Self {
        Tasks {
            plan: Rc::default(),
            order: WaitingTasks::default(),
            quotas: Quotas::default(),
            suspects: FaultTracker::new(seed),
            estimates: Estimates::default(),
            cancels: Cancels::default(),
            allowances: UrgentAllowances::default(),
            listed: BTreeMap::new(),
            held: BTreeMap::new(),
            delayed: BTreeSet::new(),
            urgent: Urgent::default(),
            failed_workers: BTreeSet::new(),
            abandoned: BTreeMap::new(),
            faults: BTreeMap::new(),
            done: BTreeMap::new(),
            remote_ended: BTreeSet::new(),
            worker_pools: BTreeMap::new(),
            stops: vec![],
        }
    }

    /// Returns the next task or gang to place. The caller answers with [`Tasks::placed`] or
    /// [`Tasks::unplaced`].
    pub fn next(&mut self, now: Time) -> Option<Pick> {
        if let Some(pick) = self.next_urgent(now) {
            return Some(pick);
        }
        // Each iteration removes a task from the queue or parks its job until the next wake, so the
        // loop ends.
        loop {
            let pick = self.order.next(now, &self.quotas)?;
            let name = pick.quota_request.task.job.clone();
            let Some(job) = self.listed.get(&name).cloned() else {
                self.order.remove(&name, &mut self.quotas);
                continue;
            };
            if !self.may_start(&name, &job, now) {
                self.order.park(now, &name, &self.quotas);
                continue;
            }
            if job.kind == JobKind::Gang {
                match self.gang(&name, now) {
                    Some(asks) => return Some(Pick { asks, job, urgent: false }),
                    None => self.order.park(now, &name, &self.quotas),
                }
                continue;
            }
            let grant = self.order.take(now, &pick, &mut self.quotas);
            if grant == QuotaGrant::Wait {
                self.order.park(now, &name, &self.quotas);
                continue;
            }
            self.urgent.remove(&pick.quota_request.task);
            if !self.hold_pending(&pick.quota_request.task, &job, None) {
                self.unplaced(&pick.quota_request.task, now);
                continue;
            }
            return Some(Pick { asks: vec![(pick.quota_request, grant)], job, urgent: false });
        }
    }

    /// Whether room is still being requested for a task. Returns false once its job or its bucket
    /// is gone.
    pub fn room_requested(&self, task: &TaskId) -> bool {
        self.held.get(task).is_some_and(|h| h.placed_at.is_none())
    }

    /// Whether a task for which room was requested is still to be placed.
    pub fn should_place(&self, task: &TaskId) -> bool {
        self.room_requested(task)
            && self.listed.contains_key(&task.job)
            && !self.cancels.is_cancelled(task)
    }

    /// Whether a task is cancelled.
    pub fn cancelled(&self, task: &TaskId) -> bool {
        self.cancels.is_cancelled(task)
    }

    /// The bucket of a held task.
    pub fn bucket(&self, task: &TaskId) -> Option<Bucket> {
        self.held.get(task).map(|h| h.bucket)
    }

    /// Records that a task was assigned to a worker and that its attempt was created.
    pub fn placed(&mut self, task: &TaskId, worker: &WorkerId, now: Time) {
        self.suspects.record_start(now, task, worker);
        if let Some(held) = self.held.get_mut(task) {
            held.placed_at = Some(now);
        }
    }

    /// Requeues a picked task for which no room was found; its job is parked until the next wake.
    pub fn unplaced(&mut self, task: &TaskId, now: Time) {
        self.release(task);
        self.requeue(task, now);
        self.order.park(now, &task.job, &self.quotas);
    }

    /// Handles the end of an attempt as it is now recorded.
    pub fn attempt_ended(&mut self, item: &EndItem, now: Time) {
        let task = &item.task;
        // A task that is not held is already counted as over.
        let Some(placed_at) = self.held.get(task).map(|h| h.placed_at) else { return };
        self.release(task);
        let Some(job) = self.listed.get(&task.job).cloned() else { return };
        let outcome = match item.state {
            TaskState::Ended => AttemptOutcome::Done,
            TaskState::Failed => AttemptOutcome::Failed,
            _ => AttemptOutcome::Stopped,
        };
        if outcome == AttemptOutcome::Failed {
            self.failed_workers.insert(item.worker.clone());
        }
        self.estimate(item, &job, outcome, placed_at.map(|at| now - at), now);
        if job.kind == JobKind::Gang && outcome != AttemptOutcome::Done {
            self.restart_gang(&task.job, now);
        }
        match self.suspects.record_end(now, task, &item.worker, outcome) {
            TaskVerdict::Completed if job.kind == JobKind::Replicas => {
                self.delayed.insert((now + RESTART_DELAY, task.clone()));
            }
            TaskVerdict::Completed => self.ended(task, &job, now),
            TaskVerdict::Retry(at) => {
                self.delayed.insert((at, task.clone()));
            }
            TaskVerdict::GiveUp(fault) => self.give_up(task, &job, fault),
        }
    }

    fn estimate(
        &mut self,
        item: &EndItem,
        job: &Job,
        outcome: AttemptOutcome,
        ran: Option<Duration>,
        now: Time,
    ) {
        let (name, used) = (&item.task.job, item.used.unwrap_or(job.size));
        if let (AttemptOutcome::Done, Some(ran)) = (outcome, ran) {
            self.estimates.record_end(name, ran, used);
            let run = self.estimates.expected_run_time(name, job.run);
            self.order.set_run_time(now, name, run, &self.quotas);
        } else if !used.fits(&job.size) {
            self.estimates.check_use(name, used, job.size, Size::default());
        }
    }

    /// Handles the successful end of a task of a batch or a gang.
    fn ended(&mut self, task: &TaskId, job: &Job, now: Time) {
        let done = self.done.entry(task.job.clone()).or_default();
        done.insert(task.index);
        if job.kind != JobKind::Gang {
            return self.order.record_end(now, task, &mut self.quotas);
        }
        let done = done.len();
        if self.held_of(&task.job).count() + (done as usize) < job.tasks as usize {
            // The task ran without the others, as part of a gang that is being stopped.
            return self.restart_gang(&task.job, now);
        }
        // Until all tasks have ended, one may still fail, and then all start again.
        if done >= job.tasks {
            for index in (0..job.tasks).map(TaskIndex) {
                let task = TaskId { job: task.job.clone(), index };
                self.order.record_end(now, &task, &mut self.quotas);
            }
        }
    }

    /// Returns the tasks to stop now: those whose room goes back to the lending team, and those
    /// that the plan no longer lists.
    pub fn stops(&mut self, now: Time) -> Vec<TaskId> {
        let mut stops = std::mem::take(&mut self.stops);
        stops.extend(self.quotas.tasks_to_return(now));
        stops.extend(self.cancels.tick(now));
        stops
    }

    /// Requeues tasks whose delay is over and unparks jobs that found no room.
    pub fn wake(&mut self, now: Time) {
        while self.delayed.first().is_some_and(|(at, _)| *at <= now) {
            let Some((_, task)) = self.delayed.pop_first() else { break };
            self.requeue(&task, now);
        }
        self.urgent.wake();
        self.order.requeue_parked(now, &self.quotas);
    }

    /// Whether a job was taken in from the plan.
    pub fn has_job(&self, name: &JobId) -> bool {
        self.listed.contains_key(name)
    }

    /// Updates the workers from the platform's list.
    pub fn workers<'a>(&mut self, vms: impl Iterator<Item = &'a Vm>) {
        let mut now = BTreeMap::new();
        for vm in vms {
            self.suspects.add_worker(&vm.worker, &vm.pool, &vm.rack);
            now.insert(vm.worker.clone(), vm.pool.clone());
        }
        for gone in self.worker_pools.keys().filter(|w| !now.contains_key(*w)) {
            self.suspects.remove_worker(gone);
            self.failed_workers.remove(gone);
        }
        self.worker_pools = now;
    }

    /// The workers that an attempt of a task must avoid.
    ///
    /// A task that has failed on every worker of a small pool may use them again. If it avoided all
    /// of them, it would wait forever and neither run nor be given up.
    pub fn avoid(&self, task: &TaskId, now: Time) -> Vec<WorkerId> {
        let held = |w: &&WorkerId| matches!(self.suspects.worker_trust(now, w), Trust::Blocked(_));
        let mut avoid: BTreeSet<&WorkerId> = self.failed_workers.iter().filter(held).collect();
        let failed = self.suspects.failed_on(task);
        let pool = self.listed.get(&task.job).map(|j| &j.pool);
        let mut workers =
            self.worker_pools.iter().filter(|(_, p)| Some(*p) == pool).map(|(w, _)| w);
        if workers.any(|w| !avoid.contains(w) && !failed.contains(w)) {
            avoid.extend(failed);
        }
        avoid.into_iter().cloned().collect()
    }

    /// The resources that an attempt of a task reserves.
    pub fn size(&self, task: &TaskId, declared: Size) -> Size {
        self.estimates.reservation_size(&task.job, declared)
    }

    /// How the room of a task can be reclaimed, and whether the room is borrowed.
    pub fn reclaim(&self, task: &TaskId) -> (Hold, bool) {
        let hold = match self.listed.get(&task.job).map(reclaim_mode) {
            Some(ReclaimMethod::Checkpoint) => Hold::Checkpoint,
            Some(ReclaimMethod::Brief) => Hold::Brief,
            Some(ReclaimMethod::Never) | None => Hold::Never,
        };
        (hold, self.quotas.is_borrowed(task))
    }

    /// Whether any task of a job may start now.
    fn may_start(&self, name: &JobId, job: &Job, now: Time) -> bool {
        match self.suspects.job_trust(now, name) {
            Trust::Blocked(_) => false,
            // The time of the last start is known only once that task has found room. Until then no
            // other task of the job may be requested, or a job on trial would start all its tasks
            // at once.
            Trust::Probe => {
                !self.held_of(name).any(|(_, h)| h.placed_at.is_none())
                    && self.dependencies_met(job)
            }
            Trust::Full => self.dependencies_met(job),
        }
    }

    fn held_of(&self, name: &JobId) -> impl Iterator<Item = (&TaskId, &Held)> {
        let first = TaskId { job: name.clone(), index: TaskIndex(0) };
        self.held.range(first..).take_while(move |(t, _)| t.job == *name)
    }

    /// Marks a task as held while room is requested for it. Returns false if the task is cancelled.
    fn hold_pending(&mut self, task: &TaskId, job: &Job, urgent: Option<(TeamId, Size)>) -> bool {
        let held = Held { bucket: team_bucket(&job.team), placed_at: None, urgent };
        self.held.insert(task.clone(), held);
        self.cancels.try_start(task)
    }

    fn release(&mut self, task: &TaskId) {
        self.quotas.record_end(task);
        self.cancels.record_end(task);
        if let Some((team, size)) = self.held.remove(task).and_then(|h| h.urgent) {
            self.allowances.record_end(&team, size);
        }
        if !self.listed.contains_key(&task.job) && self.held_of(&task.job).next().is_none() {
            // No task of the job is held any more, so its cancel mark is not needed.
            let _ = self.cancels.clear_marks(&task.job);
        }
    }

    fn requeue(&mut self, task: &TaskId, now: Time) {
        let Some(job) = self.listed.get(&task.job) else { return };
        if self.faults.contains_key(&task.job) || task.index.0 >= job.tasks {
            return;
        }
        if job.urgent {
            self.urgent.add(task);
        }
        self.order.requeue(now, task, &mut self.quotas);
    }
}

/// How the room of a job's tasks can be reclaimed. Room of urgent work is not reclaimed: the work
/// would be stopped because it borrows room and would start again at once, repeatedly.
fn reclaim_mode(job: &Job) -> ReclaimMethod {
    match job.kind {
        JobKind::Batch if !job.urgent && job.run <= BRIEF_TASK => ReclaimMethod::Brief,
        JobKind::Batch if !job.urgent => ReclaimMethod::Checkpoint,
        _ => ReclaimMethod::Never,
    }
}

pub(crate) fn live(state: TaskState) -> bool {
    matches!(state, TaskState::Intent | TaskState::Running | TaskState::Stopping)
}
