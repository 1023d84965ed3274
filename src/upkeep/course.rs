//! The progress of one maintenance wave and of each of its VMs.

use {
    crate::{
        decide::upkeep::{LIST_DELAY, UpkeepStage, VmStatus, WaveLimits, WavePlan, plan_wave},
        ids::{VmId, WorkerId},
        ports::{Fault, Rev, Vm, VmLimits, VmReply, VmState, Wave},
        shard::{Occupancy, record::UpkeepTurn},
        time::Time,
        upkeep::ledger::WaveEntry,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Pause before an order is repeated.
const RETRY_PAUSE: Duration = Duration::from_millis(500);
/// Number of answers that a VM is not part of the wave after which the holder drops the VM. Earlier
/// answers are ignored, since the platform may not have seen the operators' latest order yet.
const MAX_DENIALS: u32 = 3;
/// Maximum age of an owner's report; older reports are ignored.
const MAX_REPORT_AGE: Duration = Duration::from_millis(600);

/// The list of VMs as last read from the platform.
#[derive(Debug, Default)]
pub(super) struct ListedVms {
    /// Time at which the list was requested.
    pub requested_at: Time,
    /// The VMs by id.
    pub vms: BTreeMap<VmId, Vm>,
}

/// The owners' last reports on workers, with the time of the request.
pub(super) type Reports = BTreeMap<WorkerId, (Time, Occupancy)>;

/// A wave under way or completed.
#[derive(Debug)]
pub(super) struct WaveProgress {
    /// The wave as the operators ordered it.
    pub wave: Wave,
    /// Revision of the operators' item.
    pub rev: Rev,
    /// Start of the wave, in milliseconds of Unix time.
    pub started_ms: u64,
    /// Whether the wave is completed.
    pub is_completed: bool,
    deadline: Time,
    vms: BTreeMap<VmId, VmProgress>,
}

/// The progress of one VM of a wave.
#[derive(Debug, Default)]
struct VmProgress {
    phase: Phase,
    /// Number of orders decided for the VM, and number of orders sent.
    order_counts: (u32, u32),
    /// Whether an unanswered order may still be carried out.
    unsettled: bool,
    /// Whether the maintenance of the VM has begun.
    has_begun: bool,
    /// Id of the VM's worker in the last list.
    worker: Option<WorkerId>,
    /// No order is sent before this time.
    retry_at: Time,
    /// Time since which the VM has been missing from the list.
    missing_since: Option<Time>,
    /// Number of platform answers saying that the VM is not part of the wave.
    denials: u32,
}

#[derive(Debug, Default)]
enum Phase {
    #[default]
    Due,
    /// Time since which the VM is being emptied, and whether the holder has stopped waiting for
    /// tasks that would end by themselves.
    Closing(Time, bool),
    /// The VM is to be taken down: id of its worker, and whether an order is in flight.
    Ordered(Option<WorkerId>, bool),
    /// Time since which the VM has been down, and id of the worker that it had before.
    Down(Time, Option<WorkerId>),
    Over,
}

impl WaveProgress {
    /// Creates the progress of a wave, continuing from its stored entry if there is one.
    pub fn new(wave: Wave, rev: Rev, entry: Option<&WaveEntry>, unix: u64, now: Time) -> Self {
        // A wave that the operators have changed starts anew, except that finished VMs stay
        // finished.
        let started_ms = entry.filter(|e| e.rev == rev).map_or(unix, |e| e.since.min(unix));
        let passed = Duration::from_millis(unix - started_ms);
        let deadline = now + wave.time_limit.saturating_sub(passed);
        let progress = |m: &VmId| {
            let mut progress = VmProgress::default();
            if let Some(entry) = entry {
                if entry.done.contains(m) {
                    (progress.phase, progress.has_begun) = (Phase::Over, true);
                } else if let Some(tries) = entry.out.get(m) {
                    progress.order_counts = (*tries, *tries);
                    // It is not known whether the order was carried out; the answer to a repeated
                    // order shows that.
                    (progress.phase, progress.unsettled) = (Phase::Closing(now, false), true);
                }
            }
            (m.clone(), progress)
        };
        let vms = wave.vms.iter().map(progress).collect();
        let is_completed = entry.is_some_and(|e| e.over && e.rev == rev);
        WaveProgress { wave, rev, started_ms, is_completed, deadline, vms }
    }

    /// Returns the ledger entry of this wave.
    pub fn entry(&self) -> WaveEntry {
        let out =
            |p: &VmProgress| !p.has_begun && (p.unsettled || matches!(p.phase, Phase::Ordered(..)));
        let out =
            self.vms.iter().filter(|(_, p)| out(p)).map(|(m, p)| (m.clone(), p.order_counts.0));
        let done = self.vms.iter().filter(|(_, p)| p.has_begun).map(|(m, _)| m.clone());
        WaveEntry {
            rev: self.rev,
            since: self.started_ms,
            out: out.collect(),
            done: done.collect(),
            over: self.is_completed,
        }
    }

    /// Returns the VMs that this wave is emptying or has taken down.
    pub fn taken_vms(&self) -> impl Iterator<Item = &VmId> {
        let taken = |p: &VmProgress| !matches!(p.phase, Phase::Due | Phase::Over);
        self.vms.iter().filter(move |(_, p)| taken(p)).map(|(m, _)| m)
    }

    /// Returns the workers of the wave's VMs and how far each is in its maintenance.
    pub fn worker_turns(&self) -> impl Iterator<Item = (WorkerId, UpkeepTurn)> {
        self.vms.values().flat_map(|p| {
            let now = p.worker.clone();
            match &p.phase {
                Phase::Due => vec![(now, UpkeepTurn::Due)],
                Phase::Closing(_, false) => vec![(now, UpkeepTurn::Closing)],
                Phase::Closing(_, true) => vec![(now, UpkeepTurn::Forced)],
                Phase::Ordered(worker, ..) => {
                    vec![(now, UpkeepTurn::Forced), (worker.clone(), UpkeepTurn::Forced)]
                }
                Phase::Down(..) | Phase::Over => vec![],
            }
            .into_iter()
            .filter_map(|(w, t)| Some((w?, t)))
        })
    }

    /// Processes a new list of VMs.
    pub fn update_list(&mut self, list: &ListedVms, fleet: &VmLimits) {
        for (m, progress) in &mut self.vms {
            let Some(vm) = list.vms.get(m) else {
                // A VM that is missing from the list for `LIST_DELAY` is gone and needs no maintenance.
                if list.requested_at - *progress.missing_since.get_or_insert(list.requested_at)
                    >= LIST_DELAY
                {
                    progress.phase = Phase::Over;
                    progress.unsettled = false;
                }
                continue;
            };
            if progress.missing_since.take().is_some()
                && matches!(progress.phase, Phase::Over)
                && !progress.has_begun
            {
                progress.phase = Phase::Due;
            }
            progress.seen(vm, list.requested_at, fleet);
        }
    }

    /// Returns the number of VMs that are down for this wave or may go down at any moment.
    fn down_count(&self, list: &ListedVms) -> u32 {
        let upkeep = |m: &VmId| list.vms.get(m).is_some_and(|m| m.state == VmState::Upkeep);
        let down = |(m, p): &(&VmId, &VmProgress)| {
            p.unsettled || upkeep(m) || matches!(p.phase, Phase::Ordered(..) | Phase::Down(..))
        };
        u32::try_from(self.vms.iter().filter(down).count()).unwrap_or(u32::MAX)
    }

    /// Decides which VMs to start emptying, which to empty without waiting for tasks to end, and
    /// which to order down; `taken_vms` are the VMs that any wave or loan is working on.
    pub fn advance(
        &mut self,
        list: &ListedVms,
        reports: &Reports,
        taken: &BTreeSet<VmId>,
        fleet: &VmLimits,
        now: Time,
    ) {
        let facts: Vec<VmStatus> =
            self.vms.iter().map(|(m, p)| p.facts(m, list, reports, taken, now)).collect();
        let left = if self.deadline > now { self.deadline - now } else { Duration::ZERO };
        let allowed = WaveLimits {
            remaining_time: left,
            max_down: self.wave.max_down,
            down_time: fleet.upkeep_time,
        };
        let WavePlan { drain: close, force_stop: force } = plan_wave(&facts, allowed);
        for (i, (m, progress)) in self.vms.iter_mut().enumerate() {
            if close.contains(&i) {
                progress.phase = Phase::Closing(now, false);
                log::info!(target: "upkeep", did = "closing", wave:% = self.wave.number, vm:% = m; "VM is emptied.");
            } else if let (true, Phase::Closing(_, forced)) =
                (force.contains(&i), &mut progress.phase)
            {
                *forced = true;
            }
        }
        self.decide_orders(list, reports, now);
        for progress in self.vms.values_mut() {
            let retry =
                matches!(progress.phase, Phase::Ordered(_, false)) && progress.retry_at <= now;
            progress.order_counts.0 +=
                u32::from(retry && progress.order_counts.0 == progress.order_counts.1);
        }
        let over = |p: &VmProgress| matches!(p.phase, Phase::Down(..) | Phase::Over);
        if !self.is_completed && self.vms.values().all(over) {
            self.is_completed = true;
            log::info!(target: "upkeep", did = "completed", wave:% = self.wave.number, late = self.deadline < now; "Wave is completed.");
        }
    }

    /// Decides on orders for clear VMs within the maximum number of VMs that may be down.
    fn decide_orders(&mut self, list: &ListedVms, reports: &Reports, now: Time) {
        let mut slots = self.wave.max_down.max(1).saturating_sub(self.down_count(list));
        for (m, progress) in &mut self.vms {
            let Phase::Closing(..) = progress.phase else { continue };
            let Some(vm) = list.vms.get(m).filter(|m| m.state == VmState::Up) else {
                continue;
            };
            // A VM with an unsettled order counts as down already.
            let slot_free = slots > 0 || progress.unsettled;
            if progress.retry_at > now || !slot_free || !is_clear(vm.worker.as_ref(), reports, now)
            {
                continue;
            }
            slots -= u32::from(!progress.unsettled);
            progress.phase = Phase::Ordered(vm.worker.clone(), false);
            progress.order_counts.0 += 1;
        }
    }

    /// Returns a VM whose order is to be sent now; `stored` are the order counts of the ledger.
    ///
    /// Every order, also a repeated one, has to be in the ledger before it is sent. A holder that
    /// was paused and does not know of its successor can't write the order, because the successor
    /// has changed the ledger. On a platform that checks no tokens, only this stops that holder.
    pub fn next_order(
        &mut self,
        stored: &BTreeMap<VmId, u32>,
        reports: &Reports,
        now: Time,
    ) -> Option<VmId> {
        for (m, progress) in &mut self.vms {
            let Phase::Ordered(worker, in_flight) = &mut progress.phase else { continue };
            let (decided, sent) = progress.order_counts;
            if *in_flight || sent == decided || stored.get(m) != Some(&decided) {
                continue;
            }
            // The VM must still have the same incarnation of its worker, and that worker must still
            // be clear.
            if !is_clear(worker.as_ref(), reports, now) {
                continue;
            }
            *in_flight = true;
            progress.order_counts.1 = decided;
            return Some(m.clone());
        }
        None
    }

    /// Processes the outcome of an order.
    pub fn handle_reply(&mut self, m: &VmId, reply: &Result<VmReply, Fault>, now: Time) {
        log::info!(target: "upkeep", did = "ordered", wave:% = self.wave.number, vm:% = m, reply:? = reply; "Maintenance was ordered.");
        let Some(progress) = self.vms.get_mut(m) else { return };
        progress.retry_at = now + RETRY_PAUSE;
        match reply {
            Ok(VmReply::Begun) => return progress.begin(now),
            Ok(VmReply::None) => (progress.phase, progress.unsettled) = (Phase::Over, false),
            Ok(VmReply::OtherWave) => {
                progress.denials += 1;
                if progress.denials >= MAX_DENIALS {
                    (progress.phase, progress.unsettled) = (Phase::Over, false);
                }
            }
            // The VM is not up. Once it is up again, its new worker has to be emptied first.
            Ok(VmReply::Busy) => {
                if let Phase::Ordered(..) = progress.phase {
                    progress.phase = Phase::Closing(now, true);
                }
            }
            Ok(VmReply::Fence) | Err(Fault::Refused | Fault::Unsent) => {}
            Err(_) => progress.unsettled = true,
        }
        if let Phase::Ordered(_, in_flight) = &mut progress.phase {
            *in_flight = false;
        }
    }
}

impl VmProgress {
    fn begin(&mut self, now: Time) {
        let old = match std::mem::take(&mut self.phase) {
            Phase::Ordered(worker, ..) => worker,
            Phase::Down(_, worker) => worker,
            _ => None,
        };
        (self.has_begun, self.unsettled) = (true, false);
        self.phase = Phase::Down(now, old);
    }

    fn seen(&mut self, vm: &Vm, sent: Time, fleet: &VmLimits) {
        self.worker = vm.worker.clone();
        use VmState::{Down, Up, Upkeep};
        match &self.phase {
            // The list shows that an unanswered order was carried out.
            Phase::Ordered(..) if vm.state == Upkeep => self.begin(sent),
            Phase::Closing(..) if vm.state == Upkeep && self.unsettled => self.begin(sent),
            Phase::Ordered(worker, false) if vm.state == Up && vm.worker != *worker => {
                self.phase = Phase::Closing(sent, true);
            }
            Phase::Down(since, old) => {
                // A VM whose maintenance was done before the order stays up throughout.
                let new = sent >= *since && vm.worker != *old;
                let returned = vm.state == Up && (new || sent >= *since + LIST_DELAY);
                let crashed = vm.state == Down && sent >= *since + fleet.upkeep_time + LIST_DELAY;
                if returned || crashed {
                    self.phase = Phase::Over;
                }
            }
            _ => {}
        }
    }

    fn facts(
        &self,
        m: &VmId,
        list: &ListedVms,
        reports: &Reports,
        taken: &BTreeSet<VmId>,
        now: Time,
    ) -> VmStatus {
        let vm = list.vms.get(m);
        let report = vm.and_then(|m| reports.get(m.worker.as_ref()?)).map(|w| &w.1);
        let up = vm.is_some_and(|m| m.state == VmState::Up);
        let stage = match self.phase {
            Phase::Due => UpkeepStage::Due,
            Phase::Closing(since, _) => UpkeepStage::Draining(now - since),
            Phase::Ordered(..) | Phase::Down(..) => UpkeepStage::Down,
            Phase::Over => UpkeepStage::Done,
        };
        VmStatus {
            stage,
            available: up && !taken.contains(m) && !report.is_some_and(|w| w.leaving),
            brief_tasks: report.map_or(0, |w| w.finite_count),
            long_tasks: report.map_or(0, |w| w.long_running_count),
        }
    }
}

/// Returns whether a recent report of the owner says that no task runs at a worker and none will
/// start there. A VM without a worker is clear.
pub(super) fn is_clear(worker: Option<&WorkerId>, reports: &Reports, now: Time) -> bool {
    let Some(worker) = worker else { return true };
    reports
        .get(worker)
        .is_some_and(|(sent, held)| now - *sent <= MAX_REPORT_AGE && held.is_vacant())
}
