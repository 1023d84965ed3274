//! Tests of when a member's calls to the store are relayed, in virtual time.

use dogwoodreach::{
    Time,
    decide::relay::{RelayState, StorePath},
    ids::Incarnation,
};

const ME: Incarnation = Incarnation(5);
const ALL: [Incarnation; 4] = [Incarnation(2), ME, Incarnation(7), Incarnation(9)];

/// Simulates 100 calls a second for ten seconds. The store is unreachable from this member while
/// `away` holds, and from all members while `down` holds. Returns the number of calls served, and
/// of calls that reached a store that refused them.
fn simulate(away: impl Fn(u64) -> bool, down: impl Fn(u64) -> bool, relays: bool) -> (u32, u32) {
    let (mut relay, mut served, mut refused) = (RelayState::default(), 0, 0);
    for ms in (0..10_000).step_by(10) {
        let now = Time::from_millis(ms);
        let repeats = ms % 50 == 0;
        let way = if relays { relay.choose_path(repeats, now) } else { StorePath::Direct };
        if way != StorePath::Relayed {
            let ok = !away(ms) && !down(ms);
            relay.record_direct_call(ok, now);
            if ok {
                served += 1;
                continue;
            }
            refused += 1;
            if !relays || relay.is_relaying_paused(now) {
                continue;
            }
        }
        let by = relay.relay_candidates(&ALL, ME, now)[0];
        relay.record_relay(by, !down(ms), now);
        if down(ms) {
            relay.record_unrelayed(now);
            refused += 1;
        } else {
            served += 1;
        }
    }
    (served, refused)
}

#[test]
fn a_member_that_is_turned_away_is_served_all_the_same() {
    let away = |ms| (2000..8000).contains(&ms);
    let (plain, _) = simulate(away, |_| false, false);
    let (ours, refused) = simulate(away, |_| false, true);
    assert_eq!(plain, 400);
    assert_eq!(ours, 1000);
    // Two when the outage begins, then two a second.
    assert!(refused <= 2 + 12, "{refused} calls were refused");
}

#[test]
fn a_store_that_is_down_gets_few_calls_more() {
    let down = |ms| (2000..8000).contains(&ms);
    let (plain, baseline) = simulate(|_| false, down, false);
    let (ours, refused) = simulate(|_| false, down, true);
    assert_eq!((plain, baseline), (400, 600));
    assert!(ours >= plain);
    assert!(refused <= baseline + 7, "{refused} calls against {baseline}");
}

#[test]
fn a_single_failed_call_does_not_lose_the_direct_path() {
    let mut relay = RelayState::default();
    for ms in 0..1000 {
        relay.record_direct_call(ms % 2 == 0, Time::from_millis(ms));
        assert!(!relay.is_direct_lost());
        assert_eq!(relay.choose_path(false, Time::from_millis(ms)), StorePath::Direct);
    }
}

#[test]
fn calls_too_short_for_an_answer_do_not_lose_the_direct_path() {
    // Guards against calls shortly before a caller's deadline that are taken for a lost store, so
    // that the watch is cut.
    let (mut relay, ms) = (RelayState::default(), Time::from_millis);
    for at in (0..1000).step_by(50) {
        relay.record_timeout(ms(at), ms(at + 30));
        assert!(!relay.is_direct_lost());
    }
    // A call that waited while others were served is no evidence either.
    relay.record_timeout(ms(1000), ms(1600));
    relay.record_direct_call(true, ms(1650));
    relay.record_timeout(ms(1100), ms(1700));
    relay.record_timeout(ms(1100), ms(1700));
    assert!(!relay.is_direct_lost());
    relay.record_timeout(ms(1700), ms(2300));
    relay.record_timeout(ms(1800), ms(2400));
    assert!(relay.is_direct_lost());
}

#[test]
fn who_relayed_last_is_asked_first_and_nobody_asks_itself() {
    let (mut relay, ms) = (RelayState::default(), Time::from_millis);
    let now = ms(0);
    assert_eq!(relay.relay_candidates(&ALL, ME, now), [7, 9, 2].map(Incarnation));
    relay.record_relay(Incarnation(9), true, now);
    assert_eq!(relay.relay_candidates(&ALL, ME, now), [9, 7, 2].map(Incarnation));
    relay.record_relay(Incarnation(9), false, now);
    assert_eq!(relay.relay_candidates(&ALL, ME, now), [7, 2, 9].map(Incarnation));
    assert_eq!(relay.relay_candidates(&ALL, ME, ms(2000)), [7, 9, 2].map(Incarnation));
    assert_eq!(relay.relay_candidates(&[ME], ME, now), []);
    assert_eq!(relay.relay_candidates(&[], ME, now), []);
}

