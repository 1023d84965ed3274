//! Accepts requests from callers and from members that forward them.

use {
    crate::{
        clock::Clock,
        connections::SharedLimits,
        error::{Error, Kind},
        event::{ClientRequest, Event, Inbox, Payload, Ticket, Verdict},
        gate::Gate,
        http::{CALLER, DEADLINE, HOPS, KEY, REQUEST, RUN, SECRET, answer, error_response},
        ids::{CallerId, Incarnation, Key, RequestId, ServiceId},
        metrics::Metrics,
        server::{Limits, Server},
    },
    async_channel::{Receiver, TrySendError},
    bytes::Bytes,
    http_body_util::Full,
    hyper::{
        HeaderMap, Response,
        header::{CONNECTION, CONTENT_TYPE, HeaderValue},
        http::request::Parts,
    },
    rustc_hash::FxHashMap,
    std::{
        future::Future,
        sync::{
            Arc, Mutex,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::{net::TcpListener, sync::oneshot},
};

/// The longest accepted name of a caller or key, in bytes.
const NAME_MAX: usize = 128;
/// The longest accepted deadline; a longer one is cut to it.
const DEADLINE_MAX: Duration = Duration::from_secs(3600);

/// The inputs of the server for callers.
pub struct Callers {
    /// This member's incarnation, the upper half of its requests' ids.
    pub me: Incarnation,
    /// The listener for callers.
    pub callers: TcpListener,
    /// The listener for members that forward.
    pub bodies: TcpListener,
    /// The limits that apply to callers.
    pub limits: Limits,
    /// The most connections of members that forward.
    pub forwarded: usize,
    /// The secret that forwarding members must present.
    pub secret: Gate,
    /// The queue of events for the decision loop.
    pub inbox: Inbox,
    /// The final answers of the decision loop.
    pub replies: Receiver<(Ticket, Verdict)>,
    /// The member's clock.
    pub clock: Clock,
    /// The member's metrics.
    pub metrics: Arc<Metrics>,
}

#[derive(Clone)]
struct Shared {
    me: Incarnation,
    waiting: Arc<Mutex<FxHashMap<Ticket, oneshot::Sender<Verdict>>>>,
    next: Arc<AtomicU64>,
    inbox: Inbox,
    clock: Clock,
    metrics: Arc<Metrics>,
    secret: Gate,
    body: usize,
}

impl Callers {
    /// Serves until `stop` ends and the last request has its answer.
    pub async fn run<S: Future<Output = ()> + Send>(self, stop: impl Fn() -> S) {
        let shared = Shared {
            me: self.me,
            waiting: Arc::default(),
            next: Arc::new(AtomicU64::new(1)),
            inbox: self.inbox,
            clock: self.clock,
            metrics: self.metrics,
            secret: self.secret,
            body: self.limits.body,
        };
        let waiting = shared.waiting.clone();
        let replies = self.replies;
        tokio::spawn(async move {
            while let Ok((ticket, verdict)) = replies.recv().await {
                let to = waiting.lock().expect("no holder panics").remove(&ticket);
                if let Some(to) = to {
                    let _ = to.send(verdict);
                }
            }
        });
        let limits = self.limits;
        let metrics = Some(shared.metrics.clone());
        let from_callers =
            Server { listener: self.callers, name: "callers", limits, metrics: metrics.clone() };
        let from_members = Server {
            listener: self.bodies,
            name: "bodies",
            limits: Limits {
                shared: SharedLimits::new(self.forwarded, limits.shared.held),
                ..limits
            },
            metrics,
        };
        let (a, b, gate) = (shared.clone(), shared.clone(), shared.secret.clone());
        let serve_caller = move |head, body| a.clone().request(head, body, false);
        let serve_member = move |head, body| b.clone().request(head, body, true);
        let admit_caller = move |_: &Parts| Ok(limits.body);
        // Without the key, nothing of a body is read.
        let admit_member = move |head: &Parts| {
            let admitted = gate.admits(&head.headers);
            if admitted { Ok(limits.body) } else { Err(Kind::Unauthorized.into()) }
        };
        tokio::join!(
            from_callers.run(stop(), admit_caller, serve_caller),
            from_members.run(stop(), admit_member, serve_member),
        );
    }
}

impl Shared {
    /// Handles one request up to its final answer.
    async fn request(
        self,
        head: Parts,
        body: Result<Bytes, Error>,
        forwarded: bool,
    ) -> Response<Full<Bytes>> {
        let begun = self.clock.now();
        let asked = match body {
            Err(e) => Err(e),
            Ok(body) => self.read(&head, body, forwarded),
        };
        let (id, verdict) = match asked {
            Err(e) => {
                self.metrics.count_refusal(e.kind());
                (None, Err(e))
            }
            Ok(ask) => (Some(ask.id), self.decide(ask).await),
        };
        self.metrics.observe_request(self.clock.now() - begun);
        let mut response = match verdict {
            Err(e) => error_response(&e),
            Ok(a) => {
                let mut r = answer(a.status, a.body);
                if !a.content_type.is_empty()
                    && let Ok(kind) = HeaderValue::from_str(&a.content_type)
                {
                    r.headers_mut().insert(CONTENT_TYPE, kind);
                }
                r
            }
        };
        if let Some(id) = id
            && let Ok(id) = HeaderValue::from_str(&id.to_string())
        {
            response.headers_mut().insert(REQUEST, id);
        }
        if self.clock.is_draining() {
            // A caller that keeps its connection would otherwise send its next request to a stopped
            // member.
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }

    async fn decide(&self, ask: ClientRequest) -> Verdict {
        let ticket = ask.ticket;
        let (to, from) = oneshot::channel();
        self.waiting.lock().expect("no holder panics").insert(ticket, to);
        let mut guard = HangUpGuard { shared: self, ticket, done: false };
        match self.inbox.try_send(Event::Ask(Box::new(ask))) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Closed(_)) => {
                guard.done = true;
                self.waiting.lock().expect("no holder panics").remove(&ticket);
                self.metrics.count_refusal(Kind::RingFull);
                return Err(Kind::RingFull.into());
            }
        }
        let verdict = from.await;
        guard.done = true;
        verdict.unwrap_or_else(|_| Err(Kind::OutcomeUnknown.into()))
    }

    fn read(&self, head: &Parts, body: Bytes, forwarded: bool) -> Result<ClientRequest, Error> {
        let h = &head.headers;
        let path = head.uri.path_and_query().map_or("/", |p| p.as_str());
        let path = path.strip_prefix('/').unwrap_or(path);
        let cut = path.find(['/', '?']).unwrap_or(path.len());
        let (service, rest) = path.split_at(cut);
        let bad = |what: &str| Error::new(Kind::BadRequest, what);
        if body.len() > self.body {
            return Err(Kind::TooLarge.into());
        }
        let deadline = millis(h, DEADLINE, "x-dwr-deadline-ms is not a number of milliseconds")?;
        let run = millis(h, RUN, "x-dwr-run-ms is not a number of milliseconds")?;
        let key = text(h, KEY)?;
        let caller = text(h, CALLER)?;
        let (id, hops) = if forwarded {
            let id = text(h, REQUEST)?.parse().map_err(|_| bad("no request id"))?;
            (id, text(h, HOPS)?.parse().unwrap_or(1))
        } else {
            let n = self.next.fetch_add(1, Ordering::Relaxed);
            (RequestId(u128::from(self.me.0) << 64 | u128::from(n)), 0)
        };
        let ticket = self.next.fetch_add(1, Ordering::Relaxed);
        let now = self.clock.now();
        Ok(ClientRequest {
            ticket,
            id,
            service: ServiceId::from(service),
            caller: CallerId::from(if caller.is_empty() { "anonymous" } else { caller }),
            // The forwarding member has already claimed the key.
            key: (!key.is_empty() && !forwarded).then(|| Key::from(key)),
            deadline: deadline.map(|d| now + d.min(DEADLINE_MAX)),
            run,
            hops,
            load: Payload {
                method: head.method.as_str().into(),
                path: rest.into(),
                content_type: h
                    .get(CONTENT_TYPE)
                    .and_then(|v| v.to_str().ok())
                    .unwrap_or("")
                    .into(),
                key: key.into(),
                body,
            },
        })
    }
}

/// Notifies the decision loop that a caller has disconnected, if its call is dropped unanswered.
struct HangUpGuard<'a> {
    shared: &'a Shared,
    ticket: Ticket,
    done: bool,
}

impl Drop for HangUpGuard<'_> {
    fn drop(&mut self) {
        if !self.done {
            self.shared.waiting.lock().expect("no holder panics").remove(&self.ticket);
            let _ = self.shared.inbox.try_send(Event::HungUp(self.ticket));
        }
    }
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Result<&'a str, Error> {
    let bad = |why| Error::new(Kind::BadRequest, format!("{name} {why}"));
    let Some(value) = headers.get(name) else { return Ok("") };
    let value = value.to_str().map_err(|_| bad("is not plain text"))?;
    if value.len() > NAME_MAX { Err(bad("is longer than 128 bytes")) } else { Ok(value) }
}

fn millis(headers: &HeaderMap, name: &str, error: &str) -> Result<Option<Duration>, Error> {
    let value = text(headers, name)?;
    if value.is_empty() {
        return Ok(None);
    }
    let ms = value.parse().map_err(|_| Error::new(Kind::BadRequest, error))?;
    Ok(Some(Duration::from_millis(ms)))
}

impl Gate {
    /// Whether the headers carry the secret; compared in constant time.
    pub fn admits(&self, headers: &HeaderMap) -> bool {
        headers.get(SECRET).is_some_and(|s| self.matches(s.as_bytes()))
    }
}
