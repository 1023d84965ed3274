//! Which worker a task goes to.
//!
//! Load answered: batch work of mixed sizes, whose VMs should be few, beside services, whose
//! replicas should not fail together; thousands of decisions a second. Packed first-fit, tasks that
//! come and go keep more VMs in use than they need; spread at random, two replicas share a rack and
//! fall with its switch; scanned one by one, 3,900 workers take longer than the peak leaves for a
//! decision.
//!
//! - *Pack* takes the fullest fitting worker: the one with the smallest sum of free shares of its
//!   processors, memory and accelerators. So the emptiest workers get nothing new and become idle.
//!   Best-fit on the scarcest dimension alone keeps more VMs in use than first-fit does, as it looks
//!   past what the other dimensions have left; the test of packing compares all three.
//! - *Spread* takes the rack with the fewest replicas of the job, then the worker with the fewest,
//!   then the emptiest.
//! - Work without accelerators shuns workers that have some while any other has room; if it must,
//!   it takes the one with the fewest accelerators free, as the rest of such a worker is of the
//!   least use to others.
//!
//! There are no thresholds. The index proposes; the ledger has the last word. One index covers the
//! workers among which a task may choose: keep one for each pool.

mod tree;

use {
    self::tree::Tree,
    crate::{
        ids::{RackId, WorkerId},
        units::Size,
    },
    rustc_hash::FxHashMap,
    std::cmp::Reverse,
};

/// A worker as the index knows it.
#[derive(Clone, Debug)]
struct Spot {
    worker: WorkerId,
    rack: u32,
    size: Size,
    free: Size,
    open: bool,
}

/// The workers that tasks may be placed on, by their free room.
#[derive(Clone, Debug, Default)]
pub struct Index {
    ids: FxHashMap<WorkerId, u32>,
    spots: Vec<Spot>,
    vacant: Vec<u32>,
    rack_ids: FxHashMap<RackId, u32>,
    racks: Vec<Vec<u32>>,
    size: Size,
    /// The open workers without accelerators, the fullest first.
    plain: Tree,
    /// The open workers with accelerators, the fullest first.
    accel: Tree,
    /// The same, those with the fewest accelerators free first.
    shunned: Tree,
}

impl Index {
    /// An index without workers.
    pub fn new() -> Self {
        Index::default()
    }

    /// Enters a worker, empty and open; a known one is entered anew.
    pub fn add(&mut self, worker: &WorkerId, rack: &RackId, size: Size) {
        self.remove(worker);
        let next = self.racks.len() as u32;
        let rack = *self.rack_ids.entry(rack.clone()).or_insert(next);
        if rack == next {
            self.racks.push(Vec::new());
        }
        let spot = Spot { worker: worker.clone(), rack, size, free: size, open: true };
        let id = self.vacant.pop().unwrap_or(self.spots.len() as u32);
        match self.spots.get_mut(id as usize) {
            Some(old) => *old = spot,
            None => self.spots.push(spot),
        }
        self.racks[rack as usize].push(id);
        self.ids.insert(worker.clone(), id);
        self.size += size;
        self.enter(id);
    }

    /// Takes a worker out.
    pub fn remove(&mut self, worker: &WorkerId) {
        let Some(id) = self.ids.remove(worker) else { return };
        self.leave(id);
        let spot = &mut self.spots[id as usize];
        spot.open = false;
        self.size = self.size.saturating_sub(&spot.size);
        self.racks[spot.rack as usize].retain(|other| *other != id);
        self.vacant.push(id);
    }

    /// Notes what is free on a worker, and whether it takes new work.
    ///
    /// Call it after each change of the ledger; a worker that is leaving or quarantined is not open.
    pub fn set(&mut self, worker: &WorkerId, free: Size, open: bool) {
        let Some(&id) = self.ids.get(worker) else { return };
        self.leave(id);
        let spot = &mut self.spots[id as usize];
        (spot.free, spot.open) = (free, open);
        self.enter(id);
    }

    /// What is free on a worker.
    pub fn free(&self, worker: &WorkerId) -> Option<Size> {
        self.ids.get(worker).map(|id| self.spots[*id as usize].free)
    }

