//! Which worker or which job is at fault when tasks fail, and when a failed task is tried again.
//!
//! The load: some workers fail everything that they start, and fail it fast, so that their room is
//! free first and they are given most of the starts (a black hole); some jobs can never run. Without
//! a judgement a single such worker fails a whole batch, and such a job is retried for ever. A plain
//! count of failures blames the wrong one: a bad job makes every worker look bad, and a worker that
//! takes nine starts of ten makes every job look bad.
//!
//! A worker is therefore judged against its peers on the same jobs. For each of its jobs the peers'
//! failure rate is the mean over the *other* workers that ran it, each worker counted once however
//! many starts it took, so that neither its own failures nor those of another black hole set the
//! measure. With `n` attempts, `f` failures and `e` expected ones, the chance of so many failures on
//! a good worker is at most `exp(-n * KL(f/n, e/n))` (Chernoff); the worker is quarantined when
//! this falls below `exp(-EVIDENCE)`. A job's attempts count only once `PEERS` others have ended it.
//!
//! A job is at fault when it has never ended well and failed on `WORKERS` distinct good workers in
//! two racks, and still fails `TRIAL` later; a task likewise by itself. Meanwhile a job is on trial: one
//! of its tasks starts at a time, so that what it depends on may come back and little is lost if not. A worker is good for this purpose when it is not in
//! quarantine and its last ended task of *another* job ended well.
//!
//! Peers' ends may be long in coming: of tasks that run ten minutes, nothing is known for ten minutes,
//! in which a black hole fails thousands. So a worker with `STREAK` failures in a row is given single
//! tasks at a growing time, without any judgement, until one ends well there.
//!
//! Each member judges by the attempts of its own jobs. Memory is bounded by `CELLS`.

pub use super::standing::{Outcome, Trust};
use {
    super::{evidence::Evidence, standing::Standing},
    crate::{
        Time,
        ids::{JobId, PoolId, RackId, TaskId, TaskIndex, WorkerId},
    },
    derive_more::Display,
    fastrand::Rng,
    rustc_hash::FxHashMap,
    std::time::Duration,
};

/// Nats of evidence for a quarantine. At 3,900 workers some hundred thousand failures a day are
/// judged; `exp(-12)` is 6 in a million, so less than one good worker a day is quarantined by chance.
const EVIDENCE: f64 = 12.0;
/// Distinct good workers that a job or task must fail on. If one worker in fifty were bad and unseen,
/// four in a row would be one case in six million; three would be one a week at 51,000 jobs a day.
const WORKERS: usize = 4;
/// Racks that these must stand in, where the pool has as many: a rack that loses its switch or its
/// mount turns several workers bad at once, before any of them can be judged.
const RACKS: usize = 2;
/// How long a job or task must have failed: a database that restarts or fails over takes a minute or
/// two, in which each job that needs it fails on all workers, and must not be given up for good.
const TRIAL: Duration = Duration::from_secs(300);
/// The space between starts of a job on trial: thirty in all, however many tasks it has.
const TRIAL_SPACE: Duration = Duration::from_secs(10);
/// Failed attempts after which a task is given up although no worker is known to be good, as on a
/// cell that runs nothing else. By the back-off these take about a quarter of an hour.
const ATTEMPTS: u32 = 12;
/// The first wait between attempts, doubled up to the longest: a fault that mends itself (a mount, a
/// name server) is often gone in seconds, and five minutes keep a lasting one from using up starts.
const BACKOFF: Duration = Duration::from_secs(1);
const BACKOFF_MAX: Duration = Duration::from_secs(300);
/// The part of a pool that may be in quarantine, one in so many. Above it the cause is likely common
/// to the pool, and taking more workers away would only add a shortage to it.
const POOL_PART: usize = 5;
/// The failure rate of a job among peers above which a probe with it says nothing of the worker.
const NO_PROBE: f64 = 0.5;

