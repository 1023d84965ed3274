//! The list of workers when other programs write entries to it.

#[path = "site/forms.rs"]
mod forms;

use {
    dogwoodreach::{ids::WorkerId, ports::Item, worker_list::WorkerList},
    forms::FORMS,
};

const GOOD: &str = r#"{"addr": "127.0.0.1:9000"}"#;
const BAD: &str = "\u{1}not JSON";

fn item(id: &str, value: &'static str, rev: u64) -> Item {
    let key = format!("{}{id}", FORMS.worker_prefix).into();
    Item { key, value: Some(value.into()), rev }
}

fn ids(list: &WorkerList) -> Vec<WorkerId> {
    let mut ids: Vec<WorkerId> = list.workers().map(|w| w.id.clone()).collect();
    ids.sort();
    ids
}

#[test]
fn an_unreadable_entry_names_no_worker_and_the_others_hold() {
    // Guards against a list that is lost as a whole because of one entry.
    let mut list = WorkerList::default();
    let items = vec![item("a", GOOD, 1), item("b", BAD, 2), item("c", GOOD, 3)];
    let unreadable = list.update(items, &FORMS);
    assert_eq!(ids(&list), [WorkerId::from("a"), WorkerId::from("c")]);
    assert_eq!((unreadable.count, unreadable.new.len()), (1, 1));
    assert!(unreadable.new[0].detail().starts_with("b: "), "{}", unreadable.new[0]);
}

#[test]
fn an_unreadable_entry_that_is_rewritten_is_reported_once() {
    // Guards against a log line for each heartbeat of a program that writes such entries.
    let mut list = WorkerList::default();
    list.update(vec![item("a", BAD, 1)], &FORMS);
    assert_eq!(list.update(vec![item("a", BAD, 1)], &FORMS).count, 0);
    let rewritten = list.update(vec![item("a", BAD, 2)], &FORMS);
    assert_eq!((rewritten.count, rewritten.new.len()), (1, 0));
}

#[test]
fn an_entry_is_a_worker_for_as_long_as_it_is_readable() {
    // Guards against a worker that is never used because its first entry was unreadable, and against
    // the use of the last readable entry of a worker whose entry was overwritten.
    let mut list = WorkerList::default();
    list.update(vec![item("a", BAD, 1)], &FORMS);
    list.update(vec![item("a", GOOD, 2)], &FORMS);
    assert_eq!(ids(&list), [WorkerId::from("a")]);
    let overwritten = list.update(vec![item("a", BAD, 3)], &FORMS);
    assert!(ids(&list).is_empty());
    assert_eq!(overwritten.new.len(), 1);
}
