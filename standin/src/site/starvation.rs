//! The judge's rule for the shares of customers: no customer with work starves while another is above
//! its share.

use {
    crate::site::{
        judge::{Rules, Verdict},
        worker::World,
    },
    dogwoodreach::{
        Time,
        ids::{CustomerId, PoolId},
        units::Size,
        work::{JobNo, TaskKey},
    },
    std::{
        collections::{BTreeMap, BTreeSet},
        time::Duration,
    },
};

/// The longest time for which a customer may starve. Time while an unplanned fault is active doesn't count.
const MAX_STARVATION: Duration = Duration::from_secs(10);
/// Interval between two checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// For how long each customer has starved in a pool.
///
/// A customer starves in a pool if it has a task there that could start, nothing of it runs there, and
/// its share of all workers is below its weight's part among the customers with work, while the share
/// of another customer with runs in the pool is above that customer's part.
#[derive(Default)]
pub struct Starvation {
    next: Time,
    last: Time,
    /// The weights of customers; the rule applies only to these.
    weights: BTreeMap<CustomerId, f64>,
    starved: BTreeMap<(CustomerId, PoolId), Duration>,
}

/// What a customer has in one pool.
#[derive(Default)]
struct Standing {
    running: bool,
    ready: Option<TaskKey>,
}

impl Starvation {
    /// Sets the weight of a customer.
    pub fn set_weight(&mut self, customer: &CustomerId, weight: f64) {
        self.weights.insert(customer.clone(), weight);
    }

    /// Returns the text of the breach if a customer starves for too long. `undisturbed` says whether
    /// the time since the last check counts, and `open` returns the tasks of a job that are ready to
    /// start and that the cap of its customer allows.
    pub fn overdue(
        &mut self,
        world: &World,
        undisturbed: bool,
        open: impl Fn(JobNo) -> Vec<TaskKey>,
    ) -> Option<String> {
        let now = world.now;
        if self.weights.is_empty() || now < self.next {
            return None;
        }
        let elapsed = now.since(self.last).min(2 * CHECK_INTERVAL);
        (self.next, self.last) = (now + CHECK_INTERVAL, now);
        let standings = self.standings(world, open);
        let busy: BTreeSet<&CustomerId> = standings.keys().map(|(c, _)| c).collect();
        let sum: f64 = busy.iter().filter_map(|c| self.weights.get(c)).sum();
        let part =
            |c: &CustomerId| self.weights.get(c).map_or(0.0, |w| w / sum.max(f64::MIN_POSITIVE));
        let shares = shares(world);
        let share = |c: &CustomerId| shares.get(c).copied().unwrap_or(0.0);
        let mut starved = BTreeMap::new();
        for ((customer, pool), standing) in &standings {
            let Some(task) = standing.ready.filter(|_| !standing.running) else { continue };
            let above = standings.iter().find(|((other, p), s)| {
                p == pool && s.running && other != customer && share(other) > part(other)
            });
            let Some(((other, _), _)) = above else { continue };
            if share(customer) >= part(customer) {
                continue;
            }
            let key = (customer.clone(), pool.clone());
            let before = self.starved.get(&key).copied().unwrap_or_default();
            let time = before + if undisturbed { elapsed } else { Duration::ZERO };
            if time > MAX_STARVATION {
                return Some(format!(
                    "{task} is ready, and customer {customer} has had nothing running in pool {pool} for {:.1} s without faults, with {:.2} of all workers and a part of {:.2}; customer {other} has {:.2} and a part of {:.2}",
                    time.as_secs_f64(),
                    share(customer),
                    part(customer),
                    share(other),
                    part(other),
                ));
            }
            starved.insert(key, time);
        }
        self.starved = starved;
        None
    }

    /// Returns what each customer has running and ready in each pool.
    fn standings(
        &self,
        world: &World,
        open: impl Fn(JobNo) -> Vec<TaskKey>,
    ) -> BTreeMap<(CustomerId, PoolId), Standing> {
        let mut all = BTreeMap::<_, Standing>::new();
        let customer = |no: JobNo| world.jobs.get(&no)?.customer.clone();
        for (w, run) in world.workers.iter().flat_map(|w| w.runs.iter().map(move |r| (w, r))) {
            if let Some(customer) = customer(run.start.task.step.job) {
                all.entry((customer, w.pool.clone())).or_default().running = true;
            }
        }
        for no in world.jobs.keys() {
            let pools = world.pools(*no);
            // A job whose queue has moved waits in a pool that the judge doesn't know.
            let (Some(customer), Some(pool), 1) = (customer(*no), pools.first(), pools.len())
            else {
                continue;
            };
            let key = (customer, PoolId::clone(pool));
            if all.get(&key).is_some_and(|s| s.running || s.ready.is_some()) {
                continue;
            }
            if let Some(task) = open(*no).into_iter().find(|t| world.may_run(*t)) {
                all.entry(key).or_default().ready = Some(task);
            }
        }
        all
    }
}

/// Returns each customer's part of all workers, in the resource of which it has the largest part.
fn shares(world: &World) -> BTreeMap<CustomerId, f64> {
    let up = world.workers.iter().filter(|w| w.up);
    let total = up.fold(Size::default(), |sum, w| sum + w.size);
    let mut used = BTreeMap::<CustomerId, Size>::new();
    for run in world.workers.iter().flat_map(|w| &w.runs) {
        let key = run.start.task.step;
        let customer = world.jobs.get(&key.job).and_then(|j| j.customer.clone());
        let (Some(customer), Some(step)) = (customer, world.step(key)) else { continue };
        *used.entry(customer).or_default() += step.reserved();
    }
    let part = |used: u64, total: u64| if total == 0 { 0.0 } else { used as f64 / total as f64 };
    let dominant = |used: &Size| {
        let cores = part(used.cores.0, total.cores.0);
        let memory = part(used.memory.0, total.memory.0);
        cores.max(memory).max(part(used.accels.0, total.accels.0))
    };
    used.iter().map(|(customer, used)| (customer.clone(), dominant(used))).collect()
}

impl Rules {
    /// Checks that no customer with work starves while another is above its share.
    pub(super) fn check_starving(&mut self, world: &World) -> Verdict {
        if !self.time_rules {
            return Ok(());
        }
        let mut starvation = std::mem::take(&mut self.starvation);
        let undisturbed = self.disturbed_until <= world.now;
        let text = starvation.overdue(world, undisturbed, |no| self.ready_tasks(world, no));
        self.starvation = starvation;
        text.map_or(Ok(()), |text| self.breach(world.now, text))
    }
}

impl World {
    /// Whether a task is entitled to capacity, and some worker of its pool is large enough for it and
    /// has its label. Fillers only use what other tasks leave free.
    fn may_run(&self, task: TaskKey) -> bool {
        let Some(step) = self.step(task.step) else { return false };
        let fits_in = |pool: &PoolId| {
            self.workers.iter().any(|w| {
                let labelled = step.needs.as_ref().is_none_or(|l| w.labels.contains(l));
                w.up && w.pool == *pool && labelled && step.reserved().fits(&w.size)
            })
        };
        !step.fills && self.pools(task.step.job).into_iter().all(fits_in)
    }
}
