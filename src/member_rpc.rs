//! Calls between members over JSON-RPC: the server that answers other members, and their clients.
//!
//! A member asks the owner of a shard for the states of jobs, for the number of jobs that wait in a
//! queue, and for the tasks on its workers; it tells the owner of a job that was stored or
//! cancelled; owners tell each other what customers have in their shards; and a member asks other members to call the store or the advice service for it. Without
//! these calls members would read the store for each caller's question, a job would wait until a
//! watch brings it to its shard's owner, and a member that is cut off from the store could not
//! serve its callers.

use {
    crate::{
        cancel_log::AcknowledgedCancel,
        gate::Gate,
        ids::{Incarnation, WorkerId},
        ports::{Advice, AdviceCall, Fault, WireRequest},
        relay::{self, RelayReply, RelayRequest, RelayedCall, Relayer},
        rpc,
        rpc_clients::{CallFailure, RpcClients},
        service_clients::ServiceClients,
        shard::{
            Occupancy, PoolWait, UsageReport,
            event::{CancelSource, Event},
            record::{CancelRecord, JobRecord, ShardNo},
            report::JobReport,
        },
        shard_runner::ShardInput,
        shared_state::SharedState,
        time::millis,
        work::{JobNo, StepKey},
    },
    async_channel::Sender,
    jsonrpsee::{RpcModule, types::ErrorObjectOwned},
    serde::{Serialize, de::DeserializeOwned},
    std::{
        future::pending,
        io,
        net::{SocketAddr, TcpListener},
        sync::Arc,
        time::{Duration, Instant},
    },
    tokio::sync::oneshot,
};

mod messages;

use messages::{
    AdviseReply, AdviseRequest, CancelsReply, CancelsRequest, HeldRequest, JobNotice,
    QueueLengthRequest, StatesRequest, UsageNotice,
};

/// Upper bound of the time limits that other members ask for.
const MAX_TIMEOUT: Duration = Duration::from_secs(30);
/// Error code for invalid parameters, from the range that JSON-RPC reserves for applications.
const BAD_PARAMS: i32 = -32000;

/// Service clients for one thread; other members relay calls that the store doesn't serve here.
pub(crate) fn relaying_clients(common: &Arc<SharedState>, peers: &PeerClients) -> ServiceClients {
    let peers = peers.clone();
    let relayer: Relayer = Arc::new(move |wire, repeats, limit| {
        let peers = peers.clone();
        Box::pin(async move { peers.relay(wire, repeats, limit).await })
    });
    common.direct_clients().with_relay(common.store_routes.clone(), relayer)
}

/// Serves other members until the process ends.
///
/// The secret that authenticates them is part of the layout, so no member is served before the
/// layout is known.
pub(crate) async fn serve(
    common: Arc<SharedState>,
    listener: TcpListener,
    input: Sender<ShardInput>,
) -> io::Result<()> {
    let mut views = common.view.subscribe();
    let secret = match views.wait_for(|v| v.layout.is_some()).await {
        Ok(view) => view.layout.as_ref().map(|l| l.secret.clone()).unwrap_or_default(),
        Err(_) => return Ok(()),
    };
    let gate = Gate::new(&secret, common.metrics.clone());
    let module = rpc_module(&common, input).map_err(io::Error::other)?;
    let clients = common.site.borrow().clients;
    let buffer = clients.peer_buffer_bytes;
    let limits = rpc::limits(clients.peer_connections, clients.held_bytes, buffer);
    // The server runs until the process ends: other members call a stopping member until its
    // shards have moved.
    rpc::serve(listener, "members", gate, module, limits, pending()).await
}

