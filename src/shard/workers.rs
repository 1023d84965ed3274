//! The workers of a shard: their runs, their free resources, their health and their leases.

use {
    crate::{
        decide::{crash::SETTLE_TIME, health::WorkerHealth, pace::Pace},
        ids::{PoolId, WorkerId},
        ports::{Bounds, Row},
        shard::record::UpkeepTurn,
        time::Time,
        units::Size,
        work::{JobNo, ListedWorker, TaskKey},
    },
    rustc_hash::FxHashMap,
    std::{collections::VecDeque, net::SocketAddr, time::Duration},
};

/// The lowest rate at which a worker's clock may run, relative to the owner's.
pub const MIN_CLOCK_RATE: f64 = 0.98;
/// Added to a bound on another machine's clock, for network delay and rounding.
pub const CLOCK_MARGIN: Duration = Duration::from_millis(250);
/// From this percentage of its work on, a long-running task counts as running.
pub const AT_WORK_PERCENT: u8 = 100;
/// The pace at which a run begins, in percent.
pub const FULL_PACE_PERCENT: u8 = 100;
/// Leases are requested shorter than the bound by this much, so that a worker never truncates them.
const LEASE_MARGIN: Duration = Duration::from_millis(200);
/// The longest lease that is requested: the time for which a long-running task may be away. If
/// nothing shows that a lost worker has ended, its tasks have to wait for the end of its lease.
const MAX_LEASE: Duration = Duration::from_secs(6);

/// The index of one incarnation of a worker in `Shard::workers`; an owner never reuses one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, derive_more::Display)]
pub struct WorkerNo(pub usize);

/// What is known of a run at a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The start has been sent.
    Starting,
    /// The start had no answer: the run may be there, or begin later.
    Unsure,
    /// The run is there.
    Running,
    /// The run has to end; its resources count as used until it has.
    Stopping,
}

/// A run at a worker.
#[derive(Clone, Debug)]
pub struct Run {
    /// The run's number.
    pub run: u32,
    /// The resources that it uses.
    pub size: Size,
    /// Whether the resources that it uses are unknown.
    pub size_unknown: bool,
    /// What is known of it.
    pub phase: Phase,
    /// When the last order for this run was sent.
    pub sent_at: Time,
    /// From this time on, an answer that does not list the run shows that it is gone.
    pub listed_from: Option<Time>,
    /// Whether the worker has reported it as running.
    pub was_seen: bool,
    /// Whether the worker has reported it so long after its start that the start cannot have
    /// crashed the worker.
    pub settled: bool,
    /// Whether another worker has crashed while it ran this task.
    pub crash_suspect: bool,
    /// When the run was started.
    pub started_at: Time,
    /// How often its start was sent.
    pub start_count: u32,
    /// Its progress at the start and at the last report, in percent.
    pub percent: (u8, u8),
    /// When the worker last reported it.
    pub reported_at: Time,
    /// Its last checkpoint.
    pub checkpoint: Box<str>,
    /// The tail latency of a serving task, in milliseconds.
    pub tail_ms: u64,
    /// Its pace in percent, if known.
    pub pace: Option<u8>,
    /// The latency target of a serving task, in milliseconds; 0 if it has none.
    pub target_ms: u64,
    /// Whether it is a filler: it uses only what other tasks leave free.
    pub fills: bool,
    /// The priority of its queue, if it may be preempted by work of a lower number because it loses
    /// little.
    pub preempt_priority: Option<u8>,
    /// The expected duration of its work.
    pub estimate: Duration,
    /// An earlier report, some seconds old: its time, and the progress in percent.
    pub earlier_report: (Time, u8),
}

