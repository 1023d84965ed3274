//! Accounts for the resources and request slots in use on each worker that this member owns.
//!
//! Calls no other module; [`racks`](crate::racks) calls it.
//!
//! Only the owner of a rack sends work to its workers, so their room and request slots are counted
//! here, in memory, and this count is authoritative: code that chooses a worker (`decide::place`,
//! `decide::gang`, `decide::choose`) must still reserve the room in the ledger. The ledger rejects
//! whatever does not fit. Only [`Ledger::adopt`] can record more on a worker than the worker has;
//! such a worker gets no new work until its load fits again. Connections are not counted: a worker
//! with 8 slots gets at most twice the nine that a member keeps (`endpoints`), during a handover.

mod account;
mod adopt;

pub use self::account::{Held, Load, Refusal, Worker};

use {
    crate::{
        Time,
        ids::{Attempt, PoolId, RackId, RequestId, TaskId, WorkerId},
        units::Size,
    },
    rustc_hash::FxHashMap,
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        time::Duration,
    },
};

/// A task attempt or request that occupies a worker.
#[derive(Clone, Debug)]
struct Hold {
    worker: WorkerId,
    load: Load,
    /// When it expires unless it is extended.
    ends: Time,
    /// The time by which it was counted as started; `None` if its absence from a report does not
    /// show that it has ended.
    since: Option<Time>,
}

/// The free request slots of a pool's workers.
#[derive(Clone, Debug, Default)]
struct Pool {
    idle: BTreeSet<(u32, WorkerId)>,
    slots: u32,
    free: u32,
}

/// The accounts of all workers that this member owns.
#[derive(Clone, Debug)]
pub struct Ledger {
    lag: Duration,
    workers: BTreeMap<WorkerId, Worker>,
    holds: FxHashMap<Held, Hold>,
    deadlines: BTreeSet<(Time, Held)>,
    pools: FxHashMap<PoolId, Pool>,
    ended: FxHashMap<Held, Time>,
    ended_order: VecDeque<(Time, Held)>,
}

impl Ledger {
    /// Creates an empty ledger for reports that are at most `lag` out of date.
    ///
    /// `lag` covers the age of the oldest report that may still arrive plus the longest delivery of a
    /// start order: an attempt whose start was sent may appear in reports only after both.
    pub fn new(lag: Duration) -> Self {
        Ledger {
            lag,
            workers: BTreeMap::new(),
            holds: FxHashMap::default(),
            deadlines: BTreeSet::new(),
            pools: FxHashMap::default(),
            ended: FxHashMap::default(),
            ended_order: VecDeque::new(),
        }
    }

    /// Adds a worker, or changes the limits of a known one; its current load stays.
    ///
    /// After a takeover, keep the worker cordoned until [`Ledger::adopt`] has processed a report
    /// taken after the former owner's last dispatch: requests leave no intents, so only reports show
    /// them.
    pub fn add(&mut self, worker: &WorkerId, pool: &PoolId, rack: &RackId, size: Size, slots: u32) {
        self.unlist(worker);
        let limit = Load { size, slots };
        let entry = self.workers.entry(worker.clone()).or_insert_with(|| Worker {
            pool: pool.clone(),
            rack: rack.clone(),
            limit,
            used: Load::default(),
            cordoned: false,
            held: BTreeSet::new(),
        });
        (entry.pool, entry.rack, entry.limit) = (pool.clone(), rack.clone(), limit);
        self.list(worker);
    }

    /// Removes a worker and returns what occupied it; that may still be running there.
    pub fn remove(&mut self, worker: &WorkerId) -> Vec<Held> {
        self.unlist(worker);
        let Some(entry) = self.workers.remove(worker) else { return Vec::new() };
        for held in &entry.held {
            if let Some(hold) = self.holds.remove(held) {
                self.deadlines.remove(&(hold.ends, held.clone()));
            }
        }
        entry.held.into_iter().collect()
    }

