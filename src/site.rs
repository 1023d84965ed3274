//! A member on a site: its threads, its signals, and its shutdown.
//!
//! A member has four threads, each with a runtime of its own: one serves callers, one serves other
//! members, one owns shards, and one writes the shards' changes. A machine has a fraction of a core
//! for the member, so that more threads would mostly cause context switches.

use {
    crate::{
        cancel_search::search_cancels,
        cli::{self, Exit},
        client_stream::Drain,
        connections::SharedLimits,
        duties::Duties,
        error::{Error, Kind},
        http::answer,
        ids::Incarnation,
        job_api::JobApi,
        logs, member_rpc,
        membership::Membership,
        metrics::Metrics,
        owned_shards::OwnedShards,
        ports::{ClientLimits, Codec, SiteSettings, StoreCall},
        server::{Limits, Server, page_limits},
        shard_page::{self, ShardPage},
        shard_runner::{ShardInput, ShardRunner},
        shard_writes,
        shared_state::SharedState,
        table_sync::{self, TableSync},
    },
    async_channel::{Receiver, Sender, bounded},
    hyper::http::request::Parts,
    std::{
        future::{Future, pending},
        hash::{BuildHasher, RandomState},
        io,
        net::{SocketAddr, TcpListener},
        path::{Path, PathBuf},
        sync::Arc,
        thread,
        time::{Duration, SystemTime},
    },
    tokio::{
        runtime::{Builder, Runtime},
        signal::unix::{Signal, SignalKind, signal},
        sync::{oneshot, watch},
        task::JoinHandle,
        time::{Instant, sleep, timeout, timeout_at},
    },
};

/// The log filter if the environment sets none.
const DEFAULT_LOG_FILTER: &str = "info,hyper=warn,jsonrpsee=warn,soketto=warn";
/// Maximum length of the queue of inputs of the shards.
const EVENT_QUEUE_LEN: usize = 8 * 1024;
/// Maximum length of the queues of the shards' orders and notices.
const ORDER_QUEUE_LEN: usize = 4 * 1024;
/// Time for which callers are still served after the signal to stop, as the load balancer notices
/// the stop with a delay.
const CALLER_DRAIN_TIME: Duration = Duration::from_secs(2);
/// Time of the shutdown's grace period that is kept in reserve.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(1500);
/// Time-out of ending the lease.
const LEASE_END_TIMEOUT: Duration = Duration::from_millis(400);
/// The interval at which the counts of calls are logged.
const CALL_LOG_INTERVAL: Duration = Duration::from_secs(10);
/// The largest body of a caller, whatever the configuration allows: the store holds no larger value.
const MAX_BODY: usize = 1 << 20;

/// The addresses that a member listens on.
struct Listeners {
    callers: TcpListener,
    ready: TcpListener,
    control: TcpListener,
    metrics: TcpListener,
}

/// The signals that a member handles.
struct Signals {
    hangup: Signal,
    terminate: Signal,
    interrupt: Signal,
}

/// Runs a member until it is told to stop and has released all its shards.
pub fn run(forms: &'static Codec, settings: &Path) -> Exit {
    logs::init(DEFAULT_LOG_FILTER);
    let exit = match start(forms, settings) {
        Ok(()) => Exit::Done,
        Err(e) => cli::fail(e.kind().into(), &e.to_string(), false),
    };
    logs::flush();
    exit
}

fn start(forms: &'static Codec, settings: &Path) -> Result<(), Error> {
    let failed = |e: io::Error| Error::new(Kind::BadSettings, e.to_string());
    let runtime = new_runtime().map_err(failed)?;
    // The handlers come first: without them, the signal to reload the settings would end the
    // process.
    let signals = {
        let _inside = runtime.enter();
        Signals::new().map_err(failed)?
    };
    let site = read_settings(forms, settings)?;
    let listeners = Listeners::bind(&site)?;
    let me = Incarnation(random_id(&site).max(1));
    seed_rng(me, "shards");
    let metrics = listeners.metrics.local_addr().map_err(failed)?.port();
    log::info!(target: "site", did = "started", member:% = me, node = &*site.node, zone:% = site.zone, callers:% = site.caller_addr, store:% = site.store_addr, metrics; "Member starts.");
    let common = Arc::new(SharedState::new(forms, site, me, Arc::new(Metrics::new())));
    let (shard_inputs, events) = bounded(EVENT_QUEUE_LEN);
    let (ended, end) = oneshot::channel();
    let Listeners { callers, ready, control, metrics } = listeners;
    let (shared, sender) = (common.clone(), shard_inputs.clone());
    spawn_thread("callers", &common, move || async move {
        let served = serve_callers(shared, callers, ready, metrics, sender).await;
        let _ = ended.send(());
        served
    })
    .map_err(failed)?;
    let (shared, sender) = (common.clone(), shard_inputs.clone());
    spawn_thread("control", &common, move || member_rpc::serve(shared, control, sender))
        .map_err(failed)?;
    runtime.block_on(own_shards(common, signals, settings.into(), (shard_inputs, events), end))
}

