//! Room for tasks: reservations, room made for urgent work, starts and stops.

use {
    super::{RESERVE, Racks, link::Start, tell::Facts},
    crate::{
        Time,
        attempts::{DRIFT, FLIGHT},
        decide::urgent::{self, Running},
        ids::{Epoch, PoolId, RackId, TaskId, WorkerId},
        ledger::Held,
        messages::{
            EndItem, Hold, ReserveAsk, ReserveItem, ReserveReply, ReserveRow, StartAsk, StartItem,
            StartReply, TaskOrder, TaskState,
        },
        units::Size,
    },
    std::time::Duration,
};

/// How long a checkpoint takes; until workers report it, the time that urgent work can wait.
const CHECKPOINT: Duration = Duration::from_millis(500);

impl Racks {
    /// Finds room for attempts; all or none where `whole` is asked for.
    pub fn reserve(&mut self, ask: &ReserveAsk, now: Time) -> ReserveReply {
        self.marks.retain(|_, (_, until)| *until > now);
        let needs: Vec<Size> = ask.items.iter().map(|i| i.size).collect();
        let order = self.indexes.get(&ask.pool).map_or(vec![], |index| index.order(&needs));
        let mut rows = vec![];
        for item in order.into_iter().filter_map(|i| ask.items.get(i)) {
            let found = self.room(ask, item);
            let row = found.and_then(|(worker, rack, epoch)| {
                let ends = now + RESERVE;
                self.ledger.reserve(&item.task, item.attempt, &worker, item.size, ends).ok()?;
                self.reindex(&worker);
                let (task, attempt) = (item.task.clone(), item.attempt);
                Some(ReserveRow { task, attempt, worker, rack, epoch })
            });
            if row.is_none() && ask.whole {
                break;
            }
            rows.extend(row);
        }
        if ask.whole && rows.len() < ask.items.len() {
            self.release(&rows, now);
            rows.clear();
        }
        ReserveReply { rows }
    }

    /// Frees room that was reserved and is not needed after all.
    pub fn release(&mut self, rows: &[ReserveRow], now: Time) {
        for row in rows {
            if !self.facts.contains_key(&(row.task.clone(), row.attempt)) {
                self.ledger.release(&row.task, row.attempt, now);
                self.reindex(&row.worker);
            }
        }
    }

    /// Makes room for urgent work: stops the cheapest tasks that can be checkpointed on one worker,
    /// whose room then is the urgent task's. Returns whether room is on its way.
    pub fn preempt(&mut self, ask: &ReserveAsk, now: Time) -> bool {
        let mut made = false;
        for item in ask.items.iter().filter(|i| i.urgent) {
            if self.marks.values().any(|(task, _)| *task == item.task) {
                made = true;
                continue;
            }
            let places: Vec<urgent::Place> = self
                .links
                .keys()
                .filter(|w| !item.avoid.contains(w) && !self.marks.contains_key(*w))
                .filter(|w| self.asked(ask, w))
                .filter_map(|w| self.scene(w, &ask.pool, now))
                .collect();
            let Some(plan) = urgent::plan(now, item.size, &places) else { continue };
            made = true;
            self.marks.insert(plan.worker.clone(), (item.task.clone(), now + RESERVE));
            self.push_aside(&plan.worker, &plan.victims, now);
        }
        made
    }

    /// Starts reserved attempts whose intents are committed, and stops others.
    pub fn start(&mut self, ask: StartAsk, now: Time) -> Option<StartReply> {
        let owned = self.racks.get(&ask.rack).is_some_and(|r| r.epoch == ask.epoch);
        if !owned && !ask.start.is_empty() {
            return None;
        }
        let until = now + Duration::from_millis(ask.left);
        let mut refused = vec![];
        for item in ask.start {
            if self.begin(&item, until, now) {
                continue;
            }
            let StartItem { task, attempt, worker, .. } = item;
            refused.push(EndItem { task, attempt, state: TaskState::Lost, worker, used: None });
        }
        for item in ask.stop {
            self.vouch(item.task.clone(), item.attempt, item.bucket, now);
            if let Some(link) = self.links.get_mut(&item.worker) {
                link.stop(item.task, item.attempt, now);
            }
            self.wake(&item.worker);
        }
        Some(StartReply { refused })
    }

    /// Enters a start; returns false where the attempt will never run.
    fn begin(&mut self, item: &StartItem, until: Time, now: Time) -> bool {
        let key = (item.task.clone(), item.attempt);
        if !self.holds(&item.worker, &item.task, item.attempt) {
            return false;
        }
        // A repeat of this call must not send the start again after the attempt was stopped.
        if self.facts.get(&key).is_some_and(|f| f.hold.is_some()) {
            return true;
        }
        // Since the reservation the worker may have begun to leave.
        let open = self.ledger.worker(&item.worker).is_some_and(|a| !a.cordoned());
        if !open || !self.widen(item, now) || !self.ledger.confirm(&item.task, item.attempt, now) {
            self.ledger.release(&item.task, item.attempt, now);
            self.reindex(&item.worker);
            return false;
        }
        self.marks.retain(|_, (task, _)| *task != item.task);
        let hold = Some((item.hold, item.borrowed));
        self.facts.insert(key, Facts { bucket: item.bucket, vouched: now, since: now, hold });
        if let Some(link) = self.links.get_mut(&item.worker) {
            link.starts.push(Start { order: order(item), until, sent: None, tries: 0, off: false });
            link.due = now;
        }
        self.wake(&item.worker);
        true
    }

