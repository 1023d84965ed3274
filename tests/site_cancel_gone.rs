//! Tests of an owner that can't read its inbox and has missed the notice of a cancel.

#[path = "site/mod.rs"]
mod common;

use {
    common::{TestMember, store::AddrFault},
    serde_json::Value,
    std::{
        future::Future,
        time::{Duration, SystemTime},
    },
    tokio::time::sleep,
};

/// Time from the submission of a job until it is due; longer than the bound on starts after a cancel.
const DUE_IN: Duration = Duration::from_secs(6);
const PATH: &str = "/a/00000000000000f1";

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(test);
}

async fn metric(member: &TestMember, name: &str) -> u64 {
    let page = member.page("/metrics").await.1;
    let text = String::from_utf8_lossy(&page).into_owned();
    text.lines().find_map(|l| l.strip_prefix(name)?.trim().parse().ok()).unwrap_or(0)
}

fn due_job() -> String {
    let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).expect("after 1970");
    let first = (unix + DUE_IN).as_millis();
    let times = format!(r#"{{"count": 1, "first": {first}, "every": 1}}"#);
    format!(r#"{{"text": "t", "steps": [{{"count": 1}}], "times": {times}}}"#)
}

/// Cancels a job at a member whose notice doesn't reach the owner, which can't read its inbox. Returns
/// the owner, the other member, and the address of that member's store.
async fn cancel_unheard(name: &str) -> (TestMember, TestMember, std::net::SocketAddr) {
    let owner = TestMember::new(name).await;
    let row = owner.store.keys("dwr/t/m/").remove(0);
    let worker = format!(r#"{{"addr": "{}"}}"#, owner.store_addr);
    owner.store.put("workers/w2", &worker);
    let addr = owner.store.serve();
    let other = TestMember::join(&format!("{name}-other"), owner.store.clone(), addr).await;
    let value = owner.store.get(&row).expect("a row").0;
    let mut lost: Value = serde_json::from_str(&value).expect("JSON");
    lost["control"] = "127.0.0.1:9".into();
    owner.store.put(&row, &lost.to_string());
    sleep(Duration::from_millis(500)).await;
    assert_eq!(other.send("POST", PATH, &due_job(), 2000).await.0.status, 200);
    // Time in which the owner's watch brings it the job.
    sleep(Duration::from_millis(1500)).await;
    owner.store.set_muted("dwr/in/000/", true);
    // The watch that waits already would bring the cancel.
    sleep(Duration::from_millis(1000)).await;
    assert_eq!(other.status("DELETE", PATH, "").await, 200);
    (owner, other, addr)
}

#[test]
fn a_cancel_whose_notice_was_lost_is_named_by_the_member_that_acknowledged_it() {
    // Guards against an owner that asks, and doesn't pass on to the shard what it is told.
    run(async {
        let (owner, _other, _) = cancel_unheard("gone-not").await;
        let named = async || metric(&owner, r#"dwr_cancels_total{source="members"}"#).await == 1;
        owner.wait_until("the cancel", named).await;
    });
}

#[test]
fn a_cancel_is_not_taken_as_never_made_once_the_member_that_acknowledged_it_has_left() {
    // Guards against an owner that takes the answers of the members that are left for those of all that
    // may have acknowledged cancels since it last read its inbox.
    run(async {
        let (owner, other, addr) = cancel_unheard("gone").await;
        owner.store.set_fault(addr, Some(AddrFault::Silent));
        owner.store.expire_leases();
        sleep(DUE_IN + Duration::from_millis(1500)).await;
        assert_eq!(metric(&owner, r#"dwr_job_seconds_count{to="start"}"#).await, 0, "it started");
        drop(other);
    });
}
