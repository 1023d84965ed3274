//! Reports the state of a job, and how many jobs of a queue have not begun.

use {
    super::{CallerRequest, JobApi},
    crate::{
        decide::reads::ReadBudget,
        error::{Error, Kind},
        ids::{Incarnation, PoolId},
        member_rpc::{local_queue_length, local_states},
        ports::Item,
        shard::{
            record::{self, Progress, ShardNo},
            report::JobReport,
        },
        work::{JobNo, JobState},
    },
    bytes::Bytes,
    std::{
        collections::BTreeMap, future::Future, net::SocketAddr, slice, sync::MutexGuard,
        time::Duration,
    },
    tokio::{task::JoinSet, time::timeout},
};

/// Time limit of a call of a shard's owner.
pub(super) const OWNER_TIMEOUT: Duration = Duration::from_millis(250);
/// Delay after which a caller may repeat a query for a state that is unavailable, for example
/// during a takeover.
const STATE_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Time for which the length of a queue is cached.
const LENGTH_TTL: Duration = Duration::from_millis(500);

impl JobApi {
    /// Returns the state of a job, as the body of the answer.
    ///
    /// If no owner vouches for a state, the store is read. Returns an error at once if the budget of
    /// these reads is used up (see [`ReadBudget`]).
    pub(super) async fn job_state(
        &self,
        request: &CallerRequest,
        job: JobNo,
        pool: &PoolId,
    ) -> Result<Bytes, Error> {
        let shards = self.job_shards(job, pool)?;
        let answer = self.ask_owners(&shards, job).await;
        if let Some((shard, JobReport::Current(state))) = answer {
            log::debug!(target: "entry", did = "reported", job:% = job, shard:% = shard, state:% = state; "State is told from the owner.");
            return Ok((self.common.codec.encode_state)(state));
        }
        let candidates = answer.as_ref().map_or(&*shards, |(shard, _)| slice::from_ref(shard));
        if !self.admit_read(candidates.len()) {
            let why = "the owner of the job's shard did not report its state";
            return Err(Error::new(Kind::Peer, why).with_retry_after(STATE_RETRY_AFTER));
        }
        let (shard, stored) = self.read_state(request, candidates, job).await?;
        let state = answer.map_or(stored, |(_, report)| report.with_stored(stored));
        log::info!(target: "entry", did = "asked", job:% = job, shard:% = shard, state:% = state, stored:% = stored, owner_answered = answer.is_some(); "State is told from the store.");
        Ok((self.common.codec.encode_state)(state))
    }

    /// Returns the state that an owner of these shards reports, with the shard; `None` if none of them
    /// knows the job or answers.
    ///
    /// The owner of the first shard knows nearly every job, so the others are asked only after it.
    async fn ask_owners(&self, shards: &[ShardNo], job: JobNo) -> Option<(ShardNo, JobReport)> {
        let (&first, others) = shards.split_first()?;
        if let Some(report) = self.ask_owner(first, job).await {
            return Some((first, report));
        }
        let mut calls = JoinSet::new();
        for &shard in others {
            let call = self.ask_owner(shard, job);
            calls.spawn(async move { Some((shard, call.await?)) });
        }
        while let Some(answer) = calls.join_next().await {
            if let Ok(Some(found)) = answer {
                return Some(found);
            }
        }
        None
    }

    /// Returns the state that the shard's owner reports; `None` if it doesn't know the job or
    /// doesn't answer.
    fn ask_owner(
        &self,
        shard: ShardNo,
        job: JobNo,
    ) -> impl Future<Output = Option<JobReport>> + use<> {
        let owner = self.common.view.borrow().owner(shard);
        let (me, input) = (self.common.me, self.shard_inputs.clone());
        let queries = self.state_queries.clone();
        async move {
            let (owner, addr) = owner?;
            if owner == me {
                let answer = local_states(&input, [(shard, job)].into());
                return timeout(OWNER_TIMEOUT, answer).await.ok()??.pop()?;
            }
            queries.query((owner, addr), shard, job).await
        }
    }

    /// Returns whether the store may be read for the state of one more job, in this number of shards;
    /// if so, counts the reads against the budget.
    fn admit_read(&self, shards: usize) -> bool {
        let rate = self.common.site.borrow().read_rate;
        let members = self.common.view.borrow().members.len();
        self.read_budget().admit_query(shards, rate, members, self.common.now())
    }

