//! Reconciles a worker's account with its delayed reports and the recorded intents.

use {
    super::{Held, Hold, Ledger, Load},
    crate::{
        Time,
        ids::{Attempt, TaskId, WorkerId},
        messages::{Report, TaskRow, TaskState},
    },
    rustc_hash::FxHashSet,
    std::{collections::BTreeSet, time::Duration},
};

impl Ledger {
    /// Applies a worker's report and, after a takeover, the intents recorded for the worker.
    ///
    /// The worker's load becomes the union of the current holds, of what the report lists as running,
    /// and of the intents not shown to have ended. Returns the attempts shown to have ended, which
    /// are freed.
    ///
    /// Reports are delayed. A report taken at a time `t` shows that an attempt or request has ended
    /// if it says so, or if it doesn't list it and `t` is at least the lag bound after this ledger
    /// first counted it as started: the start of anything younger may not have reached the worker at
    /// `t`. A report older than a recorded end can't restore the attempt. Without these rules a
    /// takeover would give room that one task still uses to a second task.
    ///
    /// The union may exceed what the worker has; the worker then gets no new work until it fits.
    pub fn adopt(
        &mut self,
        worker: &WorkerId,
        report: &Report,
        intents: &[TaskRow],
        now: Time,
    ) -> Vec<(TaskId, Attempt)> {
        if !self.workers.contains_key(worker) {
            return Vec::new();
        }
        let at = now - Duration::from_millis(report.age);
        for row in intents.iter().filter(|r| r.worker.as_ref() == Some(worker) && live(r.state)) {
            let held = Held::Task(row.task.clone(), row.attempt);
            if !self.ended.contains_key(&held) {
                self.count(worker, held, Load { size: row.size, ..Load::default() }, now);
            }
        }
        let (mut listed, mut ended) = (FxHashSet::default(), BTreeSet::new());
        for item in &report.tasks {
            let held = Held::Task(item.task.clone(), item.attempt);
            if !live(item.state) {
                ended.insert(held);
            } else if self.ended.get(&held).is_none_or(|end| *end < at) {
                let size = self.holds.get(&held).map_or(item.used, |h| h.load.size);
                self.count(worker, held.clone(), Load { size, ..Load::default() }, now);
                listed.insert(held);
            }
        }
        for request in &report.requests {
            let held = Held::Request(*request);
            if !self.holds.contains_key(&held) && self.ended.get(&held).is_none_or(|e| *e < at) {
                let load = Load { slots: 1, ..Load::default() };
                self.count(worker, held.clone(), load, now);
            }
            listed.insert(held);
        }
        self.free_ended(worker, &listed, ended, at, now)
    }

    /// Frees what a report taken at `at` shows to have ended.
    fn free_ended(
        &mut self,
        worker: &WorkerId,
        listed: &FxHashSet<Held>,
        mut ended: BTreeSet<Held>,
        at: Time,
        now: Time,
    ) -> Vec<(TaskId, Attempt)> {
        let Some(w) = self.workers.get(worker) else { return Vec::new() };
        ended.retain(|h| w.held.contains(h));
        let silent = |h: &&Held| {
            let since = self.holds.get(*h).and_then(|hold| hold.since);
            !listed.contains(*h) && since.is_some_and(|s| at >= s + self.lag)
        };
        ended.extend(w.held.iter().filter(silent).cloned());
        let mut out = Vec::new();
        for held in ended {
            self.end(&held, now);
            if let Held::Task(task, attempt) = held {
                out.push((task, attempt));
            }
        }
        out
    }

    /// Counts an attempt or request as running on a worker, whether or not it fits.
    ///
    /// If it is held on another worker as started, it stays counted only there; a reservation that
    /// was not started moves to this worker.
    fn count(&mut self, worker: &WorkerId, held: Held, mut load: Load, now: Time) {
        let mut since = Some(now);
        if let Some(old) = self.holds.get(&held) {
            let known = old.worker != *worker || load.size.fits(&old.load.size);
            if old.since.is_some() && known {
                return;
            }
            load.size = load.size.max(&old.load.size);
            since = old.since.or(since);
        }
        self.put(held, Hold { worker: worker.clone(), load, ends: Time::NEVER, since });
    }
}

fn live(state: TaskState) -> bool {
    matches!(state, TaskState::Intent | TaskState::Running | TaskState::Stopping)
}
