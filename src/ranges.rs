//! A set of task indexes, stored as ranges because tasks of a batch end roughly in index order.

use {crate::ids::TaskIndex, std::collections::BTreeMap};

/// A set of task indexes.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ranges {
    /// The exclusive end of each range, by its start.
    ends: BTreeMap<u32, u32>,
    len: u32,
}

impl Ranges {
    /// Adds an index; returns whether it is new.
    pub fn insert(&mut self, index: TaskIndex) -> bool {
        if self.contains(index) {
            return false;
        }
        let (begin, mut end) = (index.0, index.0.saturating_add(1));
        if let Some(next) = self.ends.remove(&end) {
            end = next;
        }
        match self.ends.range_mut(..begin).next_back() {
            Some((_, last)) if *last == begin => *last = end,
            _ => {
                self.ends.insert(begin, end);
            }
        }
        self.len += 1;
        true
    }

    /// Whether the set contains an index.
    pub fn contains(&self, index: TaskIndex) -> bool {
        self.ends.range(..=index.0).next_back().is_some_and(|(_, end)| index.0 < *end)
    }

    /// The number of indexes in the set.
    pub fn len(&self) -> u32 {
        self.len
    }

    /// The indexes, ascending.
    pub fn iter(&self) -> impl Iterator<Item = TaskIndex> {
        self.ends.iter().flat_map(|(begin, end)| (*begin..*end).map(TaskIndex))
    }

    /// The number of bounds that [`Ranges::bounds`] returns.
    pub fn bounds_len(&self) -> usize {
        2 * self.ends.len()
    }

    /// The bounds of the ranges as a flat list, as stored in a record.
    pub fn bounds(&self) -> Vec<u32> {
        self.ends.iter().flat_map(|(begin, end)| [*begin, *end]).collect()
    }

    /// Builds a set from a flat list of bounds; skips ranges that are not ascending.
    pub fn from_bounds(bounds: &[u32]) -> Self {
        let mut set = Ranges::default();
        let mut last = 0;
        for pair in bounds.chunks_exact(2) {
            let (begin, end) = (pair[0], pair[1]);
            if begin < end && (begin > last || set.ends.is_empty()) {
                set.ends.insert(begin, end);
                set.len += end - begin;
                last = end;
            }
        }
        set
    }
}
