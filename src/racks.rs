//! The racks that a member owns: their workers' accounts, leases, reports and orders.
//!
//! A worker of a rack that was taken over gets nothing until it has taken the new epoch and has
//! sent a report that was true after that. From then on nothing of a former owner can start there,
//! and what had started is in the report. Where the former owner hands over what is in flight, the
//! report need not be waited for.

use {
    crate::{
        Time,
        attempts::{FLIGHT, LEASE},
        decide::{
            choose::Scores,
            eject::Ejector,
            estimate::{Action, Estimates},
            place::Index,
            urgent::{self, Running},
        },
        event::{Order, Outcome},
        http::Failure,
        ids::{Attempt, Bucket, Epoch, PoolId, RackId, RequestId, TaskId, WorkerId},
        ledger::{Held, Ledger},
        messages::{
            EndItem, FlightRow, Handover, Hold, ProbeAsk, ProbeReply, ProbeRow, RackLoad, Report,
            ReserveAsk, ReserveItem, ReserveReply, ReserveRow, StartAsk, StartItem, StartReply,
            TaskOrder, TaskReport, TaskRow, TaskState, Vm, VmState, WorkerAsk, WorkerReply,
            WorkerShow,
        },
        units::Size,
    },
    fastrand::Rng,
    std::{
        collections::{BTreeMap, BTreeSet},
        net::SocketAddr,
        time::Duration,
    },
};

/// How often a worker is asked for its report. Half of the time that urgent work may wait.
const POLL: Duration = Duration::from_millis(500);
/// The pause before an unanswered fence is repeated.
const REFENCE: Duration = Duration::from_millis(200);
/// How long a reservation lasts; the intent's commit takes a few milliseconds when all is well.
const RESERVE: Duration = Duration::from_secs(5);
/// How far a worker's reports may lag, and a start's longest flight on top.
pub const LAG: Duration = Duration::from_secs(4);
/// How long a worker may be silent before its leases are renewed no more.
///
/// Long enough for a restarted switch to come back, short beside the lease that then still runs.
const SILENT: Duration = Duration::from_secs(10);

/// How long an attempt is renewed that no bucket's owner has spoken for.
///
/// Longer than a bucket takes to change its owner twice; a probe comes every two seconds.
const VOUCH: Duration = Duration::from_secs(60);
/// How many endpoints are drawn before the one with the most free slots is taken.
const PICKS: usize = 4;
/// How long a checkpoint takes; until workers report it, the time that urgent work can wait.
const CHECKPOINT: Duration = Duration::from_millis(500);

/// The racks that a member owns.
pub struct Racks {
    ledger: Ledger,
    vms: BTreeMap<WorkerId, Vm>,
    on: BTreeMap<RackId, Vec<WorkerId>>,
    racks: BTreeMap<RackId, Epoch>,
    links: BTreeMap<WorkerId, Link>,
    tell: BTreeMap<(TaskId, Attempt), EndItem>,
    facts: BTreeMap<(TaskId, Attempt), Facts>,
    marks: BTreeMap<WorkerId, (TaskId, Time)>,
    indexes: BTreeMap<PoolId, Index>,
    estimates: Estimates,
    choices: BTreeMap<PoolId, Choice>,
    seed: u64,
}

/// How the endpoints of one pool do.
struct Choice {
    scores: Scores,
    ejector: Ejector,
}

/// What an attempt's bucket said of it.
struct Facts {
    bucket: Bucket,
    vouched: Time,
    since: Time,
    /// How its room can be had back, where it was started by this member.
    hold: Option<(Hold, bool)>,
}

/// What is known of one worker since its rack was gained.
struct Link {
    epoch: Epoch,
    fenced: Option<Time>,
    fence: Time,
    ready: bool,
    heard: Time,
    report: Option<(Time, Vec<TaskReport>)>,
    poll: Time,
    asked: Option<Time>,
    ordering: bool,
    starts: Vec<(TaskOrder, Time)>,
    stops: Vec<TaskOrder>,
    renewed: Time,
    due: Time,
    cut: bool,
    handed: bool,
    since: Time,
}

/// Where a request goes.
#[derive(Clone, Debug)]
pub struct Spot {
    /// The endpoint.
    pub worker: WorkerId,
    /// Its address.
    pub addr: SocketAddr,
    /// The epoch of its rack.
    pub epoch: Epoch,
}

impl Racks {
    /// No racks yet; `seed` draws the choices of endpoints.
    pub fn new(seed: u64) -> Self {
        Racks {
            choices: BTreeMap::new(),
            seed,
            ledger: Ledger::new(LAG),
            vms: BTreeMap::new(),
            on: BTreeMap::new(),
            racks: BTreeMap::new(),
            links: BTreeMap::new(),
            tell: BTreeMap::new(),
            facts: BTreeMap::new(),
            marks: BTreeMap::new(),
            indexes: BTreeMap::new(),
            estimates: Estimates::default(),
        }
    }

