//! Tests of pools that want more long calls for advice than their members can make.

use {
    dogwoodreach::{
        Time,
        decide::turns::AdviceTurns,
        ids::{Incarnation, PoolId},
    },
    std::time::Duration,
};

const CALL: Duration = Duration::from_millis(600);

#[test]
fn the_pool_whose_calls_take_the_least_goes_first() {
    let pools = ["first", "second"].map(PoolId::from);
    let mut turns = AdviceTurns::new();
    let now = Time::from_millis(1_000);
    for member in 0..3 {
        turns.record_call(&pools[0], Incarnation(member), CALL, now);
    }
    assert!(turns.may_call(&pools[0], true, now), "no other pool waits");
    turns.record_wait(&pools[1], true, now);
    assert!(!turns.may_call(&pools[0], true, now) && turns.may_call(&pools[1], true, now));
    for member in 3..6 {
        turns.record_call(&pools[1], Incarnation(member), CALL, now);
        turns.record_wait(&pools[1], true, now);
    }
    assert!(turns.may_call(&pools[0], true, now), "both pools have calls of the same weight");
    turns.record_call_end(Incarnation(0), now);
    turns.record_wait(&pools[0], true, now);
    assert!(!turns.may_call(&pools[1], true, now), "the other pool's calls weigh less");
}

#[test]
fn calls_for_steps_without_room_count_twice() {
    let pools = ["first", "second"].map(PoolId::from);
    let (mut turns, now) = (AdviceTurns::new(), Time::from_millis(1_000));
    turns.record_call(&pools[0], Incarnation(1), CALL, now);
    turns.record_call(&pools[1], Incarnation(2), CALL, now);
    turns.record_wait(&pools[1], true, now);
    assert!(turns.may_call(&pools[0], true, now), "both pools have calls of the same weight");
    assert!(!turns.may_call(&pools[0], false, now));
    turns.record_wait(&pools[1], false, now);
    assert!(turns.may_call(&pools[0], false, now), "the other pool's step finds no room either");
}

#[test]
fn a_pool_that_asks_no_longer_holds_up_nobody() {
    let pools = ["first", "second"].map(PoolId::from);
    let (mut turns, now) = (AdviceTurns::new(), Time::from_millis(1_000));
    turns.record_call(&pools[0], Incarnation(1), CALL, now);
    turns.record_wait(&pools[1], true, now);
    assert!(!turns.may_call(&pools[0], true, now + Duration::from_millis(300)));
    assert!(turns.may_call(&pools[0], true, now + Duration::from_millis(400)));
}
