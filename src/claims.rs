//! The claims on idempotency keys of non-idempotent requests, as the owner of one bucket keeps them.
//!
//! Calls [`commit`](crate::commit) and emits its effects as [`Order`]s; [`bucket`](crate::bucket)
//! calls it.
//!
//! A claim is committed to the bucket's record before its request may run, so that a repeated
//! request finds it at any member and after the crash of any member. Without claims, a caller that
//! repeats a request after a lost answer would bind cover or pay a grant twice.
//!
//! The member that asks for a claim has these obligations: each ask has a request id of its own and
//! is not repeated; a verdict that arrives after the member has given up is ignored; a member whose
//! claim was not granted, or that gave up, sends the end `not_run` until it is acknowledged, so that
//! a caller's repeat can run.

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

/// How long an ask waits for its commit: a tenth of the default deadline, so that the caller learns
/// of a KV outage while it can still act on it.
pub const COMMIT_TIMEOUT: Duration = Duration::from_secs(1);

/// How long a claim stays running if its end is not reported: more than the longest deadline of a
/// service plus the message delay and the clock drift. After that it is unknown. This is safe at any
/// time, since an unknown claim is never granted again; the bound only decides which verdict a
/// repeat gets.
pub const LEASE: Duration = Duration::from_secs(300);

/// How long a claim that is not running is kept, in seconds: a caller may repeat a request for a day.
pub const RETENTION_S: u64 = 24 * 60 * 60;

/// The longest answer that is stored, in bytes: a confirmation fits, a document does not.
pub const ANSWER_MAX: usize = 2 * 1024;

/// The maximum size of all claims in the record, in bytes: half of the KV's megabyte; the rest is
/// for tasks.
pub const ROWS_MAX_BYTES: usize = 500_000;

/// How much a row may grow when its state changes, in bytes; a stored answer is counted separately.
const ROW_GROWTH: usize = 64;

/// How long, and how many, refused asks are remembered, so that a delayed copy of one is not granted.
/// A copy that was delayed in transit is older than a minute only if its connection is long closed.
const REFUSED_RETENTION: Duration = Duration::from_secs(60);
const REFUSED_MAX: usize = 4096;

/// The maximum number of asks that wait for a new owner's first commit.
const DEFERRED_MAX: usize = 1024;

/// The claims of one bucket.
pub struct Claims {
    rows: BTreeMap<Key, Entry>,
    deferred: VecDeque<(Time, ClaimAsk)>,
    waits: VecDeque<(Time, Key, RequestId)>,
    ends: VecDeque<(Ticket, u64)>,
    leases: VecDeque<(Time, Key, RequestId)>,
    by_age: VecDeque<(u64, Key, RequestId)>,
    refused: VecDeque<(Time, RequestId)>,
    bytes: usize,
    unix: u64,
}

struct Entry {
    row: ClaimRow,
    /// The write that must complete before the claim is granted; `None` once the verdict is sent.
    ticket: Option<Ticket>,
}

impl Claims {
    /// Creates an empty set of claims; `unix` is the Unix clock at [`Time::ZERO`], in seconds.
    pub fn new(unix: u64) -> Self {
        Claims {
            rows: BTreeMap::new(),
            deferred: VecDeque::new(),
            waits: VecDeque::new(),
            ends: VecDeque::new(),
            leases: VecDeque::new(),
            by_age: VecDeque::new(),
            refused: VecDeque::new(),
            bytes: 0,
            unix,
        }
    }

    /// The rows to store in the bucket's record.
    pub fn rows(&self) -> impl Iterator<Item = &ClaimRow> {
        self.rows.values().map(|e| &e.row)
    }

