//! Takes jobs in, and cancels them.

use {
    super::{Ask, Entry, SOON},
    crate::{
        common::{Config, unix},
        control::heard_here,
        error::{Error, Kind},
        ids::PoolId,
        ports::{Fault, Item, Put, StoreCall, StoreReply, Txn},
        shard::record::{self, JobRecord, ShardNo},
        work::{Job, JobNo},
    },
    bytes::Bytes,
    std::time::Duration,
    tokio::time::{sleep, timeout},
};

/// How long word to a shard's owner may take.
const WORD: Duration = Duration::from_millis(400);
/// How often a write that was refused or whose answer is unclear is made.
const TRIES: u32 = 2;
/// How often a write is made that only a newer configuration was in the way of.
const MOVES: u32 = 8;

/// When to come back after a refusal: refusals of one machine last for a moment, and another
/// member may be asked meanwhile.
const BACK: Duration = Duration::from_millis(500);

/// What has become of the tries so far.
#[derive(Default)]
struct Tries {
    made: u32,
    /// Whether one of them may have been done, or may be later.
    unclear: bool,
    moves: u32,
}

impl Tries {
    /// The final answer where none succeeded.
    ///
    /// A caller that is told 503 counts on its job never running. So once one try's outcome is
    /// unknown, the answer says so, whatever became of the others.
    fn end(&self, error: Error) -> Error {
        if self.unclear { Kind::OutcomeUnknown.into() } else { error }
    }
}

/// What a conflict means for a submission.
enum Clash {
    /// The job is there already.
    There,
    /// Another configuration is in force.
    Moved,
    /// Neither: another change was first.
    Other,
}

impl Entry {
    /// Takes a job in.
    pub(super) async fn submit(
        &self,
        ask: &Ask,
        no: JobNo,
        config: &Config,
        body: &Bytes,
    ) -> Result<Bytes, Error> {
        if body.len() > config.queues.body {
            return Err(Kind::TooLarge.into());
        }
        let job = (self.common.forms.job)(body)?;
        job.check()?;
        // A member that is cut off from the store would only bring the job into doubt: its caller may
        // ask another one, but not after an answer that says "unknown".
        if !self.common.in_touch() {
            return Err(Error::new(Kind::KvDown, "the store doesn't answer").after(BACK));
        }
        let shard = self.shard(no, &self.queue(ask, config)?.pool)?;
        let (begin, steps) = (self.common.now(), job.steps.len());
        let mut tries = Tries::default();
        match self.write(ask, shard, no, job, &mut tries).await {
            Ok(()) => {
                let took_ms = (self.common.now() - begin).as_millis() as u64;
                log::info!(target: "entry", did = "taken", job:% = no, shard:% = shard, steps, config = config.rev, tries = tries.made, moves = tries.moves, unclear = tries.unclear, took_ms; "Job is taken in.");
                Ok(Bytes::new())
            }
            Err(e) => Err(tries.end(e)),
        }
    }

    async fn write(
        &self,
        ask: &Ask,
        shard: ShardNo,
        no: JobNo,
        job: Job,
        tries: &mut Tries,
    ) -> Result<(), Error> {
        let mut record = JobRecord { queue: "".into(), came: unix(), job, terms: None };
        loop {
            // Again each time: only what is in force when the write is done may let a job in.
            let config = self.newest(ask).await?;
            let queue = self.queue(ask, &config)?;
            (record.queue, record.terms) = (queue.name.clone(), Some(Box::new(queue.clone())));
            let txn = self.entrance(shard, no, config.rev, &record);
            let (limit, sent) = (self.limit(ask)?, self.common.now());
            match self.outside.store(&StoreCall::Txn(txn), limit).await {
                Ok(StoreReply::Done(_)) => {
                    self.common.confirm(sent);
                    self.tell(shard, no, Some(record));
                    return Ok(());
                }
                Ok(StoreReply::Conflict(items)) => {
                    match self.clash(shard, no, config.rev, &items) {
                        Clash::There => return Ok(()),
                        Clash::Moved if tries.moves < MOVES => tries.moves += 1,
                        Clash::Moved | Clash::Other => return Err(Kind::Platform.into()),
                    }
                    self.common.metrics.retry(Kind::Conflict);
                }
                Err(Fault::TooLarge) if tries.moves < MOVES => {
                    // The answer has the configuration also where only the job was in the way.
                    if self.stored(ask, shard, no).await? {
                        return Ok(());
                    }
                    self.common.overtake(config.rev);
                    tries.moves += 1;
                    self.common.metrics.retry(Kind::Conflict);
                }
                Err(Fault::TooLarge) => return Err(Kind::Platform.into()),
                Err(fault @ (Fault::Refused | Fault::Unsent)) => {
                    self.again(&fault, tries).await?;
                }
                _ => {
                    tries.unclear = true;
                    if self.stored(ask, shard, no).await? {
                        return Ok(());
                    }
                    self.again(&Fault::Unknown, tries).await?;
                }
            }
        }
    }

