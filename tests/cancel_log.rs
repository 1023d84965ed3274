//! Tests the log of acknowledged cancels.

use {
    dogwoodreach::{
        Time,
        cancel_log::{AcknowledgedCancel, CancelLog},
        shard::record::{CancelRecord, ShardNo},
        work::JobNo,
    },
    std::time::Duration,
};

fn cancel(no: u64) -> AcknowledgedCancel {
    AcknowledgedCancel { shard: ShardNo(0), job: JobNo(no), record: CancelRecord::default() }
}

fn jobs(log: &CancelLog, age_ms: u64, now_ms: u64) -> Option<Vec<u64>> {
    let (age, now) = (Duration::from_millis(age_ms), Time::from_millis(now_ms));
    assert_eq!(log.last(&[ShardNo(1)], age, now).unwrap_or_default(), [], "of another shard");
    let cancels = log.last(&[ShardNo(0)], age, now)?;
    Some(cancels.iter().map(|c| c.job.0).collect())
}

#[test]
fn a_log_that_does_not_reach_back_says_so() {
    // Guards against an owner that takes a shortened list of cancels for all of them.
    let mut log = CancelLog::default();
    assert_eq!(jobs(&log, 100_000, 50_000), Some(vec![]), "a new process has acknowledged none");
    for no in 0..3 {
        log.record(cancel(no), Time::from_millis(no * 1_000));
    }
    assert_eq!(jobs(&log, 1_000, 2_000), Some(vec![1, 2]));
    assert_eq!(jobs(&log, 9_000, 2_000), Some(vec![0, 1, 2]));
    log.record(cancel(9), Time::from_millis(61_500));
    assert_eq!(jobs(&log, 59_500, 61_500), Some(vec![2, 9]));
    assert_eq!(jobs(&log, 61_000, 61_500), None);
}

#[test]
fn a_wave_of_cancels_does_not_fill_the_memory() {
    // Guards against a log that grows with each cancel of a wave.
    let mut log = CancelLog::default();
    (0..30_000).for_each(|no| log.record(cancel(no), Time::from_millis(1_000 + no)));
    assert_eq!(jobs(&log, 30_000, 31_000), None, "the first ones have been dropped");
    assert_eq!(jobs(&log, 19_000, 31_000).map(|j| j.len()), Some(19_000));
}
