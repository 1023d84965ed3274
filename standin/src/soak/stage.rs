//! The state that all simulated servers and callers share: workers, store, advice service and the
//! judge, under one lock. Each access first advances the time and is followed by the judge's
//! checks.

use {
    crate::soak::Options,
    derive_more::Display,
    dogwoodreach::{
        Time,
        customers::cap_from,
        ids::WorkerId,
        ports::{Bounds, EndReason, EndedRun},
        shard::record::{OWNERS_PREFIX, OwnerRow, Progress, ShardNo, decode},
        work::{JobNo, QueueConfig},
    },
    platform_standin::lists,
    serde::Serialize,
    standin::site::{
        contact::Part,
        customers::{self, Tenant, Tenants},
        judge::{Breach, FAULT_GRACE, Rules, Verdict},
        setup,
        store::{CallOutcome, Mode, Store},
        worker::{Note, World},
    },
    std::{
        collections::{BTreeSet, VecDeque},
        future::Future,
        ops::Range,
        sync::{Arc, Mutex},
        time::{Duration, Instant, SystemTime},
    },
    tokio::sync::Notify,
};

/// The shards that a soak may have: one, or one for each pool if it has more than 100 workers.
const SHARDS: Range<u16> = 0..8;
/// Maximum number of recorded events.
const MAX_EVENTS: usize = 20_000;
/// Percentage of workers that the advice service allows for a step; enough for every gang.
const ADVISED_PERCENT: u64 = 80;
/// Interval at which the workers' time advances.
const TICK: Duration = Duration::from_millis(10);

/// Counters of jobs and calls.
#[derive(Clone, Copy, Debug, Default, Display, Serialize)]
#[display(
    "{asked} jobs: {accepted} accepted, {refused} refused, {unclear} unclear, {unauthorized} with keys that aren't valid; {done} done, {failed} failed, {cancelled} cancelled; {calls} calls, {unanswered} without an answer"
)]
pub struct Counts {
    pub asked: u64,
    pub accepted: u64,
    pub refused: u64,
    pub unclear: u64,
    pub unauthorized: u64,
    pub done: u64,
    pub failed: u64,
    pub cancelled: u64,
    pub calls: u64,
    pub unanswered: u64,
}

/// Number of ticks of the time with faults in which the rules on cancelled jobs hold.
#[derive(Clone, Copy, Debug, Default, Display, Serialize)]
#[display(
    "the rules on cancelled jobs held for the owner in {held} of {ticks} ticks, {undisturbed} of them without any fault"
)]
pub struct Held {
    pub ticks: u64,
    /// The owner and the store were in touch.
    pub held: u64,
    /// There was neither a fault nor planned work of any kind.
    pub undisturbed: u64,
}

/// The simulated environment of the members.
pub struct State {
    pub world: World,
    pub store: Store,
    pub rules: Rules,
    /// The customers; none in a deployment without.
    pub tenants: Option<Tenants>,
    /// Whether each version of the configuration exchanges the pools of two queues.
    pub moves: bool,
    /// The first breach.
    pub breach: Option<Breach>,
    /// One in this number of orders is executed late; 0 means none.
    pub late_orders: u32,
    /// Members whose calls the store refuses.
    pub refusing: BTreeSet<usize>,
    /// Members that are cut off from the workers.
    pub cut_off: BTreeSet<usize>,
    /// Additional latency of the store.
    pub store_delay: Duration,
    /// Number of active faults.
    pub faults: usize,
    /// Number of active faults that aren't planned work.
    pub unplanned: usize,
    /// Parts that are disturbed now, once for each of their faults.
    pub disturbed: Vec<Part>,
    /// Share of the time in which the rules on cancelled jobs hold.
    pub held: Held,
    /// Number of active faults that delay orders.
    pub delaying: usize,
    /// Last moment of a fault that isn't planned work.
    last_unplanned: Option<Time>,
    pub rng: fastrand::Rng,
    /// Recorded events of workers, each with its job.
    events: VecDeque<(JobNo, String)>,
}

/// Handle to the shared state, with a notification for changes of the store.
#[derive(Clone)]
pub struct Stage {
    begin: Instant,
    state: Arc<Mutex<State>>,
    /// Notified at each change of the store.
    pub store_changed: Arc<Notify>,
}

