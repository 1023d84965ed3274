//! Questions to owners for the states of jobs, gathered for each owner.

use {
    super::ask::OWNER,
    crate::{
        common::Common,
        control::Peers,
        ids::Incarnation,
        shard::record::ShardNo,
        work::{JobNo, State},
    },
    rustc_hash::FxHashMap,
    std::{
        mem,
        net::SocketAddr,
        sync::{Arc, Mutex, MutexGuard},
    },
    tokio::sync::oneshot,
};

/// The most jobs that one question names.
const MOST: usize = 256;

/// Asks owners how jobs stand, one question at a time to each, with all jobs asked for meanwhile.
///
/// Guards against questions that keep a busy owner busy: one for each caller's request took most of its
/// processor, and each that ran out of time cost a new connection. So the slower an owner answers, the
/// fewer questions it gets.
pub(super) struct States {
    common: Arc<Common>,
    peers: Peers,
    /// What is asked next of each owner that has a question to answer.
    next: Mutex<FxHashMap<Incarnation, Vec<Wanted>>>,
}

/// A job whose state somebody waits for.
struct Wanted {
    shard: ShardNo,
    job: JobNo,
    to: oneshot::Sender<Option<State>>,
}

impl States {
    /// Nothing is asked yet.
    pub fn new(common: Arc<Common>, peers: Peers) -> Self {
        States { common, peers, next: Mutex::default() }
    }

    /// How a job stands at its owner; nothing where it doesn't say.
    pub async fn of(
        self: &Arc<Self>,
        (owner, addr): (Incarnation, SocketAddr),
        shard: ShardNo,
        job: JobNo,
    ) -> Option<State> {
        let (to, from) = oneshot::channel();
        if self.want(owner, Wanted { shard, job, to }) {
            tokio::spawn(self.clone().ask(owner, addr));
        }
        from.await.ok().flatten()
    }

    /// Notes what is asked next of an owner; returns whether no question to it is under way.
    fn want(&self, owner: Incarnation, wanted: Wanted) -> bool {
        let mut next = self.next();
        let idle = !next.contains_key(&owner);
        next.entry(owner).or_default().push(wanted);
        idle
    }

    /// Asks an owner until nobody wants to know anything of it.
    async fn ask(self: Arc<Self>, owner: Incarnation, addr: SocketAddr) {
        while let Some(batch) = self.batch(owner) {
            let jobs: Box<[(ShardNo, JobNo)]> = batch.iter().map(|w| (w.shard, w.job)).collect();
            let states = self.peers.states(addr, &jobs, self.common.in_touch(), OWNER).await;
            let mut states = states.unwrap_or_default().into_iter();
            for wanted in batch {
                // Who has left meanwhile needs no answer.
                let _ = wanted.to.send(states.next().flatten());
            }
        }
    }

    /// What is asked next; nothing where nobody waits for anything.
    fn batch(&self, owner: Incarnation) -> Option<Vec<Wanted>> {
        let mut next = self.next();
        let all = next.get_mut(&owner)?;
        if all.is_empty() {
            next.remove(&owner);
            return None;
        }
        let rest = all.split_off(all.len().min(MOST));
        Some(mem::replace(all, rest))
    }

    fn next(&self) -> MutexGuard<'_, FxHashMap<Incarnation, Vec<Wanted>>> {
        self.next.lock().expect("no holder panics")
    }
}
