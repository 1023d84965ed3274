//! Tests of the division of pools among customers and of the quotas of jobs, under loads that exceed
//! a pool. The baseline is one order for all customers.

use {
    dogwoodreach::{
        Time,
        customers::cap_from,
        decide::{
            arrivals::{Arrival, Arrivals, quota},
            rank::{JobTiming, Rank, rank},
            share::{Claim, Holding, Shares, Standing},
        },
        units::Size,
        work::Queue,
    },
    std::time::{Duration, Instant},
};

const WINDOW: Duration = Duration::from_secs(5);
/// The cores of the simulated pool, and the number of its customers.
const CORES: u64 = 400;
const CUSTOMERS: usize = 20;
/// A job of the simulation has this many tasks of one core that run for this long.
const TASKS: u64 = 4;
const RUN_MS: u64 = 1_000;

/// No customer.
const NONE: [usize; 0] = [];

fn cores(n: u64) -> Size {
    Size::new(n, 0, 0)
}

fn claim(weight: f64, held: &[(u64, u64)]) -> Claim {
    let pools = held.iter().map(|h| Holding { running: cores(h.0), waiting: cores(h.1) });
    Claim { weight, cap: cap_from(Size::default()), pools: pools.collect() }
}

/// Returns which customers are above their share of the first pool of 100 cores.
fn above(claims: &[Claim]) -> Vec<usize> {
    let mut shares = Shares::default();
    shares.update(claims, cores(100), Time::ZERO);
    (0..claims.len()).filter(|no| shares.is_above(*no, 0)).collect()
}

#[test]
fn a_contended_pool_is_shared_by_weight() {
    // Weights that are read but not used: the customer that sends most would get most.
    assert_eq!(above(&[claim(1.0, &[(40, 50)]), claim(3.0, &[(60, 50)])]), [0]);
    assert_eq!(above(&[claim(1.0, &[(25, 50)]), claim(3.0, &[(75, 50)])]), NONE);
    // What one customer does not need is for the others.
    assert_eq!(above(&[claim(1.0, &[(90, 50)]), claim(3.0, &[(10, 0)])]), NONE);
    // One job does not wait behind a thousand.
    assert_eq!(above(&[claim(1.0, &[(100, 1_000)]), claim(1.0, &[(0, 1)])]), [0]);
}

#[test]
fn shares_count_only_where_work_waits_and_over_all_pools() {
    assert_eq!(above(&[claim(1.0, &[(90, 0)]), claim(1.0, &[(10, 0)])]), NONE);
    // Customer 0 holds 40 cores elsewhere, so it is above its share of the first pool.
    let other = claim(1.0, &[(30, 30), (0, 0)]);
    assert_eq!(above(&[claim(1.0, &[(30, 30), (40, 0)]), other]), [0]);
}

#[test]
fn a_pool_that_is_no_longer_used_has_no_shares() {
    // A customer would stay above its share of the pool, also with the first jobs that return.
    let mut shares = Shares::default();
    let used = [claim(1.0, &[(0, 0), (90, 50)]), claim(1.0, &[(0, 0), (10, 50)])];
    shares.update(&used, cores(100), Time::ZERO);
    assert!(shares.is_above(0, 1));
    shares.update(&[claim(1.0, &[]), claim(1.0, &[])], cores(100), Time::from_millis(250));
    assert!(!shares.is_above(0, 1) && !shares.is_above_anywhere(0));
}

#[test]
fn weights_and_caps_at_their_limits_are_defined() {
    // A division by a weight of zero would leave every customer without a share.
    for weight in [0.0, -1.0, f64::NAN] {
        assert_eq!(above(&[claim(weight, &[(50, 50)]), claim(1.0, &[(50, 50)])]), [0]);
    }
    assert_eq!(above(&[claim(f64::INFINITY, &[(90, 50)]), claim(1.0, &[(10, 50)])]), [1]);
    // What a cap keeps waiting is no claim on the capacity that others could use.
    let capped = Claim { cap: cores(10), ..claim(1.0, &[(10, 500)]) };
    assert_eq!(above(&[capped, claim(1.0, &[(90, 50)])]), NONE);
    assert_eq!(above(&[]), NONE);
    // Sums of the largest sizes would overflow.
    let largest = cores(1).times(u64::MAX);
    let held = Holding { running: largest, waiting: largest };
    let claims = [Claim { cap: largest, pools: vec![held; 2], ..claim(1.0, &[]) }];
    let mut shares = Shares::default();
    shares.update(&claims, largest, Time::ZERO);
    shares.record_start(0, 0, &largest);
}

