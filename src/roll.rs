//! The VMs as the platform's list has shown them of late.
//!
//! The list lags, and one that was just restarted may lack VMs that are well. A VM that is missing is
//! therefore kept for a while: if it is gone, its own silence says so sooner; if it is well, callers
//! notice nothing. A mark that it is leaving counts at once.

use {
    crate::{
        Time,
        ids::WorkerId,
        messages::{Vm, VmList},
    },
    std::{collections::BTreeMap, time::Duration},
};

/// How long a VM that the list lacks is kept: as long as a silent worker keeps its leases.
const MISSING: Duration = Duration::from_secs(10);

/// The VMs, and since when each is missing from the list.
#[derive(Default)]
pub struct Roll {
    vms: BTreeMap<WorkerId, (Vm, Option<Time>)>,
}

impl Roll {
    /// Takes the list, and returns the VMs to reckon with.
    pub fn take(&mut self, list: VmList, now: Time) -> BTreeMap<WorkerId, Vm> {
        for (_, missing) in self.vms.values_mut() {
            missing.get_or_insert(now);
        }
        self.vms.extend(list.vms.into_iter().map(|vm| (vm.worker.clone(), (vm, None))));
        self.vms.retain(|_, (_, missing)| missing.is_none_or(|at| now - at < MISSING));
        self.vms.iter().map(|(id, (vm, _))| (id.clone(), vm.clone())).collect()
    }
}
