//! The contents of a shard's write that is in progress.

use crate::{
    shard::{record::Progress, workers::WorkerNo},
    work::JobNo,
};

/// The contents of the write that is in progress.
#[derive(Clone, Debug, Default)]
pub(super) struct InFlight {
    /// The jobs in the write, the journal position up to which each is covered, and the progress
    /// that stays stored for those that have ended.
    pub jobs: Vec<(JobNo, u64, Option<Progress>)>,
    /// The jobs whose records are removed, with the time from which they could be.
    pub purged: Vec<(u64, JobNo)>,
    /// The workers of the roster, if the write contains it.
    pub roster: Option<Vec<WorkerNo>>,
}
