//! Decides whether a worker or a job is at fault when tasks fail, and when a failed task is
//! retried.
//!
//! The load: some workers fail every task they start, and fail it quickly, so that they are the
//! first with free room and get most of the starts (a black hole); some jobs can never succeed.
//! Without a decision on fault, a single such worker fails a whole batch, and such a job is retried
//! for ever. A plain count of failures blames the wrong one: a bad job makes every worker look bad,
//! and a worker that gets nine starts out of ten makes every job look bad.
//!
//! A worker is therefore compared with its peers on the same jobs. For each of its jobs, the peers'
//! failure rate is the mean over the *other* workers that ran the job. Each worker counts once,
//! however many starts it got, so that neither its own failures nor those of another black hole
//! distort the rate. With `n` attempts, `f` failures and `e` expected failures, the probability of
//! so many failures on a good worker is at most `exp(-n * KL(f/n, e/n))` (Chernoff bound); the
//! worker is quarantined when this bound falls below `exp(-MIN_EVIDENCE)`. The attempts of a job
//! count only once enough other workers have completed attempts of it.
//!
//! A job is at fault if it has never succeeded, has failed on `MIN_GOOD_WORKERS` distinct good
//! workers in two racks, and still fails `TRIAL_PERIOD` later. The same rule applies to a single
//! task. During this period the job is on trial: only one of its tasks starts at a time, so that
//! dependencies of the job have time to recover, and little is lost if they don't. A worker is good
//! for this purpose if it is not quarantined and its last completed task of *another* job
//! succeeded.
//!
//! Results from peers may take long: if tasks run for ten minutes, nothing is known for ten
//! minutes, in which a black hole fails thousands of tasks. So a worker with `MIN_FAILURE_STREAK`
//! failures in a row gets single tasks at growing intervals, without any comparison, until one of
//! them succeeds.
//!
//! Each member judges by the attempts of its own jobs. The number of stored pairs of job and worker
//! is bounded.

pub use super::trust::{AttemptOutcome, Trust};
use {
    super::{evidence::Evidence, trust::TrustState},
    crate::{
        Time,
        ids::{JobId, PoolId, RackId, TaskId, TaskIndex, WorkerId},
    },
    derive_more::Display,
    fastrand::Rng,
    rustc_hash::FxHashMap,
    std::time::Duration,
};

/// Minimum evidence against a worker, in nats, for which it is quarantined. With 3,900 workers,
/// some hundred thousand failures a day are judged; `exp(-12)` is 6 in a million, so less than one
/// good worker a day is quarantined by chance.
const MIN_EVIDENCE: f64 = 12.0;
/// Minimum number of distinct good workers on which a job or task must fail before it is at fault.
/// If one worker in fifty were bad and undetected, four in a row would occur once in six million
/// cases; three would occur once a week at 51,000 jobs a day.
const MIN_GOOD_WORKERS: usize = 4;
/// Minimum number of racks that the good workers on which a job failed must span, if the pool has
/// as many: a rack that loses its switch or its mount makes several workers fail at once, before
/// any of them can be judged.
const MIN_RACKS: usize = 2;
/// Minimum time for which a job or task must have been failing before it is given up. A database
/// that restarts or fails over takes a minute or two, in which each job that needs it fails on all
/// workers; such a job must not be given up for good.
const TRIAL_PERIOD: Duration = Duration::from_secs(300);
/// Interval between starts of tasks of a job on trial. This allows thirty starts during the trial,
/// however many tasks the job has.
const TRIAL_INTERVAL: Duration = Duration::from_secs(10);
/// Maximum number of failed attempts, after which a task is given up even if no worker is known to
/// be good, as in a cell that runs nothing else. With the back-off, these attempts take about a
/// quarter of an hour.
const MAX_ATTEMPTS: u32 = 12;
/// Wait before the second attempt of a task. Each further failure doubles it, up to `MAX_BACKOFF`.
/// A transient fault (a mount, a name server) is often gone in seconds, and five minutes keep a
/// permanent one from using up starts.
const MIN_BACKOFF: Duration = Duration::from_secs(1);
/// Maximum wait before the next attempt of a task.
const MAX_BACKOFF: Duration = Duration::from_secs(300);
/// Divisor of a pool's number of workers that gives the maximum number quarantined at once. Above
/// that, the cause is probably common to the pool, and removing more workers would only add a
/// shortage.
const QUARANTINE_DIVISOR: usize = 5;
/// Maximum failure rate of a job on other workers at which the failure of a probe with one of its
/// tasks counts against the probed worker.
const MAX_PEER_FAILURE_RATE: f64 = 0.5;

