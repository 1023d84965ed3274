//! Control calls between members: advice by another machine's hand, a job's state, a queue's length.

use {
    crate::{
        common::Common,
        decisions::Told,
        gate::Gate,
        ids::WorkerId,
        ports::{Advice, AdviceCall, Fault, Wire},
        relay::{self, RelayAnswer, RelayAsk, Relayed, Relayer},
        rpc,
        shard::{
            Held, Need,
            event::Event,
            record::{JobRecord, ShardNo},
        },
        store::Outside,
        time::millis,
        work::{JobNo, State, StepKey},
    },
    async_channel::Sender,
    jsonrpsee::{
        RpcModule, core::client::ClientT, http_client::HttpClient, types::ErrorObjectOwned,
    },
    rustc_hash::FxHashMap,
    serde::{Deserialize, Serialize, de::DeserializeOwned},
    std::{
        io,
        net::{SocketAddr, TcpListener},
        sync::{Arc, Mutex},
        time::{Duration, Instant},
    },
    tokio::{sync::oneshot, time::timeout},
};

/// The longest that any call may take; each has its own limit besides.
const LONGEST: Duration = Duration::from_secs(30);
/// What the codes of JSON-RPC leave to an application.
const REFUSED: i32 = -32000;

/// A call for advice, as a member passes it to another.
#[derive(Debug, Serialize, Deserialize)]
struct AdviseAsk {
    job: Box<str>,
    time: u32,
    step: u16,
    workers: Vec<WorkerId>,
    limit_ms: u64,
    /// How long the service should take; members of an earlier version don't say.
    #[serde(default)]
    takes_ms: u64,
}

/// How advice went at the member that called for it.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum AdviseAnswer {
    Told { good: Vec<(WorkerId, Box<str>)>, valid_ms: Option<u64> },
    Refused,
    Unsent,
    Unknown,
    Bad(Box<str>),
}

/// A question for the states of jobs.
#[derive(Debug, Serialize, Deserialize)]
struct StatesAsk {
    jobs: Box<[(ShardNo, Box<str>)]>,
    /// Whether who asks has a table of late, by which the member that is asked is the owner.
    sure: bool,
}

/// Word of a job that was stored, or of its cancel.
#[derive(Debug, Serialize, Deserialize)]
struct HeardAsk {
    shard: ShardNo,
    job: Box<str>,
    record: Option<JobRecord>,
}

/// A question for a queue's length.
#[derive(Debug, Serialize, Deserialize)]
struct WaitingAsk {
    queue: Box<str>,
    shards: Box<[ShardNo]>,
}

/// A question for what is at workers.
#[derive(Debug, Serialize, Deserialize)]
struct HeldAsk {
    workers: Box<[WorkerId]>,
    shards: Box<[ShardNo]>,
}

impl From<Result<Advice, Fault>> for AdviseAnswer {
    fn from(reply: Result<Advice, Fault>) -> Self {
        match reply {
            Ok(a) => AdviseAnswer::Told { good: a.good, valid_ms: a.valid.map(millis) },
            Err(Fault::Refused | Fault::TooLarge) => AdviseAnswer::Refused,
            Err(Fault::Unsent) => AdviseAnswer::Unsent,
            Err(Fault::Unknown) => AdviseAnswer::Unknown,
            Err(Fault::Bad(why)) => AdviseAnswer::Bad(why),
        }
    }
}

impl From<AdviseAnswer> for Result<Advice, Fault> {
    fn from(answer: AdviseAnswer) -> Self {
        match answer {
            AdviseAnswer::Told { good, valid_ms } => {
                Ok(Advice { good, valid: valid_ms.map(Duration::from_millis) })
            }
            AdviseAnswer::Refused => Err(Fault::Refused),
            AdviseAnswer::Unsent => Err(Fault::Unsent),
            AdviseAnswer::Unknown => Err(Fault::Unknown),
            AdviseAnswer::Bad(why) => Err(Fault::Bad(why)),
        }
    }
}

/// Clients of the outside for one thread; other members relay what the store doesn't serve here.
pub(crate) fn outside(common: &Arc<Common>, peers: &Peers) -> Outside {
    let peers = peers.clone();
    let relayer: Relayer = Arc::new(move |wire, repeats, limit| {
        let peers = peers.clone();
        Box::pin(async move { peers.relay(wire, repeats, limit).await })
    });
    common.outside().with_relay(common.ways.clone(), relayer)
}

