//! A stand-in for the shard's state machine, so that the runtime around it compiles.

use crate::{
    ids::Incarnation,
    ports::Bounds,
    shard::{
        event::{Event, Load, Order},
        record::ShardNo,
    },
    time::Time,
    work::{JobNo, State},
};

/// What a shard is made with.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    /// Its number.
    pub shard: ShardNo,
    /// The member that owns it.
    pub me: Incarnation,
    /// The owner's token.
    pub token: u64,
    /// The bounds of the deployment.
    pub bounds: Bounds,
    /// The Unix time, in milliseconds, at [`Time::ZERO`].
    pub unix: u64,
}

/// A shard, as its owner has it.
pub struct Shard {
    setup: Setup,
}

impl Shard {
    /// A shard with what the store holds of it.
    pub fn new(setup: Setup, _load: Load, _now: Time) -> Self {
        Shard { setup }
    }

    /// Takes in an event; returns what is to be done.
    pub fn on(&mut self, _event: Event, _now: Time) -> Vec<Order> {
        vec![]
    }

    /// How a job stands; nothing where it is unknown here.
    pub fn state(&self, _job: JobNo) -> Option<State> {
        None
    }

    /// How many jobs of a queue have not begun.
    pub fn waiting(&self, _queue: &str) -> u64 {
        0
    }

    /// Whether nothing is left to be written.
    pub fn idle_commit(&self) -> bool {
        self.setup.token > 0
    }
}
