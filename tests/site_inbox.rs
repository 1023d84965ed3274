//! Tests of an owner's watch of its inbox.

#[path = "site/mod.rs"]
mod common;

use {common::TestMember, std::future::Future};

const INBOX: &str = "dwr/in/000/";
const JOB: &str = r#"{"text": "t", "steps": [{"count": 1}]}"#;

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(test);
}

#[test]
fn a_cancel_that_one_watch_has_missed_comes_with_the_next() {
    // Guards against an owner that goes on from a revision which includes a cancel that it has not
    // been told of, and learns of it only when it reads the whole inbox again.
    run(async {
        let member = TestMember::new("inbox-missed").await;
        assert_eq!(member.status("POST", "/a/00000000000000d1", JOB).await, 200);
        member.store.refuse_ranges(INBOX);
        member.store.hide_changes(INBOX);
        member.store.put("dwr/in/000/c/00000000000000d1", "{}");
        member.wait_until("a watch that misses it", async || member.store.has_hidden()).await;
        wait_until_cancelled(&member).await;
    });
}

#[test]
fn a_cancel_that_a_reply_with_another_change_has_missed_comes_with_the_next() {
    // Guards against the same after a reply that has an earlier change, but not the cancel.
    run(async {
        let member = TestMember::new("inbox-missed-part").await;
        assert_eq!(member.status("POST", "/a/00000000000000d1", JOB).await, 200);
        member.store.refuse_ranges(INBOX);
        member.store.hide_changes("dwr/in/000/c/00000000000000d1");
        let cancels = ["dwr/in/000/c/00000000000000d2", "dwr/in/000/c/00000000000000d1"];
        member.store.put_all(&cancels.map(|key| (key, "{}")));
        member.wait_until("a watch that misses it", async || member.store.has_hidden()).await;
        wait_until_cancelled(&member).await;
    });
}

async fn wait_until_cancelled(member: &TestMember) {
    let cancelled = async || {
        let body = member.send("GET", "/a/00000000000000d1", "", 1000).await.1;
        String::from_utf8_lossy(&body).contains("cancelled")
    };
    member.wait_until("a cancelled job", cancelled).await;
}
