//! One member on a site: its threads, its signals, and how it stops.
//!
//! Three threads, each with a runtime of its own: one for callers, one for other members, and one
//! for all that concerns owning shards. More would only wake each other: a machine has a part of
//! one core.

use {
    crate::{
        cli::{self, Exit},
        common::Common,
        control,
        decisions::{Decisions, Told},
        entry::Entry,
        error::{Error, Kind},
        http::{Limits, answer, serve},
        ids::Incarnation,
        logs,
        membership::Membership,
        metrics::Metrics,
        owner::Owner,
        ports::{Forms, Site, StoreCall},
        registry::{self, Registry},
    },
    async_channel::{Receiver, Sender, bounded},
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
        time::{Instant, sleep, timeout, timeout_at},
    },
};

/// What is logged where the environment doesn't say.
const LOG: &str = "info,hyper=warn,jsonrpsee=warn,soketto=warn";
/// How many events may wait for the decisions.
const INBOX: usize = 8 * 1024;
/// How many orders may wait to be carried out.
const ORDERS: usize = 4 * 1024;
/// How long callers are served after the signal to stop; the balancer notices later than that.
const LINGER: Duration = Duration::from_secs(2);
/// How much of the time that a stop may take is left unused.
const SPARE: Duration = Duration::from_millis(1500);
/// How long the end of the lease may take.
const END: Duration = Duration::from_millis(400);
/// How often the calls so far are told.
const CALLS: Duration = Duration::from_secs(10);
/// Limits of the callers' side.
const CALLERS: Limits =
    Limits { body: 1 << 20, connections: 2500, patience: Duration::from_secs(20) };
/// Limits of the pages that this member shows of itself.
const PAGES: Limits = Limits { body: 0, connections: 64, patience: Duration::from_secs(5) };

/// The addresses that a member listens on.
struct Listeners {
    callers: TcpListener,
    ready: TcpListener,
    control: TcpListener,
    metrics: TcpListener,
}

/// The signals that a member heeds.
struct Signals {
    hang: Signal,
    term: Signal,
    int: Signal,
}

/// Runs a member until it is told to stop and has released all that it owns.
pub fn run(forms: &'static Forms, settings: &Path) -> Exit {
    logs::begin(LOG);
    let exit = match start(forms, settings) {
        Ok(()) => Exit::Done,
        Err(e) => cli::fail(e.kind().into(), &e.to_string(), false),
    };
    logs::end();
    exit
}

fn start(forms: &'static Forms, settings: &Path) -> Result<(), Error> {
    let failed = |e: io::Error| Error::new(Kind::BadSettings, e.to_string());
    let runtime = runtime().map_err(failed)?;
    // First of all: until then the signal to read the settings again would end the process.
    let signals = {
        let _inside = runtime.enter();
        Signals::new().map_err(failed)?
    };
    let site = read(forms, settings)?;
    let listeners = Listeners::bind(&site)?;
    let me = Incarnation(draw(&site).max(1));
    seed(me, "shards");
    let metrics = listeners.metrics.local_addr().map_err(failed)?.port();
    log::info!(target: "site", did = "started", member:% = me, node = &*site.node, zone:% = site.zone, callers:% = site.callers, store:% = site.store, metrics; "Member starts.");
    let common = Arc::new(Common::new(forms, site, me, Arc::new(Metrics::new())));
    let (told, events) = bounded(INBOX);
    let (ended, end) = oneshot::channel();
    let Listeners { callers, ready, control, metrics } = listeners;
    let (shared, to) = (common.clone(), told.clone());
    duty("callers", me, move || async move {
        let served = serve_callers(shared, callers, ready, metrics, to).await;
        let _ = ended.send(());
        served
    })
    .map_err(failed)?;
    let (shared, to) = (common.clone(), told.clone());
    duty("control", me, move || control::serve(shared, control, to)).map_err(failed)?;
    runtime.block_on(work(common, signals, settings.into(), (told, events), end))
}

