//! The calls for advice that one member has in flight for all its callers.

use {
    dogwoodreach::{Time, decide::call_queue::CallQueue},
    std::time::Duration,
};

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn at(n: u64) -> Time {
    Time::from_millis(n)
}

#[test]
fn call_that_would_come_too_late_is_turned_away() {
    // Two calls of 1.7 s of another owner are in flight through a member. A call of 0.83 s that is
    // given up after 2.33 s would wait behind them, be given up, and still be worked on.
    let mut desk = CallQueue::new();
    assert!(desk.admit(ms(1_700), ms(3_200), at(0)).is_some());
    assert!(desk.admit(ms(1_700), ms(4_900), at(0)).is_some());
    assert_eq!(desk.backlog(at(500)), ms(2_900));
    assert_eq!(desk.admit(ms(830), ms(2_330), at(500)), None);
    assert_eq!(desk.backlog(at(500)), ms(2_900), "a rejected call doesn't count");
    assert!(desk.admit(ms(830), ms(3_800), at(500)).is_some(), "with a longer limit");
    assert_eq!(desk.backlog(at(500)), ms(3_730));
}

#[test]
fn next_begins_when_one_is_done() {
    let mut desk = CallQueue::new();
    let first = desk.admit(ms(1_000), ms(2_500), at(0)).expect("no calls in flight");
    let second = desk.admit(ms(1_000), ms(3_500), at(100)).expect("in time");
    desk.record_end(first, at(700));
    assert_eq!(desk.backlog(at(700)), ms(1_000));
    assert_eq!(desk.backlog(at(1_200)), ms(500));
    desk.record_end(first, at(1_300));
    assert_eq!(desk.backlog(at(1_300)), ms(400), "a call ends only once");
    desk.record_end(second, at(1_400));
    assert_eq!(desk.backlog(at(1_400)), ms(0));
    assert!(desk.admit(ms(100), ms(150), at(9_000)).is_some(), "idle time doesn't count");
    assert_eq!(desk.backlog(at(9_040)), ms(60));
}

#[test]
fn late_call_lasts_as_long_as_it_is_late_already() {
    let mut desk = CallQueue::new();
    let first = desk.admit(ms(100), ms(1_600), at(0)).expect("no calls in flight");
    assert_eq!(desk.backlog(at(900)), ms(800));
    assert_eq!(desk.admit(ms(830), ms(1_600), at(900)), None);
    desk.record_end(first, at(901));
    assert!(desk.admit(ms(830), ms(1_600), at(901)).is_some());
}

#[test]
fn what_was_given_up_counts_to_its_reckoned_end() {
    // Callers give up calls that the service still works on. A member that ignored them would take
    // itself for free, and one that waited for their answers would never be free again.
    let mut desk = CallQueue::new();
    let first = desk.admit(ms(1_000), ms(2_500), at(0)).expect("no calls in flight");
    let second = desk.admit(ms(1_000), ms(3_500), at(0)).expect("in time");
    desk.abandon(first);
    desk.abandon(second);
    assert_eq!(desk.backlog(at(400)), ms(1_600));
    assert_eq!(desk.backlog(at(1_400)), ms(600));
    assert_eq!(desk.backlog(at(2_000)), ms(0));
    assert_eq!(desk.backlog(at(60_000)), ms(0));
    // The answer to a later call shows that the abandoned ones before it have ended.
    let first = desk.admit(ms(1_000), ms(2_500), at(60_000)).expect("no calls in flight");
    let second = desk.admit(ms(100), ms(2_500), at(60_000)).expect("in time");
    desk.admit(ms(100), ms(2_500), at(60_000)).expect("in time");
    desk.abandon(first);
    desk.record_end(second, at(60_500));
    assert_eq!(desk.backlog(at(60_500)), ms(100));
}

#[test]
fn one_whose_time_is_not_known_is_turned_away_by_what_is_ahead() {
    // Members of an earlier version don't send the expected duration of a call.
    let mut desk = CallQueue::new();
    assert!(desk.admit(ms(3_000), ms(4_500), at(0)).is_some());
    assert_eq!(desk.admit(ms(0), ms(2_330), at(0)), None);
    let call = desk.admit(ms(0), ms(2_330), at(800)).expect("in time");
    assert_eq!(desk.backlog(at(800)), ms(2_200));
    desk.record_end(call, at(900));
    assert_eq!(desk.backlog(at(900)), ms(2_100));
}
