//! Loans of VMs from standby pools to pools in which tasks are waiting.

use {
    crate::{
        decide::{standby::PoolDemand, upkeep::LIST_DELAY},
        ids::{PoolId, VmId, WorkerId},
        ports::{Fault, Vm, VmAction, VmReply, VmState},
        shard::{PoolWait, record::UpkeepTurn},
        time::Time,
        upkeep::{
            course::{ListedVms, Reports, is_clear},
            ledger::LoanEntry,
        },
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Pauses before an order is repeated: the first after a failure, the second after an accepted
/// order whose effect the list of VMs does not show yet.
const RETRY_PAUSES: (Duration, Duration) = (Duration::from_millis(500), Duration::from_secs(8));
/// Maximum time for a closed VM to become clear; after this time, the VM is used again.
const CLOSING_TIMEOUT: Duration = Duration::from_secs(4);

/// The standby pools and the VMs that are lent from them.
#[derive(Debug, Default)]
pub(super) struct Loans {
    standby: BTreeSet<PoolId>,
    pool_demands: BTreeMap<PoolId, PoolDemand>,
    all: BTreeMap<VmId, Loan>,
    /// Moves that the platform has declined: the VM and the pool to which it can't move.
    declined_moves: BTreeSet<(VmId, PoolId)>,
}

/// A VM that is lent.
#[derive(Debug)]
struct Loan {
    home: PoolId,
    to: PoolId,
    phase: Phase,
    /// Number of orders decided for the VM, and number of orders sent.
    order_counts: (u32, u32),
    in_flight: bool,
    /// Whether an unanswered order may still be carried out.
    unsettled: bool,
    retry_at: Time,
    missing_since: Option<Time>,
    worker: Option<WorkerId>,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Phase {
    /// The VM is moving to the pool that it is lent to.
    Going,
    /// The VM has arrived; time since which no task has run on it, or `None` if one may be running.
    Arrived(Option<Time>),
    /// The VM is to return; the time says since when no task may be started on it.
    Closing(Time),
    /// The VM is moving back to its home pool.
    Returning,
}

impl Loans {
    /// Sets the standby pools.
    pub fn set_standby(&mut self, standby: BTreeSet<PoolId>) {
        self.standby = standby;
    }

    /// Returns whether there are standby pools or lent VMs.
    pub fn has_any(&self) -> bool {
        !self.standby.is_empty() || !self.all.is_empty()
    }

    /// Returns whether the list of VMs is needed now.
    pub fn needs_list(&self) -> bool {
        let wanted = self.pool_demands.values().any(|t| t.is_waiting());
        !self.all.is_empty() || (wanted && !self.standby.is_empty())
    }

    /// Returns the ledger entries of all loans.
    pub fn entries(&self) -> BTreeMap<VmId, LoanEntry> {
        let entry = |l: &Loan| LoanEntry {
            home: l.home.clone(),
            to: l.to.clone(),
            back: l.phase == Phase::Returning,
            tries: l.order_counts.0,
        };
        self.all.iter().map(|(vm, l)| (vm.clone(), entry(l))).collect()
    }

    /// Restores the loans from the stored ledger.
    pub fn load(&mut self, entries: &BTreeMap<VmId, LoanEntry>, now: Time) {
        for (vm, e) in entries {
            // It is not known whether the last order was carried out. Until the list shows that,
            // the VM is not used, because the order may still be under way.
            let phase = if e.back { Phase::Closing(now) } else { Phase::Going };
            let loan = Loan {
                order_counts: (e.tries, e.tries),
                unsettled: true,
                ..Loan::new(e.home.clone(), e.to.clone(), phase)
            };
            self.all.insert(vm.clone(), loan);
        }
    }

    /// Returns the VMs that are moving between pools or being emptied.
    pub fn taken_vms(&self) -> impl Iterator<Item = &VmId> {
        let taken = |l: &Loan| !matches!(l.phase, Phase::Arrived(_));
        self.all.iter().filter(move |(_, l)| taken(l)).map(|(vm, _)| vm)
    }

    /// Returns the workers at which no task may be started.
    pub fn worker_turns(&self) -> impl Iterator<Item = (WorkerId, UpkeepTurn)> {
        let closed = |l: &&Loan| matches!(l.phase, Phase::Closing(_) | Phase::Returning);
        let all = self.all.values().filter(closed);
        all.filter_map(|l| Some((l.worker.clone()?, UpkeepTurn::Closing)))
    }

    /// Returns the workers of lent VMs.
    pub fn workers(&self) -> impl Iterator<Item = &WorkerId> {
        self.all.values().filter_map(|l| l.worker.as_ref())
    }

    /// Processes a new list of VMs.
    pub fn update_list(&mut self, list: &ListedVms) {
        self.all.retain(|vm, loan| match list.vms.get(vm) {
            Some(vm) => {
                loan.missing_since = None;
                loan.seen(vm)
            }
            None => {
                list.requested_at - *loan.missing_since.get_or_insert(list.requested_at)
                    < LIST_DELAY
            }
        });
    }

    /// Records how long the tasks of each pool have waited.
    pub fn set_needs(&mut self, needs: &[PoolWait], now: Time) {
        let mut waits: BTreeMap<&PoolId, Duration> = BTreeMap::new();
        for need in needs {
            let known = waits.entry(&need.pool).or_default();
            *known = (*known).max(Duration::from_millis(need.wait_ms));
        }
        for pool in waits.keys() {
            self.pool_demands.entry((*pool).clone()).or_default();
        }
        for (pool, demand) in &mut self.pool_demands {
            demand.record_wait(waits.get(pool).copied().unwrap_or_default(), now);
        }
    }

    /// Lends VMs to pools that need them and calls back VMs that are no longer needed; `taken_vms` are
    /// the VMs of maintenance waves.
    pub fn step(&mut self, list: &ListedVms, reports: &Reports, taken: &BTreeSet<VmId>, now: Time) {
        for (vm, loan) in &mut self.all {
            let demand = self.pool_demands.entry(loan.to.clone()).or_default();
            loan.step(vm, demand, reports, taken, now);
        }
        let (standby, barred) = (&self.standby, &self.declined_moves);
        for (pool, demand) in self.pool_demands.iter_mut().filter(|(p, _)| !standby.contains(p)) {
            let able = |vm: &&Vm| {
                let idle = !matches!(vm.state, VmState::Moving | VmState::Upkeep);
                let free = !taken.contains(&vm.id) && !self.all.contains_key(&vm.id);
                let pair = (vm.id.clone(), pool.clone());
                idle && free && standby.contains(&vm.pool) && !barred.contains(&pair)
            };
            let Some(vm) = list.vms.values().find(able) else { continue };
            if demand.should_lend(now) {
                log::info!(target: "upkeep", did = "lent", vm:% = vm.id, home:% = vm.pool, to:% = pool; "VM is lent.");
                let mut loan = Loan::new(vm.pool.clone(), pool.clone(), Phase::Going);
                loan.order_counts.0 = 1;
                self.all.insert(vm.id.clone(), loan);
            }
        }
    }

    /// Returns an order to send now, if any; `stored` are the loans in the stored ledger.
    pub fn next_order(
        &mut self,
        stored: &BTreeMap<VmId, LoanEntry>,
        reports: &Reports,
        now: Time,
    ) -> Option<(VmId, VmAction)> {
        for (vm, loan) in &mut self.all {
            let (decided, sent) = loan.order_counts;
            let noted = stored.get(vm).is_some_and(|s| s.tries == decided);
            if loan.in_flight || sent == decided || !noted {
                continue;
            }
            let to = match loan.phase {
                Phase::Going => &loan.to,
                Phase::Returning if is_clear(loan.worker.as_ref(), reports, now) => &loan.home,
                _ => continue,
            };
            (loan.in_flight, loan.order_counts.1) = (true, decided);
            return Some((vm.clone(), VmAction::Move(to.clone())));
        }
        None
    }

    /// Processes the outcome of an order.
    pub fn handle_reply(&mut self, vm: &VmId, reply: &Result<VmReply, Fault>, now: Time) {
        log::info!(target: "upkeep", did = "moved", vm:% = vm, reply:? = reply; "Move was ordered.");
        let Some(loan) = self.all.get_mut(vm) else { return };
        (loan.in_flight, loan.retry_at) = (false, now + RETRY_PAUSES.0);
        let going = loan.phase == Phase::Going;
        match reply {
            Ok(VmReply::Begun) => (loan.unsettled, loan.retry_at) = (false, now + RETRY_PAUSES.1),
            Ok(VmReply::None) if going => {
                self.declined_moves.insert((vm.clone(), loan.to.clone()));
                self.all.remove(vm);
            }
            Ok(VmReply::Busy) if going && !loan.unsettled => drop(self.all.remove(vm)),
            Ok(VmReply::Busy) if !going => loan.phase = Phase::Closing(now),
            Ok(_) | Err(Fault::Refused | Fault::Unsent) => {}
            Err(_) => loan.unsettled = true,
        }
    }
}

impl Loan {
    fn new(home: PoolId, to: PoolId, phase: Phase) -> Self {
        Loan {
            home,
            to,
            phase,
            order_counts: (0, 0),
            in_flight: false,
            unsettled: false,
            retry_at: Time::ZERO,
            missing_since: None,
            worker: None,
        }
    }

    /// Processes the VM's row of the list and returns whether the loan continues.
    fn seen(&mut self, vm: &Vm) -> bool {
        self.worker = vm.worker.clone();
        let up = vm.state == VmState::Up;
        match self.phase {
            Phase::Going if vm.pool == self.to && up => {
                (self.phase, self.unsettled) = (Phase::Arrived(None), false);
                true
            }
            Phase::Going => true,
            // While an order may still be carried out, the loan is kept, whatever pool the VM is
            // in.
            _ => vm.pool == self.to || self.unsettled || self.in_flight,
        }
    }

    fn step(
        &mut self,
        vm: &VmId,
        demand: &PoolDemand,
        reports: &Reports,
        taken: &BTreeSet<VmId>,
        now: Time,
    ) {
        let report = self.worker.as_ref().and_then(|w| reports.get(w)).map(|w| &w.1);
        match &mut self.phase {
            Phase::Arrived(empty) => {
                let idle = report.is_some_and(|w| w.finite_count + w.long_running_count == 0);
                *empty = idle.then(|| empty.unwrap_or(now));
                if let Some(since) = *empty
                    && !taken.contains(vm)
                    && demand.should_return(since, now)
                {
                    self.phase = Phase::Closing(now);
                }
            }
            Phase::Closing(since) => {
                if is_clear(self.worker.as_ref(), reports, now) {
                    self.phase = Phase::Returning;
                    self.order_counts.0 += 1;
                } else if now - *since >= CLOSING_TIMEOUT && !self.unsettled {
                    // A task was started on the VM just before it was closed, so the VM is still
                    // needed.
                    self.phase = Phase::Arrived(None);
                }
            }
            Phase::Going | Phase::Returning => {
                let retry = !self.in_flight
                    && self.retry_at <= now
                    && self.order_counts.0 == self.order_counts.1;
                self.order_counts.0 += u32::from(retry);
            }
        }
    }
}
