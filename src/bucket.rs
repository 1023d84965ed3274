//! One bucket of jobs and keys at its owner: claims and attempts, written by one group commit.
//!
//! Owns the bucket's record. Calls [`claims`](crate::claims), [`attempts`](crate::attempts) and
//! [`commit`](crate::commit); called by [`jobs`](crate::jobs).

mod past;

pub use {self::past::Past, crate::effect::Order};
use {
    self::past::Pasts,
    crate::{
        Time,
        attempts::{Attempts, Place, Refused},
        claims::Claims,
        commit::{Commit, Step},
        ids::{Attempt, Epoch, Incarnation, JobId, Revision, TaskId, WorkerId},
        messages::{BucketRecord, ClaimAsk, ClaimEnd, EndItem, KvPutReply, TaskReport, TaskState},
    },
};

/// The state of a bucket at its owner.
pub struct Bucket {
    commit: Commit,
    claims: Claims,
    attempts: Attempts,
    pasts: Pasts,
    lease_end: Time,
    out: Vec<Order>,
}

impl Bucket {
    /// Creates the bucket at a new owner; `unix` is the Unix time at [`Time::ZERO`], in seconds.
    pub fn new(epoch: Epoch, owner: Incarnation, unix: u64) -> Self {
        Bucket {
            commit: Commit::new(epoch, owner),
            claims: Claims::new(unix),
            attempts: Attempts::default(),
            pasts: Pasts::default(),
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
    pub fn waits(&self) -> bool {
        self.commit.waits()
    }

    /// Whether a claim request awaits its verdict.
    pub fn pending(&self) -> bool {
        self.claims.pending()
    }

    /// The attempts, read-only.
    pub fn attempts(&self) -> &Attempts {
        &self.attempts
    }

    /// Decides on a claim request.
    pub fn ask(&mut self, ask: ClaimAsk, now: Time) {
        self.claims.ask(ask, now, &mut self.commit, &mut self.out);
    }

    /// Records how a claimed request ended. The sender repeats the notice until [`Order::Kept`]
    /// confirms it.
    pub fn end(&mut self, end: ClaimEnd, call: u64) {
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
    pub fn heard(&mut self, item: &EndItem) {
        self.attempts.heard(&item.task, item.attempt, item.state, &mut self.commit);
    }

    /// Applies a worker's report that was true at `taken`.
    pub fn report(&mut self, worker: &WorkerId, taken: Time, tasks: &[TaskReport]) {
        self.attempts.report(worker, taken, tasks, &mut self.commit);
    }

    /// Records that an attempt's lease will not be renewed beyond `until`.
    pub fn cut(&mut self, task: &TaskId, attempt: Attempt, until: Time) {
        self.attempts.cut(task, attempt, until);
    }

    /// The stored data of a job besides its attempts.
    pub fn past(&self, job: &JobId) -> Option<&Past> {
        self.pasts.get(job)
    }

    /// The jobs with stored data besides their attempts.
    pub fn jobs(&self) -> impl Iterator<Item = &JobId> {
        self.pasts.names()
    }

    /// Adds a job with this Unix time as its start, unless it is known.
    pub fn begin(&mut self, job: &JobId, unix: u64) {
        if self.pasts.begin(job, unix) {
            self.commit.touch();
        }
    }

    /// Records a task that has ended successfully by index only; it will not be started again.
    pub fn finish(&mut self, task: &TaskId) {
        let ended = self.attempts.get(task).is_some_and(|r| r.state == TaskState::Ended);
        if ended && self.pasts.finish(task) {
            let _ = self.attempts.forget(task, &mut self.commit);
        }
    }

    /// Drops the ended tasks of a gang unless all of its tasks have ended.
    pub fn keep_whole(&mut self, job: &JobId, tasks: u32) {
        if self.pasts.keep_whole(job, tasks) {
            self.commit.touch();
        }
    }

    /// Stores the reason why a job was given up.
    pub fn give_up(&mut self, job: &JobId, fault: &str) {
        if self.pasts.give_up(job, fault) {
            self.commit.touch();
        }
    }

    /// Removes the stored data of a job besides its attempts.
    pub fn forget_job(&mut self, job: &JobId) {
        if self.pasts.forget(job) {
            self.commit.touch();
        }
    }

    /// Removes a task; errs if an attempt may be running.
    pub fn forget(&mut self, task: &TaskId) -> Result<(), Refused> {
        self.attempts.forget(task, &mut self.commit)
    }

    /// Handles the reply to a write; `None` if there was none in time.
    pub fn wrote(&mut self, call: u64, reply: Option<&KvPutReply>, now: Time) {
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
            record.jobs.extend(self.pasts.rows());
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
                self.attempts.adopt(tasks, now);
                self.pasts = Pasts::adopt(jobs);
            }
            Step::Lost => {
                self.claims.lost(&mut self.out);
                self.out.push(Order::Lost);
            }
        }
    }
}
