//! Stand-in for a worker. It also counts violations of the scheduler's guarantees, such as a task
//! that runs in two places at once.

use {
    crate::web::{Reply, header, json},
    bytes::Bytes,
    dogwoodreach::{
        http::{EPOCH, KEY, LEASE, RAN, REQUEST, RUN, UNTIL, answer},
        ids::{Attempt, Epoch, RequestId, TaskId, WorkerId},
        messages::{
            FenceAsk, Report, TaskOrder, TaskReport, TaskState, Vm, WorkerAsk, WorkerReply,
        },
        units::Size,
    },
    hyper::http::request::Parts,
    serde::{Deserialize, Serialize},
    std::{
        collections::{BTreeMap, BTreeSet, HashMap, VecDeque},
        sync::{Arc, Mutex, MutexGuard},
        time::{Duration, Instant, SystemTime, UNIX_EPOCH},
    },
};

/// Run time of a request that doesn't specify one.
const DEFAULT_RUN_MS: u64 = 5;
/// An ended task stays in the reports for this long.
const REPORT_RETENTION: Duration = Duration::from_secs(60);

/// Faults of a worker.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Faults {
    /// Additional run time of each request, in milliseconds.
    pub slow: u64,
    /// Whether all tasks and requests fail.
    pub fail: bool,
    /// Id of a job whose tasks all fail.
    pub job: Box<str>,
    /// Whether calls stay unanswered while their connections remain open.
    pub silent: bool,
    /// Age of the reports, in milliseconds.
    pub lag: u64,
}

/// Counters and violations over all workers of this process.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Witness {
    /// Number of requests that ran.
    pub requests: u64,
    /// Number of tasks that were started.
    pub starts: u64,
    /// Number of tasks that ran to their end.
    pub ended: u64,
    /// Number of times that a request or task ran in two places at once.
    pub doubled: u64,
    /// Number of repeated runs of non-idempotent requests with the same key.
    pub repeated: u64,
    /// Number of starts that exceeded a worker's cores, memory, accelerators or slots.
    pub over: u64,
    /// Number of calls that were refused since their epoch was too low.
    pub fenced: u64,
    /// Descriptions of the violations.
    pub notes: Vec<Box<str>>,
    /// The workers at which each request or task runs, with a description of the order.
    #[serde(skip)]
    running: HashMap<Box<str>, Vec<(WorkerId, Box<str>)>>,
    #[serde(skip)]
    keys: HashMap<Box<str>, u32>,
    #[serde(skip)]
    ids: BTreeSet<Box<str>>,
}

/// The requests that have run, to check every answer that claims "not run".
#[derive(Clone, Debug, Serialize)]
pub struct Runs {
    /// Ids of all requests that ran.
    pub ids: BTreeSet<Box<str>>,
    /// Keys of the requests that had one.
    pub keys: BTreeSet<Box<str>>,
}

impl Witness {
    /// Number of tasks that run now.
    pub fn tasks(&self) -> usize {
        self.running.keys().filter(|name| name.contains('/')).count()
    }

    /// The requests that have run.
    pub fn runs(&self) -> Runs {
        Runs { ids: self.ids.clone(), keys: self.keys.keys().cloned().collect() }
    }
}

struct Task {
    attempt: Attempt,
    size: Size,
    end: Option<Instant>,
    lease: Instant,
    state: TaskState,
    ended_at: Option<Instant>,
}

#[derive(Default)]
struct State {
    epoch: Epoch,
    requests: Vec<RequestId>,
    tasks: BTreeMap<TaskId, Task>,
    history: VecDeque<(Instant, Report)>,
    faults: Faults,
    last_start: Option<Instant>,
}

/// A stand-in worker.
#[derive(Clone)]
pub struct Worker {
    vm: Vm,
    state: Arc<Mutex<State>>,
    witness: Arc<Mutex<Witness>>,
}

impl Worker {
    /// Creates the worker that the VM list describes.
    pub fn new(vm: Vm, witness: Arc<Mutex<Witness>>) -> Self {
        Worker { vm, state: Arc::default(), witness }
    }

    /// Answers one call.
    pub async fn handle(self, head: Parts, body: Bytes) -> Reply {
        if head.uri.path() == "/fault" {
            return self.fault(&body);
        }
        if head.uri.path() == "/witness" {
            return json(&*self.witness.lock().expect("no holder panics"));
        }
        if self.lock().faults.silent {
            std::future::pending::<()>().await;
        }
        match (head.method.as_str(), head.uri.path()) {
            ("GET", "/v1/report") => json(&self.report()),
            ("PUT", "/v1/fence") => match serde_json::from_slice::<FenceAsk>(&body) {
                Ok(ask) => {
                    let mut state = self.lock();
                    state.epoch = state.epoch.max(ask.epoch);
                    json(&FenceAsk { epoch: state.epoch })
                }
                Err(e) => answer(400, e.to_string()),
            },
            ("PUT", "/v1/orders") => match serde_json::from_slice::<WorkerAsk>(&body) {
                Ok(ask) => json(&self.orders(ask)),
                Err(e) => answer(400, e.to_string()),
            },
            (_, path) if path.starts_with("/v1/run") => self.run(&head, body).await,
            _ => answer(404, "no such call"),
        }
    }

