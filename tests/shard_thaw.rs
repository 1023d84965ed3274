//! A new owner that stands still right after it has fenced the workers.

mod yard;

use yard::{Yard, job, step};

#[test]
fn a_new_owner_that_freezes_after_its_first_holds_counts_the_former_owners_leases() {
    // Story: an owner dies, its successor asks all workers what runs there, and the successor's
    // machine freezes for a second and a half before it has renewed a single lease. When it wakes, it
    // takes each worker's lease for ended, and starts all that runs there a second time elsewhere.
    // Cause: it knew each worker's clock, but no lease, and counted an unknown lease as none.
    for seed in 1..6 {
        let mut yard = Yard::new(seed, 6);
        for no in 1..9 {
            let queue = if no % 2 == 0 { "open" } else { "plain" };
            yard.at(100 * no, move |y| y.submit(no, queue, job([step(2, 6_000)])));
        }
        yard.fault(3_000, |y| {
            y.kill();
            y.take_over();
        });
        yard.fault(3_001, |y| y.owner().stalled = true);
        yard.fault(4_500, |y| y.owner().stalled = false);
        yard.run_until(8_000);
        yard.settle(60_000);
    }
}