/// One incarnation of a worker.
#[derive(Clone, Debug)]
pub struct Worker {
    /// The worker's id.
    pub id: WorkerId,
    /// The address that takes its orders.
    pub addr: SocketAddr,
    /// Its entry in the worker list; `None` once it has left the list.
    pub listed: Option<ListedWorker>,
    /// Whether it has answered to this owner's token.
    pub fenced: bool,
    /// Whether the stored roster includes it, so that it may receive starts.
    pub rostered: bool,
    /// Whether nothing can run there any more.
    pub gone: bool,
    /// When this owner first learnt of it.
    pub first_seen: Time,
    /// When it shuts down, if it is leaving.
    pub leaves_at: Option<Time>,
    /// Its turn in a wave of upkeep.
    pub turn: UpkeepTurn,
    /// The runs that are there, or may be.
    pub runs: FxHashMap<TaskKey, Run>,
    /// The sum of the resources of its runs.
    pub used: Size,
    /// The number of its runs that are fillers.
    pub fillers: u32,
    /// The number of its runs that serve requests under a latency target.
    pub serving: u32,
    /// The number of its runs whose resources are unknown.
    pub unsized_runs: usize,
    /// The number of the last end of a run that was received.
    pub last_end: u64,
    /// The number of the last end of a run that is stored.
    pub stored_end: u64,
    /// Ends that were received and are not stored yet: number, job and sequence number of the
    /// change.
    pub unstored_ends: VecDeque<(u64, JobNo, u64)>,
    /// When the hold without an answer so far was sent.
    pub hold_sent: Option<Time>,
    /// When the next hold is due, if there is no unanswered one.
    pub next_hold: Time,
    /// When the worker gave its last answer.
    pub last_answer: Option<Time>,
    /// The number of unanswered calls since that answer.
    pub unanswered_calls: u32,
    /// The number of unanswered orders since the last answered call.
    pub unanswered_orders: u32,
    /// The worker's clock in milliseconds, and the latest time at which it can have been read.
    clock: Option<(u64, Time)>,
    /// The worker's clock at its last answer, and when that answer was given.
    last_clock: Option<(u64, Time)>,
    /// The end of the longest lease that was requested, on the worker's clock.
    lease_until: u64,
    /// When the platform's VM list was requested that first lacked this worker.
    pub missing_since: Option<Time>,
    /// No starts before this time.
    pub paused_until: Time,
    /// No starts before this time, because a task has just begun there under which another worker
    /// has crashed.
    pub isolated_until: Time,
    /// Its health, judged by failures and speed.
    pub health: WorkerHealth,
    /// The pace for fillers on this worker.
    pub pace: Pace,
    /// What was last logged about it.
    pub reported: Reported,
}

/// What was last logged about a worker, so that each change is logged once.
#[derive(Clone, Copy, Debug, Default)]
pub struct Reported {
    /// Whether it is in quarantine.
    pub quarantined: bool,
    /// Whether it is silent.
    pub silent: bool,
}

impl Worker {
    /// A worker of which only the id and the address are known.
    pub fn new(id: WorkerId, addr: SocketAddr, now: Time) -> Self {
        Worker {
            id,
            addr,
            listed: None,
            fenced: false,
            rostered: false,
            gone: false,
            first_seen: now,
            leaves_at: None,
            turn: UpkeepTurn::Open,
            runs: FxHashMap::default(),
            used: Size::default(),
            fillers: 0,
            serving: 0,
            unsized_runs: 0,
            last_end: 0,
            stored_end: 0,
            unstored_ends: VecDeque::new(),
            hold_sent: None,
            next_hold: now,
            last_answer: None,
            unanswered_calls: 0,
            unanswered_orders: 0,
            clock: None,
            last_clock: None,
            lease_until: 0,
            missing_since: None,
            paused_until: Time::ZERO,
            isolated_until: Time::ZERO,
            health: WorkerHealth::new(),
            pace: Pace::new(),
            reported: Reported::default(),
        }
    }

    /// Whether it may receive starts.
    ///
    /// A worker with runs of unknown size may not. A new owner finds runs of jobs that are over,
    /// which go on until they are stopped and use an unknown amount of resources; a start could
    /// exceed the worker's capacity.
    pub fn usable(&self, now: Time) -> bool {
        self.can_start(now) && !self.is_draining()
    }

    /// Whether a task without a place elsewhere may start there while the worker is being drained.
    ///
    /// Only if something runs there: a worker without runs may already have been reported empty,
    /// and its VM may go down at any moment. A worker with runs has never been reported empty.
    pub fn usable_draining(&self, now: Time) -> bool {
        self.can_start(now) && self.turn == UpkeepTurn::Closing && !self.runs.is_empty()
    }

    fn can_start(&self, now: Time) -> bool {
        self.fenced
            && self.rostered
            && !self.gone
            && self.leaves_at.is_none()
            && self.listed.is_some()
            && self.unanswered_calls == 0
            && self.unsized_runs == 0
            && self.paused_until <= now
    }

    /// Whether its turn in a wave of upkeep is still to come.
    pub fn upkeep_due(&self) -> bool {
        self.turn == UpkeepTurn::Due
    }

    /// Whether it is being drained.
    pub fn is_draining(&self) -> bool {
        matches!(self.turn, UpkeepTurn::Closing | UpkeepTurn::Forced)
    }

    /// Whether the stored roster has to include it, because something may run there.
    pub fn needs_roster(&self) -> bool {
        let live = self.listed.is_some() && self.leaves_at.is_none() && self.unanswered_calls < 3;
        !self.gone && (live || !self.runs.is_empty() || !self.fenced)
    }

    /// The pool of the worker, if it is listed.
    pub fn pool(&self) -> Option<&PoolId> {
        self.listed.as_ref().map(|l| &l.pool)
    }

    /// Its free resources.
    pub fn free(&self) -> Size {
        self.listed.as_ref().map_or(Size::default(), |l| l.capacity.saturating_sub(&self.used))
    }

