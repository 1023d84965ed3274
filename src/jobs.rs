//! The buckets that a member owns: claims on keys, and the tasks of jobs.
//!
//! Owns the member's buckets. Calls [`bucket`](crate::bucket), [`tasks`](crate::tasks) and
//! [`gangs`](crate::gangs), which don't call each other; [`core`](crate::core) calls it.
//!
//! Decides nothing itself: [`Tasks`] says what is next, [`Gangs`] how a gang gets its room, and each
//! bucket's record what has been tried. This joins them: picks become wishes for room, room becomes
//! attempts, and the ends of attempts go back to where the next pick is decided.
//!
//! What an event has touched is sent at once. All buckets are looked over five times a second, for
//! what only time brings about: after each of thousands of events a second that would take most of a
//! processor.

mod load;
mod part;
mod place;
mod send;

pub use crate::tasks::Balance;
use {
    self::part::Partings,
    crate::{
        Time,
        bucket::Bucket as State,
        event::{Call, Order, Ticket},
        gangs::Gangs,
        http::Failure,
        ids::{
            Attempt, Bucket, Epoch, Incarnation, JobId, RackId, RequestId, TaskId, TaskIndex,
            bucket_of, team_bucket,
        },
        messages::{
            BucketRecord, ClaimAsk, ClaimEnd, ClaimReply, EndItem, KvEntry, KvPutReply, ProbeAsk,
            ProbeReply, RackLoad, ReserveAsk, ReserveReply, ReserveRow, StartAsk, TaskRow,
            TaskShow, TaskState, Vm,
        },
        tasks::{Tasks, live},
        text::Plan,
        units::Size,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        rc::Rc,
        time::Duration,
    },
};

/// How often what runs is asked after.
const PROBE: Duration = Duration::from_secs(2);
/// How often what waits is looked over: a fifth of the time in which urgent work has to start.
const SCAN: Duration = Duration::from_millis(200);
/// How many tasks one scan places. At five scans a second this is 1,280 starts a second, above the
/// peak of 940 even where all of it falls on one member, and bounds the time of one turn.
const BATCH: usize = 256;

/// The buckets that a member owns.
pub struct Jobs {
    me: Incarnation,
    unix: u64,
    buckets: BTreeMap<Bucket, Owned>,
    partings: Partings,
    /// The buckets whose changes wait for the budget of writes, and when to look again.
    waiting: BTreeSet<Bucket>,
    nap: Time,
    plan: Rc<Plan>,
    tasks: Tasks,
    gangs: Gangs,
    scan: Time,
    /// When all buckets are next looked over; a scan that an end brings forward leaves this as it is.
    sweep: Time,
    probe: Time,
    /// Whether a plan has come at all.
    known: bool,
    /// Whether a plan has come that is not taken in yet.
    stale: bool,
    /// The jobs that are to be taken in once nothing of the same name is in the way.
    todo: BTreeSet<JobId>,
}

struct Owned {
    epoch: Epoch,
    state: State,
    loaded: bool,
    running: BTreeMap<TaskId, Attempt>,
    used: BTreeMap<TaskId, Size>,
    /// Whether there may be something to send.
    touched: bool,
    /// Whether attempts may have ended.
    changed: bool,
}

/// What the buckets call for beyond their own records.
pub enum Want {
    /// Room for attempts, all of one pool; whoever has it.
    Reserve(ReserveAsk),
    /// Room that is not needed after all, on one rack.
    Release(RackId, ReserveReply),
    /// Starts and stops at the owner of a rack.
    Start(StartAsk),
    /// Word of what became of attempts, from the owner of a rack.
    Probe(ProbeAsk),
    /// The answer to a claim.
    Claimed(RequestId, ClaimReply),
    /// The word of a claim's end with this ticket is committed.
    Kept(Ticket),
}

impl Jobs {
    /// No buckets yet; `unix` is the Unix clock at [`Time::ZERO`], in seconds.
    pub fn new(me: Incarnation, unix: u64) -> Self {
        Jobs {
            me,
            unix,
            buckets: BTreeMap::new(),
            partings: Partings::default(),
            waiting: BTreeSet::new(),
            nap: Time::ZERO,
            plan: Rc::default(),
            tasks: Tasks::new(me.0),
            gangs: Gangs::new(me.0),
            scan: Time::ZERO,
            sweep: Time::ZERO,
            probe: Time::ZERO,
            known: false,
            stale: false,
            todo: BTreeSet::new(),
        }
    }

