//! Tests of state requests for jobs whose shard has an unresponsive or a former owner.

#[path = "site/mod.rs"]
mod common;

use {
    bytes::Bytes,
    common::{TestMember, forms::READS_PER_S, store::AddrFault},
    dogwoodreach::http::{Client, SECRET, uri},
    http_body_util::Full,
    hyper::Request,
    serde_json::{Value, json},
    std::{
        net::TcpListener,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        thread,
        time::{Duration, Instant},
    },
    tokio::task::{JoinSet, LocalSet},
};

const JOB: &str = r#"{"text": "t", "steps": [{"count": 2}]}"#;
const REQUESTS: usize = 300;

/// Starts a member that accepts connections but never answers. Returns its port and the number of
/// connections so far.
fn silent_member() -> (u16, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let port = listener.local_addr().expect("an address").port();
    let count = Arc::new(AtomicUsize::new(0));
    let accepts = count.clone();
    thread::spawn(move || {
        let mut open = vec![];
        for stream in listener.incoming() {
            accepts.fetch_add(1, Ordering::Relaxed);
            open.push(stream);
        }
    });
    (port, count)
}

#[test]
fn questions_for_states_do_not_take_all_that_the_store_serves() {
    // Each state request that the owner left unanswered cost a call to the owner and two or three
    // reads of the store. At 2,800 reads a second the store refused the owner's lease renewals too,
    // and the overload never ended.
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), async {
        let member = Arc::new(TestMember::new("states").await);
        let accepted = async || member.status("POST", "/a/00000000000000c1", JOB).await == 200;
        member.wait_until("an accepted job", accepted).await;
        let (port, owner_calls) = silent_member();
        let row = format!(r#"{{"control": "127.0.0.1:{port}", "zone": "z", "draining": false}}"#);
        member.store.put("dwr/t/m/00000000000000ff", &row);
        let row = r#"{"owner": "00000000000000ff", "token": 9, "control": null}"#;
        member.store.put("dwr/t/o/000", row);
        let passed = async || {
            let page = member.page("/metrics").await.1;
            String::from_utf8_lossy(&page)
                .lines()
                .any(|l| l.contains("shards") && l.ends_with(" 0"))
        };
        member.wait_until("the loss of the shard", passed).await;
        let (before, begin) = (member.store.get_count(), Instant::now());
        let mut calls = JoinSet::new();
        for _ in 0..REQUESTS {
            let member = member.clone();
            calls.spawn_local(async move {
                let (head, _) = member.send("GET", "/a/00000000000000c1", "", 3000).await;
                (head.status.as_u16(), head.headers.contains_key("retry-after"))
            });
        }
        let answers = calls.join_all().await;
        // State requests may use a quarter of the store's read rate, shared by two members, plus
        // what accumulates in one second.
        let share = READS_PER_S / 4.0 / 2.0 * (begin.elapsed().as_secs_f64() + 1.0);
        let reads = member.store.get_count() - before;
        assert!(reads as f64 <= share, "{reads} reads, {share} allowed");
        let answered = answers.iter().filter(|a| a.0 == 200).count();
        let refused = answers.iter().filter(|a| **a == (503, true)).count();
        assert!(
            answered > 0 && answered + refused == REQUESTS,
            "{answered} answered, {refused} refused with `retry-after`"
        );
        let owner_calls = owner_calls.load(Ordering::Relaxed);
        assert!(
            owner_calls > 0 && owner_calls <= REQUESTS / 10,
            "{owner_calls} calls to the owner"
        );
    });
}

/// Asks a member for the state of job `job`, as another member does whose table names it as the
/// owner of shard 0. Members of an earlier version add `sure`, which must not matter. Returns the
/// report; null if it gives none.
async fn ask_state(member: &TestMember, job: &str) -> Value {
    let row = |key: &str| -> Value {
        let (value, ..) = member.store.get(key).expect("a row");
        serde_json::from_str(&value).expect("JSON")
    };
    let (layout, own) = (row("dwr/t/layout"), row(&member.store.keys("dwr/t/m/")[0]));
    let addr = own["control"].as_str().expect("an address").parse().expect("an address");
    let call = json!({
        "jsonrpc": "2.0", "id": 1, "method": "states",
        "params": [{ "jobs": [[0, job]], "sure": true }],
    });
    let request = Request::post(uri(addr, "/"))
        .header("content-type", "application/json")
        .header(SECRET, layout["secret"].as_str().expect("a secret"))
        .body(Full::new(Bytes::from(call.to_string())))
        .expect("a request");
    let (_, body) = Client::new(1).send(request, Duration::from_secs(5)).await.expect("an answer");
    let reply: Value = serde_json::from_slice(&body).expect("JSON");
    reply["result"][0].clone()
}

#[test]
fn an_owner_whose_lease_is_not_confirmed_vouches_for_no_state() {
    // A member whose table was older than a takeover passed on the former owner's state, after
    // other members had told callers the end of the job.
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(async {
        let member = TestMember::new("former").await;
        let job = "00000000000000c1";
        let accepted = async || member.status("POST", &format!("/a/{job}"), JOB).await == 200;
        member.wait_until("an accepted job", accepted).await;
        let current = async || ask_state(&member, job).await == json!({ "current": "queued" });
        member.wait_until("the report of a current state", current).await;
        member.store.set_fault(member.store_addr, Some(AddrFault::Silent));
        let past = async || ask_state(&member, job).await == json!({ "at_least": "queued" });
        member.wait_until("the report of a state that may be past", past).await;
    });
}
