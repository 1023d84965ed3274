//! Chooses whether calls to the store go direct or through another member, and defines the messages
//! by which one member asks another to relay a call.
//!
//! While the store doesn't serve a member, other members make its calls for it; see
//! [`decide::relay`](crate::decide::relay) for the rules. Without it such a member would refuse its
//! callers and lose its shards. The threads share one state, so that all of them know of a lost
//! connection as soon as the calls of one of them have shown it.

use {
    crate::{
        decide::relay::{RelayState, StorePath},
        ids::Incarnation,
        ports::{Fault, WireRequest},
        time::Time,
    },
    bytes::Bytes,
    serde::{Deserialize, Serialize},
    std::{
        future::Future,
        pin::Pin,
        sync::{Arc, Mutex, MutexGuard, PoisonError},
        time::{Duration, Instant},
    },
    tokio::sync::watch,
};

/// The HTTP status and body of a reply, or the fault if there is no reply.
pub type WireReply = Result<(u16, Bytes), Fault>;

/// A call to the store in the form in which one member passes it to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct RelayedCall {
    /// HTTP method.
    pub method: Box<str>,
    /// Path, including the query.
    pub path: Box<str>,
    /// Headers other than `host`.
    pub headers: Vec<(Box<str>, Box<str>)>,
    /// Request body.
    pub body: Box<str>,
}

impl RelayedCall {
    /// Converts a call; `None` if its body is not UTF-8.
    pub fn new(wire: &WireRequest) -> Option<Self> {
        Some(RelayedCall {
            method: wire.method.into(),
            path: wire.path.clone(),
            headers: wire.headers.iter().map(|(n, v)| ((*n).into(), v.clone())).collect(),
            body: std::str::from_utf8(&wire.body).ok()?.into(),
        })
    }
}

/// A request to another member to make a call to the store.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct RelayRequest {
    /// The call to be made.
    pub call: RelayedCall,
    /// Time limit of the call, in milliseconds.
    pub limit_ms: u64,
    /// Whether the call may be made twice; members of an earlier version don't send it.
    #[serde(default)]
    pub repeats: bool,
}

/// The result of a relayed call.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum RelayReply {
    /// The store answered with this status and body.
    Answered(u16, Box<str>),
    /// The call had no effect and will have none.
    Unsent,
    /// The call may have taken effect, or may do so later.
    Unknown,
}

impl From<WireReply> for RelayReply {
    fn from(answer: WireReply) -> Self {
        match answer.map(|(status, body)| (status, String::from_utf8(body.into()))) {
            Ok((status, Ok(body))) => RelayReply::Answered(status, body.into()),
            Err(Fault::Unsent | Fault::Refused) => RelayReply::Unsent,
            Ok((_, Err(_))) | Err(_) => RelayReply::Unknown,
        }
    }
}

impl From<RelayReply> for WireReply {
    fn from(answer: RelayReply) -> Self {
        match answer {
            RelayReply::Answered(status, body) => Ok((status, body.into_string().into())),
            RelayReply::Unsent => Err(Fault::Unsent),
            RelayReply::Unknown => Err(Fault::Unknown),
        }
    }
}

/// A function that asks other members to make a call and returns the reply; `None` if there is no
/// member to ask.
///
/// The flag says whether the call may be made twice, the duration is its time limit.
pub type Relayer = Arc<dyn Fn(WireRequest, bool, Duration) -> RelayFuture + Send + Sync>;

/// The future of a call that other members are asked to make.
pub type RelayFuture = Pin<Box<dyn Future<Output = Option<WireReply>> + Send>>;

/// Decides whether calls to the store go direct or through other members; shared by a member's
/// threads.
pub struct StoreRoutes {
    /// The time at which [`StoreRoutes::now`] is zero.
    start: Instant,
    state: Mutex<RelayState>,
    /// Publishes whether the direct connection is lost.
    lost: watch::Sender<bool>,
}

