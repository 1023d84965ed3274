//! A shard's owner, its successor, their store and callers that ask at any time, in virtual time:
//! nothing happens but by a [`Move`], so that a test chooses the order.

use {
    crate::hand::{
        SHARD, UNIX_MS, job, load, queues, setup, step, store::Store, task, worker::Worker,
    },
    dogwoodreach::{
        Time,
        decide::lanes::Peers,
        ids::{Incarnation, WorkerId},
        ports::{EndReason, Fault, StoreReply, Txn, WorkerCall},
        shard::{
            Shard,
            event::{CancelSource, Event, Order, Snapshot},
            record::{CancelRecord, CommitRow, JobRecord, Progress, Roster, decode, encode},
            report::JobReport,
        },
        work::{JobNo, JobState},
    },
    std::{
        collections::hash_map::DefaultHasher,
        hash::{Hash, Hasher},
        mem,
        time::Duration,
    },
};

/// The job that callers ask for.
pub const JOB: JobNo = JobNo(1);
/// Time between two ticks of an owner; longer than the first pause after a write that failed.
const TICK: Duration = Duration::from_millis(60);
/// Time for which all processes stand still. Two pauses last as long as a member's lease.
const PAUSE: Duration = Duration::from_secs(1);
/// The shortest lease of a member, counted from its renewal.
const LEASE: Duration = Duration::from_secs(2);

/// A step of the site. The number names an owner: 0 is the first one, 1 its successor.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Move {
    /// The answer of the worker reaches the first owner: the job's only task is done.
    Ended,
    /// A caller's cancel of the job is stored.
    Cancel,
    /// An owner hears of the cancel.
    Notice(usize),
    /// The store carries out an owner's call.
    Store(usize),
    /// The store's answer reaches the owner.
    Answer(usize),
    /// The store refuses an owner's call.
    Refuse(usize),
    /// The owner gets an answer that it can't read. A write that the store has not carried out may
    /// be still.
    Garble(usize),
    /// The owner gets no answer. A write that the store has not carried out may be still.
    Lose(usize),
    /// The store carries out a write that its owner has given up.
    Late,
    /// Time passes, and an owner has a tick.
    Tick(usize),
    /// The store renews the lease of the first owner's member.
    Renew,
    /// An owner hears that its member's lease was renewed.
    Confirm(usize),
    /// Time passes, and nothing else happens.
    Pause,
    /// Another member takes the shard over, as the lease has ended.
    TakeOver,
}

/// An owner's call of the store.
#[derive(Debug)]
enum Call {
    Write(u64, Txn, Option<StoreReply>),
    Read(Option<(u64, CommitRow)>),
}

struct Owner {
    shard: Shard,
    call: Option<Call>,
    /// Whether it is to hear of the cancel.
    notice: bool,
    /// When the renewal was sent whose confirmation is on its way.
    renewed: Option<Time>,
    /// How many ends of tasks the worker had when it answered a hold last.
    ends: Option<u64>,
    /// Summary of all that it was told.
    heard: u64,
}

/// An owner's report to an asker.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Heard {
    pub owner: usize,
    pub report: Option<JobReport>,
}

pub struct Site {
    pub now: Time,
    pub store: Store,
    owners: Vec<Owner>,
    worker: Worker,
    /// The worker's call that waits for the end of the task.
    hold: Option<(WorkerId, Time, Box<WorkerCall>)>,
    late: Vec<Txn>,
    lease_from: Time,
    cancelled: bool,
    losses: u32,
    pauses: u32,
    renewals: u32,
    ticks: u32,
    /// The first final state that a caller was told.
    pub told: Option<JobState>,
    /// Reports that were made after a caller was told a final state.
    reports: Vec<Heard>,
}

fn digest(value: impl Hash) -> u64 {
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    hasher.finish()
}

impl Site {
    /// A site whose owner has the job queued.
    pub fn queued() -> Self {
        let mut site = Self::empty(false);
        site.take_over();
        site.age_lease();
        site
    }

    /// A site whose owner runs the job and has not heard that the job's only task is done.
    pub fn running() -> Self {
        let mut site = Self::empty(true);
        site.take_over();
        while !site.is_running() {
            assert!(site.now < Time::from_millis(11_000), "the job must run soon");
            site.now = site.now + TICK;
            site.deliver(0, Event::Confirmed(site.now));
            site.deliver(0, Event::Tick);
            site.play(Move::Ended);
            while site.owners[0].call.is_some() {
                site.play(Move::Store(0));
                site.play(Move::Answer(0));
            }
        }
        site.age_lease();
        assert!(site.worker.end(&task(1, 0), EndReason::Done));
        site
    }

