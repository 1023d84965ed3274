//! VMs, owners of their workers and a store, for holders of waves in virtual time; the rules are
//! checked at every step.

#![allow(dead_code)] // each test file uses a part

pub mod unit;

pub use standin::site::store;

use {
    dogwoodreach::{
        Time,
        ids::{PoolId, VmId, WaveNo, WorkerId},
        ports::{Deed, Fault, Fleet, Vm, VmCall, VmReply, VmState, Wave},
        shard::{
            Held, Need,
            record::{CLOSING, Closing, Turn, read},
        },
        upkeep::{Event, LEDGER, Order, Setup, Upkeep},
    },
    std::{
        collections::{BTreeMap, VecDeque},
        mem,
        time::Duration,
    },
    store::{Fate, Store},
    unit::{SPARE, Unit},
};

/// The time between two ticks.
const STEP: Duration = Duration::from_millis(20);
/// How far the list of VMs is behind.
const LAG: Duration = Duration::from_millis(900);
/// How long an answer takes.
const WAY: Duration = Duration::from_millis(20);
/// How long an answer is waited for.
const LIMIT: Duration = Duration::from_millis(800);
/// How long a VM is down for its upkeep.
pub const DOWN: Duration = Duration::from_secs(2);
/// The least time between orders of two holders for one VM.
const TURN: Duration = Duration::from_secs(3);

/// What becomes of an order.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Luck {
    Fine,
    /// It is carried out, and nobody hears of it.
    Unheard,
    /// Nobody hears of it, and it is carried out so much later.
    Late(Duration),
    /// It is lost.
    Lost,
    /// There are too many.
    Refused,
}

/// A holder.
pub struct Holder {
    pub upkeep: Upkeep,
    pub token: u64,
    pub gone: bool,
    pub paused: bool,
    held: Vec<Event>,
}

enum Mail {
    Tell(usize, Event),
    Carry(usize, Order),
    Late(VmCall),
}

pub struct Yard {
    pub now: Time,
    pub store: Store,
    pub vms: Vec<Unit>,
    pub holders: Vec<Holder>,
    pub waves: Vec<(u64, Wave)>,
    /// What becomes of the next orders; those after them are fine.
    pub luck: VecDeque<Luck>,
    /// How long work waits.
    pub needs: Vec<Need>,
    /// What becomes of the next writes.
    pub fates: VecDeque<Fate>,
    /// How many calls were made of any kind, and how many lists were read.
    pub calls: u32,
    pub lists: u32,
    /// The orders so far: when, by which token, for which VM, and the answer.
    pub orders: Vec<(Time, u64, VmId, VmReply)>,
    /// The most that were down at once.
    pub down: usize,
    /// The revision of what was last told of the wave.
    heard: u64,
    shown: VecDeque<(Time, Vec<Vm>)>,
    mail: Vec<(Time, Mail)>,
    late: Vec<(Time, dogwoodreach::ports::Txn)>,
}

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A wave of the first so many VMs.
pub fn wave(count: usize, seconds: u64, cap: u32) -> Wave {
    let vms = (0..count).map(|i| VmId::from(&*format!("m{i}"))).collect();
    Wave { no: WaveNo(1), vms, within: Duration::from_secs(seconds), cap }
}

impl Yard {
    /// So many VMs, and one holder.
    pub fn new(count: usize) -> Self {
        let mut yard = Yard {
            now: Time::ZERO,
            store: Store::new(1),
            vms: (0..count).map(Unit::new).collect(),
            holders: vec![],
            waves: vec![],
            luck: VecDeque::new(),
            needs: vec![],
            fates: VecDeque::new(),
            calls: 0,
            lists: 0,
            orders: vec![],
            down: 0,
            heard: 0,
            shown: VecDeque::new(),
            mail: vec![],
            late: vec![],
        };
        yard.take_over();
        yard
    }

    /// Another holder begins.
    pub fn take_over(&mut self) {
        let token = self.holders.len() as u64 + 1;
        let fleet = Fleet { rate: 60.0, upkeep: DOWN, moved: ms(1_500), turn: TURN };
        let told = |no, over: bool| (format!("told/{no}").into(), over.to_string().into());
        let holder = format!("node-{token}").into();
        let upkeep = Upkeep::new(Setup { holder, token, fleet, unix: 1_700_000_000_000, told });
        self.holders.push(Holder { upkeep, token, gone: false, paused: false, held: vec![] });
        self.hear_waves();
    }

    /// The last so many VMs stand by.
    pub fn stand_by(&mut self, count: usize) {
        let first = self.vms.len() - count;
        for vm in &mut self.vms[first..] {
            vm.pool = SPARE.into();
            vm.busy = false;
            vm.down(VmState::Down, Time::NEVER);
        }
        self.hear_pools();
    }

    /// The holders hear which pools stand by.
    pub fn hear_pools(&mut self) {
        for at in 0..self.holders.len() {
            self.tell(at, Event::Pools([PoolId::from(SPARE)].into()));
        }
    }