/// Why a task is not retried; the text is shown to the operator.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Fault {
    /// The job never succeeded.
    #[display("the job failed on {_0} workers that run other jobs well, and never ended well")]
    Job(usize),
    /// The task failed, while other tasks of the job may succeed.
    #[display("the task failed on {_0} workers that run other jobs well")]
    Task(usize),
    /// The task ran out of attempts, and no worker was known to be good.
    #[display("the task failed {_0} times; no worker's soundness was known")]
    Attempts(u32),
}

/// Decision about a task after one of its attempts ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskVerdict {
    /// The task is completed.
    Completed,
    /// The task may start again at this time, not on the workers that [`FaultTracker::failed_on`]
    /// returns.
    Retry(Time),
    /// The task is given up.
    GiveUp(Fault),
}

/// Evidence against workers and jobs, the quarantined workers, and the jobs that are given up.
#[derive(Debug)]
pub struct FaultTracker {
    workers: FxHashMap<WorkerId, Worker>,
    pools: FxHashMap<PoolId, Pool>,
    jobs: FxHashMap<JobId, Job>,
    evidence: Evidence,
    /// Number of failures not counted against their worker.
    spared_failures: u64,
    rng: Rng,
}

#[derive(Debug)]
struct Worker {
    pool: PoolId,
    rack: RackId,
    /// For each of the last two jobs that ran on the worker, the most recent first: whether its
    /// last completed attempt succeeded. Of two jobs, at least one is not the job that is being
    /// judged.
    last_outcomes: [Option<(JobId, bool)>; 2],
    trust_state: TrustState,
}

#[derive(Debug, Default)]
struct Pool {
    racks: FxHashMap<RackId, usize>,
    workers: usize,
    quarantined: usize,
}

#[derive(Debug, Default)]
struct Job {
    /// Whether any attempt of the job has succeeded.
    succeeded: bool,
    /// Workers on which the job failed before its first success.
    failed_workers: Vec<WorkerId>,
    tasks: FxHashMap<TaskIndex, TaskFailures>,
    trial: Option<Trial>,
    fault: Option<Fault>,
}

/// The period before a job is given up, during which it may start only one task at a time.
#[derive(Clone, Copy, Debug)]
struct Trial {
    since: Time,
    next_start: Time,
}

#[derive(Debug, Default)]
struct TaskFailures {
    failures: u32,
    /// Time of the first failed attempt.
    first_failure: Time,
    workers: Vec<WorkerId>,
}

impl FaultTracker {
    /// Creates an instance without evidence; `seed` seeds the jitter of the back-off.
    pub fn new(seed: u64) -> Self {
        FaultTracker {
            workers: FxHashMap::default(),
            pools: FxHashMap::default(),
            jobs: FxHashMap::default(),
            evidence: Evidence::default(),
            spared_failures: 0,
            rng: Rng::with_seed(seed),
        }
    }

    /// Adds a worker; a worker that is already known keeps its state.
    pub fn add_worker(&mut self, worker: &WorkerId, pool: &PoolId, rack: &RackId) {
        if self.workers.contains_key(worker) {
            return;
        }
        let p = self.pools.entry(pool.clone()).or_default();
        p.workers += 1;
        *p.racks.entry(rack.clone()).or_default() += 1;
        let new = Worker {
            pool: pool.clone(),
            rack: rack.clone(),
            last_outcomes: [None, None],
            trust_state: TrustState::default(),
        };
        self.workers.insert(worker.clone(), new);
    }

    /// Removes a worker that is no longer in the platform's list.
    pub fn remove_worker(&mut self, worker: &WorkerId) {
        let Some(w) = self.workers.remove(worker) else { return };
        let Some(p) = self.pools.get_mut(&w.pool) else { return };
        p.workers -= 1;
        p.quarantined -= usize::from(w.trust_state.is_quarantined());
        if let Some(n) = p.racks.get_mut(&w.rack) {
            *n -= 1;
        }
        p.racks.retain(|_, n| *n > 0);
        if p.workers == 0 {
            self.pools.remove(&w.pool);
        }
    }

    /// Removes a job that the configuration text no longer lists.
    pub fn remove_job(&mut self, job: &JobId) {
        self.jobs.remove(job);
    }

    /// Returns which tasks the worker may start now: none if the worker is unknown.
    pub fn worker_trust(&self, now: Time, worker: &WorkerId) -> Trust {
        let Some(w) = self.workers.get(worker) else { return Trust::Blocked(Time::NEVER) };
        w.trust_state.trust(now)
    }

