//! Tests a new owner with a worker that has ended, while no VM list confirms the end.

mod yard;

use {
    dogwoodreach::{units::Size, work::Step},
    std::time::Duration,
    yard::{ShardSim, job, queues, step, worker::Worker},
};

/// Nine workers of one pool, no VM list, some lasting tasks, and long tasks on all workers.
fn unlisted(seed: u64) -> (ShardSim, usize, usize) {
    let one = |at: usize| Worker::new("open", ["r1", "r2"][at % 2], Size::new(4, 16_384, 1));
    let mut yard = ShardSim::with(seed, queues(), (0..9).map(one).collect(), 2);
    (yard.resend_list, yard.vm_list_down) = (true, true);
    yard.world.bounds.max_lease = Duration::from_secs(6);
    yard.kill_owner();
    yard.take_over();
    yard.submit(1, "open", job([Step { lasts: true, ..step(3, 1_000) }]));
    yard.run_until(500);
    yard.submit(2, "open", job([step(16, 60_000)]));
    yard.run_until(2_000);
    let of = |no: u64| {
        let here = move |w: &Worker| w.runs.iter().any(|r| r.start.task.step.job.0 == no);
        (0..9).filter(|at| here(&yard.world.workers[*at])).collect::<Vec<_>>()
    };
    let home = of(1)[0];
    let other = *of(2).iter().find(|at| **at != home).expect("another");
    (yard, home, other)
}

#[test]
fn a_shard_is_given_back_as_a_worker_ends() {
    // Two workers leave on purpose. As one of them ends with long tasks, which the roster counts,
    // the shard is released just after the lasting tasks of the other were stopped. Nothing
    // confirms that the first worker has ended, so the next owner waits for the longest lease that
    // the former one may have granted, and 2.9 s more in case that owner still acts, although it
    // has released the shard.
    for seed in 1..4 {
        for lead in [0, 400, 800, 1_300] {
            let (mut yard, home, other) = unlisted(seed);
            yard.at(3_000, move |y| y.world.workers[other].leaving_since = Some(y.now));
            yard.at(6_000 - lead, move |y| y.world.workers[home].leaving_since = Some(y.now));
            yard.at(6_000, move |y| y.replace_worker(other, Duration::from_secs(20)));
            yard.at(6_000, |y| y.release_shard(Duration::from_millis(300)));
            yard.run_until(20_000);
        }
    }
}

#[test]
fn an_owner_is_killed_and_a_worker_is_lost() {
    // A worker is lost for good as its owner is killed. The next owner takes over 3.5 s later and
    // waits as above, starting when most workers have answered it.
    for seed in 1..4 {
        for lead in [0, 500, 1_000, 2_000] {
            let (mut yard, home, _) = unlisted(seed);
            yard.fault(5_000 - lead, move |y| y.lose_worker(home));
            yard.fault(5_000, ShardSim::kill_owner);
            yard.fault(8_500, ShardSim::take_over);
            yard.run_until(25_000);
        }
    }
}

#[test]
fn a_worker_is_lost() {
    // Nothing confirms that a lost worker has ended, so its lease must run out first. All tasks of
    // a job were on it; none of them runs until then.
    for seed in 1..4 {
        let (mut yard, home, _) = unlisted(seed);
        yard.fault(5_000, move |y| y.lose_worker(home));
        yard.run_until(20_000);
    }
}

#[test]
fn a_worker_is_lost_under_a_longer_lease() {
    // As above, with leases of 8 s: the job has no running task for longer than callers are
    // promised.
    for seed in 1..4 {
        let (mut yard, home, _) = unlisted(seed);
        yard.world.bounds.max_lease = Duration::from_secs(8);
        yard.kill_owner();
        yard.take_over();
        yard.run_until(3_000);
        yard.fault(5_000, move |y| y.lose_worker(home));
        yard.run_until(20_000);
    }
}
