//! Answers how jobs stand, and how many of a queue have not begun.

use {
    super::{Ask, Entry},
    crate::{
        control::{states_here, waiting_here},
        decide::reads::Reads,
        error::{Error, Kind},
        ids::{Incarnation, PoolId},
        ports::Item,
        shard::record::{self, Progress, ShardNo},
        work::{JobNo, State},
    },
    bytes::Bytes,
    std::{collections::BTreeMap, net::SocketAddr, sync::MutexGuard, time::Duration},
    tokio::{task::JoinSet, time::timeout},
};

/// How long a shard's owner may take.
pub(super) const OWNER: Duration = Duration::from_millis(250);
/// When to come back for a state that nobody can tell now: a takeover may be under way.
const LATER: Duration = Duration::from_secs(1);
/// How long a queue's length is good.
const FRESH: Duration = Duration::from_millis(500);

impl Entry {
    /// How a job stands.
    ///
    /// Errs at once where its owner doesn't say and too much is read for states already.
    pub(super) async fn state(&self, ask: &Ask, job: JobNo, pool: &PoolId) -> Result<Bytes, Error> {
        let shard = self.shard(job, pool)?;
        let state = match self.owner_says(shard, job).await {
            Some(state) => state,
            None => {
                if !self.may_read() {
                    let why = "the owner of the job's shard doesn't say how it stands";
                    return Err(Error::new(Kind::Peer, why).after(LATER));
                }
                let state = self.store_says(ask, shard, job).await?;
                log::info!(target: "entry", did = "asked", job:% = job, shard:% = shard, state:% = state; "State is told from the store.");
                state
            }
        };
        Ok((self.common.forms.state)(state))
    }

    /// What the owner says.
    ///
    /// Guards against members that all read the store for each caller as soon as a busy owner's renewal
    /// is late: one that hears from the store knows by its own table who owns the shard.
    async fn owner_says(&self, shard: ShardNo, job: JobNo) -> Option<State> {
        let (owner, addr) = self.common.view.borrow().owner(shard)?;
        if owner == self.common.me {
            let here = states_here(&self.told, [(shard, job)].into(), false);
            return timeout(OWNER, here).await.ok()??.pop()?;
        }
        self.states.of((owner, addr), shard, job).await
    }

    /// Whether the store may be read for one more state.
    fn may_read(&self) -> bool {
        let rate = self.common.site.borrow().reads;
        let members = self.common.view.borrow().members.len();
        self.reads().admit(rate, members, self.common.now())
    }

    fn reads(&self) -> MutexGuard<'_, Reads> {
        self.reads.lock().expect("no holder panics")
    }

    /// How a job stands by the store.
    ///
    /// Guards against a job that ends between two reads: it leaves the inbox in the write that
    /// brings its progress, so that each read alone may miss it. Only where progress is still
    /// absent after the job was found absent is there no such job.
    async fn store_says(&self, ask: &Ask, shard: ShardNo, job: JobNo) -> Result<State, Error> {
        let progress = shard.progress(job);
        if let Some(item) = self.read(ask, &progress).await? {
            self.reads().settled(1);
            return state(&item);
        }
        if self.read(ask, &shard.job(job)).await?.is_some() {
            self.reads().settled(2);
            return Ok(State::Queued);
        }
        match self.read(ask, &progress).await? {
            Some(item) => state(&item),
            None => Err(Kind::NoJob.into()),
        }
    }

    async fn read(&self, ask: &Ask, key: &str) -> Result<Option<Item>, Error> {
        let item = self.outside.get(key, self.limit(ask)?).await;
        item.map_err(|_| Error::new(Kind::Platform, "the store doesn't answer"))
    }

    /// How many jobs of a queue have not begun, over all shards.
    pub(super) async fn waiting(&self, queue: &str) -> Result<Bytes, Error> {
        let now = self.common.now();
        let known = self.lengths.lock().expect("no holder panics").get(queue).copied();
        let count = match known.filter(|(at, _)| now - *at < FRESH) {
            Some((_, count)) => count,
            None => {
                let count = self.count(queue).await?;
                let mut lengths = self.lengths.lock().expect("no holder panics");
                // Queues that are no longer asked for don't pile up.
                lengths.retain(|_, (at, _)| now - *at < FRESH);
                lengths.insert(queue.into(), (now, count));
                count
            }
        };
        Ok((self.common.forms.waiting)(count))
    }

    async fn count(&self, queue: &str) -> Result<u64, Error> {
        let away = || Error::new(Kind::Peer, "the owner of a shard doesn't answer");
        let mut of: BTreeMap<(Incarnation, SocketAddr), Vec<ShardNo>> = BTreeMap::new();
        {
            let view = self.common.view.borrow();
            for shard in (0..view.shards()).map(ShardNo) {
                of.entry(view.owner(shard).ok_or_else(away)?).or_default().push(shard);
            }
        }
        if of.is_empty() {
            return Err(Error::new(Kind::Stale, "the table isn't known yet"));
        }
        let mut calls = JoinSet::new();
        for ((owner, addr), shards) in of {
            let (queue, here) = (Box::<str>::from(queue), owner == self.common.me);
            let (told, peers) = (self.told.clone(), self.peers.clone());
            calls.spawn(async move {
                if here {
                    let asked = waiting_here(&told, queue, shards.into());
                    return timeout(OWNER, asked).await.ok().flatten();
                }
                peers.waiting(addr, &queue, &shards, OWNER).await
            });
        }
        let mut sum = 0;
        while let Some(count) = calls.join_next().await {
            sum += count.ok().flatten().ok_or_else(away)?;
        }
        Ok(sum)
    }
}

fn state(item: &Item) -> Result<State, Error> {
    let progress = item.value.as_ref().and_then(|v| record::read::<Progress>(v));
    let unread = || Error::new(Kind::Platform, "the job's progress can't be read");
    progress.map(|p| p.state).ok_or_else(unread)
}
