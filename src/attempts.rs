//! Attempts of the tasks of one bucket, as the bucket's owner records them.
//!
//! Uses [`commit`](crate::commit) and returns the resulting calls as [`Order`]s; called by
//! [`bucket`](crate::bucket).
//!
//! The intent to start an attempt is committed before the start is sent, so that the bucket's next
//! owner knows that the attempt may be running. Otherwise, if an owner died between sending a start
//! and recording it, its successor would start the task again elsewhere and the task would run in
//! two places.
//!
//! No attempt number of a task is given twice, whoever owns the bucket and whether or not the attempt
//! was committed: others know an attempt by its task and number alone, and what they still hold or
//! report of an earlier attempt must not count for a later one. The numbers of an owner begin above
//! those of all former owners, and above those of the jobs that it has removed.
//!
//! The next attempt of a task waits until the previous one has ended, was stopped with
//! confirmation, was shown by a report not to run, or its lease has expired. A report that omits an
//! attempt proves nothing about a start that may still have been in transit when the report was
//! taken; see [`MAX_TRANSIT`].

use {
    crate::{
        Time,
        commit::{Commit, Ticket},
        effect::Order,
        ids::{Attempt, Epoch, RackId, TaskId, WorkerId},
        messages::{ProbeItem, TaskReport, TaskRow, TaskState},
        units::Size,
    },
    std::{
        collections::{BTreeMap, VecDeque},
        time::Duration,
    },
};

/// The longest transit time of a start from this owner to the worker by way of the rack's owner.
/// The start carries its latest valid time; whoever receives it later drops it.
pub const MAX_TRANSIT: Duration = Duration::from_secs(1);

/// How long a worker runs a task without a renewal of its lease.
pub const LEASE: Duration = Duration::from_secs(20);

/// Allowance for the drift between two clocks during a lease: about 1 % of the lease, ten times the drift
/// of a bad clock (0.1 %).
pub const CLOCK_DRIFT: Duration = Duration::from_millis(250);

/// By how many bits an owner's epoch is shifted to give the number below its first attempts.
///
/// 65,535 attempts of a task fit below the numbers of the next owner; epochs repeat after as many.
const EPOCH_SHIFT: u32 = 16;

/// How long an intent waits for its commit. Equals the lifetime of a reservation at the rack's
/// owner.
pub const COMMIT_TIMEOUT: Duration = Duration::from_secs(5);

/// Space for all tasks in the record, in bytes. Claims have the other half.
pub const MAX_TASK_BYTES: usize = 400_000;

/// By how much a row can grow when its state changes, in bytes.
const ROW_GROWTH_BYTES: usize = 96;

/// The longest reason that is stored, in bytes.
const REASON_MAX_BYTES: usize = 64;

/// The latest attempt of each task of one bucket.
pub struct Attempts {
    /// The number below those of tasks without a row.
    floor: Attempt,
    /// The highest number of a row that was removed.
    removed: Attempt,
    rows: BTreeMap<TaskId, Entry>,
    pending: VecDeque<(Time, TaskId, Attempt)>,
    bytes: usize,
}

struct Entry {
    row: TaskRow,
    /// The write that must be committed before the start is sent; `None` once it is committed.
    ticket: Option<Ticket>,
    /// The time after which no start of this attempt can take effect.
    settled_at: Time,
    /// The time at which the attempt's lease has expired, if the rack's owner has stopped renewing
    /// it.
    lapses_at: Option<Time>,
}

/// Where an attempt is to run, and on which reservation.
#[derive(Clone, Debug, PartialEq)]
pub struct Place {
    /// The task.
    pub task: TaskId,
    /// The worker on which room is reserved.
    pub worker: WorkerId,
    /// The rack of that worker.
    pub rack: RackId,
    /// The epoch in which the rack's owner made the reservation.
    pub epoch: Epoch,
    /// The reserved resources.
    pub size: Size,
}

/// Why an attempt can't be created now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, displaydoc::Display)]
pub enum Refused {
    /// this member doesn't own the bucket, or has not yet read its record
    Unowned,
    /// an attempt of the task may be running
    Live,
    /// the bucket's record is full
    Full,
}

impl std::error::Error for Refused {}

impl Attempts {
    /// Creates the attempts of a bucket at an owner with this epoch.
    pub fn new(epoch: Epoch) -> Self {
        Attempts {
            floor: Attempt((epoch.0 as u32) << EPOCH_SHIFT),
            removed: Attempt::default(),
            rows: BTreeMap::new(),
            pending: VecDeque::new(),
            bytes: 0,
        }
    }

    /// The number of the next attempt of a task.
    pub fn next_number(&self, task: &TaskId) -> Attempt {
        let last = self.get(task).map_or(self.floor, |row| row.attempt.max(self.floor));
        Attempt(last.0 + 1)
    }

