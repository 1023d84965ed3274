//! The buckets that a member owns: claims on keys, and the tasks of jobs.

use {
    crate::{
        Time,
        attempts::Place,
        bucket::{Bucket as State, Order as Step},
        event::{Call, Order, Purpose, Ticket},
        http::Failure,
        ids::{
            Attempt, Bucket, Epoch, Incarnation, JobId, PoolId, RackId, RequestId, TaskId,
            TaskIndex, WorkerId,
        },
        messages::{
            BucketRecord, ClaimAsk, ClaimEnd, ClaimReply, EndItem, KvEntry, KvPut, KvPutReply,
            ProbeAsk, ProbeItem, ProbeReply, ReserveAsk, ReserveItem, ReserveReply, StartAsk,
            StartItem, TaskRow, TaskShow, TaskState,
        },
        text::{Job, JobKind, Plan},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        rc::Rc,
        time::Duration,
    },
    xxhash_rust::xxh3::xxh3_64,
};

/// How many buckets there are: enough that each of some sixty members has its share.
pub const BUCKETS: u16 = 64;
/// How often what runs is asked after.
const PROBE: Duration = Duration::from_secs(2);
/// How often the tasks are compared with the text.
const SCAN: Duration = Duration::from_millis(200);
/// How long a wish for room may stay unanswered.
const ASKED: Duration = Duration::from_secs(2);
/// How many tasks one scan places, and how many it stops: bounds the time of one turn.
const BATCH: usize = 256;
/// How many failures make a job one that can never run.
const TRIES: u32 = 5;
/// The first pause after a failure; doubled with each further one.
const BACKOFF: Duration = Duration::from_millis(500);

/// The bucket of a job or key.
pub fn bucket_of(name: &str) -> Bucket {
    Bucket((xxh3_64(name.as_bytes()) % u64::from(BUCKETS)) as u16)
}

/// The buckets that a member owns.
pub struct Jobs {
    me: Incarnation,
    unix: u64,
    buckets: BTreeMap<Bucket, (Epoch, State)>,
    plan: Rc<Plan>,
    asked: BTreeMap<TaskId, Time>,
    pause: BTreeMap<TaskId, Time>,
    avoid: BTreeMap<JobId, BTreeSet<WorkerId>>,
    scan: Time,
    probe: Time,
    done: BTreeSet<JobId>,
    afar: BTreeSet<JobId>,
}

