//! A shard driven by hand: a few workers and a store that do well, but for what a test says.

#![allow(dead_code)] // each test file uses a part

pub mod worker;

pub use standin::site::store;

use {
    dogwoodreach::{
        Time,
        decide::lanes::Peers,
        ids::{Incarnation, WorkerId},
        ports::{Advice, Bounds, Fault, How, Start, Txn, WorkerCall, WorkerReply},
        shard::{
            Setup, Shard,
            event::{Event, Load, Order},
            record::{CommitRow, JobRecord, Progress, Roster, ShardNo, read, write},
        },
        units::Size,
        work::{
            AdviceCost, Job, JobNo, Listed, Pool, Queue, Queues, State, Step, StepKey, TaskKey,
            Times,
        },
    },
    standin::site::setup,
    std::{
        collections::{BTreeSet, VecDeque},
        mem,
        sync::Arc,
        time::Duration,
    },
    store::{Fate, Store},
    worker::Worker,
};

/// The shard.
const SHARD: ShardNo = ShardNo(0);
/// The Unix clock at [`Time::ZERO`], in milliseconds.
const UNIX: u64 = 1_700_000_000_000;
/// How long an answer takes, and the time between two ticks.
pub const STEP: Duration = Duration::from_millis(20);
/// The longest lease; so long that 2% of it are more than any margin.
pub const HOLD: Duration = Duration::from_secs(20);
/// The longest that a stop takes.
pub const STOP: Duration = Duration::from_secs(1);

/// The shard, and all around it.
pub struct Hand {
    pub shard: Shard,
    pub token: u64,
    pub now: Time,
    pub workers: Vec<Worker>,
    pub store: Store,
    /// What becomes of the next writes; those after them are done.
    pub fates: VecDeque<Fate>,
    /// So many of the next reads of the commit row have no answer.
    pub unread: u32,
    /// Whether the store answers at all.
    pub answers: bool,
    /// Whether the member's lease is confirmed.
    pub confirms: bool,
    /// Whether advice is given; its tickets are the times of their issue.
    pub advises: bool,
    /// How long a call for advice takes, and how many were made.
    pub call: Duration,
    pub calls: u64,
    /// Whether the owner was told to forget the shard.
    pub deposed: bool,
    /// Each call of a worker so far.
    pub log: Vec<(Time, usize, WorkerCall)>,
    out: Vec<(Time, Order)>,
    late: Vec<(Time, Txn)>,
    /// Lives of workers that are over.
    over: BTreeSet<WorkerId>,
}

fn bounds() -> Bounds {
    Bounds { hold: HOLD, stop: STOP, ..setup::bounds() }
}

/// The queues `plain`, and `advised`, whose steps need advice, on one pool.
fn queues() -> Arc<Queues> {
    let ms = Duration::from_millis;
    let queue = |name: &str, advice| Queue {
        name: name.into(),
        host: "".into(),
        prefix: format!("/{name}/").into(),
        pool: "pool".into(),
        priority: 1,
        attempts: 3,
        stretch: 2.0,
        slack: ms(5_000),
        advice,
    };
    let cost = AdviceCost { base: ms(20), each: ms(2), valid: ms(2_000) };
    Arc::new(Queues {
        version: 1,
        all: vec![queue("plain", None), queue("advised", Some(cost))],
        pools: vec![Pool { name: "pool".into(), guards: false, standby: false }],
        body: 1 << 20,
    })
}

/// A step of so many tasks of so many cores, which last so long that none seems to stand still; a
/// worker has 4 cores.
pub fn step(count: u32, cores: u64) -> Step {
    Step { count, estimate: 20_000_000, size: Size::new(cores, 512, 0), ..Step::default() }
}

/// A job of one step.
pub fn job(step: Step) -> Job {
    Job { text: "do it".into(), steps: [step].into(), times: None }
}

/// A task of a job's first step.
pub fn task(no: u64, index: u32) -> TaskKey {
    TaskKey { step: StepKey { job: JobNo(no), time: 0, step: 0 }, index }
}

impl Hand {
    /// An owner with so many workers that may all be used.
    pub fn new(count: usize) -> Self {
        let mut store = Store::new(1);
        let shard = Shard::new(setup(0), Load::default(), Time::ZERO);
        store.put(SHARD.roster(), write(&Roster::default()));
        let mut hand = Hand {
            shard,
            token: 0,
            now: Time::ZERO,
            workers: (0..count).map(Worker::new).collect(),
            store,
            fates: VecDeque::new(),
            unread: 0,
            answers: true,
            confirms: true,
            advises: true,
            call: Duration::ZERO,
            calls: 0,
            deposed: false,
            log: vec![],
            out: vec![],
            late: vec![],
            over: BTreeSet::new(),
        };
        hand.succeed();
        hand.run(200);
        hand
    }

