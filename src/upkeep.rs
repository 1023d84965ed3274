//! Runs the waves of VM maintenance (`upkeep`) and the loans of standby VMs, as a state machine
//! without a clock and without I/O.
//!
//! The owner of the first shard is the holder, and the holder's orders carry its token of that
//! shard: the store issues the token, and it rises with each takeover. Every decision is written to
//! the ledger before an order goes out, so that a successor can continue from the store and the
//! list of VMs alone:
//!
//! - A VM is emptied by the owners of its worker. They learn of it from the ownership table, which
//!   they watch anyway, and report when the worker is clear.
//! - An order is first noted as under way, then sent, then repeated until it is answered. An
//!   unanswered order may still be carried out later, so its VM counts as down until the outcome is
//!   known.
//! - The maintenance of a VM has begun if an answer says so or the list shows it.
//!
//! VMs of standby pools are lent and called back in the same way: the decision is noted, the order
//! is sent, and the answer or the list settles the outcome. A VM returns only when it is clear.
//!
//! Without a wave and without standby pools, nothing is ordered, read or written.

mod course;
mod ledger;
mod loans;

pub use ledger::{LEDGER_KEY, Ledger, LoanEntry, WaveEntry};
use {
    crate::{
        ids::{PoolId, WaveNo, WorkerId},
        ports::{
            Fault, Item, Put, Rev, StoreReply, Txn, Vm, VmAction, VmCall, VmLimits, VmReply, Wave,
        },
        shard::{
            Occupancy, PoolWait,
            record::{self, CLOSING_KEY, Closing},
        },
        time::{Time, millis},
    },
    bytes::Bytes,
    course::{ListedVms, Reports, WaveProgress},
    loans::Loans,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// Interval between reads of the list of VMs while a wave or a loan is under way.
const LIST_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between queries to the owners about their workers while a wave or a loan is under way.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Interval between queries to the owners about waiting tasks while standby pools exist but no wave
/// or loan is under way.
const IDLE_REPORT_INTERVAL: Duration = Duration::from_secs(1);
/// Pause after a failed call to the store.
const RETRY_PAUSE: Duration = Duration::from_millis(200);
/// Fraction of the members' common rate limit of VM orders that the holder uses.
const ORDER_RATE_FRACTION: f64 = 0.5;
/// Maximum number of wave states in one write; further states wait for the next write.
const MAX_STATE_WRITES: usize = 20;

/// Parameters of the holder, the member that runs maintenance waves and loans.
#[derive(Clone, Debug)]
pub struct UpkeepSetup {
    /// Name that the holder gives in its orders.
    pub holder: Box<str>,
    /// Token of the holder, higher than that of any predecessor.
    pub token: u64,
    /// Limits for VM orders.
    pub limits: VmLimits,
    /// Unix time at [`Time::ZERO`], in milliseconds.
    pub unix_ms: u64,
    /// Encodes the state of a wave, given whether it is completed, as key and value.
    pub encode_state: fn(WaveNo, bool) -> (Box<str>, Bytes),
}

/// An input to the state machine [`Upkeep`].
#[derive(Clone, Debug)]
pub enum UpkeepEvent {
    /// The waves that the operators have ordered, with the revisions of their items, and whether
    /// the stored [`Closing`] still names workers to be emptied.
    Waves(Vec<(Rev, Wave)>, bool),
    /// The ledger, or the fault that prevented reading it.
    LedgerRead(Result<Option<Item>, Fault>),
    /// The store's answer to the write with this number.
    Written(u64, Result<StoreReply, Fault>),
    /// The list of VMs, and the time at which it was requested.
    VmsListed(Time, Result<Vec<Vm>, Fault>),
    /// The standby pools.
    Pools(BTreeSet<PoolId>),
    /// The time at which reports were requested from the owners, their reports on workers, and how
    /// long tasks have waited in each pool.
    OwnersReported(Time, Vec<Occupancy>, Vec<PoolWait>),
    /// The outcome of an order for a VM.
    Answered(VmCall, Result<VmReply, Fault>),
    /// Periodic call that lets due requests be sent.
    Tick,
}

/// A request that the state machine returns for its caller to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum UpkeepRequest {
    /// Read the ledger.
    ReadLedger,
    /// Write to the store; the number identifies the write in [`UpkeepEvent::Written`].
    Write(u64, Txn),
    /// Read the list of VMs.
    ListVms,
    /// Ask the owners for the state of these workers.
    AskOwners(Vec<WorkerId>),
    /// Send an order for the maintenance or the move of a VM.
    OrderVm(VmCall),
}