    /// Work of the pool has waited for so long, from now on.
    pub fn waits(&mut self, ms: u64) {
        self.needs = vec![Need { pool: "pool".into(), waits: ms }];
    }

    /// How many VMs are lent.
    pub fn lent(&self) -> usize {
        let lent = |m: &&Unit| !m.moves.is_empty() && m.pool.as_str() != SPARE;
        self.vms.iter().filter(lent).count()
    }

    /// The operators order a wave.
    pub fn order(&mut self, wave: Wave) {
        self.store.rev += 1;
        self.waves.retain(|(_, w)| w.no != wave.no);
        self.waves.push((self.store.rev, wave));
        self.hear_waves();
    }

    /// The holders hear of the waves that are ordered.
    pub fn hear_waves(&mut self) {
        let left = !self.closing().turns.is_empty();
        for at in 0..self.holders.len() {
            self.tell(at, Event::Waves(self.waves.clone(), left));
        }
    }

    /// The workers to be emptied.
    pub fn closing(&self) -> Closing {
        let item = self.store.get(CLOSING).and_then(|i| i.value);
        item.and_then(|v| read(&v)).unwrap_or_default()
    }

    /// What is told of the first wave.
    pub fn told(&self) -> Option<bool> {
        let value = self.store.get("told/1")?.value?;
        Some(&value[..] == b"true")
    }

    pub fn completed(&self) -> bool {
        self.told() == Some(true)
    }

    fn tell(&mut self, at: usize, event: Event) {
        let holder = &mut self.holders[at];
        if holder.gone {
            return;
        }
        if holder.paused {
            return holder.held.push(event);
        }
        for order in holder.upkeep.on(event, self.now) {
            self.calls += 1;
            self.mail.push((self.now + WAY, Mail::Carry(at, order)));
        }
    }

    /// A holder stands still, or goes on with all that came meanwhile.
    pub fn pause(&mut self, at: usize, paused: bool) {
        self.holders[at].paused = paused;
        for event in mem::take(&mut self.holders[at].held) {
            self.tell(at, event);
        }
    }

    /// Lets time pass.
    pub fn run(&mut self, ms: u64) {
        let over = self.now + Duration::from_millis(ms);
        while self.now < over {
            self.pass();
        }
    }

    /// Lets time pass until something is so; returns when.
    pub fn until(&mut self, what: &str, ms: u64, is: impl Fn(&Yard) -> bool) -> Time {
        let over = self.now + Duration::from_millis(ms);
        while !is(self) {
            assert!(self.now < over, "{what}: not within {ms} ms: {:?}", self.orders);
            self.pass();
        }
        self.now
    }

    fn pass(&mut self) {
        self.now = self.now + STEP;
        let now = self.now;
        for m in &mut self.vms {
            if m.state != VmState::Up && m.until <= now {
                (m.state, m.life) = (VmState::Up, m.life + 1);
                if m.pool.as_str() == SPARE {
                    m.down(VmState::Down, Time::NEVER);
                }
            }
        }
        self.owners();
        let row = |m: &Unit| Vm {
            id: m.id.clone(),
            pool: m.pool.clone(),
            state: m.state,
            worker: (m.state == VmState::Up).then(|| m.worker()),
        };
        let all = self.vms.iter().filter(|m| m.there).map(row).collect();
        self.shown.push_back((now, all));
        while self.shown.len() > 1 && self.shown[1].0 + LAG <= now {
            self.shown.pop_front();
        }
        for (at, txn) in mem::take(&mut self.late) {
            if at <= now {
                self.store.txn(&txn);
            } else {
                self.late.push((at, txn));
            }
        }
        for (at, mail) in mem::take(&mut self.mail) {
            match mail {
                mail if at > now => self.mail.push((at, mail)),
                Mail::Tell(to, event) => self.tell(to, event),
                Mail::Carry(from, order) => self.carry(from, order),
                Mail::Late(call) => drop(self.vm(&call)),
            }
        }
        for at in 0..self.holders.len() {
            self.tell(at, Event::Tick);
        }
        self.check();
    }

    /// The owners of the workers hear of the turns.
    fn owners(&mut self) {
        let closing = self.closing();
        for m in &mut self.vms {
            let turn = closing.turn(&m.worker());
            let closed = matches!(turn, Turn::Closing | Turn::Forced) && m.state == VmState::Up;
            if !closed {
                m.closed = (None, None);
                continue;
            }
            m.closed.0.get_or_insert(self.now);
            if turn == Turn::Forced {
                m.closed.1.get_or_insert(self.now);
            }
        }
    }

