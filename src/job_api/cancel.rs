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
    std::slice,
};

/// Maximum number of attempts to add a request to those that are stored for the same job.
const MAX_MERGES: u32 = 4;
/// Maximum number of shards in which one write stores a cancel: each takes a condition and a row.
const MAX_CANCEL_SHARDS: usize = MAX_TXN_ROWS / 2;

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
        let (cancelled_in, written) = match &found {
            Found::Over => {
                self.common.metrics.count_cancel("over");
                log::info!(target: "entry", did = "cancel", job:% = no, written = false; "Cancel has no effect; the job is over.");
                return Ok(Bytes::new());
            }
            Found::Job(shard) => {
                (slice::from_ref(shard), self.write_cancel(request, *shard, no, &mut tries).await)
            }
            Found::Nothing => {
                let written = self.write_early_cancel(request, &shards, no, customer, &mut tries);
                (&*shards, written.await)
            }
        };
        let cancel = written.map_err(|e| {
            self.common.metrics.count_cancel("failed");
            tries.final_error(e)
        })?;
        for &shard in cancelled_in {
            let entry = AcknowledgedCancel { shard, job: no, record: cancel.clone() };
            self.common.record_cancel(entry);
            self.notify_owner(shard, no, InboxChange::Cancel(cancel.clone()));
        }
        let known = matches!(found, Found::Job(_));
        self.common.metrics.count_cancel(if known { "written" } else { "no_job" });
        log::info!(target: "entry", did = "cancel", job:% = no, shard:% = cancelled_in[0], known, written = true, tries = tries.failed_count; "Job is cancelled.");
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
    ) -> Result<CancelRecord, Error> {
        let cancel = CancelRecord { asked_ms: unix_ms(), scope: CancelScope::Checked };
        let call = StoreCall::Txn(Txn { puts: vec![put(shard, no, &cancel)], ..Txn::default() });
        self.repeat_write(request, &call, tries).await?;
        Ok(cancel)
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
    ) -> Result<CancelRecord, Error> {
        let scope = CancelScope::Callers(vec![customer.cloned()]);
        let mut cancel = CancelRecord { asked_ms: unix_ms(), scope };
        for part in shards.chunks(MAX_CANCEL_SHARDS) {
            self.merge_cancel(request, part, no, &mut cancel, tries).await?;
        }
        Ok(cancel)
    }

    /// Merges a cancel with those that are stored for the same job in these shards, and stores it.
    async fn merge_cancel(
        &self,
        request: &CallerRequest,
        shards: &[ShardNo],
        no: JobNo,
        cancel: &mut CancelRecord,
        tries: &mut WriteAttempts,
    ) -> Result<(), Error> {
        let mut expected_revs: Vec<_> = shards.iter().map(|s| (s.cancel_key(no), 0)).collect();
        for _ in 0..MAX_MERGES {
            let limit = self.call_limit(request)?;
            let puts = shards.iter().map(|s| put(*s, no, cancel)).collect();
            let txn = Txn { expected_revs: expected_revs.clone(), puts, removed_keys: Vec::new() };
            let fault = match self.services.call_store(&StoreCall::Txn(txn), limit).await {
                Ok(StoreReply::Done(_)) => return Ok(()),
                Ok(StoreReply::Conflict(items)) => {
                    let written = cancel.clone();
                    let mut is_stored = true;
                    for (key, rev) in &mut expected_revs {
                        let item = items.iter().find(|i| i.key == *key);
                        *rev = item.map_or(0, |i| i.rev);
                        let stored = item.and_then(|i| record::decode(i.value.as_ref()?));
                        is_stored &= stored.as_ref() == Some(&written);
                        stored.into_iter().for_each(|s| cancel.merge(s));
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

fn put(shard: ShardNo, no: JobNo, cancel: &CancelRecord) -> Put {
    Put { key: shard.cancel_key(no), value: record::encode(cancel), lease: 0 }
}
