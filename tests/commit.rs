//! The budget of writes of one bucket's record.

use dogwoodreach::{
    Time,
    bucket::{Bucket, Order},
    commit::Call,
    ids::{Epoch, Incarnation, Key, RequestId, Revision},
    messages::{ClaimAsk, ClaimVerdict, KvPutReply},
};

/// Asks for a claim every `each` milliseconds for ten seconds, with a KV that answers at once; returns
/// the number of writes and the longest wait for a verdict in milliseconds.
fn burst(each: u64) -> (u64, u64) {
    let mut bucket = Bucket::new(Epoch(1), Incarnation(1), 0);
    let (mut writes, mut longest) = (0, 0);
    for ms in 0..11_000 {
        let now = Time::from_millis(ms);
        if ms < 10_000 && ms % each == 0 {
            let key = Key(format!("cover-{ms}").into());
            bucket.claim(ClaimAsk { key, digest: "d".into(), request: RequestId(ms.into()) }, now);
        }
        loop {
            let orders = bucket.orders(now);
            if orders.is_empty() {
                break;
            }
            for order in orders {
                match order {
                    Order::Kv(Call::Read { call }) => bucket.read(call, Some(None), now),
                    Order::Kv(Call::Write { call, .. }) => {
                        writes += 1;
                        let reply = KvPutReply { done: true, revision: Revision(writes) };
                        bucket.written(call, Some(&reply), now);
                    }
                    Order::Reply { request, reply } => {
                        assert_eq!(reply.verdict, ClaimVerdict::Granted);
                        longest = longest.max(ms - request.0 as u64);
                    }
                    _ => {}
                }
            }
        }
    }
    (writes, longest)
}

// Brokers bind cover a hundred times a second on keys of one bucket, and the key-value service answers
// immediately. Each claim was then a write of its own; with 64 buckets the members made thousands of
// writes a second to a service that handles a few hundred, which slowed all calls and made lease
// renewals fail.
#[test]
fn writes_of_a_bucket_are_bounded() {
    let (writes, longest) = burst(10);
    // Four accumulated writes, 300 / 64 per second for 11 s, and the first write of the new owner.
    assert!(writes <= 4 + 52 + 1, "{writes} writes for 1,000 claims");
    assert!(longest <= 250, "a claim waited {longest} ms");
}

// One claim a second on an idle bucket: the budget must not delay it.
#[test]
fn a_quiet_bucket_writes_at_once() {
    let (writes, longest) = burst(1000);
    assert!(writes >= 10, "{writes}");
    assert_eq!(longest, 0, "a claim waited {longest} ms");
}
