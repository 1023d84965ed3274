//! The decision thread: takes events and returns orders, in one thread and without I/O.
//!
//! Everything that must be repeated until it takes effect (fences, beats, reports, notices of ended
//! attempts) is driven by [`Event::Tick`] and by state, not by single messages. A message that was
//! dropped because a ring was full is therefore sent again.

mod calls;
mod claims;
mod liveness;
mod operate;
mod owners;
mod requests;
mod work;

use {
    crate::{
        config::Config,
        event::{Call, Event, Order, Purpose, Ticket},
        ids::{Bucket, Incarnation, RackId, RequestId, RowId},
        jobs::Jobs,
        messages::{Beat, Handover, MemberRecord, OwnersRecord, ReserveAsk},
        metrics::Metrics,
        ownership::{Ownership, Swap},
        racks::Racks,
        requests::Requests,
        time::Time,
        vm_cache::VmCache,
    },
    rustc_hash::FxHashMap,
    std::{collections::BTreeMap, mem, sync::Arc, time::Duration},
};

/// The prefix of the records that every member watches.
pub const SHARED: &str = "shared/";
const MEMBERS_PREFIX: &str = "shared/members/";
const OWNERS_PREFIX: &str = "shared/owners/";
const BUCKETS_TABLE: &str = "buckets";

/// Interval between the beats that a peer gets from this member.
const BEAT_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum time since a peer was last heard for the peer to count as in contact.
const CONTACT_TIMEOUT: Duration = Duration::from_secs(3);
/// If the key-value store has answered a peer this much later than it last answered here, this
/// member is cut off. All members renew each second, so in an outage of the store their last
/// replies are less than 2 s apart; a lease has run for 3.4 s without a reply when this is checked.
const CUT_OFF_LAG: Duration = Duration::from_secs(2);
/// Interval between checks of ownership.
const OWNERSHIP_INTERVAL: Duration = Duration::from_millis(100);
/// How long a stopping member continues after its last work, so that a load balancer sees it leave.
const STOP_DELAY: Duration = Duration::from_secs(1);
/// The longest time that a member with a configuration waits for endpoints of every service before
/// it is ready. It covers a takeover with its fences and delayed reports; a service without
/// endpoints after that has none anywhere.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// How long a reservation for urgent work waits for room to be made. A caller's call lasts longer.
const PREEMPT_TIMEOUT: Duration = Duration::from_millis(900);

/// What this member knows of a peer.
struct Peer {
    last_heard: Time,
    beat: Option<Beat>,
    /// When the key-value store last answered the peer.
    kv_contact: Time,
    due: Time,
    in_flight: bool,
}

/// A handover that its receiver has not accepted yet.
struct PendingHandover {
    to: Incarnation,
    handover: Handover,
    since: Time,
    due: Time,
}

/// All state of one member.
pub struct Core {
    me: MemberRecord,
    ownership: Ownership,
    pub(crate) racks: Racks,
    pub(crate) jobs: Jobs,
    pub(crate) config: Config,
    pub(crate) requests: Requests,
    pub(crate) out: Vec<Order>,
    pub(crate) metrics: Arc<Metrics>,
    peers: BTreeMap<Incarnation, Peer>,
    claims: FxHashMap<RequestId, Ticket>,
    handovers: Vec<PendingHandover>,
    early_handovers: Vec<(Handover, Time)>,
    next_check: Time,
    ready_at: Option<Time>,
    drain_since: Option<Time>,
    idle_since: Option<Time>,
    fetching: bool,
    fetched_at: Time,
    urgent: Vec<Urgent>,
    vm_cache: VmCache,
    unreached: Vec<(Incarnation, Call)>,
    /// Whether the log already says that requests are refused because the configuration may be old.
    stale_logged: bool,
}

/// A reservation for urgent work that waits for room to be made.
struct Urgent {
    ticket: Option<Ticket>,
    ask: ReserveAsk,
    until: Time,
}

impl Core {
    /// Creates a member without any state; `unix` is the Unix time at [`Time::ZERO`], in seconds.
    pub fn new(me: MemberRecord, unix: u64, metrics: Arc<Metrics>) -> Self {
        let id = me.incarnation;
        Core {
            me,
            ownership: Ownership::new(id),
            racks: Racks::new(id.0),
            jobs: Jobs::new(id, unix),
            config: Config::default(),
            requests: Requests::default(),
            out: vec![],
            metrics,
            peers: BTreeMap::new(),
            claims: FxHashMap::default(),
            handovers: vec![],
            early_handovers: vec![],
            next_check: Time::ZERO,
            ready_at: None,
            drain_since: None,
            idle_since: None,
            fetching: false,
            fetched_at: Time::ZERO,
            urgent: vec![],
            vm_cache: VmCache::default(),
            unreached: vec![],
            stale_logged: false,
        }
    }

