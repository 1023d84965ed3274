//! What the buckets' owners are told of their attempts, and what they say of them.

use {
    super::Racks,
    crate::{
        Time,
        attempts::LEASE,
        ids::{Attempt, Bucket, TaskId, WorkerId},
        messages::{EndItem, Hold, ProbeAsk, ProbeReply, ProbeRow, TaskState},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// What an attempt's bucket said of it.
pub(super) struct Facts {
    pub(super) bucket: Bucket,
    pub(super) vouched: Time,
    pub(super) since: Time,
    /// How its room can be had back, where it was started by this member.
    pub(super) hold: Option<(Hold, bool)>,
}

impl Racks {
    /// Says what became of attempts.
    pub fn probe(&mut self, ask: &ProbeAsk, now: Time) -> Option<ProbeReply> {
        self.racks.get(&ask.rack)?;
        for item in &ask.items {
            self.vouch(item.task.clone(), item.attempt, ask.bucket, now);
        }
        let workers: BTreeSet<&WorkerId> = ask.items.iter().map(|i| &i.worker).collect();
        let rows = workers.into_iter().map(|worker| {
            let link = self.links.get(worker);
            let report = link.and_then(|l| l.report.as_ref());
            let items = ask.items.iter().filter(|i| i.worker == *worker);
            let asked: BTreeSet<(&TaskId, Attempt)> = items.map(|i| (&i.task, i.attempt)).collect();
            let tasks = report.map_or(&[][..], |(_, tasks)| tasks);
            ProbeRow {
                worker: worker.clone(),
                age: report.map(|(taken, _)| millis(now - *taken) + 1),
                cut: match link {
                    Some(l) if l.cut => Some(millis((l.renewed + LEASE) - now)),
                    Some(_) => None,
                    // Not on this rack any more: what ran there can have had no renewal since.
                    None => Some(millis(LEASE)),
                },
                tasks: tasks
                    .iter()
                    .filter(|t| asked.contains(&(&t.task, t.attempt)))
                    .cloned()
                    .collect(),
            }
        });
        Some(ProbeReply { rows: rows.collect() })
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

pub(super) fn millis(d: Duration) -> u64 {
    u64::try_from(d.as_millis()).unwrap_or(u64::MAX)
}
