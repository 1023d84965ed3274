//! Tests of customers' caps in one shard, beside another shard that shares them. `yard::rules` checks
//! that no start brings a customer over its cap.

mod yard;

use {
    dogwoodreach::{
        Time,
        ids::CustomerId,
        units::Size,
        work::{Job, Step},
    },
    std::{ops::Range, time::Duration},
    yard::{ShardSim, customers::with_customers, store::Mode, workers},
};

/// The seeds that run in every test run.
const SEEDS: Range<u64> = 1..41;
/// The time in which faults happen, in milliseconds.
const FAULTS_MS: u64 = 20_000;

fn cores(n: u64) -> Size {
    Size::new(n, 0, 0)
}

fn customer(name: &str) -> Option<CustomerId> {
    Some(CustomerId::from(name))
}

fn job(step: Step) -> Job {
    Job { text: "do it".into(), steps: [step].into(), times: None }
}

/// Returns a step of `count` tasks of one core, each of which takes `ms` milliseconds.
fn tasks(count: u32, ms: u64) -> Step {
    Step { count, estimate: ms, size: Size::new(1, 64, 0), ..Step::default() }
}

/// Returns a site with eight workers of 4 cores, half of which are in the pool of the queue `open`.
fn site(seed: u64, caps: &[(&str, Size)]) -> ShardSim {
    let mut y = ShardSim::with(seed, with_customers(1, caps), workers(8), 2);
    y.resend_list = true;
    y.run_until(500);
    y
}

/// Returns the most cores that a customer has used at once until `ms`.
fn peak(y: &mut ShardSim, name: &str, ms: u64) -> u64 {
    let (mut most, name) = (0, CustomerId::from(name));
    while y.now < Time::from_millis(ms) {
        y.run_until(y.now.0 / 1_000 + 10);
        most = most.max(y.rules.caps.in_use(&y.world, &name).cores.0 / 1_000);
    }
    most
}

#[test]
fn a_customer_uses_its_whole_cap_and_no_more() {
    let mut y = site(1, &[("ann", cores(6))]);
    y.submit_for(customer("ann"), 1, "open", job(tasks(30, 400)));
    assert_eq!(peak(&mut y, "ann", 2_500), 6);
    y.run_until_settled(10_000);
}

#[test]
fn a_step_wider_than_the_cap_runs_in_waves() {
    let mut y = site(2, &[("ann", cores(2))]);
    y.submit_for(customer("ann"), 1, "open", job(tasks(8, 300)));
    y.run_until_settled(6_000);
}

#[test]
fn a_customer_at_its_cap_does_not_delay_another() {
    // Steps that a cap holds back would keep room from the steps behind them.
    let mut y = site(3, &[("ann", cores(2)), ("bob", cores(8))]);
    y.submit_for(customer("ann"), 1, "open", job(tasks(100, 3_000)));
    y.submit_for(customer("bob"), 2, "open", job(tasks(6, 500)));
    y.run_until(2_500);
    assert!(y.unfinished().iter().all(|j| j.0.0 == 1), "{:?}", y.unfinished());
}

#[test]
fn a_gang_starts_beside_small_tasks_of_its_customer() {
    // Small tasks would take each part of the cap that becomes free.
    let mut y = site(4, &[("ann", cores(6))]);
    for no in 0..40 {
        y.at(500 + no * 150, move |y| {
            y.submit_for(customer("ann"), 10 + no, "open", job(tasks(4, 700)));
        });
    }
    let gang = Step { gang: true, ..tasks(6, 300) };
    y.at(1_500, move |y| y.submit_for(customer("ann"), 1, "open", job(gang)));
    y.run_until(7_500);
    assert!(y.unfinished().iter().all(|j| j.0.0 != 1), "the gang has not run");
}

#[test]
fn a_gang_that_waits_for_long_running_tasks_does_not_stop_its_customer() {
    // What the gang would need is never free, and jobs behind it would wait for good.
    let mut y = site(5, &[("ann", cores(8))]);
    let lasting = Step { lasts: true, ..tasks(4, 20_000_000) };
    y.submit_for(customer("ann"), 1, "open", job(lasting));
    y.run_until(1_500);
    let gang = Step { gang: true, ..tasks(6, 300) };
    y.submit_for(customer("ann"), 2, "open", job(gang));
    y.run_until(2_000);
    y.submit_for(customer("ann"), 3, "open", job(tasks(1, 300)));
    y.run_until(5_000);
    assert!(y.unfinished().iter().all(|j| j.0.0 != 3), "{:?}", y.unfinished());
}

