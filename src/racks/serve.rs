//! Endpoints for requests: which one is chosen, its slot, and how its answer is judged.

use {
    super::Racks,
    crate::{
        Time,
        decide::{choose::Scores, eject::Ejector},
        event::Outcome,
        http::Failure,
        ids::{Epoch, PoolId, RequestId, WorkerId},
    },
    std::{net::SocketAddr, time::Duration},
};

/// How many endpoints are drawn before the one with the most free slots is taken.
const PICKS: usize = 4;

/// How the endpoints of one pool do.
pub(super) struct Choice {
    pub(super) scores: Scores,
    pub(super) ejector: Ejector,
}

/// Where a request goes.
#[derive(Clone, Debug)]
pub struct Spot {
    /// The endpoint.
    pub worker: WorkerId,
    /// Its address.
    pub addr: SocketAddr,
    /// The epoch of its rack.
    pub epoch: Epoch,
}

impl Racks {
    /// Chooses an endpoint of a pool that has a slot free; [`Racks::take`] or [`Racks::pass`] follows.
    pub fn choose(&mut self, pool: &PoolId, now: Time) -> Option<WorkerId> {
        let choice = self.choices.get_mut(pool)?;
        for _ in 0..PICKS {
            let worker = choice.scores.pick(&choice.ejector, now)?;
            // A request that was given up on may still hold a slot there.
            if self.ledger.worker(&worker).is_some_and(|a| a.free() > 0) {
                return Some(worker);
            }
            choice.scores.release(&worker);
        }
        let worker = self.ledger.idlest(pool)?;
        choice.scores.count(worker);
        Some(worker.clone())
    }

    /// Takes a slot of a chosen endpoint for a request until `ends`.
    pub fn take(&mut self, worker: WorkerId, request: RequestId, ends: Time) -> Option<Spot> {
        self.ledger.take_slot(request, &worker, ends).ok()?;
        let epoch = self.links.get(&worker)?.epoch;
        let addr = self.vms.get(&worker)?.addr;
        Some(Spot { worker, addr, epoch })
    }

    /// Lets a chosen endpoint go unused.
    pub fn pass(&mut self, worker: &WorkerId) {
        for choice in self.choices.values_mut() {
            choice.scores.release(worker);
        }
    }

    /// A dispatch is over after `ran`, where `run` was expected; frees the slot unless the request
    /// may still run there.
    pub fn ran(
        &mut self,
        request: RequestId,
        worker: &WorkerId,
        outcome: &Outcome,
        (run, ran): (Duration, Duration),
        now: Time,
    ) {
        // It may run on: its slot is free when its lease ends or a report shows it gone.
        if !matches!(outcome, Outcome::Failed(Failure::Broken | Failure::Timeout)) {
            self.ledger.free_slot(request, now);
        }
        let Some(pool) = self.vms.get(worker).map(|v| &v.pool) else { return };
        let Some(choice) = self.choices.get_mut(pool) else { return };
        match outcome {
            Outcome::Answered(a) if a.status < 500 => {
                let slowness = choice.scores.answered(worker, run, ran, now);
                if choice.ejector.answered(worker, slowness, now) {
                    choice.scores.restart(worker, now);
                }
            }
            Outcome::Refused(_) => choice.scores.release(worker),
            _ => {
                choice.scores.release(worker);
                if choice.ejector.failed(worker, now) {
                    choice.scores.restart(worker, now);
                    log::warn!(target: "racks", "Endpoint {worker} is ejected for a while.");
                }
            }
        }
    }

    /// All slots of a pool here, and the free ones.
    pub fn slots(&self, pool: &PoolId, now: Time) -> (u32, u32) {
        let (slots, free) = self.ledger.slots(pool);
        let choice = self.choices.get(pool);
        let (usable, open) = choice.map_or((0, 0), |c| c.scores.slots(&c.ejector, now));
        (slots.min(usable), free.min(open))
    }
}
