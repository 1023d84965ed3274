//! A worker that does as it is told, but for what a test says.

use {
    dogwoodreach::{
        Time,
        ids::WorkerId,
        ports::{End, Fault, Held, How, Refusal, Row, Start, WorkerCall, WorkerReply as Reply},
        units::Size,
        work::{Listed, TaskKey},
    },
    std::{collections::BTreeMap, time::Duration},
};

/// What a test has a worker answer in place of what it would; nothing is done then.
pub type Hook = fn(&WorkerCall) -> Option<Result<Reply, Fault>>;

/// The worker answers by itself.
pub const FINE: Hook = |_| None;
/// It answers nothing.
pub const MUTE: Hook = |_| Some(Err(Fault::Unknown));

/// A worker.
pub struct Worker {
    pub id: WorkerId,
    no: usize,
    /// How many lives it had before this one.
    lives: u32,
    /// Whether it is in the list.
    pub there: bool,
    /// How long it stays, once it is leaving.
    pub left: Option<Duration>,
    pub hook: Hook,
    /// How fast its clock runs.
    pub rate: f64,
    pub token: u64,
    pub rows: Vec<Row>,
    pub ends: Vec<End>,
    /// How many ends there were.
    pub count: u64,
    barred: BTreeMap<TaskKey, u32>,
}

impl Worker {
    pub fn new(no: usize) -> Self {
        Worker {
            id: WorkerId::from(&*format!("w{no}")),
            no,
            lives: 0,
            there: true,
            left: None,
            hook: FINE,
            rate: 1.0,
            token: 0,
            rows: vec![],
            ends: vec![],
            count: 0,
            barred: BTreeMap::new(),
        }
    }

    /// Crashes, and is there again at once as another life.
    pub fn crash(&mut self) {
        let (no, lives) = (self.no, self.lives + 1);
        *self = Worker { id: WorkerId::from(&*format!("w{no}-{lives}")), lives, ..Worker::new(no) };
    }

    /// Its entry of the list.
    pub fn entry(&self) -> Option<Listed> {
        self.there.then(|| Listed {
            id: self.id.clone(),
            pool: "pool".into(),
            addr: ([127, 0, 0, 1], 9_000 + self.no as u16).into(),
            zone: "z".into(),
            draining: self.left.is_some(),
            left: self.left,
            size: Size::new(4, 16_384, 0),
            labels: ["kind".into(), "rack".into()].into(),
        })
    }

    /// Its clock, in milliseconds.
    pub fn clock(&self, now: Time) -> u64 {
        1_000 + (now.0 as f64 / 1e3 * self.rate) as u64
    }

    /// Its answer to a call.
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
            return Ok(Reply::Refused(clock, Refusal::Fence));
        }
        self.token = token;
        match call {
            WorkerCall::Start(start) => return Ok(self.start(start, clock)),
            WorkerCall::Stop { task, run, .. } => {
                self.bar(task, *run);
                self.end(task, How::Stopped);
            }
            WorkerCall::Hold { seen, .. } => {
                self.ends.retain(|e| e.number > *seen);
                let (running, ended) = (self.rows.clone(), self.ends.clone());
                return Ok(Reply::Held(Held { clock, running, ended }));
            }
            WorkerCall::Pace { .. } => {}
        }
        Ok(Reply::Done(clock))
    }

    fn start(&mut self, start: &Start, clock: u64) -> Reply {
        let Start { task, run, saved, .. } = start.clone();
        if self.rows.iter().any(|r| r.task == task && r.run == run) {
            return Reply::Done(clock);
        }
        if self.barred.get(&task).is_some_and(|b| run <= *b) {
            return Reply::Refused(clock, Refusal::Old);
        }
        self.rows.push(Row { task, run, saved, percent: 0, load: 0 });
        Reply::Done(clock)
    }

    fn bar(&mut self, task: &TaskKey, run: u32) {
        let barred = self.barred.entry(*task).or_default();
        *barred = run.max(*barred);
    }

    /// Ends a task; returns whether it was there.
    pub fn end(&mut self, task: &TaskKey, how: How) -> bool {
        let Some(at) = self.rows.iter().position(|r| r.task == *task) else { return false };
        let Row { task, run, saved, .. } = self.rows.remove(at);
        self.count += 1;
        self.ends.push(End { number: self.count, task, run, how, saved });
        self.bar(&task, run);
        true
    }

    /// Changes what is said of a task that runs there.
    pub fn row(&mut self, task: &TaskKey) -> &mut Row {
        self.rows.iter_mut().find(|r| r.task == *task).expect("it runs there")
    }
}
