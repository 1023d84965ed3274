//! The calls to the store by which members take over and release shards and create the layout.

use {
    crate::{
        ids::Incarnation,
        layout::{ListMonitor, create_layout},
        member_table::{Takeover, TakeoverOutcome, member_key},
        membership::RENEW_INTERVAL,
        ports::{Fault, Item, Put, Rev, StoreCall, StoreReply, Txn},
        prefix_watch::Backoff,
        service_clients::{CALL_TIMEOUT, ServiceClients},
        shard::record::{self, CommitRow, LAYOUT_KEY, OwnerRow, ShardNo},
        shared_state::SharedState,
        work::ListedWorker,
    },
    std::net::SocketAddr,
    tokio::time::sleep,
};

/// Logs the outcome of a takeover.
pub(crate) fn log_takeover(me: Incarnation, takeover: &Takeover, outcome: &TakeoverOutcome) {
    let token = if let TakeoverOutcome::Done(_, token) = outcome { *token } else { takeover.token };
    log::info!(target: "table", did = "taken_over", shard:% = takeover.shard, member:% = me, token, row = takeover.owner_rev, answer = outcome.name(); "Takeover was tried.");
}

/// Writes that a shard has no owner. If the outcome of an attempt is unknown, the next one settles
/// it.
pub(crate) async fn write_release(
    services: &ServiceClients,
    shard: ShardNo,
    rev: Rev,
    row: OwnerRow,
    attempts: u32,
) {
    let key = shard.owner_key();
    let value = record::encode(&OwnerRow { owner: None, token: row.token, control: None });
    let put = Put { key: key.clone(), value, lease: 0 };
    let txn = Txn { expected_revs: vec![(key, rev)], puts: vec![put], removed_keys: vec![] };
    let call = StoreCall::Txn(txn);
    let mut pause = Backoff::default();
    for attempt in 1..=attempts {
        match services.call_store(&call, CALL_TIMEOUT).await {
            // If the row has changed, an earlier attempt has succeeded or another member owns the
            // shard.
            Ok(StoreReply::Done(_) | StoreReply::Conflict(_)) => return,
            answer if attempt == attempts => {
                // Another member takes the shard over once this member's row has ended.
                log::warn!(target: "table", shard:% = shard, answer:? = answer; "Shard could not be released.");
            }
            _ => pause.wait().await,
        }
    }
}

/// Writes the layout for the listed workers, once their list has stopped growing.
pub(crate) async fn make_layout(services: &ServiceClients, common: &SharedState) {
    let mut monitor = ListMonitor::new(common.now());
    let mut workers = vec![];
    loop {
        if let Ok((items, _)) = services.read_prefix(common.codec.worker_prefix, false).await {
            workers = items;
        }
        if common.view.borrow().layout.is_some()
            || monitor.record_count(workers.len(), common.now())
        {
            break;
        }
        sleep(RENEW_INTERVAL).await;
    }
    let read = |item: &Item| {
        let id = item.key.strip_prefix(common.codec.worker_prefix)?;
        (common.codec.decode_listed)(id, item.value.as_ref()?).ok()
    };
    let workers: Vec<ListedWorker> = workers.iter().filter_map(read).collect();
    let secret = format!("{:016x}{:016x}", fastrand::u64(..), fastrand::u64(..)).into();
    let layout = create_layout(&workers, secret);
    let (count, shards) = (workers.len(), layout.shards);
    let value = record::encode(&layout);
    let put = Put { key: LAYOUT_KEY.into(), value, lease: 0 };
    let txn =
        Txn { expected_revs: vec![(LAYOUT_KEY.into(), 0)], puts: vec![put], removed_keys: vec![] };
    // The outcome doesn't matter here: the watch delivers the layout that is in force.
    let _ = services.call_store(&StoreCall::Txn(txn), CALL_TIMEOUT).await;
    log::info!(target: "table", shards, workers = count; "A layout was written, unless another member was first.");
}

/// Writes a takeover. If the outcome is unknown, reads the owner row back.
pub(crate) async fn take_over(
    services: &ServiceClients,
    me: Incarnation,
    control: Option<SocketAddr>,
    takeover: &Takeover,
) -> TakeoverOutcome {
    let Ok(commit) = services.get(&takeover.shard.commit_key(), CALL_TIMEOUT).await else {
        return TakeoverOutcome::NotWritten;
    };
    let row: Option<CommitRow> =
        commit.as_ref().and_then(|c| record::decode(c.value.as_ref().map_or(&[], |v| &v[..])));
    let token = takeover.token.max(row.map_or(0, |r| r.token) + 1);
    let put = |key, value| Put { key, value, lease: 0 };
    // Guards against taking over from an owner that has registered again without this member having
    // seen it: that owner's lease is valid, and it would continue to act as the owner.
    let former_row = takeover.former_owner.map(|former| (member_key(former), 0));
    let rows = [
        (takeover.shard.owner_key(), takeover.owner_rev),
        (takeover.shard.commit_key(), commit.map_or(0, |c| c.rev)),
    ];
    let txn = Txn {
        expected_revs: rows.into_iter().chain(former_row).collect(),
        puts: vec![
            put(
                takeover.shard.owner_key(),
                record::encode(&OwnerRow { owner: Some(me), token, control }),
            ),
            put(takeover.shard.commit_key(), record::encode(&CommitRow { token, number: 0 })),
        ],
        removed_keys: vec![],
    };
    match services.call_store(&StoreCall::Txn(txn), CALL_TIMEOUT).await {
        Ok(StoreReply::Done(rev)) => TakeoverOutcome::Done(rev, token),
        Ok(StoreReply::Conflict(items)) => TakeoverOutcome::Conflict(items),
        Err(Fault::Refused | Fault::Unsent) => TakeoverOutcome::NotWritten,
        _ => TakeoverOutcome::Unclear(
            services.get(&takeover.shard.owner_key(), CALL_TIMEOUT).await.ok().flatten(),
        ),
    }
}