    /// Sets the faults that a request body names.
    pub fn fault(&self, body: &[u8]) -> Reply {
        match serde_json::from_slice(body) {
            Ok(faults) => {
                self.lock().faults = faults;
                answer(200, "{}")
            }
            Err(e) => answer(400, e.to_string()),
        }
    }

    /// Milliseconds since the last start of a task or request.
    pub fn since_last_start(&self, now: Instant) -> Option<u64> {
        let ago = now.saturating_duration_since(self.lock().last_start?);
        u64::try_from(ago.as_millis()).ok()
    }

    /// The counters and violations of all workers of this process.
    pub fn witness(&self) -> MutexGuard<'_, Witness> {
        self.witness.lock().expect("no holder panics")
    }

    /// Ends tasks whose run time or lease is over, and records a report.
    pub fn tick(&self, now: Instant) {
        let mut state = self.lock();
        let (all, job) = (state.faults.fail, state.faults.job.clone());
        for (id, task) in &mut state.tasks {
            let fail = all || *job == *id.job.as_str();
            if task.state != TaskState::Running {
                continue;
            }
            let ended = task.end.is_some_and(|e| e <= now);
            if !ended && !fail && task.lease > now {
                continue;
            }
            task.state = match (fail, ended) {
                (true, _) => TaskState::Failed,
                (_, true) => TaskState::Ended,
                _ => TaskState::Lost,
            };
            task.ended_at = Some(now);
            self.record_end(&id.to_string());
            if task.state == TaskState::Ended {
                self.witness.lock().expect("no holder panics").ended += 1;
            }
        }
        state.tasks.retain(|_, t| t.ended_at.is_none_or(|o| now - o < REPORT_RETENTION));
        let report = Report {
            age: 0,
            epoch: state.epoch,
            requests: state.requests.clone(),
            tasks: state
                .tasks
                .iter()
                .map(|(id, t)| TaskReport {
                    task: id.clone(),
                    attempt: t.attempt,
                    state: t.state,
                    used: t.size,
                })
                .collect(),
        };
        state.history.push_back((now, report));
        while state.history.len() > 400 {
            state.history.pop_front();
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().expect("no holder panics")
    }

    /// The newest report that is at least as old as the configured lag.
    fn report(&self) -> Report {
        let state = self.lock();
        let now = Instant::now();
        let lag = Duration::from_millis(state.faults.lag);
        let found = state.history.iter().rev().find(|(at, _)| now - *at >= lag);
        let Some((at, report)) = found else {
            return Report { age: 0, epoch: state.epoch, requests: vec![], tasks: vec![] };
        };
        Report { age: (now - *at).as_millis() as u64 + 1, ..report.clone() }
    }

    fn orders(&self, ask: WorkerAsk) -> WorkerReply {
        let now = Instant::now();
        let mut state = self.lock();
        if ask.epoch < state.epoch {
            self.witness.lock().expect("no holder panics").fenced += 1;
            return WorkerReply { epoch: state.epoch, refused: ask.start, stopped: vec![] };
        }
        if ask.until < unix() {
            return WorkerReply { epoch: ask.epoch, refused: ask.start, stopped: vec![] };
        }
        state.epoch = ask.epoch;
        let lease = now + Duration::from_millis(ask.lease);
        let mut reply = WorkerReply { epoch: ask.epoch, refused: vec![], stopped: vec![] };
        for order in ask.renew {
            if let Some(task) = state.tasks.get_mut(&order.task)
                && task.attempt == order.attempt
            {
                task.lease = lease;
            }
        }
        for order in ask.stop {
            if let Some(task) = state.tasks.get_mut(&order.task)
                && task.attempt == order.attempt
                && task.state == TaskState::Running
            {
                task.state = TaskState::Checkpointed;
                task.ended_at = Some(now);
                self.record_end(&order.task.to_string());
            }
            reply.stopped.push(order);
        }
        for order in ask.start {
            self.start(&mut state, order, lease, now, &mut reply);
        }
        reply
    }

    fn start(
        &self,
        state: &mut State,
        order: TaskOrder,
        lease: Instant,
        now: Instant,
        reply: &mut WorkerReply,
    ) {
        if state.tasks.get(&order.task).is_some_and(|t| t.attempt >= order.attempt) {
            return;
        }
        let running = state.tasks.values().filter(|t| t.state == TaskState::Running);
        let used: Size = running.map(|t| t.size).sum();
        if !(used + order.size).fits(&self.vm.size) {
            self.record_violation(
                |w| &mut w.over,
                format!("{} over on {}", order.task, self.vm.worker),
            );
            reply.refused.push(order);
            return;
        }
        let name = order.task.to_string();
        self.record_start(&name, &format!("attempt {}, epoch {}", order.attempt, state.epoch));
        self.witness.lock().expect("no holder panics").starts += 1;
        let end = (order.run > 0).then(|| now + Duration::from_millis(order.run));
        let task = Task {
            attempt: order.attempt,
            size: order.size,
            end,
            lease,
            state: TaskState::Running,
            ended_at: None,
        };
        state.tasks.insert(order.task, task);
        state.last_start = Some(now);
    }

    async fn run(&self, head: &Parts, body: Bytes) -> Reply {
        let refuse = |why: &'static str| {
            let mut r = answer(409, why);
            r.headers_mut().insert(RAN, hyper::header::HeaderValue::from_static("no"));
            r
        };
        let Ok(id) = header(head, REQUEST).parse::<RequestId>() else {
            return refuse("no request id");
        };
        let epoch = Epoch(header(head, EPOCH).parse().unwrap_or(0));
        let lease = header(head, LEASE).parse().unwrap_or(60_000);
        let (wait, fail) = {
            let mut state = self.lock();
            if epoch < state.epoch {
                self.witness.lock().expect("no holder panics").fenced += 1;
                return refuse("low epoch");
            }
            if header(head, UNTIL).parse().is_ok_and(|until: u64| until < unix()) {
                return refuse("too late");
            }
            state.epoch = epoch;
            if state.requests.len() >= self.vm.slots as usize {
                self.record_violation(
                    |w| &mut w.over,
                    format!("{id} over slots on {}", self.vm.worker),
                );
                return refuse("no slot");
            }
            state.requests.push(id);
            state.last_start = Some(Instant::now());
            let wait = header(head, RUN).parse().unwrap_or(DEFAULT_RUN_MS) + state.faults.slow;
            (wait, state.faults.fail)
        };
        let name = id.to_string();
        self.record_start(&name, &format!("epoch {epoch}"));
        self.count(header(head, KEY));
        // The work continues to its end if the connection breaks, as real work would.
        let worker = self.clone();
        let work = tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(wait.min(lease))).await;
            worker.lock().requests.retain(|r| *r != id);
            worker.record_end(&name);
        });
        let _ = work.await;
        if fail {
            return answer(500, "failed");
        }
        let mut r = answer(200, body);
        let h = r.headers_mut();
        h.insert(REQUEST, hyper::header::HeaderValue::from_str(&id.to_string()).expect("hex"));
        if let Ok(w) = hyper::header::HeaderValue::from_str(self.vm.worker.as_str()) {
            h.insert("x-worker", w);
        }
        r
    }

    fn record_start(&self, name: &str, order: &str) {
        let mut w = self.witness.lock().expect("no holder panics");
        if !name.contains('/') {
            w.requests += 1;
            w.ids.insert(name.into());
        }
        let here = (self.vm.worker.clone(), format!("{order}, at {}", unix()).into());
        let runs = w.running.entry(name.into()).or_default();
        runs.push(here);
        if let [(first, before), .., (second, order)] = &runs[..] {
            let text =
                format!("{name} twice at once, now on {second} ({order}), on {first} ({before})");
            w.doubled += 1;
            w.notes.push(text.into());
        }
    }

    fn record_end(&self, name: &str) {
        let mut w = self.witness.lock().expect("no holder panics");
        let Some(runs) = w.running.get_mut(name) else { return };
        if let Some(at) = runs.iter().position(|p| p.0 == self.vm.worker) {
            runs.remove(at);
        }
        if runs.is_empty() {
            w.running.remove(name);
        }
    }

    fn count(&self, key: &str) {
        if key.is_empty() {
            return;
        }
        let mut w = self.witness.lock().expect("no holder panics");
        let n = w.keys.entry(key.into()).or_default();
        *n += 1;
        if *n > 1 {
            w.repeated += 1;
            w.notes.push(format!("key {key} again on {}", self.vm.worker).into());
        }
    }

    fn record_violation(&self, counter: impl Fn(&mut Witness) -> &mut u64, text: String) {
        let mut w = self.witness.lock().expect("no holder panics");
        *counter(&mut w) += 1;
        w.notes.push(text.into());
    }
}

fn unix() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    u64::try_from(now.as_millis()).unwrap_or(u64::MAX)
}
