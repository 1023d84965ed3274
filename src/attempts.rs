//! The attempts of tasks, as the owner of one bucket keeps them.
//!
//! Calls [`commit`](crate::commit) and leaves what follows as an [`Order`]; [`bucket`](crate::bucket)
//! calls it.
//!
//! An attempt's intent is committed before its start goes out, so that whoever owns the bucket next
//! knows that it may run. Without it, an owner that dies between a start and its record would be
//! followed by one that starts the task again elsewhere, and the task would run in two places.
//!
//! A task's next attempt waits until the one before has ended, was stopped with confirmation, was
//! shown by a report not to run, or its lease has lapsed. Absence from a report proves nothing about
//! starts that may yet be on their way when the report was taken; see [`FLIGHT`].

use {
    crate::{
        Time,
        commit::{Commit, Ticket},
        effect::Order,
        ids::{Attempt, Epoch, RackId, TaskId, WorkerId},
        messages::{TaskReport, TaskRow, TaskState},
        units::Size,
    },
    std::{
        collections::{BTreeMap, VecDeque},
        time::Duration,
    },
};

/// The longest flight of a start, from this owner to the worker by way of the rack's owner. It goes
/// along as the start's not-after time; whoever gets it later drops it.
pub const FLIGHT: Duration = Duration::from_secs(1);

/// How long a worker runs a task without a renewal.
pub const LEASE: Duration = Duration::from_secs(20);

/// What two clocks may drift apart while a lease runs: a hundredth, where a bad clock has a
/// thousandth.
pub const DRIFT: Duration = Duration::from_millis(250);

/// How long an intent waits for its commit: as long as a reservation lasts at the rack's owner.
pub const COMMIT_WAIT: Duration = Duration::from_secs(5);

/// The room of all tasks in the record, in bytes; the claims have the other half.
pub const ROOM: usize = 400_000;

/// What a row may grow by when its state changes, in bytes.
const GROWTH: usize = 96;

/// The longest reason that is kept, in bytes.
const REASON_MAX: usize = 64;

/// The attempts of one bucket, the latest of each task.
#[derive(Default)]
pub struct Attempts {
    rows: BTreeMap<TaskId, Entry>,
    waits: VecDeque<(Time, TaskId, Attempt)>,
    bytes: usize,
}

struct Entry {
    row: TaskRow,
    /// The write that has to be done before the start goes out; none once it has.
    ticket: Option<Ticket>,
    /// From when on no start of this attempt can take effect.
    settled: Time,
    /// From when on the attempt's lease has lapsed, where the rack's owner has stopped renewing.
    lapse: Option<Time>,
}

/// Where an attempt is to run.
#[derive(Clone, Debug, PartialEq)]
pub struct Place {
    /// The task.
    pub task: TaskId,
    /// The worker that has the room reserved.
    pub worker: WorkerId,
    /// The rack of that worker.
    pub rack: RackId,
    /// The epoch of the rack's owner that reserved.
    pub epoch: Epoch,
    /// What is reserved.
    pub size: Size,
}

