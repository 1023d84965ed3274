//! The clients of other members over JSON-RPC, one for each address.

use {
    crate::rpc,
    derive_more::Display,
    jsonrpsee::{core::client::ClientT, http_client::HttpClient},
    rustc_hash::FxHashMap,
    serde::{Serialize, de::DeserializeOwned},
    std::{
        net::SocketAddr,
        sync::{Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
    tokio::time::timeout,
};

/// Upper bound of the time limit of any call; each call also has a limit of its own.
const MAX_TIMEOUT: Duration = Duration::from_secs(30);
/// The maximum number of clients. Beyond it all are dropped, since most are of addresses that are
/// no longer used; those in use are created again.
const MAX_CLIENTS: usize = 1024;

/// The minimum interval between two calls without an answer after which the clients of other
/// addresses are dropped too. A member that is overloaded leaves many calls unanswered, and each
/// would otherwise close connections that are in order.
const DROP_INTERVAL: Duration = Duration::from_secs(1);

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
    clients: Mutex<Clients>,
}

#[derive(Default)]
struct Clients {
    by_addr: FxHashMap<SocketAddr, PeerClient>,
    /// When the clients of all addresses were last checked after a call without an answer.
    checked_at: Option<Instant>,
}

struct PeerClient {
    client: HttpClient,
    /// When the client was created or last received an answer.
    answered_at: Instant,
}

impl RpcClients {
    /// Calls a method of the member at `addr` and waits for the answer within `limit`.
    ///
    /// A client whose call failed is dropped with its connections: one of them may be silent for
    /// good, and the next call would wait on it again. A middlebox that loses its state silences
    /// the connections to all members at once, so a call without an answer also drops the clients
    /// that have received none since that call was sent. Otherwise a call that is tried again would
    /// wait for its limit at one member after the other.
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
        let sent = Instant::now();
        let answer = match timeout(limit, client.request(method, [request])).await {
            Ok(answer) => answer.map_err(|_| CallFailure::Failed),
            Err(_) => Err(CallFailure::Timeout),
        };
        self.record(addr, sent, answer.as_ref().err());
        answer
    }

    /// Records the outcome of the call sent to `addr` at `sent`.
    fn record(&self, addr: SocketAddr, sent: Instant, failure: Option<&CallFailure>) {
        let (mut clients, now) = (self.lock(), Instant::now());
        let Some(failure) = failure else {
            if let Some(known) = clients.by_addr.get_mut(&addr) {
                known.answered_at = now;
            }
            return;
        };
        clients.by_addr.remove(&addr);
        let due = clients.checked_at.is_none_or(|at| at + DROP_INTERVAL <= now);
        if *failure == CallFailure::Timeout && due {
            clients.checked_at = Some(now);
            clients.by_addr.retain(|_, c| c.answered_at > sent);
        }
    }

    fn client(&self, addr: SocketAddr, secret: &str) -> Result<HttpClient, CallFailure> {
        let mut clients = self.lock();
        if let Some(known) = clients.by_addr.get(&addr) {
            return Ok(known.client.clone());
        }
        let client = rpc::client(addr, secret, MAX_TIMEOUT).map_err(|_| CallFailure::Failed)?;
        if clients.by_addr.len() >= MAX_CLIENTS {
            clients.by_addr.clear();
        }
        let answered_at = Instant::now();
        clients.by_addr.insert(addr, PeerClient { client: client.clone(), answered_at });
        Ok(client)
    }

    fn lock(&self) -> MutexGuard<'_, Clients> {
        self.clients.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