/// Whether the ledger is known and whether a read or write of it is in flight.
#[derive(Clone, Copy, Debug, PartialEq)]
enum LedgerStage {
    Unread,
    Reading,
    Idle,
    Writing,
}

/// State machine that runs maintenance waves and loans of standby VMs.
#[derive(Debug)]
pub struct Upkeep {
    setup: UpkeepSetup,
    progress: BTreeMap<WaveNo, WaveProgress>,
    loans: Loans,
    ordered: Vec<(Rev, Wave)>,
    /// Whether the store still names workers that a predecessor wanted emptied.
    stale_closing: bool,
    stage: LedgerStage,
    /// Revision of the stored ledger; its content is in `stored`.
    ledger_rev: Rev,
    stored: Ledger,
    /// The workers to be emptied, as stored; `None` if the stored set is not known.
    closing: Option<Closing>,
    /// Content of the write in flight.
    in_flight: (Ledger, Option<Closing>),
    write_number: u64,
    retry_at: Time,
    /// No order is sent before this time; `None` until the first write is confirmed.
    orders_from: Option<Time>,
    next_order: Time,
    list: ListedVms,
    list_pending: bool,
    next_list: Time,
    reports: Reports,
    report_pending: bool,
    next_report: Time,
    deposed: bool,
    requests: Vec<UpkeepRequest>,
}

impl Upkeep {
    /// Creates a holder that has not read the ledger yet.
    pub fn new(setup: UpkeepSetup) -> Self {
        Upkeep {
            setup,
            progress: BTreeMap::new(),
            loans: Loans::default(),
            ordered: vec![],
            stale_closing: false,
            stage: LedgerStage::Unread,
            ledger_rev: 0,
            stored: Ledger::default(),
            closing: None,
            in_flight: Default::default(),
            write_number: 0,
            retry_at: Time::ZERO,
            orders_from: None,
            next_order: Time::ZERO,
            list: ListedVms::default(),
            list_pending: false,
            next_list: Time::ZERO,
            reports: Reports::new(),
            report_pending: false,
            next_report: Time::ZERO,
            deposed: false,
            requests: vec![],
        }
    }

    /// Processes one event and returns the resulting orders.
    pub fn handle_event(&mut self, event: UpkeepEvent, now: Time) -> Vec<UpkeepRequest> {
        if self.deposed {
            return vec![];
        }
        match event {
            UpkeepEvent::Waves(waves, stale_closing) => {
                (self.ordered, self.stale_closing) = (waves, stale_closing);
                self.sync_waves(now);
            }
            UpkeepEvent::LedgerRead(reply) => self.handle_ledger(reply, now),
            UpkeepEvent::Written(number, reply) => self.handle_written(number, &reply, now),
            UpkeepEvent::VmsListed(sent, reply) => self.handle_list(sent, reply),
            UpkeepEvent::Pools(standby) => self.loans.set_standby(standby),
            UpkeepEvent::OwnersReported(sent, all, needs) => {
                self.report_pending = false;
                self.loans.set_needs(&needs, now);
                self.reports = all.into_iter().map(|h| (h.worker.clone(), (sent, h))).collect();
            }
            UpkeepEvent::Answered(call, reply) => self.handle_reply(&call, &reply, now),
            UpkeepEvent::Tick => {}
        }
        self.advance(now);
        std::mem::take(&mut self.requests)
    }

