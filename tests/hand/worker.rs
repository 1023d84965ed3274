//! A worker that carries out every call unless a test overrides its answers.

use {
    dogwoodreach::{
        Time,
        ids::WorkerId,
        ports::{
            EndReason, EndedRun, Fault, Held, MAX_ENDS, PresentRun, Start, WorkerCall,
            WorkerRefusal, WorkerReply as Reply,
        },
        units::Size,
        work::{ListedWorker, TaskKey},
    },
    std::{collections::BTreeMap, time::Duration},
};

/// Overrides the answer to a call. The worker does not carry out a call that is overridden.
pub type Hook = fn(&WorkerCall) -> Option<Result<Reply, Fault>>;

/// Overrides nothing.
pub const NORMAL: Hook = |_| None;
/// Starts and stops get no answer; hold calls do.
pub const ONLY_HOLDS: Hook = |call| match call {
    WorkerCall::Hold { .. } => None,
    _ => Some(Err(Fault::Unknown)),
};
/// Gives no answer to any call.
pub const SILENT: Hook = |_| Some(Err(Fault::Unknown));

/// A worker in the pool `pool`, with 4 cores at first, which a test controls by its fields.
pub struct Worker {
    pub id: WorkerId,
    index: usize,
    /// The port at which it takes orders.
    pub port: u16,
    /// How many incarnations came before this one.
    restarts: u32,
    /// Whether the list of workers has it.
    pub listed: bool,
    /// The time until it leaves, once it has announced that.
    pub leaves_in: Option<Duration>,
    pub capacity: Size,
    pub hook: Hook,
    /// The rate of its clock, as a factor of real time.
    pub clock_rate: f64,
    /// The time at which its clock began.
    pub clock_start: Time,
    /// When its process started, in milliseconds of the Unix clock.
    pub born_ms: u64,
    pub token: u64,
    pub running: Vec<PresentRun>,
    pub ends: Vec<EndedRun>,
    /// The number of the last end.
    pub end_count: u64,
    /// The highest run of each task that has ended or was stopped; it and lower ones may not start.
    ended_runs: BTreeMap<TaskKey, u32>,
}

impl Worker {
    pub fn new(index: usize) -> Self {
        Worker {
            id: WorkerId::from(&*format!("w{index}")),
            index,
            port: 9_000 + index as u16,
            restarts: 0,
            listed: true,
            leaves_in: None,
            capacity: Size::new(4, 16_384, 0),
            hook: NORMAL,
            clock_rate: 1.0,
            clock_start: Time::ZERO,
            born_ms: 1,
            token: 0,
            running: vec![],
            ends: vec![],
            end_count: 0,
            ended_runs: BTreeMap::new(),
        }
    }

    /// Crashes and restarts at once as a new incarnation.
    pub fn crash(&mut self) {
        let (index, restarts) = (self.index, self.restarts + 1);
        *self = Worker {
            id: WorkerId::from(&*format!("w{index}-{restarts}")),
            restarts,
            ..Worker::new(index)
        };
    }

    /// Crashes and restarts at once under the same id.
    pub fn restart(&mut self, now: Time) {
        let born_ms = self.born_ms + now.0 / 1_000;
        *self = Worker { clock_start: now, born_ms, ..Worker::new(self.index) };
    }

    /// Its entry in the list of workers, if it has one.
    pub fn entry(&self) -> Option<ListedWorker> {
        self.listed.then(|| ListedWorker {
            id: self.id.clone(),
            pool: "pool".into(),
            addr: ([127, 0, 0, 1], self.port).into(),
            zone: "z".into(),
            draining: self.leaves_in.is_some(),
            born_ms: Some(self.born_ms),
            min_stay: self.leaves_in,
            capacity: self.capacity,
            labels: ["kind".into(), "rack".into()].into(),
        })
    }

    /// The time on its clock, in milliseconds.
    pub fn clock(&self, now: Time) -> u64 {
        1_000 + ((now - self.clock_start).as_micros() as f64 / 1e3 * self.clock_rate) as u64
    }

    /// Carries out a call, unless [`Worker::hook`] overrides it, and returns the answer.
    pub fn answer(&mut self, call: &WorkerCall, now: Time) -> Result<Reply, Fault> {
        if let Some(reply) = (self.hook)(call) {
            return reply;
        }
        let clock = self.clock(now);
        let token = match call {
            WorkerCall::Start(s) => s.token,
            WorkerCall::Stop { token, .. }
            | WorkerCall::Hold { token, .. }
            | WorkerCall::Pace { token, .. } => *token,
        };
        if token < self.token {
            return Ok(Reply::Refused(clock, WorkerRefusal::Fence));
        }
        self.token = token;
        match call {
            WorkerCall::Start(start) => return Ok(self.start(start, clock)),
            WorkerCall::Stop { task, run, .. } => {
                self.forbid_run(task, *run);
                self.end(task, EndReason::Stopped);
            }
            WorkerCall::Hold { seen, .. } => {
                self.ends.retain(|e| e.number > *seen);
                let ended = self.ends.iter().take(MAX_ENDS).cloned().collect();
                let running = self.running.clone();
                return Ok(Reply::Held(Held {
                    clock_ms: clock,
                    born_ms: Some(self.born_ms),
                    running,
                    ended,
                }));
            }
            WorkerCall::Pace { .. } => {}
        }
        Ok(Reply::Done(clock))
    }

    fn start(&mut self, start: &Start, clock: u64) -> Reply {
        let Start { task, run, checkpoint: saved, .. } = start.clone();
        if self.running.iter().any(|r| r.task == task && r.run == run) {
            return Reply::Done(clock);
        }
        if self.ended_runs.get(&task).is_some_and(|last| run <= *last) {
            return Reply::Refused(clock, WorkerRefusal::Old);
        }
        self.running.push(PresentRun { task, run, checkpoint: saved, percent: 0, load: 0 });
        Reply::Done(clock)
    }

    fn forbid_run(&mut self, task: &TaskKey, run: u32) {
        let last = self.ended_runs.entry(*task).or_default();
        *last = run.max(*last);
    }

    /// Ends a task and returns whether it was running here.
    pub fn end(&mut self, task: &TaskKey, how: EndReason) -> bool {
        let Some(at) = self.running.iter().position(|r| r.task == *task) else { return false };
        let PresentRun { task, run, checkpoint: saved, .. } = self.running.remove(at);
        self.end_count += 1;
        self.ends.push(EndedRun {
            number: self.end_count,
            task,
            run,
            reason: how,
            checkpoint: saved,
        });
        self.forbid_run(&task, run);
        true
    }

    /// The row of a task that runs here, to be changed. Panics if it doesn't run here.
    pub fn row_mut(&mut self, task: &TaskKey) -> &mut PresentRun {
        self.running
            .iter_mut()
            .find(|r| r.task == *task)
            .expect("task must be running on this worker")
    }
}
