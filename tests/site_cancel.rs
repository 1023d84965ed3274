//! Tests of cancels that reach the store before their job.

#[path = "site/mod.rs"]
mod common;

use {
    common::{
        TestMember,
        store::{
            AddrFault,
            WriteFault::{Delayed, Refused},
        },
    },
    std::future::Future,
};

const JOB: &str = r#"{"text": "t", "steps": [{"count": 1}]}"#;
const PATH: &str = "/a/00000000000000e1";
const JOB_KEY: &str = "dwr/in/000/j/00000000000000e1";

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(test);
}

async fn wait_until_cancelled(member: &TestMember) {
    let cancelled = async || &member.send("GET", PATH, "", 1000).await.1[..] == b"cancelled";
    member.wait_until("the cancelled state", cancelled).await;
}

#[test]
fn a_job_whose_write_is_done_after_its_cancel_does_not_run() {
    // Guards against a cancel that is acknowledged as "no such job" and leaves nothing behind, while
    // the job's write is still on its way.
    run(async {
        let member = TestMember::new("cancel-late-write").await;
        member.store.plan_faults(&[Delayed, Refused]);
        assert_eq!(member.send("POST", PATH, JOB, 3000).await.0.status, 504);
        assert_eq!(member.status("DELETE", PATH, "").await, 410);
        member.store.apply_delayed();
        wait_until_cancelled(&member).await;
    });
}

#[test]
fn a_cancel_that_finds_its_job_only_on_the_second_reading_is_written() {
    // Guards against a cancel that is acknowledged without a write, as the job was stored between the
    // two readings.
    run(async {
        let member = TestMember::new("cancel-between").await;
        assert_eq!(member.status("POST", "/a/00000000000000e2", JOB).await, 200);
        let record = member.store.get("dwr/in/000/j/00000000000000e2").expect("a job").0;
        member.store.write_on_miss(JOB_KEY, &record);
        let status = member.status("DELETE", PATH, "").await;
        assert!(status == 200 || status == 410, "{status}");
        wait_until_cancelled(&member).await;
    });
}

/// Returns a counter of the member's calls.
async fn calls(member: &TestMember, call: &str, answer: &str) -> u64 {
    let page = member.page("/metrics").await.1;
    let line = format!(r#"dwr_calls_total{{answer="{answer}",call="{call}"}} "#);
    let text = String::from_utf8_lossy(&page).into_owned();
    text.lines().find_map(|l| l.strip_prefix(&*line)?.parse().ok()).unwrap_or(0)
}

#[test]
fn an_owner_without_a_store_asks_all_members_for_cancels() {
    // Guards against work that stands still while the store is away for all, and against an owner
    // that takes the answers of some members for those of all.
    run(async {
        let owner = TestMember::new("cancel-search").await;
        let own = owner.store.serve();
        let other = TestMember::join("cancel-search-other", owner.store.clone(), own).await;
        let asks = async |answer| {
            calls(&owner, "cancel_search", answer).await
                + calls(&other, "cancel_search", answer).await
        };
        owner.store.set_fault(owner.store_addr, Some(AddrFault::Silent));
        owner.store.set_fault(own, Some(AddrFault::Silent));
        owner.wait_until("three answers of all", async || asks("done").await >= 3).await;
        owner.store.set_fault(owner.store_addr, None);
        owner.store.set_fault(own, None);
        // A member that nobody reaches: it may have acknowledged cancels.
        let row = r#"{"control": "127.0.0.1:9", "zone": "z", "draining": false}"#;
        owner.store.put("dwr/t/m/00000000000000ff", row);
        let three = async |m: &TestMember| {
            let page = m.page("/metrics").await.1;
            String::from_utf8_lossy(&page).lines().any(|l| l == r#"dwr_level{what="members"} 3"#)
        };
        owner.wait_until("three members", async || three(&owner).await).await;
        owner.wait_until("three members", async || three(&other).await).await;
        let done = asks("done").await;
        owner.store.set_fault(owner.store_addr, Some(AddrFault::Silent));
        owner.store.set_fault(own, Some(AddrFault::Silent));
        owner.wait_until("two incomplete", async || asks("incomplete").await >= 2).await;
        assert_eq!(asks("done").await, done);
    });
}
