//! Attempts whose number an earlier owner of the bucket used for a reservation and never committed.

use {
    super::{
        bench::Bench,
        fake::{rack, reserve_ask, start, task},
        owner::Owner,
        told,
    },
    dogwoodreach::{
        ids::{Attempt, Epoch},
        messages::TaskState,
    },
    std::time::Duration,
};

/// A bench whose first member has reserved room for task 0 and has passed the rack on since.
fn passed_with_reservation() -> Bench {
    let mut b = Bench::new(2);
    b.run(1000);
    let now = b.now;
    assert_eq!(b.members[0].reserve(&reserve_ask(0, 1, 1), now).rows.len(), 1);
    let handover = b.members[0].lost(&rack(), Epoch(1));
    b.members[1].gained(&rack(), Epoch(2), now);
    assert!(b.members[1].handover(&handover, now));
    b.run(200);
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
        let places = b.workers.values().flat_map(|w| w.runs.keys()).filter(|k| k.0 == task(0));
        assert!(places.count() < 2, "task 0 runs twice");
    }
    assert!(owner.ended.is_empty());
}

#[test]
fn a_report_from_before_a_start_does_not_end_it() {
    // As above, but the next owner comes while the void reservation still holds its room: the age
    // of the reservation counted as the age of the start, so a report that the start had not
    // reached showed the attempt as over.
    for wait in (3000..=5000).step_by(20) {
        let mut b = passed_with_reservation();
        b.run(wait);
        b.order_delay = Duration::from_millis(300);
        let now = b.now;
        let row = b.members[1].reserve(&reserve_ask(0, 1, 1), now).rows.pop().expect("room");
        let reply = b.members[1].start(start(&row, 1), now).expect("the rack's owner");
        assert!(reply.refused.is_empty());
        for _ in 0..50 {
            b.run(20);
            assert!(!told(&mut b.members[1]).contains(&TaskState::Lost), "after {wait} ms");
        }
        let runs = |n: usize| b.workers.values().nth(n).map(|w| w.runs.len());
        assert_eq!(runs(0).max(runs(1)), Some(1), "{:?}", (task(0), Attempt(1)));
    }
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
