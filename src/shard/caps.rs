//! Keeps customers within their caps: counts what their runs use, obtains parts of the caps and
//! withholds starts that a cap doesn't allow. [`crate::decide::allotment`] has the decisions.
//!
//! A shard's runs never use more than its allotment in the store. Its writes expect the owner's row as
//! the takeover left it, so that no write of a former owner takes effect later, and the revision of the
//! configuration that holds the cap.

use {
    crate::{
        customers::{cap_from, cap_text},
        decide::{allotment::Division, share::DEFAULT_WEIGHT},
        ids::CustomerId,
        ports::{Fault, Put, Rev, Txn},
        shard::{
            customer_cap::{CustomerCap, CustomerNo, CustomerUsage, min},
            event::{DivisionReply, Order},
            record::{division_key, encode},
            round::{Round, Turn},
            state_machine::Shard,
            workers::{Run, Worker, WorkerNo},
        },
        time::Time,
        units::Size,
        work::{Job, StepKey, TaskKey},
    },
    std::{collections::BTreeMap, time::Duration},
};

/// The pause after a write of a division that failed.
const WRITE_PAUSE: Duration = Duration::from_millis(50);
/// The minimum interval between two writes that only change what the shard lacks.
const WANT_INTERVAL: Duration = Duration::from_millis(250);
/// The minimum interval between two writes that lower the allotment as runs end.
const TRIM_INTERVAL: Duration = Duration::from_millis(50);
/// The pause after a failed read of the divisions.
const READ_PAUSE: Duration = Duration::from_millis(100);
/// How long a step that its customer's cap keeps from starting withholds the cap from later steps of
/// the customer, and the interval at which it does so again.
///
/// Without it, small tasks would take each part of the cap that becomes free, and a gang would never
/// start. Without its end, a gang that has to wait for long-running tasks would stop all other work
/// of its customer.
const WITHHOLD_TIME: (Duration, Duration) = (Duration::from_millis(1500), Duration::from_secs(3));

impl Shard {
    /// Returns the number of a customer, and adds the customer if it is new.
    pub(super) fn customer_no(&mut self, name: &CustomerId) -> CustomerNo {
        if let Some(no) = self.caps.numbers.get(name) {
            return *no;
        }
        let listed = self.queues.customers.as_ref().and_then(|c| c.get(name));
        let no = CustomerNo(self.caps.customers.len());
        self.caps.numbers.insert(name.clone(), no);
        self.caps.customers.push(CustomerCap {
            name: name.clone(),
            cap: listed.map_or(cap_from(Size::default()), |c| c.cap),
            weight: listed.map(|c| c.weight),
            started: Size::default(),
            adopted: Size::default(),
            inherited: Size::default(),
            division: Division::default(),
            rev: 0,
            written: None,
            unresolved: None,
            outdated: None,
            waiting: Size::default(),
            waiting_since: None,
            others_since: None,
            yields: false,
            next_write: Time::ZERO,
        });
        no
    }

    /// Loads the divisions that this owner has read at its takeover.
    pub(super) fn load_divisions(&mut self, all: Vec<(CustomerId, Rev, Division)>, now: Time) {
        let shard = self.setup.shard.0;
        for (name, rev, division) in all {
            let no = self.customer_no(&name);
            let customer = &mut self.caps.customers[no.0];
            (customer.cap, customer.inherited) = (division.cap, division.allotment(shard).allotted);
            customer.take(rev, division, shard, now);
        }
    }

    /// Takes the caps and weights of a new configuration. A customer that it lacks keeps both, as its
    /// jobs go on.
    pub(super) fn configure_caps(&mut self, now: Time) {
        let Some(listed) = &self.queues.customers else { return };
        for known in &mut self.caps.customers {
            let Some(customer) = listed.get(&known.name) else { continue };
            if known.cap != customer.cap {
                log::info!(target: "shard", did = "cap_changed", shard:% = self.setup.shard, customer:% = known.name, cap = &*cap_text(&customer.cap), before = &*cap_text(&known.cap), version = self.queues.version; "Cap of a customer has changed.");
                known.cap = customer.cap;
            }
            known.weight = Some(customer.weight);
            // An owner that still has the configuration before may have raised its allotment.
            known.outdated = Some(now);
        }
        self.round_due = true;
    }

