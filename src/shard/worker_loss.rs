//! Handles workers that have ended, are silent or are leaving, and what happens to their runs.

use {
    crate::{
        decide::ahead,
        ids::WorkerId,
        ports::Fault,
        shard::{
            event::Order,
            orders::ORDER_TIMEOUT,
            state_machine::Shard,
            stats::LossCause,
            workers::{RunPhase, Worker, WorkerNo},
        },
        time::Time,
        work::StepKey,
    },
    rustc_hash::{FxHashMap, FxHashSet},
    std::time::Duration,
};

/// The minimum interval between two reads of the list of machines.
const MACHINE_LIST_INTERVAL: Duration = Duration::from_millis(500);
/// The maximum delay with which the list of machines reflects a change.
const MACHINE_LIST_LAG: Duration = Duration::from_millis(900);

impl Shard {
    /// Marks a worker incarnation as ended: its tasks may start elsewhere.
    pub(super) fn end_worker(&mut self, no: WorkerNo, now: Time) {
        log::info!(target: "shard", worker:% = self.workers[no.0].id, runs = self.workers[no.0].runs.len(); "Worker is over.");
        let suspects = self.suspect_runs(no);
        self.workers[no.0].gone = true;
        self.roster_dirty = true;
        self.forget_runs(no, LossCause::WorkerOver, now);
        for (task, run) in suspects {
            self.count_crash(&task, run, now);
        }
        self.workers[no.0].unstored_ends.clear();
    }

    fn forget_runs(&mut self, no: WorkerNo, cause: LossCause, now: Time) {
        let worker = &self.workers[no.0];
        let all: Vec<_> =
            worker.runs.iter().chain(&worker.unlisted_ends).map(|(t, r)| (*t, r.run)).collect();
        for (task, run) in all {
            self.on_run_lost(no, &task, run, cause, now);
        }
    }

    /// Requests the list of machines while a worker on which something may run is silent.
    pub(super) fn query_machines(&mut self, now: Time) {
        let (unsettled, workers) = (&self.unsettled_workers, &self.workers);
        let unconfirmed = |n: usize, w: &Worker| {
            let counts = w.has_runs() || unsettled.contains(&WorkerNo(n));
            !w.gone && counts && w.unanswered_calls > 0
        };
        let due = self.next_vm_list.is_some_and(|t| t <= now);
        if due && workers.iter().enumerate().any(|(n, w)| unconfirmed(n, w)) {
            self.next_vm_list = None;
            self.orders.push(Order::ReadMachines);
        }
    }

    /// Processes the worker incarnations that the list of machines shows.
    ///
    /// A silent worker has ended if two readings at least `MACHINE_LIST_LAG` apart lack it, and its
    /// tasks need not wait for its lease to expire. A worker that is merely cut off and keeps
    /// running is on the list. A new worker may not be on the list yet, but it answers.
    pub(super) fn on_machines(
        &mut self,
        sent: Time,
        reply: Result<Vec<WorkerId>, Fault>,
        now: Time,
    ) {
        self.next_vm_list = Some(now + MACHINE_LIST_INTERVAL);
        let Ok(ids) = reply else { return };
        let listed: FxHashSet<&WorkerId> = ids.iter().collect();
        for no in (0..self.workers.len()).map(WorkerNo) {
            let worker = &mut self.workers[no.0];
            if worker.gone {
                continue;
            }
            if listed.contains(&worker.id) || worker.unanswered_calls == 0 {
                worker.missing_since = None;
            } else if sent - *worker.missing_since.get_or_insert(sent) >= MACHINE_LIST_LAG {
                self.end_worker(no, now);
            }
        }
    }

    /// Forgets the runs of workers whose leases have expired.
    ///
    /// Guards against a second run of a task on a worker that this owner doesn't reach: a successor
    /// may reach it and keep the run alive. The leases that this owner knows of are the last ones
    /// only while it certainly has no successor.
    pub(super) fn expire_leases(&mut self, now: Time) {
        if !self.is_confirmed(now) {
            return;
        }
        for no in (0..self.workers.len()).map(WorkerNo) {
            let w = &self.workers[no.0];
            if w.gone || w.lease_end(&self.setup.bounds) > now {
                continue;
            }
            if w.has_runs() {
                log::info!(target: "shard", worker:% = w.id, runs = w.runs.len(), unlisted = w.unlisted_ends.len(), silent = w.unanswered_calls; "Worker has lapsed.");
                self.forget_runs(no, LossCause::Lapsed, now);
            }
            let w = &mut self.workers[no.0];
            let lost = w.list_entry.is_none() && w.unanswered_calls > 3;
            if lost && !self.unsettled_workers.contains(&no) {
                w.gone = true;
                self.roster_dirty = true;
            }
        }
    }

    /// Moves work from leaving workers: long-running tasks as soon as there is room for them, other
    /// tasks shortly before the worker ends, so that they resume from a checkpoint instead of
    /// waiting for its lease to expire.
    ///
    /// A long-running task is not stopped before another worker has room for it. Its worker stays
    /// for another half minute, other workers may be full or being emptied, and a stopped task
    /// serves no requests.
    pub(super) fn vacate_leaving(&mut self, now: Time) {
        let (mut stops, mut allocated) = (vec![], vec![]);
        // For each examined step, whether its last examined task had room on another worker.
        let mut has_room: FxHashMap<StepKey, bool> = FxHashMap::default();
        for (n, w) in self.workers.iter().enumerate().filter(|(_, w)| !w.gone) {
            let Some(end) = w.leaves_at else { continue };
            let last = end - (self.setup.bounds.stop_time + ORDER_TIMEOUT);
            for (task, _) in w.runs.iter().filter(|(_, r)| r.phase == RunPhase::Running) {
                let step = &task.step;
                let more = match has_room.get(step) {
                    None => self.unplaced_count(step) + 1,
                    Some(true) => 1,
                    Some(false) => 0,
                };
                if self.is_long_running(task) && more > 0 {
                    has_room.insert(*step, self.allocate_room(step, more, &mut allocated, now));
                }
                if last <= now || has_room.get(step) == Some(&true) {
                    stops.push((WorkerNo(n), *task));
                }
            }
        }
        for (no, task) in stops {
            self.log_stop(no, &task, "worker leaves");
            self.stop_run(no, &task, now);
        }
        has_room.retain(|_, has| !*has);
        self.ask_for_vacating(has_room.into_keys().collect(), now);
    }

    /// Requests advice on workers with room that no call has named yet, for long-running steps that
    /// have a task on a leaving worker and no room elsewhere.
    fn ask_for_vacating(&mut self, mut steps: Vec<StepKey>, now: Time) {
        if steps.is_empty() || !self.may_act(now) {
            return;
        }
        steps.sort_unstable();
        let mut round = self.new_round(now);
        for key in &steps {
            if !ahead::may_call_ahead(self.lanes.idle_count(), self.lanes.len()) {
                return;
            }
            let Some(turn) = self.turn(key, &round, now) else { continue };
            let size = turn.step.reserved();
            let asked = |n: &WorkerNo| {
                let tickets = self.step_state(key).map(|p| &p.tickets);
                tickets
                    .is_some_and(|t| t.asked_workers.contains(n) || t.pending_workers.contains(n))
            };
            let has_room = |n: &WorkerNo| {
                size.fits(&self.workers[n.0].free().saturating_sub(&round.all_withheld(*n)))
            };
            if turn.usable.iter().any(|n| !asked(n) && has_room(n)) {
                self.ask_for_missing(&turn, &mut round, now);
            }
        }
    }
}
