//! The session's duty: this member's session with the key-value service, that is its lease, the record
//! under it, its watch, and the reads and writes that the decisions order; and the list of VMs.

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

/// How often the list of VMs is read: it lags anyway, and a leaving VM has seconds.
const LIST: Duration = Duration::from_secs(1);
/// The first and the longest pause after a failed call.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(1));

/// What the session's duty needs.
pub struct Session {
    /// The key-value service.
    pub kv: Kv,
    /// The address of the VM list.
    pub vms: SocketAddr,
    /// This member's record.
    pub record: MemberRecord,
    /// The way to the decisions.
    pub inbox: Inbox,
    /// What the decisions order.
    pub orders: Receiver<Order>,
    /// The member's clock.
    pub clock: Clock,
    /// The member's metrics.
    pub metrics: Arc<Metrics>,
}

impl Session {
    /// Works until the decisions' ring is closed, then gives the lease back.
    pub async fn run(self) {
        let (record, records) = watch::channel(self.record.clone());
        let (ended, end) = watch::channel(0);
        let keep = Keep {
            kv: self.kv.clone(),
            inbox: self.inbox.clone(),
            clock: self.clock,
            metrics: self.metrics.clone(),
        };
        tokio::spawn(keep.clone().lease(records, ended));
        tokio::spawn(keep.clone().watch());
        tokio::spawn(list(self.vms, self.inbox.clone()));
        while let Ok(order) = self.orders.recv().await {
            let keep = keep.clone();
            match order {
                Order::Register(next) => {
                    record.send_replace(next);
                }
                Order::Get(purpose, key) => {
                    tokio::spawn(async move {
                        let entry = keep.kv.get(&key).await;
                        keep.count("get", entry.is_ok());
                        let _ = keep.inbox.send(Event::Got(purpose, entry)).await;
                    });
                }
                Order::Put(purpose, key, put) => {
                    keep.metrics.sent("session", put.value.as_ref().map_or(0, |v| v.len()));
                    tokio::spawn(async move {
                        let reply = keep.kv.put(&key, &put).await;
                        keep.count("put", reply.is_ok());
                        let _ = keep.inbox.send(Event::Put(purpose, reply)).await;
                    });
                }
                _ => {}
            }
        }
        let lease = *end.borrow();
        if lease != 0 {
            let _ = self.kv.end(lease).await;
        }
    }
}

#[derive(Clone)]
struct Keep {
    kv: Kv,
    inbox: Inbox,
    clock: Clock,
    metrics: Arc<Metrics>,
}

impl Keep {
    /// Holds the lease and the record under it.
    async fn lease(self, mut records: watch::Receiver<MemberRecord>, held: watch::Sender<u64>) {
        let mut lease = 0;
        let mut stands = Revision(0);
        let mut pause = BACKOFF.0;
        loop {
            let sent = self.clock.now();
            let renewed = self.kv.lease(lease, LEASE).await;
            self.count("lease", renewed.is_ok());
            match renewed {
                Ok(l) => {
                    if l.id != lease {
                        (lease, stands) = (l.id, Revision(0));
                        held.send_replace(lease);
                    }
                }
                Err(Failure::Broken) if lease != 0 => {
                    // The service knows the lease no more: it lapsed while this member was paused
                    // or cut off.
                    lease = 0;
                    pause = self.back_off(pause).await;
                    continue;
                }
                Err(_) => {
                    pause = self.back_off(pause).await;
                    continue;
                }
            }
            if (stands == Revision(0) || records.has_changed().unwrap_or(false))
                && !self.register(lease, &mut records, &mut stands).await
            {
                pause = self.back_off(pause).await;
                continue;
            }
            pause = BACKOFF.0;
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
        stands: &mut Revision,
    ) -> bool {
        let record = records.borrow_and_update().clone();
        let key = member_key(record.incarnation);
        let value = serde_json::to_string(&record).ok().map(Into::into);
        let put = KvPut { expect: *stands, value, lease: Some(lease) };
        let reply = self.kv.put(&key, &put).await;
        self.count("put", reply.is_ok());
        match reply {
            Ok(r) if r.done => {
                *stands = r.revision;
                true
            }
            // Refused: an earlier write of this member took effect with its answer lost.
            Ok(r) => {
                *stands = r.revision;
                records.mark_changed();
                false
            }
            Err(_) => {
                if let Ok(e) = self.kv.get(&key).await {
                    *stands = e.revision;
                }
                records.mark_changed();
                false
            }
        }
    }

    /// Passes on what changes.
    async fn watch(self) {
        let mut after = Revision(0);
        let mut pause = BACKOFF.0;
        loop {
            let list = self.kv.watch(SHARED, after).await;
            self.count("watch", list.is_ok());
            match list {
                Ok(list) => {
                    after = list.at;
                    pause = BACKOFF.0;
                    if self.inbox.send(Event::Watched(list)).await.is_err() {
                        return;
                    }
                }
                Err(_) => pause = self.back_off(pause).await,
            }
        }
    }

    /// Waits, with jitter, so that the members don't all come back at once after an outage.
    async fn back_off(&self, pause: Duration) -> Duration {
        sleep(pause.mul_f64(0.5 + fastrand::f64())).await;
        (pause * 2).min(BACKOFF.1)
    }

    fn count(&self, call: &str, ok: bool) {
        let label = if ok { call.into() } else { format!("{call}_failed") };
        self.metrics.kv.with_label_values(&[&label]).inc();
    }
}

/// Passes on the platform's list of VMs.
async fn list(addr: SocketAddr, inbox: Inbox) {
    let client = Client::new(1);
    loop {
        let list: Result<VmList, Failure> =
            client.json("GET", &uri(addr, "/v1/vms"), &(), LIST).await;
        if let Ok(list) = list
            && inbox.send(Event::Vms(list)).await.is_err()
        {
            return;
        }
        sleep(LIST).await;
    }
}