    /// Decides on an ask; the verdict `granted` is sent once the claim is committed.
    pub fn ask(&mut self, ask: ClaimAsk, now: Time, commit: &mut Commit, out: &mut Vec<Order>) {
        if commit.lost() {
            return out.push(verdict(ask.request, ClaimVerdict::Unowned));
        }
        if self.refused.iter().any(|(_, request)| *request == ask.request) {
            return out.push(verdict(ask.request, ClaimVerdict::KvDown));
        }
        if !commit.ready() {
            if self.deferred.len() == DEFERRED_MAX {
                return out.push(verdict(ask.request, ClaimVerdict::Full));
            }
            return self.deferred.push_back((now, ask));
        }
        match self.rows.get(&ask.key) {
            Some(entry) => out.push(claimed(&entry.row, &ask)),
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
        if self.bytes + cost(&row) > ROWS_MAX_BYTES {
            return out.push(verdict(row.request, ClaimVerdict::Full));
        }
        self.waits.push_back((now + COMMIT_TIMEOUT, row.key.clone(), row.request));
        self.insert(row, Some(commit.touch()), now);
    }

    /// Records how a request ended; [`Order::EndCommitted`] follows once that is committed.
    ///
    /// The sender repeats the end, to the bucket's current owner, until it is acknowledged. If it
    /// were acknowledged before its commit, the next owner would find the claim running, and the
    /// repeat of a request that did not run would be refused for a day.
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
            ticket if ticket <= commit.done() => out.push(Order::EndCommitted { call }),
            ticket => self.ends.push_back((ticket, call)),
        }
    }

    fn close(&mut self, end: ClaimEnd) {
        if end.fate == ClaimFate::NotRun {
            return self.remove(&end.key);
        }
        let Some(entry) = self.rows.get_mut(&end.key) else { return };
        let fits = |a: &str| a.len() <= ANSWER_MAX && self.bytes + length(a) <= ROWS_MAX_BYTES;
        let answer = end.answer.filter(|a| end.fate == ClaimFate::Answered && fits(a));
        let state = if answer.is_some() { ClaimState::Answered } else { ClaimState::Unknown };
        self.bytes -= cost(&entry.row);
        entry.row = ClaimRow { answer, state, status: end.status, ..entry.row.clone() };
        entry.ticket = None;
        self.bytes += cost(&entry.row);
    }

    /// Replaces all claims with those in the previous owner's record.
    ///
    /// A running claim's request may still run, or its entry member may be dead: the claim stays
    /// running for [`LEASE`] and is unknown after that.
    pub fn adopt(&mut self, rows: Vec<ClaimRow>, now: Time) {
        let (deferred, refused) =
            (std::mem::take(&mut self.deferred), std::mem::take(&mut self.refused));
        *self = Claims { deferred, refused, ..Claims::new(self.unix) };
        let mut rows = rows;
        rows.sort_by_key(|row| row.born);
        for row in rows {
            self.insert(row, None, now);
        }
    }

    /// Sends the verdicts that a commit has decided, and acknowledges the ends that it has stored.
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
            out.push(Order::EndCommitted { call });
        }
        while commit.ready() {
            let Some((since, ask)) = self.deferred.pop_front() else { break };
            self.ask(ask, since, commit, out);
        }
    }

    /// Answers all pending asks that another member owns the bucket; none of them was granted.
    pub fn lost(&mut self, out: &mut Vec<Order>) {
        for (_, ask) in self.deferred.drain(..) {
            out.push(verdict(ask.request, ClaimVerdict::Unowned));
        }
        while let Some((_, key, request)) = self.waits.pop_front() {
            if self.waiting(&key, request).is_some() {
                self.settle(&key);
                out.push(verdict(request, ClaimVerdict::Unowned));
            }
        }
    }

    /// Runs the timers: refuses asks that waited too long, ends leases, removes old claims.
    pub fn tick(&mut self, now: Time, commit: &mut Commit, out: &mut Vec<Order>) {
        while let Some((_, ask)) =
            self.deferred.pop_front_if(|(since, _)| now >= *since + COMMIT_TIMEOUT)
        {
            self.refuse(ask.request, now, out);
        }
        while let Some((_, key, request)) = self.waits.pop_front_if(|(until, ..)| now >= *until) {
            if self.waiting(&key, request).is_some() {
                // The write that carries the claim may still take effect. The verdict says that the
                // request was not run, so the claim is removed here, and by the next write from the
                // record.
                self.remove(&key);
                commit.touch();
                self.refuse(request, now, out);
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
        while self.refused.pop_front_if(|(until, _)| now >= *until).is_some() {}
        self.forget(self.unix + now.since(Time::ZERO).as_secs());
    }

    fn refuse(&mut self, request: RequestId, now: Time, out: &mut Vec<Order>) {
        if self.refused.len() == REFUSED_MAX {
            self.refused.pop_front();
        }
        self.refused.push_back((now + REFUSED_RETENTION, request));
        out.push(verdict(request, ClaimVerdict::KvDown));
    }

    fn forget(&mut self, unix: u64) {
        while let Some((born, key, request)) = self.by_age.pop_front() {
            let current = self.rows.get(&key).filter(|e| e.row.request == request);
            let running = current.is_some_and(|e| e.row.state == ClaimState::Running);
            if running || unix < born + RETENTION_S {
                return self.by_age.push_front((born, key, request));
            }
            if current.is_some() {
                self.remove(&key);
            }
        }
    }

    /// Whether any ask waits for its verdict.
    pub fn pending(&self) -> bool {
        !self.deferred.is_empty() || !self.waits.is_empty()
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
        self.by_age.push_back((row.born, key.clone(), request));
        self.leases.push_back((now + LEASE, key.clone(), request));
        self.rows.insert(key, Entry { row, ticket });
    }

    fn remove(&mut self, key: &Key) {
        if let Some(entry) = self.rows.remove(key) {
            self.bytes -= cost(&entry.row);
        }
    }
}

/// The verdict on an ask whose key is already claimed.
///
/// A repeated ask of the same request also gets `running`: a claim is granted once, so that a copy of
/// the ask that was delayed in transit can't make a request run that was refused meanwhile.
fn claimed(row: &ClaimRow, ask: &ClaimAsk) -> Order {
    let verdict = match row.state {
        _ if row.digest != ask.digest => ClaimVerdict::Mismatch,
        ClaimState::Running => ClaimVerdict::Running,
        ClaimState::Answered => ClaimVerdict::Answered,
        ClaimState::Unknown => ClaimVerdict::Unknown,
    };
    let kept = verdict == ClaimVerdict::Answered;
    let reply = ClaimReply {
        answer: row.answer.clone().filter(|_| kept),
        holder: (verdict == ClaimVerdict::Running).then_some(row.request),
        status: row.status.filter(|_| kept),
        verdict,
    };
    Order::Reply { request: ask.request, reply }
}

fn verdict(request: RequestId, verdict: ClaimVerdict) -> Order {
    Order::Reply {
        request,
        reply: ClaimReply { answer: None, holder: None, status: None, verdict },
    }
}

/// The maximum size of a row in the record, in bytes, without an answer that may be added later.
fn cost(row: &ClaimRow) -> usize {
    serde_json::to_string(row).map_or(ROWS_MAX_BYTES, |text| text.len()) + ROW_GROWTH
}

fn length(answer: &str) -> usize {
    serde_json::to_string(answer).map_or(ROWS_MAX_BYTES, |text| text.len())
}
