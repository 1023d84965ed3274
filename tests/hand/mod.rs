//! A test harness that drives one shard in virtual time: a few workers, a store and an advice
//! service that all behave well unless a test says otherwise.

#![allow(dead_code)] // no test file uses all items

pub mod slow_advice;
pub mod worker;

pub use standin::site::store;

use {
    dogwoodreach::{
        Time,
        decide::lanes::Peers,
        ids::{Incarnation, WorkerId},
        ports::{
            Advice, Bounds, EndReason, Fault, Put, Start, StoreReply, Txn, WorkerCall, WorkerReply,
        },
        shard::{
            Setup, Shard,
            event::{CancelSource, Event, Order, Snapshot},
            record::{
                CancelRecord, CommitRow, JobRecord, OwnerRow, Progress, Roster, ShardNo, decode,
                encode,
            },
            report::JobReport,
        },
        units::Size,
        work::{
            AdviceCost, Job, JobNo, JobState, ListedWorker, Occurrences, Pool, Queue, QueueConfig,
            Step, StepKey, TaskKey,
        },
    },
    standin::site::setup,
    std::{
        collections::{BTreeSet, VecDeque},
        mem,
        sync::Arc,
        time::Duration,
    },
    store::{CallOutcome, Store},
    worker::Worker,
};

pub const SHARD: ShardNo = ShardNo(0);
/// The Unix time at [`Time::ZERO`], in milliseconds.
pub const UNIX_MS: u64 = 1_700_000_000_000;
/// How long an answer takes, and the interval between two ticks.
pub const TICK: Duration = Duration::from_millis(20);
/// The longest lease of a worker. It is long enough that 2% of it exceed every safety margin.
pub const MAX_LEASE: Duration = Duration::from_secs(20);
/// The longest time that a worker takes to stop a task.
pub const MAX_STOP: Duration = Duration::from_secs(1);

/// One shard together with its workers, its store and the calls that are in flight.
pub struct Harness {
    pub shard: Shard,
    pub token: u64,
    pub now: Time,
    pub workers: Vec<Worker>,
    pub store: Store,
    /// Outcomes of the next writes, in order. All writes after them succeed and are answered.
    pub write_outcomes: VecDeque<CallOutcome>,
    /// How many of the next reads of the commit row get no answer.
    pub lost_reads: u32,
    /// Whether the store answers writes and reads of the commit row.
    pub store_up: bool,
    /// Whether the store confirms the member's lease on every tick.
    pub lease_confirmed: bool,
    /// Whether the owner hears of changes of its inbox.
    pub inbox_heard: bool,
    /// Whether the advice service answers. Each ticket holds the time of its issue, in
    /// milliseconds.
    pub advice_up: bool,
    /// How long a call for advice takes.
    pub advice_delay: Duration,
    /// How long a hold call takes to be answered.
    pub hold_delay: Duration,
    /// How many calls for advice have been answered or given up.
    pub advice_calls: u64,
    /// Whether the shard has ordered its owner to give it up ([`Order::Deposed`]).
    pub deposed: bool,
    /// Every call that the owner made to a worker: when, the worker's index, and the call.
    pub call_log: Vec<(Time, usize, WorkerCall)>,
    /// Orders that are not answered yet, with the time when each was given.
    pending: Vec<(Time, Order)>,
    /// Transactions that take effect later, without an answer.
    delayed: Vec<(Time, Txn)>,
    /// Former incarnations of workers that have crashed.
    crashed: BTreeSet<WorkerId>,
}

fn bounds() -> Bounds {
    Bounds { max_lease: MAX_LEASE, stop_time: MAX_STOP, ..setup::bounds() }
}

