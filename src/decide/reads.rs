//! How many questions for the states of jobs a member may settle by reading the store.
//!
//! *Load pattern:* callers ask again and again for thousands of jobs, and the owner of their shard is
//! away, is still reading it or answers late. *Without it:* each question becomes two or three reads.
//! They take all that the store serves to all members, which then refuses writes and renewals, the
//! owner's among them: jobs end later still, more of them are asked for, and the load goes on when its
//! cause is gone.
//!
//! *Thresholds:* a quarter of what the store serves, in equal parts for all members, so that owners have
//! the rest for ends, starts and takeovers. What gathers while nobody asks is worth a second: callers
//! come in bursts.

use {crate::time::Time, std::time::Duration};

/// The part of the store's reads that states may take.
const SHARE: f64 = 0.25;
/// For how long unused reads gather.
const GATHERS: Duration = Duration::from_secs(1);
/// The reads of one question where they are most.
const QUESTION: f64 = 3.0;

/// The reads that one member may make for states.
#[derive(Clone, Debug, Default)]
pub struct Reads {
    /// What was left, and when.
    left: f64,
    at: Option<Time>,
}

impl Reads {
    /// Whether one more question may be settled by the store, which serves so many reads a second to so
    /// many members.
    pub fn admit(&mut self, rate: f64, members: usize, now: Time) -> bool {
        let each = rate * SHARE / members.max(1) as f64;
        // A small share has room for one question all the same.
        let most = (each * GATHERS.as_secs_f64()).max(QUESTION);
        let gained = self.at.map_or(most, |at| each * (now - at).as_secs_f64());
        self.left = (self.left + gained).min(most);
        self.at = Some(now);
        let admitted = self.left >= QUESTION;
        if admitted {
            self.left -= QUESTION;
        }
        admitted
    }

    /// Takes back what a question didn't need that took so many reads.
    pub fn settled(&mut self, reads: u32) {
        self.left += (QUESTION - f64::from(reads)).max(0.0);
    }
}