/// Owns shards until this member stops, and stops in order.
async fn work(
    common: Arc<Common>,
    signals: Signals,
    settings: PathBuf,
    (told, events): (Sender<Told>, Receiver<Told>),
    mut callers: oneshot::Receiver<()>,
) -> Result<(), Error> {
    let peers = control::Peers::new(common.clone());
    let outside = control::outside(&common, &peers);
    let (out, orders) = bounded(ORDERS);
    let (notes, noted) = bounded(ORDERS);
    let owner = Owner::new(common.clone(), outside.clone(), peers, told.clone(), notes.clone());
    let (lease, leased) = watch::channel(0);
    tokio::spawn(signals.heed(common.clone(), settings));
    tokio::spawn(Decisions::new(common.clone(), events, out, notes).run());
    tokio::spawn(owner.clone().list());
    tokio::spawn(tell_calls(common.clone()));
    tokio::spawn(owner.clone().work(orders));
    tokio::spawn(registry::config(common.clone(), outside.clone(), told.clone()));
    let membership =
        Membership { common: common.clone(), outside: outside.clone(), told: told.clone(), lease };
    tokio::spawn(membership.run());
    let released = tokio::spawn(Registry::run(common.clone(), outside.clone(), owner, told, noted));
    tokio::select! {
        () = common.stopped() => {}
        _ = &mut callers => return Err(Error::new(Kind::BadSettings, "callers can't be served")),
    }
    let grace = common.site.borrow().bounds.grace;
    let until = Instant::now() + grace.saturating_sub(SPARE);
    if timeout_at(until, released).await.is_err() {
        log::warn!(target: "site", "Shards are left to be taken over.");
    }
    if timeout_at(until, callers).await.is_err() {
        log::warn!(target: "site", "Requests are left unanswered.");
    }
    let lease = *leased.borrow();
    if lease != 0 {
        let _ = timeout(END, outside.store(&StoreCall::EndLease { lease }, END)).await;
    }
    log::info!(target: "site", calls = &*common.metrics.calls(), received = &*common.metrics.all_received(); "Calls of the outside so far.");
    log::info!(target: "site", did = "stopped", member:% = common.me; "Stopped.");
    Ok(())
}

/// Tells how many calls of the outside were made, again and again: a process that is killed takes
/// its counters along.
async fn tell_calls(common: Arc<Common>) {
    loop {
        sleep(CALLS).await;
        log::info!(target: "site", calls = &*common.metrics.calls(), received = &*common.metrics.all_received(); "Calls of the outside so far.");
    }
}

/// Serves callers, the balancer and who reads metrics, until some time after the signal to stop.
async fn serve_callers(
    common: Arc<Common>,
    callers: TcpListener,
    ready: TcpListener,
    metrics: TcpListener,
    told: Sender<Told>,
) -> io::Result<()> {
    let listen = tokio::net::TcpListener::from_std;
    let (callers, ready, metrics) = (listen(callers)?, listen(ready)?, listen(metrics)?);
    let shared = common.clone();
    tokio::spawn(serve(ready, PAGES, pending(), move |head, _| {
        let ready = shared.ready();
        shared.metrics.ready(ready);
        let status = match (head.uri.path() == shared.forms.ready, ready) {
            (true, true) => 200,
            (true, false) => 503,
            (false, _) => 404,
        };
        async move { answer(status, "") }
    }));
    let (pages, shared) = (common.metrics.clone(), common.clone());
    tokio::spawn(serve(metrics, PAGES, pending(), move |head, _| {
        let now = shared.now();
        pages.age("configuration", now - shared.configured());
        pages.age("configuration_confirmed", now - shared.confirmed());
        pages.age("store", shared.contact().map_or(Duration::MAX, |at| now - at));
        let page = pages.page(head.uri.path());
        async move { page }
    }));
    let entry = Arc::new(Entry::new(common.clone(), told));
    let stop = async move {
        common.stopped().await;
        sleep(LINGER).await;
    };
    serve(callers, CALLERS, stop, move |head, body| entry.clone().serve(head, body)).await;
    Ok(())
}