#[test]
fn credit_for_starvation_is_bounded_and_decays() {
    // A customer that was starved for an hour would take the whole pool for as long.
    let mut shares = Shares::default();
    let starved = [claim(1.0, &[(0, 100)]), claim(1.0, &[(100, 100)])];
    for second in 0..3_600 {
        shares.update(&starved, cores(100), Time::from_millis(second * 1_000));
    }
    let held = |n: u64| [claim(1.0, &[(n, 100)]), claim(1.0, &[(100 - n, 100)])];
    let mut at = |ms: u64, n: u64| {
        shares.update(&held(n), cores(100), Time::from_millis(3_600_000 + ms));
        shares.is_above(0, 0)
    };
    assert!(!at(0, 54), "the credit is lost at once");
    assert!((1..40).any(|i| at(i * 250, 54)), "the credit does not decay");
    assert!(at(10_250, 80), "the credit is unbounded");
}

#[test]
fn a_start_that_exceeds_the_share_counts_at_once() {
    // All starts between two updates would go to the customer that waits with most tasks.
    let mut shares = Shares::default();
    shares.update(&[claim(1.0, &[(50, 50)]), claim(1.0, &[(50, 50)])], cores(100), Time::ZERO);
    let crossed = (0..10).map(|_| shares.record_start(0, 0, &cores(1)));
    assert_eq!(crossed.filter(|c| *c).count(), 1);
    assert!(shares.is_above(0, 0) && !shares.is_above(1, 0));
}

/// Counts jobs at these times and returns which are over a quota of `weight` jobs per second.
fn over_quota(weight: f64, times_ms: &[u64]) -> Vec<bool> {
    let mut all = Arrivals::default();
    let count = |all: &mut Arrivals, at| all.count(quota(Some(weight), WINDOW), WINDOW, at);
    let jobs: Vec<Arrival> = times_ms
        .iter()
        .map(|at| {
            let job = all.add(*at);
            count(&mut all, *at);
            job
        })
        .collect();
    jobs.into_iter().map(|job| all.is_over_quota(job, 0).expect("a recent job")).collect()
}

#[test]
fn only_what_exceeds_the_weight_over_the_window_is_over_quota() {
    // A count over one second marks random clusters of arrivals.
    let cluster: Vec<u64> = (0..10).map(|i| 10_000 + i * 10).collect();
    assert!(over_quota(2.0, &cluster).iter().all(|over| !over));
    // A customer that always sends 7.5 times its quota still gets the quota.
    let steady: Vec<u64> = (0..900).map(|i| 10_000 + i * 1_000 / 15).collect();
    let within = over_quota(2.0, &steady).iter().filter(|over| !**over).count();
    assert!((118..=130).contains(&within), "{within} of 900 jobs in 60 s are within 2 per second");
    assert!(over_quota(0.0, &steady).iter().all(|over| *over));
    assert_eq!(quota(None, WINDOW), None);
    assert_eq!(quota(Some(3.0), Duration::ZERO), None);
}

#[test]
fn two_shards_agree_on_what_is_over_quota() {
    // Each shard would grant the whole quota, or both would mark the jobs of the other's quota.
    let mut rng = fastrand::Rng::with_seed(1);
    let mut shards = [Arrivals::default(), Arrivals::default()];
    let mut jobs = vec![];
    for ms in (10_000..40_000).step_by(100) {
        let no = rng.usize(..2);
        jobs.push((no, shards[no].add(ms)));
        // One report in four is lost.
        if ms % 500 == 0 && rng.u32(0..4) > 0 {
            for no in 0..2 {
                let report = shards[no].report(ms, WINDOW);
                shards[1 - no].add_report(no as u16, ms, &report);
            }
        }
        shards.iter_mut().for_each(|s| s.count(quota(Some(4.0), WINDOW), WINDOW, ms));
    }
    let within = |(no, job): &&(usize, Arrival)| shards[*no].is_over_quota(*job, *no as u16);
    let within = jobs.iter().filter(|j| within(j) == Some(false)).count();
    assert!((110..=135).contains(&within), "{within} of 300 jobs in 30 s are within 4 per second");
}

