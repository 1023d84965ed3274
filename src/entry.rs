//! Callers' jobs: which queue a request means, and what becomes of it.
//!
//! Any member serves any caller. A job is taken in by one conditional write of the store, without
//! its shard's owner; a state comes from the owner, and from the store where the owner is silent.

mod ask;
mod states;
mod submit;

use {
    crate::{
        common::{Common, Config},
        control::{Peers, outside},
        decide::reads::Reads,
        decisions::Told,
        error::{Error, Kind},
        http::{answer, refusal},
        ids::PoolId,
        shard::record::ShardNo,
        store::Outside,
        time::Time,
        work::{JobNo, Queue},
    },
    async_channel::Sender,
    bytes::Bytes,
    http_body_util::Full,
    hyper::{
        Method, Response,
        body::Body,
        header::{CONNECTION, CONTENT_TYPE, HOST, HeaderValue},
        http::request::Parts,
    },
    rustc_hash::FxHashMap,
    states::States,
    std::{
        sync::{Arc, Mutex},
        time::Duration,
    },
};

/// How long a caller waits that doesn't say so.
const DEADLINE: Duration = Duration::from_secs(3);
/// The least that has to be left of it for another call.
const LEAST: Duration = Duration::from_millis(20);
/// When to come back where no configuration is known yet.
const SOON: Duration = Duration::from_millis(300);
/// The longest that one call of the store may take of a caller's time.
const CALL: Duration = Duration::from_millis(1200);

const CLOSE: HeaderValue = HeaderValue::from_static("close");
const JSON: HeaderValue = HeaderValue::from_static("application/json");

/// The duty that serves callers.
pub(crate) struct Entry {
    common: Arc<Common>,
    outside: Outside,
    peers: Peers,
    told: Sender<Told>,
    lengths: Mutex<FxHashMap<Box<str>, (Time, u64)>>,
    states: Arc<States>,
    reads: Mutex<Reads>,
}

/// A request, as far as it is the same for all methods.
struct Ask {
    host: Box<str>,
    path: Box<str>,
    by: Time,
}

impl Entry {
    /// An entry with clients of its own; `told` is the way to the decisions.
    pub fn new(common: Arc<Common>, told: Sender<Told>) -> Self {
        let peers = Peers::new(common.clone());
        let outside = outside(&common, &peers);
        let states = Arc::new(States::new(common.clone(), peers.clone()));
        let (lengths, reads) = Default::default();
        Entry { common, outside, peers, told, lengths, states, reads }
    }

    /// Serves one request.
    pub async fn serve(
        self: Arc<Self>,
        head: Parts,
        body: Result<Bytes, Error>,
    ) -> Response<Full<Bytes>> {
        let begin = self.common.now();
        let mut response = match self.route(&head, body, begin).await {
            Ok(body) => {
                self.common.metrics.answered();
                let mut ok = answer(200, body);
                if !ok.body().is_end_stream() {
                    ok.headers_mut().insert(CONTENT_TYPE, JSON);
                }
                ok
            }
            Err(e) => {
                self.common.metrics.refused(e.kind());
                self.tell_refused(&head, &e, begin);
                refusal(&e)
            }
        };
        self.common.metrics.took(self.common.now() - begin);
        if self.common.stopping() {
            response.headers_mut().insert(CONNECTION, CLOSE);
        }
        response
    }

    async fn route(
        &self,
        head: &Parts,
        body: Result<Bytes, Error>,
        begin: Time,
    ) -> Result<Bytes, Error> {
        let body = body?;
        let ask = self.ask(head, begin);
        let config = self.config()?;
        let queue = self.queue(&ask, &config)?;
        let rest = ask.path[queue.prefix.len()..].trim_start_matches('/');
        match head.method {
            Method::GET if rest.is_empty() => {
                self.current()?;
                self.waiting(&queue.name).await
            }
            Method::GET => self.state(&ask, rest.parse()?, &queue.pool).await,
            Method::POST => self.submit(&ask, rest.parse()?, &config, &body).await,
            Method::DELETE => self.cancel(&ask, rest.parse()?, &queue.pool).await,
            _ => Err(Kind::BadMethod.into()),
        }
    }