/// The queues `plain` and `advised`, on one pool. Steps of `advised` need advice.
pub fn queues() -> Arc<QueueConfig> {
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
        public: false,
    };
    let cost = AdviceCost { base: ms(20), each: ms(2), valid: ms(2_000) };
    Arc::new(QueueConfig {
        version: 1,
        queues: vec![queue("plain", None), queue("advised", Some(cost))],
        pools: vec![Pool { name: "pool".into(), checks_room: false, standby: false }],
        max_body: 1 << 20,
        customers: None,
        revision: 0,
    })
}

/// A step of `count` tasks of `cores` cores each. The estimated run time is so long that no task
/// seems to be stuck. A worker has 4 cores.
pub fn step(count: u32, cores: u64) -> Step {
    Step { count, estimate: 20_000_000, size: Size::new(cores, 512, 0), ..Step::default() }
}

/// A job with `step` as its only step.
pub fn job(step: Step) -> Job {
    Job { text: "do it".into(), steps: [step].into(), times: None }
}

/// A task of the first step of job `no`.
pub fn task(no: u64, index: u32) -> TaskKey {
    TaskKey { step: StepKey { job: JobNo(no), time: 0, step: 0 }, index }
}

impl Harness {
    /// An owner with `count` workers, which are all usable when this returns.
    pub fn new(count: usize) -> Self {
        let mut store = Store::new(1);
        let shard = Shard::new(setup(0), Snapshot::default(), Time::ZERO);
        store.put(SHARD.roster_key(), encode(&Roster::default()));
        let mut harness = Harness {
            shard,
            token: 0,
            now: Time::ZERO,
            workers: (0..count).map(Worker::new).collect(),
            store,
            write_outcomes: VecDeque::new(),
            lost_reads: 0,
            store_up: true,
            lease_confirmed: true,
            inbox_heard: true,
            advice_up: true,
            advice_delay: Duration::ZERO,
            hold_delay: Duration::ZERO,
            advice_calls: 0,
            deposed: false,
            call_log: vec![],
            pending: vec![],
            delayed: vec![],
            crashed: BTreeSet::new(),
        };
        harness.take_over();
        harness.run(200);
        harness
    }

    /// Replaces the owner with a new one that has a higher token and loads its state from the
    /// store.
    pub fn take_over(&mut self) {
        self.token += 1;
        let commit = write_owner_rows(&mut self.store, self.token);
        self.shard = Shard::new(setup(self.token), load(&self.store, commit, self.now), self.now);
        self.pending.clear();
        self.deliver(Event::Queues(queues()));
        self.deliver(Event::Peers(Peers {
            unshared: vec![Incarnation(self.token)],
            shared: vec![],
        }));
        self.deliver_list();
    }

    /// The progress of a job as the store has it.
    pub fn stored_progress(&self, no: u64) -> Progress {
        let item = self.store.get(&SHARD.progress_key(JobNo(no))).and_then(|i| i.value);
        item.and_then(|v| decode(&v)).unwrap_or_default()
    }

    /// The state of a job as the owner shows it to callers, without a read of the store.
    pub fn state(&self, no: u64) -> Option<JobState> {
        match self.shard.report(JobNo(no), self.now) {
            Some(JobReport::Current(state)) => Some(state),
            _ => None,
        }
    }

    /// Stores a job that a caller submitted and notifies the owner.
    pub fn submit(&mut self, no: u64, queue: &str, job: Job) {
        let came = UNIX_MS + self.now.0 / 1_000;
        let record = JobRecord {
            queue: queue.into(),
            submitted_ms: came,
            job,
            queue_settings: None,
            customer: None,
        };
        self.store.put(SHARD.job_key(JobNo(no)), encode(&record));
        self.deliver(Event::Job(JobNo(no), Box::new(record)));
    }

    /// Like [`Harness::submit`], for a job that is due `ms` milliseconds later.
    pub fn submit_due(&mut self, no: u64, ms: u64, job: Job) {
        let first = UNIX_MS + self.now.0 / 1_000 + ms;
        let times = Some(Occurrences { count: 1, first, every: 1 });
        self.submit(no, "plain", Job { times, ..job });
    }

