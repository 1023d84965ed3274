//! How the layout of a cell is made: how many shards there are, and which workers belong to each.
//!
//! The layout is made once, by the member that writes it first, and never changes. Nothing here has
//! a clock or does I/O.

use {
    crate::{
        ids::{PoolId, Zone},
        shard::record::{Layout, ShardNo, Span},
        time::Time,
        work::{JobNo, Listed},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        time::Duration,
    },
    xxhash_rust::xxh3::xxh3_64,
};

/// The most workers of a deployment that has one shard for all its pools.
const SMALL: usize = 100;
/// The most workers of one shard.
///
/// Guards against a step that no shard can hold, though its pool could: it runs one task on a worker
/// at the most, and three workers in ten may run it. 18 of 84 did where it had 24 tasks, and the
/// others waited for ever beside a pool that was mostly free. The widest steps have some 90 tasks; a
/// gang of as many that take half a worker each needs 44 at once, and of half a pool of 350 it has 52.
const SHARE: usize = 400;
/// The most shards.
const SHARDS: usize = 64;
/// How long the list of workers has to be still.
pub const STILL: Duration = Duration::from_millis(1500);
/// How long the list of workers is watched at the most.
pub const MOST: Duration = Duration::from_secs(5);

/// Watches the list of workers until it is whole.
///
/// Guards against a layout for the few workers that are listed first: all machines start at the same
/// moment, and the first member reads the list while the workers are still registering, one after the
/// other. The number of shards never changes, so that one member would own hundreds of workers.
#[derive(Debug)]
pub struct Census {
    begun: Time,
    most: usize,
    since: Time,
}

impl Census {
    /// A census that begins now.
    pub fn new(now: Time) -> Self {
        Census { begun: now, most: 0, since: now }
    }

    /// The list was read, with so many workers; whether it counts as whole.
    pub fn seen(&mut self, count: usize, now: Time) -> bool {
        if count > self.most {
            self.most = count;
            self.since = now;
        }
        let still = self.most > 0 && now - self.since >= STILL;
        still || now - self.begun >= MOST
    }
}

/// A layout for the workers that are listed.
///
/// Small deployments have one shard. In others each pool has shards of its own: a gang may need most
/// of the workers that may run it, so that a pool is divided only where it is too large for one
/// owner, and jobs of one pool are not held up by those of another.
pub fn layout(workers: &[Listed], secret: Box<str>) -> Layout {
    let mut of: BTreeMap<&PoolId, Vec<&Listed>> = BTreeMap::new();
    for worker in workers {
        of.entry(&worker.pool).or_default().push(worker);
    }
    let small = workers.len() <= SMALL;
    let (mut first, mut pools, mut homes) = (0, BTreeMap::new(), BTreeMap::new());
    for (pool, all) in of {
        let span = if small { Span(0, 1) } else { Span(first, parts(all.len())) };
        first += if small { 0 } else { span.1 };
        pools.insert(pool.clone(), span);
        homes.extend(spread(&all, span));
    }
    Layout { shards: first.max(1), secret, homes: homes.into_iter().collect(), pools }
}

/// The number of shards for so many workers.
fn parts(workers: usize) -> u16 {
    u16::try_from(workers.div_ceil(SHARE).clamp(1, SHARDS)).unwrap_or(1)
}

/// Which shard the worker at each address belongs to, of one pool.
///
/// Each shard gets as many workers as any other, but for one, as jobs are spread evenly too. Racks
/// stay together as far as that allows; those that follow each other are of different zones, so that
/// no shard loses all its workers with a zone. An address keeps its shard: its next worker belongs
/// there as well.
fn spread(workers: &[&Listed], span: Span) -> Vec<(SocketAddr, ShardNo)> {
    let mut zones: BTreeMap<&Zone, BTreeMap<&str, BTreeSet<SocketAddr>>> = BTreeMap::new();
    for w in workers {
        zones.entry(&w.zone).or_default().entry(w.rack()).or_default().insert(w.addr);
    }
    let mut racks: Vec<_> = zones.into_values().flat_map(|r| r.into_values().enumerate()).collect();
    racks.sort_by_key(|(place, _)| *place);
    let all: Vec<SocketAddr> = racks.into_iter().flat_map(|(_, addrs)| addrs).collect();
    let count = all.len();
    let shard = |at| (at * usize::from(span.1) / count) as u64;
    all.into_iter().enumerate().map(|(at, addr)| (addr, span.of(shard(at)))).collect()
}

impl Layout {
    /// The shard of a worker: that of its address, or by its rack where it came later.
    ///
    /// Guards against an address that another pool's worker has got: in the shard of the one before
    /// it would get no work.
    pub fn shard(&self, worker: &Listed) -> ShardNo {
        let span = self.span(&worker.pool);
        let known = self.homes.binary_search_by_key(&worker.addr, |(addr, _)| *addr).ok();
        let home = known.map(|at| self.homes[at].1).filter(|home| span.has(*home));
        home.unwrap_or_else(|| span.of(xxh3_64(worker.rack().as_bytes())))
    }

    /// The shard of a job of a queue with this pool, which no version of the configuration changes.
    pub fn of(&self, job: JobNo, pool: &PoolId) -> ShardNo {
        self.span(pool).of(xxh3_64(&job.0.to_le_bytes()))
    }

    /// The shards of a pool; one that came later has all.
    fn span(&self, pool: &PoolId) -> Span {
        self.pools.get(pool).copied().unwrap_or(Span(0, self.shards))
    }
}
