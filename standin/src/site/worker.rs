//! Simulated workers that follow the worker protocol without a network: leases, fencing tokens,
//! stops, ends of runs and gangs. Every start and end is recorded as a [`Note`] for the judge.

mod time;

use {
    crate::site::advice::Service,
    dogwoodreach::{
        Time,
        ids::{PoolId, RackId, WorkerId, Zone},
        ports::{
            Bounds, EndReason, EndedRun, Held, MAX_ENDS, PresentRun, Start, WorkerCall,
            WorkerRefusal, WorkerReply as Reply,
        },
        shard::record::JobRecord,
        units::Size,
        work::{JobNo, ListedWorker, Queue, QueueConfig, Step, StepKey, TaskKey},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        sync::Arc,
        time::Duration,
    },
};

/// Step by which virtual time advances.
pub const TIME_STEP: Duration = Duration::from_millis(10);

/// Time between the announcement that a worker leaves and its departure.
pub const LEAVE_NOTICE: Duration = Duration::from_secs(30);

/// A task's run at a worker.
pub struct Run {
    /// The start order.
    pub start: Start,
    /// Time at which the run started.
    pub started_at: Time,
    /// Time from which the run makes progress, after its checkpoint was restored.
    ready_at: Time,
    /// Work done, in milliseconds at full speed.
    pub work: f64,
    /// Work that the last checkpoint covers, in milliseconds.
    saved_work: f64,
    /// Time at which a requested stop completes.
    pub stops_at: Option<Time>,
    /// Throttle set by the owner, in percent of full speed.
    pub percent: u8,
    /// Whether all members of its gang have run at the same time.
    assembled: bool,
}

/// A worker across restarts; each start of its process is an incarnation.
pub struct Worker {
    /// Number of the present incarnation, from 1.
    pub incarnation: u32,
    /// The worker's pool.
    pub pool: PoolId,
    /// The worker's rack.
    pub rack: RackId,
    /// Total resources.
    pub size: Size,
    /// Labels that steps can require.
    pub labels: Vec<Box<str>>,
    /// Rate of its clock relative to real time.
    pub clock_rate: f64,
    /// Reading of its clock at [`Time::ZERO`], in milliseconds.
    pub clock_offset: u64,
    /// Whether the worker's process runs.
    pub up: bool,
    /// Whether the worker is cut off from the network. Its runs continue.
    pub cut_off: bool,
    /// Whether the worker is unresponsive and its runs make no progress.
    pub unresponsive: bool,
    /// Whether the worker refuses all calls.
    pub unwell: bool,
    /// Whether every run on the worker fails shortly after its start.
    pub failing: bool,
    /// Speed relative to a healthy worker.
    pub speed: f64,
    /// Speed of its kind of machine relative to the nominal one; it outlasts restarts.
    pub machine_speed: f64,
    /// Time at which the worker announced that it leaves.
    pub leaving_since: Option<Time>,
    /// Active runs, including those that are being stopped.
    pub runs: Vec<Run>,
    token: u64,
    lease_end: u64,
    lease_lapsed: bool,
    barred: BTreeMap<TaskKey, u32>,
    /// Ends that aren't acknowledged, and whether the lease has lapsed since.
    ended: Vec<(EndedRun, bool)>,
    last_end: u64,
}

/// An event at a worker, recorded for the judge.
#[derive(Debug)]
pub enum Note {
    /// A run started.
    Start {
        /// Time of the event.
        at: Time,
        /// Index of the worker.
        worker: usize,
        /// The start order.
        start: Start,
        /// Whether a fault delayed the execution of the order.
        late: bool,
    },
    /// A run ended.
    End {
        /// Time of the event.
        at: Time,
        /// The end of the run.
        end: EndedRun,
    },
    /// A worker crashed while it ran this task.
    Crash {
        /// The task.
        task: TaskKey,
    },
    /// The owner acknowledged the end of a run.
    Acknowledged {
        /// The task.
        task: TaskKey,
        /// Number of the run.
        run: u32,
        /// Result of the run.
        how: EndReason,
    },
    /// A violation that a worker detects by itself.
    Violation(String),
}

/// All workers, the advice service and the jobs that callers have submitted.
pub struct World {
    /// Current virtual time.
    pub now: Time,
    /// Time limits of the deployment.
    pub bounds: Bounds,
    /// The configuration of queues and pools.
    pub queues: Arc<QueueConfig>,
    /// For each queue that has moved, the pools that it has used.
    pub former_pools: BTreeMap<Box<str>, BTreeSet<PoolId>>,
    /// Submitted jobs.
    pub jobs: BTreeMap<JobNo, JobRecord>,
    /// Steps whose tasks always fail.
    pub failing_steps: BTreeSet<(JobNo, u16)>,
    /// Tasks that crash every worker that starts them.
    pub crashing_tasks: BTreeSet<TaskKey>,
    /// The workers.
    pub workers: Vec<Worker>,
    /// The advice service.
    pub advice: Service,
    /// Events that the judge hasn't checked yet.
    pub notes: Vec<Note>,
    /// Maximum relative deviation of a task's work from its estimate.
    pub spread: f64,
    /// Number of reports that listed only the first ends of their worker.
    pub cut_off_lists: u64,
    /// Checkpoints that workers have reported.
    checkpoints: BTreeSet<Box<str>>,
    rng: fastrand::Rng,
}

