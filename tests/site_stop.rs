//! The signals that a member heeds; a file of its own, as signals go to the whole process.

#[path = "site/mod.rs"]
mod cell;

use {
    cell::Cell,
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
    // Story: the settings change, then the machine is taken away. Nothing may end at the first
    // signal. At the second the balancer has to see it at once, callers that come all the same are
    // served, the shard is given back without waiting for a lease, and the process ends by itself.
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(async {
        let cell = Cell::new("stop").await;
        signal("-HUP");
        assert_eq!(cell.status("POST", "/a/00000000000000a1", JOB).await, 200);
        assert!(cell.is_ready().await);

        let begin = Instant::now();
        signal("-TERM");
        cell.until("not ready", async || !cell.is_ready().await).await;
        let (head, _) = cell.send("POST", "/a/00000000000000a2", JOB, 1000).await;
        assert_eq!(head.status, 200);
        assert_eq!(head.headers["connection"], "close");
        let free = r#"{"owner":null,"token":1}"#;
        let released = async || cell.store.get("dwr/t/o/000").expect("a row").0 == free;
        cell.until("the release", released).await;
        assert!(begin.elapsed() < Duration::from_secs(2), "callers are still served");

        let store = cell.store.clone();
        assert_eq!(cell.member.join().expect("no panic"), Exit::Done);
        assert!(begin.elapsed() < Duration::from_secs(5), "within the grace");
        assert!(store.keys("dwr/t/m/").is_empty(), "its row has ended with its lease");
    });
}
