//! Which member makes a call for advice.
//!
//! *Load pattern:* the service works on one call at a time for each member that calls, in turn. Most
//! calls take some 10 ms, few take nearly a second and make up most of the work; they come in
//! bursts, and at times a member or its link is cut off or slow. *Without it:* a short call waits
//! behind long ones and the task that it is for comes too late; calls pile up at a few members, and
//! beyond 32 the service refuses; a member that is cut off, and so never busy, draws all calls.
//!
//! *Load pattern:* several callers, none of which knows of the others' calls; one of them makes
//! most of the long ones. *Without it:* short calls of the others come behind these, and as each then
//! avoids the member that was late, their calls meet everywhere. So a short call goes only through
//! members that no other caller uses, unless all of these are set aside.
//!
//! *Thresholds:* a call is long over 100 ms: tasks of 0.8 s that are due within 1.5 s have 0.4 s left
//! beside two calls of theirs, and a hundred such a second with calls of 15 ms fill one lane and a half.
//! Two lanes stay free of long calls, and one in eight of many, so that one may fail and a short call
//! still waits for short ones only. A lane holds two calls, the second to hide the way there and back, which is
//! a third of a short call; deeper ones only fix an order too early. For a long call it hides
//! nothing, so that only one that has no time left is put second. A lane is set aside for 1 s, as
//! long as a short loss lasts, and twice as long each next time to 8 s, by when a member that is
//! gone has left the list. Then one call at a time tries it. Where all lanes are set aside the
//! cause isn't theirs, and each is tried with one call.
//!
//! A member that turns a call away has calls of others ahead that are unknown here: for longer than the
//! slack with which calls are made beyond what is reckoned, 1.5 s. So it counts as busy for that long,
//! and is asked again within that time only where no other would answer sooner, with more patience by
//! as much. Where all have turned a call away, 150 ms pass after each that is turned away, so that a
//! hundred steps that wait ask no oftener than one.

use {
    crate::{Time, ids::Incarnation},
    std::{collections::VecDeque, time::Duration},
};

/// A call that takes longer is long.
pub const LONG: Duration = Duration::from_millis(100);
/// The least lanes that are kept for short calls.
const KEPT: usize = 2;
/// Of many lanes one in so many is kept for them.
const PART: usize = 8;
/// The calls that one lane holds.
const DEPTH: usize = 2;
/// The first time for which a lane is set aside.
const ASIDE: Duration = Duration::from_secs(1);
/// The longest.
const ASIDE_MAX: Duration = Duration::from_secs(8);
/// The time in which half of what is known of a lane's lateness is forgotten.
const FORGET: Duration = Duration::from_secs(1);
/// How much longer than it should take a call is waited for.
pub const SLACK: Duration = Duration::from_millis(1500);
/// The pause after a call was turned away, where all members have turned one away of late.
const AWAY: Duration = Duration::from_millis(150);

/// The members through which one caller may call.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Peers {
    /// Those that no other caller uses.
    pub own: Vec<Incarnation>,
    /// Those that others use too, for long calls.
    pub shared: Vec<Incarnation>,
}

/// The members that can call, and what each is at.
#[derive(Clone, Debug, Default)]
pub struct Lanes {
    /// Those that no other caller uses come first.
    all: Vec<Lane>,
    /// How many these are.
    own: usize,
}

#[derive(Clone, Debug)]
struct Lane {
    member: Incarnation,
    /// The calls expected, in turn.
    calls: VecDeque<Call>,
    /// When the service began with the first of them.
    began: Time,
    /// How much longer than reckoned calls took of late.
    late: Duration,
    /// When `late` was reckoned.
    late_at: Time,
    /// Calls without an answer since the last answer.
    lost: u32,
    /// When the last of them was given up.
    lost_at: Time,
    /// When it last turned a call away for what it has to do for others.
    away: Option<Time>,
}

#[derive(Clone, Copy, Debug)]
struct Call {
    sent: Time,
    cost: Duration,
}

impl Lanes {
    /// No members yet.
    pub fn new() -> Self {
        Lanes::default()
    }

    /// Sets the members, and keeps what is known of those that stay. Of equally good ones the first
    /// is picked: a caller that names itself first spares the way to another.
    pub fn members(&mut self, peers: &Peers) {
        let mut old = std::mem::take(&mut self.all);
        let mut keep = |m: &Incarnation| {
            let known = old.iter().position(|l| l.member == *m);
            known.map_or_else(|| Lane::new(*m), |i| old.swap_remove(i))
        };
        self.own = peers.own.len();
        self.all = peers.own.iter().chain(&peers.shared).map(&mut keep).collect();
    }

    /// The member that is to make a call which takes `cost` and whose answer is wanted by `due`, and
    /// when the answer is expected; none where the call had better wait until another is done.
    ///
    /// The call counts as sent now, until [`Lanes::done`].
    pub fn pick(&mut self, cost: Duration, due: Time, now: Time) -> Option<(Incarnation, Time)> {
        let long = cost > LONG;
        let (lane, end) = self.best(cost, now)?;
        // Full lanes take part in the choice: a call rather waits for one than goes behind a long
        // call somewhere else.
        let away = |l: &Lane, long| l.away.is_some_and(|at| now < at + long);
        if away(&self.all[lane], SLACK) && self.all.iter().any(|l| away(l, AWAY)) {
            return None;
        }
        let busy = self.all[lane].calls.len();
        let second = !long || end + cost > due;
        if busy >= self.all[lane].depth() || (busy > 0 && !second) {
            return None;
        }
        let lane = &mut self.all[lane];
        if busy == 0 {
            lane.began = now;
        }
        lane.calls.push_back(Call { sent: now, cost });
        Some((lane.member, end))
    }

