//! Decides when a member is too slow to own shards.
//!
//! Load: an owner handles hundreds of answers of workers per second, and its VM loses most of its
//! processor time for some seconds. Its events then queue up faster than it handles them: starts
//! reach the workers seconds late, answers are taken for lost, and most urgent jobs of the shard
//! end too late. A member with a faster processor continues the shard after a handover of some
//! hundred milliseconds.
//!
//! An owner counts as slow by the time that its loop over the shards takes for one pass. A pass
//! handles a bounded number of events, so a long queue of events alone doesn't make it longer; only
//! a slow processor does. A member without shards has no passes. It times a fixed computation
//! instead, so that a shard doesn't move from one slow member to the next.

use {crate::time::Time, std::time::Duration};

/// Duration from which a pass counts as slow: twice the interval of the shards' timer. Owners whose
/// events queue up on a VM of normal speed need up to 10 ms.
const SLOW_PASS: Duration = Duration::from_millis(40);
/// Sum of slow passes that shows that the member is slow.
const SLOW_TIME: Duration = Duration::from_millis(400);
/// Maximum that one pass adds to the sum, so that a process that was suspended once isn't slow.
const MAX_PASS: Duration = Duration::from_millis(150);
/// Factor by which a pass of normal duration reduces the sum.
const RECOVERY_FACTOR: u32 = 4;
/// Minimum time for which a member owns a shard before it gives the shard up as too slow. If all
/// members are slow, shards move at most that often.
const MIN_OWNED: Duration = Duration::from_secs(5);

/// Measures the passes of a member's loop over its shards.
#[derive(Debug)]
pub struct PaceMonitor {
    last_pass: Time,
    /// Time that slow passes have taken of late.
    slow_time: Duration,
}

impl PaceMonitor {
    /// Creates a monitor that starts at `now`.
    pub fn new(now: Time) -> Self {
        PaceMonitor { last_pass: now, slow_time: Duration::ZERO }
    }

    /// Records that a pass has ended at `now`; returns how long it took.
    pub fn record_pass(&mut self, now: Time) -> Duration {
        let took = now - self.last_pass;
        self.last_pass = now;
        if took >= SLOW_PASS {
            self.slow_time += took.min(MAX_PASS);
        } else {
            self.slow_time = self.slow_time.saturating_sub(took * RECOVERY_FACTOR);
        }
        took
    }

    /// Returns whether the member is too slow for its shards, the latest of which it has owned since
    /// `owned_since`.
    pub fn is_slow(&self, owned_since: Time, now: Time) -> bool {
        self.slow_time >= SLOW_TIME && now >= owned_since + MIN_OWNED
    }
}

/// Factor by which a computation takes longer than the shortest time so far when it counts as slow.
const SLOW_FACTOR: u32 = 3;
/// Number of successive slow computations that show that the member is slow. A single one may have
/// been interrupted.
const SLOW_COMPUTATIONS: u32 = 2;

/// Compares the times that a fixed computation takes.
#[derive(Debug, Default)]
pub struct SpeedMonitor {
    shortest: Option<Duration>,
    slow_count: u32,
}

impl SpeedMonitor {
    /// Records that the computation took this long.
    pub fn record_computation(&mut self, took: Duration) {
        let shortest = self.shortest.map_or(took, |s| s.min(took));
        self.shortest = Some(shortest);
        let slow = took > shortest * SLOW_FACTOR;
        self.slow_count = if slow { self.slow_count + 1 } else { 0 };
    }

    /// Returns whether the member computes more slowly than before.
    pub fn is_slow(&self) -> bool {
        self.slow_count >= SLOW_COMPUTATIONS
    }
}
