//! The cancels that a member has lately acknowledged to callers.
//!
//! An owner that can't read its inbox asks all members for theirs. A cancel is acknowledged by a member
//! and by nobody else, so the answers of all members say as much as the store, also while it is away.

use {
    crate::{
        shard::record::{CancelRecord, ShardNo},
        time::Time,
        work::JobNo,
    },
    std::{collections::VecDeque, time::Duration},
};

/// Time for which a cancel is kept.
const RETENTION: Duration = Duration::from_secs(60);
/// Maximum number of cancels that are kept; some 100 bytes each.
const MAX_CANCELS: usize = 20_000;

/// A cancel that a member has acknowledged.
#[derive(Clone, Debug, PartialEq)]
pub struct AcknowledgedCancel {
    /// The shard of the job.
    pub shard: ShardNo,
    /// The cancelled job.
    pub job: JobNo,
    /// The cancel, as stored.
    pub record: CancelRecord,
}

/// The cancels that a member has acknowledged since some time, in order. A process that has just started
/// has acknowledged none, so its empty log is complete.
#[derive(Debug, Default)]
pub struct CancelLog {
    /// The log has all cancels since this time.
    complete_since: Time,
    cancels: VecDeque<(Time, AcknowledgedCancel)>,
}

impl CancelLog {
    /// Records a cancel. This must happen before the caller gets the answer.
    pub fn record(&mut self, cancel: AcknowledgedCancel, now: Time) {
        self.cancels.push_back((now, cancel));
        let is_kept = |at: Time, len| at + RETENTION > now && len <= MAX_CANCELS;
        while let Some((at, _)) = self.cancels.front()
            && !is_kept(*at, self.cancels.len())
        {
            self.complete_since = *at + Duration::from_micros(1);
            self.cancels.pop_front();
        }
    }

    /// Returns the cancels in these shards of the last `age`; `None` if the log doesn't reach back so
    /// far.
    pub fn last(
        &self,
        shards: &[ShardNo],
        age: Duration,
        now: Time,
    ) -> Option<Vec<AcknowledgedCancel>> {
        let from = now - age;
        if from < self.complete_since {
            return None;
        }
        let first = self.cancels.partition_point(|(at, _)| *at < from);
        let recent = self.cancels.range(first..).map(|(_, c)| c);
        Some(recent.filter(|c| shards.contains(&c.shard)).cloned().collect())
    }
}
