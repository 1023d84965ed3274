//! Control calls between members, and the forwarding of requests to peers.

use {
    crate::{
        error::{Error, Kind},
        event::{Answer, Call, CallReply, Event, Forward, Inbox, Order, Outcome, Ticket},
        gate::Gate,
        http::{
            CALLER, Client, DEADLINE, Failure, HOPS, KEY, RAN, REASON, REQUEST, RETRY_MS, RUN,
            SECRET, uri,
        },
        metrics::Metrics,
        rpc,
        server::Limits,
    },
    async_channel::Receiver,
    http_body_util::Full,
    hyper::{Request, header::CONTENT_TYPE},
    jsonrpsee::{
        RpcModule, core::client::ClientT, http_client::HttpClient, types::ErrorObjectOwned,
    },
    rustc_hash::FxHashMap,
    serde_json::{Map, Value},
    std::{
        future::pending,
        net::{SocketAddr, TcpListener},
        sync::{
            Arc, Mutex,
            atomic::{AtomicU64, Ordering},
        },
        time::Duration,
    },
    tokio::sync::oneshot,
};

/// The deadline of a call. A member that takes longer is too slow to make decisions.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// The deadline of a claim; its owner may first have to resolve a write whose answer was lost.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(5);
/// The JSON-RPC error code of a refused call, from the range reserved for applications.
const ERROR_CODE: i32 = -32000;

type Waiting = Arc<Mutex<FxHashMap<Ticket, oneshot::Sender<CallReply>>>>;

/// The inputs of the server and clients for peers.
pub struct Peers {
    /// The listener for control calls.
    pub control: TcpListener,
    /// The secret that peers must present.
    pub secret: Gate,
    /// The queue of events for the decision loop.
    pub inbox: Inbox,
    /// The orders of the decision loop.
    pub orders: Receiver<Order>,
    /// The member's metrics.
    pub metrics: Arc<Metrics>,
    /// The limits of each call.
    pub limits: Limits,
}

impl Peers {
    /// Serves and calls peers until the decision loop's queue of orders is closed.
    pub async fn run(self) -> std::io::Result<()> {
        let waiting = Waiting::default();
        let module = module(self.inbox.clone(), waiting.clone());
        let secret = self.secret.clone();
        let server = rpc::serve(self.control, "peers", secret, module, self.limits, pending());
        let calls = async {
            let client = Client::new(32);
            let mut clients: FxHashMap<SocketAddr, HttpClient> = FxHashMap::default();
            while let Ok(order) = self.orders.recv().await {
                let inbox = self.inbox.clone();
                match order {
                    Order::ReplyPeer(ticket, back) => {
                        let to = waiting.lock().expect("no holder panics").remove(&ticket);
                        if let Some(to) = to {
                            let _ = to.send(back);
                        }
                    }
                    Order::Forward(forward) => {
                        let (client, secret) = (client.clone(), self.secret.clone());
                        tokio::spawn(async move {
                            let outcome = send_forward(&forward, &client, &secret).await;
                            let (request, to) = (forward.request, forward.to);
                            let _ = inbox.send(Event::Forwarded { request, to, outcome }).await;
                        });
                    }
                    Order::Call(to, addr, call) => {
                        let limit = if matches!(*call, Call::Claim(_)) {
                            CLAIM_TIMEOUT
                        } else {
                            CALL_TIMEOUT
                        };
                        if !clients.contains_key(&addr)
                            && let Ok(c) = rpc::client(addr, self.secret.show(), CLAIM_TIMEOUT)
                        {
                            clients.insert(addr, c);
                        }
                        let Some(client) = clients.get(&addr).cloned() else { continue };
                        let metrics = self.metrics.clone();
                        tokio::spawn(async move {
                            let back =
                                tokio::time::timeout(limit, ask(&client, &call, &metrics)).await;
                            let back = back.unwrap_or(Err(Failure::Timeout));
                            let _ = inbox.send(Event::PeerReplied { to, call, back }).await;
                        });
                    }
                    _ => {}
                }
            }
        };
        tokio::select! {
            served = server => served,
            () = calls => Ok(()),
        }
    }
}