    /// Chooses an endpoint of a pool that has a slot free; [`Racks::take`] or [`Racks::pass`] follows.
    pub fn choose(&mut self, pool: &PoolId, now: Time) -> Option<WorkerId> {
        let choice = self.choices.get_mut(pool)?;
        for _ in 0..PICKS {
            let worker = choice.scores.pick(&choice.ejector, now)?;
            // A request that was given up on may still hold a slot there.
            if self.ledger.worker(&worker).is_some_and(|a| a.free() > 0) {
                return Some(worker);
            }
            choice.scores.release(&worker);
        }
        let worker = self.ledger.idlest(pool)?;
        choice.scores.count(worker);
        Some(worker.clone())
    }

    /// Takes a slot of a chosen endpoint for a request until `ends`.
    pub fn take(&mut self, worker: WorkerId, request: RequestId, ends: Time) -> Option<Spot> {
        self.ledger.take_slot(request, &worker, ends).ok()?;
        let epoch = self.links.get(&worker)?.epoch;
        let addr = self.vms.get(&worker)?.addr;
        Some(Spot { worker, addr, epoch })
    }

    /// Lets a chosen endpoint go unused.
    pub fn pass(&mut self, worker: &WorkerId) {
        for choice in self.choices.values_mut() {
            choice.scores.release(worker);
        }
    }

    /// A dispatch is over after `ran`, where `run` was expected; frees the slot unless the request
    /// may still run there.
    pub fn ran(
        &mut self,
        request: RequestId,
        worker: &WorkerId,
        outcome: &Outcome,
        (run, ran): (Duration, Duration),
        now: Time,
    ) {
        // It may run on: its slot is free when its lease ends or a report shows it gone.
        if !matches!(outcome, Outcome::Failed(Failure::Broken | Failure::Timeout)) {
            self.ledger.free_slot(request, now);
        }
        let Some(pool) = self.vms.get(worker).map(|v| &v.pool) else { return };
        let Some(choice) = self.choices.get_mut(pool) else { return };
        match outcome {
            Outcome::Answered(a) if a.status < 500 => {
                let slowness = choice.scores.answered(worker, run, ran, now);
                if choice.ejector.answered(worker, slowness, now) {
                    choice.scores.restart(worker, now);
                }
            }
            Outcome::Refused(_) => choice.scores.release(worker),
            _ => {
                choice.scores.release(worker);
                if choice.ejector.failed(worker, now) {
                    choice.scores.restart(worker, now);
                    log::warn!(target: "racks", "Endpoint {worker} is ejected for a while.");
                }
            }
        }
    }

    /// All slots of a pool here, and the free ones.
    pub fn slots(&self, pool: &PoolId, now: Time) -> (u32, u32) {
        let (slots, free) = self.ledger.slots(pool);
        let choice = self.choices.get(pool);
        let (usable, open) = choice.map_or((0, 0), |c| c.scores.slots(&c.ejector, now));
        (slots.min(usable), free.min(open))
    }

    /// Takes in the platform's list; a leaving worker gets nothing new from now on.
    pub fn listed(&mut self, vms: BTreeMap<WorkerId, Vm>, now: Time) {
        self.vms = vms;
        self.on.clear();
        for vm in self.vms.values() {
            self.on.entry(vm.rack.clone()).or_default().push(vm.worker.clone());
        }
        let racks: Vec<(RackId, Epoch)> = self.racks.iter().map(|(r, e)| (r.clone(), *e)).collect();
        for (rack, epoch) in racks {
            self.link(&rack, epoch, now);
        }
        let gone: Vec<WorkerId> =
            self.links.keys().filter(|w| !self.vms.contains_key(*w)).cloned().collect();
        for worker in gone {
            // The VM is gone, and with it what ran there; its leases are renewed no more.
            if let Some(link) = self.links.get_mut(&worker) {
                link.cut = true;
            }
        }
        self.gate(now);
    }

    /// A rack is this member's now.
    pub fn gained(&mut self, rack: &RackId, epoch: Epoch, now: Time) {
        self.racks.insert(rack.clone(), epoch);
        self.link(rack, epoch, now);
        self.resize();
    }

