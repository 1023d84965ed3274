//! Limits the queries for job states that a member answers by reading the store.
//!
//! *Load pattern:* callers repeatedly query thousands of jobs while the owner of their shard is
//! away, is still reading the shard, or answers late. *Without it:* each query becomes two or three
//! reads. Together they use up the store's capacity for all members. The store then refuses writes
//! and lease renewals, also those of the owner, so jobs end even later, more of them are queried,
//! and the load outlasts its cause.
//!
//! *Thresholds:* a quarter of the store's capacity, divided equally among all members, so that
//! owners have the rest for ends, starts and takeovers. Up to a second of unused reads is saved,
//! since callers come in bursts.

use {crate::time::Time, std::time::Duration};

/// Share of the store's read capacity available for queries of states.
const STATE_SHARE: f64 = 0.25;
/// Time over which unused reads are saved.
const BURST_PERIOD: Duration = Duration::from_secs(1);
/// Maximum number of reads for one query.
const READS_PER_QUERY: f64 = 3.0;

/// Reads that one member may make to answer queries of states.
#[derive(Clone, Debug, Default)]
pub struct ReadBudget {
    /// Reads available at the time `refilled_at`.
    available: f64,
    refilled_at: Option<Time>,
}

impl ReadBudget {
    /// Returns whether one more query may be answered from the store, which serves `rate` reads per
    /// second to `members` members.
    pub fn admit(&mut self, rate: f64, members: usize, now: Time) -> bool {
        let member_rate = rate * STATE_SHARE / members.max(1) as f64;
        // Even a small share allows one query at a time.
        let max = (member_rate * BURST_PERIOD.as_secs_f64()).max(READS_PER_QUERY);
        let refilled = self.refilled_at.map_or(max, |at| member_rate * (now - at).as_secs_f64());
        self.available = (self.available + refilled).min(max);
        self.refilled_at = Some(now);
        let admitted = self.available >= READS_PER_QUERY;
        if admitted {
            self.available -= READS_PER_QUERY;
        }
        admitted
    }

    /// Makes the unused reads of a query that took `reads` reads available again.
    pub fn refund(&mut self, reads: u32) {
        self.available += (READS_PER_QUERY - f64::from(reads)).max(0.0);
    }
}