    fn carry(&mut self, from: usize, order: Order) {
        let back = self.now + WAY;
        let unheard = self.now + LIMIT;
        let (at, event) = match order {
            Order::Read => (back, Event::Read(Ok(self.store.get(LEDGER)))),
            Order::Store(number, txn) => match self.fates.pop_front().unwrap_or(Fate::Answered) {
                Fate::Answered => (back, Event::Stored(number, Ok(self.store.txn(&txn)))),
                Fate::Refused => (back, Event::Stored(number, Err(Fault::Refused))),
                Fate::Unheard => (unheard, Event::Stored(number, Err(Fault::Unknown))),
                Fate::Lost(wait) => {
                    self.late.push((self.now + wait, txn));
                    (unheard, Event::Stored(number, Err(Fault::Unknown)))
                }
            },
            Order::List => {
                self.lists += 1;
                let all = self.shown.front().expect("time has passed").1.clone();
                (back, Event::Listed(self.now, Ok(all)))
            }
            Order::Ask(workers) => {
                (back, Event::Held(self.now, self.held(&workers), self.needs.clone()))
            }
            Order::Call(call) => {
                let told = call.clone();
                let (at, reply) = match self.luck.pop_front().unwrap_or(Luck::Fine) {
                    Luck::Fine => (back, Ok(self.vm(&call))),
                    Luck::Refused => (back, Err(Fault::Refused)),
                    Luck::Lost => (unheard, Err(Fault::Unknown)),
                    Luck::Unheard => {
                        self.vm(&call);
                        (unheard, Err(Fault::Unknown))
                    }
                    Luck::Late(wait) => {
                        self.mail.push((self.now + wait, Mail::Late(call)));
                        (unheard, Err(Fault::Unknown))
                    }
                };
                (at, Event::Answered(told, reply))
            }
        };
        self.mail.push((at, Mail::Tell(from, event)));
    }

    fn held(&self, workers: &[WorkerId]) -> Vec<Held> {
        let up = self.vms.iter().filter(|m| m.state == VmState::Up);
        let asked = up.filter(|m| workers.contains(&m.worker()));
        let one = |m: &Unit| Held {
            worker: m.worker(),
            closed: m.closed.0.is_some(),
            known: true,
            leaving: false,
            brief: u32::from(m.busy && !m.empty(self.now)),
            lasting: 0,
        };
        asked.map(one).collect()
    }

    /// The platform carries an order out, and checks the rules.
    fn vm(&mut self, call: &VmCall) -> VmReply {
        let (now, no) = (self.now, WaveNo(1));
        let reply = self.judge(call);
        self.orders.push((now, call.token, call.vm.clone(), reply));
        let cap = self.waves.iter().find(|w| w.1.no == no).map_or(0, |w| w.1.cap as usize);
        let down = self.vms.iter().filter(|m| m.state == VmState::Upkeep).count();
        let Some(m) = self.vms.iter_mut().find(|m| m.id == call.vm) else {
            return reply;
        };
        if let (VmReply::Begun, Deed::Move(pool)) = (reply, &call.deed) {
            if m.pool != *pool {
                m.go(pool.clone(), now);
            }
            return reply;
        }
        if reply == VmReply::Begun && m.begun.is_empty() {
            assert_eq!(call.deed, Deed::Upkeep(no));
            assert!(down < cap, "at {now}: {down} are down");
            assert!(m.empty(now), "at {now}: {} isn't empty", m.id);
            m.begun.push(now);
            m.down(VmState::Upkeep, now + DOWN);
        }
        reply
    }

    fn judge(&mut self, call: &VmCall) -> VmReply {
        let now = self.now;
        let Some(m) = self.vms.iter_mut().find(|m| m.id == call.vm && m.there) else {
            return VmReply::None;
        };
        if call.token < m.token {
            return VmReply::Fence;
        }
        if let Some((at, token)) = m.last.replace((now, call.token)) {
            assert!(token == call.token || now - at >= TURN, "at {now}: holders take turns");
        }
        m.token = call.token;
        match &call.deed {
            Deed::Move(pool) if m.pool == *pool => return VmReply::Begun,
            Deed::Move(_) if m.bound => return VmReply::None,
            Deed::Move(_) if m.off() => return VmReply::Begun,
            Deed::Move(_) if m.state == VmState::Up => return VmReply::Begun,
            Deed::Move(_) => return VmReply::Busy,
            Deed::Upkeep(_) => {}
        }
        match () {
            () if m.foreign => VmReply::OtherWave,
            () if !m.begun.is_empty() => VmReply::Begun,
            () if m.state != VmState::Up => VmReply::Busy,
            () => VmReply::Begun,
        }
    }

    fn check(&mut self) {
        let down = self.vms.iter().filter(|m| m.state == VmState::Upkeep).count();
        self.down = self.down.max(down);
        let rev = self.store.get("told/1").map_or(0, |i| i.rev);
        if mem::replace(&mut self.heard, rev) != rev && self.completed() {
            let left = self.vms.iter().filter(|m| m.there && !m.foreign);
            let waves = self.waves.iter().flat_map(|w| &w.1.vms).collect::<Vec<_>>();
            for m in left.filter(|m| waves.contains(&&m.id)) {
                assert!(!m.begun.is_empty(), "completed, and {} has not begun", m.id);
            }
        }
    }

    /// How many upkeeps each VM had.
    pub fn upkeeps(&self) -> BTreeMap<&str, usize> {
        self.vms.iter().map(|m| (m.id.as_str(), m.begun.len())).collect()
    }
}
