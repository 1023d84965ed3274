//! A gang that takes the whole capacity of its workers.

mod yard;

use {
    dogwoodreach::work::{JobNo, JobState, Step},
    yard::{ShardSim, job, step},
};

#[test]
fn a_gang_that_just_fits_has_its_room_kept() {
    // A gang needs the whole capacity of its pool, and small jobs keep arriving. Each task that
    // ends frees room for one task only, which the next small job takes. Guards against a gang that
    // waits for as long as small jobs arrive: its room must be reserved as it is for smaller gangs.
    let mut yard = ShardSim::new(3, 4);
    let gang = Step { gang: true, ..step(8, 700) };
    yard.at(1_000, move |y| y.submit(1, "open", job([gang])));
    for no in 2..400 {
        yard.at(100 * no, move |y| y.submit(no, "open", job([step(1, 900)])));
    }
    yard.run_until(40_000);
    let progress = yard.progress();
    let done = |no: u64| progress.get(&JobNo(no)).is_some_and(|p| p.state == JobState::Done);
    assert!(done(1), "the gang must be done");
}