    /// Adds a run to a worker, and to what its customer uses.
    pub(super) fn add_run(&mut self, no: WorkerNo, task: TaskKey, run: Run) {
        self.record_run_share(no, &run, true);
        if let Some(used) = self.customer_usage_of(&run) {
            *used += run.charge;
        }
        if let Some(old) = self.workers[no.0].add_run(task, run) {
            self.record_run_share(no, &old, false);
            if let Some(used) = self.customer_usage_of(&old) {
                *used = used.saturating_sub(&old.charge);
            }
        }
    }

    /// Removes a run from a worker and from what its customer uses; returns it if it has this
    /// number.
    pub(super) fn remove_run(&mut self, no: WorkerNo, task: &TaskKey, run: u32) -> Option<Run> {
        let old = self.workers[no.0].remove_run(task, run)?;
        self.record_run_share(no, &old, false);
        if let Some(used) = self.customer_usage_of(&old) {
            *used = used.saturating_sub(&old.charge);
        }
        Some(old)
    }

    /// Returns the sum in which a run is counted.
    fn customer_usage_of(&mut self, run: &Run) -> Option<&mut Size> {
        let customer = &mut self.caps.customers[run.customer?.0];
        Some(if run.adopted { &mut customer.adopted } else { &mut customer.started })
    }

    /// Returns what a customer may start in this shard now.
    fn startable(&self, no: CustomerNo) -> Size {
        let customer = &self.caps.customers[no.0];
        if customer.outdated.is_some() {
            return Size::default();
        }
        let shard = self.setup.shard.0;
        let need = customer.need(&self.caps.unseen);
        customer.division.startable(shard, &customer.certain(shard), &customer.cap, &need)
    }

    /// Returns whether a customer's cap allows one more run of this size.
    pub(super) fn cap_allows(&self, customer: Option<CustomerNo>, size: &Size) -> bool {
        customer.is_none_or(|no| size.fits(&self.startable(no)))
    }

    /// Returns whether a cap has kept a step from starting in the last round.
    pub(super) fn is_cap_blocked(&self, key: &StepKey) -> bool {
        self.caps.blocked.contains(key)
    }

    /// Begins to note which steps a cap keeps from starting in this round.
    pub(super) fn begin_cap_round(&mut self) {
        self.caps.blocked.clear();
        for customer in &mut self.caps.customers {
            customer.update_yields();
            (customer.waiting, customer.waiting_since) = (Size::default(), None);
        }
        self.update_unseen();
    }

    /// Computes how much room runs of former owners can use that this owner doesn't know: that of
    /// the workers that have not answered yet, and of those with runs of an unknown size.
    pub(super) fn update_unseen(&mut self) {
        let blind = |w: &&Worker| !w.gone && w.unsized_runs > 0;
        let unsettled = self.unsettled_workers.iter().map(|no| &self.workers[no.0]);
        let unheard = unsettled.filter(|w| !w.fenced);
        let all = unheard.chain(self.workers.iter().filter(blind));
        self.caps.unseen = all.fold(Size::default(), |sum, w| {
            let capacity = w.list_entry.as_ref().map(|l| l.capacity);
            sum + capacity.unwrap_or(cap_from(Size::default()))
        });
    }

    /// Returns how many more tasks of a step the cap of its customer allows now, besides what is
    /// withheld for earlier steps.
    pub(super) fn fitting_in_cap(&self, turn: &Turn, round: &Round) -> usize {
        let customer = self.jobs.get(&turn.key.job).and_then(|j| j.customer);
        let Some(no) = customer else { return usize::MAX };
        let withheld = round.cap_withheld.get(&no).copied().unwrap_or_default();
        let fitting = turn.step.size.count(&self.startable(no).saturating_sub(&withheld));
        usize::try_from(fitting).unwrap_or(usize::MAX)
    }

