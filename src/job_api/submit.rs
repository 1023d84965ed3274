//! Submits jobs.

use {
    super::{CallerRequest, JobApi, outdated},
    crate::{
        error::{Error, Kind},
        member_rpc::{InboxChange, notify_local_shard},
        ports::{Fault, Item, MAX_RECORD_BYTES, MAX_TXN_ROWS, Put, StoreCall, StoreReply, Txn},
        server::hold,
        shard::{
            oversized_step,
            record::{self, JobRecord, ShardNo},
        },
        shared_state::{Config, unix_ms},
        work::{Job, JobNo},
    },
    bytes::Bytes,
    hyper::http::request::Parts,
    std::time::Duration,
    tokio::time::{sleep, timeout},
};

/// Time limit of the call that notifies a shard's owner of a job.
const NOTICE_TIMEOUT: Duration = Duration::from_millis(400);
/// Maximum number of attempts of a write that is refused or whose outcome is unknown.
const MAX_ATTEMPTS: u32 = 2;
/// Maximum number of repeats of a write that failed only because the configuration had changed.
const MAX_CONFIG_RETRIES: u32 = 8;
/// Maximum number of shards on whose contents the write of a job depends, with two rows for each: the
/// job itself and the configuration take a row each.
const MAX_CONDITION_SHARDS: usize = (MAX_TXN_ROWS - 2) / 2;

/// Memory that a job takes until it is stored, relative to that of the job alone: its record and the
/// request with the record's text come to it.
const STORED_FACTOR: usize = 3;

/// Delay after which a caller may retry after a refusal by the store: the store refuses one machine
/// for a short time only, and meanwhile the caller may use another member.
const STORE_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Counts the failed attempts of one write.
#[derive(Default)]
pub(super) struct WriteAttempts {
    /// Number of attempts that were refused or whose outcome is unknown.
    pub(super) failed_count: u32,
    /// Whether a failed attempt may have taken effect or may do so later.
    maybe_applied: bool,
    /// Number of attempts that failed because the configuration had changed.
    config_conflicts: u32,
}

impl WriteAttempts {
    /// Returns the error for the caller if no attempt succeeded.
    ///
    /// A caller that gets status 503 relies on its job never running. So once the outcome of one attempt
    /// is unknown, the answer says so, whatever the other attempts returned.
    pub(super) fn final_error(&self, error: Error) -> Error {
        if self.maybe_applied { Kind::OutcomeUnknown.into() } else { error }
    }
}

/// Why the write of a job was in conflict.
enum ConflictCause {
    /// The job is already stored, in this shard.
    Job(ShardNo),
    /// Another configuration is in force.
    Config,
    /// The cause is neither a stored job nor another configuration.
    Other,
}

impl JobApi {
    /// Submits a job.
    pub(super) async fn submit(
        &self,
        request: &CallerRequest,
        no: JobNo,
        config: &Config,
        head: &Parts,
        body: Bytes,
    ) -> Result<Bytes, Error> {
        let job = (self.common.codec.decode_job)(&body)?;
        drop(body);
        job.check()?;
        hold(head, STORED_FACTOR * job.byte_count())?;
        // A write by a member that is cut off from the store would most likely end with an unknown
        // outcome. After a refusal the caller may submit the job to another member, after an answer
        // that says "unknown" it may not.
        if !self.common.reaches_store() {
            return Err(Error::new(Kind::KvDown, "the store doesn't answer")
                .with_retry_after(STORE_RETRY_AFTER));
        }
        let (begin, steps) = (self.common.now(), job.steps.len());
        let mut tries = WriteAttempts::default();
        match self.write_job(request, no, job, &mut tries).await {
            Ok(shard) => {
                let took_ms = (self.common.now() - begin).as_millis() as u64;
                log::info!(target: "entry", did = "taken", job:% = no, shard:% = shard, steps, config = config.rev, tries = tries.failed_count, moves = tries.config_conflicts, unclear = tries.maybe_applied, took_ms; "Job is taken in.");
                Ok(Bytes::new())
            }
            Err(e) => Err(tries.final_error(e)),
        }
    }

