//! The endpoints' duty: sends requests and orders to workers; their wire form stands only here.
//!
//! Assumed of a worker (no published form is known): it takes requests at `/v1/run` with an id, an
//! epoch, a lease and a not-after time, answers with the same id, and stops the request when the lease ends; it
//! refuses an epoch lower than the highest it has seen and what comes after its not-after time, and
//! says so (`x-dwr-ran: no`); it takes
//! starts, renewals and stops of tasks at `/v1/orders`, and a start twice is one start; its report
//! at `/v1/report` lags, and says by how much.

use {
    crate::{
        clock::{self, Clock},
        error::Kind,
        event::{Answer, Event, Inbox, Order, Outcome, Run},
        http::{Client, EPOCH, Failure, KEY, LEASE, RAN, REQUEST, RUN, UNTIL, uri},
        messages::{FenceAsk, Report, WorkerReply},
        metrics::Metrics,
        time::millis,
    },
    async_channel::Receiver,
    http_body_util::Full,
    hyper::{Request, header::CONTENT_TYPE},
    std::{sync::Arc, time::Duration},
};

/// The deadline of an order, a fence or a report.
const CALL: Duration = Duration::from_secs(1);
/// The unused connections kept to each worker: its 8 slots, and one for orders.
pub const IDLE: usize = 9;

/// Sends what the decisions order until their ring is closed.
pub async fn run(orders: Receiver<Order>, inbox: Inbox, clock: Clock, metrics: Arc<Metrics>) {
    let client = Client::new(IDLE);
    while let Ok(order) = orders.recv().await {
        let (client, inbox, metrics) = (client.clone(), inbox.clone(), metrics.clone());
        tokio::spawn(async move {
            if let Some(event) = one(order, &client, clock, &metrics).await {
                let _ = inbox.send(event).await;
            }
        });
    }
}

async fn one(order: Order, client: &Client, clock: Clock, metrics: &Metrics) -> Option<Event> {
    match order {
        Order::Run(run) => {
            let outcome = dispatch(&run, client, clock).await;
            Some(Event::Ran { request: run.request, worker: run.worker, outcome })
        }
        Order::Worker(worker, addr, mut ask, until) => {
            let sent = clock.now();
            ask.until = unix(until - sent);
            metrics.sent("endpoints", serde_json::to_vec(&ask).map_or(0, |v| v.len()));
            let reply: Result<WorkerReply, Failure> =
                client.json("PUT", &uri(addr, "/v1/orders"), &*ask, CALL).await;
            Some(Event::Ordered { worker, ask, sent, reply })
        }
        Order::Report(worker, addr) => {
            let report: Result<Report, Failure> =
                client.json("GET", &uri(addr, "/v1/report"), &(), CALL).await;
            Some(Event::Reported { worker, report })
        }
        Order::Fence(worker, addr, epoch) => {
            let reply: Result<FenceAsk, Failure> =
                client.json("PUT", &uri(addr, "/v1/fence"), &FenceAsk { epoch }, CALL).await;
            Some(Event::Fenced { worker, epoch, reply: reply.map(|r| r.epoch) })
        }
        _ => None,
    }
}

/// The Unix time so far ahead, in milliseconds: after it, what is sent must not take effect.
///
/// Guards against a worker that was paused, or bytes that were held up, while this end had given
/// the call up: the work would start after another attempt of it had. The clocks of VMs may differ
/// by [`crate::attempts::DRIFT`], which the attempts wait for on top.
fn unix(ahead: Duration) -> u64 {
    millis(clock::unix() + ahead)
}

async fn dispatch(run: &Run, client: &Client, clock: Clock) -> Outcome {
    let load = &run.load;
    let mut b = Request::builder()
        .method(&*load.method)
        .uri(uri(run.addr, &format!("/v1/run{}", load.path)))
        .header(REQUEST, run.request.to_string())
        .header(EPOCH, run.epoch.to_string())
        .header(LEASE, run.lease.as_millis().to_string())
        .header(UNTIL, unix(run.until - clock.now()).to_string());
    if let Some(time) = run.run {
        b = b.header(RUN, time.as_millis().to_string());
    }
    if !load.kind.is_empty() {
        b = b.header(CONTENT_TYPE, &*load.kind);
    }
    if !load.key.is_empty() {
        b = b.header(KEY, &*load.key);
    }
    let Ok(request) = b.body(Full::new(load.body.clone())) else {
        return Outcome::Refused(Kind::BadRequest.into());
    };
    let (head, body) = match client.send(request, run.lease).await {
        Ok(whole) => whole,
        Err(failure) => return Outcome::Failed(failure),
    };
    let text = |name: &str| head.headers.get(name).and_then(|v| v.to_str().ok()).unwrap_or("");
    if text(RAN) == "no" {
        return Outcome::Refused(Kind::EndpointRefused.into());
    }
    // Guards against an answer to another request, which would be given to the wrong caller.
    if text(REQUEST).parse() != Ok(run.request) && head.status.is_success() {
        return Outcome::Failed(Failure::Broken);
    }
    let kind = text(CONTENT_TYPE.as_str()).into();
    Outcome::Answered(Answer { status: head.status.as_u16(), kind, body })
}
