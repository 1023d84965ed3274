//! How a gang comes together: its places, and about whom it asks.

use {
    dogwoodreach::{
        Time,
        decide::gather::{Offer, Share, chunk, soonest},
    },
    std::time::Duration,
};

fn ms(n: u64) -> Time {
    Time::from_millis(n)
}

fn offer(worker: u32, at: u64, slots: u32) -> Offer<u32> {
    Offer { worker, at: ms(at), slots }
}

#[test]
fn its_places_are_those_that_are_there_soonest() {
    let offers = vec![offer(1, 0, 1), offer(2, 500, 2), offer(3, 900, 2), offer(4, 5_000, 9)];
    let places = soonest(offers.clone(), 5).expect("there are five");
    assert_eq!((places.at, places.each), (ms(900), vec![(1, 1), (2, 2), (3, 2)]));
    assert_eq!(soonest(offers, 15), None, "fourteen are all");
}

#[test]
fn it_leaves_free_workers_to_others_where_it_has_to_wait_anyway() {
    // Story: a gang of four waits 2 s for its last worker. Of the others it could have it takes the
    // one that is free now, which stands idle beside work that would have ended by then.
    let offers = vec![offer(1, 0, 1), offer(2, 1_900, 2), offer(3, 2_000, 3)];
    let places = soonest(offers, 4).expect("there are four");
    assert_eq!((places.at, places.each), (ms(2_000), vec![(2, 1), (3, 3)]));
}

#[test]
fn of_workers_that_are_there_at_once_it_takes_few() {
    let offers = vec![offer(1, 0, 1), offer(2, 0, 1), offer(3, 0, 2), offer(4, 0, 2)];
    let places = soonest(offers, 4).expect("there are four");
    assert_eq!(places.each, vec![(3, 2), (4, 2)]);
}

#[test]
fn it_asks_about_as_many_workers_as_it_will_need() {
    // Story: a call takes 4 ms for each worker that it names. Of 350, each with room for two members,
    // one in two may run a step of which 20 members wait: 31 are enough to choose from.
    let mut share = Share::default();
    share.learn(10_000, 5_000);
    let named = |share: &Share, missing| share.named(std::iter::repeat_n(2, 350), missing);
    assert_eq!(named(&share, 20), 31);
    assert_eq!(named(&share, 1_000), 350, "all that there are");
    let mut rare = Share::default();
    rare.learn(10_000, 500);
    assert!(named(&rare, 20) > 250, "the fewer may run it, the more are named");
    assert!(named(&Share::default(), 20) < 50, "a guess to begin with");
}

#[test]
fn calls_side_by_side_name_so_many_that_they_take_by_half_longer() {
    let ms = Duration::from_millis;
    assert_eq!(chunk(ms(310), Duration::from_micros(4_400)), 35);
    assert_eq!(chunk(ms(12), ms(1)), 10, "ten at least");
    assert_eq!(chunk(ms(500), Duration::ZERO), 100, "what one call may name");
}