    /// A rack has passed to another member; returns what is in flight there.
    pub fn lost(&mut self, rack: &RackId, epoch: Epoch) -> Handover {
        self.racks.remove(rack);
        let mut over = Handover { rack: rack.clone(), epoch, requests: vec![], tasks: vec![] };
        let workers: Vec<WorkerId> = self.on(rack).cloned().collect();
        for worker in workers {
            let Some(link) = self.links.remove(&worker) else { continue };
            let account = self.ledger.worker(&worker);
            let held: Vec<(Held, Size)> = account
                .into_iter()
                .flat_map(|a| a.held())
                .map(|h| (h.clone(), self.ledger.load(h).map_or(Size::default(), |l| l.size)))
                .collect();
            self.ledger.remove(&worker);
            self.indexes.values_mut().for_each(|i| i.remove(&worker));
            for choice in self.choices.values_mut() {
                choice.scores.remove(&worker);
                choice.ejector.forget(&worker);
            }
            for (held, size) in held {
                match held {
                    Held::Request(request) => {
                        over.requests.push(FlightRow { request, worker: worker.clone(), left: 0 })
                    }
                    Held::Task(task, attempt) => over.tasks.push(TaskRow {
                        size,
                        task,
                        attempt,
                        state: TaskState::Running,
                        worker: Some(worker.clone()),
                        rack: Some(rack.clone()),
                        epoch: Some(epoch),
                        tries: None,
                        reason: None,
                    }),
                }
            }
            // A worker that was not ready here is not known well enough to be handed over.
            if !link.ready {
                over.requests.retain(|r| r.worker != worker);
                over.tasks.retain(|t| t.worker.as_ref() != Some(&worker));
                over.tasks.push(unready(&worker, rack, epoch));
            }
        }
        over
    }

    /// Takes over what the former owner of a rack has in flight there.
    ///
    /// Returns whether the rack is this member's already; otherwise it must be told again.
    pub fn handover(&mut self, over: &Handover, now: Time) -> bool {
        if self.racks.get(&over.rack).is_none_or(|e| e.0 != over.epoch.0 + 1) {
            return false;
        }
        let workers: Vec<WorkerId> = self.on(&over.rack).cloned().collect();
        for worker in &workers {
            let tasks: Vec<TaskRow> =
                over.tasks.iter().filter(|t| t.worker.as_ref() == Some(worker)).cloned().collect();
            if tasks.iter().any(|t| t.state == TaskState::Lost) {
                continue;
            }
            let flights = over.requests.iter().filter(|r| r.worker == *worker);
            let report = Report {
                age: 0,
                epoch: over.epoch,
                requests: flights.map(|r| r.request).collect(),
                tasks: vec![],
            };
            self.ledger.adopt(worker, &report, &tasks, now);
            if let Some(link) = self.links.get_mut(worker) {
                link.handed = true;
                link.ready |= link.fenced.is_some();
            }
        }
        workers.iter().for_each(|w| self.gate_worker(w, now));
        true
    }

    /// Does what is due: fences, reports, renewals, starts and stops. Nothing without a lease.
    pub fn tick(&mut self, now: Time, leased: bool, out: &mut Vec<Order>) {
        for held in self.ledger.expire(now) {
            log::debug!(target: "racks", "Lapsed: {held:?}.");
            if let Held::Task(..) = held {
                let all: Vec<WorkerId> = self.links.keys().cloned().collect();
                all.iter().for_each(|w| self.reindex(w));
            }
        }
        if !leased {
            return;
        }
        let workers: Vec<WorkerId> = self.links.keys().cloned().collect();
        for worker in workers {
            self.serve(&worker, now, out);
        }
    }

    /// Takes a worker's answer to a fence.
    pub fn fenced(
        &mut self,
        worker: &WorkerId,
        epoch: Epoch,
        reply: Result<Epoch, Failure>,
        now: Time,
    ) {
        let Some(link) = self.links.get_mut(worker).filter(|l| l.epoch == epoch) else { return };
        if reply == Ok(epoch) {
            link.fenced.get_or_insert(now);
            link.heard = now;
            link.ready |= link.handed;
            link.poll = now;
        }
        self.gate_worker(worker, now);
    }

    /// Takes a worker's report.
    pub fn reported(&mut self, worker: &WorkerId, report: Result<Report, Failure>, now: Time) {
        let Some(link) = self.links.get_mut(worker) else { return };
        let Some(sent) = link.asked.take() else { return };
        link.poll = now + POLL;
        let Ok(mut report) = report else { return };
        link.heard = now;
        // What the report says was true at the latest when it was asked for, less its age: the way
        // back must not make it look younger.
        let taken = sent - Duration::from_millis(report.age);
        let Some(fenced) = link.fenced else { return };
        report.age = u64::try_from((now - taken).as_millis()).unwrap_or(u64::MAX) + 1;
        if taken <= fenced {
            link.poll = now + POLL / 5;
            return;
        }
        link.ready = true;
        link.report = Some((taken, report.tasks.clone()));
        let running = report.tasks.iter().filter(|t| t.state == TaskState::Running);
        let running: Vec<(TaskId, Attempt)> =
            running.map(|t| (t.task.clone(), t.attempt)).collect();
        self.outgrown(worker, &report.tasks, now);
        let ended = self.ledger.adopt(worker, &report, &[], now);
        for (task, attempt) in ended {
            let said = report.tasks.iter().find(|t| t.task == task && t.attempt == attempt);
            self.say(task, attempt, said.map_or(TaskState::Lost, |t| t.state), worker);
        }
        if let Some(link) = self.links.get_mut(worker) {
            link.starts.retain(|(o, _)| !running.contains(&(o.task.clone(), o.attempt)));
        }
        self.gate_worker(worker, now);
    }

