//! What the racks have free, and their workers as operators see them.

use {
    super::Racks,
    crate::{
        messages::{RackLoad, VmState, WorkerShow},
        units::Size,
    },
};

impl Racks {
    /// What is free on each rack.
    pub fn loads(&self) -> Vec<RackLoad> {
        let racks = self.racks.iter().filter_map(|(id, rack)| {
            let mut load = RackLoad {
                rack: id.clone(),
                pool: self.ledger.worker(rack.workers.first()?)?.pool.clone(),
                free: Size::default(),
                widest: Size::default(),
                workers: 0,
            };
            for worker in &rack.workers {
                let Some(account) = self.ledger.worker(worker) else { continue };
                if account.cordoned() {
                    continue;
                }
                load.free += account.room();
                load.widest = load.widest.max(&account.room());
                load.workers += 1;
            }
            Some(load)
        });
        racks.collect()
    }

    /// The workers, for operators.
    pub fn show(&self) -> Vec<WorkerShow> {
        let rows = self.links.iter().filter_map(|(id, link)| {
            let account = self.ledger.worker(id)?;
            let state = match (link.ready, link.cut, self.vms.get(id).map(|v| v.state)) {
                (_, true, _) => "silent",
                (_, _, None | Some(VmState::Leaving)) => "leaving",
                (false, _, _) => "taking over",
                _ => "ready",
            };
            Some(WorkerShow {
                worker: id.clone(),
                pool: account.pool.clone(),
                rack: account.rack.clone(),
                slots: account.limit().slots,
                busy: account.used().slots,
                room: account.room(),
                state: state.into(),
            })
        });
        rows.collect()
    }
}
