//! Holds the waiting requests of one service at one member, in fair order.
//!
//! *Load pattern:* a few callers send most of the requests, some requests run a hundred times as
//! long as others, and bursts arrive faster than slots become free. *Without it:* in one first-come
//! queue every request waits behind the heaviest caller and the longest request, and an unbounded
//! queue serves requests whose callers have given up.
//!
//! *Order:* start-time fair queueing on two levels: teams by weight, and callers within a team
//! equally. A request costs its expected run time, so a caller's long requests delay that caller.
//! [`Queue::record_end`] charges the difference to the actual run time, so a caller gains nothing from a
//! wrong estimate. If all requests run longer than expected, the workers are slow, and no caller is
//! charged for that.
//!
//! *Slots reserved for short work:* while short requests arrive, a quarter of the slots serves no
//! request that is expected to run for [`Queue::new`]'s `long_run` or longer.
//!
//! *Bounds:* a request leaves the queue when its deadline can no longer be met, which bounds the
//! queue in time; a limit on the count bounds memory. A caller may hold as many requests as the
//! queue still has free places, so one caller fills at most half of the queue, two callers fill a
//! third each, and a new caller still finds room.

use {
    crate::{
        Error, Kind, Time,
        decide::flow::{ALL_LANES, Lane, TAG_UNITS, TeamFlow, served_work, tag_cost},
        ids::{CallerId, RequestId, TeamId},
    },
    rustc_hash::FxHashMap,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Maximum number of waiting requests per slot. 32 typical runs take longer than most deadlines
/// allow, so the deadline usually bounds the queue first, and this limit only if deadlines are far
/// away.
const MAX_WAITING_PER_SLOT: usize = 32;
/// Minimum size of the limit on waiting requests, so that a member with one or two slots can still
/// absorb a burst.
const MIN_QUEUE_LIMIT: usize = 64;
/// Ratio of the requests that a team may hold to the free places of the queue. A team that is alone
/// can fill four fifths of the queue.
const TEAM_SHARE_RATIO: usize = 4;
/// Divisor of the number of slots that gives the number reserved for short work. A quarter is what
/// short work needs if it is less than a quarter of the load, which is when long work can crowd it
/// out.
const RESERVE_DIVISOR: u32 = 4;
/// Time after the last arrival of a short request for which slots stay reserved. Afterwards a
/// service that gets only long work uses all its slots.
const RESERVE_PERIOD: Duration = Duration::from_secs(10);
/// Weight of one run in the mean overrun; about the last 32 runs count, which usually come from a
/// few callers.
const OVERRUN_WEIGHT: f64 = 1.0 / 32.0;
/// Number of arrivals between two removals of the callers without debt (a start tag beyond the
/// virtual time).
const SWEEP_ARRIVALS: u64 = 1 << 10;

/// A request that waits or runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// Id of the request.
    pub id: RequestId,
    /// The caller that sent the request.
    pub caller: CallerId,
    /// The caller's team.
    pub team: TeamId,
    /// When the request arrived.
    pub arrived_at: Time,
    /// Time by which the response must be sent.
    pub deadline: Time,
    /// Expected run time of the request, declared or estimated from history.
    pub run_time: Duration,
}

impl Item {
    /// Returns the latest start time at which the request is expected to end by its deadline.
    pub fn latest_start(&self) -> Time {
        self.deadline - self.run_time
    }
}

/// The work that is served before a new request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkAhead {
    /// Total expected run time of the requests that are served before the new one.
    pub work: Duration,
    /// Number of slots that serve this work.
    pub slots: u32,
}

/// The waiting requests of one service.
pub struct Queue {
    slots: u32,
    long_run: Duration,
    teams: BTreeMap<TeamId, TeamFlow>,
    weights: FxHashMap<TeamId, u64>,
    items: FxHashMap<RequestId, (u64, Item)>,
    by_latest_start: BTreeSet<(Time, RequestId)>,
    expired: Vec<Item>,
    /// Start tag of the team that was served last.
    virtual_time: u64,
    seq: u64,
    /// Number of long requests that are running.
    running_long: u32,
    /// Mean ratio of actual to expected run time of recent requests.
    mean_overrun: f64,
    /// When the last short request arrived.
    last_short_arrival: Option<Time>,
}

impl Queue {
    /// Creates an empty queue for a service with `slots`. Requests that are expected to run for
    /// `long_run` or longer are long, and leave some slots to the others.
    pub fn new(slots: u32, long_run: Duration) -> Self {
        Queue {
            slots,
            long_run,
            teams: BTreeMap::new(),
            weights: FxHashMap::default(),
            items: FxHashMap::default(),
            by_latest_start: BTreeSet::new(),
            expired: Vec::new(),
            virtual_time: 0,
            seq: 0,
            running_long: 0,
            mean_overrun: 1.0,
            last_short_arrival: None,
        }
    }

