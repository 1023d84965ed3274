//! The state machine of one shard: applies events to the shard's state and returns the orders to
//! carry out.

use {
    crate::{
        decide::{gather::Share, lanes::Lanes, rank::Rank, turns::Turns},
        ids::{Incarnation, PoolId, WorkerId},
        ports::Bounds,
        shard::{
            commit::{After, Commit},
            event::{Event, Load, Order},
            flight::Flight,
            jobs::{Active, Part},
            record::{Closing, Progress, ShardNo},
            reserve::Reserve,
            tally::{AdviceStats, Reported, Tally},
            workers::{Worker, WorkerNo, millis},
        },
        time::Time,
        work::{JobNo, Queue, Queues, State, StepKey, TaskKey},
    },
    rustc_hash::{FxHashMap, FxHashSet},
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        mem,
        sync::Arc,
        time::Duration,
    },
};

/// How often the waiting steps are ranked again, since jobs become late while they wait.
const RERANK_INTERVAL: Duration = Duration::from_millis(250);
/// How often a summary of the state is logged.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(1);
/// How often the periodic checks run, among them the one for occurrences that have come due.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// A finished job is remembered for this many milliseconds beyond the time for which its state must
/// be available.
const EXTRA_KEEP_MS: u64 = 10_000;

/// What a new owner of a shard starts with, apart from the stored records.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The shard.
    pub shard: ShardNo,
    /// The member that owns the shard.
    pub me: Incarnation,
    /// The owner's token, which is higher than that of any earlier owner.
    pub token: u64,
    /// The time bounds of this deployment.
    pub bounds: Bounds,
    /// The Unix time at [`Time::ZERO`], in milliseconds.
    pub unix: u64,
}

/// The state of one shard at the member that owns it.
pub struct Shard {
    pub(super) setup: Setup,
    pub(super) queues: Arc<Queues>,
    /// The latest configuration of each queue that ever existed, since jobs outlive their queue.
    pub(super) known: FxHashMap<Box<str>, Queue>,
    /// For each queue, the settings stored with its most recent job, and the time at which that job
    /// arrived (Unix milliseconds).
    pub(super) terms: FxHashMap<Box<str>, (u64, Box<Queue>)>,
    pub(super) jobs: FxHashMap<JobNo, Active>,
    /// Jobs whose end is stored, with their final state.
    pub(super) over: FxHashMap<JobNo, State>,
    /// Finished jobs by the Unix time in milliseconds at which their progress may be removed.
    pub(super) purge: VecDeque<(u64, JobNo)>,
    pub(super) timed: BTreeSet<JobNo>,
    /// Cancelled jobs whose record has not arrived yet.
    pub(super) early: FxHashSet<JobNo>,
    pub(super) workers: Vec<Worker>,
    pub(super) ids: FxHashMap<WorkerId, WorkerNo>,
    pub(super) pools: FxHashMap<PoolId, Vec<WorkerNo>>,
    /// Workers that a former owner may have used and that have not answered this owner yet.
    pub(super) unsettled: FxHashSet<WorkerNo>,
    /// Tasks that have an extra run, not the current one, which is being stopped.
    pub(super) strays: FxHashSet<TaskKey>,
    /// When this owner took the shard over.
    pub(super) begun: Time,
    /// When most workers of the roster had first answered this owner.
    pub(super) most: Option<Time>,
    /// Whether the former owner's lease had ended, or the shard had been released, when this owner
    /// took over.
    pub(super) lapsed: bool,
    /// The ready steps in the order of their ranks.
    pub(super) ready: BTreeSet<(Rank, StepKey)>,
    /// The rank of each ready step.
    pub(super) ranks: FxHashMap<StepKey, Rank>,
    /// Whether something has changed that may let a step start.
    pub(super) stir: bool,
    /// Resources reserved for gangs until they start.
    pub(super) reserved: BTreeMap<StepKey, Reserve>,
    /// For each queue, the share of the named workers that advice has approved.
    pub(super) shares: FxHashMap<Box<str>, Share>,
    /// Advice calls per queue, for the log only.
    pub(super) asked: BTreeMap<Box<str>, AdviceStats>,
    /// No dispatch before this time.
    pub(super) next: Time,
    pub(super) lanes: Lanes,
    pub(super) turns: Turns,
    pub(super) commit: Commit,
    /// The sequence number of the last change to a job.
    pub(super) last_change: u64,
    /// Jobs with changes that have not been written.
    pub(super) dirty_jobs: VecDeque<JobNo>,
    /// Whether the roster has to be written.
    pub(super) roster: bool,
    /// The contents of the write in progress.
    pub(super) in_flight: Flight,
    /// When the last lease renewal that the store has confirmed was sent.
    pub(super) confirmed: Time,
    /// Orders that the next round returns.
    pub(super) out: Vec<Order>,
    pub(super) told: Reported,
    pub(super) closing: Arc<Closing>,
    pub(super) tally: Tally,
    deposed: bool,
    /// When the platform's VM list may be read again; `None` while a read is in progress.
    pub(super) census: Option<Time>,
    next_rerank: Time,
    next_check: Time,
    next_summary: Time,
}