/// Serves other members until this one stops.
///
/// The secret that they show stands in the layout, so nobody is served before there is one.
pub(crate) async fn serve(
    common: Arc<Common>,
    listener: TcpListener,
    told: Sender<Told>,
) -> io::Result<()> {
    let mut views = common.view.subscribe();
    let secret = match views.wait_for(|v| v.layout.is_some()).await {
        Ok(view) => view.layout.as_ref().map(|l| l.secret.clone()).unwrap_or_default(),
        Err(_) => return Ok(()),
    };
    let gate = Gate::new(&secret, common.metrics.clone());
    let module = module(&common, told).map_err(io::Error::other)?;
    let server = rpc::serve(listener, gate, module).await?;
    // It ends with the process: other members ask a stopping one until its shards have moved.
    server.stopped().await;
    Ok(())
}

fn module(
    common: &Arc<Common>,
    told: Sender<Told>,
) -> Result<RpcModule<()>, jsonrpsee::core::RegisterMethodError> {
    let mut module = RpcModule::new(());
    let (outside, here) = (common.outside(), common.clone());
    module.register_async_method("advise", move |params, _, _| {
        let (outside, here) = (outside.clone(), here.clone());
        async move {
            let ask: AdviseAsk = params.one()?;
            let job: JobNo = ask.job.parse().map_err(bad)?;
            let step = StepKey { job, time: ask.time, step: ask.step };
            let call = AdviceCall { step, workers: ask.workers };
            let limit = Duration::from_millis(ask.limit_ms).min(LONGEST);
            let takes = Duration::from_millis(ask.takes_ms).min(LONGEST);
            let answer = advise_here(&here, &outside, &call, takes, limit).await;
            Ok::<_, ErrorObjectOwned>(AdviseAnswer::from(answer))
        }
    })?;
    let (outside, ways) = (common.outside(), common.ways.clone());
    module.register_async_method("relay", move |params, _, _| {
        let (outside, ways) = (outside.clone(), ways.clone());
        async move {
            let ask: RelayAsk = params.one()?;
            if ways.is_lost() {
                return Ok::<_, ErrorObjectOwned>(RelayAnswer::Unsent);
            }
            let limit = Duration::from_millis(ask.limit_ms).min(LONGEST);
            let repeats = ask.repeats;
            let relayed = outside.relay(ask.call, repeats, limit);
            // Guards against a watch that waits here although this member has lost its way as well.
            Ok(tokio::select! {
                answer = relayed => RelayAnswer::from(answer),
                () = ways.lost(), if repeats => RelayAnswer::Unknown,
            })
        }
    })?;
    let asked = told.clone();
    module.register_async_method("states", move |params, _, _| {
        let told = asked.clone();
        async move {
            let ask: StatesAsk = params.one()?;
            let read = |(shard, job): &(ShardNo, Box<str>)| Ok((*shard, job.parse()?));
            let jobs: Result<Box<[_]>, crate::Error> = ask.jobs.iter().map(read).collect();
            Ok::<_, ErrorObjectOwned>(states_here(&told, jobs.map_err(bad)?, ask.sure).await)
        }
    })?;
    let heard = told.clone();
    module.register_async_method("heard", move |params, _, _| {
        let told = heard.clone();
        async move {
            let ask: HeardAsk = params.one()?;
            let job: JobNo = ask.job.parse().map_err(bad)?;
            heard_here(&told, ask.shard, job, ask.record);
            Ok::<_, ErrorObjectOwned>(())
        }
    })?;
    let held = told.clone();
    module.register_async_method("held", move |params, _, _| {
        let told = held.clone();
        async move {
            let ask: HeldAsk = params.one()?;
            Ok::<_, ErrorObjectOwned>(held_here(&told, ask.workers, ask.shards).await)
        }
    })?;
    module.register_async_method("waiting", move |params, _, _| {
        let told = told.clone();
        async move {
            let ask: WaitingAsk = params.one()?;
            Ok::<_, ErrorObjectOwned>(waiting_here(&told, ask.queue, ask.shards).await)
        }
    })?;
    Ok(module)
}

fn bad(e: crate::Error) -> ErrorObjectOwned {
    ErrorObjectOwned::owned(REFUSED, e.to_string(), None::<()>)
}

/// A call for advice that counts at this member's desk until it is dropped.
struct Out<'a> {
    common: &'a Common,
    number: u64,
    /// Whether the service has done with it.
    over: bool,
}