fn rpc_module(
    common: &Arc<SharedState>,
    input: Sender<ShardInput>,
) -> Result<RpcModule<()>, jsonrpsee::core::RegisterMethodError> {
    let mut module = RpcModule::new(());
    let (services, common_clone) = (common.direct_clients(), common.clone());
    module.register_async_method("advise", move |params, _, _| {
        let (services, common) = (services.clone(), common_clone.clone());
        async move {
            let request: AdviseRequest = params.one()?;
            let job: JobNo = request.job.parse().map_err(bad_params)?;
            let step = StepKey { job, time: request.time, step: request.step };
            let call = AdviceCall { step, workers: request.workers };
            let limit = Duration::from_millis(request.limit_ms).min(MAX_TIMEOUT);
            let expected = Duration::from_millis(request.takes_ms).min(MAX_TIMEOUT);
            let answer = advise_locally(&common, &services, &call, expected, limit).await;
            Ok::<_, ErrorObjectOwned>(AdviseReply::from(answer))
        }
    })?;
    let (services, routes) = (common.direct_clients(), common.store_routes.clone());
    module.register_async_method("relay", move |params, _, _| {
        let (services, routes) = (services.clone(), routes.clone());
        async move {
            let request: RelayRequest = params.one()?;
            if routes.is_direct_lost() {
                return Ok::<_, ErrorObjectOwned>(RelayReply::Unsent);
            }
            let limit = Duration::from_millis(request.limit_ms).min(MAX_TIMEOUT);
            let repeats = request.repeats;
            let relayed = services.relay(request.call, repeats, limit);
            // If this member has lost its connection to the store too, a watch must not wait here.
            Ok(tokio::select! {
                answer = relayed => RelayReply::from(answer),
                () = routes.wait_direct_lost(), if repeats => RelayReply::Unknown,
            })
        }
    })?;
    let states_input = input.clone();
    module.register_async_method("states", move |params, _, _| {
        let input = states_input.clone();
        async move {
            let request: StatesRequest = params.one()?;
            let read = |(shard, job): &(ShardNo, Box<str>)| Ok((*shard, job.parse()?));
            let jobs: Result<Box<[_]>, crate::Error> = request.jobs.iter().map(read).collect();
            Ok::<_, ErrorObjectOwned>(local_states(&input, jobs.map_err(bad_params)?).await)
        }
    })?;
    let notice_input = input.clone();
    module.register_async_method("heard", move |params, _, _| {
        let input = notice_input.clone();
        async move {
            let request: JobNotice = params.one()?;
            let job: JobNo = request.job.parse().map_err(bad_params)?;
            let change = match request.record {
                Some(record) => InboxChange::Job(record),
                None => InboxChange::Cancel(request.cancel),
            };
            notify_local_shard(&input, request.shard, job, change);
            Ok::<_, ErrorObjectOwned>(())
        }
    })?;
    let cancels_common = common.clone();
    module.register_async_method("cancels", move |params, _, _| {
        let common = cancels_common.clone();
        async move { Ok::<_, ErrorObjectOwned>(local_cancels(&common, &params.one()?)) }
    })?;
    let usage_input = input.clone();
    module.register_async_method("usage", move |params, _, _| {
        let input = usage_input.clone();
        async move {
            let notice: UsageNotice<Box<[UsageReport]>> = params.one()?;
            let event = Event::Usage(notice.reports.into());
            // A report that a full queue drops is obsolete with the next one.
            let _ = input.try_send(ShardInput::Broadcast(event));
            Ok::<_, ErrorObjectOwned>(())
        }
    })?;
    let held_input = input.clone();
    module.register_async_method("held", move |params, _, _| {
        let input = held_input.clone();
        async move {
            let request: HeldRequest = params.one()?;
            Ok::<_, ErrorObjectOwned>(
                local_held_tasks(&input, request.workers, request.shards).await,
            )
        }
    })?;
    module.register_async_method("waiting", move |params, _, _| {
        let input = input.clone();
        async move {
            let request: QueueLengthRequest = params.one()?;
            Ok::<_, ErrorObjectOwned>(
                local_queue_length(&input, request.queue, request.shards).await,
            )
        }
    })?;
    Ok(module)
}

