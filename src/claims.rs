//! The claims on keys of non-idempotent requests, as the owner of one bucket keeps them.
//!
//! Calls [`commit`](crate::commit) and leaves what follows as an [`Order`]; [`bucket`](crate::bucket)
//! calls it.
//!
//! A claim is committed to the bucket's record before its request may run, so that a repeat, at
//! whatever member and after whatever death, finds it. Without claims, a caller that repeats after a
//! lost answer would bind cover or pay a grant twice.
//!
//! What an asker owes: each ask has a request id of its own and is not repeated; a verdict that
//! comes after the asker has given up is ignored; an asker that was not granted, or gave up, sends
//! the end `not_run` until it is taken, so that a caller's repeat can run.

use {
    crate::{
        Time,
        commit::{Commit, Ticket},
        effect::Order,
        ids::{Key, RequestId},
        messages::{ClaimAsk, ClaimEnd, ClaimFate, ClaimReply, ClaimRow, ClaimState, ClaimVerdict},
    },
    std::{
        collections::{BTreeMap, VecDeque},
        time::Duration,
    },
};

/// How long an ask waits for its commit: a tenth of the default deadline, so that the caller hears
/// of a KV outage while it can still act on it.
pub const KV_WAIT: Duration = Duration::from_secs(1);

/// How long a claim stays running without word of its end: more than the longest deadline of a
/// service, the flight and the clocks' drift. Later it is unknown, which is safe at any time, since
/// an unknown claim is never granted again; the bound only decides what a repeat is told.
pub const LEASE: Duration = Duration::from_secs(300);

/// How long a claim that is not running is kept, in seconds: a caller may repeat for a day.
pub const RETENTION: u64 = 24 * 60 * 60;

/// The longest answer that is kept, in bytes: a confirmation fits, a document doesn't.
pub const ANSWER_MAX: usize = 2 * 1024;

/// The room of all claims in the record, in bytes: half of the KV's megabyte, the rest is for tasks.
pub const ROOM: usize = 500_000;

/// What a row may grow by when its state changes, in bytes; an answer is counted by itself.
const GROWTH: usize = 64;

/// How long, and how many, requests are remembered that were told off: a copy of an ask that was
/// delayed on its way is older than a minute only if its connection is long closed.
const OFF_KEPT: Duration = Duration::from_secs(60);
const OFF_MAX: usize = 4096;

/// The most asks that wait for a new owner's first commit.
const HELD_MAX: usize = 1024;

/// The claims of one bucket.
pub struct Claims {
    rows: BTreeMap<Key, Entry>,
    held: VecDeque<(Time, ClaimAsk)>,
    waits: VecDeque<(Time, Key, RequestId)>,
    ends: VecDeque<(Ticket, u64)>,
    leases: VecDeque<(Time, Key, RequestId)>,
    births: VecDeque<(u64, Key, RequestId)>,
    off: VecDeque<(Time, RequestId)>,
    bytes: usize,
    unix: u64,
}

struct Entry {
    row: ClaimRow,
    /// The write that has to be done before the claim is granted; none once the verdict is out.
    ticket: Option<Ticket>,
}

impl Claims {
    /// No claims; `unix` is the Unix clock at [`Time::ZERO`], in seconds.
    pub fn new(unix: u64) -> Self {
        Claims {
            rows: BTreeMap::new(),
            held: VecDeque::new(),
            waits: VecDeque::new(),
            ends: VecDeque::new(),
            leases: VecDeque::new(),
            births: VecDeque::new(),
            off: VecDeque::new(),
            bytes: 0,
            unix,
        }
    }

    /// The rows, for the record.
    pub fn rows(&self) -> impl Iterator<Item = &ClaimRow> {
        self.rows.values().map(|e| &e.row)
    }

    /// Decides on an ask; the verdict `granted` follows its commit.
    pub fn ask(&mut self, ask: ClaimAsk, now: Time, commit: &mut Commit, out: &mut Vec<Order>) {
        if commit.lost() {
            return out.push(verdict(ask.request, ClaimVerdict::Unowned));
        }
        if self.off.iter().any(|(_, request)| *request == ask.request) {
            return out.push(verdict(ask.request, ClaimVerdict::KvDown));
        }
        if !commit.ready() {
            if self.held.len() == HELD_MAX {
                return out.push(verdict(ask.request, ClaimVerdict::Full));
            }
            return self.held.push_back((now, ask));
        }
        match self.rows.get(&ask.key) {
            Some(entry) => out.push(known(&entry.row, &ask)),
            None => self.claim(ask, now, commit, out),
        }
    }

