//! The VMs that the platform's list has shown recently.
//!
//! The list lags, and a list service that was just restarted may omit healthy VMs. A missing VM is
//! therefore kept for a while. If the VM is gone, its silence shows so sooner; if it is healthy,
//! callers notice nothing. A mark that a VM is leaving takes effect at once.

use {
    crate::{
        Time,
        ids::WorkerId,
        messages::{Vm, VmList},
    },
    std::{collections::BTreeMap, time::Duration},
};

/// How long a VM that the list omits is kept: as long as an unresponsive worker keeps its leases.
const MISSING_TIMEOUT: Duration = Duration::from_secs(10);

/// The VMs, with the time since which each is missing from the list.
#[derive(Default)]
pub struct VmCache {
    vms: BTreeMap<WorkerId, (Vm, Option<Time>)>,
}

impl VmCache {
    /// Applies the list and returns the VMs that count as present.
    pub fn update(&mut self, list: VmList, now: Time) -> BTreeMap<WorkerId, Vm> {
        for (_, missing) in self.vms.values_mut() {
            missing.get_or_insert(now);
        }
        self.vms.extend(list.vms.into_iter().map(|vm| (vm.worker.clone(), (vm, None))));
        self.vms.retain(|_, (_, missing)| missing.is_none_or(|at| now - at < MISSING_TIMEOUT));
        self.vms.iter().map(|(id, (vm, _))| (id.clone(), vm.clone())).collect()
    }
}
