//! The workers and the configuration as they are listed.

use {
    crate::{
        ids::WorkerId,
        shard::{
            machine::Shard,
            workers::{Worker, WorkerNo, millis},
        },
        time::Time,
        work::{Listed, Queues},
    },
    rustc_hash::FxHashSet,
    std::{net::SocketAddr, sync::Arc, time::Duration},
};

/// How long a leaving worker stays that does not say how long.
const LEAVE: Duration = Duration::from_secs(2);
/// How old the list may be.
const LIST: Duration = Duration::from_millis(700);

impl Shard {
    pub(super) fn configure(&mut self, queues: Arc<Queues>, now: Time) {
        if queues.version < self.queues.version {
            return;
        }
        for queue in &queues.all {
            self.known.insert(queue.name.clone(), queue.clone());
        }
        self.queues = queues;
        let all: Vec<_> = self.jobs.keys().copied().collect();
        for no in all {
            self.review(no, now);
        }
    }

    pub(super) fn list(&mut self, list: Vec<Listed>, now: Time) {
        let mut seen = FxHashSet::default();
        for listed in list {
            let no = self.worker(&listed.id, listed.addr, now);
            seen.insert(no);
            let worker = &mut self.workers[no.0];
            if listed.draining && worker.leaving.is_none() {
                let left = listed.left.unwrap_or(LEAVE);
                worker.leaving = Some(now + left.saturating_sub(LIST));
                log::info!(target: "shard", worker:% = listed.id, left_ms = millis(left), runs = worker.runs.len(); "Worker is leaving.");
            }
            worker.listed = Some(listed);
        }
        self.pools.clear();
        for no in 0..self.workers.len() {
            let no = WorkerNo(no);
            let worker = &mut self.workers[no.0];
            if !seen.contains(&no) {
                worker.listed = None;
            } else if let Some(pool) = worker.pool().cloned() {
                self.pools.entry(pool).or_default().push(no);
            }
        }
        self.tell_listed(seen.len(), now);
        self.replaced(&seen, now);
        self.roster |= self.workers.iter().any(|w| w.rostered != w.counts());
        self.stir = true;
    }

    /// A worker whose address another life has taken is over.
    fn replaced(&mut self, seen: &FxHashSet<WorkerNo>, now: Time) {
        let addrs: FxHashSet<SocketAddr> = seen.iter().map(|n| self.workers[n.0].addr).collect();
        for no in (0..self.workers.len()).map(WorkerNo) {
            let worker = &self.workers[no.0];
            if !worker.gone && !seen.contains(&no) && addrs.contains(&worker.addr) {
                self.over_with(no, now);
            }
        }
    }

    /// The number of a worker's life, made if it is new.
    pub(super) fn worker(&mut self, id: &WorkerId, addr: SocketAddr, now: Time) -> WorkerNo {
        // One that was taken for gone and is there again begins anew, with nothing known.
        if let Some(no) = self.ids.get(id).filter(|n| !self.workers[n.0].gone) {
            return *no;
        }
        let no = WorkerNo(self.workers.len());
        let mut worker = Worker::new(id.clone(), addr, now);
        worker.turn = self.closing.turn(id);
        self.workers.push(worker);
        self.ids.insert(id.clone(), no);
        no
    }
}
