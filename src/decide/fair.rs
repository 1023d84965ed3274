//! The waiting requests of one service at one member, in fair order.
//!
//! *Load pattern:* a few callers send most of the requests, some requests run a hundred times as
//! long as others, and bursts come faster than slots get free. *Without it:* in one first-come
//! queue everybody waits behind the heaviest caller and the longest request, and a queue without
//! bound serves requests whose callers have given up.
//!
//! *Order:* start-time fair queueing on two levels, teams by weight and callers within a team
//! alike. A request costs its expected run time, so a caller's long requests delay that caller.
//! [`Queue::done`] charges the difference to the real run time, so a wrong estimate buys nothing;
//! where all run longer than expected, the workers are slow, and no caller pays for that.
//!
//! *Room for short work:* while short requests come, a quarter of the slots takes none that is
//! [`Queue::new`]'s `long` or longer.
//!
//! *Bounds:* a request leaves the queue when its deadline can no longer be met, which bounds the
//! queue in time; the count bounds memory. A caller may hold as much as is still free, so that one
//! caller fills at most half, two fill a third each, and a newcomer finds room.

use {
    crate::{
        Error, Kind, Time,
        decide::flow::{LANES, Lane, STEPS, Team, cost, served},
        ids::{CallerId, RequestId, TeamId},
    },
    rustc_hash::FxHashMap,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Waiting requests for each slot; 32 typical runs are past most deadlines, so that the deadline
/// bounds the queue first, and the count only where deadlines are far.
const PER_SLOT: usize = 32;
/// The least bound on the count, so that a member with a slot or two still takes a burst.
const LEAST: usize = 64;
/// A team may hold this many times what is free: four fifths of the queue where it is alone.
const TEAM_SHARE: usize = 4;
/// One slot in this many takes no long work. A quarter is what short work needs where it brings
/// under a quarter of the load, which is when long work can crowd it out.
const KEEP_ONE_IN: u32 = 4;
/// Slots are kept for short work for this long after the last of it came, so that a service with
/// long work only has all its slots.
const KEEP_FOR: Duration = Duration::from_secs(10);
/// The weight of one run in the mean overrun; about the last 32 count, a few callers' worth.
const GAIN: f64 = 1.0 / 32.0;
/// Callers that owe nothing are forgotten once in this many arrivals.
const SWEEP: u64 = 1 << 10;

/// A request that waits or runs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// The request.
    pub id: RequestId,
    /// Who sent it.
    pub caller: CallerId,
    /// The caller's team.
    pub team: TeamId,
    /// When it came.
    pub born: Time,
    /// When its answer is due.
    pub deadline: Time,
    /// Its expected run time, declared or from history.
    pub run: Duration,
}

impl Item {
    /// The last time to start at which it is expected to end by its deadline.
    pub fn latest(&self) -> Time {
        self.deadline - self.run
    }
}

/// What stands before a new request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ahead {
    /// The expected run time, in sum, of what is served first.
    pub work: Duration,
    /// The slots that serve it.
    pub slots: u32,
}

/// The waiting requests of one service.
pub struct Queue {
    slots: u32,
    long: Duration,
    teams: BTreeMap<TeamId, Team>,
    weights: FxHashMap<TeamId, u64>,
    items: FxHashMap<RequestId, (u64, Item)>,
    latest: BTreeSet<(Time, RequestId)>,
    expired: Vec<Item>,
    /// The tag of the team served last.
    clock: u64,
    seq: u64,
    /// The long requests that run.
    running: u32,
    /// How much longer than expected requests run of late.
    stretch: f64,
    /// When the last short request came.
    short: Option<Time>,
}

impl Queue {
    /// An empty queue for a service with `slots`; requests expected to run `long` or longer leave
    /// room for the others.
    pub fn new(slots: u32, long: Duration) -> Self {
        Queue {
            slots,
            long,
            teams: BTreeMap::new(),
            weights: FxHashMap::default(),
            items: FxHashMap::default(),
            latest: BTreeSet::new(),
            expired: Vec::new(),
            clock: 0,
            seq: 0,
            running: 0,
            stretch: 1.0,
            short: None,
        }
    }

    /// Sets the slots of the workers owned.
    pub fn resize(&mut self, slots: u32) {
        self.slots = slots;
    }

    /// Sets a team's weight, 1 to 1024; teams have weight 1 until then.
    pub fn weigh(&mut self, team: TeamId, weight: u32) {
        self.weights.insert(team, u64::from(weight).clamp(1, STEPS));
    }

