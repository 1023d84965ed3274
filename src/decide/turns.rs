//! Which pool's steps make the next long call for advice.
//!
//! *Load pattern:* several pools, each with more steps that need advice than the members have time to
//! call for. One of them is full, and its steps come first in the order. *Without it:* each member that
//! gets free calls for a step of the full pool, and the tickets end before there is room; steps of
//! another pool are never asked for, it runs empty, and its jobs never begin.
//!
//! So a call for a step that will find room goes before one for a step that won't, and between pools
//! that one goes first whose calls that are out take the least. The order within a pool stays as it is.
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

/// The long calls that are out, and the pools that wait for a member.
#[derive(Clone, Debug, Default)]
pub struct Turns {
    out: Vec<Call>,
    wants: BTreeMap<PoolId, Want>,
}

#[derive(Clone, Debug)]
struct Call {
    via: Incarnation,
    sent: Time,
    pool: PoolId,
    cost: Duration,
}

/// When a pool last found no member free: for any step, and for one that will find room.
#[derive(Clone, Copy, Debug, Default)]
struct Want {
    any: Option<Time>,
    roomy: Option<Time>,
}

impl Turns {
    /// No calls yet.
    pub fn new() -> Self {
        Turns::default()
    }

    /// Whether a pool may call for a step now; `roomy` says that the step will find room.
    pub fn may(&self, pool: &PoolId, roomy: bool, now: Time) -> bool {
        let waits = |at: Option<Time>| at.is_some_and(|at| now < at + PATIENCE);
        let mine = (!roomy, self.taken(pool));
        let before = |(other, want): (&PoolId, &Want)| {
            other != pool && waits(want.any) && (!waits(want.roomy), self.taken(other)) < mine
        };
        !self.wants.iter().any(before)
    }

    /// Records that a pool could not call for a step.
    pub fn wait(&mut self, pool: &PoolId, roomy: bool, now: Time) {
        let want = self.wants.entry(pool.clone()).or_default();
        want.any = Some(now);
        if roomy {
            want.roomy = Some(now);
        }
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

    /// What a pool's calls that are out take.
    fn taken(&self, pool: &PoolId) -> Duration {
        self.out.iter().filter(|c| c.pool == *pool).map(|c| c.cost).sum()
    }
}