#[test]
fn nothing_is_relayed_for_a_second_after_a_call_that_nobody_relayed() {
    let (mut relay, ms) = (RelayState::default(), Time::from_millis);
    relay.record_unrelayed(ms(0));
    assert!(relay.is_relaying_paused(ms(999)));
    assert!(!relay.is_relaying_paused(ms(1000)));
}

#[test]
fn members_that_are_cut_off_together_do_not_stop_the_relays() {
    // Six of seventeen are cut off. Each of them asks the members that follow it, several of which
    // are cut off as well.
    let all: Vec<Incarnation> = (0..17).map(Incarnation).collect();
    let cut = |m: &Incarnation| m.0 < 6;
    for me in all.iter().copied().filter(cut) {
        let (mut relay, mut unserved) = (RelayState::default(), 0);
        relay.record_direct_call(false, Time::ZERO);
        relay.record_direct_call(false, Time::ZERO);
        for ms in (0..6_000).step_by(10) {
            let now = Time::from_millis(ms);
            if relay.choose_path(false, now) != StorePath::Relayed {
                unserved += 1;
                continue;
            }
            let mut asked = relay.relay_candidates(&all, me, now).into_iter();
            let by = asked.find(|m| {
                relay.record_relay(*m, !cut(m), now);
                !cut(m)
            });
            if by.is_none() {
                relay.record_unrelayed(now);
                unserved += 1;
            }
        }
        // One call that tries four members that are cut off, and the pause after it.
        assert!(unserved <= 101, "{me}: {unserved} of 600 calls were not served");
    }
}

#[test]
fn a_member_that_is_cut_off_gives_its_shards_up_only_to_members_that_are_served() {
    let (mut relay, ms) = (RelayState::default(), Time::from_millis);
    relay.record_direct_call(false, ms(0));
    relay.record_direct_call(false, ms(100));
    relay.record_unrelayed(ms(200));
    assert!(!relay.yields_ownership(ms(900)), "the store is down for all");
    relay.record_relay(Incarnation(7), true, ms(1300));
    assert!(relay.yields_ownership(ms(1300)));
    // The decision lasts until the store serves this member, and does not carry over to the next
    // loss.
    relay.record_relay(Incarnation(7), false, ms(1400));
    relay.record_unrelayed(ms(1400));
    assert!(relay.yields_ownership(ms(1400)));
    relay.record_direct_call(true, ms(1500));
    assert!(!relay.yields_ownership(ms(3000)));
    relay.record_relay(Incarnation(9), true, ms(3000));
    relay.record_direct_call(false, ms(4000));
    relay.record_direct_call(false, ms(4100));
    assert!(!relay.yields_ownership(ms(4800)), "no call has been relayed since the loss");
    relay.record_relay(Incarnation(9), true, ms(4900));
    assert!(relay.yields_ownership(ms(4900)));
}

#[test]
fn a_cut_that_ends_within_half_a_second_moves_no_shard() {
    let (mut relay, ms) = (RelayState::default(), Time::from_millis);
    relay.record_direct_call(false, ms(0));
    relay.record_direct_call(false, ms(100));
    relay.record_relay(Incarnation(7), true, ms(150));
    assert!((150..600).all(|at| !relay.yields_ownership(ms(at))));
    relay.record_direct_call(true, ms(590));
    assert!(!relay.yields_ownership(ms(700)));
}

#[test]
fn the_direct_way_is_tried_by_calls_that_may_be_made_twice() {
    let (mut relay, ms) = (RelayState::default(), Time::from_millis);
    relay.record_direct_call(false, ms(0));
    relay.record_direct_call(false, ms(0));
    assert_eq!(relay.choose_path(true, ms(499)), StorePath::Relayed);
    assert_eq!(relay.choose_path(false, ms(500)), StorePath::Relayed);
    assert_eq!(relay.choose_path(true, ms(500)), StorePath::Probe);
    assert_eq!(relay.choose_path(true, ms(501)), StorePath::Relayed);
    relay.record_direct_call(true, ms(502));
    assert_eq!(relay.choose_path(false, ms(502)), StorePath::Direct);
}
