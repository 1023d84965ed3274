//! Teams and callers in the fair order of waiting requests: their tags, waiting work and debts.
//!
//! A part of [`fair`](crate::decide::fair), which says what the order is for.

use {
    crate::ids::{CallerId, RequestId},
    rustc_hash::FxHashMap,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Tags count this many steps for a microsecond at weight 1, so that weights up to it divide well.
pub(super) const STEPS: u64 = 1 << 10;

#[derive(Clone, Copy, PartialEq, Eq)]
pub(super) enum Lane {
    Short,
    Long,
}

pub(super) const LANES: [Lane; 2] = [Lane::Short, Lane::Long];

#[derive(Default)]
pub(super) struct Caller {
    pub(super) tag: u64,
    /// The requests by their order of arrival, for each lane.
    pub(super) lanes: [BTreeMap<u64, (RequestId, Duration)>; 2],
}

impl Caller {
    pub(super) fn len(&self) -> usize {
        self.lanes.iter().map(BTreeMap::len).sum()
    }

    pub(super) fn work(&self, lanes: &[Lane]) -> u64 {
        let waiting = lanes.iter().flat_map(|&l| self.lanes[l as usize].values());
        waiting.map(|&(_, run)| cost(run)).sum()
    }
}

#[derive(Default)]
pub(super) struct Team {
    pub(super) tag: u64,
    /// The tag of the caller served last.
    pub(super) clock: u64,
    pub(super) len: usize,
    pub(super) work: [u64; 2],
    pub(super) callers: FxHashMap<CallerId, Caller>,
    /// The callers with waiting requests, by tag and by the arrival of their first.
    pub(super) order: [BTreeSet<(u64, u64, CallerId)>; 2],
}

impl Team {
    /// Changes a caller and keeps the order true to it.
    pub(super) fn edit(&mut self, id: &CallerId, change: impl FnOnce(&mut Caller)) {
        let caller = self.callers.entry(id.clone()).or_default();
        for (lane, order) in caller.lanes.iter().zip(&mut self.order) {
            if let Some(&seq) = lane.keys().next() {
                order.remove(&(caller.tag, seq, id.clone()));
            }
        }
        change(caller);
        for (lane, order) in caller.lanes.iter().zip(&mut self.order) {
            if let Some(&seq) = lane.keys().next() {
                order.insert((caller.tag, seq, id.clone()));
            }
        }
    }

    /// The steps of work that fair order puts before a new request of this caller.
    pub(super) fn before(&self, id: &CallerId, lanes: &[Lane]) -> u64 {
        let caller = self.callers.get(id);
        let mine = caller.map_or(0, |c| c.work(lanes));
        let start = caller.map_or(0, |c| c.tag).max(self.clock) + mine;
        let past = (start + 1, 0, CallerId::from(""));
        let waiting = lanes.iter().flat_map(|&l| self.order[l as usize].range(..&past));
        let others: BTreeSet<_> = waiting.map(|(_, _, c)| c).filter(|&c| c != id).collect();
        let others = others.into_iter().map(|c| &self.callers[c]);
        mine + others.map(|c| served(c.work(lanes), c.len(), start - c.tag)).sum::<u64>()
    }

    pub(super) fn work(&self, lanes: &[Lane]) -> u64 {
        lanes.iter().map(|&l| self.work[l as usize]).sum()
    }
}

/// What a flow with `work` in `len` requests is served until its tag has advanced by `lead`; it is
/// served whole requests, so one more than fits is begun.
pub(super) fn served(work: u64, len: usize, lead: u64) -> u64 {
    work.min(lead.saturating_add(work / (len.max(1) as u64)))
}

/// The steps of a run time; at least a microsecond's, so that each request costs something.
pub(super) fn cost(run: Duration) -> u64 {
    let us = u64::try_from(run.as_micros()).unwrap_or(u64::MAX);
    us.clamp(1, u64::MAX >> 20) * STEPS
}
