//! Turns picked tasks into reservation requests, and reservations into attempts.

use {
    super::{JobRequest, Jobs, MAX_PICKS, release},
    crate::{
        Time,
        attempts::Place,
        gangs,
        ids::{PoolId, TaskId, team_bucket},
        messages::{RackLoad, ReserveAsk, ReserveItem, ReserveReply, ReserveRow},
        tasks::Pick,
        text::JobKind,
        units::Size,
    },
    std::collections::BTreeMap,
};

impl Jobs {
    /// Handles the reply to a reservation request. Attempts are created and are started once they
    /// are committed.
    pub fn reserved(
        &mut self,
        ask: &ReserveAsk,
        reply: Option<ReserveReply>,
        now: Time,
    ) -> Vec<JobRequest> {
        if ask.rack.is_some() {
            let step = self.gangs.answered(ask, reply, now);
            return self.gang_step(step, now);
        }
        let rows = reply.map_or_else(Vec::new, |r| r.rows);
        let mut reserved: BTreeMap<TaskId, ReserveRow> =
            rows.into_iter().map(|r| (r.task.clone(), r)).collect();
        let mut spare = vec![];
        for item in &ask.items {
            let row = reserved.remove(&item.task);
            if row.as_ref().is_some_and(|row| self.place(row, item.size, now)) {
                continue;
            }
            // Release room that came too late, for a job or a bucket that is gone.
            spare.extend(row);
            if self.tasks.room_requested(&item.task) {
                self.tasks.unplaced(&item.task, now);
            }
        }
        release(spare)
    }

    pub(super) fn pick(&mut self, now: Time, racks: &[RackLoad], requests: &mut Vec<JobRequest>) {
        let mut batches: BTreeMap<(bool, bool, PoolId), ReserveAsk> = BTreeMap::new();
        let mut left = MAX_PICKS;
        while left > 0 {
            let Some(pick) = self.tasks.next(now) else { break };
            left = left.saturating_sub(pick.asks.len());
            let items = self.reserve_items(&pick, now);
            let pool = pick.job.pool.clone();
            if pick.job.kind == JobKind::Gang {
                let Some(job) = items.first().map(|i| i.task.job.clone()) else { continue };
                let step = self.gangs.begin(&job, &pool, items, racks, now);
                requests.extend(self.gang_step(step, now));
                continue;
            }
            let spread = pick.job.kind == JobKind::Replicas;
            let batch = batches.entry((spread, pick.urgent, pool.clone()));
            let new =
                || ReserveAsk { pool, rack: None, items: vec![], whole: false, tried: vec![] };
            batch.or_insert_with(new).items.extend(items);
        }
        requests.extend(batches.into_values().map(JobRequest::Reserve));
    }

    fn reserve_items(&self, pick: &Pick, now: Time) -> Vec<ReserveItem> {
        let new_item = |task: &TaskId| {
            let bucket = self.buckets.get(&team_bucket(&pick.job.team));
            let attempt = bucket.map(|o| o.state.attempts().next_number(task));
            ReserveItem {
                task: task.clone(),
                attempt: attempt.unwrap_or_default(),
                size: self.tasks.size(task, pick.job.size),
                spread: pick.job.kind == JobKind::Replicas,
                urgent: pick.urgent,
                avoid: self.tasks.avoid(task, now),
            }
        };
        pick.asks.iter().map(|(ask, _)| new_item(&ask.task)).collect()
    }

    pub(super) fn gang_step(&mut self, step: gangs::Step, now: Time) -> Vec<JobRequest> {
        match step {
            gangs::Step::Wait => vec![],
            gangs::Step::Ask(ask) => vec![JobRequest::Reserve(ask)],
            gangs::Step::Release(rows, tasks) => {
                for task in tasks
                    .iter()
                    .filter(|t| self.tasks.room_requested(t))
                    .cloned()
                    .collect::<Vec<_>>()
                {
                    self.tasks.unplaced(&task, now);
                }
                release(rows)
            }
            gangs::Step::Place(rows) => {
                let Some(job) = rows.first().map(|r| r.task.job.clone()) else { return vec![] };
                let _ = self.gangs.remove(&job);
                let size = self.plan.jobs.get(&job).map_or(Size::default(), |j| j.size);
                let placed: Vec<bool> = rows.iter().map(|r| self.place(r, size, now)).collect();
                if placed.iter().all(|p| *p) {
                    return vec![];
                }
                self.withdraw(&rows, &placed, now);
                release(rows)
            }
        }
    }

    /// Withdraws the attempts of a gang of which only a part was placed; none of its intents is
    /// committed yet.
    fn withdraw(&mut self, rows: &[ReserveRow], placed: &[bool], now: Time) {
        for (row, placed) in rows.iter().zip(placed) {
            let owned = self.tasks.bucket(&row.task).and_then(|id| self.buckets.get_mut(&id));
            match owned.filter(|_| *placed) {
                Some(owned) => {
                    owned.state.stop(&row.task);
                    (owned.touched, owned.changed) = (true, true);
                }
                None if self.tasks.room_requested(&row.task) => self.tasks.unplaced(&row.task, now),
                None => {}
            }
        }
    }

    fn place(&mut self, row: &ReserveRow, size: Size, now: Time) -> bool {
        if !self.tasks.should_place(&row.task) {
            return false;
        }
        let Some(job) = self.plan.jobs.get(&row.task.job) else { return false };
        let Some(owned) = self.buckets.get_mut(&team_bucket(&job.team)) else { return false };
        owned.touched = true;
        let place = Place {
            task: row.task.clone(),
            worker: row.worker.clone(),
            rack: row.rack.clone(),
            epoch: row.epoch,
            size: self.tasks.size(&row.task, size),
        };
        match owned.state.place(place, now) {
            Ok(attempt) if attempt == row.attempt => {
                owned.running.insert(row.task.clone(), attempt);
                self.tasks.placed(&row.task, &row.worker, now);
                true
            }
            Ok(_) => {
                owned.state.stop(&row.task);
                false
            }
            Err(e) => {
                log::warn!(target: "jobs", "No attempt of {} was made: {e}.", row.task);
                false
            }
        }
    }
}
