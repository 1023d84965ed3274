//! Cancels jobs.

use {
    super::{CallerRequest, JobApi, STALE_RETRY_AFTER, submit::WriteAttempts},
    crate::{
        cancel_log::AcknowledgedCancel,
        error::{Error, Kind},
        ids::{CustomerId, PoolId},
        member_rpc::InboxChange,
        ports::{Fault, Put, StoreCall, StoreReply, Txn},
        shard::record::{self, CancelRecord, CancelScope, JobRecord, ShardNo},
        shared_state::unix_ms,
        work::{JobNo, JobState},
    },
    bytes::Bytes,
};

/// Maximum number of attempts to add a request to those that are stored for the same job.
const MAX_MERGES: u32 = 4;

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
        let home = shards[0];
        let mut tries = WriteAttempts::default();
        let (shard, known, written) = match self.find_job(request, no, &shards, customer).await? {
            Found::Over => {
                self.common.metrics.count_cancel("over");
                log::info!(target: "entry", did = "cancel", job:% = no, shard:% = home, written = false; "Cancel has no effect; the job is over.");
                return Ok(Bytes::new());
            }
            Found::Job(shard) => {
                (shard, true, self.write_cancel(request, shard, no, &mut tries).await)
            }
            Found::Nothing => {
                let written = self.write_early_cancel(request, home, no, customer, &mut tries);
                (home, false, written.await)
            }
        };
        let cancel = written.map_err(|e| {
            self.common.metrics.count_cancel("failed");
            tries.final_error(e)
        })?;
        let entry = AcknowledgedCancel { shard, job: no, record: cancel.clone() };
        self.common.record_cancel(entry);
        self.notify_owner(shard, no, InboxChange::Cancel(cancel));
        self.common.metrics.count_cancel(if known { "written" } else { "no_job" });
        log::info!(target: "entry", did = "cancel", job:% = no, shard:% = shard, known, written = true, tries = tries.failed_count; "Job is cancelled.");
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
    /// asked for.
    async fn write_early_cancel(
        &self,
        request: &CallerRequest,
        shard: ShardNo,
        no: JobNo,
        customer: Option<&CustomerId>,
        tries: &mut WriteAttempts,
    ) -> Result<CancelRecord, Error> {
        let scope = CancelScope::Callers(vec![customer.cloned()]);
        let (mut cancel, mut rev) = (CancelRecord { asked_ms: unix_ms(), scope }, 0);
        for _ in 0..MAX_MERGES {
            let limit = self.call_limit(request)?;
            let expected_revs = vec![(shard.cancel_key(no), rev)];
            let txn = Txn { expected_revs, puts: vec![put(shard, no, &cancel)], ..Txn::default() };
            let fault = match self.services.call_store(&StoreCall::Txn(txn), limit).await {
                Ok(StoreReply::Done(_)) => return Ok(cancel),
                Ok(StoreReply::Conflict(items)) => {
                    let item = items.first();
                    rev = item.map_or(0, |i| i.rev);
                    match item.and_then(|i| record::decode(i.value.as_ref()?)) {
                        // An earlier attempt has taken effect.
                        Some(stored) if stored == cancel => return Ok(cancel),
                        Some(stored) => cancel.merge(stored),
                        None => {}
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
