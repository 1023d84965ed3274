//! What a shard knows of its customers' caps and weights: their divisions, and what its runs use.

use {
    crate::{
        decide::allotment::{Division, Need},
        ids::CustomerId,
        ports::Rev,
        time::Time,
        units::Size,
        work::StepKey,
    },
    rustc_hash::{FxHashMap, FxHashSet},
    std::time::Duration,
};

/// The index of a customer in [`Caps`]; an owner never reuses one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct CustomerNo(pub usize);

/// What a shard knows of a customer's cap and weight.
#[derive(Clone, Debug)]
pub(super) struct CustomerCap {
    pub name: CustomerId,
    pub cap: Size,
    /// The weight in the configuration; `None` if no configuration of this owner had the customer.
    pub weight: Option<f64>,
    /// What runs that this owner has started use.
    pub started: Size,
    /// What runs of former owners use, as far as they are known.
    pub adopted: Size,
    /// The allotment at the takeover, within which former owners have started runs.
    pub inherited: Size,
    pub division: Division,
    /// The revision of the division; 0 if there is none.
    pub rev: Rev,
    /// The division that is being written.
    pub written: Option<Division>,
    /// The least allotment in writes that may still take effect.
    pub unresolved: Option<Size>,
    /// Since when the division has to be read again before anything starts, as the cap has changed.
    pub outdated: Option<Time>,
    /// What the steps need that the cap has kept from starting in the last round.
    pub waiting: Size,
    /// Since when the first of these steps has been ready.
    pub waiting_since: Option<Time>,
    /// Since when other shards have lacked some of the cap.
    pub others_since: Option<Time>,
    /// Whether others have lacked it for longer than the steps of this shard, as of the last round.
    pub yields: bool,
    pub next_write: Time,
}

/// The caps of a shard's customers.
#[derive(Clone, Debug, Default)]
pub(super) struct Caps {
    pub customers: Vec<CustomerCap>,
    pub numbers: FxHashMap<CustomerId, CustomerNo>,
    /// The steps of the last round that a cap has kept from starting.
    pub blocked: FxHashSet<StepKey>,
    /// The most that unknown runs of former owners can use.
    pub unseen: Size,
    /// Whether the divisions are being read.
    pub reading: bool,
    pub next_read: Time,
}

/// How a customer stands in a shard.
#[derive(Clone, Debug, PartialEq)]
pub struct CustomerUsage {
    /// The customer.
    pub name: CustomerId,
    /// The most that the customer may have running over all workers.
    pub cap: Size,
    /// The part of the cap that the shard has.
    pub allotted: Size,
    /// What the customer has running, or may have running, in the shard.
    pub in_use: Size,
    /// What the tasks need that the cap keeps from starting.
    pub waiting: Size,
    /// How long the first of them has been ready.
    pub wait_time: Option<Duration>,
    /// The customer's weight.
    pub weight: f64,
    /// The share that the customer holds over all shards, as a fraction of the total capacity.
    pub share: f64,
    /// The share to which it is entitled, as a fraction of the total capacity.
    pub entitled_share: f64,
    /// The number of its jobs that wait in the shard.
    pub waiting_jobs: usize,
}

impl CustomerCap {
    /// Returns what the shard needs of the cap, if unknown runs use no more than `unseen`.
    pub fn need(&self, unseen: &Size) -> Need {
        let unknown = min(&self.inherited.saturating_sub(&self.adopted), unseen);
        let in_use = self.started + self.adopted + unknown;
        Need { in_use, waiting: self.waiting, yields: self.yields }
    }

    /// Returns the allotment that the shard has whatever becomes of its writes.
    pub fn certain(&self, shard: u16) -> Size {
        let stored = self.division.allotment(shard).allotted;
        let written = self.written.as_ref().map(|d| d.allotment(shard).allotted);
        written.iter().chain(&self.unresolved).fold(stored, |least, a| min(&least, a))
    }

    /// Returns whether the division suits this shard and the others.
    pub fn is_balanced(&self) -> bool {
        self.waiting == Size::default()
            && self.others_since.is_none()
            && self.unresolved.is_none()
            && self.division.total().fits(&self.cap)
    }

    /// Decides whether the shard lets others go first: those that have waited longer.
    pub fn update_yields(&mut self) {
        self.yields = self.others_since.is_some_and(|o| self.waiting_since.is_none_or(|w| o < w));
    }

    /// Takes a division that the store has, unless a later one is known.
    pub fn take(&mut self, rev: Rev, division: Division, shard: u16, now: Time) {
        if rev <= self.rev {
            return;
        }
        (self.rev, self.division) = (rev, division);
        // Earlier writes expected an earlier revision: they have taken effect or never will.
        self.unresolved = None;
        let wanted = self.division.wanted_by_others(shard) != Size::default();
        self.others_since = wanted.then(|| self.others_since.unwrap_or(now));
    }
}

/// Returns the minimum of two sizes in each dimension.
pub(super) fn min(a: &Size, b: &Size) -> Size {
    a.saturating_sub(&a.saturating_sub(b))
}
