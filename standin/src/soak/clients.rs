//! Plays a crowd of clients that misbehave against one member with low limits, and reports what its
//! process held meanwhile and whether ordinary callers were served.

use {
    crate::{
        Result,
        soak::{
            Options,
            member::{Members, metrics_addr},
            serve,
            stage::Stage,
        },
    },
    bytes::Bytes,
    dogwoodreach::http::{Client, uri},
    http_body_util::Full,
    hyper::{Request, Response},
    lexopt::prelude::*,
    platform_standin::jobs,
    serde::Serialize,
    standin::{
        crowd::{self, Crowd, Held, Kind},
        site::setup,
    },
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tokio::time::sleep,
};

/// Interval between two looks at the process.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
/// Interval between two ordinary requests.
const REQUEST_INTERVAL: Duration = Duration::from_millis(100);
/// Time limit of an ordinary request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum number of ordinary requests beside a crowd, and after it.
const MAX_REQUESTS: u64 = 300;

/// The listener that a crowd is sent to.
#[derive(Clone, Copy, derive_more::FromStr)]
enum Target {
    Callers,
    Ready,
    Control,
    Metrics,
}

/// Result of one play.
#[derive(Default, Serialize)]
struct Report {
    kind: String,
    /// Bytes that the process held before the crowd came.
    calm: u64,
    /// Whether single requests at the limits were served before the crowd came.
    calm_served: bool,
    /// The most resident and unread bytes at one moment.
    peak: u64,
    /// The most unread bytes.
    unread: u64,
    /// The most descriptors.
    descriptors: u64,
    /// Ordinary requests beside the crowd, and how many of them succeeded.
    requests: u64,
    served: u64,
    /// Whether an ordinary request and the readiness check succeeded beside the crowd.
    served_beside: bool,
    ready_beside: bool,
    /// Whether an ordinary request succeeded after the crowd had gone.
    served_after: bool,
    /// Whether the process ran to the end and ended in order when it was told to.
    ended_well: bool,
}

/// Runs `standin crowd`.
pub async fn command(mut args: lexopt::Parser) -> Result<()> {
    let mut options = Options::new()?;
    (options.members, options.workers, options.customers) = (1, 8, false);
    (options.timed, options.memory_mb, options.max_fds) = (false, 64, 300);
    let (mut kind, mut target, mut count) = (Kind::Mixed, Target::Callers, 400);
    let mut hold = Duration::from_secs(8);
    while let Some(arg) = args.next()? {
        match arg {
            Long("kind") => kind = args.value()?.parse()?,
            Long("to") => target = args.value()?.parse()?,
            Long("clients") => count = args.value()?.parse()?,
            Long("seconds") => hold = Duration::from_secs(args.value()?.parse()?),
            Long("memory") => options.memory_mb = args.value()?.parse()?,
            Long("descriptors") => options.max_fds = args.value()?.parse()?,
            Long("binary") => options.binary = args.value()?.into(),
            _ => return Err(arg.unexpected().into()),
        }
    }
    options.dir.push(format!("crowd-{kind}-{}", std::process::id()));
    std::fs::create_dir_all(&options.dir)?;
    let report = play(&options, kind, target, count, hold).await?;
    println!("{}", serde_json::to_string_pretty(&report)?);
    Ok(())
}

