//! When a service counts as lost, slow and recovered.

use {
    dogwoodreach::{
        Time,
        service_health::{Latency, LatencyChange, Reachability, ReachabilityChange},
    },
    std::time::Duration,
};

#[test]
fn lost_and_back_are_told_once() {
    let ms = Time::from_millis;
    let mut service = Reachability::default();
    assert_eq!(service.record(true, ms(1)), None);
    assert_eq!(service.record(false, ms(100)), None);
    assert_eq!(service.record(false, ms(200)), None);
    assert_eq!(service.record(false, ms(300)), Some(ReachabilityChange::Lost(ms(100))));
    assert_eq!(service.record(false, ms(400)), None);
    assert_eq!(
        service.record(true, ms(900)),
        Some(ReachabilityChange::Restored(Duration::from_millis(800)))
    );
    assert_eq!(service.record(true, ms(901)), None);
}

#[test]
fn one_failure_between_answers_is_no_loss() {
    let mut service = Reachability::default();
    for i in 0..100 {
        let change = service.record(i % 3 == 0, Time::from_millis(i));
        assert_eq!(change, None, "call {i}");
    }
}

#[test]
fn a_slow_store_is_told_once_and_again_when_it_is_quick() {
    // Guards against a slow store that no log line reports: it refuses and loses nothing, but jobs
    // are late at all members alike. One late answer must not count as slow; five of nine must.
    let ms = Duration::from_millis;
    let mut latency = Latency::default();
    let mut changes = vec![];
    let answers = [4, 4, 4, 4, 4, 400, 4, 4, 4, 4].into_iter();
    let late = answers.chain([150; 20]).chain([30; 20]).chain([4; 20]);
    for (i, time) in late.enumerate() {
        changes.extend(latency.record(ms(time)).map(|c| (i, c)));
    }
    assert_eq!(changes, [(13, LatencyChange::Slow(ms(150))), (54, LatencyChange::Quick(ms(4)))]);
}