    /// Sets the number of slots, over all workers that the member owns.
    pub fn resize(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// Sets a team's weight, clamped to 1 to 1024. The default weight is 1.
    pub fn set_weight(&mut self, team: TeamId, weight: u32) {
        self.weights.insert(team, u64::from(weight).clamp(1, TAG_UNITS));
    }

    /// Returns the number of slots of the workers that the member owns.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// Returns the number of waiting requests.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Returns whether no request is waiting.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Adds a request, whose id must not be among the waiting ones.
    ///
    /// Errs with `Late` if its deadline can't be met even if it starts now, with `QueueFull` if the
    /// limit of waiting requests is reached, and with `OverShare` if its caller or team already
    /// holds its share.
    pub fn push(&mut self, item: Item, now: Time) -> Result<(), Error> {
        debug_assert!(!self.items.contains_key(&item.id), "{} waits already", item.id);
        if item.latest_start() < now {
            return Err(Error::new(Kind::Late, "less time is left than it runs"));
        }
        let bound = MIN_QUEUE_LIMIT.max(MAX_WAITING_PER_SLOT * self.slots as usize);
        let Some(room) = bound.checked_sub(self.items.len()).filter(|&room| room > 0) else {
            return Err(Kind::QueueFull.into());
        };
        // The caller is looked up but not inserted, so that refused callers take no memory.
        let team = self.teams.get(&item.team);
        let caller = team.and_then(|t| t.callers.get(&item.caller));
        if caller.is_some_and(|c| c.len() >= room) {
            return Err(Kind::OverShare.into());
        }
        if team.is_some_and(|t| t.len >= room * TEAM_SHARE_RATIO) {
            return Err(Error::new(Kind::OverShare, "its team has more than its share waiting"));
        }
        self.insert(item, now);
        Ok(())
    }

    fn insert(&mut self, item: Item, now: Time) {
        self.seq += 1;
        if self.seq.is_multiple_of(SWEEP_ARRIVALS) {
            self.sweep();
        }
        let (seq, lane) = (self.seq, self.lane(&item));
        if lane == Lane::Short {
            self.last_short_arrival = Some(now);
        }
        let team = self.teams.entry(item.team.clone()).or_default();
        if team.len == 0 {
            team.start_tag = team.start_tag.max(self.virtual_time);
        }
        team.len += 1;
        team.work[lane as usize] += tag_cost(item.run_time);
        let virtual_time = team.virtual_time;
        team.edit_caller(&item.caller, |c| {
            if c.len() == 0 {
                c.start_tag = c.start_tag.max(virtual_time);
            }
            c.lanes[lane as usize].insert(seq, (item.id, item.run_time));
        });
        self.by_latest_start.insert((item.latest_start(), item.id));
        self.items.insert(item.id, (seq, item));
    }

    /// Removes the next request for a free slot. Returns `None` if no request is waiting, or
    /// if only long requests are waiting and none of them may use a slot now.
    pub fn pop(&mut self, now: Time) -> Option<Item> {
        self.remove_expired(now);
        let lanes = self.open_lanes(now);
        let heads = self.teams.iter().flat_map(|(id, team)| {
            lanes.iter().filter_map(move |&l| {
                let (tag, seq, _) = team.order[l as usize].first()?;
                Some(((team.start_tag, *tag, *seq), id, l))
            })
        });
        let (_, id, lane) = heads.min_by_key(|head| head.0)?;
        let team = &self.teams[id];
        let (tag, _, caller) = team.order[lane as usize].first()?;
        let (request, _) = *team.callers[caller].lanes[lane as usize].values().next()?;
        let (start, tag) = (team.start_tag, *tag);
        let item = self.remove(request)?;
        self.virtual_time = self.virtual_time.max(start);
        if let Some(team) = self.teams.get_mut(&item.team) {
            team.virtual_time = team.virtual_time.max(tag);
        }
        self.charge(&item, |tag, price, _| tag + price, tag_cost(item.run_time));
        if lane == Lane::Long {
            self.running_long += 1;
        }
        self.reset_if_empty();
        Some(item)
    }

    /// Removes the requests whose deadline has passed or can no longer be met.
    pub fn expire(&mut self, now: Time) -> Vec<Item> {
        self.remove_expired(now);
        std::mem::take(&mut self.expired)
    }

    /// Removes a request whose caller has disconnected.
    pub fn cancel(&mut self, id: RequestId) -> Option<Item> {
        let item = self.remove(id);
        self.reset_if_empty();
        item
    }

    /// Records that a popped request has ended after `ran`, and charges its caller for run time
    /// beyond what the mean overrun explains. `ran` is zero if the request did not run.
    pub fn record_end(&mut self, item: &Item, ran: Duration) {
        if self.lane(item) == Lane::Long {
            self.running_long = self.running_long.saturating_sub(1);
        }
        if !ran.is_zero() {
            let sample = ran.as_secs_f64() / item.run_time.as_secs_f64().max(1e-6);
            self.mean_overrun += OVERRUN_WEIGHT * (sample.clamp(0.01, 100.0) - self.mean_overrun);
        }
        let ran = ran.div_f64(self.mean_overrun);
        if ran > item.run_time {
            self.charge(item, |tag, price, _| tag + price, tag_cost(ran - item.run_time));
        } else {
            // The tag stays at or above the virtual time, because the charge may have been cleared
            // since, by `sweep` or while no request was waiting.
            let refund = |tag: u64, price, floor| tag.saturating_sub(price).max(tag.min(floor));
            self.charge(item, refund, tag_cost(item.run_time - ran));
        }
    }

    /// Returns the work that would be served before `item` if it were pushed now.
    pub fn work_ahead(&self, item: &Item, now: Time) -> WorkAhead {
        let own = [self.lane(item)];
        let (lanes, slots) = match (self.open_lanes(now).len(), own[0]) {
            (2, _) => (&ALL_LANES[..], self.slots),
            (_, Lane::Short) => (&own[..], self.slots.saturating_sub(self.running_long)),
            (_, Lane::Long) => (&own[..], self.slots_for_long(now)),
        };
        let work = Duration::from_micros(self.work_before(item, lanes) / TAG_UNITS);
        WorkAhead { work, slots: slots.max(1) }
    }

    /// Returns the number of slots that the waiting requests could use now if all were free.
    pub fn usable_slots(&self, now: Time) -> u32 {
        let short = self.teams.values().any(|t| !t.order[Lane::Short as usize].is_empty());
        if short { self.slots } else { self.slots_for_long(now) }
    }

    /// Returns the work, in tag units, that the fair order places before `item`, within its team
    /// and among the other teams.
    fn work_before(&self, item: &Item, lanes: &[Lane]) -> u64 {
        let team = self.teams.get(&item.team);
        let own = team.map_or(0, |t| t.work_before(&item.caller, lanes));
        let tag = team.map_or(0, |t| t.start_tag).max(self.virtual_time);
        let start = tag + own / self.weight(&item.team);
        let others = self.teams.iter().filter(|(id, t)| **id != item.team && t.start_tag <= start);
        let others = others.map(|(id, t)| {
            served_work(t.work(lanes), t.len, (start - t.start_tag).saturating_mul(self.weight(id)))
        });
        own + others.sum::<u64>()
    }

    fn lane(&self, item: &Item) -> Lane {
        if item.run_time < self.long_run { Lane::Short } else { Lane::Long }
    }

    fn weight(&self, team: &TeamId) -> u64 {
        self.weights.get(team).copied().unwrap_or(1)
    }

    fn slots_for_long(&self, now: Time) -> u32 {
        let reserve = self.last_short_arrival.is_some_and(|t| now.since(t) < RESERVE_PERIOD)
            && self.slots > 1;
        if reserve { self.slots - (self.slots / RESERVE_DIVISOR).max(1) } else { self.slots }
    }

    /// Returns the lanes whose requests may start now.
    fn open_lanes(&self, now: Time) -> &'static [Lane] {
        if self.running_long < self.slots_for_long(now) { &ALL_LANES } else { &ALL_LANES[..1] }
    }

