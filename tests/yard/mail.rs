//! Handles the deliveries of the simulation: events for owners, calls to workers, the store and the
//! advice service.

use super::*;

impl ShardSim {
    pub(super) fn handle(&mut self, delivery: Delivery) {
        match delivery {
            Delivery::Event(owner, event) => self.deliver_event(owner, event),
            Delivery::Call(pending) => self.call(pending),
            Delivery::Store(owner, number, txn) => self.txn(owner, number, &txn),
            Delivery::LateTxn(txn) => drop(self.store.txn(&txn)),
            Delivery::Reread(owner) => self.reread(owner),
            Delivery::Divide(owner, customer, txn, rev) => self.divide(owner, customer, txn, rev),
            Delivery::LateDivide(customer, txn, rev) => {
                self.write_division(&customer, &txn, rev);
            }
            Delivery::ReadDivisions(owner, sent) => self.read_divisions(owner, sent),
            Delivery::AskAdvice(owner, via, call, sent, takes, limit) => {
                self.ask_advice(owner, via, call, sent, takes, limit);
            }
            Delivery::AnswerAdvice(owner, via, call, sent, number) => {
                let now = self.now;
                self.advice_desk(via).record_end(number, now);
                let valid = self.advice_cost(&call).valid;
                let reply = Ok(self.world.advice.answer(&call, valid, self.now));
                let at = self.now + self.network_delay();
                self.schedule(
                    at,
                    Delivery::Event(owner, Event::Advised { call, via, sent, reply }),
                );
            }
            Delivery::AdviceTimeout(via, number) => self.advice_desk(via).abandon(number),
            Delivery::Act(action) => action(self),
        }
    }

    fn deliver_event(&mut self, at: usize, event: Event) {
        let limited = self.thread.as_ref().is_some_and(|t| t.owner == at);
        let owner = &mut self.owners[at];
        match (owner.ended, owner.paused, &event) {
            (true, _, _) | (false, true, Event::Tick) => {}
            (false, true, _) => owner.held_events.push(event),
            (false, false, Event::Stored(..) | Event::CommitRead(_)) if owner.releasing => {
                let writes =
                    |o: &Order| matches!(o, Order::Store(..) | Order::ReadCommit | Order::Deposed);
                let orders = owner.shard.handle(event, self.now).into_iter();
                let orders: Vec<Order> = orders.filter(writes).collect();
                orders.into_iter().for_each(|o| self.execute(at, o));
            }
            (false, false, _) if owner.releasing => {}
            (false, false, Event::Tick) if owner.stalled => {}
            (false, false, _) if owner.stalled => owner.shard.apply(event, self.now),
            (false, false, _) if limited => self.queue_event(event),
            _ => {
                let orders = owner.shard.handle(event, self.now);
                orders.into_iter().for_each(|o| self.execute(at, o));
            }
        }
    }

    pub(super) fn execute(&mut self, owner: usize, order: Order) {
        if let Order::ReportUsage(report) = order {
            // Draws no random numbers, so that saved seeds replay as before.
            return self.usage_reports.push((owner, report));
        }
        let (now, there) = (self.now, self.now + self.network_delay());
        self.order_count += 1;
        match order {
            Order::Worker { worker, addr, call, limit } => {
                let at = usize::from(addr.port()) - 1_000;
                let may_be_late = !self.only_starts_late || matches!(*call, WorkerCall::Start(_));
                let late =
                    self.late_one_in > 0 && self.rng.u32(0..self.late_one_in) == 0 && may_be_late;
                let wait = Duration::from_millis(self.rng.u64(2_000..12_000));
                let pending =
                    PendingCall { owner, worker, at, call, sent: now, deadline: now + limit, late };
                if late {
                    self.answer(&pending, None);
                }
                self.schedule(if late { now + wait } else { there }, Delivery::Call(pending));
            }
            Order::Advise { via, call, sent, expected: takes, limit } => {
                self.schedule(there, Delivery::AskAdvice(owner, via, call, sent, takes, limit));
            }
            Order::Store(number, txn) => self.schedule(there, Delivery::Store(owner, number, txn)),
            Order::ReadMachines => {
                let reply = if self.vm_list_down { Err(Fault::Refused) } else { Ok(self.lives()) };
                let event = Event::Machines { sent: now, reply };
                let back = there + self.network_delay();
                self.schedule(back, Delivery::Event(owner, event));
            }
            Order::ReadCommit => self.schedule(there, Delivery::Reread(owner)),
            Order::Divide { customer, txn, config_rev } => {
                self.schedule(there, Delivery::Divide(owner, customer, txn, config_rev));
            }
            Order::ReadDivisions => {
                self.schedule(there, Delivery::ReadDivisions(owner, now));
            }
            Order::ReportUsage(_) => {}
            Order::Deposed => self.owners[owner].ended = true,
        }
    }