    /// Removes the tasks from a step's turn that the cap of its customer keeps from starting, and
    /// returns whether any are left. Of a gang, all tasks start or none.
    pub(super) fn limit_by_cap(&mut self, turn: &mut Turn, round: &mut Round, now: Time) -> bool {
        let Some(no) = self.jobs.get(&turn.key.job).and_then(|j| j.customer) else { return true };
        let (size, count) = (turn.step.size, turn.waiting.len());
        let withheld = round.cap_withheld.get(&no).copied().unwrap_or_default();
        let room = self.startable(no).saturating_sub(&withheld);
        let fitting = usize::try_from(size.count(&room)).unwrap_or(usize::MAX);
        if fitting >= count {
            return true;
        }
        let starting = if turn.step.gang { 0 } else { fitting };
        turn.waiting.truncate(starting);
        self.reservations.remove(turn.key);
        self.caps.blocked.insert(*turn.key);
        let customer = &self.caps.customers[no.0];
        let lacking = size.times((count - starting) as u64);
        let least = if turn.step.gang { lacking } else { size };
        if !least.fits(&customer.cap) {
            // It can't start until the cap is raised, and must not keep others from starting.
            return false;
        }
        let since = self.step_state(turn.key).and_then(|s| s.ready_since).unwrap_or(now);
        let customer = &mut self.caps.customers[no.0];
        customer.waiting += lacking;
        customer.waiting_since = Some(customer.waiting_since.map_or(since, |t| t.min(since)));
        self.preempt_for_cap(turn, no, size.times(count as u64).saturating_sub(&room), round, now);
        let phase = (now - since).as_millis() % WITHHOLD_TIME.1.as_millis();
        if phase < WITHHOLD_TIME.0.as_millis() {
            *round.cap_withheld.entry(no).or_default() += lacking;
        }
        starting > 0
    }

    /// Orders the writes that adapt the divisions to what the customers need here.
    pub(super) fn balance_caps(&mut self, now: Time) {
        if self.caps.customers.is_empty() || !self.may_act(now) {
            return;
        }
        if self.ready.is_empty() {
            self.begin_cap_round();
        }
        self.read_divisions(now);
        let (shard, owner_rev) = (self.setup.shard, self.owner_rev);
        let unseen = self.caps.unseen;
        for customer in &mut self.caps.customers {
            if customer.is_balanced()
                || customer.written.is_some()
                || customer.next_write > now
                || customer.outdated.is_some()
            {
                continue;
            }
            customer.update_yields();
            let need = customer.need(&unseen);
            let next = customer.division.next(shard.0, &customer.cap, &need);
            // A write that may take effect later is settled by another one of the same revision.
            let Some(next) = next.or(customer.unresolved.map(|_| customer.division.clone())) else {
                continue;
            };
            customer.next_write = now + write_interval(&customer.division, &next, shard.0);
            log::debug!(target: "shard", did = "divide", shard:% = shard, customer:% = customer.name, allotted:% = next.allotment(shard.0).allotted, wanted:% = next.allotment(shard.0).wanted, in_use:% = need.in_use, rev = customer.rev; "Division of a cap is written.");
            let key = division_key(&customer.name);
            let txn = Txn {
                expected_revs: vec![(key.clone(), customer.rev), (shard.owner_key(), owner_rev)],
                puts: vec![Put { key, value: encode(&next), lease: 0 }],
                removed_keys: vec![],
            };
            customer.written = Some(next);
            self.stats.division_writes += 1;
            let config_rev = self.queues.revision;
            self.orders.push(Order::Divide { customer: customer.name.clone(), txn, config_rev });
        }
    }

    /// Orders a read of the divisions if the cap of a customer may have been lowered.
    fn read_divisions(&mut self, now: Time) {
        let outdated = self.caps.customers.iter().any(|c| c.outdated.is_some());
        if outdated && !self.caps.reading && self.caps.next_read <= now {
            self.caps.reading = true;
            self.orders.push(Order::ReadDivisions);
        }
    }

