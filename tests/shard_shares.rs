//! Tests of customers' shares and quotas in one shard, with reports of other shards' owners.

mod yard;

use {
    dogwoodreach::{
        Time,
        customers::{Customer, Customers, cap_from},
        ids::CustomerId,
        shard::{
            Amounts, CustomerReport, CustomerUsage, UsageReport,
            event::Event,
            record::{JobRecord, ShardNo, encode},
        },
        units::Size,
        usage_exchange::UsageExchange,
        work::{Job, JobNo, QueueConfig, Step},
    },
    std::{
        sync::Arc,
        time::{Duration, Instant},
    },
    yard::{ShardSim, queues, rules::UNIX_START_MS, workers},
};

/// A weight with which no job of these tests is over quota.
const HIGH: f64 = 1_000.0;

/// Returns the default queues with customers of these weights and without caps.
fn with_weights(version: u64, weights: &[(&str, f64)]) -> Arc<QueueConfig> {
    let mut customers = Customers::default();
    for (name, weight) in weights {
        let (name, cap) = (CustomerId::from(*name), cap_from(Size::default()));
        customers.add(Customer { name, weight: *weight, cap }, []);
    }
    let (customers, revision) = (Some(customers), version);
    Arc::new(QueueConfig { version, revision, customers, ..(*queues()).clone() })
}

/// Returns a site whose queue `open` has four workers of 4 cores.
fn site(seed: u64, weights: &[(&str, f64)]) -> ShardSim {
    let mut y = ShardSim::with(seed, with_weights(1, weights), workers(8), 2);
    y.resend_list = true;
    y.run_until(500);
    y
}

/// Submits a job of `count` tasks of one core, each of which takes `ms` milliseconds.
fn submit(y: &mut ShardSim, name: &str, no: u64, count: u32, ms: u64) {
    let step = Step { count, estimate: ms, size: Size::new(1, 64, 0), ..Step::default() };
    submit_step(y, name, no, step);
}

fn submit_step(y: &mut ShardSim, name: &str, no: u64, step: Step) {
    let job = Job { text: "do it".into(), steps: [step].into(), times: None };
    y.submit_for(Some(CustomerId::from(name)), no, "open", job);
}

fn is_unfinished(y: &ShardSim, no: u64) -> bool {
    y.unfinished().iter().any(|j| j.0.0 == no)
}

fn usage(y: &ShardSim, name: &str) -> CustomerUsage {
    let all = y.owners.last().expect("an owner").shard.customer_usage(y.now);
    all.into_iter().find(|u| u.name.as_str() == name).expect("the customer is known")
}

/// Returns a report of shard 7, in which a customer holds these cores of the pool `open`.
fn report(token: u64, at: Time, name: &str, cores: u64) -> UsageReport {
    let pools = [("open".into(), Size::new(cores, 0, 0), Size::default())];
    UsageReport {
        shard: ShardNo(7),
        token,
        at_ms: UNIX_START_MS + at.0 / 1_000,
        capacity: Amounts::from(Size::new(32, 131_072, 0)),
        customers: vec![CustomerReport::new(CustomerId::from(name), &pools, vec![])],
    }
}

fn deliver(y: &mut ShardSim, report: UsageReport) {
    let (owner, now) = (y.owners.len() - 1, y.now);
    y.owners[owner].shard.apply(Event::Usage([report].into()), now);
}

/// Lets ann fill the pool with 40 jobs.
fn fill(y: &mut ShardSim) {
    (100..140).for_each(|no| submit(y, "ann", no, 4, 2_000));
}

#[test]
fn one_job_does_not_wait_behind_the_many_of_another_customer() {
    // By due time alone, the job starts after 20 s, as within one customer.
    for (name, late) in [("bob", false), ("ann", true)] {
        let mut y = site(1, &[("ann", HIGH), ("bob", HIGH)]);
        fill(&mut y);
        y.run_until(2_000);
        submit(&mut y, name, 1, 4, 2_000);
        y.run_until(8_000);
        assert_eq!(is_unfinished(&y, 1), late, "{name}");
        y.run_until_settled(60_000);
    }
}

