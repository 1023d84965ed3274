//! Members that the store turns away have others relay their calls.

#[path = "site/mod.rs"]
mod cell;

use {
    cell::{
        Cell,
        store::Shut::{self, Busy, Silent},
    },
    serde_json::Value,
    std::future::Future,
};

const JOB: &str = r#"{"text": "t", "steps": [{"count": 2}]}"#;

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(test);
}

/// A member that the store turns away, beside one that it serves.
async fn turned_away(name: &str, how: Shut) {
    let owner = Cell::new(&format!("{name}-owner")).await;
    let own = owner.store.serve();
    let other = Cell::join(&format!("{name}-other"), owner.store.clone(), own).await;
    let rows = owner.store.keys("dwr/t/m/");
    assert_eq!(rows.len(), 2);
    owner.store.shut(own, Some(how));
    let mut number = 0xc0;
    let taken = async || {
        number += 1;
        other.status("POST", &format!("/a/00000000000000{number:x}"), JOB).await == 200
    };
    other.until("a job is taken in", taken).await;
    // Its lease lasts: the row that it had at first is still there after a lease's length.
    let page = async || {
        let page = other.page("/metrics").await.1;
        let kept = r#"dwr_calls_total{answer="done",call="store_keep"} "#;
        let text = std::str::from_utf8(&page).expect("text").to_owned();
        let count = text.lines().find_map(|l| l.strip_prefix(kept)?.parse::<u64>().ok());
        count.unwrap_or(0)
    };
    let before = page().await;
    other.until("six renewals", async || page().await >= before + 6).await;
    assert_eq!(owner.store.keys("dwr/t/m/"), rows);
    assert!(other.is_ready().await);
    owner.store.shut(own, None);
    other
        .until("a job is taken in again", async || {
            other.status("POST", "/a/00000000000000ff", JOB).await == 200
        })
        .await;
}

#[test]
fn a_member_that_is_refused_serves_on() {
    // Story: the store answers one machine with 503 for seconds and serves all others. Its callers
    // were refused, and its shards stood still until another member had taken them over.
    run(turned_away("busy", Busy));
}

#[test]
fn a_member_that_is_cut_off_serves_on() {
    // Story: the same with a link on which nothing comes back. Each call would wait for its
    // deadline, and the lease would end meanwhile.
    run(turned_away("silent", Silent));
}

#[test]
fn a_store_that_is_down_for_all_is_told_at_once() {
    // Story: the store is down for everybody. A relayed call can't help; the caller is refused at
    // once, and the members don't send each other round in circles.
    run(async {
        let owner = Cell::new("down-owner").await;
        let own = owner.store.serve();
        let other = Cell::join("down-other", owner.store.clone(), own).await;
        owner.store.shut(own, Some(Busy));
        owner.store.shut(owner.addr, Some(Busy));
        for cell in [&owner, &other] {
            let (head, _) = cell.send("POST", "/a/00000000000000a1", JOB, 3000).await;
            assert_eq!(head.status, 503);
            assert!(head.headers.contains_key("retry-after"));
        }
        assert!(owner.inbox().is_empty());
    });
}

#[test]
fn an_owner_that_is_cut_off_gives_its_shard_to_a_member_that_the_store_serves() {
    // Its jobs piled up for as long as the cut lasted: relays kept its lease alive.
    run(async {
        let owner = Cell::new("yields-owner").await;
        let own = owner.store.serve();
        let other = Cell::join("yields-other", owner.store.clone(), own).await;
        let row = async || owner.store.get("dwr/t/o/000").map(|r| r.0).unwrap_or_default();
        let first: Value = serde_json::from_str(&row().await).expect("JSON");
        let rows = owner.store.keys("dwr/t/m/");
        owner.store.shut(owner.addr, Some(Silent));
        let passed = async || {
            let row: Value = serde_json::from_str(&row().await).expect("JSON");
            row["token"] == 2 && !row["owner"].is_null()
        };
        other.until("the shard has passed on", passed).await;
        // Not by the end of its lease: it is served through the other all the while.
        assert_eq!(owner.store.keys("dwr/t/m/"), rows);
        other
            .until("a job is taken in", async || {
                owner.status("POST", "/a/00000000000000e1", JOB).await == 200
            })
            .await;
        other
            .until("its state is told", async || {
                owner.status("GET", "/a/00000000000000e1", "").await == 200
            })
            .await;
        // It may own shards again, as soon as it is the one that is served.
        owner.store.shut(owner.addr, None);
        owner.store.shut(own, Some(Silent));
        let back = async || {
            let row: Value = serde_json::from_str(&row().await).expect("JSON");
            row["token"] == 3 && row["owner"] == first["owner"]
        };
        other.until("the shard is back", back).await;
        other
            .until("its state is told by its owner again", async || {
                owner.status("GET", "/a/", "").await == 200
            })
            .await;
        owner.store.shut(own, None);
    });
}