impl Stage {
    /// Creates the state and spawns the task that advances the workers' time.
    pub fn new(options: &Options) -> Self {
        let (seed, queues) = (options.seed, setup::queues());
        let workers = setup::workers(options.workers);
        let total = workers.iter().map(|w| w.size.cores).sum();
        let tenants = options.customers.then(|| Tenants::draw(seed, total));
        let mut world = World::new(seed, bounds(options), queues, workers);
        if options.customers {
            let speeds = (0..options.workers).map(customers::worker_speed);
            world.workers.iter_mut().zip(speeds).for_each(|(w, speed)| w.machine_speed = speed);
        }
        world.spread = 0.2;
        world.advice.share = ADVISED_PERCENT;
        let mut rules = Rules::new(seed);
        rules.time_rules = options.timed;
        rules.unix_ms = unix();
        rules.per_machine = true;
        let state = State {
            world,
            store: Store::new(seed),
            rules,
            tenants,
            moves: options.moves,
            breach: None,
            late_orders: 0,
            refusing: BTreeSet::new(),
            cut_off: BTreeSet::new(),
            store_delay: Duration::ZERO,
            faults: 0,
            unplanned: 0,
            disturbed: Vec::new(),
            held: Held::default(),
            delaying: 0,
            last_unplanned: None,
            rng: fastrand::Rng::with_seed(seed),
            events: VecDeque::new(),
        };
        let (state, moved) = (Arc::new(Mutex::new(state)), Arc::new(Notify::new()));
        let stage = Stage { begin: Instant::now(), state, store_changed: moved };
        let (ticking, length) = (stage.clone(), Time::ZERO + options.length);
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(TICK).await;
                ticking.update(|s| {
                    if s.faults > 0 {
                        s.rules.record_planned(s.world.now);
                    }
                    if s.unplanned > 0 {
                        s.rules.record_fault(s.world.now);
                        s.last_unplanned = Some(s.world.now);
                    }
                    if s.world.now < length {
                        s.count_held();
                    }
                });
            }
        });
        stage
    }

    /// Time since the start of the soak.
    pub fn now(&self) -> Time {
        Time(u64::try_from(self.begin.elapsed().as_micros()).unwrap_or(u64::MAX))
    }

    /// Advances the state to the present time, calls `f` and runs the judge's checks.
    pub fn update<T>(&self, f: impl FnOnce(&mut State) -> T) -> T {
        let mut state = self.state.lock().expect("no holder panics");
        let rev = state.store.rev;
        let now = self.now();
        state.world.advance(now);
        let now = state.world.now;
        state.store.expire_leases(now);
        let done = f(&mut state);
        state.judge();
        let moved = state.store.rev != rev;
        drop(state);
        if moved {
            self.store_changed.notify_waiters();
        }
        done
    }

    /// Reads the state as of the last update, without advancing the time.
    pub fn read<T>(&self, f: impl FnOnce(&State) -> T) -> T {
        f(&self.state.lock().expect("no holder panics"))
    }

    /// Whether there was a breach.
    pub fn has_breach(&self) -> bool {
        self.read(|s| s.breach.is_some())
    }

    /// Records a breach that [`Rules`] can't detect.
    pub fn report_breach(&self, text: String) {
        self.update(|s| {
            let breach = Breach { seed: s.rules.seed, at: s.world.now, text: text.into() };
            s.breach.get_or_insert(breach);
        });
    }

    /// Waits until `what` completes or there is a breach.
    pub async fn until_breach(&self, what: impl Future<Output = ()>) {
        let broken = async {
            while !self.has_breach() {
                tokio::time::sleep(TICK).await;
            }
        };
        tokio::select! {
            () = what => {}
            () = broken => {}
        }
    }
}

