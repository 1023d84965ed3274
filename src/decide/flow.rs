//! Start tags, waiting work and debts of the teams and callers in a fair queue.
//!
//! A part of [`fair`](crate::decide::fair), which documents the order.

use {
    crate::ids::{CallerId, RequestId},
    rustc_hash::FxHashMap,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Units of a tag per microsecond of run time at weight 1. Weights go up to this number, so
/// dividing a tag by a weight loses little.
pub(super) const TAG_UNITS: u64 = 1 << 10;

#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Lane {
    Short,
    Long,
}

pub(super) const ALL_LANES: [Lane; 2] = [Lane::Short, Lane::Long];

#[derive(Default)]
pub(super) struct CallerFlow {
    pub(super) start_tag: u64,
    /// Waiting requests of each lane, in the order of arrival.
    pub(super) lanes: [BTreeMap<u64, (RequestId, Duration)>; 2],
}

impl CallerFlow {
    pub(super) fn len(&self) -> usize {
        self.lanes.iter().map(BTreeMap::len).sum()
    }

    pub(super) fn work(&self, lanes: &[Lane]) -> u64 {
        let waiting = lanes.iter().flat_map(|&l| self.lanes[l as usize].values());
        waiting.map(|&(_, run)| tag_cost(run)).sum()
    }
}

#[derive(Default)]
pub(super) struct TeamFlow {
    pub(super) start_tag: u64,
    /// Start tag of the caller that was served last.
    pub(super) virtual_time: u64,
    pub(super) len: usize,
    pub(super) work: [u64; 2],
    pub(super) callers: FxHashMap<CallerId, CallerFlow>,
    /// Callers with waiting requests, by tag and then by the arrival of their first request, per
    /// lane.
    pub(super) order: [BTreeSet<(u64, u64, CallerId)>; 2],
}

impl TeamFlow {
    /// Changes a caller and updates `order` accordingly.
    pub(super) fn edit_caller(&mut self, id: &CallerId, change: impl FnOnce(&mut CallerFlow)) {
        let caller = self.callers.entry(id.clone()).or_default();
        for (lane, order) in caller.lanes.iter().zip(&mut self.order) {
            if let Some(&seq) = lane.keys().next() {
                order.remove(&(caller.start_tag, seq, id.clone()));
            }
        }
        change(caller);
        for (lane, order) in caller.lanes.iter().zip(&mut self.order) {
            if let Some(&seq) = lane.keys().next() {
                order.insert((caller.start_tag, seq, id.clone()));
            }
        }
    }

    /// Returns the work, in tag units, that the fair order places before a new request of this
    /// caller.
    pub(super) fn work_before(&self, id: &CallerId, lanes: &[Lane]) -> u64 {
        let caller = self.callers.get(id);
        let mine = caller.map_or(0, |c| c.work(lanes));
        let start = caller.map_or(0, |c| c.start_tag).max(self.virtual_time) + mine;
        let past = (start + 1, 0, CallerId::from(""));
        let waiting = lanes.iter().flat_map(|&l| self.order[l as usize].range(..&past));
        let others: BTreeSet<_> = waiting.map(|(_, _, c)| c).filter(|&c| c != id).collect();
        let others = others.into_iter().map(|c| &self.callers[c]);
        mine + others.map(|c| served_work(c.work(lanes), c.len(), start - c.start_tag)).sum::<u64>()
    }

    pub(super) fn work(&self, lanes: &[Lane]) -> u64 {
        lanes.iter().map(|&l| self.work[l as usize]).sum()
    }
}

/// Returns how much of a flow's `work`, in `len` requests, is served until its start tag has
/// advanced by `lead`. The request that reaches the limit counts as a whole.
pub(super) fn served_work(work: u64, len: usize, lead: u64) -> u64 {
    work.min(lead.saturating_add(work / (len.max(1) as u64)))
}

/// Converts a run time to tag units; at least one microsecond, so that every request costs
/// something.
pub(super) fn tag_cost(run: Duration) -> u64 {
    let us = u64::try_from(run.as_micros()).unwrap_or(u64::MAX);
    us.clamp(1, u64::MAX >> 20) * TAG_UNITS
}
