//! Simulated key-value store: items with revisions, atomic transactions, leases and watches,
//! with faults that lose or delay answers.

use {
    bytes::Bytes,
    dogwoodreach::{
        Time,
        decide::allotment::Division,
        ids::CustomerId,
        ports::{Item, MAX_TXN_ROWS, Rev, StoreCall, StoreReply, Txn},
        shard::{
            event::DivisionReply,
            record::{DIVISIONS_PREFIX, decode, division_key},
        },
    },
    std::{
        collections::{BTreeMap, VecDeque},
        time::Duration,
    },
};

/// Health of the store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mode {
    /// Every call is executed and answered.
    Up,
    /// No call is executed. Half of the calls are refused, the others get no answer.
    Down,
    /// One in this number of answers is lost. The call is executed, either at once or seconds
    /// later.
    Losing(u32),
}

/// Outcome of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum CallOutcome {
    /// The call is executed and answered.
    Answered,
    /// The call is refused and not executed.
    Refused,
    /// The call is neither executed nor answered.
    Unanswered,
    /// The call is executed after this delay, and its answer is lost.
    AnswerLost(Duration),
}

/// Maximum number of changes in the history.
const HISTORY_ITEMS: usize = 20_000;
/// Maximum number of items in a page.
const PAGE_ITEMS: usize = 500;

/// The items, their recent changes and the leases.
pub struct Store {
    /// Items by key, each with its revision.
    pub items: BTreeMap<Box<str>, (Rev, Bytes)>,
    /// Revision of the latest change.
    pub rev: Rev,
    /// Present health.
    pub health: Mode,
    /// Items that transactions have written and the judge hasn't checked yet.
    pub unjudged_writes: Vec<(Box<str>, Bytes)>,
    /// Number of transactions that were received.
    pub writes: u64,
    /// History of changes, oldest first.
    log: VecDeque<Item>,
    /// Revision of the latest change that the history has dropped.
    trimmed_to: Rev,
    /// Leases: expiry and time to live from each renewal.
    leases: BTreeMap<u64, (Time, Duration)>,
    last_lease: u64,
    /// Keys that are removed when their lease ends.
    leased: BTreeMap<Box<str>, u64>,
    rng: fastrand::Rng,
}

