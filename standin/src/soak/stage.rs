//! The state that all simulated servers and callers share: workers, store, advice service and the
//! judge, under one lock. Each access first advances the time and is followed by the judge's
//! checks.

use {
    crate::soak::Options,
    derive_more::Display,
    dogwoodreach::{
        Time,
        ids::WorkerId,
        ports::{End, How},
        shard::record::{OWNERS, OwnerRow, Progress, ShardNo, read},
        work::JobNo,
    },
    serde::Serialize,
    standin::site::{
        judge::{Breach, Rules, Verdict},
        setup,
        store::{Fate, Mode, Store},
        worker::{Note, World},
    },
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        future::Future,
        sync::{Arc, Mutex},
        time::{Duration, Instant, SystemTime},
    },
    tokio::sync::Notify,
};

/// The only shard: a soak has too few workers for more.
const SHARD: ShardNo = ShardNo(0);
/// Maximum number of recorded events.
const MAX_EVENTS: usize = 20_000;
/// Percentage of workers that the advice service allows for a step; enough for every gang.
const ADVISED_PERCENT: u64 = 80;
/// Interval at which the workers' time advances.
const TICK: Duration = Duration::from_millis(10);

/// Counters of jobs and calls.
#[derive(Clone, Copy, Debug, Default, Display, Serialize)]
#[display(
    "{asked} jobs: {accepted} accepted, {refused} refused, {unclear} unclear; {done} done, {failed} failed, {cancelled} cancelled; {calls} calls, {unanswered} without an answer"
)]
pub struct Counts {
    pub asked: u64,
    pub accepted: u64,
    pub refused: u64,
    pub unclear: u64,
    pub done: u64,
    pub failed: u64,
    pub cancelled: u64,
    pub calls: u64,
    pub unanswered: u64,
}

/// The simulated environment of the members.
pub struct State {
    pub world: World,
    pub store: Store,
    pub rules: Rules,
    /// The first breach.
    pub breach: Option<Breach>,
    /// One in this number of orders is executed late; 0 means none.
    pub late: u32,
    /// Members whose calls the store refuses.
    pub refusing: BTreeSet<usize>,
    /// Members that are cut off from the workers.
    pub apart: BTreeSet<usize>,
    /// Additional latency of the store.
    pub slow: Duration,
    /// Number of active faults.
    pub faults: usize,
    pub rng: fastrand::Rng,
    /// Recorded events of workers, each with its job.
    seen: VecDeque<(JobNo, String)>,
    /// The member that took over the shard with each token.
    owners: BTreeMap<u64, usize>,
}

/// Handle to the shared state, with a notification for changes of the store.
#[derive(Clone)]
pub struct Stage {
    begin: Instant,
    state: Arc<Mutex<State>>,
    /// Notified at each change of the store.
    pub moved: Arc<Notify>,
}

