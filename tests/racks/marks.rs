//! Room that is made for urgent work.

use {
    super::{
        bench::Bench,
        fake::{start, wish},
    },
    dogwoodreach::{ids::Attempt, messages::ReserveAsk},
};

/// A bench whose only worker was full, and on which room was made for task 1.
fn made() -> (Bench, ReserveAsk) {
    let mut b = Bench::new(1);
    b.run(1000);
    let now = b.now;
    let row = b.members[0].reserve(&wish(0, 1, 16), now).rows.pop().expect("room");
    b.members[0].start(start(&row, 16), now);
    b.run(1000);
    let mut urgent = wish(1, 1, 4);
    urgent.items[0].urgent = true;
    // What has just been started can't be stopped yet: the stop would wait behind its start, and the
    // urgent work with it, while others could be stopped at once.
    let now = b.now;
    assert!(!b.members[0].preempt(&urgent, now));
    b.run(300);
    let now = b.now;
    assert!(b.members[0].preempt(&urgent, now));
    b.run(1000);
    assert!(!b.fake(0).runs.contains_key(&(row.task, Attempt(1))));
    (b, urgent)
}

fn room(b: &mut Bench, ask: &ReserveAsk) -> bool {
    let now = b.now;
    !b.members[0].reserve(ask, now).rows.is_empty()
}

#[test]
fn made_room_is_not_for_others() {
    // A task was pushed aside for urgent work. Batch work that waited would take its room first, and
    // the next task would be pushed aside, and so on.
    let (mut b, urgent) = made();
    assert!(!room(&mut b, &wish(2, 1, 1)));
    assert!(room(&mut b, &urgent));
}

#[test]
fn made_room_is_kept_for_a_while_only() {
    // The urgent work is cancelled, or finds room elsewhere. The worker would stay empty for good.
    let (mut b, _) = made();
    b.run(5000);
    assert!(room(&mut b, &wish(2, 1, 1)));
}