#[test]
fn an_arrival_from_a_clock_that_is_ahead_is_reported_once() {
    // It would be reported with age 0 now and with its own age later, and be counted twice.
    let (mut own, mut other) = (Arrivals::default(), Arrivals::default());
    own.add(12_000);
    for ms in (10_000..14_000).step_by(500) {
        other.add_report(0, ms, &own.report(ms, WINDOW));
    }
    let later = other.add(13_900);
    other.count(Some(2), WINDOW, 14_000);
    assert_eq!(other.is_over_quota(later, 1), Some(false));
    assert_eq!(own.report(11_000, WINDOW), []);
}

/// A simulation of the pool, to which each customer sends `rate(customer, ms)` jobs per second.
struct Load<'a> {
    rate: &'a dyn Fn(usize, u64) -> f64,
    weight: &'a dyn Fn(usize) -> f64,
    window: Duration,
    shares: bool,
}

impl Load<'_> {
    /// Returns the fractions of the jobs of customer 0 and of all others that end in time, of those
    /// submitted within 60 s.
    fn run(&self) -> (f64, f64) {
        let queue = Queue {
            name: "quick".into(),
            host: "".into(),
            prefix: "/".into(),
            pool: "pool".into(),
            priority: 0,
            attempts: 3,
            stretch: 2.0,
            slack: Duration::from_secs(1),
            advice: None,
            public: false,
        };
        let run = Duration::from_millis(RUN_MS);
        let mut rng = fastrand::Rng::with_seed(7);
        let (mut shares, mut arrivals) = (Shares::default(), vec![Arrivals::default(); CUSTOMERS]);
        let mut waiting: Vec<(usize, u64, Arrival)> = vec![];
        let mut running: Vec<(u64, usize)> = vec![];
        let (mut sent, mut timely) = ([0_u64; 2], [0_u64; 2]);
        for ms in (0..60_000).step_by(20) {
            running.retain(|(end, no)| {
                let ended = *end <= ms;
                if ended {
                    shares.record_end(*no, 0, &cores(TASKS));
                }
                !ended
            });
            for no in 0..CUSTOMERS {
                let expected = (self.rate)(no, ms) * 0.02;
                let extra = u64::from(rng.f64() < expected.fract());
                for _ in 0..expected.floor() as u64 + extra {
                    waiting.push((no, ms, arrivals[no].add(ms)));
                    sent[usize::from(no > 0)] += 1;
                }
                let limit = quota(Some((self.weight)(no)), self.window);
                arrivals[no].count(limit, self.window, ms);
            }
            let standing = |shares: &Shares, no: usize, job: Arrival| Standing {
                over_quota: arrivals[no].is_over_quota(job, 0) == Some(true),
                above_share: shares.is_above(no, 0),
            };
            if ms % 250 == 0 {
                let mut claims: Vec<Claim> =
                    (0..CUSTOMERS).map(|no| claim((self.weight)(no), &[(0, 0)])).collect();
                running.iter().for_each(|r| claims[r.1].pools[0].running += cores(TASKS));
                let within = waiting.iter().filter(|w| !standing(&shares, w.0, w.2).over_quota);
                within.for_each(|w| claims[w.0].pools[0].waiting += cores(TASKS));
                shares.update(&claims, cores(CORES), Time::from_millis(ms));
            }
            let rank_of = |(no, arrived_ms, job): &(usize, u64, Arrival)| -> Rank {
                let timing = JobTiming {
                    arrived_ms: *arrived_ms,
                    critical_path: run,
                    remaining_time: run,
                    long_running: false,
                    stake: None,
                };
                let active =
                    if self.shares { standing(&shares, *no, *job) } else { <_>::default() };
                rank(&queue, timing, active, ms)
            };
            let mut order: Vec<_> = waiting.iter().map(|w| (rank_of(w), w.1, w.0, *w)).collect();
            order.sort_by_key(|(rank, at, no, _)| (*rank, *at, *no));
            let starts = (CORES / TASKS) as usize - running.len();
            for (.., job) in order.iter().take(starts) {
                running.push((ms + RUN_MS, job.0));
                shares.record_start(job.0, 0, &cores(TASKS));
                timely[usize::from(job.0 > 0)] += u64::from(ms - job.1 <= 2_000);
            }
            // What has no value left goes behind all others, and would not start in this load.
            let has_value = |w: &(usize, u64, Arrival)| ms - w.1 < 9_000;
            let rest = order.into_iter().skip(starts).map(|o| o.3);
            waiting = rest.filter(has_value).collect();
        }
        (timely[0] as f64 / sent[0] as f64, timely[1] as f64 / sent[1] as f64)
    }
}