impl Drop for Out<'_> {
    fn drop(&mut self) {
        let mut desk = self.common.desk.lock().expect("no holder panics");
        match self.over {
            true => desk.done(self.number, self.common.now()),
            false => desk.left(self.number),
        }
    }
}

/// Calls for advice, if by all calls that this member has out it would come in time.
pub(crate) async fn advise_here(
    common: &Common,
    outside: &Outside,
    call: &AdviceCall,
    takes: Duration,
    limit: Duration,
) -> Result<Advice, Fault> {
    let admitted = {
        let mut desk = common.desk.lock().expect("no holder panics");
        desk.admit(takes, limit, common.now())
    };
    let Some(number) = admitted else {
        common.metrics.called("advice", "busy");
        return Err(Fault::Refused);
    };
    // Its asker may be gone before the answer has come; the service works on.
    let mut out = Out { common, number, over: false };
    let reply = outside.advice(call, limit).await;
    out.over = reply != Err(Fault::Unknown);
    reply
}

/// How jobs stand, by this member's own decisions; nothing where these have too much to do.
pub(crate) async fn states_here(
    told: &Sender<Told>,
    jobs: Box<[(ShardNo, JobNo)]>,
    sure: bool,
) -> Option<Vec<Option<State>>> {
    let (to, from) = oneshot::channel();
    told.try_send(Told::States(jobs, sure, to)).ok()?;
    from.await.ok()
}

/// Passes word of a stored job, or of its cancel, to this member's decisions.
pub(crate) fn heard_here(
    told: &Sender<Told>,
    shard: ShardNo,
    job: JobNo,
    record: Option<JobRecord>,
) {
    let event = match record {
        Some(record) => Event::Job(job, Box::new(record)),
        None => Event::Cancel(job),
    };
    // What a full ring drops is read from the store.
    let _ = told.try_send(Told::Word(shard, event));
}

/// What is at workers of these shards, and how long work waits, by this member's own decisions.
pub(crate) async fn held_here(
    told: &Sender<Told>,
    workers: Box<[WorkerId]>,
    shards: Box<[ShardNo]>,
) -> Option<(Vec<Held>, Vec<Need>)> {
    let (to, from) = oneshot::channel();
    told.try_send(Told::Held(workers, shards, to)).ok()?;
    from.await.ok().flatten()
}

/// How many jobs of a queue have not begun, by this member's own decisions.
pub(crate) async fn waiting_here(
    told: &Sender<Told>,
    queue: Box<str>,
    shards: Box<[ShardNo]>,
) -> Option<u64> {
    let (to, from) = oneshot::channel();
    told.try_send(Told::Waiting(queue, shards, to)).ok()?;
    from.await.ok().flatten()
}

/// Clients of other members, kept for each address; belongs to one thread.
#[derive(Clone)]
pub(crate) struct Peers {
    common: Arc<Common>,
    clients: Arc<Mutex<FxHashMap<SocketAddr, HttpClient>>>,
}

impl Peers {
    /// No client yet.
    pub fn new(common: Arc<Common>) -> Self {
        Peers { common, clients: Arc::default() }
    }

    /// Asks another member to call for advice.
    pub async fn advise(
        &self,
        addr: SocketAddr,
        call: &AdviceCall,
        takes: Duration,
        limit: Duration,
    ) -> Result<Advice, Fault> {
        let ask = AdviseAsk {
            job: call.step.job.to_string().into(),
            time: call.step.time,
            step: call.step.step,
            workers: call.workers.clone(),
            limit_ms: millis(limit),
            takes_ms: millis(takes),
        };
        let answer: AdviseAnswer =
            self.call(addr, "advise", &ask, limit).await.ok_or(Fault::Unknown)?;
        answer.into()
    }