/// Why an attempt can't be made now.
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
    /// The rows, for the record.
    pub fn rows(&self) -> impl Iterator<Item = &TaskRow> {
        self.rows.values().map(|e| &e.row)
    }

    /// The latest attempt of a task.
    pub fn get(&self, task: &TaskId) -> Option<&TaskRow> {
        self.rows.get(task).map(|e| &e.row)
    }

    /// Makes the next attempt of a task; its start follows the commit.
    ///
    /// Errs where an attempt may be running, where the record is full, and where it isn't ours.
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
        if last.is_some_and(|e| live(e.row.state)) {
            return Err(Refused::Live);
        }
        let attempt = Attempt(last.map_or(0, |e| e.row.attempt.0) + 1);
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
        if self.bytes - last.map_or(0, |e| cost(&e.row)) + cost(&row) > ROOM {
            return Err(Refused::Full);
        }
        self.waits.push_back((now + COMMIT_WAIT, row.task.clone(), attempt));
        self.insert(row, Some(commit.touch()), now);
        Ok(attempt)
    }

    /// Sends the starts whose intents are committed; `sure` is the end of this owner's lease on the
    /// bucket, counted so that no other owner can have read the record before.
    pub fn committed(&mut self, now: Time, sure: Time, commit: &mut Commit, out: &mut Vec<Order>) {
        while let Some((_, task, attempt)) = self.waits.front() {
            let ticket = self.waiting(task, *attempt);
            if ticket.is_some_and(|ticket| ticket > commit.done()) {
                break;
            }
            let Some((_, task, _)) = self.waits.pop_front() else { break };
            let Some(entry) = self.rows.get_mut(&task).filter(|_| ticket.is_some()) else {
                continue;
            };
            // The answer to the write may have been held back while another owner took over. It
            // would read a worker's report that is younger than any start it knows of, and then
            // this start would come. So a start goes out only while the lease outlasts its flight.
            if now + FLIGHT > sure {
                self.withdraw(&task, "the owner's lease was ending", commit);
                continue;
            }
            entry.ticket = None;
            entry.settled = now + FLIGHT + DRIFT;
            out.push(Order::Start { row: entry.row.clone(), until: now + FLIGHT });
        }
    }

    /// Asks for an attempt to be stopped; the confirmation comes by [`Attempts::heard`].
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

    /// Takes word from the rack's owner of an attempt that runs or has ended.
    ///
    /// `lost` from the rack's owner means that it certainly doesn't run and never will.
    pub fn heard(
        &mut self,
        task: &TaskId,
        attempt: Attempt,
        state: TaskState,
        commit: &mut Commit,
    ) {
        let Some(entry) = self.rows.get_mut(task) else { return };
        // Word of an earlier attempt was delayed, and says nothing about this one.
        if entry.row.attempt != attempt || !live(entry.row.state) {
            return;
        }
        let begun = entry.row.state == TaskState::Intent && entry.ticket.is_none();
        match state {
            TaskState::Running if begun => {
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

    /// Takes a worker's report that was true at `taken`, by this member's clock and at the earliest.
    pub fn report(
        &mut self,
        worker: &WorkerId,
        taken: Time,
        tasks: &[TaskReport],
        commit: &mut Commit,
    ) {
        let here: Vec<_> = self
            .rows
            .values()
            .filter(|e| live(e.row.state) && e.row.worker.as_ref() == Some(worker))
            .map(|e| (e.row.task.clone(), e.row.attempt, e.ticket.is_none() && taken > e.settled))
            .collect();
        for (task, attempt, settled) in here {
            match tasks.iter().find(|t| t.task == task && t.attempt == attempt) {
                Some(found) => self.heard(&task, attempt, found.state, commit),
                None if settled => self.heard(&task, attempt, TaskState::Lost, commit),
                None => {}
            }
        }
    }

    /// Takes the promise of the rack's owner that no renewal lets the attempt run after `until`.
    pub fn cut(&mut self, task: &TaskId, attempt: Attempt, until: Time) {
        let Some(entry) = self.rows.get_mut(task) else { return };
        if entry.row.attempt == attempt && live(entry.row.state) && entry.ticket.is_none() {
            // A start on its way opens a lease of its own.
            entry.lapse = Some((until + DRIFT).max(entry.settled + LEASE + DRIFT));
        }
    }

    /// Does what is due: withdraws intents that waited too long, and ends lapsed attempts.
    pub fn tick(&mut self, now: Time, commit: &mut Commit) {
        while let Some((_, task, attempt)) = self.waits.pop_front_if(|(until, ..)| now >= *until) {
            if self.waiting(&task, attempt).is_some() {
                self.withdraw(&task, "the commit took too long", commit);
            }
        }
        for entry in self.rows.values_mut() {
            if entry.lapse.is_some_and(|lapse| now >= lapse) {
                entry.close(TaskState::Lost);
                commit.touch();
            }
        }
    }

    /// Replaces all by what the owner before left: each attempt without an end may be running.
    pub fn adopt(&mut self, rows: Vec<TaskRow>, now: Time) {
        *self = Attempts::default();
        for row in rows {
            self.insert(row, None, now);
        }
    }

    /// Drops a task whose attempt can't be running; errs otherwise.
    pub fn forget(&mut self, task: &TaskId, commit: &mut Commit) -> Result<(), Refused> {
        let Some(entry) = self.rows.get(task) else { return Ok(()) };
        if live(entry.row.state) {
            return Err(Refused::Live);
        }
        self.bytes -= cost(&entry.row);
        self.rows.remove(task);
        commit.touch();
        Ok(())
    }

    /// Ends an attempt whose start has not gone out, and now never will.
    fn withdraw(&mut self, task: &TaskId, reason: &str, commit: &mut Commit) {
        let Some(entry) = self.rows.get_mut(task) else { return };
        debug_assert!(entry.ticket.is_some() && reason.len() <= REASON_MAX);
        entry.close(TaskState::Lost);
        entry.row.reason = Some(reason.into());
        commit.touch();
    }

    fn waiting(&self, task: &TaskId, attempt: Attempt) -> Option<Ticket> {
        let entry = self.rows.get(task)?;
        if entry.row.attempt == attempt { entry.ticket } else { None }
    }

    fn insert(&mut self, row: TaskRow, ticket: Option<Ticket>, now: Time) {
        self.bytes += cost(&row);
        let entry = Entry { ticket, settled: now + FLIGHT + DRIFT, lapse: None, row };
        if let Some(old) = self.rows.insert(entry.row.task.clone(), entry) {
            self.bytes -= cost(&old.row);
        }
    }
}

impl Entry {
    fn close(&mut self, state: TaskState) {
        self.row.state = state;
        self.ticket = None;
        self.lapse = None;
    }
}

/// Whether an attempt in this state may be running.
fn live(state: TaskState) -> bool {
    matches!(state, TaskState::Intent | TaskState::Running | TaskState::Stopping)
}

/// The bytes that a row takes in the record, at most, whatever it becomes.
fn cost(row: &TaskRow) -> usize {
    let fixed = TaskRow { reason: None, state: TaskState::Intent, tries: None, ..row.clone() };
    serde_json::to_string(&fixed).map_or(ROOM, |text| text.len()) + GROWTH + REASON_MAX
}
