//! The connections of a listener, as its server and the handlers of its requests share them.
//!
//! [`Intake`] decides which connection makes room for others; here the connections hear of it, and
//! operators by a metric and a log line.

use {
    crate::{
        clock::Clock,
        decide::intake::{ConnectionId, Grown, Intake},
        error::{Error, Kind},
        metrics::{ListenerMetrics, Metrics},
        time::Time,
    },
    rustc_hash::FxHashMap,
    std::{
        sync::{
            Arc, Mutex, MutexGuard, OnceLock, PoisonError,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tokio::sync::Notify,
};

/// Interval between two log lines of a listener whose limits are reached.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// The limits of a listener's clients together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SharedLimits {
    /// The most connections that are served at a time.
    pub connections: usize,
    /// The most connections that are being refused or closed at a time, each.
    pub closing: usize,
    /// The most bytes that requests hold, from their first byte to their answer.
    pub held: usize,
}

impl SharedLimits {
    /// Limits with room for a sixteenth more connections that are being closed, and as many that are
    /// being refused.
    pub const fn new(connections: usize, held: usize) -> Self {
        let closing = if connections < 16 { 1 } else { connections / 16 };
        SharedLimits { connections, closing, held }
    }
}

/// A limit that was reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reached {
    /// A connection was closed to make room for another one.
    Connections,
    /// A connection was closed to make room for the bytes of another request.
    Bytes,
    /// A new connection was refused.
    Refused,
    /// A new connection was closed without an answer, as too many are being refused already.
    Dropped,
    /// A client did not read its answer in time.
    Unread,
}

impl Reached {
    const ALL: [Reached; 5] =
        [Reached::Connections, Reached::Bytes, Reached::Refused, Reached::Dropped, Reached::Unread];

    fn label(self) -> &'static str {
        match self {
            Reached::Connections => "connections",
            Reached::Bytes => "bytes",
            Reached::Refused => "refused",
            Reached::Dropped => "dropped",
            Reached::Unread => "unread",
        }
    }
}

/// The connections of a listener.
#[derive(Clone)]
pub(crate) struct Connections {
    shared: Arc<Shared>,
}

struct Shared {
    listener: &'static str,
    clock: Clock,
    metrics: Option<ListenerMetrics>,
    state: Mutex<State>,
}

struct State {
    intake: Intake,
    /// How each connection is told to close.
    open: FxHashMap<ConnectionId, Arc<Closing>>,
    /// How often each limit was reached since the last log line.
    reached: [u64; Reached::ALL.len()],
    logged_at: Option<Time>,
}

/// Tells a connection to close.
#[derive(Default)]
struct Closing {
    /// The kind of the refusal, once it is told.
    reason: OnceLock<Kind>,
    notify: Notify,
}

/// An open connection; it leaves its listener's count when it is dropped.
pub(crate) struct Connection {
    id: ConnectionId,
    all: Connections,
    closing: Arc<Closing>,
    /// Whether bytes of an incomplete request have been read.
    unfinished: AtomicBool,
    /// Whether the head of the present request is complete.
    in_body: AtomicBool,
}

impl Connections {
    /// No connections. The listener's name is that of the metric and of the log line.
    pub fn new(listener: &'static str, limits: &SharedLimits, metrics: Option<&Metrics>) -> Self {
        let metrics = metrics.map(|m| m.listener(listener));
        let intake = Intake::new(limits.connections, limits.closing, limits.held);
        let (open, reached) = Default::default();
        let state = Mutex::new(State { intake, open, reached, logged_at: None });
        Connections { shared: Arc::new(Shared { listener, clock: Clock::start(), metrics, state }) }
    }

    /// Admits a connection.
    ///
    /// # Errors
    ///
    /// [`Kind::Connections`] if there are too many.
    pub(crate) fn open(&self) -> Result<Connection, Error> {
        let now = self.shared.clock.now();
        let mut state = self.lock();
        let (id, closed) = state.intake.open(now).map_err(|_| Kind::Connections)?;
        let closing = Arc::new(Closing::default());
        state.open.insert(id, closing.clone());
        state.tell(closed.as_slice(), Kind::Connections);
        self.report(state, u64::from(closed.is_some()), Reached::Connections, now);
        let (unfinished, in_body) = Default::default();
        Ok(Connection { id, all: self.clone(), closing, unfinished, in_body })
    }

    /// Records that a limit was reached.
    pub(crate) fn count(&self, limit: Reached) {
        self.report(self.lock(), 1, limit, self.shared.clock.now());
    }

