//! Chooses the worker that a task is placed on.
//!
//! Load answered: batch tasks of mixed sizes, which should use few VMs, along with services, whose
//! replicas should not fail together, at thousands of decisions a second. With first-fit packing,
//! tasks that come and go keep more VMs in use than they need. With random spreading, two replicas
//! share a rack and fail with its switch. A scan of all 3,900 workers takes longer than the peak
//! load leaves for a decision.
//!
//! - *Pack* takes the fullest worker that has room: the one with the smallest sum of free shares of
//!   its processors, memory and accelerators. So the emptiest workers get no new work and become
//!   idle. Best-fit on the scarcest dimension alone keeps more VMs in use than first-fit, because
//!   it ignores what is left in the other dimensions; the packing test compares all three.
//! - *Spread* takes the rack with the fewest replicas of the job, then the worker with the fewest,
//!   then the emptiest.
//! - Work without accelerators avoids workers that have some as long as any other worker has room.
//!   Otherwise it takes the one with the fewest free accelerators, since the rest of that worker is
//!   the least useful to other tasks.
//!
//! There are no thresholds. The index proposes a worker; the ledger makes the final decision. One
//! index covers the workers that a task may choose from: keep one for each pool.

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

/// State of a worker in the index.
#[derive(Clone, Debug)]
struct WorkerState {
    worker: WorkerId,
    rack: u32,
    size: Size,
    free: Size,
    schedulable: bool,
}

/// Index of workers by their free room, on which tasks may be placed.
#[derive(Clone, Debug, Default)]
pub struct PlacementIndex {
    /// Index in `states` of each worker.
    ids: FxHashMap<WorkerId, u32>,
    states: Vec<WorkerState>,
    /// Indexes in `states` of removed workers, to be used again.
    reusable_ids: Vec<u32>,
    /// Index in `racks` of each rack.
    rack_ids: FxHashMap<RackId, u32>,
    /// Indexes in `states` of the workers of each rack.
    racks: Vec<Vec<u32>>,
    /// Total resources of all workers.
    total_size: Size,
    /// Schedulable workers without accelerators, the fullest first.
    without_accels: Tree,
    /// Schedulable workers with accelerators, the fullest first.
    with_accels: Tree,
    /// Schedulable workers with accelerators, those with the fewest free accelerators first.
    by_accels: Tree,
}

impl PlacementIndex {
    /// Creates an index without workers.
    pub fn new() -> Self {
        PlacementIndex::default()
    }

    /// Adds a worker, empty and schedulable; a known worker is replaced.
    pub fn add(&mut self, worker: &WorkerId, rack: &RackId, size: Size) {
        self.remove(worker);
        let next = self.racks.len() as u32;
        let rack = *self.rack_ids.entry(rack.clone()).or_insert(next);
        if rack == next {
            self.racks.push(Vec::new());
        }
        let state =
            WorkerState { worker: worker.clone(), rack, size, free: size, schedulable: true };
        let id = self.reusable_ids.pop().unwrap_or(self.states.len() as u32);
        match self.states.get_mut(id as usize) {
            Some(old) => *old = state,
            None => self.states.push(state),
        }
        self.racks[rack as usize].push(id);
        self.ids.insert(worker.clone(), id);
        self.total_size += size;
        self.add_to_trees(id);
    }

    /// Removes a worker.
    pub fn remove(&mut self, worker: &WorkerId) {
        let Some(id) = self.ids.remove(worker) else { return };
        self.remove_from_trees(id);
        let state = &mut self.states[id as usize];
        state.schedulable = false;
        self.total_size = self.total_size.saturating_sub(&state.size);
        self.racks[state.rack as usize].retain(|other| *other != id);
        self.reusable_ids.push(id);
    }

    /// Updates the free room of a worker, and whether it is `schedulable`, that is, takes new work.
    ///
    /// Must be called after each change of the ledger. A worker that is leaving or quarantined is
    /// not schedulable.
    pub fn update(&mut self, worker: &WorkerId, free: Size, schedulable: bool) {
        let Some(&id) = self.ids.get(worker) else { return };
        self.remove_from_trees(id);
        let state = &mut self.states[id as usize];
        (state.free, state.schedulable) = (free, schedulable);
        self.add_to_trees(id);
    }

