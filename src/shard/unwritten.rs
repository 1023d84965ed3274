//! The jobs whose changes wait to be written to the store.

use {crate::work::JobNo, std::collections::VecDeque};

/// The number of ends that are written for each other change while both wait. A worker lists its
/// ends until the changes that they cause are stored.
const ENDS_PER_CHANGE: u32 = 3;

/// The jobs with changes that have not been written: ends, which callers wait for, and others.
///
/// A job that ends while an earlier change waits is in both queues; its second turn is skipped.
#[derive(Debug, Default)]
pub(super) struct UnwrittenJobs {
    ended: VecDeque<JobNo>,
    changed: VecDeque<JobNo>,
    /// The number of ends that were taken since the last other change.
    ends_taken: u32,
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
        let turn = self.ends_taken >= ENDS_PER_CHANGE && !self.changed.is_empty();
        if !turn && let Some(no) = self.ended.pop_front() {
            self.ends_taken += 1;
            return Some(no);
        }
        self.ends_taken = 0;
        self.changed.pop_front()
    }

    /// Removes the first jobs of both queues for which `is_written` returns true.
    pub fn skip_written(&mut self, is_written: impl Fn(&JobNo) -> bool) {
        for queue in [&mut self.ended, &mut self.changed] {
            while queue.front().is_some_and(&is_written) {
                queue.pop_front();
            }
        }
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