    /// Takes the plan in force.
    pub fn planned(&mut self, plan: &Rc<Plan>) {
        self.plan = plan.clone();
        self.tasks.planned(plan);
        (self.known, self.stale) = (true, true);
        self.scan = Time::ZERO;
    }

    /// Takes the platform's list of workers.
    pub fn workers<'a>(&mut self, vms: impl Iterator<Item = &'a Vm>) {
        self.tasks.workers(vms);
    }

    /// A bucket is this member's now.
    pub fn gained(&mut self, bucket: Bucket, epoch: Epoch) {
        self.lost(bucket);
        let owned = Owned {
            epoch,
            state: State::new(epoch, self.me, self.unix),
            loaded: false,
            running: BTreeMap::new(),
            used: BTreeMap::new(),
            touched: true,
            changed: true,
        };
        self.buckets.insert(bucket, owned);
    }

    /// A bucket has passed to another member.
    pub fn lost(&mut self, bucket: Bucket) {
        if let Some(owned) = self.buckets.remove(&bucket) {
            self.partings.push(owned, bucket);
            self.tasks.lost(bucket);
            // The gangs being placed there are given up at the next scan.
            self.stale = true;
        }
    }

    /// Whether a bucket is this member's.
    pub fn owns(&self, bucket: Bucket) -> bool {
        self.buckets.contains_key(&bucket)
    }

    /// How many buckets are owned.
    pub fn count(&self) -> usize {
        self.buckets.len()
    }

    /// Asks for a claim; the answer comes as [`Want::Claimed`].
    pub fn claim(&mut self, ask: ClaimAsk, now: Time) {
        if let Some(owned) = self.buckets.get_mut(&bucket_of(ask.key.as_str())) {
            owned.state.ask(ask, now);
            owned.touched = true;
        }
    }

    /// Takes word of how a claimed request ended; [`Want::Kept`] follows once it is committed.
    pub fn claim_end(&mut self, end: ClaimEnd, ticket: Ticket) {
        if let Some(owned) = self.buckets.get_mut(&bucket_of(end.key.as_str())) {
            owned.state.end(end, ticket);
            owned.touched = true;
        }
    }

    /// Takes the answer to a read of a bucket's record.
    pub fn got(&mut self, at: (Bucket, Epoch, u64), entry: Result<KvEntry, Failure>, now: Time) {
        let reply = match entry {
            Err(_) => None,
            Ok(e) if e.revision.0 == 0 => Some(None),
            Ok(e) => match serde_json::from_str::<BucketRecord>(&e.value) {
                Ok(record) => Some(Some((e.revision, Box::new(record)))),
                Err(err) => {
                    log::error!(target: "jobs", "Record {} cannot be read: {err}.", e.key);
                    None
                }
            },
        };
        if let Some(state) = self.partings.get(at.0, at.1) {
            return state.read(at.2, reply, now);
        }
        let Some(owned) = self.buckets.get_mut(&at.0).filter(|o| o.epoch == at.1) else { return };
        owned.state.read(at.2, reply, now);
        (owned.touched, owned.changed) = (true, true);
    }

    /// Takes the answer to a write of a bucket's record.
    pub fn put(&mut self, at: (Bucket, Epoch, u64), reply: Result<KvPutReply, Failure>, now: Time) {
        if let Some(state) = self.partings.get(at.0, at.1) {
            return state.wrote(at.2, reply.ok().as_ref(), now);
        }
        let Some(owned) = self.buckets.get_mut(&at.0).filter(|o| o.epoch == at.1) else { return };
        owned.state.wrote(at.2, reply.ok().as_ref(), now);
        (owned.touched, owned.changed) = (true, true);
    }

    /// Takes word of attempts from a rack's owner.
    pub fn heard(&mut self, bucket: Bucket, items: &[EndItem], now: Time) -> bool {
        let Some(owned) = self.buckets.get_mut(&bucket).filter(|o| o.loaded) else { return false };
        for item in items {
            owned.state.heard(item);
            if let Some(used) = item.used.filter(|_| owned.running.contains_key(&item.task)) {
                owned.used.insert(item.task.clone(), used);
            }
        }
        owned.touched = true;
        for item in items {
            self.settle(bucket, &item.task, now);
        }
        self.scan = self.scan.min(now);
        true
    }

    /// Takes the answer to a probe.
    pub fn probed(&mut self, ask: &ProbeAsk, reply: ProbeReply, now: Time) {
        let Some(owned) = self.buckets.get_mut(&ask.bucket) else { return };
        (owned.touched, owned.changed) = (true, true);
        for row in reply.rows {
            if let Some(age) = row.age {
                owned.state.report(&row.worker, now - Duration::from_millis(age), &row.tasks);
            }
            let Some(cut) = row.cut else { continue };
            let until = now + Duration::from_millis(cut);
            for item in ask.items.iter().filter(|i| i.worker == row.worker) {
                owned.state.cut(&item.task, item.attempt, until);
            }
        }
    }

    /// Whether the next tick looks over what waits, and needs to know what is free where.
    pub fn due(&self, now: Time) -> bool {
        self.scan <= now
    }

    /// Does what is due. `sure` is the end of this member's lease; `racks` says what is free where.
    pub fn tick(
        &mut self,
        now: Time,
        sure: Option<Time>,
        racks: &[RackLoad],
        out: &mut Vec<Order>,
    ) -> Vec<Want> {
        let mut wants = vec![];
        if self.sweep <= now {
            self.sweep = now + SCAN;
            self.buckets.values_mut().for_each(|o| o.touched = true);
        }
        self.wake_waiting(now);
        if self.scan <= now {
            self.scan = now + SCAN;
            self.load(now, &mut wants);
            self.settle_changed(self.probe <= now, now);
            self.stop(now);
            self.tasks.wake(now);
            self.pick(now, racks, &mut wants);
            for step in self.gangs.tick(now) {
                wants.extend(self.gang_step(step, now));
            }
        }
        if self.probe <= now {
            self.probe = now + PROBE;
            self.ask_after(&mut wants);
        }
        self.flush(now, sure, out, &mut wants);
        wants
    }

    /// The tasks, for operators.
    pub fn show(&self) -> Vec<TaskShow> {
        let mut rows = vec![];
        for (name, job) in &self.plan.jobs {
            let Some(owned) = self.buckets.get(&team_bucket(&job.team)) else { continue };
            for index in 0..job.tasks {
                let task = TaskId { job: name.clone(), index: TaskIndex(index) };
                let row = owned.state.attempts().get(&task);
                let past = owned.state.past(name);
                let done = row.is_none() && past.is_some_and(|p| p.done.contains(task.index));
                let state = match row {
                    Some(row) => row.state.to_string().into(),
                    None if done => TaskState::Ended.to_string().into(),
                    None => "waiting".into(),
                };
                let over = |r: &TaskRow| live(r.state) || r.state == TaskState::Ended;
                let waits = !done && !row.is_some_and(over);
                rows.push(TaskShow {
                    attempt: row.map_or(Attempt(0), |r| r.attempt),
                    state,
                    worker: row.and_then(|r| r.worker.clone()),
                    reason: if waits { self.tasks.reason(&task) } else { None },
                    task,
                });
            }
        }
        rows
    }

    /// What is counted of the tasks here, to see that nothing is left when all is over.
    pub fn balance(&self) -> Balance {
        self.tasks.balance()
    }

    /// The jobs here that have ended and that others depend on.
    pub fn done(&self) -> Vec<JobId> {
        self.tasks.done()
    }

    /// Takes a peer's word of jobs that have ended.
    pub fn ended(&mut self, jobs: Vec<JobId>) {
        self.tasks.add_remote_ended(jobs);
    }

    fn stop(&mut self, now: Time) {
        for task in self.tasks.stops(now) {
            let bucket = self.tasks.bucket(&task).and_then(|id| self.buckets.get_mut(&id));
            let Some(owned) = bucket else { continue };
            owned.state.stop(&task);
            (owned.touched, owned.changed) = (true, true);
        }
    }
}

fn release(rows: Vec<ReserveRow>) -> Vec<Want> {
    let mut racks: BTreeMap<RackId, Vec<ReserveRow>> = BTreeMap::new();
    for row in rows {
        racks.entry(row.rack.clone()).or_default().push(row);
    }
    racks.into_iter().map(|(rack, rows)| Want::Release(rack, ReserveReply { rows })).collect()
}

/// The call that a want becomes, where a peer is to carry it out.
pub fn call(want: Want) -> Option<Call> {
    match want {
        Want::Reserve(ask) => Some(Call::Reserve(ask)),
        Want::Release(_, rows) => Some(Call::Release(rows)),
        Want::Start(ask) => Some(Call::Start(ask)),
        Want::Probe(ask) => Some(Call::Probe(ask)),
        Want::Claimed(..) | Want::Kept(_) => None,
    }
}
