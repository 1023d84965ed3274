//! Workers that are over, silent or leaving, and what becomes of their runs.

use {
    crate::{
        ids::WorkerId,
        ports::Fault,
        shard::{
            event::Order,
            machine::Shard,
            orders::ORDER,
            workers::{Phase, Worker, WorkerNo},
        },
        time::Time,
        work::StepKey,
    },
    rustc_hash::{FxHashMap, FxHashSet},
    std::time::Duration,
};

/// The pause between two readings of the list of machines.
const CENSUS: Duration = Duration::from_millis(500);
/// How far the list of machines may be behind.
const LAG: Duration = Duration::from_millis(900);

impl Shard {
    /// A worker's life is over: all that ran there is free to start elsewhere.
    pub(super) fn over_with(&mut self, no: WorkerNo, now: Time) {
        log::info!(target: "shard", worker:% = self.workers[no.0].id, runs = self.workers[no.0].runs.len(); "Worker is over.");
        let blamed = self.blamed(no);
        self.workers[no.0].gone = true;
        self.roster = true;
        self.forget_runs(no, now);
        for (task, run) in blamed {
            self.crashed(&task, run, now);
        }
        self.workers[no.0].pending.clear();
    }

    fn forget_runs(&mut self, no: WorkerNo, now: Time) {
        let all: Vec<_> = self.workers[no.0].runs.iter().map(|(t, r)| (*t, r.run)).collect();
        for (task, run) in all {
            self.lost(no, &task, run, now);
        }
    }

    /// Asks for the list of machines while a worker is silent on which something may run.
    pub(super) fn doubt(&mut self, now: Time) {
        let (unsettled, workers) = (&self.unsettled, &self.workers);
        let doubtful = |n: usize, w: &Worker| {
            let counts = !w.runs.is_empty() || unsettled.contains(&WorkerNo(n));
            !w.gone && counts && w.silent > 0
        };
        let due = self.census.is_some_and(|t| t <= now);
        if due && workers.iter().enumerate().any(|(n, w)| doubtful(n, w)) {
            self.census = None;
            self.out.push(Order::Lives);
        }
    }

    /// Takes in which lives are there by the list of machines.
    ///
    /// A silent worker that the list lacks twice, a lag apart, is over: its tasks need not wait for
    /// its lease. One that is cut off and works on is on the list; a new one may not be on it yet,
    /// and is heard.
    pub(super) fn lives(&mut self, sent: Time, reply: Result<Vec<WorkerId>, Fault>, now: Time) {
        self.census = Some(now + CENSUS);
        let Ok(ids) = reply else { return };
        let there: FxHashSet<&WorkerId> = ids.iter().collect();
        for no in (0..self.workers.len()).map(WorkerNo) {
            let worker = &mut self.workers[no.0];
            if worker.gone {
                continue;
            }
            if there.contains(&worker.id) || worker.silent == 0 {
                worker.missed = None;
            } else if sent - *worker.missed.get_or_insert(sent) >= LAG {
                self.over_with(no, now);
            }
        }
    }

    /// Forgets what ran where the lease has ended.
    pub(super) fn expire(&mut self, now: Time) {
        for no in (0..self.workers.len()).map(WorkerNo) {
            let w = &self.workers[no.0];
            if w.gone || w.lapse(&self.setup.bounds) > now {
                continue;
            }
            if !w.runs.is_empty() {
                log::info!(target: "shard", worker:% = w.id, runs = w.runs.len(), silent = w.silent; "Worker has lapsed.");
                self.forget_runs(no, now);
            }
            let w = &mut self.workers[no.0];
            let lost = w.listed.is_none() && w.silent > 3;
            if lost && !self.unsettled.contains(&no) {
                w.gone = true;
                self.roster = true;
            }
        }
    }

    /// Takes work from leaving workers: lasting tasks as soon as there is room for them, others when the
    /// worker is about to end, so that they go on from a checkpoint in place of waiting for its lease.
    ///
    /// Guards against lasting tasks that are away though their worker stays for half a minute: other
    /// workers may be full or be emptied, and a task that was stopped serves nobody.
    pub(super) fn leave(&mut self, now: Time) {
        let (mut all, mut taken) = (vec![], vec![]);
        // Whether there was room for the last task of a step that was looked at.
        let mut moves: FxHashMap<StepKey, bool> = FxHashMap::default();
        for (n, w) in self.workers.iter().enumerate().filter(|(_, w)| !w.gone) {
            let Some(end) = w.leaving else { continue };
            let last = end - (self.setup.bounds.stop + ORDER);
            for (task, _) in w.runs.iter().filter(|(_, r)| r.phase == Phase::Running) {
                let step = &task.step;
                let more = match moves.get(step) {
                    None => self.unplaced(step) + 1,
                    Some(true) => 1,
                    Some(false) => 0,
                };
                if self.lasts(task) && more > 0 {
                    moves.insert(*step, self.take_room(step, more, &mut taken, now));
                }
                if last <= now || moves.get(step) == Some(&true) {
                    all.push((WorkerNo(n), *task));
                }
            }
        }
        for (no, task) in all {
            self.tell_stop(no, &task, "worker leaves");
            self.stop(no, &task, now);
        }
    }
}
