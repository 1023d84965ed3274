//! Creates the layout of a cell: the number of shards and the workers that belong to each.
//!
//! The layout is written once, by the member that writes first, and never changes. Nothing here has
//! a clock or does I/O.

use {
    crate::{
        ids::{PoolId, Zone},
        shard::record::{Layout, ShardNo, ShardRange},
        time::Time,
        work::{JobNo, ListedWorker},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        iter,
        net::SocketAddr,
        time::Duration,
    },
    xxhash_rust::xxh3::xxh3_64,
};

/// Maximum number of workers of a deployment that has one shard for all its pools.
const MAX_SINGLE_SHARD_WORKERS: usize = 100;
/// Maximum number of workers of one shard.
///
/// Guards against a step that fits into no shard although it fits into its pool. Such a step runs
/// at most one task on each worker, and three workers in ten can run it. In a shard of
/// 84 workers, 18 of 24 tasks ran and the others never started, while most of the pool was free.
/// The widest steps have about 90 tasks. A gang of 90 tasks that take half a worker each needs 44
/// workers at once; half of a pool of 350 workers has 52 that can run it.
const MAX_SHARD_WORKERS: usize = 400;
const MAX_SHARDS: usize = 64;
/// The list of workers counts as complete once it has not grown for this long.
pub const STABLE_PERIOD: Duration = Duration::from_millis(1500);
/// Maximum time to wait for a complete list of workers.
pub const MAX_LIST_WAIT: Duration = Duration::from_secs(5);

/// Decides when the list of workers is complete enough to create the layout.
///
/// Guards against a layout for the few workers that are listed first. All machines start at the
/// same moment, and the first member reads the list while the workers are still registering one
/// after the other. As the number of shards never changes, one member would own hundreds of
/// workers.
#[derive(Debug)]
pub struct ListMonitor {
    started_at: Time,
    max_workers: usize,
    last_growth: Time,
}

impl ListMonitor {
    /// Creates a monitor that starts at `now`.
    pub fn new(now: Time) -> Self {
        ListMonitor { started_at: now, max_workers: 0, last_growth: now }
    }

    /// Records that the list was read with `count` workers. Returns whether the list counts as
    /// complete.
    pub fn record_count(&mut self, count: usize, now: Time) -> bool {
        if count > self.max_workers {
            self.max_workers = count;
            self.last_growth = now;
        }
        let stable = self.max_workers > 0 && now - self.last_growth >= STABLE_PERIOD;
        stable || now - self.started_at >= MAX_LIST_WAIT
    }
}

/// Creates a layout for the listed workers.
///
/// A small deployment has one shard. Otherwise each pool has shards of its own, so that jobs of one
/// pool don't delay those of another. A pool is divided only if it is too large for one owner, as a
/// gang may need most of the workers that can run it.
pub fn create_layout(workers: &[ListedWorker], secret: Box<str>) -> Layout {
    let mut by_pool: BTreeMap<&PoolId, Vec<&ListedWorker>> = BTreeMap::new();
    for worker in workers {
        by_pool.entry(&worker.pool).or_default().push(worker);
    }
    let small = workers.len() <= MAX_SINGLE_SHARD_WORKERS;
    let (mut first, mut pools, mut homes) = (0, BTreeMap::new(), BTreeMap::new());
    for (pool, all) in by_pool {
        let span = if small { ShardRange(0, 1) } else { ShardRange(first, shard_count(all.len())) };
        first += if small { 0 } else { span.1 };
        pools.insert(pool.clone(), span);
        homes.extend(assign_workers(&all, span));
    }
    Layout { shards: first.max(1), secret, worker_shards: homes.into_iter().collect(), pools }
}

/// Returns the number of shards for a pool with this number of workers.
fn shard_count(workers: usize) -> u16 {
    u16::try_from(workers.div_ceil(MAX_SHARD_WORKERS).clamp(1, MAX_SHARDS)).unwrap_or(1)
}

/// Assigns the worker addresses of one pool to its shards.
///
/// The shards get equal numbers of workers, up to a difference of one, as jobs are spread evenly
/// too. Workers of a rack stay together as far as that allows. Consecutive racks are in different
/// zones, so that no shard loses all its workers with a zone. An address keeps its shard, so that a
/// later worker at the address belongs to the same shard.
fn assign_workers(workers: &[&ListedWorker], span: ShardRange) -> Vec<(SocketAddr, ShardNo)> {
    let mut zones: BTreeMap<&Zone, BTreeMap<&str, BTreeSet<SocketAddr>>> = BTreeMap::new();
    for w in workers {
        zones.entry(&w.zone).or_default().entry(w.rack()).or_default().insert(w.addr);
    }
    let mut racks: Vec<_> = zones.into_values().flat_map(|r| r.into_values().enumerate()).collect();
    racks.sort_by_key(|(place, _)| *place);
    let all: Vec<SocketAddr> = racks.into_iter().flat_map(|(_, addrs)| addrs).collect();
    let count = all.len();
    let shard = |at| (at * usize::from(span.1) / count) as u64;
    all.into_iter().enumerate().map(|(at, addr)| (addr, span.shard_for(shard(at)))).collect()
}

impl Layout {
    /// Returns the shard of a worker: the one that the layout assigns to its address, or one chosen
    /// by its rack if the address is not in the layout.
    ///
    /// An address that now belongs to a worker of another pool doesn't count: in the shard of the
    /// former worker the new one would get no tasks.
    pub fn worker_shard(&self, worker: &ListedWorker) -> ShardNo {
        let span = self.span(&worker.pool);
        let known = self.worker_shards.binary_search_by_key(&worker.addr, |(addr, _)| *addr).ok();
        let home = known.map(|at| self.worker_shards[at].1).filter(|home| span.contains(*home));
        home.unwrap_or_else(|| span.shard_for(xxh3_64(worker.rack().as_bytes())))
    }

    /// Returns the shard of a job that is accepted while its queue uses this pool. It depends on the
    /// layout alone, which no version of the configuration changes.
    pub fn job_shard(&self, job: JobNo, pool: &PoolId) -> ShardNo {
        job_shard_in(self.span(pool), job)
    }

    /// Returns the shards that may have a job whose queue uses this pool now: first the one of a job
    /// that is accepted now, then those of a job that was accepted while its queue used another pool.
    pub fn possible_job_shards(&self, job: JobNo, pool: &PoolId) -> Box<[ShardNo]> {
        let first = self.job_shard(job, pool);
        let spans = self.pools.values().copied().chain([self.all_shards()]);
        let others: BTreeSet<ShardNo> =
            spans.map(|span| job_shard_in(span, job)).filter(|s| *s != first).collect();
        iter::once(first).chain(others).collect()
    }

    /// Returns the shards of a pool; a pool that is not in the layout uses all shards.
    fn span(&self, pool: &PoolId) -> ShardRange {
        self.pools.get(pool).copied().unwrap_or(self.all_shards())
    }

    fn all_shards(&self) -> ShardRange {
        ShardRange(0, self.shards)
    }
}

fn job_shard_in(span: ShardRange, job: JobNo) -> ShardNo {
    span.shard_for(xxh3_64(&job.0.to_le_bytes()))
}
