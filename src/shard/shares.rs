//! Keeps customers within their shares and quotas: sums what they have running and waiting, exchanges
//! this with the owners of other shards, and ranks their steps. [`crate::decide::share`] and
//! [`crate::decide::arrivals`] have the decisions.
//!
//! Everything here affects the order of starts only, and nothing is stored. Without reports of other
//! owners, a shard decides by its own runs and arrivals.

use {
    crate::{
        customers::cap_text,
        decide::{
            arrivals::{self, Arrival},
            share::{Claim, DEFAULT_WEIGHT, Holding, Standing},
        },
        ids::PoolId,
        shard::{
            customer_cap::CustomerNo,
            event::Order,
            jobs::ActiveJob,
            share_state::{KnownReport, MAX_REPORT_AGE},
            state_machine::Shard,
            usage::{CustomerReport, UsageReport},
            workers::{Run, WorkerNo},
        },
        time::Time,
        units::Size,
        work::{JobNo, Step, StepKey},
    },
    rustc_hash::{FxHashMap, FxHashSet},
    std::{sync::Arc, time::Duration},
};

/// The interval between two reports to other owners. Two reports may be lost before the data is too
/// old.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(500);
/// How long a gang or wide step waits behind the customers below their share. It is the time within
/// which a job must start beside free capacity.
const MAX_SHARE_WAIT: Duration = Duration::from_secs(3);
/// The minimum number of tasks of a wide step: more than quick jobs have.
const WIDE_STEP_TASKS: u32 = 16;
/// The maximum number of customers that are logged at once.
const MAX_LOGGED_CUSTOMERS: usize = 8;

/// Returns the holding of a customer in a pool.
fn holding(claims: &mut [Claim], no: CustomerNo, pool: usize) -> &mut Holding {
    let pools = &mut claims[no.0].pools;
    if pools.len() <= pool {
        pools.resize_with(pool + 1, Holding::default);
    }
    &mut pools[pool]
}

fn is_wide(step: &Step) -> bool {
    step.gang || step.count >= WIDE_STEP_TASKS
}

impl Shard {
    /// Returns whether shares and quotas apply. An empty list is as none.
    fn has_customers(&self) -> bool {
        self.queues.customers.as_ref().is_some_and(|c| c.iter().next().is_some())
    }

    /// Counts the arrival of a customer's job. The clock of the member that accepted the job may be
    /// ahead of the owner's, so that the submission seems to be in the future.
    pub(super) fn record_arrival(
        &mut self,
        customer: CustomerNo,
        submitted_ms: u64,
        now: Time,
    ) -> Arrival {
        let submitted_ms = submitted_ms.min(self.unix_ms(now));
        self.shares.arrivals_of(customer).add(submitted_ms)
    }

    /// Updates whether a job is beyond the quota of its customer. Reports of other owners can change
    /// that while the job waits.
    pub(super) fn update_quota(&mut self, no: JobNo, now: Time) {
        if !self.has_customers() {
            return;
        }
        let known = self.jobs.get(&no).and_then(|j| Some((j.customer?, j.arrival?)));
        let Some((customer, arrival)) = known else { return };
        self.count_arrivals(customer, now);
        let known = self.shares.arrivals.get(customer.0);
        let over = known.and_then(|a| a.is_over_quota(arrival, self.setup.shard.0));
        let (Some(over), Some(job)) = (over, self.jobs.get_mut(&no)) else { return };
        if over && !job.over_quota {
            self.stats.over_quota_jobs += 1;
            log::debug!(target: "shard", did = "over_quota", job:% = no, customer:% = self.caps.customers[customer.0].name; "Job is beyond its customer's quota.");
        }
        job.over_quota = over;
    }

    fn count_arrivals(&mut self, no: CustomerNo, now: Time) {
        let (window, now_ms) = (self.setup.bounds.share_window, self.unix_ms(now));
        let quota = arrivals::quota(self.caps.customers[no.0].weight, window);
        self.shares.arrivals_of(no).count(quota, window, now_ms);
    }

    /// Returns what the customer's standing changes in the rank of a step.
    pub(super) fn standing(&self, job: &ActiveJob, key: &StepKey, pool: &PoolId) -> Standing {
        let Some(no) = job.customer.filter(|_| self.has_customers()) else {
            return Standing::default();
        };
        let pool = self.shares.pools.iter().position(|p| p == pool);
        let above = pool.is_some_and(|p| self.shares.shares.is_above(no.0, p));
        Standing {
            over_quota: job.over_quota,
            above_share: above && !self.shares.exempt.contains(key),
        }
    }