impl Listeners {
    fn bind(site: &Site) -> Result<Self, Error> {
        let bind = |addr: SocketAddr, what: &str| {
            let tcp = TcpListener::bind(addr).and_then(|l| {
                l.set_nonblocking(true)?;
                Ok(l)
            });
            tcp.map_err(|e| Error::new(Kind::BadSettings, format!("{what} at {addr}: {e}")))
        };
        Ok(Listeners {
            callers: bind(site.callers, "callers")?,
            ready: bind(site.ready, "ready")?,
            control: bind(site.control, "control")?,
            metrics: bind_first(&site.metrics, |addr| bind(addr, "metrics"))?,
        })
    }
}

/// Listens at the first address that is free.
fn bind_first(
    all: &[SocketAddr],
    bind: impl Fn(SocketAddr) -> Result<TcpListener, Error>,
) -> Result<TcpListener, Error> {
    let mut failed = Error::new(Kind::BadSettings, "there is no address for metrics");
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
            hang: signal(SignalKind::hangup())?,
            term: signal(SignalKind::terminate())?,
            int: signal(SignalKind::interrupt())?,
        })
    }

    /// Reads the settings again when told so, and stops the member when told so.
    async fn heed(mut self, common: Arc<Common>, settings: PathBuf) {
        loop {
            tokio::select! {
                _ = self.hang.recv() => reload(&common, &settings),
                _ = self.term.recv() => stop(&common),
                _ = self.int.recv() => stop(&common),
            }
        }
    }
}

fn stop(common: &Common) {
    if !common.stop.send_replace(true) {
        log::info!(target: "site", did = "stopping", member:% = common.me; "Told to stop.");
    }
}

/// Takes over what may change while the process runs; the addresses it listens on may not.
fn reload(common: &Common, settings: &Path) {
    match read(common.forms, settings) {
        Ok(site) => {
            let old = common.site.send_replace(Arc::new(site.clone()));
            let same = (old.callers, old.ready, old.control, &old.metrics)
                == (site.callers, site.ready, site.control, &site.metrics);
            log::info!(target: "site", did = "reloaded", same_store = old.store == site.store, same_advice = old.advice == site.advice; "The settings were read again.");
            if !same {
                log::warn!(target: "site", "New addresses to listen on count from the next start.");
            }
        }
        Err(e) => log::error!(target: "site", "The settings stay as they were: {e}."),
    }
}

fn read(forms: &Forms, settings: &Path) -> Result<Site, Error> {
    let named = |e: &dyn std::fmt::Display| {
        Error::new(Kind::BadSettings, format!("{}: {e}", settings.display()))
    };
    let text = std::fs::read_to_string(settings).map_err(|e| named(&e))?;
    (forms.settings)(&text)
}

/// A number that no other process draws.
///
/// Guards against machines that start at the same moment with alike clocks and memory: a number
/// drawn from these alone would come twice, and two members would hold one row of the table.
fn draw(site: &Site) -> u64 {
    let time = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    let random = RandomState::new().hash_one(std::process::id());
    let what = format!("{} {} {} {random}", site.node, site.control, time.as_nanos());
    xxhash_rust::xxh3::xxh3_64(what.as_bytes())
}

/// Lets this thread draw other numbers than any other thread of any member.
fn seed(me: Incarnation, thread: &str) {
    fastrand::seed(xxhash_rust::xxh3::xxh3_64(format!("{me} {thread}").as_bytes()));
}

fn duty<F>(
    name: &'static str,
    me: Incarnation,
    run: impl FnOnce() -> F + Send + 'static,
) -> io::Result<()>
where
    F: Future<Output = io::Result<()>>,
{
    thread::Builder::new().name(name.into()).spawn(move || {
        seed(me, name);
        let done = runtime().and_then(|r| r.block_on(run()));
        if let Err(e) = done {
            log::error!(target: "site", "The duty {name} has ended: {e}.");
        }
    })?;
    Ok(())
}

fn runtime() -> io::Result<Runtime> {
    Builder::new_current_thread().enable_all().build()
}
