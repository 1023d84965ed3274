//! The group commit of one bucket's record to the key-value service (KV).
//!
//! Calls no other module; [`claims`](crate::claims), [`attempts`](crate::attempts) and
//! [`bucket`](crate::bucket) call it.
//!
//! The load is many small changes (claims, intents, ends) against a KV that takes a few hundred
//! writes a second: written one by one, a burst of claims on one bucket would wait for as many round
//! trips. So one write is in flight, and all changes made meanwhile go out together in the next.
//! With a KV that answers in a millisecond this alone does not bound the write rate: each change would
//! be a write of its own. So each bucket has a budget of writes, and the budget of all members is the
//! sum over the buckets, which needs no coordination between members.
//!
//! Three failures are guarded against:
//! - The answer to a write is lost, and the write may have taken effect or not. This shows as a
//!   time-out. The record is then read: it carries the writer and the number of the write
//!   (`serial`), which shows what took effect. A write that is still in flight can't do harm later,
//!   since the compare-and-swap lets only one write follow a revision.
//! - Another owner has taken over the bucket. This shows as a refused write and a record of a higher
//!   epoch in the next read. Changes that are not committed by then never will be.
//! - The previous owner has a write in flight. The first write here ([`Commit::ready`]) follows the
//!   revision that was adopted; once it is done, no write of an older owner can take effect.

use {
    crate::{
        Time,
        ids::{Epoch, Incarnation, Revision},
        messages::{BucketRecord, KvPutReply},
    },
    std::time::Duration,
};

/// The first pause after a call without an answer; short, so that a KV that is only slow is called
/// again soon.
const PAUSE_MIN: Duration = Duration::from_millis(100);

/// The longest pause, so that all buckets together make few calls to a KV that is down, and yet
/// notice its recovery within the time after which a refused caller retries.
const PAUSE_MAX: Duration = Duration::from_secs(2);

/// Writes per second of one bucket. All 64 together make 300 of the several hundred that the KV
/// handles; the rest is for leases, ownership and configuration.
const WRITES_PER_SECOND: f64 = 300.0 / 64.0;

/// The maximum number of writes that a bucket may accumulate, so that a claim on an idle bucket is
/// written at once, and so is its end.
const WRITES_MAX: f64 = 4.0;

/// How long a change that is not urgent is delayed, so that an urgent one can carry it: the end of a
/// claim with the next claim. Short compared with the time after which the end is sent again.
const DELAY_MAX: Duration = Duration::from_millis(300);

/// The number of a write; a change is committed once the write of its ticket is done.
pub type Ticket = u64;

/// One bucket's record, its revision, and the one call to the KV that may be in flight.
pub struct Commit {
    epoch: Epoch,
    owner: Incarnation,
    base: Revision,
    state: State,
    ready: bool,
    dirty: bool,
    urgent: bool,
    /// Since when there has been an unwritten change.
    since: Option<Time>,
    sent: Ticket,
    done: Ticket,
    calls: u64,
    backoff: Duration,
    tokens: f64,
    filled: Time,
}

#[derive(Clone, Copy, PartialEq)]
enum State {
    Unread,
    Idle,
    Writing(u64),
    Reading(u64),
    Paused(Time),
    Lost,
}

/// A call to make to the KV; its answer is passed back with the same `call`.
#[derive(Clone, Debug, PartialEq)]
pub enum Call {
    /// Read the record.
    Read {
        /// The number of the call.
        call: u64,
    },
    /// Write the record if its revision is still `expect`.
    Write {
        /// The number of the call.
        call: u64,
        /// The revision that it must have.
        expect: Revision,
        /// The new record.
        record: Box<BucketRecord>,
    },
}

/// The result of an answer of the KV.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Nothing new.
    Nothing,
    /// All changes up to [`Commit::done`] are committed.
    Done,
    /// The previous owner's record, or `None`; it replaces everything adopted before.
    Adopt(Option<Box<BucketRecord>>),
    /// Another member owns the bucket.
    Lost,
}

impl Commit {
    /// Creates the state of a new owner, which begins by reading the record.
    pub fn new(epoch: Epoch, owner: Incarnation) -> Self {
        Commit {
            epoch,
            owner,
            base: Revision(0),
            state: State::Unread,
            ready: false,
            dirty: false,
            urgent: false,
            since: None,
            sent: 0,
            done: 0,
            calls: 0,
            backoff: PAUSE_MIN,
            tokens: WRITES_MAX,
            filled: Time::ZERO,
        }
    }

    /// Whether this owner has written the record, so that no older owner's write can take effect.
    pub fn ready(&self) -> bool {
        self.ready
    }

    /// Whether another member owns the bucket.
    pub fn lost(&self) -> bool {
        self.state == State::Lost
    }

    /// The last write known to have taken effect.
    pub fn done(&self) -> Ticket {
        self.done
    }

