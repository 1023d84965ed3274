//! The workers of a shard: their runs, their free resources, their health and their leases.

use {
    crate::{
        decide::{crash::SETTLE_TIME, health::WorkerHealth, pace::Pace},
        ids::{PoolId, WorkerId},
        ports::{Bounds, MAX_ENDS, PresentRun},
        shard::{customer_cap::CustomerNo, record::UpkeepTurn},
        time::Time,
        units::Size,
        work::{JobNo, ListedWorker, TaskKey},
    },
    rustc_hash::FxHashMap,
    std::{collections::VecDeque, mem, net::SocketAddr, time::Duration},
};

/// The lowest rate at which a worker's clock may run, relative to the owner's.
pub const MIN_CLOCK_RATE: f64 = 0.98;
/// Margin for network delay and rounding, added to time bounds that are derived from another
/// machine's clock.
pub const CLOCK_MARGIN: Duration = Duration::from_millis(250);
/// Minimum reported progress, as a percentage, at which a long-running task counts as fully
/// running.
pub const FULL_PROGRESS_PERCENT: u8 = 100;
/// The pace at which a run begins, in percent.
pub const FULL_PACE_PERCENT: u8 = 100;
/// Leases are requested this much shorter than the worker's maximum, so that the worker never
/// truncates them.
const LEASE_MARGIN: Duration = Duration::from_millis(200);
/// Minimum number of ends that a call acknowledges to a worker that lists only its first ends.
const MIN_ACKNOWLEDGED_ENDS: u64 = MAX_ENDS as u64 / 2;
/// Maximum length of a lease: the time for which a long-running task may be absent. If nothing
/// shows that a lost worker has ended, its tasks cannot start elsewhere before the end of its
/// lease.
const MAX_LEASE: Duration = Duration::from_secs(6);

/// The index of one incarnation of a worker in `Shard::workers`; an owner never reuses one.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, derive_more::Display)]
pub struct WorkerNo(pub usize);

/// How far a run is known to have come at a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RunPhase {
    /// The start has been sent.
    Starting,
    /// The start was not answered: the worker may have the run, or may begin it later.
    Unsure,
    /// The worker has the run.
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
    /// The customer to whom the run belongs, if any.
    pub customer: Option<CustomerNo>,
    /// What the run counts against the customer's cap.
    pub charge: Size,
    /// Whether a former owner has started the run.
    pub adopted: bool,
    /// What is known of the run.
    pub phase: RunPhase,
    /// When the last order for this run was sent.
    pub sent_at: Time,
    /// If an answer given after this time does not list the run, the run is gone.
    pub absence_from: Option<Time>,
    /// Whether the worker has answered an order to stop the run.
    pub stop_answered: bool,
    /// Whether the worker has reported the run as running.
    pub was_seen: bool,
    /// Whether the worker has reported the run long enough after its start to rule out that the
    /// start crashes the worker.
    pub settled: bool,
    /// Whether another worker has crashed while it ran this task.
    pub crash_suspect: bool,
    /// When the run was started.
    pub started_at: Time,
    /// The number of times that the run's start was sent.
    pub start_count: u32,
    /// The progress of the run at its start and at the last report, as percentages.
    pub progress_percent: (u8, u8),
    /// The time at which the worker last reported the run.
    pub reported_at: Time,
    /// The run's last checkpoint.
    pub checkpoint: Box<str>,
    /// The tail latency of a serving task, in milliseconds.
    pub tail_latency_ms: u64,
    /// The pace of the run in percent, if known.
    pub pace: Option<u8>,
    /// The latency target of a serving task, in milliseconds; 0 if it has none.
    pub latency_target_ms: u64,
    /// Whether the run is a filler, which uses only resources that other tasks leave free.
    pub is_filler: bool,
    /// The priority of the run's queue if the run loses little when preempted; work with a lower
    /// priority number may then preempt it.
    pub preempt_priority: Option<u8>,
    /// The latest end of the run at which its job is still in time, if it may be preempted.
    pub due_at: Time,
    /// The time of the report that first showed the run's last checkpoint; its start if there is
    /// none.
    pub checkpoint_at: Time,
    /// The time by which it had certainly ended, if the worker has not listed its end yet.
    pub ended_by: Option<Time>,
    /// The expected duration of its work.
    pub estimate: Duration,
    /// The time of an earlier report, and the progress in it as a percentage; later reports are
    /// compared with it.
    pub earlier_report: (Time, u8),
}