    /// Stores the cancellation of a job and notifies the owner.
    pub fn cancel(&mut self, no: u64) {
        let record =
            CancelRecord { asked_ms: UNIX_MS + self.now.0 / 1_000, ..CancelRecord::default() };
        self.store.put(SHARD.cancel_key(JobNo(no)), encode(&record));
        if self.inbox_heard {
            self.deliver(Event::Cancel(JobNo(no), record, CancelSource::Watch));
        }
    }

    /// Delivers the current list of workers to the owner.
    pub fn deliver_list(&mut self) {
        let listed: Vec<ListedWorker> = self.workers.iter().filter_map(Worker::entry).collect();
        self.deliver(Event::Listed(listed));
    }

    /// Crashes a worker and restarts it at once as a new incarnation. The owner is not told until
    /// the next [`Harness::deliver_list`].
    pub fn restart(&mut self, at: usize) {
        self.crashed.insert(self.workers[at].id.clone());
        self.workers[at].crash();
    }

    /// Crashes a worker, restarts it at once as a new incarnation and delivers the new list.
    pub fn crash(&mut self, at: usize) {
        self.restart(at);
        self.deliver_list();
    }

    /// The index of a worker, or `None` if this incarnation has crashed. Panics if there has never
    /// been such a worker.
    fn index_of(&self, worker: &WorkerId) -> Option<usize> {
        let at = self.workers.iter().position(|w| w.id == *worker);
        assert!(at.is_some() || self.crashed.contains(worker), "{worker} has never been a worker");
        at
    }

    /// Delivers an event to the shard and collects the orders that it gives in return.
    pub fn deliver(&mut self, event: Event) {
        for order in self.shard.handle(event, self.now) {
            if let Order::Worker { worker, call, .. } = &order
                && let Some(at) = self.index_of(worker)
            {
                self.call_log.push((self.now, at, WorkerCall::clone(call)));
            }
            self.deposed |= order == Order::Deposed;
            self.pending.push((self.now, order));
        }
    }

    /// Advances time by `ms` milliseconds.
    pub fn run(&mut self, ms: u64) {
        let deadline = self.now + Duration::from_millis(ms);
        while self.now < deadline {
            self.tick();
        }
    }

    /// Advances time until `condition` holds and returns that time. Panics with `what` if
    /// `condition` does not hold within `ms` milliseconds.
    pub fn run_until(&mut self, what: &str, ms: u64, condition: impl Fn(&Harness) -> bool) -> Time {
        let deadline = self.now + Duration::from_millis(ms);
        while !condition(self) {
            assert!(self.now < deadline, "{what}: did not happen within {ms} ms");
            self.tick();
        }
        self.now
    }

    /// Advances time by one [`TICK`]: answers the orders that are in flight, confirms the lease and
    /// delivers a tick.
    pub fn tick(&mut self) {
        self.now = self.now + TICK;
        for (at, txn) in mem::take(&mut self.delayed) {
            if at <= self.now {
                self.store.txn(&txn);
            } else {
                self.delayed.push((at, txn));
            }
        }
        for (sent, order) in mem::take(&mut self.pending) {
            self.answer(sent, order);
        }
        if self.lease_confirmed {
            self.deliver(Event::Confirmed(self.now));
        }
        if self.inbox_heard {
            self.deliver(Event::InboxSeen(self.now));
        }
        self.deliver(Event::Tick);
    }

