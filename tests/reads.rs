//! Tests of how much of the store's capacity is left when members answer queries of states, in
//! virtual time.

use dogwoodreach::{Time, decide::reads::ReadBudget};

/// Reads per second that the store serves.
const RATE: f64 = 6_000.0;
const MEMBERS: usize = 41;

/// Simulates one second of queries at each member. Returns how many of them read the store: those
/// admitted if `ours`, otherwise all.
fn simulate(reads: &mut [ReadBudget], second: u64, queries: u64, ours: bool) -> u64 {
    let mut asked = 0;
    for n in 0..queries {
        let now = Time::from_millis(second * 1_000 + n * 1_000 / queries);
        let admitted =
            reads.iter_mut().filter_map(|r| r.admit_query(1, RATE, MEMBERS, now).then_some(()));
        asked += if ours { admitted.count() } else { MEMBERS } as u64;
    }
    asked
}

#[test]
fn questions_without_an_owner_leave_the_store_to_its_renewals() {
    // 70 queries a second at each member, with three reads each, are more than the store serves.
    for ours in [false, true] {
        let mut reads = vec![ReadBudget::default(); MEMBERS];
        let taken: Vec<u64> = (0..10).map(|s| 3 * simulate(&mut reads, s, 70, ours)).collect();
        let over = taken.iter().filter(|t| **t as f64 > RATE).count();
        assert_eq!(over, if ours { 0 } else { 10 }, "{taken:?}");
        if ours {
            assert!(taken[1..].iter().all(|t| *t as f64 <= RATE / 4.0 * 1.1), "{taken:?}");
            assert!(taken.iter().all(|t| *t as f64 >= RATE / 4.0 * 0.8), "{taken:?}");
        }
    }
}

#[test]
fn a_few_questions_are_all_settled_by_the_store() {
    // A shard is taken over under normal load.
    let mut reads = vec![ReadBudget::default(); MEMBERS];
    for second in 0..10 {
        assert_eq!(simulate(&mut reads, second, 6, true), 6 * MEMBERS as u64);
    }
}

#[test]
fn reads_that_a_question_did_not_need_are_left_for_others() {
    let (mut reads, now) = (ReadBudget::default(), Time::ZERO);
    let mut count = |needs: u32| {
        let mut reads = std::mem::take(&mut reads);
        (0..1_000)
            .take_while(|_| {
                reads.admit_query(1, 400.0, 4, now).then(|| reads.refund_reads(1, needs)).is_some()
            })
            .count()
    };
    assert_eq!(count(3), 8);
    assert_eq!(count(1), 23);
}

#[test]
fn a_store_with_a_small_share_for_each_settles_one_question_at_a_time() {
    let mut reads = ReadBudget::default();
    assert!(reads.admit_query(1, 4.0, 100, Time::ZERO));
    assert!(!reads.admit_query(1, 4.0, 100, Time::from_millis(1_000)));
    assert!(reads.admit_query(1, 4.0, 100, Time::from_millis(400_000)));
}

#[test]
fn a_query_for_a_job_in_any_of_many_shards_is_answered_in_the_end() {
    // Guards against a state that is never told, as its reads exceed all that a member may save.
    let mut reads = ReadBudget::default();
    let admitted =
        (0..10).filter(|s| reads.admit_query(16, 40.0, 4, Time::from_millis(s * 10_000)));
    assert_eq!(admitted.count(), 10 / 2);
}
