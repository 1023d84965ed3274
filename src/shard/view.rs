//! A shard as its owner shows it to operators: its customers, pools and workers.
//!
//! A view is computed when it is requested, by one pass over the waiting steps and the workers, and
//! has a bounded size.

use {
    crate::{
        customers::cap_from,
        decide::health::Verdict,
        ids::{CustomerId, Incarnation, PoolId, WorkerId},
        shard::{
            customer_cap::CustomerNo, logging::MIN_SILENT_CALLS, record::ShardNo,
            state_machine::Shard, workers::Worker,
        },
        time::{Time, millis},
        units::{Accels, Cores, Memory, Size},
    },
    derive_more::Display,
    rustc_hash::FxHashMap,
    serde::{Deserialize, Serialize},
    std::{cmp::Reverse, collections::BTreeMap},
};

/// The maximum number of customers in a view; the largest planned deployment has 310.
pub const MAX_CUSTOMERS: usize = 400;
/// The maximum number of workers in a view; a shard is laid out for up to 400.
pub const MAX_WORKERS: usize = 500;

/// What a member shows of the shards that it owns.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MemberView {
    /// The member's process.
    pub member: Incarnation,
    /// The name of the member's machine.
    pub node: Box<str>,
    /// The number of shards of the deployment; 0 if the member doesn't know it yet.
    pub shard_count: u16,
    /// The shards that the member owns.
    pub shards: Vec<ShardView>,
}

/// What the owner of a shard shows of it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShardView {
    /// The shard.
    pub shard: ShardNo,
    /// The owner's token, which is higher than that of any earlier owner.
    pub token: u64,
    /// Whether the owner's lease is certain, so that no other member owns the shard.
    pub certain: bool,
    /// The version of the configuration that the owner uses.
    pub version: u64,
    /// The number of jobs that are not over.
    pub jobs: usize,
    /// The number of tasks that could start and wait.
    pub waiting_tasks: u64,
    /// The customers, those that wait longest first.
    pub customers: Vec<CustomerView>,
    /// The number of customers beyond [`MAX_CUSTOMERS`].
    pub omitted_customers: usize,
    /// The pools, from all workers.
    pub pools: Vec<PoolView>,
    /// The workers, those in the worst state first.
    pub workers: Vec<WorkerView>,
    /// The number of workers beyond [`MAX_WORKERS`].
    pub omitted_workers: usize,
}

/// How a customer stands in a shard.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct CustomerView {
    /// The customer.
    pub name: CustomerId,
    /// What the customer has running, or may have running, in the shard.
    pub running: Size,
    /// The most that the customer may have running over all shards.
    pub cap: Limits,
    /// The part of the cap that the shard has.
    pub allotted: Limits,
    /// The customer's weight; none if the configuration in force does not list the customer.
    pub weight: Option<f64>,
    /// The share that the customer holds over all shards that the owner hears from, as a fraction of
    /// the capacity.
    pub share: f64,
    /// The share to which the customer is entitled, as a fraction of the same capacity.
    pub entitled_share: f64,
    /// The number of tasks that could start and wait, for whatever reason.
    pub waiting_tasks: u64,
    /// What these tasks need.
    pub waiting: Size,
    /// The part of that need that the cap kept from starting in the last round.
    pub capped: Size,
    /// How long the first of these tasks has been ready, in milliseconds.
    pub longest_wait_ms: u64,
}

/// The limits of a cap; no limit where it is absent.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Limits {
    /// Processors, in thousandths of a core.
    pub cores: Option<Cores>,
    /// Memory, in mebibytes.
    pub memory: Option<Memory>,
    /// Accelerators.
    pub accels: Option<Accels>,
}

/// The workers of one pool in a shard.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PoolView {
    /// The pool.
    pub pool: PoolId,
    /// The number of workers.
    pub workers: usize,
    /// The number of workers that are not in the state [`WorkerState::Sound`].
    pub unsound: usize,
    /// The resources in use.
    pub used: Size,
    /// The resources of all workers.
    pub capacity: Size,
}

