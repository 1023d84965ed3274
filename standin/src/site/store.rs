//! The store: items with revisions, changed all or none.

use {
    bytes::Bytes,
    dogwoodreach::{
        Time,
        ports::{Item, ROWS, Rev, StoreCall, StoreReply, Txn},
    },
    std::{
        collections::{BTreeMap, VecDeque},
        time::Duration,
    },
};

/// How the store does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mode {
    /// It does as it should.
    Up,
    /// It does nothing; some calls are refused, of the others nothing is heard.
    Down,
    /// One of so many answers is lost; what was asked is done then, or seconds later.
    Losing(u32),
}

/// What becomes of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fate {
    /// It is done and answered.
    Answered,
    /// It is refused, and nothing is done.
    Refused,
    /// Nothing is done, and nothing is heard.
    Unheard,
    /// Done after this time, and nothing is heard of it.
    Lost(Duration),
}

/// How many changes are remembered.
const HISTORY: usize = 20_000;
/// The most items of a page.
const PAGE: usize = 500;

/// The items, and the transactions that were done.
pub struct Store {
    /// The items.
    pub items: BTreeMap<Box<str>, (Rev, Bytes)>,
    /// The number of the last change.
    pub rev: Rev,
    /// How it does.
    pub mode: Mode,
    /// What was written since it was last asked for.
    pub written: Vec<(Box<str>, Bytes)>,
    /// Which writes were made, for counting.
    pub writes: u64,
    /// Changes, oldest first.
    log: VecDeque<Item>,
    /// The last change that is forgotten.
    forgotten: Rev,
    /// Leases: when each ends, and how long it lasts from its renewal.
    leases: BTreeMap<u64, (Time, Duration)>,
    last: u64,
    /// Keys that end with a lease.
    leased: BTreeMap<Box<str>, u64>,
    rng: fastrand::Rng,
}

impl Store {
    /// A store without items.
    pub fn new(seed: u64) -> Self {
        Store {
            items: BTreeMap::new(),
            rev: 7,
            mode: Mode::Up,
            written: Vec::new(),
            writes: 0,
            log: VecDeque::new(),
            forgotten: 7,
            leases: BTreeMap::new(),
            last: 0,
            leased: BTreeMap::new(),
            rng: fastrand::Rng::with_seed(seed),
        }
    }

    /// What becomes of a call that arrives now.
    pub fn fate(&mut self) -> Fate {
        match self.mode {
            Mode::Up => Fate::Answered,
            Mode::Down if self.rng.bool() => Fate::Refused,
            Mode::Down => Fate::Unheard,
            Mode::Losing(n) if self.rng.u32(0..n) > 0 => Fate::Answered,
            Mode::Losing(_) if self.rng.bool() => Fate::Lost(Duration::ZERO),
            Mode::Losing(_) => Fate::Lost(Duration::from_millis(self.rng.u64(500..6_000))),
        }
    }

    /// How long an answer takes.
    pub fn delay(&mut self) -> Duration {
        Duration::from_millis(self.rng.u64(2..15))
    }

    /// One item.
    pub fn get(&self, key: &str) -> Option<Item> {
        let (rev, value) = self.items.get(key)?;
        Some(Item { key: key.into(), value: Some(value.clone()), rev: *rev })
    }

    /// The items whose keys begin with this.
    pub fn range(&self, prefix: &str) -> Vec<(Box<str>, Bytes)> {
        let of = self.items.iter().filter(|(k, _)| k.starts_with(prefix));
        of.map(|(k, (_, v))| (k.clone(), v.clone())).collect()
    }

    /// Changes items, all or none.
    pub fn txn(&mut self, txn: &Txn) -> StoreReply {
        let rows = txn.expect.len() + txn.puts.len() + txn.remove.len();
        assert!(rows <= ROWS, "a transaction of {rows} rows");
        assert!(txn.puts.iter().all(|p| p.key.len() <= 200), "a key over 200 bytes");
        self.writes += 1;
        let row = |(key, _): &(Box<str>, Rev)| {
            self.get(key).unwrap_or_else(|| Item { key: key.clone(), value: None, rev: 0 })
        };
        let stand: Vec<Item> = txn.expect.iter().map(row).collect();
        if stand.iter().zip(&txn.expect).any(|(item, (_, rev))| item.rev != *rev) {
            return StoreReply::Conflict(stand);
        }
        if txn.puts.iter().any(|p| p.lease != 0 && !self.leases.contains_key(&p.lease)) {
            return StoreReply::NoLease;
        }
        self.rev += 1;
        for put in &txn.puts {
            self.set(put.key.clone(), Some(put.value.clone()), put.lease);
            self.written.push((put.key.clone(), put.value.clone()));
        }
        txn.remove.iter().for_each(|k| self.set(k.clone(), None, 0));
        StoreReply::Done(self.rev)
    }

    /// Writes one item whatever it was, as a client's member does.
    pub fn put(&mut self, key: Box<str>, value: Bytes) -> Rev {
        self.rev += 1;
        self.set(key, Some(value), 0);
        self.rev
    }

    /// Removes one item whatever it was.
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
        if self.log.len() > HISTORY {
            self.forget(HISTORY);
        }
    }

    /// Forgets all changes but the last `keep`.
    pub fn forget(&mut self, keep: usize) {
        while self.log.len() > keep {
            self.forgotten = self.log.pop_front().map_or(self.forgotten, |i| i.rev);
        }
    }

    /// A call that arrives now; nothing where a watch has to wait.
    pub fn call(&mut self, call: &StoreCall, now: Time) -> Option<StoreReply> {
        self.lapse(now);
        Some(match call {
            StoreCall::Get { key } => StoreReply::Item(self.get(key)),
            StoreCall::Range { prefix, after, .. } => self.page(prefix, after),
            StoreCall::Watch { prefix, after, .. } => return self.changes(prefix, *after),
            StoreCall::Txn(txn) => self.txn(txn),
            StoreCall::Lease { ttl } => {
                self.last += 1;
                self.leases.insert(self.last, (now + *ttl, *ttl));
                StoreReply::Lease(self.last, *ttl)
            }
            StoreCall::Keep { lease } => match self.leases.get_mut(lease) {
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
        let keys = of.take(PAGE + 1).map(|(key, _)| key);
        let mut items: Vec<Item> = keys.filter_map(|key| self.get(key)).collect();
        let more = items.len() > PAGE;
        items.truncate(PAGE);
        StoreReply::Page(items, more, self.rev)
    }

    fn changes(&self, prefix: &str, after: Rev) -> Option<StoreReply> {
        if after < self.forgotten {
            return Some(StoreReply::Forgotten);
        }
        let new = self.log.iter().filter(|i| i.rev > after && i.key.starts_with(prefix));
        let new: Vec<Item> = new.cloned().collect();
        (!new.is_empty()).then_some(StoreReply::Events(new, self.rev))
    }

    /// Ends the leases whose time is over.
    pub fn lapse(&mut self, now: Time) {
        let over: Vec<u64> =
            self.leases.iter().filter(|(_, (until, _))| *until <= now).map(|l| *l.0).collect();
        for lease in over {
            self.leases.remove(&lease);
            self.end(lease);
        }
    }

    /// Removes the keys of a lease.
    fn end(&mut self, lease: u64) {
        let keys: Vec<Box<str>> =
            self.leased.iter().filter(|(_, l)| **l == lease).map(|(k, _)| k.clone()).collect();
        keys.iter().for_each(|k| self.remove(k));
    }
}