    /// Sets whether a worker is closed to new work; what runs there continues.
    pub fn cordon(&mut self, worker: &WorkerId, on: bool) {
        self.change(worker, |w| w.cordoned = on);
    }

    /// Reserves room for an attempt until `expires`, or changes the size of its reservation there.
    ///
    /// The expiry of an existing reservation is never moved forward: a delayed repeat would otherwise
    /// shorten a reservation that was extended since. A started attempt stays started.
    ///
    /// Errs, and changes nothing, if the room is insufficient, the worker takes no new work, or the
    /// attempt is held on another worker.
    pub fn reserve(
        &mut self,
        task: &TaskId,
        attempt: Attempt,
        worker: &WorkerId,
        size: Size,
        expires: Time,
    ) -> Result<(), Refusal> {
        let held = Held::Task(task.clone(), attempt);
        let old = self.holds.get(&held);
        if old.is_some_and(|h| h.worker != *worker) {
            return Err(Refusal::Elsewhere);
        }
        let w = self.workers.get(worker).ok_or(Refusal::Unknown)?;
        let (mut room, mut since, mut ends) = (w.room(), None, expires);
        if let Some(h) = old {
            room += h.load.size;
            since = h.since;
            ends = expires.max(h.ends);
        } else if w.cordoned {
            return Err(Refusal::Cordoned);
        } else if w.over() {
            return Err(Refusal::Room);
        }
        if !size.fits(&room) {
            return Err(Refusal::Room);
        }
        let load = Load { size, ..Load::default() };
        self.put(held, Hold { worker: worker.clone(), load, ends, since });
        Ok(())
    }

    /// Marks a reserved attempt as started, so that only its end frees the room.
    ///
    /// Call this when the intent is committed, before the start is sent. Returns false if the
    /// reservation has expired; the start must not be sent then. Without this call, a start in
    /// transit while its reservation expires would run in room that was given to another attempt.
    /// It counts as started now even if it was adopted before: a report from in between would show
    /// it as ended.
    pub fn confirm(&mut self, task: &TaskId, attempt: Attempt, now: Time) -> bool {
        let held = Held::Task(task.clone(), attempt);
        let Some(hold) = self.holds.get(&held) else { return false };
        let hold = Hold { ends: Time::NEVER, since: Some(now), ..hold.clone() };
        self.put(held, hold);
        true
    }

    /// Frees the room of an attempt that has ended or never started; idempotent.
    ///
    /// Returns whether the attempt was held.
    pub fn release(&mut self, task: &TaskId, attempt: Attempt, now: Time) -> bool {
        self.end(&Held::Task(task.clone(), attempt), now)
    }

    /// Frees the reservations and slots that have expired by `now`, and returns them, oldest first.
    pub fn expire(&mut self, now: Time) -> Vec<Held> {
        while let Some((at, held)) = self.ended_order.front()
            && *at + self.lag < now
        {
            if self.ended.get(held) == Some(at) {
                self.ended.remove(held);
            }
            self.ended_order.pop_front();
        }
        let mut out = Vec::new();
        while let Some((at, held)) = self.deadlines.first().cloned()
            && at <= now
        {
            match held {
                // No end is recorded: if the attempt runs after all, the next report must count it.
                Held::Task(..) => self.take(&held),
                Held::Request(_) => self.end(&held, now),
            };
            out.push(held);
        }
        out
    }

    /// Takes a request slot until the request's lease ends; renews the slot of a request held there.
    ///
    /// Errs if no slot is free, the worker takes no new work, or the request is held on another
    /// worker.
    pub fn take_slot(
        &mut self,
        request: RequestId,
        worker: &WorkerId,
        ends: Time,
    ) -> Result<(), Refusal> {
        let held = Held::Request(request);
        let w = self.workers.get(worker).ok_or(Refusal::Unknown)?;
        let load = match self.holds.get(&held) {
            Some(h) if h.worker != *worker => return Err(Refusal::Elsewhere),
            Some(h) => h.load,
            None if w.cordoned => return Err(Refusal::Cordoned),
            None if w.free() == 0 => return Err(Refusal::Slots),
            None => Load { slots: 1, ..Load::default() },
        };
        self.put(held, Hold { worker: worker.clone(), load, ends, since: None });
        Ok(())
    }