/// A worker of a shard.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct WorkerView {
    /// The worker.
    pub id: WorkerId,
    /// The worker's pool; none if the worker is not listed.
    pub pool: Option<PoolId>,
    /// The worker's first label, by which the kinds of workers of a pool are told apart.
    pub kind: Box<str>,
    /// Whether the worker can take tasks.
    pub state: WorkerState,
    /// Whether the worker is quarantined, whatever its state.
    pub quarantined: bool,
    /// The number of its runs.
    pub runs: usize,
    /// The resources that its runs use.
    pub used: Size,
    /// Its resources; none if the worker is not listed.
    pub capacity: Size,
    /// The time since its last answer in milliseconds, if it has answered this owner.
    pub heard_ms: Option<u64>,
}

/// Whether a worker can take tasks. Of several states that apply, a worker is in the first.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum WorkerState {
    /// The worker does not answer.
    #[display("silent")]
    Silent,
    /// The worker has not answered this owner yet.
    #[display("unheard")]
    Unheard,
    /// The list of workers does not contain the worker.
    #[display("unlisted")]
    Unlisted,
    /// The worker gets probes only, as tasks have failed or been slow on it.
    #[display("quarantined")]
    Quarantined,
    /// The worker is about to shut down.
    #[display("leaving")]
    Leaving,
    /// The worker is being emptied for upkeep.
    #[display("draining")]
    Draining,
    /// The worker gets tasks only if no sound worker has room.
    #[display("suspect")]
    Suspect,
    /// The worker can take any task.
    #[display("sound")]
    Sound,
}

impl From<&Size> for Limits {
    fn from(cap: &Size) -> Self {
        let none = cap_from(Size::default());
        Limits {
            cores: (cap.cores < none.cores).then_some(cap.cores),
            memory: (cap.memory < none.memory).then_some(cap.memory),
            accels: (cap.accels < none.accels).then_some(cap.accels),
        }
    }
}

impl Limits {
    /// Returns the amounts of `size` where there is a limit. The parts of a cap without limit are
    /// large numbers that mean nothing.
    fn replace(&self, size: &Size) -> Self {
        Limits {
            cores: self.cores.map(|_| size.cores),
            memory: self.memory.map(|_| size.memory),
            accels: self.accels.map(|_| size.accels),
        }
    }
}

/// What waits in a shard for one customer, or for none.
#[derive(Clone, Copy, Default)]
struct WaitingSum {
    tasks: u64,
    size: Size,
    longest_wait_ms: u64,
}

impl WaitingSum {
    fn add(&mut self, tasks: u64, each: Size, wait_ms: u64) {
        self.tasks += tasks;
        self.size = self.size.saturating_add(&each.times(tasks));
        self.longest_wait_ms = self.longest_wait_ms.max(wait_ms);
    }
}

impl Shard {
    /// Returns what operators see of the shard.
    pub fn view(&self, now: Time) -> ShardView {
        let waiting = self.waiting_by_customer(now);
        let mut customers = self.customer_views(&waiting, now);
        let omitted_customers = customers.len().saturating_sub(MAX_CUSTOMERS);
        customers.truncate(MAX_CUSTOMERS);
        let mut workers: Vec<WorkerView> =
            self.workers.iter().filter(|w| !w.gone).map(|w| worker_view(w, now)).collect();
        workers.sort_by(|a, b| (a.state, &a.id).cmp(&(b.state, &b.id)));
        let pools = pool_views(&workers);
        let omitted_workers = workers.len().saturating_sub(MAX_WORKERS);
        workers.truncate(MAX_WORKERS);
        ShardView {
            shard: self.setup.shard,
            token: self.setup.token,
            certain: self.may_report(now),
            version: self.queues.version,
            jobs: self.jobs.len(),
            waiting_tasks: waiting.values().map(|w| w.tasks).sum(),
            customers,
            omitted_customers,
            pools,
            workers,
            omitted_workers,
        }
    }

