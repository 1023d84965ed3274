//! Tests of the retry budget: an outage, a few bad endpoints, and which refusals may be retried.

use {
    dogwoodreach::{
        Error, Kind, Ran, Time,
        decide::retry::{RetryAllowance, can_retry},
        ids::CallerId,
    },
    std::time::Duration,
};

const MEMBERS: usize = 5;

/// Simulates 20,000 requests at five members over 20 s, in which each try is refused with
/// probability `refused`. Returns the total number of tries and the number of requests served.
fn simulate(budget: bool, refused: f64) -> (u32, u32) {
    let mut rng = fastrand::Rng::with_seed(5);
    let mut budgets: Vec<_> = (0..MEMBERS).map(|_| RetryAllowance::new(Time::ZERO)).collect();
    let (mut sum, mut served) = (0, 0);
    for i in 0..20_000 {
        let now = Time::from_millis(i);
        let caller = CallerId::from(&*format!("caller{}", i % 50));
        let mut member = rng.usize(..MEMBERS);
        for tries in 0..4 {
            budgets[member].record_try(tries);
            sum += 1;
            if rng.f64() >= refused {
                served += 1;
                break;
            }
            let error = Error::from(Kind::EndpointRefused);
            if budget && budgets[member].spend_retry(&caller, error, tries + 1, now).is_err() {
                break;
            }
            // The next try is forwarded and uses another member's budget.
            member = (member + 1) % MEMBERS;
        }
    }
    (sum, served)
}

// All endpoints refuse, as when a dependency is down or they are overloaded. If each request were
// tried four times, the load would be four times as high at the worst moment. Over all members,
// including forwarded tries, retries may add only a tenth to the first tries.
#[test]
fn outage_is_not_made_worse() {
    let (ours, _) = simulate(true, 1.0);
    let (always, _) = simulate(false, 1.0);
    println!("tries for 20000 requests: {ours}, retry always {always}");
    // Reserved retries: five at the start and one a second, at each of five members.
    let reserved = 5 * (5 + 20);
    assert!(ours <= 22_000 + reserved, "{ours}");
    assert!(ours > 21_000);
    assert_eq!(always, 80_000);
}

#[test]
fn few_refusals_are_all_tried_again() {
    let (sum, served) = simulate(true, 0.05);
    println!("one refusal in twenty: {served} of 20000 served by {sum} tries");
    assert!(served > 19_980);
}

// One caller sends nearly all requests, and nearly all of them are refused; another sends a request
// from time to time. The first must not use up the retry that the second needs when its request is
// refused.
#[test]
fn small_caller_has_a_retry_left() {
    let mut budget = RetryAllowance::new(Time::ZERO);
    let refused = || Error::from(Kind::EndpointRefused);
    let (heavy, small) = (CallerId::from("heavy"), CallerId::from("small"));
    let (mut heavy_retries, mut small_retries) = (0, 0);
    for i in 0..60_000 {
        let now = Time::from_millis(i);
        budget.record_try(0);
        heavy_retries += u32::from(budget.spend_retry(&heavy, refused(), 1, now).is_ok());
        if i % 15_000 == 14_999 {
            small_retries += u32::from(budget.spend_retry(&small, refused(), 1, now).is_ok());
        }
    }
    println!("retries: heavy {heavy_retries}, small {small_retries} of 4");
    assert_eq!(small_retries, 4);
    assert!(heavy_retries <= 6005);
    let spent = budget.spend_retry(&heavy, refused(), 1, Time::from_millis(60_000));
    let spent = spent.expect_err("the budget is exhausted");
    assert_eq!((spent.kind(), spent.kind().answer().ran), (Kind::RetryBudget, Ran::No));
    assert_eq!(spent.retry_after(), Some(Duration::from_secs(1)));
}

// A connection breaks after the request was written: it may have run, and a retry would bind the
// insurance cover twice. A request refused by admission did not run, but a retry would add load
// where there is already too much.
#[test]
fn only_what_did_not_run_is_tried_again() {
    let mut budget = RetryAllowance::new(Time::ZERO);
    (0..1000).for_each(|_| budget.record_try(0));
    for kind in Kind::ALL {
        let result = budget.spend_retry(&CallerId::from("a"), Error::from(kind), 1, Time::ZERO);
        assert_eq!(result.is_ok(), can_retry(kind));
        assert!(result.is_err() || kind.answer().ran == Ran::No, "{kind}");
    }
    use Kind::*;
    for kind in [Late, QueueFull, OverShare, Expired, Timeout, Broken, KeyRunning, OutcomeUnknown] {
        assert!(!can_retry(kind), "{kind}");
    }
    let third = budget.spend_retry(&CallerId::from("a"), EndpointRefused.into(), 3, Time::ZERO);
    assert_eq!(third.map_err(|e| e.kind()), Err(EndpointRefused));
}
