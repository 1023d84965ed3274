//! The holder of waves of upkeep: one state machine, without a clock and without I/O.
//!
//! The owner of the first shard is the holder, and its token there is the token of its orders: it
//! comes from the store and rises with each takeover. What is decided is in the ledger before an
//! order goes out, so that a holder that comes after goes on from the store and the list of VMs
//! alone:
//!
//! - A VM is emptied by the owners of its worker, who learn of it by the table that they watch
//!   anyway, and say when it is clear.
//! - An order is noted as under way, then given, then given again until it is answered: it may be
//!   carried out late, and its VM counts as down until that is settled.
//! - A VM has begun its upkeep when an order was answered so, or the list shows it.
//!
//! VMs of pools that stand by are lent and called back in the same way: decided, noted, ordered, and
//! settled by the answer or the list; a VM goes back only when it is clear.
//!
//! Without a wave and without pools that stand by, nothing is ordered, read or written.

mod course;
mod ledger;
mod loans;

pub use ledger::{Entry, LEDGER, Ledger, Lent};
use {
    crate::{
        ids::{PoolId, WaveNo, WorkerId},
        ports::{Deed, Fault, Fleet, Item, Put, Rev, StoreReply, Txn, Vm, VmCall, VmReply, Wave},
        shard::{
            Held, Need,
            record::{self, CLOSING, Closing},
        },
        time::{Time, millis},
    },
    bytes::Bytes,
    course::{Course, List, Words},
    loans::Loans,
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// How often the list of VMs is read while a wave is under way.
const LIST: Duration = Duration::from_millis(500);
/// How often the owners are asked what is at the workers.
const ASK: Duration = Duration::from_millis(200);
/// How often they are asked what waits, where VMs stand by and nothing is under way.
const NEEDS: Duration = Duration::from_secs(1);
/// The pause after a fault of the store.
const PAUSE: Duration = Duration::from_millis(200);
/// The part of the orders that all members may give together which is used.
const RATE: f64 = 0.5;
/// The most states of waves that one write tells; the rest goes with the next.
const TOLD: usize = 20;

/// What a holder is given at its start.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Who it is in its orders.
    pub holder: Box<str>,
    /// Its token, higher than that of any holder before.
    pub token: u64,
    /// Bounds of the orders.
    pub fleet: Fleet,
    /// The Unix clock at [`Time::ZERO`], in milliseconds.
    pub unix: u64,
    /// Writes how a wave stands: key and value.
    pub told: fn(WaveNo, bool) -> (Box<str>, Bytes),
}

/// What the holder is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// The waves that are ordered, with the revisions of their items, and whether the table has
    /// workers that are to be emptied.
    Waves(Vec<(Rev, Wave)>, bool),
    /// The ledger, or that it could not be read.
    Read(Result<Option<Item>, Fault>),
    /// The store's answer to the write of this number.
    Stored(u64, Result<StoreReply, Fault>),
    /// The list of VMs, asked for then.
    Listed(Time, Result<Vec<Vm>, Fault>),
    /// The pools that stand by.
    Pools(BTreeSet<PoolId>),
    /// What the owners say of workers, and how long work waits, asked for then.
    Held(Time, Vec<Held>, Vec<Need>),
    /// What became of an order.
    Answered(VmCall, Result<VmReply, Fault>),
    /// Time has passed.
    Tick,
}

/// What the holder orders.
#[derive(Clone, Debug, PartialEq)]
pub enum Order {
    /// Read the ledger.
    Read,
    /// Write to the store.
    Store(u64, Txn),
    /// Read the list of VMs.
    List,
    /// Ask the owners what is at these workers.
    Ask(Vec<WorkerId>),
    /// Order a VM's upkeep or move.
    Call(VmCall),
}

/// How the ledger stands with its holder.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Stage {
    Unread,
    Reading,
    Idle,
    Writing,
}

