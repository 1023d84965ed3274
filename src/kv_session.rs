//! A member's session with the key-value service: its lease, the member record under the lease, the
//! watch of the shared keys, and the reads and writes that the member's state machine orders. Also
//! polls the platform's list of VMs.

use {
    crate::{
        clock::Clock,
        core::{SHARED, member_key},
        event::{Event, Inbox, Order},
        http::{Client, Failure, uri},
        ids::Revision,
        kv::Kv,
        messages::{KvPut, MemberRecord, VmList},
        metrics::Metrics,
        ownership::LEASE,
    },
    async_channel::Receiver,
    std::{net::SocketAddr, sync::Arc, time::Duration},
    tokio::{sync::watch, time::sleep},
};

/// The interval at which the list of VMs is read, and the time-out of a read. Reading it more often
/// would help little: the list lags anyway, and a VM is listed as leaving seconds before it stops.
const VM_LIST_INTERVAL: Duration = Duration::from_secs(1);
/// Shortest and longest pause after a failed call.
const BACKOFF_RANGE: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(1));

/// The session's connections and channels.
pub struct Session {
    /// The key-value service.
    pub kv: Kv,
    /// The address of the service that lists VMs.
    pub vms: SocketAddr,
    /// This member's record at the start.
    pub record: MemberRecord,
    /// Sends events to the member's state machine.
    pub inbox: Inbox,
    /// Receives the orders of the member's state machine.
    pub orders: Receiver<Order>,
    /// The member's clock.
    pub clock: Clock,
    /// The member's metrics.
    pub metrics: Arc<Metrics>,
}

impl Session {
    /// Runs until the channel of orders is closed, then ends the lease.
    pub async fn run(self) {
        let (record, records) = watch::channel(self.record.clone());
        let (lease_tx, lease_rx) = watch::channel(0);
        let connection = Connection {
            kv: self.kv.clone(),
            inbox: self.inbox.clone(),
            clock: self.clock,
            metrics: self.metrics.clone(),
        };
        tokio::spawn(connection.clone().keep_lease(records, lease_tx));
        tokio::spawn(connection.clone().watch());
        tokio::spawn(poll_vms(self.vms, self.inbox.clone()));
        while let Ok(order) = self.orders.recv().await {
            let connection = connection.clone();
            match order {
                Order::Register(next) => {
                    record.send_replace(next);
                }
                Order::Get(purpose, key) => {
                    tokio::spawn(async move {
                        let entry = connection.kv.get(&key).await;
                        connection.count_call("get", entry.is_ok());
                        let _ = connection.inbox.send(Event::RecordRead(purpose, entry)).await;
                    });
                }
                Order::Put(purpose, key, put) => {
                    connection
                        .metrics
                        .count_sent("session", put.value.as_ref().map_or(0, |v| v.len()));
                    tokio::spawn(async move {
                        let reply = connection.kv.put(&key, &put).await;
                        connection.count_call("put", reply.is_ok());
                        let _ = connection.inbox.send(Event::RecordWritten(purpose, reply)).await;
                    });
                }
                _ => {}
            }
        }
        let lease = *lease_rx.borrow();
        if lease != 0 {
            let _ = self.kv.end(lease).await;
        }
    }
}

#[derive(Clone)]
struct Connection {
    kv: Kv,
    inbox: Inbox,
    clock: Clock,
    metrics: Arc<Metrics>,
}

impl Connection {
    /// Renews the lease and keeps the record under it up to date.
    async fn keep_lease(
        self,
        mut records: watch::Receiver<MemberRecord>,
        lease_tx: watch::Sender<u64>,
    ) {
        let mut lease = 0;
        let mut revision = Revision(0);
        let mut pause = BACKOFF_RANGE.0;
        loop {
            let sent = self.clock.now();
            let renewed = self.kv.lease(lease, LEASE).await;
            self.count_call("lease", renewed.is_ok());
            match renewed {
                Ok(l) => {
                    if l.id != lease {
                        (lease, revision) = (l.id, Revision(0));
                        lease_tx.send_replace(lease);
                    }
                }
                Err(Failure::Broken) if lease != 0 => {
                    // The service no longer knows the lease: it expired while this member was
                    // paused or cut off.
                    lease = 0;
                    pause = self.back_off(pause).await;
                    continue;
                }
                Err(_) => {
                    pause = self.back_off(pause).await;
                    continue;
                }
            }
            if (revision == Revision(0) || records.has_changed().unwrap_or(false))
                && !self.register(lease, &mut records, &mut revision).await
            {
                pause = self.back_off(pause).await;
                continue;
            }
            pause = BACKOFF_RANGE.0;
            let _ = self.inbox.send(Event::Renewed(sent)).await;
            tokio::select! {
                () = sleep(LEASE / 4) => {}
                changed = records.changed() => {
                    if changed.is_err() {
                        return;
                    }
                    records.mark_changed();
                }
            }
        }
    }

    async fn register(
        &self,
        lease: u64,
        records: &mut watch::Receiver<MemberRecord>,
        revision: &mut Revision,
    ) -> bool {
        let record = records.borrow_and_update().clone();
        let key = member_key(record.incarnation);
        let value = serde_json::to_string(&record).ok().map(Into::into);
        let put = KvPut { expect: *revision, value, lease: Some(lease) };
        let reply = self.kv.put(&key, &put).await;
        self.count_call("put", reply.is_ok());
        match reply {
            Ok(r) if r.done => {
                *revision = r.revision;
                true
            }
            // The revision did not match: an earlier write of this member took effect but its
            // answer was lost.
            Ok(r) => {
                *revision = r.revision;
                records.mark_changed();
                false
            }
            Err(_) => {
                if let Ok(e) = self.kv.get(&key).await {
                    *revision = e.revision;
                }
                records.mark_changed();
                false
            }
        }
    }

    /// Watches the shared keys and sends their changes to the member's state machine.
    async fn watch(self) {
        let mut after = Revision(0);
        let mut pause = BACKOFF_RANGE.0;
        loop {
            let list = self.kv.watch(SHARED, after).await;
            self.count_call("watch", list.is_ok());
            match list {
                Ok(list) => {
                    after = list.at;
                    pause = BACKOFF_RANGE.0;
                    if self.inbox.send(Event::Watched(list)).await.is_err() {
                        return;
                    }
                }
                Err(_) => pause = self.back_off(pause).await,
            }
        }
    }

    /// Waits with jitter, so that the members don't all retry at the same moment after an outage.
    /// Returns the next pause.
    async fn back_off(&self, pause: Duration) -> Duration {
        sleep(pause.mul_f64(0.5 + fastrand::f64())).await;
        (pause * 2).min(BACKOFF_RANGE.1)
    }

    fn count_call(&self, call: &str, ok: bool) {
        let label = if ok { call.into() } else { format!("{call}_failed") };
        self.metrics.kv_calls.with_label_values(&[&label]).inc();
    }
}

/// Polls the platform's list of VMs and sends it to the member's state machine.
async fn poll_vms(addr: SocketAddr, inbox: Inbox) {
    let client = Client::new(1);
    loop {
        let list: Result<VmList, Failure> =
            client.json("GET", &uri(addr, "/v1/vms"), &(), VM_LIST_INTERVAL).await;
        if let Ok(list) = list
            && inbox.send(Event::Vms(list)).await.is_err()
        {
            return;
        }
        sleep(VM_LIST_INTERVAL).await;
    }
}
