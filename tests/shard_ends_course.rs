//! Owners that end, release the shard or lose the store while workers have more ends than a report
//! lists, in the simulation with its judge.

mod yard;

use {
    dogwoodreach::{units::Size, work::Step},
    standin::site::store::Mode,
    std::time::Duration,
    yard::{ShardSim, job, queues, step, worker::Worker},
};

const SEEDS: std::ops::Range<u64> = 1..3;
const JOBS: u64 = 12;
/// The time by which all tasks of the first steps run, in milliseconds.
const RUNNING_MS: u64 = 1_500;

/// Two workers with 1,200 small tasks, whose ends come between 2.4 and 7.2 s, and a last task
/// after each 100 of them.
fn many_tasks(seed: u64) -> ShardSim {
    let worker = |_| Worker::new("open", "r1", Size::new(4, 16_384, 0));
    let mut yard = ShardSim::with(seed, queues(), (0..2).map(worker).collect(), 1);
    yard.world.spread = 0.5;
    let size = Size::new(0, 1, 0);
    let steps =
        [Step { size, ..step(100, 4_000) }, Step { size, after: [0].into(), ..step(1, 300) }];
    (1..=JOBS).for_each(|no| yard.submit(no, "open", job(steps.clone())));
    yard.run_until(RUNNING_MS);
    yard
}

fn store_down(yard: &mut ShardSim, from: u64, to: u64) {
    yard.fault(from, |y| y.store.health = Mode::Down);
    yard.at(to, |y| y.store.health = Mode::Up);
}

/// Runs until all jobs are over; some reports must have been cut off.
fn finish(mut yard: ShardSim) {
    yard.run_until_settled(40_000);
    assert!(yard.world.cut_off_lists > 0, "seed {}", yard.rules.seed);
}

// Guards against tasks that start again although they are done, under an owner that goes on.
#[test]
fn the_store_is_away_twice() {
    for seed in SEEDS {
        let mut yard = many_tasks(seed);
        store_down(&mut yard, 1_600, 7_500);
        store_down(&mut yard, 7_700, 10_000);
        finish(yard);
    }
}

// Guards against the same in a shard that is released with ends that no report has listed.
#[test]
fn the_shard_is_released() {
    for seed in SEEDS {
        for after in [0, 60] {
            let mut yard = many_tasks(seed);
            store_down(&mut yard, 1_600, 7_500);
            yard.at(7_500 + after, |y| y.release_shard(Duration::from_millis(60)));
            finish(yard);
        }
    }
}

// Guards against jobs that don't go on under a successor, and under its successors.
#[test]
fn the_owner_is_killed_again_and_again() {
    for seed in SEEDS {
        let mut yard = many_tasks(seed);
        yard.fault(1_600, ShardSim::kill_owner);
        for ms in [7_500, 7_700, 8_000] {
            yard.at(ms, ShardSim::take_over);
            yard.fault(ms + 150, ShardSim::kill_owner);
        }
        yard.at(8_500, ShardSim::take_over);
        finish(yard);
    }
}

// Guards against jobs that a cancel leaves with unlisted ends, and against ends of a worker that
// crashes with them.
#[test]
fn jobs_are_cancelled_and_a_worker_crashes() {
    for seed in SEEDS {
        let mut yard = many_tasks(seed);
        store_down(&mut yard, 1_600, 7_500);
        yard.at(7_550, |y| (1..=JOBS / 2).for_each(|no| y.cancel(no)));
        yard.fault(7_600, |y| y.crash_worker(1, Duration::from_millis(500)));
        finish(yard);
    }
}