    /// Records an urgent change, and returns the write that will carry it.
    pub fn touch(&mut self) -> Ticket {
        self.urgent = true;
        self.touch_later()
    }

    /// Records a change that may be delayed, and returns the write that will carry it.
    pub fn touch_later(&mut self) -> Ticket {
        self.dirty = true;
        self.sent + 1
    }

    /// The write that carries, or carried, all changes up to now.
    pub fn last(&self) -> Ticket {
        self.sent + u64::from(self.dirty)
    }

    /// The next call, if one is due; `fill` puts the claims and tasks into the record.
    pub fn next(&mut self, now: Time, fill: impl FnOnce(&mut BucketRecord)) -> Option<Call> {
        match self.state {
            State::Unread => Some(self.reading()),
            State::Paused(until) if now >= until => Some(self.reading()),
            State::Idle if self.dirty => {
                (self.due(now) && self.token(now)).then(|| self.writing(fill))
            }
            _ => None,
        }
    }

    /// Whether changes wait for the budget of writes.
    pub fn waits(&self) -> bool {
        self.state == State::Idle && self.dirty
    }

    /// Whether a write is worth its token now.
    fn due(&mut self, now: Time) -> bool {
        let since = *self.since.get_or_insert(now);
        self.urgent || now.since(since) >= DELAY_MAX
    }

    fn token(&mut self, now: Time) -> bool {
        let passed = now.since(self.filled).as_secs_f64();
        self.tokens = (self.tokens + passed * WRITES_PER_SECOND).min(WRITES_MAX);
        self.filled = now;
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }

    /// Processes the answer to a write, `None` if it was lost or too late.
    pub fn wrote(&mut self, call: u64, reply: Option<&KvPutReply>) -> Step {
        if self.state != State::Writing(call) {
            return Step::Nothing;
        }
        match reply {
            Some(reply) if reply.done => self.write_done(reply.revision, self.sent),
            // Refused or lost: only a read shows which write took effect.
            reply => {
                self.base = self.base.max(reply.map_or(self.base, |reply| reply.revision));
                self.state = State::Unread;
                Step::Nothing
            }
        }
    }

    /// Processes the answer to a read, `None` if it was lost, `Some(None)` if there is no record.
    pub fn read(
        &mut self,
        call: u64,
        reply: Option<Option<(Revision, Box<BucketRecord>)>>,
        now: Time,
    ) -> Step {
        if self.state != State::Reading(call) {
            return Step::Nothing;
        }
        let Some(found) = reply else { return self.pause(now) };
        let revision = found.as_ref().map_or(Revision(0), |(revision, _)| *revision);
        // A stale read: its revision is older than one already seen.
        if revision < self.base {
            return self.pause(now);
        }
        match found {
            Some((_, record)) if record.epoch > self.epoch => self.lose(),
            Some((_, record)) if record.epoch == self.epoch => {
                if record.owner == self.owner {
                    self.write_done(revision, record.serial)
                } else {
                    self.lose()
                }
            }
            _ if self.ready => self.pause(now),
            found => self.adopt(revision, found.map(|(_, record)| record)),
        }
    }

    fn reading(&mut self) -> Call {
        self.calls += 1;
        self.state = State::Reading(self.calls);
        Call::Read { call: self.calls }
    }

    fn writing(&mut self, fill: impl FnOnce(&mut BucketRecord)) -> Call {
        self.calls += 1;
        self.sent += 1;
        (self.dirty, self.urgent, self.since) = (false, false, None);
        self.state = State::Writing(self.calls);
        let mut record = BucketRecord {
            epoch: self.epoch,
            owner: self.owner,
            serial: self.sent,
            claims: Vec::new(),
            tasks: Vec::new(),
            jobs: Vec::new(),
        };
        fill(&mut record);
        Call::Write { call: self.calls, expect: self.base, record: Box::new(record) }
    }

    fn write_done(&mut self, revision: Revision, serial: Ticket) -> Step {
        self.base = revision;
        self.state = State::Idle;
        self.backoff = PAUSE_MIN;
        self.ready = true;
        self.done = self.done.max(serial);
        // The last write is not known to have taken effect, so the next write carries its changes as
        // well. If the last write takes effect first after all, the next is refused, and a read
        // shows the state of both.
        self.dirty |= serial < self.sent;
        self.urgent |= self.dirty;
        Step::Done
    }

    fn adopt(&mut self, revision: Revision, record: Option<Box<BucketRecord>>) -> Step {
        self.base = revision;
        self.state = State::Idle;
        self.backoff = PAUSE_MIN;
        (self.dirty, self.urgent) = (true, true);
        Step::Adopt(record)
    }

    fn lose(&mut self) -> Step {
        self.state = State::Lost;
        Step::Lost
    }

    fn pause(&mut self, now: Time) -> Step {
        self.state = State::Paused(now + self.backoff);
        self.backoff = (self.backoff * 2).min(PAUSE_MAX);
        Step::Nothing
    }
}
