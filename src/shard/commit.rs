//! The group commit of a shard: writes all pending changes to the store, one transaction at a time.
//!
//! Every write expects the commit row as the previous write left it and changes it. A write whose
//! reply was lost has therefore either taken effect before the next write or never will. After an
//! unclear reply the commit row is read: its number shows whether the write took effect.

use {
    crate::{
        ports::{Fault, MAX_TXN_ROWS, StoreReply, Txn},
        shard::record::CommitRow,
        time::Time,
    },
    std::time::Duration,
};

/// The minimum interval between the starts of two writes. A store without load replies in 4 ms and
/// each call is charged for, so changes within this interval share a write.
const MIN_WRITE_INTERVAL: Duration = Duration::from_millis(20);
/// The minimum interval before a non-urgent write, such as the ends of tasks whose jobs continue.
/// Must not exceed the minimum time after which a worker is asked again while ends are unwritten.
const MIN_LAZY_WRITE_INTERVAL: Duration = Duration::from_millis(100);
/// The first and the longest pause after a refused write; the pause doubles with each refusal.
const WRITE_BACKOFF: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(400));

/// The maximum number of rows in a write, not counting the two entries for the commit row.
pub const MAX_PAYLOAD_ROWS: usize = MAX_TXN_ROWS - 2;

/// The action that follows from a reply of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// Nothing to do.
    Nothing,
    /// The write has taken effect.
    Done,
    /// The write has not taken effect: its contents have to be written again.
    Retry,
    /// Read the commit row.
    Reread,
    /// Another owner has written to the shard.
    Deposed,
}

/// The stage of the current write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum WriteStage {
    /// No write is in progress.
    Idle,
    /// The store has not replied to the write.
    Writing,
    /// The outcome of the write is unknown, and the commit row has yet to be read.
    Unclear,
    /// The commit row is being read.
    Reading,
}

/// The state of the group commit.
#[derive(Clone, Debug)]
pub struct GroupCommit {
    revision: u64,
    number: u64,
    stage: WriteStage,
    /// The earliest time of the next urgent write or of the next read of the commit row.
    next_attempt: Time,
    /// The earliest start of the next non-urgent write.
    next_lazy: Time,
    backoff: Duration,
}

impl GroupCommit {
    /// Creates the commit state of an owner that has written the commit row at `revision`.
    pub fn new(revision: u64) -> Self {
        let (next_attempt, next_lazy) = (Time::ZERO, Time::ZERO);
        GroupCommit {
            revision,
            number: 0,
            stage: WriteStage::Idle,
            next_attempt,
            next_lazy,
            backoff: WRITE_BACKOFF.0,
        }
    }

    /// Returns whether a write may begin now. `urgent` says whether a caller or a start waits for
    /// the write.
    pub fn may_begin(&self, urgent: bool, now: Time) -> bool {
        let from = if urgent { self.next_attempt } else { self.next_attempt.max(self.next_lazy) };
        self.stage == WriteStage::Idle && from <= now
    }

    /// Returns whether a write is in progress or its outcome is unknown.
    pub fn is_busy(&self) -> bool {
        self.stage != WriteStage::Idle
    }

    /// Begins a write; returns its number and the revision of the commit row that it must expect.
    pub fn begin(&mut self, now: Time) -> (u64, u64) {
        self.number += 1;
        self.stage = WriteStage::Writing;
        (self.next_attempt, self.next_lazy) =
            (now + MIN_WRITE_INTERVAL, now + MIN_LAZY_WRITE_INTERVAL);
        (self.number, self.revision)
    }

    /// Processes the store's reply to a write.
    pub fn on_reply(
        &mut self,
        number: u64,
        reply: &Result<StoreReply, Fault>,
        now: Time,
    ) -> WriteOutcome {
        if number != self.number || self.stage != WriteStage::Writing {
            return WriteOutcome::Nothing;
        }
        match reply {
            Ok(StoreReply::Done(revision)) => {
                self.record_done(*revision);
                WriteOutcome::Done
            }
            // The conflict may come from an earlier write of this owner that took effect after it
            // was considered failed, so the commit row is read first.
            Ok(StoreReply::Conflict(_)) | Err(Fault::Unknown) => {
                self.stage = WriteStage::Reading;
                WriteOutcome::Reread
            }
            _ => {
                self.back_off(now);
                WriteOutcome::Retry
            }
        }
    }

    /// Processes the commit row that was read: its revision and its number.
    pub fn on_reread(
        &mut self,
        row: Result<(u64, CommitRow), Fault>,
        token: u64,
        now: Time,
    ) -> WriteOutcome {
        if self.stage != WriteStage::Reading {
            return WriteOutcome::Nothing;
        }
        match row {
            Ok((_, row)) if row.token != token => WriteOutcome::Deposed,
            Ok((revision, row)) if row.number == self.number => {
                self.record_done(revision);
                WriteOutcome::Done
            }
            Ok((revision, ..)) => {
                self.revision = revision;
                self.back_off(now);
                WriteOutcome::Retry
            }
            Err(_) => {
                self.back_off(now);
                self.stage = WriteStage::Unclear;
                WriteOutcome::Nothing
            }
        }
    }

    /// Returns whether the commit row has to be read again now; if so, records that the read has
    /// begun.
    pub fn begin_reread(&mut self, now: Time) -> bool {
        let due = self.stage == WriteStage::Unclear && self.next_attempt <= now;
        if due {
            self.stage = WriteStage::Reading;
        }
        due
    }

    fn record_done(&mut self, revision: u64) {
        self.revision = revision;
        self.stage = WriteStage::Idle;
        self.backoff = WRITE_BACKOFF.0;
    }

    fn back_off(&mut self, now: Time) {
        self.stage = WriteStage::Idle;
        self.next_attempt = now + self.backoff;
        self.backoff = (self.backoff * 2).min(WRITE_BACKOFF.1);
    }
}

/// Returns the number of rows in a transaction.
pub fn row_count(txn: &Txn) -> usize {
    txn.expected_revs.len() + txn.puts.len() + txn.removed_keys.len()
}