/// Why a task is not tried again; its text is for the operator.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Fault {
    /// The job never ended well.
    #[display("the job failed on {_0} workers that run other jobs well, and never ended well")]
    Job(usize),
    /// The job's other tasks may be sound.
    #[display("the task failed on {_0} workers that run other jobs well")]
    Task(usize),
    /// No worker could be shown to be good.
    #[display("the task failed {_0} times; no worker's soundness was known")]
    Attempts(u32),
}

/// What becomes of a task whose attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is over.
    Over,
    /// It may start again at this time, not on the workers that [`Suspects::failed_on`] names.
    Retry(Time),
    /// It is given up.
    GiveUp(Fault),
}

/// The evidence on workers and jobs, and the verdicts in force.
#[derive(Debug)]
pub struct Suspects {
    workers: FxHashMap<WorkerId, Worker>,
    pools: FxHashMap<PoolId, Pool>,
    jobs: FxHashMap<JobId, Job>,
    evidence: Evidence,
    spared: u64,
    rng: Rng,
}

#[derive(Debug)]
struct Worker {
    pool: PoolId,
    rack: RackId,
    /// The last ended attempt of each of the last two jobs, the latest first; two suffice to have one
    /// of another job than the one in question.
    last: [Option<(JobId, bool)>; 2],
    standing: Standing,
}

#[derive(Debug, Default)]
struct Pool {
    racks: FxHashMap<RackId, usize>,
    workers: usize,
    quarantined: usize,
}

#[derive(Debug, Default)]
struct Job {
    done: bool,
    failed: Vec<WorkerId>,
    tasks: FxHashMap<TaskIndex, Tries>,
    trial: Option<Trial>,
    fault: Option<Fault>,
}

#[derive(Clone, Copy, Debug)]
struct Trial {
    since: Time,
    next: Time,
}

#[derive(Debug, Default)]
struct Tries {
    failures: u32,
    first: Time,
    workers: Vec<WorkerId>,
}

impl Suspects {
    /// No evidence; `seed` sets the jitter of the back-off.
    pub fn new(seed: u64) -> Self {
        Suspects {
            workers: FxHashMap::default(),
            pools: FxHashMap::default(),
            jobs: FxHashMap::default(),
            evidence: Evidence::default(),
            spared: 0,
            rng: Rng::with_seed(seed),
        }
    }

    /// Adds a worker; one that is known already keeps its verdict.
    pub fn join(&mut self, worker: &WorkerId, pool: &PoolId, rack: &RackId) {
        if self.workers.contains_key(worker) {
            return;
        }
        let p = self.pools.entry(pool.clone()).or_default();
        p.workers += 1;
        *p.racks.entry(rack.clone()).or_default() += 1;
        let new = Worker {
            pool: pool.clone(),
            rack: rack.clone(),
            last: [None, None],
            standing: Standing::default(),
        };
        self.workers.insert(worker.clone(), new);
    }

    /// Removes a worker that left the platform's list.
    pub fn leave(&mut self, worker: &WorkerId) {
        let Some(w) = self.workers.remove(worker) else { return };
        let Some(p) = self.pools.get_mut(&w.pool) else { return };
        p.workers -= 1;
        p.quarantined -= usize::from(w.standing.quarantined());
        if let Some(n) = p.racks.get_mut(&w.rack) {
            *n -= 1;
        }
        p.racks.retain(|_, n| *n > 0);
        if p.workers == 0 {
            self.pools.remove(&w.pool);
        }
    }

    /// Removes a job that the text no longer lists.
    pub fn forget(&mut self, job: &JobId) {
        self.jobs.remove(job);
    }

    /// What the worker may be given now; a worker that never joined gets nothing.
    pub fn trust(&self, now: Time, worker: &WorkerId) -> Trust {
        let Some(w) = self.workers.get(worker) else { return Trust::Held(Time::NEVER) };
        w.standing.trust(now)
    }

