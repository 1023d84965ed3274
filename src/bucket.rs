//! One bucket of jobs and keys at its owner: claims and attempts over one group commit.
//!
//! Owns one bucket's record. Calls [`claims`](crate::claims), [`attempts`](crate::attempts) and
//! [`commit`](crate::commit); [`jobs`](crate::jobs) calls it.

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

/// A bucket at its owner.
pub struct Bucket {
    commit: Commit,
    claims: Claims,
    attempts: Attempts,
    pasts: Pasts,
    sure: Time,
    out: Vec<Order>,
}

impl Bucket {
    /// The bucket at a new owner; `unix` is the Unix clock at [`Time::ZERO`], in seconds.
    pub fn new(epoch: Epoch, owner: Incarnation, unix: u64) -> Self {
        Bucket {
            commit: Commit::new(epoch, owner),
            claims: Claims::new(unix),
            attempts: Attempts::default(),
            pasts: Pasts::default(),
            sure: Time::ZERO,
            out: Vec::new(),
        }
    }

    /// Notes until when no other member can take the bucket over.
    pub fn renew(&mut self, sure: Time) {
        self.sure = self.sure.max(sure);
    }

    /// Whether the record has been taken over, so that attempts can be made.
    pub fn ready(&self) -> bool {
        self.commit.ready() && !self.commit.lost()
    }

    /// Whether changes wait for the budget of writes.
    pub fn waits(&self) -> bool {
        self.commit.waits()
    }

    /// Whether an ask for a claim waits for its verdict.
    pub fn pending(&self) -> bool {
        self.claims.pending()
    }

    /// The attempts, to be read.
    pub fn attempts(&self) -> &Attempts {
        &self.attempts
    }

    /// Decides on an ask for a claim.
    pub fn ask(&mut self, ask: ClaimAsk, now: Time) {
        self.claims.ask(ask, now, &mut self.commit, &mut self.out);
    }

    /// Takes word of how a claimed request ended, which is sent until [`Order::Kept`] comes.
    pub fn end(&mut self, end: ClaimEnd, call: u64) {
        self.claims.end(end, call, &mut self.commit, &mut self.out);
    }

    /// Makes the next attempt of a task; errs where [`Attempts::place`] does.
    pub fn place(&mut self, place: Place, now: Time) -> Result<Attempt, Refused> {
        self.attempts.place(place, now, &mut self.commit)
    }

    /// Asks for a task's attempt to be stopped.
    pub fn stop(&mut self, task: &TaskId) {
        self.attempts.stop(task, &mut self.commit, &mut self.out);
    }

    /// Takes word of an attempt that runs or has ended.
    pub fn heard(&mut self, item: &EndItem) {
        self.attempts.heard(&item.task, item.attempt, item.state, &mut self.commit);
    }

    /// Takes a worker's report that was true at `taken`.
    pub fn report(&mut self, worker: &WorkerId, taken: Time, tasks: &[TaskReport]) {
        self.attempts.report(worker, taken, tasks, &mut self.commit);
    }

    /// Takes the promise that an attempt's lease is not renewed beyond `until`.
    pub fn cut(&mut self, task: &TaskId, attempt: Attempt, until: Time) {
        self.attempts.cut(task, attempt, until);
    }

    /// What is kept of a job beyond its attempts.
    pub fn past(&self, job: &JobId) -> Option<&Past> {
        self.pasts.get(job)
    }

    /// The jobs of which anything is kept beyond their attempts.
    pub fn jobs(&self) -> impl Iterator<Item = &JobId> {
        self.pasts.names()
    }

    /// Takes a job in at this time by the Unix clock, unless it is known.
    pub fn begin(&mut self, job: &JobId, unix: u64) {
        if self.pasts.begin(job, unix) {
            self.commit.touch();
        }
    }

    /// Keeps a task that has ended well by its number alone; nothing of it is started any more.
    pub fn finish(&mut self, task: &TaskId) {
        let ended = self.attempts.get(task).is_some_and(|r| r.state == TaskState::Ended);
        if ended && self.pasts.finish(task) {
            let _ = self.attempts.forget(task, &mut self.commit);
        }
    }

    /// Drops the ended tasks of a job of which not all have ended: a gang ends whole.
    pub fn keep_whole(&mut self, job: &JobId, tasks: u32) {
        if self.pasts.keep_whole(job, tasks) {
            self.commit.touch();
        }
    }

    /// Keeps why a job was given up.
    pub fn give_up(&mut self, job: &JobId, fault: &str) {
        if self.pasts.give_up(job, fault) {
            self.commit.touch();
        }
    }

    /// Drops what is kept of a job beyond its attempts.
    pub fn forget_job(&mut self, job: &JobId) {
        if self.pasts.forget(job) {
            self.commit.touch();
        }
    }

    /// Drops a task; errs where an attempt may be running.
    pub fn forget(&mut self, task: &TaskId) -> Result<(), Refused> {
        self.attempts.forget(task, &mut self.commit)
    }

    /// Takes the answer to a write, `None` where there was none in time.
    pub fn wrote(&mut self, call: u64, reply: Option<&KvPutReply>, now: Time) {
        let step = self.commit.wrote(call, reply);
        self.step(step, now);
    }

    /// Takes the answer to a read, `None` where there was none, `Some(None)` where no record is.
    pub fn read(
        &mut self,
        call: u64,
        reply: Option<Option<(Revision, Box<BucketRecord>)>>,
        now: Time,
    ) {
        let step = self.commit.read(call, reply, now);
        self.step(step, now);
    }

    /// Does what is due and takes out the orders; to be called after each event and in idle times.
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
                self.attempts.committed(now, self.sure, &mut self.commit, &mut self.out);
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
