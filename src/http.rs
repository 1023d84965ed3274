//! HTTP for all threads of a member: the headers, the answers and a client with deadlines.
//!
//! The deadlines end calls on connections that no longer carry traffic.

use {
    crate::error::Error,
    bytes::{Bytes, BytesMut},
    http_body_util::{BodyExt, Full},
    hyper::{Request, Response, header::CONTENT_LENGTH, http::response},
    hyper_util::{
        client::legacy::{self, Client as Pool, connect::HttpConnector},
        rt::{TokioExecutor, TokioTimer},
    },
    rustc_hash::FxHashMap,
    std::{
        net::SocketAddr,
        sync::{Arc, Mutex},
        time::Duration,
    },
    tokio::time::timeout,
};

/// The request's id, on requests to workers and on their responses.
pub const REQUEST: &str = "x-dwr-request";
/// The epoch of the dispatching owner.
pub const EPOCH: &str = "x-dwr-epoch";
/// How long the request may run, in milliseconds.
pub const LEASE: &str = "x-dwr-lease-ms";
/// The time after which a dispatch must not take effect, in milliseconds of the Unix clock.
pub const UNTIL: &str = "x-dwr-until";
/// Whether a refused or failed request was run: `no` or `unknown`.
pub const RAN: &str = "x-dwr-ran";
/// The label of the error's kind.
pub const REASON: &str = "x-dwr-reason";
/// When to retry, in milliseconds; `retry-after` gives the same in whole seconds, rounded up.
pub const RETRY_MS: &str = "x-dwr-retry-ms";
/// The caller's name.
pub const CALLER: &str = "x-dwr-caller";
/// How long the caller waits for the answer, in milliseconds.
pub const DEADLINE: &str = "x-dwr-deadline-ms";
/// How long the request is expected to run, in milliseconds.
pub const RUN: &str = "x-dwr-run-ms";
/// The idempotency key of a non-idempotent request.
pub const KEY: &str = "idempotency-key";
/// How often a request was forwarded between members.
pub const HOPS: &str = "x-dwr-hops";
/// The shared secret that members and operators present.
pub const SECRET: &str = "x-dwr-secret";

/// How long an open connection may stay idle before it is closed.
///
/// Middleboxes may drop the state of a connection that has been idle for minutes; 20 s stays well
/// below that.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// How long a connection may take to open; the other end is in the same region, milliseconds away.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// The interval between TCP keepalive probes; a connection is closed after three unanswered ones.
///
/// A call that waits for its response sends no traffic. Without probes, a call whose connection a
/// middlebox has dropped would fail only at its deadline.
pub(crate) const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// The number of keepalive probes after the first one.
pub(crate) const PROBE_RETRIES: u32 = 2;

/// A complete message: head and body.
pub type Message<T> = (T, Bytes);

/// A client that reuses connections and applies a deadline to each call.
#[derive(Clone)]
pub struct Client {
    idle: usize,
    pools: Arc<Mutex<Pools>>,
}

type Connections = Pool<HttpConnector, Full<Bytes>>;

/// The connection pool of each address. Each pool has a unique number, which tells a pool from its
/// replacement at the same address.
#[derive(Default)]
struct Pools {
    last_number: u64,
    by_addr: FxHashMap<Box<str>, (u64, Connections)>,
}

/// The maximum number of addresses with a connection pool: twice the workers of the largest planned
/// fleet.
const MAX_ADDRESSES: usize = 8192;

/// How long a call may take, and how large its response may be.
#[derive(Clone, Copy, Debug)]
pub struct CallLimits {
    /// How long until the response's head arrives.
    pub head_timeout: Duration,
    /// How long between two frames of the body.
    pub frame_timeout: Duration,
    /// How long the whole call may take.
    pub total_timeout: Duration,
    /// The maximum size of the body, in bytes.
    pub max_body: usize,
}