    fn read_budget(&self) -> MutexGuard<'_, ReadBudget> {
        self.read_budget.lock().expect("no holder panics")
    }

    /// Returns the state of a job by its progress and its record in the store, and the shard that has
    /// them.
    ///
    /// A job's record is removed by the same write that adds its progress, so a job that ends between
    /// the two reads would be missed by both. The progress is therefore read again after the record
    /// was found absent; only if it is still absent does the shard not have the job.
    async fn read_state(
        &self,
        request: &CallerRequest,
        shards: &[ShardNo],
        job: JobNo,
    ) -> Result<(ShardNo, JobState), Error> {
        let mut reads = 0;
        for &shard in shards {
            let progress = shard.progress_key(job);
            for key in [progress.clone(), shard.job_key(job), progress.clone()] {
                reads += 1;
                let Some(item) = self.read_item(request, &key).await? else { continue };
                self.read_budget().refund_reads(shards.len(), reads);
                let state = if key == progress { parse_state(&item)? } else { JobState::Queued };
                return Ok((shard, state));
            }
        }
        Err(Kind::NoJob.into())
    }

    async fn read_item(&self, request: &CallerRequest, key: &str) -> Result<Option<Item>, Error> {
        let item = self.services.get(key, self.call_limit(request)?).await;
        item.map_err(|_| Error::new(Kind::Platform, "the store doesn't answer"))
    }

    /// Returns the number of jobs of a queue that have not begun, over all shards, as the body of
    /// the answer.
    pub(super) async fn queue_length(&self, queue: &str) -> Result<Bytes, Error> {
        let now = self.common.now();
        let cached = self.queue_lengths.lock().expect("no holder panics").get(queue).copied();
        let count = match cached.filter(|(at, _)| now - *at < LENGTH_TTL) {
            Some((_, count)) => count,
            None => {
                let count = self.count_waiting(queue).await?;
                let mut lengths = self.queue_lengths.lock().expect("no holder panics");
                // Bounds the cache: queues that are no longer requested are dropped.
                lengths.retain(|_, (at, _)| now - *at < LENGTH_TTL);
                lengths.insert(queue.into(), (now, count));
                count
            }
        };
        Ok((self.common.codec.encode_waiting)(count))
    }

    /// Asks the owners of all shards for the number of jobs that have not begun.
    async fn count_waiting(&self, queue: &str) -> Result<u64, Error> {
        let no_answer = || Error::new(Kind::Peer, "the owner of a shard doesn't answer");
        let mut by_owner: BTreeMap<(Incarnation, SocketAddr), Vec<ShardNo>> = BTreeMap::new();
        {
            let view = self.common.view.borrow();
            for shard in (0..view.shard_count()).map(ShardNo) {
                by_owner.entry(view.owner(shard).ok_or_else(no_answer)?).or_default().push(shard);
            }
        }
        if by_owner.is_empty() {
            return Err(Error::new(Kind::Stale, "the table of shards is not known yet"));
        }
        let mut calls = JoinSet::new();
        for ((owner, addr), shards) in by_owner {
            let (queue, local) = (Box::<str>::from(queue), owner == self.common.me);
            let (input, peers) = (self.shard_inputs.clone(), self.peers.clone());
            calls.spawn(async move {
                if local {
                    let answer = local_queue_length(&input, queue, shards.into());
                    return timeout(OWNER_TIMEOUT, answer).await.ok().flatten();
                }
                peers.queue_length(addr, &queue, &shards, OWNER_TIMEOUT).await
            });
        }
        let mut sum = 0;
        while let Some(count) = calls.join_next().await {
            sum += count.ok().flatten().ok_or_else(no_answer)?;
        }
        Ok(sum)
    }
}

/// Returns the state in a job's progress item.
fn parse_state(item: &Item) -> Result<JobState, Error> {
    let progress = item.value.as_ref().and_then(|v| record::decode::<Progress>(v));
    let unreadable = || Error::new(Kind::Platform, "the job's progress can't be read");
    progress.map(|p| p.state).ok_or_else(unreadable)
}
