//! Reports of a shard's owner to callers and other members.
//!
//! An owner learns late that another member has taken its shard over, and that its own write of a
//! job's end has taken effect. Meanwhile others may have read newer states from the store. So an
//! owner vouches for a state that is not final only if its lease is certain and it has not begun to
//! write the job's end, whoever asks. A state that is final is reported once it is stored.

use {
    crate::{
        shard::state_machine::Shard,
        time::Time,
        work::{JobNo, JobState},
    },
    serde::{Deserialize, Serialize},
};

/// The state of a job as the owner of its shard reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum JobReport {
    /// The job was in this state at a moment after the owner had received the request.
    Current(JobState),
    /// The job has been in this state, which is not final. The store may have a later one.
    AtLeast(JobState),
}

impl JobReport {
    /// Returns the state that a caller is given if the store has `stored`.
    ///
    /// The start of a job's first task is not stored at once, so the store may have a job as queued
    /// whose owner has reported it as running.
    pub fn with_stored(self, stored: JobState) -> JobState {
        match (self, stored) {
            (JobReport::Current(state), _) => state,
            (JobReport::AtLeast(state), JobState::Queued) => state,
            (JobReport::AtLeast(_), stored) => stored,
        }
    }
}

impl Shard {
    /// Returns whether this owner may report its state to others.
    ///
    /// Guards against an owner that was paused or is cut off and already has a successor: it
    /// reported jobs as queued to callers who had been told that they were completed, and told the
    /// upkeep duty that a worker was empty. Nobody takes a shard over before its owner's lease has
    /// expired, and the lease lasts longer than `RENEWAL_VALID` from a renewal that the store has
    /// confirmed. Replies of workers are not sufficient: a successor may have completed a job
    /// between two of them. Nor is the table of the member that asks, which may be older than the
    /// takeover.
    pub fn may_report(&self, now: Time) -> bool {
        !self.deposed && self.is_confirmed(now)
    }

    /// Returns the state of a job, or `None` if the job is unknown here.
    ///
    /// `now` must not be earlier than the request.
    pub fn report(&self, no: JobNo, now: Time) -> Option<JobReport> {
        if let Some(end) = self.finished_jobs.get(&no) {
            // The end is stored, so it holds under any owner.
            return Some(JobReport::Current(*end));
        }
        let job = self.jobs.get(&no)?;
        // Until its end is stored, a power failure would make the job go on.
        let state = if job.state.is_final() { job.prior_state } else { job.state };
        // A write of the end may have taken effect, even if its reply says otherwise or is lost.
        Some(match self.may_report(now) && !job.end_sent {
            true => JobReport::Current(state),
            false => JobReport::AtLeast(state),
        })
    }
}
