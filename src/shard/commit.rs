//! The group commit of a shard: what has changed goes to the store, one write at a time.
//!
//! Every write expects the commit row as the last one left it and changes it, so that a write whose
//! answer was lost either has taken effect before the next one or never will. After an unclear
//! answer the row is read: its number says whether the write was done.

use {
    crate::{
        ports::{Fault, ROWS, StoreReply, Txn},
        shard::record::CommitRow,
        time::Time,
    },
    std::time::Duration,
};

/// Between the beginnings of two writes, at least: a quiet store answers in 4 ms, and each call is
/// paid for, so that what ends within this time goes along.
const GAP: Duration = Duration::from_millis(20);
/// The same, where nobody waits for what is written: ends of tasks of jobs that go on. A hold comes
/// back for unwritten ends after 120 ms, so that this may not be longer.
const LAZY: Duration = Duration::from_millis(100);
/// The pause after a refusal, doubled up to the second.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(400));

/// The rows that a write may have besides the commit row's own two.
pub const FREE: usize = ROWS - 2;

/// What has to be done after an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum After {
    /// Nothing.
    Nothing,
    /// The write is done.
    Done,
    /// The write was not done: what it held has to be written again.
    Again,
    /// Read the commit row.
    Reread,
    /// Another owner has written.
    Deposed,
}

/// How the write stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Idle,
    Writing,
    Unclear,
    Reading,
}

/// The state of the group commit.
#[derive(Clone, Debug)]
pub struct Commit {
    rev: u64,
    number: u64,
    stage: Stage,
    next: Time,
    /// When a write may begin that nobody waits for.
    lazy: Time,
    pause: Duration,
}

impl Commit {
    /// The commit of an owner that has written the commit row at `rev`.
    pub fn new(rev: u64) -> Self {
        let (next, lazy) = (Time::ZERO, Time::ZERO);
        Commit { rev, number: 0, stage: Stage::Idle, next, lazy, pause: BACKOFF.0 }
    }

    /// Whether a write may begin, which somebody waits for or not.
    pub fn open(&self, urgent: bool, now: Time) -> bool {
        let from = if urgent { self.next } else { self.next.max(self.lazy) };
        self.stage == Stage::Idle && from <= now
    }

    /// Whether a write is out.
    pub fn busy(&self) -> bool {
        self.stage != Stage::Idle
    }

    /// Begins a write; returns its number and the revision that it must expect of the commit row.
    pub fn begin(&mut self, now: Time) -> (u64, u64) {
        self.number += 1;
        self.stage = Stage::Writing;
        (self.next, self.lazy) = (now + GAP, now + LAZY);
        (self.number, self.rev)
    }

    /// Takes in the store's answer to a write.
    pub fn stored(&mut self, number: u64, reply: &Result<StoreReply, Fault>, now: Time) -> After {
        if number != self.number || self.stage != Stage::Writing {
            return After::Nothing;
        }
        match reply {
            Ok(StoreReply::Done(rev)) => {
                self.done(*rev);
                After::Done
            }
            // Its own earlier write may have taken effect after it was given up: read before judging.
            Ok(StoreReply::Conflict(_)) | Err(Fault::Unknown) => {
                self.stage = Stage::Reading;
                After::Reread
            }
            _ => {
                self.back_off(now);
                After::Again
            }
        }
    }

    /// Takes in the commit row, as it was read: its revision and number.
    pub fn reread(&mut self, row: Result<(u64, CommitRow), Fault>, token: u64, now: Time) -> After {
        if self.stage != Stage::Reading {
            return After::Nothing;
        }
        match row {
            Ok((_, row)) if row.token != token => After::Deposed,
            Ok((rev, row)) if row.number == self.number => {
                self.done(rev);
                After::Done
            }
            Ok((rev, ..)) => {
                self.rev = rev;
                self.back_off(now);
                After::Again
            }
            Err(_) => {
                self.back_off(now);
                self.stage = Stage::Unclear;
                After::Nothing
            }
        }
    }

    /// Whether the row has to be read again now.
    pub fn unclear(&mut self, now: Time) -> bool {
        let due = self.stage == Stage::Unclear && self.next <= now;
        if due {
            self.stage = Stage::Reading;
        }
        due
    }

    fn done(&mut self, rev: u64) {
        self.rev = rev;
        self.stage = Stage::Idle;
        self.pause = BACKOFF.0;
    }

    fn back_off(&mut self, now: Time) {
        self.stage = Stage::Idle;
        self.next = now + self.pause;
        self.pause = (self.pause * 2).min(BACKOFF.1);
    }
}

/// How many rows a transaction has.
pub fn rows(txn: &Txn) -> usize {
    txn.expect.len() + txn.puts.len() + txn.remove.len()
}
