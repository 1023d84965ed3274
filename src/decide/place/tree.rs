//! Workers in an order of preference, searched by their free room in all dimensions.
//!
//! The tree is a treap: a binary search tree by key that is also a heap by priority, so its
//! expected depth is logarithmic for any order of changes. Each node stores the maximum free room
//! of its subtree in each dimension, so that a search skips subtrees in which nothing can fit.
//! Priorities are a fixed hash of the worker's number, so that the same calls build the same tree.

use crate::units::Size;

/// Index that stands for a missing node.
const NIL: u32 = u32::MAX;
/// The odd number closest to 2^64 divided by the golden ratio, as in Fibonacci hashing.
const HASH_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;

#[derive(Clone, Debug)]
struct Node {
    key: u64,
    free: Size,
    /// Maximum free room in the node's subtree, in each dimension.
    max_free: Size,
    left: u32,
    right: u32,
}

/// Workers ordered by their keys.
#[derive(Clone, Debug)]
pub(super) struct Tree {
    root: u32,
    nodes: Vec<Node>,
}

impl Default for Tree {
    fn default() -> Self {
        Tree { root: NIL, nodes: Vec::new() }
    }
}

impl Tree {
    /// Inserts a worker that is not in the tree.
    pub(super) fn insert(&mut self, id: u32, key: u64, free: Size) {
        let node = Node { key, free, max_free: free, left: NIL, right: NIL };
        while self.nodes.len() <= id as usize {
            self.nodes.push(node.clone());
        }
        self.nodes[id as usize] = node;
        self.root = self.insert_at(self.root, id);
    }

    /// Removes a worker that is in the tree.
    pub(super) fn remove(&mut self, id: u32) {
        self.root = self.remove_at(self.root, id);
    }

    /// Returns the worker with the lowest key that has room for `need` and passes `accept`.
    pub(super) fn first(&self, need: &Size, accept: &dyn Fn(u32) -> bool) -> Option<u32> {
        self.find(self.root, need, false, accept)
    }

    /// Returns the worker with the highest key that has room for `need` and passes `accept`.
    pub(super) fn last(&self, need: &Size, accept: &dyn Fn(u32) -> bool) -> Option<u32> {
        self.find(self.root, need, true, accept)
    }

    fn find(
        &self,
        at: u32,
        need: &Size,
        reverse: bool,
        accept: &dyn Fn(u32) -> bool,
    ) -> Option<u32> {
        let node = self.nodes.get(at as usize)?;
        if !need.fits(&node.max_free) {
            return None;
        }
        let (near, far) = if reverse { (node.right, node.left) } else { (node.left, node.right) };
        let found = self.find(near, need, reverse, accept);
        if found.is_some() {
            return found;
        }
        if need.fits(&node.free) && accept(at) {
            Some(at)
        } else {
            self.find(far, need, reverse, accept)
        }
    }

    fn insert_at(&mut self, at: u32, id: u32) -> u32 {
        if at == NIL {
            return id;
        }
        if heap_priority(id) > heap_priority(at) {
            let (left, right) = self.split(at, id);
            self.set_children(id, left, right);
            return id;
        }
        let Node { left, right, .. } = self.nodes[at as usize];
        if self.precedes(id, at) {
            let left = self.insert_at(left, id);
            self.set_children(at, left, right);
        } else {
            let right = self.insert_at(right, id);
            self.set_children(at, left, right);
        }
        at
    }

    fn remove_at(&mut self, at: u32, id: u32) -> u32 {
        if at == NIL {
            return NIL;
        }
        let Node { left, right, .. } = self.nodes[at as usize];
        if at == id {
            return self.merge(left, right);
        }
        if self.precedes(id, at) {
            let left = self.remove_at(left, id);
            self.set_children(at, left, right);
        } else {
            let right = self.remove_at(right, id);
            self.set_children(at, left, right);
        }
        at
    }

    /// Splits a subtree into the workers that precede `id` and those that follow it.
    fn split(&mut self, at: u32, id: u32) -> (u32, u32) {
        if at == NIL {
            return (NIL, NIL);
        }
        let Node { left, right, .. } = self.nodes[at as usize];
        if self.precedes(at, id) {
            let (inner, after) = self.split(right, id);
            self.set_children(at, left, inner);
            (at, after)
        } else {
            let (before, inner) = self.split(left, id);
            self.set_children(at, inner, right);
            (before, at)
        }
    }

    /// Merges two subtrees. All nodes of `a` must precede those of `b`.
    fn merge(&mut self, a: u32, b: u32) -> u32 {
        if a == NIL {
            return b;
        }
        if b == NIL {
            return a;
        }
        if heap_priority(a) > heap_priority(b) {
            let Node { left, right, .. } = self.nodes[a as usize];
            let right = self.merge(right, b);
            self.set_children(a, left, right);
            a
        } else {
            let Node { left, right, .. } = self.nodes[b as usize];
            let left = self.merge(a, left);
            self.set_children(b, left, right);
            b
        }
    }

    fn set_children(&mut self, at: u32, left: u32, right: u32) {
        let mut max_free = self.nodes[at as usize].free;
        for child in [left, right] {
            if let Some(node) = self.nodes.get(child as usize) {
                max_free = max_free.max(&node.max_free);
            }
        }
        let node = &mut self.nodes[at as usize];
        (node.left, node.right, node.max_free) = (left, right, max_free);
    }

    fn precedes(&self, a: u32, b: u32) -> bool {
        (self.nodes[a as usize].key, a) < (self.nodes[b as usize].key, b)
    }
}

fn heap_priority(id: u32) -> u64 {
    let hash = (u64::from(id) + 1).wrapping_mul(HASH_MULTIPLIER);
    (hash ^ (hash >> 29)).wrapping_mul(HASH_MULTIPLIER)
}
