//! The state of a shard and its round: events in, orders out.

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
            tally::{Asked, Tally, Told},
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

/// How often the order of what waits is made anew, as jobs get late while they wait.
const RANK: Duration = Duration::from_millis(250);
/// How often the state is summed up in the log.
const SUM: Duration = Duration::from_secs(1);
/// How often occurrences that have come due are looked for.
const DUE: Duration = Duration::from_millis(50);
/// How much longer than its states must be shown a job that is over is remembered.
const LONGER: u64 = 10_000;

/// What a shard's owner is given at its start.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Which shard.
    pub shard: ShardNo,
    /// The owner.
    pub me: Incarnation,
    /// Its token, higher than that of any owner before.
    pub token: u64,
    /// The deployment's bounds.
    pub bounds: Bounds,
    /// The Unix clock at [`Time::ZERO`], in milliseconds.
    pub unix: u64,
}

/// One shard at its owner.
pub struct Shard {
    pub(super) setup: Setup,
    pub(super) queues: Arc<Queues>,
    /// Each queue as the last version that had it said; jobs outlive their queue.
    pub(super) known: FxHashMap<Box<str>, Queue>,
    /// Queues as they were when the last of their jobs came, and when that was.
    pub(super) terms: FxHashMap<Box<str>, (u64, Box<Queue>)>,
    pub(super) jobs: FxHashMap<JobNo, Active>,
    pub(super) over: FxHashMap<JobNo, State>,
    pub(super) purge: VecDeque<(u64, JobNo)>,
    pub(super) timed: BTreeSet<JobNo>,
    /// Cancels of jobs that were not heard of yet.
    pub(super) early: FxHashSet<JobNo>,
    pub(super) workers: Vec<Worker>,
    pub(super) ids: FxHashMap<WorkerId, WorkerNo>,
    pub(super) pools: FxHashMap<PoolId, Vec<WorkerNo>>,
    pub(super) unsettled: FxHashSet<WorkerNo>,
    /// Tasks with a run besides the one that counts, which is being stopped.
    pub(super) strays: FxHashSet<TaskKey>,
    pub(super) begun: Time,
    pub(super) most: Option<Time>,
    /// Whether the former owner can't have taken itself for confirmed since then.
    pub(super) lapsed: bool,
    pub(super) ready: BTreeSet<(Rank, StepKey)>,
    pub(super) ranks: FxHashMap<StepKey, Rank>,
    pub(super) stir: bool,
    /// Room that is kept for gangs until they start.
    pub(super) reserved: BTreeMap<StepKey, Reserve>,
    /// What was learnt of each queue's advice.
    pub(super) shares: FxHashMap<Box<str>, Share>,
    /// How many calls for advice each queue has had, how many workers they named, and what they took;
    /// for the log alone.
    pub(super) asked: BTreeMap<Box<str>, Asked>,
    /// No look at what waits before.
    pub(super) next: Time,
    pub(super) lanes: Lanes,
    pub(super) turns: Turns,
    pub(super) commit: Commit,
    pub(super) journal: u64,
    pub(super) dirty: VecDeque<JobNo>,
    pub(super) roster: bool,
    pub(super) flight: Flight,
    pub(super) confirmed: Time,
    pub(super) out: Vec<Order>,
    pub(super) told: Told,
    pub(super) closing: Arc<Closing>,
    pub(super) tally: Tally,
    deposed: bool,
    /// When the list of machines may be read again; nothing while it is being read.
    pub(super) census: Option<Time>,
    rerank: Time,
    look: Time,
    summed: Time,
}

impl Shard {
    /// The shard as its new owner finds it.
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
            journal: 0,
            dirty: VecDeque::new(),
            roster: false,
            flight: Flight::default(),
            // The store may have confirmed nothing since the shard was taken over.
            confirmed: Time::ZERO,
            out: vec![],
            told: Told::new(now),
            closing: Arc::default(),
            tally: Tally::default(),
            deposed: false,
            census: Some(now),
            rerank: now,
            look: now,
            summed: now,
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

    /// Takes in one event and returns the orders that follow.
    pub fn on(&mut self, event: Event, now: Time) -> Vec<Order> {
        self.take(event, now);
        self.round(now)
    }

