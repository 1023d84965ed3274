//! The requests at one member: claiming a key, waiting, running at an endpoint, or forwarded to a peer.
//!
//! Stores the requests and their counts; [`core`](crate::core), the only caller, decides how a request
//! moves from one stage to the next. Every request gets exactly one final answer, as soon as that
//! answer is decided.

mod keys;

pub(crate) use self::keys::{
    Claim, END_RETRY, OWN_END_MARK, REASK_MARK, digest, end, stored_answer,
};
use {
    self::keys::Keys,
    crate::{
        decide::{
            admit::Gate,
            fair::{Item, Queue},
            forward::PeerSelector,
            retry::RetryAllowance,
        },
        event::{ClientRequest, Ticket},
        ids::{CallerId, Incarnation, RequestId, ServiceId},
        messages::{MemberRecord, ServiceLoad},
        text::Service,
        time::Time,
    },
    fastrand::Rng,
    rustc_hash::FxHashMap,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// How long a request is retried while its bucket or its service's racks change owners. A planned
/// handover takes a few writes of some milliseconds each; a takeover takes longer, and its callers
/// have to retry.
const RETRY_WINDOW: Duration = Duration::from_secs(2);

/// The requests at one member.
pub struct Requests {
    pub(crate) table: FxHashMap<RequestId, Pending>,
    pub(crate) tickets: FxHashMap<Ticket, RequestId>,
    pub(crate) services: BTreeMap<ServiceId, ServiceRequests>,
    pub(crate) keys: Keys,
    pub(crate) spreads: BTreeMap<ServiceId, PeerSelector>,
    pub(crate) budget: RetryAllowance,
    pub(crate) retries: BTreeSet<(Time, RequestId)>,
    /// When an endpoint of each service was last known, here or at a peer.
    pub(crate) last_served: BTreeMap<ServiceId, Time>,
}

/// The requests of one service that wait here, and those that run at endpoints of this member.
pub(crate) struct ServiceRequests {
    pub(crate) gate: Gate,
    pub(crate) queue: Queue,
    pub(crate) running: FxHashMap<RequestId, (Item, Time)>,
}

/// A request that has no final answer yet.
pub(crate) struct Pending {
    pub(crate) ask: ClientRequest,
    pub(crate) deadline: Time,
    /// Until when it is retried while its bucket, or its service's racks, change owners.
    pub(crate) retry_until: Option<Time>,
    pub(crate) stage: Stage,
    pub(crate) claim: Option<Claim>,
    pub(crate) tries: u32,
}

/// The stage that a request is in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Stage {
    Claiming,
    Waiting,
    Running,
    Forwarded(Incarnation),
}

impl Pending {
    /// Whether it may be retried; the time limit starts when the first retry is needed.
    ///
    /// It does not start at the request's arrival: a member that was paused would otherwise give up
    /// all its requests at once.
    pub(crate) fn may_retry(&mut self, now: Time) -> bool {
        now < *self.retry_until.get_or_insert(self.deadline.min(now + RETRY_WINDOW))
    }
}

impl Requests {
    /// Creates an empty set of requests.
    pub fn new() -> Self {
        Requests {
            table: FxHashMap::default(),
            tickets: FxHashMap::default(),
            services: BTreeMap::new(),
            keys: Keys::default(),
            spreads: BTreeMap::new(),
            budget: RetryAllowance::new(Time::ZERO),
            retries: BTreeSet::new(),
            last_served: BTreeMap::new(),
        }
    }

    /// Records a peer's report of the load of its services.
    pub fn report(
        &mut self,
        peer: &MemberRecord,
        me: &MemberRecord,
        loads: &[ServiceLoad],
        now: Time,
    ) {
        for load in loads {
            let spread = self.spreads.entry(load.service.clone()).or_insert_with(|| {
                PeerSelector::new(me.zone.clone(), Rng::with_seed(me.incarnation.0))
            });
            spread.record_report(peer.incarnation, &peer.zone, load.clone(), Duration::ZERO, now);
        }
    }

    /// Removes a peer that is stopping or gone.
    pub fn forget(&mut self, peer: Incarnation) {
        self.spreads.values_mut().for_each(|s| s.remove_peer(peer));
    }

    /// Whether any peer is known to serve a service.
    pub fn served(&self, service: &ServiceId) -> bool {
        self.spreads.get(service).is_some_and(PeerSelector::has_slots)
    }

    /// The expected wait of a typical request of a service at this member.
    pub fn wait(&self, id: &ServiceId, service: &Service, now: Time) -> Duration {
        let Some(line) = self.services.get(id) else { return Duration::ZERO };
        let typical = Item {
            id: RequestId(0),
            caller: CallerId("".into()),
            team: service.team.clone(),
            arrived_at: now,
            deadline: now + service.deadline,
            run_time: service.run,
        };
        line.gate.expected_wait(&line.queue, &typical, now)
    }

    /// The number of requests that have no answer yet.
    pub fn len(&self) -> usize {
        self.table.len()
    }

    /// Whether no request waits for its answer and no claim's end has to be reported.
    pub fn is_empty(&self) -> bool {
        self.table.is_empty() && self.keys.is_empty()
    }

    /// The number of requests of a service that wait for a slot.
    pub fn waiting(&self, service: &ServiceId) -> usize {
        self.services.get(service).map_or(0, |l| l.queue.len())
    }
}

impl Default for Requests {
    fn default() -> Self {
        Requests::new()
    }
}
