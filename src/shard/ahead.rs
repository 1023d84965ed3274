//! Workers whose room is expected soon, for which a step asks for its tickets ahead.

use crate::{
    decide::ahead::{self, Progress},
    decide::fit::Room,
    shard::{
        machine::Shard,
        plan::{Round, Turn},
        workers::{Phase, Run, WorkerNo},
    },
    time::Time,
    units::Size,
    work::AdviceCost,
};

/// How many workers a call ahead names, by guess.
const NAMED: u32 = 5;

impl Shard {
    /// Workers that will soon have room for a task of this step, if a ticket for one of them has to
    /// be asked for now.
    pub(super) fn coming(
        &self,
        turn: &Turn,
        good: &[Room],
        cost: AdviceCost,
        round: &mut Round,
        now: Time,
    ) -> Vec<WorkerNo> {
        let size = turn.step.counted();
        let takes = cost.base + cost.each * NAMED;
        let by = ahead::horizon(takes, now);
        let mut all = vec![];
        for room in good.iter().filter(|r| !size.fits(&r.free)) {
            let no = WorkerNo(room.index);
            if self.frees(no, &size, by, now) && round.line.join(no) {
                all.push(no);
            }
        }
        let ends = |no: &WorkerNo| {
            self.valid_until(turn.key, *no).is_none_or(|u| ahead::ends(u, takes, now))
        };
        if !all.iter().any(ends) || !ahead::may(self.lanes.idle(), self.lanes.len()) {
            all.clear();
        }
        all
    }

    /// Whether a worker is expected to have this much room by then.
    fn frees(&self, no: WorkerNo, size: &Size, by: Time, now: Time) -> bool {
        let worker = &self.workers[no.0];
        let ending = worker.runs.values().filter(|r| end(r, now) <= by);
        size.fits(&ending.fold(worker.free(), |sum, r| sum + r.size))
    }
}

/// When a run is expected to end.
fn end(run: &Run, now: Time) -> Time {
    if run.phase == Phase::Stopping {
        return now;
    }
    let (first, last) = run.percent;
    ahead::end(Progress { began: run.began, first, last, estimate: run.estimate }, now)
}