    /// Takes a worker's answer to orders.
    pub fn ordered(
        &mut self,
        worker: &WorkerId,
        ask: &WorkerAsk,
        sent: Time,
        reply: Result<WorkerReply, Failure>,
        now: Time,
    ) {
        let Some(link) = self.links.get_mut(worker) else { return };
        link.ordering = false;
        // The renewal may have arrived although its answer did not.
        if !ask.renew.is_empty() || !ask.start.is_empty() {
            link.renewed = link.renewed.max(sent);
        }
        let Ok(reply) = reply else {
            link.due = now + REFENCE;
            return;
        };
        link.heard = now;
        if reply.epoch > link.epoch {
            log::info!(target: "racks", "Worker {worker} has a newer owner.");
            return;
        }
        let sent_starts: BTreeSet<_> =
            ask.start.iter().map(|o| (o.task.clone(), o.attempt)).collect();
        link.starts.retain(|(o, _)| !sent_starts.contains(&(o.task.clone(), o.attempt)));
        link.stops
            .retain(|o| !reply.stopped.iter().any(|s| s.task == o.task && s.attempt == o.attempt));
        let refused: BTreeSet<_> =
            reply.refused.iter().map(|o| (o.task.clone(), o.attempt)).collect();
        for (task, attempt) in &sent_starts {
            let no = refused.contains(&(task.clone(), *attempt));
            if no {
                self.ledger.release(task, *attempt, now);
                self.reindex(worker);
            }
            let state = if no { TaskState::Lost } else { TaskState::Running };
            self.say(task.clone(), *attempt, state, worker);
        }
        for stop in reply.stopped {
            if self.ledger.release(&stop.task, stop.attempt, now) {
                self.reindex(worker);
                self.say(stop.task, stop.attempt, TaskState::Checkpointed, worker);
            }
        }
    }

    /// Finds room for attempts; all or none where `whole` is asked for.
    pub fn reserve(&mut self, ask: &ReserveAsk, now: Time) -> ReserveReply {
        self.marks.retain(|_, (_, until)| *until > now);
        let needs: Vec<Size> = ask.items.iter().map(|i| i.size).collect();
        let order = self.indexes.get(&ask.pool).map_or(vec![], |index| index.order(&needs));
        let mut rows = vec![];
        for item in order.into_iter().filter_map(|i| ask.items.get(i)) {
            let found = self.room(ask, item);
            let row = found.and_then(|(worker, rack, epoch)| {
                let ends = now + RESERVE;
                self.ledger.reserve(&item.task, item.attempt, &worker, item.size, ends).ok()?;
                self.reindex(&worker);
                let (task, attempt) = (item.task.clone(), item.attempt);
                Some(ReserveRow { task, attempt, worker, rack, epoch })
            });
            if row.is_none() && ask.whole {
                break;
            }
            rows.extend(row);
        }
        if ask.whole && rows.len() < ask.items.len() {
            self.release(&rows, now);
            rows.clear();
        }
        ReserveReply { rows }
    }

    /// Frees room that was reserved and is not needed after all.
    pub fn release(&mut self, rows: &[ReserveRow], now: Time) {
        for row in rows {
            if !self.facts.contains_key(&(row.task.clone(), row.attempt)) {
                self.ledger.release(&row.task, row.attempt, now);
                self.reindex(&row.worker);
            }
        }
    }