impl Default for StoreRoutes {
    fn default() -> Self {
        let (start, state) = (Instant::now(), Mutex::default());
        StoreRoutes { start, state, lost: watch::Sender::new(false) }
    }
}

impl StoreRoutes {
    /// Chooses whether a call goes direct or is relayed; `repeats` says whether it may be made
    /// twice.
    pub fn choose(&self, repeats: bool) -> StorePath {
        let now = self.now();
        self.state().choose_path(repeats, now)
    }

    /// Returns whether a call that was not served may be relayed now.
    pub fn may_relay(&self) -> bool {
        let now = self.now();
        !self.state().is_relaying_paused(now)
    }

    /// Records the result of a direct call that was sent at `sent`: served if `fault` is `None`.
    ///
    /// Logs when the direct connection is lost or restored.
    pub fn record_direct(&self, sent: Time, fault: Option<&Fault>) {
        let now = self.now();
        let lost = {
            let mut state = self.state();
            match fault {
                Some(Fault::Unknown) => state.record_timeout(sent, now),
                fault => state.record_direct_call(fault.is_none(), now),
            }
            state.is_direct_lost()
        };
        let changed = self.lost.send_if_modified(|known| {
            let changed = *known != lost;
            *known = lost;
            changed
        });
        if changed && lost {
            log::warn!(target: "outside", did = "relays"; "The store doesn't serve this member; others are asked to relay.");
        } else if changed {
            log::info!(target: "outside", did = "direct"; "The store serves this member again.");
        }
    }

    /// Waits until the direct connection to the store counts as lost.
    ///
    /// Lets a watch on an unresponsive connection end early. Otherwise it would wait for its full
    /// time, although other calls have shown that the store doesn't answer.
    pub async fn wait_direct_lost(&self) {
        let mut lost = self.lost.subscribe();
        // The sender can't be dropped while `self` is borrowed.
        let _ = lost.wait_for(|l| *l).await;
    }

    /// Returns the reply to a watch that was sent while the direct connection was lost.
    ///
    /// Lets the watch end early once the direct connection is restored. Otherwise a relaying member
    /// that is suspended, or a direct call that the store never answers, would hold it for its full
    /// time, and this member would not hear of any change.
    ///
    /// # Errors
    ///
    /// As `reply`; [`Fault::Unknown`] if the direct connection is restored first.
    pub async fn until_restored(&self, reply: impl Future<Output = WireReply>) -> WireReply {
        let mut lost = self.lost.subscribe();
        tokio::select! {
            biased;
            reply = reply => reply,
            // The sender can't be dropped while `self` is borrowed.
            _ = lost.wait_for(|l| !*l) => Err(Fault::Unknown),
        }
    }

    /// Returns whether the direct connection is lost.
    pub fn is_direct_lost(&self) -> bool {
        self.state().is_direct_lost()
    }

    /// Returns whether this member should leave its shards to members that the store serves.
    pub fn yields_shards(&self) -> bool {
        let now = self.now();
        self.state().yields_ownership(now)
    }

    /// Returns which of the members in `able` to ask to relay a call, in order of preference.
    pub fn candidates(&self, able: &[Incarnation], me: Incarnation) -> Vec<Incarnation> {
        let now = self.now();
        self.state().relay_candidates(able, me, now)
    }

    /// Records a call that member `by` was asked to relay, and whether the store served it.
    pub fn record_relayed(&self, by: Incarnation, served: bool) {
        let now = self.now();
        self.state().record_relay(by, served, now);
    }

    /// Records that none of the members that were asked relayed a call.
    pub fn record_unrelayed(&self) {
        let now = self.now();
        self.state().record_unrelayed(now);
    }

    /// Returns the time since this value was created; the other methods use the same clock.
    pub fn now(&self) -> Time {
        Time::ZERO + self.start.elapsed()
    }

    fn state(&self) -> MutexGuard<'_, RelayState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