    /// Tells of a refused request, with what was known when it was refused.
    fn tell_refused(&self, head: &Parts, error: &Error, begin: Time) {
        let now = self.common.now();
        let config = self.common.config.borrow().as_ref().map_or(0, |c| c.rev);
        let path = head.uri.path();
        let job = path.rsplit('/').next().unwrap_or("");
        let reason = error.kind().answer().label;
        let config_ms = (now - self.common.confirmed()).as_millis() as u64;
        let store_ms = self.common.contact().map_or(u64::MAX, |c| (now - c).as_millis() as u64);
        let took_ms = (now - begin).as_millis() as u64;
        log::info!(target: "entry", did = "refused", job, method:% = head.method, path, reason, cause:% = error, config, config_ms, table = self.common.view.borrow().rev, store_ms, took_ms; "Request is refused.");
    }

    fn ask(&self, head: &Parts, begin: Time) -> Ask {
        let text = |name: &str| head.headers.get(name).and_then(|v| v.to_str().ok());
        let host = text(HOST.as_str()).or(head.uri.host()).unwrap_or("");
        let limit = text(self.common.forms.deadline).and_then(|ms| ms.trim().parse().ok());
        let limit = limit.map_or(DEADLINE, Duration::from_millis);
        Ask { host: host.into(), path: head.uri.path().into(), by: begin + limit }
    }

    fn config(&self) -> Result<Config, Error> {
        let known = self.common.config.borrow().clone();
        known.ok_or_else(|| Error::new(Kind::Stale, "no configuration is known yet").after(SOON))
    }

    /// Errs where the configuration known here may have been replaced too long ago.
    fn current(&self) -> Result<(), Error> {
        if self.common.is_current() {
            return Ok(());
        }
        Err(Error::new(Kind::Stale, "the configuration may have changed").after(SOON))
    }

    /// The queue that a request means; that there is none is said only by a current configuration.
    fn queue<'a>(&self, ask: &Ask, config: &'a Config) -> Result<&'a Queue, Error> {
        ask.queue(config).or_else(|unknown| self.current().and(Err(unknown)))
    }

    /// The shard of a job of a queue with this pool.
    fn shard(&self, job: JobNo, pool: &PoolId) -> Result<ShardNo, Error> {
        let layout = self.common.view.borrow().layout.clone();
        match layout {
            None => Err(Error::new(Kind::Stale, "the table isn't known yet").after(SOON)),
            Some(layout) => Ok(layout.of(job, pool)),
        }
    }

    /// How long a call may take that another is to follow.
    fn limit(&self, ask: &Ask) -> Result<Duration, Error> {
        let left = ask.by - self.common.now();
        if left < LEAST { Err(Kind::Expired.into()) } else { Ok(CALL.min(left.mul_f64(0.6))) }
    }

    /// Whether the store has a job, in its inbox or among what has been begun.
    ///
    /// Errs where it doesn't say, with what a reader may be told.
    async fn stored(&self, ask: &Ask, shard: ShardNo, job: JobNo) -> Result<bool, Error> {
        let silent = |_| Error::new(Kind::Platform, "the store doesn't answer");
        let limit = self.limit(ask)?;
        if self.outside.get(&shard.job(job), limit).await.map_err(silent)?.is_some() {
            return Ok(true);
        }
        let limit = self.limit(ask)?;
        Ok(self.outside.get(&shard.progress(job), limit).await.map_err(silent)?.is_some())
    }
}

impl Ask {
    /// The queue that the request means: by its host as it is given, then without the port.
    fn queue<'a>(&self, config: &'a Config) -> Result<&'a Queue, Error> {
        let find = |host: &str| config.queues.find(host, &self.path);
        let bare = self.host.rsplit_once(':').map_or(&*self.host, |(host, _)| host);
        let found = find(&self.host).or_else(|| find(bare));
        found.ok_or_else(|| Error::new(Kind::UnknownService, "no such queue"))
    }
}
