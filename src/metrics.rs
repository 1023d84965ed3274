//! The counters and levels of a member, and the pages that show them.

use {
    crate::{
        error::Kind,
        event::Verdict,
        http::answer,
        shard::{Cause, Tally},
    },
    bytes::Bytes,
    http_body_util::Full,
    hyper::Response,
    prometheus::{
        GaugeVec, Histogram, HistogramOpts, HistogramVec, IntCounter, IntCounterVec, IntGauge,
        IntGaugeVec, Opts, Registry, TextEncoder, core::Collector,
    },
    std::{collections::BTreeMap, time::Duration},
};

/// The bounds of the times of jobs, in seconds.
const TIMES: [f64; 13] = [0.05, 0.1, 0.2, 0.4, 0.7, 1.0, 1.5, 2.0, 3.0, 5.0, 10.0, 20.0, 60.0];

/// The bounds of the times of calls, in seconds: a quiet store answers within 10 ms.
const CALLS: [f64; 9] = [0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0];

/// The metrics of a member.
pub struct Metrics {
    registry: Registry,
    verdicts: IntCounterVec,
    retries: IntCounterVec,
    /// KV calls by kind and outcome.
    pub kv: IntCounterVec,
    calls: IntCounterVec,
    /// Messages dropped because a ring was full, by ring.
    pub full: IntCounterVec,
    bytes: IntCounterVec,
    levels: IntGaugeVec,
    ready: IntGauge,
    wait: Histogram,
    starts: IntCounterVec,
    ends: IntCounterVec,
    moves: IntCounterVec,
    waiting: IntGaugeVec,
    ages: IntGaugeVec,
    away: GaugeVec,
    times: HistogramVec,
    unanswered: IntCounterVec,
    noted: IntCounter,
    answers: HistogramVec,
    received: IntCounterVec,
}

impl Metrics {
    /// All metrics, at zero. Every kind of refusal and retry is there from the start.
    pub fn new() -> Self {
        let counter = |name: &str, help: &str, label: &str| {
            IntCounterVec::new(Opts::new(name, help), &[label]).expect("the names are well-formed")
        };
        let m = Metrics {
            registry: Registry::new(),
            verdicts: counter(
                "dwr_verdicts_total",
                "Final answers to callers by reason.",
                "reason",
            ),
            retries: counter("dwr_retries_total", "Dispatches made again by reason.", "reason"),
            kv: counter("dwr_kv_calls_total", "Calls of the key-value service.", "call"),
            calls: IntCounterVec::new(
                Opts::new("dwr_calls_total", "Calls of the outside by kind and answer."),
                &["call", "answer"],
            )
            .expect("the names are well-formed"),
            full: counter("dwr_ring_full_total", "Messages dropped at a full ring.", "ring"),
            bytes: counter("dwr_control_bytes_total", "Bytes sent for control.", "duty"),
            levels: IntGaugeVec::new(Opts::new("dwr_level", "Levels of a member."), &["what"])
                .expect("the names are well-formed"),
            ready: IntGauge::new("dwr_ready", "Whether callers are served.")
                .expect("the names are well-formed"),
            wait: Histogram::with_opts(HistogramOpts::new(
                "dwr_answer_seconds",
                "From a request to its final answer.",
            ))
            .expect("the names are well-formed"),
            starts: counter("dwr_step_starts_total", "First starts of steps by delay.", "reason"),
            ends: counter("dwr_run_ends_total", "Ends of runs taken in by how.", "how"),
            moves: counter("dwr_shard_moves_total", "What became of shards here.", "what"),
            waiting: IntGaugeVec::new(
                Opts::new("dwr_waiting_tasks", "Tasks that could start and wait."),
                &["priority"],
            )
            .expect("the names are well-formed"),
            ages: IntGaugeVec::new(
                Opts::new("dwr_age_milliseconds", "How old what is known is."),
                &["what"],
            )
            .expect("the names are well-formed"),
            away: GaugeVec::new(
                Opts::new("dwr_away_seconds", "The longest that a lasting task is away."),
                &["cause"],
            )
            .expect("the names are well-formed"),
            times: HistogramVec::new(
                HistogramOpts::new("dwr_job_seconds", "From a job's coming to what befell it.")
                    .buckets(TIMES.to_vec()),
                &["to"],
            )
            .expect("the names are well-formed"),
            unanswered: counter(
                "dwr_orders_unanswered_total",
                "Orders to workers that had no answer.",
                "order",
            ),
            noted: IntCounter::new("dwr_ends_noted_total", "Ends that workers may forget.")
                .expect("the names are well-formed"),
            received: IntCounterVec::new(
                Opts::new("dwr_received_bytes_total", "Bytes of the outside's answers."),
                &["call", "answer"],
            )
            .expect("the names are well-formed"),
            answers: HistogramVec::new(
                HistogramOpts::new("dwr_call_seconds", "How long answers of the outside took.")
                    .buckets(CALLS.to_vec()),
                &["call"],
            )
            .expect("the names are well-formed"),
        };
        for kind in Kind::ALL {
            m.verdicts.with_label_values(&[kind.answer().label]);
            m.retries.with_label_values(&[kind.answer().label]);
        }
        let all: [Box<dyn Collector>; 20] = [
            Box::new(m.verdicts.clone()),
            Box::new(m.retries.clone()),
            Box::new(m.kv.clone()),
            Box::new(m.calls.clone()),
            Box::new(m.full.clone()),
            Box::new(m.bytes.clone()),
            Box::new(m.levels.clone()),
            Box::new(m.ready.clone()),
            Box::new(m.wait.clone()),
            Box::new(m.starts.clone()),
            Box::new(m.ends.clone()),
            Box::new(m.moves.clone()),
            Box::new(m.waiting.clone()),
            Box::new(m.ages.clone()),
            Box::new(m.away.clone()),
            Box::new(m.times.clone()),
            Box::new(m.unanswered.clone()),
            Box::new(m.noted.clone()),
            Box::new(m.answers.clone()),
            Box::new(m.received.clone()),
        ];
        for c in all {
            m.registry.register(c).expect("no name is taken twice");
        }
        m
    }

