//! Chooses the member that makes a call for advice.
//!
//! *Load pattern:* the service works on one call at a time for each calling member, in the order of
//! arrival. Most calls take some 10 ms; a few take nearly a second and make up most of the work.
//! Calls arrive in bursts, and sometimes a member or its link is cut off or slow. *Without it:* a
//! short call waits behind long ones, and the task that it is for starts too late. Calls pile up at
//! a few members, and the service refuses more than 32. A member that is cut off, and so never
//! busy, attracts all calls.
//!
//! *Load pattern:* there are several callers, none of which knows the others' calls, and one of
//! them makes most of the long ones. *Without it:* short calls of the others queue behind these. As
//! each caller then avoids the member that was late, their calls collide everywhere. So a short
//! call only uses members that no other caller uses, unless all of these are suspended.
//!
//! *Thresholds:* a call is long if it takes more than 100 ms. Tasks of 0.8 s that are due within
//! 1.5 s have 0.4 s left beside two of their calls, and a hundred such tasks per second with calls
//! of 15 ms fill one and a half lanes. Two lanes stay free of long calls, and one in eight if there
//! are many, so that one may fail and a short call still waits for short ones only. A lane holds
//! two calls. The second hides the round trip, which is a third of a short call; a deeper lane
//! would only fix the order too early. For a long call the second place hides nothing, so a long
//! call is put second only if it has no time left. A lane is suspended for 1 s, as long as a short
//! loss lasts, and each next time for twice as long, up to 8 s, by when a member that is gone has
//! left the list. After a suspension one call at a time tries the lane. If all lanes are suspended,
//! the cause isn't in the lanes, and each is tried with one call.
//!
//! A member that rejects a call has calls of other callers ahead. Their length is unknown here, but
//! it exceeds the 1.5 s of slack that each call has beyond its expected time, so the member counts
//! as busy for that long. Within that time it is asked again only if no other member would answer
//! sooner, and the limit of the call is then longer by as much. If even the best member has
//! rejected a call recently, each rejection by any member is followed by a pause of 150 ms, so that
//! a hundred waiting steps don't ask more often than one.

use {
    crate::{Time, ids::Incarnation},
    std::{collections::VecDeque, time::Duration},
};

/// Duration above which a call is long.
pub const LONG_CALL: Duration = Duration::from_millis(100);
/// Minimum number of lanes that are reserved for short calls.
const MIN_SHORT_LANES: usize = 2;
/// Divisor of the number of lanes that gives the number reserved for short calls, if this is more
/// than `MIN_SHORT_LANES`.
const SHORT_LANE_DIVISOR: usize = 8;
/// Maximum number of unanswered calls on one lane.
const LANE_DEPTH: usize = 2;
/// Length of a lane's first suspension.
const FIRST_SUSPENSION: Duration = Duration::from_secs(1);
/// Maximum length of a lane's suspension.
const MAX_SUSPENSION: Duration = Duration::from_secs(8);
/// Half-life of the measured lateness of a lane.
const LATENESS_HALF_LIFE: Duration = Duration::from_secs(1);
/// Time after the expected end of a call at which the call is given up.
pub const CALL_SLACK: Duration = Duration::from_millis(1500);
/// Pause after a rejected call, if the member that would be chosen has rejected one recently.
const REJECTION_PAUSE: Duration = Duration::from_millis(150);

/// The members that one caller may use for its calls.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Peers {
    /// Members that no other caller uses.
    pub unshared: Vec<Incarnation>,
    /// Members that other callers use too. They get only long calls.
    pub shared: Vec<Incarnation>,
}

/// The members that can make calls, and the calls of each.
#[derive(Clone, Debug, Default)]
pub struct Lanes {
    /// One lane per member; members that no other caller uses come first.
    lanes: Vec<Lane>,
    /// Number of members that no other caller uses.
    own_count: usize,
}

