//! The retry budget: an outage, a few bad endpoints, and which refusals may be tried again.

use {
    dogwoodreach::{
        Error, Kind, Ran, Time,
        decide::retry::{Budget, can_retry},
        ids::CallerId,
    },
    std::time::Duration,
};

const MEMBERS: usize = 5;

/// Plays 20,000 requests at five members over 20 s, each try refused with this chance; the tries
/// in all, and the requests that were served.
fn play(budget: bool, refused: f64) -> (u32, u32) {
    let mut rng = fastrand::Rng::with_seed(5);
    let mut budgets: Vec<_> = (0..MEMBERS).map(|_| Budget::new(Time::ZERO)).collect();
    let (mut sum, mut served) = (0, 0);
    for i in 0..20_000 {
        let now = Time::from_millis(i);
        let caller = CallerId::from(&*format!("caller{}", i % 50));
        let mut member = rng.usize(..MEMBERS);
        for tries in 0..4 {
            budgets[member].tried(tries);
            sum += 1;
            if rng.f64() >= refused {
                served += 1;
                break;
            }
            let error = Error::from(Kind::EndpointRefused);
            if budget && budgets[member].retry(&caller, error, tries + 1, now).is_err() {
                break;
            }
            // The next try is forwarded, and asks another member's budget.
            member = (member + 1) % MEMBERS;
        }
    }
    (sum, served)
}

// All endpoints refuse, as they do when a dependency is down or they are overloaded. Each request
// tried four times makes four times the load, at the worst moment. Over all members and with
// forwarded tries, a tenth more than the first tries is the bound.
#[test]
fn outage_is_not_made_worse() {
    let (ours, _) = play(true, 1.0);
    let (always, _) = play(false, 1.0);
    println!("tries for 20000 requests: {ours}, retry always {always}");
    // The kept ones: five at the start and one a second at each of five members.
    let kept = 5 * (5 + 20);
    assert!(ours <= 22_000 + kept, "{ours}");
    assert!(ours > 21_000);
    assert_eq!(always, 80_000);
}

#[test]
fn few_refusals_are_all_tried_again() {
    let (sum, served) = play(true, 0.05);
    println!("one refusal in twenty: {served} of 20000 served by {sum} tries");
    assert!(served > 19_980);
}

// One caller sends nearly everything and is refused nearly always; another sends a request now and
// then. The first uses up whatever has been earned when the second's single request is refused.
#[test]
fn small_caller_has_a_retry_left() {
    let mut budget = Budget::new(Time::ZERO);
    let refused = || Error::from(Kind::EndpointRefused);
    let (heavy, small) = (CallerId::from("heavy"), CallerId::from("small"));
    let (mut heavies, mut smalls) = (0, 0);
    for i in 0..60_000 {
        let now = Time::from_millis(i);
        budget.tried(0);
        heavies += u32::from(budget.retry(&heavy, refused(), 1, now).is_ok());
        if i % 15_000 == 14_999 {
            smalls += u32::from(budget.retry(&small, refused(), 1, now).is_ok());
        }
    }
    println!("retries: heavy {heavies}, small {smalls} of 4");
    assert_eq!(smalls, 4);
    assert!(heavies <= 6005);
    let spent = budget.retry(&heavy, refused(), 1, Time::from_millis(60_000));
    let spent = spent.expect_err("spent");
    assert_eq!((spent.kind(), spent.kind().answer().ran), (Kind::RetryBudget, Ran::No));
    assert_eq!(spent.back(), Some(Duration::from_secs(1)));
}

// A connection breaks after the request was written: it may have run. Tried again, cover would be
// bound twice. A refusal by admission did not run, but another try adds load where there is too
// much.
#[test]
fn only_what_did_not_run_is_tried_again() {
    let mut budget = Budget::new(Time::ZERO);
    (0..1000).for_each(|_| budget.tried(0));
    for kind in Kind::ALL {
        let result = budget.retry(&CallerId::from("a"), Error::from(kind), 1, Time::ZERO);
        assert_eq!(result.is_ok(), can_retry(kind));
        assert!(result.is_err() || kind.answer().ran == Ran::No, "{kind}");
    }
    use Kind::*;
    for kind in [Late, QueueFull, OverShare, Expired, Timeout, Broken, KeyRunning, OutcomeUnknown] {
        assert!(!can_retry(kind), "{kind}");
    }
    let third = budget.retry(&CallerId::from("a"), EndpointRefused.into(), 3, Time::ZERO);
    assert_eq!(third.map_err(|e| e.kind()), Err(EndpointRefused));
}