    /// Returns which tasks of the job may be started now: none if the job is given up (see
    /// [`FaultTracker::job_fault`]).
    pub fn job_trust(&self, now: Time, job: &JobId) -> Trust {
        match self.jobs.get(job) {
            Some(Job { fault: Some(_), .. }) => Trust::Blocked(Time::NEVER),
            Some(Job { trial: Some(t), .. }) if now < t.next_start => Trust::Blocked(t.next_start),
            Some(Job { trial: Some(_), .. }) => Trust::Probe,
            _ => Trust::Full,
        }
    }

    /// Records that an attempt of `task` was sent to `worker`.
    pub fn record_start(&mut self, now: Time, task: &TaskId, worker: &WorkerId) {
        if let Some(trial) = self.jobs.get_mut(&task.job).and_then(|j| j.trial.as_mut()) {
            trial.next_start = now + TRIAL_INTERVAL;
        }
        let Some(w) = self.workers.get_mut(worker) else { return };
        w.trust_state.record_start(now, task);
    }

    /// Records the end of an attempt of `task` on `worker` and returns what happens to the task.
    pub fn record_end(
        &mut self,
        now: Time,
        task: &TaskId,
        worker: &WorkerId,
        outcome: AttemptOutcome,
    ) -> TaskVerdict {
        if outcome != AttemptOutcome::Stopped {
            self.evidence.record_attempt(now, &task.job, worker, outcome == AttemptOutcome::Failed);
        }
        if let Some(w) = self.workers.get_mut(worker) {
            w.trust_state.record_outcome(now, outcome);
        }
        self.record_probe_end(now, task, worker, outcome);
        self.record_outcome(task, worker, outcome);
        match outcome {
            AttemptOutcome::Stopped => TaskVerdict::Retry(now),
            AttemptOutcome::Done => {
                let job = self.jobs.entry(task.job.clone()).or_default();
                job.succeeded = true;
                job.failed_workers = Vec::new();
                job.trial = None;
                job.tasks.remove(&task.index);
                TaskVerdict::Completed
            }
            AttemptOutcome::Failed => {
                self.judge_worker(now, worker);
                self.judge_task(now, task, worker)
            }
        }
    }

    /// Returns why the job is given up, or `None` if it is not. No task of a job that is given up
    /// may be started.
    pub fn job_fault(&self, job: &JobId) -> Option<Fault> {
        self.jobs.get(job)?.fault
    }

    /// Returns the workers on which the task failed, which its next attempt must avoid.
    pub fn failed_on(&self, task: &TaskId) -> &[WorkerId] {
        let task_failures = self.jobs.get(&task.job).and_then(|j| j.tasks.get(&task.index));
        task_failures.map_or(&[], |t| &t.workers)
    }

    /// Returns the quarantined workers, sorted by name.
    pub fn quarantined_workers(&self) -> Vec<&WorkerId> {
        let held = self.workers.iter().filter(|(_, w)| w.trust_state.is_quarantined());
        let mut names: Vec<_> = held.map(|(id, _)| id).collect();
        names.sort();
        names
    }

    /// Returns the number of failures that were not counted against their worker, because too many
    /// workers of its pool are quarantined.
    pub fn spared_failures(&self) -> u64 {
        self.spared_failures
    }

    fn record_outcome(&mut self, task: &TaskId, worker: &WorkerId, outcome: AttemptOutcome) {
        let sound = self.jobs.get(&task.job).is_some_and(|j| j.succeeded);
        // The failure of a job that has never succeeded says nothing about the worker. Otherwise
        // two bad jobs that are retried at the same time would each make the other's workers look
        // bad, so that both would be retried for long.
        if outcome == AttemptOutcome::Stopped || (outcome == AttemptOutcome::Failed && !sound) {
            return;
        }
        let Some(w) = self.workers.get_mut(worker) else { return };
        if w.last_outcomes[0].as_ref().is_some_and(|(job, _)| *job != task.job) {
            w.last_outcomes.swap(0, 1);
        }
        w.last_outcomes[0] = Some((task.job.clone(), outcome == AttemptOutcome::Done));
    }

    fn record_probe_end(
        &mut self,
        now: Time,
        task: &TaskId,
        worker: &WorkerId,
        outcome: AttemptOutcome,
    ) {
        let Some(w) = self.workers.get_mut(worker) else { return };
        // A failed probe with a job that also fails elsewhere is not conclusive.
        let conclusive = self.evidence.peers(&task.job, worker).rate <= MAX_PEER_FAILURE_RATE;
        if w.trust_state.record_probe_end(now, task, outcome, conclusive) {
            self.evidence.clear(worker);
            if let Some(p) = self.pools.get_mut(&w.pool) {
                p.quarantined -= 1;
            }
        }
    }

