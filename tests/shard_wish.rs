//! Tests room that is reserved for a starving step, and lasting tasks that wait behind it.

mod hand;
mod yard;

use {
    dogwoodreach::{units::Size, work::Step},
    hand::{Harness, job, step, task},
    yard::{ShardSim, queues, worker::Worker},
};

fn lasting(count: u32, cores: u64) -> Step {
    Step { lasts: true, may_miss: Some(1), ..step(count, cores) }
}

#[test]
fn a_step_that_fits_no_worker_reserves_no_room() {
    // A step of four lasting tasks allows one task per worker, and there are three workers. The
    // fourth task waits for another worker. As the pool has spare room, room was soon reserved for
    // the task on the three workers, where it may not run. Two lasting tasks of another job were
    // absent beside room for six until another worker joined.
    let mut hand = Harness::new(3);
    hand.submit(1, "plain", job(Step { apart: 1, ..lasting(4, 2) }));
    hand.run(10_000);
    assert_eq!((0..4).filter(|i| hand.workers_running(task(1, *i)).len() == 1).count(), 3);
    hand.submit(2, "plain", job(lasting(2, 1)));
    hand.run(3_000);
    assert!((0..2).all(|i| hand.workers_running(task(2, i)).len() == 1), "they run");
}

/// Nine workers of one pool, three of which have the label `gpu`. On each of the three runs a task
/// of three cores that lasts or takes a minute.
fn labelled(seed: u64, lasts: bool) -> ShardSim {
    let one = |at: usize| {
        let mut w = Worker::new("open", ["r1", "r2"][at % 2], Size::new(4, 16_384, 1));
        w.labels.extend((at < 3).then(|| "gpu".into()));
        w
    };
    let mut yard = ShardSim::with(seed, queues(), (0..9).map(one).collect(), 2);
    yard.resend_list = true;
    yard.submit(1, "open", job(Step { apart: 1, lasts, estimate: 60_000, ..gpu(3, 3) }));
    yard.run_until(2_000);
    yard
}

fn gpu(count: u32, cores: u64) -> Step {
    Step { needs: Some("gpu".into()), estimate: 1_000, ..lasting(count, cores) }
}

#[test]
fn no_room_is_kept_beside_what_lasts() {
    // Lasting tasks of three cores run on each of the three labelled workers of four cores. Three
    // lasting tasks of two cores wait for such workers, and the one remaining core of each was
    // reserved for them, although the other cores never become free. Two tasks of one core were
    // absent beside room for three.
    for seed in 1..4 {
        let mut yard = labelled(seed, true);
        yard.submit(2, "open", job(gpu(3, 2)));
        yard.run_until(8_000);
        yard.submit(3, "open", job(gpu(2, 1)));
        yard.run_until(25_000);
    }
}

#[test]
fn room_is_not_kept_from_what_lasts_until_long_tasks_end() {
    // Tasks of three cores that take a minute run on each of the three labelled workers of four
    // cores. Three tasks of two cores that end by themselves wait for such workers and starve, and
    // the one remaining core of each was reserved for them until the long tasks ended. Two lasting
    // tasks of one core were absent beside room for three.
    for seed in 1..4 {
        let mut yard = labelled(seed, false);
        let ends = Step { lasts: false, ..gpu(3, 2) };
        yard.submit(2, "open", job(ends));
        yard.run_until(8_000);
        yard.submit(3, "open", job(gpu(2, 1)));
        yard.run_until(25_000);
    }
}

#[test]
fn room_is_not_kept_from_what_lasts_until_a_gang_can_start() {
    // Tasks of three cores that take a minute run on each of the three labelled workers of four
    // cores. A gang of three tasks of two cores waits for such workers, and the one remaining core
    // of each was reserved for it until the long tasks ended. Two lasting tasks of one core were
    // absent beside room for three.
    for seed in 1..4 {
        let mut yard = labelled(seed, false);
        let gang = Step { lasts: false, gang: true, saves: true, ..gpu(3, 2) };
        yard.submit(2, "open", job(gang));
        yard.run_until(8_000);
        yard.submit(3, "open", job(gpu(2, 1)));
        yard.run_until(25_000);
    }
}
