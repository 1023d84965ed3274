//! One member process: a thread for each function, connected by bounded rings.

use {
    crate::{
        callers::Callers,
        client_stream::Drain,
        clock::{self, Clock},
        connections::SharedLimits,
        core::Core,
        endpoints,
        error::{Error, Kind},
        event::{Event, Inbox, OperatorReply, Order, Outcome, Ticket, Verdict},
        gate::Gate,
        http::Failure,
        ids::Incarnation,
        kv::Kv,
        kv_session::Session,
        messages::MemberRecord,
        metrics::Metrics,
        operators::Operators,
        peers::Peers,
        rpc,
        server::{Limits, Server, page_limits},
        settings::{LimitSettings, Settings},
        time::Time,
    },
    async_channel::{Receiver, Sender, TrySendError, bounded},
    hyper::http::request::Parts,
    std::{
        future::Future,
        io,
        net::{SocketAddr, TcpListener},
        sync::Arc,
        thread::{self, JoinHandle},
        time::Duration,
    },
    tokio::{
        runtime::{Builder, Runtime},
        signal::unix::{SignalKind, signal},
        sync::watch,
        time::{MissedTickBehavior, interval},
    },
};

/// Capacity of the ring of events for the decision thread: one second of the peak load.
const EVENT_RING_LEN: usize = 16 * 1024;
/// Capacity of the ring of orders for each of the other threads.
const ORDER_RING_LEN: usize = 8 * 1024;
/// Interval of the ticks for the decision thread.
const TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum number of connections for the pages.
const MAX_PAGE_CONNECTIONS: usize = 64;

/// The addresses that a running member listens on.
struct Listeners {
    callers: TcpListener,
    operators: TcpListener,
    control: TcpListener,
    bodies: TcpListener,
    metrics: TcpListener,
}

/// Runs a member until it is told to stop and has handed over everything that it owns.
///
/// Errs with [`Kind::BadSettings`] before any thread starts if an address can't be listened on.
pub fn run(settings: &Settings) -> Result<(), Error> {
    let listeners = Listeners::bind(settings)?;
    let local =
        |l: &TcpListener| l.local_addr().map_err(|e| Error::new(Kind::BadSettings, e.to_string()));
    let record = MemberRecord {
        incarnation: Incarnation(fastrand::u64(1..)),
        zone: settings.member.zone.clone(),
        control: local(&listeners.control)?,
        bodies: local(&listeners.bodies)?,
        callers: local(&listeners.callers)?,
        draining: false,
    };
    println!(
        "ready member={} callers={} operators={} metrics={}",
        record.incarnation,
        record.callers,
        local(&listeners.operators)?,
        local(&listeners.metrics)?,
    );
    start(settings, listeners, record).map_err(|e| Error::new(Kind::BadSettings, e.to_string()))
}

impl Listeners {
    fn bind(settings: &Settings) -> Result<Self, Error> {
        let m = &settings.member;
        let bind = |addr: SocketAddr, key: &str| {
            let tcp = TcpListener::bind(addr).and_then(|l| {
                l.set_nonblocking(true)?;
                Ok(l)
            });
            tcp.map_err(|e| Error::new(Kind::BadSettings, format!("[member] {key} = {addr}: {e}")))
        };
        Ok(Listeners {
            callers: bind(m.callers, "callers")?,
            operators: bind(m.operators, "operators")?,
            control: bind(m.control, "control")?,
            bodies: bind(m.bodies, "bodies")?,
            metrics: bind(m.metrics, "metrics")?,
        })
    }
}

/// The limits of callers, according to the settings.
fn client_limits(settings: &LimitSettings) -> Limits {
    let size = |n: u64| usize::try_from(n).unwrap_or(usize::MAX);
    let connections = size(settings.connections);
    Limits {
        head: size(settings.head),
        receive_buffer: Some(size(settings.buffer)),
        drain: Drain { bytes: size(settings.drain), ..Limits::new(0, 0, Duration::ZERO).drain },
        shared: SharedLimits::new(connections, size(settings.held)),
        ..Limits::new(size(settings.body), connections, Duration::from_millis(settings.header))
    }
}

/// The decision thread's ends of the rings to the other threads.
struct Rings {
    replies: Sender<(Ticket, Verdict)>,
    endpoints: Sender<Order>,
    peers: Sender<Order>,
    operators: Sender<(Ticket, OperatorReply)>,
    session: Sender<Order>,
}

