//! Room for tasks: reservations, preemption for urgent work, starts and stops.

use {
    super::{RESERVATION_TTL, Racks, link::Start, tell::AttemptInfo},
    crate::{
        Time,
        attempts::{CLOCK_DRIFT, MAX_TRANSIT},
        decide::urgent::{self, RunningTask},
        ids::{Attempt, Epoch, PoolId, RackId, TaskId, WorkerId},
        ledger::Held,
        messages::{
            EndItem, Hold, ReserveAsk, ReserveItem, ReserveReply, ReserveRow, StartAsk, StartItem,
            StartReply, TaskOrder, TaskState,
        },
        units::Size,
    },
    std::time::Duration,
};

/// The assumed duration of a checkpoint, since workers don't report it: the time that urgent work can
/// wait.
const CHECKPOINT_DURATION: Duration = Duration::from_millis(500);

impl Racks {
    /// Reserves room for attempts; for all or none of them if the ask's `whole` is set.
    pub fn reserve(&mut self, ask: &ReserveAsk, now: Time) -> ReserveReply {
        self.preempting.retain(|_, (_, until)| *until > now);
        let needs: Vec<Size> = ask.items.iter().map(|i| i.size).collect();
        let order = self.indexes.get(&ask.pool).map_or(vec![], |index| index.packing_order(&needs));
        let mut rows = vec![];
        for item in order.into_iter().filter_map(|i| ask.items.get(i)) {
            let found = self.choose_worker(ask, item);
            let row = found.and_then(|(worker, rack, epoch)| {
                let ends = now + RESERVATION_TTL;
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

    /// Frees reservations that are not needed, unless their attempts were started, here or by the
    /// rack's former owner.
    pub fn release(&mut self, rows: &[ReserveRow], now: Time) {
        for row in rows {
            let key = (row.task.clone(), row.attempt);
            let started = self.ledger.started(&Held::Task(key.0.clone(), key.1));
            if !started && !self.attempts.contains_key(&key) {
                self.ledger.release(&row.task, row.attempt, now);
                self.reindex(&row.worker);
            }
        }
    }

    /// Makes room for urgent work: stops the cheapest tasks that can be checkpointed on one worker,
    /// and keeps that worker's room for the urgent task. Returns whether room is being made.
    pub fn preempt(&mut self, ask: &ReserveAsk, now: Time) -> bool {
        let mut preempting = false;
        for item in ask.items.iter().filter(|i| i.urgent) {
            if self.preempting.values().any(|(task, _)| *task == item.task) {
                preempting = true;
                continue;
            }
            let places: Vec<urgent::CandidateWorker> = self
                .links
                .keys()
                .filter(|w| !item.avoid.contains(w) && !self.preempting.contains_key(*w))
                .filter(|w| self.on_requested_rack(ask, w))
                .filter_map(|w| self.preemption_place(w, &ask.pool, now))
                .collect();
            let Some(plan) = urgent::plan_preemption(now, item.size, &places) else { continue };
            preempting = true;
            self.preempting.insert(plan.worker.clone(), (item.task.clone(), now + RESERVATION_TTL));
            self.stop_victims(&plan.worker, &plan.victims, now);
        }
        preempting
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
            if self.queue_start(&item, until, now) {
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

    /// Queues a start; returns false if the attempt will never run.
    fn queue_start(&mut self, item: &StartItem, until: Time, now: Time) -> bool {
        let key = (item.task.clone(), item.attempt);
        if !self.holds(&item.worker, &item.task, item.attempt) {
            return false;
        }
        // A repeated call must not send the start again after the attempt was stopped.
        if self.attempts.get(&key).is_some_and(|f| f.hold.is_some()) {
            return true;
        }
        // The worker may have started to leave since the reservation.
        let open = self.ledger.worker(&item.worker).is_some_and(|a| !a.cordoned());
        if !open
            || !self.enlarge_reservation(item, now)
            || !self.ledger.confirm(&item.task, item.attempt, now)
        {
            self.ledger.release(&item.task, item.attempt, now);
            self.reindex(&item.worker);
            return false;
        }
        self.preempting.retain(|_, (task, _)| *task != item.task);
        self.void_earlier_end(&key);
        let hold = Some((item.hold, item.borrowed));
        self.attempts
            .insert(key, AttemptInfo { bucket: item.bucket, vouched_at: now, since: now, hold });
        if let Some(link) = self.links.get_mut(&item.worker) {
            link.starts.push(Start {
                order: task_order(item),
                until,
                sent: None,
                tries: 0,
                withdrawn: false,
            });
            link.next_order = now;
        }
        self.wake(&item.worker);
        true
    }

    /// Drops an end that was recorded under the name of an attempt before its start.
    ///
    /// It concerns a reservation that a member of an older version handed over as a started attempt;
    /// reported, it would end the attempt that starts now.
    fn void_earlier_end(&mut self, key: &(TaskId, Attempt)) {
        if let Some(EndItem { task, attempt, state, worker, .. }) = self.pending_ends.remove(key) {
            log::warn!(target: "racks", "Attempt {attempt} of {task} starts; an earlier end is dropped: {state} on {worker}.");
        }
    }

    /// Enlarges a reservation to the size of the attempt to start; returns false if there is no room.
    ///
    /// Guards against overcommitting a worker: an attempt's size is what its task is expected to use
    /// at that time, which may have grown since the room was reserved.
    fn enlarge_reservation(&mut self, item: &StartItem, now: Time) -> bool {
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

    /// Stops the preempted tasks on a worker.
    fn stop_victims(&mut self, worker: &WorkerId, victims: &[TaskId], now: Time) {
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

    /// Whether a worker is on the rack that the ask requires, if it requires one.
    fn on_requested_rack(&self, ask: &ReserveAsk, worker: &WorkerId) -> bool {
        let rack = self.ledger.worker(worker).map(|a| &a.rack);
        ask.rack.is_none() || rack == ask.rack.as_ref()
    }

    /// Chooses the worker for an attempt: the fullest that fits, or one that spreads over racks.
    fn choose_worker(
        &self,
        ask: &ReserveAsk,
        item: &ReserveItem,
    ) -> Option<(WorkerId, RackId, Epoch)> {
        let mut avoid = item.avoid.clone();
        // Room that is being made for an urgent task is not available to other tasks.
        let marked = self.preempting.iter().filter(|(_, (task, _))| *task != item.task);
        avoid.extend(marked.map(|(w, _)| w.clone()));
        if ask.rack.is_some() {
            avoid.extend(self.links.keys().filter(|w| !self.on_requested_rack(ask, w)).cloned());
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

    /// The workers that hold tasks of the same job, one entry for each task.
    fn replicas(&self, task: &TaskId) -> Vec<WorkerId> {
        let here = self.ledger.workers().flat_map(|(id, a)| a.held().map(move |h| (id, h)));
        let same = here.filter(|(_, h)| matches!(h, Held::Task(t, _) if t.job == task.job));
        same.map(|(id, _)| id.clone()).collect()
    }

    /// A worker's free room and running tasks, as input for the choice of victims.
    fn preemption_place(
        &self,
        worker: &WorkerId,
        pool: &PoolId,
        now: Time,
    ) -> Option<urgent::CandidateWorker> {
        let account = self.ledger.worker(worker).filter(|a| a.pool == *pool && !a.cordoned())?;
        let tasks = account.held().filter_map(|held| {
            let Held::Task(task, attempt) = held else { return None };
            let facts = self.attempts.get(&(task.clone(), *attempt));
            let young = facts.is_some_and(|f| now - f.since < MAX_TRANSIT + CLOCK_DRIFT);
            let kind = match facts.and_then(|f| f.hold) {
                // Its stop would have to wait until its start can no longer arrive.
                Some(_) if young => urgent::TaskKind::Plain,
                Some((Hold::Checkpoint, _)) => urgent::TaskKind::Checkpoint,
                Some((Hold::Brief, _)) => urgent::TaskKind::Plain,
                Some((Hold::Never, _)) | None => urgent::TaskKind::Service,
            };
            Some(RunningTask {
                task: task.clone(),
                size: self.ledger.load(held)?.size,
                kind,
                is_borrowed: facts.and_then(|f| f.hold).is_some_and(|(_, borrowed)| borrowed),
                last_checkpoint: facts.map_or(Time::ZERO, |f| f.since),
                checkpoint_time: CHECKPOINT_DURATION,
            })
        });
        Some(urgent::CandidateWorker {
            worker: worker.clone(),
            free: account.room(),
            running: tasks.collect(),
        })
    }
}

fn task_order(item: &StartItem) -> TaskOrder {
    TaskOrder { task: item.task.clone(), attempt: item.attempt, size: item.size, run: item.run }
}