fn bad_params(e: crate::Error) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(BAD_PARAMS, e.to_string(), None::<()>)
}

/// An advice call in flight; it counts in [`SharedState::advice_queue`] until it is dropped.
struct AdviceInFlight<'a> {
    common: &'a SharedState,
    number: u64,
    /// Whether the service has finished the call.
    finished: bool,
}

impl Drop for AdviceInFlight<'_> {
    fn drop(&mut self) {
        let mut desk = self.common.advice_queue.lock().expect("no holder panics");
        match self.finished {
            true => desk.record_end(self.number, self.common.now()),
            false => desk.abandon(self.number),
        }
    }
}

/// Calls the advice service from this member.
///
/// Refuses the call if, after the advice calls that this member already has in flight, its answer
/// would come too late.
pub(crate) async fn advise_locally(
    common: &SharedState,
    services: &ServiceClients,
    call: &AdviceCall,
    expected: Duration,
    limit: Duration,
) -> Result<Advice, Fault> {
    let admitted = {
        let mut desk = common.advice_queue.lock().expect("no holder panics");
        desk.admit(expected, limit, common.now())
    };
    let Some(number) = admitted else {
        common.metrics.count_call("advice", "busy");
        return Err(Fault::Refused);
    };
    // The caller may stop waiting before the answer arrives; the service still works on the call.
    let mut in_flight = AdviceInFlight { common, number, finished: false };
    let reply = services.call_advice(call, limit).await;
    in_flight.finished = reply != Err(Fault::Unknown);
    reply
}

/// Returns the cancels that this member has lately acknowledged.
fn local_cancels(common: &SharedState, request: &CancelsRequest) -> CancelsReply {
    if request.member != common.me || common.view.borrow().members_hash() != request.members {
        return None;
    }
    let age = Duration::from_millis(request.age_ms);
    let cancels = common.last_cancels(&request.shards, age)?;
    Some(cancels.into_iter().map(|c| (c.shard, c.job.to_string().into(), c.record)).collect())
}

/// Returns the states of jobs, as the shards of this member know them; `None` if their input queue
/// is full.
pub(crate) async fn local_states(
    input: &Sender<ShardInput>,
    jobs: Box<[(ShardNo, JobNo)]>,
) -> Option<Vec<Option<JobReport>>> {
    let (reply, receiver) = oneshot::channel();
    input.try_send(ShardInput::JobStates(jobs, reply)).ok()?;
    receiver.await.ok()
}

/// A change of a shard's inbox.
pub(crate) enum InboxChange {
    /// The job was stored.
    Job(JobRecord),
    /// A cancel of the job was stored.
    Cancel(CancelRecord),
}

/// Notifies this member's shards of a change that concerns a job.
pub(crate) fn notify_local_shard(
    input: &Sender<ShardInput>,
    shard: ShardNo,
    job: JobNo,
    change: InboxChange,
) {
    let event = match change {
        InboxChange::Job(record) => Event::Job(job, Box::new(record)),
        InboxChange::Cancel(record) => Event::Cancel(job, record, CancelSource::Notice),
    };
    // A notice that a full queue drops is read from the store later.
    let _ = input.try_send(ShardInput::PeerEvent(shard, event));
}

/// Returns the tasks on workers of these shards and how long tasks wait, as this member's shards
/// know them.
pub(crate) async fn local_held_tasks(
    input: &Sender<ShardInput>,
    workers: Box<[WorkerId]>,
    shards: Box<[ShardNo]>,
) -> Option<(Vec<Occupancy>, Vec<PoolWait>)> {
    let (reply, receiver) = oneshot::channel();
    input.try_send(ShardInput::HeldTasks(workers, shards, reply)).ok()?;
    receiver.await.ok().flatten()
}

