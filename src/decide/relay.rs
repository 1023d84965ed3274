//! Whether a member calls the store itself or has another member relay the call, and whether it may
//! own shards meanwhile.
//!
//! *Load pattern:* the store turns some machines away for seconds, or they are cut off from it,
//! while it serves the others; callers come in at such a machine as at any, and shards are owned
//! there. *Without it:* such a member refuses its callers, its lease ends, and its shards stand
//! still until lease and grace are over and another member has taken them over; the same for each
//! further machine.
//!
//! *Thresholds:* two calls on end that the store didn't serve; a single one is an answer that was
//! lost, or a write refused in a storm. The direct way is tried again twice a second, as often as
//! the lease is renewed, by calls that may be made twice: a member is back within half a second, and
//! no write waits for a silent connection. A member that didn't relay a call may be cut off as well:
//! it is asked last for two seconds, the length of a lease. Where none of the members that were asked
//! relayed a call, the store itself is down, and relays would multiply the calls that it refuses: none
//! for a second, then one. Shards are given up after half a second without the direct way: a handover
//! costs them about as much.

use {
    crate::{ids::Incarnation, time::Time},
    std::{collections::BTreeMap, time::Duration},
};

/// So many direct calls on end that were not served mean that the direct way is lost.
const LOST: u32 = 2;
/// How often the direct way is tried while it is lost.
const PROBE: Duration = Duration::from_millis(500);
/// The pause after a call that nobody relayed.
const REST: Duration = Duration::from_secs(1);
/// For how long the direct way is lost before shards are given up.
const YIELD: Duration = Duration::from_millis(500);
/// For how long a member is asked last that didn't relay a call.
const AVOID: Duration = Duration::from_secs(2);
/// The least time of a call whose want of an answer says something of the way.
const FAIR: Duration = Duration::from_millis(200);
/// The most members that are tried for one call: where a third of all are cut off, all of them are in
/// one case of a hundred.
const MOST: usize = 4;

/// The way of one call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Way {
    /// Direct.
    Direct,
    /// Direct for a moment, to see whether that works again; relayed if not.
    Probe,
    /// Relayed by another member.
    Relayed,
}

/// What the last calls say of the ways to the store.
#[derive(Clone, Debug, Default)]
pub struct Relay {
    /// Direct calls on end that were not served.
    faults: u32,
    /// When the direct way was lost.
    since: Time,
    /// Whether this member leaves owning shards to others, until the store serves it.
    yields: bool,
    /// When the direct way is tried next.
    probe: Time,
    /// No relay before.
    rest: Time,
    /// When the store last served a direct call.
    heard: Time,
    /// The member that relayed last, and when a call was last relayed.
    last: Option<Incarnation>,
    relayed: Option<Time>,
    /// Members that didn't relay a call, and until when each is asked last.
    avoided: BTreeMap<Incarnation, Time>,
}

impl Relay {
    /// The way of a call; `repeats` says whether it may be made twice.
    pub fn way(&mut self, repeats: bool, now: Time) -> Way {
        if !self.lost() {
            return Way::Direct;
        }
        if repeats && self.probe <= now {
            self.probe = now + PROBE;
            return Way::Probe;
        }
        if self.rests(now) { Way::Direct } else { Way::Relayed }
    }

    /// Whether the direct way is lost.
    pub fn lost(&self) -> bool {
        self.faults >= LOST
    }

    /// Whether nothing is relayed for now.
    pub fn rests(&self, now: Time) -> bool {
        now < self.rest
    }

    /// Takes in a direct call: whether the store served it.
    pub fn direct(&mut self, served: bool, now: Time) {
        if served {
            (self.faults, self.heard, self.yields) = (0, now, false);
            return;
        }
        self.faults = self.faults.saturating_add(1);
        if self.faults == LOST {
            (self.since, self.probe) = (now, now + PROBE);
        }
    }

    /// Whether this member leaves owning shards to members that the store serves.
    ///
    /// Guards against jobs that pile up at an owner that is cut off: all that its shards read and write
    /// would go through another member's link, and each end of a task and each start after it wait there.
    /// Where others are not served either, nobody could do better.
    pub fn yields(&mut self, now: Time) -> bool {
        let relays = self.relayed.is_some_and(|at| at >= self.since) && !self.rests(now);
        self.yields |= self.lost() && relays && now - self.since >= YIELD;
        self.yields
    }

    /// Takes in a direct call that was given up.
    ///
    /// Guards against a busy link that is taken for a lost one, with all that is under way on it given
    /// up: a caller's last moments are too short for any answer, and one that waits behind a large
    /// answer is late while others are served.
    pub fn unanswered(&mut self, sent: Time, now: Time) {
        if now - sent >= FAIR && self.heard < sent {
            self.direct(false, now);
        }
    }

    /// Takes in a call that a member was asked to relay: whether the store served it.
    ///
    /// Guards against a single member that is cut off as well, or too slow for one call: relays by
    /// others go on.
    pub fn relayed(&mut self, by: Incarnation, served: bool, now: Time) {
        if served {
            (self.last, self.relayed) = (Some(by), Some(now));
            self.avoided.remove(&by);
            return;
        }
        self.last = self.last.filter(|l| *l != by);
        self.avoided.retain(|_, until| now < *until);
        self.avoided.insert(by, now + AVOID);
    }

    /// Takes in a call that none of the members that were asked has relayed.
    pub fn unrelayed(&mut self, now: Time) {
        self.rest = now + REST;
    }

    /// The members to be tried for a call, in order: the one that relayed last, then those behind
    /// this member in the ring of all, so that several that are cut off lean on different ones; those
    /// that didn't relay of late come last.
    pub fn members(&self, able: &[Incarnation], me: Incarnation, now: Time) -> Vec<Incarnation> {
        let behind = able.iter().filter(|m| **m > me);
        let mut ring: Vec<Incarnation> =
            behind.chain(able.iter().filter(|m| **m < me)).copied().collect();
        let avoided = |m: &Incarnation| self.avoided.get(m).is_some_and(|until| now < *until);
        ring.sort_by_key(|m| (self.last != Some(*m), avoided(m)));
        ring.truncate(MOST);
        ring
    }
}
