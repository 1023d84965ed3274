//! Calls to the store and its replies.

use {crate::ports::Rev, bytes::Bytes, std::time::Duration};

/// A call to the store.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreCall {
    /// Reads one item.
    Get {
        /// Key of the item.
        key: Box<str>,
    },
    /// Reads one page of items in key order.
    Range {
        /// Prefix of the keys.
        prefix: Box<str>,
        /// Key after which the page begins; empty for the first page.
        after: Box<str>,
        /// Whether the answer may be some seconds out of date.
        stale: bool,
    },
    /// Waits for changes.
    Watch {
        /// Prefix of the keys.
        prefix: Box<str>,
        /// Revision after which changes are reported.
        after: Rev,
        /// Maximum time to wait for a change.
        wait: Duration,
    },
    /// Changes items, all or none.
    Txn(Txn),
    /// Creates a lease.
    CreateLease {
        /// Time for which the lease lasts without being renewed.
        ttl: Duration,
    },
    /// Renews a lease.
    RenewLease {
        /// Number of the lease.
        lease: u64,
    },
    /// Ends a lease.
    EndLease {
        /// Number of the lease.
        lease: u64,
    },
}

impl StoreCall {
    /// Returns whether the call may be repeated safely, as a second execution changes nothing.
    pub fn is_repeatable(&self) -> bool {
        !matches!(self, StoreCall::Txn(_) | StoreCall::CreateLease { .. })
    }
}

/// An atomic change of items.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Txn {
    /// The expected revisions of items; 0 if the item must not exist.
    pub expected_revs: Vec<(Box<str>, Rev)>,
    /// The items to write.
    pub puts: Vec<Put>,
    /// The keys of the items to remove.
    pub removed_keys: Vec<Box<str>>,
}

/// Maximum size of an item's value, in bytes.
pub const MAX_RECORD_BYTES: usize = 1 << 20;
/// Maximum number of rows of a [`Txn`]: expectations, writes and removals together.
pub const MAX_TXN_ROWS: usize = 32;

/// An item to be written.
#[derive(Clone, Debug, PartialEq)]
pub struct Put {
    /// Key of the item.
    pub key: Box<str>,
    /// Value of the item.
    pub value: Bytes,
    /// Number of the lease whose end removes the item; 0 for none.
    pub lease: u64,
}

/// An item of the store.
#[derive(Clone, Debug, PartialEq)]
pub struct Item {
    /// Key of the item.
    pub key: Box<str>,
    /// Value of the item; `None` if it was removed.
    pub value: Option<Bytes>,
    /// Revision of the last change; 0 if the item does not exist.
    pub rev: Rev,
}

/// A reply of the store.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreReply {
    /// The item, or `None` if it does not exist.
    Item(Option<Item>),
    /// Items, whether more follow, and the store's revision.
    Page(Vec<Item>, bool, Rev),
    /// Changes, and the revision after which the next watch starts.
    Events(Vec<Item>, Rev),
    /// The store no longer has the requested changes: the range has to be read again.
    Forgotten,
    /// The change was made, with this revision.
    Done(Rev),
    /// Nothing was changed, because expectations were not met; the present items follow.
    Conflict(Vec<Item>),
    /// The lease does not exist; nothing was changed.
    NoLease,
    /// The number of a new lease, and how long it lasts.
    Lease(u64, Duration),
    /// The lease was renewed or ended.
    Kept,
}