    /// Counts connections that were closed for a limit, and logs that if it is due.
    fn report(&self, mut state: MutexGuard<'_, State>, count: u64, limit: Reached, now: Time) {
        let Shared { listener, metrics, .. } = &*self.shared;
        let (connections, held) = (state.intake.connection_count(), state.intake.held());
        if let Some(metrics) = metrics {
            metrics.set(connections, held);
            if count > 0 {
                metrics.count_limited(limit.label(), count);
            }
        }
        state.reached[limit as usize] += count;
        let due = state.logged_at.is_none_or(|at| now - at >= LOG_INTERVAL);
        if count == 0 || !due {
            return;
        }
        state.logged_at = Some(now);
        let [closed, bytes, refused, dropped, unread] = std::mem::take(&mut state.reached);
        drop(state);
        log::warn!(target: "clients", did = "limited", listener, connections, held, closed, bytes, refused, dropped, unread; "Clients are over a limit.");
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    /// Tells connections to close.
    fn tell(&self, all: &[ConnectionId], reason: Kind) {
        for closing in all.iter().filter_map(|id| self.open.get(id)) {
            // The first reason stands; a connection is told once.
            let _ = closing.reason.set(reason);
            closing.notify.notify_waiters();
        }
    }
}

impl Connection {
    /// Completes once this connection must close.
    pub async fn wait_closing(&self) {
        let told = self.closing.notify.notified();
        tokio::pin!(told);
        // Registers before the reason is read, so that no notification is missed.
        told.as_mut().enable();
        if self.closing.reason.get().is_none() {
            told.await;
        }
    }

    /// Returns an error if this connection must close.
    pub fn check(&self) -> Result<(), Error> {
        match self.closing.reason.get() {
            Some(reason) => Err((*reason).into()),
            None => Ok(()),
        }
    }

    /// Adds bytes to what the present request holds.
    ///
    /// # Errors
    ///
    /// [`Kind::Memory`] if there is no room for them.
    pub fn hold(&self, bytes: usize) -> Result<(), Error> {
        let now = self.all.shared.clock.now();
        let mut state = self.all.lock();
        let Grown { closed, refused } = state.intake.grow(self.id, bytes, now);
        state.tell(&closed, Kind::Memory);
        let count = closed.len() as u64 + u64::from(refused);
        if count > 0 {
            self.all.report(state, count, Reached::Bytes, now);
        } else {
            drop(state);
        }
        if refused { Err(Kind::Memory.into()) } else { self.check() }
    }

    /// Records bytes that were read before the request's head is complete.
    pub fn received(&self, bytes: usize) {
        self.unfinished.store(true, Ordering::Relaxed);
        if !self.in_body.load(Ordering::Relaxed) {
            // A connection that must close hears of it by itself.
            let _ = self.hold(bytes);
        }
    }

    /// Records that the head of the request is complete.
    pub fn start_body(&self) {
        self.in_body.store(true, Ordering::Relaxed);
    }

    /// Records that the request is complete; from now on it isn't given up.
    ///
    /// # Errors
    ///
    /// The refusal, if this connection must close already.
    pub fn start_serving(&self) -> Result<(), Error> {
        self.unfinished.store(false, Ordering::Relaxed);
        let mut state = self.all.lock();
        // The lock keeps others from telling it to close meanwhile.
        self.check()?;
        state.intake.start_serving(self.id);
        Ok(())
    }

    /// Records that the request is answered.
    pub fn finish(&self) {
        self.in_body.store(false, Ordering::Relaxed);
        let now = self.all.shared.clock.now();
        self.all.lock().intake.finish(self.id, now);
    }

    /// Returns whether the head of a request is complete, and its answer isn't.
    pub fn is_in_request(&self) -> bool {
        self.in_body.load(Ordering::Relaxed)
    }

    /// Returns whether the client may still send a request that was not read to its end.
    pub fn is_unfinished(&self) -> bool {
        self.unfinished.load(Ordering::Relaxed)
    }

    /// Counts that the client didn't read its answer.
    pub fn count_unread(&self) {
        self.all.count(Reached::Unread);
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        let mut state = self.all.lock();
        state.intake.close(self.id);
        state.open.remove(&self.id);
        let (connections, held) = (state.intake.connection_count(), state.intake.held());
        drop(state);
        if let Some(metrics) = &self.all.shared.metrics {
            metrics.set(connections, held);
        }
    }
}
