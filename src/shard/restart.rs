//! Handles workers that start again under the id that they had: which of their processes the list and
//! the reports are of.

use {
    crate::{
        ports::Held,
        shard::{
            state_machine::Shard,
            stats::LossCause,
            workers::{Worker, WorkerNo, millis},
        },
        time::Time,
        work::ListedWorker,
    },
    std::time::Duration,
};

/// How long a leaving worker is assumed to stay if it does not say when it shuts down.
const DEFAULT_LEAVE: Duration = Duration::from_secs(2);
/// The maximum age of a worker list that is processed.
const MAX_LIST_AGE: Duration = Duration::from_millis(700);

impl Shard {
    /// Processes the start time in a worker's report; returns whether the report was sent before
    /// the worker's last restart and must be ignored.
    ///
    /// Guards against ends that are never seen: the numbers of ends begin anew, and an owner that
    /// acknowledges by the former numbers discards them. The tasks would be taken for lost and run
    /// a second time.
    pub(super) fn observe_restart(&mut self, no: WorkerNo, held: &Held, now: Time) -> bool {
        let worker = &mut self.workers[no.0];
        match (worker.born_ms, held.born_ms) {
            (Some(known), Some(born)) if born < known => return true,
            (Some(known), Some(born)) if born > known => self.restart_worker(no, held, now),
            (None, Some(born)) => {
                worker.born_ms = Some(born);
                worker.update_leaving(now);
            }
            _ => {}
        }
        false
    }

    /// Resets what is known of a worker that has restarted, and records its former runs as lost.
    ///
    /// A run that was never seen is kept: its start may reach the worker after the restart, and the
    /// answer to a stop from before the restart says nothing of the new process.
    fn restart_worker(&mut self, no: WorkerNo, held: &Held, now: Time) {
        let suspects = self.suspect_runs(no);
        let worker = &mut self.workers[no.0];
        log::info!(target: "shard", worker:% = worker.id, runs = worker.runs.len(); "Worker has restarted.");
        let mut lost: Vec<_> = worker.unlisted_ends.iter().map(|(t, r)| (*t, r.run)).collect();
        for (task, run) in &mut worker.runs {
            let present = held.running.iter().any(|r| r.task == *task && r.run == run.run);
            match run.was_seen {
                true if !present => lost.push((*task, run.run)),
                true => {}
                false => (run.absence_from, run.stop_answered) = (None, false),
            }
        }
        worker.restart(held.born_ms, now);
        self.roster_dirty |= worker.rostered != worker.needs_roster();
        for (task, run) in &lost {
            self.on_run_lost(no, task, *run, LossCause::WorkerRestarted, now);
        }
        for (task, run) in suspects.into_iter().filter(|s| lost.contains(s)) {
            self.count_crash(&task, run, now);
        }
        // The worker may be of another kind now.
        for step in self.jobs.values_mut().flat_map(|j| j.step_states.values_mut()) {
            step.tickets.eligible.remove(&no);
            step.tickets.asked_workers.remove(&no);
        }
    }
}

impl Worker {
    /// Takes over the address of the worker's entry in the list; returns whether it is another one.
    ///
    /// A worker that starts again under its id may do so at another address.
    pub fn move_to(&mut self, entry: &ListedWorker, now: Time) -> bool {
        if entry.addr == self.addr || self.is_former(entry) {
            return false;
        }
        log::info!(target: "shard", worker:% = self.id, former:% = self.addr, addr:% = entry.addr; "Worker has another address.");
        (self.addr, self.next_hold) = (entry.addr, now);
        true
    }

    /// Updates whether the worker is leaving by its entry in the list, if there is one.
    ///
    /// Guards against a new process that never gets a task because the former one was leaving, and
    /// against tasks that are blamed for the planned end of their worker's process. The list and the
    /// worker's reports tell of a restart in either order.
    pub fn update_leaving(&mut self, now: Time) {
        let Some(entry) = &self.list_entry else { return };
        let unreported = entry.born_ms.zip(self.born_ms).is_some_and(|(listed, b)| listed > b);
        match () {
            () if self.is_former(entry) => self.leaves_at = None,
            () if entry.draining && self.leaves_at.is_none() => {
                let left = entry.min_stay.unwrap_or(DEFAULT_LEAVE);
                self.leaves_at = Some(now + left.saturating_sub(MAX_LIST_AGE));
                log::info!(target: "shard", worker:% = self.id, left_ms = millis(left), runs = self.runs.len(); "Worker is leaving.");
            }
            // A report has to find that the former process's end was planned.
            () if entry.draining || unreported => {}
            () => self.leaves_at = None,
        }
    }

    /// Returns whether the list has the worker's present process, as far as is known. A former
    /// process may have been of another kind or size.
    pub fn is_listed(&self) -> bool {
        self.list_entry.as_ref().is_some_and(|entry| !self.is_former(entry))
    }

    /// Returns whether an entry is of a process that ended before the present one started.
    fn is_former(&self, entry: &ListedWorker) -> bool {
        entry.born_ms.zip(self.born_ms).is_some_and(|(listed, known)| listed < known)
    }
}
