//! The counters, gauges and histograms of a member, and the HTTP pages that export them.

use {
    crate::{
        error::Kind,
        event::Verdict,
        http::answer,
        shard::{Cause, RackGain, Stats},
    },
    bytes::Bytes,
    http_body_util::Full,
    hyper::Response,
    prometheus::{
        Counter, CounterVec, GaugeVec, Histogram, HistogramOpts, HistogramVec, IntCounter,
        IntCounterVec, IntGauge, IntGaugeVec, Opts, Registry, TextEncoder, core::Collector,
    },
    std::{collections::BTreeMap, time::Duration},
};

/// The histogram buckets of job times, in seconds.
const JOB_BUCKETS: [f64; 13] =
    [0.05, 0.1, 0.2, 0.4, 0.7, 1.0, 1.5, 2.0, 3.0, 5.0, 10.0, 20.0, 60.0];

/// The histogram buckets of call times, in seconds: an idle store answers within 10 ms.
const CALL_BUCKETS: [f64; 9] = [0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0];

/// The metrics of a member.
pub struct Metrics {
    registry: Registry,
    verdicts: IntCounterVec,
    retry_counts: IntCounterVec,
    /// Calls of the key-value service by kind and outcome.
    pub kv_calls: IntCounterVec,
    call_counts: IntCounterVec,
    /// Messages dropped because a ring was full, by ring.
    pub ring_full: IntCounterVec,
    control_bytes: IntCounterVec,
    levels: IntGaugeVec,
    ready_gauge: IntGauge,
    answer_seconds: Histogram,
    step_starts: IntCounterVec,
    job_outcomes: IntCounterVec,
    run_ends: IntCounterVec,
    lost_runs: IntCounterVec,
    cut_off_lists: IntCounter,
    cancels: IntCounterVec,
    cancel_requests: IntCounterVec,
    shard_moves: IntCounterVec,
    waiting_tasks: IntGaugeVec,
    ages: IntGaugeVec,
    away_seconds: GaugeVec,
    job_seconds: HistogramVec,
    unanswered_orders: IntCounterVec,
    ends_noted: IntCounter,
    unstored_polls: IntCounter,
    shard_writes: IntCounterVec,
    end_stored_seconds: Histogram,
    division_writes: IntCounter,
    over_quota_jobs: IntCounter,
    customers: IntGaugeVec,
    preemptions: IntCounterVec,
    preemption_cost: Counter,
    rack_waits: IntCounterVec,
    rack_wait_seconds: Counter,
    rack_gain_seconds: CounterVec,
    call_seconds: HistogramVec,
    received_bytes: IntCounterVec,
    clients: IntGaugeVec,
    limited_clients: IntCounterVec,
}

/// The metrics of a listener's clients.
pub(crate) struct ListenerMetrics {
    connections: IntGauge,
    held: IntGauge,
    limited: IntCounterVec,
    name: Box<str>,
}

impl ListenerMetrics {
    /// Sets the number of open connections and the bytes that their requests hold.
    pub fn set(&self, connections: usize, held: usize) {
        self.connections.set(i64::try_from(connections).unwrap_or(i64::MAX));
        self.held.set(i64::try_from(held).unwrap_or(i64::MAX));
    }

    /// Counts connections that were closed for a limit.
    pub fn count_limited(&self, limit: &str, count: u64) {
        self.limited.with_label_values(&[&*self.name, limit]).inc_by(count);
    }
}