    /// Frees a request's slot; idempotent. Returns whether the request was held.
    pub fn free_slot(&mut self, request: RequestId, now: Time) -> bool {
        self.end(&Held::Request(request), now)
    }

    /// The account of a worker.
    pub fn worker(&self, worker: &WorkerId) -> Option<&Worker> {
        self.workers.get(worker)
    }

    /// All accounts, ordered by worker id.
    pub fn workers(&self) -> impl Iterator<Item = (&WorkerId, &Worker)> {
        self.workers.iter()
    }

    /// The worker on which an attempt or a request is held.
    pub fn place(&self, held: &Held) -> Option<&WorkerId> {
        self.holds.get(held).map(|h| &h.worker)
    }

    /// The load that is counted for an attempt or a request.
    pub fn load(&self, held: &Held) -> Option<&Load> {
        self.holds.get(held).map(|h| &h.load)
    }

    /// Whether an attempt or a request may have been sent to its worker; false for a reservation that
    /// no start has used.
    pub fn started(&self, held: &Held) -> bool {
        let sent = |h: &Hold| matches!(held, Held::Request(_)) || h.since.is_some();
        self.holds.get(held).is_some_and(sent)
    }

    /// The worker of a pool with the most free slots, if one has any.
    pub fn idlest(&self, pool: &PoolId) -> Option<&WorkerId> {
        let (free, worker) = self.pools.get(pool)?.idle.last()?;
        (*free > 0).then_some(worker)
    }

    /// The total number of slots of a pool's workers, and how many of them are free.
    pub fn slots(&self, pool: &PoolId) -> (u32, u32) {
        self.pools.get(pool).map_or((0, 0), |p| (p.slots, p.free))
    }

    /// Inserts a hold, replacing the previous one for the same attempt or request.
    fn put(&mut self, held: Held, hold: Hold) {
        self.take(&held);
        if hold.ends != Time::NEVER {
            self.deadlines.insert((hold.ends, held.clone()));
        }
        self.change(&hold.worker, |w| {
            w.used.add(&hold.load);
            w.held.insert(held.clone());
        });
        self.ended.remove(&held);
        self.holds.insert(held, hold);
    }

    /// Frees a hold and records its end, so that reports older than the end can't restore it.
    fn end(&mut self, held: &Held, now: Time) -> bool {
        let was = self.take(held);
        if was {
            self.ended.insert(held.clone(), now);
            self.ended_order.push_back((now, held.clone()));
        }
        was
    }

    fn take(&mut self, held: &Held) -> bool {
        let Some(hold) = self.holds.remove(held) else { return false };
        self.deadlines.remove(&(hold.ends, held.clone()));
        self.change(&hold.worker, |w| {
            w.used.sub(&hold.load);
            w.held.remove(held);
        });
        true
    }

    /// Changes a worker's account and updates its pool's free slots.
    fn change(&mut self, worker: &WorkerId, f: impl FnOnce(&mut Worker)) {
        self.unlist(worker);
        if let Some(w) = self.workers.get_mut(worker) {
            f(w);
        }
        self.list(worker);
    }

    fn unlist(&mut self, worker: &WorkerId) {
        let Some(w) = self.workers.get(worker) else { return };
        let Some(pool) = self.pools.get_mut(&w.pool) else { return };
        pool.idle.remove(&(w.free(), worker.clone()));
        pool.slots -= w.limit.slots;
        pool.free -= w.free();
    }

    fn list(&mut self, worker: &WorkerId) {
        let Some(w) = self.workers.get(worker) else { return };
        let pool = self.pools.entry(w.pool.clone()).or_default();
        pool.idle.insert((w.free(), worker.clone()));
        pool.slots += w.limit.slots;
        pool.free += w.free();
    }
}
