//! Which runs a worker's crash is laid to.

use dogwoodreach::decide::crash::{Resident, blamed};

const OLD: Resident = Resident { there: true, settled: true, lasts: false };
const NEW: Resident = Resident { settled: false, ..OLD };
const SENT: Resident = Resident { there: false, ..NEW };
const LASTS: Resident = Resident { lasts: true, ..OLD };

#[test]
fn a_crash_is_laid_to_what_had_just_begun() {
    assert_eq!(blamed(&[OLD, NEW, LASTS, SENT]), [1]);
    assert_eq!(blamed(&[NEW, OLD, NEW]), [0, 2]);
}

#[test]
fn a_start_without_an_answer_is_to_blame_where_nothing_else_had_begun() {
    assert_eq!(blamed(&[OLD, SENT]), [1]);
}

#[test]
fn what_ran_beside_other_work_for_long_is_not_to_blame() {
    assert!(blamed(&[]).is_empty());
    assert!(blamed(&[OLD, OLD]).is_empty());
    assert!(blamed(&[LASTS]).is_empty());
    assert_eq!(blamed(&[OLD]), [0]);
}
