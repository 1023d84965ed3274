//! Asks all members for the cancels that they have acknowledged, while this member can't read the inboxes
//! of its shards: the store is away or slow, or refuses this member.
//!
//! Nothing may start once a cancel could have been missed, so all waiting work would stand still for as
//! long as that lasts. The members that acknowledge cancels know them without the store. If one of them
//! doesn't answer, it may have acknowledged a cancel, and waiting work stays where it is.

use {
    crate::{
        cancel_log::AcknowledgedCancel,
        ids::Incarnation,
        member_rpc::PeerClients,
        owned_shards::{InboxView, OwnedShards},
        shard::{
            event::{CancelSource, Event},
            record::ShardNo,
        },
        shard_runner::ShardInput,
        shared_state::SharedState,
        time::Time,
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
        let Some(oldest) = views.iter().map(|v| v.seen).min() else { continue };
        if sent - oldest < max_age(common.site.borrow().bounds.cancel_lag) {
            continue;
        }
        let shards: Arc<[ShardNo]> = views.iter().map(|v| v.shard).collect();
        let answers = ask_members(&common, &peers, shards, sent - oldest).await;
        let complete = is_complete(&common, &answers, oldest);
        common.metrics.count_call("cancel_search", if complete { "done" } else { "incomplete" });
        for cancel in answers.into_iter().filter_map(|a| a.cancels).flatten() {
            let Some(view) = views.iter().find(|v| v.shard == cancel.shard) else { continue };
            let event = Event::Cancel(cancel.job, cancel.record, CancelSource::Members);
            let _ = shard_inputs.send(ShardInput::Event(view.shard, view.token, event)).await;
        }
        if !complete {
            sleep(RETRY_PAUSE).await;
            continue;
        }
        for InboxView { shard, token, .. } in views {
            owned_shards.report_inbox_seen(shard, token, sent).await;
        }
    }
}

/// The answer of one member.
struct Answer {
    member: Incarnation,
    /// The cancels that it has acknowledged; `None` if it can't name them all or doesn't answer.
    cancels: Option<Vec<AcknowledgedCancel>>,
}

/// Asks all members of the table for the cancels that they have acknowledged in the last `age`.
async fn ask_members(
    common: &Arc<SharedState>,
    peers: &PeerClients,
    shards: Arc<[ShardNo]>,
    age: Duration,
) -> Vec<Answer> {
    let view = common.view.borrow().clone();
    let hash = view.members_hash();
    // The members count back from when they are asked, which is later.
    let age = age + QUESTION_TIMEOUT;
    let mut questions = JoinSet::new();
    for (member, row) in view.members.iter().filter(|(m, _)| **m != common.me) {
        let (peers, shards) = (peers.clone(), shards.clone());
        let (member, addr) = (*member, row.control);
        questions.spawn(async move {
            let limit = QUESTION_TIMEOUT;
            let cancels = peers.acknowledged_cancels(member, addr, &shards, age, hash, limit).await;
            Answer { member, cancels }
        });
    }
    let mut answers = questions.join_all().await;
    let cancels = common.last_cancels(&shards, age);
    answers.push(Answer { member: common.me, cancels });
    answers
}

/// Returns whether the answers name all cancels that were acknowledged since `oldest`; logs why not.
fn is_complete(common: &SharedState, answers: &[Answer], oldest: Time) -> bool {
    let lacking: Vec<Incarnation> =
        answers.iter().filter(|a| a.cancels.is_none()).map(|a| a.member).collect();
    // A member that is gone may have acknowledged cancels that the view of the inbox lacks.
    let is_gone = common.member_gone_at() >= oldest;
    if let Some(first) = lacking.first() {
        log::info!(target: "owner", did = "unsearched", members = answers.len(), lacking = lacking.len(), first:% = first; "Members don't name all cancels that they have acknowledged.");
    } else if is_gone {
        log::info!(target: "owner", did = "unsearched", members = answers.len(), lacking = 0; "A member that may have acknowledged cancels is gone.");
    }
    lacking.is_empty() && !is_gone
}
