//! The exchange with the buckets' owners: ends of attempts to report, and probes to answer.

use {
    super::{LEASE_MAX, Racks, link::SILENCE_MAX, order::VOUCH_TTL},
    crate::{
        Time,
        ids::{Attempt, Bucket, TaskId, WorkerId},
        messages::{EndItem, Hold, ProbeAsk, ProbeItem, ProbeReply, ProbeRow, TaskState},
        time::millis,
    },
    std::collections::BTreeMap,
};

/// What the owner of an attempt's bucket has said about the attempt.
pub(super) struct AttemptInfo {
    pub(super) bucket: Bucket,
    pub(super) vouched_at: Time,
    pub(super) since: Time,
    /// How its room can be reclaimed, and whether it is borrowed; `None` unless this member started
    /// the attempt.
    pub(super) hold: Option<(Hold, bool)>,
}

impl AttemptInfo {
    /// Whether a bucket's owner has vouched for the attempt within [`VOUCH_TTL`].
    pub(super) fn fresh(&self, now: Time) -> bool {
        now - self.vouched_at < VOUCH_TTL
    }
}

impl Racks {
    /// Answers a probe for the states of attempts; `None` if this member does not own the rack.
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
        // If an attempt is held there and not listed, the report proves nothing about it: its start
        // may be in flight, or may yet follow from its reservation.
        let unproven =
            |i: &&&ProbeItem| find(i).is_none() && self.holds(worker, &i.task, i.attempt);
        let report = report.filter(|_| !items.iter().any(|i| unproven(&i)));
        ProbeRow {
            worker: worker.clone(),
            age: report.map(|(taken, _)| millis(now - *taken) + 1),
            cut: self.lapsed(worker, gained, now).then_some(0),
            tasks: items.iter().filter_map(|i| find(i)).cloned().collect(),
        }
    }

    /// Whether all leases on a worker have lapsed.
    ///
    /// This is reported only once it is true, not announced: if this owner died meanwhile, the next
    /// owner of the rack would not know of the announcement, and would renew the lease of an attempt
    /// that the bucket's owner is about to start again.
    fn lapsed(&self, worker: &WorkerId, gained: Time, now: Time) -> bool {
        match self.links.get(worker) {
            // Orders in flight may renew leases once more.
            Some(link) => link.lapsing && !link.in_flight && link.lapse() <= now,
            // The worker is not in the list, which may be out of date: no lease was renewed there
            // since this member took over the rack.
            None => !self.vms.is_empty() && gained + SILENCE_MAX + LEASE_MAX <= now,
        }
    }

    /// The ends and starts to report to the buckets' owners; each is kept until [`Racks::acknowledge`].
    pub fn pending_reports(&self) -> BTreeMap<Bucket, Vec<EndItem>> {
        let mut reports: BTreeMap<Bucket, Vec<EndItem>> = BTreeMap::new();
        for (key, item) in &self.pending_ends {
            // If no bucket's owner has vouched for the attempt yet, the next probe reports it.
            if let Some(facts) = self.attempts.get(key) {
                reports.entry(facts.bucket).or_default().push(item.clone());
            }
        }
        reports
    }

    /// Removes reports that the buckets' owners have acknowledged.
    pub fn acknowledge(&mut self, items: &[EndItem]) {
        for item in items {
            let key = (item.task.clone(), item.attempt);
            if self.pending_ends.get(&key).is_some_and(|i| i.state == item.state) {
                self.pending_ends.remove(&key);
                if item.state != TaskState::Running {
                    self.attempts.remove(&key);
                }
            }
        }
    }

    pub(super) fn record_end(
        &mut self,
        task: TaskId,
        attempt: Attempt,
        state: TaskState,
        worker: &WorkerId,
    ) {
        let report = self.links.get(worker).and_then(|l| l.report.as_ref());
        let used = report.and_then(|(_, tasks)| {
            tasks.iter().find(|t| t.task == task && t.attempt == attempt).map(|t| t.used)
        });
        let worker = worker.clone();
        let item = EndItem { task: task.clone(), attempt, state, worker, used };
        self.pending_ends.insert((task, attempt), item);
    }

    /// Records that the owner of a bucket knows the attempt and wants it to continue.
    pub(super) fn vouch(&mut self, task: TaskId, attempt: Attempt, bucket: Bucket, now: Time) {
        let new = AttemptInfo { bucket, vouched_at: now, since: now, hold: None };
        let facts = self.attempts.entry((task, attempt)).or_insert(new);
        (facts.bucket, facts.vouched_at) = (bucket, now);
    }
}
