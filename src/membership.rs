//! This member's row and lease: registered, renewed, and told anew where they change.

use {
    crate::{
        common::Common,
        decisions::Told,
        ports::{Fault, Put, Rev, StoreCall, StoreReply, Txn},
        shard::{
            event::Event,
            record::{self, MemberRow},
        },
        store::{CALL, Outside},
        table::member_key,
        watch::Pause,
    },
    async_channel::Sender,
    std::{sync::Arc, time::Duration},
    tokio::{
        sync::watch,
        time::{Instant, sleep_until},
    },
};

/// How long this member's lease lasts, where the store allows it.
const LEASE: Duration = Duration::from_secs(2);
/// How often the lease is renewed.
pub(crate) const KEEP: Duration = Duration::from_millis(500);
/// How long a renewal may take: two fit into a lease, so that a slow store doesn't end it.
const KEPT: Duration = Duration::from_millis(900);

/// This member's row and lease.
pub(crate) struct Membership {
    /// What the duties share.
    pub common: Arc<Common>,
    /// The store.
    pub outside: Outside,
    /// The way to the decisions.
    pub told: Sender<Told>,
    /// The lease, for who ends it.
    pub lease: watch::Sender<u64>,
}

/// What of a member's row changes while it runs.
#[derive(Clone, Copy, PartialEq)]
struct Standing {
    draining: bool,
    relayed: bool,
}

impl Membership {
    /// Keeps this member registered.
    pub async fn run(self) {
        let mut pause = Pause::default();
        loop {
            let ttl = LEASE.max(self.common.site.borrow().bounds.ttl);
            let made = self.outside.store(&StoreCall::Lease { ttl }, CALL).await;
            let Ok(StoreReply::Lease(lease, _)) = made else {
                pause.wait().await;
                continue;
            };
            pause.good();
            self.lease.send_replace(lease);
            self.keep(lease).await;
            self.common.register(false);
            log::warn!(target: "table", member:% = self.common.me, lease; "The lease has ended; this member registers again.");
        }
    }

    /// Registers under a lease and renews it until the store has ended it.
    async fn keep(&self, lease: u64) {
        let mut pause = Pause::default();
        let mut registered: Option<(Rev, Standing)> = None;
        loop {
            let due = Instant::now() + KEEP;
            let draining = self.common.stopping();
            let standing = Standing { draining, relayed: self.common.ways.yields() };
            let gone = registered.is_some_and(|(r, s)| {
                s != standing || self.common.view.borrow().lost(self.common.me, r)
            });
            if registered.is_none() || gone {
                match self.register(lease, standing).await {
                    Ok(StoreReply::Done(rev)) => {
                        self.common.register(true);
                        registered = Some((rev, standing));
                    }
                    Ok(StoreReply::NoLease) => return,
                    _ => {
                        pause.wait().await;
                        continue;
                    }
                }
            }
            let sent = self.common.now();
            match self.outside.store(&StoreCall::Keep { lease }, KEPT).await {
                Ok(StoreReply::Kept) => {
                    pause.good();
                    // Guards against an owner whose lease had ended and that was taken over before it
                    // registered again: it counts as confirmed once it has read the table since.
                    let read = self.common.view.borrow().rev;
                    if registered.is_some_and(|(rev, _)| read >= rev) {
                        let _ = self.told.send(Told::All(Event::Confirmed(sent))).await;
                    }
                    self.rest(due, draining).await;
                }
                Ok(StoreReply::NoLease) => return,
                _ => pause.wait().await,
            }
        }
    }

    /// Waits for the next renewal; a stop is told to the others at once.
    async fn rest(&self, due: Instant, draining: bool) {
        tokio::select! {
            () = sleep_until(due) => {}
            () = self.common.stopped(), if !draining => {}
        }
    }

    async fn register(&self, lease: u64, standing: Standing) -> Result<StoreReply, Fault> {
        let site = self.common.site.borrow().clone();
        let row = MemberRow {
            control: site.control,
            zone: site.zone.clone(),
            draining: standing.draining,
            cores: site.cores,
            relayed: standing.relayed,
        };
        let put = Put { key: member_key(self.common.me), value: record::write(&row), lease };
        let txn = Txn { puts: vec![put], ..Txn::default() };
        self.outside.store(&StoreCall::Txn(txn), CALL).await
    }
}
