//! A fake key-value store with one record, and a member that owns, or believes that it owns, one
//! bucket.

use {
    arbtest::arbitrary::{Result, Unstructured},
    dogwoodreach::{
        Time,
        bucket::{Bucket, Order},
        commit::Call,
        ids::{Epoch, Incarnation, Revision},
        messages::{BucketRecord, KvPutReply},
    },
    std::time::Duration,
};

/// The Unix time at [`Time::ZERO`], in seconds.
pub const UNIX: u64 = 1_700_000_000;

type Found = Option<(Revision, Box<BucketRecord>)>;

/// One record with compare-and-swap; the store may be down.
#[derive(Default)]
pub struct Kv {
    pub found: Found,
    pub down: bool,
}

enum Reply {
    Read(Found),
    Write(KvPutReply),
}

impl Kv {
    fn run(&mut self, call: &Call) -> Reply {
        let current = self.found.as_ref().map_or(Revision(0), |f| f.0);
        let Call::Write { expect, record, .. } = call else {
            return Reply::Read(self.found.clone());
        };
        if *expect != current {
            return Reply::Write(KvPutReply { done: false, revision: current });
        }
        let revision = Revision(current.0 + 1);
        self.found = Some((revision, record.clone()));
        Reply::Write(KvPutReply { done: true, revision })
    }
}

/// A member with its calls in transit to the key-value store and the replies in transit back.
pub struct Member {
    pub bucket: Bucket,
    calls: Vec<(Call, bool)>,
    replies: Vec<(u64, Reply)>,
}

impl Member {
    pub fn new(epoch: u64) -> Self {
        let bucket = Bucket::new(Epoch(epoch), Incarnation(epoch * 17), UNIX);
        Member { bucket, calls: Vec::new(), replies: Vec::new() }
    }

    /// The orders that are not for the key-value store.
    pub fn orders(&mut self, now: Time) -> Vec<Order> {
        let (kv, rest) =
            self.bucket.orders(now).into_iter().partition(|o| matches!(o, Order::Kv(_)));
        let kv: Vec<Order> = kv;
        self.calls.extend(kv.into_iter().filter_map(|o| match o {
            Order::Kv(call) => Some((call, true)),
            _ => None,
        }));
        rest
    }

    /// Applies one random event to the calls: effect, reply, or loss before or after the effect. A
    /// call that was given up may take effect at any later time.
    pub fn turn(&mut self, u: &mut Unstructured<'_>, kv: &mut Kv, now: Time) -> Result<()> {
        match u.int_in_range(0..=9)? {
            0..=3 if !self.calls.is_empty() && !kv.down => {
                let (call, waited) = self.calls.remove(u.choose_index(self.calls.len())?);
                let reply = kv.run(&call);
                if waited {
                    self.replies.push((number(&call), reply));
                }
            }
            4..=7 if !self.replies.is_empty() => {
                let (call, reply) = self.replies.remove(u.choose_index(self.replies.len())?);
                self.answer(call, reply, now);
            }
            8 if !self.replies.is_empty() => {
                let (call, reply) = self.replies.remove(u.choose_index(self.replies.len())?);
                self.lose(call, matches!(reply, Reply::Read(_)), now);
            }
            9 => {
                let Some(entry) = self.calls.iter_mut().find(|c| c.1) else { return Ok(()) };
                entry.1 = false;
                let (call, read) = (number(&entry.0), matches!(entry.0, Call::Read { .. }));
                self.lose(call, read, now);
            }
            _ => {}
        }
        Ok(())
    }

    /// Applies all calls and delivers their replies, for longer than the longest pause between
    /// writes.
    pub fn settle(&mut self, kv: &mut Kv, now: &mut Time) -> Vec<Order> {
        let mut out = Vec::new();
        for _ in 0..40 {
            out.extend(self.orders(*now));
            self.effect(kv);
            self.deliver(*now);
            *now = *now + Duration::from_millis(100);
        }
        out
    }

    /// Applies the calls; their replies stay in transit.
    pub fn effect(&mut self, kv: &mut Kv) {
        for (call, waited) in std::mem::take(&mut self.calls) {
            let reply = kv.run(&call);
            if waited {
                self.replies.push((number(&call), reply));
            }
        }
    }

    /// Delivers the replies in transit.
    pub fn deliver(&mut self, now: Time) {
        for (call, reply) in std::mem::take(&mut self.replies) {
            self.answer(call, reply, now);
        }
    }

    /// Applies the calls and loses their replies.
    pub fn effect_then_lose(&mut self, kv: &mut Kv, now: Time) {
        for (call, _) in std::mem::take(&mut self.calls) {
            kv.run(&call);
            self.lose(number(&call), matches!(call, Call::Read { .. }), now);
        }
    }

    fn answer(&mut self, call: u64, reply: Reply, now: Time) {
        match reply {
            Reply::Read(found) => self.bucket.read(call, Some(found), now),
            Reply::Write(reply) => self.bucket.written(call, Some(&reply), now),
        }
    }

    fn lose(&mut self, call: u64, read: bool, now: Time) {
        if read {
            self.bucket.read(call, None, now);
        } else {
            self.bucket.written(call, None, now);
        }
    }
}

fn number(call: &Call) -> u64 {
    match call {
        Call::Read { call } | Call::Write { call, .. } => *call,
    }
}

/// Runs `property` from fixed seeds, each with the given number of random bytes.
pub fn runs(count: u64, size: u64, property: impl Fn(&mut Unstructured<'_>) -> Result<()>) {
    for seed in 0..count {
        let mixed = (seed + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15) >> 32;
        arbtest::arbtest(&property).seed(mixed << 32 | size);
    }
}
