//! Handles workers that crash and start again under the id that they had.

use crate::{
    ports::Held,
    shard::{state_machine::Shard, stats::LossCause, workers::WorkerNo},
    time::Time,
};

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