    /// Makes a reservation as large as what is to start in it; returns false where there is no room.
    ///
    /// Guards against a worker over its size: an attempt is made for what its task is expected to use by
    /// then, which may have grown since the room was asked for.
    fn widen(&mut self, item: &StartItem, now: Time) -> bool {
        let held = Held::Task(item.task.clone(), item.attempt);
        let Some(reserved) = self.ledger.load(&held).map(|l| l.size) else { return false };
        if item.size.fits(&reserved) {
            return true;
        }
        let size = item.size.max(&reserved);
        let wider = self.ledger.reserve(&item.task, item.attempt, &item.worker, size, now);
        self.reindex(&item.worker);
        log::info!(target: "racks", task:% = item.task, worker:% = item.worker, reserved:% = reserved, size:% = item.size, room = wider.is_ok(); "Start needs more than is reserved.");
        wider.is_ok()
    }

    /// Stops what is pushed aside on a worker.
    fn push_aside(&mut self, worker: &WorkerId, victims: &[TaskId], now: Time) {
        let held = self.ledger.worker(worker).into_iter().flat_map(|a| a.held());
        let Some(link) = self.links.get_mut(worker) else { return };
        for held in held {
            if let Held::Task(task, attempt) = held
                && victims.contains(task)
            {
                link.stop(task.clone(), *attempt, now);
            }
        }
        self.wake(worker);
    }

    /// Whether a worker stands on the rack that is asked for, where one is.
    fn asked(&self, ask: &ReserveAsk, worker: &WorkerId) -> bool {
        let rack = self.ledger.worker(worker).map(|a| &a.rack);
        ask.rack.is_none() || rack == ask.rack.as_ref()
    }

    /// The worker for an attempt: packed on the fullest, or spread over racks.
    fn room(&self, ask: &ReserveAsk, item: &ReserveItem) -> Option<(WorkerId, RackId, Epoch)> {
        let mut avoid = item.avoid.clone();
        // Room that is being made for urgent work is not for others.
        let marked = self.marks.iter().filter(|(_, (task, _))| *task != item.task);
        avoid.extend(marked.map(|(w, _)| w.clone()));
        if ask.rack.is_some() {
            avoid.extend(self.links.keys().filter(|w| !self.asked(ask, w)).cloned());
        }
        let index = self.indexes.get(&ask.pool)?;
        let id = if item.spread {
            index.spread(&item.size, &self.replicas(&item.task), &avoid)?
        } else {
            index.pack(&item.size, &avoid)?
        };
        let rack = self.ledger.worker(id)?.rack.clone();
        let epoch = self.racks.get(&rack)?.epoch;
        Some((id.clone(), rack, epoch))
    }

    /// The workers that hold tasks of the same job, once for each.
    fn replicas(&self, task: &TaskId) -> Vec<WorkerId> {
        let here = self.ledger.workers().flat_map(|(id, a)| a.held().map(move |h| (id, h)));
        let same = here.filter(|(_, h)| matches!(h, Held::Task(t, _) if t.job == task.job));
        same.map(|(id, _)| id.clone()).collect()
    }

    /// What runs on a worker, as the choice of victims sees it.
    fn scene(&self, worker: &WorkerId, pool: &PoolId, now: Time) -> Option<urgent::Place> {
        let account = self.ledger.worker(worker).filter(|a| a.pool == *pool && !a.cordoned())?;
        let tasks = account.held().filter_map(|held| {
            let Held::Task(task, attempt) = held else { return None };
            let facts = self.facts.get(&(task.clone(), *attempt));
            let young = facts.is_some_and(|f| now - f.since < FLIGHT + DRIFT);
            let kind = match facts.and_then(|f| f.hold) {
                // Its stop would have to wait until its start can't arrive any more.
                Some(_) if young => urgent::Kind::Plain,
                Some((Hold::Checkpoint, _)) => urgent::Kind::Checkpoint,
                Some((Hold::Brief, _)) => urgent::Kind::Plain,
                Some((Hold::Never, _)) | None => urgent::Kind::Service,
            };
            Some(Running {
                task: task.clone(),
                size: self.ledger.load(held)?.size,
                kind,
                borrowed: facts.and_then(|f| f.hold).is_some_and(|(_, borrowed)| borrowed),
                saved: facts.map_or(Time::ZERO, |f| f.since),
                save: CHECKPOINT,
            })
        });
        Some(urgent::Place {
            worker: worker.clone(),
            free: account.room(),
            running: tasks.collect(),
        })
    }
}

fn order(item: &StartItem) -> TaskOrder {
    TaskOrder { task: item.task.clone(), attempt: item.attempt, size: item.size, run: item.run }
}