    /// Processes the reply to a write of a division.
    pub(super) fn on_divided(
        &mut self,
        name: &CustomerId,
        reply: Result<DivisionReply, Fault>,
        now: Time,
    ) {
        let shard = self.setup.shard.0;
        let no = self.customer_no(name);
        let customer = &mut self.caps.customers[no.0];
        let Some(written) = customer.written.take() else { return };
        match reply {
            Ok(DivisionReply::Done(rev)) => customer.take(rev, written, shard, now),
            Ok(DivisionReply::Conflict(rev, division)) => {
                customer.next_write = now + WRITE_PAUSE;
                if rev > customer.rev {
                    customer.next_write = now;
                    customer.take(rev, division, shard, now);
                }
            }
            Err(Fault::Refused | Fault::Unsent) => customer.next_write = now + WRITE_PAUSE,
            Err(_) => {
                let least = written.allotment(shard).allotted;
                let least = customer.unresolved.map_or(least, |u| min(&u, &least));
                customer.unresolved = Some(least);
                customer.next_write = now + WRITE_PAUSE;
            }
        }
        self.round_due = true;
    }

    /// Takes a division that another shard has changed.
    pub(super) fn on_division(
        &mut self,
        name: &CustomerId,
        rev: Rev,
        division: Division,
        now: Time,
    ) {
        let (shard, no) = (self.setup.shard.0, self.customer_no(name));
        self.caps.customers[no.0].take(rev, division, shard, now);
        self.round_due = true;
    }

    /// Takes the divisions of a read that was sent at `sent`.
    pub(super) fn on_divisions(
        &mut self,
        sent: Time,
        reply: Result<Vec<(CustomerId, Rev, Division)>, Fault>,
        now: Time,
    ) {
        self.caps.reading = false;
        let Ok(all) = reply else {
            self.caps.next_read = now + READ_PAUSE;
            return;
        };
        for (name, rev, division) in all {
            self.on_division(&name, rev, division, now);
        }
        for customer in &mut self.caps.customers {
            if customer.outdated.is_some_and(|at| at <= sent) {
                customer.outdated = None;
            }
        }
        self.round_due = true;
    }

    /// Returns how the customers stand in this shard, in the order of their names.
    pub fn customer_usage(&self, now: Time) -> Vec<CustomerUsage> {
        let shard = self.setup.shard.0;
        let usage = |(no, c): (usize, &CustomerCap)| {
            let (share, entitled_share, waiting_jobs) = self.shares.usage(CustomerNo(no));
            CustomerUsage {
                name: c.name.clone(),
                cap: c.cap,
                allotted: c.division.allotment(shard).allotted,
                in_use: c.need(&self.caps.unseen).in_use,
                waiting: c.waiting,
                wait_time: c.waiting_since.map(|t| now - t),
                weight: c.weight.unwrap_or(DEFAULT_WEIGHT),
                share,
                entitled_share,
                waiting_jobs,
            }
        };
        let all = self.caps.customers.iter().enumerate();
        let all: BTreeMap<_, _> = all.map(|c| (c.1.name.clone(), usage(c))).collect();
        all.into_values().collect()
    }
}

/// Returns how long a division is left as it is after a write.
fn write_interval(old: &Division, new: &Division, shard: u16) -> Duration {
    let (old, new) = (old.allotment(shard), new.allotment(shard));
    match () {
        () if old.allotted == new.allotted => WANT_INTERVAL,
        () if new.allotted.fits(&old.allotted) => TRIM_INTERVAL,
        () => Duration::ZERO,
    }
}

/// Returns which step of a job can never start under a cap, and why; `None` if all can.
pub fn oversized_step(job: &Job, cap: &Size) -> Option<Box<str>> {
    let why = job.steps.iter().enumerate().find_map(|(i, step)| {
        let needed = if step.gang { step.size.times(step.count.into()) } else { step.size };
        let whole = if step.gang { "the gang" } else { "a task" };
        (!needed.fits(cap)).then(|| format!("{whole} of step {i} needs {needed}"))
    })?;
    Some(format!("{why}, over the customer's cap of {}", cap_text(cap)).into())
}