    /// Makes room for urgent work: stops the cheapest tasks that can be checkpointed on one worker,
    /// whose room then is the urgent task's. Returns whether room is on its way.
    pub fn preempt(&mut self, ask: &ReserveAsk, now: Time) -> bool {
        let mut made = false;
        for item in ask.items.iter().filter(|i| i.urgent) {
            if self.marks.values().any(|(task, _)| *task == item.task) {
                made = true;
                continue;
            }
            let places: Vec<urgent::Place> = self
                .links
                .keys()
                .filter(|w| !item.avoid.contains(w) && !self.marks.contains_key(*w))
                .filter_map(|w| self.scene(w, &ask.pool))
                .collect();
            let Some(plan) = urgent::plan(now, item.size, &places) else { continue };
            made = true;
            self.marks.insert(plan.worker.clone(), (item.task.clone(), now + RESERVE));
            let Some(link) = self.links.get_mut(&plan.worker) else { continue };
            for victim in plan.victims {
                let held = self.ledger.worker(&plan.worker).into_iter().flat_map(|a| a.held());
                let attempt = held.filter_map(|h| match h {
                    Held::Task(task, attempt) if *task == victim => Some(*attempt),
                    _ => None,
                });
                link.stops.extend(attempt.map(|attempt| TaskOrder {
                    task: victim.clone(),
                    attempt,
                    size: Size::default(),
                    run: 0,
                }));
                link.due = now;
            }
        }
        made
    }

    /// Starts reserved attempts whose intents are committed, and stops others.
    pub fn start(&mut self, ask: StartAsk, now: Time) -> Option<StartReply> {
        if self.racks.get(&ask.rack) != Some(&ask.epoch) && !ask.start.is_empty() {
            return None;
        }
        let mut refused = vec![];
        let until = now + Duration::from_millis(ask.left);
        for item in ask.start {
            let ok = self.links.contains_key(&item.worker)
                && self.ledger.place(&Held::Task(item.task.clone(), item.attempt))
                    == Some(&item.worker)
                && self.ledger.confirm(&item.task, item.attempt, now);
            if !ok {
                refused.push(EndItem {
                    task: item.task,
                    attempt: item.attempt,
                    state: TaskState::Lost,
                    worker: item.worker,
                    used: None,
                });
                continue;
            }
            self.marks.retain(|_, (task, _)| *task != item.task);
            let facts = Facts {
                bucket: item.bucket,
                vouched: now,
                since: now,
                hold: Some((item.hold, item.borrowed)),
            };
            self.facts.insert((item.task.clone(), item.attempt), facts);
            if let Some(link) = self.links.get_mut(&item.worker) {
                link.starts.push((order(&item), until));
                link.due = now;
            }
        }
        for item in ask.stop {
            self.vouch(item.task.clone(), item.attempt, item.bucket, now);
            let Some(link) = self.links.get_mut(&item.worker) else { continue };
            let same = |o: &TaskOrder| o.task == item.task && o.attempt == item.attempt;
            if !link.stops.iter().any(same) {
                link.stops.push(order(&item));
                link.due = now;
            }
        }
        Some(StartReply { refused })
    }

    /// Says what became of attempts.
    pub fn probe(&mut self, ask: &ProbeAsk, now: Time) -> Option<ProbeReply> {
        self.racks.get(&ask.rack)?;
        for item in &ask.items {
            self.vouch(item.task.clone(), item.attempt, ask.bucket, now);
        }
        let workers: BTreeSet<&WorkerId> = ask.items.iter().map(|i| &i.worker).collect();
        let rows = workers.into_iter().map(|worker| {
            let link = self.links.get(worker);
            let report = link.and_then(|l| l.report.as_ref());
            let items = ask.items.iter().filter(|i| i.worker == *worker);
            let asked: BTreeSet<(&TaskId, Attempt)> = items.map(|i| (&i.task, i.attempt)).collect();
            let tasks = report.map_or(&[][..], |(_, tasks)| tasks);
            ProbeRow {
                worker: worker.clone(),
                age: report.map(|(taken, _)| millis(now - *taken) + 1),
                cut: match link {
                    Some(l) if l.cut => Some(millis((l.renewed + LEASE) - now)),
                    Some(_) => None,
                    // Not on this rack any more: what ran there can have had no renewal since.
                    None => Some(millis(LEASE)),
                },
                tasks: tasks
                    .iter()
                    .filter(|t| asked.contains(&(&t.task, t.attempt)))
                    .cloned()
                    .collect(),
            }
        });
        Some(ProbeReply { rows: rows.collect() })
    }

    /// What is to be told to the buckets' owners; each stays until [`Racks::told`].
    pub fn tell(&self) -> BTreeMap<Bucket, Vec<EndItem>> {
        let mut words: BTreeMap<Bucket, Vec<EndItem>> = BTreeMap::new();
        for (key, item) in &self.tell {
            // Of an attempt that no bucket's owner has spoken for yet, the next probe hears.
            if let Some(facts) = self.facts.get(key) {
                words.entry(facts.bucket).or_default().push(item.clone());
            }
        }
        words
    }