    /// The rows to be written to the record.
    pub fn rows(&self) -> impl Iterator<Item = &TaskRow> {
        self.rows.values().map(|e| &e.row)
    }

    /// The latest attempt of a task.
    pub fn get(&self, task: &TaskId) -> Option<&TaskRow> {
        self.rows.get(task).map(|e| &e.row)
    }

    /// Creates the next attempt of a task. The start is sent once the intent is committed.
    ///
    /// Errs if an attempt of the task may be running, if the record is full, or if this member does
    /// not own the bucket.
    pub fn place(
        &mut self,
        place: Place,
        now: Time,
        commit: &mut Commit,
    ) -> Result<Attempt, Refused> {
        if commit.lost() || !commit.ready() {
            return Err(Refused::Unowned);
        }
        let last = self.rows.get(&place.task);
        if last.is_some_and(|e| may_run(e.row.state)) {
            return Err(Refused::Live);
        }
        let attempt = self.next_number(&place.task);
        let row = TaskRow {
            attempt,
            epoch: Some(place.epoch),
            rack: Some(place.rack),
            reason: None,
            size: place.size,
            state: TaskState::Intent,
            tries: last.and_then(|e| e.row.tries),
            task: place.task,
            worker: Some(place.worker),
        };
        if self.bytes - last.map_or(0, |e| row_bytes(&e.row)) + row_bytes(&row) > MAX_TASK_BYTES {
            return Err(Refused::Full);
        }
        self.pending.push_back((now + COMMIT_TIMEOUT, row.task.clone(), attempt));
        self.insert(row, Some(commit.touch()), now);
        Ok(attempt)
    }

    /// Sends the starts whose intents are committed. `lease_end` is the end of this owner's lease
    /// on the bucket, computed so that no other owner can have read the record before it.
    pub fn committed(
        &mut self,
        now: Time,
        lease_end: Time,
        commit: &mut Commit,
        out: &mut Vec<Order>,
    ) {
        while let Some((_, task, attempt)) = self.pending.front() {
            let ticket = self.waiting(task, *attempt);
            if ticket.is_some_and(|ticket| ticket > commit.done()) {
                break;
            }
            let Some((_, task, _)) = self.pending.pop_front() else { break };
            let Some(entry) = self.rows.get_mut(&task).filter(|_| ticket.is_some()) else {
                continue;
            };
            // The reply to the write may have been delayed while another owner took over. That
            // owner could read a worker's report that is newer than any start it knows of, and this
            // start would arrive afterwards. A start is therefore sent only if the lease outlasts
            // its transit time.
            if now + MAX_TRANSIT > lease_end {
                self.withdraw(&task, "the owner's lease was ending", commit);
                continue;
            }
            entry.ticket = None;
            entry.settled_at = now + MAX_TRANSIT + CLOCK_DRIFT;
            out.push(Order::Start { row: entry.row.clone(), until: now + MAX_TRANSIT });
        }
    }

    /// Requests that an attempt be stopped; [`Attempts::update`] takes the confirmation.
    pub fn stop(&mut self, task: &TaskId, commit: &mut Commit, out: &mut Vec<Order>) {
        let Some(entry) = self.rows.get_mut(task) else { return };
        if entry.ticket.is_some() {
            return self.withdraw(task, "stopped before it started", commit);
        }
        if matches!(entry.row.state, TaskState::Intent | TaskState::Running) {
            entry.row.state = TaskState::Stopping;
            commit.touch();
            out.push(Order::Stop { row: entry.row.clone() });
        }
    }

    /// Applies a state that the rack's owner reports for an attempt.
    ///
    /// `lost` from the rack's owner means that the attempt does not run and never will.
    pub fn update(
        &mut self,
        task: &TaskId,
        attempt: Attempt,
        state: TaskState,
        commit: &mut Commit,
    ) {
        let Some(entry) = self.rows.get_mut(task) else { return };
        // A delayed message about an earlier attempt says nothing about this one.
        if entry.row.attempt != attempt || !may_run(entry.row.state) {
            return;
        }
        let sent = entry.row.state == TaskState::Intent && entry.ticket.is_none();
        match state {
            TaskState::Running if sent => {
                entry.row.state = state;
                commit.touch_later();
                return;
            }
            TaskState::Running | TaskState::Intent | TaskState::Stopping => return,
            TaskState::Failed => {
                entry.row.tries = Some(entry.row.tries.unwrap_or(0) + 1);
                entry.close(state);
            }
            TaskState::Ended | TaskState::Lost | TaskState::Checkpointed => entry.close(state),
        }
        commit.touch();
    }