/// What the buckets call for beyond their own records.
pub enum Want {
    /// Room for attempts, all of one pool; whoever has it.
    Reserve(ReserveAsk),
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
            plan: Rc::default(),
            asked: BTreeMap::new(),
            pause: BTreeMap::new(),
            avoid: BTreeMap::new(),
            scan: Time::ZERO,
            probe: Time::ZERO,
            done: BTreeSet::new(),
            afar: BTreeSet::new(),
        }
    }

    /// Takes the plan in force.
    pub fn planned(&mut self, plan: &Rc<Plan>) {
        self.plan = plan.clone();
        self.afar.clear();
        self.scan = Time::ZERO;
        self.pause.clear();
    }

    /// A bucket is this member's now.
    pub fn gained(&mut self, bucket: Bucket, epoch: Epoch) {
        self.buckets.insert(bucket, (epoch, State::new(epoch, self.me, self.unix)));
    }

    /// A bucket has passed to another member.
    pub fn lost(&mut self, bucket: Bucket) {
        self.buckets.remove(&bucket);
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
        if let Some((_, bucket)) = self.buckets.get_mut(&bucket_of(ask.key.as_str())) {
            bucket.ask(ask, now);
        }
    }

    /// Takes word of how a claimed request ended; [`Want::Kept`] follows once it is committed.
    pub fn claim_end(&mut self, end: ClaimEnd, ticket: Ticket) {
        if let Some((_, bucket)) = self.buckets.get_mut(&bucket_of(end.key.as_str())) {
            bucket.end(end, ticket);
        }
    }

    /// Takes the answer to a read of a bucket's record.
    pub fn got(&mut self, at: (Bucket, Epoch, u64), entry: Result<KvEntry, Failure>, now: Time) {
        let Some((_, bucket)) = self.buckets.get_mut(&at.0).filter(|b| b.0 == at.1) else { return };
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
        bucket.read(at.2, reply, now);
    }

    /// Takes the answer to a write of a bucket's record.
    pub fn put(&mut self, at: (Bucket, Epoch, u64), reply: Result<KvPutReply, Failure>, now: Time) {
        let Some((_, bucket)) = self.buckets.get_mut(&at.0).filter(|b| b.0 == at.1) else { return };
        bucket.wrote(at.2, reply.ok().as_ref(), now);
    }

    /// Takes word of attempts from a rack's owner; returns those that were taken in.
    pub fn heard(&mut self, items: Vec<EndItem>, now: Time) -> Vec<EndItem> {
        let mut taken = vec![];
        for item in items {
            let Some((_, bucket)) = self.buckets.get_mut(&bucket_of(item.task.job.as_str())) else {
                continue;
            };
            bucket.heard(&item);
            if item.state == TaskState::Failed {
                let tries = bucket.attempts().get(&item.task).and_then(|r| r.tries).unwrap_or(1);
                let pause = BACKOFF * 2u32.saturating_pow(tries.min(8));
                self.pause.insert(item.task.clone(), now + pause);
                self.avoid.entry(item.task.job.clone()).or_default().insert(item.worker.clone());
            }
            self.scan = Time::ZERO;
            taken.push(item);
        }
        taken
    }

    /// Takes the answer to a wish for room: the attempts are made, and started once committed.
    pub fn reserved(&mut self, ask: &ReserveAsk, reply: Option<ReserveReply>, now: Time) {
        for item in &ask.items {
            self.asked.remove(&item.task);
        }
        for row in reply.into_iter().flat_map(|r| r.rows) {
            let Some(item) = ask.items.iter().find(|i| i.task == row.task) else { continue };
            let Some((_, bucket)) = self.buckets.get_mut(&bucket_of(row.task.job.as_str())) else {
                continue;
            };
            let (task, worker, rack) = (row.task, row.worker, row.rack);
            let place = Place { task, worker, rack, epoch: row.epoch, size: item.size };
            if let Err(e) = bucket.place(place, now) {
                log::warn!(target: "jobs", "No attempt was made: {e}.");
            }
        }
        self.scan = self.scan.min(now);
    }

    /// Takes the answer to a probe.
    pub fn probed(&mut self, ask: &ProbeAsk, reply: ProbeReply, now: Time) {
        for row in reply.rows {
            for (_, bucket) in self.buckets.values_mut() {
                if let Some(age) = row.age {
                    bucket.report(&row.worker, now - Duration::from_millis(age), &row.tasks);
                }
                let Some(cut) = row.cut else { continue };
                let until = now + Duration::from_millis(cut);
                for item in ask.items.iter().filter(|i| i.worker == row.worker) {
                    bucket.cut(&item.task, item.attempt, until);
                }
            }
        }
    }

    /// Does what is due. `sure` is the end of this member's lease.
    pub fn tick(&mut self, now: Time, sure: Option<Time>, out: &mut Vec<Order>) -> Vec<Want> {
        let mut wants = vec![];
        if self.scan <= now {
            self.scan = now + SCAN;
            self.compare(now, &mut wants);
        }
        if self.probe <= now {
            self.probe = now + PROBE;
            self.ask_after(&mut wants);
        }
        for (id, (epoch, bucket)) in &mut self.buckets {
            if let Some(sure) = sure {
                bucket.renew(sure);
            }
            for step in bucket.orders(now) {
                step_out(*id, *epoch, step, &self.plan, now, out, &mut wants);
            }
        }
        wants
    }

    /// The tasks, for operators.
    pub fn show(&self) -> Vec<TaskShow> {
        let mut rows = vec![];
        for (name, job) in self.mine() {
            let Some((_, bucket)) = self.buckets.get(&bucket_of(name.as_str())) else { continue };
            for index in 0..job.tasks {
                let task = TaskId { job: name.clone(), index: TaskIndex(index) };
                let row = bucket.attempts().get(&task);
                rows.push(TaskShow {
                    attempt: row.map_or(Attempt(0), |r| r.attempt),
                    state: row.map_or("waiting".into(), |r| {
                        format!("{:?}", r.state).to_lowercase().into()
                    }),
                    worker: row.and_then(|r| r.worker.clone()),
                    reason: self.reason(&task, job, row),
                    task,
                });
            }
        }
        rows
    }

    /// Compares the tasks with the text: wishes for room, and stops.
    fn compare(&mut self, now: Time, wants: &mut Vec<Want>) {
        self.asked.retain(|_, at| *at + ASKED > now);
        self.finished();
        let mut batches: BTreeMap<(bool, PoolId, JobId), ReserveAsk> = BTreeMap::new();
        let mut asked = vec![];
        let mut left = BATCH;
        for (name, job) in self.plan.jobs.iter().filter(|(n, _)| self.owns(bucket_of(n.as_str()))) {
            if !self.ready(job) {
                continue;
            }
            let Some((_, bucket)) = self.buckets.get(&bucket_of(name.as_str())) else { continue };
            for index in 0..job.tasks {
                let task = TaskId { job: name.clone(), index: TaskIndex(index) };
                let row = bucket.attempts().get(&task);
                if left == 0 || !wanted(job, row) || self.asked.contains_key(&task) {
                    continue;
                }
                if self.pause.get(&task).is_some_and(|at| *at > now) {
                    continue;
                }
                left -= 1;
                let whole = job.kind == JobKind::Gang;
                let group = if whole { name.clone() } else { JobId("".into()) };
                let batch = batches
                    .entry((whole, job.pool.clone(), group))
                    .or_insert_with(|| ReserveAsk { pool: job.pool.clone(), items: vec![], whole });
                batch.items.push(ReserveItem {
                    task: task.clone(),
                    attempt: Attempt(row.map_or(0, |r| r.attempt.0) + 1),
                    size: job.size,
                    spread: job.kind == JobKind::Replicas,
                    urgent: job.urgent,
                    avoid: self.avoid.get(name).into_iter().flatten().cloned().collect(),
                });
                asked.push(task);
            }
        }
        self.asked.extend(asked.into_iter().map(|t| (t, now)));
        wants.extend(batches.into_values().map(Want::Reserve));
        self.cancel();
    }

    /// Stops and forgets the tasks that the text no longer lists, some at a time.
    fn cancel(&mut self) {
        let plan = self.plan.clone();
        let listed = |t: &TaskId| plan.jobs.get(&t.job).is_some_and(|j| t.index.0 < j.tasks);
        let mut left = BATCH;
        for (_, bucket) in self.buckets.values_mut() {
            let over = bucket.attempts().rows().filter(|r| !listed(&r.task)).take(left);
            let over: Vec<TaskId> = over.map(|r| r.task.clone()).collect();
            left -= over.len();
            for task in over {
                bucket.stop(&task);
                let _ = bucket.forget(&task);
            }
        }
    }

    fn ask_after(&self, wants: &mut Vec<Want>) {
        let mut asks: BTreeMap<RackId, ProbeAsk> = BTreeMap::new();
        for (_, bucket) in self.buckets.values() {
            for row in bucket.attempts().rows().filter(|r| live(r.state)) {
                let (Some(rack), Some(worker)) = (&row.rack, &row.worker) else { continue };
                let new = || ProbeAsk { rack: rack.clone(), items: vec![] };
                asks.entry(rack.clone()).or_insert_with(new).items.push(ProbeItem {
                    task: row.task.clone(),
                    attempt: row.attempt,
                    worker: worker.clone(),
                });
            }
        }
        wants.extend(asks.into_values().map(Want::Probe));
        // A stop, or its confirmation, may have been lost.
        for (_, bucket) in self.buckets.values() {
            let stopping = bucket.attempts().rows().filter(|r| r.state == TaskState::Stopping);
            wants.extend(stopping.filter_map(|r| start(r, &self.plan, 0, false)));
        }
    }

    /// Notes the jobs of which all tasks have ended.
    fn finished(&mut self) {
        let mut done = BTreeSet::new();
        for (name, job) in self.mine() {
            let Some((_, bucket)) = self.buckets.get(&bucket_of(name.as_str())) else { continue };
            let ended = |i| {
                let task = TaskId { job: name.clone(), index: TaskIndex(i) };
                bucket.attempts().get(&task).is_some_and(|r| r.state == TaskState::Ended)
            };
            if (0..job.tasks).all(ended) {
                done.insert(name.clone());
            }
        }
        self.done = done;
    }

    /// The jobs here that have ended and that others depend on.
    pub fn done(&self) -> Vec<JobId> {
        let after: BTreeSet<&str> =
            self.plan.jobs.values().flat_map(|j| &j.after).map(|a| &**a).collect();
        self.done.iter().filter(|j| after.contains(j.as_str())).cloned().collect()
    }

    /// Takes a peer's word of jobs that have ended.
    pub fn ended(&mut self, jobs: Vec<JobId>) {
        self.afar.extend(jobs);
    }

    fn ready(&self, job: &Job) -> bool {
        job.after.iter().all(|name| {
            let id = JobId(name.clone());
            // What it depends on may be a service, which the platform keeps up.
            !self.plan.jobs.contains_key(&id) || self.done.contains(&id) || self.afar.contains(&id)
        })
    }

    fn mine(&self) -> impl Iterator<Item = (&JobId, &Job)> {
        self.plan.jobs.iter().filter(|(n, _)| self.owns(bucket_of(n.as_str())))
    }

    fn reason(&self, task: &TaskId, job: &Job, row: Option<&TaskRow>) -> Option<Box<str>> {
        if let Some(reason) = row.and_then(|r| r.reason.clone()) {
            return Some(reason);
        }
        let tries = row.and_then(|r| r.tries).unwrap_or(0);
        if tries >= TRIES {
            return Some(format!("failed {tries} times; not tried again").into());
        }
        if !self.ready(job) {
            return Some("waits for what it depends on".into());
        }
        (wanted(job, row) && self.asked.contains_key(task)).then(|| "waits for room".into())
    }
}

