//! When a member counts as too slow for its shards.

use {
    dogwoodreach::{
        Time,
        decide::pace_monitor::{PaceMonitor, SpeedMonitor},
    },
    std::time::Duration,
};

const LONG_OWNED: Time = Time::ZERO;

/// Passes of these durations, in milliseconds, one after the other, from 10 s on; returns when the
/// member first counts as slow, as the time since then.
fn slow_after(owned_since: Time, passes_ms: impl IntoIterator<Item = u64>) -> Option<u64> {
    let mut now_ms = 10_000;
    let mut pace = PaceMonitor::new(Time::from_millis(now_ms));
    for ms in passes_ms {
        now_ms += ms;
        let now = Time::from_millis(now_ms);
        pace.record_pass(now);
        if pace.is_slow(owned_since, now) {
            return Some(now_ms - 10_000);
        }
    }
    None
}

#[test]
fn a_member_whose_passes_stay_long_is_slow_within_a_second() {
    // Guards against an owner on a VM without processor time that keeps its shard for seconds.
    let at = slow_after(LONG_OWNED, [90; 20]).expect("slow");
    assert!(at <= 1000, "{at} ms");
}

#[test]
fn a_busy_member_is_not_slow() {
    // Guards against a handover that no other member would do better after: the longest passes of
    // an owner at normal speed, and an idle one's timer.
    assert_eq!(slow_after(LONG_OWNED, [10; 1000]), None);
    assert_eq!(slow_after(LONG_OWNED, [20; 1000]), None);
    assert_eq!(slow_after(LONG_OWNED, [5, 5, 5, 60].into_iter().cycle().take(1000)), None);
}

#[test]
fn one_pause_is_not_slow() {
    // Guards against shards that move because a process stood still once and is as fast as before.
    let passes = [10; 50].into_iter().chain([3000]).chain([10; 200]);
    assert_eq!(slow_after(LONG_OWNED, passes), None);
}

#[test]
fn a_shard_stays_with_its_new_owner_for_five_seconds() {
    // Guards against shards that circulate while all members are slow.
    let at = slow_after(Time::from_millis(10_000), [90; 200]).expect("slow");
    assert!((5000..5500).contains(&at), "{at} ms");
}

#[test]
fn a_member_without_shards_is_slow_while_it_computes_slowly() {
    // Guards against a shard that moves from one slow member to another.
    let us = Duration::from_micros;
    let mut speed = SpeedMonitor::default();
    [60, 55, 500, 58].into_iter().for_each(|t| speed.record_computation(us(t)));
    assert!(!speed.is_slow(), "one computation was interrupted");
    [400, 420].into_iter().for_each(|t| speed.record_computation(us(t)));
    assert!(speed.is_slow());
    speed.record_computation(us(60));
    assert!(!speed.is_slow());
}