async fn play(
    options: &Options,
    kind: Kind,
    target: Target,
    count: usize,
    hold: Duration,
) -> Result<Report> {
    let stage = Stage::new(options);
    let serving = serve::start(&stage, options).await?;
    stage.update(|s| s.reconfigure(|queues, _| queues.max_body = crowd::BODY));
    let members = Members::start(options, &stage, &serving).await?;
    let site = members.site(0);
    let to = match target {
        Target::Callers => site.caller_addr,
        Target::Ready => site.ready_addr,
        Target::Control => site.control_addr,
        Target::Metrics => metrics_addr(&site),
    };
    let mut report = Report { kind: kind.to_string(), ..Report::default() };
    // The first request makes the member open its connections to the store.
    request_until_served(site.caller_addr, &mut Report::default()).await;
    report.calm_served = serves_single(site.caller_addr).await;
    report.calm = members.held(0).unwrap_or_default().resident;
    let over = Arc::new(AtomicBool::new(false));
    let sampler = tokio::spawn(sample(members.clone(), over.clone()));
    let crowd = Crowd::start(kind, to, count, hold);
    let (mut beside, begin) = (Report::default(), tokio::time::Instant::now());
    let client = Client::new(0);
    while begin.elapsed() < hold && beside.requests < MAX_REQUESTS {
        beside.served += u64::from(request(&client, site.caller_addr, beside.requests).await);
        beside.requests += 1;
        beside.ready_beside |= is_ready(&client, site.ready_addr).await;
        sleep(REQUEST_INTERVAL).await;
    }
    drop(crowd);
    report.served_after = request_until_served(site.caller_addr, &mut Report::default()).await;
    (report.requests, report.served) = (beside.requests, beside.served);
    (report.served_beside, report.ready_beside) = (beside.served > 0, beside.ready_beside);
    over.store(true, Ordering::Relaxed);
    let most = sampler.await?;
    (report.peak, report.unread, report.descriptors) = (most.peak, most.unread, most.descriptors);
    report.ended_well = members.ends_well(0).await;
    Ok(report)
}

/// Returns the most that the process of the first member holds at a time until `over`; `peak` is the
/// sum of resident and unread bytes.
async fn sample(members: Members, over: Arc<AtomicBool>) -> Held {
    let mut most = Held::default();
    while !over.load(Ordering::Relaxed) {
        if let Some(held) = members.held(0) {
            most.peak = most.peak.max(held.peak).max(held.resident + held.unread);
            most.unread = most.unread.max(held.unread);
            most.descriptors = most.descriptors.max(held.descriptors);
        }
        sleep(SAMPLE_INTERVAL).await;
    }
    most
}

async fn request_until_served(to: SocketAddr, report: &mut Report) -> bool {
    let client = Client::new(0);
    for no in 0..MAX_REQUESTS {
        report.requests += 1;
        if request(&client, to, MAX_REQUESTS + no).await {
            return true;
        }
        sleep(REQUEST_INTERVAL).await;
    }
    false
}

/// Submits, one after the other, a job with the largest body and one with a head of 30 KB; returns
/// whether both are accepted.
async fn serves_single(to: SocketAddr) -> bool {
    let mut blanks = jobs::minimal(1).to_vec();
    blanks.resize(crowd::BODY, b' ');
    let requests = [
        Request::post(uri(to, "/plain/0a12000000000001")).body(Full::from(blanks)),
        Request::post(uri(to, "/plain/0a12000000000002"))
            .header("x-long", "x".repeat(30_000))
            .body(Full::new(jobs::minimal(1))),
    ];
    let client = Client::new(0);
    for request in requests {
        if !send(&client, request).await {
            return false;
        }
    }
    true
}

/// Submits a small job; returns whether it is accepted.
async fn request(client: &Client, to: SocketAddr, no: u64) -> bool {
    let job = setup::job([setup::step(1, 20)]);
    let path = format!("/plain/{:016x}", 0x0a11_0000_0000_0000 + no);
    let request = Request::post(uri(to, &path))
        .header(jobs::DEADLINE_HEADER, "3000")
        .body(Full::new(jobs::job(&job)));
    send(client, request).await
}

async fn is_ready(client: &Client, to: SocketAddr) -> bool {
    send(client, Request::get(uri(to, jobs::READY_PATH)).body(Full::default())).await
}

async fn send(client: &Client, request: hyper::http::Result<Request<Full<Bytes>>>) -> bool {
    let Ok(request) = request else { return false };
    let answer = client.send(request, REQUEST_TIMEOUT).await;
    answer.is_ok_and(|(head, _)| Response::from_parts(head, ()).status().is_success())
}
