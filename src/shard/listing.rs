//! The workers and the configuration as they are listed.

use {
    crate::{
        ids::WorkerId,
        shard::{
            machine::Shard,
            workers::{Worker, WorkerNo, millis},
        },
        time::Time,
        work::{JobNo, Listed, Queues, State},
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
        let mut fewer = FxHashSet::default();
        for queue in &queues.all {
            let old = self.known.insert(queue.name.clone(), queue.clone());
            if old.is_none_or(|o| o.attempts > queue.attempts) {
                fewer.insert(queue.name.clone());
            }
        }
        self.queues = queues;
        self.adopt_terms();
        let all: Vec<_> = self.jobs.iter().map(|(no, j)| (*no, fewer.contains(&j.queue))).collect();
        for (no, fewer) in all {
            self.review(no, now);
            if fewer {
                self.give_up(no, now);
            }
        }
    }

    /// Takes queues that the configuration lacks as they were when their jobs were taken in.
    ///
    /// Guards against jobs that are never begun: an owner that takes a shard over while their queue is
    /// missing knows nothing of it, and a queue that was removed for good never comes back. Without
    /// any configuration nothing starts, as a newer one may send the queue elsewhere.
    pub(super) fn adopt_terms(&mut self) {
        if self.queues.all.is_empty() {
            return;
        }
        for (name, (_, terms)) in self.terms.drain() {
            self.known.entry(name).or_insert(*terms);
        }
    }

    /// Ends a job of which a task has failed as often as its queue allows.
    ///
    /// Guards against a new owner that hears of failures before it hears of the queue: it can't tell
    /// then that they are the last ones, and would start the task once more.
    fn give_up(&mut self, no: JobNo, now: Time) {
        let Some(job) = self.jobs.get(&no).filter(|j| !j.state.over()) else { return };
        let most = self.known.get(&job.queue).map_or(u32::MAX, |q| q.attempts.max(1)) as usize;
        let lasts = |step: u16| job.job.steps.get(usize::from(step)).is_some_and(|s| s.lasts);
        let spent = job
            .parts
            .iter()
            .filter(|((_, step), _)| !lasts(*step))
            .any(|(_, part)| part.tasks.iter().any(|t| t.fails.len() >= most));
        if spent {
            self.end(no, State::Failed, now);
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
