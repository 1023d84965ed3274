//! Members as callers reach them, without processes, in virtual time: each is a [`Core`] whose calls
//! to the others are in transit until a test delivers or drops them.

#![allow(dead_code)] // each test file uses a part

use {
    dogwoodreach::{
        Time,
        core::{Core, member_key},
        event::{
            Answer, Call, CallReply, ClientRequest, Event, Forward, OperatorCall, OperatorReply,
            Order, Outcome, Payload, Purpose, Ticket, Verdict,
        },
        http::Failure,
        ids::{BUCKET_COUNT, Epoch, Incarnation, Key, RequestId, Revision, SubmissionId, Version},
        messages::{
            Beat, ConfigRecord, KvEntry, KvList, KvPutReply, MemberRecord, OwnersRecord, Row,
            ServiceLoad, Show,
        },
        metrics::Metrics,
    },
    std::{
        collections::{BTreeMap, VecDeque},
        sync::Arc,
        time::Duration,
    },
};

/// The member whose endpoints run all requests; it has no [`Core`].
pub const ENDPOINTS: Incarnation = Incarnation(99);
const TICK: Duration = Duration::from_millis(20);
const TEXT: &str = "[pool p]\ncores = 4\nmemory = 16GB\nworkers = 4\n[team quoting]\n\
    [service quoting]\nteam = quoting\npool = p\ndeadline = 5s\nrun = 20ms\n";

/// A call between members, or the reply to one, in transit.
#[derive(Clone, Debug)]
pub struct Message {
    pub from: usize,
    pub to: usize,
    pub call: Call,
    /// The reply; `None` while the call is on its way.
    pub back: Option<CallReply>,
}

/// The members, the store of the buckets' records, and what is in transit.
pub struct Net {
    pub now: Time,
    pub cores: Vec<Core>,
    /// The members whose processes have ended.
    pub dead: Vec<usize>,
    pub messages: Vec<Message>,
    /// The requests that run, and at which member they were sent.
    pub running: Vec<(usize, Forward)>,
    /// The keys in the order in which their requests were run.
    pub ran: Vec<RequestId>,
    /// The answers that callers got, by ticket.
    pub answers: BTreeMap<Ticket, Verdict>,
    store: BTreeMap<Box<str>, (u64, Box<str>)>,
    calls: BTreeMap<Ticket, Message>,
    last: u64,
    epoch: u64,
}

impl Net {
    /// Starts `count` members, of which the first owns all buckets.
    pub fn new(count: usize) -> Self {
        let cores = (0..count).map(|i| Core::new(record(id(i)), 1_700_000_000, metrics()));
        let mut net = Net {
            now: Time::ZERO,
            cores: cores.collect(),
            dead: vec![],
            messages: vec![],
            running: vec![],
            ran: vec![],
            answers: BTreeMap::new(),
            store: BTreeMap::new(),
            calls: BTreeMap::new(),
            last: 0,
            epoch: 0,
        };
        let ids = (0..count).map(id).chain([ENDPOINTS]);
        let config = ConfigRecord {
            by: "".into(),
            submission: SubmissionId(1),
            text: TEXT.into(),
            version: Version(1),
        };
        let mut entries: Vec<KvEntry> =
            ids.map(|id| entry(&member_key(id), 1, &record(id))).collect();
        entries.push(entry("shared/config", 1, &config));
        for i in 0..count {
            net.watched(i, entries.clone());
        }
        net.own(0, &(0..count).collect::<Vec<_>>());
        net.advance(Duration::from_millis(100));
        net
    }

    /// Gives all buckets to a member, of which only the members in `told` hear now.
    pub fn own(&mut self, owner: usize, told: &[usize]) {
        self.epoch += 1;
        for i in told {
            self.tell_owner(owner, *i);
        }
    }

    /// Tells a member of the buckets' present owner.
    pub fn tell_owner(&mut self, owner: usize, told: usize) {
        let row = Row { owner: Some(id(owner)), epoch: Epoch(self.epoch) };
        let rows = (0..BUCKET_COUNT).map(|b| (format!("bucket:{b}"), row.clone())).collect();
        let entry = entry("shared/owners/buckets", self.epoch, &OwnersRecord { rows });
        self.watched(told, vec![entry]);
    }

    /// Sends a request with a key through a member and returns the caller's ticket.
    pub fn ask(&mut self, via: usize, key: &str) -> Ticket {
        self.last += 1;
        let (ticket, n) = (self.last, u128::from(self.last));
        let load = Payload {
            method: "POST".into(),
            path: "/".into(),
            content_type: "".into(),
            key: key.into(),
            body: "bind".into(),
        };
        let request = ClientRequest {
            ticket,
            id: RequestId(u128::from(id(via).0) << 64 | n),
            service: "quoting".into(),
            caller: "broker".into(),
            key: Some(Key::from(key)),
            deadline: None,
            run: None,
            hops: 0,
            load,
        };
        self.handle(via, Event::Ask(Box::new(request)));
        ticket
    }

    /// What a member shows to operators.
    pub fn show(&mut self, at: usize) -> Show {
        let orders = self.cores[at].handle(Event::Operator(0, OperatorCall::Show), self.now);
        let reply = orders.into_iter().find_map(|o| match o {
            Order::ReplyOperator(_, OperatorReply::Show(show)) => Some(*show),
            _ => None,
        });
        reply.expect("a reply")
    }

