//! Checks that customers stay within their caps.

use {
    crate::site::worker::World,
    dogwoodreach::{
        Time,
        ids::CustomerId,
        ports::Start,
        units::Size,
        work::{JobNo, Step},
    },
    std::{collections::BTreeMap, time::Duration},
};

/// Time for which a cap that was replaced may still be in force.
const CONFIG_LAG: Duration = Duration::from_secs(3);
/// Time after which a delayed order is no longer carried out.
const MAX_ORDER_DELAY: Duration = Duration::from_secs(15);

/// The caps of customers over time, and what they have running outside of the simulated shard.
#[derive(Default)]
pub struct Caps {
    /// The caps of each customer, each with the time at which it came into force.
    history: BTreeMap<CustomerId, Vec<(Time, Size)>>,
    /// What each customer has running in other shards.
    pub elsewhere: BTreeMap<CustomerId, Size>,
    /// Until this time, every start may have been ordered long before.
    delayed_until: Time,
}

impl Caps {
    /// Records that a cap is in force from now on.
    pub fn set(&mut self, customer: &CustomerId, cap: Size, now: Time) {
        self.history.entry(customer.clone()).or_default().push((now, cap));
    }

    /// Records that a fault now delays orders; see `Fault::delays_orders`.
    pub fn record_delay(&mut self, now: Time) {
        self.delayed_until = self.delayed_until.max(now + MAX_ORDER_DELAY);
    }

    /// Returns the highest cap that may have been in force within `lag` before `now`; `None` if the
    /// customer has none.
    fn highest(&self, customer: &CustomerId, lag: Duration, now: Time) -> Option<Size> {
        let all = self.history.get(customer)?;
        let replaced_at = all.iter().skip(1).map(|c| c.0).chain([Time::NEVER]);
        let recent = all.iter().zip(replaced_at).filter(|(_, end)| *end + lag >= now);
        recent.map(|((_, cap), _)| *cap).reduce(|a, b| a.max(&b))
    }

    /// Returns what a customer has running over all workers and shards.
    pub fn in_use(&self, world: &World, customer: &CustomerId) -> Size {
        let runs = world.workers.iter().flat_map(|w| &w.runs);
        let mine = runs.filter(|r| {
            let job = world.jobs.get(&r.start.task.step.job);
            job.is_some_and(|j| j.customer.as_ref() == Some(customer))
        });
        let sizes = mine.filter_map(|r| world.step(r.start.task.step)).map(|s| s.size);
        sizes.fold(self.elsewhere.get(customer).copied().unwrap_or_default(), |sum, s| sum + s)
    }

    /// Returns whether the customer of a job has less than half of its cap running, or has no cap.
    pub fn is_below_half(&self, world: &World, job: JobNo) -> bool {
        let Some(customer) = world.jobs.get(&job).and_then(|j| j.customer.as_ref()) else {
            return true;
        };
        let Some((_, cap)) = self.history.get(customer).and_then(|all| all.last()) else {
            return true;
        };
        self.in_use(world, customer).times(2).fits(cap)
    }

    /// Returns whether the customer of a job would stay within its cap if a step of the job started:
    /// one task, or a whole gang.
    pub fn fits_cap(&self, world: &World, job: JobNo, step: &Step) -> bool {
        let Some(customer) = world.jobs.get(&job).and_then(|j| j.customer.as_ref()) else {
            return true;
        };
        let Some((_, cap)) = self.history.get(customer).and_then(|all| all.last()) else {
            return true;
        };
        let count = if step.gang { step.count.into() } else { 1 };
        (self.in_use(world, customer) + step.size.times(count)).fits(cap)
    }

    /// Returns what is wrong with a start that has just happened: it brings its customer over its
    /// cap. An order that was or may have been carried out late counts by the caps of the time of the
    /// order.
    pub fn excess_start(
        &self,
        world: &World,
        start: &Start,
        late: bool,
        now: Time,
    ) -> Option<String> {
        let customer = world.jobs.get(&start.task.step.job)?.customer.as_ref()?;
        let late = late || now < self.delayed_until;
        let lag = if late { CONFIG_LAG + MAX_ORDER_DELAY } else { CONFIG_LAG };
        let cap = self.highest(customer, lag, now)?;
        let used = self.in_use(world, customer);
        let task = start.task;
        (!used.fits(&cap)).then(|| {
            format!(
                "{task} started, and customer {customer} has {used} running, over its cap of {cap}"
            )
        })
    }
}
