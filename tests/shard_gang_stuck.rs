//! Jobs behind a gang that can never start.

mod yard;

use {
    dogwoodreach::work::{JobNo, JobState, Step},
    yard::{ShardSim, job, step},
};

#[test]
fn a_gang_that_fits_nowhere_holds_up_nothing_else() {
    // A caller submits a gang that needs five cores, and advice allows it one worker, which has
    // four. The gang can never start. Guards against a reservation for it that keeps small jobs off
    // the workers for good.
    for seed in 1..12 {
        let mut yard = ShardSim::new(seed, 6);
        let gang = Step { gang: true, ..step(5, 700) };
        yard.at(100, move |y| y.submit(1, "advised", job([gang])));
        for no in 2..8 {
            let queue = if no % 2 == 0 { "open" } else { "advised" };
            yard.at(no * 1_000, move |y| y.submit(no, queue, job([step(1, 300)])));
        }
        yard.run_until(60_000);
        let progress = yard.progress();
        let done = |n: &u64| progress.get(&JobNo(*n)).is_some_and(|p| p.state == JobState::Done);
        let open: Vec<u64> = (2..8).filter(|n| !done(n)).collect();
        println!("seed {seed}: gang done {}, open {open:?}", done(&1));
        assert!(open.is_empty(), "seed {seed}: {open:?} must be done");
    }
}
