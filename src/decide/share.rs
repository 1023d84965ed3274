//! Decides which customers hold more of a pool than their share, and in which order that puts their
//! work.
//!
//! Load: 20 to 310 customers, a few of them large, whose work together exceeds a pool for minutes.
//! In one order for all, a customer that sends several times its usual work takes capacity in
//! proportion to what it sends, and the jobs of all others become late with its own.
//!
//! While work waits for a pool, its customers share it by weight (weighted max-min fairness over
//! dominant shares). A customer's share is the largest fraction of the total capacity that its runs
//! hold in any resource, over all shards and pools. What is divided in a pool is the sum of what its
//! customers hold there, rather than its capacity: whatever gangs, labels or faults leave unused, one
//! customer is below its entitled share only if another is above. What a customer holds in other
//! pools counts first. Nobody is entitled to more than its runs and its waiting work need.
//!
//! A customer that was kept below its entitled share may exceed it for a while. This credit is at
//! most a quarter of the entitled share and halves every 2 s, so that hours without capacity are not
//! made up for at the expense of the others.

use {
    crate::{Time, units::Size},
    std::time::Duration,
};

/// Relative amount by which a customer must exceed its entitled share to count as above it, against
/// rounding errors. With a margin of 5%, one task of a small customer waited behind the many of a
/// customer that held all other capacity.
const MARGIN: f64 = 1e-9;
/// Time below the entitled share that gives as much credit as was lacking. Runs of the most frequent
/// kinds take 0.7 s to 4.5 s, so capacity returns to a customer within about that time.
const CREDIT_TIME: Duration = Duration::from_secs(2);
/// Divisor of the largest excess over a share that gives the excess which counts.
const TOLERANCE_DIVISOR: f64 = 2.0;
/// Maximum credit, relative to the entitled share.
const MAX_CREDIT: f64 = 0.25;
/// Half-life of credit.
const CREDIT_HALF_LIFE: Duration = Duration::from_secs(2);
/// Maximum time between two updates that counts for credit: the owner knows nothing of the time for
/// which it was suspended.
const MAX_UPDATE_TIME: Duration = Duration::from_secs(1);
/// Number of bisections by which the level of a pool is found. The error is far below one task also
/// for weights that differ by `MAX_WEIGHT`.
const LEVEL_STEPS: u32 = 64;
/// Maximum weight of a customer, so that sums stay finite.
const MAX_WEIGHT: f64 = 1e9;
/// Weight of a customer for which the configuration has none: that of an entry without a weight.
pub const DEFAULT_WEIGHT: f64 = 1.0;

/// What a customer's standing changes in the order of its steps.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Standing {
    /// Whether the job was submitted beyond the customer's quota of jobs.
    pub over_quota: bool,
    /// Whether the customer holds more than its entitled share of the step's pool.
    pub above_share: bool,
}

/// What a customer has in one pool, over all shards.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Holding {
    /// What its runs hold.
    pub running: Size,
    /// What its waiting tasks need.
    pub waiting: Size,
}

/// What a customer has in all pools.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Claim {
    /// The customer's weight.
    pub weight: f64,
    /// The most that the customer may have running.
    pub cap: Size,
    /// What it has in each pool; pools at the end in which it has nothing may be left out.
    pub pools: Vec<Holding>,
}

/// The shares of all customers, by the indices of the customers and pools.
#[derive(Clone, Debug, Default)]
pub struct Shares {
    capacity: Size,
    customers: Vec<CustomerShares>,
    updated_at: Option<Time>,
}

#[derive(Clone, Debug, Default)]
struct CustomerShares {
    share: f64,
    entitled: f64,
    pools: Vec<PoolShare>,
}

/// A customer's share of one pool, as a fraction of the total capacity.
#[derive(Clone, Copy, Debug, Default)]
struct PoolShare {
    running: Size,
    entitled: f64,
    /// What the customer may hold before it is above its share, whatever it needs.
    limit: f64,
    credit: f64,
    /// How far beyond that it may be, as others are further.
    tolerance: f64,
    /// Whether work of any customer waits for the pool.
    contended: bool,
    above: bool,
}

