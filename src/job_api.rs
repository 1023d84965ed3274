//! The callers' API: submits and cancels jobs, and reports states of jobs and lengths of queues.
//!
//! Any member serves any caller. A job is accepted by one conditional write to the store, without its
//! shard's owner, so that jobs can be submitted while the owner is away. A job's state comes from the
//! owner, and from the store if the owner doesn't answer.

mod authorize;
mod cancel;
mod queries;
mod state_queries;
mod submit;

use {
    crate::{
        customers::{KeyDigest, bearer_key},
        decide::reads::ReadBudget,
        error::{Error, Kind},
        http::{answer, error_response},
        ids::PoolId,
        member_rpc::{PeerClients, relaying_clients},
        service_clients::ServiceClients,
        shard::record::{self, Progress, ShardNo},
        shard_runner::ShardInput,
        shared_state::{Config, SharedState},
        time::Time,
        work::{JobNo, JobState, Queue},
    },
    async_channel::Sender,
    bytes::Bytes,
    http_body_util::Full,
    hyper::{
        Method, Response,
        body::Body,
        header::{
            AUTHORIZATION, CONNECTION, CONTENT_TYPE, HOST, HeaderMap, HeaderValue, WWW_AUTHENTICATE,
        },
        http::request::Parts,
    },
    rustc_hash::FxHashMap,
    state_queries::StateQueries,
    std::{
        sync::{Arc, Mutex},
        time::Duration,
    },
};

/// Time limit of a request without a deadline header.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(3);
/// Minimum remaining time of a request that makes a further call.
const MIN_REMAINING: Duration = Duration::from_millis(20);
/// Delay after which a caller may retry if the configuration or the table is unknown or outdated.
const STALE_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Upper bound of the time limit of one call to the store.
const MAX_CALL_TIMEOUT: Duration = Duration::from_millis(1200);

const CLOSE_CONNECTION: HeaderValue = HeaderValue::from_static("close");
const JSON_TYPE: HeaderValue = HeaderValue::from_static("application/json");
const BEARER: HeaderValue = HeaderValue::from_static("Bearer");

/// Serves callers.
pub(crate) struct JobApi {
    common: Arc<SharedState>,
    services: ServiceClients,
    peers: PeerClients,
    /// Sends inputs to the shards that this member owns.
    shard_inputs: Sender<ShardInput>,
    /// Cached length of each queue, and the time at which it was counted.
    queue_lengths: Mutex<FxHashMap<Box<str>, (Time, u64)>>,
    state_queries: Arc<StateQueries>,
    /// Limits the reads of the store for states of jobs.
    read_budget: Mutex<ReadBudget>,
}

/// The parts of a caller's request that all HTTP methods use.
struct CallerRequest {
    host: Box<str>,
    path: Box<str>,
    deadline: Time,
    /// The API key of the call, or what is wrong with the headers that should carry it.
    key: Result<KeyDigest, Error>,
}

impl JobApi {
    /// Creates the API with clients of its own; `shard_inputs` leads to the shards that this member owns.
    pub fn new(common: Arc<SharedState>, shard_inputs: Sender<ShardInput>) -> Self {
        let peers = PeerClients::new(common.clone());
        let services = relaying_clients(&common, &peers);
        let state_queries = Arc::new(StateQueries::new(peers.clone()));
        let (queue_lengths, read_budget) = Default::default();
        JobApi { common, services, peers, shard_inputs, queue_lengths, state_queries, read_budget }
    }

