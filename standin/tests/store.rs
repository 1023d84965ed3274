//! Tests of the simulated store: leases, pages, watches and the dropped part of its history.

use {
    bytes::Bytes,
    dogwoodreach::{
        Time,
        ports::{Item, Put, StoreCall, StoreReply, Txn},
    },
    standin::site::store::Store,
    std::time::Duration,
};

const TTL: Duration = Duration::from_secs(2);

fn put(key: &str, lease: u64) -> StoreCall {
    let put = Put { key: key.into(), value: Bytes::from_static(b"v"), lease };
    StoreCall::Txn(Txn { puts: vec![put], ..Txn::default() })
}

fn call(store: &mut Store, ms: u64, call: &StoreCall) -> StoreReply {
    store.call(call, Time::from_millis(ms)).expect("no watch")
}

fn exists(store: &mut Store, ms: u64, key: &str) -> bool {
    let get = StoreCall::Get { key: key.into() };
    matches!(call(store, ms, &get), StoreReply::Item(Some(_)))
}

fn watch(store: &mut Store, after: u64) -> Option<StoreReply> {
    let watch = StoreCall::Watch { prefix: "a/".into(), after, wait: TTL };
    store.call(&watch, Time::ZERO)
}

#[test]
fn keys_end_with_their_lease() {
    let mut store = Store::new(1);
    let StoreReply::Lease(lease, TTL) = call(&mut store, 0, &StoreCall::CreateLease { ttl: TTL })
    else {
        panic!("no lease");
    };
    assert!(matches!(call(&mut store, 0, &put("a/1", lease)), StoreReply::Done(_)));
    assert!(matches!(call(&mut store, 0, &put("a/2", lease)), StoreReply::Done(_)));
    assert!(matches!(call(&mut store, 0, &put("a/2", 0)), StoreReply::Done(_)));
    assert_eq!(call(&mut store, 1_500, &StoreCall::RenewLease { lease }), StoreReply::Kept);
    assert!(exists(&mut store, 3_400, "a/1"));
    assert!(!exists(&mut store, 3_500, "a/1"));
    assert!(exists(&mut store, 3_500, "a/2"), "a later write detached it from the lease");
    assert_eq!(call(&mut store, 3_500, &StoreCall::RenewLease { lease }), StoreReply::NoLease);
    let rev = store.rev;
    assert_eq!(call(&mut store, 3_500, &put("a/3", lease)), StoreReply::NoLease);
    assert_eq!(store.rev, rev, "nothing was done");

    let StoreReply::Lease(lease, _) = call(&mut store, 4_000, &StoreCall::CreateLease { ttl: TTL })
    else {
        panic!("no lease");
    };
    call(&mut store, 4_000, &put("a/4", lease));
    assert_eq!(call(&mut store, 4_000, &StoreCall::EndLease { lease }), StoreReply::Kept);
    assert!(!exists(&mut store, 4_000, "a/4"));
}

#[test]
fn watches_see_each_change_or_that_it_is_forgotten() {
    let mut store = Store::new(1);
    let begin = store.rev;
    assert_eq!(watch(&mut store, begin), None);
    call(&mut store, 0, &put("b/1", 0));
    assert_eq!(watch(&mut store, begin), None, "another prefix");
    call(&mut store, 0, &put("a/1", 0));
    store.remove("a/1");
    let written = Item { key: "a/1".into(), value: Some("v".into()), rev: begin + 2 };
    let gone = Item { key: "a/1".into(), value: None, rev: begin + 3 };
    let both = StoreReply::Events(vec![written, gone.clone()], begin + 3);
    assert_eq!(watch(&mut store, begin), Some(both));
    store.trim_history(1);
    assert_eq!(watch(&mut store, begin), Some(StoreReply::Forgotten));
    assert_eq!(watch(&mut store, begin + 2), Some(StoreReply::Events(vec![gone], begin + 3)));
}

#[test]
fn pages_follow_each_other() {
    let mut store = Store::new(1);
    for n in 0..1_200 {
        store.put(format!("a/{n:04}").into(), "v".into());
    }
    store.put("b/".into(), "v".into());
    let (mut after, mut sizes): (Box<str>, Vec<usize>) = ("".into(), vec![]);
    loop {
        let range = StoreCall::Range { prefix: "a/".into(), after: after.clone(), stale: false };
        let StoreReply::Page(items, more, at) = call(&mut store, 0, &range) else {
            panic!("no page");
        };
        assert_eq!(at, store.rev);
        sizes.push(items.len());
        after = items.last().expect("an item").key.clone();
        if !more {
            break;
        }
    }
    assert_eq!((sizes, &*after), (vec![500, 500, 200], "a/1199"));
}
