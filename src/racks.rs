//! The racks that a member owns: their workers' accounts, leases, reports and orders.
//!
//! Owns the racks' workers. Calls [`ledger`](crate::ledger) for what is in use and
//! [`decide`](crate::decide) for who is chosen; [`core`](crate::core) calls it. Knows no bucket and no
//! job but by the messages of their owners.
//!
//! A worker of a rack that was taken over gets nothing until it has taken the new epoch and has
//! sent a report that was true after that. From then on nothing of a former owner can start there,
//! and what had started is in the report. Where the former owner hands over what is in flight, the
//! report need not be waited for.

mod link;
mod order;
mod pass;
mod place;
mod report;
mod serve;
mod show;
mod tell;

pub use self::serve::Spot;

use {
    self::{link::Link, serve::Choice, tell::Facts},
    crate::{
        Time,
        attempts::{DRIFT, FLIGHT, LEASE},
        decide::{choose::Scores, eject::Ejector, estimate::Estimates, place::Index},
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

/// How long a reservation lasts; the intent's commit takes a few milliseconds when all is well.
const RESERVE: Duration = Duration::from_secs(5);

/// How far a worker's reports may lag, and a start's longest flight on top.
pub const LAG: Duration = Duration::from_secs(4);

/// The longest that a lease can run after its renewal was sent.
const LAPSE: Duration = LEASE.saturating_add(FLIGHT).saturating_add(DRIFT);

/// The racks that a member owns.
pub struct Racks {
    ledger: Ledger,
    vms: BTreeMap<WorkerId, Vm>,
    racks: BTreeMap<RackId, Rack>,
    links: BTreeMap<WorkerId, Link>,
    /// When each worker is to be looked at next.
    agenda: BTreeSet<(Time, WorkerId)>,
    /// The last tick that could send something.
    ticked: Time,
    tell: BTreeMap<(TaskId, Attempt), EndItem>,
    facts: BTreeMap<(TaskId, Attempt), Facts>,
    marks: BTreeMap<WorkerId, (TaskId, Time)>,
    indexes: BTreeMap<PoolId, Index>,
    estimates: Estimates,
    choices: BTreeMap<PoolId, Choice>,
    seed: u64,
}

/// A rack of this member's.
struct Rack {
    epoch: Epoch,
    gained: Time,
    workers: BTreeSet<WorkerId>,
}

impl Racks {
    /// No racks yet; `seed` draws the choices of endpoints.
    pub fn new(seed: u64) -> Self {
        Racks {
            choices: BTreeMap::new(),
            seed,
            ledger: Ledger::new(LAG),
            vms: BTreeMap::new(),
            racks: BTreeMap::new(),
            links: BTreeMap::new(),
            agenda: BTreeSet::new(),
            ticked: Time::ZERO,
            tell: BTreeMap::new(),
            facts: BTreeMap::new(),
            marks: BTreeMap::new(),
            indexes: BTreeMap::new(),
            estimates: Estimates::default(),
        }
    }

    /// Takes in the platform's list; a leaving worker gets nothing new from now on.
    pub fn listed(&mut self, vms: BTreeMap<WorkerId, Vm>, now: Time) {
        self.vms = vms;
        let owned = self.vms.values().filter(|v| self.racks.contains_key(&v.rack));
        let owned: Vec<Vm> = owned.cloned().collect();
        for vm in &owned {
            self.enter(vm, now);
        }
        for (worker, link) in &mut self.links {
            link.list(self.vms.contains_key(worker), now);
        }
        self.gate_all(now);
        self.prune(now);
    }

    /// A rack is this member's now.
    pub fn gained(&mut self, rack: &RackId, epoch: Epoch, now: Time) {
        let new = Rack { epoch, gained: now, workers: BTreeSet::new() };
        self.racks.insert(rack.clone(), new);
        let vms: Vec<Vm> = self.vms.values().filter(|v| v.rack == *rack).cloned().collect();
        for vm in &vms {
            self.enter(vm, now);
            self.gate(&vm.worker, now);
        }
        self.resize();
    }

    /// How many racks are owned.
    pub fn count(&self) -> usize {
        self.racks.len()
    }

    /// Enters a worker of an owned rack, or what the list says of it now.
    fn enter(&mut self, vm: &Vm, now: Time) {
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

    /// Forgets a worker, and what it holds.
    fn remove(&mut self, worker: &WorkerId) {
        if let Some(link) = self.links.remove(worker) {
            self.agenda.remove(&(link.wake, worker.clone()));
        }
        if let Some(account) = self.ledger.worker(worker)
            && let Some(rack) = self.racks.get_mut(&account.rack)
        {
            rack.workers.remove(worker);
        }
        self.ledger.remove(worker);
        self.indexes.values_mut().for_each(|i| i.remove(worker));
        for choice in self.choices.values_mut() {
            choice.scores.remove(worker);
            choice.ejector.forget(worker);
        }
    }

    /// Lets all workers take new work, or not.
    fn gate_all(&mut self, now: Time) {
        let all: Vec<WorkerId> = self.links.keys().cloned().collect();
        for worker in &all {
            self.gate(worker, now);
        }
        self.resize();
    }

    /// Lets a worker take new work, or not.
    fn gate(&mut self, worker: &WorkerId, now: Time) {
        let Some(link) = self.links.get_mut(worker) else { return };
        let live = self.vms.get(worker).is_some_and(|v| v.state == VmState::Live);
        let open = live && link.ready && !link.cut;
        if !open {
            link.withdraw();
        }
        self.ledger.cordon(worker, !open);
        let Some(account) = self.ledger.worker(worker) else { return };
        let seed = self.seed;
        let choice = self.choices.entry(account.pool.clone()).or_insert_with(|| Choice {
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

    /// Tells each pool's ejector how many endpoints there are.
    fn resize(&mut self) {
        let mut sizes: BTreeMap<&PoolId, usize> = BTreeMap::new();
        for (_, account) in self.ledger.workers() {
            *sizes.entry(&account.pool).or_default() += 1;
        }
        for (pool, choice) in &mut self.choices {
            choice.ejector.resize(sizes.get(pool).copied().unwrap_or(0));
        }
    }

    /// Forgets what no bucket's owner can mean any more.
    fn prune(&mut self, now: Time) {
        let (ledger, tell) = (&self.ledger, &self.tell);
        self.facts.retain(|key, facts| {
            let held = Held::Task(key.0.clone(), key.1);
            facts.fresh(now) || tell.contains_key(key) || ledger.place(&held).is_some()
        });
    }

    /// Keeps the index of a worker's pool in step with the ledger.
    fn reindex(&mut self, worker: &WorkerId) {
        let Some(account) = self.ledger.worker(worker) else { return };
        let Some(index) = self.indexes.get_mut(&account.pool) else { return };
        index.set(worker, account.room(), !account.cordoned());
    }

    /// Keeps the agenda in step with what is due for a worker.
    fn wake(&mut self, worker: &WorkerId) {
        let Some(link) = self.links.get_mut(worker) else { return };
        let next = link.next();
        if next != link.wake {
            self.agenda.remove(&(link.wake, worker.clone()));
            self.agenda.insert((next, worker.clone()));
            link.wake = next;
        }
    }
}
