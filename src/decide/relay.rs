//! Decides whether a member calls the store directly or has another member relay the call, and
//! whether the member may own shards in the meantime.
//!
//! *Load pattern:* the store rejects some machines for seconds, or they are cut off from it, while
//! it serves the others. Callers still connect to such a machine, and it owns shards. *Without it:*
//! the member refuses its callers, its lease ends, and its shards stop until the lease and the
//! grace period have passed and another member has taken them over. The same happens for each
//! further machine.
//!
//! *Thresholds:* the direct path counts as lost after two failed direct calls in a row; a single
//! failure is a lost answer, or a write refused under heavy load. While it is lost, the direct path
//! is probed twice a second, as often as the lease is renewed, with calls that are safe to repeat.
//! So a member recovers within half a second, and no write waits for a dead connection. A member
//! that failed to relay a call may be cut off as well: it is tried last for two seconds, the length
//! of a lease. If no member relayed a call, the store itself is down, and relaying would multiply
//! the calls that it refuses: nothing is relayed for a second, then one call is. Shards are given
//! up half a second after the direct path was lost, which is about the cost of a handover.

use {
    crate::{ids::Incarnation, time::Time},
    std::{collections::BTreeMap, time::Duration},
};

/// Number of failed direct calls in a row after which the direct path to the store counts as lost.
const MAX_DIRECT_FAILURES: u32 = 2;
/// Interval at which the direct path is probed while it is lost.
const PROBE_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which calls are not relayed after no member could relay one.
const RELAY_PAUSE: Duration = Duration::from_secs(1);
/// Time from the loss of the direct path to the store until this member gives up its shards.
const YIELD_DELAY: Duration = Duration::from_millis(500);
/// Time for which a member that failed to relay a call is tried only after all others.
const RELAY_AVOID_PERIOD: Duration = Duration::from_secs(2);
/// Minimum time after which a call that timed out counts as a failure of the direct path.
const MIN_CALL_TIME: Duration = Duration::from_millis(200);
/// Maximum number of members that are tried for one call: if a third of all members are cut off,
/// all of the tried ones are in one case out of a hundred.
const MAX_RELAYS: usize = 4;

/// How a call reaches the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StorePath {
    /// The call is sent to the store directly.
    Direct,
    /// The call is sent directly with a short time limit, to test whether the direct path works
    /// again, and is relayed if it does not.
    Probe,
    /// The call is relayed by another member.
    Relayed,
}

/// Results of recent calls to the store, from which the path of the next call is chosen.
#[derive(Clone, Debug, Default)]
pub struct RelayState {
    /// Number of failed direct calls in a row.
    direct_failures: u32,
    /// Time at which the direct path was lost.
    lost_at: Time,
    /// Whether this member gives up its shards until the store serves it again.
    yielding: bool,
    /// Time from which the direct path may be probed again.
    next_probe: Time,
    /// Time until which calls are not relayed.
    paused_until: Time,
    /// Time at which the store last served a direct call.
    last_served_at: Time,
    /// The member that relayed the last call.
    last_relay: Option<Incarnation>,
    /// Time at which a member last relayed a call.
    relayed_at: Option<Time>,
    /// Members that failed to relay a call, each with the time until which it is tried last.
    avoided: BTreeMap<Incarnation, Time>,
}

impl RelayState {
    /// Chooses the path of a call; `repeatable` says whether the call is safe to repeat.
    pub fn choose_path(&mut self, repeatable: bool, now: Time) -> StorePath {
        if !self.is_direct_lost() {
            return StorePath::Direct;
        }
        if repeatable && self.next_probe <= now {
            self.next_probe = now + PROBE_INTERVAL;
            return StorePath::Probe;
        }
        if self.is_relaying_paused(now) { StorePath::Direct } else { StorePath::Relayed }
    }

    /// Returns whether the direct path to the store is lost.
    pub fn is_direct_lost(&self) -> bool {
        self.direct_failures >= MAX_DIRECT_FAILURES
    }

    /// Returns whether the relaying of calls is paused.
    pub fn is_relaying_paused(&self, now: Time) -> bool {
        now < self.paused_until
    }

    /// Records whether the store served a direct call.
    pub fn record_direct_call(&mut self, served: bool, now: Time) {
        if served {
            (self.direct_failures, self.last_served_at, self.yielding) = (0, now, false);
            return;
        }
        self.direct_failures = self.direct_failures.saturating_add(1);
        if self.direct_failures == MAX_DIRECT_FAILURES {
            (self.lost_at, self.next_probe) = (now, now + PROBE_INTERVAL);
        }
    }

    /// Returns whether this member must give up its shards to members that the store serves.
    ///
    /// Without this, jobs pile up at an owner that is cut off: all reads and writes of its shards
    /// go through another member's connection, and each end and start of a task waits for it. If
    /// the other members are not served either, giving up shards would not help.
    pub fn yields_ownership(&mut self, now: Time) -> bool {
        let relays =
            self.relayed_at.is_some_and(|at| at >= self.lost_at) && !self.is_relaying_paused(now);
        self.yielding |= self.is_direct_lost() && relays && now - self.lost_at >= YIELD_DELAY;
        self.yielding
    }

    /// Records a direct call that timed out.
    ///
    /// The call counts as failed only if it lasted long enough and the store served no other call
    /// since it was sent. Otherwise a busy connection would be taken for a lost one, and all calls
    /// in progress on it would be given up: the last moments before a caller's deadline are too
    /// short for any answer, and a call behind a large answer is late while others are served.
    pub fn record_timeout(&mut self, sent: Time, now: Time) {
        if now - sent >= MIN_CALL_TIME && self.last_served_at < sent {
            self.record_direct_call(false, now);
        }
    }

    /// Records whether the store served a call that a member was asked to relay.
    ///
    /// A failure affects only this member, which may be cut off as well, or too slow for one call;
    /// other members continue to relay.
    pub fn record_relay(&mut self, by: Incarnation, served: bool, now: Time) {
        if served {
            (self.last_relay, self.relayed_at) = (Some(by), Some(now));
            self.avoided.remove(&by);
            return;
        }
        self.last_relay = self.last_relay.filter(|l| *l != by);
        self.avoided.retain(|_, until| now < *until);
        self.avoided.insert(by, now + RELAY_AVOID_PERIOD);
    }

    /// Records a call that none of the tried members relayed.
    pub fn record_unrelayed(&mut self, now: Time) {
        self.paused_until = now + RELAY_PAUSE;
    }

    /// Returns the members to try for a call, in order: the one that relayed last, then those that
    /// follow this member in the ring of all members, so that several members that are cut off use
    /// different relays. Members that recently failed to relay a call come last.
    pub fn relay_candidates(
        &self,
        able_members: &[Incarnation],
        me: Incarnation,
        now: Time,
    ) -> Vec<Incarnation> {
        let behind = able_members.iter().filter(|m| **m > me);
        let mut ring: Vec<Incarnation> =
            behind.chain(able_members.iter().filter(|m| **m < me)).copied().collect();
        let avoided = |m: &Incarnation| self.avoided.get(m).is_some_and(|until| now < *until);
        ring.sort_by_key(|m| (self.last_relay != Some(*m), avoided(m)));
        ring.truncate(MAX_RELAYS);
        ring
    }
}
