//! What the write of a shard that is out holds.

use crate::{
    shard::{record::Progress, workers::WorkerNo},
    work::JobNo,
};

/// What the write that is out holds.
#[derive(Clone, Debug, Default)]
pub(super) struct Flight {
    /// Jobs, the places in the journal up to which they are held, and what stays of those over.
    pub jobs: Vec<(JobNo, u64, Option<Progress>)>,
    /// Jobs that are forgotten, and since when they could be.
    pub purged: Vec<(u64, JobNo)>,
    /// The roster, where it is written.
    pub roster: Option<Vec<WorkerNo>>,
}
