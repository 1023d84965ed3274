//! What a shard knows of its customers' shares and quotas, and of the reports of other owners.

use {
    crate::{
        decide::{
            arrivals::Arrivals,
            share::{Holding, Shares},
        },
        ids::PoolId,
        shard::customer_cap::CustomerNo,
        time::Time,
        units::Size,
        work::StepKey,
    },
    rustc_hash::FxHashSet,
    std::{collections::BTreeMap, time::Duration},
};

/// The maximum age of another owner's report that is used.
pub const MAX_REPORT_AGE: Duration = Duration::from_millis(1500);

/// What a shard knows of its customers' shares.
#[derive(Clone, Debug, Default)]
pub(super) struct ShareState {
    pub shares: Shares,
    /// The pools by their index; a pool keeps its index.
    pub pools: Vec<PoolId>,
    /// The arrivals of each customer, by its number.
    pub arrivals: Vec<Arrivals>,
    /// The number of each customer's jobs that wait in this shard.
    pub waiting_jobs: Vec<usize>,
    /// The last report of each other shard.
    pub reports: BTreeMap<u16, KnownReport>,
    /// The steps that are not ordered behind those of other customers, as they have waited for long.
    pub exempt: FxHashSet<StepKey>,
    /// The customers that starts have brought above their share since their steps were ranked.
    pub crossed: FxHashSet<CustomerNo>,
    pub next_report: Time,
}

/// A report of another shard's owner, with the customers' numbers in this shard.
#[derive(Clone, Debug)]
pub(super) struct KnownReport {
    pub token: u64,
    pub at_ms: u64,
    pub received_at: Time,
    pub capacity: Size,
    pub holdings: Vec<(CustomerNo, usize, Holding)>,
}

impl ShareState {
    /// Returns the index of a pool, and adds the pool if it is new.
    pub fn pool_index(&mut self, pool: &PoolId) -> usize {
        self.pools.iter().position(|p| p == pool).unwrap_or_else(|| {
            self.pools.push(pool.clone());
            self.pools.len() - 1
        })
    }

    /// Returns the arrivals of a customer.
    pub fn arrivals_of(&mut self, no: CustomerNo) -> &mut Arrivals {
        if self.arrivals.len() <= no.0 {
            self.arrivals.resize_with(no.0 + 1, Arrivals::default);
        }
        &mut self.arrivals[no.0]
    }

    /// Returns the share of a customer, the one to which it is entitled, and how many of its jobs
    /// wait.
    pub fn usage(&self, no: CustomerNo) -> (f64, f64, usize) {
        let (share, entitled) = self.shares.share(no.0);
        (share, entitled, self.waiting_jobs.get(no.0).copied().unwrap_or(0))
    }
}

impl KnownReport {
    /// Returns whether the report is recent enough to be used.
    pub fn is_fresh(&self, unix_ms: u64, now: Time) -> bool {
        // The clocks of two members may differ, so the time of receipt counts as well.
        let age = Duration::from_millis(unix_ms.abs_diff(self.at_ms));
        age.max(now.since(self.received_at)) <= MAX_REPORT_AGE
    }
}
