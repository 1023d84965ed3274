//! The working state of one scheduling round: the usable workers of each pool, and the resources
//! withheld for steps that cannot start yet.

use {
    crate::{
        decide::ahead::Backlog,
        ids::PoolId,
        shard::{
            customer_cap::CustomerNo, rack_state::RoundLocality, reservation::GangReservation,
            workers::WorkerNo,
        },
        time::Time,
        units::Size,
        work::{AdviceCost, Step, StepKey},
    },
    rustc_hash::{FxHashMap, FxHashSet},
    std::rc::Rc,
};

/// The maximum number of steps per round that may search beyond the free resources: for runs about
/// to end, for runs to preempt, and for other workers.
pub(super) const MAX_DEEP_SEARCHES: usize = 24;

/// The expected ends of a worker's runs, in order, with the resources that each frees.
pub(super) type Releases = Rc<[(Time, Size)]>;

/// The working state of a round.
#[derive(Default)]
pub(super) struct Round {
    /// The workers of each pool that may receive starts.
    pub(super) usable: FxHashMap<PoolId, Rc<[WorkerNo]>>,
    /// The workers of each pool that may receive starts of long-running steps.
    pub(super) long_running: FxHashMap<PoolId, Rc<[WorkerNo]>>,
    /// The workers of underused pools, with those being drained, for steps that have waited long
    /// enough.
    pub(super) with_draining: FxHashMap<PoolId, Rc<[WorkerNo]>>,
    /// The pools that are underused.
    pub(super) underused: FxHashSet<PoolId>,
    /// The steps that come first because they have waited too long.
    pub(super) starving_steps: Vec<StepKey>,
    /// The resources of each worker that are withheld for steps earlier in the order.
    withheld: Vec<Size>,
    /// The resources of each worker that steps earlier in the order need to start there, now or once
    /// runs have ended.
    claimed: Vec<Size>,
    /// The resources of each worker that are reserved for gangs until they start.
    reservations: Vec<Vec<WorkerReservation>>,
    /// The number of waiting tasks that compete for each worker, in percent. Each step divides its
    /// waiting tasks among the workers that may run it.
    pub(super) demand: Vec<u32>,
    /// The steps that will soon have room at a worker.
    pub(super) upcoming_steps: Backlog<WorkerNo>,
    /// The number of steps that have searched beyond the free resources, and how many of those are
    /// long-running.
    deep_searches: (usize, usize),
    /// The parts of customers' caps that are withheld for earlier steps.
    pub(super) cap_withheld: FxHashMap<CustomerNo, Size>,
    /// The queues whose advice calls cannot be made because no member is free.
    pub(super) advice_blocked: FxHashSet<Box<str>>,
    /// The expected ends of the runs of each worker, in order; empty until they are needed.
    pub(super) releases: Vec<Option<Releases>>,
    /// The resources of each worker for which earlier steps wait without stopping anything.
    pub(super) awaited: Vec<Size>,
    /// The expected room on racks.
    pub(super) locality: RoundLocality,
}

/// The resources of one worker that are reserved for a gang.
struct WorkerReservation {
    gang: StepKey,
    size: Size,
    /// The priority of the gang's queue.
    priority: u8,
    /// The time at which the gang is expected to start.
    at: Time,
    /// Whether the gang was already examined in this round.
    passed: bool,
}

/// A step that asks for resources which may be reserved for others.
pub(super) struct Requester<'a> {
    pub(super) key: &'a StepKey,
    pub(super) priority: u8,
    /// The time at which tasks that start now are expected to end.
    pub(super) ends_at: Time,
    /// Whether the step may use resources reserved for less urgent gangs later in the order.
    pub(super) may_outrank: bool,
    /// Whether a long-running task of the step has been away too long. Such a step may use
    /// resources reserved for any gang later in the order.
    pub(super) overdue: bool,
}

/// The turn of one step in a round, with the properties of the step.
pub(super) struct Turn<'a> {
    pub(super) key: &'a StepKey,
    pub(super) step: Step,
    /// The name of the step's queue.
    pub(super) queue: Box<str>,
    /// The priority of the step's queue.
    pub(super) priority: u8,
    pub(super) pool: PoolId,
    /// The indices of the step's waiting tasks.
    pub(super) waiting: Vec<u32>,
    /// The workers of the step's pool that may receive starts.
    pub(super) usable: Rc<[WorkerNo]>,
    /// The cost of an advice call for the step, if the step needs advice.
    pub(super) advice: Option<AdviceCost>,
}

