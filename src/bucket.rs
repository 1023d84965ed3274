//! One bucket of jobs and keys at its owner: claims and attempts, written by one group commit.
//!
//! Owns the bucket's record. Calls [`claims`](crate::claims), [`attempts`](crate::attempts) and
//! [`commit`](crate::commit); called by [`jobs`](crate::jobs).

mod history;

use {
    self::history::JobHistories,
    crate::{
        Time,
        attempts::{Attempts, Place, Refused},
        claims::Claims,
        commit::{Commit, Step},
        ids::{Attempt, Epoch, Incarnation, JobId, Revision, TaskId},
        messages::{
            BucketRecord, ClaimAsk, ClaimEnd, EndItem, KvPutReply, ProbeItem, TaskReport, TaskState,
        },
    },
};
pub use {self::history::JobHistory, crate::effect::Order};

/// The state of a bucket at its owner.
pub struct Bucket {
    commit: Commit,
    claims: Claims,
    attempts: Attempts,
    histories: JobHistories,
    lease_end: Time,
    out: Vec<Order>,
}

impl Bucket {
    /// Creates the bucket at a new owner; `unix` is the Unix time at [`Time::ZERO`], in seconds.
    pub fn new(epoch: Epoch, owner: Incarnation, unix: u64) -> Self {
        Bucket {
            commit: Commit::new(epoch, owner),
            claims: Claims::new(unix),
            attempts: Attempts::new(epoch),
            histories: JobHistories::default(),
            lease_end: Time::ZERO,
            out: Vec::new(),
        }
    }

    /// Sets the time until which no other member can take over the bucket.
    pub fn renew(&mut self, lease_end: Time) {
        self.lease_end = self.lease_end.max(lease_end);
    }

    /// Whether the previous owner's record has been read, so that attempts can be created.
    pub fn ready(&self) -> bool {
        self.commit.ready() && !self.commit.lost()
    }

    /// Whether changes wait for the write budget.
    pub fn write_pending(&self) -> bool {
        self.commit.waits()
    }

    /// Whether a claim request awaits its verdict.
    pub fn claim_pending(&self) -> bool {
        self.claims.pending()
    }

    /// The attempts, read-only.
    pub fn attempts(&self) -> &Attempts {
        &self.attempts
    }

    /// Decides on a claim request.
    pub fn claim(&mut self, ask: ClaimAsk, now: Time) {
        self.claims.ask(ask, now, &mut self.commit, &mut self.out);
    }

    /// Records how a claimed request ended. The sender repeats the notice until [`Order::EndCommitted`]
    /// confirms it.
    pub fn end_claim(&mut self, end: ClaimEnd, call: u64) {
        self.claims.end(end, call, &mut self.commit, &mut self.out);
    }

    /// Creates the next attempt of a task; errs as [`Attempts::place`] does.
    pub fn place(&mut self, place: Place, now: Time) -> Result<Attempt, Refused> {
        self.attempts.place(place, now, &mut self.commit)
    }

    /// Requests that a task's attempt be stopped.
    pub fn stop(&mut self, task: &TaskId) {
        self.attempts.stop(task, &mut self.commit, &mut self.out);
    }

    /// Applies the reported state of an attempt.
    pub fn update_attempt(&mut self, item: &EndItem) {
        self.attempts.update(&item.task, item.attempt, item.state, &mut self.commit);
    }

    /// Applies a worker's report that was true at `taken` to the attempts that it was asked for.
    pub fn report(&mut self, asked: &[ProbeItem], taken: Time, tasks: &[TaskReport]) {
        self.attempts.report(asked, taken, tasks, &mut self.commit);
    }

    /// Records that an attempt's lease will not be renewed beyond `until`.
    pub fn cap_lease(&mut self, task: &TaskId, attempt: Attempt, until: Time) {
        self.attempts.cap_lease(task, attempt, until);
    }

    /// The stored data of a job besides its attempts.
    pub fn history(&self, job: &JobId) -> Option<&JobHistory> {
        self.histories.get(job)
    }

    /// The jobs with stored data besides their attempts.
    pub fn jobs(&self) -> impl Iterator<Item = &JobId> {
        self.histories.names()
    }

    /// Adds a job with this Unix time as its start, unless it is known.
    pub fn add_job(&mut self, job: &JobId, unix: u64) {
        if self.histories.add(job, unix) {
            self.commit.touch();
        }
    }

    /// Records a task that has ended successfully by index only; it will not be started again.
    pub fn mark_ended(&mut self, task: &TaskId) {
        let ended = self.attempts.get(task).is_some_and(|r| r.state == TaskState::Ended);
        if ended && self.histories.mark_ended(task) {
            let _ = self.attempts.remove(task, &mut self.commit);
        }
    }

    /// Drops the ended tasks of a gang unless all of its tasks have ended.
    pub fn drop_partial_gang(&mut self, job: &JobId, tasks: u32) {
        if self.histories.drop_partial_gang(job, tasks) {
            self.attempts.skip_removed();
            self.commit.touch();
        }
    }

    /// Stores the reason why a job was given up.
    pub fn set_fault(&mut self, job: &JobId, fault: &str) {
        if self.histories.set_fault(job, fault) {
            self.commit.touch();
        }
    }

    /// Removes the stored data of a job besides its attempts.
    pub fn remove_job(&mut self, job: &JobId) {
        if self.histories.remove(job) {
            self.attempts.skip_removed();
            self.commit.touch();
        }
    }

    /// Removes a task; errs if an attempt may be running.
    pub fn remove_task(&mut self, task: &TaskId) -> Result<(), Refused> {
        self.attempts.remove(task, &mut self.commit)?;
        self.attempts.skip_removed();
        Ok(())
    }

    /// Handles the reply to a write; `None` if there was none in time.
    pub fn written(&mut self, call: u64, reply: Option<&KvPutReply>, now: Time) {
        let step = self.commit.wrote(call, reply);
        self.step(step, now);
    }

    /// Handles the reply to a read: `None` if there was no reply, `Some(None)` if there is no
    /// record.
    pub fn read(
        &mut self,
        call: u64,
        reply: Option<Option<(Revision, Box<BucketRecord>)>>,
        now: Time,
    ) {
        let step = self.commit.read(call, reply, now);
        self.step(step, now);
    }

    /// Does the work that is due and returns the orders. Must be called after each event and
    /// periodically.
    pub fn orders(&mut self, now: Time) -> Vec<Order> {
        if !self.commit.lost() {
            self.claims.tick(now, &mut self.commit, &mut self.out);
            self.attempts.tick(now, &mut self.commit);
        }
        let call = self.commit.next(now, |record| {
            record.claims.extend(self.claims.rows().cloned());
            record.tasks.extend(self.attempts.rows().cloned());
            record.jobs.extend(self.histories.rows());
        });
        self.out.extend(call.map(Order::Kv));
        std::mem::take(&mut self.out)
    }

    fn step(&mut self, step: Step, now: Time) {
        match step {
            Step::Nothing => {}
            Step::Done => {
                self.claims.committed(&mut self.commit, &mut self.out);
                self.attempts.committed(now, self.lease_end, &mut self.commit, &mut self.out);
            }
            Step::Adopt(record) => {
                let (claims, tasks, jobs) =
                    record.map_or_else(Default::default, |r| (r.claims, r.tasks, r.jobs));
                self.claims.adopt(claims, now);
                self.attempts.restore(tasks, now);
                self.histories = JobHistories::restore(jobs);
            }
            Step::Lost => {
                self.claims.lost(&mut self.out);
                self.out.push(Order::Lost);
            }
        }
    }
}
