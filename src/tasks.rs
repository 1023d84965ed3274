//! The tasks of a member's buckets: which waits, which is next, which is stopped or given up.
//!
//! Owns what waits and is held; calls [`decide`](crate::decide) and reads [`text`](crate::text).
//!
//! All jobs of a team stand in one bucket, so that one member counts the team's quota. Room is lent
//! between teams whose buckets have the same owner.
//!
//! What is asked for or may run is *held*: it counts against its team, its allowance and the cancels
//! from the pick on, until its attempt is over or it found no room. `Tasks::release` is the one
//! place that gives all of it back, whatever has become of its job or its bucket meanwhile; a count
//! that were given back by the plan in force would stay for ever once the plan has changed.

mod fault;
mod gang;
mod list;
mod show;
mod urgent;

pub use self::list::Past;
use {
    self::urgent::Urgent,
    crate::{
        Time,
        decide::{
            cancel::Cancels,
            estimate::Estimates,
            order::Order,
            quota::{Ask, BRIEF, Back, Grant, Quotas},
            suspect::{Outcome, Suspects, Trust, Verdict},
            urgent::Allowances,
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

/// How long a replica that has ended stays down before it is started again.
const RESTART: Duration = Duration::from_secs(1);

/// A task, or a whole gang, that is to be placed now.
pub struct Pick {
    /// What its team was granted.
    pub asks: Vec<(Ask, Grant)>,
    /// The job.
    pub job: Job,
    /// Whether room may be made for it by stopping other work.
    pub urgent: bool,
}

/// What is counted of the tasks here, to see that nothing is left when all is over.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Balance {
    /// The tasks that are asked for or may run.
    pub held: usize,
    /// The tasks that wait.
    pub waiting: usize,
    /// What the teams of the text hold, their own and borrowed.
    pub size: Size,
    /// What the teams of the text wait for.
    pub waits: Size,
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
    held: BTreeMap<TaskId, Held>,
    paused: BTreeSet<(Time, TaskId)>,
    urgent: Urgent,
    shaky: BTreeSet<WorkerId>,
    /// The tasks and jobs that are given up, with the reason.
    given: BTreeMap<TaskId, Box<str>>,
    faults: BTreeMap<JobId, Box<str>>,
    done: BTreeMap<JobId, Ranges>,
    /// The jobs elsewhere that have ended.
    afar: BTreeSet<JobId>,
    joined: BTreeMap<WorkerId, PoolId>,
    stops: Vec<TaskId>,
}

/// A task that is asked for or may run.
struct Held {
    bucket: Bucket,
    /// When its attempt was made; none while room is asked for.
    began: Option<Time>,
    /// What it takes of its team's allowance of urgent work.
    urgent: Option<(TeamId, Size)>,
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
            held: BTreeMap::new(),
            paused: BTreeSet::new(),
            urgent: Urgent::default(),
            shaky: BTreeSet::new(),
            given: BTreeMap::new(),
            faults: BTreeMap::new(),
            done: BTreeMap::new(),
            afar: BTreeSet::new(),
            joined: BTreeMap::new(),
            stops: vec![],
        }
    }

    /// The next task or gang to place; the caller answers by [`Tasks::placed`] or [`Tasks::unplaced`].
    pub fn next(&mut self, now: Time) -> Option<Pick> {
        if let Some(pick) = self.next_urgent(now) {
            return Some(pick);
        }
        // Each turn takes a task out of those that wait, or sets its job aside until the next wake.
        loop {
            let pick = self.order.next(now, &self.quotas)?;
            let name = pick.ask.task.job.clone();
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
            if grant == Grant::Wait {
                self.order.park(now, &name, &self.quotas);
                continue;
            }
            self.urgent.remove(&pick.ask.task);
            if !self.hold_asked(&pick.ask.task, &job, None) {
                self.unplaced(&pick.ask.task, now);
                continue;
            }
            return Some(Pick { asks: vec![(pick.ask, grant)], job, urgent: false });
        }
    }

    /// Whether room is still asked for a task; it is not once its job or its bucket is gone.
    pub fn asked(&self, task: &TaskId) -> bool {
        self.held.get(task).is_some_and(|h| h.began.is_none())
    }

    /// Whether a task for which room was asked is still to be placed.
    pub fn wanted(&self, task: &TaskId) -> bool {
        self.asked(task) && self.listed.contains_key(&task.job) && !self.cancels.cancelled(task)
    }

    /// Whether a task is cancelled.
    pub fn cancelled(&self, task: &TaskId) -> bool {
        self.cancels.cancelled(task)
    }

    /// The bucket of a task that is asked for or may run.
    pub fn bucket(&self, task: &TaskId) -> Option<Bucket> {
        self.held.get(task).map(|h| h.bucket)
    }

    /// A task was given a worker and its attempt made.
    pub fn placed(&mut self, task: &TaskId, worker: &WorkerId, now: Time) {
        self.suspects.started(now, task, worker);
        if let Some(held) = self.held.get_mut(task) {
            held.began = Some(now);
        }
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
        // What is not held is counted as over already.
        let Some(began) = self.held.get(task).map(|h| h.began) else { return };
        self.release(task);
        let Some(job) = self.listed.get(&task.job).cloned() else { return };
        let outcome = match item.state {
            TaskState::Ended => Outcome::Done,
            TaskState::Failed => Outcome::Failed,
            _ => Outcome::Stopped,
        };
        if outcome == Outcome::Failed {
            self.shaky.insert(item.worker.clone());
        }
        self.estimate(item, &job, outcome, began.map(|at| now - at), now);
        if job.kind == JobKind::Gang && outcome != Outcome::Done {
            self.break_up(&task.job, now);
        }
        match self.suspects.ended(now, task, &item.worker, outcome) {
            Verdict::Over if job.kind == JobKind::Replicas => {
                self.paused.insert((now + RESTART, task.clone()));
            }
            Verdict::Over => self.ended(task, &job, now),
            Verdict::Retry(at) => {
                self.paused.insert((at, task.clone()));
            }
            Verdict::GiveUp(fault) => self.give_up(task, &job, fault),
        }
    }

    fn estimate(
        &mut self,
        item: &EndItem,
        job: &Job,
        outcome: Outcome,
        ran: Option<Duration>,
        now: Time,
    ) {
        let (name, used) = (&item.task.job, item.used.unwrap_or(job.size));
        if let (Outcome::Done, Some(ran)) = (outcome, ran) {
            self.estimates.ended(name, ran, used);
            let run = self.estimates.run(name, job.run);
            self.order.correct(now, name, run, &self.quotas);
        } else if !used.fits(&job.size) {
            self.estimates.check(name, used, job.size, Size::default());
        }
    }

    /// A task of a batch, or of a gang, has ended well.
    fn ended(&mut self, task: &TaskId, job: &Job, now: Time) {
        let done = self.done.entry(task.job.clone()).or_default();
        done.insert(task.index);
        if job.kind != JobKind::Gang {
            return self.order.ended(now, task, &mut self.quotas);
        }
        let done = done.len();
        if self.holds(&task.job).count() + (done as usize) < job.tasks as usize {
            // It ran without the others, as one of a gang that is being stopped.
            return self.break_up(&task.job, now);
        }
        // Until all have ended, one may yet fail, and then all start anew.
        if done >= job.tasks {
            for index in (0..job.tasks).map(TaskIndex) {
                let task = TaskId { job: task.job.clone(), index };
                self.order.ended(now, &task, &mut self.quotas);
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
        self.urgent.wake();
        self.order.wake(now, &self.quotas);
    }

    /// Whether a job is taken in.
    pub fn lists(&self, name: &JobId) -> bool {
        self.listed.contains_key(name)
    }

    /// Takes the platform's list of workers.
    pub fn workers<'a>(&mut self, vms: impl Iterator<Item = &'a Vm>) {
        let mut now = BTreeMap::new();
        for vm in vms {
            self.suspects.join(&vm.worker, &vm.pool, &vm.rack);
            now.insert(vm.worker.clone(), vm.pool.clone());
        }
        for gone in self.joined.keys().filter(|w| !now.contains_key(*w)) {
            self.suspects.leave(gone);
            self.shaky.remove(gone);
        }
        self.joined = now;
    }

    /// The workers that an attempt of a task keeps away from.
    ///
    /// A task that has failed on each worker of a small pool may go back to them: kept away from all
    /// of them it would wait for ever, neither run nor given up.
    pub fn avoid(&self, task: &TaskId, now: Time) -> Vec<WorkerId> {
        let held = |w: &&WorkerId| matches!(self.suspects.trust(now, w), Trust::Held(_));
        let mut avoid: BTreeSet<&WorkerId> = self.shaky.iter().filter(held).collect();
        let failed = self.suspects.failed_on(task);
        let pool = self.listed.get(&task.job).map(|j| &j.pool);
        let mut workers = self.joined.iter().filter(|(_, p)| Some(*p) == pool).map(|(w, _)| w);
        if workers.any(|w| !avoid.contains(w) && !failed.contains(w)) {
            avoid.extend(failed);
        }
        avoid.into_iter().cloned().collect()
    }

    /// What an attempt of a task reserves.
    pub fn size(&self, task: &TaskId, declared: Size) -> Size {
        self.estimates.reserve(&task.job, declared)
    }

    /// How a task's room can be had back.
    pub fn hold(&self, task: &TaskId) -> (Hold, bool) {
        let hold = match self.listed.get(&task.job).map(back_of) {
            Some(Back::Checkpoint) => Hold::Checkpoint,
            Some(Back::Brief) => Hold::Brief,
            Some(Back::Never) | None => Hold::Never,
        };
        (hold, self.quotas.borrows(task))
    }

    /// Whether anything of a job may start now.
    fn may_start(&self, name: &JobId, job: &Job, now: Time) -> bool {
        match self.suspects.job_trust(now, name) {
            Trust::Held(_) => false,
            // The time of the last start is known only once it has found room: until then nothing
            // else of the job is asked for, or a job on trial would start all its tasks at once.
            Trust::Probe => !self.holds(name).any(|(_, h)| h.began.is_none()) && self.ready(job),
            Trust::Full => self.ready(job),
        }
    }

    fn holds(&self, name: &JobId) -> impl Iterator<Item = (&TaskId, &Held)> {
        let first = TaskId { job: name.clone(), index: TaskIndex(0) };
        self.held.range(first..).take_while(move |(t, _)| t.job == *name)
    }

    /// Counts a task whose room is asked for; returns false where it is cancelled.
    fn hold_asked(&mut self, task: &TaskId, job: &Job, urgent: Option<(TeamId, Size)>) -> bool {
        let held = Held { bucket: team_bucket(&job.team), began: None, urgent };
        self.held.insert(task.clone(), held);
        self.cancels.start(task)
    }

    fn release(&mut self, task: &TaskId) {
        self.quotas.ended(task);
        self.cancels.ended(task);
        if let Some((team, size)) = self.held.remove(task).and_then(|h| h.urgent) {
            self.allowances.ended(&team, size);
        }
        if !self.listed.contains_key(&task.job) && self.holds(&task.job).next().is_none() {
            // Nothing of it runs any more, so that no mark is needed.
            let _ = self.cancels.relist(&task.job);
        }
    }

    fn back(&mut self, task: &TaskId, now: Time) {
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

/// How the room of a job's tasks can be had back; that of urgent work not, as it would be stopped for
/// what it has borrowed and start again at once, over and over.
fn back_of(job: &Job) -> Back {
    match job.kind {
        JobKind::Batch if !job.urgent && job.run <= BRIEF => Back::Brief,
        JobKind::Batch if !job.urgent => Back::Checkpoint,
        _ => Back::Never,
    }
}

pub(crate) fn live(state: TaskState) -> bool {
    matches!(state, TaskState::Intent | TaskState::Running | TaskState::Stopping)
}