/// One incarnation of a worker.
#[derive(Clone, Debug)]
pub struct Worker {
    /// The worker's id.
    pub id: WorkerId,
    /// The address that takes its orders.
    pub addr: SocketAddr,
    /// The worker's entry in the worker list; `None` if the list does not contain it.
    pub list_entry: Option<ListedWorker>,
    /// Whether the worker has answered a call with this owner's token, so that it rejects former
    /// owners.
    pub fenced: bool,
    /// Whether the worker has listed all its ends to this owner, so that it has no run and no end
    /// of former owners that this owner doesn't know.
    pub is_known: bool,
    /// Whether the stored roster includes it, so that it may receive starts.
    pub rostered: bool,
    /// Whether the worker has ended, so that nothing can run on it any more.
    pub gone: bool,
    /// When the worker's process started, in milliseconds of the Unix clock, if it reports that.
    pub born_ms: Option<u64>,
    /// The time at which this owner first learnt of the worker.
    pub first_seen: Time,
    /// The time at which the worker's process shuts down, if it is leaving.
    pub leaves_at: Option<Time>,
    /// The worker's turn in a wave of upkeep.
    pub upkeep_turn: UpkeepTurn,
    /// The runs that the worker has or may have.
    pub runs: FxHashMap<TaskKey, Run>,
    /// The runs that have certainly ended and whose ends the worker has not listed yet. They use no
    /// resources.
    pub unlisted_ends: FxHashMap<TaskKey, Run>,
    /// The sum of the resources of its runs.
    pub used: Size,
    /// The number of its runs that are fillers.
    pub fillers: u32,
    /// The number of its runs that serve requests under a latency target.
    pub serving: u32,
    /// The number of its runs whose resources are unknown.
    pub unsized_runs: usize,
    /// The number of the last end of a run that was received.
    pub last_end_number: u64,
    /// The number of the last end of a run that is stored.
    pub stored_end_number: u64,
    /// The number of the last end that the last hold call acknowledged.
    pub acknowledged_end_number: u64,
    /// Whether its last answer listed only the first of its ends.
    pub cut_off: bool,
    /// Ends that were received and are not stored yet: number, job and sequence number of the
    /// change.
    pub unstored_ends: VecDeque<(u64, JobNo, u64)>,
    /// The time at which the unanswered hold was sent; `None` if no hold is unanswered.
    pub hold_sent: Option<Time>,
    /// Whether the last hold got no answer, so that another process may answer the next one.
    pub hold_failed: bool,
    /// The time at which the next hold is due, unless a hold is unanswered.
    pub next_hold: Time,
    /// The time at which the worker gave its last answer.
    pub last_answer: Option<Time>,
    /// The number of unanswered calls since the worker's last answer.
    pub unanswered_calls: u32,
    /// The number of unanswered orders since the last answered call.
    pub unanswered_orders: u32,
    /// The last reading of the worker's clock in milliseconds, and the latest time at which it can
    /// have been taken.
    clock: Option<(u64, Time)>,
    /// The worker's clock at its last answer, and when that answer was given.
    last_clock: Option<(u64, Time)>,
    /// The end of the longest lease that was requested, on the worker's clock.
    lease_until: u64,
    /// The time of the request for the first VM list of the platform that did not contain this
    /// worker.
    pub missing_since: Option<Time>,
    /// The time until which nothing may start on the worker.
    pub paused_until: Time,
    /// The time until which nothing may start on the worker because it has just begun a task that
    /// has crashed another worker.
    pub isolated_until: Time,
    /// The worker's health, judged by failures and speed.
    pub health: WorkerHealth,
    /// The pace for fillers on this worker.
    pub pace: Pace,
    /// The state of the worker that was last logged.
    pub logged: LoggedState,
}

/// What was last logged about a worker, so that each change is logged once.
#[derive(Clone, Copy, Debug, Default)]
pub struct LoggedState {
    /// Whether the worker is in quarantine.
    pub quarantined: bool,
    /// Whether the worker is unresponsive.
    pub silent: bool,
}

impl Worker {
    /// Creates a worker of which only the id and the address are known.
    pub fn new(id: WorkerId, addr: SocketAddr, now: Time) -> Self {
        Worker {
            id,
            addr,
            list_entry: None,
            fenced: false,
            is_known: false,
            rostered: false,
            gone: false,
            born_ms: None,
            first_seen: now,
            leaves_at: None,
            upkeep_turn: UpkeepTurn::Open,
            runs: FxHashMap::default(),
            unlisted_ends: FxHashMap::default(),
            used: Size::default(),
            fillers: 0,
            serving: 0,
            unsized_runs: 0,
            last_end_number: 0,
            stored_end_number: 0,
            acknowledged_end_number: 0,
            cut_off: false,
            unstored_ends: VecDeque::new(),
            hold_sent: None,
            hold_failed: false,
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
            logged: LoggedState::default(),
        }
    }