    /// Counts a run that was added to a worker, or that is gone from it, in its customer's share.
    pub(super) fn record_run_share(&mut self, at: WorkerNo, run: &Run, added: bool) {
        let Some(no) = run.customer.filter(|_| self.has_customers()) else { return };
        let known = |pool: &PoolId| self.shares.pools.iter().position(|p| p == pool);
        let Some(pool) = self.workers[at.0].pool().and_then(known) else { return };
        if !added {
            self.shares.shares.record_end(no.0, pool, &run.charge);
        } else if self.shares.shares.record_start(no.0, pool, &run.charge) {
            self.shares.crossed.insert(no);
        }
    }

    /// Ranks the steps of customers again that have come above their share by starts, if a round is
    /// due. A customer comes above its share at most once between two updates of the shares.
    pub(super) fn rerank_crossed(&mut self, now: Time) {
        if self.shares.crossed.is_empty() || !self.round_due || self.next_round > now {
            return;
        }
        let crossed = std::mem::take(&mut self.shares.crossed);
        let jobs = |k: &StepKey| {
            let customer = self.jobs.get(&k.job).and_then(|j| j.customer);
            customer.is_some_and(|c| crossed.contains(&c)).then_some(k.job)
        };
        let jobs: FxHashSet<JobNo> = self.ranks.keys().filter_map(jobs).collect();
        for no in jobs {
            self.update_ready(no, now);
        }
    }

    /// Updates all shares from what the customers have, and reports to other owners if that is due.
    pub(super) fn update_shares(&mut self, now: Time) {
        if !self.has_customers() {
            if !self.shares.reports.is_empty() || !self.shares.exempt.is_empty() {
                (self.shares.reports, self.shares.exempt) = Default::default();
            }
            return;
        }
        let mut claims = self.own_claims(now);
        let pools = self.pools.values().flatten();
        let listed = pools.filter_map(|n| self.workers[n.0].list_entry.as_ref());
        let mut capacity = listed.fold(Size::default(), |sum, l| sum.saturating_add(&l.capacity));
        if self.shares.next_report <= now {
            self.shares.next_report = now + REPORT_INTERVAL;
            let report = self.usage_report(&claims, capacity, now);
            self.orders.push(Order::ReportUsage(Arc::new(report)));
        }
        let unix = self.unix_ms(now);
        for report in self.shares.reports.values().filter(|r| r.is_fresh(unix, now)) {
            // The sizes in a report, and those of steps times their counts, may be the largest ones.
            capacity = capacity.saturating_add(&report.capacity);
            for (no, pool, other) in &report.holdings {
                let known = holding(&mut claims, *no, *pool);
                known.running = known.running.saturating_add(&other.running);
                known.waiting = known.waiting.saturating_add(&other.waiting);
            }
        }
        self.shares.shares.update(&claims, capacity, now);
        self.shares.crossed.clear();
        for no in (0..claims.len()).map(CustomerNo) {
            self.count_arrivals(no, now);
        }
    }

    /// Returns what the customers have in this shard. Work beyond the quotas counts while it runs,
    /// but nobody is entitled to capacity for it.
    fn own_claims(&mut self, now: Time) -> Vec<Claim> {
        let new = |c: &super::customer_cap::CustomerCap| Claim {
            weight: c.weight.unwrap_or(DEFAULT_WEIGHT),
            cap: c.cap,
            pools: vec![],
        };
        let mut claims: Vec<Claim> = self.caps.customers.iter().map(new).collect();
        for pool in self.pools.keys() {
            self.shares.pool_index(pool);
        }
        for worker in self.workers.iter().filter(|w| !w.gone) {
            // Runs at a worker that is not listed hold no capacity that others could use.
            let Some(pool) = worker.pool() else { continue };
            let pool = self.shares.pool_index(pool);
            for (no, charge) in worker.runs.values().filter_map(|r| Some((r.customer?, r.charge))) {
                let known = &mut holding(&mut claims, no, pool).running;
                *known = known.saturating_add(&charge);
            }
        }
        let mut waiting: FxHashSet<JobNo> = FxHashSet::default();
        let mut longest: FxHashMap<(CustomerNo, usize), (Time, StepKey)> = FxHashMap::default();
        self.shares.waiting_jobs.clear();
        self.shares.waiting_jobs.resize(claims.len(), 0);
        for key in self.ranks.keys() {
            let Some(job) = self.jobs.get(&key.job) else { continue };
            let Some(no) = job.customer else { continue };
            if waiting.insert(key.job) {
                self.shares.waiting_jobs[no.0] += 1;
            }
            let (Some(step), Some(state)) =
                (job.step(key), job.step_states.get(&(key.time, key.step)))
            else {
                continue;
            };
            let Some(pool) = job.pool.as_ref().filter(|_| !job.over_quota) else { continue };
            let pool = self.shares.pool_index(pool);
            let known = &mut holding(&mut claims, no, pool).waiting;
            *known = known.saturating_add(&step.size.times(state.waiting_count.into()));
            if let Some(since) = state.ready_since.filter(|t| *t + MAX_SHARE_WAIT <= now)
                && is_wide(step)
            {
                let first = longest.entry((no, pool)).or_insert((since, *key));
                *first = (*first).min((since, *key));
            }
        }
        self.shares.exempt = longest.into_values().map(|(_, key)| key).collect();
        claims
    }