/// The rate at which a customer sends its share of a demand of `factor` times the capacity.
fn fair_rate(factor: f64) -> f64 {
    factor * CORES as f64 / TASKS as f64 / CUSTOMERS as f64
}

#[test]
fn the_others_are_in_time_while_one_customer_exceeds_its_share_for_good() {
    // Customer 0 makes up the excess over 90% of the capacity, for 60 s.
    for factor in [1.02, 1.3, 2.0] {
        let excess = fair_rate(factor - 0.9) * CUSTOMERS as f64;
        let rate = |no: usize, _| fair_rate(0.9) + if no == 0 { excess } else { 0.0 };
        let load = Load { rate: &rate, weight: &|_| 1.0, window: Duration::ZERO, shares: true };
        let (own, others) = load.run();
        let (_, baseline) = Load { shares: false, ..load }.run();
        println!(
            "demand {factor}: others in time {others:.3}, baseline {baseline:.3}, own {own:.3}"
        );
        assert!(others > 0.98, "demand {factor}: {others} of the others' jobs are in time");
        assert!(factor < 1.1 || baseline < others - 0.1, "baseline {baseline}, shares {others}");
    }
}

#[test]
fn a_customer_at_seven_and_a_half_times_its_rate_delays_no_other() {
    // 20 customers, of which customer 0 is large, use 90% of the capacity; it then sends 7.5 times as
    // much.
    for (until, needed) in [(16_500, 0.05), (60_000, 0.4)] {
        let usual = |no| fair_rate(0.72) * if no == 0 { 6.0 } else { 1.0 };
        let burst = |no, ms| no == 0 && (10_000..until).contains(&ms);
        let rate = |no, ms| usual(no) * if burst(no, ms) { 7.5 } else { 1.0 };
        let weight = |no| usual(no) * 1.5;
        let load = Load { rate: &rate, weight: &weight, window: WINDOW, shares: true };
        let (own, others) = load.run();
        let (_, baseline) = Load { shares: false, ..load }.run();
        println!(
            "until {until} ms: others in time {others:.3}, baseline {baseline:.3}, own {own:.3}"
        );
        assert!(others > 0.98, "until {until} ms: {others} of the others' jobs are in time");
        assert!(baseline < others - needed, "baseline {baseline}, with shares {others}");
    }
}

/// `cargo test --release --test share -- --ignored --nocapture` prints the cost of a start and of an
/// update.
#[test]
#[ignore = "measures time, by hand"]
fn cost_at_310_customers() {
    let claims = vec![claim(1.0, &[(3, 10), (1, 2)]); 310];
    let (mut shares, mut arrivals) = (Shares::default(), vec![Arrivals::default(); 310]);
    let (start, updates) = (Instant::now(), 1_000);
    for i in 0..updates {
        shares.update(&claims, cores(2_000), Time::from_millis(i * 250));
    }
    println!("update: {:?}", start.elapsed() / updates as u32);
    let (start, starts) = (Instant::now(), 1_000_000_u64);
    for i in 0..starts {
        let (no, at) = (i as usize % 310, 10_000_000 + i);
        shares.record_start(no, 0, &cores(1));
        let job = arrivals[no].add(at);
        arrivals[no].count(quota(Some(1.0), WINDOW), WINDOW, at);
        std::hint::black_box((shares.is_above(no, 0), arrivals[no].is_over_quota(job, 0)));
        shares.record_end(no, 0, &cores(1));
    }
    println!("arrival, start and end: {:?}", start.elapsed() / starts as u32);
}
