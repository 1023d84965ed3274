//! An open-loop load generator, which counts the result of each request.
//!
//! Requests become due at a fixed rate, whether or not earlier ones were answered. A latency is
//! measured from the time at which its request was due, so a stall shows in all requests that it
//! delayed.

use {
    crate::Result,
    bytes::Bytes,
    dogwoodreach::http::{
        CALLER, Client, DEADLINE, EPOCH, Failure, KEY, LEASE, RAN, REASON, REQUEST, RUN, uri,
    },
    hdrhistogram::Histogram,
    http_body_util::Full,
    hyper::{HeaderMap, Request, http::request::Builder},
    lexopt::prelude::*,
    serde::Serialize,
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        sync::{
            Arc, Mutex,
            atomic::{AtomicU32, AtomicUsize, Ordering},
        },
        time::{Duration, Instant},
    },
    tokio::time::{MissedTickBehavior, interval, sleep},
};

/// Interval at which due requests are sent; far below the latencies that matter.
const SEND_INTERVAL: Duration = Duration::from_millis(1);
/// Additional time that the client waits for an answer after the deadline.
const ANSWER_SLACK: Duration = Duration::from_secs(2);
/// The balancer excludes a member for this long after a connection to it failed.
const EXCLUSION_TIME: Duration = Duration::from_secs(1);
/// Upper bound of the latency histograms.
const MAX_LATENCY_US: u64 = 120_000_000;
/// Initial part of the load that doesn't count for the goodput, since no answer can arrive before
/// the first run ends.
const WARM_UP: Duration = Duration::from_secs(1);
/// Size of a request body in bytes, as of a premium calculation.
const BODY_BYTES: usize = 256;
/// Maximum number of requests without an answer. Beyond this the tool itself is overloaded, and
/// requests count as "load tool full".
const MAX_OPEN: usize = 20_000;

/// Configuration of a load.
#[derive(Clone, Debug)]
pub struct Load {
    /// The members' caller addresses, used in turn; with `direct`, the workers' addresses.
    pub to: Vec<SocketAddr>,
    /// Whether `to` lists workers. A request then goes to the one with the fewest open requests.
    pub direct: bool,
    /// Name of the service.
    pub service: Box<str>,
    /// Requests per second.
    pub rate: f64,
    /// Time during which requests become due.
    pub time: Duration,
    /// Run time of each request at the worker.
    pub run: Duration,
    /// Number of callers.
    pub callers: u64,
    /// Deadline of each request.
    pub deadline: Duration,
    /// Share of requests that carry a unique idempotency key, 0 to 1.
    pub keys: f64,
}

/// Results of a load.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Outcome {
    /// Requests that became due.
    pub due: u64,
    /// Complete answers to the right request within the deadline.
    pub good: u64,
    /// Complete answers after the deadline.
    pub late: u64,
    /// Answers that were incomplete or belonged to another request.
    pub wrong: u64,
    /// Answers by status.
    pub statuses: BTreeMap<u16, u64>,
    /// Refusals and errors by reason.
    pub reasons: BTreeMap<Box<str>, u64>,
    /// Refusals that state that the request was not run.
    pub not_run: u64,
    /// Errors that leave open whether the request was run.
    pub unknown: u64,
    /// Requests that were sent to another member since no connection could be opened.
    pub rerouted: u64,
    /// Good answers per second, without the first second of the load.
    pub goodput: f64,
    /// Latencies of good answers in milliseconds: p50, p90, p99, p99.9 and the maximum.
    pub latency: [f64; 5],
    /// Latencies of all other ends, in the same form.
    pub refusal: [f64; 5],
    /// Number of good and other ends among the requests that became due in each second.
    pub seconds: Vec<(u64, u64)>,
}

struct Shared {
    load: Load,
    client: Client,
    started_at: Instant,
    /// Random number that makes this run's keys differ from those of other runs.
    run: u64,
    open_total: AtomicUsize,
    open_by_target: Vec<AtomicU32>,
    excluded_at: Mutex<Vec<Option<Instant>>>,
    sums: Mutex<Sums>,
}

struct Sums {
    outcome: Outcome,
    warm: u64,
    good: Histogram<u64>,
    bad: Histogram<u64>,
}