    /// Applies what a rack's owner answers to a probe for these attempts on one worker: their states
    /// in the worker's report of the time `taken`, by this member's clock.
    ///
    /// Says nothing of other attempts on the worker. One that was started after the probe was sent is
    /// not in the answer, which may be read much later if this process was paused.
    pub fn report(
        &mut self,
        asked: &[ProbeItem],
        taken: Time,
        tasks: &[TaskReport],
        commit: &mut Commit,
    ) {
        for ProbeItem { task, attempt, .. } in asked {
            let Some(entry) = self.rows.get(task).filter(|e| e.row.attempt == *attempt) else {
                continue;
            };
            let settled = entry.ticket.is_none() && taken > entry.settled_at;
            match tasks.iter().find(|t| t.task == *task && t.attempt == *attempt) {
                Some(found) => self.update(task, *attempt, found.state, commit),
                None if settled => self.update(task, *attempt, TaskState::Lost, commit),
                None => {}
            }
        }
    }

    /// Records that the rack's owner will not renew the attempt's lease beyond `until`.
    pub fn cap_lease(&mut self, task: &TaskId, attempt: Attempt, until: Time) {
        let Some(entry) = self.rows.get_mut(task) else { return };
        if entry.row.attempt == attempt && may_run(entry.row.state) && entry.ticket.is_none() {
            // A start still in transit opens a lease of its own.
            entry.lapses_at =
                Some((until + CLOCK_DRIFT).max(entry.settled_at + LEASE + CLOCK_DRIFT));
        }
    }

    /// Does the work that is due: withdraws intents that waited too long, and ends attempts whose
    /// lease has expired.
    pub fn tick(&mut self, now: Time, commit: &mut Commit) {
        while let Some((_, task, attempt)) = self.pending.pop_front_if(|(until, ..)| now >= *until)
        {
            if self.waiting(&task, attempt).is_some() {
                self.withdraw(&task, "the commit took too long", commit);
            }
        }
        for entry in self.rows.values_mut() {
            if entry.lapses_at.is_some_and(|at| now >= at) {
                entry.close(TaskState::Lost);
                commit.touch();
            }
        }
    }

    /// Replaces all rows by those of the previous owner. Each attempt without a recorded end may be
    /// running.
    pub fn restore(&mut self, rows: Vec<TaskRow>, now: Time) {
        self.rows.clear();
        self.pending.clear();
        self.bytes = 0;
        for row in rows {
            self.insert(row, None, now);
        }
    }

    /// Numbers further attempts above those of all removed tasks. Must be called before a removed task
    /// may be placed again.
    ///
    /// Not done at each removal: the numbers of tasks for which room is being reserved would change.
    pub fn skip_removed(&mut self) {
        self.floor = self.floor.max(self.removed);
    }

    /// Removes a task whose attempt can't be running; errs otherwise.
    pub fn remove(&mut self, task: &TaskId, commit: &mut Commit) -> Result<(), Refused> {
        let Some(entry) = self.rows.get(task) else { return Ok(()) };
        if may_run(entry.row.state) {
            return Err(Refused::Live);
        }
        self.removed = self.removed.max(entry.row.attempt);
        self.bytes -= row_bytes(&entry.row);
        self.rows.remove(task);
        commit.touch();
        Ok(())
    }

    /// Ends an attempt whose start has not been sent. The start will not be sent later.
    fn withdraw(&mut self, task: &TaskId, reason: &str, commit: &mut Commit) {
        let Some(entry) = self.rows.get_mut(task) else { return };
        debug_assert!(entry.ticket.is_some() && reason.len() <= REASON_MAX_BYTES);
        entry.close(TaskState::Lost);
        entry.row.reason = Some(reason.into());
        commit.touch();
    }

    fn waiting(&self, task: &TaskId, attempt: Attempt) -> Option<Ticket> {
        let entry = self.rows.get(task)?;
        if entry.row.attempt == attempt { entry.ticket } else { None }
    }

    fn insert(&mut self, row: TaskRow, ticket: Option<Ticket>, now: Time) {
        self.bytes += row_bytes(&row);
        let entry =
            Entry { ticket, settled_at: now + MAX_TRANSIT + CLOCK_DRIFT, lapses_at: None, row };
        if let Some(old) = self.rows.insert(entry.row.task.clone(), entry) {
            self.bytes -= row_bytes(&old.row);
        }
    }
}

impl Entry {
    fn close(&mut self, state: TaskState) {
        self.row.state = state;
        self.ticket = None;
        self.lapses_at = None;
    }
}

/// Whether an attempt in this state may be running.
fn may_run(state: TaskState) -> bool {
    matches!(state, TaskState::Intent | TaskState::Running | TaskState::Stopping)
}

/// Upper bound of the bytes that a row takes in the record, in any state.
fn row_bytes(row: &TaskRow) -> usize {
    let fixed = TaskRow { reason: None, state: TaskState::Intent, tries: None, ..row.clone() };
    serde_json::to_string(&fixed).map_or(MAX_TASK_BYTES, |text| text.len())
        + ROW_GROWTH_BYTES
        + REASON_MAX_BYTES
}
