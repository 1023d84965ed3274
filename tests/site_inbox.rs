//! Tests of an owner's watch of its inbox.

#[path = "site/mod.rs"]
mod common;

use {
    common::{TestMember, store::AddrFault},
    serde_json::Value,
    std::future::Future,
};

const INBOX: &str = "dwr/in/000/";
/// Age of the view of an inbox from which on nothing starts, in milliseconds: five sixths of the bound on
/// starts after a cancel.
const TOO_OLD_MS: u64 = 2500;
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

/// Returns the value of a metric; 0 if there is none yet.
async fn metric(member: &TestMember, name: &str) -> u64 {
    let page = member.page("/metrics").await.1;
    let text = String::from_utf8_lossy(&page).into_owned();
    text.lines().find_map(|l| l.strip_prefix(name)?.trim().parse().ok()).unwrap_or(0)
}

/// Plays a fault of the store, beside a member that is dead and stays in the table, until the owner
/// starts nothing more or has given its shard up. Then the fault ends, and a job has to start.
async fn outlive(name: &str, begin: impl Fn(&TestMember), end: impl Fn(&TestMember)) {
    let member = TestMember::new(name).await;
    member.store.put("workers/w2", &format!(r#"{{"addr": "{}"}}"#, member.store.serve()));
    let row = member.store.keys("dwr/t/m/").remove(0);
    let value = member.store.get(&row).expect("a row").0;
    let mut dead: Value = serde_json::from_str(&value).expect("JSON");
    dead["control"] = "127.0.0.1:9".into();
    let last = if row.ends_with('1') { "2" } else { "1" };
    member.store.put(&format!("{}{last}", &row[..row.len() - 1]), &dead.to_string());
    let joined = async || metric(&member, "dwr_level{what=\"members\"}").await == 2;
    member.wait_until("the dead member's row", joined).await;
    begin(&member);
    let blocked = async || {
        metric(&member, r#"dwr_age_milliseconds{what="inbox"}"#).await > TOO_OLD_MS
            || metric(&member, r#"dwr_shard_moves_total{what="given_up"}"#).await > 0
    };
    member.wait_until("an owner that starts nothing", blocked).await;
    end(&member);
    let accepted = async || member.status("POST", "/a/00000000000000d1", JOB).await == 200;
    member.wait_until("a job", accepted).await;
    let started = async || metric(&member, r#"dwr_job_seconds_count{to="start"}"#).await == 1;
    member.wait_until("its start", started).await;
}

#[test]
fn work_starts_again_after_the_store_was_silent_beside_a_dead_member() {
    // Guards against waiting work that never starts because a dead member can't name its cancels.
    run(outlive(
        "inbox-silent",
        |m| m.store.set_fault(m.store_addr, Some(AddrFault::Silent)),
        |m| m.store.set_fault(m.store_addr, None),
    ));
}

#[test]
fn work_starts_again_after_the_inbox_was_unreadable_beside_a_dead_member() {
    // Guards against the same where the store answers all calls but those for the inbox.
    run(outlive(
        "inbox-muted",
        |m| m.store.set_muted(INBOX, true),
        |m| m.store.set_muted(INBOX, false),
    ));
}