#[derive(Clone, Debug)]
struct Lane {
    member: Incarnation,
    /// Calls without an answer yet, in order.
    calls: VecDeque<Call>,
    /// When the service began to work on the first call in `calls`.
    started_at: Time,
    /// How much longer than expected recent calls took.
    lateness: Duration,
    /// When `lateness` was last updated.
    lateness_at: Time,
    /// Number of lost calls since the last answer.
    lost_count: u32,
    /// When the last lost call was given up.
    last_lost: Time,
    /// When the member last rejected a call because of other callers' calls.
    rejected_at: Option<Time>,
}

#[derive(Clone, Copy, Debug)]
struct Call {
    sent: Time,
    cost: Duration,
}

impl Lanes {
    /// Creates an instance without members.
    pub fn new() -> Self {
        Lanes::default()
    }

    /// Sets the members, and keeps the state of those that stay. Among equally good members the
    /// first is picked, so a caller that lists itself first saves a hop.
    pub fn set_members(&mut self, peers: &Peers) {
        let mut old = std::mem::take(&mut self.lanes);
        let mut keep = |m: &Incarnation| {
            let known = old.iter().position(|l| l.member == *m);
            known.map_or_else(|| Lane::new(*m), |i| old.swap_remove(i))
        };
        self.own_count = peers.unshared.len();
        self.lanes = peers.unshared.iter().chain(&peers.shared).map(&mut keep).collect();
    }

    /// Chooses the member for a call that takes `cost` and whose answer is needed by `due`. Returns
    /// the member and the expected time of the answer, or `None` if the call should wait until
    /// another call ends.
    ///
    /// The call counts as sent now, until [`Lanes::record_end`].
    pub fn pick(&mut self, cost: Duration, due: Time, now: Time) -> Option<(Incarnation, Time)> {
        let long = cost > LONG_CALL;
        let (lane, end) = self.best(cost, now)?;
        // Full lanes take part in the choice, because waiting for a full lane is better than
        // queueing behind a long call on another one.
        let rejected_within = |l: &Lane, time| l.rejected_at.is_some_and(|at| now < at + time);
        if rejected_within(&self.lanes[lane], CALL_SLACK)
            && self.lanes.iter().any(|l| rejected_within(l, REJECTION_PAUSE))
        {
            return None;
        }
        let busy = self.lanes[lane].calls.len();
        let second = !long || end + cost > due;
        if busy >= self.lanes[lane].depth() || (busy > 0 && !second) {
            return None;
        }
        let lane = &mut self.lanes[lane];
        if busy == 0 {
            lane.started_at = now;
        }
        lane.calls.push_back(Call { sent: now, cost });
        Some((lane.member, end))
    }

    /// Records that the call sent to a member at `sent` was answered or, if not `answered`, given
    /// up.
    pub fn record_end(&mut self, via: Incarnation, sent: Time, answered: bool, now: Time) {
        let Some(lane) = self.lanes.iter_mut().find(|l| l.member == via) else { return };
        let Some(at) = lane.calls.iter().position(|c| c.sent == sent) else { return };
        let call = lane.calls.remove(at);
        if answered && at == 0 {
            let cost = call.map_or(Duration::ZERO, |c| c.cost);
            lane.record_lateness(now.since(lane.started_at).saturating_sub(cost), now);
        }
        if at == 0 {
            lane.started_at = now;
        }
        // Calls that are lost while in flight at the same time count as one loss.
        if sent < lane.last_lost {
            return;
        }
        if answered {
            lane.lost_count = 0;
        } else {
            lane.lost_count = lane.lost_count.saturating_add(1);
            lane.last_lost = now;
        }
    }

    /// Records that a member rejected the call sent to it at `sent`, because it has too many
    /// calls of other callers.
    pub fn record_rejection(&mut self, via: Incarnation, sent: Time, now: Time) {
        let Some(lane) = self.lanes.iter_mut().find(|l| l.member == via) else { return };
        let Some(at) = lane.calls.iter().position(|c| c.sent == sent) else { return };
        lane.calls.remove(at);
        if at == 0 {
            lane.started_at = now;
        }
        lane.rejected_at = Some(now);
    }

    /// Returns the number of unanswered calls at a member.
    pub fn calls_at(&self, member: Incarnation) -> usize {
        self.lanes.iter().find(|l| l.member == member).map_or(0, |l| l.calls.len())
    }