    /// Serves one request.
    pub async fn serve(
        self: Arc<Self>,
        head: Parts,
        body: Result<Bytes, Error>,
    ) -> Response<Full<Bytes>> {
        let begin = self.common.now();
        let mut response = match self.route_request(&head, body, begin).await {
            Ok(body) => {
                self.common.metrics.count_answered();
                let mut ok = answer(200, body);
                if !ok.body().is_end_stream() {
                    ok.headers_mut().insert(CONTENT_TYPE, JSON_TYPE);
                }
                ok
            }
            Err(e) => {
                self.common.metrics.count_refusal(e.kind());
                self.log_refused(&head, &e, begin);
                let mut refusal = error_response(&e);
                if e.kind() == Kind::Unauthorized {
                    refusal.headers_mut().insert(WWW_AUTHENTICATE, BEARER);
                }
                refusal
            }
        };
        self.common.metrics.observe_request(self.common.now() - begin);
        if self.common.is_stopping() {
            response.headers_mut().insert(CONNECTION, CLOSE_CONNECTION);
        }
        response
    }

    async fn route_request(
        &self,
        head: &Parts,
        body: Result<Bytes, Error>,
        begin: Time,
    ) -> Result<Bytes, Error> {
        let body = body?;
        let request = self.parse_request(head, begin);
        let config = self.config()?;
        let queue = self.queue(&request, &config)?;
        let customer = self.authorize(&request, queue, &config)?;
        // A write that submits a job depends on the configuration in force; other calls are decided
        // by the one known here, which may still hold a key that was taken away.
        if customer.is_some() && head.method != Method::POST {
            self.check_current()?;
        }
        let rest = request.path[queue.prefix.len()..].trim_start_matches('/');
        match head.method {
            Method::GET if rest.is_empty() => {
                self.check_current()?;
                self.queue_length(&queue.name).await
            }
            Method::GET => self.job_state(&request, rest.parse()?, &queue.pool).await,
            Method::POST => self.submit(&request, rest.parse()?, &config, head, body).await,
            Method::DELETE => {
                self.cancel(&request, rest.parse()?, &queue.pool, customer.as_ref()).await
            }
            _ => Err(Kind::BadMethod.into()),
        }
    }

    /// Logs a refused request, with the state of this member that may explain it.
    fn log_refused(&self, head: &Parts, error: &Error, begin: Time) {
        let now = self.common.now();
        let config = self.common.config.borrow().as_ref().map_or(0, |c| c.rev);
        let path = head.uri.path();
        let job = path.rsplit('/').next().unwrap_or("");
        let reason = error.kind().answer().label;
        let config_ms = (now - self.common.confirmed_at()).as_millis() as u64;
        let store_ms = self.common.last_answer().map_or(u64::MAX, |c| (now - c).as_millis() as u64);
        let took_ms = (now - begin).as_millis() as u64;
        log::info!(target: "entry", did = "refused", job, method:% = head.method, path, reason, cause:% = error, config, config_ms, table = self.common.view.borrow().rev, store_ms, took_ms; "Request is refused.");
    }

    fn parse_request(&self, head: &Parts, begin: Time) -> CallerRequest {
        let text = |name: &str| head.headers.get(name).and_then(|v| v.to_str().ok());
        let host = text(HOST.as_str()).or(head.uri.host()).unwrap_or("");
        let limit = text(self.common.codec.deadline_header).and_then(|ms| ms.trim().parse().ok());
        let limit = limit.map_or(DEFAULT_TIMEOUT, Duration::from_millis);
        let deadline = begin + limit;
        let key = read_key(&head.headers);
        CallerRequest { host: host.into(), path: head.uri.path().into(), deadline, key }
    }

    fn config(&self) -> Result<Config, Error> {
        let known = self.common.config.borrow().clone();
        known.ok_or_else(|| {
            Error::new(Kind::Stale, "no configuration is known yet")
                .with_retry_after(STALE_RETRY_AFTER)
        })
    }

    /// Returns an error if the configuration known here may have been replaced too long ago.
    fn check_current(&self) -> Result<(), Error> {
        if self.common.is_current() {
            return Ok(());
        }
        Err(Error::new(Kind::Stale, "the configuration may have changed")
            .with_retry_after(STALE_RETRY_AFTER))
    }

