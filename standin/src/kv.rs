//! Stand-in for the platform's key-value service, with faults that a test sets by HTTP.

use {
    crate::web::{Reply, json, query},
    dogwoodreach::{
        http::answer,
        ids::Revision,
        messages::{KvEntry, KvLease, KvList, KvPut, KvPutReply},
    },
    hyper::http::request::Parts,
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, HashMap},
        sync::{Arc, Mutex, MutexGuard},
        time::{Duration, Instant},
    },
    tokio::sync::watch,
};

/// The entry of the counts of calls that counts the writes that were held.
const HELD: &str = "held";

/// Faults of the service.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Whether all calls stay unanswered.
    pub outage: bool,
    /// Additional latency of each call, in milliseconds.
    pub slow: u64,
    /// Number of next writes that take effect but whose answers are lost.
    pub lose: u32,
    /// Whether reads return the record as it was before the last write.
    pub stale: bool,
    /// Prefix of the keys whose writes wait until the faults are set again; empty if none wait.
    pub hold: Box<str>,
}

impl Faults {
    fn holds(&self, key: &str) -> bool {
        !self.hold.is_empty() && key.starts_with(&*self.hold)
    }
}

struct Record {
    revision: u64,
    value: Option<Box<str>>,
    previous: Option<(u64, Box<str>)>,
    lease: u64,
}

#[derive(Default)]
struct Store {
    revision: u64,
    records: BTreeMap<Box<str>, Record>,
    leases: HashMap<u64, Instant>,
    faults: Faults,
    calls: BTreeMap<Box<str>, u64>,
    lapsed: Option<Instant>,
}

/// The key-value service.
#[derive(Clone)]
pub struct Kv {
    store: Arc<Mutex<Store>>,
    changed: Arc<watch::Sender<u64>>,
}

impl Kv {
    /// Creates an empty store.
    pub fn new() -> Self {
        Kv { store: Arc::default(), changed: Arc::new(watch::Sender::new(0)) }
    }

    /// Answers one call.
    pub async fn handle(self, head: Parts, body: &[u8]) -> Reply {
        if head.uri.path() == "/fault" {
            return match serde_json::from_slice(body) {
                Ok(faults) => {
                    let revision = {
                        let mut store = self.lock();
                        store.faults = faults;
                        store.revision
                    };
                    // Wakes the writes that were held.
                    self.changed.send_replace(revision);
                    answer(200, "{}")
                }
                Err(e) => answer(400, e.to_string()),
            };
        }
        if head.uri.path() == "/calls" {
            return json(&self.lock().calls);
        }
        let kind = format!("{} {}", head.method, head.uri.path());
        *self.lock().calls.entry(kind.as_str().into()).or_default() += 1;
        let faults = self.lock().faults.clone();
        if faults.outage {
            // A service that is down doesn't answer at all; the client's deadline ends the call.
            std::future::pending::<()>().await;
        }
        if faults.slow > 0 {
            tokio::time::sleep(Duration::from_millis(faults.slow)).await;
        }
        let q = query(&head);
        match kind.as_str() {
            "GET /v1/kv" => json(&self.get(q.get("key").map_or("", |k| k))),
            "PUT /v1/kv" => {
                let Ok(put) = serde_json::from_slice::<KvPut>(body) else {
                    return answer(400, "bad put");
                };
                if put.value.as_ref().is_some_and(|v| v.len() > 1 << 20) {
                    return answer(413, "value over a megabyte");
                }
                let key = q.get("key").map_or("", |k| k);
                self.hold(key).await;
                let reply = self.put(key, put);
                let lost = {
                    let mut store = self.lock();
                    let lost = store.faults.lose > 0;
                    store.faults.lose = store.faults.lose.saturating_sub(1);
                    lost
                };
                if lost {
                    std::future::pending::<()>().await;
                }
                json(&reply)
            }
            "PUT /v1/lease" | "DELETE /v1/lease" => {
                let Ok(ask) = serde_json::from_slice::<KvLease>(body) else {
                    return answer(400, "bad lease");
                };
                match self.lease(&ask, head.method == "DELETE") {
                    Some(lease) => json(&lease),
                    None => answer(404, "no such lease"),
                }
            }
            "GET /v1/watch" => {
                let after = q.get("after").and_then(|a| a.parse().ok()).unwrap_or(0);
                let wait = q.get("wait").and_then(|a| a.parse().ok()).unwrap_or(0);
                let prefix = q.get("prefix").map_or("", |p| p);
                json(&self.watch(prefix, after, Duration::from_millis(wait)).await)
            }
            _ => answer(404, "no such call"),
        }
    }