    /// Resets everything that ends with the worker's process. Its runs are kept, and so is what
    /// belongs to its id: its entry in the list, its place in the roster and its turn of upkeep.
    pub fn restart(&mut self, born_ms: Option<u64>, now: Time) {
        let fresh = Worker::new(self.id.clone(), self.addr, now);
        *self = Worker {
            list_entry: self.list_entry.take(),
            rostered: self.rostered,
            upkeep_turn: self.upkeep_turn,
            runs: mem::take(&mut self.runs),
            unlisted_ends: mem::take(&mut self.unlisted_ends),
            used: self.used,
            fillers: self.fillers,
            serving: self.serving,
            unsized_runs: self.unsized_runs,
            hold_sent: self.hold_sent,
            logged: self.logged,
            born_ms,
            ..fresh
        };
        self.update_leaving(now);
    }

    /// Returns whether the worker may receive starts.
    ///
    /// A worker with runs of unknown size may not. A new owner finds runs of jobs that are over,
    /// which go on until they are stopped and use an unknown amount of resources; a start could
    /// exceed the worker's capacity.
    pub fn is_usable(&self, now: Time) -> bool {
        self.can_start(now) && !self.is_draining()
    }

    /// Returns whether a task that fits on no other worker may start on this one while it is being
    /// drained.
    ///
    /// It may only if the worker has runs: a worker without runs may already have been reported
    /// empty, and its VM may go down at any moment. A worker with runs has never been reported
    /// empty.
    pub fn is_usable_draining(&self, now: Time) -> bool {
        self.can_start(now) && self.upkeep_turn == UpkeepTurn::Closing && !self.runs.is_empty()
    }

    fn can_start(&self, now: Time) -> bool {
        self.fenced
            && self.rostered
            && !self.gone
            && self.leaves_at.is_none()
            && self.is_listed()
            && self.unanswered_calls == 0
            && self.unsized_runs == 0
            && self.paused_until <= now
    }

    /// Returns whether the worker is due for upkeep but is not being drained yet.
    pub fn is_upkeep_due(&self) -> bool {
        self.upkeep_turn == UpkeepTurn::Due
    }

    /// Returns whether the worker is being drained.
    pub fn is_draining(&self) -> bool {
        matches!(self.upkeep_turn, UpkeepTurn::Closing | UpkeepTurn::Forced)
    }

    /// Returns whether the stored roster has to include the worker: something may run on it, or it
    /// has ends that are not stored.
    ///
    /// Guards against a second run of a task that is done: a successor doesn't wait for a worker that
    /// the roster lacks, and would start the tasks of such ends again.
    pub fn needs_roster(&self) -> bool {
        let live =
            self.list_entry.is_some() && self.leaves_at.is_none() && self.unanswered_calls < 3;
        !self.gone && (live || self.has_outstanding_runs())
    }

    /// Returns whether the worker has or may have runs, or runs whose ends it has not listed.
    pub fn has_runs(&self) -> bool {
        !self.runs.is_empty() || !self.unlisted_ends.is_empty()
    }

    /// Returns whether the worker has or may have runs, or ends that this owner doesn't know or has
    /// not stored.
    pub fn has_outstanding_runs(&self) -> bool {
        !self.is_known || self.has_runs() || !self.unstored_ends.is_empty()
    }

    /// Returns the number of the last end that the next hold acknowledges.
    ///
    /// It is 0 after a hold without an answer. The numbers of ends begin anew with each process, and a
    /// new one would forget ends that it has not listed; their tasks would run again.
    pub fn acknowledged_end(&self) -> u64 {
        if self.hold_failed { 0 } else { self.stored_end_number }
    }

    /// Returns whether the next hold call acknowledges enough ends for the worker to list many others.
    ///
    /// Guards against hundreds of calls for a worker with thousands of ends, each of which lists 500
    /// of them again to acknowledge a few.
    pub fn can_list_more(&self) -> bool {
        let acknowledged = self.stored_end_number - self.acknowledged_end_number;
        !self.cut_off || self.unstored_ends.is_empty() || acknowledged >= MIN_ACKNOWLEDGED_ENDS
    }

    /// Returns a run, also if it has ended and the worker has not listed its end.
    pub fn find_run(&self, task: &TaskKey, run: u32) -> Option<&Run> {
        let both = [&self.runs, &self.unlisted_ends];
        both.into_iter().filter_map(|runs| runs.get(task)).find(|r| r.run == run)
    }

