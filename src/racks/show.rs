//! The free resources of racks, and the list of workers for operators.

use {
    super::Racks,
    crate::{
        messages::{RackLoad, VmState, WorkerShow},
        units::Size,
    },
};

impl Racks {
    /// The free resources of each rack, without workers that take no new work.
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

    /// The state of all workers, for operators.
    pub fn show(&self) -> Vec<WorkerShow> {
        let rows = self.links.iter().filter_map(|(id, link)| {
            let account = self.ledger.worker(id)?;
            let state = match (link.ready, link.lapsing, self.vms.get(id).map(|v| v.state)) {
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