#[test]
fn nothing_starts_above_a_cap_that_was_lowered_far_below_what_runs() {
    let mut y = site(6, &[("ann", cores(12))]);
    y.submit_for(customer("ann"), 1, "open", job(tasks(40, 2_000)));
    y.run_until(1_500);
    assert_eq!(y.rules.caps.in_use(&y.world, &CustomerId::from("ann")), Size::new(12, 768, 0));
    y.configure(with_customers(2, &[("ann", cores(2))]));
    // The judge checks each start from the time at which the old cap can no longer be in force.
    y.run_until(9_000);
    y.configure(with_customers(3, &[("ann", cores(12))]));
    y.run_until_settled(30_000);
}

#[test]
fn a_successor_counts_what_its_predecessor_has_started() {
    // The successor would count from zero, and start as much again.
    let mut y = site(7, &[("ann", cores(6))]);
    y.submit_for(customer("ann"), 1, "open", job(tasks(30, 2_000)));
    y.run_until(1_200);
    y.fault(1_300, |y| {
        y.world.workers[2].cut_off = true;
        y.kill_owner();
        y.take_over();
    });
    for no in 0..10 {
        y.at(1_350 + no * 100, move |y| {
            y.submit_for(customer("ann"), 10 + no, "open", job(tasks(6, 500)));
        });
    }
    y.at(6_000, |y| y.world.workers[2].cut_off = false);
    y.run_until_settled(60_000);
}

#[test]
fn an_allotment_that_another_shard_does_not_use_arrives_within_a_second() {
    // The work of this shard would wait while a part of the cap lies idle.
    let mut y = site(8, &[("ann", cores(8))]);
    y.add_other_shard();
    y.run_until(6_000);
    y.quiet_other_shard();
    y.run_until(9_000);
    y.submit_for(customer("ann"), 1, "open", job(tasks(8, 2_000)));
    assert_eq!(peak(&mut y, "ann", 10_000), 8);
}

#[test]
fn urgent_work_stops_less_urgent_work_that_fills_the_cap_of_its_customer() {
    // Urgent jobs would wait for the ends of long ones beside idle workers.
    let mut y = site(10, &[("ann", cores(4))]);
    let long = Step { saves: true, ..tasks(4, 20_000) };
    y.submit_for(customer("ann"), 1, "plain", job(long));
    y.run_until(2_000);
    y.submit_for(customer("ann"), 2, "urgent", job(tasks(4, 300)));
    y.run_until(4_500);
    assert!(y.unfinished().iter().all(|j| j.0.0 != 2), "{:?}", y.unfinished());
}

#[test]
fn nothing_is_stopped_under_a_cap_for_a_part_of_a_step_in_one_wave() {
    // The runs that may be stopped would be stopped although the step's last tasks are late anyway.
    let mut y = site(11, &[("ann", cores(4))]);
    let long = Step { saves: true, ..tasks(2, 20_000) };
    y.submit_for(customer("ann"), 1, "plain", job(long));
    y.submit_for(customer("ann"), 3, "plain", job(tasks(2, 20_000)));
    y.run_until(2_000);
    y.submit_for(customer("ann"), 2, "urgent", job(tasks(4, 300)));
    y.run_until(6_000);
    let stats = y.owners.last_mut().expect("an owner").shard.take_stats();
    assert_eq!(stats.preemptions.values().sum::<u64>(), 0);
}

/// Lets another owner take over if the newest one has ended or its lease has. While the store is down,
/// tries again later.
fn take_over_lapsed(y: &mut ShardSim) {
    let now = y.now;
    if y.store.health == Mode::Down {
        return y.at(now.0 / 1_000 + 200, take_over_lapsed);
    }
    let owner = y.owner();
    let lapsed = owner.last_confirmed + Duration::from_secs(3) <= now;
    if owner.ended || lapsed && (owner.paused || owner.store_cut) {
        y.take_over();
    }
}

