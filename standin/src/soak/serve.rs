//! The simulated servers that members call: the store and the advice service with a listener for
//! each member, the workers with a link in front of each, and the VM list.

use {
    crate::{
        Result,
        link::Link,
        listen,
        soak::{
            Options,
            stage::{Stage, State},
        },
        web::Reply,
    },
    bytes::Bytes,
    dogwoodreach::{
        http::answer,
        ids::{Incarnation, WorkerId},
        ports::{StoreCall, StoreReply, Vm, VmState, WorkerCall, WorkerReply},
    },
    hyper::http::request::Parts,
    platform_standin::{Answer, BAD, REFUSED, advice, lists, store, worker},
    standin::site::store::{CallOutcome, Mode},
    std::{
        collections::BTreeMap,
        future::pending,
        net::SocketAddr,
        time::{Duration, Instant},
    },
    tokio::time::{sleep, timeout},
};

/// Interval between a worker's heartbeats in the store.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);
/// A worker without a heartbeat for this long is removed from the list.
const SILENCE_LIMIT: Duration = Duration::from_millis(1_500);
/// Number of heartbeats between two at which another program overwrites the entry of a worker.
const OVERWRITE_PERIOD: u64 = 16;
/// Interval at which a pending hold call checks for ended runs.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Addresses and links of the servers.
pub struct Serving {
    /// Address of the store for each member.
    pub stores: Vec<SocketAddr>,
    /// Address of the advice service for each member.
    pub advice: Vec<SocketAddr>,
    /// Address of the VM list.
    pub vms: SocketAddr,
    /// The link in front of each worker.
    pub links: Vec<Link>,
}

/// Starts all servers.
pub async fn start(stage: &Stage, options: &Options) -> Result<Serving> {
    let any: SocketAddr = ([127, 0, 0, 1], 0).into();
    let (mut stores, mut advices) = (Vec::new(), Vec::new());
    for member in 0..options.members {
        let s = stage.clone();
        let handle = move |head, body| {
            let s = s.clone();
            async move { reply(ask_store(&s, member, &head, &body).await) }
        };
        stores.push(listen(any, handle).await?);
        let s = stage.clone();
        let handle = move |head, body| {
            let s = s.clone();
            async move { reply(ask_advice(&s, member, &head, &body).await) }
        };
        advices.push(listen(any, handle).await?);
    }
    let (mut links, mut addrs) = (Vec::new(), Vec::new());
    for at in 0..options.workers {
        let s = stage.clone();
        let handle = move |head, body| {
            let s = s.clone();
            async move { reply(ask_worker(&s, at, &head, &body).await) }
        };
        let link = Link::new(listen(any, handle).await?);
        addrs.push(link.listen().await?);
        links.push(link);
    }
    let s = stage.clone();
    let vms = listen(any, move |_, _| {
        let all = s.read(|s| {
            let up = |at: &usize| s.world.workers[*at].up;
            let vm = |at: usize| Vm {
                id: format!("v{at}").as_str().into(),
                pool: s.world.workers[at].pool.clone(),
                state: VmState::Up,
                worker: Some(s.world.id(at)),
            };
            (0..s.world.workers.len()).filter(up).map(vm).collect::<Vec<_>>()
        });
        async move { reply(lists::vms(&all)) }
    });
    let vms = vms.await?;
    stage.update(State::write_config);
    tokio::spawn(beat(stage.clone(), addrs));
    Ok(Serving { stores, advice: advices, vms, links })
}

fn reply((status, body): Answer) -> Reply {
    answer(status, body)
}

/// Writes the workers' heartbeats and removes the entries of silent workers.
async fn beat(stage: Stage, addrs: Vec<SocketAddr>) {
    let mut last_heartbeats: BTreeMap<WorkerId, Instant> = BTreeMap::new();
    for count in 1.. {
        stage.update(|s| {
            for (at, addr) in addrs.iter().enumerate() {
                let w = &s.world.workers[at];
                if !w.up || w.cut_off || w.unresponsive || s.store.health == Mode::Down {
                    continue;
                }
                let mut listed = s.world.listed(at);
                listed.addr = *addr;
                last_heartbeats.insert(listed.id.clone(), Instant::now());
                let entry = match is_overwritten(at, addrs.len(), count) {
                    true => lists::foreign(at, &w.pool),
                    false => lists::listed(&listed, count),
                };
                s.store.put(lists::worker_key(&listed.id), entry);
            }
            if s.store.health != Mode::Down {
                put_foreign_entries(s, count);
            }
            let silent = |seen: &Instant| seen.elapsed() > SILENCE_LIMIT;
            last_heartbeats
                .iter()
                .filter(|(_, t)| silent(t))
                .for_each(|(w, _)| s.store.remove(&lists::worker_key(w)));
            last_heartbeats.retain(|_, t| !silent(t));
        });
        sleep(HEARTBEAT_INTERVAL).await;
    }
}

/// Returns whether another program overwrites the entry of a worker at this heartbeat.
fn is_overwritten(worker: usize, workers: usize, count: u64) -> bool {
    count.is_multiple_of(OVERWRITE_PERIOD)
        && count / OVERWRITE_PERIOD % workers as u64 == worker as u64
}

