//! Buckets that have passed to another member while asks for claims still wait for their verdicts.
//!
//! Such an ask may have been committed already, or be on its way. If the bucket were dropped, its
//! request would get no answer at all; if it were told "unowned" at once, the claim might stand all
//! the same. So the bucket's own commit goes on until it knows: by its answer, or by reading that
//! another owner has written.

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
pub(super) struct Partings {
    all: Vec<(Bucket, Epoch, State)>,
}

impl Partings {
    /// Keeps a bucket for as long as an ask waits there.
    pub fn push(&mut self, owned: Owned, id: Bucket) {
        if owned.state.pending() {
            self.all.push((id, owned.epoch, owned.state));
        }
    }

    /// The bucket that waits with this epoch.
    pub fn get(&mut self, id: Bucket, epoch: Epoch) -> Option<&mut State> {
        self.all.iter_mut().find(|(i, e, _)| *i == id && *e == epoch).map(|(.., state)| state)
    }

    /// What they have to send; those that are done are dropped.
    pub fn orders(&mut self, now: Time) -> Vec<(Bucket, Epoch, Order)> {
        let mut out = vec![];
        self.all.retain_mut(|(id, epoch, state)| {
            out.extend(state.orders(now).into_iter().map(|o| (*id, *epoch, o)));
            state.pending()
        });
        // Its tasks are the new owner's to decide on.
        out.retain(|(.., o)| !matches!(o, Order::Start { .. } | Order::Stop { .. }));
        out
    }
}
