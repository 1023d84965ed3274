//! Attempts whose number an earlier owner of the bucket used for a reservation and never committed.

use {
    super::{
        bench::Bench,
        fake::{rack, reserve_ask, start, stop, task},
        owner::Owner,
        told,
    },
    dogwoodreach::{
        ids::Epoch,
        messages::{ReserveRow, TaskRow, TaskState},
        units::Size,
    },
    std::time::Duration,
};

/// Reserves room of one core for task 0 at a member.
fn reserve(b: &mut Bench, member: usize) -> Option<ReserveRow> {
    let now = b.now;
    b.members[member].reserve(&reserve_ask(0, 1, 1), now).rows.pop()
}

/// A bench whose first member has reserved room for task 0 and has passed the rack on since.
fn passed_with_reservation() -> Bench {
    let mut b = Bench::new(2);
    b.run(1000);
    reserve(&mut b, 0).expect("room");
    pass(&mut b, 0, 2, vec![]);
    b
}

#[test]
fn a_void_reservation_does_not_end_its_successor() {
    // A bucket and a rack pass on while an attempt is reserved and not committed. The bucket's next
    // owner uses the number again, was told that the attempt had ended as the void reservation was
    // dropped, and started the task a second time beside the first.
    let mut b = passed_with_reservation();
    b.run(6000);
    let mut owner = Owner::default();
    for _ in 0..100 {
        let now = b.now;
        owner.place(0, 1, &mut b.members[1], now);
        owner.receive_ends(&mut b.members[1]);
        b.run(20);
        assert!(places(&b) < 2, "task 0 runs twice");
    }
    assert!(owner.ended.is_empty());
}

#[test]
fn a_report_from_before_a_start_does_not_end_it() {
    // As above, but the next owner comes while the void reservation still holds its room: the age
    // of the reservation counted as the age of the start, so a report that the start had not
    // reached showed the attempt as over.
    start_while_held(passed_with_reservation);
}

#[test]
fn a_reservation_that_no_start_can_follow_is_not_handed_over() {
    // Room for a batch was reserved as its rack passed on. No start could use it any more, and the
    // next owner kept it closed for over four seconds: the batch, and all others, waited.
    let mut b = passed_with_reservation();
    let now = b.now;
    for n in 1..=2 {
        let rows = b.members[1].reserve(&reserve_ask(n, 1, 16), now).rows;
        assert_eq!(rows.len(), 1, "no room for task {n}");
    }
}

/// Starts task 0 at the rack's new owner at different times after the rack has passed on, with orders
/// that take 300 ms to arrive; it must run and not be reported as lost.
fn start_while_held(passed: fn() -> Bench) {
    for wait in (3000..=5000).step_by(20) {
        let mut b = passed();
        b.run(wait);
        b.order_delay = Duration::from_millis(300);
        let row = reserve(&mut b, 1).expect("room");
        let now = b.now;
        let reply = b.members[1].start(start(&row, 1), now).expect("the rack's owner");
        assert!(reply.refused.is_empty());
        for _ in 0..50 {
            b.run(20);
            assert!(!told(&mut b.members[1]).contains(&TaskState::Lost), "after {wait} ms");
        }
        assert_eq!(places(&b), 1, "after {wait} ms");
    }
}

/// A bench with two workers on which nothing has run for longer than a lease, and room for task 0
/// on one of them that its bucket's owner never starts.
fn idle_with_reservation() -> (Bench, ReserveRow) {
    let mut b = Bench::new(2);
    b.run(30_000);
    let row = reserve(&mut b, 0).expect("room");
    (b, row)
}

/// Lets the next owner of the bucket start task 0, under the number that the first one used.
fn start_again(b: &mut Bench, member: usize) -> Owner {
    let mut owner = Owner::default();
    keep_running(&mut owner, b, member);
    owner
}

/// Lets a bucket's owner place, probe and hear of task 0 for two seconds, in which it must run in one
/// place at most.
fn keep_running(owner: &mut Owner, b: &mut Bench, member: usize) {
    for _ in 0..100 {
        let now = b.now;
        owner.place(0, 1, &mut b.members[member], now);
        owner.probe(&mut b.members[member], now);
        owner.receive_ends(&mut b.members[member]);
        b.run(20);
        assert!(places(b) < 2, "task 0 runs twice");
    }
}

fn places(b: &Bench) -> usize {
    b.workers.values().flat_map(|w| w.runs.keys()).filter(|k| k.0 == task(0)).count()
}

#[test]
fn a_reservation_on_a_vm_that_is_gone_ends_no_later_attempt() {
    // A VM is taken away while room for a task is reserved there and its attempt is not committed.
    // The rack's owner recorded the attempt as lost. The bucket's next owner used the number again
    // on another worker, was told that it was lost, and started the task a second time.
    let (mut b, row) = idle_with_reservation();
    b.vms.remove(&row.worker);
    b.list_vms();
    b.run(6000);
    assert!(start_again(&mut b, 0).ended.is_empty());
}