    /// Ends the oldest running request.
    pub fn end(&mut self, outcome: Outcome) {
        let (via, forward) = self.running.remove(0);
        if !matches!(outcome, Outcome::Refused(_)) {
            self.ran.push(forward.request);
        }
        let (request, to) = (forward.request, forward.to);
        self.handle(via, Event::Forwarded { request, to, outcome });
    }

    /// Delivers the message at this place, or loses it.
    pub fn deliver(&mut self, at: usize, lose: bool) {
        let m = self.messages.remove(at);
        let lost = lose || self.dead.contains(&m.to);
        match m.back.clone() {
            Some(back) if !lost => self.replied(m, Ok(back)),
            None if !lost => {
                self.last += 1;
                self.calls.insert(self.last, m.clone());
                self.handle(m.to, Event::PeerCalled(self.last, m.call));
            }
            _ => self.replied(m, Err(Failure::Timeout)),
        }
    }

    /// Delivers all messages but the calls that `held` picks out.
    pub fn deliver_all(&mut self, held: impl Fn(&Call) -> bool) {
        while let Some(at) = self.messages.iter().position(|m| m.back.is_some() || !held(&m.call)) {
            self.deliver(at, false);
        }
    }

    /// Advances the time and runs the members' ticks; messages stay in transit.
    pub fn advance(&mut self, time: Duration) {
        let until = self.now + time;
        while self.now < until {
            self.now = self.now + TICK;
            for i in 0..self.cores.len() {
                self.handle(i, Event::Tick);
            }
        }
    }

    /// A member hears of changes in the store, and of free endpoints.
    fn watched(&mut self, at: usize, entries: Vec<KvEntry>) {
        self.handle(at, Event::Watched(KvList { at: Revision(1), entries, gone: vec![] }));
        let load = ServiceLoad {
            service: "quoting".into(),
            slots: 1_000,
            free: 1_000,
            waiting: 0,
            wait: 0,
        };
        let beat = Beat {
            from: ENDPOINTS,
            version: Version(1),
            kv: 0,
            draining: false,
            services: vec![load],
            racks: vec![],
            done: vec![],
        };
        self.handle(at, Event::PeerCalled(0, Call::Beat(beat)));
    }

    fn replied(&mut self, m: Message, back: Result<CallReply, Failure>) {
        let (to, call) = (id(m.to), Box::new(m.call));
        self.handle(m.from, Event::PeerReplied { to, call, back });
    }

    /// Passes an event to a member and carries out its orders.
    fn handle(&mut self, at: usize, event: Event) {
        if self.dead.contains(&at) {
            return;
        }
        let mut events = VecDeque::from([event]);
        while let Some(event) = events.pop_front() {
            for order in self.cores[at].handle(event, self.now) {
                events.extend(self.carry_out(at, order));
            }
        }
    }

    fn carry_out(&mut self, at: usize, order: Order) -> Option<Event> {
        match order {
            Order::Reply(ticket, verdict) => {
                assert!(self.answers.insert(ticket, verdict).is_none(), "answered twice");
            }
            Order::Forward(forward) => self.running.push((at, *forward)),
            Order::Call(to, _, call) if !matches!(*call, Call::Beat(_)) => {
                let to = (0..self.cores.len()).find(|i| id(*i) == to).expect("a member");
                self.messages.push(Message { from: at, to, call: *call, back: None });
            }
            Order::ReplyPeer(ticket, back) => {
                if let Some(call) = self.calls.remove(&ticket) {
                    self.messages.push(Message { back: Some(back), ..call });
                }
            }
            Order::Get(purpose @ Purpose::Bucket(..), key) => {
                let (revision, value) = self.store.get(&key).cloned().unwrap_or_default();
                let entry = KvEntry { key, revision: Revision(revision), value };
                return Some(Event::RecordRead(purpose, Ok(entry)));
            }
            Order::Put(purpose @ Purpose::Bucket(..), key, put) => {
                let record = self.store.entry(key).or_default();
                let done = record.0 == put.expect.0;
                if done {
                    *record = (record.0 + 1, put.value.unwrap_or_default());
                }
                let reply = KvPutReply { done, revision: Revision(record.0) };
                return Some(Event::RecordWritten(purpose, Ok(reply)));
            }
            _ => {}
        }
        None
    }
}

/// An endpoint's answer.
pub fn bound() -> Outcome {
    Outcome::Answered(Answer { status: 200, content_type: "".into(), body: "bound".into() })
}

fn id(member: usize) -> Incarnation {
    Incarnation(member as u64 + 1)
}

fn metrics() -> Arc<Metrics> {
    Arc::new(Metrics::new())
}

fn record(incarnation: Incarnation) -> MemberRecord {
    let addr = ([127, 0, 0, 1], 1).into();
    let zone = "upper-hill".into();
    MemberRecord { incarnation, zone, control: addr, bodies: addr, callers: addr, draining: false }
}

fn entry(key: &str, revision: u64, record: &impl serde::Serialize) -> KvEntry {
    let value = serde_json::to_string(record).expect("a record").into();
    KvEntry { key: key.into(), revision: Revision(revision), value }
}
