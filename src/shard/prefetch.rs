//! Requests tickets in advance for workers that are expected to have room soon.

use crate::{
    decide::{
        ahead::{self, Progress},
        fit::Room,
    },
    shard::{
        round::{Round, Turn},
        state_machine::Shard,
        workers::{Run, RunPhase, WorkerNo},
    },
    time::Time,
    units::Size,
    work::{AdviceCost, TaskKey},
};

/// The number of workers that an advice call is assumed to name when its duration is estimated.
const ASSUMED_WORKERS: u32 = 5;

impl Shard {
    /// Returns the workers that will soon have room for a task of this step, or none if no ticket
    /// for them has to be requested yet.
    pub(super) fn freeing_workers(
        &self,
        turn: &Turn,
        good: &[Room],
        cost: AdviceCost,
        round: &mut Round,
        now: Time,
    ) -> Vec<WorkerNo> {
        let size = turn.step.reserved();
        let duration = cost.base + cost.each * ASSUMED_WORKERS;
        let by = ahead::call_ahead_horizon(duration, now);
        let mut freeing = vec![];
        let apart = turn.step.apart;
        let full = |r: &&Room| !size.fits(&r.free) && (apart == 0 || r.same_step < apart);
        for room in good.iter().filter(full) {
            let no = WorkerNo(room.index);
            if self.will_have_room(no, &size, by, now) && round.upcoming_steps.add_step(no) {
                freeing.push(no);
            }
        }
        let ends = |no: &WorkerNo| {
            self.valid_until(turn.key, *no)
                .is_none_or(|until| ahead::ticket_expires_early(until, duration, now))
        };
        if !freeing.iter().any(ends)
            || !ahead::may_call_ahead(self.lanes.idle_count(), self.lanes.len())
        {
            freeing.clear();
        }
        freeing
    }

    /// Returns whether a worker is expected to have room for `size` by the time `by`. Long-running
    /// tasks are assumed to stay.
    fn will_have_room(&self, no: WorkerNo, size: &Size, by: Time, now: Time) -> bool {
        let worker = &self.workers[no.0];
        let lasts = |t: &TaskKey| {
            let step = self.jobs.get(&t.step.job).and_then(|j| j.step(&t.step));
            step.is_some_and(|s| s.lasts)
        };
        let ending = worker.runs.iter().filter(|(t, r)| expected_end(r, now) <= by && !lasts(t));
        size.fits(&ending.fold(worker.free(), |sum, (_, r)| sum + r.size))
    }
}

/// Returns the time at which a run is expected to end.
pub(super) fn expected_end(run: &Run, now: Time) -> Time {
    if run.phase == RunPhase::Stopping {
        return now;
    }
    let (first, last) = run.progress_percent;
    ahead::expected_end(Progress {
        started_at: run.started_at,
        initial_percent: first,
        percent: last,
        checked_at: run.reported_at,
        estimate: run.estimate,
    })
}