    /// Another owner in place of this one, with what the store has.
    pub fn succeed(&mut self) {
        self.token += 1;
        let row = write(&CommitRow { token: self.token, number: 0 });
        let commit = self.store.put(SHARD.commit(), row);
        self.shard = Shard::new(setup(self.token), self.load(commit), self.now);
        self.out.clear();
        self.tell(Event::Queues(queues()));
        self.tell(Event::Peers(Peers { own: vec![Incarnation(self.token)], shared: vec![] }));
        self.list();
    }

    fn load(&self, commit: u64) -> Load {
        let tail = |key: &str| key.rsplit('/').next().and_then(|n| n.parse().ok());
        let of = |kind: &str| self.store.range(&format!("{}{kind}/", SHARD.inbox()));
        let jobs = of("j").into_iter().filter_map(|(k, v)| Some((tail(&k)?, read(&v)?)));
        let cancels = of("c").into_iter().filter_map(|(k, _)| tail(&k));
        let progress = self.store.range(&SHARD.all_progress()).into_iter();
        let roster = self.store.get(&SHARD.roster()).and_then(|i| i.value);
        Load {
            jobs: jobs.collect(),
            cancels: cancels.collect(),
            progress: progress.filter_map(|(k, v)| Some((tail(&k)?, read(&v)?))).collect(),
            roster: roster.and_then(|v| read(&v)).unwrap_or_default(),
            commit,
            lapsed: false,
        }
    }

    /// What the store has of how a job stands.
    pub fn stored(&self, no: u64) -> Progress {
        let item = self.store.get(&SHARD.progress(JobNo(no))).and_then(|i| i.value);
        item.and_then(|v| read(&v)).unwrap_or_default()
    }

    /// How a job is shown.
    pub fn state(&self, no: u64) -> Option<State> {
        self.shard.state(JobNo(no), self.now)
    }

    /// A caller's job is stored; the owner hears of it.
    pub fn submit(&mut self, no: u64, queue: &str, job: Job) {
        let came = UNIX + self.now.0 / 1_000;
        let record = JobRecord { queue: queue.into(), came, job, terms: None };
        self.store.put(SHARD.job(JobNo(no)), write(&record));
        self.tell(Event::Job(JobNo(no), Box::new(record)));
    }

    /// As [`Hand::submit`], of a job that is due so many milliseconds later.
    pub fn submit_due(&mut self, no: u64, ms: u64, job: Job) {
        let first = UNIX + self.now.0 / 1_000 + ms;
        let times = Some(Times { count: 1, first, every: 1 });
        self.submit(no, "plain", Job { times, ..job });
    }

    /// A cancel is stored; the owner hears of it.
    pub fn cancel(&mut self, no: u64) {
        self.store.put(SHARD.cancel(JobNo(no)), "{}".into());
        self.tell(Event::Cancel(JobNo(no)));
    }

    /// The list of workers is read.
    pub fn list(&mut self) {
        let listed: Vec<Listed> = self.workers.iter().filter_map(Worker::entry).collect();
        self.tell(Event::Listed(listed));
    }

    /// A worker crashes and is there at once as another life, which nobody has heard of.
    pub fn restart(&mut self, at: usize) {
        self.over.insert(self.workers[at].id.clone());
        self.workers[at].crash();
    }

    /// A worker crashes and is listed at once as another life.
    pub fn crash(&mut self, at: usize) {
        self.restart(at);
        self.list();
    }

    /// The place of a worker; none for a life that is over, and only for such a one.
    fn place(&self, worker: &WorkerId) -> Option<usize> {
        let at = self.workers.iter().position(|w| w.id == *worker);
        assert!(at.is_some() || self.over.contains(worker), "{worker} never was a worker");
        at
    }

    /// The owner hears of something.
    pub fn tell(&mut self, event: Event) {
        for order in self.shard.on(event, self.now) {
            if let Order::Worker { worker, call, .. } = &order
                && let Some(at) = self.place(worker)
            {
                self.log.push((self.now, at, WorkerCall::clone(call)));
            }
            self.deposed |= order == Order::Deposed;
            self.out.push((self.now, order));
        }
    }

    /// Lets so many milliseconds pass.
    pub fn run(&mut self, ms: u64) {
        let over = self.now + Duration::from_millis(ms);
        while self.now < over {
            self.pass();
        }
    }

    /// Lets time pass until something is so; returns when.
    pub fn until(&mut self, what: &str, ms: u64, is: impl Fn(&Hand) -> bool) -> Time {
        let over = self.now + Duration::from_millis(ms);
        while !is(self) {
            assert!(self.now < over, "{what}: not within {ms} ms");
            self.pass();
        }
        self.now
    }

    /// One step of time.
    pub fn pass(&mut self) {
        self.now = self.now + STEP;
        for (at, txn) in mem::take(&mut self.late) {
            if at <= self.now {
                self.store.txn(&txn);
            } else {
                self.late.push((at, txn));
            }
        }
        for (sent, order) in mem::take(&mut self.out) {
            self.answer(sent, order);
        }
        if self.confirms {
            self.tell(Event::Confirmed(self.now));
        }
        self.tell(Event::Tick);
    }