    /// Has other members call the store; nothing where none is known.
    ///
    /// They call it themselves or not at all, so no call goes round in a circle.
    async fn relay(&self, wire: Wire, repeats: bool, limit: Duration) -> Option<relay::Answer> {
        let (end, ways) = (Instant::now() + limit, &self.common.ways);
        let view = self.common.view.borrow().clone();
        let mut answer = None;
        for member in ways.members(&view.relays(self.common.me), self.common.me) {
            let left = end.saturating_duration_since(Instant::now());
            if left.is_zero() {
                return answer;
            }
            let Some(addr) = view.members.get(&member).map(|m| m.control) else { continue };
            let ask = RelayAsk { call: Relayed::new(&wire)?, limit_ms: millis(left), repeats };
            let begun = Instant::now();
            let said: Option<RelayAnswer> = self.call(addr, "relay", &ask, left).await;
            let said = said.map_or(Err(Fault::Unknown), relay::Answer::from);
            let served = matches!(&said, Ok((status, _)) if *status < 429);
            if !served {
                let (path, limit_ms) = (&*wire.path, millis(left));
                let took_ms = millis(begun.elapsed());
                let said = said.as_ref().map(|(status, _)| *status);
                log::info!(target: "outside", did = "unrelayed", by:% = member, path, said:? = said, took_ms, limit_ms; "Member did not relay a call.");
            }
            ways.relayed(member, served);
            // What may have been done must not be done twice.
            let over = served || (!repeats && !matches!(said, Err(Fault::Unsent)));
            answer = Some(said);
            if over {
                return answer;
            }
        }
        if answer.is_some() {
            ways.unrelayed();
        }
        answer
    }

    /// How jobs stand at the member that owns their shards, each as far as it says; nothing where it
    /// doesn't answer.
    pub async fn states(
        &self,
        addr: SocketAddr,
        jobs: &[(ShardNo, JobNo)],
        sure: bool,
        limit: Duration,
    ) -> Option<Vec<Option<State>>> {
        let jobs = jobs.iter().map(|(shard, job)| (*shard, job.to_string().into())).collect();
        let ask = StatesAsk { jobs, sure };
        self.call(addr, "states", &ask, limit).await.flatten()
    }

    /// Tells the owner of a shard of a job that was stored, or of its cancel.
    pub async fn heard(
        &self,
        addr: SocketAddr,
        shard: ShardNo,
        job: JobNo,
        record: Option<JobRecord>,
        limit: Duration,
    ) {
        let ask = HeardAsk { shard, job: job.to_string().into(), record };
        let _: Option<()> = self.call(addr, "heard", &ask, limit).await;
    }

    /// What is at workers of shards that a member owns; nothing where it doesn't say.
    pub async fn held(
        &self,
        addr: SocketAddr,
        workers: &[WorkerId],
        shards: &[ShardNo],
        limit: Duration,
    ) -> Option<(Vec<Held>, Vec<Need>)> {
        let ask = HeldAsk { workers: workers.into(), shards: shards.into() };
        self.call(addr, "held", &ask, limit).await.flatten()
    }

    /// How many jobs of a queue have not begun, of shards that a member owns; nothing where it
    /// doesn't say.
    pub async fn waiting(
        &self,
        addr: SocketAddr,
        queue: &str,
        shards: &[ShardNo],
        limit: Duration,
    ) -> Option<u64> {
        let ask = WaitingAsk { queue: queue.into(), shards: shards.into() };
        self.call(addr, "waiting", &ask, limit).await.flatten()
    }

    /// Calls a member.
    ///
    /// A client whose call ran out of time is dropped with its connections: one of them may have
    /// gone silent for good, and the next call would wait on it again.
    async fn call<A: Serialize, R: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        name: &'static str,
        ask: &A,
        limit: Duration,
    ) -> Option<R> {
        let client = self.client(addr)?;
        let ask = serde_json::value::to_raw_value(ask).ok()?;
        let answer = timeout(limit, client.request(name, [ask])).await;
        let said = match &answer {
            Ok(Ok(_)) => "done",
            Ok(Err(_)) => "failed",
            Err(_) => "timeout",
        };
        self.common.metrics.called(name, said);
        if !matches!(answer, Ok(Ok(_))) {
            self.clients.lock().expect("no holder panics").remove(&addr);
        }
        answer.ok()?.ok()
    }

    fn client(&self, addr: SocketAddr) -> Option<HttpClient> {
        let mut clients = self.clients.lock().expect("no holder panics");
        if let Some(known) = clients.get(&addr) {
            return Some(known.clone());
        }
        let view = self.common.view.borrow();
        let secret = &view.layout.as_ref()?.secret;
        let new = rpc::client(addr, secret, LONGEST).ok()?;
        // Addresses of machines that are gone don't pile up: those in use come back.
        if clients.len() > 1024 {
            clients.clear();
        }
        clients.insert(addr, new.clone());
        Some(new)
    }
}
