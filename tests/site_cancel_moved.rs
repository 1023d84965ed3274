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

/// Submits a job, and moves its queue to another pool.
async fn submit_and_move(name: &str) -> TestMember {
    let store = Store::default();
    store.put(FORMS.config_key, r#"[1, ["/a/", "/b/"]]"#);
    store.put("workers/w1", "{}");
    let pools = json!({"pool": [0, 1], "other": [1, 1]});
    let layout = json!({"shards": 2, "secret": "s", "homes": [], "pools": pools});
    store.put("dwr/t/layout", &layout.to_string());
    let addr = store.serve();
    let member = TestMember::join_with(&MOVED, name, store, addr).await;
    assert_eq!(member.status("POST", PATH, JOB).await, 200);
    member.store.put(FORMS.config_key, r#"[2, ["/a/", "/v2/"]]"#);
    let known = async || member.status("GET", "/v2/", "").await != 404;
    member.wait_until("in force", known).await;
    member
}

#[test]
fn a_cancel_after_the_queue_has_moved_to_another_pool_ends_the_job() {
    // Guards against a cancel that is acknowledged and stored in a shard that doesn't have the job.
    run(async {
        let member = submit_and_move("moved-cancel").await;
        assert_eq!(member.status("DELETE", PATH, "").await, 200);
        let ended = async || member.store.get("dwr/in/000/j/00000000000000e7").is_none();
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