fn start(settings: &Settings, listeners: Listeners, record: MemberRecord) -> io::Result<()> {
    let metrics = Arc::new(Metrics::new());
    let clock = Clock::start();
    let gate = Gate::new(&settings.member.secret, metrics.clone());
    let (inbox, events) = bounded(EVENT_RING_LEN);
    let (replies, reply) = bounded(ORDER_RING_LEN);
    let (to_endpoints, endpoint) = bounded(ORDER_RING_LEN);
    let (to_peers, peer) = bounded(ORDER_RING_LEN);
    let (to_operators, operator) = bounded(ORDER_RING_LEN);
    let (to_session, session) = bounded(ORDER_RING_LEN);
    let (stop, stopped) = watch::channel(false);
    let limits = client_limits(&settings.limits);
    let size = |n: u64| usize::try_from(n).unwrap_or(usize::MAX);
    let (max_peers, buffer) = (size(settings.limits.peers), size(settings.limits.buffer));
    let forwarded = size(settings.limits.forwarded);
    let rpc_limits = rpc::limits(max_peers, limits.shared.held, buffer);
    let wait = move || {
        let mut stopped = stopped.clone();
        async move {
            // A disconnected sender is handled like a stop.
            while !*stopped.borrow_and_update() && stopped.changed().await.is_ok() {}
        }
    };
    let mut threads: Vec<JoinHandle<()>> = vec![];
    let (callers_inbox, callers_metrics, me) = (inbox.clone(), metrics.clone(), record.incarnation);
    let (callers_gate, callers_stop) = (gate.clone(), wait.clone());
    threads.push(spawn_thread("callers", move || async move {
        let callers = Callers {
            me,
            callers: tokio::net::TcpListener::from_std(listeners.callers)?,
            bodies: tokio::net::TcpListener::from_std(listeners.bodies)?,
            limits,
            forwarded,
            secret: callers_gate,
            inbox: callers_inbox,
            replies: reply,
            clock,
            metrics: callers_metrics,
        };
        callers.run(callers_stop).await;
        Ok(())
    })?);
    let (endpoint_inbox, endpoint_metrics) = (inbox.clone(), metrics.clone());
    threads.push(spawn_thread("endpoints", move || async move {
        endpoints::run(endpoint, endpoint_inbox, clock, endpoint_metrics).await;
        Ok(())
    })?);
    let peers = Peers {
        control: listeners.control,
        secret: gate.clone(),
        inbox: inbox.clone(),
        orders: peer,
        metrics: metrics.clone(),
        limits: rpc_limits,
    };
    threads.push(spawn_thread("peers", move || peers.run())?);
    let operators = Operators {
        listener: listeners.operators,
        secret: gate,
        inbox: inbox.clone(),
        answers: operator,
        limits: rpc_limits,
    };
    threads.push(spawn_thread("operators", move || operators.run())?);
    let kv_session = Session {
        kv: Kv::new(settings.platform.kv),
        vms: settings.platform.vms,
        record: record.clone(),
        inbox: inbox.clone(),
        orders: session,
        clock,
        metrics: metrics.clone(),
    };
    threads.push(spawn_thread("session", move || async move {
        kv_session.run().await;
        Ok(())
    })?);
    let (pages, page_metrics, page_stop) = (listeners.metrics, metrics.clone(), wait());
    threads.push(spawn_thread("metrics", move || async move {
        let listener = tokio::net::TcpListener::from_std(pages)?;
        let limits = page_limits(MAX_PAGE_CONNECTIONS);
        let metrics = Some(page_metrics.clone());
        let server = Server { listener, name: "metrics", limits, metrics };
        let page = move |head: Parts, _| {
            let page = page_metrics.page(head.uri.path());
            async move { page }
        };
        server.run(page_stop, |_| Ok(0), page).await;
        Ok(())
    })?);
    threads.push(spawn_thread("signals", move || signals(inbox))?);
    let unix = clock::unix_time().as_secs();
    let rings = Rings {
        replies,
        endpoints: to_endpoints,
        peers: to_peers,
        operators: to_operators,
        session: to_session,
    };
    let core = Core::new(record, unix, metrics.clone());
    runtime()?.block_on(decide(core, events, rings, clock, &metrics));
    stop.send_replace(true);
    // The signal thread never ends; the others end when their rings close and their last replies
    // are sent.
    for thread in threads.into_iter().filter(|t| t.thread().name() != Some("signals")) {
        let _ = thread.join();
    }
    log::info!(target: "member", "Stopped.");
    Ok(())
}