    /// The buckets' owners have taken these in.
    pub fn told(&mut self, items: &[EndItem]) {
        for item in items {
            let key = (item.task.clone(), item.attempt);
            if self.tell.get(&key).is_some_and(|i| i.state == item.state) {
                self.tell.remove(&key);
                if item.state != TaskState::Running {
                    self.facts.remove(&key);
                }
            }
        }
    }

    /// What is free on each rack.
    pub fn loads(&self) -> Vec<RackLoad> {
        let racks = self.racks.keys().filter_map(|rack| {
            let mut load = RackLoad {
                rack: rack.clone(),
                pool: self.vms.get(self.on(rack).next()?)?.pool.clone(),
                free: Size::default(),
                widest: Size::default(),
                workers: 0,
            };
            for worker in self.on(rack) {
                let Some(account) = self.ledger.worker(worker) else { continue };
                if account.cordoned() {
                    continue;
                }
                load.free += account.room();
                load.widest = load.widest.max(&account.room());
                load.workers += 1;
            }
            Some(load)
        });
        racks.collect()
    }

    /// The workers, for operators.
    pub fn show(&self) -> Vec<WorkerShow> {
        let rows = self.links.iter().filter_map(|(id, link)| {
            let account = self.ledger.worker(id)?;
            let state = match (link.ready, link.cut, self.vms.get(id).map(|v| v.state)) {
                (_, true, _) => "silent",
                (_, _, None | Some(VmState::Leaving)) => "leaving",
                (false, _, _) => "taking over",
                _ => "ready",
            };
            Some(WorkerShow {
                worker: id.clone(),
                pool: account.pool.clone(),
                rack: account.rack.clone(),
                slots: account.limit().slots,
                busy: account.used().slots,
                room: account.room(),
                state: state.into(),
            })
        });
        rows.collect()
    }

    /// How many racks are owned.
    pub fn count(&self) -> usize {
        self.racks.len()
    }

    fn link(&mut self, rack: &RackId, epoch: Epoch, now: Time) {
        let workers: Vec<WorkerId> = self.on(rack).cloned().collect();
        let vms: Vec<Vm> = workers.iter().filter_map(|w| self.vms.get(w).cloned()).collect();
        for vm in vms {
            self.ledger.add(&vm.worker, &vm.pool, rack, vm.size, vm.slots, vm.connections);
            let index = self.indexes.entry(vm.pool.clone()).or_default();
            if index.free(&vm.worker).is_none() {
                index.add(&vm.worker, rack, vm.size);
            }
            let link = self.links.entry(vm.worker).or_insert_with(|| Link::new(epoch, now));
            if link.epoch != epoch {
                *link = Link::new(epoch, now);
            }
        }
        workers.iter().for_each(|w| self.gate_worker(w, now));
    }

    /// Lets each worker take new work, or not.
    fn gate(&mut self, now: Time) {
        let all: Vec<WorkerId> = self.links.keys().cloned().collect();
        all.iter().for_each(|w| self.gate_worker(w, now));
        self.resize();
    }

    /// Lets one worker take new work, or not.
    fn gate_worker(&mut self, worker: &WorkerId, now: Time) {
        let Some(link) = self.links.get(worker) else { return };
        let live = self.vms.get(worker).is_some_and(|v| v.state == VmState::Live);
        let open = live && link.ready && !link.cut;
        self.ledger.cordon(worker, !open);
        if let Some(vm) = self.vms.get(worker) {
            let seed = self.seed;
            let choice = self.choices.entry(vm.pool.clone()).or_insert_with(|| Choice {
                scores: Scores::new(Rng::with_seed(seed)),
                ejector: Ejector::default(),
            });
            if open {
                choice.scores.add(worker.clone(), vm.slots, now);
            } else {
                choice.scores.remove(worker);
            }
        }
        self.reindex(worker);
    }

    /// Tells each pool's ejector how many endpoints there are.
    fn resize(&mut self) {
        for (pool, choice) in &mut self.choices {
            let count = self.ledger.workers().filter(|(_, a)| a.pool == *pool).count();
            choice.ejector.resize(count);
        }
    }

