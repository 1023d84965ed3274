//! A fake owner of all racks. It keeps free resources, reservations and running tasks, and repeats
//! the report of each end until it is acknowledged.

use {
    dogwoodreach::{
        Time,
        ids::{Attempt, Bucket, Epoch, TaskId, WorkerId},
        messages::{
            EndItem, ProbeAsk, ProbeReply, ProbeRow, RackLoad, ReserveAsk, ReserveReply,
            ReserveRow, StartAsk, StartItem, TaskReport, TaskState, Vm, VmState,
        },
        units::Size,
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

const WORKERS: [(&str, &str); 4] = [("w0", "r0"), ("w1", "r0"), ("w2", "r1"), ("w3", "r1")];

/// The time after which an unused reservation lapses.
const RESERVATION_TTL: Duration = Duration::from_secs(5);

type AttemptKey = (TaskId, Attempt);

/// The free resources, the reservations and the running tasks of all workers.
#[derive(Default)]
pub struct FakeRacks {
    pub free: BTreeMap<WorkerId, Size>,
    pub reservations: BTreeMap<AttemptKey, (WorkerId, Size, Time)>,
    pub runs: BTreeMap<AttemptKey, StartItem>,
    /// Every attempt that has started, in order.
    pub starts: Vec<AttemptKey>,
    unacknowledged: BTreeMap<AttemptKey, (Bucket, EndItem)>,
    stopped: BTreeSet<AttemptKey>,
}

impl FakeRacks {
    pub fn new() -> Self {
        let free = WORKERS.iter().map(|(w, _)| ((*w).into(), Size::new(4, 16 << 10, 0)));
        FakeRacks { free: free.collect(), ..FakeRacks::default() }
    }

    pub fn vms(&self) -> Vec<Vm> {
        let vm = |(worker, rack): &(&str, &str)| Vm {
            addr: "127.0.0.1:1".parse().expect("an address"),
            connections: 64,
            pool: "p".into(),
            rack: (*rack).into(),
            size: Size::new(4, 16 << 10, 0),
            slots: 8,
            state: VmState::Live,
            worker: (*worker).into(),
            zone: "upper-hill".into(),
        };
        WORKERS.iter().map(vm).collect()
    }

    fn rack(worker: &WorkerId) -> &'static str {
        WORKERS.iter().find(|(w, _)| *w == worker.as_str()).expect("a worker").1
    }

    pub fn loads(&self) -> Vec<RackLoad> {
        let load = |rack: &str| {
            let free = || self.free.iter().filter(|(w, _)| Self::rack(w) == rack).map(|(_, f)| *f);
            let widest = free().max_by_key(|f| f.cores).unwrap_or_default();
            let (free, workers) = (free().sum(), 2);
            RackLoad { free, pool: "p".into(), rack: rack.into(), widest, workers }
        };
        vec![load("r0"), load("r1")]
    }

    /// Releases the reservations that have lapsed.
    pub fn lapse(&mut self, now: Time) {
        let lapsed: Vec<AttemptKey> = self
            .reservations
            .iter()
            .filter(|(_, r)| r.2 <= now)
            .map(|(key, _)| key.clone())
            .collect();
        lapsed.iter().for_each(|key| self.drop_reservation(key));
    }

    pub fn reserve(&mut self, ask: &ReserveAsk, now: Time) -> ReserveReply {
        let mut rows = vec![];
        for item in &ask.items {
            let fits = |(w, free): &(&WorkerId, &Size)| {
                let rack = ask.rack.as_ref().is_none_or(|r| r.as_str() == Self::rack(w));
                rack && item.size.fits(free) && !item.avoid.contains(w)
            };
            let mut fit = self.free.iter().filter(fits);
            let found = match item.spread {
                true => fit.max_by_key(|(_, free)| free.cores),
                false => fit.next(),
            };
            let Some((worker, _)) = found else { continue };
            let worker = worker.clone();
            let key = (item.task.clone(), item.attempt);
            self.drop_reservation(&key);
            self.allocate(&worker, item.size);
            self.reservations.insert(key, (worker.clone(), item.size, now + RESERVATION_TTL));
            rows.push(ReserveRow {
                attempt: item.attempt,
                epoch: Epoch(1),
                rack: Self::rack(&worker).into(),
                task: item.task.clone(),
                worker,
            });
        }
        if ask.whole && rows.len() < ask.items.len() {
            let reply = ReserveReply { rows: std::mem::take(&mut rows) };
            self.release(&reply);
        }
        ReserveReply { rows }
    }

    pub fn release(&mut self, reply: &ReserveReply) {
        for row in &reply.rows {
            self.drop_reservation(&(row.task.clone(), row.attempt));
        }
    }

    /// Starts and stops tasks; returns the starts that were refused.
    pub fn start(&mut self, ask: &StartAsk) -> Vec<EndItem> {
        let mut refused = vec![];
        for item in &ask.start {
            let key = (item.task.clone(), item.attempt);
            if self.runs.contains_key(&key) {
                continue;
            }
            let room = self
                .reservations
                .get(&key)
                .is_some_and(|(w, s, _)| *w == item.worker && *s == item.size);
            if !room || self.stopped.contains(&key) {
                refused.push(end_item(item, TaskState::Lost));
                continue;
            }
            assert!(!self.starts.contains(&key), "OneName: {key:?} was started before");
            self.reservations.remove(&key);
            let other = self.runs.keys().find(|(t, _)| *t == item.task);
            assert!(other.is_none(), "OneAttempt: {key:?} beside {other:?}");
            self.starts.push(key.clone());
            self.unacknowledged
                .insert(key.clone(), (item.bucket, end_item(item, TaskState::Running)));
            self.runs.insert(key, item.clone());
        }
        for item in &ask.stop {
            let key = (item.task.clone(), item.attempt);
            self.stopped.insert(key.clone());
            let state = match self.runs.contains_key(&key) {
                true => TaskState::Checkpointed,
                false => TaskState::Lost,
            };
            match self.unacknowledged.get(&key) {
                Some((_, e)) if e.state != TaskState::Running => {}
                _ => self.end_run(item, state),
            }
        }
        refused
    }

    /// Ends the running attempt of a task with this state.
    pub fn end(&mut self, task: &TaskId, state: TaskState) {
        let run = self.runs.iter().find(|((t, _), _)| t == task).map(|(_, r)| r.clone());
        if let Some(run) = run {
            self.end_run(&run, state);
        }
    }

    /// Ends the running attempt of a task without reporting the end.
    pub fn end_unreported(&mut self, task: &TaskId) {
        self.end(task, TaskState::Lost);
        self.unacknowledged.retain(|(t, _), _| t != task);
    }

    pub fn end_all(&mut self) {
        let runs: Vec<StartItem> = self.runs.values().cloned().collect();
        runs.iter().for_each(|run| self.end_run(run, TaskState::Ended));
    }

    fn end_run(&mut self, item: &StartItem, state: TaskState) {
        let key = (item.task.clone(), item.attempt);
        self.drop_reservation(&key);
        if self.runs.remove(&key).is_some() {
            let free = self.free.get_mut(&item.worker).expect("a worker");
            *free += item.size;
        }
        self.unacknowledged.insert(key, (item.bucket, end_item(item, state)));
    }

    /// The states of attempts that the bucket's owner has not acknowledged yet.
    pub fn unacknowledged_ends(&self) -> Vec<(Bucket, EndItem)> {
        self.unacknowledged.values().cloned().collect()
    }

    pub fn acknowledge(&mut self, items: &[EndItem]) {
        for item in items {
            let key = (item.task.clone(), item.attempt);
            if self.unacknowledged.get(&key).is_some_and(|(_, e)| e.state == item.state) {
                self.unacknowledged.remove(&key);
            }
        }
    }

    /// Answers a probe, with the states of the attempts that it asks for alone.
    pub fn probe(&self, ask: &ProbeAsk) -> ProbeReply {
        let workers: BTreeSet<&WorkerId> = ask.items.iter().map(|i| &i.worker).collect();
        let asked = |(task, attempt): &AttemptKey| {
            ask.items.iter().any(|i| i.task == *task && i.attempt == *attempt)
        };
        let row = |w: &WorkerId| {
            let here = self.runs.iter().filter(|(key, r)| r.worker == *w && asked(key));
            let tasks = here.map(|((task, attempt), r)| TaskReport {
                attempt: *attempt,
                state: TaskState::Running,
                task: task.clone(),
                used: r.size,
            });
            ProbeRow { age: Some(0), cut: None, tasks: tasks.collect(), worker: w.clone() }
        };
        ProbeReply { rows: workers.into_iter().map(row).collect() }
    }

    fn drop_reservation(&mut self, key: &AttemptKey) {
        if let Some((worker, size, _)) = self.reservations.remove(key) {
            *self.free.get_mut(&worker).expect("a worker") += size;
        }
    }

    fn allocate(&mut self, worker: &WorkerId, size: Size) {
        let free = self.free.get_mut(worker).expect("a worker");
        *free = free.checked_sub(&size).expect("NoOvercommit");
    }
}

fn end_item(item: &StartItem, state: TaskState) -> EndItem {
    EndItem {
        attempt: item.attempt,
        state,
        task: item.task.clone(),
        used: None,
        worker: item.worker.clone(),
    }
}
