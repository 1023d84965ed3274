//! Workers in an order of preference, searched by their free room in all dimensions.
//!
//! A treap: a binary search tree by key that is a heap by priority, so its depth is logarithmic in
//! expectation whatever the order of changes. Each node knows the greatest room below it, dimension
//! by dimension, so that a search passes over whole subtrees in which nothing can fit. Priorities
//! are a fixed hash of the worker's number: the same calls give the same tree.

use crate::units::Size;

const NIL: u32 = u32::MAX;
/// The odd number next to 2^64 over the golden ratio; multiples of it scatter well.
const SCATTER: u64 = 0x9e37_79b9_7f4a_7c15;

#[derive(Clone, Debug)]
struct Node {
    key: u64,
    free: Size,
    most: Size,
    left: u32,
    right: u32,
}

/// Workers in the order of their keys.
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
    /// Enters a worker that is not in the tree.
    pub(super) fn insert(&mut self, id: u32, key: u64, free: Size) {
        let node = Node { key, free, most: free, left: NIL, right: NIL };
        while self.nodes.len() <= id as usize {
            self.nodes.push(node.clone());
        }
        self.nodes[id as usize] = node;
        self.root = self.insert_at(self.root, id);
    }

    /// Takes out a worker that is in the tree.
    pub(super) fn remove(&mut self, id: u32) {
        self.root = self.remove_at(self.root, id);
    }

    /// The first worker in order with room for `need` that passes `ok`.
    pub(super) fn first(&self, need: &Size, ok: &dyn Fn(u32) -> bool) -> Option<u32> {
        self.find(self.root, need, false, ok)
    }

    /// The last worker in order with room for `need` that passes `ok`.
    pub(super) fn last(&self, need: &Size, ok: &dyn Fn(u32) -> bool) -> Option<u32> {
        self.find(self.root, need, true, ok)
    }

    fn find(&self, at: u32, need: &Size, back: bool, ok: &dyn Fn(u32) -> bool) -> Option<u32> {
        let node = self.nodes.get(at as usize)?;
        if !need.fits(&node.most) {
            return None;
        }
        let (near, far) = if back { (node.right, node.left) } else { (node.left, node.right) };
        let found = self.find(near, need, back, ok);
        if found.is_some() {
            return found;
        }
        if need.fits(&node.free) && ok(at) { Some(at) } else { self.find(far, need, back, ok) }
    }

    fn insert_at(&mut self, at: u32, id: u32) -> u32 {
        if at == NIL {
            return id;
        }
        if priority(id) > priority(at) {
            let (left, right) = self.split(at, id);
            self.link(id, left, right);
            return id;
        }
        let Node { left, right, .. } = self.nodes[at as usize];
        if self.before(id, at) {
            let left = self.insert_at(left, id);
            self.link(at, left, right);
        } else {
            let right = self.insert_at(right, id);
            self.link(at, left, right);
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
        if self.before(id, at) {
            let left = self.remove_at(left, id);
            self.link(at, left, right);
        } else {
            let right = self.remove_at(right, id);
            self.link(at, left, right);
        }
        at
    }

    /// The parts of a subtree before and after a worker.
    fn split(&mut self, at: u32, id: u32) -> (u32, u32) {
        if at == NIL {
            return (NIL, NIL);
        }
        let Node { left, right, .. } = self.nodes[at as usize];
        if self.before(at, id) {
            let (inner, after) = self.split(right, id);
            self.link(at, left, inner);
            (at, after)
        } else {
            let (before, inner) = self.split(left, id);
            self.link(at, inner, right);
            (before, at)
        }
    }

    /// One subtree of two, the first of which lies before the second.
    fn merge(&mut self, a: u32, b: u32) -> u32 {
        if a == NIL {
            return b;
        }
        if b == NIL {
            return a;
        }
        if priority(a) > priority(b) {
            let Node { left, right, .. } = self.nodes[a as usize];
            let right = self.merge(right, b);
            self.link(a, left, right);
            a
        } else {
            let Node { left, right, .. } = self.nodes[b as usize];
            let left = self.merge(a, left);
            self.link(b, left, right);
            b
        }
    }

    fn link(&mut self, at: u32, left: u32, right: u32) {
        let mut most = self.nodes[at as usize].free;
        for child in [left, right] {
            if let Some(node) = self.nodes.get(child as usize) {
                most = most.max(&node.most);
            }
        }
        let node = &mut self.nodes[at as usize];
        (node.left, node.right, node.most) = (left, right, most);
    }

    fn before(&self, a: u32, b: u32) -> bool {
        (self.nodes[a as usize].key, a) < (self.nodes[b as usize].key, b)
    }
}

fn priority(id: u32) -> u64 {
    let scattered = (u64::from(id) + 1).wrapping_mul(SCATTER);
    (scattered ^ (scattered >> 29)).wrapping_mul(SCATTER)
}
