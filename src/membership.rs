//! Keeps this member registered: holds its lease in the store and writes its row under the lease.
//!
//! The row is written again if it is lost or its contents change. A member whose lease ends counts
//! as gone, and other members take its shards over.

use {
    crate::{
        member_table::member_key,
        ports::{Fault, Put, Rev, StoreCall, StoreReply, Txn},
        prefix_watch::Backoff,
        service_clients::{CALL_TIMEOUT, ServiceClients},
        shard::{
            event::Event,
            record::{self, MemberRow},
        },
        shard_runner::ShardInput,
        shared_state::SharedState,
    },
    async_channel::Sender,
    std::{sync::Arc, time::Duration},
    tokio::{
        sync::watch,
        time::{Instant, sleep_until},
    },
};

/// The lease's time to live, unless the store demands a longer one.
const LEASE_TTL: Duration = Duration::from_secs(2);
/// The interval at which the lease is renewed.
pub(crate) const RENEW_INTERVAL: Duration = Duration::from_millis(500);
/// Time-out of a renewal: two fit into the lease, so that a slow store doesn't end it.
const RENEW_TIMEOUT: Duration = Duration::from_millis(900);

/// Keeps this member's lease and row.
pub(crate) struct Membership {
    /// The state that the threads of this member share.
    pub common: Arc<SharedState>,
    /// The store.
    pub services: ServiceClients,
    /// Sends inputs to the owned shards.
    pub shard_inputs: Sender<ShardInput>,
    /// Publishes the lease's id, so that it can be ended at shutdown; 0 if there is none.
    pub lease: watch::Sender<u64>,
}

/// Fields of the member row that change while the member runs.
#[derive(Clone, Copy, PartialEq)]
struct RowStatus {
    draining: bool,
    relayed: bool,
    slow: bool,
}

impl Membership {
    /// Acquires a lease and keeps this member registered under it; acquires a new one if the lease
    /// ends.
    pub async fn run(self) {
        let mut pause = Backoff::default();
        loop {
            let ttl = LEASE_TTL.max(self.common.site.borrow().bounds.min_ttl);
            let acquired =
                self.services.call_store(&StoreCall::CreateLease { ttl }, CALL_TIMEOUT).await;
            let Ok(StoreReply::Lease(lease, _)) = acquired else {
                pause.wait().await;
                continue;
            };
            pause.reset();
            self.lease.send_replace(lease);
            self.hold_lease(lease).await;
            self.common.set_registered(false);
            log::warn!(target: "table", member:% = self.common.me, lease; "The lease has ended; this member registers again.");
        }
    }

    /// Registers under a lease and renews it until the store has ended it.
    async fn hold_lease(&self, lease: u64) {
        let mut pause = Backoff::default();
        let mut registered: Option<(Rev, RowStatus)> = None;
        loop {
            let due = Instant::now() + RENEW_INTERVAL;
            let draining = self.common.is_stopping();
            let relayed = self.common.store_routes.yields_shards();
            let status = RowStatus { draining, relayed, slow: *self.common.slow.borrow() };
            let stale = registered.is_some_and(|(r, s)| {
                s != status || self.common.view.borrow().must_register(self.common.me, r)
            });
            if registered.is_none() || stale {
                match self.register(lease, status).await {
                    Ok(StoreReply::Done(rev)) => {
                        self.common.set_registered(true);
                        registered = Some((rev, status));
                    }
                    Ok(StoreReply::NoLease) => return,
                    _ => {
                        pause.wait().await;
                        continue;
                    }
                }
            }
            let sent = self.common.now();
            match self.services.call_store(&StoreCall::RenewLease { lease }, RENEW_TIMEOUT).await {
                Ok(StoreReply::Kept) => {
                    pause.reset();
                    // Guards against an owner whose lease had ended and whose shards were taken
                    // over before it registered again: a renewal counts as a confirmation only if
                    // the table has been read since the registration.
                    let table_rev = self.common.view.borrow().rev;
                    if registered.is_some_and(|(rev, _)| table_rev >= rev) {
                        let _ = self
                            .shard_inputs
                            .send(ShardInput::Broadcast(Event::Confirmed(sent)))
                            .await;
                    }
                    self.wait_for_renewal(due, status).await;
                }
                Ok(StoreReply::NoLease) => return,
                _ => pause.wait().await,
            }
        }
    }

    /// Waits until the next renewal is due. Returns early if this member is stopping or has become
    /// slow, so that its row says so at once.
    async fn wait_for_renewal(&self, due: Instant, status: RowStatus) {
        let mut slow = self.common.slow.subscribe();
        tokio::select! {
            () = sleep_until(due) => {}
            () = self.common.wait_for_stop(), if !status.draining => {}
            _ = slow.wait_for(|s| *s), if !status.slow => {}
        }
    }

    async fn register(&self, lease: u64, status: RowStatus) -> Result<StoreReply, Fault> {
        let site = self.common.site.borrow().clone();
        let row = MemberRow {
            control: site.control_addr,
            zone: site.zone.clone(),
            draining: status.draining,
            cores: site.cores,
            relayed: status.relayed,
            slow: status.slow,
        };
        let put = Put { key: member_key(self.common.me), value: record::encode(&row), lease };
        let txn = Txn { puts: vec![put], ..Txn::default() };
        self.services.call_store(&StoreCall::Txn(txn), CALL_TIMEOUT).await
    }
}
