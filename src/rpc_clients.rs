//! The clients of other members over JSON-RPC, one for each address.

use {
    crate::rpc,
    derive_more::Display,
    jsonrpsee::{
        core::client::{ClientT, Error as ClientError},
        http_client::HttpClient,
    },
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
    /// The connection failed, or the answer can't be read.
    #[display("failed")]
    Failed,
    /// The member answered with an error, for instance that it does not know the method.
    #[display("refused")]
    Refused,
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
    /// wait for its limit at one member after the other. An answer with an error shows that the
    /// connection works, so the client is kept.
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
        let sent = Instant::now();
        let answer = self.send(addr, secret, method, request, limit).await;
        self.record(addr, answer.as_ref().err());
        if answer.as_ref().is_err_and(|f| *f == CallFailure::Timeout) {
            self.drop_silent(sent);
        }
        answer
    }

    /// Calls a method as [`Self::call`] does, but keeps the clients of other addresses if there is no
    /// answer. For frequent calls with a short limit, whose loss does no harm.
    ///
    /// # Errors
    ///
    /// As [`CallFailure`] says.
    pub async fn notify<A: Serialize, R: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        secret: &str,
        method: &str,
        request: &A,
        limit: Duration,
    ) -> Result<R, CallFailure> {
        let answer = self.send(addr, secret, method, request, limit).await;
        self.record(addr, answer.as_ref().err());
        answer
    }

    async fn send<A: Serialize, R: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        secret: &str,
        method: &str,
        request: &A,
        limit: Duration,
    ) -> Result<R, CallFailure> {
        let client = self.client(addr, secret)?;
        let request = serde_json::value::to_raw_value(request).map_err(|_| CallFailure::Failed)?;
        match timeout(limit, client.request(method, [request])).await {
            Ok(Err(ClientError::Call(_))) => Err(CallFailure::Refused),
            Ok(answer) => answer.map_err(|_| CallFailure::Failed),
            Err(_) => Err(CallFailure::Timeout),
        }
    }

    /// Records the outcome of a call to `addr`.
    fn record(&self, addr: SocketAddr, failure: Option<&CallFailure>) {
        let mut clients = self.lock();
        if failure.is_some_and(|f| *f != CallFailure::Refused) {
            clients.by_addr.remove(&addr);
        } else if let Some(known) = clients.by_addr.get_mut(&addr) {
            known.answered_at = Instant::now();
        }
    }

    /// Drops the clients that have received no answer since `sent`, if that is due.
    fn drop_silent(&self, sent: Instant) {
        let (mut clients, now) = (self.lock(), Instant::now());
        let due = clients.checked_at.is_none_or(|at| at + DROP_INTERVAL <= now);
        if due {
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
