//! Endpoints for requests: the choice of an endpoint, its slot, and the rating of its answers.

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

/// How many endpoints are drawn at random before falling back to the one with the most free slots.
const DRAWS: usize = 4;

/// The scores and ejections of one pool's endpoints.
pub(super) struct Endpoints {
    pub(super) scores: Scores,
    pub(super) ejector: Ejector,
}

/// The endpoint that a request is sent to.
#[derive(Clone, Debug)]
pub struct Destination {
    /// The endpoint.
    pub worker: WorkerId,
    /// Its address.
    pub addr: SocketAddr,
    /// The epoch of its rack.
    pub epoch: Epoch,
}

impl Racks {
    /// Chooses an endpoint of a pool that has a slot free; [`Racks::take`] or [`Racks::unchoose`] follows.
    pub fn choose(&mut self, pool: &PoolId, now: Time) -> Option<WorkerId> {
        let choice = self.endpoints.get_mut(pool)?;
        for _ in 0..DRAWS {
            let worker = choice.scores.pick(&choice.ejector, now)?;
            // An abandoned request may still hold a slot there.
            if self.ledger.worker(&worker).is_some_and(|a| a.free() > 0) {
                return Some(worker);
            }
            choice.scores.release(&worker);
        }
        let worker = self.ledger.idlest(pool)?;
        choice.scores.record_request(worker);
        Some(worker.clone())
    }

    /// Takes a slot of a chosen endpoint for a request until `ends`; `None` if it has no free slot.
    pub fn take(
        &mut self,
        worker: WorkerId,
        request: RequestId,
        ends: Time,
    ) -> Option<Destination> {
        self.ledger.take_slot(request, &worker, ends).ok()?;
        let epoch = self.links.get(&worker)?.epoch;
        let addr = self.vms.get(&worker)?.addr;
        Some(Destination { worker, addr, epoch })
    }

    /// Reverts the choice of an endpoint that is not used.
    pub fn unchoose(&mut self, worker: &WorkerId) {
        for choice in self.endpoints.values_mut() {
            choice.scores.release(worker);
        }
    }

    /// Records the end of a dispatch that took `finish`, with `run` expected; frees the slot unless the
    /// request may still run there.
    pub fn finish(
        &mut self,
        request: RequestId,
        worker: &WorkerId,
        outcome: &Outcome,
        (run, ran): (Duration, Duration),
        now: Time,
    ) {
        // The request may still run: its slot is freed when its lease ends or a report shows its end.
        if !matches!(outcome, Outcome::Failed(Failure::Broken | Failure::Timeout)) {
            self.ledger.free_slot(request, now);
        }
        let Some(pool) = self.vms.get(worker).map(|v| &v.pool) else { return };
        let Some(choice) = self.endpoints.get_mut(pool) else { return };
        match outcome {
            Outcome::Answered(a) if a.status < 500 => {
                let slowness = choice.scores.record_answer(worker, run, ran, now);
                if choice.ejector.record_answer(worker, slowness, now) {
                    choice.scores.reset(worker, now);
                }
            }
            Outcome::Refused(_) => choice.scores.release(worker),
            _ => {
                choice.scores.release(worker);
                if choice.ejector.record_failure(worker, now) {
                    choice.scores.reset(worker, now);
                    log::warn!(target: "racks", "Endpoint {worker} is ejected for a while.");
                }
            }
        }
    }

    /// The number of usable slots of a pool at this member, and how many of them are free.
    pub fn slots(&self, pool: &PoolId, now: Time) -> (u32, u32) {
        let (slots, free) = self.ledger.slots(pool);
        let choice = self.endpoints.get(pool);
        let (usable, open) = choice.map_or((0, 0), |c| c.scores.slot_counts(&c.ejector, now));
        (slots.min(usable), free.min(open))
    }
}
