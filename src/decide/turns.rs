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

/// How long other pools yield to a pool that found no free member.
const TURN_TIMEOUT: Duration = Duration::from_millis(400);

/// Factor for the calls of a pool whose step finds no room yet. It still needs its tickets, for
/// when there is room.
const NO_ROOM_FACTOR: u32 = 2;

/// The long calls in progress, and the pools that wait for a member.
#[derive(Clone, Debug, Default)]
pub struct AdviceTurns {
    calls: Vec<Call>,
    /// When each pool last found no free member, and whether its step finds room.
    waiting: BTreeMap<PoolId, (Time, bool)>,
}

#[derive(Clone, Debug)]
struct Call {
    via: Incarnation,
    sent: Time,
    pool: PoolId,
    cost: Duration,
}

impl AdviceTurns {
    /// Creates an instance without calls.
    pub fn new() -> Self {
        AdviceTurns::default()
    }

    /// Returns whether a pool may call for a step now; `has_room` says whether the step finds room.
    pub fn may_call(&self, pool: &PoolId, has_room: bool, now: Time) -> bool {
        let own_weight = self.weight(pool, has_room);
        let goes_first = |(other, (at, has_room)): (&PoolId, &(Time, bool))| {
            other != pool && now < *at + TURN_TIMEOUT && self.weight(other, *has_room) < own_weight
        };
        !self.waiting.iter().any(goes_first)
    }

    /// Records that a pool found no free member for a step.
    pub fn record_wait(&mut self, pool: &PoolId, has_room: bool, now: Time) {
        self.waiting.insert(pool.clone(), (now, has_room));
    }

    /// Records a call, which counts until [`AdviceTurns::record_done`].
    pub fn record_call(&mut self, pool: &PoolId, via: Incarnation, cost: Duration, now: Time) {
        self.waiting.remove(pool);
        self.calls.push(Call { via, sent: now, pool: pool.clone(), cost });
    }

    /// Records that the call sent at `record_call` was answered, or that no answer is expected any more.
    pub fn record_done(&mut self, via: Incarnation, sent: Time) {
        if let Some(at) = self.calls.iter().position(|c| c.via == via && c.sent == sent) {
            self.calls.swap_remove(at);
        }
    }

    /// Returns the weight of a pool's calls in progress, by which pools are compared for the next
    /// call.
    fn weight(&self, pool: &PoolId, has_room: bool) -> Duration {
        let total: Duration = self.calls.iter().filter(|c| c.pool == *pool).map(|c| c.cost).sum();
        if has_room { total } else { total * NO_ROOM_FACTOR }
    }
}
