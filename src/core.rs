//! The decisions' duty: events in, orders out, in one thread and without I/O.
//!
//! Everything that has to be repeated until it has taken effect (fences, beats, reports, words of
//! ended attempts) hangs on [`Event::Tick`] and on state, not on single messages: a message that a
//! full ring dropped is made again.

use {
    crate::{
        config::{self, Config},
        error::Kind,
        event::{Back, Call, Event, Operate, Operated, Order, Purpose, Ticket},
        http::Failure,
        ids::{Bucket, Epoch, Incarnation, RackId, RequestId, RowId, TaskId, WorkerId, Zone},
        jobs::{BUCKETS, Jobs, Want, bucket_of, call},
        messages::{
            Beat, BeatReply, ClaimReply, ClaimVerdict, EndTell, Handover, KvList, KvPut,
            MemberRecord, MemberShow, OwnersRecord, RackLoad, ReserveAsk, ReserveReply,
            ServiceLoad, Show, SubmitReply, Vm, VmList,
        },
        metrics::Metrics,
        ownership::{Change, Fate, Ownership, Swap},
        racks::Racks,
        requests::Requests,
        text::Plan,
        time::Time,
    },
    rustc_hash::FxHashMap,
    std::{
        collections::{BTreeMap, BTreeSet},
        mem,
        rc::Rc,
        sync::Arc,
        time::Duration,
    },
};

/// The prefix of the records that every member watches.
pub const SHARED: &str = "shared/";
const MEMBERS: &str = "shared/members/";
const OWNERS: &str = "shared/owners/";
const ALL_BUCKETS: &str = "buckets";

/// How often a peer is told this member's state.
const BEAT: Duration = Duration::from_millis(250);
/// How old a peer's beat may be to count as in touch.
const TOUCH: Duration = Duration::from_secs(3);
/// How much later than here the service must have answered a peer to show that this member is cut
/// off. All renew each second, so in an outage the last answers are less than two seconds apart;
/// a lease has run for 3.4 s without an answer when this is asked.
const BEHIND: Duration = Duration::from_secs(2);
/// How often ownership is looked over.
const OWN: Duration = Duration::from_millis(100);
/// How long a stopping member goes on after its last work, so that a balancer has seen it leave.
const QUIET: Duration = Duration::from_secs(1);
/// How long a member that has a text waits at most for endpoints of every service: a takeover with
/// its fences and lagging reports, after which a service still without any has none anywhere.
const WARM: Duration = Duration::from_secs(10);

/// How long a wish for urgent work waits until room has been made; a caller's call lasts longer.
const PREEMPT: Duration = Duration::from_millis(900);

/// Marks the ticket of a claim's end that this member tells itself.
pub(crate) const OWN_END: Ticket = 1 << 63;

/// A peer as this member knows it.
struct Peer {
    heard: Time,
    beat: Option<Beat>,
    /// When the key-value service last answered it.
    contact: Time,
    due: Time,
    flying: bool,
}

/// A handover that its receiver has not taken in yet.
struct Passing {
    to: Incarnation,
    over: Handover,
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
    handovers: Vec<Passing>,
    early: Vec<(Handover, Time)>,
    own: Time,
    warm: Option<Time>,
    drain: Option<Time>,
    idle: Option<Time>,
    fetching: bool,
    fetch: Time,
    urgent: Vec<Urgent>,
    unreached: Vec<(Incarnation, Call)>,
}

/// A wish for urgent work, which waits until room has been made.
struct Urgent {
    ticket: Option<Ticket>,
    ask: ReserveAsk,
    until: Time,
}