#[test]
fn jobs_over_quota_go_behind_all_others_and_still_run() {
    // Ann submits 8 times what its weight of 1 allows in 5 s.
    let mut y = site(2, &[("ann", 1.0), ("bob", 1.0)]);
    fill(&mut y);
    y.run_until(2_000);
    for no in 1..=4 {
        submit(&mut y, "bob", no, 16, 500);
    }
    y.run_until(9_000);
    assert!((1..=4).all(|no| !is_unfinished(&y, no)), "{:?}", y.unfinished());
    y.run_until_settled(60_000);
}

#[test]
fn nothing_is_reported_or_reordered_without_customers() {
    for queues in [queues(), with_weights(1, &[])] {
        let mut y = ShardSim::with(3, queues, workers(8), 2);
        y.run_until(500);
        submit(&mut y, "ann", 1, 40, 500);
        y.run_until(4_000);
        assert!(y.usage_reports.is_empty());
        let now = y.now;
        assert_eq!(y.owner().shard.gauges(now).customers_above_share, 0);
    }
}

#[test]
fn an_owner_reports_at_most_twice_per_second() {
    let mut y = site(4, &[("ann", HIGH)]);
    fill(&mut y);
    y.usage_reports.clear();
    y.run_until(10_500);
    assert!((18..=20).contains(&y.usage_reports.len()), "{}", y.usage_reports.len());
    let report = &y.usage_reports[2].1;
    let text = serde_json::to_string(&**report).expect("a report is serializable");
    assert_eq!(serde_json::from_str::<UsageReport>(&text).expect("it is readable"), **report);
    assert!(report.customers[0].pools[0].1 == Amounts::from(Size::new(16, 1_024, 0)));
}

#[test]
fn a_job_from_a_member_whose_clock_is_ahead_counts_as_submitted_now() {
    // Its arrival would be in no report for as long as the clock is ahead.
    let mut y = site(12, &[("ann", HIGH)]);
    let step = Step { count: 1, estimate: 100, size: Size::new(1, 64, 0), ..Step::default() };
    let record = JobRecord {
        queue: "open".into(),
        submitted_ms: UNIX_START_MS + 3_600_000,
        job: Job { text: "do it".into(), steps: [step].into(), times: None },
        queue_settings: None,
        customer: Some(CustomerId::from("ann")),
    };
    y.world.jobs.insert(JobNo(1), record.clone());
    y.store.put(ShardNo(0).job_key(JobNo(1)), encode(&record));
    let now = y.now;
    y.owner().shard.apply(Event::Job(JobNo(1), Box::new(record)), now);
    y.usage_reports.clear();
    y.run_until(1_500);
    let report = &y.usage_reports.last().expect("a report").1;
    let reported: u32 = report.customers[0].arrivals.iter().map(|(_, n)| n).sum();
    assert_eq!(reported, 1);
}

#[test]
fn a_member_sends_two_messages_per_second_however_many_shards_it_owns() {
    let (mut exchange, mut sent) = (UsageExchange::default(), vec![]);
    for ms in 1_000..11_000 {
        // Three shards whose reports are due at different times.
        for shard in (0..3).filter(|shard| (ms + shard * 170) % 500 == 0) {
            let report = report(1, Time::from_millis(ms), "ann", 1);
            let report = UsageReport { shard: ShardNo(shard as u16), ..report };
            sent.extend(exchange.add(Arc::new(report)).map(|due| (ms, due)));
        }
    }
    assert!((19..=20).contains(&sent.len()), "{} messages in 10 s", sent.len());
    let late = |(at, due): &(u64, Vec<Arc<UsageReport>>)| {
        due.iter().any(|r| r.at_ms + 500 < UNIX_START_MS + at)
    };
    assert!(sent.iter().skip(1).all(|(_, due)| due.len() == 3));
    assert!(!sent.iter().any(late), "a report waits for longer than the interval");
}