/// Owns shards until this member is told to stop, then shuts down in order: shards, callers, lease.
async fn own_shards(
    common: Arc<SharedState>,
    signals: Signals,
    settings: PathBuf,
    (shard_inputs, events): (Sender<ShardInput>, Receiver<ShardInput>),
    mut callers: oneshot::Receiver<()>,
) -> Result<(), Error> {
    let peers = member_rpc::PeerClients::new(common.clone());
    let services = member_rpc::relaying_clients(&common, &peers);
    let (order_tx, orders) = bounded(ORDER_QUEUE_LEN);
    let (notices, notice_rx) = bounded(ORDER_QUEUE_LEN);
    let owner =
        OwnedShards::new(common.clone(), services.clone(), peers.clone(), shard_inputs.clone());
    let (writes, write_orders) = bounded(ORDER_QUEUE_LEN);
    let (results, written) = bounded(ORDER_QUEUE_LEN);
    let (shared, lost) = (common.clone(), notices.clone());
    spawn_thread("writes", &common, move || shard_writes::run(shared, write_orders, results, lost))
        .map_err(|e| Error::new(Kind::BadSettings, e.to_string()))?;
    let (lease, lease_rx) = watch::channel(0);
    let duties = &common.duties;
    spawn_duty(duties, "signals", signals.handle_signals(common.clone(), settings));
    let runner = ShardRunner::new(common.clone(), (events, written), order_tx, writes, notices);
    spawn_duty(duties, "shards", runner.run());
    spawn_duty(duties, "workers", owner.clone().poll_workers());
    let search = search_cancels(common.clone(), peers, owner.clone(), shard_inputs.clone());
    spawn_duty(duties, "cancels", search);
    spawn_duty(duties, "counts", log_calls(common.clone()));
    spawn_duty(duties, "orders", owner.clone().run_orders(orders));
    let config = table_sync::follow_config(common.clone(), services.clone(), shard_inputs.clone());
    spawn_duty(duties, "configuration", config);
    let membership = Membership {
        common: common.clone(),
        services: services.clone(),
        shard_inputs: shard_inputs.clone(),
        lease,
    };
    spawn_duty(duties, "membership", membership.run());
    let sync = TableSync::run(common.clone(), services.clone(), owner, shard_inputs, notice_rx);
    let released = spawn_duty(duties, "table", sync);
    tokio::select! {
        () = common.wait_for_stop() => {}
        _ = &mut callers => return Err(Error::new(Kind::BadSettings, "caller server failed")),
        failure = common.duties.failure() => return Err(failure),
    }
    let grace = common.site.borrow().bounds.stop_grace;
    let deadline = Instant::now() + grace.saturating_sub(SHUTDOWN_MARGIN);
    if timeout_at(deadline, released).await.is_err() {
        log::warn!(target: "site", "Shards were not released in time; other members will take them over.");
    }
    if timeout_at(deadline, callers).await.is_err() {
        log::warn!(target: "site", "Requests were not answered before the shutdown.");
    }
    let lease = *lease_rx.borrow();
    if lease != 0 {
        let _ = timeout(
            LEASE_END_TIMEOUT,
            services.call_store(&StoreCall::EndLease { lease }, LEASE_END_TIMEOUT),
        )
        .await;
    }
    log::info!(target: "site", calls = &*common.metrics.call_totals(), received = &*common.metrics.received_totals(); "Calls of the outside so far.");
    log::info!(target: "site", did = "stopped", member:% = common.me; "Stopped.");
    Ok(())
}