/// Returns the number of jobs of a queue that have not begun, as this member's shards know it.
pub(crate) async fn local_queue_length(
    input: &Sender<ShardInput>,
    queue: Box<str>,
    shards: Box<[ShardNo]>,
) -> Option<u64> {
    let (reply, receiver) = oneshot::channel();
    input.try_send(ShardInput::QueueLength(queue, shards, reply)).ok()?;
    receiver.await.ok().flatten()
}

/// Clients of other members, one for each address.
///
/// Belongs to one thread: connections live on the runtime that opened them.
#[derive(Clone)]
pub(crate) struct PeerClients {
    common: Arc<SharedState>,
    clients: Arc<RpcClients>,
}

impl PeerClients {
    /// Creates a set without clients; each is made by the first call to its address.
    pub fn new(common: Arc<SharedState>) -> Self {
        PeerClients { common, clients: Arc::default() }
    }

    /// Asks another member to call the advice service.
    pub async fn advise(
        &self,
        addr: SocketAddr,
        call: &AdviceCall,
        expected: Duration,
        limit: Duration,
    ) -> Result<Advice, Fault> {
        let request = AdviseRequest {
            job: call.step.job.to_string().into(),
            time: call.step.time,
            step: call.step.step,
            workers: call.workers.clone(),
            limit_ms: millis(limit),
            takes_ms: millis(expected),
        };
        let answer: AdviseReply =
            self.call(addr, "advise", &request, limit).await.ok_or(Fault::Unknown)?;
        answer.into()
    }