/// The decision thread: receives events, sends ticks, and distributes the orders.
async fn decide(
    mut core: Core,
    events: Receiver<Event>,
    rings: Rings,
    clock: Clock,
    metrics: &Metrics,
) {
    let mut ticks = interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        let mut event = tokio::select! {
            biased;
            _ = ticks.tick() => Event::Tick,
            event = events.recv() => match event {
                Ok(event) => event,
                Err(_) => return,
            },
        };
        loop {
            let mut bounced = vec![];
            for order in core.handle(event, clock.now()) {
                if matches!(order, Order::Stop) {
                    return;
                }
                bounced.extend(rings.send(order, metrics));
            }
            if core.draining() {
                clock.start_draining();
            }
            let Some(next) = bounced.pop() else { break };
            event = next;
            for next in bounced {
                for order in core.handle(next, clock.now()) {
                    let _ = rings.send(order, metrics);
                }
            }
        }
    }
}

impl Rings {
    /// Passes an order on. Returns the resulting event if the ring is full.
    ///
    /// A final reply is never dropped. The receiving thread takes replies without waiting for
    /// anything, so the wait here is short and can't become circular.
    fn send(&self, order: Order, metrics: &Metrics) -> Option<Event> {
        let (ring, name) = match order {
            Order::Reply(ticket, verdict) => {
                let _ = self.replies.send_blocking((ticket, verdict));
                return None;
            }
            Order::ReplyOperator(ticket, answer) => {
                let _ = self.operators.send_blocking((ticket, answer));
                return None;
            }
            Order::ReplyPeer(..) => {
                let _ = self.peers.send_blocking(order);
                return None;
            }
            Order::Run(_) | Order::Worker(..) | Order::Report(..) | Order::Fence(..) => {
                (&self.endpoints, "endpoints")
            }
            Order::Forward(_) | Order::Call(..) => (&self.peers, "peers"),
            Order::Get(..) | Order::Put(..) | Order::Register(_) => (&self.session, "session"),
            Order::Stop => return None,
        };
        match ring.try_send(order) {
            Ok(()) => None,
            Err(TrySendError::Full(order) | TrySendError::Closed(order)) => {
                metrics.ring_full.with_label_values(&[name]).inc();
                undelivered(order)
            }
        }
    }
}

/// The event that reports an order that its thread never received.
fn undelivered(order: Order) -> Option<Event> {
    let full = || Outcome::Refused(Kind::RingFull.into());
    match order {
        Order::Run(r) => {
            Some(Event::DispatchEnded { request: r.request, worker: r.worker, outcome: full() })
        }
        Order::Forward(f) => {
            Some(Event::Forwarded { request: f.request, to: f.to, outcome: full() })
        }
        Order::Worker(worker, _, ask, _) => Some(Event::WorkerReplied {
            worker,
            ask,
            sent: Time::ZERO,
            reply: Err(Failure::Unsent),
        }),
        Order::Report(worker, _) => Some(Event::Reported { worker, report: Err(Failure::Unsent) }),
        Order::Call(to, _, call) => {
            Some(Event::PeerReplied { to, call, back: Err(Failure::Unsent) })
        }
        Order::Get(purpose, _) => Some(Event::RecordRead(purpose, Err(Failure::Unsent))),
        Order::Put(purpose, ..) => Some(Event::RecordWritten(purpose, Err(Failure::Unsent))),
        _ => None,
    }
}

/// Stops the member in order at the first signal, and immediately at the second.
async fn signals(inbox: Inbox) -> io::Result<()> {
    let mut term = signal(SignalKind::terminate())?;
    let mut int = signal(SignalKind::interrupt())?;
    let mut told = false;
    loop {
        tokio::select! {
            _ = term.recv() => {}
            _ = int.recv() => {}
        }
        if told {
            log::warn!(target: "member", "Stopped at once.");
            std::process::exit(1);
        }
        told = true;
        let _ = inbox.send(Event::Drain).await;
    }
}

fn spawn_thread<F>(
    name: &str,
    run: impl FnOnce() -> F + Send + 'static,
) -> io::Result<JoinHandle<()>>
where
    F: Future<Output = io::Result<()>>,
{
    let own: Box<str> = name.into();
    thread::Builder::new().name(name.into()).spawn(move || {
        let done = runtime().and_then(|r| r.block_on(run()));
        if let Err(e) = done {
            log::error!(target: "member", "The duty {own} has ended: {e}.");
        }
    })
}

fn runtime() -> io::Result<Runtime> {
    Builder::new_current_thread().enable_all().build()
}