    /// Records an answer to a call, given the sending time of the call and the worker's clock in the
    /// answer, which is 0 if the answer has none.
    ///
    /// An owner that was suspended must not take old answers for fresh ones: it would act as if
    /// most of its workers still obeyed it, beside its successor. The worker's clock shows how old
    /// an answer is, and no call is answered before it is sent.
    pub fn record_answer(&mut self, clock: u64, sent: Time, now: Time) {
        self.unanswered_orders = 0;
        let answered_at = match self.last_clock {
            Some((before, at)) if clock > 0 => {
                let elapsed = Duration::from_millis(clock.saturating_sub(before) + 1);
                (at + elapsed.div_f64(MIN_CLOCK_RATE)).max(sent).min(now)
            }
            _ => sent,
        };
        self.last_answer = self.last_answer.max(Some(answered_at));
        if clock > 0 {
            self.last_clock = Some((clock, answered_at));
        }
        if clock > 0 && self.clock.is_none_or(|(c, _)| clock >= c) {
            self.clock = Some((clock, now));
        }
    }

    /// Extends the lease so that it counts from `from`; returns its end on the worker's clock, or
    /// `None` before that clock is known.
    pub fn extend_lease(&mut self, bounds: &Bounds, from: Time, now: Time) -> Option<u64> {
        let (clock, at) = self.clock?;
        let length =
            bounds.max_lease.saturating_sub(LEASE_MARGIN).min(MAX_LEASE).saturating_sub(now - from);
        let until = clock + millis(now - at) + millis(length);
        self.lease_until = self.lease_until.max(until);
        Some(self.lease_until)
    }

    /// Records the lease that a former owner may have given while the worker's clock showed
    /// `clock`.
    ///
    /// A new owner that is suspended before it renews the lease would otherwise know of no lease,
    /// take the worker's runs for lapsed and start them a second time. From then on no order of a
    /// former owner counts, since the worker has seen the new token.
    pub fn inherit_lease(&mut self, clock: u64, bounds: &Bounds) {
        self.lease_until = self.lease_until.max(clock + millis(bounds.max_lease));
    }

    /// When the lease of all runs there has certainly ended.
    ///
    /// A run on a worker that is cut off may go on until then and must not start elsewhere before.
    /// Leases are times on the worker's own clock, which may be slow. So the bound counts from the
    /// last reading of that clock, and it holds whenever unanswered renewals arrive.
    pub fn lease_end(&self, bounds: &Bounds) -> Time {
        let Some((clock, at)) = self.clock else {
            return self.first_seen + bounds.max_lease.div_f64(MIN_CLOCK_RATE) + CLOCK_MARGIN;
        };
        let left = Duration::from_millis(self.lease_until.saturating_sub(clock));
        at + left.div_f64(MIN_CLOCK_RATE) + CLOCK_MARGIN
    }

    /// Adds a run and its resources.
    pub fn add_run(&mut self, task: TaskKey, run: Run) {
        self.used += run.size;
        self.unsized_runs += usize::from(run.size_unknown);
        self.fillers += u32::from(run.fills);
        self.serving += u32::from(run.target_ms > 0);
        if let Some(old) = self.runs.insert(task, run) {
            self.uncount(&old);
        }
    }

    /// Removes a run and returns it, if it has this number.
    pub fn remove_run(&mut self, task: &TaskKey, run: u32) -> Option<Run> {
        if self.runs.get(task)?.run != run {
            return None;
        }
        let old = self.runs.remove(task)?;
        self.uncount(&old);
        Some(old)
    }

    fn uncount(&mut self, run: &Run) {
        self.used = self.used.saturating_sub(&run.size);
        self.unsized_runs -= usize::from(run.size_unknown);
        self.fillers -= u32::from(run.fills);
        self.serving -= u32::from(run.target_ms > 0);
    }

    /// Whether a serving task runs there.
    pub fn serves(&self) -> bool {
        self.serving > 0
    }

    /// Updates a run from the worker's report.
    pub fn update_run(run: &mut Run, row: &Row, now: Time) {
        if matches!(run.phase, Phase::Starting | Phase::Unsure) {
            run.phase = Phase::Running;
        }
        run.listed_from.get_or_insert(now);
        run.was_seen = true;
        run.settled |= now - run.started_at >= SETTLE_TIME;
        run.percent.1 = row.percent;
        run.reported_at = now;
        run.tail_ms = row.load;
        if !row.saved.is_empty() {
            run.checkpoint = row.saved.clone();
        }
    }
}

/// Whole milliseconds of a duration; `u64::MAX` if they do not fit.
pub fn millis(d: Duration) -> u64 {
    u64::try_from(d.as_millis()).unwrap_or(u64::MAX)
}
