//! Decides whether a member can make another call for advice in time.
//!
//! *Load pattern:* the service works on one call at a time for each calling member, in the order of
//! arrival. A member makes calls for the owners of several shards, each of which knows only its own
//! calls, and one of them has long calls in flight through all members that it may use. *Without
//! it:* the others take these members for idle, and their calls wait behind the long ones until
//! they are given up, seven times in a row with seven members. The abandoned calls still take the
//! service's time.
//!
//! *Thresholds:* a call is rejected if its answer would arrive after the caller has given up,
//! computed from the calls ahead of it and its own duration. 50 ms are reserved for the round trip,
//! some ten times what it takes without load. The service still works on an abandoned call, so it
//! counts until its expected end. A call that is overdue by some time is expected to take that much
//! longer.

use {
    crate::Time,
    std::{collections::VecDeque, time::Duration},
};

/// Part of the caller's time limit that is reserved for the round trip.
const ROUND_TRIP: Duration = Duration::from_millis(50);

/// The calls in flight from one member, for all its callers.
#[derive(Clone, Debug, Default)]
pub struct CallQueue {
    /// Calls in flight, in the order of arrival.
    calls: VecDeque<Call>,
    /// When the service began to work on the first call in `calls`.
    started_at: Time,
    /// Number of calls made so far, which numbers the next call.
    call_count: u64,
}

#[derive(Clone, Copy, Debug)]
struct Call {
    number: u64,
    call_time: Duration,
    /// Whether the caller has given up the call.
    abandoned: bool,
}

impl CallQueue {
    /// Creates an instance without calls.
    pub fn new() -> Self {
        CallQueue::default()
    }

    /// Adds a call that takes `call_time` and is given up after `limit`, and returns its number.
    /// Returns `None` if the call must not be made because its answer would come too late.
    ///
    /// The call counts as sent now, until [`CallQueue::record_end`], or to its expected end after
    /// [`CallQueue::abandon`].
    pub fn admit(&mut self, call_time: Duration, limit: Duration, now: Time) -> Option<u64> {
        if self.backlog(now) + call_time + ROUND_TRIP > limit {
            return None;
        }
        if self.calls.is_empty() {
            self.started_at = now;
        }
        self.call_count += 1;
        self.calls.push_back(Call { number: self.call_count, call_time, abandoned: false });
        Some(self.call_count)
    }

    /// Returns the expected time until all calls in flight have ended.
    pub fn backlog(&mut self, now: Time) -> Duration {
        while let Some(first) =
            self.calls.front().filter(|c| c.abandoned && self.started_at + c.call_time <= now)
        {
            self.started_at = self.started_at + first.call_time;
            self.calls.pop_front();
        }
        let mut calls = self.calls.iter();
        let Some(first) = calls.next() else { return Duration::ZERO };
        let end = self.started_at + first.call_time;
        let remaining = if end < now { now - end } else { end - now };
        calls.fold(remaining, |sum, c| sum + c.call_time)
    }

    /// Records that a call was answered or was never made.
    pub fn record_end(&mut self, number: u64, now: Time) {
        let Some(at) = self.calls.iter().position(|c| c.number == number) else { return };
        // The service answers in order, so abandoned calls before this one have ended.
        let ended = self.calls.iter().take(at).take_while(|c| c.abandoned).count();
        self.calls.remove(at);
        self.calls.drain(..ended);
        if ended == at {
            self.started_at = now;
        }
    }

    /// Records that the caller of a call has given it up.
    pub fn abandon(&mut self, number: u64) {
        if let Some(call) = self.calls.iter_mut().find(|c| c.number == number) {
            call.abandoned = true;
        }
    }
}
