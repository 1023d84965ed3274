//! Tests jobs that are submitted while a shard passes from an owner that is cut off from the store
//! to its successor.

mod yard;

use {
    std::time::Duration,
    yard::{ShardSim, job, step},
};

/// Creates a site whose owner is cut off from the store, with a successor that takes `reads` to
/// load the store.
fn passing(seed: u64, reads: Duration) -> ShardSim {
    let mut yard = ShardSim::new(seed, 6);
    yard.at(500, |y| y.submit(1, "plain", job([step(4, 9_000)])));
    yard.fault(2_000, |y| y.cut_store(0));
    yard.fault(5_500, move |y| y.take_over_after(reads));
    yard
}

#[test]
fn a_job_stored_after_the_takeover_is_not_started_by_both_owners() {
    // Both owners receive the job, but only the successor knows of the takeover.
    for seed in 1..9 {
        let mut yard = passing(seed, Duration::from_millis(500));
        for no in 2..8 {
            yard.at(5_400 + no * 80, move |y| y.submit(no, "plain", job([step(3, 400)])));
        }
        yard.run_until(8_000);
        yard.run_until_settled(30_000);
    }
}