    /// The worker for a task of batch work, if one that isn't in `avoid` has the room.
    pub fn pack(&self, need: &Size, avoid: &[WorkerId]) -> Option<&WorkerId> {
        let ok = |id: u32| !avoid.contains(&self.spots[id as usize].worker);
        let id = if need.accels.0 > 0 {
            self.accel.first(need, &ok)
        } else {
            self.plain.first(need, &ok).or_else(|| self.shunned.first(need, &ok))
        };
        id.map(|id| &self.spots[id as usize].worker)
    }

    /// The worker for a service's replica, whose others run on `replicas` (a worker as often as it
    /// runs one), if one that isn't in `avoid` has the room.
    ///
    /// Takes a time that grows with the replicas and the workers of their racks besides.
    pub fn spread(
        &self,
        need: &Size,
        replicas: &[WorkerId],
        avoid: &[WorkerId],
    ) -> Option<&WorkerId> {
        let mut counts = FxHashMap::default();
        let mut racks = FxHashMap::default();
        for id in replicas.iter().filter_map(|w| self.ids.get(w)) {
            *counts.entry(*id).or_insert(0u32) += 1;
            *racks.entry(self.spots[*id as usize].rack).or_insert(0u32) += 1;
        }
        let ok = |id: u32| !avoid.contains(&self.spots[id as usize].worker);
        let fresh = |id: u32| !racks.contains_key(&self.spots[id as usize].rack) && ok(id);
        let shared = |accel: bool| {
            let known = racks.keys().flat_map(|r| &self.racks[*r as usize]).copied();
            let fit = known.filter(|id| {
                let s = &self.spots[*id as usize];
                s.open && (s.size.accels.0 > 0) == accel && need.fits(&s.free) && ok(*id)
            });
            fit.min_by_key(|id| {
                let s = &self.spots[*id as usize];
                (racks[&s.rack], counts.get(id).copied(), Reverse(emptiness(s)), *id)
            })
        };
        let plain = || self.plain.last(need, &fresh).or_else(|| shared(false));
        let accel = || self.accel.last(need, &fresh).or_else(|| shared(true));
        let id = if need.accels.0 > 0 { accel() } else { plain().or_else(accel) };
        id.map(|id| &self.spots[id as usize].worker)
    }

    /// The order in which to place a batch that is known whole: the largest tasks first, by their
    /// share of all workers in the dimension where it is largest.
    ///
    /// Large tasks that come last find room only on further workers, while small ones still fit
    /// into what large ones left.
    pub fn order(&self, needs: &[Size]) -> Vec<usize> {
        let mut order: Vec<usize> = (0..needs.len()).collect();
        order.sort_by_key(|n| Reverse(shares(&needs[*n], &self.size).into_iter().max()));
        order
    }

    fn enter(&mut self, id: u32) {
        let spot = &self.spots[id as usize];
        if !spot.open {
            return;
        }
        if spot.size.accels.0 == 0 {
            self.plain.insert(id, emptiness(spot), spot.free);
        } else {
            self.accel.insert(id, emptiness(spot), spot.free);
            self.shunned.insert(id, spot.free.accels.0, spot.free);
        }
    }

    fn leave(&mut self, id: u32) {
        let spot = &self.spots[id as usize];
        if !spot.open {
            return;
        }
        if spot.size.accels.0 == 0 {
            self.plain.remove(id);
        } else {
            self.accel.remove(id);
            self.shunned.remove(id);
        }
    }
}

/// The sum of a worker's free shares; greatest where it is idle.
fn emptiness(spot: &Spot) -> u64 {
    shares(&spot.free, &spot.size).into_iter().sum()
}

/// The part that one size is of another in each dimension, in units of 2^-32.
fn shares(part: &Size, all: &Size) -> [u64; 3] {
    let share = |part: u64, all: u64| {
        let wide = (u128::from(part) << 32) / u128::from(all.max(1));
        u64::try_from(wide).unwrap_or(u64::MAX >> 2)
    };
    [
        share(part.cores.0, all.cores.0),
        share(part.memory.0, all.memory.0),
        share(part.accels.0, all.accels.0),
    ]
}