/// Logs the counts of calls periodically, because a process that is killed loses its counters.
async fn log_calls(common: Arc<SharedState>) {
    loop {
        sleep(CALL_LOG_INTERVAL).await;
        log::info!(target: "site", calls = &*common.metrics.call_totals(), received = &*common.metrics.received_totals(); "Calls of the outside so far.");
    }
}

/// Serves callers, the load balancer's readiness checks and metrics, until [`CALLER_DRAIN_TIME`]
/// after the signal to stop.
async fn serve_callers(
    common: Arc<SharedState>,
    callers: TcpListener,
    ready: TcpListener,
    metrics: TcpListener,
    shard_inputs: Sender<ShardInput>,
) -> io::Result<()> {
    let listen = tokio::net::TcpListener::from_std;
    let (callers, ready, metrics) = (listen(callers)?, listen(ready)?, listen(metrics)?);
    let clients = common.site.borrow().clients;
    let page_limits = page_limits(clients.page_connections);
    let server = |listener, name, limits| {
        let metrics = Some(common.metrics.clone());
        Server { listener, name, limits, metrics }
    };
    let ready = server(ready, "ready", page_limits);
    let metrics = server(metrics, "metrics", page_limits);
    let callers = server(callers, "callers", caller_limits(&clients));
    let no_body = |_: &Parts| Ok(0);
    let shared = common.clone();
    let serve_check = move |head: Parts, _| {
        let ready = shared.is_ready();
        shared.metrics.set_ready(ready);
        let status = match (head.uri.path() == shared.codec.ready_path, ready) {
            (true, true) => 200,
            (true, false) => 503,
            (false, _) => 404,
        };
        async move { answer(status, "") }
    };
    tokio::spawn(ready.run(pending(), no_body, serve_check));
    let (pages, shared) = (common.metrics.clone(), common.clone());
    let shard_page = Arc::new(ShardPage::new(common.clone(), shard_inputs.clone()));
    let serve_page = move |head: Parts, _| {
        let now = shared.now();
        pages.set_age("configuration", now - shared.configured_at());
        pages.set_age("configuration_confirmed", now - shared.confirmed_at());
        pages.set_age("store", shared.last_answer().map_or(Duration::MAX, |at| now - at));
        let (path, pages, shard_page) =
            (head.uri.path().to_owned(), pages.clone(), shard_page.clone());
        async move {
            match &*path {
                shard_page::PATH => shard_page.serve().await,
                other => pages.page(other),
            }
        }
    };
    tokio::spawn(metrics.run(pending(), no_body, serve_page));
    let shared = common.clone();
    let admit = move |_: &Parts| {
        let config = shared.config.borrow();
        Ok(config.as_ref().map_or(MAX_BODY, |c| c.queues.max_body.min(MAX_BODY)))
    };
    let entry = Arc::new(JobApi::new(common.clone(), shard_inputs));
    let stop = async move {
        common.wait_for_stop().await;
        sleep(CALLER_DRAIN_TIME).await;
    };
    let serve_caller = move |head, body| entry.clone().serve(head, body);
    callers.run(stop, admit, serve_caller).await;
    Ok(())
}

/// The limits of the server for callers.
fn caller_limits(clients: &ClientLimits) -> Limits {
    Limits {
        body: MAX_BODY,
        head: clients.head_bytes,
        read_timeout: clients.read_time,
        receive_buffer: Some(clients.buffer_bytes),
        send_buffer: Some(clients.buffer_bytes),
        drain: Drain { bytes: clients.drain_bytes, time: clients.drain_time },
        shared: SharedLimits::new(clients.caller_connections, clients.held_bytes),
    }
}

impl Listeners {
    fn bind(site: &SiteSettings) -> Result<Self, Error> {
        let bind = |addr: SocketAddr, what: &str| {
            let tcp = TcpListener::bind(addr).and_then(|l| {
                l.set_nonblocking(true)?;
                Ok(l)
            });
            tcp.map_err(|e| Error::new(Kind::BadSettings, format!("{what} at {addr}: {e}")))
        };
        Ok(Listeners {
            callers: bind(site.caller_addr, "callers")?,
            ready: bind(site.ready_addr, "ready")?,
            control: bind(site.control_addr, "control")?,
            metrics: bind_first(&site.metrics_addrs, |addr| bind(addr, "metrics"))?,
        })
    }
}

