//! One worker's account.

use {
    crate::{
        ids::{Attempt, PoolId, RackId, RequestId, TaskId},
        units::Size,
    },
    displaydoc::Display,
    std::collections::BTreeSet,
};

/// Why the ledger rejects a reservation or a slot.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum Refusal {
    /// the worker is not owned here
    Unknown,
    /// the worker takes no new work
    Cordoned,
    /// the worker has not the room
    Room,
    /// the worker has no free request slot
    Slots,
    /// it is held on another worker
    Elsewhere,
}

impl std::error::Error for Refusal {}

/// An attempt or a request that occupies a worker.
#[derive(Clone, Debug, derive_more::Display, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Held {
    /// An attempt of a task.
    #[display("{_0}#{_1}")]
    Task(TaskId, Attempt),
    /// A request.
    #[display("{_0}")]
    Request(RequestId),
}

/// Resources and request slots: those that a worker has, or those in use.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Processors, memory and accelerators.
    pub size: Size,
    /// Request slots.
    pub slots: u32,
}

impl Load {
    pub(super) fn add(&mut self, other: &Load) {
        self.size += other.size;
        self.slots += other.slots;
    }

    pub(super) fn sub(&mut self, other: &Load) {
        self.size = self.size.saturating_sub(&other.size);
        self.slots = self.slots.saturating_sub(other.slots);
    }
}

/// One worker's account.
#[derive(Clone, Debug)]
pub struct Worker {
    /// Its pool.
    pub pool: PoolId,
    /// Its rack.
    pub rack: RackId,
    pub(super) limit: Load,
    pub(super) used: Load,
    pub(super) cordoned: bool,
    pub(super) held: BTreeSet<Held>,
}

impl Worker {
    /// The worker's total resources and slots.
    pub fn limit(&self) -> &Load {
        &self.limit
    }

    /// The resources and slots in use; above the limit only after
    /// [`Ledger::adopt`](super::Ledger::adopt) or a reduced limit.
    pub fn used(&self) -> &Load {
        &self.used
    }

    /// Whether the resources or slots in use exceed the limit in any dimension.
    pub fn over(&self) -> bool {
        !self.used.size.fits(&self.limit.size) || self.used.slots > self.limit.slots
    }

    /// The free resources for tasks; zero while the worker is over its limit.
    pub fn room(&self) -> Size {
        if self.over() { Size::default() } else { self.limit.size.saturating_sub(&self.used.size) }
    }

    /// The number of free request slots; zero while the worker is over its limit or cordoned.
    pub fn free(&self) -> u32 {
        if self.over() || self.cordoned { 0 } else { self.limit.slots - self.used.slots }
    }

    /// Whether the worker takes no new work.
    pub fn cordoned(&self) -> bool {
        self.cordoned
    }

    /// The attempts and requests that occupy the worker, in order.
    pub fn held(&self) -> impl Iterator<Item = &Held> {
        self.held.iter()
    }
}