    /// Handles one event and returns the resulting orders.
    pub fn handle(&mut self, event: Event, now: Time) -> Vec<Order> {
        match event {
            Event::Ask(ask) => self.ask(*ask, now),
            Event::HungUp(ticket) => self.hung_up(ticket, now),
            Event::DispatchEnded { request, worker, outcome } => {
                self.dispatch_ended(request, &worker, outcome, now)
            }
            Event::Forwarded { request, to, outcome } => self.forwarded(request, to, outcome, now),
            Event::Reported { worker, report } => {
                self.racks.reported(&worker, report, now);
                self.pump(now);
            }
            Event::WorkerReplied { worker, ask, sent, reply } => {
                self.racks.ordered(&worker, &ask, sent, reply, now);
                self.answer_urgent(now);
            }
            Event::Fenced { worker, epoch, reply } => {
                self.racks.fenced(&worker, epoch, reply, now);
            }
            Event::PeerReplied { to, call, back } => self.on_reply(to, *call, back, now),
            Event::PeerCalled(ticket, call) => self.on_call(ticket, call, now),
            Event::Operator(ticket, ask) => self.operate(ticket, ask, now),
            Event::Vms(list) => self.update_vms(list, now),
            Event::Watched(list) => self.apply_changes(list, now),
            Event::Renewed(sent) => {
                self.ownership.answered(now);
                self.ownership.renewed(sent);
            }
            Event::RecordRead(purpose, entry) => self.record_read(purpose, entry, now),
            Event::RecordWritten(purpose, reply) => self.record_written(purpose, reply, now),
            Event::Drain => self.start_drain(now),
            Event::Tick => self.tick(now),
        }
        self.run_jobs(now);
        mem::take(&mut self.out)
    }

    /// The incarnation of this member.
    pub(crate) fn me(&self) -> Incarnation {
        self.me.incarnation
    }

    pub(crate) fn ownership(&self) -> &Ownership {
        &self.ownership
    }

    /// Whether this member is stopping.
    pub fn draining(&self) -> bool {
        self.drain_since.is_some()
    }

    /// The owner of a bucket.
    pub(crate) fn bucket_owner(&self, bucket: Bucket) -> Option<Incarnation> {
        self.ownership.owner(&bucket_row(bucket)).map(|(owner, _)| owner)
    }

    fn tick(&mut self, now: Time) {
        for (to, call) in mem::take(&mut self.unreached) {
            self.call_failed(to, call, now);
        }
        self.expire(now);
        self.answer_urgent(now);
        if self.next_check <= now {
            self.next_check = now + OWNERSHIP_INTERVAL;
            for swap in self.ownership.step(now, |_| false) {
                self.swap(swap);
            }
            for table in self.ownership.unsure(now) {
                let record = OwnersRecord { rows: Default::default() };
                let swap = Swap { table, expect: Default::default(), record };
                let key = format!("{OWNERS_PREFIX}{}", swap.table).into();
                self.out.push(Order::Get(Purpose::Owners(swap), key));
            }
        }
        let may = self.may_dispatch(now);
        self.racks.tick(now, may, &mut self.out);
        self.beats(now);
        self.report_attempts(now);
        if let Some(step) = self.config.tick(now) {
            self.config_step(step);
        }
        self.retry_handovers(now);
        self.stop_when_idle(now);
        self.stale_logged &= !self.current(now);
        self.warm_up(now);
        self.metrics.set_levels(
            self.racks.count(),
            self.jobs.count(),
            self.config.version().0,
            self.requests.len(),
            self.ready(now),
        );
    }
}

impl Peer {
    fn new(now: Time) -> Self {
        Peer { last_heard: now, beat: None, kv_contact: Time::ZERO, due: now, in_flight: false }
    }
}

fn bucket_row(bucket: Bucket) -> RowId {
    RowId(format!("bucket:{bucket}").into())
}

fn rack_row(rack: &RackId) -> RowId {
    RowId(format!("rack:{rack}").into())
}

fn row_bucket(row: &RowId) -> Option<Bucket> {
    row.as_str().strip_prefix("bucket:")?.parse().ok()
}

fn row_rack(row: &RowId) -> Option<RackId> {
    row.as_str().strip_prefix("rack:").map(RackId::from)
}

/// The key of a member's record.
pub fn member_key(id: Incarnation) -> Box<str> {
    format!("{MEMBERS_PREFIX}{id}").into()
}