    fn empty(lists_worker: bool) -> Self {
        let mut store = Store::new(1);
        store.put(SHARD.roster_key(), encode(&Roster::default()));
        let (queue, job) = ("plain".into(), job(step(1, 1)));
        let record =
            JobRecord { queue, submitted_ms: UNIX_MS, job, queue_settings: None, customer: None };
        store.put(SHARD.job_key(JOB), encode(&record));
        let mut worker = Worker::new(0);
        worker.listed = lists_worker;
        Site {
            now: Time::from_millis(10_000),
            store,
            owners: vec![],
            worker,
            hold: None,
            late: vec![],
            lease_from: Time::ZERO,
            cancelled: false,
            losses: 0,
            pauses: 0,
            renewals: 0,
            ticks: 0,
            told: None,
            reports: vec![],
        }
    }

    /// The owner's lease was renewed a pause ago.
    fn age_lease(&mut self) {
        self.owners[0].renewed = Some(self.now);
        self.lease_from = self.now;
        self.play(Move::Confirm(0));
        self.now = self.now + PAUSE;
    }

    /// The state of the job that a caller is told from the store.
    pub fn stored(&self) -> Option<JobState> {
        let progress = self.store.get(&SHARD.progress_key(JOB)).and_then(|i| i.value);
        match progress.and_then(|v| decode::<Progress>(&v)) {
            Some(progress) => Some(progress.state),
            None => self.store.get(&SHARD.job_key(JOB)).map(|_| JobState::Queued),
        }
    }

    fn is_running(&self) -> bool {
        self.hold.is_some() && !self.worker.running.is_empty() && self.owners[0].call.is_none()
    }

    fn take_over(&mut self) {
        let (at, token) = (self.owners.len(), self.owners.len() as u64 + 1);
        let row = encode(&CommitRow { token, number: 0 });
        let commit = self.store.put(SHARD.commit_key(), row);
        let loaded = Snapshot { lapsed: true, ..load(&self.store, commit, self.now) };
        let shard = Shard::new(setup(token), loaded, self.now);
        let renewed = Some(self.now);
        self.owners.push(Owner {
            shard,
            call: None,
            notice: false,
            renewed,
            ends: None,
            heard: digest(self.now.0),
        });
        let Some(listed) = self.worker.entry() else { return self.deliver(at, Event::Tick) };
        self.deliver(at, Event::Queues(queues()));
        let peers = Peers { unshared: vec![Incarnation(token)], shared: vec![] };
        self.deliver(at, Event::Peers(peers));
        self.deliver(at, Event::Listed(vec![listed]));
    }

    fn deliver(&mut self, at: usize, event: Event) {
        let owner = &mut self.owners[at];
        owner.heard = digest((owner.heard, self.now.0, format!("{event:?}")));
        for order in owner.shard.handle(event, self.now) {
            self.carry_out(at, order);
        }
    }

    fn carry_out(&mut self, at: usize, order: Order) {
        match order {
            Order::Store(number, txn) => {
                self.owners[at].call = Some(Call::Write(number, txn, None))
            }
            Order::ReadCommit => self.owners[at].call = Some(Call::Read(None)),
            Order::Worker { worker, call, .. } => {
                if let WorkerCall::Hold { .. } = *call {
                    let (ends, owner) = (Some(self.worker.end_count), &mut self.owners[at]);
                    // A worker answers a hold as it has news: the first one, and a task's end.
                    if owner.ends == ends {
                        self.hold = (at == 0).then_some((worker, self.now, call));
                        return;
                    }
                    owner.ends = ends;
                }
                let (sent, reply) = (self.now, self.worker.answer(&call, self.now));
                self.deliver(at, Event::Worker { worker, sent, call, reply });
            }
            Order::Advise { .. }
            | Order::ReadMachines
            | Order::Divide { .. }
            | Order::ReadDivisions
            | Order::ReportUsage(_)
            | Order::Deposed => {}
        }
    }

    /// The steps that are possible now.
    pub fn moves(&self) -> Vec<Move> {
        let mut all = vec![];
        let mut add = |may: bool, next| all.extend(may.then_some(next));
        let alone = self.owners.len() == 1;
        add(self.hold.is_some(), Move::Ended);
        add(!self.cancelled, Move::Cancel);
        add(!self.late.is_empty(), Move::Late);
        add(alone && self.renewals == 0, Move::Renew);
        add(self.pauses < 3, Move::Pause);
        add(alone && self.now >= self.lease_from + LEASE, Move::TakeOver);
        for (at, owner) in self.owners.iter().enumerate() {
            let answered = owner.call.as_ref().map(Call::is_answered);
            add(answered == Some(false), Move::Store(at));
            add(answered == Some(true), Move::Answer(at));
            add(answered.is_some() && self.losses < 2, Move::Lose(at));
            add(answered.is_some() && self.losses < 2, Move::Garble(at));
            add(answered == Some(false) && self.losses < 2, Move::Refuse(at));
            add(owner.notice, Move::Notice(at));
            add(owner.renewed.is_some(), Move::Confirm(at));
            add(self.ticks < 3, Move::Tick(at));
        }
        all
    }