impl Worker {
    /// Creates a worker in its first incarnation.
    pub fn new(pool: &str, rack: &str, size: Size) -> Self {
        Worker {
            incarnation: 1,
            pool: pool.into(),
            rack: rack.into(),
            size,
            labels: vec![rack.into()],
            clock_rate: 1.0,
            clock_offset: 1_000,
            up: true,
            cut_off: false,
            unresponsive: false,
            unwell: false,
            failing: false,
            speed: 1.0,
            machine_speed: 1.0,
            leaving_since: None,
            runs: Vec::new(),
            token: 0,
            lease_end: 0,
            lease_lapsed: true,
            barred: BTreeMap::new(),
            ended: Vec::new(),
            last_end: 0,
        }
    }

    /// Reading of the worker's monotonic clock, in milliseconds.
    pub fn clock(&self, now: Time) -> u64 {
        self.clock_offset + (now.0 as f64 / 1e3 * self.clock_rate) as u64
    }

    fn extend(&mut self, until: u64, hold: Duration, now: Time) {
        let clock = self.clock(now);
        let most = clock + hold.as_millis() as u64;
        self.lease_end = self.lease_end.max(until.min(most));
        self.lease_lapsed &= self.lease_end <= clock;
    }
}

impl World {
    /// Creates a world at [`Time::ZERO`].
    pub fn new(seed: u64, bounds: Bounds, queues: Arc<QueueConfig>, workers: Vec<Worker>) -> Self {
        World {
            now: Time::ZERO,
            bounds,
            queues,
            former_pools: BTreeMap::new(),
            jobs: BTreeMap::new(),
            failing_steps: BTreeSet::new(),
            crashing_tasks: BTreeSet::new(),
            workers,
            advice: Service::new(seed),
            notes: Vec::new(),
            spread: 0.0,
            cut_off_lists: 0,
            checkpoints: BTreeSet::new(),
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// Id of a worker's present incarnation.
    pub fn id(&self, at: usize) -> WorkerId {
        WorkerId(format!("w{at}-{}", self.workers[at].incarnation).into())
    }

    /// A worker's entry in the worker list.
    pub fn listed(&self, at: usize) -> ListedWorker {
        let w = &self.workers[at];
        ListedWorker {
            id: self.id(at),
            pool: w.pool.clone(),
            addr: ([10, 0, 0, 1], 1000 + at as u16).into(),
            zone: Zone::from("z1"),
            draining: w.leaving_since.is_some(),
            born_ms: None,
            min_stay: w.leaving_since.map(|d| LEAVE_NOTICE.saturating_sub(self.now.since(d))),
            capacity: w.size,
            labels: w.labels.clone().into(),
        }
    }

    /// Specification of a step.
    pub fn step(&self, key: StepKey) -> Option<&Step> {
        self.jobs.get(&key.job)?.job.steps.get(usize::from(key.step))
    }

    /// Queue of a job.
    pub fn queue(&self, job: JobNo) -> Option<&Queue> {
        self.queues.queue_by_name(&self.jobs.get(&job)?.queue)
    }

    /// Resources used by a worker's runs, including those that are being stopped.
    pub fn used(&self, at: usize) -> Size {
        let counted =
            |r: &Run| self.step(r.start.task.step).map(Step::reserved).unwrap_or_default();
        self.workers[at].runs.iter().map(counted).sum()
    }

    /// Handles a call. Returns `None` if the worker doesn't reply.
    pub fn call(
        &mut self,
        at: usize,
        id: &WorkerId,
        call: &WorkerCall,
        late: bool,
    ) -> Option<Reply> {
        let other = self.id(at) != *id;
        let w = &mut self.workers[at];
        if !w.up || w.cut_off || w.unresponsive {
            return None;
        }
        if other {
            return Some(Reply::Other);
        }
        if w.unwell {
            return Some(Reply::Unwell);
        }
        let clock = w.clock(self.now);
        let token = match call {
            WorkerCall::Start(s) => s.token,
            WorkerCall::Stop { token, .. }
            | WorkerCall::Hold { token, .. }
            | WorkerCall::Pace { token, .. } => *token,
        };
        if token < w.token {
            return Some(Reply::Refused(clock, WorkerRefusal::Fence));
        }
        w.token = token;
        let done = match call {
            WorkerCall::Start(start) => self.start(at, start, late),
            WorkerCall::Stop { task, run, .. } => self.stop(at, *task, *run),
            WorkerCall::Pace { task, run, percent, .. } => self.pace(at, *task, *run, *percent),
            WorkerCall::Hold { until, seen, .. } => return Some(self.hold(at, *until, *seen)),
        };
        Some(done.map_or_else(|why| Reply::Refused(clock, why), |()| Reply::Done(clock)))
    }

    fn start(&mut self, at: usize, start: &Start, late: bool) -> Result<(), WorkerRefusal> {
        let now = self.now;
        let w = &mut self.workers[at];
        if w.runs.iter().any(|r| r.start.task == start.task && r.start.run == start.run) {
            w.extend(start.lease_end_ms, self.bounds.max_lease, now);
            return Ok(());
        }
        if start.lease_end_ms <= w.clock(now) {
            return Err(WorkerRefusal::Late);
        }
        w.extend(start.lease_end_ms, self.bounds.max_lease, now);
        if w.barred.get(&start.task).is_some_and(|b| start.run <= *b) {
            return Err(WorkerRefusal::Old);
        }
        let Some(step) = self.step(start.task.step).cloned() else {
            self.notes.push(Note::Violation(format!("{} was asked for by nobody", start.task)));
            return Err(WorkerRefusal::Bad);
        };
        let (id, key) = (self.id(at), start.task.step);
        let advised = self.queue(key.job).is_some_and(|q| q.advice.is_some());
        if advised && !self.advice.is_valid(start.ticket.as_deref(), key, &id, now) {
            return Err(WorkerRefusal::Ticket);
        }
        let pool = &self.workers[at].pool;
        let guards = self.queues.pools.iter().any(|p| p.name == *pool && p.checks_room);
        let mut used = self.used(at);
        used += step.reserved();
        if guards && !used.fits(&self.workers[at].size) {
            return Err(WorkerRefusal::Room);
        }
        if !start.checkpoint.is_empty() && !self.saved_by(start, &step) {
            self.notes.push(Note::Violation(format!(
                "{} has no checkpoint {}",
                start.task, start.checkpoint
            )));
        }
        let hex = start.checkpoint.split('~').next().unwrap_or_default();
        let work = u64::from_str_radix(hex, 16).unwrap_or(0) as f64;
        let wait =
            if start.checkpoint.is_empty() { Duration::ZERO } else { self.bounds.restore_time };
        self.workers[at].runs.push(Run {
            start: start.clone(),
            started_at: now,
            ready_at: now + wait,
            work,
            saved_work: work,
            stops_at: None,
            percent: 100,
            assembled: false,
        });
        self.notes.push(Note::Start { at: now, worker: at, start: start.clone(), late });
        Ok(())
    }

    /// Whether the task, or a member of its gang, has reported the checkpoint of a start.
    fn saved_by(&self, start: &Start, step: &Step) -> bool {
        let tail = format!("~{}", checkpoint_suffix(start.task, step));
        start.checkpoint.ends_with(&tail) && self.checkpoints.contains(&start.checkpoint)
    }

    fn stop(&mut self, at: usize, task: TaskKey, run: u32) -> Result<(), WorkerRefusal> {
        let saves = self.step(task.step).is_some_and(|s| s.saves);
        let most = self.bounds.stop_time.as_millis() as u64;
        let over = self.now + Duration::from_millis(self.rng.u64(most / 2..=most));
        let w = &mut self.workers[at];
        let barred = w.barred.entry(task).or_default();
        *barred = run.max(*barred);
        for r in w.runs.iter_mut().filter(|r| r.start.task == task && r.start.run <= run) {
            r.stops_at.get_or_insert(over);
            if saves {
                r.saved_work = r.work;
            }
        }
        Ok(())
    }

    fn pace(&mut self, at: usize, task: TaskKey, run: u32, share: u8) -> Result<(), WorkerRefusal> {
        let runs = self.workers[at].runs.iter_mut();
        for r in runs.filter(|r| r.start.task == task && r.start.run == run) {
            r.percent = share.min(100);
        }
        Ok(())
    }

    fn hold(&mut self, at: usize, until: Option<u64>, seen: u64) -> Reply {
        let (now, hold) = (self.now, self.bounds.max_lease);
        let w = &mut self.workers[at];
        if let Some(until) = until {
            w.extend(until, hold, now);
        }
        let (gone, rest) = w.ended.drain(..).partition(|(e, _)| e.number <= seen);
        w.ended = rest;
        let gone: Vec<(EndedRun, bool)> = gone;
        for (e, _) in gone.into_iter().filter(|(_, lapsed)| !lapsed) {
            self.notes.push(Note::Acknowledged { task: e.task, run: e.run, how: e.reason });
        }
        Reply::Held(self.held(at))
    }

    /// The worker's report: its clock, active runs and ends that aren't acknowledged.
    pub fn held(&mut self, at: usize) -> Held {
        let rows: Vec<PresentRun> =
            (0..self.workers[at].runs.len()).map(|i| self.row(at, i)).collect();
        self.checkpoints.extend(rows.iter().map(|r| r.checkpoint.clone()));
        let w = &self.workers[at];
        let ended: Vec<EndedRun> = w.ended.iter().take(MAX_ENDS).map(|(e, _)| e.clone()).collect();
        self.cut_off_lists += u64::from(ended.len() < w.ended.len());
        self.checkpoints.extend(ended.iter().map(|e| e.checkpoint.clone()));
        let clock_ms = self.workers[at].clock(self.now);
        Held { clock_ms, born_ms: None, running: rows, ended }
    }

    /// Whether a worker has ends that aren't acknowledged.
    pub fn has_ends(&self, at: usize) -> bool {
        !self.workers[at].ended.is_empty()
    }

    /// Whether a worker still reports this end.
    pub fn reports_end(&self, at: usize, end: &EndedRun) -> bool {
        self.workers[at].ended.iter().any(|(e, _)| e == end)
    }

    /// Number of active runs of a job.
    pub fn run_count(&self, job: JobNo) -> usize {
        let runs = self.workers.iter().flat_map(|w| &w.runs);
        runs.filter(|r| r.start.task.step.job == job).count()
    }

    fn row(&self, at: usize, i: usize) -> PresentRun {
        let run = &self.workers[at].runs[i];
        let step = self.step(run.start.task.step).cloned().unwrap_or_default();
        let serves = |r: &&Run| self.step(r.start.task.step).is_some_and(|s| s.fills);
        let beside: u64 =
            self.workers[at].runs.iter().filter(serves).map(|r| u64::from(r.percent)).sum();
        let percent = match step.lasts {
            true => 100 * u8::from(self.now >= run.started_at + self.bounds.serving_delay / 2),
            false => (run.work / self.task_work(run.start.task) * 100.0).min(99.0) as u8,
        };
        PresentRun {
            task: run.start.task,
            run: run.start.run,
            checkpoint: saved(run, &step),
            percent,
            load: match step.target {
                0 => step.size.cores.0 * u64::from(run.percent) / 100,
                target => target / 2 + beside * target / 400,
            },
        }
    }

    /// Work that a task takes, in milliseconds at full speed.
    pub fn task_work(&self, task: TaskKey) -> f64 {
        let Some(step) = self.step(task.step) else { return 1.0 };
        let (key, index) = (task.step, if step.gang { 0 } else { task.index });
        let parts = [key.job.0, key.time.into(), key.step.into(), index.into()];
        let hash = xxhash_rust::xxh3::xxh3_64(&parts.map(u64::to_le_bytes).concat());
        step.estimate as f64 * (1.0 + self.spread * ((hash % 2001) as f64 / 1000.0 - 1.0))
    }

    /// Ends a worker's process; all its state is lost.
    pub fn crash(&mut self, at: usize) {
        let w = &mut self.workers[at];
        let fresh = Worker::new(w.pool.as_str(), w.rack.as_str(), w.size);
        let old = std::mem::replace(w, fresh);
        (w.labels, w.machine_speed) = (old.labels, old.machine_speed);
        (w.incarnation, w.clock_rate, w.up) = (old.incarnation + 1, old.clock_rate, false);
        if old.leaving_since.is_none() {
            let tasks = old.runs.iter().map(|r| r.start.task);
            self.notes.extend(tasks.map(|task| Note::Crash { task }));
        }
        for run in old.runs.iter().filter(|r| r.stops_at.is_none()) {
            if self.step(run.start.task.step).is_some_and(|s| s.gang) {
                self.break_gang(run.start.task.step, run.start.run);
            }
        }
    }

    /// Ends all runs of a task as failed.
    pub fn fail_task(&mut self, task: TaskKey) {
        for at in 0..self.workers.len() {
            self.end_where(at, EndReason::Failed, |r| r.start.task == task);
        }
    }
}

/// Suffix that identifies a task's checkpoints. The members of a gang share their checkpoints.
fn checkpoint_suffix(task: TaskKey, step: &Step) -> String {
    if step.gang { task.step.to_string() } else { task.to_string() }
}

fn saved(run: &Run, step: &Step) -> Box<str> {
    if !step.saves || run.saved_work <= 0.0 {
        return "".into();
    }
    format!("{:08x}~{}", run.saved_work as u64, checkpoint_suffix(run.start.task, step)).into()
}
