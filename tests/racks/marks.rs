//! Tests of the room that is freed for urgent work by preemption.

use {
    super::{
        bench::Bench,
        fake::{reserve_ask, start},
    },
    dogwoodreach::{ids::Attempt, messages::ReserveAsk},
};

/// Creates a bench whose only worker was full and on which a task was preempted for task 1.
fn preempted_bench() -> (Bench, ReserveAsk) {
    let mut bench = Bench::new(1);
    bench.run(1000);
    let now = bench.now;
    let row = bench.members[0].reserve(&reserve_ask(0, 1, 16), now).rows.pop().expect("room");
    bench.members[0].start(start(&row, 16), now);
    bench.run(1000);
    let mut urgent = reserve_ask(1, 1, 4);
    urgent.items[0].urgent = true;
    // A task that has just been started is not preempted: the stop would wait for the start, and so
    // would the urgent work, although other tasks could be stopped at once.
    let now = bench.now;
    assert!(!bench.members[0].preempt(&urgent, now));
    bench.run(300);
    let now = bench.now;
    assert!(bench.members[0].preempt(&urgent, now));
    bench.run(1000);
    assert!(!bench.fake(0).runs.contains_key(&(row.task, Attempt(1))));
    (bench, urgent)
}

fn has_room(bench: &mut Bench, ask: &ReserveAsk) -> bool {
    let now = bench.now;
    !bench.members[0].reserve(ask, now).rows.is_empty()
}

#[test]
fn made_room_is_not_for_others() {
    // Guards against waiting batch work that takes the room of a preempted task before the urgent
    // work does, which would cause one preemption after another.
    let (mut bench, urgent) = preempted_bench();
    assert!(!has_room(&mut bench, &reserve_ask(2, 1, 1)));
    assert!(has_room(&mut bench, &urgent));
}

#[test]
fn made_room_is_kept_for_a_while_only() {
    // Guards against a worker that stays empty forever because the urgent work was cancelled or
    // found room elsewhere.
    let (mut bench, _) = preempted_bench();
    bench.run(5000);
    assert!(has_room(&mut bench, &reserve_ask(2, 1, 1)));
}
