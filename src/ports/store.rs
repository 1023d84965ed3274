//! Calls and replies of the store.

use {crate::ports::Rev, bytes::Bytes, std::time::Duration};

/// A call of the store.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreCall {
    /// Reads one item.
    Get {
        /// Its key.
        key: Box<str>,
    },
    /// Reads one page of items.
    Range {
        /// What their keys begin with.
        prefix: Box<str>,
        /// The key before the first, or nothing.
        after: Box<str>,
        /// Whether it may be seconds old.
        stale: bool,
    },
    /// Waits for changes.
    Watch {
        /// What their keys begin with.
        prefix: Box<str>,
        /// The change after which.
        after: Rev,
        /// How long at most.
        wait: Duration,
    },
    /// Changes items, all or none.
    Txn(Txn),
    /// Makes a lease.
    Lease {
        /// How long it lasts without being renewed.
        ttl: Duration,
    },
    /// Renews a lease.
    Keep {
        /// Its number.
        lease: u64,
    },
    /// Ends a lease.
    EndLease {
        /// Its number.
        lease: u64,
    },
}

impl StoreCall {
    /// Whether the call may be made twice: it changes nothing, or only what is so already.
    pub fn repeats(&self) -> bool {
        !matches!(self, StoreCall::Txn(_) | StoreCall::Lease { .. })
    }
}

/// A change of items, all or none.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Txn {
    /// Items and the revisions that they must have; 0 where there must be none.
    pub expect: Vec<(Box<str>, Rev)>,
    /// What is written.
    pub puts: Vec<Put>,
    /// What is removed.
    pub remove: Vec<Box<str>>,
}

/// The most rows of one [`Txn`], of all three kinds together.
pub const ROWS: usize = 32;

/// One item to be written.
#[derive(Clone, Debug, PartialEq)]
pub struct Put {
    /// Its key.
    pub key: Box<str>,
    /// Its value.
    pub value: Bytes,
    /// The lease with which it ends; 0 is none.
    pub lease: u64,
}

/// One item.
#[derive(Clone, Debug, PartialEq)]
pub struct Item {
    /// Its key.
    pub key: Box<str>,
    /// Its value; none where it was removed.
    pub value: Option<Bytes>,
    /// Its last change; 0 where there is no such item.
    pub rev: Rev,
}

/// The answer of the store.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreReply {
    /// One item, or none.
    Item(Option<Item>),
    /// Items, whether there are more, and the store's revision.
    Page(Vec<Item>, bool, Rev),
    /// Changes, and the revision after which to go on.
    Events(Vec<Item>, Rev),
    /// The changes asked for are forgotten: read the range again.
    Forgotten,
    /// Done, with its revision.
    Done(Rev),
    /// Nothing was done: how the items expected stand.
    Conflict(Vec<Item>),
    /// There is no such lease: nothing was done.
    NoLease,
    /// A lease: its number and how long it lasts.
    Lease(u64, Duration),
    /// Renewed or ended.
    Kept,
}
