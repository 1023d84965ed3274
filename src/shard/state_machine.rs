//! The state machine of one shard: applies events to the shard's state and returns the orders to
//! carry out.

use {
    crate::{
        decide::{
            gather::AdviceShare, lanes::Lanes, rank::Rank, resend::AnswerMonitor,
            turns::AdviceTurns, utility::RatioHistory,
        },
        ids::{Incarnation, PoolId, WorkerId},
        ports::Bounds,
        shard::{
            commit::{GroupCommit, WriteOutcome},
            customer_cap::Caps,
            event::{CancelSource, Event, Order, Snapshot},
            in_flight::InFlight,
            jobs::{ActiveJob, StepState},
            rack_state::Locality,
            record::{CancelRecord, Closing, Progress, ShardNo},
            reservation::GangReservation,
            share_state::ShareState,
            stats::{AdviceStats, ReportedValues, Stats},
            unwritten::UnwrittenJobs,
            workers::{Worker, WorkerNo, millis},
        },
        time::Time,
        work::{JobNo, JobState, Queue, QueueConfig, StepKey, TaskKey},
    },
    rustc_hash::{FxHashMap, FxHashSet},
    std::{
        collections::{BTreeMap, BTreeSet, VecDeque},
        mem,
        sync::Arc,
        time::Duration,
    },
};

/// The interval at which the waiting steps are ranked again, since jobs become late while waiting.
const RERANK_INTERVAL: Duration = Duration::from_millis(250);
/// The interval between two logged summaries of the shard's state.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(1);
/// The interval between two periodic checks, for example for scheduled occurrences that are due.
const PERIODIC_CHECK_INTERVAL: Duration = Duration::from_millis(50);
/// The time in milliseconds for which a finished job is kept beyond the retention time of its
/// state.
const EXTRA_RETENTION_MS: u64 = 10_000;

/// The parameters with which a new owner of a shard starts, in addition to the stored records.
#[derive(Clone, Debug)]
pub struct Setup {
    /// The shard.
    pub shard: ShardNo,
    /// The member that owns the shard.
    pub member: Incarnation,
    /// The owner's token, which is higher than that of any earlier owner.
    pub token: u64,
    /// The time bounds of this deployment.
    pub bounds: Bounds,
    /// The Unix time at [`Time::ZERO`], in milliseconds.
    pub unix_ms: u64,
}

