//! A set of task numbers, kept as ranges: tasks of a batch end roughly in the order of their numbers.

use {crate::ids::TaskIndex, std::collections::BTreeMap};

/// A set of task numbers.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Ranges {
    /// The end of each range, itself not within, by its begin.
    ends: BTreeMap<u32, u32>,
    len: u32,
}

impl Ranges {
    /// Adds a number; returns whether it is new.
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

    /// Whether a number is within.
    pub fn contains(&self, index: TaskIndex) -> bool {
        self.ends.range(..=index.0).next_back().is_some_and(|(_, end)| index.0 < *end)
    }

    /// How many numbers are within.
    pub fn len(&self) -> u32 {
        self.len
    }

    /// The numbers, ascending.
    pub fn iter(&self) -> impl Iterator<Item = TaskIndex> {
        self.ends.iter().flat_map(|(begin, end)| (*begin..*end).map(TaskIndex))
    }

    /// How many bounds the ranges have.
    pub fn bounds_len(&self) -> usize {
        2 * self.ends.len()
    }

    /// The bounds of the ranges one after another, as a record keeps them.
    pub fn bounds(&self) -> Vec<u32> {
        self.ends.iter().flat_map(|(begin, end)| [*begin, *end]).collect()
    }

    /// The set of these bounds; what is not ascending is left out.
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