    /// Counts a final answer.
    pub fn verdict(&self, verdict: &Verdict) {
        let label = verdict.as_ref().map_or_else(|e| e.kind().answer().label, |_| "answered");
        self.verdicts.with_label_values(&[label]).inc();
    }

    /// Counts a refusal made before the decisions' duty.
    pub fn refused(&self, kind: Kind) {
        self.verdicts.with_label_values(&[kind.answer().label]).inc();
    }

    /// Counts a dispatch made again.
    pub fn retry(&self, kind: Kind) {
        self.retries.with_label_values(&[kind.answer().label]).inc();
    }

    /// Counts the bytes of a message that a duty sends for control, without its headers.
    pub fn sent(&self, duty: &str, bytes: usize) {
        self.bytes.with_label_values(&[duty]).inc_by(bytes as u64);
    }

    /// Counts a call of the outside and how it was answered.
    pub fn called(&self, call: &str, answer: &str) {
        self.calls.with_label_values(&[call, answer]).inc();
    }

    /// Counts the bytes of an answer of the outside.
    pub fn received(&self, call: &str, answer: &str, bytes: usize) {
        self.received.with_label_values(&[call, answer]).inc_by(bytes as u64);
    }

    /// All calls of the outside so far by kind, for the log of a member whose metrics nobody reads.
    pub fn calls(&self) -> Box<str> {
        sums(&self.calls, |call, _| call.into())
    }

    /// The bytes of all answers of the outside so far by kind and answer, for the same log.
    pub fn all_received(&self) -> Box<str> {
        sums(&self.received, |call, answer| format!("{call}/{answer}"))
    }

    /// Notes how long an answer of the outside took.
    pub fn answered_in(&self, call: &str, time: Duration) {
        self.answers.with_label_values(&[call]).observe(time.as_secs_f64());
    }

    /// Counts an order to a worker that had no answer.
    pub fn unanswered(&self, order: &str) {
        self.unanswered.with_label_values(&[order]).inc();
    }

    /// Notes whether callers are served.
    pub fn ready(&self, ready: bool) {
        self.ready.set(i64::from(ready));
    }

