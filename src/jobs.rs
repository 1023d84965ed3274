//! The buckets that a member owns: claims on keys, and the tasks of jobs.
//!
//! Decides nothing itself: [`Tasks`] says what is next, [`Gangs`] how a gang gets its room, and each
//! bucket's record what has been tried. This joins them: picks become wishes for room, room becomes
//! attempts, and the ends of attempts go back to where the next pick is decided.

use {
    crate::{
        Time,
        attempts::Place,
        bucket::{Bucket as State, Order as Step},
        commit::Call as Kv,
        event::{Call, Order, Purpose, Ticket},
        gangs::{self, Gangs},
        http::Failure,
        ids::{
            Attempt, Bucket, Epoch, Incarnation, JobId, PoolId, RackId, RequestId, TaskId,
            TaskIndex, TeamId,
        },
        messages::{
            BucketRecord, ClaimAsk, ClaimEnd, ClaimReply, EndItem, KvEntry, KvPut, KvPutReply,
            ProbeAsk, ProbeItem, ProbeReply, RackLoad, ReserveAsk, ReserveItem, ReserveReply,
            ReserveRow, StartAsk, StartItem, TaskRow, TaskShow, TaskState, Vm,
        },
        tasks::{Pick, Tasks, live},
        text::{JobKind, Plan},
        units::Size,
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
/// How often what waits is looked over: a fifth of the time in which urgent work has to start.
const SCAN: Duration = Duration::from_millis(200);
/// How many tasks one scan places. At five scans a second this is 1,280 starts a second, above the
/// peak of 940 even where all of it falls on one member, and bounds the time of one turn.
const BATCH: usize = 256;

/// The bucket of a key.
pub fn bucket_of(name: &str) -> Bucket {
    Bucket((xxh3_64(name.as_bytes()) % u64::from(BUCKETS)) as u16)
}

/// The bucket of a team's jobs: all in one, so that one member counts the team's quota.
pub fn team_bucket(team: &TeamId) -> Bucket {
    bucket_of(team.as_str())
}

/// The buckets that a member owns.
pub struct Jobs {
    me: Incarnation,
    unix: u64,
    buckets: BTreeMap<Bucket, Owned>,
    plan: Rc<Plan>,
    tasks: Tasks,
    gangs: Gangs,
    running: BTreeMap<TaskId, Attempt>,
    used: BTreeMap<TaskId, Size>,
    scan: Time,
    probe: Time,
    stale: bool,
}

struct Owned {
    epoch: Epoch,
    state: State,
    loaded: bool,
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
            plan: Rc::default(),
            tasks: Tasks::new(me.0),
            gangs: Gangs::new(me.0),
            running: BTreeMap::new(),
            used: BTreeMap::new(),
            scan: Time::ZERO,
            probe: Time::ZERO,
            stale: false,
        }
    }

    /// Takes the plan in force.
    pub fn planned(&mut self, plan: &Rc<Plan>) {
        self.plan = plan.clone();
        self.tasks.planned(plan);
        self.stale = true;
        self.scan = Time::ZERO;
    }

    /// Takes the platform's list of workers.
    pub fn workers<'a>(&mut self, vms: impl Iterator<Item = &'a Vm>) {
        self.tasks.workers(vms);
    }

    /// A bucket is this member's now.
    pub fn gained(&mut self, bucket: Bucket, epoch: Epoch) {
        let state = State::new(epoch, self.me, self.unix);
        self.buckets.insert(bucket, Owned { epoch, state, loaded: false });
    }

    /// A bucket has passed to another member.
    pub fn lost(&mut self, bucket: Bucket) {
        let Some(owned) = self.buckets.remove(&bucket) else { return };
        for row in owned.state.attempts().rows() {
            self.running.remove(&row.task);
            self.used.remove(&row.task);
            self.gangs.forget(&row.task.job);
        }
        self.tasks.lost(bucket);
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
        }
    }

    /// Takes word of how a claimed request ended; [`Want::Kept`] follows once it is committed.
    pub fn claim_end(&mut self, end: ClaimEnd, ticket: Ticket) {
        if let Some(owned) = self.buckets.get_mut(&bucket_of(end.key.as_str())) {
            owned.state.end(end, ticket);
        }
    }

    /// Takes the answer to a read of a bucket's record.
    pub fn got(&mut self, at: (Bucket, Epoch, u64), entry: Result<KvEntry, Failure>, now: Time) {
        let Some(owned) = self.buckets.get_mut(&at.0).filter(|o| o.epoch == at.1) else { return };
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
        owned.state.read(at.2, reply, now);
    }

    /// Takes the answer to a write of a bucket's record.
    pub fn put(&mut self, at: (Bucket, Epoch, u64), reply: Result<KvPutReply, Failure>, now: Time) {
        let Some(owned) = self.buckets.get_mut(&at.0).filter(|o| o.epoch == at.1) else { return };
        owned.state.wrote(at.2, reply.ok().as_ref(), now);
    }

    /// Takes word of attempts from a rack's owner.
    pub fn heard(&mut self, bucket: Bucket, items: &[EndItem], now: Time) -> bool {
        let Some(owned) = self.buckets.get_mut(&bucket).filter(|o| o.loaded) else { return false };
        for item in items {
            owned.state.heard(item);
            if let Some(used) = item.used {
                self.used.insert(item.task.clone(), used);
            }
        }
        for item in items {
            self.settle(&item.task, now);
        }
        self.scan = self.scan.min(now);
        true
    }

    /// Takes the answer to a wish for room: the attempts are made, and started once committed.
    pub fn reserved(
        &mut self,
        ask: &ReserveAsk,
        reply: Option<ReserveReply>,
        now: Time,
    ) -> Vec<Want> {
        if ask.rack.is_some() {
            let step = self.gangs.answered(ask, reply, now);
            return self.gang_step(step, now);
        }
        let rows = reply.map_or_else(Vec::new, |r| r.rows);
        let given: BTreeSet<TaskId> = rows.iter().map(|r| r.task.clone()).collect();
        for item in ask.items.iter().filter(|i| !given.contains(&i.task)) {
            self.tasks.unplaced(&item.task, now);
        }
        for row in rows {
            let size = ask.items.iter().find(|i| i.task == row.task).map(|i| i.size);
            if !size.is_some_and(|size| self.place(&row, size, now)) {
                self.tasks.unplaced(&row.task, now);
            }
        }
        vec![]
    }

    /// Takes the answer to a probe.
    pub fn probed(&mut self, ask: &ProbeAsk, reply: ProbeReply, now: Time) {
        let Some(owned) = self.buckets.get_mut(&ask.bucket) else { return };
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
        if self.scan <= now {
            self.scan = now + SCAN;
            self.load(now);
            self.settle_all(now);
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

    /// Sends what the buckets have to send.
    pub fn flush(
        &mut self,
        now: Time,
        sure: Option<Time>,
        out: &mut Vec<Order>,
        wants: &mut Vec<Want>,
    ) {
        let ids: Vec<Bucket> = self.buckets.keys().copied().collect();
        for id in ids {
            let Some(owned) = self.buckets.get_mut(&id) else { continue };
            if let Some(sure) = sure {
                owned.state.renew(sure);
            }
            let epoch = owned.epoch;
            for step in owned.state.orders(now) {
                self.step(id, epoch, step, now, out, wants);
            }
        }
    }

    /// The tasks, for operators.
    pub fn show(&self) -> Vec<TaskShow> {
        let mut rows = vec![];
        for (name, job) in &self.plan.jobs {
            let Some(owned) = self.buckets.get(&team_bucket(&job.team)) else { continue };
            for index in 0..job.tasks {
                let task = TaskId { job: name.clone(), index: TaskIndex(index) };
                let row = owned.state.attempts().get(&task);
                let waits = row.is_none_or(|r| !live(r.state) && r.state != TaskState::Ended);
                rows.push(TaskShow {
                    attempt: row.map_or(Attempt(0), |r| r.attempt),
                    state: row.map_or("waiting".into(), |r| r.state.to_string().into()),
                    worker: row.and_then(|r| r.worker.clone()),
                    reason: if waits { self.tasks.reason(&task) } else { None },
                    task,
                });
            }
        }
        rows
    }

    /// The jobs here that have ended and that others depend on.
    pub fn done(&self) -> Vec<JobId> {
        self.tasks.done()
    }

    /// Takes a peer's word of jobs that have ended.
    pub fn ended(&mut self, jobs: Vec<JobId>) {
        self.tasks.ended_afar(jobs);
    }

    /// Takes in the jobs of buckets that have been read, and of a new plan.
    fn load(&mut self, now: Time) {
        let fresh: BTreeSet<Bucket> = self
            .buckets
            .iter()
            .filter(|(_, o)| !o.loaded && o.state.ready())
            .map(|(id, _)| *id)
            .collect();
        if fresh.is_empty() && !self.stale {
            return;
        }
        self.stale = false;
        for (id, owned) in self.buckets.iter_mut().filter(|(id, _)| fresh.contains(id)) {
            owned.loaded = true;
            for row in owned.state.attempts().rows().filter(|r| live(r.state)) {
                self.running.insert(row.task.clone(), row.attempt);
                let job = self.plan.jobs.get(&row.task.job);
                if !job.is_some_and(|j| team_bucket(&j.team) == *id && row.task.index.0 < j.tasks) {
                    self.tasks.orphan(row);
                }
            }
        }
        let plan = self.plan.clone();
        for (name, job) in &plan.jobs {
            let owned = self.buckets.get(&team_bucket(&job.team)).filter(|o| o.loaded);
            let Some(owned) = owned.filter(|_| !self.tasks.lists(name)) else { continue };
            self.stale |= !self.tasks.list(name, owned.state.attempts().rows(), now);
        }
    }

    /// Notices the attempts that are over, however that became known.
    fn settle_all(&mut self, now: Time) {
        let running: Vec<TaskId> = self.running.keys().cloned().collect();
        for task in running {
            self.settle(&task, now);
        }
    }

    fn settle(&mut self, task: &TaskId, now: Time) {
        let Some(attempt) = self.running.get(task).copied() else { return };
        let owned = self.buckets.values().find(|o| o.state.attempts().get(task).is_some());
        let row = owned.and_then(|o| o.state.attempts().get(task));
        let Some(row) = row.filter(|r| r.attempt == attempt && !live(r.state)) else { return };
        let Some(worker) = row.worker.clone() else { return };
        let item = EndItem {
            task: task.clone(),
            attempt,
            state: row.state,
            worker,
            used: self.used.remove(task),
        };
        self.running.remove(task);
        self.tasks.over(&item, now);
        if self.plan.jobs.get(&task.job).is_none_or(|j| task.index.0 >= j.tasks) {
            for owned in self.buckets.values_mut() {
                let _ = owned.state.forget(task);
            }
        }
    }

    fn stop(&mut self, now: Time) {
        for task in self.tasks.stops(now) {
            for owned in self.buckets.values_mut() {
                owned.state.stop(&task);
            }
        }
    }

    fn pick(&mut self, now: Time, racks: &[RackLoad], wants: &mut Vec<Want>) {
        let mut batches: BTreeMap<(bool, bool, PoolId), ReserveAsk> = BTreeMap::new();
        let mut left = BATCH;
        while left > 0 {
            let Some(pick) = self.tasks.next(now) else { break };
            left = left.saturating_sub(pick.asks.len());
            let items = self.wishes(&pick, now);
            let pool = pick.job.pool.clone();
            if pick.job.kind == JobKind::Gang {
                let Some(job) = items.first().map(|i| i.task.job.clone()) else { continue };
                let step = self.gangs.begin(&job, &pool, items, racks, now);
                wants.extend(self.gang_step(step, now));
                continue;
            }
            let spread = pick.job.kind == JobKind::Replicas;
            let batch = batches.entry((spread, pick.job.urgent, pool.clone()));
            let new = || ReserveAsk { pool, rack: None, items: vec![], whole: false };
            batch.or_insert_with(new).items.extend(items);
        }
        wants.extend(batches.into_values().map(Want::Reserve));
    }

    fn wishes(&self, pick: &Pick, now: Time) -> Vec<ReserveItem> {
        let wish = |task: &TaskId| {
            let bucket = self.buckets.get(&team_bucket(&pick.job.team));
            let row = bucket.and_then(|o| o.state.attempts().get(task));
            ReserveItem {
                task: task.clone(),
                attempt: Attempt(row.map_or(0, |r| r.attempt.0) + 1),
                size: self.tasks.size(task, pick.job.size),
                spread: pick.job.kind == JobKind::Replicas,
                urgent: pick.job.urgent,
                avoid: self.tasks.avoid(task, now),
            }
        };
        pick.asks.iter().map(|(ask, _)| wish(&ask.task)).collect()
    }

    fn gang_step(&mut self, step: gangs::Step, now: Time) -> Vec<Want> {
        match step {
            gangs::Step::Wait => vec![],
            gangs::Step::Ask(ask) => vec![Want::Reserve(ask)],
            gangs::Step::Drop(rows, tasks) => {
                tasks.iter().for_each(|t| self.tasks.unplaced(t, now));
                release(rows)
            }
            gangs::Step::Place(rows) => {
                let Some(job) = rows.first().map(|r| r.task.job.clone()) else { return vec![] };
                self.gangs.forget(&job);
                let size = self.plan.jobs.get(&job).map_or(Size::default(), |j| j.size);
                let placed: Vec<bool> = rows.iter().map(|r| self.place(r, size, now)).collect();
                if placed.iter().all(|p| *p) {
                    return vec![];
                }
                // Half a gang must not start: none of its intents is committed yet.
                for (row, placed) in rows.iter().zip(placed) {
                    if placed {
                        self.buckets.values_mut().for_each(|o| o.state.stop(&row.task));
                    } else {
                        self.tasks.unplaced(&row.task, now);
                    }
                }
                release(rows)
            }
        }
    }

    fn place(&mut self, row: &ReserveRow, size: Size, now: Time) -> bool {
        let Some(job) = self.plan.jobs.get(&row.task.job) else { return false };
        let Some(owned) = self.buckets.get_mut(&team_bucket(&job.team)) else { return false };
        let place = Place {
            task: row.task.clone(),
            worker: row.worker.clone(),
            rack: row.rack.clone(),
            epoch: row.epoch,
            size: self.tasks.size(&row.task, size),
        };
        match owned.state.place(place, now) {
            Ok(attempt) if attempt == row.attempt => {
                self.running.insert(row.task.clone(), attempt);
                self.tasks.placed(&row.task, &row.worker, now);
                true
            }
            Ok(_) => {
                owned.state.stop(&row.task);
                false
            }
            Err(e) => {
                log::warn!(target: "jobs", "No attempt of {} was made: {e}.", row.task);
                false
            }
        }
    }

    fn ask_after(&self, wants: &mut Vec<Want>) {
        for (id, owned) in &self.buckets {
            let mut asks: BTreeMap<RackId, ProbeAsk> = BTreeMap::new();
            for row in owned.state.attempts().rows().filter(|r| live(r.state)) {
                let (Some(rack), Some(worker)) = (&row.rack, &row.worker) else { continue };
                let new = || ProbeAsk { rack: rack.clone(), bucket: *id, items: vec![] };
                asks.entry(rack.clone()).or_insert_with(new).items.push(ProbeItem {
                    task: row.task.clone(),
                    attempt: row.attempt,
                    worker: worker.clone(),
                });
                // A stop, or its confirmation, may have been lost.
                if row.state == TaskState::Stopping {
                    wants.extend(self.start(*id, row, 0, false));
                }
            }
            wants.extend(asks.into_values().map(Want::Probe));
        }
    }

    fn step(
        &mut self,
        id: Bucket,
        epoch: Epoch,
        step: Step,
        now: Time,
        out: &mut Vec<Order>,
        wants: &mut Vec<Want>,
    ) {
        let key = || format!("bucket/{id}").into();
        match step {
            Step::Kv(Kv::Read { call }) => {
                out.push(Order::Get(Purpose::Bucket(id, epoch, call), key()));
            }
            Step::Kv(Kv::Write { call, expect, record }) => {
                let value = serde_json::to_string(&record).ok().map(Into::into);
                let put = KvPut { expect, value, lease: None };
                out.push(Order::Put(Purpose::Bucket(id, epoch, call), key(), put));
            }
            Step::Reply { request, reply } => wants.push(Want::Claimed(request, reply)),
            Step::Kept { call } => wants.push(Want::Kept(call)),
            Step::Start { row, until } => {
                let left = u64::try_from((until - now).as_millis()).unwrap_or(0);
                wants.extend(self.start(id, &row, left, true));
            }
            Step::Stop { row } => wants.extend(self.start(id, &row, 0, false)),
            Step::Lost => log::info!(target: "jobs", "Bucket {id} has another owner."),
        }
    }

    fn start(&self, bucket: Bucket, row: &TaskRow, left: u64, go: bool) -> Option<Want> {
        let run = self.plan.jobs.get(&row.task.job).map_or(0, |j| j.run.as_millis() as u64);
        let (hold, borrowed) = self.tasks.hold(&row.task);
        let item = StartItem {
            task: row.task.clone(),
            attempt: row.attempt,
            worker: row.worker.clone()?,
            size: row.size,
            run,
            bucket,
            hold,
            borrowed,
        };
        let (start, stop) = if go { (vec![item], vec![]) } else { (vec![], vec![item]) };
        Some(Want::Start(StartAsk {
            rack: row.rack.clone()?,
            epoch: row.epoch?,
            left,
            start,
            stop,
        }))
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