    /// Writes a job to the store, with retries. Returns the shard that has it.
    async fn write_job(
        &self,
        request: &CallerRequest,
        no: JobNo,
        job: Job,
        tries: &mut WriteAttempts,
    ) -> Result<ShardNo, Error> {
        let mut record = JobRecord {
            queue: "".into(),
            submitted_ms: unix_ms(),
            job,
            queue_settings: None,
            customer: None,
        };
        loop {
            // Read again for each attempt: the write must match the configuration in force.
            let config = self.newest_config(request).await?;
            let queue = self.queue(request, &config)?;
            record.customer = self.authorize(request, queue, &config)?;
            check_cap(&record, &config)?;
            (record.queue, record.queue_settings) =
                (queue.name.clone(), Some(Box::new(queue.clone())));
            let shards = self.job_shards(no, &queue.pool)?;
            let (conditions, others) = shards.split_at(shards.len().min(MAX_CONDITION_SHARDS));
            // A job in one of the others was accepted under an earlier configuration, so it is stored.
            if let Some(shard) = self.find_stored(request, others, no).await? {
                return Ok(shard);
            }
            let txn = self.submission_txn(conditions, no, config.rev, &record)?;
            let (limit, sent) = (self.call_limit(request)?, self.common.now());
            match self.services.call_store(&StoreCall::Txn(txn), limit).await {
                Ok(StoreReply::Done(_)) => {
                    self.common.record_confirmed(sent);
                    self.notify_owner(shards[0], no, InboxChange::Job(record));
                    return Ok(shards[0]);
                }
                Ok(StoreReply::Conflict(items)) => {
                    match self.classify_conflict(conditions, no, config.rev, &items) {
                        ConflictCause::Job(shard) => return Ok(shard),
                        ConflictCause::Config if tries.config_conflicts < MAX_CONFIG_RETRIES => {
                            tries.config_conflicts += 1
                        }
                        ConflictCause::Config | ConflictCause::Other => {
                            return Err(Kind::Platform.into());
                        }
                    }
                    self.common.metrics.count_retry(Kind::Conflict);
                }
                Err(Fault::TooLarge) if tries.config_conflicts < MAX_CONFIG_RETRIES => {
                    // The reply to a conflict carries the configuration, which made it too large, even
                    // if only the job was in conflict.
                    if let Some(shard) = self.find_stored(request, &shards, no).await? {
                        return Ok(shard);
                    }
                    self.common.note_newer_config(config.rev);
                    tries.config_conflicts += 1;
                    self.common.metrics.count_retry(Kind::Conflict);
                }
                Err(Fault::TooLarge) => return Err(Kind::Platform.into()),
                Err(fault @ (Fault::Refused | Fault::Unsent)) => {
                    self.wait_retry(&fault, tries).await?;
                }
                _ => {
                    tries.maybe_applied = true;
                    // A job in another shard is in conflict with the next attempt.
                    if let Some(shard) = self.find_stored(request, &shards[..1], no).await? {
                        return Ok(shard);
                    }
                    self.wait_retry(&Fault::Unknown, tries).await?;
                }
            }
        }
    }

    /// Returns the configuration; waits until it is the newest that the store is known to have.
    ///
    /// The reply to a write that expects an older configuration carries the newer one. If that is
    /// large, the replies to many such writes would fill the member's link. Writes therefore wait for
    /// the one read by the task that watches the configuration.
    async fn newest_config(&self, request: &CallerRequest) -> Result<Config, Error> {
        let limit = self.call_limit(request)?;
        let mut known = self.common.config.subscribe();
        let newest = known.wait_for(|c| c.as_ref().is_some_and(|c| !self.common.is_outdated(c)));
        let found = timeout(limit, newest).await.map_err(|_| outdated())?;
        found.map_err(|_| outdated())?.clone().ok_or_else(outdated)
    }

