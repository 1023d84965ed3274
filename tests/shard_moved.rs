//! Jobs whose queue the operators move to another pool.

mod yard;

use {
    dogwoodreach::{
        ids::PoolId,
        units::Size,
        work::{JobState, QueueConfig, Step},
    },
    std::{ops::Range, sync::Arc, time::Duration},
    yard::{ShardSim, job, queues, step, worker::Worker, workers},
};

const SEEDS: Range<u64> = 1..4;

/// A version of the configuration in which the queue `plain` uses this pool.
fn plain_uses(pool: &str, version: u64) -> Arc<QueueConfig> {
    let mut config = QueueConfig { version, ..(*queues()).clone() };
    let plain = config.queues.iter_mut().filter(|q| &*q.name == "plain");
    plain.for_each(|q| q.pool = PoolId::from(pool));
    Arc::new(config)
}

/// A shard of the pool `guarded` alone, as in a deployment whose pools have shards of their own.
fn guarded(seed: u64) -> ShardSim {
    let one = |at: usize| Worker::new("guarded", ["r1", "r2"][at % 2], Size::new(4, 16_384, 1));
    ShardSim::with(seed, queues(), (0..6).map(one).collect(), 2)
}

/// A job of two steps, the second of which is a gang.
fn submit_two_steps(yard: &mut ShardSim, no: u64) {
    let next = Step { after: [0].into(), gang: true, ..step(2, 500) };
    yard.submit(no, "plain", job([step(2, 1_500), next]));
}

#[test]
fn a_job_is_completed_in_its_pool_after_its_queue_has_moved() {
    // Guards against steps that never start, as the shard has no workers of the queue's new pool.
    for seed in SEEDS {
        let mut yard = guarded(seed);
        yard.at(1_000, |y| submit_two_steps(y, 1));
        yard.at(1_500, |y| y.configure(plain_uses("open", 2)));
        yard.run_until(2_000);
        yard.run_until_settled(8_000);
        assert_eq!(yard.stored_state(1), Some(JobState::Done));
    }
}

#[test]
fn jobs_are_completed_over_any_series_of_moves_and_owners() {
    // Guards against jobs that wait for ever at a new owner, which knows only the newest version, and
    // against lasting tasks that a move keeps away.
    for seed in SEEDS {
        let mut yard = guarded(seed);
        let lasting = Step { lasts: true, may_miss: Some(1), ..step(3, 1_000) };
        yard.submit(100, "plain", job([lasting]));
        for no in 1..9 {
            yard.at(no * 700, move |y| submit_two_steps(y, no));
            let pool = ["open", "guarded", "absent"][no as usize % 3];
            yard.at(no * 700 + 350, move |y| y.configure(plain_uses(pool, 1 + no)));
        }
        yard.at(2_000, |y| y.release_shard(Duration::from_millis(300)));
        yard.fault(3_500, |y| y.kill_owner());
        yard.at(6_500, |y| y.take_over());
        yard.at(8_000, |y| y.crash_worker(0, Duration::from_secs(1)));
        yard.run_until(12_000);
        yard.at(30_000, |y| y.cancel(100));
        yard.run_until(31_000);
        yard.run_until_settled(45_000);
        assert!((1..9).all(|no| yard.stored_state(no) == Some(JobState::Done)));
    }
}

#[test]
fn a_job_goes_on_in_the_new_pool_of_its_queue_once_its_own_has_no_workers() {
    // Guards against a job that waits for ever for a pool that the operators have replaced.
    for seed in SEEDS {
        let mut yard = ShardSim::with(seed, queues(), workers(8), 2);
        yard.at(1_000, |y| submit_two_steps(y, 1));
        yard.at(1_200, |y| {
            let moved = plain_uses("open", 2);
            y.world.configure(moved.clone());
            y.configure(moved);
        });
        for at in [0, 1, 4, 5] {
            yard.at(1_400, move |y| y.lose_worker(at));
        }
        yard.run_until(2_000);
        yard.run_until_settled(30_000);
        assert_eq!(yard.stored_state(1), Some(JobState::Done));
    }
}