    /// Notes one level.
    pub fn level(&self, what: &str, n: usize) {
        self.levels.with_label_values(&[what]).set(i64::try_from(n).unwrap_or(i64::MAX));
    }

    /// Counts a final answer other than an error.
    pub fn answered(&self) {
        self.verdicts.with_label_values(&["answered"]).inc();
    }

    /// Counts what became of a shard here: taken over, lost, released, deposed, settled.
    pub fn moved(&self, what: &str) {
        self.moves.with_label_values(&[what]).inc();
    }

    /// Adds what a shard has done.
    pub fn tally(&self, tally: &Tally) {
        for (reason, n) in &tally.starts {
            self.starts.with_label_values(&[reason]).inc_by(*n);
        }
        for (how, n) in &tally.ends {
            self.ends.with_label_values(&[how]).inc_by(*n);
        }
        self.noted.inc_by(tally.noted);
        let times = |to: &str, all: &[Duration]| {
            let histogram = self.times.with_label_values(&[to]);
            all.iter().for_each(|t| histogram.observe(t.as_secs_f64()));
        };
        times("start", &tally.first);
        times("completion", &tally.done);
    }

    /// Notes how many tasks wait, by priority; what isn't named has none.
    pub fn waiting(&self, by_priority: &BTreeMap<u8, usize>) {
        self.waiting.reset();
        for (priority, n) in by_priority {
            let n = i64::try_from(*n).unwrap_or(i64::MAX);
            self.waiting.with_label_values(&[&priority.to_string()]).set(n);
        }
    }

    /// Notes the longest that a lasting task is away, by cause; what isn't named has none.
    pub fn away(&self, by_cause: &BTreeMap<Cause, Duration>) {
        self.away.reset();
        for (cause, time) in by_cause {
            self.away.with_label_values(&[&cause.to_string()]).set(time.as_secs_f64());
        }
    }

    /// Notes how old something is that is known here.
    pub fn age(&self, what: &str, age: Duration) {
        let ms = i64::try_from(age.as_millis()).unwrap_or(i64::MAX);
        self.ages.with_label_values(&[what]).set(ms);
    }

    /// Notes how long a request took.
    pub fn took(&self, time: Duration) {
        self.wait.observe(time.as_secs_f64());
    }

    /// Notes the levels.
    pub fn state(&self, racks: usize, buckets: usize, version: u64, requests: usize, ready: bool) {
        let set = |what: &str, n: usize| {
            let n = i64::try_from(n).unwrap_or(i64::MAX);
            self.levels.with_label_values(&[what]).set(n);
        };
        set("racks", racks);
        set("buckets", buckets);
        set("requests", requests);
        set("version", usize::try_from(version).unwrap_or(usize::MAX));
        self.ready.set(i64::from(ready));
    }

    /// The page at `path`: `/metrics`, or `/ready` for the balancer.
    pub fn page(&self, path: &str) -> Response<Full<Bytes>> {
        match path {
            "/metrics" => match TextEncoder::new().encode_to_string(&self.registry.gather()) {
                Ok(text) => answer(200, text),
                Err(e) => answer(500, e.to_string()),
            },
            "/ready" if self.ready.get() == 1 => answer(200, "ready\n"),
            "/ready" => answer(503, "not ready\n"),
            _ => answer(404, "no such page\n"),
        }
    }
}

/// A counter of calls, summed by what `name` makes of each call and answer.
fn sums(counter: &IntCounterVec, name: impl Fn(&str, &str) -> String) -> Box<str> {
    let mut sums: BTreeMap<String, u64> = BTreeMap::new();
    for metric in counter.collect().iter().flat_map(|family| family.get_metric()) {
        let label = |key: &str| metric.get_label().iter().find(|l| l.name() == key);
        let text = |key| label(key).map_or("", |l| l.value());
        let n = metric.get_counter().get_value() as u64;
        *sums.entry(name(text("call"), text("answer"))).or_default() += n;
    }
    let all: Vec<String> = sums.iter().map(|(name, n)| format!("{name}:{n}")).collect();
    all.join(",").into()
}

impl Default for Metrics {
    fn default() -> Self {
        Metrics::new()
    }
}
