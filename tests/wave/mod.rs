//! A simulation of VMs, owners and a store in virtual time, for holders of maintenance waves. The
//! rules for VM orders are checked at every step.

#![allow(dead_code)] // each test file uses a part

pub mod unit;

pub use standin::site::store;

use {
    dogwoodreach::{
        Time,
        ids::{PoolId, VmId, WaveNo, WorkerId},
        ports::{Fault, Vm, VmAction, VmCall, VmLimits, VmReply, VmState, Wave},
        shard::{
            Occupancy, PoolWait,
            record::{CLOSING_KEY, Closing, UpkeepTurn, decode},
        },
        upkeep::{LEDGER_KEY, Upkeep, UpkeepEvent, UpkeepRequest, UpkeepSetup},
    },
    std::{
        collections::{BTreeMap, VecDeque},
        mem,
        time::Duration,
    },
    store::{CallOutcome, Store},
    unit::{SPARE, SimVm},
};

/// Time between two ticks.
const TICK: Duration = Duration::from_millis(20);
/// Delay of the list of VMs.
const LIST_LAG: Duration = Duration::from_millis(900);
/// Delay of a request and of its answer.
const ANSWER_DELAY: Duration = Duration::from_millis(20);
/// Time after which a call without an answer fails.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
/// Time that a VM is down for its maintenance.
pub const DOWN: Duration = Duration::from_secs(2);
/// Least time between the orders of two holders for the same VM.
const HOLDER_GAP: Duration = Duration::from_secs(3);

/// The outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum OrderFate {
    Answered,
    /// The order is carried out, but its answer is lost.
    Unanswered,
    /// The answer is lost, and the order is carried out after this delay.
    Late(Duration),
    /// The order is lost.
    Lost,
    /// The platform refuses the order because of overload.
    Refused,
}

/// A holder in the simulation.
pub struct Holder {
    pub upkeep: Upkeep,
    pub token: u64,
    pub gone: bool,
    pub paused: bool,
    backlog: Vec<UpkeepEvent>,
}

enum Message {
    Deliver(usize, UpkeepEvent),
    Execute(usize, UpkeepRequest),
    Late(VmCall),
}

pub struct WaveSim {
    pub now: Time,
    pub store: Store,
    pub vms: Vec<SimVm>,
    pub holders: Vec<Holder>,
    pub waves: Vec<(u64, Wave)>,
    /// Outcomes of the next orders; later orders succeed.
    pub order_fates: VecDeque<OrderFate>,
    /// How long work has waited, as the owners report it.
    pub needs: Vec<PoolWait>,
    /// Outcomes of the next writes.
    pub write_fates: VecDeque<CallOutcome>,
    /// Number of calls of all kinds, and number of these that read the list of VMs.
    pub calls: u32,
    pub list_reads: u32,
    /// All orders: time, token, VM and answer.
    pub orders: Vec<(Time, u64, VmId, VmReply)>,
    /// Most VMs that were down at once.
    pub most_down: usize,
    /// Revision of the wave state that was checked last.
    state_rev: u64,
    list_history: VecDeque<(Time, Vec<Vm>)>,
    messages: Vec<(Time, Message)>,
    late_writes: Vec<(Time, dogwoodreach::ports::Txn)>,
}

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A wave of the first `count` VMs.
pub fn wave(count: usize, seconds: u64, cap: u32) -> Wave {
    let vms = (0..count).map(|i| VmId::from(&*format!("m{i}"))).collect();
    Wave { number: WaveNo(1), vms, time_limit: Duration::from_secs(seconds), max_down: cap }
}

impl WaveSim {
    /// Creates a simulation with `count` VMs and one holder.
    pub fn new(count: usize) -> Self {
        let mut sim = WaveSim {
            now: Time::ZERO,
            store: Store::new(1),
            vms: (0..count).map(SimVm::new).collect(),
            holders: vec![],
            waves: vec![],
            order_fates: VecDeque::new(),
            needs: vec![],
            write_fates: VecDeque::new(),
            calls: 0,
            list_reads: 0,
            orders: vec![],
            most_down: 0,
            state_rev: 0,
            list_history: VecDeque::new(),
            messages: vec![],
            late_writes: vec![],
        };
        sim.take_over();
        sim
    }