/// Schedules the faults and the jobs of a random simulation.
fn schedule(y: &mut ShardSim, rng: &mut fastrand::Rng) {
    let names = ["ann", "bob", "eve"];
    for no in 0..rng.u64(20..60) {
        let at = rng.u64(500..FAULTS_MS);
        let name = names[rng.usize(..3)];
        let mut step = tasks(rng.u32(1..10), rng.u64(100..3_000));
        step.gang = rng.u32(0..5) == 0;
        if step.gang {
            step.count = step.count.min(4);
        }
        step.lasts = !step.gang && rng.u32(0..8) == 0;
        let queue = ["open", "advised"][rng.usize(..2)];
        y.at(at, move |y| y.submit_for(customer(name), no, queue, job(step)));
    }
    for version in 2..rng.u64(2..8) {
        let caps = [0; 3].map(|_| cores(rng.u64(1..14)));
        let at = 500 + version * FAULTS_MS / 8;
        y.at(at, move |y| {
            let all: Vec<_> = names.into_iter().zip(caps).collect();
            y.configure(with_customers(version, &all));
        });
    }
    for _ in 0..rng.u64(0..12) {
        let (at, len) = (rng.u64(1_000..FAULTS_MS), rng.u64(100..5_000));
        let worker = rng.usize(..8);
        match rng.u32(0..9) {
            0 => y.fault(at, |y| {
                y.kill_owner();
                take_over_lapsed(y);
            }),
            1 => {
                y.fault(at, |y| {
                    let newest = y.owners.len() - 1;
                    y.pause_owner(newest, true);
                    y.at(y.now.0 / 1_000 + 3_200, take_over_lapsed);
                });
                y.at(at + len + 3_200, |y| {
                    for owner in 0..y.owners.len() {
                        y.pause_owner(owner, false);
                    }
                });
            }
            2 => {
                y.fault(at, |y| y.store.health = Mode::Down);
                y.at(at + len, |y| y.store.health = Mode::Up);
            }
            3 | 4 => {
                y.fault(at, |y| y.store.health = Mode::Losing(3));
                y.at(at + len, |y| y.store.health = Mode::Up);
            }
            5 => {
                y.fault(at, |y| y.late_one_in = 4);
                // The bounds allow for late orders until they end.
                y.fault(at + len, |y| y.late_one_in = 0);
            }
            6 => y.fault(at, move |y| y.crash_worker(worker, Duration::from_millis(len))),
            7 => {
                y.fault(at, move |y| y.world.workers[worker].cut_off = true);
                y.at(at + len, move |y| y.world.workers[worker].cut_off = false);
            }
            _ => {
                y.fault(at, |y| {
                    let newest = y.owners.len() - 1;
                    y.cut_store(newest);
                    y.at(y.now.0 / 1_000 + 3_200, take_over_lapsed);
                });
            }
        }
    }
}

fn simulate(seed: u64) {
    let mut rng = fastrand::Rng::with_seed(seed);
    let caps = ["ann", "bob", "eve"].map(|name| (name, cores(rng.u64(2..14))));
    let mut y = site(seed, &caps);
    y.add_other_shard();
    schedule(&mut y, &mut rng);
    y.run_until(FAULTS_MS + 10_000);
    y.store.health = Mode::Up;
    (y.late_one_in, y.config_delay) = (0, Duration::ZERO);
    (0..8).for_each(|w| y.world.workers[w].cut_off = false);
    if y.owner().ended || y.owner().paused || y.owner().store_cut {
        y.take_over();
    }
    // With room for all, everything runs to its end.
    y.configure(with_customers(100, &["ann", "bob", "eve"].map(|name| (name, cores(200)))));
    y.quiet_other_shard();
    for no in 0..60 {
        y.at(y.now.0 / 1_000 + 12_000, move |y| y.cancel(no));
    }
    y.run_until_settled(FAULTS_MS + 80_000);
}

#[test]
fn caps_hold_in_any_order_of_faults() {
    SEEDS.for_each(simulate);
}

/// `SEEDS=100..3100 cargo test --release --test shard_caps -- --ignored`.
#[test]
#[ignore = "thousands of seeds, by hand"]
fn caps_hold_for_many_seeds() {
    let range = std::env::var("SEEDS").expect("SEEDS, for example 100..3100");
    let (from, to) = range.split_once("..").expect("a range");
    let seeds: Range<u64> = from.parse().expect("a seed")..to.parse().expect("a seed");
    let broken: Vec<u64> =
        seeds.filter(|seed| std::panic::catch_unwind(|| simulate(*seed)).is_err()).collect();
    assert!(broken.is_empty(), "seeds {broken:?}");
}
