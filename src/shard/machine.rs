//! The state machine of one shard; not there yet, it orders nothing.

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

/// What a shard is and where it is owned.
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
    /// The Unix clock at [`Time::ZERO`], in milliseconds.
    pub unix: u64,
}

/// One shard.
#[derive(Debug)]
pub struct Shard;

impl Shard {
    /// A shard as its new owner has read it.
    pub fn new(_setup: Setup, _load: Load, _now: Time) -> Self {
        Shard
    }

    /// Takes in what happened, and says what is to be done.
    pub fn on(&mut self, _event: Event, _now: Time) -> Vec<Order> {
        Vec::new()
    }

    /// How a job stands; none where it isn't known.
    pub fn state(&self, _job: JobNo) -> Option<State> {
        None
    }

    /// How many of a queue's jobs have not begun.
    pub fn waiting(&self, _queue: &str) -> u64 {
        0
    }

    /// Whether no write is under way.
    pub fn idle_commit(&self) -> bool {
        true
    }
}