    /// Returns the write that stores a job in the first of these shards, on the conditions that its
    /// number is unused in all of them and that the configuration is unchanged.
    ///
    /// Errs with [`Kind::TooLarge`] if the store can't hold the job's record.
    fn submission_txn(
        &self,
        shards: &[ShardNo],
        no: JobNo,
        rev: u64,
        record: &JobRecord,
    ) -> Result<Txn, Error> {
        let value = record::encode_within(record, MAX_RECORD_BYTES).ok_or_else(|| {
            let why = format!("the job's record has more than {MAX_RECORD_BYTES} bytes");
            Error::new(Kind::TooLarge, why)
        })?;
        let keys = shards.iter().flat_map(|s| [s.job_key(no), s.progress_key(no)]);
        let config = (self.common.codec.config_key.into(), rev);
        let put = Put { key: shards[0].job_key(no), value, lease: 0 };
        Ok(Txn {
            expected_revs: keys.map(|key| (key, 0)).chain([config]).collect(),
            puts: vec![put],
            removed_keys: vec![],
        })
    }

    /// Finds the cause of a conflict by the items that the store returned with it.
    fn classify_conflict(
        &self,
        shards: &[ShardNo],
        no: JobNo,
        rev: u64,
        items: &[Item],
    ) -> ConflictCause {
        let stored = |key: &str| items.iter().any(|i| i.rev != 0 && *i.key == *key);
        let has_job = |s: &&ShardNo| stored(&s.job_key(no)) || stored(&s.progress_key(no));
        if let Some(shard) = shards.iter().find(has_job) {
            return ConflictCause::Job(*shard);
        }
        match items.iter().find(|i| &*i.key == self.common.codec.config_key) {
            Some(config) if config.rev != rev => {
                self.common.apply_config(config);
                ConflictCause::Config
            }
            _ => ConflictCause::Other,
        }
    }

    /// Waits before the next attempt; returns an error if no attempt is left.
    pub(super) async fn wait_retry(
        &self,
        fault: &Fault,
        tries: &mut WriteAttempts,
    ) -> Result<(), Error> {
        let kind = match fault {
            Fault::Refused => Kind::Platform,
            Fault::Unsent => Kind::KvDown,
            Fault::Unknown | Fault::TooLarge | Fault::Bad(_) => Kind::OutcomeUnknown,
        };
        tries.failed_count += 1;
        tries.maybe_applied |= kind == Kind::OutcomeUnknown;
        if tries.failed_count >= MAX_ATTEMPTS {
            let error = Error::new(Kind::Platform, "the store refuses or doesn't answer");
            return Err(error.with_retry_after(STORE_RETRY_AFTER));
        }
        self.common.metrics.count_retry(kind);
        sleep(Duration::from_millis(fastrand::u64(30..=80))).await;
        Ok(())
    }

    /// Notifies the shard's owner of what was stored, without waiting for its answer.
    ///
    /// The owner's watch of the store may hang for seconds while changes are made. Without the notice,
    /// accepted jobs would wait until that watch ends.
    pub(super) fn notify_owner(&self, shard: ShardNo, no: JobNo, change: InboxChange) {
        let Some((owner, addr)) = self.common.view.borrow().owner(shard) else { return };
        if owner == self.common.me {
            return notify_local_shard(&self.shard_inputs, shard, no, change);
        }
        let peers = self.peers.clone();
        tokio::spawn(
            async move { peers.notify_job(addr, shard, no, change, NOTICE_TIMEOUT).await },
        );
    }

    /// Makes an idempotent write, with retries.
    pub(super) async fn repeat_write(
        &self,
        request: &CallerRequest,
        call: &StoreCall,
        tries: &mut WriteAttempts,
    ) -> Result<(), Error> {
        loop {
            let limit = self.call_limit(request)?;
            let fault = match self.services.call_store(call, limit).await {
                Ok(StoreReply::Done(_)) => return Ok(()),
                Err(fault @ (Fault::Refused | Fault::Unsent)) => fault,
                _ => Fault::Unknown,
            };
            self.wait_retry(&fault, tries).await?;
        }
    }
}

/// Returns an error if a step of a job can never start under its customer's cap.
fn check_cap(record: &JobRecord, config: &Config) -> Result<(), Error> {
    let customers = config.queues.customers.as_ref();
    let customer = record.customer.as_ref().and_then(|name| customers?.get(name));
    match customer.and_then(|c| oversized_step(&record.job, &c.cap)) {
        Some(why) => Err(Error::new(Kind::OverCap, why)),
        None => Ok(()),
    }
}
