//! Tests of cancels that reach the store before their job.

#[path = "site/mod.rs"]
mod common;

use {
    common::{
        TestMember,
        store::WriteFault::{Delayed, Refused},
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