    fn answer(&mut self, sent: Time, order: Order) {
        match &order {
            Order::Worker { call, limit, .. }
                if matches!(**call, WorkerCall::Hold { .. })
                    && self.now < sent + self.hold_delay.min(*limit) =>
            {
                self.pending.push((sent, order));
            }
            Order::Worker { worker, call, limit, .. }
                if matches!(**call, WorkerCall::Hold { .. })
                    && !self.hold_delay.is_zero()
                    && *limit <= self.hold_delay =>
            {
                let (worker, call) = (worker.clone(), call.clone());
                self.deliver(Event::Worker { worker, sent, call, reply: Err(Fault::Unknown) });
            }
            Order::Worker { worker, addr, call, limit } => {
                let at = self.index_of(worker);
                let other = Ok(WorkerReply::Other);
                let reply = at.map_or(other, |at| match &mut self.workers[at] {
                    w if w.port == addr.port() => w.answer(call, self.now),
                    _ => Err(Fault::Unknown),
                });
                if reply == Err(Fault::Unknown) && self.now < sent + *limit {
                    return self.pending.push((sent, order));
                }
                let (worker, call) = (worker.clone(), call.clone());
                self.deliver(Event::Worker { worker, sent, call, reply });
            }
            Order::Advise { via, call, sent, limit, .. } => {
                let waits = !self.advice_up && self.now < *sent + *limit;
                if waits || self.now < *sent + self.advice_delay {
                    return self.pending.push((*sent, order));
                }
                self.advice_calls += 1;
                let ticket: Box<str> = (self.now.0 / 1_000).to_string().into();
                let good = call.workers.iter().map(|w| (w.clone(), ticket.clone())).collect();
                let advice = Advice { accepted: good, validity: None };
                let reply = if self.advice_up { Ok(advice) } else { Err(Fault::Unknown) };
                self.deliver(Event::Advised { call: call.clone(), via: *via, sent: *sent, reply });
            }
            Order::Store(..) | Order::ReadCommit if !self.store_up => {
                self.pending.push((sent, order))
            }
            Order::Store(number, txn) => self.write(*number, txn),
            Order::ReadCommit if self.lost_reads > 0 => {
                self.lost_reads -= 1;
                self.deliver(Event::CommitRead(Err(Fault::Unknown)));
            }
            Order::ReadCommit => {
                let row = self.store.get(&SHARD.commit_key()).expect("a commit row");
                let read = decode(&row.value.expect("a value")).expect("a row");
                self.deliver(Event::CommitRead(Ok((row.rev, read))));
            }
            Order::Divide { customer, txn, .. } => {
                let reply = Ok(self.store.divide(customer, txn, true));
                self.deliver(Event::Divided(customer.clone(), reply));
            }
            Order::ReadDivisions => {
                let reply = Ok(self.store.divisions());
                self.deliver(Event::Divisions { sent, reply });
            }
            // The harness has no list of machines.
            Order::ReadMachines => {
                self.deliver(Event::Machines { sent, reply: Err(Fault::Unsent) })
            }
            Order::ReportUsage(_) | Order::Deposed => {}
        }
    }

    fn write(&mut self, number: u64, txn: &Txn) {
        let reply = match self.write_outcomes.pop_front().unwrap_or(CallOutcome::Answered) {
            CallOutcome::Answered => Ok(self.store.txn(txn)),
            CallOutcome::Refused => Err(Fault::Refused),
            CallOutcome::Unanswered => Err(Fault::Unknown),
            CallOutcome::AnswerLost(delay) => {
                if delay.is_zero() {
                    self.store.txn(txn);
                } else {
                    self.delayed.push((self.now + delay, txn.clone()));
                }
                Err(Fault::Unknown)
            }
        };
        self.deliver(Event::Stored(number, reply));
    }

    /// All starts so far: when, the worker's index, and the start.
    pub fn starts(&self) -> Vec<(Time, usize, Start)> {
        let start = |(at, w, call): &(Time, usize, WorkerCall)| match call {
            WorkerCall::Start(s) => Some((*at, *w, s.clone())),
            _ => None,
        };
        self.call_log.iter().filter_map(start).collect()
    }

    /// All starts of a job so far.
    pub fn starts_of(&self, no: u64) -> Vec<(Time, usize, Start)> {
        self.starts().into_iter().filter(|s| s.2.task.step.job == JobNo(no)).collect()
    }