    fn usage_report(&self, claims: &[Claim], capacity: Size, now: Time) -> UsageReport {
        let (at_ms, window) = (self.unix_ms(now), self.setup.bounds.share_window);
        let mut customers = vec![];
        for (no, claim) in claims.iter().enumerate() {
            let has_some = |(_, h): &(usize, &Holding)| **h != Holding::default();
            let held = claim.pools.iter().enumerate().filter(has_some);
            let pools: Vec<_> =
                held.map(|(p, h)| (self.shares.pools[p].clone(), h.running, h.waiting)).collect();
            let arrivals = self.shares.arrivals.get(no).map(|a| a.report(at_ms, window));
            let arrivals = arrivals.unwrap_or_default();
            if !pools.is_empty() || !arrivals.is_empty() {
                let name = self.caps.customers[no].name.clone();
                customers.push(CustomerReport::new(name, &pools, arrivals));
            }
        }
        let (shard, token) = (self.setup.shard, self.setup.token);
        UsageReport { shard, token, at_ms, capacity: capacity.into(), customers }
    }

    /// Takes reports of other shards' owners. Reports that are too old, or older than the one that
    /// is known, are ignored.
    pub(super) fn on_usage(&mut self, reports: &[UsageReport], now: Time) {
        let (unix, shard) = (self.unix_ms(now), self.setup.shard);
        for report in reports.iter().filter(|r| r.shard != shard) {
            // A report from the future would be used, and replace later ones, until that time.
            let age_ms = unix.abs_diff(report.at_ms);
            let stamp = (report.token, report.at_ms);
            let known = self.shares.reports.get(&report.shard.0);
            if !self.has_customers()
                || known.is_some_and(|k| (k.token, k.at_ms) >= stamp)
                || Duration::from_millis(age_ms) > MAX_REPORT_AGE
            {
                log::debug!(target: "shard", did = "usage_ignored", shard:% = self.setup.shard, from:% = report.shard, token = report.token, age_ms; "Report of another owner is ignored.");
                continue;
            }
            let mut holdings = vec![];
            for customer in &report.customers {
                let no = self.customer_no(&customer.name);
                for (pool, held) in customer.holdings() {
                    holdings.push((no, self.shares.pool_index(&pool), held));
                }
                let arrivals = self.shares.arrivals_of(no);
                arrivals.add_report(report.shard.0, report.at_ms, &customer.arrivals);
            }
            let known = KnownReport {
                token: report.token,
                at_ms: report.at_ms,
                received_at: now,
                capacity: report.capacity.into(),
                holdings,
            };
            self.shares.reports.insert(report.shard.0, known);
        }
    }

    /// Logs the customers that wait while they are above their share, those with most jobs first.
    pub(super) fn log_shares(&self, now: Time) {
        if !self.has_customers() {
            return;
        }
        let mut all: Vec<_> = (0..self.caps.customers.len())
            .map(CustomerNo)
            .filter(|no| self.shares.shares.is_above_anywhere(no.0))
            .map(|no| (no, self.shares.usage(no)))
            .filter(|(_, (.., waiting))| *waiting > 0)
            .collect();
        all.sort_by_key(|(no, (.., waiting))| (std::cmp::Reverse(*waiting), no.0));
        let unix = self.unix_ms(now);
        let others = self.shares.reports.values().filter(|r| r.is_fresh(unix, now)).count();
        for (no, (share, entitled, waiting_jobs)) in all.into_iter().take(MAX_LOGGED_CUSTOMERS) {
            let customer = &self.caps.customers[no.0];
            let weight = customer.weight.unwrap_or(DEFAULT_WEIGHT);
            log::info!(target: "shard", did = "above_share", shard:% = self.setup.shard, customer:% = customer.name, weight, share, entitled, waiting_jobs, others, cap = &*cap_text(&customer.cap), version = self.queues.version; "Customer is above its share.");
        }
    }

    /// Returns how many customers wait in this shard, and how many are above their share.
    pub(super) fn share_counts(&self) -> (usize, usize) {
        if !self.has_customers() {
            return (0, 0);
        }
        let waiting = self.shares.waiting_jobs.iter().filter(|n| **n > 0).count();
        let all = 0..self.caps.customers.len();
        (waiting, all.filter(|no| self.shares.shares.is_above_anywhere(*no)).count())
    }
}