    /// Returns the number of members.
    pub fn len(&self) -> usize {
        self.lanes.len()
    }

    /// Returns whether there are no members.
    pub fn is_empty(&self) -> bool {
        self.lanes.is_empty()
    }

    /// Returns the number of members without a call.
    pub fn idle_count(&self) -> usize {
        self.lanes.iter().filter(|l| l.calls.is_empty()).count()
    }

    /// Returns whether a long call would find a free member even after one more long call.
    pub fn has_spare_lane(&self, now: Time) -> bool {
        let usable = self.lanes.iter().filter(|l| !l.is_suspended(now));
        let reserved = MIN_SHORT_LANES.max(usable.clone().count() / SHORT_LANE_DIVISOR);
        usable.filter(|l| l.calls.is_empty()).count() > reserved + 1
    }

    /// Returns the total number of unanswered calls.
    pub fn total_calls(&self) -> usize {
        self.lanes.iter().map(|l| l.calls.len()).sum()
    }

    /// Returns the lane, which may be full, on which a call would end first, and the end time.
    fn best(&self, cost: Duration, now: Time) -> Option<(usize, Time)> {
        let usable = self.lanes.iter().filter(|l| !l.is_suspended(now));
        let every_suspended = usable.clone().next().is_none();
        let all = usable.clone().count();
        let max_long = all.saturating_sub(MIN_SHORT_LANES.max(all / SHORT_LANE_DIVISOR)).max(1);
        let long_lanes = usable.filter(|l| l.has_long_call()).count();
        let long = cost > LONG_CALL;
        let own = self.lanes[..self.own_count].iter().any(|l| !l.is_suspended(now));
        let eligible = |(i, l): &(usize, &Lane)| {
            let open = if every_suspended { l.calls.is_empty() } else { !l.is_suspended(now) };
            let allowed = long || !own || *i < self.own_count;
            open && allowed && (!long || l.has_long_call() || long_lanes < max_long)
        };
        // Among equally good lanes, long calls use shared ones, so that the others stay free for
        // short calls.
        let own_last = |i: usize| long && i < self.own_count;
        let fit = self.lanes.iter().enumerate().filter(eligible);
        let ends = fit.map(|(i, l)| (i, l.free_at(now) + l.current_lateness(now) + cost));
        ends.min_by_key(|&(i, end)| (end, own_last(i)))
    }
}

impl Lane {
    fn new(member: Incarnation) -> Self {
        Lane {
            member,
            calls: VecDeque::new(),
            started_at: Time::ZERO,
            lateness: Duration::ZERO,
            lateness_at: Time::ZERO,
            lost_count: 0,
            last_lost: Time::ZERO,
            rejected_at: None,
        }
    }

    fn depth(&self) -> usize {
        if self.lost_count > 0 { 1 } else { LANE_DEPTH }
    }

    fn has_long_call(&self) -> bool {
        self.calls.iter().any(|c| c.cost > LONG_CALL)
    }

    fn is_suspended(&self, now: Time) -> bool {
        let times = self.lost_count.saturating_sub(1).min(16);
        self.lost_count > 0
            && now
                < self.last_lost + FIRST_SUSPENSION.saturating_mul(1 << times).min(MAX_SUSPENSION)
    }

    /// Returns when the calls of the lane will have ended. A call that is overdue by some
    /// time is expected to take that much longer.
    fn free_at(&self, now: Time) -> Time {
        let others = self.rejected_at.map_or(now, |at| now.max(at + CALL_SLACK));
        let mut calls = self.calls.iter();
        let Some(first) = calls.next() else { return others };
        let end = self.started_at + first.cost;
        let end = if end < now { now + now.since(end) } else { end };
        calls.fold(end, |end, c| end + c.cost).max(others)
    }

    fn current_lateness(&self, now: Time) -> Duration {
        let halves = now.since(self.lateness_at).as_secs_f64() / LATENESS_HALF_LIFE.as_secs_f64();
        self.lateness.mul_f64(0.5_f64.powf(halves))
    }

    fn record_lateness(&mut self, sample: Duration, now: Time) {
        self.lateness = (self.current_lateness(now) + sample) / 2;
        self.lateness_at = now;
    }
}
