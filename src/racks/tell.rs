//! What the buckets' owners are told of their attempts, and what they say of them.

use {
    super::{LAPSE, Racks, link::SILENT, order::VOUCH},
    crate::{
        Time,
        ids::{Attempt, Bucket, TaskId, WorkerId},
        messages::{EndItem, Hold, ProbeAsk, ProbeItem, ProbeReply, ProbeRow, TaskState},
        time::millis,
    },
    std::collections::BTreeMap,
};

/// What an attempt's bucket said of it.
pub(super) struct Facts {
    pub(super) bucket: Bucket,
    pub(super) vouched: Time,
    pub(super) since: Time,
    /// How its room can be had back, where it was started by this member.
    pub(super) hold: Option<(Hold, bool)>,
}

impl Facts {
    /// Whether a bucket's owner may still speak for the attempt.
    pub(super) fn fresh(&self, now: Time) -> bool {
        now - self.vouched < VOUCH
    }
}

impl Racks {
    /// Says what became of attempts.
    pub fn probe(&mut self, ask: &ProbeAsk, now: Time) -> Option<ProbeReply> {
        let gained = self.racks.get(&ask.rack)?.gained;
        let mut asked: BTreeMap<&WorkerId, Vec<&ProbeItem>> = BTreeMap::new();
        for item in &ask.items {
            self.vouch(item.task.clone(), item.attempt, ask.bucket, now);
            asked.entry(&item.worker).or_default().push(item);
        }
        let rows = asked.into_iter().map(|(worker, items)| self.row(worker, &items, gained, now));
        let rows = rows.collect();
        Some(ProbeReply { rows })
    }

    fn row(&self, worker: &WorkerId, items: &[&ProbeItem], gained: Time, now: Time) -> ProbeRow {
        let link = self.links.get(worker);
        let report = link.and_then(|l| l.report.as_ref());
        let shown = report.map_or(&[][..], |(_, tasks)| tasks);
        let find =
            |i: &ProbeItem| shown.iter().find(|t| t.task == i.task && t.attempt == i.attempt);
        // Of what is counted there and not listed, a report proves nothing yet: its start may be on
        // its way, or come from a reservation that stands.
        let open = |i: &&&ProbeItem| find(i).is_none() && self.holds(worker, &i.task, i.attempt);
        let report = report.filter(|_| !items.iter().any(|i| open(&i)));
        ProbeRow {
            worker: worker.clone(),
            age: report.map(|(taken, _)| millis(now - *taken) + 1),
            cut: self.lapsed(worker, gained, now).then_some(0),
            tasks: items.iter().filter_map(|i| find(i)).cloned().collect(),
        }
    }

    /// Whether all leases on a worker have lapsed.
    ///
    /// It is said only then, not announced: the next owner of the rack would not know of the promise
    /// if this one died meanwhile, and would renew what the bucket's owner is about to start anew.
    fn lapsed(&self, worker: &WorkerId, gained: Time, now: Time) -> bool {
        match self.links.get(worker) {
            // Orders on their way may renew once more.
            Some(link) => link.cut && !link.ordering && link.lapse() <= now,
            // Not in the list, which may lag: nobody has renewed there since the rack was gained.
            None => !self.vms.is_empty() && gained + SILENT + LAPSE <= now,
        }
    }

    /// What is to be told to the buckets' owners; each stays until [`Racks::told`].
    pub fn tell(&self) -> BTreeMap<Bucket, Vec<EndItem>> {
        let mut words: BTreeMap<Bucket, Vec<EndItem>> = BTreeMap::new();
        for (key, item) in &self.tell {
            // Of an attempt that no bucket's owner has spoken for yet, the next probe hears.
            if let Some(facts) = self.facts.get(key) {
                words.entry(facts.bucket).or_default().push(item.clone());
            }
        }
        words
    }

    /// The buckets' owners have taken these in.
    pub fn told(&mut self, items: &[EndItem]) {
        for item in items {
            let key = (item.task.clone(), item.attempt);
            if self.tell.get(&key).is_some_and(|i| i.state == item.state) {
                self.tell.remove(&key);
                if item.state != TaskState::Running {
                    self.facts.remove(&key);
                }
            }
        }
    }

    pub(super) fn say(
        &mut self,
        task: TaskId,
        attempt: Attempt,
        state: TaskState,
        worker: &WorkerId,
    ) {
        let report = self.links.get(worker).and_then(|l| l.report.as_ref());
        let seen = report.and_then(|(_, tasks)| {
            tasks.iter().find(|t| t.task == task && t.attempt == attempt).map(|t| t.used)
        });
        let worker = worker.clone();
        let item = EndItem { task: task.clone(), attempt, state, worker, used: seen };
        self.tell.insert((task, attempt), item);
    }

    /// Notes that the owner of a bucket knows of an attempt and wants it to go on.
    pub(super) fn vouch(&mut self, task: TaskId, attempt: Attempt, bucket: Bucket, now: Time) {
        let new = Facts { bucket, vouched: now, since: now, hold: None };
        let facts = self.facts.entry((task, attempt)).or_insert(new);
        (facts.bucket, facts.vouched) = (bucket, now);
    }
}
