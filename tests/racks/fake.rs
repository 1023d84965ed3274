//! Fake workers on a virtual clock. They check epochs, and they can lag, pause, be cut off, or lose
//! their answers.

use {
    dogwoodreach::{
        Time,
        ids::{
            Attempt, Bucket, Epoch, JobId, PoolId, RackId, RequestId, TaskId, TaskIndex, WorkerId,
            Zone,
        },
        messages::{
            Hold, Report, ReserveAsk, ReserveItem, ReserveRow, StartAsk, StartItem, TaskOrder,
            TaskReport, TaskState, Vm, VmState, WorkerAsk, WorkerReply,
        },
        units::Size,
    },
    std::{collections::BTreeMap, time::Duration},
};

pub const BUCKET: Bucket = Bucket(7);
pub const TICK: Duration = Duration::from_millis(20);
pub const CALL: Duration = Duration::from_secs(1);

pub fn worker(n: usize) -> WorkerId {
    WorkerId::from(&*format!("w{n:03}"))
}

pub fn task(n: u32) -> TaskId {
    TaskId { job: JobId::from("nightly"), index: TaskIndex(n) }
}

pub fn rack() -> RackId {
    RackId::from("r0")
}

pub fn pool() -> PoolId {
    PoolId::from("quoting")
}

pub fn vm(n: usize) -> Vm {
    Vm {
        addr: format!("10.0.{}.{}:80", n / 250, n % 250 + 1).parse().expect("an address"),
        connections: 64,
        pool: pool(),
        rack: rack(),
        size: Size::new(16, 65536, 0),
        slots: 8,
        state: VmState::Live,
        worker: worker(n),
        zone: Zone::from("Westlands"),
    }
}

pub fn reserve_ask(n: u32, attempt: u32, cores: u64) -> ReserveAsk {
    let item = ReserveItem {
        attempt: Attempt(attempt),
        avoid: vec![],
        size: Size::new(cores, 1024, 0),
        spread: false,
        task: task(n),
        urgent: false,
    };
    ReserveAsk { items: vec![item], pool: pool(), rack: None, whole: false, tried: vec![] }
}

pub fn item(row: &ReserveRow, cores: u64) -> StartItem {
    StartItem {
        attempt: row.attempt,
        borrowed: false,
        bucket: BUCKET,
        hold: Hold::Checkpoint,
        run: 0,
        size: Size::new(cores, 1024, 0),
        task: row.task.clone(),
        worker: row.worker.clone(),
    }
}

pub fn start(row: &ReserveRow, cores: u64) -> StartAsk {
    let start = vec![item(row, cores)];
    StartAsk { epoch: row.epoch, left: 1000, rack: rack(), start, stop: vec![] }
}

pub fn stop(row: &ReserveRow) -> StartAsk {
    let stop = vec![item(row, 0)];
    StartAsk { epoch: row.epoch, left: 0, rack: rack(), start: vec![], stop }
}

/// A task that runs on a worker.
pub struct Run {
    pub size: Size,
    pub used: Size,
    pub lease: Time,
}

/// A simulated worker with its tasks, its requests and its faults.
#[derive(Default)]
pub struct FakeWorker {
    pub epoch: Epoch,
    pub runs: BTreeMap<(TaskId, Attempt), Run>,
    /// The last state of each attempt that was stopped or whose lease lapsed.
    pub ended: BTreeMap<(TaskId, Attempt), TaskState>,
    pub starts: BTreeMap<(TaskId, Attempt), u32>,
    pub lag: Duration,
    pub history: Vec<(Time, Report)>,
    /// Whether the worker is cut off, so that no order reaches it.
    pub cut_off: bool,
    /// Whether the worker's answers are lost, although orders reach it.
    pub loses_answers: bool,
    /// The time before which the worker handles no order.
    pub paused_until: Time,
    /// The running requests, with the time at which each ends.
    pub requests: BTreeMap<RequestId, Time>,
    /// Whether the worker confirms only the stops of attempts that it knows.
    pub strict: bool,
}

impl FakeWorker {
    pub fn tick(&mut self, now: Time) {
        let lapsed: Vec<_> = self.runs.extract_if(.., |_, r| r.lease <= now).collect();
        self.ended.extend(lapsed.into_iter().map(|(k, _)| (k, TaskState::Lost)));
        let runs = self.runs.iter().map(|(k, r)| (k, TaskState::Running, r.used));
        let ended = self.ended.iter().map(|(k, s)| (k, *s, Size::default()));
        let tasks = runs.chain(ended).map(|((task, attempt), state, used)| TaskReport {
            task: task.clone(),
            attempt: *attempt,
            state,
            used,
        });
        let tasks = tasks.collect();
        self.requests.retain(|_, end| *end > now);
        let requests = self.requests.keys().copied().collect();
        self.history.push((now, Report { age: 0, epoch: self.epoch, requests, tasks }));
    }

    pub fn report(&self, now: Time) -> Report {
        let entry = self.history.iter().rev().find(|(at, _)| now - *at >= self.lag);
        let (at, report) = entry.unwrap_or(&self.history[0]);
        Report { age: (now - *at).as_millis() as u64 + 1, ..report.clone() }
    }

    pub fn orders(&mut self, ask: &WorkerAsk, sent: Time, now: Time) -> WorkerReply {
        let mut reply = WorkerReply { epoch: self.epoch, refused: vec![], stopped: vec![] };
        if ask.epoch < self.epoch || now > sent + CALL {
            reply.refused = ask.start.clone();
            return reply;
        }
        (self.epoch, reply.epoch) = (ask.epoch, ask.epoch);
        let lease = now + Duration::from_millis(ask.lease);
        for o in &ask.renew {
            if let Some(run) = self.runs.get_mut(&(o.task.clone(), o.attempt)) {
                run.lease = lease;
            }
        }
        for o in &ask.stop {
            let key = (o.task.clone(), o.attempt);
            if self.runs.remove(&key).is_some() {
                self.ended.insert(key, TaskState::Checkpointed);
            } else if self.strict {
                continue;
            }
            reply.stopped.push(o.clone());
        }
        ask.start.iter().for_each(|o| self.start(o, lease));
        reply
    }

    fn start(&mut self, o: &TaskOrder, lease: Time) {
        let key = (o.task.clone(), o.attempt);
        if !self.runs.contains_key(&key) && !self.ended.contains_key(&key) {
            *self.starts.entry(key.clone()).or_default() += 1;
            self.runs.insert(key, Run { size: o.size, used: o.size, lease });
            let sum: Size = self.runs.values().map(|r| r.size).sum();
            assert!(sum.fits(&vm(0).size), "more runs than the worker has: {sum}");
        }
    }
}
