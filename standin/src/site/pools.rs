//! The pools that may run a job: its queue may have used several.

use {
    crate::site::worker::World,
    dogwoodreach::{
        ids::PoolId,
        work::{JobNo, QueueConfig},
    },
    std::{collections::BTreeSet, sync::Arc},
};

impl World {
    /// Replaces the configuration.
    pub fn configure(&mut self, queues: Arc<QueueConfig>) {
        for new in &queues.queues {
            if let Some(old) = self.queues.queue_by_name(&new.name).filter(|o| o.pool != new.pool) {
                self.former_pools.entry(new.name.clone()).or_default().insert(old.pool.clone());
            }
        }
        self.queues = queues;
    }

    /// The pools that may run a job: those that its queue uses or has used.
    pub fn pools(&self, job: JobNo) -> BTreeSet<&PoolId> {
        let Some(queue) = self.queue(job) else { return BTreeSet::new() };
        self.former_pools.get(&queue.name).into_iter().flatten().chain([&queue.pool]).collect()
    }
}