    /// Starts another holder with the next token.
    pub fn take_over(&mut self) {
        let token = self.holders.len() as u64 + 1;
        let fleet = VmLimits {
            order_rate: 60.0,
            upkeep_time: DOWN,
            move_time: ms(1_500),
            holder_gap: HOLDER_GAP,
        };
        let told = |no, over: bool| (format!("told/{no}").into(), over.to_string().into());
        let holder = format!("node-{token}").into();
        let upkeep = Upkeep::new(UpkeepSetup {
            holder,
            token,
            limits: fleet,
            unix_ms: 1_700_000_000_000,
            encode_state: told,
        });
        self.holders.push(Holder { upkeep, token, gone: false, paused: false, backlog: vec![] });
        self.send_waves();
    }

    /// Makes the last `count` VMs standby VMs.
    pub fn add_standby(&mut self, count: usize) {
        let first = self.vms.len() - count;
        for vm in &mut self.vms[first..] {
            vm.pool = SPARE.into();
            vm.busy = false;
            vm.down(VmState::Down, Time::NEVER);
        }
        self.send_pools();
    }

    /// Sends the standby pools to all holders.
    pub fn send_pools(&mut self) {
        for at in 0..self.holders.len() {
            self.deliver(at, UpkeepEvent::Pools([PoolId::from(SPARE)].into()));
        }
    }

    /// Sets how long the pool's work has waited, in milliseconds.
    pub fn set_wait(&mut self, ms: u64) {
        self.needs = vec![PoolWait { pool: "pool".into(), wait_ms: ms }];
    }

    /// Number of lent VMs.
    pub fn lent(&self) -> usize {
        let lent = |m: &&SimVm| !m.moves.is_empty() && m.pool.as_str() != SPARE;
        self.vms.iter().filter(lent).count()
    }

    /// The operators order a wave.
    pub fn order(&mut self, wave: Wave) {
        self.store.rev += 1;
        self.waves.retain(|(_, w)| w.number != wave.number);
        self.waves.push((self.store.rev, wave));
        self.send_waves();
    }

    /// Sends the ordered waves to all holders.
    pub fn send_waves(&mut self) {
        let left = !self.closing().turns.is_empty();
        for at in 0..self.holders.len() {
            self.deliver(at, UpkeepEvent::Waves(self.waves.clone(), left));
        }
    }

    /// The workers to be emptied, as stored.
    pub fn closing(&self) -> Closing {
        let item = self.store.get(CLOSING_KEY).and_then(|i| i.value);
        item.and_then(|v| decode(&v)).unwrap_or_default()
    }

    /// Whether the first wave is completed, as stored; `None` if its state was not written.
    pub fn wave_state(&self) -> Option<bool> {
        let value = self.store.get("told/1")?.value?;
        Some(&value[..] == b"true")
    }

    pub fn completed(&self) -> bool {
        self.wave_state() == Some(true)
    }

    fn deliver(&mut self, at: usize, event: UpkeepEvent) {
        let holder = &mut self.holders[at];
        if holder.gone {
            return;
        }
        if holder.paused {
            return holder.backlog.push(event);
        }
        for order in holder.upkeep.handle_event(event, self.now) {
            self.calls += 1;
            self.messages.push((self.now + ANSWER_DELAY, Message::Execute(at, order)));
        }
    }

    /// Pauses a holder, or resumes it with all events that arrived meanwhile.
    pub fn pause(&mut self, at: usize, paused: bool) {
        self.holders[at].paused = paused;
        for event in mem::take(&mut self.holders[at].backlog) {
            self.deliver(at, event);
        }
    }

    /// Runs the simulation for this time.
    pub fn run(&mut self, ms: u64) {
        let over = self.now + Duration::from_millis(ms);
        while self.now < over {
            self.tick();
        }
    }