/// Runs `standin load`. Errs on invalid arguments.
pub async fn command(mut args: lexopt::Parser) -> Result<()> {
    let mut load = Load {
        to: vec![],
        direct: false,
        service: "".into(),
        rate: 100.0,
        time: Duration::from_secs(10),
        run: Duration::from_millis(5),
        callers: 10,
        deadline: Duration::from_secs(2),
        keys: 0.0,
    };
    let mut json = false;
    let millis = |v: u64| Duration::from_millis(v);
    while let Some(arg) = args.next()? {
        match arg {
            Long("to") => load.to = addrs(&args.value()?.string()?)?,
            Long("direct") => (load.to, load.direct) = (addrs(&args.value()?.string()?)?, true),
            Long("service") => load.service = args.value()?.string()?.into(),
            Long("rate") => load.rate = args.value()?.parse()?,
            Long("seconds") => load.time = Duration::from_secs(args.value()?.parse()?),
            Long("run-ms") => load.run = millis(args.value()?.parse()?),
            Long("callers") => load.callers = args.value()?.parse()?,
            Long("deadline-ms") => load.deadline = millis(args.value()?.parse()?),
            Long("keys") => load.keys = args.value()?.parse()?,
            Long("json") => json = true,
            _ => return Err(arg.unexpected().into()),
        }
    }
    if load.to.is_empty() || (load.service.is_empty() && !load.direct) || load.rate <= 0.0 {
        return Err("--to and --service, or --direct; and a --rate above 0".into());
    }
    let outcome = run(load).await;
    match json {
        true => println!("{}", serde_json::to_string(&outcome)?),
        false => outcome.print(),
    }
    Ok(())
}

fn addrs(list: &str) -> Result<Vec<SocketAddr>> {
    Ok(list.split(',').map(str::parse).collect::<std::result::Result<_, _>>()?)
}

