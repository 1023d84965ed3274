//! Ended attempts counted by job and worker, and what they say against a worker.
//!
//! The load: up to 940 attempts end a second, in all over the cell. Counts that were kept for ever
//! would hold a worker's old faults against it and grow without bound; so they stand in two
//! generations, of which the older is dropped whole when the younger is full or old.

use {
    crate::{
        Time,
        ids::{JobId, WorkerId},
    },
    rustc_hash::{FxHashMap, FxHashSet},
    std::{mem, time::Duration},
};

/// How long a generation lasts: ten minutes hold enough ended tasks to judge by, and a worker that was
/// mended is judged by new evidence after twenty at the latest.
const AGE: Duration = Duration::from_secs(600);
/// Cells (pairs of a job and a worker) in a generation. Both hold some 4 MB at most, 3% of the 128 MB
/// that a member may use; at one ninth of 940 ended a second, each in a cell of its own, it lasts 2.6
/// minutes.
const CELLS: usize = 16_384;
/// Peers that must have ended a job before it says anything about a worker: with one or two, a single
/// task with a bad input would stand for the whole job.
const PEERS: f64 = 3.0;

/// What the other workers had on the same job.
#[derive(Clone, Copy, Debug)]
pub(super) struct Peers {
    /// How many there are.
    pub(super) count: f64,
    /// The mean over them of their failure rates, with one failure and one success added, so that a
    /// few peers that never failed are not taken as proof that nobody fails.
    pub(super) rate: f64,
}

/// Attempts by job and worker.
#[derive(Debug, Default)]
pub(super) struct Evidence {
    young: Counts,
    old: Counts,
    begun: Time,
}

#[derive(Debug, Default)]
struct Counts {
    jobs: FxHashMap<JobId, Row>,
    workers: FxHashMap<WorkerId, FxHashSet<JobId>>,
    cells: usize,
}

/// One job's cells, and the sum over them of failure rates, kept so that a worker's peers are known
/// without a walk over thousands of cells.
#[derive(Debug, Default)]
struct Row {
    cells: FxHashMap<WorkerId, Cell>,
    rates: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct Cell {
    ended: f64,
    failed: f64,
}

impl Cell {
    fn rate(&self) -> f64 {
        if self.ended == 0.0 { 0.0 } else { self.failed / self.ended }
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
            Some(own) => (row.cells.len() as f64 - 1.0, row.rates - own.rate()),
            None => (row.cells.len() as f64, row.rates),
        }
    }

    fn remove(&mut self, worker: &WorkerId) {
        for job in self.workers.remove(worker).unwrap_or_default() {
            let Some(row) = self.jobs.get_mut(&job) else { continue };
            let Some(cell) = row.cells.remove(worker) else { continue };
            row.rates -= cell.rate();
            self.cells -= 1;
        }
    }
}

impl Evidence {
    pub(super) fn add(&mut self, now: Time, job: &JobId, worker: &WorkerId, failed: bool) {
        if now.since(self.begun) >= AGE || self.young.cells >= CELLS {
            self.old = mem::take(&mut self.young);
            self.begun = now;
        }
        let counts = &mut self.young;
        let row = counts.jobs.entry(job.clone()).or_default();
        let before = row.cells.len();
        let cell = row.cells.entry(worker.clone()).or_default();
        let rate = cell.rate();
        cell.ended += 1.0;
        cell.failed += f64::from(u8::from(failed));
        row.rates += cell.rate() - rate;
        if row.cells.len() > before {
            counts.cells += 1;
            counts.workers.entry(worker.clone()).or_default().insert(job.clone());
        }
    }

    /// Drops what is held against a worker that has passed its probes; else the next failure would
    /// send it back on the old evidence.
    pub(super) fn acquit(&mut self, worker: &WorkerId) {
        self.young.remove(worker);
        self.old.remove(worker);
    }

    pub(super) fn peers(&self, job: &JobId, worker: &WorkerId) -> Peers {
        let (young, old) = (self.young.others(job, worker), self.old.others(job, worker));
        let count = young.0.max(old.0);
        let rate = (young.1 + old.1 + 1.0) / (young.0 + old.0 + 2.0);
        Peers { count, rate }
    }

    /// Nats of evidence that the worker fails more than its peers on the same jobs.
    pub(super) fn against(&self, worker: &WorkerId) -> f64 {
        let (mut ended, mut failed, mut expected) = (0.0, 0.0, 0.0);
        for (counts, job) in self.jobs_of(worker) {
            let peers = self.peers(job, worker);
            if peers.count >= PEERS {
                let cell = counts.cell(job, worker);
                ended += cell.ended;
                failed += cell.failed;
                expected += cell.ended * peers.rate;
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
        let both = [&self.young, &self.old].into_iter();
        both.flat_map(move |c| c.workers.get(worker).into_iter().flatten().map(move |j| (c, j)))
    }
}

/// The Kullback-Leibler divergence of two coins, in nats; `q` lies inside (0, 1).
fn divergence(p: f64, q: f64) -> f64 {
    let part = |a: f64, b: f64| if a == 0.0 { 0.0 } else { a * (a / b).ln() };
    part(p, q) + part(1.0 - p, 1.0 - q)
}