fn module(inbox: Inbox, waiting: Waiting) -> RpcModule<()> {
    let mut module = RpcModule::new(());
    let next = Arc::new(AtomicU64::new(1));
    for name in Call::NAMES {
        let (inbox, waiting, next) = (inbox.clone(), waiting.clone(), next.clone());
        let added = module.register_async_method(name, move |params, _, _| {
            let (inbox, waiting) = (inbox.clone(), waiting.clone());
            let ticket = next.fetch_add(1, Ordering::Relaxed);
            async move {
                let bad = |why: String| ErrorObjectOwned::owned(ERROR_CODE, why, None::<()>);
                let value: Value = params.one().map_err(|e| bad(e.to_string()))?;
                let tagged = Value::Object(Map::from_iter([(name.into(), value)]));
                let call: Call = serde_json::from_value(tagged).map_err(|e| bad(e.to_string()))?;
                let (to, from) = oneshot::channel();
                waiting.lock().expect("no holder panics").insert(ticket, to);
                if inbox.try_send(Event::PeerCalled(ticket, call)).is_err() {
                    waiting.lock().expect("no holder panics").remove(&ticket);
                    return Err(bad(Kind::RingFull.answer().label.into()));
                }
                from.await.map_err(|_| bad(Kind::Draining.answer().label.into()))
            }
        });
        added.expect("the names differ");
    }
    module
}

async fn ask(client: &HttpClient, call: &Call, metrics: &Metrics) -> Result<CallReply, Failure> {
    let Ok(Value::Object(tagged)) = serde_json::to_value(call) else { return Err(Failure::Unsent) };
    let Some((name, value)) = tagged.into_iter().next() else { return Err(Failure::Unsent) };
    // Serialized once: the same bytes are counted and sent.
    let value = serde_json::value::to_raw_value(&value).map_err(|_| Failure::Unsent)?;
    metrics.count_sent("peers", value.get().len());
    client.request(&name, [value]).await.map_err(|_| Failure::Broken)
}

/// Sends a request to a peer and reads its final answer.
async fn send_forward(f: &Forward, client: &Client, secret: &Gate) -> Outcome {
    let mut b = Request::builder()
        .method(&*f.load.method)
        .uri(uri(f.addr, &format!("/{}{}", f.service, f.load.path)))
        .header(SECRET, secret.show())
        .header(REQUEST, f.request.to_string())
        .header(HOPS, f.hops.to_string())
        .header(CALLER, f.caller.as_str())
        .header(DEADLINE, f.left.as_millis().to_string());
    if let Some(run) = f.run {
        b = b.header(RUN, run.as_millis().to_string());
    }
    if !f.load.content_type.is_empty() {
        b = b.header(CONTENT_TYPE, &*f.load.content_type);
    }
    if !f.load.key.is_empty() {
        b = b.header(KEY, &*f.load.key);
    }
    let Ok(request) = b.body(Full::new(f.load.body.clone())) else {
        return Outcome::Refused(Kind::BadRequest.into());
    };
    let (head, body) = match client.send(request, f.left).await {
        Ok(response) => response,
        Err(failure) => return Outcome::Failed(failure),
    };
    let text = |name: &str| head.headers.get(name).and_then(|v| v.to_str().ok()).unwrap_or("");
    if let Some(kind) = Kind::from_label(text(REASON)) {
        let mut error = Error::new(kind, "");
        if let Ok(ms) = text(RETRY_MS).parse() {
            error = error.with_retry_after(Duration::from_millis(ms));
        }
        // The peer's `x-dwr-ran` header decides: if this kind of error means that the request did not
        // run and the header does not confirm it, the outcome counts as broken.
        let confirmed = text(RAN) == "no";
        let no = kind.answer().ran == crate::Ran::No;
        return Outcome::Refused(if no && !confirmed { Kind::Broken.into() } else { error });
    }
    if text(REQUEST).parse() != Ok(f.request) {
        return Outcome::Failed(Failure::Broken);
    }
    let kind = text(CONTENT_TYPE.as_str()).into();
    Outcome::Answered(Answer { status: head.status.as_u16(), content_type: kind, body })
}