impl Shard {
    /// Builds the shard's state from the records that its new owner has read.
    pub fn new(setup: Setup, load: Load, now: Time) -> Self {
        let commit = Commit::new(load.commit);
        let mut shard = Shard {
            setup,
            queues: Arc::default(),
            known: FxHashMap::default(),
            terms: FxHashMap::default(),
            jobs: FxHashMap::default(),
            over: FxHashMap::default(),
            purge: VecDeque::new(),
            timed: BTreeSet::new(),
            early: FxHashSet::default(),
            workers: vec![],
            ids: FxHashMap::default(),
            pools: FxHashMap::default(),
            unsettled: FxHashSet::default(),
            strays: FxHashSet::default(),
            begun: now,
            most: None,
            lapsed: load.lapsed,
            ready: BTreeSet::new(),
            ranks: FxHashMap::default(),
            stir: true,
            reserved: BTreeMap::new(),
            shares: FxHashMap::default(),
            asked: BTreeMap::new(),
            next: now,
            lanes: Lanes::new(),
            turns: Turns::new(),
            commit,
            last_change: 0,
            dirty_jobs: VecDeque::new(),
            roster: false,
            in_flight: Flight::default(),
            // The store may not have confirmed the lease since the shard was taken over.
            confirmed: Time::ZERO,
            out: vec![],
            told: Reported::new(now),
            closing: Arc::default(),
            tally: Tally::default(),
            deposed: false,
            census: Some(now),
            next_rerank: now,
            next_check: now,
            next_summary: now,
        };
        shard.load(load, now);
        shard
    }

    fn load(&mut self, load: Load, now: Time) {
        for (id, addr) in load.roster.workers {
            let no = self.worker(&id, addr, now);
            self.workers[no.0].rostered = true;
            self.unsettled.insert(no);
        }
        let progress: FxHashMap<JobNo, Progress> = load.progress.into_iter().collect();
        for (no, p) in &progress {
            if p.state.over() {
                self.over.insert(*no, p.state);
                self.purge.push_back((p.over + self.kept(), *no));
            }
        }
        self.purge.make_contiguous().sort_unstable();
        for (no, record) in load.jobs {
            if !self.over.contains_key(&no) {
                self.admit(no, record, progress.get(&no), true, now);
            }
        }
        for no in load.cancels {
            self.cancel(no, now);
        }
    }

    /// Applies one event and returns the resulting orders.
    pub fn on(&mut self, event: Event, now: Time) -> Vec<Order> {
        self.take(event, now);
        self.round(now)
    }

    /// Applies one event. Its orders are returned by the next [`Self::round`].
    pub fn take(&mut self, event: Event, now: Time) {
        if self.deposed {
            return;
        }
        match event {
            Event::Job(no, record) => {
                if !self.jobs.contains_key(&no) && !self.over.contains_key(&no) {
                    self.admit(no, *record, None, false, now);
                }
            }
            Event::Cancel(no) => {
                log::info!(target: "shard", did = "cancelled", job:% = no, known = self.jobs.contains_key(&no); "Cancel of a job was received.");
                self.cancel(no, now);
            }
            Event::Listed(list) => self.list(list, now),
            Event::Queues(queues) => self.configure(queues, now),
            Event::Worker { worker, sent, call, reply } => {
                self.hear(&worker, sent, *call, reply, now);
            }
            Event::Advised { call, via, sent, reply } => self.advised(*call, via, sent, reply, now),
            Event::Stored(number, reply) => {
                let after = self.commit.stored(number, &reply, now);
                self.after_write(after, now);
            }
            Event::Reread(row) => {
                let after = self.commit.reread(row, self.setup.token, now);
                self.after_write(after, now);
            }
            Event::Lives { sent, reply } => self.lives(sent, reply, now),
            Event::Confirmed(sent) => self.confirm(sent, now),
            Event::Peers(mut peers) => {
                // This member comes first: its own calls need no hop to another member.
                peers.own.sort_by_key(|p| *p != self.setup.me);
                self.lanes.members(&peers);
            }
            Event::Closing(closing) => self.close_workers(&closing),
            Event::Tick => self.tick(now),
        }
    }

    /// Runs one scheduling round and returns all pending orders.
    ///
    /// A round examines each waiting step and each worker. With one round per event, an owner that
    /// receives hundreds of answers a second would fall behind as soon as much work waits. So all
    /// events that have arrived since the last round share one round.
    pub fn round(&mut self, now: Time) -> Vec<Order> {
        if self.deposed {
            return mem::take(&mut self.out);
        }
        self.dispatch(now);
        self.flush(now);
        self.send_holds(now);
        mem::take(&mut self.out)
    }

