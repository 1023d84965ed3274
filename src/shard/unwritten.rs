//! The jobs whose changes wait to be written to the store.

use {crate::work::JobNo, std::collections::VecDeque};

/// The jobs with changes that have not been written: ends, which callers wait for, before all others.
///
/// A job that ends while an earlier change waits is in both queues; its second turn is skipped.
#[derive(Debug, Default)]
pub(super) struct UnwrittenJobs {
    ended: VecDeque<JobNo>,
    changed: VecDeque<JobNo>,
}

impl UnwrittenJobs {
    /// Adds a job; `over` says whether it has ended.
    pub fn push(&mut self, no: JobNo, over: bool) {
        self.queue(over).push_back(no);
    }

    /// Returns a job whose write has failed to the front.
    pub fn push_front(&mut self, no: JobNo, over: bool) {
        self.queue(over).push_front(no);
    }

    /// Removes and returns the job that is written next.
    pub fn pop(&mut self) -> Option<JobNo> {
        self.ended.pop_front().or_else(|| self.changed.pop_front())
    }

    /// Returns whether no job waits.
    pub fn is_empty(&self) -> bool {
        self.ended.is_empty() && self.changed.is_empty()
    }

    /// Returns whether the end of a job waits.
    pub fn has_ended(&self) -> bool {
        !self.ended.is_empty()
    }

    /// Returns the number of entries.
    pub fn len(&self) -> usize {
        self.ended.len() + self.changed.len()
    }

    /// Returns the jobs whose ends wait, in the order in which they ended.
    pub fn ended(&self) -> impl Iterator<Item = &JobNo> {
        self.ended.iter()
    }

    fn queue(&mut self, over: bool) -> &mut VecDeque<JobNo> {
        if over { &mut self.ended } else { &mut self.changed }
    }
}