/// The state of one shard at the member that owns it.
pub struct Shard {
    pub(super) setup: Setup,
    pub(super) queues: Arc<QueueConfig>,
    /// The latest configuration of each queue that ever existed, since jobs outlive their queue.
    pub(super) queue_configs: FxHashMap<Box<str>, Queue>,
    /// For each queue, the settings stored with its most recent job, and the time at which that job
    /// arrived (Unix milliseconds).
    pub(super) queue_snapshots: FxHashMap<Box<str>, (u64, Box<Queue>)>,
    pub(super) jobs: FxHashMap<JobNo, ActiveJob>,
    /// Jobs whose end is stored, with their final state.
    pub(super) finished_jobs: FxHashMap<JobNo, JobState>,
    /// Finished jobs by the Unix time in milliseconds at which their progress may be removed.
    pub(super) purge_queue: VecDeque<(u64, JobNo)>,
    /// Jobs with occurrences that are not due yet.
    pub(super) scheduled_jobs: BTreeSet<JobNo>,
    /// Cancelled jobs whose record has not arrived yet.
    pub(super) early_cancels: FxHashMap<JobNo, CancelRecord>,
    pub(super) workers: Vec<Worker>,
    pub(super) worker_numbers: FxHashMap<WorkerId, WorkerNo>,
    pub(super) pools: FxHashMap<PoolId, Vec<WorkerNo>>,
    /// Workers that a former owner may have used and that have not listed all their ends to this
    /// owner yet.
    pub(super) unsettled_workers: FxHashSet<WorkerNo>,
    /// Whether a worker was removed from `unsettled_workers` because its leases had expired.
    pub(super) settled_by_lapse: bool,
    /// Tasks of which a run other than the current one is still being stopped.
    pub(super) stray_tasks: FxHashSet<TaskKey>,
    /// All cancels that were acknowledged before this time are known.
    pub(super) inbox_seen: Time,
    /// The time at which this owner took over the shard.
    pub(super) owned_since: Time,
    /// The time by which most workers of the roster had answered this owner for the first time.
    pub(super) majority_at: Option<Time>,
    /// Whether the former owner's lease had ended, or the shard had been released, when this owner
    /// took over.
    pub(super) former_lapsed: bool,
    /// The ready steps in the order of their ranks.
    pub(super) ready: BTreeSet<(Rank, StepKey)>,
    /// The rank of each ready step.
    pub(super) ranks: FxHashMap<StepKey, Rank>,
    /// For each queue, the observed run times of its last steps relative to their estimates.
    pub(super) ratio_histories: FxHashMap<Box<str>, RatioHistory>,
    /// Whether something has changed that may let a step start.
    pub(super) round_due: bool,
    /// Resources reserved for gangs until they start.
    pub(super) reservations: BTreeMap<StepKey, GangReservation>,
    /// For each queue, the share of the named workers that advice has approved.
    pub(super) advice_shares: FxHashMap<Box<str>, AdviceShare>,
    /// Statistics of the advice calls of each queue, for the log only.
    pub(super) advice_stats: BTreeMap<Box<str>, AdviceStats>,
    /// The earliest time of the next scheduling round.
    pub(super) next_round: Time,
    /// How fast workers answer, and whether calls to them are being lost.
    pub(super) answers: AnswerMonitor,
    pub(super) lanes: Lanes,
    pub(super) advice_turns: AdviceTurns,
    pub(super) commit: GroupCommit,
    pub(super) caps: Caps,
    pub(super) shares: ShareState,
    pub(super) locality: Locality,
    /// The revision of the owner's row, as the takeover wrote it.
    pub(super) owner_rev: u64,
    /// The sequence number of the last change to a job.
    pub(super) last_change: u64,
    /// Jobs with changes that have not been written.
    pub(super) unwritten: UnwrittenJobs,
    /// Whether the roster has to be written.
    pub(super) roster_dirty: bool,
    /// The rosters of which the store has one: the last that is known to be stored, and those
    /// written since whose outcome is unknown.
    pub(super) rosters: Vec<Box<[WorkerNo]>>,
    /// The contents of the write in progress.
    pub(super) in_flight: InFlight,
    /// The time at which the last confirmed lease renewal was sent.
    pub(super) confirmed_at: Time,
    /// Orders that the next round returns.
    pub(super) orders: Vec<Order>,
    pub(super) reported: ReportedValues,
    pub(super) closing: Arc<Closing>,
    pub(super) stats: Stats,
    pub(super) deposed: bool,
    /// The earliest time of the next read of the platform's VM list; `None` while a read is in
    /// progress.
    pub(super) next_vm_list: Option<Time>,
    /// The earliest end of a pause that keeps a task from starting; [`Time::NEVER`] if there is
    /// none.
    pub(super) next_pause_end: Time,
    next_rerank: Time,
    next_check: Time,
    next_summary: Time,
}

impl Shard {
    /// Builds the shard's state from the records that its new owner has read.
    pub fn new(setup: Setup, load: Snapshot, now: Time) -> Self {
        let commit = GroupCommit::new(load.commit_revision);
        let mut shard = Shard {
            setup,
            queues: Arc::default(),
            queue_configs: FxHashMap::default(),
            queue_snapshots: FxHashMap::default(),
            jobs: FxHashMap::default(),
            finished_jobs: FxHashMap::default(),
            purge_queue: VecDeque::new(),
            scheduled_jobs: BTreeSet::new(),
            early_cancels: FxHashMap::default(),
            workers: vec![],
            worker_numbers: FxHashMap::default(),
            pools: FxHashMap::default(),
            unsettled_workers: FxHashSet::default(),
            settled_by_lapse: false,
            stray_tasks: FxHashSet::default(),
            owned_since: now,
            inbox_seen: load.read_at,
            majority_at: None,
            former_lapsed: load.lapsed,
            ready: BTreeSet::new(),
            ranks: FxHashMap::default(),
            ratio_histories: FxHashMap::default(),
            round_due: true,
            reservations: BTreeMap::new(),
            advice_shares: FxHashMap::default(),
            advice_stats: BTreeMap::new(),
            next_round: now,
            answers: AnswerMonitor::default(),
            lanes: Lanes::new(),
            advice_turns: AdviceTurns::new(),
            commit,
            caps: Caps::default(),
            shares: ShareState::default(),
            locality: Locality::default(),
            // A takeover writes both rows at once.
            owner_rev: load.commit_revision,
            last_change: 0,
            unwritten: UnwrittenJobs::default(),
            roster_dirty: false,
            rosters: vec![],
            in_flight: InFlight::default(),
            // The store may not have confirmed the lease since the shard was taken over.
            confirmed_at: Time::ZERO,
            orders: vec![],
            reported: ReportedValues::new(now),
            closing: Arc::default(),
            stats: Stats::default(),
            deposed: false,
            next_vm_list: Some(now),
            next_pause_end: Time::NEVER,
            next_rerank: now,
            next_check: now,
            next_summary: now,
        };
        shard.load(load, now);
        shard
    }