    fn claim(&mut self, ask: ClaimAsk, now: Time, commit: &mut Commit, out: &mut Vec<Order>) {
        let row = ClaimRow {
            answer: None,
            born: self.unix + now.since(Time::ZERO).as_secs(),
            digest: ask.digest,
            key: ask.key,
            request: ask.request,
            state: ClaimState::Running,
            status: None,
        };
        if self.bytes + cost(&row) > ROOM {
            return out.push(verdict(row.request, ClaimVerdict::Full));
        }
        self.waits.push_back((now + KV_WAIT, row.key.clone(), row.request));
        self.insert(row, Some(commit.touch()), now);
    }

    /// Takes word of how a request ended; [`Order::Kept`] follows its commit.
    ///
    /// The sender repeats it, to whoever owns the bucket, until it is kept. Were it taken before its
    /// commit, the next owner would find the claim running, and the repeat of a request that did not
    /// run would be refused for a day.
    pub fn end(&mut self, end: ClaimEnd, call: u64, commit: &mut Commit, out: &mut Vec<Order>) {
        if !commit.ready() || commit.lost() {
            return;
        }
        let entry = self.rows.get(&end.key).filter(|e| e.row.request == end.request);
        if entry.is_some_and(|e| e.row.state != ClaimState::Answered) {
            self.close(end);
            commit.touch_later();
        }
        match commit.last() {
            ticket if ticket <= commit.done() => out.push(Order::Kept { call }),
            ticket => self.ends.push_back((ticket, call)),
        }
    }

    fn close(&mut self, end: ClaimEnd) {
        if end.fate == ClaimFate::NotRun {
            return self.remove(&end.key);
        }
        let Some(entry) = self.rows.get_mut(&end.key) else { return };
        let fits = |a: &str| a.len() <= ANSWER_MAX && self.bytes + length(a) <= ROOM;
        let answer = end.answer.filter(|a| end.fate == ClaimFate::Answered && fits(a));
        let state = if answer.is_some() { ClaimState::Answered } else { ClaimState::Unknown };
        self.bytes -= cost(&entry.row);
        entry.row = ClaimRow { answer, state, status: end.status, ..entry.row.clone() };
        entry.ticket = None;
        self.bytes += cost(&entry.row);
    }

    /// Replaces all by what the owner before left.
    ///
    /// A claim that was running may be running still, or its entry member may be dead: it stays
    /// running for [`LEASE`] and is unknown after that.
    pub fn adopt(&mut self, rows: Vec<ClaimRow>, now: Time) {
        let (held, off) = (std::mem::take(&mut self.held), std::mem::take(&mut self.off));
        *self = Claims { held, off, ..Claims::new(self.unix) };
        let mut rows = rows;
        rows.sort_by_key(|row| row.born);
        for row in rows {
            self.insert(row, None, now);
        }
    }

    /// Gives the verdicts that a commit has decided, and tells which ends are kept.
    pub fn committed(&mut self, commit: &mut Commit, out: &mut Vec<Order>) {
        while let Some((_, key, request)) = self.waits.front() {
            let ticket = self.waiting(key, *request);
            if ticket.is_some_and(|ticket| ticket > commit.done()) {
                break;
            }
            let Some((_, key, request)) = self.waits.pop_front() else { break };
            if ticket.is_some() {
                self.settle(&key);
                out.push(verdict(request, ClaimVerdict::Granted));
            }
        }
        while let Some((_, call)) = self.ends.pop_front_if(|(ticket, _)| *ticket <= commit.done()) {
            out.push(Order::Kept { call });
        }
        while commit.ready() {
            let Some((since, ask)) = self.held.pop_front() else { break };
            self.ask(ask, since, commit, out);
        }
    }

    /// Tells all askers that another owner has the bucket; none of them was granted.
    pub fn lost(&mut self, out: &mut Vec<Order>) {
        for (_, ask) in self.held.drain(..) {
            out.push(verdict(ask.request, ClaimVerdict::Unowned));
        }
        while let Some((_, key, request)) = self.waits.pop_front() {
            if self.waiting(&key, request).is_some() {
                self.settle(&key);
                out.push(verdict(request, ClaimVerdict::Unowned));
            }
        }
    }