/// Sends the load and waits for the last answer.
pub async fn run(load: Load) -> Outcome {
    let histogram =
        || Histogram::new_with_bounds(1, MAX_LATENCY_US, 3).expect("the bounds are sound");
    let sums = Sums { outcome: Outcome::default(), warm: 0, good: histogram(), bad: histogram() };
    let shared = Arc::new(Shared {
        client: Client::new(MAX_OPEN),
        started_at: Instant::now(),
        run: fastrand::u64(..),
        open_total: AtomicUsize::new(0),
        open_by_target: load.to.iter().map(|_| AtomicU32::new(0)).collect(),
        excluded_at: Mutex::new(vec![None; load.to.len()]),
        sums: Mutex::new(sums),
        load,
    });
    let mut ticks = interval(SEND_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
    let mut n = 0;
    loop {
        ticks.tick().await;
        let due = |n: u64| Duration::from_secs_f64(n as f64 / shared.load.rate);
        while due(n) < shared.started_at.elapsed().min(shared.load.time) {
            let at = shared.started_at + due(n);
            tokio::spawn(shared.clone().request(n, at));
            n += 1;
        }
        if due(n) >= shared.load.time {
            break;
        }
    }
    while Arc::strong_count(&shared) > 1 {
        sleep(SEND_INTERVAL).await;
    }
    let sums = shared.sums.lock().expect("no holder panics");
    let mut outcome = sums.outcome.clone();
    let warm = shared.load.time.saturating_sub(WARM_UP).as_secs_f64();
    outcome.goodput = sums.warm as f64 / warm.max(f64::MIN_POSITIVE);
    outcome.latency = quantiles(&sums.good);
    outcome.refusal = quantiles(&sums.bad);
    outcome
}

fn quantiles(h: &Histogram<u64>) -> [f64; 5] {
    [0.5, 0.9, 0.99, 0.999, 1.0].map(|q| h.value_at_quantile(q) as f64 / 1000.0)
}

/// Result of one request.
enum End {
    Answer(u16, HeaderMap, bool),
    Failed(Failure),
    Full,
}

impl Shared {
    async fn request(self: Arc<Self>, n: u64, due: Instant) {
        let end = if self.open_total.fetch_add(1, Ordering::Relaxed) < MAX_OPEN {
            self.send(n).await
        } else {
            End::Full
        };
        self.open_total.fetch_sub(1, Ordering::Relaxed);
        self.count(due, end);
    }

    async fn send(&self, n: u64) -> End {
        let body = body(n);
        let limit = self.load.deadline + ANSWER_SLACK;
        for shift in 0..self.load.to.len() {
            let at = self.pick(n as usize + shift);
            let addr = self.load.to[at];
            let request = if self.load.direct { self.direct(addr, n) } else { self.call(addr, n) };
            let request = request.body(Full::new(body.clone())).expect("the parts are well-formed");
            self.open_by_target[at].fetch_add(1, Ordering::Relaxed);
            let sent = self.client.send(request, limit).await;
            self.open_by_target[at].fetch_sub(1, Ordering::Relaxed);
            match sent {
                Ok((head, got)) => {
                    let whole = got == body && head.headers.contains_key(REQUEST);
                    return End::Answer(head.status.as_u16(), head.headers, whole);
                }
                // The request was certainly not sent, so the balancer tries the next member, as the
                // platform's does.
                Err(Failure::Unsent) if !self.load.direct => {
                    self.excluded_at.lock().expect("no holder panics")[at] = Some(Instant::now());
                    self.sums.lock().expect("no holder panics").outcome.rerouted += 1;
                }
                Err(failure) => return End::Failed(failure),
            }
        }
        End::Failed(Failure::Unsent)
    }

    /// Selects the next member that isn't excluded, or the worker with the fewest open requests.
    fn pick(&self, n: usize) -> usize {
        let len = self.load.to.len();
        let turns = (0..len).map(|i| (n + i) % len);
        if self.load.direct {
            let open = |i: &usize| self.open_by_target[*i].load(Ordering::Relaxed);
            return turns.min_by_key(open).unwrap_or(0);
        }
        let out = self.excluded_at.lock().expect("no holder panics");
        let up = |i: &usize| out[*i].is_none_or(|at| at.elapsed() > EXCLUSION_TIME);
        turns.clone().find(up).unwrap_or(n % len)
    }

    fn call(&self, addr: SocketAddr, n: u64) -> Builder {
        let load = &self.load;
        let b = Request::post(uri(addr, &format!("/{}/load", load.service)))
            .header(CALLER, format!("caller-{}", n % load.callers.max(1)))
            .header(DEADLINE, load.deadline.as_millis().to_string())
            .header(RUN, load.run.as_millis().to_string());
        // Keys are spread evenly: a request gets one whenever the cumulative share passes an
        // integer.
        let keyed = ((n + 1) as f64 * load.keys).floor() > (n as f64 * load.keys).floor();
        if keyed { b.header(KEY, format!("load-{:016x}-{n}", self.run)) } else { b }
    }

    fn direct(&self, addr: SocketAddr, n: u64) -> Builder {
        let id = fastrand::u64(..);
        Request::post(uri(addr, "/v1/run"))
            .header(REQUEST, format!("{:032x}", u128::from(id) << 64 | u128::from(n)))
            .header(EPOCH, "0")
            .header(LEASE, self.load.deadline.as_millis().to_string())
            .header(RUN, self.load.run.as_millis().to_string())
    }

    fn count(&self, due: Instant, end: End) {
        let elapsed = due.elapsed();
        let micros =
            u64::try_from(elapsed.as_micros()).unwrap_or(MAX_LATENCY_US).clamp(1, MAX_LATENCY_US);
        let second = (due - self.started_at).as_secs() as usize;
        let mut sums = self.sums.lock().expect("no holder panics");
        let s = &mut *sums;
        let o = &mut s.outcome;
        o.due += 1;
        let mut good = false;
        match end {
            End::Answer(status, _, whole) if status == 200 => {
                *o.statuses.entry(status).or_default() += 1;
                good = whole && elapsed <= self.load.deadline;
                match whole {
                    false => o.wrong += 1,
                    true if good => o.good += 1,
                    true => o.late += 1,
                }
            }
            End::Answer(status, head, _) => {
                *o.statuses.entry(status).or_default() += 1;
                let text = |name| head.get(name).and_then(|v| v.to_str().ok());
                let reason = text(REASON).unwrap_or("none").into();
                *o.reasons.entry(reason).or_default() += 1;
                let not_run = text(RAN) == Some("no");
                *if not_run { &mut o.not_run } else { &mut o.unknown } += 1;
            }
            End::Failed(failure) => {
                let reason = format!("connection {failure:?}").to_lowercase();
                *o.reasons.entry(reason.into()).or_default() += 1;
                let unsent = failure == Failure::Unsent;
                *if unsent { &mut o.not_run } else { &mut o.unknown } += 1;
            }
            End::Full => *o.reasons.entry("load tool full".into()).or_default() += 1,
        }
        if o.seconds.len() <= second {
            o.seconds.resize(second + 1, (0, 0));
        }
        let window = WARM_UP..self.load.time;
        s.warm += u64::from(good && window.contains(&self.started_at.elapsed()));
        let slot = &mut o.seconds[second];
        *if good { &mut slot.0 } else { &mut slot.1 } += 1;
        let histogram = if good { &mut s.good } else { &mut s.bad };
        histogram.record(micros).expect("the value is within the bounds");
    }
}

/// A body that differs between requests.
fn body(n: u64) -> Bytes {
    let mut rng = fastrand::Rng::with_seed(n);
    let mut text = format!("{n:016x} ");
    text.extend(std::iter::repeat_with(|| rng.alphanumeric()).take(BODY_BYTES - text.len()));
    text.into()
}

impl Outcome {
    /// Refusals and errors by reason, in one line.
    pub fn reasons_line(&self) -> String {
        let each = self.reasons.iter().map(|(r, n)| format!("{r} {n}"));
        let all = each.collect::<Vec<_>>().join(", ");
        if all.is_empty() { "none".into() } else { all }
    }

    fn print(&self) {
        println!(
            "due {}, good {}, late {}, wrong {}, not run {}, unknown {}, rerouted {}",
            self.due, self.good, self.late, self.wrong, self.not_run, self.unknown, self.rerouted
        );
        println!(
            "goodput {:.0}/s; statuses {:?}; reasons: {}",
            self.goodput,
            self.statuses,
            self.reasons_line()
        );
        println!(
            "ms at p50, p90, p99, p99.9, max: good {:?}, others {:?}",
            self.latency, self.refusal
        );
    }
}