    fn load(&mut self, load: Snapshot, now: Time) {
        self.load_divisions(load.divisions, now);
        let mut roster = vec![];
        for (id, addr) in load.roster.workers {
            let no = self.worker_no(&id, addr, now);
            self.workers[no.0].rostered = true;
            self.unsettled_workers.insert(no);
            roster.push(no);
        }
        self.rosters = vec![roster.into()];
        self.update_unseen();
        let progress: FxHashMap<JobNo, Progress> = load.progress.into_iter().collect();
        for (no, p) in &progress {
            if p.state.is_final() {
                self.finished_jobs.insert(*no, p.state);
                self.purge_queue.push_back((p.ended_ms + self.retention_ms(), *no));
            }
        }
        self.purge_queue.make_contiguous().sort_unstable();
        for (no, record) in load.jobs {
            if !self.finished_jobs.contains_key(&no) {
                self.admit_job(no, record, progress.get(&no), true, now);
            }
        }
        for (no, record) in load.cancels {
            self.on_cancel(no, &record, CancelSource::Load, now);
        }
    }

    /// Applies one event and returns the resulting orders.
    pub fn handle(&mut self, event: Event, now: Time) -> Vec<Order> {
        self.apply(event, now);
        self.run_round(now)
    }

    /// Applies one event. Its orders are returned by the next [`Self::run_round`].
    pub fn apply(&mut self, event: Event, now: Time) {
        if self.deposed {
            return;
        }
        match event {
            Event::Job(no, record) => {
                if !self.jobs.contains_key(&no) && !self.finished_jobs.contains_key(&no) {
                    self.admit_job(no, *record, None, false, now);
                }
            }
            Event::Cancel(no, record, source) => self.on_cancel(no, &record, source, now),
            Event::InboxSeen(seen) => self.on_inbox_seen(seen, now),
            Event::Listed(list) => self.on_list(list, now),
            Event::Queues(queues) => self.configure(queues, now),
            Event::Worker { worker, sent, call, reply } => {
                self.on_worker_reply(&worker, sent, *call, reply, now);
            }
            Event::Advised { call, via, sent, reply } => {
                self.on_advice(*call, via, sent, reply, now)
            }
            Event::Stored(number, reply) => {
                let after = self.commit.on_reply(number, &reply, now);
                self.after_write(after, now);
            }
            Event::CommitRead(row) => {
                let after = self.commit.on_reread(row, self.setup.token, now);
                self.after_write(after, now);
            }
            Event::Divided(customer, reply) => self.on_divided(&customer, reply, now),
            Event::Division(customer, rev, division) => {
                self.on_division(&customer, rev, division, now)
            }
            Event::Divisions { sent, reply } => self.on_divisions(sent, reply, now),
            Event::Usage(reports) => self.on_usage(&reports, now),
            Event::Machines { sent, reply } => self.on_machines(sent, reply, now),
            Event::Confirmed(sent) => self.on_renewal_confirmed(sent, now),
            Event::Peers(mut peers) => {
                // This member comes first: its own calls need no hop to another member.
                peers.unshared.sort_by_key(|p| *p != self.setup.member);
                self.lanes.set_members(&peers);
            }
            Event::Closing(closing) => self.set_closing(&closing),
            Event::Tick => self.tick(now),
        }
    }

    /// Runs one scheduling round and returns all pending orders.
    ///
    /// A round examines each waiting step and each worker. With one round per event, an owner that
    /// receives hundreds of answers a second would fall behind as soon as much work waits. So all
    /// events that have arrived since the last round share one round.
    pub fn run_round(&mut self, now: Time) -> Vec<Order> {
        if self.deposed {
            return mem::take(&mut self.orders);
        }
        self.rerank_crossed(now);
        self.dispatch(now);
        self.balance_caps(now);
        self.flush(now);
        self.send_holds(now);
        mem::take(&mut self.orders)
    }

