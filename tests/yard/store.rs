//! The store: items with revisions, changed all or none.

use {
    bytes::Bytes,
    dogwoodreach::ports::{Item, ROWS, Rev, StoreReply, Txn},
    std::{collections::BTreeMap, time::Duration},
};

/// How the store does.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Mode {
    Up,
    /// It does nothing; some calls are refused, of the others nothing is heard.
    Down,
    /// One of so many answers is lost; what was asked is done then, or seconds later.
    Losing(u32),
}

/// What becomes of a call.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fate {
    Answered,
    Refused,
    Unheard,
    /// Done after this time, and nothing is heard of it.
    Lost(Duration),
}

/// The items, and the transactions that were done.
pub struct Store {
    pub items: BTreeMap<Box<str>, (Rev, Bytes)>,
    pub rev: Rev,
    pub mode: Mode,
    /// What was written since it was last asked for.
    pub written: Vec<(Box<str>, Bytes)>,
    /// Which writes were made, for counting.
    pub writes: u64,
    rng: fastrand::Rng,
}

impl Store {
    pub fn new(seed: u64) -> Self {
        let (items, written, rng) = (BTreeMap::new(), Vec::new(), fastrand::Rng::with_seed(seed));
        Store { items, rev: 7, mode: Mode::Up, written, writes: 0, rng }
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
        self.rev += 1;
        for put in &txn.puts {
            self.items.insert(put.key.clone(), (self.rev, put.value.clone()));
            self.written.push((put.key.clone(), put.value.clone()));
        }
        txn.remove.iter().for_each(|k| drop(self.items.remove(k)));
        StoreReply::Done(self.rev)
    }

    /// Writes one item whatever it was, as a client's member does.
    pub fn put(&mut self, key: Box<str>, value: Bytes) -> Rev {
        self.rev += 1;
        self.items.insert(key, (self.rev, value));
        self.rev
    }
}
