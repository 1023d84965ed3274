//! Limits the queries for job states that a member answers by reading the store.
//!
//! *Load pattern:* callers repeatedly query thousands of jobs while the owner of their shard is
//! away, is still reading the shard, answers late, or is not sure of its lease. *Without it:* each
//! query becomes two or three reads in each shard that may have the job. Together they use up the
//! store's capacity for all members. The store then refuses writes and lease renewals, also those of
//! the owner, so jobs end even later, more of them are queried, and the load outlasts its cause.
//!
//! *Thresholds:* a quarter of the store's capacity, divided equally among all members, so that
//! owners have the rest for ends, starts and takeovers. Up to a second of unused reads is saved,
//! since callers come in bursts.

use {crate::time::Time, std::time::Duration};

/// Fraction of the store's read capacity that all members together use for queries of job states.
const STATE_QUERY_SHARE: f64 = 0.25;
/// Maximum time for which unused reads are saved for a burst of queries.
const BURST_PERIOD: Duration = Duration::from_secs(1);
/// Maximum number of store reads that one query takes in each shard that may have the job.
const MAX_READS_PER_SHARD: f64 = 3.0;

/// Budget of store reads with which one member answers queries of job states.
#[derive(Clone, Debug, Default)]
pub struct ReadBudget {
    /// Number of reads that were available at the time `refilled_at`.
    available_reads: f64,
    refilled_at: Option<Time>,
}

impl ReadBudget {
    /// Returns whether one more query may be answered from the store, for a job that may be in this
    /// number of shards. The store serves `rate` reads per second to `members` members.
    pub fn admit_query(&mut self, shards: usize, rate: f64, members: usize, now: Time) -> bool {
        let member_rate = rate * STATE_QUERY_SHARE / members.max(1) as f64;
        let most = MAX_READS_PER_SHARD * shards as f64;
        // At least one query is allowed, however small this member's share is.
        let max = (member_rate * BURST_PERIOD.as_secs_f64()).max(most).max(self.available_reads);
        let refilled = self.refilled_at.map_or(max, |at| member_rate * (now - at).as_secs_f64());
        self.available_reads = (self.available_reads + refilled).min(max);
        self.refilled_at = Some(now);
        let admitted = self.available_reads >= most;
        if admitted {
            self.available_reads -= most;
        }
        admitted
    }

    /// Returns the unused reads of a query in this number of shards to the budget; `reads` is the
    /// number that it used.
    pub fn refund_reads(&mut self, shards: usize, reads: u32) {
        self.available_reads += (MAX_READS_PER_SHARD * shards as f64 - f64::from(reads)).max(0.0);
    }
}
