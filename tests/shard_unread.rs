//! Tests a new owner that receives the configuration after its workers have answered.

mod yard;

use {
    dogwoodreach::work::{JobNo, JobState},
    std::time::Duration,
    yard::{ShardSim, job, step, store::Mode},
};

#[test]
fn failures_that_were_heard_before_the_configuration_count() {
    // A task fails for the last time while the store is down, and the owner dies before that is
    // stored. Its successor learns all failures from the workers, and only afterwards how many the
    // queue allows. It took the missing limit as permission to start the task a fourth time.
    for seed in 1..6 {
        let mut yard = ShardSim::new(seed, 6);
        yard.at(100, |y| y.submit(1, "open", job([step(1, 600)])));
        yard.world.failing_steps.insert((JobNo(1), 0));
        yard.fault(300, |y| y.store.health = Mode::Down);
        yard.fault(6_000, |y| {
            y.kill_owner();
            y.store.health = Mode::Up;
            y.initial_delay = Duration::from_millis(300);
            y.take_over();
        });
        yard.run_until(12_000);
        assert_eq!(yard.rules.start_count, 3, "seed {seed}: the task starts three times");
        assert_eq!(yard.progress()[&JobNo(1)].state, JobState::Failed, "seed {seed}");
    }
}
