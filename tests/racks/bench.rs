//! Runs members and fake workers on one virtual clock, with the messages in transit between them.

use {
    super::fake::{CALL, FakeWorker, TICK, rack, vm, worker},
    dogwoodreach::{
        Time,
        event::Order,
        http::Failure,
        ids::{Epoch, WorkerId},
        messages::{Report, Vm, WorkerAsk, WorkerReply},
        racks::Racks,
    },
    std::{collections::BTreeMap, time::Duration},
};

/// A message in transit.
enum Message {
    Order(usize, Order, Time),
    /// An order that reaches its worker long after the sender has given up.
    Late(Order, Time),
    Fenced(usize, WorkerId, Epoch, Result<Epoch, Failure>),
    Report(usize, WorkerId, Result<Report, Failure>),
    Ordered(usize, WorkerId, Box<WorkerAsk>, Time, Result<WorkerReply, Failure>),
}

/// The members that may own the rack, and the workers of the rack.
pub struct Bench {
    pub now: Time,
    pub members: Vec<Racks>,
    pub leased: Vec<bool>,
    pub workers: BTreeMap<WorkerId, FakeWorker>,
    pub vms: BTreeMap<WorkerId, Vm>,
    pub orders: u64,
    /// The time that an order takes to reach a worker.
    pub order_delay: Duration,
    in_transit: BTreeMap<(Time, u64), Message>,
    next_seq: u64,
}

impl Bench {
    /// Creates a bench with `count` workers, which the first of two members owns with epoch 1.
    pub fn new(count: usize) -> Self {
        let now = Time::from_millis(1000);
        let vms: BTreeMap<_, _> = (0..count).map(|n| (worker(n), vm(n))).collect();
        let workers = vms.keys().map(|w| (w.clone(), FakeWorker::default())).collect();
        let members = vec![Racks::new(1), Racks::new(2)];
        let leased = vec![true; 2];
        let flight = Duration::from_millis(1);
        let in_transit = BTreeMap::new();
        let mut bench = Bench {
            now,
            members,
            leased,
            workers,
            vms,
            orders: 0,
            order_delay: flight,
            in_transit,
            next_seq: 0,
        };
        bench.list_vms();
        bench.members[0].gained(&rack(), Epoch(1), now);
        bench
    }

    /// Gives the platform's list of VMs to all members.
    pub fn list_vms(&mut self) {
        for m in &mut self.members {
            m.update_vms(self.vms.clone(), self.now);
        }
    }

    pub fn fake(&mut self, n: usize) -> &mut FakeWorker {
        self.workers.get_mut(&worker(n)).expect("a worker of the bench")
    }

    /// Advances the time by `ms` milliseconds, tick by tick.
    pub fn run(&mut self, ms: u64) {
        let end = self.now + Duration::from_millis(ms);
        while self.now < end {
            self.now = self.now + TICK;
            self.step();
        }
    }

    /// Runs one tick of all workers and members, and delivers the messages that are due.
    pub fn step(&mut self) {
        let now = self.now;
        self.workers.values_mut().for_each(|w| w.tick(now));
        while let Some(entry) = self.in_transit.first_entry()
            && entry.key().0 <= now
        {
            let message = entry.remove();
            self.deliver(message);
        }
        for n in 0..self.members.len() {
            let mut out = vec![];
            self.members[n].tick(now, self.leased[n], &mut out);
            self.orders += out.len() as u64;
            for order in out {
                self.send(now + self.order_delay, Message::Order(n, order, now));
            }
        }
    }

    fn send(&mut self, at: Time, message: Message) {
        self.next_seq += 1;
        self.in_transit.insert((at, self.next_seq), message);
    }

    fn deliver(&mut self, message: Message) {
        let now = self.now;
        match message {
            Message::Order(n, order, sent) => self.deliver_order(n, order, sent),
            Message::Late(order, sent) => _ = self.apply(0, order, sent, false),
            Message::Fenced(n, w, epoch, reply) => self.members[n].fenced(&w, epoch, reply, now),
            Message::Report(n, w, report) => self.members[n].reported(&w, report, now),
            Message::Ordered(n, w, ask, sent, reply) => {
                self.members[n].ordered(&w, &ask, sent, reply, now)
            }
        }
    }

    /// Delivers an order to its worker and sends the answer, or a time-out, to the member.
    fn deliver_order(&mut self, n: usize, order: Order, sent: Time) {
        let w = &self.workers[target(&order)];
        let (cut, paused_until, mute) = (w.cut_off, w.paused_until, w.loses_answers);
        let late = !cut && paused_until > self.now;
        let ok = !cut && !late && !mute && self.now < sent + CALL;
        let at = if ok { self.now + Duration::from_millis(1) } else { sent + CALL };
        let response = match cut || late {
            true => time_out(n, clone_order(&order), sent),
            false => self.apply(n, clone_order(&order), sent, ok),
        };
        self.send(at.max(self.now), response);
        if late {
            self.send(paused_until, Message::Late(order, sent));
        }
    }

    /// Applies an order at its worker; the member gets a time-out unless `ok`.
    fn apply(&mut self, n: usize, order: Order, sent: Time, ok: bool) -> Message {
        let w = self.workers.get_mut(target(&order)).expect("a worker of the bench");
        match order {
            Order::Fence(id, _, epoch) => {
                w.epoch = w.epoch.max(epoch);
                Message::Fenced(n, id, epoch, ok.then_some(w.epoch).ok_or(Failure::Timeout))
            }
            Order::Report(id, _) => {
                let report = ok.then(|| w.report(self.now));
                Message::Report(n, id, report.ok_or(Failure::Timeout))
            }
            Order::Worker(id, _, ask, _) => {
                let reply = w.orders(&ask, sent, self.now);
                Message::Ordered(n, id, ask, sent, ok.then_some(reply).ok_or(Failure::Timeout))
            }
            _ => unreachable!("racks order only workers"),
        }
    }
}

/// The worker to which an order is addressed.
fn target(order: &Order) -> &WorkerId {
    let (Order::Fence(w, ..) | Order::Report(w, _) | Order::Worker(w, ..)) = order else {
        unreachable!("racks order only workers")
    };
    w
}

/// Copies an order, which does not implement `Clone`.
fn clone_order(order: &Order) -> Order {
    match order {
        Order::Fence(w, addr, epoch) => Order::Fence(w.clone(), *addr, *epoch),
        Order::Report(w, addr) => Order::Report(w.clone(), *addr),
        Order::Worker(w, addr, ask, until) => Order::Worker(w.clone(), *addr, ask.clone(), *until),
        _ => unreachable!("racks order only workers"),
    }
}

/// The time-out of an order that got no answer.
fn time_out(n: usize, order: Order, sent: Time) -> Message {
    match order {
        Order::Fence(id, _, epoch) => Message::Fenced(n, id, epoch, Err(Failure::Timeout)),
        Order::Report(id, _) => Message::Report(n, id, Err(Failure::Timeout)),
        Order::Worker(id, _, ask, _) => Message::Ordered(n, id, ask, sent, Err(Failure::Timeout)),
        _ => unreachable!("racks order only workers"),
    }
}
