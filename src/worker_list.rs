//! The list of workers, as the members that own shards read it.
//!
//! Other programs may write to the list, so an entry may be unreadable. Such an entry names no
//! worker, and the other entries stay valid.

use {
    crate::{
        error::Error,
        ports::{Codec, Item, Rev},
        work::ListedWorker,
    },
    rustc_hash::FxHashMap,
};

/// The entries of the list by key.
#[derive(Debug, Default)]
pub struct WorkerList {
    entries: FxHashMap<Box<str>, Entry>,
}

#[derive(Debug)]
struct Entry {
    rev: Rev,
    /// `None` if the entry is unreadable.
    worker: Option<ListedWorker>,
}

/// The entries that could not be decoded in one update.
#[derive(Debug, Default, PartialEq)]
pub struct Unreadable {
    /// The number of changed entries that are unreadable.
    pub count: usize,
    /// The errors of those that were readable or absent before. Each names its entry.
    pub new: Vec<Error>,
}

impl WorkerList {
    /// Replaces the list with the items that were read. Decodes only entries that have changed.
    pub fn update(&mut self, items: Vec<Item>, codec: &Codec) -> Unreadable {
        let mut unreadable = Unreadable::default();
        let mut entries = FxHashMap::default();
        for Item { key, value, rev } in items {
            let former = self.entries.remove(&key);
            let former = match former {
                Some(entry) if entry.rev == rev => {
                    entries.insert(key, entry);
                    continue;
                }
                former => former,
            };
            let Some((id, value)) = key.strip_prefix(codec.worker_prefix).zip(value) else {
                continue;
            };
            let worker = match (codec.decode_listed)(id, &value) {
                Ok(worker) => Some(worker),
                Err(error) => {
                    unreadable.count += 1;
                    if former.is_none_or(|e| e.worker.is_some()) {
                        unreadable.new.push(error);
                    }
                    None
                }
            };
            entries.insert(key, Entry { rev, worker });
        }
        self.entries = entries;
        unreadable
    }

    /// Forgets all entries.
    pub fn clear(&mut self) {
        self.entries.clear();
    }

    /// Returns the workers that the readable entries name.
    pub fn workers(&self) -> impl Iterator<Item = &ListedWorker> {
        self.entries.values().filter_map(|e| e.worker.as_ref())
    }
}
