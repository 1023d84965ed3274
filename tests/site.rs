//! A member on a site, over a store that can be told to fail.

#[path = "site/mod.rs"]
mod cell;

use {
    cell::{
        Cell,
        forms::FORMS,
        store::Fate::{Late, Lost, Refused, Swallowed},
    },
    std::future::Future,
};

const JOB: &str = r#"{"text": "t", "steps": [{"count": 2}]}"#;
const ONE: &str = "/a/00000000000000a1";

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(test);
}

#[test]
fn a_job_is_taken_in_once_and_its_state_is_told() {
    run(async {
        let cell = Cell::new("once").await;
        assert_eq!(cell.status("POST", ONE, JOB).await, 200);
        assert_eq!(cell.status("POST", ONE, JOB).await, 200);
        assert_eq!(cell.inbox(), ["dwr/in/000/j/00000000000000a1"]);
        let (head, body) = cell.send("GET", ONE, "", 1000).await;
        assert_eq!((head.status.as_u16(), &body[..]), (200, &b"queued"[..]));
        assert_eq!(cell.status("DELETE", ONE, "").await, 200);
        let cancel = "dwr/in/000/c/00000000000000a1";
        // It stands until the owner has stored the job's end in its place.
        let stands = cell.inbox().iter().any(|k| k == cancel);
        assert!(stands || cell.store.get("dwr/p/000/00000000000000a1").is_some());
        // The owner hears of the cancel by its watch, and a count may be half a second old.
        let none = async || {
            let (head, body) = cell.send("GET", "/a/", "", 1000).await;
            assert_eq!(head.status, 200);
            &body[..] == b"0"
        };
        cell.until("a count without it", none).await;
        let over = async || &cell.send("GET", ONE, "", 1000).await.1[..] == b"cancelled";
        cell.until("its end, once that is stored", over).await;
    });
}