    /// Records that the call which a member was given at `sent` has its answer, or that none is
    /// expected any more.
    pub fn done(&mut self, via: Incarnation, sent: Time, answered: bool, now: Time) {
        let Some(lane) = self.all.iter_mut().find(|l| l.member == via) else { return };
        let Some(at) = lane.calls.iter().position(|c| c.sent == sent) else { return };
        let call = lane.calls.remove(at);
        if answered && at == 0 {
            let cost = call.map_or(Duration::ZERO, |c| c.cost);
            lane.learn(now.since(lane.began).saturating_sub(cost), now);
        }
        if at == 0 {
            lane.began = now;
        }
        // Calls that were on the way together are lost together, and count once.
        if sent < lane.lost_at {
            return;
        }
        if answered {
            lane.lost = 0;
        } else {
            lane.lost = lane.lost.saturating_add(1);
            lane.lost_at = now;
        }
    }

    /// Records that a member didn't make the call which it was given at `sent`, as it has too much to do
    /// for others.
    pub fn turned_away(&mut self, via: Incarnation, sent: Time, now: Time) {
        let Some(lane) = self.all.iter_mut().find(|l| l.member == via) else { return };
        let Some(at) = lane.calls.iter().position(|c| c.sent == sent) else { return };
        lane.calls.remove(at);
        if at == 0 {
            lane.began = now;
        }
        lane.away = Some(now);
    }

    /// How many calls are expected at a member.
    pub fn busy(&self, member: Incarnation) -> usize {
        self.all.iter().find(|l| l.member == member).map_or(0, |l| l.calls.len())
    }

    /// How many members there are.
    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// How many members have no call.
    pub fn idle(&self) -> usize {
        self.all.iter().filter(|l| l.calls.is_empty()).count()
    }

    /// Whether one long call more leaves a member free for another.
    pub fn spare(&self, now: Time) -> bool {
        let usable = self.all.iter().filter(|l| !l.aside(now));
        let kept = KEPT.max(usable.clone().count() / PART);
        usable.filter(|l| l.calls.is_empty()).count() > kept + 1
    }

    /// How many calls are expected in all.
    pub fn total(&self) -> usize {
        self.all.iter().map(|l| l.calls.len()).sum()
    }

    /// The lane where a call would end first, full ones among them, and when.
    fn best(&self, cost: Duration, now: Time) -> Option<(usize, Time)> {
        let usable = self.all.iter().filter(|l| !l.aside(now));
        let none = usable.clone().next().is_none();
        let all = usable.clone().count();
        let most = all.saturating_sub(KEPT.max(all / PART)).max(1);
        let held = usable.filter(|l| l.long()).count();
        let long = cost > LONG;
        let own = self.all[..self.own].iter().any(|l| !l.aside(now));
        let may = |(i, l): &(usize, &Lane)| {
            let open = if none { l.calls.is_empty() } else { !l.aside(now) };
            let ours = long || !own || *i < self.own;
            open && ours && (!long || l.long() || held < most)
        };
        // Of equally good lanes its own are left to short calls.
        let last = |i: usize| long && i < self.own;
        let fit = self.all.iter().enumerate().filter(may);
        let ends = fit.map(|(i, l)| (i, l.free(now) + l.late(now) + cost));
        ends.min_by_key(|&(i, end)| (end, last(i)))
    }
}

impl Lane {
    fn new(member: Incarnation) -> Self {
        Lane {
            member,
            calls: VecDeque::new(),
            began: Time::ZERO,
            late: Duration::ZERO,
            late_at: Time::ZERO,
            lost: 0,
            lost_at: Time::ZERO,
            away: None,
        }
    }

    fn depth(&self) -> usize {
        if self.lost > 0 { 1 } else { DEPTH }
    }

    fn long(&self) -> bool {
        self.calls.iter().any(|c| c.cost > LONG)
    }

    fn aside(&self, now: Time) -> bool {
        let times = self.lost.saturating_sub(1).min(16);
        self.lost > 0 && now < self.lost_at + ASIDE.saturating_mul(1 << times).min(ASIDE_MAX)
    }

    /// When the calls that it holds have ended. One that is late is taken to last for as long as it
    /// is late already.
    fn free(&self, now: Time) -> Time {
        let others = self.away.map_or(now, |at| now.max(at + SLACK));
        let mut calls = self.calls.iter();
        let Some(first) = calls.next() else { return others };
        let end = self.began + first.cost;
        let end = if end < now { now + now.since(end) } else { end };
        calls.fold(end, |end, c| end + c.cost).max(others)
    }

    fn late(&self, now: Time) -> Duration {
        let halves = now.since(self.late_at).as_secs_f64() / FORGET.as_secs_f64();
        self.late.mul_f64(0.5_f64.powf(halves))
    }

    fn learn(&mut self, late: Duration, now: Time) {
        self.late = (self.late(now) + late) / 2;
        self.late_at = now;
    }
}