impl Metrics {
    /// All metrics, at zero. Every kind of refusal and retry is exported from the start.
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
            retry_counts: counter(
                "dwr_retries_total",
                "Dispatches made again by reason.",
                "reason",
            ),
            kv_calls: counter("dwr_kv_calls_total", "Calls of the key-value service.", "call"),
            call_counts: IntCounterVec::new(
                Opts::new("dwr_calls_total", "Calls of the outside by kind and answer."),
                &["call", "answer"],
            )
            .expect("the names are well-formed"),
            ring_full: counter("dwr_ring_full_total", "Messages dropped at a full ring.", "ring"),
            control_bytes: counter("dwr_control_bytes_total", "Bytes sent for control.", "duty"),
            levels: IntGaugeVec::new(Opts::new("dwr_level", "Levels of a member."), &["what"])
                .expect("the names are well-formed"),
            ready_gauge: IntGauge::new("dwr_ready", "Whether callers are served.")
                .expect("the names are well-formed"),
            answer_seconds: Histogram::with_opts(HistogramOpts::new(
                "dwr_answer_seconds",
                "From a request to its final answer.",
            ))
            .expect("the names are well-formed"),
            step_starts: counter(
                "dwr_step_starts_total",
                "First starts of steps by delay.",
                "reason",
            ),
            job_outcomes: counter(
                "dwr_job_outcomes_total",
                "Completed jobs: in time, late, or too late.",
                "outcome",
            ),
            run_ends: counter("dwr_run_ends_total", "Ends of runs taken in by how.", "how"),
            lost_runs: counter("dwr_runs_lost_total", "Runs that count as lost by cause.", "cause"),
            cut_off_lists: IntCounter::new(
                "dwr_end_lists_cut_off_total",
                "Answers of workers that list only the first of their ends.",
            )
            .expect("the names are well-formed"),
            cancels: counter(
                "dwr_cancels_total",
                "Cancels that owners learnt of, by how they did.",
                "source",
            ),
            cancel_requests: counter(
                "dwr_cancel_requests_total",
                "Requests to cancel a job by what became of them.",
                "outcome",
            ),
            shard_moves: counter("dwr_shard_moves_total", "What became of shards here.", "what"),
            waiting_tasks: IntGaugeVec::new(
                Opts::new("dwr_waiting_tasks", "Tasks that could start and wait."),
                &["priority"],
            )
            .expect("the names are well-formed"),
            ages: IntGaugeVec::new(
                Opts::new("dwr_age_milliseconds", "How old what is known is."),
                &["what"],
            )
            .expect("the names are well-formed"),
            away_seconds: GaugeVec::new(
                Opts::new("dwr_away_seconds", "The longest that a lasting task is away."),
                &["cause"],
            )
            .expect("the names are well-formed"),
            job_seconds: HistogramVec::new(
                HistogramOpts::new("dwr_job_seconds", "From a job's coming to what befell it.")
                    .buckets(JOB_BUCKETS.to_vec()),
                &["to"],
            )
            .expect("the names are well-formed"),
            unanswered_orders: counter(
                "dwr_orders_unanswered_total",
                "Orders to workers that had no answer.",
                "order",
            ),
            ends_noted: IntCounter::new("dwr_ends_noted_total", "Ends that workers may forget.")
                .expect("the names are well-formed"),
            unstored_polls: IntCounter::new(
                "dwr_unstored_polls_total",
                "Holds sent to workers whose listed ends are not stored yet.",
            )
            .expect("the names are well-formed"),
            shard_writes: counter(
                "dwr_shard_writes_total",
                "Writes of shards, and the ends and other changes of jobs in them.",
                "what",
            ),
            end_stored_seconds: Histogram::with_opts(
                HistogramOpts::new(
                    "dwr_end_stored_seconds",
                    "From a job's end until it is stored.",
                )
                .buckets(CALL_BUCKETS.to_vec()),
            )
            .expect("the names are well-formed"),
            division_writes: IntCounter::new(
                "dwr_division_writes_total",
                "Writes of the divisions of customers' caps.",
            )
            .expect("the names are well-formed"),
            over_quota_jobs: IntCounter::new(
                "dwr_over_quota_jobs_total",
                "Jobs beyond their customer's quota.",
            )
            .expect("the names are well-formed"),
            customers: IntGaugeVec::new(
                Opts::new("dwr_customers", "Customers of the shards here by standing."),
                &["standing"],
            )
            .expect("the names are well-formed"),
            preemptions: counter(
                "dwr_preemptions_total",
                "Runs stopped for more urgent work.",
                "cause",
            ),
            preemption_cost: Counter::new(
                "dwr_preemption_cost_core_seconds_total",
                "Expected cost of these stops.",
            )
            .expect("the names are well-formed"),
            rack_waits: counter(
                "dwr_rack_waits_total",
                "Waits of steps for their rack by how they ended.",
                "outcome",
            ),
            rack_wait_seconds: Counter::new(
                "dwr_rack_wait_seconds_total",
                "Time that steps waited for their rack.",
            )
            .expect("the names are well-formed"),
            rack_gain_seconds: CounterVec::new(
                Opts::new(
                    "dwr_rack_gain_seconds_total",
                    "Run time saved by waits for racks: expected, gained and lost.",
                ),
                &["what"],
            )
            .expect("the names are well-formed"),
            clients: IntGaugeVec::new(
                Opts::new("dwr_clients", "Connections of clients, and bytes that requests hold."),
                &["listener", "what"],
            )
            .expect("the names are well-formed"),
            limited_clients: IntCounterVec::new(
                Opts::new("dwr_clients_limited_total", "Connections closed for a common limit."),
                &["listener", "limit"],
            )
            .expect("the names are well-formed"),
            received_bytes: IntCounterVec::new(
                Opts::new("dwr_received_bytes_total", "Bytes of the outside's answers."),
                &["call", "answer"],
            )
            .expect("the names are well-formed"),
            call_seconds: HistogramVec::new(
                HistogramOpts::new("dwr_call_seconds", "How long answers of the outside took.")
                    .buckets(CALL_BUCKETS.to_vec()),
                &["call"],
            )
            .expect("the names are well-formed"),
        };
        for kind in Kind::ALL {
            m.verdicts.with_label_values(&[kind.answer().label]);
            m.retry_counts.with_label_values(&[kind.answer().label]);
        }
        let all: [Box<dyn Collector>; 38] = [
            Box::new(m.verdicts.clone()),
            Box::new(m.retry_counts.clone()),
            Box::new(m.kv_calls.clone()),
            Box::new(m.call_counts.clone()),
            Box::new(m.ring_full.clone()),
            Box::new(m.control_bytes.clone()),
            Box::new(m.levels.clone()),
            Box::new(m.ready_gauge.clone()),
            Box::new(m.answer_seconds.clone()),
            Box::new(m.step_starts.clone()),
            Box::new(m.job_outcomes.clone()),
            Box::new(m.run_ends.clone()),
            Box::new(m.lost_runs.clone()),
            Box::new(m.cut_off_lists.clone()),
            Box::new(m.cancels.clone()),
            Box::new(m.cancel_requests.clone()),
            Box::new(m.shard_moves.clone()),
            Box::new(m.waiting_tasks.clone()),
            Box::new(m.ages.clone()),
            Box::new(m.away_seconds.clone()),
            Box::new(m.job_seconds.clone()),
            Box::new(m.unanswered_orders.clone()),
            Box::new(m.ends_noted.clone()),
            Box::new(m.unstored_polls.clone()),
            Box::new(m.shard_writes.clone()),
            Box::new(m.end_stored_seconds.clone()),
            Box::new(m.division_writes.clone()),
            Box::new(m.over_quota_jobs.clone()),
            Box::new(m.customers.clone()),
            Box::new(m.preemptions.clone()),
            Box::new(m.preemption_cost.clone()),
            Box::new(m.rack_waits.clone()),
            Box::new(m.rack_wait_seconds.clone()),
            Box::new(m.rack_gain_seconds.clone()),
            Box::new(m.call_seconds.clone()),
            Box::new(m.received_bytes.clone()),
            Box::new(m.clients.clone()),
            Box::new(m.limited_clients.clone()),
        ];
        for c in all {
            m.registry.register(c).expect("no name is taken twice");
        }
        m
    }

    /// Counts a final answer.
    pub fn count_verdict(&self, verdict: &Verdict) {
        let label = verdict.as_ref().map_or_else(|e| e.kind().answer().label, |_| "answered");
        self.verdicts.with_label_values(&[label]).inc();
    }

    /// Counts a request refused before it reached the deciding thread.
    pub fn count_refusal(&self, kind: Kind) {
        self.verdicts.with_label_values(&[kind.answer().label]).inc();
    }

    /// Counts a retried dispatch.
    pub fn count_retry(&self, kind: Kind) {
        self.retry_counts.with_label_values(&[kind.answer().label]).inc();
    }

    /// Counts the bytes of a control message that a duty (a thread of a member) sends, without its
    /// headers.
    pub fn count_sent(&self, duty: &str, bytes: usize) {
        self.control_bytes.with_label_values(&[duty]).inc_by(bytes as u64);
    }

    /// Counts a call to an external service and its outcome.
    pub fn count_call(&self, call: &str, answer: &str) {
        self.call_counts.with_label_values(&[call, answer]).inc();
    }

    /// Counts the bytes of a response of an external service.
    pub fn count_received(&self, call: &str, answer: &str, bytes: usize) {
        self.received_bytes.with_label_values(&[call, answer]).inc_by(bytes as u64);
    }

    /// The metrics of a listener's clients.
    pub(crate) fn listener(&self, name: &str) -> ListenerMetrics {
        ListenerMetrics {
            connections: self.clients.with_label_values(&[name, "connections"]),
            held: self.clients.with_label_values(&[name, "held_bytes"]),
            limited: self.limited_clients.clone(),
            name: name.into(),
        }
    }

    /// Total calls to external services by kind, for the log of a member whose metrics nobody
    /// collects.
    pub fn call_totals(&self) -> Box<str> {
        sums(&self.call_counts, |call, _| call.into())
    }

    /// Total bytes of responses of external services by kind and outcome, for the same log.
    pub fn received_totals(&self) -> Box<str> {
        sums(&self.received_bytes, |call, answer| format!("{call}/{answer}"))
    }

    /// Records how long a response of an external service took.
    pub fn observe_call(&self, call: &str, time: Duration) {
        self.call_seconds.with_label_values(&[call]).observe(time.as_secs_f64());
    }

    /// Counts an order to which a worker sent no response.
    pub fn count_unanswered(&self, order: &str) {
        self.unanswered_orders.with_label_values(&[order]).inc();
    }

    /// Sets whether callers are served.
    pub fn set_ready(&self, ready: bool) {
        self.ready_gauge.set(i64::from(ready));
    }

    /// Sets one level.
    pub fn set_level(&self, what: &str, n: usize) {
        self.levels.with_label_values(&[what]).set(i64::try_from(n).unwrap_or(i64::MAX));
    }

    /// Counts a final answer that is not an error.
    pub fn count_answered(&self) {
        self.verdicts.with_label_values(&["answered"]).inc();
    }

    /// Counts a caller's request to cancel a job: `written`, `over` if the job has ended, `no_job`, or
    /// `failed`.
    pub fn count_cancel(&self, outcome: &str) {
        self.cancel_requests.with_label_values(&[outcome]).inc();
    }

    /// Counts a change of a shard's ownership at this member: taken over, lost, released, given up,
    /// deposed or settled.
    pub fn count_move(&self, what: &str) {
        self.shard_moves.with_label_values(&[what]).inc();
    }

    /// Adds the counts and times that a shard has collected since its last tally.
    pub fn add_tally(&self, tally: &Stats) {
        for (reason, n) in &tally.step_starts {
            self.step_starts.with_label_values(&[reason]).inc_by(*n);
        }
        for (outcome, n) in &tally.job_outcomes {
            self.job_outcomes.with_label_values(&[outcome]).inc_by(*n);
        }
        for (how, n) in &tally.run_ends {
            self.run_ends.with_label_values(&[how]).inc_by(*n);
        }
        for (cause, n) in &tally.lost_runs {
            self.lost_runs.with_label_values(&[&cause.to_string()]).inc_by(*n);
        }
        self.cut_off_lists.inc_by(tally.cut_off_lists);
        for (source, n) in &tally.cancels {
            self.cancels.with_label_values(&[&source.to_string()]).inc_by(*n);
        }
        self.ends_noted.inc_by(tally.acknowledged_ends);
        self.unstored_polls.inc_by(tally.unstored_polls);
        let ends = tally.end_delays.len() as u64;
        let written = [("write", tally.writes), ("change", tally.written_changes), ("end", ends)];
        for (what, n) in written {
            self.shard_writes.with_label_values(&[what]).inc_by(n);
        }
        let stored = &self.end_stored_seconds;
        tally.end_delays.iter().for_each(|t| stored.observe(t.as_secs_f64()));
        self.division_writes.inc_by(tally.division_writes);
        self.over_quota_jobs.inc_by(tally.over_quota_jobs);
        for (cause, n) in &tally.preemptions {
            self.preemptions.with_label_values(&[cause]).inc_by(*n);
        }
        self.preemption_cost.inc_by(tally.preemption_cost);
        for (outcome, n) in &tally.rack_waits {
            self.rack_waits.with_label_values(&[outcome]).inc_by(*n);
        }
        self.rack_wait_seconds.inc_by(tally.rack_wait_time.as_secs_f64());
        let RackGain { expected, gained, lost } = tally.rack_gain;
        for (what, time) in [("expected", expected), ("gained", gained), ("lost", lost)] {
            self.rack_gain_seconds.with_label_values(&[what]).inc_by(time.as_secs_f64());
        }
        let times = |to: &str, all: &[Duration]| {
            let histogram = self.job_seconds.with_label_values(&[to]);
            all.iter().for_each(|t| histogram.observe(t.as_secs_f64()));
        };
        times("start", &tally.first_starts);
        times("completion", &tally.completions);
        times("cancel", &tally.cancel_delays);
    }

    /// Sets how many tasks wait, by priority; a priority that isn't in the map has none.
    pub fn set_waiting(&self, by_priority: &BTreeMap<u8, usize>) {
        self.waiting_tasks.reset();
        for (priority, n) in by_priority {
            let n = i64::try_from(*n).unwrap_or(i64::MAX);
            self.waiting_tasks.with_label_values(&[&priority.to_string()]).set(n);
        }
    }

    /// Sets the longest time that a long-running task has not run, by cause; a cause that isn't in
    /// the map has no such task.
    pub fn set_away(&self, by_cause: &BTreeMap<Cause, Duration>) {
        self.away_seconds.reset();
        for (cause, time) in by_cause {
            self.away_seconds.with_label_values(&[&cause.to_string()]).set(time.as_secs_f64());
        }
    }

    /// Sets how many customers wait and how many are above their share, summed over the shards.
    pub fn set_customers(&self, waiting: usize, above_share: usize) {
        for (standing, n) in [("waiting", waiting), ("above_share", above_share)] {
            let n = i64::try_from(n).unwrap_or(i64::MAX);
            self.customers.with_label_values(&[standing]).set(n);
        }
    }

    /// Sets the age of this member's information about `what`.
    pub fn set_age(&self, what: &str, age: Duration) {
        let ms = i64::try_from(age.as_millis()).unwrap_or(i64::MAX);
        self.ages.with_label_values(&[what]).set(ms);
    }

    /// Records the time from a request to its final answer.
    pub fn observe_request(&self, time: Duration) {
        self.answer_seconds.observe(time.as_secs_f64());
    }

    /// Sets the levels of a member, and whether it is ready.
    pub fn set_levels(
        &self,
        racks: usize,
        buckets: usize,
        version: u64,
        requests: usize,
        ready: bool,
    ) {
        let set = |what: &str, n: usize| {
            let n = i64::try_from(n).unwrap_or(i64::MAX);
            self.levels.with_label_values(&[what]).set(n);
        };
        set("racks", racks);
        set("buckets", buckets);
        set("requests", requests);
        set("version", usize::try_from(version).unwrap_or(usize::MAX));
        self.ready_gauge.set(i64::from(ready));
    }

    /// The page at `path`: `/metrics`, or `/set_ready` for the load balancer.
    pub fn page(&self, path: &str) -> Response<Full<Bytes>> {
        match path {
            "/metrics" => match TextEncoder::new().encode_to_string(&self.registry.gather()) {
                Ok(text) => answer(200, text),
                Err(e) => answer(500, e.to_string()),
            },
            "/ready" if self.ready_gauge.get() == 1 => answer(200, "ready\n"),
            "/ready" => answer(503, "not ready\n"),
            _ => answer(404, "no such page\n"),
        }
    }
}

/// The sums of a counter of calls, grouped by the name that `name` gives each call and answer.
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