/// Whether a task needs another attempt.
fn wanted(job: &Job, row: Option<&TaskRow>) -> bool {
    let Some(row) = row else { return true };
    match row.state {
        TaskState::Intent | TaskState::Running | TaskState::Stopping => false,
        TaskState::Ended => job.kind == JobKind::Replicas,
        TaskState::Failed => row.tries.unwrap_or(0) < TRIES,
        TaskState::Lost | TaskState::Checkpointed => true,
    }
}

fn live(state: TaskState) -> bool {
    matches!(state, TaskState::Intent | TaskState::Running | TaskState::Stopping)
}

fn step_out(
    id: Bucket,
    epoch: Epoch,
    step: Step,
    plan: &Plan,
    now: Time,
    out: &mut Vec<Order>,
    wants: &mut Vec<Want>,
) {
    use crate::commit::Call as Kv;
    let key = format!("bucket/{id}").into();
    match step {
        Step::Kv(Kv::Read { call }) => out.push(Order::Get(Purpose::Bucket(id, epoch, call), key)),
        Step::Kv(Kv::Write { call, expect, record }) => {
            let value = serde_json::to_string(&record).ok().map(Into::into);
            let put = KvPut { expect, value, lease: None };
            out.push(Order::Put(Purpose::Bucket(id, epoch, call), key, put));
        }
        Step::Reply { request, reply } => wants.push(Want::Claimed(request, reply)),
        Step::Kept { call } => wants.push(Want::Kept(call)),
        Step::Start { row, until } => {
            let left = u64::try_from((until - now).as_millis()).unwrap_or(0);
            wants.extend(start(&row, plan, left, true));
        }
        Step::Stop { row } => wants.extend(start(&row, plan, 0, false)),
        Step::Lost => log::info!(target: "jobs", "Bucket {id} has another owner."),
    }
}

fn start(row: &TaskRow, plan: &Plan, left: u64, go: bool) -> Option<Want> {
    let run = plan.jobs.get(&row.task.job).map_or(0, |j| j.run.as_millis() as u64);
    let item = StartItem {
        task: row.task.clone(),
        attempt: row.attempt,
        worker: row.worker.clone()?,
        size: row.size,
        run,
    };
    let (start, stop) = if go { (vec![item], vec![]) } else { (vec![], vec![item]) };
    Some(Want::Start(StartAsk { rack: row.rack.clone()?, epoch: row.epoch?, left, start, stop }))
}

/// The call that a want becomes, where a peer is to carry it out.
pub fn call(want: Want) -> Option<Call> {
    match want {
        Want::Reserve(ask) => Some(Call::Reserve(ask)),
        Want::Start(ask) => Some(Call::Start(ask)),
        Want::Probe(ask) => Some(Call::Probe(ask)),
        Want::Claimed(..) | Want::Kept(_) => None,
    }
}
