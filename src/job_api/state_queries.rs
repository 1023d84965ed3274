//! Batches the queries for states of jobs that go to the owners of shards.

use {
    super::queries::OWNER_TIMEOUT,
    crate::{
        ids::Incarnation,
        member_rpc::PeerClients,
        shard::{record::ShardNo, report::JobReport},
        work::JobNo,
    },
    rustc_hash::FxHashMap,
    std::{
        mem,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard},
        time::{Duration, Instant},
    },
    tokio::{sync::oneshot, time::sleep},
};

/// Maximum number of jobs in one call.
const MAX_BATCH: usize = 256;
/// The pause after an answered call, as a multiple of the time that the call took. A saturated owner
/// answers slowly, and callers ask it again while it is late with their jobs' ends.
const PAUSE_FACTOR: u32 = 2;

/// Asks owners for the states of jobs, with one call at a time to each owner and a pause between two.
/// A call carries all jobs that were requested since the call before.
///
/// One call for each caller's request used most of the processor time of a busy owner, and each call
/// that timed out cost a new connection. With batches, an owner gets fewer calls the slower it answers.
pub(super) struct StateQueries {
    peers: PeerClients,
    /// Queries for the next call to each owner; an owner has an entry while a call to it is in flight
    /// or the pause after one lasts.
    queued: Mutex<FxHashMap<Incarnation, Vec<Query>>>,
}

/// A job whose state a request waits for.
struct Query {
    shard: ShardNo,
    job: JobNo,
    reply: oneshot::Sender<Option<JobReport>>,
}

impl StateQueries {
    /// Creates a set without queries.
    pub fn new(peers: PeerClients) -> Self {
        StateQueries { peers, queued: Mutex::default() }
    }

    /// Returns the state of a job, as its shard's owner reports it; `None` if it doesn't.
    pub async fn query(
        self: &Arc<Self>,
        (owner, addr): (Incarnation, SocketAddr),
        shard: ShardNo,
        job: JobNo,
    ) -> Option<JobReport> {
        let (reply, receiver) = oneshot::channel();
        if self.enqueue(owner, Query { shard, job, reply }) {
            tokio::spawn(self.clone().run(owner, addr));
        }
        receiver.await.ok().flatten()
    }

    /// Adds a query to the next call to an owner; returns whether a call to it may begin.
    fn enqueue(&self, owner: Incarnation, query: Query) -> bool {
        let mut queued = self.queries();
        let idle = !queued.contains_key(&owner);
        queued.entry(owner).or_default().push(query);
        idle
    }

    /// Calls an owner until no query for it is left.
    async fn run(self: Arc<Self>, owner: Incarnation, addr: SocketAddr) {
        while let Some(batch) = self.next_batch(owner) {
            let jobs: Box<[(ShardNo, JobNo)]> = batch.iter().map(|q| (q.shard, q.job)).collect();
            let sent = Instant::now();
            let states = self.peers.job_states(addr, &jobs, OWNER_TIMEOUT).await;
            let pause = states.as_ref().map_or(Duration::ZERO, |_| sent.elapsed() * PAUSE_FACTOR);
            let mut states = states.unwrap_or_default().into_iter();
            for query in batch {
                // Sending fails if the request has ended meanwhile; then it needs no answer.
                let _ = query.reply.send(states.next().flatten());
            }
            sleep(pause).await;
        }
    }

    /// Returns the queries of the next call; `None`, and the owner's entry is removed, if there are
    /// none.
    fn next_batch(&self, owner: Incarnation) -> Option<Vec<Query>> {
        let mut queued = self.queries();
        let all = queued.get_mut(&owner)?;
        // A request that has ended meanwhile has dropped its receiver.
        all.retain(|q| !q.reply.is_closed());
        if all.is_empty() {
            queued.remove(&owner);
            return None;
        }
        let rest = all.split_off(all.len().min(MAX_BATCH));
        Some(mem::replace(all, rest))
    }

    fn queries(&self) -> MutexGuard<'_, FxHashMap<Incarnation, Vec<Query>>> {
        self.queued.lock().expect("no holder panics")
    }
}
