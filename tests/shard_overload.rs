//! Tests the order of starts under overload in a whole shard, with preemption and checkpoints. The
//! baseline is the same load without customers in the configuration.

mod yard;

use {
    dogwoodreach::{
        customers::Customers,
        decide::utility::Ratios,
        units::Size,
        work::{Queue, QueueConfig, Step},
    },
    std::{sync::Arc, time::Duration},
    yard::{ShardSim, job, step, worker::Worker},
};

/// Number of workers of 36 cores.
const WORKERS: usize = 24;
/// Time within which all jobs of a test end, in milliseconds.
const SETTLED_MS: u64 = 200_000;

/// Queues of quick jobs and of long ones with much slack.
fn config(by_value: bool) -> Arc<QueueConfig> {
    let queue = |name, priority, stretch, slack| Queue {
        stretch,
        slack: Duration::from_millis(slack),
        ..yard::queue(name, priority, None)
    };
    Arc::new(QueueConfig {
        queues: vec![queue("quick", 0, 1.5, 250), queue("settle", 2, 4.0, 3_000)],
        customers: by_value.then(Customers::default),
        ..(*yard::queues()).clone()
    })
}

fn site(by_value: bool) -> ShardSim {
    let worker = |i: usize| Worker::new("open", ["r1", "r2"][i % 2], Size::new(36, 140_000, 0));
    let mut y = ShardSim::with(7, config(by_value), (0..WORKERS).map(worker).collect(), 2);
    y.time_step = Duration::from_millis(5);
    y.world.spread = 0.4;
    y
}

/// Submits a job to `queue` every `every` milliseconds; its number starts with `first`.
fn submit(y: &mut ShardSim, queue: &'static str, first: u64, (from, to): (u64, u64), every: u64) {
    for (no, at) in (from..to).step_by(every as usize).enumerate() {
        let tasks = 6 + (no as u32 * 7) % 9;
        let quick = Step { size: Size::new(5, 512, 0), ..step(tasks, 700) };
        let long = Step { size: Size::new(9, 512, 0), saves: true, ..step(2 * tasks, 4_500) };
        let job = match queue {
            "quick" => job([quick]),
            _ => job([long.clone(), Step { after: [0].into(), ..long }]),
        };
        y.at(at, move |y| y.submit(first + no as u64, queue, job));
    }
}

/// Returns for the jobs of a queue how many were in time, late, and too late to have value.
fn outcomes(y: &ShardSim, queue: &str) -> [usize; 3] {
    let config = y.world.queues.queue_by_name(queue).expect("the queue exists");
    let progress = y.progress();
    let mut counts = [0; 3];
    for (no, record) in y.world.jobs.iter().filter(|j| &*j.1.queue == queue) {
        let chain: u64 = record.job.steps.iter().map(|s| s.estimate).sum();
        let objective = chain as f64 * config.stretch + config.slack.as_millis() as f64;
        let took = (progress[no].ended_ms - record.submitted_ms) as f64 / objective;
        counts[usize::from(took > 1.0) + usize::from(took > 3.0)] += 1;
    }
    counts
}

/// Runs a load with the order by value and without; returns the outcomes of the quick and of the
/// long jobs.
fn compare(load: fn(&mut ShardSim)) -> [[[usize; 3]; 2]; 2] {
    let all = [true, false].map(|by_value| {
        let mut y = site(by_value);
        load(&mut y);
        y.run_until(30_000);
        y.run_until_settled(SETTLED_MS);
        ["quick", "settle"].map(|queue| outcomes(&y, queue))
    });
    println!("by value {:?}, baseline {:?}", all[0], all[1]);
    all
}

/// Submits long jobs and quick ones, with a burst of both: quick jobs at six times their rate.
fn burst(y: &mut ShardSim) {
    submit(y, "settle", 1, (500, 20_000), 2_000);
    submit(y, "settle", 1_000, (8_000, 10_000), 200);
    submit(y, "quick", 2_000, (500, 20_000), 250);
    submit(y, "quick", 3_000, (10_000, 14_000), 50);
}

#[test]
fn late_quick_jobs_are_not_lost_beside_long_jobs_with_slack() {
    // Late quick steps would wait behind every long job that can still be in time.
    let [[quick, long], [base_quick, base_long]] = compare(burst);
    assert!(quick[0] > base_quick[0] && quick[2] < base_quick[2]);
    assert!(long[0] + 1 >= base_long[0] && long[2] == 0);
}