    /// Sends the answer of a worker to the owner, or a time-out if none arrives in time.
    fn answer(&mut self, pending: &PendingCall, reply: Option<Reply>) {
        let at = self.now + self.network_delay();
        let (at, reply) = match reply {
            Some(reply) if at <= pending.deadline => (at, Ok(reply)),
            _ => (pending.deadline, Err(Fault::Unknown)),
        };
        let (worker, call, sent) = (pending.worker.clone(), pending.call.clone(), pending.sent);
        let event = Event::Worker { worker, sent, call, reply };
        self.schedule(at, Delivery::Event(pending.owner, event));
    }

    fn call(&mut self, pending: PendingCall) {
        if self.owners[pending.owner].unreached.contains(&pending.at) {
            return self.answer(&pending, None);
        }
        let w = &self.world.workers[pending.at];
        if !w.up && !w.cut_off && !pending.late {
            let (worker, call, sent) = (pending.worker, pending.call, pending.sent);
            let event = Event::Worker { worker, sent, call, reply: Err(Fault::Unsent) };
            return self.schedule(self.now, Delivery::Event(pending.owner, event));
        }
        let reply = self.world.call(pending.at, &pending.worker, &pending.call, pending.late);
        if pending.late {
            return;
        }
        match (&*pending.call, &reply) {
            (WorkerCall::Hold { wait, .. }, Some(Reply::Held(held)))
                if held.ended.is_empty() && !wait.is_zero() =>
            {
                let until = self.now + *wait;
                self.waiting_holds.push((pending, until));
            }
            _ => self.answer(&pending, reply),
        }
    }

    /// Answers a hold call once a run has ended or its wait is over; otherwise keeps it waiting.
    pub(super) fn wait(&mut self, pending: PendingCall, until: Time) {
        let w = &self.world.workers[pending.at];
        let other = self.world.id(pending.at) != pending.worker;
        let unreached = self.owners[pending.owner].unreached.contains(&pending.at);
        if !w.up || w.cut_off || w.unresponsive || other || unreached {
            return self.answer(&pending, None);
        }
        let held = self.world.held(pending.at);
        if held.ended.is_empty() && self.now < until {
            return self.waiting_holds.push((pending, until));
        }
        self.answer(&pending, Some(Reply::Held(held)));
    }

    fn txn(&mut self, owner: usize, number: u64, txn: &Txn) {
        let at = self.now + self.store.draw_delay();
        let timed_out = (self.now + STORE_TIMEOUT, Err(Fault::Unknown));
        let fate = if self.owners[owner].store_cut {
            CallOutcome::Unanswered
        } else {
            self.store.draw_outcome()
        };
        let (at, reply) = match fate {
            CallOutcome::Answered => (at, Ok(self.store.txn(txn))),
            CallOutcome::Refused => (at, Err(Fault::Refused)),
            CallOutcome::Unanswered => timed_out,
            CallOutcome::AnswerLost(wait) => {
                self.schedule(self.now + wait, Delivery::LateTxn(txn.clone()));
                timed_out
            }
        };
        self.schedule(at, Delivery::Event(owner, Event::Stored(number, reply)));
    }

    fn divide(&mut self, owner: usize, customer: CustomerId, txn: Txn, config_rev: Rev) {
        let at = self.now + self.store.draw_delay();
        let timed_out = (self.now + STORE_TIMEOUT, Err(Fault::Unknown));
        let (at, reply) = match self.draw_outcome(owner) {
            CallOutcome::Answered => (at, Ok(self.write_division(&customer, &txn, config_rev))),
            CallOutcome::Refused => (at, Err(Fault::Refused)),
            CallOutcome::Unanswered => timed_out,
            CallOutcome::AnswerLost(wait) => {
                let late = Delivery::LateDivide(customer.clone(), txn, config_rev);
                self.schedule(self.now + wait, late);
                timed_out
            }
        };
        self.schedule(at, Delivery::Event(owner, Event::Divided(customer, reply)));
    }