impl Stage {
    /// Creates the state and spawns the task that advances the workers' time.
    pub fn new(options: &Options) -> Self {
        let (seed, queues) = (options.seed, setup::queues());
        let workers = setup::workers(options.workers);
        let mut world = World::new(seed, setup::bounds(), queues, workers);
        world.spread = 0.2;
        world.advice.share = ADVISED_PERCENT;
        let mut rules = Rules::new(seed);
        rules.timed = options.timed;
        rules.unix = unix();
        let state = State {
            world,
            store: Store::new(seed),
            rules,
            breach: None,
            late: 0,
            refusing: BTreeSet::new(),
            apart: BTreeSet::new(),
            slow: Duration::ZERO,
            faults: 0,
            rng: fastrand::Rng::with_seed(seed),
            seen: VecDeque::new(),
            owners: BTreeMap::new(),
        };
        let (state, moved) = (Arc::new(Mutex::new(state)), Arc::new(Notify::new()));
        let stage = Stage { begin: Instant::now(), state, moved };
        let ticking = stage.clone();
        tokio::spawn(async move {
            loop {
                tokio::time::sleep(TICK).await;
                ticking.update(|s| {
                    if s.faults > 0 {
                        s.rules.fault(s.world.now);
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
        state.store.lapse(now);
        let done = f(&mut state);
        state.judge();
        let moved = state.store.rev != rev;
        drop(state);
        if moved {
            self.moved.notify_waiters();
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
        if let Err(breach) = self.noted() {
            self.keep(breach);
        }
        if let Err(breach) = self.rules.check(&mut self.world) {
            self.keep(breach);
        }
        for (key, value) in std::mem::take(&mut self.store.written) {
            if let Err(breach) = self.written(&key, &value) {
                self.keep(breach);
            }
        }
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
                    let End { task, run, how, number, .. } = end;
                    let at_worker = self.ended_at(end);
                    let line = format!(
                        "{at}: {task} run {run} ends {how} at {at_worker}, number {number}"
                    );
                    (task.step.job, line)
                }
                Note::Seen { task, run, .. } => {
                    let line = format!("{}: {task} run {run}, its end is noted", self.world.now);
                    (task.step.job, line)
                }
                Note::Crash { task } => {
                    (task.step.job, format!("{}: a worker crashes under {task}", self.world.now))
                }
                Note::Odd(_) => continue,
            };
            self.seen.push_back((job, line));
        }
        while self.seen.len() > MAX_EVENTS {
            self.seen.pop_front();
        }
    }

    /// The worker at which a run ended.
    fn ended_at(&self, end: &End) -> WorkerId {
        let all = 0..self.world.workers.len();
        let there = all.into_iter().find(|at| self.world.lists(*at, end));
        there.map_or(WorkerId::from("a worker that is gone"), |at| self.world.id(at))
    }

    /// Recorded events of the job that `text` contains, or of the worker that `text` begins with.
    pub fn events_of(&self, text: &str) -> Vec<String> {
        let worker = text.split(' ').next().filter(|w| w.starts_with('w'));
        let of = |(job, line): &&(JobNo, String)| {
            text.contains(&job.to_string()) || worker.is_some_and(|w| line.contains(w))
        };
        self.seen.iter().filter(of).map(|(_, line)| line.clone()).collect()
    }

    /// Checks that the ends that were acknowledged just now are in the store.
    fn noted(&self) -> Verdict {
        for note in &self.world.notes {
            let Note::Seen { task, how: How::Done, .. } = note else { continue };
            let stored = self.store.get(&SHARD.progress(task.step.job)).and_then(|i| i.value);
            let progress = stored.and_then(|v| read::<Progress>(&v));
            self.rules.noted(&self.world, *task, progress.as_ref())?;
        }
        Ok(())
    }

    /// Keeps the first breach; later ones are dropped.
    pub fn keep(&mut self, breach: Breach) {
        self.breach.get_or_insert(breach);
    }

    /// Checks an item that a member has written.
    fn written(&mut self, key: &str, value: &[u8]) -> Verdict {
        let now = self.world.now;
        if let Some(shard) = key.strip_prefix(OWNERS).and_then(|s| s.parse().ok()).map(ShardNo) {
            let Some(row) = read::<OwnerRow>(value) else { return Ok(()) };
            let member = row.control.and_then(|a| crate::soak::member::place(a.ip()));
            self.owners.extend(member.map(|m| (row.token, m)));
            return self.rules.token(now, shard, row.token);
        }
        let Some((_, job)) = key.strip_prefix("dwr/p/").and_then(|k| k.split_once('/')) else {
            return Ok(());
        };
        let (Ok(job), Some(progress)) = (job.parse::<JobNo>(), read::<Progress>(value)) else {
            return Ok(());
        };
        self.rules.stored(&self.world, job, &progress)
    }

    /// Whether the owner with this token is cut off from the workers.
    pub fn is_cut_off(&self, token: u64) -> bool {
        self.owners.get(&token).is_some_and(|m| self.apart.contains(m))
    }

    /// The member that took over last, or member 0 if there was no takeover.
    pub fn owner(&self) -> usize {
        self.owners.last_key_value().map_or(0, |(_, member)| *member)
    }

    /// Draws the outcome of a member's call to the store.
    pub fn fate(&mut self, member: usize) -> Fate {
        if self.store.mode != Mode::Down && self.refusing.contains(&member) {
            return if self.rng.bool() { Fate::Refused } else { Fate::Unheard };
        }
        self.store.fate()
    }
}

/// Unix time in milliseconds.
pub fn unix() -> u64 {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    u64::try_from(now.as_millis()).unwrap_or(u64::MAX)
}
