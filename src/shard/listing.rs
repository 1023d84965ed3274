//! Processes the list of workers and the configuration.

use {
    crate::{
        ids::{PoolId, WorkerId},
        shard::{
            state_machine::Shard,
            workers::{Worker, WorkerNo},
        },
        time::Time,
        work::{JobNo, JobState, ListedWorker, QueueConfig},
    },
    rustc_hash::FxHashSet,
    std::{net::SocketAddr, sync::Arc},
};

impl Shard {
    pub(super) fn configure(&mut self, queues: Arc<QueueConfig>, now: Time) {
        if queues.version < self.queues.version {
            return;
        }
        let mut reduced = FxHashSet::default();
        for queue in &queues.queues {
            let old = self.queue_configs.insert(queue.name.clone(), queue.clone());
            if old.is_none_or(|o| o.attempts > queue.attempts) {
                reduced.insert(queue.name.clone());
            }
        }
        self.queues = queues;
        self.restore_queues();
        self.configure_caps(now);
        self.assign_pools(now);
        let all: Vec<_> =
            self.jobs.iter().map(|(no, j)| (*no, reduced.contains(&j.queue))).collect();
        for (no, reduced) in all {
            self.update_ready(no, now);
            if reduced {
                self.fail_if_exhausted(no, now);
            }
        }
    }

    /// Restores queues that the configuration lacks as they were when their jobs were accepted.
    ///
    /// Guards against jobs that never start: an owner that takes over a shard while their queue is
    /// missing from the configuration does not know the queue, and a queue that was removed
    /// permanently never returns. As long as there is no configuration at all, nothing starts,
    /// since a newer one may assign the queue to another pool.
    pub(super) fn restore_queues(&mut self) {
        if self.queues.queues.is_empty() {
            return;
        }
        for (name, (_, terms)) in self.queue_snapshots.drain() {
            self.queue_configs.entry(name).or_insert(*terms);
        }
    }

    /// Fails a job if one of its tasks has failed as often as its queue allows.
    ///
    /// Guards against a new owner that learns of failures before it knows the queue: at that time
    /// it cannot tell that no attempts are left, and would start the task once more.
    fn fail_if_exhausted(&mut self, no: JobNo, now: Time) {
        let Some(job) = self.jobs.get(&no).filter(|j| !j.state.is_final()) else { return };
        let most =
            self.queue_configs.get(&job.queue).map_or(u32::MAX, |q| q.attempts.max(1)) as usize;
        let lasts = |step: u16| job.job.steps.get(usize::from(step)).is_some_and(|s| s.lasts);
        let exhausted = job
            .step_states
            .iter()
            .filter(|((_, step), _)| !lasts(*step))
            .any(|(_, part)| part.tasks.iter().any(|t| t.failed_runs.len() >= most));
        if exhausted {
            self.end_job(no, JobState::Failed, now);
        }
    }

    pub(super) fn on_list(&mut self, list: Vec<ListedWorker>, now: Time) {
        let mut seen = FxHashSet::default();
        let served = self.served_pools();
        for listed in list.into_iter().filter(|l| served.is_empty() || served.contains(&l.pool)) {
            let no = self.worker_no(&listed.id, listed.addr, now);
            seen.insert(no);
            let worker = &mut self.workers[no.0];
            if worker.move_to(&listed, now) {
                // A new owner calls the workers of the roster at the addresses that it has.
                self.roster_dirty = true;
            }
            worker.list_entry = Some(listed);
            worker.update_leaving(now);
        }
        self.pools.clear();
        for no in 0..self.workers.len() {
            let no = WorkerNo(no);
            let worker = &mut self.workers[no.0];
            if !seen.contains(&no) {
                worker.list_entry = None;
            } else if let Some(pool) = worker.pool().cloned() {
                self.pools.entry(pool).or_default().push(no);
            }
        }
        self.assign_pools(now);
        self.log_listed(seen.len(), now);
        self.end_replaced(&seen, now);
        self.roster_dirty |= self.workers.iter().any(|w| w.rostered != w.needs_roster());
        self.round_due = true;
    }

    /// Gives each unfinished job without a pool the one that its queue uses.
    ///
    /// A job keeps the pool by which it was accepted, wherever its queue moves: its shard has the
    /// workers of that pool, perhaps no others. Only if that pool has no listed worker, and the shard
    /// has some of the queue's pool, does the job change to that one: it would wait for ever for a
    /// pool that the operators have replaced.
    fn assign_pools(&mut self, now: Time) {
        let mut changed = vec![];
        for (no, job) in self.jobs.iter_mut().filter(|(_, j)| !j.state.is_final()) {
            if job.pool.as_ref().is_some_and(|p| self.pools.contains_key(p)) {
                continue;
            }
            let Some(queue) = self.queue_configs.get(&job.queue) else { continue };
            if job.pool.is_some() && !self.pools.contains_key(&queue.pool) {
                continue;
            }
            if let Some(former) = job.pool.replace(queue.pool.clone()) {
                log::info!(target: "shard", did = "pool_changed", shard:% = self.setup.shard, job:% = no, former:%, pool:% = queue.pool; "Pool of a job has no workers; the job gets that of its queue.");
                (job.waves, job.task_works) = Default::default();
            }
            changed.push(*no);
        }
        for no in changed {
            self.update_ready(no, now);
        }
    }

    /// Returns the pools that the configuration, a queue or an unfinished job names; none before
    /// the configuration is known.
    ///
    /// Guards against entries of other programs in the worker list. A new owner would wait for such
    /// a worker before it starts the jobs of its predecessor.
    fn served_pools(&self) -> FxHashSet<PoolId> {
        let pools = self.queues.pools.iter().map(|p| &p.name);
        let named: FxHashSet<&PoolId> =
            pools.chain(self.queue_configs.values().map(|q| &q.pool)).collect();
        if named.is_empty() {
            return FxHashSet::default();
        }
        let of_jobs = self.jobs.values().filter(|j| !j.state.is_final());
        let named: FxHashSet<&PoolId> =
            named.into_iter().chain(of_jobs.filter_map(|j| j.pool.as_ref())).collect();
        named.into_iter().cloned().collect()
    }

    /// Treats workers as gone if a newer worker incarnation has their address.
    fn end_replaced(&mut self, seen: &FxHashSet<WorkerNo>, now: Time) {
        let addrs: FxHashSet<SocketAddr> = seen.iter().map(|n| self.workers[n.0].addr).collect();
        for no in (0..self.workers.len()).map(WorkerNo) {
            let worker = &self.workers[no.0];
            if !worker.gone && !seen.contains(&no) && addrs.contains(&worker.addr) {
                self.end_worker(no, now);
            }
        }
    }

    /// Returns the number of a worker incarnation, and assigns one if the incarnation is new.
    pub(super) fn worker_no(&mut self, id: &WorkerId, addr: SocketAddr, now: Time) -> WorkerNo {
        // A worker that was considered gone and reappears gets a new number and starts without any
        // known state.
        if let Some(no) = self.worker_numbers.get(id).filter(|n| !self.workers[n.0].gone) {
            return *no;
        }
        let no = WorkerNo(self.workers.len());
        let mut worker = Worker::new(id.clone(), addr, now);
        worker.upkeep_turn = self.closing.turn(id);
        self.workers.push(worker);
        self.worker_numbers.insert(id.clone(), no);
        no
    }
}
