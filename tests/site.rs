//! Tests of running members over an in-memory store with injected faults.

#[path = "site/mod.rs"]
mod common;

use {
    common::{
        TestMember,
        forms::FORMS,
        store::WriteFault::{Delayed, LostReply, Refused, Unapplied},
    },
    std::future::Future,
};

const JOB: &str = r#"{"text": "t", "steps": [{"count": 2}]}"#;
const JOB_PATH: &str = "/a/00000000000000a1";

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(test);
}

#[test]
fn a_job_is_taken_in_once_and_its_state_is_told() {
    run(async {
        let member = TestMember::new("once").await;
        assert_eq!(member.status("POST", JOB_PATH, JOB).await, 200);
        assert_eq!(member.status("POST", JOB_PATH, JOB).await, 200);
        assert_eq!(member.inbox(), ["dwr/in/000/j/00000000000000a1"]);
        let (head, body) = member.send("GET", JOB_PATH, "", 1000).await;
        assert_eq!((head.status.as_u16(), &body[..]), (200, &b"queued"[..]));
        assert_eq!(member.status("DELETE", JOB_PATH, "").await, 200);
        let cancel = "dwr/in/000/c/00000000000000a1";
        // The cancel's key remains until the owner replaces it by the record of the job's end.
        let pending = member.inbox().iter().any(|k| k == cancel);
        assert!(pending || member.store.get("dwr/p/000/00000000000000a1").is_some());
        // The owner learns of the cancel through its watch, and a queue count may be 500 ms old.
        let empty = async || {
            let (head, body) = member.send("GET", "/a/", "", 1000).await;
            assert_eq!(head.status, 200);
            &body[..] == b"0"
        };
        member.wait_until("an empty queue", empty).await;
        let cancelled =
            async || &member.send("GET", JOB_PATH, "", 1000).await.1[..] == b"cancelled";
        member.wait_until("the cancelled state, once it is stored", cancelled).await;
    });
}

