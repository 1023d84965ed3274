//! Cancels jobs.

use {
    super::{CallerRequest, JobApi, STALE_RETRY_AFTER, submit::WriteAttempts},
    crate::{
        cancel_log::AcknowledgedCancel,
        error::{Error, Kind},
        ids::{CustomerId, PoolId},
        member_rpc::InboxChange,
        ports::{Fault, MAX_TXN_ROWS, Put, StoreCall, StoreReply, Txn},
        shard::record::{self, CancelRecord, CancelScope, JobRecord, ShardNo},
        shared_state::unix_ms,
        work::{JobNo, JobState},
    },
    bytes::Bytes,
};

/// Maximum number of attempts to add a request to those that are stored for the same job.
const MAX_MERGES: u32 = 4;
/// Maximum number of shards in which one write stores a cancel: each takes a condition and a row.
const MAX_CANCEL_SHARDS: usize = MAX_TXN_ROWS / 2;

/// The cancel of a job, as a shard's inbox has it.
struct ShardCancel {
    shard: ShardNo,
    record: CancelRecord,
}

/// What the store has of a job that is to be cancelled.
enum Found {
    /// The record of an unfinished job of the caller, in this shard.
    Job(ShardNo),
    /// Nothing, or nothing yet.
    Nothing,
    /// The job is over.
    Over,
}

impl JobApi {
    /// Cancels a job for its customer. To other customers there is no such job.
    ///
    /// The cancel is also stored if the store has no such job: the write of the job may still be on its
    /// way. Without the stored cancel, the job would run although its caller was told that there is none.
    pub(super) async fn cancel(
        &self,
        request: &CallerRequest,
        no: JobNo,
        pool: &PoolId,
        customer: Option<&CustomerId>,
    ) -> Result<Bytes, Error> {
        // An owner without a store asks the members of the table for the cancels that they acknowledge.
        if !self.common.view.borrow().members.contains_key(&self.common.me) {
            return Err(Error::new(Kind::Stale, "this member is not in the table")
                .with_retry_after(STALE_RETRY_AFTER));
        }
        let shards = self.job_shards(no, pool)?;
        let mut tries = WriteAttempts::default();
        let found = self.find_job(request, no, &shards, customer).await?;
        let written = match found {
            Found::Over => {
                self.common.metrics.count_cancel("over");
                log::info!(target: "entry", did = "cancel", job:% = no, shard:% = shards[0], written = false; "Cancel has no effect; the job is over.");
                return Ok(Bytes::new());
            }
            Found::Job(shard) => self.write_cancel(request, shard, no, &mut tries).await,
            Found::Nothing => {
                self.write_early_cancel(request, &shards, no, customer, &mut tries).await
            }
        };
        let cancels = written.map_err(|e| {
            self.common.metrics.count_cancel("failed");
            tries.final_error(e)
        })?;
        let known = matches!(found, Found::Job(_));
        for ShardCancel { shard, record } in cancels {
            let entry = AcknowledgedCancel { shard, job: no, record: record.clone() };
            self.common.record_cancel(entry);
            self.notify_owner(shard, no, InboxChange::Cancel(record));
            log::info!(target: "entry", did = "cancel", job:% = no, shard:% = shard, known, written = true, tries = tries.failed_count; "Job is cancelled.");
        }
        self.common.metrics.count_cancel(if known { "written" } else { "no_job" });
        if known { Ok(Bytes::new()) } else { Err(Kind::NoJob.into()) }
    }

    /// Looks for a job in the shards that may have it.
    async fn find_job(
        &self,
        request: &CallerRequest,
        no: JobNo,
        shards: &[ShardNo],
        customer: Option<&CustomerId>,
    ) -> Result<Found, Error> {
        for &shard in shards {
            match self.find_job_in(request, no, shard, customer).await? {
                Found::Nothing => {}
                found => return Ok(found),
            }
        }
        Ok(Found::Nothing)
    }