/// The holder.
#[derive(Debug)]
pub struct Upkeep {
    setup: Setup,
    courses: BTreeMap<WaveNo, Course>,
    loans: Loans,
    ordered: Vec<(Rev, Wave)>,
    /// Whether the table has workers that are to be emptied, of a holder before.
    left: bool,
    stage: Stage,
    /// The ledger's revision, and what it has; the waves that it has are taken in.
    rev: Rev,
    stored: Ledger,
    /// The workers to be emptied, as the table has them; nothing where that isn't known.
    closing: Option<Closing>,
    /// What the write that is out holds.
    flight: (Ledger, Option<Closing>),
    number: u64,
    next: Time,
    /// No order before.
    from: Option<Time>,
    call: Time,
    list: List,
    listing: bool,
    look: Time,
    words: Words,
    asking: bool,
    ask: Time,
    over: bool,
    out: Vec<Order>,
}

impl Upkeep {
    /// The holder as it begins, with nothing known.
    pub fn new(setup: Setup) -> Self {
        Upkeep {
            setup,
            courses: BTreeMap::new(),
            loans: Loans::default(),
            ordered: vec![],
            left: false,
            stage: Stage::Unread,
            rev: 0,
            stored: Ledger::default(),
            closing: None,
            flight: Default::default(),
            number: 0,
            next: Time::ZERO,
            from: None,
            call: Time::ZERO,
            list: List::default(),
            listing: false,
            look: Time::ZERO,
            words: Words::new(),
            asking: false,
            ask: Time::ZERO,
            over: false,
            out: vec![],
        }
    }

    /// Takes in one event and returns the orders that follow.
    pub fn on(&mut self, event: Event, now: Time) -> Vec<Order> {
        if self.over {
            return vec![];
        }
        match event {
            Event::Waves(waves, left) => {
                (self.ordered, self.left) = (waves, left);
                self.begin(now);
            }
            Event::Read(reply) => self.read(reply, now),
            Event::Stored(number, reply) => self.written(number, &reply, now),
            Event::Listed(sent, reply) => self.listed(sent, reply),
            Event::Pools(standby) => self.loans.pools(standby),
            Event::Held(sent, all, needs) => {
                self.asking = false;
                self.loans.needs(&needs, now);
                self.words = all.into_iter().map(|h| (h.worker.clone(), (sent, h))).collect();
            }
            Event::Answered(call, reply) => self.answered(&call, &reply, now),
            Event::Tick => {}
        }
        self.go_on(now);
        std::mem::take(&mut self.out)
    }

    /// Whether another holder has taken over: nothing is ordered any more.
    pub fn over(&self) -> bool {
        self.over
    }

    /// Whether anything is left to do; without it, time need not be told.
    pub fn busy(&self) -> bool {
        let unread = self.stage != Stage::Idle && self.concerned();
        !self.over && (self.open() || self.dirty() || unread || self.loans.any())
    }

    /// Whether a wave is under way, or a loan.
    fn open(&self) -> bool {
        self.courses.values().any(|c| !c.over) || self.loans.busy()
    }

    /// Whether there is anything to hold at all.
    ///
    /// Guards against workers that stay closed for good: the holder died, and the operators took the
    /// wave back before there was another.
    fn concerned(&self) -> bool {
        !self.ordered.is_empty() || self.left || self.loans.any()
    }

    fn unix(&self, now: Time) -> u64 {
        self.setup.unix + millis(now - Time::ZERO)
    }

    /// Begins waves that were ordered, and forgets those that are so no longer, once the ledger is
    /// known.
    fn begin(&mut self, now: Time) {
        if matches!(self.stage, Stage::Unread | Stage::Reading) {
            return;
        }
        let unix = self.unix(now);
        let there: BTreeSet<WaveNo> = self.ordered.iter().map(|(_, w)| w.no).collect();
        self.courses.retain(|no, _| there.contains(no));
        for (rev, wave) in &self.ordered {
            let known = self.courses.get(&wave.no);
            if known.is_some_and(|c| c.rev == *rev) {
                continue;
            }
            let entry = known.map(Course::entry).or(self.stored.waves.get(&wave.no).cloned());
            let course = Course::new(wave.clone(), *rev, entry.as_ref(), unix, now);
            self.courses.insert(wave.no, course);
        }
    }

