//! Tests that the faults and jobs of a soak depend on its seed alone and include all kinds.

use {
    standin::site::plan::{Fault, draw_job, faults, unheard},
    std::{collections::BTreeSet, mem::discriminant, time::Duration},
};

const LENGTH: Duration = Duration::from_secs(240);

#[test]
fn a_seed_plays_the_same_again() {
    assert_eq!(faults(3, LENGTH, 5, 24), faults(3, LENGTH, 5, 24));
    assert_ne!(faults(3, LENGTH, 5, 24), faults(4, LENGTH, 5, 24));
    let all = |seed| {
        let mut rng = fastrand::Rng::with_seed(seed);
        (0..50).map(|_| draw_job(&mut rng, 24, 0)).collect::<Vec<_>>()
    };
    assert_eq!(all(3), all(3));
}

#[test]
fn each_kind_of_fault_comes() {
    let (faults, kinds) = (faults(3, LENGTH, 5, 24), 36);
    assert!(faults.len() > 2 * kinds, "{}", faults.len());
    let named: BTreeSet<String> =
        faults.iter().map(|f| format!("{:?}", discriminant(&f.fault))).collect();
    assert_eq!(named.len(), kinds);
    assert!(faults.iter().all(|f| f.at < LENGTH));
    assert!(faults.is_sorted_by_key(|f| f.at));
}

#[test]
fn jobs_of_all_kinds_come_and_may_be_asked_for() {
    let mut rng = fastrand::Rng::with_seed(1);
    let all: Vec<_> = (0..500).map(|_| draw_job(&mut rng, 24, 0)).collect();
    assert!(all.iter().all(|d| d.job.check().is_ok()));
    let any = |what: &dyn Fn(&dogwoodreach::work::Step) -> bool| {
        assert!(all.iter().any(|d| d.job.steps.iter().any(what)));
    };
    any(&|s| !s.after.is_empty());
    any(&|s| s.gang && s.tight);
    any(&|s| s.lasts);
    any(&|s| s.fills);
    any(&|s| s.copies);
    any(&|s| s.saves);
    assert!(all.iter().any(|d| d.job.times.is_some()));
    assert!(all.iter().any(|d| d.fails) && all.iter().any(|d| d.resubmit));
    assert!(all.iter().any(|d| d.cancel.is_some()));
}

#[test]
fn the_owner_is_kept_from_hearing_of_cancels() {
    // Guards against a soak in which no fault keeps cancels from the owner alone.
    let all = unheard(3, LENGTH, 5);
    assert_eq!(all, unheard(3, LENGTH, 5));
    use Fault::{Burst, Cancels, Losing, RefusingAll, RefusingOwner, SilentOwner};
    for fault in [RefusingOwner, RefusingAll(5), SilentOwner, Cancels, Losing(2), Burst(30)] {
        assert!(all.iter().any(|f| f.fault == fault), "{fault}");
    }
    assert!(!all.iter().any(|f| f.fault.delays_orders()), "bounds on caps would be longer");
    assert!(all.iter().all(|f| f.at < LENGTH));
}
