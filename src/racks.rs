//! The racks that a member owns: their workers' accounts, leases, reports and orders.
//!
//! A worker of a rack that was taken over gets nothing until it has taken the new epoch and has
//! sent a report that was true after that. From then on nothing of a former owner can start there,
//! and what had started is in the report. Where the former owner hands over what is in flight, the
//! report need not be waited for.

mod link;
mod pass;
mod place;
mod serve;
mod show;
mod tell;

pub use self::serve::Spot;

use {
    self::{link::Link, serve::Choice, tell::Facts},
    crate::{
        Time,
        decide::{choose::Scores, eject::Ejector, estimate::Estimates, place::Index},
        ids::{Attempt, Epoch, PoolId, RackId, TaskId, WorkerId},
        ledger::Ledger,
        messages::{EndItem, Vm, VmState},
    },
    fastrand::Rng,
    std::{collections::BTreeMap, time::Duration},
};

/// How long a reservation lasts; the intent's commit takes a few milliseconds when all is well.
const RESERVE: Duration = Duration::from_secs(5);

/// How far a worker's reports may lag, and a start's longest flight on top.
pub const LAG: Duration = Duration::from_secs(4);

/// The racks that a member owns.
pub struct Racks {
    ledger: Ledger,
    vms: BTreeMap<WorkerId, Vm>,
    racks: BTreeMap<RackId, Epoch>,
    links: BTreeMap<WorkerId, Link>,
    tell: BTreeMap<(TaskId, Attempt), EndItem>,
    facts: BTreeMap<(TaskId, Attempt), Facts>,
    marks: BTreeMap<WorkerId, (TaskId, Time)>,
    indexes: BTreeMap<PoolId, Index>,
    estimates: Estimates,
    choices: BTreeMap<PoolId, Choice>,
    seed: u64,
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
        let racks: Vec<(RackId, Epoch)> = self.racks.iter().map(|(r, e)| (r.clone(), *e)).collect();
        for (rack, epoch) in racks {
            self.link(&rack, epoch, now);
        }
        let gone: Vec<WorkerId> =
            self.links.keys().filter(|w| !self.vms.contains_key(*w)).cloned().collect();
        for worker in gone {
            // The VM is gone, and with it what ran there; its leases are renewed no more.
            if let Some(link) = self.links.get_mut(&worker) {
                link.cut = true;
            }
        }
        self.gate(now);
    }

    /// A rack is this member's now.
    pub fn gained(&mut self, rack: &RackId, epoch: Epoch, now: Time) {
        self.racks.insert(rack.clone(), epoch);
        self.link(rack, epoch, now);
    }

    /// How many racks are owned.
    pub fn count(&self) -> usize {
        self.racks.len()
    }

    fn link(&mut self, rack: &RackId, epoch: Epoch, now: Time) {
        let vms: Vec<Vm> = self.vms.values().filter(|v| v.rack == *rack).cloned().collect();
        for vm in vms {
            self.ledger.add(&vm.worker, &vm.pool, rack, vm.size, vm.slots, vm.connections);
            let index = self.indexes.entry(vm.pool.clone()).or_default();
            if index.free(&vm.worker).is_none() {
                index.add(&vm.worker, rack, vm.size);
            }
            let link = self.links.entry(vm.worker).or_insert_with(|| Link::new(epoch, now));
            if link.epoch != epoch {
                *link = Link::new(epoch, now);
            }
        }
        self.gate(now);
    }

    /// Lets each worker take new work, or not.
    fn gate(&mut self, now: Time) {
        for (worker, link) in &self.links {
            let live = self.vms.get(worker).is_some_and(|v| v.state == VmState::Live);
            let open = live && link.ready && !link.cut;
            self.ledger.cordon(worker, !open);
            let Some(vm) = self.vms.get(worker) else { continue };
            let seed = self.seed;
            let choice = self.choices.entry(vm.pool.clone()).or_insert_with(|| Choice {
                scores: Scores::new(Rng::with_seed(seed)),
                ejector: Ejector::default(),
            });
            if open {
                choice.scores.add(worker.clone(), vm.slots, now);
            } else {
                choice.scores.remove(worker);
            }
        }
        for (pool, choice) in &mut self.choices {
            let count = self.ledger.workers().filter(|(_, a)| a.pool == *pool).count();
            choice.ejector.resize(count);
        }
        let all: Vec<WorkerId> = self.links.keys().cloned().collect();
        all.iter().for_each(|w| self.reindex(w));
    }

    fn on(&self, rack: &RackId) -> impl Iterator<Item = &WorkerId> {
        self.vms.values().filter(move |v| v.rack == *rack).map(|v| &v.worker)
    }

    /// Keeps the index of a worker's pool in step with the ledger.
    fn reindex(&mut self, worker: &WorkerId) {
        let Some(account) = self.ledger.worker(worker) else { return };
        let Some(index) = self.indexes.get_mut(&account.pool) else { return };
        index.set(worker, account.room(), !account.cordoned());
    }
}