    /// Ends the leases that have expired and removes their records.
    pub fn lapse(&self, now: Instant) {
        let mut store = self.lock();
        let passed = store.lapsed.replace(now).map_or(Duration::ZERO, |before| now - before);
        if store.faults.outage {
            // Leases don't run out while the service is down.
            store.leases.values_mut().for_each(|end| *end += passed);
            return;
        }
        let over: Vec<u64> =
            store.leases.iter().filter(|(_, end)| **end <= now).map(|(id, _)| *id).collect();
        for id in over {
            store.leases.remove(&id);
            self.remove_leased(&mut store, id);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Store> {
        self.store.lock().expect("no holder panics")
    }

    /// Waits as long as writes of the key are held.
    ///
    /// A write whose client gives up meanwhile has no effect, as the server then drops the call.
    async fn hold(&self, key: &str) {
        let mut changed = self.changed.subscribe();
        if self.lock().faults.holds(key) {
            *self.lock().calls.entry(HELD.into()).or_default() += 1;
        }
        while self.lock().faults.holds(key) {
            let _ = changed.changed().await;
        }
    }

    fn get(&self, key: &str) -> KvEntry {
        let store = self.lock();
        let none = || KvEntry { key: key.into(), revision: Revision(0), value: "".into() };
        let Some(record) = store.records.get(key) else { return none() };
        if store.faults.stale {
            let Some((revision, value)) = record.previous.clone() else { return none() };
            return KvEntry { key: key.into(), revision: Revision(revision), value };
        }
        let Some(value) = record.value.clone() else { return none() };
        KvEntry { key: key.into(), revision: Revision(record.revision), value }
    }

    fn put(&self, key: &str, put: KvPut) -> KvPutReply {
        let mut store = self.lock();
        let current =
            store.records.get(key).filter(|r| r.value.is_some()).map_or(0, |r| r.revision);
        let lease = put.lease.unwrap_or(0);
        if current != put.expect.0 || (lease != 0 && !store.leases.contains_key(&lease)) {
            return KvPutReply { done: false, revision: Revision(current) };
        }
        store.revision += 1;
        let at = store.revision;
        let before = store.records.remove(key).and_then(|r| Some((r.revision, r.value?)));
        store
            .records
            .insert(key.into(), Record { revision: at, value: put.value, previous: before, lease });
        self.changed.send_replace(at);
        KvPutReply { done: true, revision: Revision(at) }
    }

    fn lease(&self, ask: &KvLease, end: bool) -> Option<KvLease> {
        let mut store = self.lock();
        if end {
            store.leases.remove(&ask.id);
            self.remove_leased(&mut store, ask.id);
            return Some(KvLease { id: ask.id, ttl: 0 });
        }
        let id = if ask.id == 0 {
            store.revision += 1;
            store.revision
        } else {
            store.leases.contains_key(&ask.id).then_some(ask.id)?
        };
        store.leases.insert(id, Instant::now() + Duration::from_millis(ask.ttl));
        Some(KvLease { id, ttl: ask.ttl })
    }

    async fn watch(&self, prefix: &str, after: u64, wait: Duration) -> KvList {
        let mut changed = self.changed.subscribe();
        let end = tokio::time::sleep(wait);
        tokio::pin!(end);
        loop {
            let list = self.list(prefix, after);
            if !list.entries.is_empty() || !list.gone.is_empty() {
                return list;
            }
            tokio::select! {
                () = &mut end => return list,
                _ = changed.changed() => {}
            }
        }
    }

    fn list(&self, prefix: &str, after: u64) -> KvList {
        let store = self.lock();
        let mut list = KvList { at: Revision(store.revision), entries: vec![], gone: vec![] };
        let under =
            store.records.iter().filter(|(k, r)| k.starts_with(prefix) && r.revision > after);
        for (key, record) in under {
            match &record.value {
                Some(value) => list.entries.push(KvEntry {
                    key: key.clone(),
                    revision: Revision(record.revision),
                    value: value.clone(),
                }),
                None => list.gone.push(key.clone()),
            }
        }
        list
    }

    fn remove_leased(&self, store: &mut Store, id: u64) {
        let mut at = store.revision;
        for record in store.records.values_mut().filter(|r| r.lease == id && r.value.is_some()) {
            at += 1;
            record.previous = record.value.take().map(|v| (record.revision, v));
            record.revision = at;
        }
        store.revision = at;
        self.changed.send_replace(at);
    }
}