    fn answer(&mut self, sent: Time, order: Order) {
        match &order {
            Order::Worker { worker, call, limit, .. } => {
                let at = self.place(worker);
                let other = Ok(WorkerReply::Other);
                let reply = at.map_or(other, |at| self.workers[at].answer(call, self.now));
                if reply == Err(Fault::Unknown) && self.now < sent + *limit {
                    return self.out.push((sent, order));
                }
                let (worker, call) = (worker.clone(), call.clone());
                self.tell(Event::Worker { worker, sent, call, reply });
            }
            Order::Advise { via, call, sent, limit, .. } => {
                let waits = !self.advises && self.now < *sent + *limit;
                if waits || self.now < *sent + self.call {
                    return self.out.push((*sent, order));
                }
                self.calls += 1;
                let ticket: Box<str> = (self.now.0 / 1_000).to_string().into();
                let good = call.workers.iter().map(|w| (w.clone(), ticket.clone())).collect();
                let advice = Advice { good, valid: None };
                let reply = if self.advises { Ok(advice) } else { Err(Fault::Unknown) };
                self.tell(Event::Advised { call: call.clone(), via: *via, sent: *sent, reply });
            }
            Order::Store(..) | Order::Reread if !self.answers => self.out.push((sent, order)),
            Order::Store(number, txn) => self.write(*number, txn),
            Order::Reread if self.unread > 0 => {
                self.unread -= 1;
                self.tell(Event::Reread(Err(Fault::Unknown)));
            }
            Order::Reread => {
                let row = self.store.get(&SHARD.commit()).expect("a commit row");
                let read = read(&row.value.expect("a value")).expect("a row");
                self.tell(Event::Reread(Ok((row.rev, read))));
            }
            // There is no list of machines here.
            Order::Lives => self.tell(Event::Lives { sent, reply: Err(Fault::Unsent) }),
            Order::Deposed => {}
        }
    }

    fn write(&mut self, number: u64, txn: &Txn) {
        let reply = match self.fates.pop_front().unwrap_or(Fate::Answered) {
            Fate::Answered => Ok(self.store.txn(txn)),
            Fate::Refused => Err(Fault::Refused),
            Fate::Unheard => Err(Fault::Unknown),
            Fate::Lost(late) => {
                if late.is_zero() {
                    self.store.txn(txn);
                } else {
                    self.late.push((self.now + late, txn.clone()));
                }
                Err(Fault::Unknown)
            }
        };
        self.tell(Event::Stored(number, reply));
    }

    /// The starts so far.
    pub fn starts(&self) -> Vec<(Time, usize, Start)> {
        let start = |(at, w, call): &(Time, usize, WorkerCall)| match call {
            WorkerCall::Start(s) => Some((*at, *w, s.clone())),
            _ => None,
        };
        self.log.iter().filter_map(start).collect()
    }

    /// The starts of a job so far.
    pub fn starts_of(&self, no: u64) -> Vec<(Time, usize, Start)> {
        self.starts().into_iter().filter(|s| s.2.task.step.job == JobNo(no)).collect()
    }

    /// The stops so far.
    pub fn stops(&self) -> Vec<(Time, usize, TaskKey)> {
        let stop = |(at, w, call): &(Time, usize, WorkerCall)| match call {
            WorkerCall::Stop { task, .. } => Some((*at, *w, *task)),
            _ => None,
        };
        self.log.iter().filter_map(stop).collect()
    }

    /// The leases that a worker was given: when, and until when on its clock.
    pub fn leases(&self, worker: usize) -> Vec<(Time, u64)> {
        let lease = |(at, _, call): &(Time, usize, WorkerCall)| match call {
            WorkerCall::Hold { until: Some(until), .. } => Some((*at, *until)),
            WorkerCall::Start(s) => Some((*at, s.until)),
            _ => None,
        };
        self.log.iter().filter(|(_, w, _)| *w == worker).filter_map(lease).collect()
    }

    /// The last end that a worker was told is noted.
    pub fn noted(&self, worker: usize) -> u64 {
        let seen = |(_, w, call): &(Time, usize, WorkerCall)| match call {
            WorkerCall::Hold { seen, .. } if *w == worker => Some(*seen),
            _ => None,
        };
        self.log.iter().filter_map(seen).max().unwrap_or(0)
    }

    /// Where a task runs.
    pub fn places(&self, task: TaskKey) -> Vec<usize> {
        let there = |w: &Worker| w.rows.iter().any(|r| r.task == task);
        (0..self.workers.len()).filter(|w| there(&self.workers[*w])).collect()
    }

    /// Ends a task where it runs.
    pub fn end(&mut self, task: TaskKey, how: How) {
        let ended = self.workers.iter_mut().map(|w| w.end(&task, how));
        assert_eq!(ended.filter(|e| *e).count(), 1, "{task} runs once");
    }
}

fn setup(token: u64) -> Setup {
    Setup { shard: SHARD, me: Incarnation(token), token, bounds: bounds(), unix: UNIX }
}