    /// The slots of the workers owned.
    pub fn slots(&self) -> u32 {
        self.slots
    }

    /// The number of requests waiting.
    pub fn len(&self) -> usize {
        self.items.len()
    }

    /// Whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }

    /// Lets a request wait, whose id is not among the waiting ones.
    ///
    /// Errs with `Late` where its deadline can't be met even if it starts now, `QueueFull` where
    /// the count is reached, and `OverShare` where its caller or team holds its share already.
    pub fn push(&mut self, item: Item, now: Time) -> Result<(), Error> {
        debug_assert!(!self.items.contains_key(&item.id), "{} waits already", item.id);
        if item.latest() < now {
            return Err(Error::new(Kind::Late, "less time is left than it runs"));
        }
        let bound = LEAST.max(PER_SLOT * self.slots as usize);
        let Some(room) = bound.checked_sub(self.items.len()).filter(|&room| room > 0) else {
            return Err(Kind::QueueFull.into());
        };
        // Looked up, not made: names that are refused must not fill the memory.
        let team = self.teams.get(&item.team);
        let caller = team.and_then(|t| t.callers.get(&item.caller));
        if caller.is_some_and(|c| c.len() >= room) {
            return Err(Kind::OverShare.into());
        }
        if team.is_some_and(|t| t.len >= room * TEAM_SHARE) {
            return Err(Error::new(Kind::OverShare, "its team has more than its share waiting"));
        }
        self.insert(item, now);
        Ok(())
    }

    fn insert(&mut self, item: Item, now: Time) {
        self.seq += 1;
        if self.seq.is_multiple_of(SWEEP) {
            self.sweep();
        }
        let (seq, lane) = (self.seq, self.lane(&item));
        if lane == Lane::Short {
            self.short = Some(now);
        }
        let team = self.teams.entry(item.team.clone()).or_default();
        if team.len == 0 {
            team.tag = team.tag.max(self.clock);
        }
        team.len += 1;
        team.work[lane as usize] += cost(item.run);
        let clock = team.clock;
        team.edit(&item.caller, |c| {
            if c.len() == 0 {
                c.tag = c.tag.max(clock);
            }
            c.lanes[lane as usize].insert(seq, (item.id, item.run));
        });
        self.latest.insert((item.latest(), item.id));
        self.items.insert(item.id, (seq, item));
    }

    /// Takes the request that is next for a free slot; none where only long work waits and no slot
    /// is open to it.
    pub fn pop(&mut self, now: Time) -> Option<Item> {
        self.collect(now);
        let lanes = self.open(now);
        let heads = self.teams.iter().flat_map(|(id, team)| {
            lanes.iter().filter_map(move |&l| {
                let (tag, seq, _) = team.order[l as usize].first()?;
                Some(((team.tag, *tag, *seq), id, l))
            })
        });
        let (_, id, lane) = heads.min_by_key(|head| head.0)?;
        let team = &self.teams[id];
        let (tag, _, caller) = team.order[lane as usize].first()?;
        let (request, _) = *team.callers[caller].lanes[lane as usize].values().next()?;
        let (start, tag) = (team.tag, *tag);
        let item = self.remove(request)?;
        self.clock = self.clock.max(start);
        if let Some(team) = self.teams.get_mut(&item.team) {
            team.clock = team.clock.max(tag);
        }
        self.charge(&item, |tag, price, _| tag + price, cost(item.run));
        if lane == Lane::Long {
            self.running += 1;
        }
        self.rest();
        Some(item)
    }

    /// Takes out the requests whose deadline has passed or can no longer be met.
    pub fn expire(&mut self, now: Time) -> Vec<Item> {
        self.collect(now);
        std::mem::take(&mut self.expired)
    }

    /// Takes out a request whose caller has gone.
    pub fn cancel(&mut self, id: RequestId) -> Option<Item> {
        let item = self.remove(id);
        self.rest();
        item
    }

    /// Records that a request which was popped has ended after `ran`, so that its caller pays for
    /// what it took beyond the others' overrun; zero where it did not run.
    pub fn done(&mut self, item: &Item, ran: Duration) {
        if self.lane(item) == Lane::Long {
            self.running = self.running.saturating_sub(1);
        }
        if !ran.is_zero() {
            let sample = ran.as_secs_f64() / item.run.as_secs_f64().max(1e-6);
            self.stretch += GAIN * (sample.clamp(0.01, 100.0) - self.stretch);
        }
        let ran = ran.div_f64(self.stretch);
        if ran > item.run {
            self.charge(item, |tag, price, _| tag + price, cost(ran - item.run));
        } else {
            // Not below the clock: the price may have been forgotten since it was paid.
            let refund = |tag: u64, price, clock| tag.saturating_sub(price).max(tag.min(clock));
            self.charge(item, refund, cost(item.run - ran));
        }
    }

