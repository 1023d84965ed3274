//! The ways to the store that a member's threads share, and how a call is relayed.

use {
    crate::{
        decide::relay::{Relay, Way},
        ids::Incarnation,
        ports::{Fault, Wire},
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

/// A status and a body, or why there is none.
pub type Answer = Result<(u16, Bytes), Fault>;

/// A call of the store as one member hands it to another.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Relayed {
    /// The method.
    pub method: Box<str>,
    /// The path with its query.
    pub path: Box<str>,
    /// Headers besides the host's.
    pub headers: Vec<(Box<str>, Box<str>)>,
    /// The body.
    pub body: Box<str>,
}

impl Relayed {
    /// A call that is to be relayed; nothing where its body is not text.
    pub fn new(wire: &Wire) -> Option<Self> {
        Some(Relayed {
            method: wire.method.into(),
            path: wire.path.clone(),
            headers: wire.headers.iter().map(|(n, v)| ((*n).into(), v.clone())).collect(),
            body: std::str::from_utf8(&wire.body).ok()?.into(),
        })
    }
}

/// A call of the store that is to be relayed.
#[derive(Debug, Serialize, Deserialize)]
pub(crate) struct RelayAsk {
    /// The call.
    pub call: Relayed,
    /// How long it may take, in milliseconds.
    pub limit_ms: u64,
    /// Whether the call may be made twice; members of an earlier version don't say.
    #[serde(default)]
    pub repeats: bool,
}

/// What became of a relayed call.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub(crate) enum RelayAnswer {
    /// The store's answer: its status and body.
    Answered(u16, Box<str>),
    /// Nothing was done.
    Unsent,
    /// It may have been done.
    Unknown,
}

impl From<Answer> for RelayAnswer {
    fn from(answer: Answer) -> Self {
        match answer.map(|(status, body)| (status, String::from_utf8(body.into()))) {
            Ok((status, Ok(body))) => RelayAnswer::Answered(status, body.into()),
            Err(Fault::Unsent | Fault::Refused) => RelayAnswer::Unsent,
            Ok((_, Err(_))) | Err(_) => RelayAnswer::Unknown,
        }
    }
}

impl From<RelayAnswer> for Answer {
    fn from(answer: RelayAnswer) -> Self {
        match answer {
            RelayAnswer::Answered(status, body) => Ok((status, body.into_string().into())),
            RelayAnswer::Unsent => Err(Fault::Unsent),
            RelayAnswer::Unknown => Err(Fault::Unknown),
        }
    }
}

/// Has other members make a call, and returns the answer; nothing where there is nobody to ask. The
/// flag says whether the call may be made twice.
pub type Relayer = Arc<dyn Fn(Wire, bool, Duration) -> Relaying + Send + Sync>;

/// A call on its way through another member.
pub type Relaying = Pin<Box<dyn Future<Output = Option<Answer>> + Send>>;

/// The ways to the store, as all threads of a member know them.
pub struct Ways {
    start: Instant,
    state: Mutex<Relay>,
    lost: watch::Sender<bool>,
}

impl Default for Ways {
    fn default() -> Self {
        let (start, state) = (Instant::now(), Mutex::default());
        Ways { start, state, lost: watch::Sender::new(false) }
    }
}

impl Ways {
    /// The way of a call; `repeats` says whether it may be made twice.
    pub fn way(&self, repeats: bool) -> Way {
        let now = self.now();
        self.state().way(repeats, now)
    }

    /// Whether a call that was not served may be relayed now.
    pub fn open(&self) -> bool {
        let now = self.now();
        !self.state().rests(now)
    }

    /// Takes in a direct call that was sent then: whether the store served it, or why not.
    pub fn direct(&self, sent: Time, fault: Option<&Fault>) {
        let now = self.now();
        let lost = {
            let mut state = self.state();
            match fault {
                Some(Fault::Unknown) => state.unanswered(sent, now),
                fault => state.direct(fault.is_none(), now),
            }
            state.lost()
        };
        let turned = self.lost.send_if_modified(|known| {
            let turned = *known != lost;
            *known = lost;
            turned
        });
        if turned && lost {
            log::warn!(target: "outside", did = "relays"; "The store doesn't serve this member; others are asked to relay.");
        } else if turned {
            log::info!(target: "outside", did = "direct"; "The store serves this member again.");
        }
    }

    /// Waits until the direct way is lost.
    ///
    /// Guards against a watch that waits on a silent connection for as long as it would at the store,
    /// while other calls have shown long ago that nothing comes through.
    pub async fn lost(&self) {
        let mut lost = self.lost.subscribe();
        // An end of the sender can't come while it is borrowed here.
        let _ = lost.wait_for(|l| *l).await;
    }

    /// Whether the direct way is lost.
    pub fn is_lost(&self) -> bool {
        self.state().lost()
    }

    /// Whether this member leaves owning shards to members that the store serves.
    pub fn yields(&self) -> bool {
        let now = self.now();
        self.state().yields(now)
    }

    /// The members to be tried for a call, in order.
    pub fn members(&self, able: &[Incarnation], me: Incarnation) -> Vec<Incarnation> {
        let now = self.now();
        self.state().members(able, me, now)
    }

    /// Takes in a call that a member was asked to relay: whether the store served it.
    pub fn relayed(&self, by: Incarnation, served: bool) {
        let now = self.now();
        self.state().relayed(by, served, now);
    }

    /// Takes in a call that none of the members that were asked has relayed.
    pub fn unrelayed(&self) {
        let now = self.now();
        self.state().unrelayed(now);
    }

    /// The present time, as these ways count it.
    pub fn now(&self) -> Time {
        Time::ZERO + self.start.elapsed()
    }

    fn state(&self) -> MutexGuard<'_, Relay> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