    /// Returns the queue of a request.
    ///
    /// An outdated configuration may lack a new queue, so a request is refused as unknown only by a
    /// current configuration.
    fn queue<'a>(&self, request: &CallerRequest, config: &'a Config) -> Result<&'a Queue, Error> {
        request.queue(config).or_else(|unknown| self.check_current().and(Err(unknown)))
    }

    /// Returns the shards that may have a job whose queue uses this pool now; the first is the one
    /// of a job that is accepted now.
    ///
    /// A job stays in its shard although its queue moves to another pool. Whoever looked in the shard
    /// of the present pool alone would take an accepted job for unknown, and accept it again.
    fn job_shards(&self, job: JobNo, pool: &PoolId) -> Result<Box<[ShardNo]>, Error> {
        let layout = self.common.view.borrow().layout.clone();
        match layout {
            None => Err(Error::new(Kind::Stale, "the table of shards is not known yet")
                .with_retry_after(STALE_RETRY_AFTER)),
            Some(layout) => Ok(layout.possible_job_shards(job, pool)),
        }
    }

    /// Time limit of one call to the store; leaves time for a further call.
    fn call_limit(&self, request: &CallerRequest) -> Result<Duration, Error> {
        let left = request.deadline - self.common.now();
        if left < MIN_REMAINING {
            Err(Kind::Expired.into())
        } else {
            Ok(MAX_CALL_TIMEOUT.min(left.mul_f64(0.6)))
        }
    }

    /// Returns the state of a job that has begun, as the store has it.
    ///
    /// Returns an error if the store doesn't answer; its kind is that of a request without effect.
    async fn stored_state(
        &self,
        request: &CallerRequest,
        shard: ShardNo,
        job: JobNo,
    ) -> Result<Option<JobState>, Error> {
        let unanswered = |_| Error::new(Kind::Platform, "the store doesn't answer");
        let limit = self.call_limit(request)?;
        let item = self.services.get(&shard.progress_key(job), limit).await.map_err(unanswered)?;
        let progress = item.and_then(|i| record::decode::<Progress>(i.value.as_ref()?));
        Ok(progress.map(|p| p.state))
    }

    /// Returns which of these shards has a job in the store: its record, or its progress once it has
    /// begun.
    ///
    /// Returns an error if the store doesn't answer; its kind is that of a request without effect.
    async fn find_stored(
        &self,
        request: &CallerRequest,
        shards: &[ShardNo],
        job: JobNo,
    ) -> Result<Option<ShardNo>, Error> {
        let unanswered = |_| Error::new(Kind::Platform, "the store doesn't answer");
        for &shard in shards {
            for key in [shard.job_key(job), shard.progress_key(job)] {
                let limit = self.call_limit(request)?;
                if self.services.get(&key, limit).await.map_err(unanswered)?.is_some() {
                    return Ok(Some(shard));
                }
            }
        }
        Ok(None)
    }
}

/// Returns the API key that a call's headers carry.
fn read_key(headers: &HeaderMap) -> Result<KeyDigest, Error> {
    let wrong = |why| Error::new(Kind::Unauthorized, why);
    let mut values = headers.get_all(AUTHORIZATION).iter();
    let value = values.next().ok_or_else(|| wrong("the call has no key"))?;
    if values.next().is_some() {
        return Err(wrong("the call has several keys"));
    }
    bearer_key(value.to_str().map_err(|_| wrong("the call's key is not plain text"))?)
}

/// The error of a call that has to wait for a newer configuration than the one known here.
fn outdated() -> Error {
    Error::new(Kind::Stale, "a newer configuration is not known yet")
        .with_retry_after(STALE_RETRY_AFTER)
}

impl CallerRequest {
    /// Returns the queue of the request: by its host as given, then by the host without the port.
    fn queue<'a>(&self, config: &'a Config) -> Result<&'a Queue, Error> {
        let find = |host: &str| config.queues.find_queue(host, &self.path);
        let bare = self.host.rsplit_once(':').map_or(&*self.host, |(host, _)| host);
        let found = find(&self.host).or_else(|| find(bare));
        found.ok_or_else(|| Error::new(Kind::UnknownService, "no such queue"))
    }
}