#[test]
fn only_the_latest_report_of_another_owner_counts_and_only_while_it_is_fresh() {
    // Old reports would keep a customer above its share after its work there has ended.
    let mut y = site(5, &[("ann", HIGH), ("bob", HIGH)]);
    let share_after = |y: &mut ShardSim, report: Option<UsageReport>, ms: u64| {
        report.into_iter().for_each(|r| deliver(y, r));
        y.run_until(y.now.0 / 1_000 + ms);
        (usage(y, "ann").share * 1_000.0).round()
    };
    let now = y.now;
    // The workers here have 32 cores, and those of the other shard as well.
    assert_eq!(share_after(&mut y, Some(report(5, now, "ann", 16)), 300), 250.0);
    let now = y.now;
    // A former owner of the shard, and an earlier report of the present one.
    assert_eq!(share_after(&mut y, Some(report(4, now, "ann", 32)), 300), 250.0);
    assert_eq!(share_after(&mut y, Some(report(5, Time::ZERO, "ann", 32)), 300), 250.0);
    assert_eq!(share_after(&mut y, None, 1_500), 0.0);
    // A message that arrives 1.6 s late.
    assert_eq!(share_after(&mut y, Some(report(6, now, "ann", 32)), 300), 0.0);
}

#[test]
fn reports_of_a_member_whose_clock_is_an_hour_ahead_are_ignored() {
    // Such a report would keep out those that follow once the clock is right again.
    let mut y = site(13, &[("ann", HIGH)]);
    let ahead = y.now + Duration::from_secs(3_600);
    deliver(&mut y, report(1, ahead, "ann", 16));
    y.run_until(900);
    let now = y.now;
    let known = y.owner().shard.customer_usage(now);
    assert!(known.iter().all(|u| u.share == 0.0), "{known:?}");
    let now = y.now;
    deliver(&mut y, report(1, now, "ann", 16));
    y.run_until(1_300);
    assert_eq!(usage(&y, "ann").share, 0.25);
}

/// Runs two shards in which ann fills all capacity, and bob has as much work in the second one only.
/// Returns the share of the second shard's capacity that bob has on average, in percent. `lost` says
/// which reports do not arrive.
fn share_of_bob(lost: impl Fn(u64) -> bool) -> u64 {
    let weights = [("ann", HIGH), ("bob", HIGH)];
    let mut sites = [site(6, &weights), site(7, &weights)];
    for no in 0..80 {
        submit(&mut sites[0], "ann", 100 + no, 4, 1_000);
        submit(&mut sites[1], "ann", 100 + no, 4, 1_000);
        submit(&mut sites[1], "bob", 300 + no, 4, 1_000);
    }
    let mut held = 0;
    for ms in (600..12_600).step_by(100) {
        sites.iter_mut().for_each(|y| y.run_until(ms));
        for from in 0..2 {
            for (_, sent) in std::mem::take(&mut sites[from].usage_reports) {
                let shard = ShardNo(if from == 0 { 8 } else { 9 });
                if !lost(ms) {
                    deliver(&mut sites[1 - from], UsageReport { shard, ..(*sent).clone() });
                }
            }
        }
        held += if ms < 4_600 { 0 } else { usage(&sites[1], "bob").in_use.cores.0 / 1_000 };
    }
    held * 100 / (80 * 16)
}

#[test]
fn what_a_customer_holds_in_another_shard_counts() {
    // Each shard alone would give ann half of its capacity, three quarters of both.
    let (told, untold) = (share_of_bob(|_| false), share_of_bob(|_| true));
    println!("bob holds {told}% with reports, {untold}% without");
    assert!(told > 85 && (35..=65).contains(&untold), "{told} with reports, {untold} without");
    // Every second report is lost.
    let some = share_of_bob(|ms| ms % 1_000 < 500);
    assert!(some > 85, "{some} with half of the reports");
}