impl Store {
    /// Creates an empty store; the seed determines delays and lost answers.
    pub fn new(seed: u64) -> Self {
        Store {
            items: BTreeMap::new(),
            rev: 7,
            health: Mode::Up,
            unjudged_writes: Vec::new(),
            writes: 0,
            log: VecDeque::new(),
            trimmed_to: 7,
            leases: BTreeMap::new(),
            last_lease: 0,
            leased: BTreeMap::new(),
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// Draws the outcome of a call that arrives now.
    pub fn draw_outcome(&mut self) -> CallOutcome {
        match self.health {
            Mode::Up => CallOutcome::Answered,
            Mode::Down if self.rng.bool() => CallOutcome::Refused,
            Mode::Down => CallOutcome::Unanswered,
            Mode::Losing(n) if self.rng.u32(0..n) > 0 => CallOutcome::Answered,
            Mode::Losing(_) if self.rng.bool() => CallOutcome::AnswerLost(Duration::ZERO),
            Mode::Losing(_) => {
                CallOutcome::AnswerLost(Duration::from_millis(self.rng.u64(500..6_000)))
            }
        }
    }

    /// Draws the latency of an answer.
    pub fn draw_delay(&mut self) -> Duration {
        Duration::from_millis(self.rng.u64(2..15))
    }

    /// Returns the item with this key.
    pub fn get(&self, key: &str) -> Option<Item> {
        let (rev, value) = self.items.get(key)?;
        Some(Item { key: key.into(), value: Some(value.clone()), rev: *rev })
    }

    /// The items whose keys begin with `prefix`.
    pub fn range(&self, prefix: &str) -> Vec<(Box<str>, Bytes)> {
        let of = self.items.iter().filter(|(k, _)| k.starts_with(prefix));
        of.map(|(k, (_, v))| (k.clone(), v.clone())).collect()
    }

    /// Executes a transaction: all of its changes, or none if an expected revision doesn't
    /// match.
    pub fn txn(&mut self, txn: &Txn) -> StoreReply {
        let rows = txn.expected_revs.len() + txn.puts.len() + txn.removed_keys.len();
        assert!(rows <= MAX_TXN_ROWS, "a transaction of {rows} rows");
        assert!(txn.puts.iter().all(|p| p.key.len() <= 200), "a key over 200 bytes");
        self.writes += 1;
        let row = |(key, _): &(Box<str>, Rev)| {
            self.get(key).unwrap_or_else(|| Item { key: key.clone(), value: None, rev: 0 })
        };
        let present: Vec<Item> = txn.expected_revs.iter().map(row).collect();
        if present.iter().zip(&txn.expected_revs).any(|(item, (_, rev))| item.rev != *rev) {
            return StoreReply::Conflict(present);
        }
        if txn.puts.iter().any(|p| p.lease != 0 && !self.leases.contains_key(&p.lease)) {
            return StoreReply::NoLease;
        }
        self.rev += 1;
        for put in &txn.puts {
            self.set(put.key.clone(), Some(put.value.clone()), put.lease);
            self.unjudged_writes.push((put.key.clone(), put.value.clone()));
        }
        txn.removed_keys.iter().for_each(|k| self.set(k.clone(), None, 0));
        StoreReply::Done(self.rev)
    }

    /// Writes the division of a customer's cap; `config_current` says whether the write expects the
    /// configuration in force.
    pub fn divide(
        &mut self,
        customer: &CustomerId,
        txn: &Txn,
        config_current: bool,
    ) -> DivisionReply {
        if config_current && let StoreReply::Done(rev) = self.txn(txn) {
            return DivisionReply::Done(rev);
        }
        let (rev, division) = self.division(customer).unwrap_or_default();
        DivisionReply::Conflict(rev, division)
    }

    /// Returns the division of a customer's cap and its revision.
    pub fn division(&self, customer: &CustomerId) -> Option<(Rev, Division)> {
        let item = self.get(&division_key(customer))?;
        Some((item.rev, decode(&item.value?)?))
    }

    /// Returns the divisions of all customers' caps.
    pub fn divisions(&self) -> Vec<(CustomerId, Rev, Division)> {
        let names = self.range(DIVISIONS_PREFIX).into_iter();
        let names = names.filter_map(|(k, _)| Some(k.strip_prefix(DIVISIONS_PREFIX)?.into()));
        let with_division = |name: CustomerId| {
            let (rev, division) = self.division(&name)?;
            Some((name, rev, division))
        };
        names.filter_map(with_division).collect()
    }

    /// Writes one item without checking its revision, as the platform does.
    pub fn put(&mut self, key: Box<str>, value: Bytes) -> Rev {
        self.rev += 1;
        self.set(key, Some(value), 0);
        self.rev
    }

    /// Removes one item without checking its revision.
    pub fn remove(&mut self, key: &str) {
        self.rev += 1;
        self.set(key.into(), None, 0);
    }

    fn set(&mut self, key: Box<str>, value: Option<Bytes>, lease: u64) {
        self.leased.remove(&key);
        if lease != 0 {
            self.leased.insert(key.clone(), lease);
        }
        match &value {
            Some(value) => self.items.insert(key.clone(), (self.rev, value.clone())),
            None => self.items.remove(&key),
        };
        self.log.push_back(Item { key, value, rev: self.rev });
        if self.log.len() > HISTORY_ITEMS {
            self.trim_history(HISTORY_ITEMS);
        }
    }

    /// Drops all changes from the history except the last `keep`.
    pub fn trim_history(&mut self, keep: usize) {
        while self.log.len() > keep {
            self.trimmed_to = self.log.pop_front().map_or(self.trimmed_to, |i| i.rev);
        }
    }

    /// Executes a call that arrives now. Returns `None` if a watch has to wait for a change.
    pub fn call(&mut self, call: &StoreCall, now: Time) -> Option<StoreReply> {
        self.expire_leases(now);
        Some(match call {
            StoreCall::Get { key } => StoreReply::Item(self.get(key)),
            StoreCall::Range { prefix, after, .. } => self.page(prefix, after),
            StoreCall::Watch { prefix, after, .. } => return self.changes(prefix, *after),
            StoreCall::Txn(txn) => self.txn(txn),
            StoreCall::CreateLease { ttl } => {
                self.last_lease += 1;
                self.leases.insert(self.last_lease, (now + *ttl, *ttl));
                StoreReply::Lease(self.last_lease, *ttl)
            }
            StoreCall::RenewLease { lease } => match self.leases.get_mut(lease) {
                Some((until, ttl)) => {
                    *until = now + *ttl;
                    StoreReply::Kept
                }
                None => StoreReply::NoLease,
            },
            StoreCall::EndLease { lease } => match self.leases.remove(lease) {
                Some(_) => {
                    self.end(*lease);
                    StoreReply::Kept
                }
                None => StoreReply::NoLease,
            },
        })
    }

    fn page(&self, prefix: &str, after: &str) -> StoreReply {
        let of = self.items.iter().filter(|(k, _)| k.starts_with(prefix) && ***k > *after);
        let keys = of.take(PAGE_ITEMS + 1).map(|(key, _)| key);
        let mut items: Vec<Item> = keys.filter_map(|key| self.get(key)).collect();
        let more = items.len() > PAGE_ITEMS;
        items.truncate(PAGE_ITEMS);
        StoreReply::Page(items, more, self.rev)
    }

    fn changes(&self, prefix: &str, after: Rev) -> Option<StoreReply> {
        if after < self.trimmed_to {
            return Some(StoreReply::Forgotten);
        }
        let new = self.log.iter().filter(|i| i.rev > after && i.key.starts_with(prefix));
        let new: Vec<Item> = new.cloned().collect();
        (!new.is_empty()).then_some(StoreReply::Events(new, self.rev))
    }

    /// Ends the leases that have expired.
    pub fn expire_leases(&mut self, now: Time) {
        let over: Vec<u64> =
            self.leases.iter().filter(|(_, (until, _))| *until <= now).map(|l| *l.0).collect();
        for lease in over {
            self.leases.remove(&lease);
            self.end(lease);
        }
    }

    /// Removes the keys that are attached to a lease.
    fn end(&mut self, lease: u64) {
        let keys: Vec<Box<str>> =
            self.leased.iter().filter(|(_, l)| **l == lease).map(|(k, _)| k.clone()).collect();
        keys.iter().for_each(|k| self.remove(k));
    }
}
