//! Tests of state requests while the answer to the owner's write of a job's end is on its way.

#[path = "site/mod.rs"]
mod common;

use common::{TestMember, store::AddrFault::Busy};

const JOB: &str = r#"{"text": "t", "steps": [{"count": 2}]}"#;
const PATH: &str = "/a/00000000000000c1";

/// Returns the status and the body of the answer to a request for the job's state.
async fn state(member: &TestMember) -> (u16, String) {
    let (head, body) = member.send("GET", PATH, "", 1000).await;
    (head.status.as_u16(), String::from_utf8_lossy(&body).into_owned())
}

#[test]
fn a_state_that_the_store_may_have_replaced_is_told_from_the_store_or_not_at_all() {
    // The store had a job as cancelled, and others were told so, before the answer to the write
    // reached the job's owner, which told the job as queued.
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(async {
        let member = TestMember::new("reports").await;
        let accepted = async || member.status("POST", PATH, JOB).await == 200;
        member.wait_until("an accepted job", accepted).await;
        member.store.withhold_replies("dwr/p/");
        let cancelled = async || member.status("DELETE", PATH, "").await == 200;
        member.wait_until("an accepted cancel", cancelled).await;
        let stored = async || member.store.get("dwr/p/000/00000000000000c1").is_some();
        member.wait_until("the stored end", stored).await;
        let over = (200, "cancelled".to_owned());
        assert_eq!(state(&member).await, over);
        member.store.set_fault(member.store_addr, Some(Busy));
        let unread = state(&member).await;
        assert!(unread.0 == 503 || unread == over, "{unread:?}");
        member.store.set_fault(member.store_addr, None);
        let told = async || state(&member).await == over;
        member.wait_until("the end, once the store answers again", told).await;
    });
}