impl CallLimits {
    /// Waits up to `limit` for a complete response of any size.
    pub fn new(limit: Duration) -> Self {
        CallLimits {
            head_timeout: limit,
            frame_timeout: limit,
            total_timeout: limit,
            max_body: usize::MAX,
        }
    }
}

/// Why a call returned no complete response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Failure {
    /// The connection could not be opened, or was closed before the request was written: nothing
    /// was sent.
    Unsent,
    /// The connection broke, or the response was truncated.
    Broken,
    /// No complete response arrived in time.
    Timeout,
    /// The response, which has this status, is larger than the limit.
    TooLarge(u16),
}

impl Client {
    /// A client that keeps up to `idle` unused connections to each address.
    pub fn new(idle: usize) -> Self {
        Client { idle, pools: Arc::default() }
    }

    /// Sends a request and reads the complete response within `limit`.
    ///
    /// # Errors
    ///
    /// As [`Client::send_with_limits`].
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
        limit: Duration,
    ) -> Result<Message<response::Parts>, Failure> {
        self.send_with_limits(request, &CallLimits::new(limit)).await
    }

    /// Sends a request and reads the complete response.
    ///
    /// A call that times out closes its connection, so that a late response is never read as the
    /// response to the next request. The idle connections to the same address are closed too: a
    /// middlebox may have dropped the state of all of them. Otherwise each further call would wait
    /// for its deadline on the next dead connection, and a member would lose its lease, or a worker
    /// its tasks, although new connections work.
    ///
    /// # Errors
    ///
    /// Errs if no complete response arrived in time, or if the response exceeds the size limit.
    pub async fn send_with_limits(
        &self,
        request: Request<Full<Bytes>>,
        patience: &CallLimits,
    ) -> Result<Message<response::Parts>, Failure> {
        let to: Box<str> = request.uri().authority().map_or("", |a| a.as_str()).into();
        let path: Box<str> = request.uri().path_and_query().map_or("", |p| p.as_str()).into();
        let (number, pool) = self.pool(&to);
        let mut received = 0;
        let call = exchange(&pool, request, patience, &mut received);
        let done = timeout(patience.total_timeout, call).await.unwrap_or(Err(Failure::Timeout));
        if matches!(done, Err(Failure::Timeout)) {
            self.drop_pool(&to, number);
            let limit_ms = patience.head_timeout.as_millis() as u64;
            log::info!(target: "outside", did = "gave_up", to = &*to, path = &*path, received, limit_ms; "A call ran out of time.");
        }
        done
    }

    /// The connection pool of an address, and the pool's number.
    fn pool(&self, to: &str) -> (u64, Connections) {
        let mut pools = self.pools.lock().expect("no holder panics");
        if let Some(known) = pools.by_addr.get(to) {
            return known.clone();
        }
        if pools.by_addr.len() >= MAX_ADDRESSES {
            // Most entries are of VMs that no longer exist; an address in use gets a new pool at
            // its next call.
            pools.by_addr.clear();
        }
        pools.last_number += 1;
        let new = (pools.last_number, new_pool(self.idle));
        pools.by_addr.insert(to.into(), new.clone());
        new
    }

    /// Closes the idle connections of a pool, unless a newer pool has replaced it.
    fn drop_pool(&self, to: &str, number: u64) {
        let mut pools = self.pools.lock().expect("no holder panics");
        if pools.by_addr.get(to).is_some_and(|(n, _)| *n == number) {
            pools.by_addr.remove(to);
        }
    }

    /// Sends `ask` as JSON and reads the response as JSON; errs on any status that is not a
    /// success.
    pub async fn json<A: serde::Serialize, R: serde::de::DeserializeOwned>(
        &self,
        method: &str,
        uri: &str,
        ask: &A,
        limit: Duration,
    ) -> Result<R, Failure> {
        let body = serde_json::to_vec(ask).map_err(|_| Failure::Unsent)?;
        let request = Request::builder().method(method).uri(uri).body(Full::new(body.into()));
        let (head, body) = self.send(request.map_err(|_| Failure::Unsent)?, limit).await?;
        if !head.status.is_success() {
            return Err(Failure::Broken);
        }
        serde_json::from_slice(&body).map_err(|_| Failure::Broken)
    }
}

