//! Sends the buckets' orders: calls of the key-value store, starts, stops and probes.

use {
    super::{JobRequest, Jobs},
    crate::{
        Time,
        bucket::Order as Step,
        commit::Call as Kv,
        event::{Order, Purpose},
        ids::{Bucket, Epoch, RackId},
        messages::{KvPut, ProbeAsk, ProbeItem, StartAsk, StartItem, TaskRow, TaskState},
        tasks::live,
        text::{Job, JobKind},
    },
    std::{collections::BTreeMap, time::Duration},
};

/// How often buckets that wait for the write budget are checked: a tenth of the time in which the
/// budget grants one write.
const WAKE_INTERVAL: Duration = Duration::from_millis(20);

impl Jobs {
    /// Sends the orders of the buckets that have changed.
    pub fn flush(
        &mut self,
        now: Time,
        lease_end: Option<Time>,
        out: &mut Vec<Order>,
        requests: &mut Vec<JobRequest>,
    ) {
        for (id, epoch, step) in self.departing.orders(now) {
            self.apply_order(id, epoch, step, now, out, requests);
        }
        let touched = self.buckets.iter().filter(|(_, o)| o.touched).map(|(id, _)| *id);
        for id in touched.collect::<Vec<Bucket>>() {
            let Some(owned) = self.buckets.get_mut(&id) else { continue };
            owned.touched = false;
            if let Some(lease_end) = lease_end {
                owned.state.renew(lease_end);
            }
            let epoch = owned.epoch;
            let orders = owned.state.orders(now);
            if owned.state.write_pending() {
                self.waiting.insert(id);
            }
            for step in orders {
                self.apply_order(id, epoch, step, now, out, requests);
            }
        }
    }

    /// Marks the buckets that wait for the write budget to be checked again.
    pub(super) fn wake_waiting(&mut self, now: Time) {
        if self.next_wake > now {
            return;
        }
        self.next_wake = now + WAKE_INTERVAL;
        for id in std::mem::take(&mut self.waiting) {
            if let Some(owned) = self.buckets.get_mut(&id) {
                owned.touched = true;
            }
        }
    }

    /// Whether an attempt may still start. The configuration may have changed since the intent was
    /// recorded, and may no longer list the task or may list a gang of another size.
    fn may_start(&self, bucket: Bucket, row: &TaskRow) -> bool {
        let task = &row.task;
        let now = self.buckets.get(&bucket).and_then(|o| o.state.attempts().get(task));
        if now.is_none_or(|r| r.attempt != row.attempt || r.state != TaskState::Intent) {
            return false;
        }
        let gang = |job: &Job| job.kind == JobKind::Gang && !self.tasks.has_job(&task.job);
        !self.tasks.cancelled(task) && !self.plan.jobs.get(&task.job).is_some_and(gang)
    }

    pub(super) fn probe_attempts(&self, requests: &mut Vec<JobRequest>) {
        for (id, owned) in &self.buckets {
            let mut asks: BTreeMap<RackId, ProbeAsk> = BTreeMap::new();
            for row in owned.state.attempts().rows().filter(|r| live(r.state)) {
                let (Some(rack), Some(worker)) = (&row.rack, &row.worker) else { continue };
                let new = || ProbeAsk { rack: rack.clone(), bucket: *id, items: vec![] };
                asks.entry(rack.clone()).or_insert_with(new).items.push(ProbeItem {
                    task: row.task.clone(),
                    attempt: row.attempt,
                    worker: worker.clone(),
                });
                // A stop or its confirmation may have been lost.
                if row.state == TaskState::Stopping {
                    requests.extend(self.start(*id, row, 0, false));
                }
            }
            requests.extend(asks.into_values().map(JobRequest::Probe));
        }
    }

    fn apply_order(
        &mut self,
        id: Bucket,
        epoch: Epoch,
        step: Step,
        now: Time,
        out: &mut Vec<Order>,
        requests: &mut Vec<JobRequest>,
    ) {
        let key = || format!("bucket/{id}").into();
        match step {
            Step::Kv(Kv::Read { call }) => {
                out.push(Order::Get(Purpose::Bucket(id, epoch, call), key()));
            }
            Step::Kv(Kv::Write { call, expect, record }) => {
                let value = serde_json::to_string(&record).ok().map(Into::into);
                let put = KvPut { expect, value, lease: None };
                out.push(Order::Put(Purpose::Bucket(id, epoch, call), key(), put));
            }
            Step::Reply { request, reply } => requests.push(JobRequest::Claimed(request, reply)),
            Step::EndCommitted { call } => requests.push(JobRequest::EndCommitted(call)),
            Step::Start { row, .. } if !self.may_start(id, &row) => {
                let Some(owned) = self.buckets.get_mut(&id) else { return };
                // If a stop order already follows this start, this call changes nothing.
                owned.state.stop(&row.task);
                owned.touched = true;
            }
            Step::Start { row, until } => {
                let left = u64::try_from((until - now).as_millis()).unwrap_or(0);
                requests.extend(self.start(id, &row, left, true));
            }
            Step::Stop { row } => requests.extend(self.start(id, &row, 0, false)),
            Step::Lost => log::info!(target: "jobs", "Bucket {id} has another owner."),
        }
    }

    fn start(&self, bucket: Bucket, row: &TaskRow, left: u64, go: bool) -> Option<JobRequest> {
        let run = self.plan.jobs.get(&row.task.job).map_or(0, |j| j.run.as_millis() as u64);
        let (hold, borrowed) = self.tasks.reclaim(&row.task);
        let item = StartItem {
            task: row.task.clone(),
            attempt: row.attempt,
            worker: row.worker.clone()?,
            size: row.size,
            run,
            bucket,
            hold,
            borrowed,
        };
        let (start, stop) = if go { (vec![item], vec![]) } else { (vec![], vec![item]) };
        Some(JobRequest::Start(StartAsk {
            rack: row.rack.clone()?,
            epoch: row.epoch?,
            left,
            start,
            stop,
        }))
    }
}
