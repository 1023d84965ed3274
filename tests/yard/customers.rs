//! The customers of the simulated site: their caps, and another shard that shares them.

use {
    super::*,
    dogwoodreach::{
        customers::{Customer, Customers, cap_from},
        decide::allotment::Need,
        shard::event::DivisionReply,
        units::Size,
    },
};

/// The number of the other shard.
const OTHER_SHARD: u16 = 1;

/// The owner of another shard, which starts and ends tasks of the customers at random. It follows the
/// protocol of the divisions with a view that may be old.
pub(super) struct OtherShard {
    /// The configuration that it has received, and the one that is on its way with the time of its
    /// arrival.
    queues: Arc<QueueConfig>,
    coming: Option<(Time, Arc<QueueConfig>)>,
    /// The divisions that it knows.
    known: BTreeMap<CustomerId, (Rev, dogwoodreach::decide::allotment::Division)>,
    /// Whether it has to read the divisions before it starts anything.
    outdated: bool,
    in_use: BTreeMap<CustomerId, Size>,
    /// Whether it ends its tasks and starts no others.
    pub idle: bool,
}

/// Returns the default queues and pools with these customers, each with its cap.
pub fn with_customers(version: u64, caps: &[(&str, Size)]) -> Arc<QueueConfig> {
    let mut customers = Customers::default();
    for (name, cap) in caps {
        let (name, cap) = (CustomerId::from(*name), cap_from(*cap));
        customers.add(Customer { name, weight: 1.0, cap }, []);
    }
    let (customers, revision) = (Some(customers), version);
    Arc::new(QueueConfig { version, revision, customers, ..(*queues()).clone() })
}

impl ShardSim {
    /// Lets another shard share the caps of the customers.
    pub fn add_other_shard(&mut self) {
        self.other_shard = Some(OtherShard {
            queues: self.sent_queues.clone(),
            coming: None,
            known: BTreeMap::new(),
            outdated: true,
            in_use: BTreeMap::new(),
            idle: false,
        });
    }

    /// Lets the other shard end its tasks.
    pub fn quiet_other_shard(&mut self) {
        if let Some(other) = &mut self.other_shard {
            other.idle = true;
        }
    }

    /// Records the caps of a configuration for the judge, and sends it to the other shard.
    pub(super) fn record_caps(&mut self, queues: &Arc<QueueConfig>) {
        for customer in queues.customers.iter().flat_map(Customers::iter) {
            self.rules.caps.set(&customer.name, customer.cap, self.now);
        }
        if let Some(other) = &mut self.other_shard {
            let late = Duration::from_millis(self.rng.u64(1..2_500));
            other.coming = Some((self.now + late, queues.clone()));
        }
    }

    /// Writes a division if the write expects the configuration in force, and tells the owners of a
    /// change some time later.
    pub(super) fn write_division(
        &mut self,
        customer: &CustomerId,
        txn: &Txn,
        config_rev: Rev,
    ) -> DivisionReply {
        let current = config_rev == self.sent_queues.revision;
        let reply = self.store.divide(customer, txn, current);
        if let (DivisionReply::Done(_), Some((rev, division))) =
            (&reply, self.store.division(customer))
        {
            let slow = self.rng.u32(0..10) == 0;
            let late = self.rng.u64(if slow { 500..4_000 } else { 2..60 });
            let event = Event::Division(customer.clone(), rev, division);
            for owner in 0..self.owners.len() {
                if !self.owners[owner].store_cut {
                    let at = self.now + Duration::from_millis(late);
                    self.schedule(at, Delivery::Event(owner, event.clone()));
                }
            }
        }
        reply
    }

    /// Lets the other shard start and end tasks, and adapt the divisions.
    pub(super) fn run_other_shard(&mut self) {
        let Some(mut other) = self.other_shard.take() else { return };
        if let Some((at, queues)) = other.coming.clone()
            && at <= self.now
        {
            (other.queues, other.coming, other.outdated) = (queues, None, true);
        }
        let up = self.store.health == Mode::Up;
        if up && (other.outdated || self.rng.u32(0..8) == 0) {
            for (name, rev, division) in self.store.divisions() {
                other.known.insert(name, (rev, division));
            }
            other.outdated = false;
        }
        let customers: Vec<Customer> =
            other.queues.customers.iter().flat_map(Customers::iter).cloned().collect();
        for customer in customers {
            self.run_customer(&mut other, &customer, up);
        }
        self.rules.caps.elsewhere = other.in_use.clone();
        self.other_shard = Some(other);
    }

    fn run_customer(&mut self, other: &mut OtherShard, customer: &Customer, up: bool) {
        let used = other.in_use.entry(customer.name.clone()).or_default();
        if other.idle || self.rng.u32(0..4) == 0 {
            *used = used.saturating_sub(&Size::new(self.rng.u64(0..4), 0, 0));
        }
        let wanted = if other.idle { 0 } else { self.rng.u64(0..5) };
        let (rev, division) = other.known.get(&customer.name).cloned().unwrap_or_default();
        let mut need = Need { in_use: *used, yields: self.rng.bool(), ..Need::default() };
        let startable = match other.outdated {
            true => Size::default(),
            false => {
                let allotted = division.allotment(OTHER_SHARD).allotted;
                division.startable(OTHER_SHARD, &allotted, &customer.cap, &need)
            }
        };
        let step = Size::new(1, 0, 0);
        let started = step.count(&startable).min(wanted);
        *used += step.times(started);
        need.in_use = *used;
        need.waiting = step.times(wanted - started);
        if !up || other.outdated {
            return;
        }
        let Some(next) = division.next(OTHER_SHARD, &customer.cap, &need) else { return };
        let key = dogwoodreach::shard::record::division_key(&customer.name);
        let txn = Txn {
            expected_revs: vec![(key.clone(), rev)],
            puts: vec![Put { key, value: encode(&next), lease: 0 }],
            removed_keys: vec![],
        };
        let known = match self.write_division(&customer.name, &txn, other.queues.revision) {
            DivisionReply::Done(rev) => (rev, next),
            DivisionReply::Conflict(rev, division) => (rev, division),
        };
        other.known.insert(customer.name.clone(), known);
    }
}
