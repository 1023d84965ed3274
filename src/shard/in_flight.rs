//! The contents of the write to the store that a shard has in progress.

use crate::{
    shard::{record::Progress, workers::WorkerNo},
    work::JobNo,
};

/// The contents of the write that is in progress.
#[derive(Clone, Debug, Default)]
pub(super) struct InFlight {
    /// The jobs in the write, each with the sequence number of its last written change and, if the
    /// job has ended, the progress that remains stored.
    pub jobs: Vec<(JobNo, u64, Option<Progress>)>,
    /// The finished jobs whose progress is removed, each with the Unix time in milliseconds from
    /// which that was permitted.
    pub purged: Vec<(u64, JobNo)>,
    /// The workers of the roster, if the write contains it.
    pub roster: Option<Box<[WorkerNo]>>,
}
