//! Buckets that have passed to another member while claim requests still await their verdicts.
//!
//! Such a request may already be committed or in transit to the store. If the bucket were dropped,
//! the request would get no reply. If it were answered "unowned" at once, the claim might still
//! take effect. The bucket's own commit therefore continues until the outcome is known, either from
//! its reply or from a read that shows a write by another owner.

use {
    super::Owned,
    crate::{
        Time,
        bucket::{Bucket as State, Order},
        ids::{Bucket, Epoch},
    },
};

/// The buckets that wait to be dropped.
#[derive(Default)]
pub(super) struct Departing {
    all: Vec<(Bucket, Epoch, State)>,
}

impl Departing {
    /// Keeps a bucket as long as a claim request is pending in it.
    pub fn push(&mut self, owned: Owned, id: Bucket) {
        if owned.state.claim_pending() {
            self.all.push((id, owned.epoch, owned.state));
        }
    }

    /// The kept bucket with this epoch.
    pub fn get(&mut self, id: Bucket, epoch: Epoch) -> Option<&mut State> {
        self.all.iter_mut().find(|(i, e, _)| *i == id && *e == epoch).map(|(.., state)| state)
    }

    /// The orders of the kept buckets. Drops the buckets without a pending request.
    pub fn orders(&mut self, now: Time) -> Vec<(Bucket, Epoch, Order)> {
        let mut out = vec![];
        self.all.retain_mut(|(id, epoch, state)| {
            out.extend(state.orders(now).into_iter().map(|o| (*id, *epoch, o)));
            state.claim_pending()
        });
        // The new owner decides on the bucket's tasks.
        out.retain(|(.., o)| !matches!(o, Order::Start { .. } | Order::Stop { .. }));
        out
    }
}