/// Writes the entries of other programs, each of another kind than at the heartbeat before.
fn put_foreign_entries(state: &mut State, count: u64) {
    for no in 0..lists::FOREIGN_KINDS {
        let key = lists::worker_key(&format!("other-{no}").as_str().into());
        let pool = &state.world.workers[0].pool;
        state.store.put(key, lists::foreign(no + count as usize, pool));
    }
}

async fn ask_store(stage: &Stage, member: usize, head: &Parts, body: &Bytes) -> Answer {
    let (path, query) = (head.uri.path(), head.uri.query().unwrap_or(""));
    let Some(call) = store::call(head.method.as_str(), path, query, body) else { return BAD };
    let (fate, delay) =
        stage.update(|s| (s.draw_outcome(member), s.store.draw_delay() + s.store_delay));
    sleep(delay).await;
    match fate {
        CallOutcome::Answered => store::answer(&serve_store(stage, member, call).await),
        CallOutcome::Refused => REFUSED,
        CallOutcome::Unanswered => pending().await,
        CallOutcome::AnswerLost(wait) => {
            let stage = stage.clone();
            tokio::spawn(async move {
                sleep(wait).await;
                stage.update(|s| s.store.call(&call, s.world.now));
            });
            pending().await
        }
    }
}

async fn serve_store(stage: &Stage, member: usize, call: StoreCall) -> StoreReply {
    let end = match &call {
        StoreCall::Watch { wait, .. } => Instant::now() + *wait,
        _ => Instant::now(),
    };
    loop {
        let moved = stage.store_changed.notified();
        let (reply, rev, unserved) = stage.update(|s| {
            let unserved = s.store.health == Mode::Down || s.refusing.contains(&member);
            let reply = if unserved { None } else { s.store.call(&call, s.world.now) };
            (reply, s.store.rev, unserved)
        });
        match reply {
            _ if unserved => return pending().await,
            Some(reply) => return reply,
            None if Instant::now() >= end => return StoreReply::Events(Vec::new(), rev),
            None => {}
        }
        let _ = timeout(end.saturating_duration_since(Instant::now()), moved).await;
    }
}

async fn ask_advice(stage: &Stage, member: usize, head: &Parts, body: &Bytes) -> Answer {
    let Some(call) = advice::call(head.uri.path(), body) else { return BAD };
    let asked = stage.update(|s| {
        let cost = s.world.queue(call.step.job)?.advice?;
        let (now, via) = (s.world.now, Incarnation(member as u64 + 1));
        Some((s.world.advice.accept(via, &call, cost, now), cost.valid, now))
    });
    match asked {
        None => BAD,
        Some((Ok(at), valid, now)) => {
            sleep(at.since(now)).await;
            stage.update(|s| advice::answer(&s.world.advice.answer(&call, valid, s.world.now)))
        }
        Some((Err(dogwoodreach::ports::Fault::Refused), ..)) => advice::BUSY,
        Some((Err(_), ..)) => pending().await,
    }
}

async fn ask_worker(stage: &Stage, at: usize, head: &Parts, body: &Bytes) -> Answer {
    let incarnation =
        head.headers.get(worker::INSTANCE_HEADER).and_then(|v| v.to_str().ok()).unwrap_or("");
    let incarnation = WorkerId::from(incarnation);
    let Some(call) = worker::call(head.uri.path(), body) else { return BAD };
    let token = match &call {
        WorkerCall::Start(start) => start.token,
        WorkerCall::Stop { token, .. }
        | WorkerCall::Pace { token, .. }
        | WorkerCall::Hold { token, .. } => *token,
    };
    let (apart, late) = stage.update(|s| {
        let late = s.late_orders > 0 && s.rng.u32(0..s.late_orders) == 0;
        (s.is_cut_off(token), late.then(|| Duration::from_millis(s.rng.u64(2_000..12_000))))
    });
    if apart {
        return pending().await;
    }
    if let Some(wait) = late {
        let stage = stage.clone();
        tokio::spawn(async move {
            sleep(wait).await;
            stage.update(|s| s.world.call(at, &incarnation, &call, true));
        });
        return pending().await;
    }
    let Some(reply) = stage.update(|s| s.world.call(at, &incarnation, &call, false)) else {
        return pending().await;
    };
    match (&call, &reply) {
        (WorkerCall::Hold { wait, .. }, WorkerReply::Held(held)) if held.ended.is_empty() => {
            worker::answer(&hold(stage, at, &incarnation, token, *wait).await)
        }
        _ => worker::answer(&reply),
    }
}

/// Waits until a run ends at the worker or `wait` is over, and answers the hold call.
async fn hold(
    stage: &Stage,
    at: usize,
    incarnation: &WorkerId,
    token: u64,
    wait: Duration,
) -> WorkerReply {
    let end = Instant::now() + wait;
    while Instant::now() < end && !stage.read(|s| s.world.has_ends(at)) {
        sleep(POLL_INTERVAL).await;
    }
    let held = stage.update(|s| {
        let w = &s.world.workers[at];
        let reachable = w.up
            && !w.cut_off
            && !w.unresponsive
            && s.world.id(at) == *incarnation
            && !s.is_cut_off(token);
        reachable.then(|| s.world.held(at))
    });
    match held {
        Some(held) => WorkerReply::Held(held),
        None => pending().await,
    }
}