    fn tick(&mut self, now: Time) {
        if self.next_check <= now {
            self.next_check = now + PERIODIC_CHECK_INTERVAL;
            for no in self.scheduled_jobs.clone() {
                self.create_due_steps(no, now);
            }
            self.expire_leases(now);
            self.repeat_stops(now);
            self.vacate_leaving(now);
            self.stop_on_closing_workers(now);
            self.settle(now);
            self.query_machines(now);
            self.prefetch_advice(now);
            self.renew_delayed(now);
            self.check_purge(now);
            self.log_workers(now);
        }
        if self.next_summary <= now {
            self.next_summary = now + SUMMARY_INTERVAL;
            self.log_summary(now);
        }
        if self.next_pause_end <= now {
            self.next_pause_end = Time::NEVER;
            self.round_due = true;
        }
        if self.next_rerank <= now {
            self.next_rerank = now + RERANK_INTERVAL;
            self.update_shares(now);
            self.rerank_ready(now);
            self.start_copies(now);
            self.clean_rack_steps(now);
            self.round_due = true;
        }
        if self.commit.begin_reread(now) {
            self.orders.push(Order::ReadCommit);
        }
    }

    fn after_write(&mut self, after: WriteOutcome, now: Time) {
        match after {
            WriteOutcome::Nothing => {}
            WriteOutcome::Done => self.on_stored(now),
            WriteOutcome::Retry => {
                log::info!(target: "shard", shard:% = self.setup.shard; "Write was not done; it is made again.");
                self.on_write_failed();
            }
            WriteOutcome::Reread => {
                log::info!(target: "shard", shard:% = self.setup.shard; "Write has an unclear outcome; the commit row is read.");
                self.orders.push(Order::ReadCommit);
            }
            WriteOutcome::Deposed => self.depose(),
        }
    }

    /// Returns the number of jobs of a queue that have not started.
    pub fn queued_jobs(&self, queue: &str) -> u64 {
        let begun = |j: &&ActiveJob| {
            *j.queue == *queue && j.state == JobState::Queued && j.job.times.is_none()
        };
        self.jobs.values().filter(begun).count() as u64
    }

    /// Returns whether every change is stored.
    pub fn is_flushed(&self) -> bool {
        self.deposed || (self.unwritten.is_empty() && !self.commit.is_busy())
    }

    /// Returns the number of jobs whose current state may not be stored yet.
    pub fn unwritten_jobs(&self) -> usize {
        self.unwritten.len() + self.in_flight.jobs.len()
    }

    /// Writes the remaining changes without making scheduling decisions, because the shard is about
    /// to be released.
    ///
    /// The release must call this repeatedly: writes are spaced by a minimum interval, and an
    /// answer that arrives within that interval does not begin the next write.
    pub fn flush_rest(&mut self, now: Time) -> Vec<Order> {
        if self.deposed {
            return vec![];
        }
        if self.commit.begin_reread(now) {
            self.orders.push(Order::ReadCommit);
        }
        self.begin_write(true, now);
        mem::take(&mut self.orders)
    }

    /// Returns the state of a step in one occurrence, once that occurrence is due.
    pub(super) fn step_state(&self, key: &StepKey) -> Option<&StepState> {
        self.jobs.get(&key.job)?.step_states.get(&(key.time, key.step))
    }

    /// Converts a time to Unix milliseconds.
    pub(super) fn unix_ms(&self, now: Time) -> u64 {
        self.setup.unix_ms + millis(now - Time::ZERO)
    }

    pub(super) fn retention_ms(&self) -> u64 {
        millis(self.setup.bounds.state_retention) + EXTRA_RETENTION_MS
    }

    /// Ends this ownership permanently, because another owner has a higher token.
    pub(super) fn depose(&mut self) {
        log::warn!(target: "shard", did = "deposed", shard:% = self.setup.shard, token = self.setup.token; "Shard has another owner.");
        self.deposed = true;
        self.orders.clear();
        self.orders.push(Order::Deposed);
    }

    /// Marks a job as changed so that it is stored; returns the sequence number of the change.
    pub(super) fn mark_changed(&mut self, no: JobNo) -> u64 {
        self.last_change += 1;
        if let Some(job) = self.jobs.get_mut(&no) {
            if !job.is_unwritten() {
                self.unwritten.push(no, job.state.is_final());
            }
            job.changed_seq = self.last_change;
        }
        self.last_change
    }

    /// Returns whether the numbered run is a current run of the task on this worker.
    pub(super) fn has_run(&mut self, task: &crate::work::TaskKey, no: WorkerNo, run: u32) -> bool {
        let Some(job) = self.jobs.get_mut(&task.step.job) else { return false };
        job.task(task).is_some_and(|t| t.has_run(no, run))
    }
}