#[test]
fn what_is_not_there_or_not_well_formed_is_told_apart() {
    run(async {
        let member = TestMember::new("apart").await;
        assert_eq!(member.status("GET", JOB_PATH, "").await, 410);
        assert_eq!(member.status("DELETE", JOB_PATH, "").await, 410);
        assert_eq!(member.status("POST", "/c/00000000000000a1", JOB).await, 404);
        assert_eq!(member.status("GET", "/c/", "").await, 404);
        assert_eq!(member.status("POST", "/a/xyz", JOB).await, 400);
        assert_eq!(member.status("POST", JOB_PATH, "{").await, 400);
        assert_eq!(member.status("POST", JOB_PATH, r#"{"text": "t", "steps": []}"#).await, 400);
        assert_eq!(member.status("POST", JOB_PATH, &"x".repeat(1001)).await, 413);
        assert_eq!(member.status("PUT", JOB_PATH, JOB).await, 405);
        // The job's write could still be on its way, so its cancel is stored.
        assert_eq!(member.inbox(), ["dwr/in/000/c/00000000000000a1"]);
    });
}

#[test]
fn a_job_that_is_over_is_told_from_the_store() {
    // The owner does not know a job that it has forgotten or has not loaded yet. The member must
    // read the store before it tells the caller that there is no such job.
    run(async {
        let member = TestMember::new("over").await;
        // `over` lies in the year 2100, because an owner that loads the job removes records of jobs
        // that ended long ago.
        let progress = r#"{"state": "done", "over": 4102444800000, "queue": "/a/", "tasks": []}"#;
        member.store.put("dwr/p/000/00000000000000a1", progress);
        let (head, body) = member.send("GET", JOB_PATH, "", 1000).await;
        assert_eq!((head.status.as_u16(), &body[..]), (200, &b"completed"[..]));
        assert_eq!(member.status("DELETE", JOB_PATH, "").await, 200);
        assert_eq!(member.status("POST", JOB_PATH, JOB).await, 200);
        assert!(member.inbox().is_empty(), "a job that has ended must not be accepted again");
    });
}

#[test]
fn a_write_whose_answer_is_lost_is_settled_by_reading() {
    // The store applies the write, but its reply is lost. With a 503 the caller would assume that
    // its job never runs, although it will.
    run(async {
        let member = TestMember::new("lost").await;
        member.store.plan_faults(&[LostReply]);
        assert_eq!(member.status("POST", JOB_PATH, JOB).await, 200);
        assert_eq!(member.inbox().len(), 1);
    });
}

#[test]
fn a_write_that_may_still_land_is_no_refusal() {
    // A write without a reply may still be applied seconds later. Even if a read finds nothing and
    // the retry is refused, the member cannot know that the job never runs, so it answers 504.
    run(async {
        let member = TestMember::new("hangs").await;
        member.store.plan_faults(&[Unapplied, Refused]);
        assert_eq!(member.status("POST", JOB_PATH, JOB).await, 504);
        member.store.plan_faults(&[Refused, Unapplied]);
        assert_eq!(member.status("POST", JOB_PATH, JOB).await, 504);
        assert!(member.inbox().is_empty());
    });
}

#[test]
fn a_refused_write_is_made_again_and_then_refused_with_a_time() {
    // The store refuses this machine for a moment. One refusal must not cost the caller an attempt.
    // After two, the caller gets 503 with `retry-after` at once, and nothing is stored.
    run(async {
        let member = TestMember::new("refused").await;
        member.store.plan_faults(&[Refused]);
        assert_eq!(member.status("POST", JOB_PATH, JOB).await, 200);
        member.store.plan_faults(&[Refused, Refused]);
        let (head, _) = member.send("POST", "/a/00000000000000a2", JOB, 1000).await;
        assert_eq!(head.status, 503);
        assert!(head.headers.contains_key("retry-after"));
        assert_eq!(member.inbox().len(), 1);
        member.store.plan_faults(&[Refused, Refused]);
        assert_eq!(member.status("DELETE", JOB_PATH, "").await, 503);
        member.store.plan_faults(&[LostReply, Refused]);
        assert_eq!(member.status("DELETE", JOB_PATH, "").await, 504);
    });
}

#[test]
fn a_job_that_was_refused_is_never_stored() {
    // The first try hangs and is applied seconds later, the second is refused. With a 503 the
    // caller would submit the job elsewhere, and it would run twice. Covers every pair of faults.
    run(async {
        let member = TestMember::new("never").await;
        let faults = [Refused, LostReply, Unapplied, Delayed];
        let pairs = faults.iter().flat_map(|a| faults.map(|b| [*a, b]));
        for (no, pair) in (0xb0..).zip(pairs) {
            let path = format!("/a/00000000000000{no:x}");
            member.store.plan_faults(&pair);
            let wait = if pair == [Refused, Refused] { 3000 } else { 400 };
            let status = member.send("POST", &path, JOB, wait).await.0.status.as_u16();
            member.store.apply_delayed();
            let there = member.inbox().iter().any(|k| k.ends_with(&path[3..]));
            match status {
                200 => assert!(there, "{pair:?}: not stored"),
                503 => assert!(!there, "{pair:?}: refused, but stored"),
                _ => assert_eq!(status, 504, "{pair:?}"),
            }
            assert!(pair != [Refused, Refused] || status == 503, "{status}");
        }
    });
}

#[test]
fn a_queue_that_was_just_removed_takes_no_job() {
    // The watch of the configuration delivers no events, so this member still has a queue that the
    // operators have removed. The conditional write of the job must detect this, and a queue that
    // still exists must keep accepting jobs.
    run(async {
        let member = TestMember::new("removed").await;
        member.store.suppress_events(FORMS.operator_prefix);
        member.store.put(FORMS.config_key, r#"[2, ["/b/"]]"#);
        assert_eq!(member.status("POST", "/b/00000000000000b1", JOB).await, 200);
        member.store.put(FORMS.config_key, r#"[3, ["/a/"]]"#);
        assert_eq!(member.status("POST", "/b/00000000000000b2", JOB).await, 404);
        assert_eq!(member.inbox().len(), 1);
    });
}

#[test]
fn a_configuration_never_goes_back() {
    // A lower version is written after a higher one. The member must keep the higher version and
    // must still accept jobs.
    run(async {
        let member = TestMember::new("back").await;
        member.store.put(FORMS.config_key, r#"[5, ["/d/"]]"#);
        member.wait_until("version 5", async || member.status("GET", "/d/", "").await == 200).await;
        member.store.put(FORMS.config_key, r#"[4, ["/a/"]]"#);
        assert_eq!(member.status("POST", "/d/00000000000000d1", JOB).await, 200);
        assert_eq!(member.status("POST", JOB_PATH, JOB).await, 404);
    });
}

#[test]
fn members_ask_each_other() {
    // Callers may connect to any member, but only one owns the shard. The others must ask the owner
    // through a control call, which carries the secret from the stored layout.
    run(async {
        let owner = TestMember::new("owner").await;
        let other = TestMember::join("other", owner.store.clone(), owner.store_addr).await;
        let answered = async || other.status("GET", "/a/", "").await == 200;
        other.wait_until("the owner's count", answered).await;
        assert_eq!(other.status("POST", JOB_PATH, JOB).await, 200);
        assert_eq!(owner.status("GET", JOB_PATH, "").await, 200);
        assert_eq!(other.status("GET", JOB_PATH, "").await, 200);
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
            r#"dwr_end_lists_cut_off_total"#,
        ] {
            assert!(page.contains(name), "{name} is missing");
        }
        assert!(
            !page.contains(r#"dwr_call_seconds_count{call="store_watch"}"#),
            "a watch waits by design, so its duration must not be measured"
        );
    });
}

#[test]
fn a_wave_of_upkeep_is_seen_driven_and_told() {
    // Covers a whole maintenance wave: the watch of the operators' keys, the VMs and their workers,
    // the owner's confirmation that a worker is empty, the order to the platform with holder and
    // token, and the reported result.
    run(async {
        let member = TestMember::new("wave").await;
        member.store.put("workers/w2", &format!(r#"{{"addr": "{}"}}"#, member.store_addr));
        member.store.put("machines/m1", "w2");
        member.store.put("conf/wave/1", r#"[1, ["m1"], 20000, 1]"#);
        let result = async || member.store.get("told/1").map(|r| r.0);
        member.wait_until("told", async || result().await.is_some()).await;
        let completed = async || result().await.as_deref() == Some("true");
        member.wait_until("completed", completed).await;
        let (order, ..) = member.store.get("orders/m1").expect("an order");
        assert_eq!(order, r#"["m1","node",1]"#);
    });
}

#[test]
fn a_member_whose_lease_has_ended_registers_again() {
    // The store was unavailable for longer than the lease. The member row is gone, so the other
    // members no longer see this one, and its shard is about to be taken over.
    run(async {
        let member = TestMember::new("lease").await;
        member.store.expire_leases();
        assert!(member.store.keys("dwr/t/m/").is_empty());
        let registered =
            async || member.store.keys("dwr/t/m/").len() == 1 && member.is_ready().await;
        member.wait_until("its row", registered).await;
        let (row, ..) = member.store.get("dwr/t/o/000").expect("an owner");
        assert!(row.contains(r#""token":1"#), "it must remain the owner: {row}");
    });
}

#[test]
fn a_watch_of_the_table_that_fails_goes_on_from_where_it_was() {
    // An overloaded store refuses watches. If each of 300 members then reads the whole table twice,
    // the store has no capacity left for lease renewals, and each member that loses its lease is a
    // change that completes all watches again. This once blocked all jobs for a day.
    run(async {
        let member = TestMember::new("table").await;
        let table = "dwr/t/";
        let before = member.store.range_count(table);
        assert!(before > 0, "the table must have been read at the start");
        member.store.refuse_watches(table, 5);
        member.wait_until("refused", async || member.store.all_refused()).await;
        let row = r#"{"control": "127.0.0.1:1", "zone": "z", "draining": false}"#;
        member.store.put("dwr/t/m/00000000000000ff", row);
        let seen = async || {
            let (_, page) = member.page("/metrics").await;
            String::from_utf8_lossy(&page)
                .lines()
                .any(|l| l.contains("members") && l.ends_with(" 2"))
        };
        member.wait_until("the new member row", seen).await;
        assert_eq!(member.store.range_count(table), before, "the table must not be read again");
    });
}
