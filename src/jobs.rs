//! The buckets that a member owns: claims on keys, and the tasks of jobs.
//!
//! Owns the member's buckets. Calls [`bucket`](crate::bucket), [`tasks`](crate::tasks) and
//! [`gangs`](crate::gangs), which don't call each other; called by [`core`](crate::core).
//!
//! This module connects them and decides nothing itself. [`Tasks`] decides what is next, [`Gangs`]
//! decides how a gang gets its room, and each bucket's record holds the attempts. Picked tasks
//! become reservation requests, reservations become attempts, and ends of attempts are passed back
//! to [`Tasks`].
//!
//! The results of an event are sent at once. Work that only the passage of time makes due is found
//! by a scan of all buckets five times a second. A scan after each of thousands of events per
//! second would take most of a processor.

mod departing;
mod load;
mod place;
mod send;

pub use crate::tasks::Balance;
use {
    self::departing::Departing,
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
            ProbeItem, ProbeReply, RackLoad, ReserveAsk, ReserveReply, ReserveRow, StartAsk,
            TaskRow, TaskShow, TaskState, Vm,
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

/// Interval between probes of running attempts.
const PROBE_INTERVAL: Duration = Duration::from_secs(2);
/// Interval between scans of waiting tasks: a fifth of the time in which urgent work must start.
const SCAN_INTERVAL: Duration = Duration::from_millis(200);
/// The largest number of tasks that one scan places. At five scans a second this is 1,280 starts a
/// second, above the peak of 940 even if one member gets all of it. The limit bounds the time of
/// one tick.
const MAX_PICKS: usize = 256;

/// The buckets that a member owns.
pub struct Jobs {
    me: Incarnation,
    unix: u64,
    buckets: BTreeMap<Bucket, Owned>,
    departing: Departing,
    /// Buckets with changes that wait for the write budget.
    waiting: BTreeSet<Bucket>,
    next_wake: Time,
    plan: Rc<Plan>,
    tasks: Tasks,
    gangs: Gangs,
    next_scan: Time,
    /// When all buckets are scanned next. A scan that the end of an attempt brings forward does not
    /// change this time.
    next_sweep: Time,
    next_probe: Time,
    /// Whether this member has received a plan.
    has_plan: bool,
    /// Whether a plan was received, or a bucket lost, that has not been processed yet.
    needs_load: bool,
    /// Jobs to take in once no task of an earlier job of the same name is left.
    unloaded: BTreeSet<JobId>,
}

struct Owned {
    epoch: Epoch,
    state: State,
    loaded: bool,
    running: BTreeMap<TaskId, Attempt>,
    used: BTreeMap<TaskId, Size>,
    /// Whether there may be orders to send.
    touched: bool,
    /// Whether attempts may have ended.
    changed: bool,
}

/// A request of the buckets that concerns other state than their own records.
pub enum JobRequest {
    /// Reserve room for attempts, all of one pool, on any rack or on the given one.
    Reserve(ReserveAsk),
    /// Release room on one rack that is not needed.
    Release(RackId, ReserveReply),
    /// Start and stop attempts through the owner of a rack.
    Start(StartAsk),
    /// Ask the owner of a rack for the state of attempts.
    Probe(ProbeAsk),
    /// The reply to a claim request.
    Claimed(RequestId, ClaimReply),
    /// The claim's end with this ticket is committed.
    EndCommitted(Ticket),
}

impl Jobs {
    /// Creates an empty set of buckets; `unix` is the Unix time at [`Time::ZERO`], in seconds.
    pub fn new(me: Incarnation, unix: u64) -> Self {
        Jobs {
            me,
            unix,
            buckets: BTreeMap::new(),
            departing: Departing::default(),
            waiting: BTreeSet::new(),
            next_wake: Time::ZERO,
            plan: Rc::default(),
            tasks: Tasks::new(me.0),
            gangs: Gangs::new(me.0),
            next_scan: Time::ZERO,
            next_sweep: Time::ZERO,
            next_probe: Time::ZERO,
            has_plan: false,
            needs_load: false,
            unloaded: BTreeSet::new(),
        }
    }

    /// Applies the plan in force.
    pub fn set_plan(&mut self, plan: &Rc<Plan>) {
        self.plan = plan.clone();
        self.tasks.set_plan(plan);
        (self.has_plan, self.needs_load) = (true, true);
        self.next_scan = Time::ZERO;
    }

    /// Updates the workers from the platform's list.
    pub fn workers<'a>(&mut self, vms: impl Iterator<Item = &'a Vm>) {
        self.tasks.workers(vms);
    }

    /// Adds a bucket that this member now owns.
    pub fn add_bucket(&mut self, bucket: Bucket, epoch: Epoch) {
        self.remove_bucket(bucket);
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

    /// Removes a bucket that passed to another member.
    pub fn remove_bucket(&mut self, bucket: Bucket) {
        if let Some(owned) = self.buckets.remove(&bucket) {
            self.departing.push(owned, bucket);
            self.tasks.drop_bucket(bucket);
            // The next scan gives up the gangs that are being placed in the bucket.
            self.needs_load = true;
        }
    }

    /// Whether this member owns a bucket.
    pub fn owns(&self, bucket: Bucket) -> bool {
        self.buckets.contains_key(&bucket)
    }

    /// The number of owned buckets.
    pub fn count(&self) -> usize {
        self.buckets.len()
    }

    /// Requests a claim; the reply comes as [`JobRequest::Claimed`].
    pub fn claim(&mut self, ask: ClaimAsk, now: Time) {
        if let Some(owned) = self.buckets.get_mut(&bucket_of(ask.key.as_str())) {
            owned.state.claim(ask, now);
            owned.touched = true;
        }
    }

    /// Records how a claimed request ended; [`JobRequest::EndCommitted`] follows once that is committed.
    pub fn claim_end(&mut self, end: ClaimEnd, ticket: Ticket) {
        if let Some(owned) = self.buckets.get_mut(&bucket_of(end.key.as_str())) {
            owned.state.end_claim(end, ticket);
            owned.touched = true;
        }
    }

    /// Handles the reply to a read of a bucket's record.
    pub fn record_read(
        &mut self,
        at: (Bucket, Epoch, u64),
        entry: Result<KvEntry, Failure>,
        now: Time,
    ) {
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
        if let Some(state) = self.departing.get(at.0, at.1) {
            return state.read(at.2, reply, now);
        }
        let Some(owned) = self.buckets.get_mut(&at.0).filter(|o| o.epoch == at.1) else { return };
        owned.state.read(at.2, reply, now);
        (owned.touched, owned.changed) = (true, true);
    }

    /// Handles the reply to a write of a bucket's record.
    pub fn record_written(
        &mut self,
        at: (Bucket, Epoch, u64),
        reply: Result<KvPutReply, Failure>,
        now: Time,
    ) {
        if let Some(state) = self.departing.get(at.0, at.1) {
            return state.written(at.2, reply.ok().as_ref(), now);
        }
        let Some(owned) = self.buckets.get_mut(&at.0).filter(|o| o.epoch == at.1) else { return };
        owned.state.written(at.2, reply.ok().as_ref(), now);
        (owned.touched, owned.changed) = (true, true);
    }

    /// Applies the states of attempts that a rack's owner reports. Returns false if this member has
    /// not loaded the bucket.
    pub fn update_attempts(&mut self, bucket: Bucket, items: &[EndItem], now: Time) -> bool {
        let Some(owned) = self.buckets.get_mut(&bucket).filter(|o| o.loaded) else { return false };
        for item in items {
            owned.state.update_attempt(item);
            if let Some(used) = item.used.filter(|_| owned.running.contains_key(&item.task)) {
                owned.used.insert(item.task.clone(), used);
            }
        }
        owned.touched = true;
        for item in items {
            self.settle(bucket, &item.task, now);
        }
        self.next_scan = self.next_scan.min(now);
        true
    }

    /// Handles the reply to a probe.
    pub fn probed(&mut self, ask: &ProbeAsk, reply: ProbeReply, now: Time) {
        let Some(owned) = self.buckets.get_mut(&ask.bucket) else { return };
        (owned.touched, owned.changed) = (true, true);
        for row in reply.rows {
            let items = ask.items.iter().filter(|i| i.worker == row.worker).cloned();
            let items: Vec<ProbeItem> = items.collect();
            if let Some(age) = row.age {
                owned.state.report(&items, now - Duration::from_millis(age), &row.tasks);
            }
            let Some(cut) = row.cut else { continue };
            let until = now + Duration::from_millis(cut);
            for item in items {
                owned.state.cap_lease(&item.task, item.attempt, until);
            }
        }
    }

    /// Whether the next tick scans the waiting tasks and therefore needs the racks' free resources.
    pub fn scan_due(&self, now: Time) -> bool {
        self.next_scan <= now
    }

    /// Does the work that is due. `lease_end` is the end of this member's lease; `racks` holds the
    /// racks' free resources.
    pub fn tick(
        &mut self,
        now: Time,
        lease_end: Option<Time>,
        racks: &[RackLoad],
        out: &mut Vec<Order>,
    ) -> Vec<JobRequest> {
        let mut requests = vec![];
        if self.next_sweep <= now {
            self.next_sweep = now + SCAN_INTERVAL;
            self.buckets.values_mut().for_each(|o| o.touched = true);
        }
        self.wake_waiting(now);
        if self.next_scan <= now {
            self.next_scan = now + SCAN_INTERVAL;
            self.load(now, &mut requests);
            self.settle_changed(self.next_probe <= now, now);
            self.stop(now);
            self.tasks.wake(now);
            self.pick(now, racks, &mut requests);
            for step in self.gangs.tick(now) {
                requests.extend(self.gang_step(step, now));
            }
        }
        if self.next_probe <= now {
            self.next_probe = now + PROBE_INTERVAL;
            self.probe_attempts(&mut requests);
        }
        self.flush(now, lease_end, out, &mut requests);
        requests
    }

    /// The state of the tasks, for operators.
    pub fn show(&self) -> Vec<TaskShow> {
        let mut rows = vec![];
        for (name, job) in &self.plan.jobs {
            let Some(owned) = self.buckets.get(&team_bucket(&job.team)) else { continue };
            for index in 0..job.tasks {
                let task = TaskId { job: name.clone(), index: TaskIndex(index) };
                let row = owned.state.attempts().get(&task);
                let past = owned.state.history(name);
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

    /// Totals of the tasks here; all are zero once all work is over.
    pub fn balance(&self) -> Balance {
        self.tasks.balance()
    }

    /// The jobs here that have ended and on which others depend.
    pub fn done(&self) -> Vec<JobId> {
        self.tasks.done()
    }

    /// Records jobs that have ended on other members.
    pub fn add_remote_ended(&mut self, jobs: Vec<JobId>) {
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

fn release(rows: Vec<ReserveRow>) -> Vec<JobRequest> {
    let mut racks: BTreeMap<RackId, Vec<ReserveRow>> = BTreeMap::new();
    for row in rows {
        racks.entry(row.rack.clone()).or_default().push(row);
    }
    racks.into_iter().map(|(rack, rows)| JobRequest::Release(rack, ReserveReply { rows })).collect()
}

/// The call that asks a peer to carry out a request; `None` if no call is needed.
pub fn peer_call(request: JobRequest) -> Option<Call> {
    match request {
        JobRequest::Reserve(ask) => Some(Call::Reserve(ask)),
        JobRequest::Release(_, rows) => Some(Call::Release(rows)),
        JobRequest::Start(ask) => Some(Call::Start(ask)),
        JobRequest::Probe(ask) => Some(Call::Probe(ask)),
        JobRequest::Claimed(..) | JobRequest::EndCommitted(_) => None,
    }
}
