//! Sends requests and orders to workers; the only module that knows the wire format of these calls.
//!
//! Workers have no published interface. This module assumes that a worker:
//! - accepts requests at `/v1/run` with an id, an epoch, a lease and a not-after time, answers with
//!   the same id, and stops the request when the lease ends;
//! - refuses an epoch lower than the highest it has seen and anything that arrives after its
//!   not-after time, and marks such a refusal with `x-dwr-ran: no`;
//! - accepts starts, renewals and stops of tasks at `/v1/orders`, and treats a repeated start as one;
//! - serves a delayed report at `/v1/report` that states its age.

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
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// The maximum number of idle connections to each worker: one for each of its 8 slots, and one for
/// orders.
pub const IDLE: usize = 9;

/// Sends the orders of the decision loop until their queue is closed.
pub async fn run(orders: Receiver<Order>, inbox: Inbox, clock: Clock, metrics: Arc<Metrics>) {
    let client = Client::new(IDLE);
    while let Ok(order) = orders.recv().await {
        let (client, inbox, metrics) = (client.clone(), inbox.clone(), metrics.clone());
        tokio::spawn(async move {
            if let Some(event) = send(order, &client, clock, &metrics).await {
                let _ = inbox.send(event).await;
            }
        });
    }
}

async fn send(order: Order, client: &Client, clock: Clock, metrics: &Metrics) -> Option<Event> {
    match order {
        Order::Run(run) => {
            let outcome = dispatch(&run, client, clock).await;
            Some(Event::DispatchEnded { request: run.request, worker: run.worker, outcome })
        }
        Order::Worker(worker, addr, mut ask, until) => {
            let sent = clock.now();
            ask.until = not_after(until - sent);
            metrics.count_sent("endpoints", serde_json::to_vec(&ask).map_or(0, |v| v.len()));
            let reply: Result<WorkerReply, Failure> =
                client.json("PUT", &uri(addr, "/v1/orders"), &*ask, CALL_TIMEOUT).await;
            Some(Event::WorkerReplied { worker, ask, sent, reply })
        }
        Order::Report(worker, addr) => {
            let report: Result<Report, Failure> =
                client.json("GET", &uri(addr, "/v1/report"), &(), CALL_TIMEOUT).await;
            Some(Event::Reported { worker, report })
        }
        Order::Fence(worker, addr, epoch) => {
            let reply: Result<FenceAsk, Failure> = client
                .json("PUT", &uri(addr, "/v1/fence"), &FenceAsk { epoch }, CALL_TIMEOUT)
                .await;
            Some(Event::Fenced { worker, epoch, reply: reply.map(|r| r.epoch) })
        }
        _ => None,
    }
}

/// The not-after time of a message: the Unix time `ahead` from now, in milliseconds.
///
/// Guards against a worker that was paused, or a message that was delayed, after this member gave up
/// the call: the work would start after another attempt of it had started. The clocks of VMs may
/// differ by [`crate::attempts::CLOCK_DRIFT`], so attempts wait for that time as well.
fn not_after(ahead: Duration) -> u64 {
    millis(clock::unix_time() + ahead)
}

async fn dispatch(run: &Run, client: &Client, clock: Clock) -> Outcome {
    let load = &run.load;
    let mut b = Request::builder()
        .method(&*load.method)
        .uri(uri(run.addr, &format!("/v1/run{}", load.path)))
        .header(REQUEST, run.request.to_string())
        .header(EPOCH, run.epoch.to_string())
        .header(LEASE, run.lease.as_millis().to_string())
        .header(UNTIL, not_after(run.until - clock.now()).to_string());
    if let Some(time) = run.run {
        b = b.header(RUN, time.as_millis().to_string());
    }
    if !load.content_type.is_empty() {
        b = b.header(CONTENT_TYPE, &*load.content_type);
    }
    if !load.key.is_empty() {
        b = b.header(KEY, &*load.key);
    }
    let Ok(request) = b.body(Full::new(load.body.clone())) else {
        return Outcome::Refused(Kind::BadRequest.into());
    };
    let (head, body) = match client.send(request, run.lease).await {
        Ok(response) => response,
        Err(failure) => return Outcome::Failed(failure),
    };
    let text = |name: &str| head.headers.get(name).and_then(|v| v.to_str().ok()).unwrap_or("");
    if text(RAN) == "no" {
        return Outcome::Refused(Kind::EndpointRefused.into());
    }
    // Guards against an answer to another request, which would go to the wrong caller.
    if text(REQUEST).parse() != Ok(run.request) && head.status.is_success() {
        return Outcome::Failed(Failure::Broken);
    }
    let kind = text(CONTENT_TYPE.as_str()).into();
    Outcome::Answered(Answer { status: head.status.as_u16(), content_type: kind, body })
}