impl State {
    fn judge(&mut self) {
        self.record_events();
        self.mark_late();
        let now = self.world.now;
        self.disturbed.iter().for_each(|p| self.rules.contact.disturb(*p, now));
        if self.delaying > 0 {
            self.rules.caps.record_delay(self.world.now);
        }
        if let Err(breach) = self.check_acknowledged() {
            self.keep(breach);
        }
        if let Err(breach) = self.rules.check(&mut self.world) {
            self.keep(breach);
        }
        for (key, value) in std::mem::take(&mut self.store.unjudged_writes) {
            if let Err(breach) = self.check_written(&key, &value) {
                self.keep(breach);
            }
        }
    }

    /// Counts whether the owner's starts are judged now.
    fn count_held(&mut self) {
        let (now, latest) = (self.world.now, self.rules.contact.owners.last_key_value());
        let Some((token, _)) = latest.filter(|_| self.rules.time_rules) else { return };
        self.held.ticks += 1;
        self.held.held += u64::from(now >= self.rules.start_excused(*token));
        self.held.undisturbed += u64::from(now >= self.rules.suspended_until);
    }

    /// Records the new events of workers for the report.
    fn record_events(&mut self) {
        for note in &self.world.notes {
            let (job, line) = match note {
                Note::Start { at, worker, start, late } => {
                    let (task, run, token) = (start.task, start.run, start.token);
                    let id = self.world.id(*worker);
                    let line = format!(
                        "{at}: {task} run {run} starts at {id}, token {token}, late: {late}"
                    );
                    (task.step.job, line)
                }
                Note::End { at, end } => {
                    let EndedRun { task, run, reason: how, number, .. } = end;
                    let at_worker = self.ended_at(end);
                    let line = format!(
                        "{at}: {task} run {run} ends {how} at {at_worker}, number {number}"
                    );
                    (task.step.job, line)
                }
                Note::Acknowledged { task, run, .. } => {
                    let line = format!("{}: {task} run {run}, its end is noted", self.world.now);
                    (task.step.job, line)
                }
                Note::Crash { task } => {
                    (task.step.job, format!("{}: a worker crashes under {task}", self.world.now))
                }
                Note::Violation(_) => continue,
            };
            self.events.push_back((job, line));
        }
        while self.events.len() > MAX_EVENTS {
            self.events.pop_front();
        }
    }

    /// Without the rules with a time bound, marks all starts as late: a member on a busy machine may
    /// have ordered them long before.
    fn mark_late(&mut self) {
        if self.rules.time_rules {
            return;
        }
        for note in &mut self.world.notes {
            if let Note::Start { late, .. } = note {
                *late = true;
            }
        }
    }

