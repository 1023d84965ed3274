//! VMs of standby pools that are lent to pools whose work waits.

use {
    crate::{
        decide::{standby::Tide, upkeep::LAG},
        ids::{PoolId, VmId, WorkerId},
        ports::{Deed, Fault, Vm, VmReply, VmState},
        shard::{Need, record::Turn},
        time::Time,
        upkeep::{
            course::{List, Words, clear},
            ledger::Lent,
        },
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// The pause before an order is given again, and that before one whose answer was good and that the list
/// doesn't show.
const AGAIN: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(8));
/// How long a VM that was empty is given to be clear, before it is used again.
const CLOSING: Duration = Duration::from_secs(4);

/// All loans.
#[derive(Debug, Default)]
pub(super) struct Loans {
    standby: BTreeSet<PoolId>,
    tides: BTreeMap<PoolId, Tide>,
    all: BTreeMap<VmId, Loan>,
    /// Pools that VMs can't go to.
    barred: BTreeSet<(VmId, PoolId)>,
}

/// A VM that is lent.
#[derive(Debug)]
struct Loan {
    home: PoolId,
    to: PoolId,
    phase: Phase,
    /// How many orders were decided on, and how many of these went out.
    tries: (u32, u32),
    flying: bool,
    /// Whether an order that had no answer may yet be carried out.
    open: bool,
    next: Time,
    missed: Option<Time>,
    worker: Option<WorkerId>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    /// It is on its way.
    Going,
    /// It is there, and empty since then.
    There(Option<Time>),
    /// It is to go back: nothing starts there any more, since then.
    Closing(Time),
    /// It is on its way back.
    Returning,
}

impl Loans {
    /// Takes in which pools stand by.
    pub fn pools(&mut self, standby: BTreeSet<PoolId>) {
        self.standby = standby;
    }

    /// Whether there is anything to lend or to be given back.
    pub fn any(&self) -> bool {
        !self.standby.is_empty() || !self.all.is_empty()
    }

    /// Whether the list of VMs is needed now.
    pub fn busy(&self) -> bool {
        let wanted = self.tides.values().any(|t| t.waits());
        !self.all.is_empty() || (wanted && !self.standby.is_empty())
    }

    /// What the store has to have of it.
    pub fn entries(&self) -> BTreeMap<VmId, Lent> {
        let entry = |l: &Loan| Lent {
            home: l.home.clone(),
            to: l.to.clone(),
            back: l.phase == Phase::Returning,
            tries: l.tries.0,
        };
        self.all.iter().map(|(vm, l)| (vm.clone(), entry(l))).collect()
    }

    /// Goes on from what the store has.
    pub fn load(&mut self, entries: &BTreeMap<VmId, Lent>, now: Time) {
        for (vm, e) in entries {
            // Whether its last order was carried out is not known: the list shows it, and an order that
            // may be under way keeps it from being used.
            let phase = if e.back { Phase::Closing(now) } else { Phase::Going };
            let loan = Loan {
                tries: (e.tries, e.tries),
                open: true,
                ..Loan::new(e.home.clone(), e.to.clone(), phase)
            };
            self.all.insert(vm.clone(), loan);
        }
    }

    /// The VMs that are in the hands of loans.
    pub fn taken(&self) -> impl Iterator<Item = &VmId> {
        let taken = |l: &Loan| !matches!(l.phase, Phase::There(_));
        self.all.iter().filter(move |(_, l)| taken(l)).map(|(vm, _)| vm)
    }

    /// The workers at which nothing may start.
    pub fn turns(&self) -> impl Iterator<Item = (WorkerId, Turn)> {
        let closed = |l: &&Loan| matches!(l.phase, Phase::Closing(_) | Phase::Returning);
        let all = self.all.values().filter(closed);
        all.filter_map(|l| Some((l.worker.clone()?, Turn::Closing)))
    }

    /// The workers of VMs that are lent.
    pub fn workers(&self) -> impl Iterator<Item = &WorkerId> {
        self.all.values().filter_map(|l| l.worker.as_ref())
    }

    /// Takes in what the list of VMs shows.
    pub fn listed(&mut self, list: &List) {
        self.all.retain(|vm, loan| match list.all.get(vm) {
            Some(vm) => {
                loan.missed = None;
                loan.seen(vm)
            }
            None => list.sent - *loan.missed.get_or_insert(list.sent) < LAG,
        });
    }

    /// Takes in how long each pool's work waits.
    pub fn needs(&mut self, needs: &[Need], now: Time) {
        let mut waits: BTreeMap<&PoolId, Duration> = BTreeMap::new();
        for need in needs {
            let known = waits.entry(&need.pool).or_default();
            *known = (*known).max(Duration::from_millis(need.waits));
        }
        for pool in waits.keys() {
            self.tides.entry((*pool).clone()).or_default();
        }
        for (pool, tide) in &mut self.tides {
            tide.seen(waits.get(pool).copied().unwrap_or_default(), now);
        }
    }

    /// Lends what is wanted and calls back what is not; `taken` are VMs in other hands.
    pub fn step(&mut self, list: &List, words: &Words, taken: &BTreeSet<VmId>, now: Time) {
        for (vm, loan) in &mut self.all {
            let tide = self.tides.entry(loan.to.clone()).or_default();
            loan.step(vm, tide, words, taken, now);
        }
        let (standby, barred) = (&self.standby, &self.barred);
        for (pool, tide) in self.tides.iter_mut().filter(|(p, _)| !standby.contains(p)) {
            let able = |vm: &&Vm| {
                let idle = !matches!(vm.state, VmState::Moving | VmState::Upkeep);
                let free = !taken.contains(&vm.id) && !self.all.contains_key(&vm.id);
                let pair = (vm.id.clone(), pool.clone());
                idle && free && standby.contains(&vm.pool) && !barred.contains(&pair)
            };
            let Some(vm) = list.all.values().find(able) else { continue };
            if tide.borrow(now) {
                log::info!(target: "upkeep", did = "lent", vm:% = vm.id, home:% = vm.pool, to:% = pool; "VM is lent.");
                let mut loan = Loan::new(vm.pool.clone(), pool.clone(), Phase::Going);
                loan.tries.0 = 1;
                self.all.insert(vm.id.clone(), loan);
            }
        }
    }

    /// An order that goes out now; `stored` are those that the store has.
    pub fn calls(
        &mut self,
        stored: &BTreeMap<VmId, Lent>,
        words: &Words,
        now: Time,
    ) -> Option<(VmId, Deed)> {
        for (vm, loan) in &mut self.all {
            let (decided, sent) = loan.tries;
            let there = stored.get(vm).is_some_and(|s| s.tries == decided);
            if loan.flying || sent == decided || !there {
                continue;
            }
            let to = match loan.phase {
                Phase::Going => &loan.to,
                Phase::Returning if clear(loan.worker.as_ref(), words, now) => &loan.home,
                _ => continue,
            };
            (loan.flying, loan.tries.1) = (true, decided);
            return Some((vm.clone(), Deed::Move(to.clone())));
        }
        None
    }

    /// Takes in what became of an order.
    pub fn answered(&mut self, vm: &VmId, reply: &Result<VmReply, Fault>, now: Time) {
        log::info!(target: "upkeep", did = "moved", vm:% = vm, reply:? = reply; "Move was ordered.");
        let Some(loan) = self.all.get_mut(vm) else { return };
        (loan.flying, loan.next) = (false, now + AGAIN.0);
        let going = loan.phase == Phase::Going;
        match reply {
            Ok(VmReply::Begun) => (loan.open, loan.next) = (false, now + AGAIN.1),
            Ok(VmReply::None) if going => {
                self.barred.insert((vm.clone(), loan.to.clone()));
                self.all.remove(vm);
            }
            Ok(VmReply::Busy) if going && !loan.open => drop(self.all.remove(vm)),
            Ok(VmReply::Busy) if !going => loan.phase = Phase::Closing(now),
            Ok(_) | Err(Fault::Refused | Fault::Unsent) => {}
            Err(_) => loan.open = true,
        }
    }
}

impl Loan {
    fn new(home: PoolId, to: PoolId, phase: Phase) -> Self {
        Loan {
            home,
            to,
            phase,
            tries: (0, 0),
            flying: false,
            open: false,
            next: Time::ZERO,
            missed: None,
            worker: None,
        }
    }

    /// Takes in what the list shows; returns whether it is still lent.
    fn seen(&mut self, vm: &Vm) -> bool {
        self.worker = vm.worker.clone();
        let up = vm.state == VmState::Up;
        match self.phase {
            Phase::Going if vm.pool == self.to && up => {
                (self.phase, self.open) = (Phase::There(None), false);
                true
            }
            Phase::Going => true,
            // While an order may still be carried out it is kept in mind, wherever it is.
            _ => vm.pool == self.to || self.open || self.flying,
        }
    }

    fn step(&mut self, vm: &VmId, tide: &Tide, words: &Words, taken: &BTreeSet<VmId>, now: Time) {
        let word = self.worker.as_ref().and_then(|w| words.get(w)).map(|w| &w.1);
        match &mut self.phase {
            Phase::There(empty) => {
                let none = word.is_some_and(|w| w.brief + w.lasting == 0);
                *empty = none.then(|| empty.unwrap_or(now));
                if let Some(since) = *empty
                    && !taken.contains(vm)
                    && tide.give_back(since, now)
                {
                    self.phase = Phase::Closing(now);
                }
            }
            Phase::Closing(since) => {
                if clear(self.worker.as_ref(), words, now) {
                    self.phase = Phase::Returning;
                    self.tries.0 += 1;
                } else if now - *since >= CLOSING && !self.open {
                    // Something has started there just before: it is wanted.
                    self.phase = Phase::There(None);
                }
            }
            Phase::Going | Phase::Returning => {
                let again = !self.flying && self.next <= now && self.tries.0 == self.tries.1;
                self.tries.0 += u32::from(again);
            }
        }
    }
}
