//! Owners whose view of the workers or of the configuration is older than the deployment's bounds,
//! while the store confirms their lease.

mod hand;
mod yard;

use {
    dogwoodreach::{ids::CustomerId, units::Size},
    hand::Harness,
    std::time::Duration,
    yard::{ShardSim, customers::with_customers, workers},
};

#[test]
fn nothing_starts_on_a_worker_whose_leave_may_be_unheard() {
    // Guards against an owner that reads no list of workers any more, and starts tasks on a worker
    // that has announced that it leaves.
    let mut hand = Harness::new(1);
    hand.workers[0].leaves_in = Some(Duration::from_secs(10));
    hand.run(yard::bounds().drain_time.as_millis() as u64 + 500);
    hand.submit(1, "plain", hand::job(hand::step(1, 1)));
    hand.run(1_000);
    assert!(hand.starts().is_empty(), "{:?}", hand.starts());
}

#[test]
fn nothing_starts_above_a_lowered_cap_that_is_unheard() {
    // Guards against an owner that hears nothing of the configuration, and starts tasks of a customer
    // within what it was allotted of the cap before.
    let caps = |version, cap| with_customers(version, &[("ann", Size::new(cap, 0, 0))]);
    let mut yard = ShardSim::with(1, caps(1, 12), workers(8), 2);
    yard.resend_list = true;
    yard.run_until(500);
    let work = yard::job([yard::step(200, 1_000)]);
    yard.submit_for(Some(CustomerId::from("ann")), 1, "open", work);
    yard.run_until(1_500);
    yard.config_delay = Duration::from_secs(8);
    // The judge checks each start from the time at which the old cap can no longer be in force.
    yard.configure(caps(2, 2));
    yard.run_until(9_000);
}