    /// All stops so far: when, the worker's index, and the task.
    pub fn stops(&self) -> Vec<(Time, usize, TaskKey)> {
        let stop = |(at, w, call): &(Time, usize, WorkerCall)| match call {
            WorkerCall::Stop { task, .. } => Some((*at, *w, *task)),
            _ => None,
        };
        self.call_log.iter().filter_map(stop).collect()
    }

    /// All leases that a worker was given: when, and the expiry on the worker's clock, in
    /// milliseconds.
    pub fn leases(&self, worker: usize) -> Vec<(Time, u64)> {
        let lease = |(at, _, call): &(Time, usize, WorkerCall)| match call {
            WorkerCall::Hold { until: Some(until), .. } => Some((*at, *until)),
            WorkerCall::Start(s) => Some((*at, s.lease_end_ms)),
            _ => None,
        };
        self.call_log.iter().filter(|(_, w, _)| *w == worker).filter_map(lease).collect()
    }

    /// The highest number of an end that the owner has acknowledged to a worker.
    pub fn last_acked_end(&self, worker: usize) -> u64 {
        let seen = |(_, w, call): &(Time, usize, WorkerCall)| match call {
            WorkerCall::Hold { seen, .. } if *w == worker => Some(*seen),
            _ => None,
        };
        self.call_log.iter().filter_map(seen).max().unwrap_or(0)
    }

    /// Indices of the workers on which a task runs.
    pub fn workers_running(&self, task: TaskKey) -> Vec<usize> {
        let runs_task = |w: &Worker| w.running.iter().any(|r| r.task == task);
        (0..self.workers.len()).filter(|w| runs_task(&self.workers[*w])).collect()
    }

    /// Ends a task on the one worker that runs it.
    pub fn end(&mut self, task: TaskKey, how: EndReason) {
        let ended = self.workers.iter_mut().map(|w| w.end(&task, how));
        assert_eq!(ended.filter(|e| *e).count(), 1, "{task} must run on exactly one worker");
    }
}

/// What an owner with this token begins with.
pub fn setup(token: u64) -> Setup {
    Setup { shard: SHARD, member: Incarnation(token), token, bounds: bounds(), unix_ms: UNIX_MS }
}

/// Writes the rows of a takeover at one revision, and returns it.
pub fn write_owner_rows(store: &mut Store, token: u64) -> u64 {
    let owner = OwnerRow { owner: Some(Incarnation(token)), token, control: None };
    let rows = [
        (SHARD.owner_key(), encode(&owner)),
        (SHARD.commit_key(), encode(&CommitRow { token, number: 0 })),
    ];
    let puts = rows.map(|(key, value)| Put { key, value, lease: 0 }).into();
    match store.txn(&Txn { puts, ..Txn::default() }) {
        StoreReply::Done(rev) => rev,
        reply => panic!("{reply:?}"),
    }
}

/// What a new owner that has written the commit row at this revision loads from the store now.
pub fn load(store: &Store, commit: u64, now: Time) -> Snapshot {
    let tail = |key: &str| key.rsplit('/').next().and_then(|n| n.parse().ok());
    let of = |kind: &str| store.range(&format!("{}{kind}/", SHARD.inbox_prefix()));
    let jobs = of("j").into_iter().filter_map(|(k, v)| Some((tail(&k)?, decode(&v)?)));
    let cancels = of("c").into_iter().filter_map(|(k, v)| Some((tail(&k)?, decode(&v)?)));
    let progress = store.range(&SHARD.progress_prefix()).into_iter();
    let roster = store.get(&SHARD.roster_key()).and_then(|i| i.value);
    Snapshot {
        divisions: store.divisions(),
        jobs: jobs.collect(),
        cancels: cancels.collect(),
        progress: progress.filter_map(|(k, v)| Some((tail(&k)?, decode(&v)?))).collect(),
        roster: roster.and_then(|v| decode(&v)).unwrap_or_default(),
        commit_revision: commit,
        read_at: now,
        lapsed: false,
    }
}
