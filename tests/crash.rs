//! Which runs are blamed for the crash of a worker.

use dogwoodreach::{
    Time,
    decide::crash::{CrashedRun, blamed_runs},
};

const OLD: CrashedRun =
    CrashedRun { reported: true, started_at: Time::from_millis(10), settled: true, lasting: false };
const YOUNG: CrashedRun =
    CrashedRun { started_at: Time::from_millis(4_500), settled: false, ..OLD };
const NEW: CrashedRun = CrashedRun { started_at: Time::from_millis(5_000), ..YOUNG };
const SENT: CrashedRun = CrashedRun { reported: false, ..NEW };
const LATER: CrashedRun = CrashedRun { started_at: Time::from_millis(5_300), ..SENT };
const LASTS: CrashedRun = CrashedRun { lasting: true, ..OLD };

#[test]
fn a_crash_is_laid_to_what_began_last() {
    assert_eq!(blamed_runs(&[OLD, NEW, LASTS, YOUNG]), [1]);
    assert_eq!(blamed_runs(&[OLD, YOUNG]), [1]);
    assert_eq!(blamed_runs(&[NEW, OLD, NEW]), [0, 2]);
}

#[test]
fn a_start_without_an_answer_may_be_to_blame_but_not_one_that_came_after_the_crash() {
    assert_eq!(blamed_runs(&[OLD, SENT, LATER]), [1]);
    assert_eq!(blamed_runs(&[NEW, SENT, LATER]), [0, 1]);
}

#[test]
fn what_ran_beside_other_work_for_long_is_not_to_blame() {
    assert!(blamed_runs(&[]).is_empty());
    assert!(blamed_runs(&[OLD, OLD]).is_empty());
    assert!(blamed_runs(&[LASTS]).is_empty());
    assert_eq!(blamed_runs(&[OLD]), [0]);
}