    /// Writes the configuration to the store, and tells the judge what applies from now on.
    pub fn write_config(&mut self) {
        let now = self.world.now;
        let Some(tenants) = &self.tenants else {
            self.store.put(lists::CONFIG_KEY.into(), lists::queues(&self.world.queues));
            return;
        };
        let entry = |t: &'_ Tenant| lists::Tenant {
            name: t.name.clone(),
            keys: t.keys.clone(),
            weight: t.weight,
            cap: t.cap,
        };
        let all: Vec<_> = tenants.all.iter().map(entry).collect();
        let value = lists::queues_with(&self.world.queues, &all);
        self.store.put(lists::CONFIG_KEY.into(), value);
        self.rules.keys.set(tenants, now);
        for tenant in &tenants.all {
            self.rules.caps.set(&tenant.name, cap_from(tenant.cap), now);
            self.rules.starvation.set_weight(&tenant.name, tenant.weight);
        }
    }

    /// Writes a new version of the configuration after `change`.
    pub fn reconfigure(&mut self, change: impl FnOnce(&mut QueueConfig, Option<&mut Tenants>)) {
        let mut queues = (*self.world.queues).clone();
        queues.version += 3;
        change(&mut queues, self.tenants.as_mut());
        self.world.configure(Arc::new(queues));
        self.write_config();
    }

    /// Removes all caps of customers.
    pub fn lift_caps(&mut self) {
        if self.tenants.is_some() {
            self.reconfigure(|_, tenants| tenants.into_iter().for_each(Tenants::lift_caps));
        }
    }

    /// The newest key of the customer of a job; none if the job has no customer.
    pub fn key_of(&self, job: JobNo) -> Option<Box<str>> {
        let customer = self.world.jobs.get(&job)?.customer.as_ref()?;
        self.tenants.as_ref()?.get(customer)?.keys.last().cloned()
    }

    /// The worker at which a run ended.
    fn ended_at(&self, end: &EndedRun) -> WorkerId {
        let all = 0..self.world.workers.len();
        let there = all.into_iter().find(|at| self.world.reports_end(*at, end));
        there.map_or(WorkerId::from("a worker that is gone"), |at| self.world.id(at))
    }

    /// Recorded events of the job that `text` contains, or of the worker that `text` begins with.
    pub fn events_of(&self, text: &str) -> Vec<String> {
        let worker = text.split(' ').next().filter(|w| w.starts_with('w'));
        let of = |(job, line): &&(JobNo, String)| {
            text.contains(&job.to_string()) || worker.is_some_and(|w| line.contains(w))
        };
        self.events.iter().filter(of).map(|(_, line)| line.clone()).collect()
    }

    /// Checks that the ends that were acknowledged just now are in the store.
    fn check_acknowledged(&self) -> Verdict {
        for note in &self.world.notes {
            let Note::Acknowledged { task, how: EndReason::Done, .. } = note else { continue };
            let keys = SHARDS.map(|s| ShardNo(s).progress_key(task.step.job));
            let stored = keys.filter_map(|key| self.store.get(&key)).next().and_then(|i| i.value);
            let progress = stored.and_then(|v| decode::<Progress>(&v));
            self.rules.check_acknowledged(&self.world, *task, progress.as_ref())?;
        }
        Ok(())
    }

    /// Whether there has been planned work only, from [`FAULT_GRACE`] before `since` until now.
    pub fn is_undisturbed_since(&self, since: Time) -> bool {
        self.unplanned == 0 && self.last_unplanned.is_none_or(|at| at + FAULT_GRACE < since)
    }

    /// Keeps the first breach; later ones are dropped.
    pub fn keep(&mut self, breach: Breach) {
        self.breach.get_or_insert(breach);
    }

    /// Checks an item that a member has written.
    fn check_written(&mut self, key: &str, value: &[u8]) -> Verdict {
        let now = self.world.now;
        if let Some(shard) =
            key.strip_prefix(OWNERS_PREFIX).and_then(|s| s.parse().ok()).map(ShardNo)
        {
            let Some(row) = decode::<OwnerRow>(value) else { return Ok(()) };
            let member = row.control.and_then(|a| crate::soak::member::member_at(a.ip()));
            self.rules.contact.owners.extend(member.map(|m| (row.token, m)));
            return self.rules.check_token(now, shard, row.token);
        }
        let Some((_, job)) = key.strip_prefix("dwr/p/").and_then(|k| k.split_once('/')) else {
            return Ok(());
        };
        let (Ok(job), Some(progress)) = (job.parse::<JobNo>(), decode::<Progress>(value)) else {
            return Ok(());
        };
        self.rules.check_progress(&self.world, job, &progress)
    }

    /// Whether the owner with this token is cut off from the workers.
    pub fn is_cut_off(&self, token: u64) -> bool {
        self.rules.contact.owners.get(&token).is_some_and(|m| self.cut_off.contains(m))
    }

    /// The member that took over last, or member 0 if there was no takeover.
    pub fn owner(&self) -> usize {
        self.rules.contact.owners.last_key_value().map_or(0, |(_, member)| *member)
    }

    /// Draws the outcome of a member's call to the store.
    pub fn draw_outcome(&mut self, member: usize) -> CallOutcome {
        if self.store.health != Mode::Down && self.refusing.contains(&member) {
            return if self.rng.bool() { CallOutcome::Refused } else { CallOutcome::Unanswered };
        }
        self.store.draw_outcome()
    }
}

/// Time limits of the deployment: with customers, tasks away from their data take three times as
/// long, as in the deployments under heavy load.
pub fn bounds(options: &Options) -> Bounds {
    let bounds = setup::bounds();
    let remote_factor = if options.customers { 3.0 } else { bounds.remote_factor };
    Bounds { remote_factor, ..bounds }
}

/// Unix time in milliseconds.
pub fn unix() -> u64 {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    u64::try_from(now.as_millis()).unwrap_or(u64::MAX)
}