    /// Asks other members, one after the other, to make a call to the store; `None` if no other
    /// member is known.
    ///
    /// The members that are asked call the store directly or not at all, so that a call can't be
    /// relayed in a circle.
    async fn relay(
        &self,
        wire: WireRequest,
        repeats: bool,
        limit: Duration,
    ) -> Option<relay::WireReply> {
        let (deadline, routes) = (Instant::now() + limit, &self.common.store_routes);
        let view = self.common.view.borrow().clone();
        let mut answer = None;
        for member in routes.candidates(&view.relay_candidates(self.common.me), self.common.me) {
            let left = deadline.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return answer;
            }
            let Some(addr) = view.members.get(&member).map(|m| m.control) else { continue };
            let request =
                RelayRequest { call: RelayedCall::new(&wire)?, limit_ms: millis(left), repeats };
            let started = Instant::now();
            let reply: Option<RelayReply> = self.call(addr, "relay", &request, left).await;
            let reply = reply.map_or(Err(Fault::Unknown), relay::WireReply::from);
            let served = matches!(&reply, Ok((status, _)) if *status < 429);
            if !served {
                let (path, limit_ms) = (&*wire.path, millis(left));
                let took_ms = millis(started.elapsed());
                let status = reply.as_ref().map(|(status, _)| *status);
                log::info!(target: "outside", did = "unrelayed", by:% = member, path, said:? = status, took_ms, limit_ms; "Member did not relay a call.");
            }
            routes.record_relayed(member, served);
            // A call that may have taken effect must not be made twice.
            let finished = served || (!repeats && !matches!(reply, Err(Fault::Unsent)));
            answer = Some(reply);
            if finished {
                return answer;
            }
        }
        if answer.is_some() {
            routes.record_unrelayed();
        }
        answer
    }

    /// Asks the member that owns the shards of these jobs for their states: `None` for each job
    /// whose state it doesn't know, and `None` for all if it doesn't answer.
    pub async fn job_states(
        &self,
        addr: SocketAddr,
        jobs: &[(ShardNo, JobNo)],
        limit: Duration,
    ) -> Option<Vec<Option<JobReport>>> {
        let jobs = jobs.iter().map(|(shard, job)| (*shard, job.to_string().into())).collect();
        let request = StatesRequest { jobs };
        self.call(addr, "states", &request, limit).await.flatten()
    }

    /// Notifies the owner of a shard of a change that concerns a job.
    pub async fn notify_job(
        &self,
        addr: SocketAddr,
        shard: ShardNo,
        job: JobNo,
        change: InboxChange,
        limit: Duration,
    ) {
        let (record, cancel) = match change {
            InboxChange::Job(record) => (Some(record), CancelRecord::default()),
            InboxChange::Cancel(cancel) => (None, cancel),
        };
        let request = JobNotice { shard, job: job.to_string().into(), record, cancel };
        let _: Option<()> = self.call(addr, "heard", &request, limit).await;
    }

    /// Asks a member for the cancels in these shards that it has acknowledged in the last `age`; `None` if
    /// it doesn't answer, can't name them all, or knows other members than those that `members` is the hash of.
    pub async fn acknowledged_cancels(
        &self,
        member: Incarnation,
        addr: SocketAddr,
        shards: &[ShardNo],
        age: Duration,
        members: u64,
        limit: Duration,
    ) -> Option<Vec<AcknowledgedCancel>> {
        let secret = self.secret()?;
        let age_ms = millis(age);
        let request = CancelsRequest { member, shards: shards.into(), age_ms, members };
        let answer = self.clients.notify(addr, &secret, "cancels", &request, limit).await;
        let reply: CancelsReply = self.count("cancels", answer).flatten();
        let read = |(shard, job, record): (ShardNo, Box<str>, CancelRecord)| {
            Some(AcknowledgedCancel { shard, job: job.parse().ok()?, record })
        };
        reply?.into_iter().map(read).collect()
    }

    /// Sends the owner of other shards what customers have in shards of this member.
    pub async fn report_usage(
        &self,
        addr: SocketAddr,
        reports: Vec<Arc<UsageReport>>,
        limit: Duration,
    ) {
        let reports: Vec<&UsageReport> = reports.iter().map(|r| &**r).collect();
        let Some(secret) = self.secret() else { return };
        let request = UsageNotice { reports };
        let answer = self.clients.notify(addr, &secret, "usage", &request, limit).await;
        let _: Option<()> = self.count("usage", answer);
    }

    /// Asks a member for the tasks on workers of its shards and for how long tasks wait; `None` if
    /// the member doesn't answer or may no longer own the shards.
    pub async fn held_tasks(
        &self,
        addr: SocketAddr,
        workers: &[WorkerId],
        shards: &[ShardNo],
        limit: Duration,
    ) -> Option<(Vec<Occupancy>, Vec<PoolWait>)> {
        let request = HeldRequest { workers: workers.into(), shards: shards.into() };
        self.call(addr, "held", &request, limit).await.flatten()
    }

    /// Asks a member for the number of jobs of a queue that have not begun in its shards; `None` if
    /// the member doesn't answer or may no longer own the shards.
    pub async fn queue_length(
        &self,
        addr: SocketAddr,
        queue: &str,
        shards: &[ShardNo],
        limit: Duration,
    ) -> Option<u64> {
        let request = QueueLengthRequest { queue: queue.into(), shards: shards.into() };
        self.call(addr, "waiting", &request, limit).await.flatten()
    }

    /// Calls a member; `None` if the call fails.
    async fn call<A: Serialize, R: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        name: &'static str,
        request: &A,
        limit: Duration,
    ) -> Option<R> {
        let secret = self.secret()?;
        let answer = self.clients.call(addr, &secret, name, request, limit).await;
        self.count(name, answer)
    }

    fn secret(&self) -> Option<Box<str>> {
        Some(self.common.view.borrow().layout.as_ref()?.secret.as_ref().into())
    }

    /// Counts the outcome of a call and returns its result.
    fn count<R>(&self, name: &'static str, answer: Result<R, CallFailure>) -> Option<R> {
        let outcome = answer.as_ref().map_or_else(ToString::to_string, |_| "done".into());
        self.common.metrics.count_call(name, &outcome);
        answer.ok()
    }
}
