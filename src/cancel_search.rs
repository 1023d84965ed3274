//! Asks all members for the cancels that they have acknowledged, while this member can't read the inboxes
//! of its shards.
//!
//! *Failure:* the store is away, slow, or refuses this member. Nothing may start once a cancel could have
//! been missed, so all waiting work would stand still for as long as that lasts. The members that acknowledge
//! cancels know them without the store. If one of them doesn't answer, it may have acknowledged a cancel,
//! and waiting work stays where it is.

use {
    crate::{
        cancel_log::AcknowledgedCancel,
        member_rpc::PeerClients,
        owned_shards::OwnedShards,
        shard::event::{CancelSource, Event},
        shard_runner::ShardInput,
        shared_state::SharedState,
    },
    async_channel::Sender,
    std::{sync::Arc, time::Duration},
    tokio::{task::JoinSet, time::sleep},
};

/// Interval of checks of how old the views of the inboxes are.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Time limit of the question to each member.
const QUESTION_TIMEOUT: Duration = Duration::from_millis(300);
/// Pause after a question that not all members have answered.
const RETRY_PAUSE: Duration = Duration::from_millis(300);

/// Returns the age of a view of an inbox from which on the members are asked: two thirds of the bound
/// on starts after a cancel. Watches that get their answers keep the view younger.
fn max_age(cancel_lag: Duration) -> Duration {
    cancel_lag * 2 / 3
}

/// Asks the members whenever the view of an inbox is too old.
pub(crate) async fn search_cancels(
    common: Arc<SharedState>,
    peers: PeerClients,
    owned_shards: OwnedShards,
    shard_inputs: Sender<ShardInput>,
) {
    loop {
        sleep(CHECK_INTERVAL).await;
        let (views, sent) = (owned_shards.inbox_views(), common.now());
        let Some(oldest) = views.iter().map(|v| v.2).min() else { continue };
        if sent - oldest < max_age(common.site.borrow().bounds.cancel_lag) {
            continue;
        }
        let (cancels, complete) = ask_members(&common, &peers, sent - oldest).await;
        for cancel in cancels {
            let token = views.iter().find(|v| v.0 == cancel.shard).map(|v| v.1);
            let Some(token) = token else { continue };
            let event = Event::Cancel(cancel.job, cancel.record, CancelSource::Members);
            let _ = shard_inputs.send(ShardInput::Event(cancel.shard, token, event)).await;
        }
        common.metrics.count_call("cancel_search", if complete { "done" } else { "incomplete" });
        if !complete {
            sleep(RETRY_PAUSE).await;
            continue;
        }
        for (shard, token, _) in views {
            owned_shards.report_inbox_seen(shard, token, sent).await;
        }
    }
}

/// Returns the cancels that members have acknowledged in the last `age`, and whether all members have
/// named theirs.
async fn ask_members(
    common: &Arc<SharedState>,
    peers: &PeerClients,
    age: Duration,
) -> (Vec<AcknowledgedCancel>, bool) {
    let view = common.view.borrow().clone();
    let members = view.members_hash();
    // The members count back from when they are asked, which is later.
    let age = age + QUESTION_TIMEOUT;
    let own = common.cancel_log.lock().expect("no holder panics").last(age, common.now());
    let mut questions = JoinSet::new();
    for (_, row) in view.members.iter().filter(|(m, _)| **m != common.me) {
        let (peers, addr) = (peers.clone(), row.control);
        questions.spawn(async move {
            peers.acknowledged_cancels(addr, age, members, QUESTION_TIMEOUT).await
        });
    }
    let answers = questions.join_all().await;
    let complete = own.is_some() && answers.iter().all(Option::is_some);
    let cancels = own.into_iter().chain(answers.into_iter().flatten()).flatten().collect();
    (cancels, complete)
}