    /// Returns the pool of the worker, if it is listed.
    pub fn pool(&self) -> Option<&PoolId> {
        self.list_entry.as_ref().map(|l| &l.pool)
    }

    /// Returns the worker's free resources.
    pub fn free(&self) -> Size {
        self.list_entry.as_ref().map_or(Size::default(), |l| l.capacity.saturating_sub(&self.used))
    }

    /// Records an answer to a call. `clock` is the reading of the worker's clock in the answer, or
    /// 0 if the answer has none; `sent` is the time at which the call was sent.
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
        let until = clock.saturating_add(millis(now - at)).saturating_add(millis(length));
        self.lease_until = self.lease_until.max(until);
        Some(self.lease_until)
    }

    /// Records the lease that a former owner may have given while the worker's clock showed
    /// `clock`.
    ///
    /// A new owner that is suspended before it renews the lease would otherwise know of no lease,
    /// take the leases of the worker's runs for expired and start the runs a second time. Former
    /// owners can give no later lease, since the worker has seen the new token.
    pub fn inherit_lease(&mut self, clock: u64, bounds: &Bounds) {
        self.lease_until = self.lease_until.max(clock.saturating_add(millis(bounds.max_lease)));
    }

    /// Returns the time at which the lease of all runs on the worker has certainly ended.
    ///
    /// A run on a worker that is cut off may go on until then and must not start elsewhere before.
    /// Leases are times on the worker's own clock, which may be slow. The result is therefore
    /// counted from the last reading of that clock; it is valid no matter when unanswered renewals
    /// arrive.
    pub fn lease_end(&self, bounds: &Bounds) -> Time {
        let Some((clock, at)) = self.clock else {
            return self.first_seen + bounds.max_lease.div_f64(MIN_CLOCK_RATE) + CLOCK_MARGIN;
        };
        let left = Duration::from_millis(self.lease_until.saturating_sub(clock));
        at + left.div_f64(MIN_CLOCK_RATE) + CLOCK_MARGIN
    }

    /// Adds a run and its resources; returns the run of the task that it replaces, if any.
    pub fn add_run(&mut self, task: TaskKey, run: Run) -> Option<Run> {
        self.used += run.size;
        self.unsized_runs += usize::from(run.size_unknown);
        self.fillers += u32::from(run.is_filler);
        self.serving += u32::from(run.latency_target_ms > 0);
        let old = self.runs.insert(task, run)?;
        self.deduct_run(&old);
        Some(old)
    }

    /// Removes a run and returns it, if it has this number.
    pub fn remove_run(&mut self, task: &TaskKey, run: u32) -> Option<Run> {
        if self.runs.get(task)?.run != run {
            return None;
        }
        let old = self.runs.remove(task)?;
        self.deduct_run(&old);
        Some(old)
    }

    /// Removes a run whose end the worker had not listed yet and returns it, if it has this number.
    pub fn remove_unlisted_end(&mut self, task: &TaskKey, run: u32) -> Option<Run> {
        self.unlisted_ends.get(task).filter(|r| r.run == run)?;
        self.unlisted_ends.remove(task)
    }

    fn deduct_run(&mut self, run: &Run) {
        self.used = self.used.saturating_sub(&run.size);
        self.unsized_runs -= usize::from(run.size_unknown);
        self.fillers -= u32::from(run.is_filler);
        self.serving -= u32::from(run.latency_target_ms > 0);
    }

    /// Returns whether a serving task runs on the worker.
    pub fn has_serving_tasks(&self) -> bool {
        self.serving > 0
    }

    /// Updates a run from the worker's report.
    pub fn update_run(run: &mut Run, row: &PresentRun, now: Time) {
        if matches!(run.phase, RunPhase::Starting | RunPhase::Unsure) {
            run.phase = RunPhase::Running;
        }
        run.absence_from.get_or_insert(now);
        run.was_seen = true;
        run.settled |= now - run.started_at >= SETTLE_TIME;
        run.progress_percent.1 = row.percent;
        run.reported_at = now;
        run.tail_latency_ms = row.load;
        if !row.checkpoint.is_empty() && run.checkpoint != row.checkpoint {
            run.checkpoint = row.checkpoint.clone();
            run.checkpoint_at = now;
        }
    }
}

/// Whole milliseconds of a duration; `u64::MAX` if they do not fit.
pub fn millis(d: Duration) -> u64 {
    u64::try_from(d.as_millis()).unwrap_or(u64::MAX)
}