#[test]
fn a_reservation_on_a_worker_that_turns_silent_ends_no_later_attempt() {
    // As above, but the worker stops answering shortly before the room is reserved.
    let mut b = Bench::new(2);
    b.run(30_000);
    for w in b.workers.values_mut() {
        w.cut_off = true;
    }
    b.run(9000);
    reserve(&mut b, 0).expect("room");
    b.run(2000);
    for w in b.workers.values_mut() {
        w.cut_off = false;
    }
    b.run(6000);
    assert!(start_again(&mut b, 0).ended.is_empty());
}

#[test]
fn a_reservation_of_a_former_owner_ends_no_attempt_after_the_rack_has_come_back() {
    // As in the first case, but the rack passes on before the number is used again, and comes back
    // while the task runs: a probe for the task made the old record valid.
    let (mut b, row) = idle_with_reservation();
    b.vms.remove(&row.worker);
    b.list_vms();
    b.run(6000);
    pass(&mut b, 0, 2, vec![]);
    let mut owner = start_again(&mut b, 1);
    pass(&mut b, 1, 3, vec![]);
    keep_running(&mut owner, &mut b, 0);
    keep_running(&mut owner, &mut b, 0);
}

/// Passes the rack from one member to the other, with its handover, which lists `more` as well.
fn pass(b: &mut Bench, from: usize, epoch: u64, more: Vec<TaskRow>) {
    let (now, to) = (b.now, 1 - from);
    let mut handover = b.members[from].lost(&rack(), Epoch(epoch - 1));
    handover.tasks.extend(more);
    b.members[to].gained(&rack(), Epoch(epoch), now);
    assert!(b.members[to].handover(&handover, now));
    b.run(200);
}

/// A bench as [`passed_with_reservation`], whose first member is of the version that listed its
/// reservations in a handover as attempts that run.
fn passed_by_an_older_member() -> Bench {
    let mut b = Bench::new(2);
    b.run(1000);
    let row = reserve(&mut b, 0).expect("room");
    let listed = TaskRow {
        task: row.task,
        attempt: row.attempt,
        state: TaskState::Running,
        worker: Some(row.worker),
        rack: Some(row.rack),
        epoch: Some(row.epoch),
        size: Size::new(1, 1024, 0),
        tries: None,
        reason: None,
    };
    pass(&mut b, 0, 2, vec![listed]);
    b
}

#[test]
fn a_start_voids_an_earlier_end_of_its_number() {
    // Members are replaced, and one of the older version hands over a reservation and numbers the
    // attempt again as the bucket's owner. Its new rack owner had recorded the reservation as lost,
    // told so as the attempt started, and the task was started a second time.
    let mut b = passed_by_an_older_member();
    b.run(6000);
    assert!(start_again(&mut b, 1).ended.is_empty());
}

#[test]
fn a_report_from_before_a_start_does_not_end_what_was_handed_over() {
    // As above, but the start comes while the reservation still holds its room.
    start_while_held(passed_by_an_older_member);
}

#[test]
fn a_stop_of_an_attempt_that_was_not_started_is_confirmed() {
    // A bucket's owner commits an attempt and dies before it sends the start. Its successor stops the
    // attempt and waits for the word that it is over; without it the task waits for the next probe.
    let mut b = Bench::new(1);
    b.run(1000);
    let row = reserve(&mut b, 0).expect("room");
    let now = b.now;
    b.members[0].start(stop(&row), now);
    b.run(200);
    assert_eq!(told(&mut b.members[0]), [TaskState::Checkpointed]);
}

#[test]
fn a_start_that_outlasts_its_reservation_is_refused() {
    // A bucket's owner is paused between the choice of a start's time-out, which it sends as a
    // duration, and the send. The start arrives as if fresh, after the next owner has started the
    // task elsewhere.
    let mut b = Bench::new(2);
    b.run(1000);
    let row = reserve(&mut b, 0).expect("room");
    b.run(5020);
    let now = b.now;
    let reply = b.members[0].start(start(&row, 1), now).expect("the rack's owner");
    assert_eq!(reply.refused.len(), 1);
    b.run(1000);
    assert_eq!(places(&b), 0);
}

#[test]
fn a_late_release_does_not_free_an_attempt_that_was_handed_over() {
    // A rack passes on while a task runs there. A release of the room that was reserved for the task
    // arrives late, at the new owner, which gave the room to another task beside the running one.
    let mut b = Bench::new(1);
    b.run(1000);
    let now = b.now;
    let row = b.members[0].reserve(&reserve_ask(0, 1, 16), now).rows.pop().expect("room");
    b.members[0].start(start(&row, 16), now).expect("the rack's owner");
    b.run(1000);
    pass(&mut b, 0, 2, vec![]);
    let now = b.now;
    b.members[1].release(&[row], now);
    assert!(b.members[1].reserve(&reserve_ask(1, 1, 16), now).rows.is_empty());
}
