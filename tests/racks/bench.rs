//! Members and fake workers on one virtual clock, and what is on its way between them.

use {
    super::fake::{CALL, Fake, TICK, rack, vm, worker},
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

/// What is on its way.
enum Wire {
    Order(usize, Order, Time),
    /// What a worker gets long after its sender gave up.
    Late(Order, Time),
    Fenced(usize, WorkerId, Epoch, Result<Epoch, Failure>),
    Report(usize, WorkerId, Result<Report, Failure>),
    Ordered(usize, WorkerId, Box<WorkerAsk>, Time, Result<WorkerReply, Failure>),
}

/// Members that may own the rack, and the workers of it.
pub struct Bench {
    pub now: Time,
    pub members: Vec<Racks>,
    pub leased: Vec<bool>,
    pub workers: BTreeMap<WorkerId, Fake>,
    pub vms: BTreeMap<WorkerId, Vm>,
    pub orders: u64,
    /// The time an order takes to a worker.
    pub flight: Duration,
    wire: BTreeMap<(Time, u64), Wire>,
    next: u64,
}

impl Bench {
    /// `count` workers, owned by the first of two members with epoch 1.
    pub fn new(count: usize) -> Self {
        let now = Time::from_millis(1000);
        let vms: BTreeMap<_, _> = (0..count).map(|n| (worker(n), vm(n))).collect();
        let workers = vms.keys().map(|w| (w.clone(), Fake::default())).collect();
        let members = vec![Racks::new(1), Racks::new(2)];
        let leased = vec![true; 2];
        let flight = Duration::from_millis(1);
        let wire = BTreeMap::new();
        let mut b = Bench { now, members, leased, workers, vms, orders: 0, flight, wire, next: 0 };
        b.list();
        b.members[0].gained(&rack(), Epoch(1), now);
        b
    }

    /// The platform's list comes in.
    pub fn list(&mut self) {
        for m in &mut self.members {
            m.listed(self.vms.clone(), self.now);
        }
    }

    pub fn fake(&mut self, n: usize) -> &mut Fake {
        self.workers.get_mut(&worker(n)).expect("a worker of the bench")
    }

    /// Lets time pass.
    pub fn run(&mut self, ms: u64) {
        let end = self.now + Duration::from_millis(ms);
        while self.now < end {
            self.now = self.now + TICK;
            self.step();
        }
    }

    /// One tick of all.
    pub fn step(&mut self) {
        let now = self.now;
        self.workers.values_mut().for_each(|w| w.tick(now));
        while let Some(entry) = self.wire.first_entry()
            && entry.key().0 <= now
        {
            let wire = entry.remove();
            self.deliver(wire);
        }
        for n in 0..self.members.len() {
            let mut out = vec![];
            self.members[n].tick(now, self.leased[n], &mut out);
            self.orders += out.len() as u64;
            for order in out {
                self.send(now + self.flight, Wire::Order(n, order, now));
            }
        }
    }

    fn send(&mut self, at: Time, wire: Wire) {
        self.next += 1;
        self.wire.insert((at, self.next), wire);
    }

    fn deliver(&mut self, wire: Wire) {
        let now = self.now;
        match wire {
            Wire::Order(n, order, sent) => self.arrive(n, order, sent),
            Wire::Late(order, sent) => _ = self.answer(0, order, sent, false),
            Wire::Fenced(n, w, epoch, reply) => self.members[n].fenced(&w, epoch, reply, now),
            Wire::Report(n, w, report) => self.members[n].reported(&w, report, now),
            Wire::Ordered(n, w, ask, sent, reply) => {
                self.members[n].ordered(&w, &ask, sent, reply, now)
            }
        }
    }

    /// An order reaches its worker, and its answer, or the lack of one, goes back.
    fn arrive(&mut self, n: usize, order: Order, sent: Time) {
        let w = &self.workers[target(&order)];
        let (cut, paused, mute) = (w.cut, w.paused, w.mute);
        let late = !cut && paused > self.now;
        let ok = !cut && !late && !mute && self.now < sent + CALL;
        let at = if ok { self.now + Duration::from_millis(1) } else { sent + CALL };
        let back = match cut || late {
            true => failed(n, copy(&order), sent),
            false => self.answer(n, copy(&order), sent, ok),
        };
        self.send(at.max(self.now), back);
        if late {
            self.send(paused, Wire::Late(order, sent));
        }
    }

    /// An order takes effect.
    fn answer(&mut self, n: usize, order: Order, sent: Time, ok: bool) -> Wire {
        let w = self.workers.get_mut(target(&order)).expect("a worker of the bench");
        match order {
            Order::Fence(id, _, epoch) => {
                w.epoch = w.epoch.max(epoch);
                Wire::Fenced(n, id, epoch, ok.then_some(w.epoch).ok_or(Failure::Timeout))
            }
            Order::Report(id, _) => {
                let report = ok.then(|| w.report(self.now));
                Wire::Report(n, id, report.ok_or(Failure::Timeout))
            }
            Order::Worker(id, _, ask, _) => {
                let reply = w.orders(&ask, sent, self.now);
                Wire::Ordered(n, id, ask, sent, ok.then_some(reply).ok_or(Failure::Timeout))
            }
            _ => unreachable!("racks order only workers"),
        }
    }
}

/// The worker that an order is for.
fn target(order: &Order) -> &WorkerId {
    let (Order::Fence(w, ..) | Order::Report(w, _) | Order::Worker(w, ..)) = order else {
        unreachable!("racks order only workers")
    };
    w
}

/// An order once more.
fn copy(order: &Order) -> Order {
    match order {
        Order::Fence(w, addr, epoch) => Order::Fence(w.clone(), *addr, *epoch),
        Order::Report(w, addr) => Order::Report(w.clone(), *addr),
        Order::Worker(w, addr, ask, until) => Order::Worker(w.clone(), *addr, ask.clone(), *until),
        _ => unreachable!("racks order only workers"),
    }
}

/// No answer to an order.
fn failed(n: usize, order: Order, sent: Time) -> Wire {
    match order {
        Order::Fence(id, _, epoch) => Wire::Fenced(n, id, epoch, Err(Failure::Timeout)),
        Order::Report(id, _) => Wire::Report(n, id, Err(Failure::Timeout)),
        Order::Worker(id, _, ask, _) => Wire::Ordered(n, id, ask, sent, Err(Failure::Timeout)),
        _ => unreachable!("racks order only workers"),
    }
}
