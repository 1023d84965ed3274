//! Owners that a partition of the network separates, each with a part of the workers.

mod yard;

use {
    std::time::Duration,
    yard::{ShardSim, job, step},
};

/// A site whose first owner is cut off from the store and hears from three of its five workers. A
/// second owner takes over three seconds later and hears from the other two.
fn parted(seed: u64) -> ShardSim {
    let mut yard = ShardSim::new(seed, 5);
    // The tasks of job 1 leave no room on one worker for two tasks of job 2, and end later.
    yard.at(1_000, |y| y.submit(1, "open", job([step(3, 10_000)])));
    yard.at(1_500, |y| y.submit(2, "open", job([step(3, 30_000)])));
    yard.at(2_000, |y| y.submit(3, "plain", job([step(3, 30_000)])));
    yard.fault(6_000, |y| {
        y.cut_store(0);
        y.cut_workers(0, 3..5);
    });
    yard.fault(9_000, |y| {
        y.take_over();
        y.cut_workers(1, 0..3);
    });
    yard
}

#[test]
fn a_former_owner_starts_nothing_again_that_its_successor_may_hold() {
    // The first owner hears from most workers and goes on. A lease after the partition it took the
    // runs of the other two workers for ended and started their tasks again, while the second owner
    // kept the runs alive.
    for seed in 1..6 {
        let mut yard = parted(seed);
        yard.run_until(25_000);
        yard.fault(25_001, |y| y.owners[1].unreached.clear());
        yard.run_until_settled(120_000);
    }
}

#[test]
fn a_former_owner_and_its_successor_do_not_both_hear_from_most_workers() {
    // As above, and four workers start beside the second owner. It counted six of nine workers, and
    // a lease later it started the tasks of the other three again, whose leases the first owner, with
    // three of five, went on renewing.
    for seed in 1..6 {
        let mut yard = ShardSim::new(seed, 9);
        for at in 5..9 {
            yard.fault(500, move |y| y.crash_worker(at, Duration::from_secs(10)));
        }
        yard.at(5_000, |y| y.submit(1, "open", job([step(3, 40_000)])));
        yard.at(5_500, |y| y.submit(2, "plain", job([step(3, 40_000)])));
        yard.fault(7_000, |y| {
            y.cut_store(0);
            y.cut_workers(0, 3..9);
        });
        yard.fault(10_000, |y| {
            y.take_over();
            y.cut_workers(1, 0..3);
        });
        yard.run_until(35_000);
        yard.fault(35_001, |y| y.owners[1].unreached.clear());
        yard.run_until_settled(150_000);
    }
}