    fn read(&mut self, reply: Result<Option<Item>, Fault>, now: Time) {
        let Ok(item) = reply else {
            (self.stage, self.next) = (Stage::Unread, now + PAUSE);
            return;
        };
        let rev = item.as_ref().map_or(0, |i| i.rev);
        let ledger: Option<Ledger> = item.and_then(|i| record::read(&i.value?));
        let ledger = ledger.unwrap_or_default();
        if ledger.token > self.setup.token {
            return self.end("ledger");
        }
        if ledger.token < self.setup.token {
            self.loans.load(&ledger.loans, now);
        }
        (self.rev, self.stored, self.stage) = (rev, ledger, Stage::Idle);
        // Whether its own write before has reached the owners is not known.
        self.closing = None;
        self.begin(now);
    }

    /// Guards against a holder that was deposed and doesn't know yet: whatever it would still order
    /// is refused, and doing so again and again is a fault of its own.
    fn end(&mut self, by: &str) {
        log::warn!(target: "upkeep", did = "deposed", token = self.setup.token, by; "Waves have another holder.");
        self.over = true;
    }

    fn ledger(&self) -> Ledger {
        let waves = self.courses.iter().map(|(no, c)| (*no, c.entry())).collect();
        Ledger { token: self.setup.token, waves, loans: self.loans.entries() }
    }

    fn turns(&self) -> Closing {
        let open = self.courses.values().filter(|c| !c.over);
        let mut turns = BTreeMap::new();
        for (worker, turn) in open.flat_map(Course::turns).chain(self.loans.turns()) {
            let known = turns.entry(worker).or_insert(turn);
            // In two waves at once, the one that it is emptied for decides.
            *known = (*known).max(turn);
        }
        Closing { place: (self.setup.token, self.number), turns }
    }

    fn dirty(&self) -> bool {
        let mine = self.stored.token == self.setup.token;
        (self.open() || self.left || mine) && (self.ledger() != self.stored || self.moved())
    }

    /// Whether the table has other workers to be emptied than it should.
    ///
    /// Guards against a holder that begins, has not seen the list yet, and opens the workers that one
    /// before it has emptied: an order that is still under way would end what starts there.
    fn moved(&self) -> bool {
        let blind = self.open() && self.list.all.is_empty();
        !blind && self.closing.as_ref().is_none_or(|c| c.turns != self.turns().turns)
    }

    fn write(&mut self, now: Time) {
        if self.stage != Stage::Idle || self.next > now || !self.dirty() {
            return;
        }
        self.number += 1;
        self.stage = Stage::Writing;
        let (mut ledger, turns) = (self.ledger(), self.turns());
        let mut puts = vec![];
        for (no, entry) in std::mem::take(&mut ledger.waves) {
            let known = self.stored.waves.get(&no);
            let told = known.is_some_and(|k| k.over == entry.over && k.rev == entry.rev);
            if told || puts.len() < TOLD {
                if !told {
                    let (key, value) = (self.setup.told)(no, entry.over);
                    puts.push(Put { key, value, lease: 0 });
                }
                ledger.waves.insert(no, entry);
            } else if let Some(known) = known {
                ledger.waves.insert(no, known.clone());
            }
        }
        puts.push(Put { key: LEDGER.into(), value: record::write(&ledger), lease: 0 });
        let turns = Some(turns).filter(|_| self.moved());
        if let Some(turns) = &turns {
            puts.push(Put { key: CLOSING.into(), value: record::write(turns), lease: 0 });
        }
        let txn = Txn { expect: vec![(LEDGER.into(), self.rev)], puts, remove: vec![] };
        self.flight = (ledger, turns);
        self.out.push(Order::Store(self.number, txn));
    }

    fn written(&mut self, number: u64, reply: &Result<StoreReply, Fault>, now: Time) {
        if number != self.number || self.stage != Stage::Writing {
            return;
        }
        match reply {
            Ok(StoreReply::Done(rev)) => {
                // A holder before may have given its last order just now, by its own clock.
                let turn =
                    if self.stored.token > 0 { self.setup.fleet.turn } else { Duration::ZERO };
                self.from.get_or_insert(now + turn);
                let (ledger, closing) = std::mem::take(&mut self.flight);
                self.stored = ledger;
                if closing.is_some() {
                    (self.closing, self.left) = (closing, false);
                }
                (self.rev, self.stage) = (*rev, Stage::Idle);
            }
            Err(Fault::Refused | Fault::Unsent) => {
                (self.stage, self.next) = (Stage::Idle, now + PAUSE);
            }
            // Another holder's write, or its own that was taken for lost: the ledger tells.
            _ => (self.stage, self.next) = (Stage::Unread, now + PAUSE),
        }
    }

