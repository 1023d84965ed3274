//! A bucket's owner in small.

use {
    super::fake::{BUCKET, rack, start, task, wish},
    dogwoodreach::{
        Time,
        attempts::{DRIFT, FLIGHT},
        ids::{Attempt, TaskId},
        messages::{ProbeAsk, ProbeItem, ProbeReply, ReserveRow, TaskReport, TaskState},
        racks::Racks,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// A bucket's owner in small: the rules by which an attempt is taken as ended.
#[derive(Default)]
pub struct Owner {
    pub rows: BTreeMap<u32, Live>,
    pub last: BTreeMap<u32, u32>,
    /// All attempts that it took as ended.
    pub ended: BTreeSet<(TaskId, Attempt)>,
}

/// An attempt that may run.
pub struct Live {
    pub row: ReserveRow,
    pub settled: Time,
    pub lapse: Option<Time>,
}

impl Owner {
    /// Makes the next attempt of a task, if none may run.
    pub fn place(&mut self, n: u32, cores: u64, racks: &mut Racks, now: Time) {
        if self.rows.contains_key(&n) {
            return;
        }
        let attempt = self.last.get(&n).copied().unwrap_or(0) + 1;
        let Some(row) = racks.reserve(&wish(n, attempt, cores), now).rows.pop() else { return };
        self.last.insert(n, attempt);
        let settled = now + FLIGHT + DRIFT;
        let refused = racks.start(start(&row, cores), now).map_or(vec![], |r| r.refused);
        self.rows.insert(n, Live { row, settled, lapse: None });
        refused.iter().for_each(|i| self.end(i.task.index.0, i.attempt));
    }

    pub fn end(&mut self, n: u32, attempt: Attempt) {
        if self.rows.get(&n).is_some_and(|l| l.row.attempt == attempt) {
            self.rows.remove(&n);
            self.ended.insert((task(n), attempt));
        }
    }

    /// Takes what a rack's owner has to tell.
    pub fn hear(&mut self, racks: &mut Racks) {
        let items = racks.tell().remove(&BUCKET).unwrap_or_default();
        for i in items.iter().filter(|i| i.state != TaskState::Running) {
            self.end(i.task.index.0, i.attempt);
        }
        racks.told(&items);
    }

    /// Asks a rack's owner for all attempts, and draws the conclusions.
    pub fn probe(&mut self, racks: &mut Racks, now: Time) {
        let items = self.rows.values().map(|l| ProbeItem {
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
            for (n, l) in self.rows.iter_mut().filter(|(_, l)| l.row.worker == row.worker) {
                let id = |t: &&TaskReport| t.task == l.row.task && t.attempt == l.row.attempt;
                let found = row.tasks.iter().find(id).map(|t| t.state);
                let taken = row.age.map(|age| now - Duration::from_millis(age));
                let over = found.is_some_and(|s| s != TaskState::Running);
                let none = found.is_none() && taken.is_some_and(|t| t > l.settled);
                if over && row.age.is_some() || none {
                    ended.push((*n, l.row.attempt));
                }
                if let Some(cut) = row.cut {
                    let until = now + Duration::from_millis(cut) + DRIFT;
                    l.lapse = Some(until);
                }
            }
        }
        ended.into_iter().for_each(|(n, attempt)| self.end(n, attempt));
    }

    /// Ends what has lapsed.
    pub fn tick(&mut self, now: Time) {
        let dead = self.rows.iter().filter(|(_, l)| l.lapse.is_some_and(|at| at <= now));
        let dead: Vec<_> = dead.map(|(n, l)| (*n, l.row.attempt)).collect();
        dead.into_iter().for_each(|(n, attempt)| self.end(n, attempt));
    }
}