/// One customer's part in the division of a pool.
struct Part {
    customer: usize,
    weight: f64,
    /// What the customer holds in other pools.
    elsewhere: f64,
    /// What it holds in this pool.
    share: f64,
    /// What it holds and could use beyond that.
    demand: f64,
}

impl Shares {
    /// Divides the pools anew among the customers.
    ///
    /// Takes time in proportion to the numbers of customers and pools; it is to be called a few
    /// times per second.
    pub fn update(&mut self, claims: &[Claim], capacity: Size, now: Time) {
        let elapsed = self.updated_at.map_or(Duration::ZERO, |at| now.since(at));
        let elapsed = elapsed.min(MAX_UPDATE_TIME);
        (self.updated_at, self.capacity) = (Some(now), capacity);
        self.customers.resize_with(claims.len(), CustomerShares::default);
        let total = |c: &Claim| {
            c.pools.iter().fold(Size::default(), |sum, p| sum.saturating_add(&p.running))
        };
        let totals: Vec<Size> = claims.iter().map(total).collect();
        for (customer, total) in self.customers.iter_mut().zip(&totals) {
            (customer.share, customer.entitled) = (dominant(total, &capacity), 0.0);
        }
        // A pool in which nobody has anything any more is updated as well, so that nobody stays above
        // its share of it.
        let known = self.customers.iter().map(|c| c.pools.len());
        let pool_count = claims.iter().map(|c| c.pools.len()).chain(known).max().unwrap_or(0);
        for pool in 0..pool_count {
            let contended =
                claims.iter().any(|c| c.pools.get(pool).is_some_and(|p| wants_more(&p.waiting)));
            let parts: Vec<Part> = (0..claims.len())
                .map(|no| part(no, &claims[no], pool, &totals[no], &capacity))
                .collect();
            let level = level(&parts);
            for part in &parts {
                let customer = &mut self.customers[part.customer];
                if customer.pools.len() <= pool {
                    customer.pools.resize_with(pool + 1, PoolShare::default);
                }
                let known = &mut customer.pools[pool];
                let holding = claims[part.customer].pools.get(pool);
                known.running = holding.map(|h| h.running).unwrap_or_default();
                (known.limit, known.entitled) = (part.limit(level), part.entitled(level));
                known.update_credit(part.share, elapsed);
                customer.entitled += known.entitled;
            }
            self.mark_above(&parts, pool, contended);
        }
    }

    /// Decides which customers are above their share of a pool: those that hold at least half as much
    /// beyond it as the one that holds most beyond it.
    ///
    /// Guards against random variation. With twenty customers near their share, half of them hold a
    /// task too many at any time. They would all be ordered with the one customer that holds three
    /// times its share, and behind its older jobs.
    fn mark_above(&mut self, parts: &[Part], pool: usize, contended: bool) {
        let all = parts.iter().map(|p| p.share - self.customers[p.customer].pools[pool].allowed());
        let tolerance = all.fold(0.0, f64::max) / TOLERANCE_DIVISOR;
        for part in parts {
            let known = &mut self.customers[part.customer].pools[pool];
            (known.contended, known.tolerance) = (contended, tolerance);
            known.above = contended && known.exceeds(part.share);
        }
    }

    /// Counts a start; returns whether the customer is above its share of the pool from now on.
    pub fn record_start(&mut self, customer: usize, pool: usize, size: &Size) -> bool {
        let capacity = self.capacity;
        let Some(known) = self.pool_share(customer, pool) else { return false };
        known.running = known.running.saturating_add(size);
        if known.above || !known.contended || !known.exceeds(dominant(&known.running, &capacity)) {
            return false;
        }
        known.above = true;
        true
    }

    /// Counts the end of a run. Whether the customer is above its share changes only with the next
    /// [`Self::update`], so that its steps are not reordered with each start and end.
    pub fn record_end(&mut self, customer: usize, pool: usize, size: &Size) {
        if let Some(known) = self.pool_share(customer, pool) {
            known.running = known.running.saturating_sub(size);
        }
    }

