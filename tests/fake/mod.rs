//! A queue of events in virtual time, and a simulation of a service's slots.

#![allow(dead_code)] // each test file uses a part

pub mod slots;

use {
    dogwoodreach::Time,
    std::{collections::BTreeMap, time::Duration},
};

/// A queue of events, ordered by time and then by insertion.
pub struct EventQueue<E> {
    events: BTreeMap<(Time, u64), E>,
    seq: u64,
}

impl<E> EventQueue<E> {
    pub fn new() -> Self {
        EventQueue { events: BTreeMap::new(), seq: 0 }
    }

    pub fn add(&mut self, at: Time, event: E) {
        self.seq += 1;
        self.events.insert((at, self.seq), event);
    }

    pub fn next(&mut self) -> Option<(Time, E)> {
        self.events.pop_first().map(|((at, _), event)| (at, event))
    }
}

pub const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

/// Draws an exponentially distributed duration.
pub fn exponential(rng: &mut fastrand::Rng, mean: Duration) -> Duration {
    mean.mul_f64(-(1.0 - rng.f64()).ln())
}
