//! Which machines are in touch: neither they nor the store were disturbed shortly before. The rules on
//! cancelled jobs hold for them, whatever happens to other machines.

use {
    dogwoodreach::Time,
    std::{collections::BTreeMap, time::Duration},
};

/// A machine is in touch again this long after the last moment of a disturbance.
pub const CONTACT: Duration = Duration::from_secs(3);

/// A part of the deployment that a fault disturbs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Part {
    /// The store, for all members.
    Store,
    /// A member: its process, its links, or the store as it serves this member.
    Member(usize),
    /// A worker, as its orders reach it.
    Worker(usize),
    /// The orders to all workers.
    Orders,
}

/// The owners, and until when disturbances count.
#[derive(Default)]
pub struct Contact {
    /// The member that took over with each token.
    pub owners: BTreeMap<u64, usize>,
    until: BTreeMap<Part, Time>,
}

impl Contact {
    /// Records that a part is disturbed now.
    pub fn disturb(&mut self, part: Part, now: Time) {
        self.until.insert(part, now + CONTACT);
    }

    fn until(&self, part: Part) -> Time {
        self.until.get(&part).copied().unwrap_or(Time::ZERO)
    }

    /// Time until which the owner with this token is excused for what it starts.
    pub fn sender_excused(&self, token: u64) -> Time {
        let sender = self.owners.get(&token).map(|m| self.until(Part::Member(*m)));
        sender.unwrap_or(Time::ZERO).max(self.until(Part::Store))
    }

    /// Time until which a run may go on at a worker: its sender or a later owner, the worker, its
    /// orders or the store were disturbed.
    pub fn run_excused(&self, token: u64, worker: usize) -> Time {
        let owners = self.owners.range(token..).map(|(token, _)| self.sender_excused(*token));
        let parts = [Part::Store, Part::Worker(worker), Part::Orders].map(|p| self.until(p));
        owners.chain(parts).max().unwrap_or(Time::ZERO)
    }
}
