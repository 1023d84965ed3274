//! The client of the platform's key-value service; the only module that knows its wire format.
//!
//! The service has no published interface. The client assumes HTTP with JSON bodies, compare-and-swap
//! by a record's version, leases to which records can be bound, and a watch as a long poll that
//! returns what changed under a prefix after a version.

use {
    crate::{
        http::{Client, Failure, uri},
        ids::Revision,
        messages::{KvEntry, KvLease, KvList, KvPut, KvPutReply},
        time::millis,
    },
    std::{net::SocketAddr, time::Duration},
};

/// The deadline of a call. The service normally answers within milliseconds.
pub const CALL: Duration = Duration::from_millis(800);
/// How long a watch waits at the service before it returns without changes.
pub const WATCH: Duration = Duration::from_secs(5);

/// A client of the key-value service.
#[derive(Clone)]
pub struct Kv {
    client: Client,
    addr: SocketAddr,
}

impl Kv {
    /// Creates a client of the service at `addr`.
    pub fn new(addr: SocketAddr) -> Self {
        Kv { client: Client::new(4), addr }
    }

    /// Reads a record; a missing record has revision 0 and no text.
    pub async fn get(&self, key: &str) -> Result<KvEntry, Failure> {
        self.call("GET", &format!("/v1/kv?key={key}"), &(), CALL).await
    }

    /// Writes a record if it still has the expected version.
    ///
    /// After [`Failure::Broken`] or [`Failure::Timeout`] the write may have taken effect: read the
    /// record to find out, never repeat blindly.
    pub async fn put(&self, key: &str, put: &KvPut) -> Result<KvPutReply, Failure> {
        self.call("PUT", &format!("/v1/kv?key={key}"), put, CALL).await
    }

    /// Creates a lease if `id` is 0, otherwise renews it.
    pub async fn lease(&self, id: u64, ttl: Duration) -> Result<KvLease, Failure> {
        let ttl = millis(ttl);
        self.call("PUT", "/v1/lease", &KvLease { id, ttl }, CALL).await
    }

    /// Ends a lease and the records under it.
    pub async fn end(&self, id: u64) -> Result<KvLease, Failure> {
        self.call("DELETE", "/v1/lease", &KvLease { id, ttl: 0 }, CALL).await
    }

    /// Returns what changed under `prefix` after `after`; waits for a change if there is none yet.
    pub async fn watch(&self, prefix: &str, after: Revision) -> Result<KvList, Failure> {
        let path = format!("/v1/watch?prefix={prefix}&after={after}&wait={}", WATCH.as_millis());
        self.call("GET", &path, &(), WATCH + CALL).await
    }

    async fn call<A: serde::Serialize, R: serde::de::DeserializeOwned>(
        &self,
        method: &str,
        path: &str,
        ask: &A,
        limit: Duration,
    ) -> Result<R, Failure> {
        self.client.json(method, &uri(self.addr, path), ask, limit).await
    }
}
