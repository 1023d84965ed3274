//! Tests of members that the store does not serve and whose calls other members relay.

#[path = "site/mod.rs"]
mod common;

use {
    common::{
        TestMember,
        store::AddrFault::{self, Busy, Silent},
    },
    serde_json::Value,
    std::{future::Future, time::Duration},
};

/// Time for which a member lets the store wait for a change of the table.
const TABLE_WATCH: Duration = Duration::from_secs(10);
/// Time after which a watch without a reply is no probe of the direct connection.
const LONGER_THAN_A_PROBE: Duration = Duration::from_millis(600);
const JOB: &str = r#"{"text": "t", "steps": [{"count": 2}]}"#;

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(test);
}

/// Runs a member whose store calls fail with `fault` beside a member that the store serves.
async fn with_store_fault(name: &str, fault: AddrFault) {
    let owner = TestMember::new(&format!("{name}-owner")).await;
    let own = owner.store.serve();
    let other = TestMember::join(&format!("{name}-other"), owner.store.clone(), own).await;
    let rows = owner.store.keys("dwr/t/m/");
    assert_eq!(rows.len(), 2);
    owner.store.set_fault(own, Some(fault));
    let mut number = 0xc0;
    let accepted = async || {
        number += 1;
        other.status("POST", &format!("/a/00000000000000{number:x}"), JOB).await == 200
    };
    other.wait_until("an accepted job", accepted).await;
    // The member keeps its lease: its first row still exists after the duration of a lease.
    let renewals = async || {
        let page = other.page("/metrics").await.1;
        let prefix = r#"dwr_calls_total{answer="done",call="store_keep"} "#;
        let text = std::str::from_utf8(&page).expect("text").to_owned();
        let count = text.lines().find_map(|l| l.strip_prefix(prefix)?.parse::<u64>().ok());
        count.unwrap_or(0)
    };
    let before = renewals().await;
    other.wait_until("six renewals", async || renewals().await >= before + 6).await;
    assert_eq!(owner.store.keys("dwr/t/m/"), rows);
    assert!(other.is_ready().await);
    owner.store.set_fault(own, None);
    other
        .wait_until("an accepted job after the fault", async || {
            other.status("POST", "/a/00000000000000ff", JOB).await == 200
        })
        .await;
}

#[test]
fn a_member_that_is_refused_serves_on() {
    // The store answers one machine with 503 for seconds and serves all others. The member's
    // callers were refused, and its shards made no progress until another member had taken them
    // over.
    run(with_store_fault("busy", Busy));
}

#[test]
fn a_member_that_is_cut_off_serves_on() {
    // As above, but the store sends no reply at all. Each call would wait for its deadline, and the
    // lease would end meanwhile.
    run(with_store_fault("silent", Silent));
}

#[test]
fn a_store_that_is_down_for_all_is_told_at_once() {
    // The store refuses every member, so relaying cannot help. The caller must be refused at once,
    // and the members must not relay a call to each other in a loop.
    run(async {
        let owner = TestMember::new("down-owner").await;
        let own = owner.store.serve();
        let other = TestMember::join("down-other", owner.store.clone(), own).await;
        owner.store.set_fault(own, Some(Busy));
        owner.store.set_fault(owner.store_addr, Some(Busy));
        for member in [&owner, &other] {
            let (head, _) = member.send("POST", "/a/00000000000000a1", JOB, 3000).await;
            assert_eq!(head.status, 503);
            assert!(head.headers.contains_key("retry-after"));
        }
        assert!(owner.inbox().is_empty());
    });
}

#[test]
fn an_owner_that_is_cut_off_gives_its_shard_to_a_member_that_the_store_serves() {
    // Relays kept the lease of a cut-off owner alive, so no other member took its shard, and its
    // jobs piled up for as long as the partition lasted.
    run(async {
        let owner = TestMember::new("yields-owner").await;
        let own = owner.store.serve();
        let other = TestMember::join("yields-other", owner.store.clone(), own).await;
        let row = async || owner.store.get("dwr/t/o/000").map(|r| r.0).unwrap_or_default();
        let first: Value = serde_json::from_str(&row().await).expect("JSON");
        let rows = owner.store.keys("dwr/t/m/");
        owner.store.set_fault(owner.store_addr, Some(Silent));
        let passed = async || {
            let row: Value = serde_json::from_str(&row().await).expect("JSON");
            row["token"] == 2 && !row["owner"].is_null()
        };
        other.wait_until("a new owner of the shard", passed).await;
        // The shard moved although the lease did not end: the other member relays the renewals.
        assert_eq!(owner.store.keys("dwr/t/m/"), rows);
        other
            .wait_until("an accepted job", async || {
                owner.status("POST", "/a/00000000000000e1", JOB).await == 200
            })
            .await;
        other
            .wait_until("the state of the job", async || {
                owner.status("GET", "/a/00000000000000e1", "").await == 200
            })
            .await;
        // The first owner may own the shard again once the store serves it and not the other
        // member.
        owner.store.set_fault(owner.store_addr, None);
        owner.store.set_fault(own, Some(Silent));
        let returned = async || {
            let row: Value = serde_json::from_str(&row().await).expect("JSON");
            row["token"] == 3 && row["owner"] == first["owner"]
        };
        other.wait_until("the return of the shard", returned).await;
        other
            .wait_until("a queue count from the first owner", async || {
                owner.status("GET", "/a/", "").await == 200
            })
            .await;
        owner.store.set_fault(own, None);
    });
}

#[test]
fn a_member_hears_of_the_table_as_soon_as_the_store_serves_it_again() {
    // A member that nobody could relay for watched the table by a direct call, which the store never
    // answered. The store served it again soon, but it heard nothing of the table and did no work
    // until that call's time was over.
    run(async {
        let member = TestMember::new("unheard").await;
        member.store.set_fault(member.store_addr, Some(Silent));
        let unanswered = || member.store.silent_watch("dwr/t/").map(|at| at.elapsed());
        let waits = async || unanswered().is_some_and(|t| t > LONGER_THAN_A_PROBE);
        member.wait_until("a watch of the table without a reply", waits).await;
        let idle = async || member.status("GET", "/a/", "").await != 200;
        member.wait_until("an owner that is not certain of its lease", idle).await;
        let watch = member.store.silent_watch("dwr/t/");
        member.store.expire_leases();
        member.store.set_fault(member.store_addr, None);
        let works = async || member.status("GET", "/a/", "").await == 200;
        member.wait_until("at work", works).await;
        assert_eq!(member.store.silent_watch("dwr/t/"), watch);
        assert!(unanswered() < Some(TABLE_WATCH), "the watch went on for all of its time");
    });
}
