//! The life cycle of a job: admission, creation of its occurrences, cancellation and end.

use {
    crate::{
        shard::{
            event::CancelSource,
            jobs::ActiveJob,
            record::{CancelRecord, JobRecord, Progress},
            state_machine::Shard,
        },
        time::Time,
        work::{JobNo, JobState, StepKey},
    },
    std::mem,
};

impl Shard {
    /// Adds a job whose record was read and creates its due steps. `old` says whether the job was
    /// read when this owner took over the shard.
    pub(super) fn admit_job(
        &mut self,
        no: JobNo,
        record: JobRecord,
        progress: Option<&Progress>,
        old: bool,
        now: Time,
    ) {
        if let Some(terms) = &record.queue_settings
            && self.queue_snapshots.get(&record.queue).is_none_or(|t| t.0 <= record.submitted_ms)
        {
            self.queue_snapshots.insert(record.queue.clone(), (record.submitted_ms, terms.clone()));
        }
        self.restore_queues();
        let customer = record.customer.as_ref().map(|name| self.customer_no(name));
        let early_cancel = self.early_cancels.remove(&no);
        let cancelled =
            early_cancel.as_ref().is_some_and(|c| c.scope.includes(record.customer.as_ref()));
        let mut active = ActiveJob::new(record, progress, old, now, self.setup.unix_ms);
        if active.pool.is_none() {
            active.pool = self.queue_configs.get(&active.queue).map(|q| q.pool.clone());
        }
        active.customer = customer;
        active.arrival = customer.map(|c| self.record_arrival(c, active.submitted_ms, now));
        if active.job.times.is_some() {
            self.scheduled_jobs.insert(no);
        }
        self.jobs.insert(no, active);
        self.log_known(no, now);
        if early_cancel.is_some() {
            // The job's progress is kept from the job's end, not from its cancel.
            self.purge_queue.retain(|(_, n)| *n != no);
        }
        if cancelled {
            return self.end_job(no, JobState::Cancelled, now);
        }
        self.create_due_steps(no, now);
        self.finish_if_done(no, now);
    }

    /// Creates the steps of the occurrences that are due.
    pub(super) fn create_due_steps(&mut self, no: JobNo, now: Time) {
        let unix = self.unix_ms(now);
        let Some(job) = self.jobs.get_mut(&no) else { return };
        let steps = u16::try_from(job.job.steps.len()).unwrap_or(u16::MAX);
        let mut complete = true;
        for time in 0..job.occurrences() {
            if job.due_ms(time) > unix {
                complete = false;
                break;
            }
            for step in 0..steps {
                job.step_state_mut(time, step);
            }
        }
        if complete {
            self.scheduled_jobs.remove(&no);
        }
        self.update_ready(no, now);
    }

    /// Cancels a job, even if the job itself becomes known only later.
    ///
    /// A cancel may be read before its job when a range is read again after the store has lost its
    /// history, and it may be stored before its job. If the cancel were ignored, the job would run although
    /// its caller was told that it was cancelled.
    pub(super) fn on_cancel(
        &mut self,
        no: JobNo,
        record: &CancelRecord,
        source: CancelSource,
        now: Time,
    ) {
        let Some(job) = self.jobs.get(&no) else {
            if !self.finished_jobs.contains_key(&no) {
                self.keep_early_cancel(no, record, source, now);
            }
            return;
        };
        let customer = job.customer.map(|c| &self.caps.customers[c.0].name);
        if !job.state.is_final() && record.scope.includes(customer) {
            self.log_cancel(no, record, source, true, now);
            self.end_job(no, JobState::Cancelled, now);
        }
    }

    /// Keeps the cancel of a job that is not known, for the retention of states after its last request.
    fn keep_early_cancel(
        &mut self,
        no: JobNo,
        record: &CancelRecord,
        source: CancelSource,
        now: Time,
    ) {
        let known = self.early_cancels.get(&no).cloned();
        if known.as_ref().is_some_and(|k| k.asked_ms >= record.asked_ms && k.scope == record.scope)
        {
            return;
        }
        self.log_cancel(no, record, source, false, now);
        let mut merged = record.clone();
        if let Some(known) = known {
            merged.merge(known);
            self.purge_queue.retain(|(_, n)| *n != no);
        }
        self.early_cancels.insert(no, merged);
        self.purge_queue.push_back((self.unix_ms(now) + self.retention_ms(), no));
    }

    /// Ends a job: none of its tasks starts any more, and its runs are stopped.
    pub(super) fn end_job(&mut self, no: JobNo, state: JobState, now: Time) {
        let Some(job) = self.jobs.get_mut(&no) else { return };
        job.prior_state = mem::replace(&mut job.state, state);
        job.ended_at = Some(now);
        let runs = job.assigned_runs(no);
        let parts: Vec<_> = job.step_states.keys().copied().collect();
        self.log_over(no, state, runs.len(), now);
        for (time, step) in parts {
            self.unready(&StepKey { job: no, time, step });
        }
        for (task, at, _) in runs {
            self.stop_run(at, &task, now);
        }
        self.scheduled_jobs.remove(&no);
        if self.jobs.get(&no).is_some_and(ActiveJob::is_unwritten) {
            self.unwritten.push(no, true);
        }
        self.mark_changed(no);
    }

    /// Ends a job whose tasks are all done.
    pub(super) fn finish_if_done(&mut self, no: JobNo, now: Time) {
        if self.jobs.get(&no).is_some_and(|j| !j.state.is_final() && j.is_done()) {
            self.end_job(no, JobState::Done, now);
        }
    }
}
