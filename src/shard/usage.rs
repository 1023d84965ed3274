//! The report of an owner about what customers have in its shard, as owners send it to each other.

use {
    crate::{
        decide::share::Holding,
        ids::{CustomerId, PoolId},
        shard::record::ShardNo,
        units::{Accels, Cores, Memory, Size},
    },
    serde::{Deserialize, Serialize},
};

/// What the customers have in a shard.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UsageReport {
    /// The shard.
    pub shard: ShardNo,
    /// The token of the shard's owner; reports of former owners have a lower one.
    pub token: u64,
    /// The time at which the report was made, in milliseconds of the Unix clock.
    pub at_ms: u64,
    /// The capacity of the shard's workers.
    pub capacity: Amounts,
    /// The customers that have anything in the shard.
    pub customers: Vec<CustomerReport>,
}

/// What one customer has in a shard.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CustomerReport {
    /// The customer.
    pub name: CustomerId,
    /// For each pool, what its runs hold there and what its waiting tasks need.
    pub pools: Vec<(PoolId, Amounts, Amounts)>,
    /// The numbers of jobs that it has recently submitted, each with its age in buckets of
    /// [`crate::decide::arrivals::BUCKET_MS`].
    pub arrivals: Vec<(u64, u32)>,
}

/// A size as an array of thousandths of cores, mebibytes and accelerators: a report is sent several
/// times per second, and traffic between zones is expensive.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Amounts([u64; 3]);

impl CustomerReport {
    /// Creates a report from what the customer has running and waiting in each pool.
    pub fn new(
        name: CustomerId,
        pools: &[(PoolId, Size, Size)],
        arrivals: Vec<(u64, u32)>,
    ) -> Self {
        let pools = pools.iter().map(|(p, r, w)| (p.clone(), (*r).into(), (*w).into())).collect();
        CustomerReport { name, pools, arrivals }
    }

    /// Returns what the customer has in each pool.
    pub(super) fn holdings(&self) -> impl Iterator<Item = (PoolId, Holding)> {
        let pools = self.pools.iter();
        pools.map(|(pool, running, waiting)| {
            (pool.clone(), Holding { running: (*running).into(), waiting: (*waiting).into() })
        })
    }
}

impl From<Size> for Amounts {
    fn from(size: Size) -> Self {
        Amounts([size.cores.0, size.memory.0, size.accels.0])
    }
}

impl From<Amounts> for Size {
    fn from(Amounts([cores, memory, accels]): Amounts) -> Self {
        Size { cores: Cores(cores), memory: Memory(memory), accels: Accels(accels) }
    }
}
