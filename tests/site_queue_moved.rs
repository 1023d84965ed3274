//! A job whose queue has moved to another pool, whose shards are others.

#[path = "site/mod.rs"]
mod common;

use {
    common::{TestMember, forms::FORMS, store::Store},
    dogwoodreach::{Error, ids::PoolId, ports::Codec, work::QueueConfig},
    serde_json::json,
    std::future::Future,
};

const JOB: &str = r#"{"text": "t", "steps": [{"count": 1}]}"#;
const PATH: &str = "/a/00000000000000e7";

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(test);
}

/// Reads a configuration; from version 2 on, all queues use the pool `other`.
fn queues(bytes: &[u8]) -> Result<QueueConfig, Error> {
    let mut config = (FORMS.decode_config)(bytes)?;
    if config.version >= 2 {
        config.queues.iter_mut().for_each(|q| q.pool = PoolId::from("other"));
    }
    Ok(config)
}

static MOVED: Codec = Codec { decode_config: queues, ..FORMS };

/// Starts a member whose layout has the pools `other` and `pool`, in that order, and `more` between
/// them, each with a shard of its own.
async fn start_member(name: &str, more: u16) -> TestMember {
    let store = Store::default();
    store.put(FORMS.config_key, r#"[1, ["/a/", "/b/"]]"#);
    store.put("workers/w1", "{}");
    let mut pools = json!({"other": [0, 1], "pool": [more + 1, 1]});
    for no in 1..=more {
        pools[format!("more-{no}")] = json!([no, 1]);
    }
    let layout = json!({"shards": 2 + more, "secret": "s", "homes": [], "pools": pools});
    store.put("dwr/t/layout", &layout.to_string());
    let addr = store.serve();
    TestMember::join_with(&MOVED, name, store, addr).await
}

/// Moves all queues to another pool.
async fn move_queues(member: &TestMember) {
    member.store.put(FORMS.config_key, r#"[2, ["/a/", "/v2/"]]"#);
    let known = async || member.status("GET", "/v2/", "").await != 404;
    member.wait_until("in force", known).await;
}

/// Submits a job, and moves its queue to another pool.
async fn submit_and_move(name: &str) -> TestMember {
    let member = start_member(name, 0).await;
    assert_eq!(member.status("POST", PATH, JOB).await, 200);
    move_queues(&member).await;
    member
}

fn submitted_jobs(member: &TestMember) -> Vec<String> {
    let mut keys = member.inbox();
    keys.retain(|k| k.contains("/j/"));
    keys
}

#[test]
fn a_job_that_is_submitted_again_after_its_queue_has_moved_is_accepted_once() {
    // Guards against a second record of a job, whose tasks would run twice.
    run(async {
        let member = submit_and_move("moved-again").await;
        assert_eq!(member.status("POST", PATH, JOB).await, 200);
        assert_eq!(submitted_jobs(&member), ["dwr/in/001/j/00000000000000e7"]);
    });
}

#[test]
fn a_job_that_is_submitted_again_after_it_is_over_and_its_queue_has_moved_is_not_accepted_again() {
    // Guards against a job that runs again although it is over: only its progress is left.
    run(async {
        let member = start_member("moved-over", 0).await;
        let progress = r#"{"state": "done", "over": 32503680000000, "queue": "/a/"}"#;
        member.store.put("dwr/p/001/00000000000000e7", progress);
        move_queues(&member).await;
        assert_eq!(member.status("POST", PATH, JOB).await, 200);
        assert!(submitted_jobs(&member).is_empty());
    });
}

#[test]
fn a_job_is_accepted_once_with_more_pools_than_a_write_may_have_conditions() {
    // Guards against a second record of a job in a shard that is no condition of the write.
    run(async {
        let member = start_member("moved-many", 20).await;
        assert_eq!(member.status("POST", PATH, JOB).await, 200);
        move_queues(&member).await;
        assert_eq!(member.status("POST", PATH, JOB).await, 200);
        assert_eq!(submitted_jobs(&member), ["dwr/in/021/j/00000000000000e7"]);
    });
}

#[test]
fn a_cancel_after_the_queue_has_moved_to_another_pool_ends_the_job() {
    // Guards against a cancel that is acknowledged and stored in a shard that doesn't have the job.
    run(async {
        let member = submit_and_move("moved-cancel").await;
        assert_eq!(member.status("DELETE", PATH, "").await, 200);
        let ended = async || member.store.get("dwr/in/001/j/00000000000000e7").is_none();
        member.wait_until("the end of the job", ended).await;
    });
}

#[test]
fn the_state_of_a_job_is_told_after_its_queue_has_moved_to_another_pool() {
    // Guards against a job that is told as unknown while it goes on in its shard.
    run(async {
        let member = submit_and_move("moved-state").await;
        let told = async || member.status("GET", PATH, "").await == 200;
        member.wait_until("the state of the job", told).await;
    });
}

#[test]
fn the_state_of_a_job_is_told_without_its_owner_after_its_queue_has_moved() {
    // Guards against a read of the store in the shard of the queue's present pool only.
    run(async {
        let member = submit_and_move("moved-ownerless").await;
        let row = r#"{"control": "127.0.0.1:1", "zone": "z", "draining": false}"#;
        member.store.put("dwr/t/m/00000000000000ff", row);
        member.store.put("dwr/t/o/001", r#"{"owner": "00000000000000ff", "token": 9}"#);
        let passed = async || member.status("GET", "/a/", "").await != 200;
        member.wait_until("the other owner", passed).await;
        assert_eq!(member.send("GET", PATH, "", 1000).await.1[..], b"queued"[..]);
    });
}

#[test]
fn a_job_that_is_submitted_after_its_cancel_and_a_move_of_its_queue_does_not_run() {
    // Guards against a cancel that is stored in the shard of the queue's former pool only.
    run(async {
        for more in [0, 20] {
            let member = start_member(&format!("moved-cancel-first-{more}"), more).await;
            assert_eq!(member.status("DELETE", PATH, "").await, 410);
            assert_eq!(member.status("DELETE", PATH, "").await, 410);
            move_queues(&member).await;
            assert_eq!(member.status("POST", PATH, JOB).await, 200);
            let cancelled =
                async || &member.send("GET", PATH, "", 1000).await.1[..] == b"cancelled";
            member.wait_until("the cancelled state", cancelled).await;
        }
    });
}

#[test]
fn a_cancel_that_was_checked_in_one_shard_counts_in_that_shard_only() {
    // Guards against a cancel that ends another customer's job: where no member has compared the job
    // with the caller, the owner does.
    run(async {
        let member = start_member("moved-checked", 0).await;
        let checked = r#"{"asked_ms": 1, "scope": "checked"}"#;
        member.store.put("dwr/in/001/c/00000000000000e7", checked);
        assert_eq!(member.status("DELETE", PATH, "").await, 410);
        let other = member.store.get("dwr/in/000/c/00000000000000e7").expect("a cancel").0;
        assert!(other.contains("callers"), "{other}");
    });
}