impl Core {
    /// A member that knows nothing yet; `unix` is the Unix clock at [`Time::ZERO`], in seconds.
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
            early: vec![],
            own: Time::ZERO,
            warm: None,
            drain: None,
            idle: None,
            fetching: false,
            fetch: Time::ZERO,
            urgent: vec![],
            unreached: vec![],
        }
    }

    /// Takes in one event and returns the orders that follow.
    pub fn on(&mut self, event: Event, now: Time) -> Vec<Order> {
        match event {
            Event::Ask(ask) => self.ask(*ask, now),
            Event::Gone(ticket) => self.gone(ticket, now),
            Event::Ran { request, worker, outcome } => self.ran(request, &worker, outcome, now),
            Event::Forwarded { request, to, outcome } => self.forwarded(request, to, outcome, now),
            Event::Reported { worker, report } => {
                self.racks.reported(&worker, report, now);
                self.pump(now);
            }
            Event::Ordered { worker, ask, sent, reply } => {
                self.racks.ordered(&worker, &ask, sent, reply, now);
                self.answer_urgent(now);
            }
            Event::Fenced { worker, epoch, reply } => {
                self.racks.fenced(&worker, epoch, reply, now);
            }
            Event::Called { to, call, back } => self.called(to, *call, back, now),
            Event::Asked(ticket, call) => self.asked(ticket, call, now),
            Event::Operator(ticket, ask) => self.operate(ticket, ask, now),
            Event::Vms(list) => self.listed(list, now),
            Event::Watched(list) => self.watched(list, now),
            Event::Renewed(sent) => {
                self.ownership.answered(now);
                self.ownership.renewed(sent);
            }
            Event::Got(purpose, entry) => self.got(purpose, entry, now),
            Event::Put(purpose, reply) => self.put(purpose, reply, now),
            Event::Drain => self.leave(now),
            Event::Tick => self.tick(now),
        }
        self.work(now);
        mem::take(&mut self.out)
    }

    /// This member's run.
    pub(crate) fn me(&self) -> Incarnation {
        self.me.incarnation
    }

    pub(crate) fn ownership(&self) -> &Ownership {
        &self.ownership
    }

    /// Whether this member is stopping.
    pub fn draining(&self) -> bool {
        self.drain.is_some()
    }

    /// Whether this member may serve callers.
    pub fn ready(&self, now: Time) -> bool {
        !self.draining() && self.warm.is_some_and(|at| at <= now) && self.current(now)
    }

    /// Notes when this member first knows where to send requests of every service.
    ///
    /// Guards against a new member that says ready as soon as it has the text: it knows neither
    /// workers nor what its peers have for a second or so, and its callers would be refused with
    /// `no_endpoint` in every rolling replacement. Later losses don't count: they are the same for
    /// all members, and a balancer with no member left could not even pass the refusals on.
    fn warm_up(&mut self, now: Time) {
        if self.config.version().0 == 0 {
            return;
        }
        let latest = *self.warm.get_or_insert(now + WARM);
        let known = |id, pool| self.racks.slots(pool, now).0 > 0 || self.requests.served(id);
        if latest > now && self.config.plan().services.iter().all(|(id, s)| known(id, &s.pool)) {
            self.warm = Some(now);
        }
    }

    /// Whether the configuration held here can still be the one in force.
    ///
    /// Guards against serving by a text that was replaced: a member that is cut off would do so for
    /// as long as the cut lasts. It is in touch if the key-value service has answered it, or a peer
    /// that the service has answered, within seconds; or, in an outage of the service, when half of
    /// the other members are heard, as then no text can have been accepted.
    pub(crate) fn current(&self, now: Time) -> bool {
        if self.ownership.silence(now) < TOUCH {
            return true;
        }
        let heard = self.peers.values().filter(|p| now - p.heard < TOUCH);
        let by_peer = |p: &Peer| {
            let age = p.beat.as_ref().map_or(Duration::MAX, |b| Duration::from_millis(b.kv));
            age < TOUCH && p.beat.as_ref().is_some_and(|b| b.version <= self.config.version())
        };
        let (mut count, mut linked) = (0, false);
        for peer in heard {
            count += 1;
            linked |= by_peer(peer);
        }
        let others = self.ownership.members().len().saturating_sub(1);
        linked || (others > 0 && 2 * count >= others)
    }

    /// Whether this member may dispatch to its workers.
    ///
    /// Its lease runs, or the key-value service answers nobody: then nobody can take over either.
    /// A peer that the service has answered well after it last answered here is the sign that this
    /// member alone is cut off. Beyond that, a worker refuses a dispatch whose epoch has been passed.
    pub(crate) fn may_dispatch(&self, now: Time) -> bool {
        if self.ownership.leased(now) {
            return true;
        }
        let Some(mine) = self.ownership.contact() else { return false };
        let others = self.ownership.members().keys().filter(|m| **m != self.me());
        let mut silent = 0;
        for member in others {
            match self.peers.get(member).filter(|p| now - p.heard < TOUCH) {
                Some(peer) if peer.contact > mine + BEHIND => return false,
                Some(_) => {}
                None => silent += 1,
            }
        }
        silent * 2 <= self.ownership.members().len()
    }

    /// The owner of a bucket.
    pub(crate) fn bucket_owner(&self, bucket: Bucket) -> Option<Incarnation> {
        self.ownership.owner(&bucket_row(bucket)).map(|(owner, _)| owner)
    }

    /// Calls a peer.
    pub(crate) fn call(&mut self, to: Incarnation, call: Call) {
        if let Some(addr) = self.ownership.members().get(&to).map(|m| m.control) {
            self.out.push(Order::Call(to, addr, Box::new(call)));
        } else {
            self.unreached.push((to, call));
        }
    }

    fn tick(&mut self, now: Time) {
        for (to, call) in mem::take(&mut self.unreached) {
            self.lost_call(to, call, now);
        }
        self.expire(now);
        self.answer_urgent(now);
        if self.own <= now {
            self.own = now + OWN;
            for swap in self.ownership.step(now, |_| false) {
                self.swap(swap);
            }
            for table in self.ownership.unsure(now) {
                let record = OwnersRecord { rows: Default::default() };
                let swap = Swap { table, expect: Default::default(), record };
                let key = format!("{OWNERS}{}", swap.table).into();
                self.out.push(Order::Get(Purpose::Owners(swap), key));
            }
        }
        let may = self.may_dispatch(now);
        self.racks.tick(now, may, &mut self.out);
        self.beats(now);
        self.tell(now);
        if let Some(step) = self.config.tick(now) {
            self.config_step(step);
        }
        self.retry_handovers(now);
        self.stop_when_idle(now);
        self.warm_up(now);
        self.metrics.state(
            self.racks.count(),
            self.jobs.count(),
            self.config.version().0,
            self.requests.len(),
            self.ready(now),
        );
    }

    /// Carries out what the buckets call for.
    fn work(&mut self, now: Time) {
        let sure = self.sure(now);
        let racks = if self.jobs.due(now) { self.all_racks(now) } else { vec![] };
        let wants = self.jobs.tick(now, sure, &racks, &mut self.out);
        self.carry_out(wants, now);
    }

    fn carry_out(&mut self, wants: Vec<Want>, now: Time) {
        for want in wants {
            match want {
                Want::Claimed(request, reply) => match self.claims.remove(&request) {
                    Some(ticket) => self.out.push(Order::Back(ticket, Back::Claim(reply))),
                    None => self.claimed(request, Some(reply), now),
                },
                Want::Kept(ticket) if ticket & OWN_END != 0 => self.kept(ticket),
                Want::Kept(ticket) => self.out.push(Order::Back(ticket, Back::Done)),
                Want::Reserve(ask) => self.reserve(ask, now),
                Want::Release(ref rack, _) => self.at_rack(rack.clone(), want, now),
                Want::Start(ref ask) => self.at_rack(ask.rack.clone(), want, now),
                Want::Probe(ref ask) => self.at_rack(ask.rack.clone(), want, now),
            }
        }
    }

    /// Until when nobody can take over from this member.
    fn sure(&self, now: Time) -> Option<Time> {
        self.ownership.until().filter(|_| self.ownership.leased(now))
    }

    /// Sends a want to the owner of a rack, which may be this member.
    fn at_rack(&mut self, rack: RackId, want: Want, now: Time) {
        let Some((owner, _)) = self.ownership.owner(&rack_row(&rack)) else { return };
        let Some(call) = call(want) else { return };
        if owner != self.me() {
            return self.call(owner, call);
        }
        if let Some(back) = self.serve(call.clone(), now) {
            self.called(owner, call, Ok(back), now);
        }
    }

    /// Sends a wish for room to the member that is likeliest to have it.
    fn reserve(&mut self, ask: ReserveAsk, now: Time) {
        if let Some(rack) = ask.rack.clone() {
            let known = self.ownership.owner(&rack_row(&rack)).is_some();
            return match known {
                true => self.at_rack(rack, Want::Reserve(ask), now),
                false => self.reserved(ask, None, now),
            };
        }
        let Some(first) = ask.items.first() else { return };
        let (size, spread, urgent) = (first.size, first.spread, first.urgent);
        let mine = self.racks.loads();
        let mut best: Option<(bool, u64, Incarnation)> = None;
        let peers = self.peers.iter().filter(|(_, p)| now - p.heard < TOUCH);
        let theirs = peers.filter_map(|(id, p)| Some((*id, &p.beat.as_ref()?.racks)));
        for (id, racks) in theirs.chain([(self.me(), &mine)]) {
            if ask.tried.contains(&id) {
                continue;
            }
            for rack in racks.iter().filter(|r| r.pool == ask.pool) {
                let full = !size.fits(&rack.widest);
                // Where nobody has room, an owner can make some for urgent work.
                if full && !(urgent && rack.workers > 0) {
                    continue;
                }
                let free = rack.free.cores.0;
                let rank = (full, if spread { u64::MAX - free } else { free }, id);
                if best.is_none_or(|b| rank < b) {
                    best = Some(rank);
                }
            }
        }
        match best {
            None => self.reserved(ask, None, now),
            Some((.., id)) if id == self.me() => self.reserve_here(None, ask, now),
            Some((.., id)) => self.call(id, Call::Reserve(ask)),
        }
    }

    /// Finds room on this member's racks; for urgent work, answers once room has been made.
    fn reserve_here(&mut self, ticket: Option<Ticket>, ask: ReserveAsk, now: Time) {
        let reply = match self.may_dispatch(now) {
            true => self.racks.reserve(&ask, now),
            false => ReserveReply { rows: vec![] },
        };
        if reply.rows.is_empty() && self.racks.preempt(&ask, now) {
            self.urgent.push(Urgent { ticket, ask, until: now + PREEMPT });
            return;
        }
        self.reserve_answer(ticket, ask, reply, now);
    }

    fn reserve_answer(
        &mut self,
        ticket: Option<Ticket>,
        ask: ReserveAsk,
        reply: ReserveReply,
        now: Time,
    ) {
        match ticket {
            Some(ticket) => self.out.push(Order::Back(ticket, Back::Reserve(reply))),
            None => self.asked_of(self.me(), ask, reply, now),
        }
    }

    /// Answers the urgent wishes whose room has been made, or whose time is over.
    fn answer_urgent(&mut self, now: Time) {
        for u in mem::take(&mut self.urgent) {
            let reply = self.racks.reserve(&u.ask, now);
            if reply.rows.is_empty() && now < u.until {
                self.urgent.push(u);
            } else {
                self.reserve_answer(u.ticket, u.ask, reply, now);
            }
        }
    }

    /// Takes the answer of one owner; what it had no room for is asked of the next.
    ///
    /// Guards against an owner that has room by its beat, and yet none on a worker that the attempt
    /// may have: asked first each time, it would keep the attempt waiting for ever.
    fn asked_of(&mut self, by: Incarnation, ask: ReserveAsk, reply: ReserveReply, now: Time) {
        if ask.rack.is_some() {
            return self.reserved(ask, Some(reply), now);
        }
        let placed = |task: &TaskId| reply.rows.iter().any(|r| r.task == *task);
        let (done, left): (Vec<_>, Vec<_>) =
            ask.items.iter().cloned().partition(|i| placed(&i.task));
        if !left.is_empty() {
            let mut tried = ask.tried.clone();
            tried.push(by);
            self.reserve(ReserveAsk { items: left, tried, ..ask.clone() }, now);
        }
        if !done.is_empty() {
            self.reserved(ReserveAsk { items: done, ..ask }, Some(reply), now);
        }
    }

    fn reserved(&mut self, ask: ReserveAsk, reply: Option<ReserveReply>, now: Time) {
        let wants = self.jobs.reserved(&ask, reply, now);
        self.carry_out(wants, now);
    }

    /// What is free on all racks, as far as is known here.
    fn all_racks(&self, now: Time) -> Vec<RackLoad> {
        let peers = self.peers.values().filter(|p| now - p.heard < TOUCH);
        let theirs = peers.filter_map(|p| p.beat.as_ref()).flat_map(|b| b.racks.iter().cloned());
        theirs.chain(self.racks.loads()).collect()
    }

    /// Takes in the platform's list.
    fn listed(&mut self, list: VmList, now: Time) {
        let mut zones: BTreeMap<Zone, BTreeSet<RowId>> = BTreeMap::new();
        let vms: BTreeMap<WorkerId, Vm> =
            list.vms.into_iter().map(|vm| (vm.worker.clone(), vm)).collect();
        for vm in vms.values() {
            zones.entry(vm.zone.clone()).or_default().insert(rack_row(&vm.rack));
        }
        let known: Vec<Box<str>> = self.ownership.tables().map(Into::into).collect();
        for table in known.iter().filter(|t| ***t != *ALL_BUCKETS) {
            let zone = Zone(table.clone());
            let rows = zones.remove(&zone).unwrap_or_default();
            self.ownership.want(table, Some(zone), rows);
        }
        for (zone, rows) in zones {
            self.ownership.want(&zone.0.clone(), Some(zone), rows);
        }
        self.jobs.workers(vms.values());
        self.racks.listed(vms, now);
    }

    /// Takes in what changed in the key-value service.
    fn watched(&mut self, list: KvList, now: Time) {
        self.ownership.answered(now);
        let all = (0..BUCKETS).map(|b| bucket_row(Bucket(b))).collect();
        self.ownership.want(ALL_BUCKETS, None, all);
        for key in &list.gone {
            if let Some(id) = key.strip_prefix(MEMBERS).and_then(|id| id.parse().ok()) {
                self.ownership.left(id);
                self.peers.remove(&id);
                self.requests.forget(id);
            }
        }
        for entry in list.entries {
            if entry.key.starts_with(MEMBERS) {
                if let Ok(record) = serde_json::from_str::<MemberRecord>(&entry.value) {
                    if record.draining {
                        self.requests.forget(record.incarnation);
                    }
                    self.ownership.joined(record);
                }
            } else if let Some(table) = entry.key.strip_prefix(OWNERS) {
                if let Ok(record) = serde_json::from_str(&entry.value) {
                    let changes = self.ownership.read(table, entry.revision, record);
                    self.changed(changes, now);
                }
            } else if &*entry.key == config::KEY
                && let Ok(record) = serde_json::from_str(&entry.value)
            {
                self.take_config(entry.revision, record);
            }
        }
    }

    fn take_config(
        &mut self,
        revision: crate::ids::Revision,
        record: crate::messages::ConfigRecord,
    ) {
        if self.config.take(revision, record) {
            self.planned();
        }
    }

    fn planned(&mut self) {
        log::info!(target: "config", "Version {} is in force.", self.config.version());
        let plan: Rc<Plan> = self.config.plan().clone();
        self.jobs.planned(&plan);
    }

    fn changed(&mut self, changes: Vec<Change>, now: Time) {
        for change in changes {
            match change {
                Change::Gained(row, epoch) => self.gained(&row, epoch, now),
                Change::Lost(row, epoch, to) => self.lost(&row, epoch, to, now),
            }
        }
    }

    fn gained(&mut self, row: &RowId, epoch: Epoch, now: Time) {
        log::info!(target: "owner", "Gained {row} with epoch {epoch}.");
        if let Some(bucket) = row_bucket(row) {
            self.jobs.gained(bucket, epoch);
        } else if let Some(rack) = row_rack(row) {
            self.racks.gained(&rack, epoch, now);
            let early: Vec<(Handover, Time)> =
                self.early.extract_if(.., |(h, _)| h.rack == rack).collect();
            for (over, _) in early {
                self.racks.handover(&over, now);
            }
        }
    }

    fn lost(&mut self, row: &RowId, epoch: Epoch, to: Option<Incarnation>, now: Time) {
        log::info!(target: "owner", "Lost {row} with epoch {epoch}.");
        if let Some(bucket) = row_bucket(row) {
            self.jobs.lost(bucket);
        } else if let Some(rack) = row_rack(row) {
            let over = self.racks.lost(&rack, epoch);
            if let Some(to) = to {
                self.call(to, Call::Handover(over.clone()));
                self.handovers.push(Passing { to, over, since: now, due: now + BEAT });
            }
        }
    }

    fn swap(&mut self, swap: Swap) {
        let put = KvPut {
            expect: swap.expect,
            value: serde_json::to_string(&swap.record).ok().map(Into::into),
            lease: None,
        };
        let key = format!("{OWNERS}{}", swap.table).into();
        self.out.push(Order::Put(Purpose::Owners(swap), key, put));
    }

    fn got(
        &mut self,
        purpose: Purpose,
        entry: Result<crate::messages::KvEntry, Failure>,
        now: Time,
    ) {
        if entry.is_ok() {
            self.ownership.answered(now);
        }
        match purpose {
            Purpose::Owners(swap) => {
                let Ok(entry) = entry else { return };
                let record = serde_json::from_str(&entry.value);
                let record = record.unwrap_or(OwnersRecord { rows: Default::default() });
                let changes = self.ownership.read(&swap.table, entry.revision, record);
                self.changed(changes, now);
            }
            Purpose::Config => {
                let before = self.config.version();
                let step = self.config.read(entry.ok().filter(|e| e.revision.0 > 0), now);
                if self.config.version() != before {
                    self.planned();
                }
                if let Some(step) = step {
                    self.config_step(step);
                }
            }
            Purpose::Bucket(bucket, epoch, call) => {
                self.jobs.got((bucket, epoch, call), entry, now)
            }
        }
    }

    fn put(
        &mut self,
        purpose: Purpose,
        reply: Result<crate::messages::KvPutReply, Failure>,
        now: Time,
    ) {
        if reply.is_ok() {
            self.ownership.answered(now);
        }
        match purpose {
            Purpose::Owners(swap) => {
                let fate = match &reply {
                    Ok(r) if r.done => Fate::Done(r.revision),
                    Ok(_) => Fate::Refused,
                    Err(_) => Fate::Unknown,
                };
                let changes = self.ownership.swapped(swap, fate, now);
                self.changed(changes, now);
            }
            Purpose::Config => {
                let before = self.config.version();
                let step = self.config.written(reply.ok(), now);
                if self.config.version() != before {
                    self.planned();
                }
                if let Some(step) = step {
                    self.config_step(step);
                }
            }
            Purpose::Bucket(bucket, epoch, call) => {
                self.jobs.put((bucket, epoch, call), reply, now)
            }
        }
    }

    fn config_step(&mut self, step: config::Step) {
        match step {
            config::Step::Write(expect, record) => {
                let value = serde_json::to_string(&record).ok().map(Into::into);
                let put = KvPut { expect, value, lease: None };
                self.out.push(Order::Put(Purpose::Config, config::KEY.into(), put));
            }
            config::Step::Read => self.out.push(Order::Get(Purpose::Config, config::KEY.into())),
            config::Step::Answer(ticket, reply) => {
                let reply = reply.unwrap_or_else(|| SubmitReply {
                    accepted: false,
                    version: self.config.version(),
                    errors: vec![Kind::OutcomeUnknown.answer().label.into()],
                    text: None,
                });
                self.out.push(Order::Operated(ticket, Operated::Submit(reply)));
            }
        }
    }

    fn operate(&mut self, ticket: Ticket, ask: Operate, now: Time) {
        match ask {
            Operate::Submit(ask) => {
                let read = Plan::read(&ask.text);
                let faults = match &read {
                    Ok(plan) => plan.moved(self.config.plan(), &ask.text),
                    Err(faults) => faults.clone(),
                };
                if faults.is_empty() {
                    let step = self.config.submit(ticket, ask, now);
                    return self.config_step(step);
                }
                let errors = faults.iter().map(|f| f.to_string().into()).collect();
                let version = self.config.version();
                let reply = SubmitReply { accepted: false, version, errors, text: None };
                self.out.push(Order::Operated(ticket, Operated::Submit(reply)));
            }
            Operate::Show => {
                let show = self.show();
                self.out.push(Order::Operated(ticket, Operated::Show(Box::new(show))));
            }
            Operate::Drain => {
                self.out.push(Order::Operated(ticket, Operated::Drain));
                self.leave(now);
            }
        }
    }

    fn show(&self) -> Show {
        let version = |id: &Incarnation| {
            let beat = self.peers.get(id).and_then(|p| p.beat.as_ref());
            beat.map_or(self.config.version(), |b| b.version)
        };
        let members = self.ownership.members().values().map(|m| MemberShow {
            incarnation: m.incarnation,
            zone: m.zone.clone(),
            version: version(&m.incarnation),
            draining: m.draining,
            rows: self.ownership.rows(m.incarnation),
        });
        Show {
            member: self.me(),
            version: self.config.version(),
            text: self.config.record().map_or("".into(), |(_, r)| r.text.clone()),
            members: members.collect(),
            workers: self.racks.show(),
            tasks: self.jobs.show(),
            waiting: u32::try_from(self.requests.len()).unwrap_or(u32::MAX),
        }
    }

    fn leave(&mut self, now: Time) {
        if self.drain.is_none() {
            log::info!(target: "member", "Stopping: racks and buckets are handed over.");
            self.drain = Some(now);
            self.me.draining = true;
            self.out.push(Order::Register(self.me.clone()));
        }
    }

    /// Ends the process once nothing is owned, nothing waits, and a balancer has had time to see.
    fn stop_when_idle(&mut self, now: Time) {
        let Some(since) = self.drain else { return };
        let alone = self.ownership.members().values().all(|m| m.draining);
        let busy = !self.requests.is_empty()
            || !self.handovers.is_empty()
            || (self.ownership.count() > 0 && !alone && self.ownership.leased(now));
        if busy {
            self.idle = None;
            return;
        }
        let idle = *self.idle.get_or_insert(now);
        if now - idle >= QUIET && now - since >= QUIET {
            self.out.push(Order::Stop);
        }
    }

    fn retry_handovers(&mut self, now: Time) {
        self.early.retain(|(_, at)| now - *at < TOUCH);
        let members = self.ownership.members();
        self.handovers.retain(|p| now - p.since < TOUCH && members.contains_key(&p.to));
        let due = self.handovers.iter_mut().filter(|p| p.due <= now);
        let again: Vec<(Incarnation, Handover)> = due
            .map(|p| {
                p.due = now + BEAT;
                (p.to, p.over.clone())
            })
            .collect();
        for (to, over) in again {
            self.call(to, Call::Handover(over));
        }
    }

    fn beats(&mut self, now: Time) {
        let others: Vec<Incarnation> =
            self.ownership.members().keys().copied().filter(|m| *m != self.me()).collect();
        let mut beat = None;
        for id in others {
            let peer = self.peers.entry(id).or_insert_with(|| Peer::new(now));
            if peer.flying || peer.due > now {
                continue;
            }
            peer.flying = true;
            peer.due = now + BEAT;
            let beat = beat.get_or_insert_with(|| self.beat(now)).clone();
            self.call(id, Call::Beat(beat));
        }
    }

    fn beat(&self, now: Time) -> Beat {
        let services = self.config.plan().services.iter().map(|(id, s)| {
            let (slots, free) = self.racks.slots(&s.pool, now);
            let waiting = self.requests.waiting(id);
            ServiceLoad {
                service: id.clone(),
                slots,
                free: free.saturating_sub(u32::try_from(waiting).unwrap_or(u32::MAX)),
                waiting: u32::try_from(waiting).unwrap_or(u32::MAX),
                wait: u64::try_from(self.requests.wait(id, s, now).as_millis()).unwrap_or(u64::MAX),
            }
        });
        Beat {
            from: self.me(),
            version: self.config.version(),
            kv: u64::try_from(self.ownership.silence(now).as_millis()).unwrap_or(u64::MAX),
            draining: self.draining(),
            services: services.collect(),
            racks: self.racks.loads(),
            done: self.jobs.done(),
        }
    }

    /// Tells the buckets' owners what became of their attempts.
    fn tell(&mut self, now: Time) {
        for (bucket, items) in self.racks.tell() {
            match self.bucket_owner(bucket) {
                Some(owner) if owner == self.me() && self.jobs.heard(bucket, &items, now) => {
                    self.racks.told(&items);
                }
                Some(owner) => self.call(owner, Call::End(EndTell { bucket, items })),
                None => {}
            }
        }
    }

    /// Answers a peer's call, at once or when its claim is decided.
    fn asked(&mut self, ticket: Ticket, call: Call, now: Time) {
        if let Call::Claim(ask) = call {
            if !self.jobs.owns(bucket_of(ask.key.as_str())) {
                let reply =
                    ClaimReply { verdict: ClaimVerdict::Unowned, status: None, answer: None };
                self.out.push(Order::Back(ticket, Back::Claim(reply)));
                return;
            }
            self.claims.insert(ask.request, ticket);
            return self.jobs.claim(ask, now);
        }
        if let Call::ClaimEnd(end) = call {
            return match self.jobs.owns(bucket_of(end.key.as_str())) {
                true => self.jobs.claim_end(end, ticket),
                false => self.out.push(Order::Back(ticket, Back::Unowned)),
            };
        }
        if let Call::Reserve(ask) = call {
            return self.reserve_here(Some(ticket), ask, now);
        }
        let back = self.serve(call, now).unwrap_or(Back::Unowned);
        self.out.push(Order::Back(ticket, back));
    }

    /// Serves a call; none where this member does not own what it is about.
    fn serve(&mut self, call: Call, now: Time) -> Option<Back> {
        match call {
            Call::Beat(beat) => Some(Back::Beat(self.heard(beat, now))),
            Call::Claim(_) | Call::ClaimEnd(_) => None,
            Call::Reserve(ask) => Some(Back::Reserve(self.racks.reserve(&ask, now))),
            Call::Release(rows) => {
                self.racks.release(&rows.rows, now);
                Some(Back::Done)
            }
            Call::Start(ask) => self.racks.start(ask, now).map(Back::Start),
            Call::End(word) => self.jobs.heard(word.bucket, &word.items, now).then_some(Back::Done),
            Call::Probe(ask) => self.racks.probe(&ask, now).map(Back::Probe),
            Call::Handover(over) => {
                if !self.racks.handover(&over, now) {
                    self.early.push((over, now));
                }
                Some(Back::Done)
            }
            Call::Config() => {
                Some(Back::Config(self.config.record().map(|(rev, r)| (rev, r.clone()))))
            }
        }
    }

    fn heard(&mut self, mut beat: Beat, now: Time) -> BeatReply {
        let from = beat.from;
        self.jobs.ended(mem::take(&mut beat.done));
        self.newer(from, beat.version, now);
        if let Some(record) = self.ownership.members().get(&from).filter(|_| !beat.draining) {
            self.requests.report(record, &self.me, &beat.services, now);
        }
        let peer = self.peers.entry(from).or_insert_with(|| Peer::new(now));
        peer.heard = now;
        peer.contact = peer.contact.max(now - Duration::from_millis(beat.kv));
        peer.beat = Some(beat);
        BeatReply {
            version: self.config.version(),
            kv: u64::try_from(self.ownership.silence(now).as_millis()).unwrap_or(u64::MAX),
        }
    }

    /// Fetches the configuration from a peer that holds a newer one.
    fn newer(&mut self, from: Incarnation, version: crate::ids::Version, now: Time) {
        if version > self.config.version() && (!self.fetching || self.fetch + TOUCH < now) {
            self.fetching = true;
            self.fetch = now;
            self.call(from, Call::Config());
        }
    }

    /// Takes a peer's answer.
    fn called(&mut self, to: Incarnation, call: Call, back: Result<Back, Failure>, now: Time) {
        if let Some(peer) = self.peers.get_mut(&to)
            && back.is_ok()
        {
            peer.heard = now;
        }
        match (call, back) {
            (Call::Beat(_), Ok(Back::Beat(reply))) => {
                if let Some(peer) = self.peers.get_mut(&to) {
                    peer.flying = false;
                    peer.contact = peer.contact.max(now - Duration::from_millis(reply.kv));
                }
                self.newer(to, reply.version, now);
            }
            (Call::Claim(ask), Ok(Back::Claim(reply))) => {
                self.claimed(ask.request, Some(reply), now);
            }
            (Call::ClaimEnd(end), back) => self.claim_told(&end, matches!(back, Ok(Back::Done))),
            (Call::Reserve(ask), Ok(Back::Reserve(reply))) => self.asked_of(to, ask, reply, now),
            (Call::Start(ask), Ok(Back::Start(reply))) => {
                if let Some(first) = ask.start.first() {
                    self.jobs.heard(first.bucket, &reply.refused, now);
                }
            }
            (Call::End(word), Ok(Back::Done)) => self.racks.told(&word.items),
            (Call::Probe(ask), Ok(Back::Probe(reply))) => self.jobs.probed(&ask, reply, now),
            (Call::Handover(over), Ok(_)) => {
                self.handovers.retain(|p| p.over.rack != over.rack || p.over.epoch != over.epoch);
            }
            (Call::Config(), back) => {
                self.fetching = false;
                if let Ok(Back::Config(Some((revision, record)))) = back {
                    self.take_config(revision, record);
                }
            }
            (call, _) => self.lost_call(to, call, now),
        }
    }

    /// What follows from a call that was not answered.
    fn lost_call(&mut self, to: Incarnation, call: Call, now: Time) {
        match call {
            Call::Beat(_) => {
                if let Some(peer) = self.peers.get_mut(&to) {
                    peer.flying = false;
                }
            }
            Call::Claim(ask) => self.claimed(ask.request, None, now),
            Call::Reserve(ask) => self.reserved(ask, None, now),
            _ => {}
        }
    }
}

impl Peer {
    fn new(now: Time) -> Self {
        Peer { heard: now, beat: None, contact: Time::ZERO, due: now, flying: false }
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
    format!("{MEMBERS}{id}").into()
}