    /// Runs the simulation until `is` holds; returns the time at which it does.
    pub fn until(&mut self, what: &str, ms: u64, is: impl Fn(&WaveSim) -> bool) -> Time {
        let over = self.now + Duration::from_millis(ms);
        while !is(self) {
            assert!(self.now < over, "{what}: not within {ms} ms: {:?}", self.orders);
            self.tick();
        }
        self.now
    }

    fn tick(&mut self) {
        self.now = self.now + TICK;
        let now = self.now;
        for m in &mut self.vms {
            if m.state != VmState::Up && m.until <= now {
                (m.state, m.life) = (VmState::Up, m.life + 1);
                if m.pool.as_str() == SPARE {
                    m.down(VmState::Down, Time::NEVER);
                }
            }
        }
        self.update_workers();
        let listed = |m: &SimVm| Vm {
            id: m.id.clone(),
            pool: m.pool.clone(),
            state: m.state,
            worker: (m.state == VmState::Up).then(|| m.worker()),
        };
        let all = self.vms.iter().filter(|m| m.there).map(listed).collect();
        self.list_history.push_back((now, all));
        while self.list_history.len() > 1 && self.list_history[1].0 + LIST_LAG <= now {
            self.list_history.pop_front();
        }
        for (at, txn) in mem::take(&mut self.late_writes) {
            if at <= now {
                self.store.txn(&txn);
            } else {
                self.late_writes.push((at, txn));
            }
        }
        for (at, message) in mem::take(&mut self.messages) {
            match message {
                message if at > now => self.messages.push((at, message)),
                Message::Deliver(to, event) => self.deliver(to, event),
                Message::Execute(from, order) => self.execute(from, order),
                Message::Late(call) => drop(self.apply(&call)),
            }
        }
        for at in 0..self.holders.len() {
            self.deliver(at, UpkeepEvent::Tick);
        }
        self.check();
    }

    /// Applies the stored turns to the workers, as their owners do.
    fn update_workers(&mut self) {
        let closing = self.closing();
        for m in &mut self.vms {
            let turn = closing.turn(&m.worker());
            let closed =
                matches!(turn, UpkeepTurn::Closing | UpkeepTurn::Forced) && m.state == VmState::Up;
            if !closed {
                m.closed = (None, None);
                continue;
            }
            m.closed.0.get_or_insert(self.now);
            if turn == UpkeepTurn::Forced {
                m.closed.1.get_or_insert(self.now);
            }
        }
    }

    fn execute(&mut self, from: usize, order: UpkeepRequest) {
        let back = self.now + ANSWER_DELAY;
        let unheard = self.now + CALL_TIMEOUT;
        let (at, event) = match order {
            UpkeepRequest::ReadLedger => {
                (back, UpkeepEvent::LedgerRead(Ok(self.store.get(LEDGER_KEY))))
            }
            UpkeepRequest::Write(number, txn) => {
                match self.write_fates.pop_front().unwrap_or(CallOutcome::Answered) {
                    CallOutcome::Answered => {
                        (back, UpkeepEvent::Written(number, Ok(self.store.txn(&txn))))
                    }
                    CallOutcome::Refused => {
                        (back, UpkeepEvent::Written(number, Err(Fault::Refused)))
                    }
                    CallOutcome::Unanswered => {
                        (unheard, UpkeepEvent::Written(number, Err(Fault::Unknown)))
                    }
                    CallOutcome::AnswerLost(wait) => {
                        self.late_writes.push((self.now + wait, txn));
                        (unheard, UpkeepEvent::Written(number, Err(Fault::Unknown)))
                    }
                }
            }
            UpkeepRequest::ListVms => {
                self.list_reads += 1;
                let all = self.list_history.front().expect("time has passed").1.clone();
                (back, UpkeepEvent::VmsListed(self.now, Ok(all)))
            }
            UpkeepRequest::AskOwners(workers) => (
                back,
                UpkeepEvent::OwnersReported(self.now, self.reports(&workers), self.needs.clone()),
            ),
            UpkeepRequest::OrderVm(call) => {
                let told = call.clone();
                let (at, reply) = match self.order_fates.pop_front().unwrap_or(OrderFate::Answered)
                {
                    OrderFate::Answered => (back, Ok(self.apply(&call))),
                    OrderFate::Refused => (back, Err(Fault::Refused)),
                    OrderFate::Lost => (unheard, Err(Fault::Unknown)),
                    OrderFate::Unanswered => {
                        self.apply(&call);
                        (unheard, Err(Fault::Unknown))
                    }
                    OrderFate::Late(wait) => {
                        self.messages.push((self.now + wait, Message::Late(call)));
                        (unheard, Err(Fault::Unknown))
                    }
                };
                (at, UpkeepEvent::Answered(told, reply))
            }
        };
        self.messages.push((at, Message::Deliver(from, event)));
    }