    /// What may be started of the job now; nothing of one that has a [`Suspects::fault`].
    pub fn job_trust(&self, now: Time, job: &JobId) -> Trust {
        match self.jobs.get(job) {
            Some(Job { fault: Some(_), .. }) => Trust::Held(Time::NEVER),
            Some(Job { trial: Some(t), .. }) if now < t.next => Trust::Held(t.next),
            Some(Job { trial: Some(_), .. }) => Trust::Probe,
            _ => Trust::Full,
        }
    }

    /// Notes that an attempt of `task` goes to `worker`.
    pub fn started(&mut self, now: Time, task: &TaskId, worker: &WorkerId) {
        if let Some(trial) = self.jobs.get_mut(&task.job).and_then(|j| j.trial.as_mut()) {
            trial.next = now + TRIAL_SPACE;
        }
        let Some(w) = self.workers.get_mut(worker) else { return };
        w.standing.started(now, task);
    }

    /// Takes the end of an attempt of `task` at `worker` and says what becomes of the task.
    pub fn ended(
        &mut self,
        now: Time,
        task: &TaskId,
        worker: &WorkerId,
        outcome: Outcome,
    ) -> Verdict {
        if outcome != Outcome::Stopped {
            self.evidence.add(now, &task.job, worker, outcome == Outcome::Failed);
        }
        if let Some(w) = self.workers.get_mut(worker) {
            w.standing.count(now, outcome);
        }
        self.settle_probe(now, task, worker, outcome);
        self.remember(task, worker, outcome);
        match outcome {
            Outcome::Stopped => Verdict::Retry(now),
            Outcome::Done => {
                let job = self.jobs.entry(task.job.clone()).or_default();
                job.done = true;
                job.failed = Vec::new();
                job.trial = None;
                job.tasks.remove(&task.index);
                Verdict::Over
            }
            Outcome::Failed => {
                self.judge_worker(now, worker);
                self.judge_task(now, task, worker)
            }
        }
    }

    /// Why the job is given up, if it is; none of its tasks is to be started then.
    pub fn fault(&self, job: &JobId) -> Option<Fault> {
        self.jobs.get(job)?.fault
    }

    /// The workers on which the task failed, for its next attempt to keep away from.
    pub fn failed_on(&self, task: &TaskId) -> &[WorkerId] {
        let tries = self.jobs.get(&task.job).and_then(|j| j.tasks.get(&task.index));
        tries.map_or(&[], |t| &t.workers)
    }

    /// The workers in quarantine, by name.
    pub fn quarantined(&self) -> Vec<&WorkerId> {
        let held = self.workers.iter().filter(|(_, w)| w.standing.quarantined());
        let mut names: Vec<_> = held.map(|(id, _)| id).collect();
        names.sort();
        names
    }

    /// How many failures were not held against their worker, as too much of its pool is in quarantine.
    pub fn spared(&self) -> u64 {
        self.spared
    }

    fn remember(&mut self, task: &TaskId, worker: &WorkerId, outcome: Outcome) {
        let sound = self.jobs.get(&task.job).is_some_and(|j| j.done);
        // The failure of a job that has never ended well says nothing of the worker: two bad jobs that
        // are retried side by side would each make the other's workers look bad, and go on for long.
        if outcome == Outcome::Stopped || (outcome == Outcome::Failed && !sound) {
            return;
        }
        let Some(w) = self.workers.get_mut(worker) else { return };
        if w.last[0].as_ref().is_some_and(|(job, _)| *job != task.job) {
            w.last.swap(0, 1);
        }
        w.last[0] = Some((task.job.clone(), outcome == Outcome::Done));
    }

    fn settle_probe(&mut self, now: Time, task: &TaskId, worker: &WorkerId, outcome: Outcome) {
        let Some(w) = self.workers.get_mut(worker) else { return };
        // A probe with a job that fails elsewhere too says nothing of the worker.
        let blamed = self.evidence.peers(&task.job, worker).rate <= NO_PROBE;
        if w.standing.probed(now, task, outcome, blamed) {
            self.evidence.acquit(worker);
            if let Some(p) = self.pools.get_mut(&w.pool) {
                p.quarantined -= 1;
            }
        }
    }