    /// Returns whether another holder has taken over. A deposed holder sends no further orders.
    pub fn is_deposed(&self) -> bool {
        self.deposed
    }

    /// Returns whether work is left. If not, the caller need not send [`UpkeepEvent::Tick`].
    pub fn has_work(&self) -> bool {
        let unread = self.stage != LedgerStage::Idle && self.is_needed();
        !self.deposed && (self.is_active() || self.needs_write() || unread || self.loans.has_any())
    }

    /// Returns whether a wave or a loan is under way.
    fn is_active(&self) -> bool {
        self.progress.values().any(|c| !c.is_completed) || self.loans.needs_list()
    }

    /// Returns whether a wave, a loan, a standby pool or leftover state of a predecessor exists.
    ///
    /// Leftover state counts because workers could otherwise stay closed forever if the holder died
    /// and the operators withdrew the wave before a successor took over.
    fn is_needed(&self) -> bool {
        !self.ordered.is_empty() || self.stale_closing || self.loans.has_any()
    }

    fn unix_ms(&self, now: Time) -> u64 {
        self.setup.unix_ms + millis(now - Time::ZERO)
    }

    /// Starts newly ordered waves and drops withdrawn ones, once the ledger is known.
    fn sync_waves(&mut self, now: Time) {
        if matches!(self.stage, LedgerStage::Unread | LedgerStage::Reading) {
            return;
        }
        let unix = self.unix_ms(now);
        let current: BTreeSet<WaveNo> = self.ordered.iter().map(|(_, w)| w.number).collect();
        self.progress.retain(|no, _| current.contains(no));
        for (rev, wave) in &self.ordered {
            let known = self.progress.get(&wave.number);
            if known.is_some_and(|c| c.rev == *rev) {
                continue;
            }
            let entry =
                known.map(WaveProgress::entry).or(self.stored.waves.get(&wave.number).cloned());
            let progress = WaveProgress::new(wave.clone(), *rev, entry.as_ref(), unix, now);
            self.progress.insert(wave.number, progress);
        }
    }

    fn handle_ledger(&mut self, reply: Result<Option<Item>, Fault>, now: Time) {
        let Ok(item) = reply else {
            (self.stage, self.retry_at) = (LedgerStage::Unread, now + RETRY_PAUSE);
            return;
        };
        let rev = item.as_ref().map_or(0, |i| i.rev);
        let ledger: Option<Ledger> = item.and_then(|i| record::decode(&i.value?));
        let ledger = ledger.unwrap_or_default();
        if ledger.token > self.setup.token {
            return self.resign("ledger");
        }
        if ledger.token < self.setup.token {
            self.loans.load(&ledger.loans, now);
        }
        (self.ledger_rev, self.stored, self.stage) = (rev, ledger, LedgerStage::Idle);
        // It is not known whether the owners have seen this holder's last write.
        self.closing = None;
        self.sync_waves(now);
    }

    /// Stops this holder after it has found a successor.
    ///
    /// A deposed holder that continued would send orders that the platform refuses again and again.
    fn resign(&mut self, by: &str) {
        log::warn!(target: "upkeep", did = "deposed", token = self.setup.token, by; "Another holder has taken over; this one stops.");
        self.deposed = true;
    }

    fn ledger_snapshot(&self) -> Ledger {
        let waves = self.progress.iter().map(|(no, c)| (*no, c.entry())).collect();
        Ledger { token: self.setup.token, waves, loans: self.loans.entries() }
    }

    fn worker_turns(&self) -> Closing {
        let active = self.progress.values().filter(|c| !c.is_completed);
        let mut turns = BTreeMap::new();
        for (worker, turn) in
            active.flat_map(WaveProgress::worker_turns).chain(self.loans.worker_turns())
        {
            let known = turns.entry(worker).or_insert(turn);
            // A worker may be in two waves at once: the more advanced turn applies.
            *known = (*known).max(turn);
        }
        Closing { version: (self.setup.token, self.write_number), turns }
    }

