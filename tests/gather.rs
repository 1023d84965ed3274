//! How a gang gets its workers, and about which workers it asks.

use {
    dogwoodreach::{
        Time,
        decide::gather::{AdviceShare, Offer, call_size, soonest_placement},
    },
    std::time::Duration,
};

fn ms(n: u64) -> Time {
    Time::from_millis(n)
}

fn offer(worker: u32, at: u64, slots: u32) -> Offer<u32> {
    Offer { worker, available_at: ms(at), slots }
}

#[test]
fn its_places_are_those_that_are_there_soonest() {
    let offers = vec![offer(1, 0, 1), offer(2, 500, 2), offer(3, 900, 2), offer(4, 5_000, 9)];
    let places = soonest_placement(offers.clone(), 5).expect("there are five");
    assert_eq!(
        (places.available_at, places.member_counts),
        (ms(900), vec![(1, 1), (2, 2), (3, 2)])
    );
    assert_eq!(soonest_placement(offers, 15), None, "there are fourteen in all");
}

#[test]
fn it_leaves_free_workers_to_others_where_it_has_to_wait_anyway() {
    // A gang of four waits 2 s for its last worker. If it took the worker that is free now, that
    // worker would be idle until then, although other workers end their work by then anyway.
    let offers = vec![offer(1, 0, 1), offer(2, 1_900, 2), offer(3, 2_000, 3)];
    let places = soonest_placement(offers, 4).expect("there are four");
    assert_eq!((places.available_at, places.member_counts), (ms(2_000), vec![(2, 1), (3, 3)]));
}

#[test]
fn of_workers_that_are_there_at_once_it_takes_few() {
    let offers = vec![offer(1, 0, 1), offer(2, 0, 1), offer(3, 0, 2), offer(4, 0, 2)];
    let places = soonest_placement(offers, 4).expect("there are four");
    assert_eq!(places.member_counts, vec![(3, 2), (4, 2)]);
}

#[test]
fn it_asks_about_as_many_workers_as_it_will_need() {
    // A call takes 4 ms for each worker that it names. There are 350 workers, each with room for
    // two members, and half of them may run a step with 20 missing members: 31 are enough to choose
    // from.
    let mut share = AdviceShare::default();
    share.record(10_000, 5_000);
    let named =
        |share: &AdviceShare, missing| share.workers_to_ask(std::iter::repeat_n(2, 350), missing);
    assert_eq!(named(&share, 20), 31);
    assert_eq!(named(&share, 1_000), 350, "all workers");
    let mut rare = AdviceShare::default();
    rare.record(10_000, 500);
    assert!(named(&rare, 20) > 250, "the smaller the share, the more are named");
    assert!(named(&AdviceShare::default(), 20) < 50, "the prior without any answer");
}

#[test]
fn calls_side_by_side_name_so_many_that_they_take_by_half_longer() {
    let ms = Duration::from_millis;
    assert_eq!(call_size(ms(310), Duration::from_micros(4_400)), 35);
    assert_eq!(call_size(ms(12), ms(1)), 10, "at least ten");
    assert_eq!(call_size(ms(500), Duration::ZERO), 100, "the most that one call may name");
}