    fn serve(&mut self, worker: &WorkerId, now: Time, out: &mut Vec<Order>) {
        let (Some(link), Some(vm)) = (self.links.get_mut(worker), self.vms.get(worker)) else {
            return self.bury(worker, now);
        };
        if link.fenced.is_none() {
            if link.fence <= now {
                link.fence = now + REFENCE;
                out.push(Order::Fence(worker.clone(), vm.addr, link.epoch));
            }
            return;
        }
        let was = link.cut;
        link.cut |= now - link.heard > SILENT;
        if link.asked.is_none() && link.poll <= now {
            link.asked = Some(now);
            out.push(Order::Report(worker.clone(), vm.addr));
        }
        if link.cut && !was {
            log::warn!(target: "racks", "Worker {worker} is silent; its leases run out.");
            self.gate_worker(worker, now);
            return;
        }
        if link.cut {
            return self.bury(worker, now);
        }
        // Past its not-after time a start must not go out: another attempt may have been made.
        let dead: Vec<TaskOrder> = link
            .starts
            .extract_if(.., |(_, until)| *until <= now + FLIGHT / 4)
            .map(|(o, _)| o)
            .collect();
        if !link.ordering && (link.due <= now) {
            let epoch = link.epoch;
            let held = self.ledger.worker(worker).map(|a| a.held().cloned().collect::<Vec<_>>());
            // What no bucket's owner speaks for is nobody's: its lease runs out.
            let renew = held.into_iter().flatten().filter_map(|h| match h {
                Held::Task(task, attempt) => {
                    let facts = self.facts.get(&(task.clone(), attempt));
                    let spoken = facts.map_or(link.since, |f| f.vouched);
                    let order = TaskOrder { task, attempt, size: Size::default(), run: 0 };
                    (now - spoken < VOUCH).then_some(order)
                }
                Held::Request(_) => None,
            });
            let ask = WorkerAsk {
                epoch,
                lease: millis(LEASE),
                until: 0,
                start: link.starts.iter().map(|(o, _)| o.clone()).collect(),
                renew: renew.collect(),
                stop: link.stops.clone(),
            };
            link.due = now + LEASE / 5;
            if !(ask.start.is_empty() && ask.renew.is_empty() && ask.stop.is_empty()) {
                link.ordering = true;
                out.push(Order::Worker(worker.clone(), vm.addr, Box::new(ask)));
            }
        }
        for order in dead {
            // Never sent, or sent and unanswered: reports tell which, so the room stays taken.
            log::warn!(target: "racks", "Start of {} was given up.", order.task);
        }
    }

    /// Ends what a silent worker still holds, once no lease of it can run any more.
    fn bury(&mut self, worker: &WorkerId, now: Time) {
        let Some(link) = self.links.get_mut(worker) else { return };
        if now < link.renewed + LEASE + FLIGHT {
            return;
        }
        let back = link.heard > link.renewed + LEASE + FLIGHT;
        let held: Vec<Held> =
            self.ledger.worker(worker).map(|a| a.held().cloned().collect()).unwrap_or_default();
        for held in held {
            if let Held::Task(task, attempt) = held {
                self.ledger.release(&task, attempt, now);
                self.reindex(worker);
                self.say(task, attempt, TaskState::Lost, worker);
            }
        }
        if let Some(link) = self.links.get_mut(worker).filter(|_| back) {
            link.cut = false;
            self.gate_worker(worker, now);
        }
    }

    /// The worker for an attempt: packed on the fullest, or spread over racks.
    fn room(&self, ask: &ReserveAsk, item: &ReserveItem) -> Option<(WorkerId, RackId, Epoch)> {
        let mut avoid = item.avoid.clone();
        // Room that is being made for urgent work is not for others.
        let marked = self.marks.iter().filter(|(_, (task, _))| *task != item.task);
        avoid.extend(marked.map(|(w, _)| w.clone()));
        if let Some(rack) = &ask.rack {
            let others = self
                .links
                .keys()
                .filter(|w| self.ledger.worker(w).is_some_and(|a| a.rack != *rack));
            avoid.extend(others.cloned());
        }
        let index = self.indexes.get(&ask.pool)?;
        let id = if item.spread {
            index.spread(&item.size, &self.replicas(&item.task), &avoid)?
        } else {
            index.pack(&item.size, &avoid)?
        };
        let rack = self.ledger.worker(id)?.rack.clone();
        let epoch = *self.racks.get(&rack)?;
        Some((id.clone(), rack, epoch))
    }

    /// The workers that hold tasks of the same job, once for each.
    fn replicas(&self, task: &TaskId) -> Vec<WorkerId> {
        let here = self.ledger.workers().flat_map(|(id, a)| a.held().map(move |h| (id, h)));
        let same = here.filter(|(_, h)| matches!(h, Held::Task(t, _) if t.job == task.job));
        same.map(|(id, _)| id.clone()).collect()
    }

    fn on(&self, rack: &RackId) -> impl Iterator<Item = &WorkerId> {
        self.on.get(rack).into_iter().flatten()
    }

    fn say(&mut self, task: TaskId, attempt: Attempt, state: TaskState, worker: &WorkerId) {
        let report = self.links.get(worker).and_then(|l| l.report.as_ref());
        let seen = report.and_then(|(_, tasks)| {
            tasks.iter().find(|t| t.task == task && t.attempt == attempt).map(|t| t.used)
        });
        let worker = worker.clone();
        let item = EndItem { task: task.clone(), attempt, state, worker, used: seen };
        self.tell.insert((task, attempt), item);
    }