    fn judge_worker(&mut self, now: Time, worker: &WorkerId) {
        let Some(w) = self.workers.get_mut(worker) else { return };
        let Some(p) = self.pools.get_mut(&w.pool) else { return };
        if w.standing.quarantined() {
            return;
        }
        let most = (p.workers / POOL_PART).max(usize::from(p.workers > 1));
        if p.quarantined >= most {
            self.spared += 1;
            return;
        }
        if self.evidence.against(worker) < EVIDENCE {
            return;
        }
        p.quarantined += 1;
        w.standing.quarantine(now);
    }

    fn judge_task(&mut self, now: Time, task: &TaskId, worker: &WorkerId) -> Verdict {
        let most = ATTEMPTS as usize;
        let job = self.jobs.entry(task.job.clone()).or_default();
        if !job.done && job.failed.len() < most && !job.failed.contains(worker) {
            job.failed.push(worker.clone());
        }
        let tries = job.tasks.entry(task.index).or_default();
        if tries.failures == 0 {
            tries.first = now;
        }
        tries.failures += 1;
        if !tries.workers.contains(worker) {
            tries.workers.push(worker.clone());
        }
        let (failures, fault) = (tries.failures, job.fault);
        if let Some(fault) = fault.or_else(|| self.find_fault(now, task)) {
            if let (Fault::Job(_), Some(job)) = (fault, self.jobs.get_mut(&task.job)) {
                job.fault = Some(fault);
            }
            return Verdict::GiveUp(fault);
        }
        Verdict::Retry(now + self.backoff(failures))
    }

    fn find_fault(&mut self, now: Time, task: &TaskId) -> Option<Fault> {
        let job = self.jobs.get(&task.job)?;
        let tries = job.tasks.get(&task.index)?;
        let (job_on, task_on) =
            (self.enough(&task.job, &job.failed), self.enough(&task.job, &tries.workers));
        let (first, failures) = (tries.first, tries.failures);
        if let Some(n) = job_on {
            let trial = Trial { since: now, next: now };
            let trial = self.jobs.get_mut(&task.job)?.trial.get_or_insert(trial);
            if now.since(trial.since) >= TRIAL {
                return Some(Fault::Job(n));
            }
        }
        match task_on {
            Some(n) if now.since(first) >= TRIAL => Some(Fault::Task(n)),
            _ => (failures >= ATTEMPTS).then_some(Fault::Attempts(failures)),
        }
    }

    /// How many of `failed` are good workers, if these are enough to blame the job.
    fn enough(&self, job: &JobId, failed: &[WorkerId]) -> Option<usize> {
        let good: Vec<_> = failed.iter().filter_map(|w| self.good(w, job)).collect();
        let first = good.first()?;
        let pool = self.pools.get(&first.pool)?;
        let split = good.iter().any(|w| w.rack != first.rack);
        let racks = 1 + usize::from(split);
        let enough =
            good.len() >= WORKERS.min(pool.workers) && racks >= RACKS.min(pool.racks.len());
        enough.then_some(good.len())
    }

    fn good(&self, worker: &WorkerId, job: &JobId) -> Option<&Worker> {
        let w = self.workers.get(worker)?;
        let other = w.last.iter().flatten().find(|(j, _)| j != job);
        (!w.standing.quarantined() && other.is_some_and(|(_, well)| *well)).then_some(w)
    }

    /// The wait after so many failures: doubled each time, then a random part of its upper half, so
    /// that the tasks of a job that failed together do not all start together.
    fn backoff(&mut self, failures: u32) -> Duration {
        let full = BACKOFF.saturating_mul(1 << failures.min(16)).min(BACKOFF_MAX);
        full.mul_f64(0.5 + self.rng.f64() / 2.0)
    }
}