    /// Sets the tags of the item's team and caller to `adjust(start_tag, price, virtual_time)`.
    fn charge(&mut self, item: &Item, adjust: fn(u64, u64, u64) -> u64, price: u64) {
        let weight = self.weight(&item.team);
        let Some(team) = self.teams.get_mut(&item.team) else { return };
        team.start_tag = adjust(team.start_tag, price / weight, self.virtual_time);
        let virtual_time = team.virtual_time;
        if team.callers.contains_key(&item.caller) {
            team.edit_caller(&item.caller, |c| {
                c.start_tag = adjust(c.start_tag, price, virtual_time)
            });
        }
    }

    fn remove_expired(&mut self, now: Time) {
        while let Some(&(at, id)) = self.by_latest_start.first()
            && at < now
        {
            let item = self.remove(id);
            self.expired.extend(item);
        }
        self.reset_if_empty();
    }

    fn remove(&mut self, id: RequestId) -> Option<Item> {
        let (seq, item) = self.items.remove(&id)?;
        self.by_latest_start.remove(&(item.latest_start(), id));

        let lane = self.lane(&item);
        let team = self.teams.get_mut(&item.team)?;
        team.len -= 1;
        team.work[lane as usize] -= tag_cost(item.run_time);
        team.edit_caller(&item.caller, |c| _ = c.lanes[lane as usize].remove(&seq));
        Some(item)
    }

    /// Clears all debts if no request is waiting, because a debt then delays no other caller.
    fn reset_if_empty(&mut self) {
        if self.items.is_empty() {
            self.teams.clear();
            self.virtual_time = 0;
        }
    }

    /// Removes teams and callers without debt; their names would fill the memory under sustained
    /// load.
    fn sweep(&mut self) {
        let virtual_time = self.virtual_time;
        for team in self.teams.values_mut() {
            let served = team.virtual_time;
            team.callers.retain(|_, c| c.len() > 0 || c.start_tag > served);
        }
        self.teams.retain(|_, t| t.len > 0 || t.start_tag > virtual_time);
    }
}