    /// Notes that the owner of a bucket knows of an attempt and wants it to go on.
    fn vouch(&mut self, task: TaskId, attempt: Attempt, bucket: Bucket, now: Time) {
        let new = Facts { bucket, vouched: now, since: now, hold: None };
        let facts = self.facts.entry((task, attempt)).or_insert(new);
        (facts.bucket, facts.vouched) = (bucket, now);
    }

    /// Keeps the index of a worker's pool in step with the ledger.
    fn reindex(&mut self, worker: &WorkerId) {
        let Some(account) = self.ledger.worker(worker) else { return };
        let Some(index) = self.indexes.get_mut(&account.pool) else { return };
        index.set(worker, account.room(), !account.cordoned());
    }

    /// What runs on a worker, as the choice of victims sees it.
    fn scene(&self, worker: &WorkerId, pool: &PoolId) -> Option<urgent::Place> {
        let account = self.ledger.worker(worker).filter(|a| a.pool == *pool && !a.cordoned())?;
        let tasks = account.held().filter_map(|held| {
            let Held::Task(task, attempt) = held else { return None };
            let facts = self.facts.get(&(task.clone(), *attempt));
            let kind = match facts.and_then(|f| f.hold) {
                Some((Hold::Checkpoint, _)) => urgent::Kind::Checkpoint,
                Some((Hold::Brief, _)) => urgent::Kind::Plain,
                Some((Hold::Never, _)) | None => urgent::Kind::Service,
            };
            Some(Running {
                task: task.clone(),
                size: self.ledger.load(held)?.size,
                kind,
                borrowed: facts.and_then(|f| f.hold).is_some_and(|(_, borrowed)| borrowed),
                saved: facts.map_or(Time::ZERO, |f| f.since),
                save: CHECKPOINT,
            })
        });
        Some(urgent::Place {
            worker: worker.clone(),
            free: account.room(),
            running: tasks.collect(),
        })
    }

    /// Acts on tasks that use more than is reserved for them.
    ///
    /// A worker's memory can't be shared out twice: a task that outgrows its reservation gets more
    /// where its worker has room, and is checkpointed and stopped where not, before the worker is
    /// full and its kernel kills a neighbour.
    fn outgrown(&mut self, worker: &WorkerId, tasks: &[TaskReport], now: Time) {
        for t in tasks.iter().filter(|t| t.state == TaskState::Running) {
            let held = Held::Task(t.task.clone(), t.attempt);
            let Some(reserved) = self.ledger.load(&held).map(|l| l.size) else { continue };
            let room = self.ledger.worker(worker).map_or(Size::default(), |a| a.room());
            match self.estimates.check(&t.task.job, t.used, reserved, room) {
                Action::Keep | Action::Throttle => {}
                Action::Raise(size) => {
                    let _ = self.ledger.reserve(&t.task, t.attempt, worker, size, Time::NEVER);
                }
                Action::Stop => {
                    let Some(link) = self.links.get_mut(worker) else { continue };
                    if link.stops.iter().any(|s| s.task == t.task) {
                        continue;
                    }
                    log::warn!(target: "racks", "Task {} outgrew its memory and is stopped.", t.task);
                    let (task, attempt) = (t.task.clone(), t.attempt);
                    link.stops.push(TaskOrder { task, attempt, size: Size::default(), run: 0 });
                    link.due = now;
                }
            }
        }
    }
}

impl Link {
    fn new(epoch: Epoch, now: Time) -> Self {
        Link {
            epoch,
            fenced: None,
            fence: now,
            ready: false,
            heard: now,
            report: None,
            poll: now,
            asked: None,
            ordering: false,
            starts: vec![],
            stops: vec![],
            // The former owner may have renewed just before.
            renewed: now,
            due: now,
            cut: false,
            handed: false,
            since: now,
        }
    }
}

/// Marks a worker in a handover as one whose load the former owner did not know itself.
fn unready(worker: &WorkerId, rack: &RackId, epoch: Epoch) -> TaskRow {
    TaskRow {
        task: TaskId { job: "".into(), index: Default::default() },
        attempt: Attempt(0),
        state: TaskState::Lost,
        worker: Some(worker.clone()),
        rack: Some(rack.clone()),
        epoch: Some(epoch),
        size: Size::default(),
        tries: None,
        reason: None,
    }
}

fn order(item: &StartItem) -> TaskOrder {
    TaskOrder { task: item.task.clone(), attempt: item.attempt, size: item.size, run: item.run }
}

fn millis(d: Duration) -> u64 {
    u64::try_from(d.as_millis()).unwrap_or(u64::MAX)
}
