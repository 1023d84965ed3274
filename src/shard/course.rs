//! The life cycle of a job: admission, creation of its occurrences, cancellation and end.

use crate::{
    shard::{
        jobs::Active,
        machine::Shard,
        record::{JobRecord, Progress},
    },
    time::Time,
    work::{JobNo, State, StepKey},
};

impl Shard {
    pub(super) fn admit(
        &mut self,
        no: JobNo,
        record: JobRecord,
        progress: Option<&Progress>,
        old: bool,
        now: Time,
    ) {
        if let Some(terms) = &record.terms
            && self.terms.get(&record.queue).is_none_or(|t| t.0 <= record.came)
        {
            self.terms.insert(record.queue.clone(), (record.came, terms.clone()));
        }
        self.restore_queues();
        let active = Active::new(record, progress, old, now);
        if active.job.times.is_some() {
            self.timed.insert(no);
        }
        self.jobs.insert(no, active);
        self.tell_known(no, now);
        if self.early.remove(&no) {
            return self.end(no, State::Cancelled, now);
        }
        self.unfold(no, now);
        self.finish_if_done(no, now);
    }

    /// Creates the steps of the occurrences that are due.
    pub(super) fn unfold(&mut self, no: JobNo, now: Time) {
        let unix = self.unix(now);
        let Some(job) = self.jobs.get_mut(&no) else { return };
        let steps = u16::try_from(job.job.steps.len()).unwrap_or(u16::MAX);
        let mut complete = true;
        for time in 0..job.times() {
            if job.due(time) > unix {
                complete = false;
                break;
            }
            for step in 0..steps {
                job.part(time, step);
            }
        }
        if complete {
            self.timed.remove(&no);
        }
        self.review(no, now);
    }

    /// Cancels a job, even if the job itself becomes known only later.
    ///
    /// Guards against a cancel that is read before its job, which happens when a range is read
    /// again after the store has lost its history: the job would run although its caller was told
    /// that it was cancelled.
    pub(super) fn cancel(&mut self, no: JobNo, now: Time) {
        match self.jobs.get(&no) {
            Some(job) if !job.state.over() => self.end(no, State::Cancelled, now),
            Some(_) => {}
            None if self.over.contains_key(&no) => {}
            None => {
                let unix = self.unix(now);
                if self.early.insert(no) {
                    self.purge.push_back((unix + self.kept(), no));
                }
            }
        }
    }

    /// Ends a job: none of its tasks starts any more, and its runs are stopped.
    pub(super) fn end(&mut self, no: JobNo, state: State, now: Time) {
        let Some(job) = self.jobs.get_mut(&no) else { return };
        job.state = state;
        let runs = job.there(no);
        let parts: Vec<_> = job.parts.keys().copied().collect();
        self.tell_over(no, state, runs.len(), now);
        for (time, step) in parts {
            self.unready(&StepKey { job: no, time, step });
        }
        for (task, at, _) in runs {
            self.stop(at, &task, now);
        }
        self.timed.remove(&no);
        self.touch(no);
    }

    /// Ends a job whose tasks are all done.
    pub(super) fn finish_if_done(&mut self, no: JobNo, now: Time) {
        if self.jobs.get(&no).is_some_and(|j| !j.state.over() && j.done()) {
            self.end(no, State::Done, now);
        }
    }
}