#[test]
fn a_successor_without_any_report_shares_by_its_own_runs() {
    // It would let the customer with most jobs go first until the other owners' reports arrive.
    let mut y = site(8, &[("ann", HIGH), ("bob", HIGH)]);
    fill(&mut y);
    y.run_until(1_500);
    deliver(&mut y, report(1, Time::from_millis(1_500), "bob", 32));
    y.fault(1_700, |y| {
        // The owner fails between two reports.
        y.kill_owner();
        y.take_over();
    });
    y.run_until(2_500);
    submit(&mut y, "bob", 1, 4, 500);
    y.run_until(7_500);
    assert!(!is_unfinished(&y, 1), "{:?}", usage(&y, "bob"));
    y.run_until_settled(60_000);
}

#[test]
fn customers_that_change_during_a_takeover_are_defined() {
    let mut y = site(9, &[("ann", HIGH), ("bob", HIGH)]);
    fill(&mut y);
    submit(&mut y, "bob", 1, 4, 500);
    y.fault(1_000, |y| {
        y.kill_owner();
        // Bob is removed, ann has a weight of zero, and eve is new.
        y.configure(with_weights(2, &[("ann", 0.0), ("eve", 2.0)]));
        y.take_over();
    });
    y.at(2_000, |y| submit(y, "eve", 2, 4, 500));
    y.at(2_000, |y| submit(y, "zoe", 3, 4, 500));
    y.run_until(7_000);
    // A customer that is removed keeps its weight; one that never was there has the default.
    let weights = ["ann", "bob", "eve", "zoe"].map(|name| usage(&y, name).weight);
    assert_eq!(weights, [0.0, HIGH, 2.0, 1.0]);
    assert!((1..=3).all(|no| !is_unfinished(&y, no)), "{:?}", y.unfinished());
    y.run_until_settled(60_000);
}

#[test]
fn the_wait_of_a_gang_above_the_share_is_bounded() {
    // Ann is always above its share by its small tasks, and bob always has work that waits.
    let mut y = site(10, &[("ann", 1.0e3), ("bob", 9.0e3)]);
    for no in 0..60 {
        y.at(500 + no * 200, move |y| {
            submit(y, "ann", 100 + no, 2, 1_500);
            submit(y, "bob", 300 + no, 4, 1_000);
        });
    }
    let gang = Step { gang: true, count: 6, estimate: 300, ..Step::default() };
    y.at(2_000, move |y| submit_step(y, "ann", 1, Step { size: Size::new(1, 64, 0), ..gang }));
    y.run_until(11_500);
    assert!(!is_unfinished(&y, 1), "{:?}", usage(&y, "ann"));
}

/// `cargo test --release --test shard_shares -- --ignored --nocapture` prints the cost of the checks
/// that an owner makes every 250 ms, with and without customers.
#[test]
#[ignore = "measures time, by hand"]
fn cost_at_350_workers_and_1000_waiting_steps() {
    let names: Vec<String> = (0..20).map(|n| format!("c{n}")).collect();
    let weights: Vec<(&str, f64)> = names.iter().map(|n| (&**n, HIGH)).collect();
    for queues in [queues(), with_weights(1, &weights)] {
        let with_customers = queues.customers.is_some();
        let mut y = ShardSim::with(11, queues, workers(350), 2);
        y.run_until(500);
        for no in 0..2_000 {
            submit(&mut y, &names[no as usize % 20], no, 4, 60_000);
        }
        y.run_until(3_000);
        let (waiting, now) = (y.unfinished().len(), y.now);
        let (shard, mut spent) = (&mut y.owner().shard, Duration::ZERO);
        for i in 1..=40 {
            let at = now + Duration::from_millis(i * 250);
            shard.apply(Event::Confirmed(at), at);
            let start = Instant::now();
            shard.apply(Event::Tick, at);
            spent += start.elapsed();
        }
        println!("customers {with_customers}: {waiting} jobs, tick {:?}", spent / 40);
    }
}
