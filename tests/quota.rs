//! Tests of team quotas: lending, return of borrowed room, and refusals.

use dogwoodreach::{
    Time,
    decide::quota::{QuotaGrant, QuotaRequest, Quotas, ReclaimMethod, Refusal},
    ids::{TaskId, TaskIndex},
    units::Size,
};

fn ask(team: &str, index: u32, back: ReclaimMethod) -> QuotaRequest {
    let task = TaskId { job: team.into(), index: TaskIndex(index) };
    QuotaRequest { team: team.into(), task, size: Size::new(1, 1024, 0), reclaim: back }
}

fn cores(n: u64) -> Size {
    Size::new(n, n * 1024, 0)
}

/// Creates teams `a` and `b` with 50 cores each; `a` starts as many of its 200 tasks as it may.
fn a_alone(back: ReclaimMethod) -> (Quotas, u32) {
    let mut q = Quotas::default();
    q.set_quota(&"a".into(), cores(50), 1);
    q.set_quota(&"b".into(), cores(50), 1);
    q.add_waiting(&"a".into(), cores(1), 200);
    let ran = (0..200).filter(|i| q.start(&ask("a", *i, back)) != QuotaGrant::Wait).count();
    (q, ran as u32)
}

// Team b is idle while a has work for the whole cell. With hard quotas, which tasks that can't be
// reclaimed stand for, half of the cell idles. When b submits work, it gets its quota back in
// seconds; with unrestricted borrowing, it would wait for hours until tasks of a end.
#[test]
fn idle_quota_is_lent_and_goes_back_at_a_bounded_rate() {
    let (_, hard) = a_alone(ReclaimMethod::Never);
    let (mut q, lent) = a_alone(ReclaimMethod::Checkpoint);
    assert_eq!((hard, lent), (50, 100));
    assert!(
        q.tasks_to_return(Time::from_millis(10_000)).is_empty(),
        "no lender needs its quota yet"
    );
    q.add_waiting(&"b".into(), cores(1), 50);
    let (mut running, mut seconds) = (0, 0);
    while running < 50 {
        let back = q.tasks_to_return(Time::from_millis(10_000 + seconds * 1000));
        assert!((1..=20).contains(&back.len()) && back.iter().all(|t| q.is_borrowed(t)));
        assert!(
            q.tasks_to_return(Time::from_millis(10_000 + seconds * 1000)).is_empty(),
            "a task was returned twice"
        );
        for task in &back {
            q.record_end(task);
            assert_eq!(q.start(&ask("b", running, ReclaimMethod::Never)), QuotaGrant::Own);
            running += 1;
        }
        seconds += 1;
    }
    assert_eq!((seconds, q.held_resources(&"a".into())), (3, (cores(50), cores(0))));
    assert!(q.tasks_to_return(Time::from_millis(60_000)).is_empty());
}

// A service in borrowed room would never return it.
#[test]
fn only_work_that_can_be_given_back_may_borrow() {
    let (mut q, _) = a_alone(ReclaimMethod::Never);
    assert_eq!(q.start(&ask("a", 300, ReclaimMethod::Never)), QuotaGrant::Wait);
    assert_eq!(q.start(&ask("a", 301, ReclaimMethod::Brief)), QuotaGrant::Borrowed);
    q.add_waiting(&"b".into(), cores(1), 50);
    assert!(
        q.tasks_to_return(Time::from_millis(10_000)).is_empty(),
        "brief tasks must not be stopped"
    );
}

// A gang larger than its team's quota would wait for ever, and the team would not learn why.
#[test]
fn a_gang_over_its_quota_is_refused_with_the_figures() {
    let (q, _) = a_alone(ReclaimMethod::Never);
    assert_eq!(q.check_quota(&"a".into(), cores(50)), Ok(()));
    let refusal = q.check_quota(&"a".into(), Size::new(8, 1024, 1)).unwrap_err();
    let text = "all its tasks at once need 8 cores, 1GB, 1 accelerators, more than the team's quota \
                of 50 cores, 50GB, 0 accelerators";
    assert_eq!(refusal.to_string(), text);
    assert_eq!(q.check_quota(&"c".into(), cores(1)), Err(Refusal::Unknown));
}

// Two teams have borrowed, one of them much more. That one returns room first, starting with its
// newest task. A loan becomes the team's own when own room becomes free, so that it is not
// preempted needlessly.
#[test]
fn the_greatest_borrower_gives_back_first_and_loans_become_own() {
    let mut q = Quotas::default();
    for (team, size) in [("a", 20), ("c", 20), ("b", 60)] {
        q.set_quota(&team.into(), cores(size), 1);
    }
    (0..60).for_each(|i| {
        assert_ne!(q.start(&ask("a", i, ReclaimMethod::Checkpoint)), QuotaGrant::Wait)
    });
    (0..40).for_each(|i| {
        assert_ne!(q.start(&ask("c", i, ReclaimMethod::Checkpoint)), QuotaGrant::Wait)
    });
    assert_eq!(
        (q.held_resources(&"a".into()).1, q.held_resources(&"c".into()).1),
        (cores(40), cores(20))
    );
    q.record_end(&ask("a", 0, ReclaimMethod::Never).task);
    assert!(
        !q.is_borrowed(&ask("a", 20, ReclaimMethod::Never).task)
            && q.is_borrowed(&ask("a", 21, ReclaimMethod::Never).task)
    );
    q.add_waiting(&"b".into(), cores(1), 5);
    let back = q.tasks_to_return(Time::from_millis(10_000));
    let newest: Vec<_> = (56..60).rev().map(|i| ask("a", i, ReclaimMethod::Never).task).collect();
    assert_eq!(back, newest, "one of the five cores is already idle");
}