    /// Returns whether a customer is above its share of a pool for which work waits.
    pub fn is_above(&self, customer: usize, pool: usize) -> bool {
        let known = self.customers.get(customer).and_then(|c| c.pools.get(pool));
        known.is_some_and(|p| p.above)
    }

    /// Returns whether a customer is above its share of any pool.
    pub fn is_above_anywhere(&self, customer: usize) -> bool {
        self.customers.get(customer).is_some_and(|c| c.pools.iter().any(|p| p.above))
    }

    /// Returns the share that a customer held at the last update and the one to which it was
    /// entitled, over all pools, as fractions of the total capacity.
    pub fn share(&self, customer: usize) -> (f64, f64) {
        self.customers.get(customer).map_or((0.0, 0.0), |c| (c.share, c.entitled))
    }

    fn pool_share(&mut self, customer: usize, pool: usize) -> Option<&mut PoolShare> {
        self.customers.get_mut(customer)?.pools.get_mut(pool)
    }
}

impl PoolShare {
    fn update_credit(&mut self, share: f64, elapsed: Duration) {
        let decay = 0.5_f64.powf(elapsed.as_secs_f64() / CREDIT_HALF_LIFE.as_secs_f64());
        let gained = (self.entitled - share) * elapsed.as_secs_f64() / CREDIT_TIME.as_secs_f64();
        self.credit = (self.credit * decay + gained).clamp(0.0, self.entitled * MAX_CREDIT);
    }

    /// Returns what the customer may hold before it is above its share.
    fn allowed(&self) -> f64 {
        self.limit * (1.0 + MARGIN) + self.credit
    }

    /// Returns whether a share of the pool is more than the customer may have, and more than others
    /// have beyond theirs.
    ///
    /// What the customer needs does not matter: it may need more since the last update, and its new
    /// jobs would be ordered behind those of customers that hold far more.
    fn exceeds(&self, share: f64) -> bool {
        share > self.allowed() + self.tolerance
    }
}

impl Part {
    fn limit(&self, level: f64) -> f64 {
        (level * self.weight - self.elsewhere).max(0.0)
    }

    fn entitled(&self, level: f64) -> f64 {
        self.limit(level).min(self.demand)
    }
}

fn part(no: usize, claim: &Claim, pool: usize, total: &Size, capacity: &Size) -> Part {
    let held = claim.pools.get(pool).copied().unwrap_or_default();
    let under_cap = claim.cap.saturating_sub(total);
    let usable = held.waiting.saturating_sub(&held.waiting.saturating_sub(&under_cap));
    Part {
        customer: no,
        weight: if claim.weight > 0.0 { claim.weight.min(MAX_WEIGHT) } else { 0.0 },
        elsewhere: dominant(&total.saturating_sub(&held.running), capacity),
        share: dominant(&held.running, capacity),
        demand: dominant(&held.running.saturating_add(&usable), capacity),
    }
}

/// Returns the level to which the parts of a pool are filled: the share per unit of weight up to
/// which customers may hold, so that they hold together what they hold now.
fn level(parts: &[Part]) -> f64 {
    let held: f64 = parts.iter().map(|p| p.share).sum();
    let weighted = parts.iter().filter(|p| p.weight > 0.0);
    let mut high = weighted.map(|p| (p.elsewhere + p.demand) / p.weight).fold(0.0, f64::max);
    let mut low = 0.0;
    for _ in 0..LEVEL_STEPS {
        let middle = (low + high) / 2.0;
        let filled: f64 = parts.iter().map(|p| p.entitled(middle)).sum();
        if filled < held {
            low = middle;
        } else {
            high = middle;
        }
    }
    high
}

/// Returns the largest fraction of the capacity that a size takes in any resource.
fn dominant(size: &Size, capacity: &Size) -> f64 {
    let fraction = |used: u64, all: u64| if all == 0 { 0.0 } else { used as f64 / all as f64 };
    fraction(size.cores.0, capacity.cores.0)
        .max(fraction(size.memory.0, capacity.memory.0))
        .max(fraction(size.accels.0, capacity.accels.0))
}

fn wants_more(waiting: &Size) -> bool {
    *waiting != Size::default()
}
