//! Test of the signals that a member handles. It has a file of its own because signals reach the
//! whole test process.

#[path = "site/mod.rs"]
mod common;

use {
    common::TestMember,
    dogwoodreach::cli::Exit,
    std::{
        process::{self, Command},
        time::{Duration, Instant},
    },
};

const JOB: &str = r#"{"text": "t", "steps": [{"count": 2}]}"#;

fn signal(name: &str) {
    let sent = Command::new("kill").arg(name).arg(process::id().to_string()).status();
    assert!(sent.expect("sent").success());
}

#[test]
fn a_member_rereads_its_settings_and_stops_in_order() {
    // SIGHUP re-reads the settings and must stop nothing. After SIGTERM the readiness check must
    // fail at once for the load balancer, requests that still arrive must be served, the shard must
    // be released without waiting for a lease to end, and the process must exit by itself.
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(async {
        let member = TestMember::new("stop").await;
        signal("-HUP");
        assert_eq!(member.status("POST", "/a/00000000000000a1", JOB).await, 200);
        assert!(member.is_ready().await);

        let begin = Instant::now();
        signal("-TERM");
        member.wait_until("not ready", async || !member.is_ready().await).await;
        let (head, _) = member.send("POST", "/a/00000000000000a2", JOB, 1000).await;
        assert_eq!(head.status, 200);
        assert_eq!(head.headers["connection"], "close");
        let free = r#"{"owner":null,"token":1}"#;
        let released = async || member.store.get("dwr/t/o/000").expect("a row").0 == free;
        member.wait_until("the release", released).await;
        assert!(
            begin.elapsed() < Duration::from_secs(2),
            "the shard must be released while callers are still served"
        );

        let store = member.store.clone();
        assert_eq!(member.thread.join().expect("no panic"), Exit::Done);
        assert!(
            begin.elapsed() < Duration::from_secs(5),
            "the member must exit within the grace period"
        );
        assert!(store.keys("dwr/t/m/").is_empty(), "the member row must be gone with the lease");
    });
}