    /// What is served before `item` if it is pushed now.
    pub fn ahead(&self, item: &Item, now: Time) -> Ahead {
        let own = [self.lane(item)];
        let (lanes, slots) = match (self.open(now).len(), own[0]) {
            (2, _) => (&LANES[..], self.slots),
            (_, Lane::Short) => (&own[..], self.slots.saturating_sub(self.running)),
            (_, Lane::Long) => (&own[..], self.for_long(now)),
        };
        let work = Duration::from_micros(self.before(item, lanes) / STEPS);
        Ahead { work, slots: slots.max(1) }
    }

    /// The slots that the waiting requests could use now, were all free.
    pub fn usable(&self, now: Time) -> u32 {
        let short = self.teams.values().any(|t| !t.order[Lane::Short as usize].is_empty());
        if short { self.slots } else { self.for_long(now) }
    }

    /// The steps of work that fair order puts before `item`, first in its team, then among teams.
    fn before(&self, item: &Item, lanes: &[Lane]) -> u64 {
        let team = self.teams.get(&item.team);
        let own = team.map_or(0, |t| t.before(&item.caller, lanes));
        let tag = team.map_or(0, |t| t.tag).max(self.clock);
        let start = tag + own / self.weight(&item.team);
        let others = self.teams.iter().filter(|(id, t)| **id != item.team && t.tag <= start);
        let others = others.map(|(id, t)| {
            served(t.work(lanes), t.len, (start - t.tag).saturating_mul(self.weight(id)))
        });
        own + others.sum::<u64>()
    }

    fn lane(&self, item: &Item) -> Lane {
        if item.run < self.long { Lane::Short } else { Lane::Long }
    }

    fn weight(&self, team: &TeamId) -> u64 {
        self.weights.get(team).copied().unwrap_or(1)
    }

    fn for_long(&self, now: Time) -> u32 {
        let keep = self.short.is_some_and(|t| now.since(t) < KEEP_FOR) && self.slots > 1;
        if keep { self.slots - (self.slots / KEEP_ONE_IN).max(1) } else { self.slots }
    }

    /// The lanes that may start a request now.
    fn open(&self, now: Time) -> &'static [Lane] {
        if self.running < self.for_long(now) { &LANES } else { &LANES[..1] }
    }

    /// Moves the tags of the item's team and caller: `to` has tag, price and clock.
    fn charge(&mut self, item: &Item, to: fn(u64, u64, u64) -> u64, price: u64) {
        let weight = self.weight(&item.team);
        let Some(team) = self.teams.get_mut(&item.team) else { return };
        team.tag = to(team.tag, price / weight, self.clock);
        let clock = team.clock;
        if team.callers.contains_key(&item.caller) {
            team.edit(&item.caller, |c| c.tag = to(c.tag, price, clock));
        }
    }

    fn collect(&mut self, now: Time) {
        while let Some(&(at, id)) = self.latest.first()
            && at < now
        {
            let item = self.remove(id);
            self.expired.extend(item);
        }
        self.rest();
    }

    fn remove(&mut self, id: RequestId) -> Option<Item> {
        let (seq, item) = self.items.remove(&id)?;
        self.latest.remove(&(item.latest(), id));

        let lane = self.lane(&item);
        let team = self.teams.get_mut(&item.team)?;
        team.len -= 1;
        team.work[lane as usize] -= cost(item.run);
        team.edit(&item.caller, |c| _ = c.lanes[lane as usize].remove(&seq));
        Some(item)
    }

    /// Forgets all debts when nothing waits: nobody is being delayed by them.
    fn rest(&mut self) {
        if self.items.is_empty() {
            self.teams.clear();
            self.clock = 0;
        }
    }

    /// Forgets those who owe nothing, as callers' names would fill the memory under lasting load.
    fn sweep(&mut self) {
        let clock = self.clock;
        for team in self.teams.values_mut() {
            let served = team.clock;
            team.callers.retain(|_, c| c.len() > 0 || c.tag > served);
        }
        self.teams.retain(|_, t| t.len > 0 || t.tag > clock);
    }
}
