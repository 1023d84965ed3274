//! Tests a new owner whose process freezes right after it has fenced the workers.

mod yard;

use yard::{ShardSim, job, step};

#[test]
fn a_new_owner_that_freezes_after_its_first_holds_counts_the_former_owners_leases() {
    // An owner dies. Its successor asks all workers what they run, and its machine then freezes for
    // 1.5 s before it has renewed a single lease. When it resumed, it took each worker's lease for
    // ended and started all tasks there a second time elsewhere. It knew the clock of each worker
    // but no lease, and treated an unknown lease as none.
    for seed in 1..6 {
        let mut yard = ShardSim::new(seed, 6);
        for no in 1..9 {
            let queue = if no % 2 == 0 { "open" } else { "plain" };
            yard.at(100 * no, move |y| y.submit(no, queue, job([step(2, 6_000)])));
        }
        yard.fault(3_000, |y| {
            y.kill_owner();
            y.take_over();
        });
        yard.fault(3_001, |y| y.owner().stalled = true);
        yard.fault(4_500, |y| y.owner().stalled = false);
        yard.run_until(8_000);
        yard.run_until_settled(60_000);
    }
}