    /// Returns the free room of a worker.
    pub fn free(&self, worker: &WorkerId) -> Option<Size> {
        self.ids.get(worker).map(|id| self.states[*id as usize].free)
    }

    /// Returns the fullest worker with room for a batch task that is not in `avoid`, if there is
    /// one.
    pub fn pack(&self, need: &Size, avoid: &[WorkerId]) -> Option<&WorkerId> {
        let accept = |id: u32| !avoid.contains(&self.states[id as usize].worker);
        let id = if need.accels.0 > 0 {
            self.with_accels.first(need, &accept)
        } else {
            self.without_accels.first(need, &accept).or_else(|| self.by_accels.first(need, &accept))
        };
        id.map(|id| &self.states[id as usize].worker)
    }

    /// Returns the worker for a replica of a service, away from its other replicas and not in
    /// `avoid`, if one has room.
    ///
    /// `replicas` lists the workers of the other replicas, each as often as it runs one. The time
    /// grows with the number of replicas and of workers in their racks.
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
            *racks.entry(self.states[*id as usize].rack).or_insert(0u32) += 1;
        }
        let accept = |id: u32| !avoid.contains(&self.states[id as usize].worker);
        let in_new_rack =
            |id: u32| !racks.contains_key(&self.states[id as usize].rack) && accept(id);
        let in_used_rack = |with_accels: bool| {
            let known = racks.keys().flat_map(|r| &self.racks[*r as usize]).copied();
            let fit = known.filter(|id| {
                let s = &self.states[*id as usize];
                s.schedulable
                    && (s.size.accels.0 > 0) == with_accels
                    && need.fits(&s.free)
                    && accept(*id)
            });
            fit.min_by_key(|id| {
                let s = &self.states[*id as usize];
                (racks[&s.rack], counts.get(id).copied(), Reverse(free_share_sum(s)), *id)
            })
        };
        let without_accels =
            || self.without_accels.last(need, &in_new_rack).or_else(|| in_used_rack(false));
        let with_accels =
            || self.with_accels.last(need, &in_new_rack).or_else(|| in_used_rack(true));
        let id =
            if need.accels.0 > 0 { with_accels() } else { without_accels().or_else(with_accels) };
        id.map(|id| &self.states[id as usize].worker)
    }

    /// Returns the order in which to place a batch whose tasks are all known: the largest first, by
    /// their share of all workers in the dimension where this share is largest.
    ///
    /// If large tasks came last, they would need further workers, while small ones fit into the
    /// room that large ones leave.
    pub fn packing_order(&self, needs: &[Size]) -> Vec<usize> {
        let mut order: Vec<usize> = (0..needs.len()).collect();
        order.sort_by_key(|n| Reverse(shares(&needs[*n], &self.total_size).into_iter().max()));
        order
    }

    fn add_to_trees(&mut self, id: u32) {
        let state = &self.states[id as usize];
        if !state.schedulable {
            return;
        }
        if state.size.accels.0 == 0 {
            self.without_accels.insert(id, free_share_sum(state), state.free);
        } else {
            self.with_accels.insert(id, free_share_sum(state), state.free);
            self.by_accels.insert(id, state.free.accels.0, state.free);
        }
    }

    fn remove_from_trees(&mut self, id: u32) {
        let state = &self.states[id as usize];
        if !state.schedulable {
            return;
        }
        if state.size.accels.0 == 0 {
            self.without_accels.remove(id);
        } else {
            self.with_accels.remove(id);
            self.by_accels.remove(id);
        }
    }
}

/// Returns the sum of the free shares of a worker's processors, memory and accelerators. The sum is
/// largest for an idle worker.
fn free_share_sum(state: &WorkerState) -> u64 {
    shares(&state.free, &state.size).into_iter().sum()
}

/// Returns the share of `all` that `part` is in each dimension, in units of 2^-32.
fn shares(part: &Size, all: &Size) -> [u64; 3] {
    let share = |part: u64, all: u64| {
        let scaled = (u128::from(part) << 32) / u128::from(all.max(1));
        u64::try_from(scaled).unwrap_or(u64::MAX >> 2)
    };
    [
        share(part.cores.0, all.cores.0),
        share(part.memory.0, all.memory.0),
        share(part.accels.0, all.accels.0),
    ]
}