    fn tick(&mut self, now: Time) {
        if self.next_check <= now {
            self.next_check = now + CHECK_INTERVAL;
            for no in self.timed.clone() {
                self.unfold(no, now);
            }
            self.expire(now);
            self.repeat_stops(now);
            self.leave(now);
            self.empty(now);
            self.settle(now);
            self.doubt(now);
            self.foresee(now);
            self.check_purge(now);
            self.log_workers(now);
        }
        if self.next_summary <= now {
            self.next_summary = now + SUMMARY_INTERVAL;
            self.log_summary(now);
        }
        if self.next_rerank <= now {
            self.next_rerank = now + RERANK_INTERVAL;
            self.rerank_ready(now);
            self.copy(now);
            self.stir = true;
        }
        if self.commit.unclear(now) {
            self.out.push(Order::Reread);
        }
    }

    fn after_write(&mut self, after: After, now: Time) {
        match after {
            After::Nothing => {}
            After::Done => self.on_stored(now),
            After::Again => {
                log::info!(target: "shard", shard:% = self.setup.shard; "Write was not done; it is made again.");
                self.on_write_failed();
            }
            After::Reread => {
                log::info!(target: "shard", shard:% = self.setup.shard; "Write has an unclear outcome; the commit row is read.");
                self.out.push(Order::Reread);
            }
            After::Deposed => self.depose(),
        }
    }

    /// The state of a job as far as it is stored. Returns `None` if the job is unknown here, or if
    /// another owner may have a newer state.
    pub fn state(&self, no: JobNo, now: Time) -> Option<State> {
        self.known_state(no).filter(|s| s.over() || self.may_tell(now))
    }

    /// Like [`Shard::state`], for a member whose own table shows that it owns the shard.
    pub fn known_state(&self, no: JobNo) -> Option<State> {
        match (self.over.get(&no), self.jobs.get(&no)) {
            // This state is stored, so it holds under any owner.
            (Some(over), _) => Some(*over),
            // The end is not stored yet: after a power failure the job would run again.
            (None, Some(job)) if job.state.over() => Some(State::Running),
            (None, job) => job.map(|j| j.state),
        }
    }

    /// Number of jobs of a queue that have not started.
    pub fn waiting(&self, queue: &str) -> u64 {
        let begun =
            |j: &&Active| *j.queue == *queue && j.state == State::Queued && j.job.times.is_none();
        self.jobs.values().filter(begun).count() as u64
    }

    /// Whether every change is stored.
    pub fn idle_commit(&self) -> bool {
        self.deposed || (self.dirty_jobs.is_empty() && !self.commit.busy())
    }

    /// Number of jobs whose current state may not be stored yet.
    pub fn unwritten(&self) -> usize {
        self.dirty_jobs.len() + self.in_flight.jobs.len()
    }

    /// Writes the remaining changes without making scheduling decisions, because the shard is about
    /// to be released.
    ///
    /// The release must call this repeatedly: writes are spaced by a minimum interval, and an
    /// answer that arrives within that interval does not begin the next write.
    pub fn write_rest(&mut self, now: Time) -> Vec<Order> {
        if self.deposed {
            return vec![];
        }
        if self.commit.unclear(now) {
            self.out.push(Order::Reread);
        }
        self.begin_write(true, now);
        mem::take(&mut self.out)
    }

    /// The state of a step in one occurrence, once that occurrence is due.
    pub(super) fn part(&self, key: &StepKey) -> Option<&Part> {
        self.jobs.get(&key.job)?.parts.get(&(key.time, key.step))
    }

    /// The given time in milliseconds of the Unix clock.
    pub(super) fn unix(&self, now: Time) -> u64 {
        self.setup.unix + millis(now - Time::ZERO)
    }

    pub(super) fn kept(&self) -> u64 {
        millis(self.setup.bounds.keep) + EXTRA_KEEP_MS
    }

    /// Stops this owner for good: another owner has a higher token, so this state no longer counts.
    pub(super) fn depose(&mut self) {
        log::warn!(target: "shard", did = "deposed", shard:% = self.setup.shard, token = self.setup.token; "Shard has another owner.");
        self.deposed = true;
        self.out.clear();
        self.out.push(Order::Deposed);
    }

    /// Marks a job as changed so that it is stored; returns the sequence number of the change.
    pub(super) fn touch(&mut self, no: JobNo) -> u64 {
        self.last_change += 1;
        if let Some(job) = self.jobs.get_mut(&no) {
            if job.changed <= job.stored {
                self.dirty_jobs.push_back(no);
            }
            job.changed = self.last_change;
        }
        self.last_change
    }

    /// Whether this run is a current run of a task, at this worker, of a job that is not over.
    pub(super) fn at(&mut self, task: &crate::work::TaskKey, no: WorkerNo, run: u32) -> bool {
        let Some(job) = self.jobs.get_mut(&task.step.job) else { return false };
        job.task(task).is_some_and(|t| t.has(no, run))
    }
}