    /// Takes in one event; what follows comes with the next round.
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
                log::info!(target: "shard", did = "cancelled", job:% = no, known = self.jobs.contains_key(&no); "Cancel has come.");
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
                self.written(after, now);
            }
            Event::Reread(row) => {
                let after = self.commit.reread(row, self.setup.token, now);
                self.written(after, now);
            }
            Event::Lives { sent, reply } => self.lives(sent, reply, now),
            Event::Confirmed(sent) => self.confirm(sent, now),
            Event::Peers(mut peers) => {
                // This member first: its calls spare the way to another.
                peers.own.sort_by_key(|p| *p != self.setup.me);
                self.lanes.members(&peers);
            }
            Event::Closing(closing) => self.close_workers(&closing),
            Event::Tick => self.tick(now),
        }
    }

    /// What follows from all that was taken in.
    ///
    /// Guards against an owner that never catches up: a round looks at each step that waits and at
    /// each worker, and with one for each event hundreds of answers a second cost more than there is
    /// the more work waits. Events that have gathered meanwhile cost one round together.
    pub fn round(&mut self, now: Time) -> Vec<Order> {
        if self.deposed {
            return mem::take(&mut self.out);
        }
        self.dispatch(now);
        self.flush(now);
        self.holds(now);
        mem::take(&mut self.out)
    }

    fn tick(&mut self, now: Time) {
        if self.look <= now {
            self.look = now + DUE;
            for no in self.timed.clone() {
                self.unfold(no, now);
            }
            self.expire(now);
            self.repeat(now);
            self.leave(now);
            self.empty(now);
            self.settle(now);
            self.doubt(now);
            self.foresee(now);
            self.trim(now);
            self.tell_workers(now);
        }
        if self.summed <= now {
            self.summed = now + SUM;
            self.tell_waiting(now);
        }
        if self.rerank <= now {
            self.rerank = now + RANK;
            self.rank_again(now);
            self.copy(now);
            self.stir = true;
        }
        if self.commit.unclear(now) {
            self.out.push(Order::Reread);
        }
    }

    fn written(&mut self, after: After, now: Time) {
        match after {
            After::Nothing => {}
            After::Done => self.stored(now),
            After::Again => {
                log::info!(target: "shard", shard:% = self.setup.shard; "Write was not done; it is made again.");
                self.unstored();
            }
            After::Reread => {
                log::info!(target: "shard", shard:% = self.setup.shard; "Write has no clear answer; it is read.");
                self.out.push(Order::Reread);
            }
            After::Deposed => self.depose(),
        }
    }

    /// How a job stands, as far as the store has it; nothing where it is not known here, or where
    /// another owner may know more of it.
    pub fn state(&self, no: JobNo, now: Time) -> Option<State> {
        self.known_state(no).filter(|s| s.over() || self.may_tell(now))
    }

    /// As [`Shard::state`], for a member that knows by its own table that this one is the owner.
    pub fn known_state(&self, no: JobNo) -> Option<State> {
        match (self.over.get(&no), self.jobs.get(&no)) {
            // Stored, and so for any owner.
            (Some(over), _) => Some(*over),
            // Not stored yet: after a loss of power it would run again.
            (None, Some(job)) if job.state.over() => Some(State::Running),
            (None, job) => job.map(|j| j.state),
        }
    }

    /// How many jobs of a queue have not begun.
    pub fn waiting(&self, queue: &str) -> u64 {
        let begun =
            |j: &&Active| *j.queue == *queue && j.state == State::Queued && j.job.times.is_none();
        self.jobs.values().filter(begun).count() as u64
    }

    /// Whether nothing is left to be written.
    pub fn idle_commit(&self) -> bool {
        self.deposed || (self.dirty.is_empty() && !self.commit.busy())
    }

    /// How many jobs stand otherwise here than in the store, as far as is known.
    pub fn unwritten(&self) -> usize {
        self.dirty.len() + self.flight.jobs.len()
    }

    /// Writes what is left, and decides nothing: the shard is about to be released.
    ///
    /// Guards against a release that waits in vain: between two writes lies a pause, and an answer
    /// that comes within it begins no further one.
    pub fn write_rest(&mut self, now: Time) -> Vec<Order> {
        if self.deposed {
            return vec![];
        }
        if self.commit.unclear(now) {
            self.out.push(Order::Reread);
        }
        self.flush_as(true, now);
        mem::take(&mut self.out)
    }

    /// A step of an occurrence, once it has come up.
    pub(super) fn part(&self, key: &StepKey) -> Option<&Part> {
        self.jobs.get(&key.job)?.parts.get(&(key.time, key.step))
    }

    /// The present time in milliseconds of the Unix clock.
    pub(super) fn unix(&self, now: Time) -> u64 {
        self.setup.unix + millis(now - Time::ZERO)
    }

    pub(super) fn kept(&self) -> u64 {
        millis(self.setup.bounds.keep) + LONGER
    }

    /// Another owner has a higher token: nothing that is known here counts any more.
    pub(super) fn depose(&mut self) {
        log::warn!(target: "shard", did = "deposed", shard:% = self.setup.shard, token = self.setup.token; "Shard has another owner.");
        self.deposed = true;
        self.out.clear();
        self.out.push(Order::Deposed);
    }

    /// Notes that something of a job has to be stored; returns the place in the journal.
    pub(super) fn touch(&mut self, no: JobNo) -> u64 {
        self.journal += 1;
        if let Some(job) = self.jobs.get_mut(&no) {
            if job.changed <= job.stored {
                self.dirty.push_back(no);
            }
            job.changed = self.journal;
        }
        self.journal
    }

    /// Whether a task of a job that is not over is at this worker.
    pub(super) fn at(&mut self, task: &crate::work::TaskKey, no: WorkerNo, run: u32) -> bool {
        let Some(job) = self.jobs.get_mut(&task.step.job) else { return false };
        job.task(task).is_some_and(|t| t.has(no, run))
    }
}
