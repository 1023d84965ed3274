//! The racks that a member owns: their workers' accounts, leases, reports and orders.
//!
//! Owns the racks' workers. Calls [`ledger`](crate::ledger) for the load of workers and
//! [`decide`](crate::decide) for the choice of workers; [`core`](crate::core) calls it. Learns of
//! buckets and jobs only from the messages of their owners.
//!
//! A worker of a rack that was taken over gets no work until it has accepted the new epoch and has
//! sent a report taken after that. From then on nothing that a former owner sent can start there, and
//! everything started before is in the report. If the former owner hands over what is in flight, the
//! new owner need not wait for the report.

mod link;
mod order;
mod pass;
mod place;
mod report;
mod serve;
mod show;
mod tell;

pub use self::serve::Destination;

use {
    self::{link::Link, serve::Endpoints, tell::AttemptInfo},
    crate::{
        Time,
        attempts::{CLOCK_DRIFT, LEASE, MAX_TRANSIT},
        decide::{choose::Scores, eject::Ejector, estimate::Estimates, place::PlacementIndex},
        ids::{Attempt, Epoch, PoolId, RackId, TaskId, WorkerId},
        ledger::{Held, Ledger},
        messages::{EndItem, Vm, VmState},
    },
    fastrand::Rng,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// How long a reservation lasts; the intent's commit normally takes a few milliseconds.
const RESERVATION_TTL: Duration = Duration::from_secs(5);

/// The maximum delay of a worker's reports plus the longest delivery of a start.
pub const REPORT_LAG: Duration = Duration::from_secs(4);

/// The longest time that a lease can be valid after its renewal was sent.
const LEASE_MAX: Duration = LEASE.saturating_add(MAX_TRANSIT).saturating_add(CLOCK_DRIFT);

/// The racks that a member owns.
pub struct Racks {
    ledger: Ledger,
    vms: BTreeMap<WorkerId, Vm>,
    racks: BTreeMap<RackId, Rack>,
    links: BTreeMap<WorkerId, Link>,
    /// When each worker is to be processed next.
    agenda: BTreeSet<(Time, WorkerId)>,
    /// The last tick at which this member held its lease.
    ticked: Time,
    pending_ends: BTreeMap<(TaskId, Attempt), EndItem>,
    attempts: BTreeMap<(TaskId, Attempt), AttemptInfo>,
    preempting: BTreeMap<WorkerId, (TaskId, Time)>,
    indexes: BTreeMap<PoolId, PlacementIndex>,
    estimates: Estimates,
    endpoints: BTreeMap<PoolId, Endpoints>,
    seed: u64,
}

/// A rack that this member owns.
struct Rack {
    epoch: Epoch,
    gained: Time,
    workers: BTreeSet<WorkerId>,
}

impl Racks {
    /// Creates an empty set of racks; `seed` seeds the random choice of endpoints.
    pub fn new(seed: u64) -> Self {
        Racks {
            endpoints: BTreeMap::new(),
            seed,
            ledger: Ledger::new(REPORT_LAG),
            vms: BTreeMap::new(),
            racks: BTreeMap::new(),
            links: BTreeMap::new(),
            agenda: BTreeSet::new(),
            ticked: Time::ZERO,
            pending_ends: BTreeMap::new(),
            attempts: BTreeMap::new(),
            preempting: BTreeMap::new(),
            indexes: BTreeMap::new(),
            estimates: Estimates::default(),
        }
    }

    /// Applies the platform's list of VMs; a leaving worker gets no new work from now on.
    pub fn update_vms(&mut self, vms: BTreeMap<WorkerId, Vm>, now: Time) {
        self.vms = vms;
        let owned = self.vms.values().filter(|v| self.racks.contains_key(&v.rack));
        let owned: Vec<Vm> = owned.cloned().collect();
        for vm in &owned {
            self.add_worker(vm, now);
        }
        for (worker, link) in &mut self.links {
            link.list(self.vms.contains_key(worker), now);
        }
        self.update_cordons(now);
        self.prune(now);
    }

    /// Adds a rack that this member now owns.
    pub fn gained(&mut self, rack: &RackId, epoch: Epoch, now: Time) {
        let new = Rack { epoch, gained: now, workers: BTreeSet::new() };
        self.racks.insert(rack.clone(), new);
        let vms: Vec<Vm> = self.vms.values().filter(|v| v.rack == *rack).cloned().collect();
        for vm in &vms {
            self.add_worker(vm, now);
            self.update_cordon(&vm.worker, now);
        }
        self.resize();
    }

    /// How many racks are owned.
    pub fn count(&self) -> usize {
        self.racks.len()
    }

    /// Adds a worker of an owned rack, or updates it from the platform's list.
    fn add_worker(&mut self, vm: &Vm, now: Time) {
        let Some(rack) = self.racks.get_mut(&vm.rack) else { return };
        let epoch = rack.epoch;
        rack.workers.insert(vm.worker.clone());
        self.ledger.add(&vm.worker, &vm.pool, &vm.rack, vm.size, vm.slots);
        let index = self.indexes.entry(vm.pool.clone()).or_default();
        if index.free(&vm.worker).is_none() {
            index.add(&vm.worker, &vm.rack, vm.size);
        }
        let link = self.links.entry(vm.worker.clone()).or_insert_with(|| Link::new(epoch, now));
        if link.epoch != epoch {
            *link = Link::new(epoch, now);
        }
    }

    /// Removes a worker and its load.
    fn remove(&mut self, worker: &WorkerId) {
        if let Some(link) = self.links.remove(worker) {
            self.agenda.remove(&(link.wake_at, worker.clone()));
        }
        if let Some(account) = self.ledger.worker(worker)
            && let Some(rack) = self.racks.get_mut(&account.rack)
        {
            rack.workers.remove(worker);
        }
        self.ledger.remove(worker);
        self.indexes.values_mut().for_each(|i| i.remove(worker));
        for choice in self.endpoints.values_mut() {
            choice.scores.remove(worker);
            choice.ejector.forget(worker);
        }
    }

    /// Updates for all workers whether they take new work.
    fn update_cordons(&mut self, now: Time) {
        let all: Vec<WorkerId> = self.links.keys().cloned().collect();
        for worker in &all {
            self.update_cordon(worker, now);
        }
        self.resize();
    }

    /// Updates whether a worker takes new work.
    fn update_cordon(&mut self, worker: &WorkerId, now: Time) {
        let Some(link) = self.links.get_mut(worker) else { return };
        let live = self.vms.get(worker).is_some_and(|v| v.state == VmState::Live);
        let open = live && link.ready && !link.lapsing;
        if !open {
            link.withdraw();
        }
        self.ledger.cordon(worker, !open);
        let Some(account) = self.ledger.worker(worker) else { return };
        let seed = self.seed;
        let choice = self.endpoints.entry(account.pool.clone()).or_insert_with(|| Endpoints {
            scores: Scores::new(Rng::with_seed(seed)),
            ejector: Ejector::default(),
        });
        if open {
            choice.scores.add(worker.clone(), account.limit().slots, now);
        } else {
            choice.scores.remove(worker);
        }
        self.reindex(worker);
        self.wake(worker);
    }

    /// Updates the number of endpoints in each pool's ejector.
    fn resize(&mut self) {
        let mut sizes: BTreeMap<&PoolId, usize> = BTreeMap::new();
        for (_, account) in self.ledger.workers() {
            *sizes.entry(&account.pool).or_default() += 1;
        }
        for (pool, choice) in &mut self.endpoints {
            choice.ejector.resize(sizes.get(pool).copied().unwrap_or(0));
        }
    }

    /// Removes records of attempts that no bucket's owner can still refer to.
    fn prune(&mut self, now: Time) {
        let (ledger, pending) = (&self.ledger, &self.pending_ends);
        self.attempts.retain(|key, facts| {
            let held = Held::Task(key.0.clone(), key.1);
            facts.fresh(now) || pending.contains_key(key) || ledger.place(&held).is_some()
        });
    }

    /// Updates a worker in its pool's index from the ledger.
    fn reindex(&mut self, worker: &WorkerId) {
        let Some(account) = self.ledger.worker(worker) else { return };
        let Some(index) = self.indexes.get_mut(&account.pool) else { return };
        index.update(worker, account.room(), !account.cordoned());
    }

    /// Updates the agenda with the time at which a worker is due next.
    fn wake(&mut self, worker: &WorkerId) {
        let Some(link) = self.links.get_mut(worker) else { return };
        let next = link.next_due();
        if next != link.wake_at {
            self.agenda.remove(&(link.wake_at, worker.clone()));
            self.agenda.insert((next, worker.clone()));
            link.wake_at = next;
        }
    }
}