    fn reports(&self, workers: &[WorkerId]) -> Vec<Occupancy> {
        let up = self.vms.iter().filter(|m| m.state == VmState::Up);
        let asked = up.filter(|m| workers.contains(&m.worker()));
        let one = |m: &SimVm| Occupancy {
            worker: m.worker(),
            closed: m.closed.0.is_some(),
            known: true,
            leaving: false,
            finite_count: u32::from(m.busy && !m.empty(self.now)),
            long_running_count: 0,
        };
        asked.map(one).collect()
    }

    /// Carries out an order as the platform does, and checks the rules.
    fn apply(&mut self, call: &VmCall) -> VmReply {
        let (now, no) = (self.now, WaveNo(1));
        let reply = self.decide(call);
        self.orders.push((now, call.token, call.vm.clone(), reply));
        let cap = self.waves.iter().find(|w| w.1.number == no).map_or(0, |w| w.1.max_down as usize);
        let down = self.vms.iter().filter(|m| m.state == VmState::Upkeep).count();
        let Some(m) = self.vms.iter_mut().find(|m| m.id == call.vm) else {
            return reply;
        };
        if let (VmReply::Begun, VmAction::Move(pool)) = (reply, &call.action) {
            if m.pool != *pool {
                m.go(pool.clone(), now);
            }
            return reply;
        }
        if reply == VmReply::Begun && m.begun.is_empty() {
            assert_eq!(call.action, VmAction::Upkeep(no));
            assert!(down < cap, "at {now}: {down} are down");
            assert!(m.empty(now), "at {now}: {} isn't empty", m.id);
            m.begun.push(now);
            m.down(VmState::Upkeep, now + DOWN);
        }
        reply
    }

    fn decide(&mut self, call: &VmCall) -> VmReply {
        let now = self.now;
        let Some(m) = self.vms.iter_mut().find(|m| m.id == call.vm && m.there) else {
            return VmReply::None;
        };
        if call.token < m.token {
            return VmReply::Fence;
        }
        if let Some((at, token)) = m.last.replace((now, call.token)) {
            assert!(
                token == call.token || now - at >= HOLDER_GAP,
                "at {now}: orders of two holders within {HOLDER_GAP:?}"
            );
        }
        m.token = call.token;
        match &call.action {
            VmAction::Move(pool) if m.pool == *pool => return VmReply::Begun,
            VmAction::Move(_) if m.immovable => return VmReply::None,
            VmAction::Move(_) if m.off() => return VmReply::Begun,
            VmAction::Move(_) if m.state == VmState::Up => return VmReply::Begun,
            VmAction::Move(_) => return VmReply::Busy,
            VmAction::Upkeep(_) => {}
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
        self.most_down = self.most_down.max(down);
        let rev = self.store.get("told/1").map_or(0, |i| i.rev);
        if mem::replace(&mut self.state_rev, rev) != rev && self.completed() {
            let left = self.vms.iter().filter(|m| m.there && !m.foreign);
            let waves = self.waves.iter().flat_map(|w| &w.1.vms).collect::<Vec<_>>();
            for m in left.filter(|m| waves.contains(&&m.id)) {
                assert!(
                    !m.begun.is_empty(),
                    "wave completed, but the maintenance of {} has not begun",
                    m.id
                );
            }
        }
    }

    /// Number of maintenances that each VM had.
    pub fn upkeeps(&self) -> BTreeMap<&str, usize> {
        self.vms.iter().map(|m| (m.id.as_str(), m.begun.len())).collect()
    }
}