    async fn find_job_in(
        &self,
        request: &CallerRequest,
        no: JobNo,
        shard: ShardNo,
        customer: Option<&CustomerId>,
    ) -> Result<Found, Error> {
        let unanswered = |_| Error::new(Kind::Platform, "the store refuses or doesn't answer");
        let limit = self.call_limit(request)?;
        let item = self.services.get(&shard.job_key(no), limit).await.map_err(unanswered)?;
        let Some(item) = item else {
            // A job that has been stored since the first reading has not been compared with the caller.
            let state = self.stored_state(request, shard, no).await?;
            return Ok(if state.is_some_and(JobState::is_final) {
                Found::Over
            } else {
                Found::Nothing
            });
        };
        let record: Option<JobRecord> = item.value.as_ref().and_then(|v| record::decode(v));
        let owner = record.and_then(|r| r.customer);
        if owner.is_some() && owner.as_ref() != customer {
            return Err(Error::new(Kind::NoJob, "the job belongs to another customer"));
        }
        Ok(Found::Job(shard))
    }

    /// Stores the cancel of a job that was found to be the caller's.
    async fn write_cancel(
        &self,
        request: &CallerRequest,
        shard: ShardNo,
        no: JobNo,
        tries: &mut WriteAttempts,
    ) -> Result<Box<[ShardCancel]>, Error> {
        let record = CancelRecord { asked_ms: unix_ms(), scope: CancelScope::Checked };
        let cancel = ShardCancel { shard, record };
        let call = StoreCall::Txn(Txn { puts: vec![cancel.put(no)], ..Txn::default() });
        self.repeat_write(request, &call, tries).await?;
        Ok([cancel].into())
    }

    /// Stores the cancel of a job that the store doesn't have, together with those that other callers have
    /// asked for, in each of these shards.
    ///
    /// The job may be accepted in any of them: its queue may move to another pool before its write is
    /// done.
    async fn write_early_cancel(
        &self,
        request: &CallerRequest,
        shards: &[ShardNo],
        no: JobNo,
        customer: Option<&CustomerId>,
        tries: &mut WriteAttempts,
    ) -> Result<Box<[ShardCancel]>, Error> {
        let scope = CancelScope::Callers(vec![customer.cloned()]);
        let record = CancelRecord { asked_ms: unix_ms(), scope };
        let in_shard = |shard: &ShardNo| ShardCancel { shard: *shard, record: record.clone() };
        let mut cancels: Box<[ShardCancel]> = shards.iter().map(in_shard).collect();
        for part in cancels.chunks_mut(MAX_CANCEL_SHARDS) {
            self.merge_cancels(request, no, part, tries).await?;
        }
        Ok(cancels)
    }

    /// Merges each cancel with the one that its shard has for the job, and stores them.
    async fn merge_cancels(
        &self,
        request: &CallerRequest,
        no: JobNo,
        cancels: &mut [ShardCancel],
        tries: &mut WriteAttempts,
    ) -> Result<(), Error> {
        let mut expected_revs: Vec<_> =
            cancels.iter().map(|c| (c.shard.cancel_key(no), 0)).collect();
        for _ in 0..MAX_MERGES {
            let limit = self.call_limit(request)?;
            let puts = cancels.iter().map(|c| c.put(no)).collect();
            let txn = Txn { expected_revs: expected_revs.clone(), puts, removed_keys: vec![] };
            let fault = match self.services.call_store(&StoreCall::Txn(txn), limit).await {
                Ok(StoreReply::Done(_)) => return Ok(()),
                Ok(StoreReply::Conflict(items)) => {
                    let mut is_stored = true;
                    for (cancel, (key, rev)) in cancels.iter_mut().zip(&mut expected_revs) {
                        let item = items.iter().find(|i| i.key == *key);
                        *rev = item.map_or(0, |i| i.rev);
                        let stored = item.and_then(|i| record::decode(i.value.as_ref()?));
                        if stored.as_ref() != Some(&cancel.record) {
                            is_stored = false;
                            stored.into_iter().for_each(|s| cancel.record.merge(s));
                        }
                    }
                    if is_stored {
                        // An earlier attempt has taken effect.
                        return Ok(());
                    }
                    continue;
                }
                Err(fault @ (Fault::Refused | Fault::Unsent)) => fault,
                _ => Fault::Unknown,
            };
            self.wait_retry(&fault, tries).await?;
        }
        Err(Error::new(Kind::Platform, "the cancel of the job changes all the time"))
    }
}

impl ShardCancel {
    fn put(&self, no: JobNo) -> Put {
        Put { key: self.shard.cancel_key(no), value: record::encode(&self.record), lease: 0 }
    }
}