    /// Makes a step.
    pub fn play(&mut self, next: Move) {
        match next {
            Move::Ended => {
                if let Some((worker, sent, call)) = self.hold.take() {
                    // The worker answers what it was asked before it heard of the successor.
                    let token = mem::replace(&mut self.worker.token, 0);
                    let reply = self.worker.answer(&call, self.now);
                    self.worker.token = token;
                    self.deliver(0, Event::Worker { worker, sent, call, reply });
                }
            }
            Move::Cancel => {
                self.cancelled = true;
                self.owners.iter_mut().for_each(|o| o.notice = true);
                self.store.put(SHARD.cancel_key(JOB), encode(&CancelRecord::default()));
            }
            Move::Notice(at) => {
                self.owners[at].notice = false;
                self.deliver(at, Event::Cancel(JOB, CancelRecord::default(), CancelSource::Watch));
            }
            Move::Store(at) => self.store_call(at),
            Move::Answer(at) => self.answer_call(at),
            Move::Refuse(at) => self.fail_call(at, Fault::Refused),
            Move::Garble(at) => self.fail_call(at, Fault::Bad("not an answer".into())),
            Move::Lose(at) => self.fail_call(at, Fault::Unknown),
            Move::Late => {
                let txn = self.late.remove(0);
                self.store.txn(&txn);
            }
            Move::Tick(at) => {
                self.ticks += 1;
                self.now = self.now + TICK;
                self.deliver(at, Event::Tick);
            }
            Move::Renew => {
                self.renewals += 1;
                self.lease_from = self.now;
                self.owners[0].renewed = Some(self.now);
            }
            Move::Confirm(at) => {
                let Some(sent) = self.owners[at].renewed.take() else { return };
                self.deliver(at, Event::Confirmed(sent));
            }
            Move::Pause => {
                self.pauses += 1;
                self.now = self.now + PAUSE;
            }
            Move::TakeOver => self.take_over(),
        }
    }

    fn store_call(&mut self, at: usize) {
        match &mut self.owners[at].call {
            Some(Call::Write(_, txn, reply)) => *reply = Some(self.store.txn(txn)),
            Some(Call::Read(row)) => {
                let item = self.store.get(&SHARD.commit_key());
                *row = item.and_then(|i| Some((i.rev, decode(&i.value?)?)));
            }
            None => {}
        }
    }

    fn answer_call(&mut self, at: usize) {
        match self.owners[at].call.take() {
            Some(Call::Write(number, _, Some(reply))) => {
                self.deliver(at, Event::Stored(number, Ok(reply)))
            }
            Some(Call::Read(Some(row))) => self.deliver(at, Event::CommitRead(Ok(row))),
            call => self.owners[at].call = call,
        }
    }

    fn fail_call(&mut self, at: usize, fault: Fault) {
        self.losses += 1;
        match self.owners[at].call.take() {
            Some(Call::Write(number, txn, reply)) => {
                if reply.is_none() && fault != Fault::Refused {
                    self.late.push(txn);
                }
                self.deliver(at, Event::Stored(number, Err(fault)));
            }
            _ => self.deliver(at, Event::CommitRead(Err(fault))),
        }
    }

    /// The reports that each owner makes now.
    pub fn heard(&self) -> Vec<Heard> {
        let report = |o: &Owner| o.shard.report(JOB, self.now);
        let all = self.owners.iter().map(report).enumerate();
        all.map(|(owner, report)| Heard { owner, report }).collect()
    }

    /// Lets callers ask every owner and the store. Returns the fault if one of them is told what
    /// contradicts the final state that another was told before it asked.
    ///
    /// Callers change nothing, so their steps need no moves: each report that was made after a final
    /// state was told reaches its asker, which reads the store, after each of the later moves too.
    pub fn ask(&mut self) -> Result<(), String> {
        let stored = self.stored().ok_or("the job is unknown")?;
        let told = |h: &Heard| h.report.map_or(stored, |r| r.with_stored(stored));
        let heard = self.heard();
        let mut states = heard.iter().map(told).chain([stored]);
        self.told = self.told.or_else(|| states.find(|s| s.is_final()));
        let Some(over) = self.told else { return Ok(()) };
        for new in heard {
            if !self.reports.contains(&new) {
                self.reports.push(new);
            }
        }
        match self.reports.iter().find(|h| told(h) != over) {
            Some(h) => Err(format!("the job is {}, and was {over} before, by {h:?}", told(h))),
            None => Ok(()),
        }
    }

    /// A number that is the same for sites that can't be told apart by what happens next.
    pub fn digest(&self) -> u64 {
        let owner =
            |o: &Owner| (o.heard, o.notice, format!("{:?}", o.call), o.renewed.map(|t| t.0));
        let owners: Vec<_> = self.owners.iter().map(owner).collect();
        let store = format!("{:?} {:?}", self.store.items, self.late);
        let counts = (self.losses, self.pauses, self.renewals, self.ticks);
        let callers = format!("{:?} {:?}", self.told, self.reports);
        let flags = (self.cancelled, self.hold.is_some(), self.lease_from.0);
        digest((self.now.0, owners, store, counts, callers, flags))
    }
}

impl Call {
    fn is_answered(&self) -> bool {
        match self {
            Call::Write(_, _, reply) => reply.is_some(),
            Call::Read(row) => row.is_some(),
        }
    }
}