    fn listed(&mut self, sent: Time, reply: Result<Vec<Vm>, Fault>) {
        self.listing = false;
        let Ok(all) = reply else { return };
        // No VM at all is no list.
        if all.is_empty() {
            return;
        }
        self.list = List { sent, all: all.into_iter().map(|m| (m.id.clone(), m)).collect() };
        for course in self.courses.values_mut().filter(|c| !c.over) {
            course.listed(&self.list, &self.setup.fleet);
        }
        self.loans.listed(&self.list);
    }

    fn answered(&mut self, call: &VmCall, reply: &Result<VmReply, Fault>, now: Time) {
        match &call.deed {
            Deed::Upkeep(wave) => {
                if let Some(course) = self.courses.get_mut(wave) {
                    course.answered(&call.vm, reply, now);
                }
            }
            Deed::Move(_) => self.loans.answered(&call.vm, reply, now),
        }
        if *reply == Ok(VmReply::Fence) {
            self.end("order");
        }
    }

    fn go_on(&mut self, now: Time) {
        if self.over {
            return;
        }
        if self.stage == Stage::Unread && self.concerned() && self.next <= now {
            self.stage = Stage::Reading;
            self.out.push(Order::Read);
        }
        if !self.open() {
            // Whatever comes next must not begin with how things stood then.
            (self.list, self.words) = Default::default();
        }
        self.look(now);
        if !self.list.all.is_empty() {
            self.step(now);
        }
        self.write(now);
        self.calls(now);
    }

    /// Asks for the VMs and for what is at their workers.
    fn look(&mut self, now: Time) {
        let open = self.open();
        if open && !self.listing && self.look <= now {
            (self.listing, self.look) = (true, now + LIST);
            self.out.push(Order::List);
        }
        let mut workers: Vec<WorkerId> = self.turns().turns.into_keys().collect();
        workers.extend(self.loans.workers().cloned());
        let wanted = !workers.is_empty() || self.loans.any();
        if wanted && !self.asking && self.ask <= now {
            (self.asking, self.ask) = (true, now + if open { ASK } else { NEEDS });
            self.out.push(Order::Ask(workers));
        }
    }

    fn step(&mut self, now: Time) {
        let in_waves = self.courses.values().flat_map(Course::taken).cloned();
        let mut taken: BTreeSet<_> = in_waves.chain(self.loans.taken().cloned()).collect();
        for course in self.courses.values_mut().filter(|c| !c.over) {
            course.step(&self.list, &self.words, &taken, &self.setup.fleet, now);
            taken.extend(course.taken().cloned());
        }
        let in_waves = self.courses.values().flat_map(Course::taken).cloned().collect();
        self.loans.step(&self.list, &self.words, &in_waves, now);
    }

    fn calls(&mut self, now: Time) {
        let free = self.from.is_some_and(|from| from <= now);
        if !free || self.call > now || self.stored.token != self.setup.token {
            return;
        }
        let mut upkeeps = self.courses.iter_mut().filter(|(_, c)| !c.over).filter_map(|(no, c)| {
            let entry = self.stored.waves.get(no)?;
            Some((c.calls(&entry.out, &self.words, now)?, Deed::Upkeep(*no)))
        });
        let call = upkeeps.next();
        let call = call.or_else(|| self.loans.calls(&self.stored.loans, &self.words, now));
        let Some((vm, deed)) = call else { return };
        let gap = 1.0 / (self.setup.fleet.rate * RATE).max(0.1);
        self.call = now + Duration::from_secs_f64(gap);
        let (holder, token) = (self.setup.holder.clone(), self.setup.token);
        self.out.push(Order::Call(VmCall { vm, deed, holder, token }));
    }
}