    fn needs_write(&self) -> bool {
        let own = self.stored.token == self.setup.token;
        (self.is_active() || self.stale_closing || own)
            && (self.ledger_snapshot() != self.stored || self.closing_changed())
    }

    /// Returns whether the stored set of workers to be emptied differs from the intended one.
    ///
    /// The set stays as it is until the list of VMs is known. Otherwise a new holder would reopen
    /// workers that its predecessor has emptied, and a predecessor's order that is still under way
    /// would end the tasks that start there.
    fn closing_changed(&self) -> bool {
        let unlisted = self.is_active() && self.list.vms.is_empty();
        !unlisted && self.closing.as_ref().is_none_or(|c| c.turns != self.worker_turns().turns)
    }

    fn write(&mut self, now: Time) {
        if self.stage != LedgerStage::Idle || self.retry_at > now || !self.needs_write() {
            return;
        }
        self.write_number += 1;
        self.stage = LedgerStage::Writing;
        let (mut ledger, turns) = (self.ledger_snapshot(), self.worker_turns());
        let mut puts = vec![];
        for (no, entry) in std::mem::take(&mut ledger.waves) {
            let known = self.stored.waves.get(&no);
            let unchanged = known.is_some_and(|k| k.over == entry.over && k.rev == entry.rev);
            if unchanged || puts.len() < MAX_STATE_WRITES {
                if !unchanged {
                    let (key, value) = (self.setup.encode_state)(no, entry.over);
                    puts.push(Put { key, value, lease: 0 });
                }
                ledger.waves.insert(no, entry);
            } else if let Some(known) = known {
                ledger.waves.insert(no, known.clone());
            }
        }
        puts.push(Put { key: LEDGER_KEY.into(), value: record::encode(&ledger), lease: 0 });
        let turns = Some(turns).filter(|_| self.closing_changed());
        if let Some(turns) = &turns {
            puts.push(Put { key: CLOSING_KEY.into(), value: record::encode(turns), lease: 0 });
        }
        let txn = Txn {
            expected_revs: vec![(LEDGER_KEY.into(), self.ledger_rev)],
            puts,
            removed_keys: vec![],
        };
        self.in_flight = (ledger, turns);
        self.requests.push(UpkeepRequest::Write(self.write_number, txn));
    }

    fn handle_written(&mut self, number: u64, reply: &Result<StoreReply, Fault>, now: Time) {
        if number != self.write_number || self.stage != LedgerStage::Writing {
            return;
        }
        match reply {
            Ok(StoreReply::Done(rev)) => {
                // A predecessor may have sent its last order just now, by its own clock.
                let turn = if self.stored.token > 0 {
                    self.setup.limits.holder_gap
                } else {
                    Duration::ZERO
                };
                self.orders_from.get_or_insert(now + turn);
                let (ledger, closing) = std::mem::take(&mut self.in_flight);
                self.stored = ledger;
                if closing.is_some() {
                    (self.closing, self.stale_closing) = (closing, false);
                }
                (self.ledger_rev, self.stage) = (*rev, LedgerStage::Idle);
            }
            Err(Fault::Refused | Fault::Unsent) => {
                (self.stage, self.retry_at) = (LedgerStage::Idle, now + RETRY_PAUSE);
            }
            // Either another holder has written, or an earlier write of this one took effect
            // although it was taken for lost. Reading the ledger shows which.
            _ => (self.stage, self.retry_at) = (LedgerStage::Unread, now + RETRY_PAUSE),
        }
    }

    fn handle_list(&mut self, sent: Time, reply: Result<Vec<Vm>, Fault>) {
        self.list_pending = false;
        let Ok(all) = reply else { return };
        // An empty list of VMs is treated as a failed read.
        if all.is_empty() {
            return;
        }
        self.list = ListedVms {
            requested_at: sent,
            vms: all.into_iter().map(|m| (m.id.clone(), m)).collect(),
        };
        for progress in self.progress.values_mut().filter(|c| !c.is_completed) {
            progress.update_list(&self.list, &self.setup.limits);
        }
        self.loans.update_list(&self.list);
    }