    fn read_divisions(&mut self, owner: usize, sent: Time) {
        let (at, reply) = match self.draw_outcome(owner) {
            CallOutcome::Answered => {
                (self.now + self.store.draw_delay(), Ok(self.store.divisions()))
            }
            CallOutcome::Refused => (self.now + self.store.draw_delay(), Err(Fault::Refused)),
            CallOutcome::Unanswered | CallOutcome::AnswerLost(_) => {
                (self.now + STORE_TIMEOUT, Err(Fault::Unknown))
            }
        };
        self.schedule(at, Delivery::Event(owner, Event::Divisions { sent, reply }));
    }

    /// Draws the outcome of an owner's call to the store.
    fn draw_outcome(&mut self, owner: usize) -> CallOutcome {
        match self.owners[owner].store_cut {
            true => CallOutcome::Unanswered,
            false => self.store.draw_outcome(),
        }
    }

    fn reread(&mut self, owner: usize) {
        let row = |i: Item| Some((i.rev, decode::<CommitRow>(&i.value?)?));
        let fate = if self.owners[owner].store_cut {
            CallOutcome::Unanswered
        } else {
            self.store.draw_outcome()
        };
        let (at, reply) = match fate {
            CallOutcome::Answered => {
                let row = self.store.get(&SHARD.commit_key()).and_then(row);
                (self.now + self.store.draw_delay(), row.ok_or(Fault::Bad("no commit row".into())))
            }
            CallOutcome::Refused => (self.now + self.store.draw_delay(), Err(Fault::Refused)),
            CallOutcome::Unanswered | CallOutcome::AnswerLost(_) => {
                (self.now + STORE_TIMEOUT, Err(Fault::Unknown))
            }
        };
        self.schedule(at, Delivery::Event(owner, Event::CommitRead(reply)));
    }

    /// Cost of advice on a step.
    fn advice_cost(&self, call: &AdviceCall) -> AdviceCost {
        let cost = self.world.queue(call.step.job).and_then(|q| q.advice);
        cost.expect("advice is requested only for queues that need it")
    }

    /// Advice calls in flight at a member, for all owners that use it.
    fn advice_desk(&mut self, via: Incarnation) -> &mut CallQueue {
        self.advice_desks.entry(via).or_default()
    }

    fn ask_advice(
        &mut self,
        owner: usize,
        via: Incarnation,
        call: Box<AdviceCall>,
        sent: Time,
        takes: Duration,
        limit: Duration,
    ) {
        let (cost, now) = (self.advice_cost(&call), self.now);
        let admitted = self.advice_desk(via).admit(takes, limit, now);
        if admitted.is_some() {
            self.advice_calls.0 += 1;
            self.advice_calls.1 += cost.base + cost.each * call.workers.len() as u32;
        }
        let reply = admitted.ok_or(Fault::Refused);
        let reply =
            reply.and_then(|n| Ok((n, self.world.advice.accept(via, &call, cost, self.now)?)));
        let (at, fault) = match reply {
            Ok((number, at)) if at < sent + limit => {
                return self.schedule(at, Delivery::AnswerAdvice(owner, via, call, sent, number));
            }
            Ok(_) | Err(Fault::Unknown) => (sent + limit, Fault::Unknown),
            Err(fault) => (self.now + self.network_delay(), fault),
        };
        match (admitted, fault == Fault::Unknown) {
            (Some(number), true) => self.schedule(at, Delivery::AdviceTimeout(via, number)),
            (Some(number), false) => self.advice_desk(via).record_end(number, now),
            (None, _) => self.refused_calls += 1,
        }
        let event = Event::Advised { call, via, sent, reply: Err(fault) };
        self.schedule(at, Delivery::Event(owner, event));
    }

    /// Another shard's owner makes a call for advice through a member, and the next one as soon as
    /// that is answered.
    pub(super) fn make_other_call(&mut self, via: Incarnation, cost: Duration) {
        let (limit, now) = (cost * 2 + OTHER_OWNER_MARGIN, self.now);
        let Some(number) = self.advice_desk(via).admit(cost, limit, now) else {
            let again = now + Duration::from_millis(150);
            return self
                .schedule(again, Delivery::Act(Box::new(move |y| y.make_other_call(via, cost))));
        };
        let step = StepKey { job: JobNo(u64::MAX), time: 0, step: 0 };
        let call = AdviceCall { step, workers: vec![] };
        let takes = AdviceCost { base: cost, each: Duration::ZERO, valid: cost };
        let over = self.world.advice.accept(via, &call, takes, now).unwrap_or(now);
        let action = move |y: &mut ShardSim| {
            let now = y.now;
            y.advice_desk(via).record_end(number, now);
            y.make_other_call(via, cost);
        };
        self.schedule(over, Delivery::Act(Box::new(action)));
    }
}