    /// Does what is due: refuses asks that waited too long, ends leases, forgets old claims.
    pub fn tick(&mut self, now: Time, commit: &mut Commit, out: &mut Vec<Order>) {
        while let Some((_, ask)) = self.held.pop_front_if(|(since, _)| now >= *since + KV_WAIT) {
            self.tell_off(ask.request, now, out);
        }
        while let Some((_, key, request)) = self.waits.pop_front_if(|(until, ..)| now >= *until) {
            if self.waiting(&key, request).is_some() {
                // The write that carries the claim may yet take effect. The asker is told that the
                // request was not run, so the claim goes now, and the next write removes it.
                self.remove(&key);
                commit.touch();
                self.tell_off(request, now, out);
            }
        }
        while let Some((_, key, request)) = self.leases.pop_front_if(|(until, ..)| now >= *until) {
            if let Some(entry) = self.rows.get_mut(&key)
                && entry.row.request == request
                && entry.row.state == ClaimState::Running
            {
                entry.row.state = ClaimState::Unknown;
            }
        }
        while self.off.pop_front_if(|(until, _)| now >= *until).is_some() {}
        self.forget(self.unix + now.since(Time::ZERO).as_secs());
    }

    fn tell_off(&mut self, request: RequestId, now: Time, out: &mut Vec<Order>) {
        if self.off.len() == OFF_MAX {
            self.off.pop_front();
        }
        self.off.push_back((now + OFF_KEPT, request));
        out.push(verdict(request, ClaimVerdict::KvDown));
    }

    fn forget(&mut self, unix: u64) {
        while let Some((born, key, request)) = self.births.pop_front() {
            let current = self.rows.get(&key).filter(|e| e.row.request == request);
            let running = current.is_some_and(|e| e.row.state == ClaimState::Running);
            if running || unix < born + RETENTION {
                return self.births.push_front((born, key, request));
            }
            if current.is_some() {
                self.remove(&key);
            }
        }
    }

    /// Whether an ask waits for its verdict.
    pub fn pending(&self) -> bool {
        !self.held.is_empty() || !self.waits.is_empty()
    }

    fn waiting(&self, key: &Key, request: RequestId) -> Option<Ticket> {
        let entry = self.rows.get(key)?;
        if entry.row.request == request { entry.ticket } else { None }
    }

    fn settle(&mut self, key: &Key) {
        if let Some(entry) = self.rows.get_mut(key) {
            entry.ticket = None;
        }
    }

    fn insert(&mut self, row: ClaimRow, ticket: Option<Ticket>, now: Time) {
        let (key, request) = (row.key.clone(), row.request);
        self.bytes += cost(&row);
        self.births.push_back((row.born, key.clone(), request));
        self.leases.push_back((now + LEASE, key.clone(), request));
        self.rows.insert(key, Entry { row, ticket });
    }

    fn remove(&mut self, key: &Key) {
        if let Some(entry) = self.rows.remove(key) {
            self.bytes -= cost(&entry.row);
        }
    }
}

/// The verdict on an ask whose key is known.
///
/// The same request that asks again hears `running`, too: a grant is given once, so that a copy of
/// the ask that was delayed on its way can't make a request run that was told off meanwhile.
fn known(row: &ClaimRow, ask: &ClaimAsk) -> Order {
    let verdict = match row.state {
        _ if row.digest != ask.digest => ClaimVerdict::Mismatch,
        ClaimState::Running => ClaimVerdict::Running,
        ClaimState::Answered => ClaimVerdict::Answered,
        ClaimState::Unknown => ClaimVerdict::Unknown,
    };
    let kept = verdict == ClaimVerdict::Answered;
    let reply = ClaimReply {
        answer: row.answer.clone().filter(|_| kept),
        status: row.status.filter(|_| kept),
        verdict,
    };
    Order::Reply { request: ask.request, reply }
}

fn verdict(request: RequestId, verdict: ClaimVerdict) -> Order {
    Order::Reply { request, reply: ClaimReply { answer: None, status: None, verdict } }
}

/// The bytes that a row takes in the record, at most, without an answer that is yet to come.
fn cost(row: &ClaimRow) -> usize {
    serde_json::to_string(row).map_or(ROOM, |text| text.len()) + GROWTH
}

fn length(answer: &str) -> usize {
    serde_json::to_string(answer).map_or(ROOM, |text| text.len())
}
