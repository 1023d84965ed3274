//! A minimal model of a bucket's owner.

use {
    super::fake::{BUCKET, rack, reserve_ask, start, task},
    dogwoodreach::{
        Time,
        attempts::{CLOCK_DRIFT, MAX_TRANSIT},
        ids::{Attempt, TaskId},
        messages::{ProbeAsk, ProbeItem, ProbeReply, ReserveRow, TaskReport, TaskState},
        racks::Racks,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// A minimal model of a bucket's owner: the rules by which it considers an attempt as ended.
#[derive(Default)]
pub struct Owner {
    pub attempts: BTreeMap<u32, Live>,
    pub last_attempt: BTreeMap<u32, u32>,
    /// All attempts that the owner considers as ended.
    pub ended: BTreeSet<(TaskId, Attempt)>,
}

/// An attempt that may be running.
pub struct Live {
    pub row: ReserveRow,
    pub settled_at: Time,
    pub lapses_at: Option<Time>,
}

impl Owner {
    /// Starts the next attempt of a task, unless an earlier attempt may be running.
    pub fn place(&mut self, n: u32, cores: u64, racks: &mut Racks, now: Time) {
        if self.attempts.contains_key(&n) {
            return;
        }
        let attempt = self.last_attempt.get(&n).copied().unwrap_or(0) + 1;
        let Some(row) = racks.reserve(&reserve_ask(n, attempt, cores), now).rows.pop() else {
            return;
        };
        self.last_attempt.insert(n, attempt);
        let settled_at = now + MAX_TRANSIT + CLOCK_DRIFT;
        let refused = racks.start(start(&row, cores), now).map_or(vec![], |r| r.refused);
        self.attempts.insert(n, Live { row, settled_at, lapses_at: None });
        refused.iter().for_each(|i| self.end(i.task.index.0, i.attempt));
    }

    pub fn end(&mut self, n: u32, attempt: Attempt) {
        if self.attempts.get(&n).is_some_and(|l| l.row.attempt == attempt) {
            self.attempts.remove(&n);
            self.ended.insert((task(n), attempt));
        }
    }

    /// Receives the ends that a rack's owner reports, and acknowledges them.
    pub fn receive_ends(&mut self, racks: &mut Racks) {
        let items = racks.pending_reports().remove(&BUCKET).unwrap_or_default();
        for i in items.iter().filter(|i| i.state != TaskState::Running) {
            self.end(i.task.index.0, i.attempt);
        }
        racks.acknowledge(&items);
    }

    /// Probes a rack's owner for all attempts, and ends those that no longer run.
    pub fn probe(&mut self, racks: &mut Racks, now: Time) {
        let items = self.attempts.values().map(|l| ProbeItem {
            attempt: l.row.attempt,
            task: l.row.task.clone(),
            worker: l.row.worker.clone(),
        });
        let ask = ProbeAsk { bucket: BUCKET, rack: rack(), items: items.collect() };
        if let Some(reply) = racks.probe(&ask, now) {
            self.probed(reply, now);
        }
    }

    fn probed(&mut self, reply: ProbeReply, now: Time) {
        let mut ended = vec![];
        for row in &reply.rows {
            for (n, l) in self.attempts.iter_mut().filter(|(_, l)| l.row.worker == row.worker) {
                let id = |t: &&TaskReport| t.task == l.row.task && t.attempt == l.row.attempt;
                let found = row.tasks.iter().find(id).map(|t| t.state);
                let taken_at = row.age.map(|age| now - Duration::from_millis(age));
                let over = found.is_some_and(|s| s != TaskState::Running);
                let none = found.is_none() && taken_at.is_some_and(|t| t > l.settled_at);
                if over && row.age.is_some() || none {
                    ended.push((*n, l.row.attempt));
                }
                if let Some(cut) = row.cut {
                    let until = now + Duration::from_millis(cut) + CLOCK_DRIFT;
                    l.lapses_at = Some(until);
                }
            }
        }
        ended.into_iter().for_each(|(n, attempt)| self.end(n, attempt));
    }

    /// Ends the attempts that have lapsed.
    pub fn tick(&mut self, now: Time) {
        let lapsed = self.attempts.iter().filter(|(_, l)| l.lapses_at.is_some_and(|at| at <= now));
        let lapsed: Vec<_> = lapsed.map(|(n, l)| (*n, l.row.attempt)).collect();
        lapsed.into_iter().for_each(|(n, attempt)| self.end(n, attempt));
    }
}