    fn handle_reply(&mut self, call: &VmCall, reply: &Result<VmReply, Fault>, now: Time) {
        match &call.action {
            VmAction::Upkeep(wave) => {
                if let Some(progress) = self.progress.get_mut(wave) {
                    progress.handle_reply(&call.vm, reply, now);
                }
            }
            VmAction::Move(_) => self.loans.handle_reply(&call.vm, reply, now),
        }
        if *reply == Ok(VmReply::Fence) {
            self.resign("order");
        }
    }

    fn advance(&mut self, now: Time) {
        if self.deposed {
            return;
        }
        if self.stage == LedgerStage::Unread && self.is_needed() && self.retry_at <= now {
            self.stage = LedgerStage::Reading;
            self.requests.push(UpkeepRequest::ReadLedger);
        }
        if !self.is_active() {
            // The next wave or loan must not start from an outdated list or outdated reports.
            (self.list, self.reports) = Default::default();
        }
        self.poll(now);
        if !self.list.vms.is_empty() {
            self.step(now);
        }
        self.write(now);
        self.send_order(now);
    }

    /// Requests the list of VMs and the owners' reports when they are due.
    fn poll(&mut self, now: Time) {
        let active = self.is_active();
        if active && !self.list_pending && self.next_list <= now {
            (self.list_pending, self.next_list) = (true, now + LIST_INTERVAL);
            self.requests.push(UpkeepRequest::ListVms);
        }
        let mut workers: Vec<WorkerId> = self.worker_turns().turns.into_keys().collect();
        workers.extend(self.loans.workers().cloned());
        let wanted = !workers.is_empty() || self.loans.has_any();
        if wanted && !self.report_pending && self.next_report <= now {
            (self.report_pending, self.next_report) =
                (true, now + if active { REPORT_INTERVAL } else { IDLE_REPORT_INTERVAL });
            self.requests.push(UpkeepRequest::AskOwners(workers));
        }
    }

    fn step(&mut self, now: Time) {
        let in_waves = self.progress.values().flat_map(WaveProgress::taken_vms).cloned();
        let mut taken: BTreeSet<_> = in_waves.chain(self.loans.taken_vms().cloned()).collect();
        for progress in self.progress.values_mut().filter(|c| !c.is_completed) {
            progress.advance(&self.list, &self.reports, &taken, &self.setup.limits, now);
            taken.extend(progress.taken_vms().cloned());
        }
        let in_waves = self.progress.values().flat_map(WaveProgress::taken_vms).cloned().collect();
        self.loans.step(&self.list, &self.reports, &in_waves, now);
    }

    fn send_order(&mut self, now: Time) {
        let allowed = self.orders_from.is_some_and(|from| from <= now);
        if !allowed || self.next_order > now || self.stored.token != self.setup.token {
            return;
        }
        let mut upkeeps =
            self.progress.iter_mut().filter(|(_, c)| !c.is_completed).filter_map(|(no, c)| {
                let entry = self.stored.waves.get(no)?;
                Some((c.next_order(&entry.out, &self.reports, now)?, VmAction::Upkeep(*no)))
            });
        let call = upkeeps.next();
        let call = call.or_else(|| self.loans.next_order(&self.stored.loans, &self.reports, now));
        let Some((vm, deed)) = call else { return };
        let gap = 1.0 / (self.setup.limits.order_rate * ORDER_RATE_FRACTION).max(0.1);
        self.next_order = now + Duration::from_secs_f64(gap);
        let (holder, token) = (self.setup.holder.clone(), self.setup.token);
        self.requests.push(UpkeepRequest::OrderVm(VmCall { vm, action: deed, holder, token }));
    }
}
