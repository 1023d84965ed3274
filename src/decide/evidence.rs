//! Counts ended attempts by job and worker, as evidence against workers.
//!
//! *Load pattern:* up to 940 attempts end per second in the whole cell. *Without it:* counts that
//! are kept for ever would hold old faults against a worker and grow without bound. So the counts
//! are kept in two generations, and the older one is dropped as a whole when the younger one is
//! full or old.

use {
    crate::{
        Time,
        ids::{JobId, WorkerId},
    },
    rustc_hash::{FxHashMap, FxHashSet},
    std::{mem, time::Duration},
};

/// Maximum age of a generation. Ten minutes contain enough ended tasks to judge by, and a repaired
/// worker is judged by new evidence after twenty minutes at the latest.
const GENERATION_AGE: Duration = Duration::from_secs(600);
/// Maximum number of cells (pairs of a job and a worker) per generation. Both generations take some
/// 4 MB at most, 3% of the 128 MB that a member may use. At one ninth of 940 ends per second, each
/// in a cell of its own, a generation lasts 2.6 minutes.
const MAX_CELLS: usize = 16_384;
/// Minimum number of other workers with ended tasks of a job for the job to count as evidence about
/// a worker. With one or two, a single task with a bad input would stand for the whole job.
const MIN_PEERS: f64 = 3.0;

/// Ended attempts of the other workers on the same job.
#[derive(Clone, Copy, Debug)]
pub(super) struct Peers {
    /// Number of other workers.
    pub(super) count: f64,
    /// Mean of their failure rates, with one failure and one success added, so that a few peers
    /// without failures are not taken as proof that the job never fails.
    pub(super) rate: f64,
}

/// Ended attempts by job and worker, in two generations.
#[derive(Debug, Default)]
pub(super) struct Evidence {
    young: Counts,
    old: Counts,
    started_at: Time,
}

#[derive(Debug, Default)]
struct Counts {
    jobs: FxHashMap<JobId, Row>,
    workers: FxHashMap<WorkerId, FxHashSet<JobId>>,
    cells: usize,
}

/// The cells of one job, and the sum of their failure rates, so that the mean over a worker's peers
/// needs no walk over thousands of cells.
#[derive(Debug, Default)]
struct Row {
    cells: FxHashMap<WorkerId, Cell>,
    rate_sum: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Cell {
    ended_count: f64,
    failed_count: f64,
}

impl Cell {
    fn rate(&self) -> f64 {
        if self.ended_count == 0.0 { 0.0 } else { self.failed_count / self.ended_count }
    }
}

impl Counts {
    fn cell(&self, job: &JobId, worker: &WorkerId) -> Cell {
        let row = self.jobs.get(job);
        row.and_then(|r| r.cells.get(worker)).copied().unwrap_or_default()
    }

    fn others(&self, job: &JobId, worker: &WorkerId) -> (f64, f64) {
        let Some(row) = self.jobs.get(job) else { return (0.0, 0.0) };
        match row.cells.get(worker) {
            Some(own) => (row.cells.len() as f64 - 1.0, row.rate_sum - own.rate()),
            None => (row.cells.len() as f64, row.rate_sum),
        }
    }

    fn remove(&mut self, worker: &WorkerId) {
        for job in self.workers.remove(worker).unwrap_or_default() {
            let Some(row) = self.jobs.get_mut(&job) else { continue };
            let Some(cell) = row.cells.remove(worker) else { continue };
            row.rate_sum -= cell.rate();
            self.cells -= 1;
        }
    }
}

impl Evidence {
    pub(super) fn record_attempt(
        &mut self,
        now: Time,
        job: &JobId,
        worker: &WorkerId,
        failed: bool,
    ) {
        if now.since(self.started_at) >= GENERATION_AGE || self.young.cells >= MAX_CELLS {
            self.old = mem::take(&mut self.young);
            self.started_at = now;
        }
        let counts = &mut self.young;
        let row = counts.jobs.entry(job.clone()).or_default();
        let before = row.cells.len();
        let cell = row.cells.entry(worker.clone()).or_default();
        let rate = cell.rate();
        cell.ended_count += 1.0;
        cell.failed_count += f64::from(u8::from(failed));
        row.rate_sum += cell.rate() - rate;
        if row.cells.len() > before {
            counts.cells += 1;
            counts.workers.entry(worker.clone()).or_default().insert(job.clone());
        }
    }

    /// Removes the evidence against a worker that has passed its probes. Otherwise its next failure
    /// would quarantine it again on the old evidence.
    pub(super) fn clear(&mut self, worker: &WorkerId) {
        self.young.remove(worker);
        self.old.remove(worker);
    }

    pub(super) fn peers(&self, job: &JobId, worker: &WorkerId) -> Peers {
        let (young, old) = (self.young.others(job, worker), self.old.others(job, worker));
        let count = young.0.max(old.0);
        let rate = (young.1 + old.1 + 1.0) / (young.0 + old.0 + 2.0);
        Peers { count, rate }
    }

    /// Returns the evidence, in nats, that the worker fails more than its peers on the same jobs.
    pub(super) fn evidence_against(&self, worker: &WorkerId) -> f64 {
        let (mut ended, mut failed, mut expected) = (0.0, 0.0, 0.0);
        for (counts, job) in self.jobs_of(worker) {
            let peers = self.peers(job, worker);
            if peers.count >= MIN_PEERS {
                let cell = counts.cell(job, worker);
                ended += cell.ended_count;
                failed += cell.failed_count;
                expected += cell.ended_count * peers.rate;
            }
        }
        if failed <= expected {
            return 0.0;
        }
        ended * divergence(failed / ended, expected / ended)
    }

    fn jobs_of<'a>(
        &'a self,
        worker: &'a WorkerId,
    ) -> impl Iterator<Item = (&'a Counts, &'a JobId)> {
        let generations = [&self.young, &self.old].into_iter();
        generations
            .flat_map(move |c| c.workers.get(worker).into_iter().flatten().map(move |j| (c, j)))
    }
}

/// Returns the Kullback-Leibler divergence of two Bernoulli distributions, in nats; `q` is inside
/// (0, 1).
fn divergence(p: f64, q: f64) -> f64 {
    let term = |a: f64, b: f64| if a == 0.0 { 0.0 } else { a * (a / b).ln() };
    term(p, q) + term(1.0 - p, 1.0 - q)
}