    fn judge_worker(&mut self, now: Time, worker: &WorkerId) {
        let Some(w) = self.workers.get_mut(worker) else { return };
        let Some(p) = self.pools.get_mut(&w.pool) else { return };
        if w.trust_state.is_quarantined() {
            return;
        }
        let max = (p.workers / QUARANTINE_DIVISOR).max(usize::from(p.workers > 1));
        if p.quarantined >= max {
            self.spared_failures += 1;
            return;
        }
        if self.evidence.evidence_against(worker) < MIN_EVIDENCE {
            return;
        }
        p.quarantined += 1;
        w.trust_state.begin_quarantine(now);
    }

    fn judge_task(&mut self, now: Time, task: &TaskId, worker: &WorkerId) -> TaskVerdict {
        let max = MAX_ATTEMPTS as usize;
        let job = self.jobs.entry(task.job.clone()).or_default();
        if !job.succeeded && job.failed_workers.len() < max && !job.failed_workers.contains(worker)
        {
            job.failed_workers.push(worker.clone());
        }
        let task_failures = job.tasks.entry(task.index).or_default();
        if task_failures.failures == 0 {
            task_failures.first_failure = now;
        }
        task_failures.failures += 1;
        if !task_failures.workers.contains(worker) {
            task_failures.workers.push(worker.clone());
        }
        let (failures, fault) = (task_failures.failures, job.fault);
        if let Some(fault) = fault.or_else(|| self.find_fault(now, task)) {
            if let (Fault::Job(_), Some(job)) = (fault, self.jobs.get_mut(&task.job)) {
                job.fault = Some(fault);
            }
            return TaskVerdict::GiveUp(fault);
        }
        TaskVerdict::Retry(now + self.backoff(failures))
    }

    fn find_fault(&mut self, now: Time, task: &TaskId) -> Option<Fault> {
        let job = self.jobs.get(&task.job)?;
        let task_failures = job.tasks.get(&task.index)?;
        let (job_workers, task_workers) = (
            self.good_worker_count(&task.job, &job.failed_workers),
            self.good_worker_count(&task.job, &task_failures.workers),
        );
        let (first, failures) = (task_failures.first_failure, task_failures.failures);
        if let Some(n) = job_workers {
            let trial = Trial { since: now, next_start: now };
            let trial = self.jobs.get_mut(&task.job)?.trial.get_or_insert(trial);
            if now.since(trial.since) >= TRIAL_PERIOD {
                return Some(Fault::Job(n));
            }
        }
        match task_workers {
            Some(n) if now.since(first) >= TRIAL_PERIOD => Some(Fault::Task(n)),
            _ => (failures >= MAX_ATTEMPTS).then_some(Fault::Attempts(failures)),
        }
    }

    /// Returns how many of `failed` are good workers, if these are enough to blame the job.
    fn good_worker_count(&self, job: &JobId, failed: &[WorkerId]) -> Option<usize> {
        let good: Vec<_> = failed.iter().filter_map(|w| self.good_worker(w, job)).collect();
        let first = good.first()?;
        let pool = self.pools.get(&first.pool)?;
        let multiple_racks = good.iter().any(|w| w.rack != first.rack);
        let racks = 1 + usize::from(multiple_racks);
        let enough = good.len() >= MIN_GOOD_WORKERS.min(pool.workers)
            && racks >= MIN_RACKS.min(pool.racks.len());
        enough.then_some(good.len())
    }

    fn good_worker(&self, worker: &WorkerId, job: &JobId) -> Option<&Worker> {
        let w = self.workers.get(worker)?;
        let other = w.last_outcomes.iter().flatten().find(|(j, _)| j != job);
        (!w.trust_state.is_quarantined() && other.is_some_and(|(_, succeeded)| *succeeded))
            .then_some(w)
    }

    /// Returns the wait before the next attempt after `failures` failures. It doubles each time,
    /// and its upper half is random, so that tasks of a job that failed together do not all restart
    /// together.
    fn backoff(&mut self, failures: u32) -> Duration {
        let full = MIN_BACKOFF.saturating_mul(1 << failures.min(16)).min(MAX_BACKOFF);
        full.mul_f64(0.5 + self.rng.f64() / 2.0)
    }
}
