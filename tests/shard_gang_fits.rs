//! A gang that takes all of its workers' room.

mod yard;

use {
    dogwoodreach::work::{JobNo, State, Step},
    yard::{Yard, job, step},
};

#[test]
fn a_gang_that_just_fits_has_its_room_kept() {
    // Story: a gang needs all that its pool has, and small jobs come without end. Each end frees room
    // for one task, the next small job takes it, and the gang waits as long as they come, unless the
    // room is kept for it as for any smaller gang.
    let mut yard = Yard::new(3, 4);
    let gang = Step { gang: true, ..step(8, 700) };
    yard.at(1_000, move |y| y.submit(1, "open", job([gang])));
    for no in 2..400 {
        yard.at(100 * no, move |y| y.submit(no, "open", job([step(1, 900)])));
    }
    yard.run_until(40_000);
    let progress = yard.progress();
    let done = |no: u64| progress.get(&JobNo(no)).is_some_and(|p| p.state == State::Done);
    assert!(done(1), "it waits on");
}
