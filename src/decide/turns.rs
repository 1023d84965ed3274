//! Decides which pool's steps make the next long call for placement advice.
//!
//! *Load pattern:* several pools, each with more steps that need advice than the members have time
//! to call for. One of them is full, and its steps come first in the order. *Without it:* each
//! member that becomes free calls for a step of the full pool, and the tickets expire before there
//! is room. Steps of another pool never get advice, the pool runs empty, and its jobs never start.
//!
//! So if several pools wait for a member, the pool whose calls in progress cost the least time goes
//! first. These count twice if its step finds no room yet. The order within a pool does not change.
//!
//! *Thresholds:* a pool that found no free member keeps its turn for 400 ms. The waiting steps are
//! examined every 250 ms, which renews this time; a pool that no longer asks doesn't block the
//! others for long.

use {
    crate::{
        Time,
        ids::{Incarnation, PoolId},
    },
    std::{collections::BTreeMap, time::Duration},
};

/// Time for which a pool that found no free member keeps its turn before other pools.
const TURN_TIMEOUT: Duration = Duration::from_millis(400);

/// Factor by which the cost of a pool's calls is multiplied if its step finds no room yet. Such a
/// step still needs tickets, which it uses as soon as there is room.
const NO_ROOM_FACTOR: u32 = 2;

/// The long calls in progress, and the pools that wait for a member.
#[derive(Clone, Debug, Default)]
pub struct AdviceTurns {
    calls: Vec<CallInProgress>,
    /// For each pool that waits for a member: the time at which it last found none free, and
    /// whether its step finds room.
    waiting: BTreeMap<PoolId, (Time, bool)>,
}

#[derive(Clone, Debug)]
struct CallInProgress {
    member: Incarnation,
    sent_at: Time,
    pool: PoolId,
    cost: Duration,
}

impl AdviceTurns {
    /// Creates an instance without calls in progress.
    pub fn new() -> Self {
        AdviceTurns::default()
    }

    /// Returns whether a pool may make a long advice call for a step now; `has_room` says whether
    /// the step finds room.
    pub fn may_call(&self, pool: &PoolId, has_room: bool, now: Time) -> bool {
        let own_cost = self.call_cost(pool, has_room);
        let goes_first = |(other, (at, has_room)): (&PoolId, &(Time, bool))| {
            other != pool && now < *at + TURN_TIMEOUT && self.call_cost(other, *has_room) < own_cost
        };
        !self.waiting.iter().any(goes_first)
    }

    /// Records that a pool found no free member for a step.
    pub fn record_wait(&mut self, pool: &PoolId, has_room: bool, now: Time) {
        self.waiting.insert(pool.clone(), (now, has_room));
    }

    /// Records that a call was sent. It is in progress until [`AdviceTurns::record_call_end`].
    pub fn record_call(&mut self, pool: &PoolId, member: Incarnation, cost: Duration, now: Time) {
        self.waiting.remove(pool);
        self.calls.push(CallInProgress { member, sent_at: now, pool: pool.clone(), cost });
    }

    /// Records that the call that [`AdviceTurns::record_call`] recorded was answered, or that no
    /// answer is expected any more.
    pub fn record_call_end(&mut self, member: Incarnation, sent_at: Time) {
        if let Some(at) = self.calls.iter().position(|c| c.member == member && c.sent_at == sent_at)
        {
            self.calls.swap_remove(at);
        }
    }

    /// Returns the total cost of a pool's calls in progress, multiplied if its step finds no room.
    /// The pool with the lowest value makes the next call.
    fn call_cost(&self, pool: &PoolId, has_room: bool) -> Duration {
        let total: Duration = self.calls.iter().filter(|c| c.pool == *pool).map(|c| c.cost).sum();
        if has_room { total } else { total * NO_ROOM_FACTOR }
    }
}