impl Round {
    /// Creates a round over this many workers, with nothing withheld.
    pub(super) fn new(workers: usize) -> Self {
        Round {
            withheld: vec![Size::default(); workers],
            claimed: vec![Size::default(); workers],
            reservations: (0..workers).map(|_| vec![]).collect(),
            demand: vec![0; workers],
            releases: vec![None; workers],
            awaited: vec![Size::default(); workers],
            ..Round::default()
        }
    }

    /// Returns the resources of a worker that are withheld for steps earlier in this round.
    pub(super) fn withheld_before(&self, no: WorkerNo, key: &StepKey) -> Size {
        let passed = self.reservations[no.0].iter().filter(|c| c.passed && c.gang != *key);
        passed.fold(self.withheld[no.0], |sum, c| sum + c.size)
    }

    /// Returns the resources of a worker that this step must not use.
    ///
    /// Resources reserved for a gang are open to tasks that end before the gang can start. The last
    /// of the gang's workers may become available seconds later, and the others would be idle until
    /// then.
    pub(super) fn unavailable(&self, no: WorkerNo, requester: &Requester) -> Size {
        let holds = |c: &&WorkerReservation| {
            let mine = c.gang == *requester.key;
            let behind =
                requester.overdue || (requester.may_outrank && c.priority > requester.priority);
            let later = behind && !c.passed;
            !mine && !later && requester.ends_at > c.at
        };
        self.reservations[no.0]
            .iter()
            .filter(holds)
            .fold(self.withheld[no.0], |sum, c| sum + c.size)
    }

    /// Returns the resources of a worker that are withheld for earlier steps other than gangs.
    pub(super) fn withheld(&self, no: WorkerNo) -> Size {
        self.withheld[no.0]
    }

    /// Returns the resources of a worker that are withheld or reserved for any step.
    pub(super) fn all_withheld(&self, no: WorkerNo) -> Size {
        self.reservations[no.0].iter().fold(self.withheld[no.0], |sum, c| sum + c.size)
    }

    /// Counts a search beyond the free resources and returns whether it is permitted. Long-running
    /// steps get at most half of the searches.
    pub(super) fn try_deep_search(&mut self, lasts: bool) -> bool {
        if lasts && self.deep_searches.1 >= MAX_DEEP_SEARCHES / 2 {
            return false;
        }
        self.deep_searches.0 += 1;
        self.deep_searches.1 += usize::from(lasts);
        self.deep_searches.0 <= MAX_DEEP_SEARCHES
    }

    /// Withholds resources of a worker from later steps.
    pub(super) fn withhold(&mut self, no: WorkerNo, size: Size) {
        self.withheld[no.0] += size;
        self.claimed[no.0] += size;
    }

    /// Returns the resources of a worker that earlier steps need to start there.
    pub(super) fn claimed(&self, no: WorkerNo) -> Size {
        self.claimed[no.0]
    }

    /// Withholds resources of a worker for a step that can start there once runs have released
    /// `released`; these are not withheld.
    pub(super) fn claim(&mut self, no: WorkerNo, size: Size, released: &Size) {
        self.claimed[no.0] += size;
        let rest = self.claimed[no.0].saturating_sub(released);
        self.withheld[no.0] = self.withheld[no.0].max(&rest);
    }

    /// Adds the reservation of a gang.
    pub(super) fn add_reservation(
        &mut self,
        gang: &StepKey,
        reserve: &GangReservation,
        passed: bool,
    ) {
        let GangReservation { size, priority, ready_at: at, .. } = *reserve;
        for (no, n) in &reserve.members {
            let claims = &mut self.reservations[no.0];
            claims.retain(|c| c.gang != *gang);
            let size = size.times((*n).into());
            claims.push(WorkerReservation { gang: *gang, size, priority, at, passed });
        }
    }

    /// Ends a gang's turn and replaces its former reservation with the new one.
    pub(super) fn end_turn(
        &mut self,
        gang: &StepKey,
        old: Option<GangReservation>,
        new: Option<&GangReservation>,
    ) {
        for (no, _) in old.iter().flat_map(|r| &r.members) {
            self.reservations[no.0].retain(|c| c.gang != *gang);
        }
        if let Some(new) = new {
            self.add_reservation(gang, new, true);
        }
    }
}