#[test]
fn a_successor_that_has_observed_nothing_keeps_the_order() {
    // The observed ratios are lost with the owner in the middle of the burst.
    let [[quick, long], [base_quick, _]] = compare(|y| {
        burst(y);
        y.fault(11_000, |y| {
            y.kill_owner();
            y.take_over();
        });
    });
    assert!(quick[0] > base_quick[0] && quick[2] <= base_quick[2] && long[2] == 0);
}

#[test]
fn nothing_ends_later_in_an_uncontended_pool() {
    let [value, baseline] = [true, false].map(|by_value| {
        let mut y = site(by_value);
        submit(&mut y, "settle", 1, (500, 20_000), 6_000);
        submit(&mut y, "quick", 2_000, (500, 20_000), 500);
        y.run_until(30_000);
        y.run_until_settled(SETTLED_MS);
        y.progress().into_iter().map(|(no, p)| (no, p.ended_ms)).collect::<Vec<_>>()
    });
    assert_eq!(value, baseline);
}

#[test]
fn steps_that_can_wait_do_not_stop_urgent_ones() {
    // A step of a more important queue that can wait would stop runs of an urgent step, which is
    // ordered before it and takes the freed capacity back, until either of them ends.
    let queue = |name, priority, stretch, slack| Queue {
        stretch,
        slack: Duration::from_secs(slack),
        ..yard::queue(name, priority, None)
    };
    let config = Arc::new(QueueConfig {
        queues: vec![queue("patient", 0, 4.0, 600), queue("urgent", 2, 1.0, 1)],
        customers: Some(Customers::default()),
        ..(*yard::queues()).clone()
    });
    let worker = |_| Worker::new("open", "r1", Size::new(36, 140_000, 0));
    let mut y = ShardSim::with(7, config, (0..4).map(worker).collect(), 2);
    y.time_step = Duration::from_millis(5);
    // The urgent jobs need more than the capacity; each is urgent from its arrival.
    let mut tasks = 0;
    for no in 0..20 {
        let (queue, first) = if no % 2 == 0 { ("urgent", 1) } else { ("patient", 1_000) };
        let saving = Step { size: Size::new(9, 512, 0), saves: true, ..step(8, 4_500) };
        tasks += 8;
        y.at(500 + no * 600, move |y| y.submit(first + no, queue, job([saving])));
    }
    y.run_until(30_000);
    y.run_until_settled(SETTLED_MS);
    let stops = y.rules.start_count - tasks;
    println!("{stops} stops of {tasks} tasks");
    assert!(stops <= tasks / 10, "{stops} stops of {tasks} tasks");
}

#[test]
fn a_successor_records_only_run_times_of_its_own_runs() {
    // Of adopted runs without progress it would record the time since the takeover: here three
    // quarters of the estimate, of runs that took longer than the estimate.
    let mut y = site(true);
    y.world.spread = 0.0;
    let set_speed =
        |y: &mut ShardSim, speed| y.world.workers.iter_mut().for_each(|w| w.speed = speed);
    let submit = |y: &mut ShardSim, first: u64| {
        for no in first..first + 12 {
            y.submit(no, "quick", job([Step { size: Size::new(5, 512, 0), ..step(1, 4_000) }]));
        }
    };
    set_speed(&mut y, 0.0);
    y.at(500, move |y| submit(y, 1));
    y.fault(2_000, move |y| {
        y.kill_owner();
        y.take_over();
    });
    y.at(4_000, move |y| set_speed(y, 4.0));
    y.run_until(8_000);
    let ended = y.progress().values().filter(|p| p.ended_ms > 0).count();
    assert_eq!((ended, y.rules.start_count), (12, 12));
    assert_eq!(y.owner().shard.run_ratios("quick"), Some(Ratios::default()));
    set_speed(&mut y, 0.5);
    submit(&mut y, 100);
    y.run_until(20_000);
    y.run_until_settled(SETTLED_MS);
    let Ratios { low, high } = y.owner().shard.run_ratios("quick").expect("there are customers");
    assert!((1.9..2.2).contains(&low) && (1.9..2.2).contains(&high), "{low} {high}");
}