    /// Returns the waiting tasks of each customer, and of jobs without a customer.
    fn waiting_by_customer(&self, now: Time) -> FxHashMap<Option<CustomerNo>, WaitingSum> {
        let mut sums = FxHashMap::<_, WaitingSum>::default();
        for key in self.ranks.keys() {
            let Some(job) = self.jobs.get(&key.job) else { continue };
            let (Some(step), Some(state)) = (job.step(key), self.step_state(key)) else { continue };
            let wait_ms = state.ready_since.map_or(0, |since| millis(now - since));
            let sum = sums.entry(job.customer).or_default();
            sum.add(state.waiting_count.into(), step.size, wait_ms);
        }
        sums
    }

    fn customer_views(
        &self,
        waiting: &FxHashMap<Option<CustomerNo>, WaitingSum>,
        now: Time,
    ) -> Vec<CustomerView> {
        let listed = self.queues.customers.as_ref();
        let view = |usage: crate::shard::CustomerUsage| {
            let no = self.caps.numbers.get(&usage.name).copied();
            let sum = no.and_then(|no| waiting.get(&Some(no))).copied().unwrap_or_default();
            CustomerView {
                running: usage.in_use,
                cap: (&usage.cap).into(),
                allotted: Limits::from(&usage.cap).replace(&usage.allotted),
                weight: listed.and_then(|c| c.get(&usage.name)).map(|c| c.weight),
                share: usage.share,
                entitled_share: usage.entitled_share,
                waiting_tasks: sum.tasks,
                waiting: sum.size,
                capped: usage.waiting,
                longest_wait_ms: sum.longest_wait_ms,
                name: usage.name,
            }
        };
        let mut all: Vec<CustomerView> = self.customer_usage(now).into_iter().map(view).collect();
        all.sort_by(|a, b| {
            let key = |c: &CustomerView| Reverse((c.longest_wait_ms, c.running.cores));
            (key(a), &a.name).cmp(&(key(b), &b.name))
        });
        all
    }
}

fn worker_view(worker: &Worker, now: Time) -> WorkerView {
    let verdict = worker.health.verdict(now);
    let quarantined = matches!(verdict, Verdict::Quarantined { .. });
    let listed = worker.list_entry.as_ref();
    let state = match verdict {
        _ if worker.unanswered_calls >= MIN_SILENT_CALLS => WorkerState::Silent,
        _ if !worker.fenced => WorkerState::Unheard,
        _ if listed.is_none() => WorkerState::Unlisted,
        Verdict::Quarantined { .. } => WorkerState::Quarantined,
        _ if worker.leaves_at.is_some() => WorkerState::Leaving,
        _ if worker.is_draining() => WorkerState::Draining,
        Verdict::Suspect => WorkerState::Suspect,
        Verdict::Sound => WorkerState::Sound,
    };
    WorkerView {
        id: worker.id.clone(),
        pool: worker.pool().cloned(),
        kind: listed.and_then(|l| l.labels.first()).cloned().unwrap_or_default(),
        state,
        quarantined,
        runs: worker.runs.len(),
        used: worker.used,
        capacity: listed.map(|l| l.capacity).unwrap_or_default(),
        heard_ms: worker.last_answer.map(|at| millis(now - at)),
    }
}

/// Returns the sums over the listed workers of each pool.
fn pool_views(workers: &[WorkerView]) -> Vec<PoolView> {
    let mut pools = BTreeMap::<&PoolId, PoolView>::new();
    for worker in workers {
        let Some(pool) = &worker.pool else { continue };
        let sum = pools.entry(pool).or_insert_with(|| PoolView {
            pool: pool.clone(),
            workers: 0,
            unsound: 0,
            used: Size::default(),
            capacity: Size::default(),
        });
        sum.workers += 1;
        sum.unsound += usize::from(worker.state != WorkerState::Sound);
        sum.used = sum.used.saturating_add(&worker.used);
        sum.capacity = sum.capacity.saturating_add(&worker.capacity);
    }
    pools.into_values().collect()
}