/// Sends a request and reads the response; adds the bytes of its body to `received` as they arrive.
async fn exchange(
    pool: &Connections,
    request: Request<Full<Bytes>>,
    patience: &CallLimits,
    received: &mut usize,
) -> Result<Message<response::Parts>, Failure> {
    let response = timeout(patience.head_timeout, pool.request(request)).await;
    let response = response.map_err(|_| Failure::Timeout)?.map_err(|e| send_failure(&e))?;
    let (head, mut body) = response.into_parts();
    let content_length =
        head.headers.get(CONTENT_LENGTH).and_then(|s| s.to_str().ok()?.parse().ok());
    let too_large = Failure::TooLarge(head.status.as_u16());
    if content_length.is_some_and(|n: usize| n > patience.max_body) {
        return Err(too_large);
    }
    let mut whole = BytesMut::new();
    while let Some(frame) = timeout(patience.frame_timeout, body.frame()).await.transpose() {
        let frame = frame.map_err(|_| Failure::Timeout)?.map_err(|_| Failure::Broken)?;
        let Ok(data) = frame.into_data() else { continue };
        *received += data.len();
        if *received > patience.max_body {
            return Err(too_large);
        }
        whole.extend_from_slice(&data);
    }
    // A body truncated by a proxy that closes cleanly would otherwise be taken for a complete one.
    match content_length {
        Some(n) if n != whole.len() => Err(Failure::Broken),
        _ => Ok((head, whole.freeze())),
    }
}

/// Tells a request that was never written from one that may have been.
///
/// The library cancels a request whose kept connection turns out to be closed before the first byte is
/// written, as after this process stood still. As one that may have run it would not be tried again.
fn send_failure(error: &legacy::Error) -> Failure {
    let source = std::error::Error::source(error).and_then(|e| e.downcast_ref::<hyper::Error>());
    let canceled = source.is_some_and(hyper::Error::is_canceled);
    if error.is_connect() || canceled { Failure::Unsent } else { Failure::Broken }
}

fn new_pool(idle: usize) -> Connections {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    connector.set_keepalive(Some(PROBE_INTERVAL));
    connector.set_keepalive_interval(Some(PROBE_INTERVAL));
    connector.set_keepalive_retries(Some(PROBE_RETRIES));
    #[cfg(target_os = "linux")]
    connector.set_tcp_user_timeout(Some((1 + PROBE_RETRIES) * PROBE_INTERVAL));
    Pool::builder(TokioExecutor::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_timer(TokioTimer::new())
        .pool_max_idle_per_host(idle)
        // A retry by the library would dispatch the same request a second time.
        .retry_canceled_requests(false)
        .build(connector)
}

/// The response for an error, according to [`Kind::answer`](crate::Kind::answer).
pub fn error_response(error: &Error) -> Response<Full<Bytes>> {
    let answer = error.kind().answer();
    let mut b = Response::builder()
        .status(answer.status)
        .header(RAN, if answer.ran == crate::Ran::No { "no" } else { "unknown" })
        .header(REASON, answer.label);
    if let Some(back) = error.retry_after() {
        let ms = back.as_millis();
        b = b.header("retry-after", ms.div_ceil(1000).to_string()).header(RETRY_MS, ms.to_string());
    }
    b.body(Full::new(format!("{error}\n").into())).unwrap_or_default()
}

/// A response with a status and a body.
pub fn answer(status: u16, body: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut r = Response::new(Full::new(body.into()));
    *r.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
    r
}

/// The URI of a path at an address.
pub fn uri(addr: SocketAddr, path: &str) -> String {
    format!("http://{addr}{path}")
}
