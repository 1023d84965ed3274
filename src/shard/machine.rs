//! The state of a shard and its round: events in, orders out.

use {
    crate::{
        decide::{lanes::Lanes, rank::Rank},
        ids::{Incarnation, PoolId, WorkerId},
        ports::{Bounds, WorkerCall},
        shard::{
            commit::{After, Commit},
            event::{Event, Load, Order},
            flight::Flight,
            jobs::{Active, At},
            record::{JobRecord, Progress, ShardNo},
            tally::{Tally, Told},
            workers::{Worker, WorkerNo, millis},
        },
        time::Time,
        work::{JobNo, Listed, Queue, Queues, State, StepKey},
    },
    rustc_hash::{FxHashMap, FxHashSet},
    std::{
        collections::{BTreeSet, VecDeque},
        mem,
        net::SocketAddr,
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
/// How long a leaving worker stays that does not say how long.
const LEAVE: Duration = Duration::from_secs(2);
/// How old the list may be.
const LIST: Duration = Duration::from_millis(700);
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
    pub(super) begun: Time,
    pub(super) most: Option<Time>,
    pub(super) ready: BTreeSet<(Rank, StepKey)>,
    pub(super) ranks: FxHashMap<StepKey, Rank>,
    pub(super) stir: bool,
    pub(super) lanes: Lanes,
    pub(super) commit: Commit,
    pub(super) journal: u64,
    pub(super) dirty: VecDeque<JobNo>,
    pub(super) roster: bool,
    pub(super) flight: Flight,
    pub(super) confirmed: Time,
    pub(super) out: Vec<Order>,
    pub(super) told: Told,
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
            jobs: FxHashMap::default(),
            over: FxHashMap::default(),
            purge: VecDeque::new(),
            timed: BTreeSet::new(),
            early: FxHashSet::default(),
            workers: vec![],
            ids: FxHashMap::default(),
            pools: FxHashMap::default(),
            unsettled: FxHashSet::default(),
            begun: now,
            most: None,
            ready: BTreeSet::new(),
            ranks: FxHashMap::default(),
            stir: true,
            lanes: Lanes::new(),
            commit,
            journal: 0,
            dirty: VecDeque::new(),
            roster: false,
            flight: Flight::default(),
            confirmed: now,
            out: vec![],
            told: Told::new(now),
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
            Event::Confirmed(sent) => self.confirmed = self.confirmed.max(sent),
            Event::Peers(mut peers) => {
                // This member first: its calls spare the way to another.
                peers.sort_by_key(|p| *p != self.setup.me);
                self.lanes.members(&peers);
            }
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

    /// How a job stands, as far as the store has it; nothing where it is not known here.
    pub fn state(&self, no: JobNo) -> Option<State> {
        match (self.over.get(&no), self.jobs.get(&no)) {
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
        self.flush(now);
        mem::take(&mut self.out)
    }

    /// The present time in milliseconds of the Unix clock.
    pub(super) fn unix(&self, now: Time) -> u64 {
        self.setup.unix + millis(now - Time::ZERO)
    }

    pub(super) fn kept(&self) -> u64 {
        millis(self.setup.bounds.keep) + LONGER
    }

    /// The number of a worker's life, made if it is new.
    pub(super) fn worker(&mut self, id: &WorkerId, addr: SocketAddr, now: Time) -> WorkerNo {
        // One that was taken for gone and is there again begins anew, with nothing known.
        if let Some(no) = self.ids.get(id).filter(|n| !self.workers[n.0].gone) {
            return *no;
        }
        let no = WorkerNo(self.workers.len());
        self.workers.push(Worker::new(id.clone(), addr, now));
        self.ids.insert(id.clone(), no);
        no
    }

    /// Another owner has a higher token: nothing that is known here counts any more.
    pub(super) fn depose(&mut self) {
        log::warn!(target: "shard", did = "deposed", shard:% = self.setup.shard, token = self.setup.token; "Shard has another owner.");
        self.deposed = true;
        self.out.clear();
        self.out.push(Order::Deposed);
    }

    fn admit(
        &mut self,
        no: JobNo,
        record: JobRecord,
        progress: Option<&Progress>,
        old: bool,
        now: Time,
    ) {
        let active = Active::new(record, progress, old);
        if active.job.times.is_some() {
            self.timed.insert(no);
        }
        self.jobs.insert(no, active);
        self.tell_known(no, now);
        if self.early.remove(&no) {
            return self.end(no, State::Cancelled, now);
        }
        self.unfold(no, now);
        self.finish_if_done(no, now);
    }

    /// Makes the steps of the occurrences that are due.
    fn unfold(&mut self, no: JobNo, now: Time) {
        let unix = self.unix(now);
        let Some(job) = self.jobs.get_mut(&no) else { return };
        let steps = u16::try_from(job.job.steps.len()).unwrap_or(u16::MAX);
        let mut all = true;
        for time in 0..job.times() {
            if job.due(time) > unix {
                all = false;
                break;
            }
            for step in 0..steps {
                job.part(time, step);
            }
        }
        if all {
            self.timed.remove(&no);
        }
        self.review(no, now);
    }

    /// Cancels a job, also one that is heard of only later.
    ///
    /// Guards against a cancel that is read before its job, as happens when a range is read again
    /// after the store has lost its history: the job would run although its caller was told that it
    /// does not.
    fn cancel(&mut self, no: JobNo, now: Time) {
        match self.jobs.get(&no) {
            Some(job) if !job.state.over() => self.end(no, State::Cancelled, now),
            Some(_) => {}
            None if self.over.contains_key(&no) => {}
            None => {
                let unix = self.unix(now);
                if self.early.insert(no) {
                    self.purge.push_back((unix + self.kept(), no));
                }
            }
        }
    }

    /// Ends a job: nothing of it starts any more, and what runs is stopped.
    pub(super) fn end(&mut self, no: JobNo, state: State, now: Time) {
        let Some(job) = self.jobs.get_mut(&no) else { return };
        job.state = state;
        let there = job.there(no);
        let parts: Vec<_> = job.parts.keys().copied().collect();
        self.tell_over(no, state, there.len(), now);
        for (time, step) in parts {
            self.unready(&StepKey { job: no, time, step });
        }
        for (task, at, _) in there {
            self.stop(at, &task, now);
        }
        self.timed.remove(&no);
        self.touch(no);
    }

    /// Ends a job of which all tasks are done.
    pub(super) fn finish_if_done(&mut self, no: JobNo, now: Time) {
        if self.jobs.get(&no).is_some_and(|j| !j.state.over() && j.done()) {
            self.end(no, State::Done, now);
        }
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

    fn configure(&mut self, queues: Arc<Queues>, now: Time) {
        if queues.version < self.queues.version {
            return;
        }
        let mut fewer = FxHashSet::default();
        for queue in &queues.all {
            let old = self.known.insert(queue.name.clone(), queue.clone());
            if old.is_none_or(|o| o.attempts > queue.attempts) {
                fewer.insert(queue.name.clone());
            }
        }
        self.queues = queues;
        let all: Vec<_> = self.jobs.iter().map(|(no, j)| (*no, fewer.contains(&j.queue))).collect();
        for (no, fewer) in all {
            self.review(no, now);
            if fewer {
                self.give_up(no, now);
            }
        }
    }

    /// Ends a job of which a task has failed as often as its queue allows.
    ///
    /// Guards against a new owner that hears of failures before it hears of the queue: it can't tell
    /// then that they are the last ones, and would start the task once more.
    fn give_up(&mut self, no: JobNo, now: Time) {
        let Some(job) = self.jobs.get(&no).filter(|j| !j.state.over()) else { return };
        let most = self.known.get(&job.queue).map_or(u32::MAX, |q| q.attempts.max(1)) as usize;
        let lasts = |step: u16| job.job.steps.get(usize::from(step)).is_some_and(|s| s.lasts);
        let spent = job
            .parts
            .iter()
            .filter(|((_, step), _)| !lasts(*step))
            .any(|(_, part)| part.tasks.iter().any(|t| t.fails.len() >= most));
        if spent {
            self.end(no, State::Failed, now);
        }
    }

    fn list(&mut self, list: Vec<Listed>, now: Time) {
        let mut seen = FxHashSet::default();
        for listed in list {
            let no = self.worker(&listed.id, listed.addr, now);
            seen.insert(no);
            let worker = &mut self.workers[no.0];
            if listed.draining && worker.leaving.is_none() {
                let left = listed.left.unwrap_or(LEAVE);
                worker.leaving = Some(now + left.saturating_sub(LIST));
                log::info!(target: "shard", worker:% = listed.id, left_ms = millis(left), runs = worker.runs.len(); "Worker is leaving.");
            }
            worker.listed = Some(listed);
        }
        self.pools.clear();
        for no in 0..self.workers.len() {
            let no = WorkerNo(no);
            let worker = &mut self.workers[no.0];
            if !seen.contains(&no) {
                worker.listed = None;
            } else if let Some(pool) = worker.pool().cloned() {
                self.pools.entry(pool).or_default().push(no);
            }
        }
        self.tell_listed(seen.len(), now);
        self.replaced(&seen, now);
        self.roster |= self.workers.iter().any(|w| w.rostered != w.counts());
        self.stir = true;
    }

    /// A worker whose address another life has taken is over.
    fn replaced(&mut self, seen: &FxHashSet<WorkerNo>, now: Time) {
        let addrs: FxHashSet<SocketAddr> = seen.iter().map(|n| self.workers[n.0].addr).collect();
        for no in (0..self.workers.len()).map(WorkerNo) {
            let worker = &self.workers[no.0];
            if !worker.gone && !seen.contains(&no) && addrs.contains(&worker.addr) {
                self.over_with(no, now);
            }
        }
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
            self.settle(now);
            self.doubt(now);
            self.foresee(now);
            self.trim(now);
            self.tell_workers(now);
        }
        if self.summed <= now && log::log_enabled!(target: "shard", log::Level::Debug) {
            self.summed = now + SUM;
            log::debug!(target: "shard", "Shard {}: {}.", self.setup.shard, self.sum_up(now));
            if let Some((_, key)) = self.ready.last() {
                log::debug!(target: "shard", "Last in order: {}", self.explain(key.job, now));
            }
        }
        if self.rerank <= now {
            self.rerank = now + RANK;
            self.rank_again(now);
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

    /// Whether this owner may start work and renew leases.
    ///
    /// Guards against an owner that is cut off from the store and goes on beside its successor:
    /// while the store is silent it needs answers from most of its workers, and a successor needs
    /// the same before it counts others' leases as ended, so that at least one worker has seen both
    /// and refuses the older one.
    pub(super) fn may_act(&self, now: Time) -> bool {
        const FRESH: Duration = Duration::from_millis(1900);
        const HEARD: Duration = Duration::from_millis(2600);
        if now - self.confirmed <= FRESH {
            return true;
        }
        let (mut all, mut heard) = (0, 0);
        for w in self.workers.iter().filter(|w| w.listed.is_some() && !w.gone) {
            all += 1;
            heard += usize::from(w.heard.is_some_and(|h| now - h <= HEARD));
        }
        heard * 2 > all
    }

    /// Whether what former owners have started is known.
    ///
    /// Guards against a second run of what goes on at a worker that can't be asked: until all that
    /// may run something have answered, or their leases have ended, no job from before starts.
    fn settle(&mut self, now: Time) {
        if self.unsettled.is_empty() {
            return;
        }
        let fenced = |w: &Worker| w.fenced || w.gone;
        let rostered = || self.workers.iter().filter(|w| w.rostered);
        let most = rostered().filter(|w| fenced(w)).count() * 2 > rostered().count();
        if most && self.most.is_none() {
            self.most = Some(now);
        }
        let bound = self.setup.bounds.hold.div_f64(0.98) + Duration::from_millis(2900);
        let lapsed = self.most.is_some_and(|t| t + bound <= now);
        let workers = &self.workers;
        self.unsettled.retain(|n| !lapsed && !fenced(&workers[n.0]));
        if self.unsettled.is_empty() {
            self.told.settled = Some(now);
            log::info!(target: "shard", did = "settled", shard:% = self.setup.shard, token = self.setup.token, after_ms = millis(now - self.begun), by_lapse = lapsed; "Shard is settled.");
            self.stir = true;
        }
    }

    /// Sends the holds that are due.
    fn holds(&mut self, now: Time) {
        let act = self.may_act(now);
        for no in 0..self.workers.len() {
            let w = &mut self.workers[no];
            if w.gone || w.holding.is_some() || w.next > now {
                continue;
            }
            let wanted = w.listed.is_some() || !w.runs.is_empty() || !w.fenced;
            if !wanted {
                continue;
            }
            // A silent worker gets no new lease: each one, as it may still arrive, would put off the
            // time from which its work can start elsewhere, for ever.
            let renew = act && w.fenced && w.silent == 0;
            let until = if renew { w.lease(&self.setup.bounds, now) } else { None };
            let wait = match () {
                () if !w.fenced || !w.pending.is_empty() || w.silent > 0 => Duration::ZERO,
                () if w.runs.is_empty() => Duration::from_millis(1900),
                () => Duration::from_millis(900),
            };
            w.holding = Some(now);
            let call = WorkerCall::Hold { until, token: self.setup.token, seen: w.seen, wait };
            self.out.push(Order::Worker {
                worker: w.id.clone(),
                addr: w.addr,
                call: Box::new(call),
                limit: wait + Duration::from_millis(700),
            });
        }
    }

    /// Whether a task of a job that is not over is at this worker.
    pub(super) fn at(&mut self, task: &crate::work::TaskKey, no: WorkerNo, run: u32) -> bool {
        let Some(job) = self.jobs.get_mut(&task.step.job) else { return false };
        job.task(task).is_some_and(|t| t.at == At::There(no) && t.run == run)
    }
}