#[test]
fn what_is_not_there_or_not_well_formed_is_told_apart() {
    run(async {
        let cell = Cell::new("apart").await;
        assert_eq!(cell.status("GET", ONE, "").await, 410);
        assert_eq!(cell.status("DELETE", ONE, "").await, 410);
        assert_eq!(cell.status("POST", "/c/00000000000000a1", JOB).await, 404);
        assert_eq!(cell.status("GET", "/c/", "").await, 404);
        assert_eq!(cell.status("POST", "/a/xyz", JOB).await, 400);
        assert_eq!(cell.status("POST", ONE, "{").await, 400);
        assert_eq!(cell.status("POST", ONE, r#"{"text": "t", "steps": []}"#).await, 400);
        assert_eq!(cell.status("POST", ONE, &"x".repeat(1001)).await, 413);
        assert_eq!(cell.status("PUT", ONE, JOB).await, 405);
        assert!(cell.inbox().is_empty());
    });
}

#[test]
fn a_job_that_is_over_is_told_from_the_store() {
    // Story: the owner has forgotten a job, or hasn't loaded it yet, and says that it doesn't know
    // it. That alone is no proof: the caller must not be told that there is no such job.
    run(async {
        let cell = Cell::new("over").await;
        // Over in the year 2100: an owner that loads it meanwhile removes what was over long ago.
        let progress = r#"{"state": "done", "over": 4102444800000, "queue": "/a/", "tasks": []}"#;
        cell.store.put("dwr/p/000/00000000000000a1", progress);
        let (head, body) = cell.send("GET", ONE, "", 1000).await;
        assert_eq!((head.status.as_u16(), &body[..]), (200, &b"completed"[..]));
        assert_eq!(cell.status("DELETE", ONE, "").await, 200);
        assert_eq!(cell.status("POST", ONE, JOB).await, 200);
        assert!(cell.inbox().is_empty(), "a job that is over is not taken in again");
    });
}

#[test]
fn a_write_whose_answer_is_lost_is_settled_by_reading() {
    // Story: the store has done the write, and its answer is lost on the way. Told 503, the caller
    // would count on its job never running, and it will.
    run(async {
        let cell = Cell::new("lost").await;
        cell.store.plan(&[Lost]);
        assert_eq!(cell.status("POST", ONE, JOB).await, 200);
        assert_eq!(cell.inbox().len(), 1);
    });
}

#[test]
fn a_write_that_may_still_land_is_no_refusal() {
    // Story: the write hangs somewhere on its way and could land after seconds. Reading back finds
    // nothing, and the next try is refused; even so nobody can say that the job never runs.
    run(async {
        let cell = Cell::new("hangs").await;
        cell.store.plan(&[Swallowed, Refused]);
        assert_eq!(cell.status("POST", ONE, JOB).await, 504);
        cell.store.plan(&[Refused, Swallowed]);
        assert_eq!(cell.status("POST", ONE, JOB).await, 504);
        assert!(cell.inbox().is_empty());
    });
}

#[test]
fn a_refused_write_is_made_again_and_then_refused_with_a_time() {
    // Story: the store refuses this machine for a moment. One refusal must not cost the caller an
    // attempt; two must be told at once, with when to come back, and leave nothing behind.
    run(async {
        let cell = Cell::new("refused").await;
        cell.store.plan(&[Refused]);
        assert_eq!(cell.status("POST", ONE, JOB).await, 200);
        cell.store.plan(&[Refused, Refused]);
        let (head, _) = cell.send("POST", "/a/00000000000000a2", JOB, 1000).await;
        assert_eq!(head.status, 503);
        assert!(head.headers.contains_key("retry-after"));
        assert_eq!(cell.inbox().len(), 1);
        cell.store.plan(&[Refused, Refused]);
        assert_eq!(cell.status("DELETE", ONE, "").await, 503);
        cell.store.plan(&[Lost, Refused]);
        assert_eq!(cell.status("DELETE", ONE, "").await, 504);
    });
}

#[test]
fn a_job_that_was_refused_is_never_stored() {
    // Story: the first try hangs and lands after seconds, the second is refused; told 503, the caller
    // hands the job in elsewhere, and it runs twice. Every pair of faults is tried.
    run(async {
        let cell = Cell::new("never").await;
        let faults = [Refused, Lost, Swallowed, Late];
        let pairs = faults.iter().flat_map(|a| faults.map(|b| [*a, b]));
        for (no, pair) in (0xb0..).zip(pairs) {
            let path = format!("/a/00000000000000{no:x}");
            cell.store.plan(&pair);
            let wait = if pair == [Refused, Refused] { 3000 } else { 400 };
            let status = cell.send("POST", &path, JOB, wait).await.0.status.as_u16();
            cell.store.land();
            let there = cell.inbox().iter().any(|k| k.ends_with(&path[3..]));
            match status {
                200 => assert!(there, "{pair:?}: not stored"),
                503 => assert!(!there, "{pair:?}: refused, and stored"),
                _ => assert_eq!(status, 504, "{pair:?}"),
            }
            assert!(pair != [Refused, Refused] || status == 503, "{status}");
        }
    });
}

#[test]
fn a_queue_that_was_just_removed_takes_no_job() {
    // Story: the watch of the configuration has gone silent, so this member still has the queue
    // that the operators have removed. The write itself has to find out, and the one that is still
    // there must go on.
    run(async {
        let cell = Cell::new("removed").await;
        cell.store.blind(FORMS.operators);
        cell.store.put(FORMS.config, r#"[2, ["/b/"]]"#);
        assert_eq!(cell.status("POST", "/b/00000000000000b1", JOB).await, 200);
        cell.store.put(FORMS.config, r#"[3, ["/a/"]]"#);
        assert_eq!(cell.status("POST", "/b/00000000000000b2", JOB).await, 404);
        assert_eq!(cell.inbox().len(), 1);
    });
}

#[test]
fn a_configuration_never_goes_back() {
    // Story: a lower version is written after a higher one. What was once in force here must not
    // give way to it, and jobs must still be taken in.
    run(async {
        let cell = Cell::new("back").await;
        cell.store.put(FORMS.config, r#"[5, ["/d/"]]"#);
        cell.until("version 5", async || cell.status("GET", "/d/", "").await == 200).await;
        cell.store.put(FORMS.config, r#"[4, ["/a/"]]"#);
        assert_eq!(cell.status("POST", "/d/00000000000000d1", JOB).await, 200);
        assert_eq!(cell.status("POST", ONE, JOB).await, 404);
    });
}

#[test]
fn members_ask_each_other() {
    // Story: callers come in at any member, and only one of them owns the shard. The others have to
    // ask it, over a control call that shows the secret of the layout.
    run(async {
        let owner = Cell::new("owner").await;
        let other = Cell::join("other", owner.store.clone(), owner.addr).await;
        let known = async || other.status("GET", "/a/", "").await == 200;
        other.until("the owner's count", known).await;
        assert_eq!(other.status("POST", ONE, JOB).await, 200);
        assert_eq!(owner.status("GET", ONE, "").await, 200);
        assert_eq!(other.status("GET", ONE, "").await, 200);
        let page = String::from_utf8(other.page("/metrics").await.1.to_vec()).expect("text");
        for call in ["waiting", "states"] {
            let line = format!(r#"dwr_calls_total{{answer="done",call="{call}"}}"#);
            assert!(page.contains(&line), "{line} is missing");
        }
        for name in [
            r#"dwr_age_milliseconds{what="configuration"}"#,
            r#"dwr_age_milliseconds{what="store"}"#,
            r#"dwr_call_seconds_count{call="store_txn"}"#,
            r#"dwr_ends_noted_total"#,
        ] {
            assert!(page.contains(name), "{name} is missing");
        }
        assert!(!page.contains(r#"dwr_call_seconds_count{call="store_watch"}"#), "it waits");
    });
}

#[test]
fn a_wave_of_upkeep_is_seen_driven_and_told() {
    // The whole way of a wave: the watch of what operators write, the machines and their workers, the
    // owner's word that a worker is empty, the order with holder and token, and what is told.
    run(async {
        let cell = Cell::new("wave").await;
        cell.store.put("workers/w2", &format!(r#"{{"addr": "{}"}}"#, cell.addr));
        cell.store.put("machines/m1", "w2");
        cell.store.put("conf/wave/1", r#"[1, ["m1"], 20000, 1]"#);
        let told = async || cell.store.get("told/1").map(|r| r.0);
        cell.until("told", async || told().await.is_some()).await;
        let over = async || told().await.as_deref() == Some("true");
        cell.until("completed", over).await;
        let (order, ..) = cell.store.get("orders/m1").expect("an order");
        assert_eq!(order, r#"["m1","node",1]"#);
    });
}

#[test]
fn a_member_whose_lease_has_ended_registers_again() {
    // Story: the store was away for longer than the lease. The member's row is gone, the others
    // don't see it, and its shard is about to be taken over.
    run(async {
        let cell = Cell::new("lease").await;
        cell.store.end_leases();
        assert!(cell.store.keys("dwr/t/m/").is_empty());
        let back = async || cell.store.keys("dwr/t/m/").len() == 1 && cell.is_ready().await;
        cell.until("its row", back).await;
        let (row, ..) = cell.store.get("dwr/t/o/000").expect("an owner");
        assert!(row.contains(r#""token":1"#), "it goes on as the owner: {row}");
    });
}

#[test]
fn a_watch_of_the_table_that_fails_goes_on_from_where_it_was() {
    // Story: the store has more to do than it bears and refuses watches. Each of 300 members then reads
    // the whole table, twice; that takes what the store has left, members can't renew their leases, and
    // each that drops out is a change that answers all watches anew. No job was served for a day.
    run(async {
        let cell = Cell::new("table").await;
        let table = "dwr/t/";
        let before = cell.store.ranges(table);
        assert!(before > 0, "it was read at the start");
        cell.store.refuse(table, 5);
        cell.until("refused", async || cell.store.has_refused()).await;
        let row = r#"{"control": "127.0.0.1:1", "zone": "z", "draining": false}"#;
        cell.store.put("dwr/t/m/00000000000000ff", row);
        let seen = async || {
            let (_, page) = cell.page("/metrics").await;
            String::from_utf8_lossy(&page)
                .lines()
                .any(|l| l.contains("members") && l.ends_with(" 2"))
        };
        cell.until("the change is seen", seen).await;
        assert_eq!(cell.store.ranges(table), before, "and the table wasn't read again");
    });
}
