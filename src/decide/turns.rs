//! Which pool's steps make the next long call for advice.
//!
//! *Load pattern:* several pools, each with more steps that need advice than the members have time to
//! call for. One of them is full, and its steps come first in the order. *Without it:* each member that
//! gets free calls for a step of the full pool, and the tickets end before there is room; steps of
//! another pool are never asked for, it runs empty, and its jobs never begin.
//!
//! So where a pool waits for a member, that one goes first whose calls that are out take the least; they
//! count twice where its step finds no room yet. The order within a pool stays as it is.
//!
//! *Thresholds:* a pool that found no member free is waited for during 400 ms, which a look at what
//! waits every 250 ms renews; one that no longer asks doesn't hold up the others for long.

use {
    crate::{
        Time,
        ids::{Incarnation, PoolId},
    },
    std::{collections::BTreeMap, time::Duration},
};

/// How long a pool is waited for that found no member free.
const PATIENCE: Duration = Duration::from_millis(400);

/// How often calls count whose step finds no room yet: it needs its tickets all the same, for when there
/// is.
const BARE: u32 = 2;

/// The long calls that are out, and the pools that wait for a member.
#[derive(Clone, Debug, Default)]
pub struct Turns {
    out: Vec<Call>,
    /// When each pool last found no member free, and whether its step finds room.
    wants: BTreeMap<PoolId, (Time, bool)>,
}

#[derive(Clone, Debug)]
struct Call {
    via: Incarnation,
    sent: Time,
    pool: PoolId,
    cost: Duration,
}

impl Turns {
    /// No calls yet.
    pub fn new() -> Self {
        Turns::default()
    }

    /// Whether a pool may call for a step now; `roomy` says whether the step finds room.
    pub fn may(&self, pool: &PoolId, roomy: bool, now: Time) -> bool {
        let mine = self.weight(pool, roomy);
        let before = |(other, (at, roomy)): (&PoolId, &(Time, bool))| {
            other != pool && now < *at + PATIENCE && self.weight(other, *roomy) < mine
        };
        !self.wants.iter().any(before)
    }

    /// Records that a pool found no member free for a step.
    pub fn wait(&mut self, pool: &PoolId, roomy: bool, now: Time) {
        self.wants.insert(pool.clone(), (now, roomy));
    }

    /// Records a call, which counts until [`Turns::done`].
    pub fn sent(&mut self, pool: &PoolId, via: Incarnation, cost: Duration, now: Time) {
        self.wants.remove(pool);
        self.out.push(Call { via, sent: now, pool: pool.clone(), cost });
    }

    /// Records that a call which was sent then has its answer, or that none is expected any more.
    pub fn done(&mut self, via: Incarnation, sent: Time) {
        if let Some(at) = self.out.iter().position(|c| c.via == via && c.sent == sent) {
            self.out.swap_remove(at);
        }
    }

    /// What a pool's calls that are out count against its next one.
    fn weight(&self, pool: &PoolId, roomy: bool) -> Duration {
        let taken: Duration = self.out.iter().filter(|c| c.pool == *pool).map(|c| c.cost).sum();
        if roomy { taken } else { taken * BARE }
    }
}