/// Listens on the first address that is free.
fn bind_first(
    all: &[SocketAddr],
    bind: impl Fn(SocketAddr) -> Result<TcpListener, Error>,
) -> Result<TcpListener, Error> {
    let mut failed = Error::new(Kind::BadSettings, "no address for metrics is configured");
    for addr in all {
        match bind(*addr) {
            Ok(listener) => return Ok(listener),
            Err(e) => failed = e,
        }
    }
    Err(failed)
}

impl Signals {
    fn new() -> io::Result<Self> {
        Ok(Signals {
            hangup: signal(SignalKind::hangup())?,
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Reloads the settings or stops the member, as signals demand.
    async fn handle_signals(mut self, common: Arc<SharedState>, settings: PathBuf) {
        loop {
            tokio::select! {
                _ = self.hangup.recv() => reload(&common, &settings),
                _ = self.terminate.recv() => signal_stop(&common),
                _ = self.interrupt.recv() => signal_stop(&common),
            }
        }
    }
}

fn signal_stop(common: &SharedState) {
    if !common.stop.send_replace(true) {
        log::info!(target: "site", did = "stopping", member:% = common.me; "Member is stopping.");
    }
}

/// Reloads the settings. The addresses that this member listens on can't change while it runs.
fn reload(common: &SharedState, settings: &Path) {
    match read_settings(common.codec, settings) {
        Ok(site) => {
            let old = common.site.send_replace(Arc::new(site.clone()));
            let same = (old.caller_addr, old.ready_addr, old.control_addr, &old.metrics_addrs)
                == (site.caller_addr, site.ready_addr, site.control_addr, &site.metrics_addrs);
            log::info!(target: "site", did = "reloaded", same_store = old.store_addr == site.store_addr, same_advice = old.advice_addr == site.advice_addr; "Settings were reloaded.");
            if !same {
                log::warn!(target: "site", "New addresses to listen on take effect at the next start.");
            }
        }
        Err(e) => {
            log::error!(target: "site", "Settings could not be reloaded, the old ones stay in force: {e}.")
        }
    }
}

fn read_settings(forms: &Codec, settings: &Path) -> Result<SiteSettings, Error> {
    let named = |e: &dyn std::fmt::Display| {
        Error::new(Kind::BadSettings, format!("{}: {e}", settings.display()))
    };
    let text = std::fs::read_to_string(settings).map_err(|e| named(&e))?;
    (forms.decode_settings)(&text)
}

/// Draws an id that no other process draws.
///
/// Guards against machines that start at the same moment with equal clocks and memory contents: an
/// id drawn from these alone could be drawn twice, and two members would use the same row of the
/// table.
fn random_id(site: &SiteSettings) -> u64 {
    let time = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    let random = RandomState::new().hash_one(std::process::id());
    let what = format!("{} {} {} {random}", site.node, site.control_addr, time.as_nanos());
    xxhash_rust::xxh3::xxh3_64(what.as_bytes())
}

/// Seeds this thread's random numbers differently from all other threads of all members.
fn seed_rng(me: Incarnation, thread: &str) {
    fastrand::seed(xxhash_rust::xxh3::xxh3_64(format!("{me} {thread}").as_bytes()));
}

fn spawn_duty(
    duties: &Duties,
    name: &'static str,
    duty: impl Future<Output = ()> + Send + 'static,
) -> JoinHandle<()> {
    tokio::spawn(duties.clone().run(name, duty))
}

fn spawn_thread<F>(
    name: &'static str,
    common: &SharedState,
    run: impl FnOnce() -> F + Send + 'static,
) -> io::Result<()>
where
    F: Future<Output = io::Result<()>>,
{
    let (me, duties) = (common.me, common.duties.clone());
    // A member without this thread must not start.
    let runtime = new_runtime()?;
    thread::Builder::new().name(name.into()).spawn(move || {
        seed_rng(me, name);
        if let Err(e) = runtime.block_on(duties.run(name, run())) {
            log::error!(target: "site", "The thread {name} has ended: {e}.");
        }
    })?;
    Ok(())
}

fn new_runtime() -> io::Result<Runtime> {
    Builder::new_current_thread().enable_all().build()
}
