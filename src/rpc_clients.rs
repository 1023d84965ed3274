//! The clients of other members over JSON-RPC, one for each address.

use {
    crate::rpc,
    derive_more::Display,
    jsonrpsee::{core::client::ClientT, http_client::HttpClient},
    rustc_hash::FxHashMap,
    serde::{Serialize, de::DeserializeOwned},
    std::{
        net::SocketAddr,
        sync::{Mutex, PoisonError},
        time::Duration,
    },
    tokio::time::timeout,
};

/// Upper bound of the time limit of any call; each call also has a limit of its own.
const MAX_TIMEOUT: Duration = Duration::from_secs(30);
/// The maximum number of clients. Beyond it all are dropped, since most are of addresses that are
/// no longer used; those in use are created again.
const MAX_CLIENTS: usize = 1024;

/// Why a call returned no result.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum CallFailure {
    /// No answer arrived within the limit.
    #[display("timeout")]
    Timeout,
    /// The connection failed, or the answer is an error or can't be read.
    #[display("failed")]
    Failed,
}

/// The clients of other members.
#[derive(Default)]
pub struct RpcClients {
    by_addr: Mutex<FxHashMap<SocketAddr, HttpClient>>,
}

impl RpcClients {
    /// Calls a method of the member at `addr` and waits for the answer within `limit`.
    ///
    /// A client whose call failed is dropped with its connections: one of them may be silent for
    /// good, and the next call would wait on it again.
    ///
    /// # Errors
    ///
    /// As [`CallFailure`] says.
    pub async fn call<A: Serialize, R: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        secret: &str,
        method: &str,
        request: &A,
        limit: Duration,
    ) -> Result<R, CallFailure> {
        let client = self.client(addr, secret)?;
        let request = serde_json::value::to_raw_value(request).map_err(|_| CallFailure::Failed)?;
        let answer = match timeout(limit, client.request(method, [request])).await {
            Ok(answer) => answer.map_err(|_| CallFailure::Failed),
            Err(_) => Err(CallFailure::Timeout),
        };
        if answer.is_err() {
            self.by_addr.lock().unwrap_or_else(PoisonError::into_inner).remove(&addr);
        }
        answer
    }

    fn client(&self, addr: SocketAddr, secret: &str) -> Result<HttpClient, CallFailure> {
        let mut clients = self.by_addr.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(known) = clients.get(&addr) {
            return Ok(known.clone());
        }
        let new = rpc::client(addr, secret, MAX_TIMEOUT).map_err(|_| CallFailure::Failed)?;
        if clients.len() >= MAX_CLIENTS {
            clients.clear();
        }
        clients.insert(addr, new.clone());
        Ok(new)
    }
}
