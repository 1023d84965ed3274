//! How the layout of a cell is made: how many shards there are, and which workers belong to each.
//!
//! The layout is made once, by the member that writes it first, and never changes. Nothing here has
//! a clock or does I/O.

use {
    crate::{
        shard::record::{Layout, ShardNo},
        table::shard_of,
        time::Time,
        work::Listed,
    },
    std::{collections::BTreeMap, net::SocketAddr, time::Duration},
};

/// The workers of one shard.
///
/// One owner on half a core bears some 60 workers with 170 starts a second; a deployment of 48
/// workers stays whole.
const SHARE: usize = 64;
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

/// The number of shards for so many workers.
pub fn shards(workers: usize) -> u16 {
    u16::try_from(workers.div_ceil(SHARE).clamp(1, SHARDS)).unwrap_or(1)
}

/// Which shard the worker at each address belongs to, in order of addresses.
///
/// Each shard gets as many workers of each pool as any other, but for one, as jobs are spread evenly
/// too. Racks stay together as far as that allows; those that follow each other are of different
/// zones, so that no shard loses all its workers with a zone. An address keeps its shard: its next
/// worker belongs there as well.
pub fn homes(workers: &[Listed], shards: u16) -> Vec<(SocketAddr, ShardNo)> {
    let mut pools: BTreeMap<_, BTreeMap<_, BTreeMap<&str, Vec<SocketAddr>>>> = BTreeMap::new();
    for w in workers {
        let zones = pools.entry(&w.pool).or_default();
        zones.entry(&w.zone).or_default().entry(w.rack()).or_default().push(w.addr);
    }
    let mut homes = BTreeMap::new();
    for zones in pools.into_values() {
        let mut racks: Vec<(usize, Vec<SocketAddr>)> =
            zones.into_values().flat_map(|racks| racks.into_values().enumerate()).collect();
        racks.sort_by_key(|(place, _)| *place);
        let all: Vec<SocketAddr> = racks.into_iter().flat_map(|(_, addrs)| sorted(addrs)).collect();
        for (at, addr) in all.iter().enumerate() {
            let shard = at * usize::from(shards.max(1)) / all.len();
            homes.insert(*addr, ShardNo(u16::try_from(shard).unwrap_or(0)));
        }
    }
    homes.into_iter().collect()
}

fn sorted(mut addrs: Vec<SocketAddr>) -> Vec<SocketAddr> {
    addrs.sort_unstable();
    addrs
}

impl Layout {
    /// The shard of a worker: that of its address, or by its rack where it came later.
    pub fn shard(&self, worker: &Listed) -> ShardNo {
        match self.homes.binary_search_by_key(&worker.addr, |(addr, _)| *addr) {
            Ok(at) => self.homes[at].1,
            Err(_) => shard_of(worker, self.shards),
        }
    }
}