    /// The configuration, once it is the newest that the store is known to have.
    ///
    /// Guards against a member whose link carries nothing but the configuration, over and over: where
    /// that is large, so is the answer to each write that expects an older one. The writes that come
    /// meanwhile wait for the one reading of the duty that follows it.
    async fn newest(&self, ask: &Ask) -> Result<Config, Error> {
        let limit = self.limit(ask)?;
        let mut known = self.common.config.subscribe();
        let newest = known.wait_for(|c| c.as_ref().is_some_and(|c| !self.common.overtakes(c)));
        let late = || Error::new(Kind::Stale, "a newer configuration is not known yet").after(SOON);
        let found = timeout(limit, newest).await.map_err(|_| late())?;
        found.map_err(|_| late())?.clone().ok_or_else(late)
    }

    /// The write that takes a job in, if there is none of its number and the queue is still there.
    fn entrance(&self, shard: ShardNo, no: JobNo, rev: u64, record: &JobRecord) -> Txn {
        let (key, value) = (shard.job(no), record::write(record));
        Txn {
            expect: vec![
                (key.clone(), 0),
                (shard.progress(no), 0),
                (self.common.forms.config.into(), rev),
            ],
            puts: vec![Put { key, value, lease: 0 }],
            remove: vec![],
        }
    }

    fn clash(&self, shard: ShardNo, no: JobNo, rev: u64, items: &[Item]) -> Clash {
        let (job, progress) = (shard.job(no), shard.progress(no));
        if items.iter().any(|i| i.rev != 0 && (i.key == job || i.key == progress)) {
            return Clash::There;
        }
        match items.iter().find(|i| &*i.key == self.common.forms.config) {
            Some(config) if config.rev != rev => {
                self.common.take_config(config);
                Clash::Moved
            }
            _ => Clash::Other,
        }
    }

    /// Waits for the next try, or errs where there is none.
    async fn again(&self, fault: &Fault, tries: &mut Tries) -> Result<(), Error> {
        let kind = match fault {
            Fault::Refused => Kind::Platform,
            Fault::Unsent => Kind::KvDown,
            Fault::Unknown | Fault::TooLarge | Fault::Bad(_) => Kind::OutcomeUnknown,
        };
        tries.made += 1;
        if tries.made >= TRIES {
            let error = Error::new(Kind::Platform, "the store refuses or doesn't answer");
            return Err(error.after(BACK));
        }
        self.common.metrics.retry(kind);
        sleep(Duration::from_millis(fastrand::u64(30..=80))).await;
        Ok(())
    }

    /// Cancels a job.
    pub(super) async fn cancel(&self, ask: &Ask, no: JobNo, pool: &PoolId) -> Result<Bytes, Error> {
        let shard = self.shard(no, pool)?;
        let silent = |_| Error::new(Kind::Platform, "the store refuses or doesn't answer");
        let limit = self.limit(ask)?;
        if self.outside.get(&shard.job(no), limit).await.map_err(silent)?.is_none() {
            let there = self.stored(ask, shard, no).await?;
            log::info!(target: "entry", did = "cancel", job:% = no, shard:% = shard, there, written = false; "Cancel has nothing to do.");
            return if there { Ok(Bytes::new()) } else { Err(Kind::NoJob.into()) };
        }
        let put = Put { key: shard.cancel(no), value: Bytes::from_static(b"{}"), lease: 0 };
        let call = StoreCall::Txn(Txn { puts: vec![put], ..Txn::default() });
        let mut tries = Tries::default();
        match self.put(ask, &call, &mut tries).await {
            Ok(()) => {
                self.tell(shard, no, None);
                log::info!(target: "entry", did = "cancel", job:% = no, shard:% = shard, tries = tries.made; "Job is cancelled.");
                Ok(Bytes::new())
            }
            Err(e) => Err(tries.end(e)),
        }
    }

    /// Tells the shard's owner of what was stored, without waiting for it.
    ///
    /// Guards against a watch of the store that hears nothing for seconds while changes are made:
    /// jobs that were taken in would wait until it is cut, and their callers with them.
    fn tell(&self, shard: ShardNo, no: JobNo, record: Option<JobRecord>) {
        let Some((owner, addr)) = self.common.view.borrow().owner(shard) else { return };
        if owner == self.common.me {
            return heard_here(&self.told, shard, no, record);
        }
        let peers = self.peers.clone();
        tokio::spawn(async move { peers.heard(addr, shard, no, record, WORD).await });
    }

    /// Makes a write that may be made twice.
    async fn put(&self, ask: &Ask, call: &StoreCall, tries: &mut Tries) -> Result<(), Error> {
        loop {
            let limit = self.limit(ask)?;
            let fault = match self.outside.store(call, limit).await {
                Ok(StoreReply::Done(_)) => return Ok(()),
                Err(fault @ (Fault::Refused | Fault::Unsent)) => fault,
                _ => Fault::Unknown,
            };
            tries.unclear |= fault == Fault::Unknown;
            self.again(&fault, tries).await?;
        }
    }
}
