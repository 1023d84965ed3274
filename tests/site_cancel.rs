//! Tests of cancels that reach the store before their job.

#[path = "site/mod.rs"]
mod common;

use {
    common::{
        TestMember,
        store::{
            AddrFault,
            WriteFault::{Delayed, Refused},
        },
    },
    dogwoodreach::{
        ids::Incarnation,
        rpc_clients::RpcClients,
        shard::record::{Layout, MemberRow},
        table_view::TableView,
    },
    serde::de::DeserializeOwned,
    serde_json::{Value, json},
    std::{future::Future, time::Duration},
};

const JOB: &str = r#"{"text": "t", "steps": [{"count": 1}]}"#;
const PATH: &str = "/a/00000000000000e1";
const JOB_KEY: &str = "dwr/in/000/j/00000000000000e1";

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(test);
}

async fn wait_until_cancelled(member: &TestMember) {
    let cancelled = async || &member.send("GET", PATH, "", 1000).await.1[..] == b"cancelled";
    member.wait_until("the cancelled state", cancelled).await;
}

#[test]
fn a_job_whose_write_is_done_after_its_cancel_does_not_run() {
    // Guards against a cancel that is acknowledged as "no such job" and leaves nothing behind, while
    // the job's write is still on its way.
    run(async {
        let member = TestMember::new("cancel-late-write").await;
        member.store.plan_faults(&[Delayed, Refused]);
        assert_eq!(member.send("POST", PATH, JOB, 3000).await.0.status, 504);
        assert_eq!(member.status("DELETE", PATH, "").await, 410);
        member.store.apply_delayed();
        wait_until_cancelled(&member).await;
    });
}

#[test]
fn a_cancel_that_finds_its_job_only_on_the_second_reading_is_written() {
    // Guards against a cancel that is acknowledged without a write, as the job was stored between the
    // two readings.
    run(async {
        let member = TestMember::new("cancel-between").await;
        assert_eq!(member.status("POST", "/a/00000000000000e2", JOB).await, 200);
        let record = member.store.get("dwr/in/000/j/00000000000000e2").expect("a job").0;
        member.store.write_on_miss(JOB_KEY, &record);
        let status = member.status("DELETE", PATH, "").await;
        assert!(status == 200 || status == 410, "{status}");
        wait_until_cancelled(&member).await;
    });
}

/// Returns a counter of the member's calls.
async fn calls(member: &TestMember, call: &str, answer: &str) -> u64 {
    let page = member.page("/metrics").await.1;
    let line = format!(r#"dwr_calls_total{{answer="{answer}",call="{call}"}} "#);
    let text = String::from_utf8_lossy(&page).into_owned();
    text.lines().find_map(|l| l.strip_prefix(&*line)?.parse().ok()).unwrap_or(0)
}

/// Two members whose store answers neither of them while `silent`.
struct Pair {
    all: [TestMember; 2],
}

impl Pair {
    async fn new(name: &str) -> Pair {
        let first = TestMember::new(name).await;
        let addr = first.store.serve();
        let second = TestMember::join(&format!("{name}-2"), first.store.clone(), addr).await;
        Pair { all: [first, second] }
    }

    fn silence(&self, silent: bool) {
        let fault = silent.then_some(AddrFault::Silent);
        self.all.iter().for_each(|m| m.store.set_fault(m.store_addr, fault));
    }

    /// Returns how often an owner has asked all members for cancels, with this outcome.
    async fn searches(&self, outcome: &str) -> u64 {
        let [first, second] = &self.all;
        calls(first, "cancel_search", outcome).await + calls(second, "cancel_search", outcome).await
    }

    /// Adds the row of a member with this address, and waits until both members know it.
    async fn add_row(&self, control: &str) {
        let row = format!(r#"{{"control": "{control}", "zone": "z", "draining": false}}"#);
        self.all[0].store.put("dwr/t/m/00000000000000ff", &row);
        for member in &self.all {
            let known = async || {
                let page = member.page("/metrics").await.1;
                let line = r#"dwr_level{what="members"} 3"#;
                String::from_utf8_lossy(&page).lines().any(|l| l == line)
            };
            member.wait_until("three members", known).await;
        }
    }

    /// Checks that no search is complete while the store is silent.
    async fn assert_incomplete(&self) {
        let done = self.searches("done").await;
        self.silence(true);
        let incomplete = async || self.searches("incomplete").await >= 2;
        self.all[0].wait_until("two incomplete searches", incomplete).await;
        assert_eq!(self.searches("done").await, done);
    }
}

#[test]
fn an_owner_without_a_store_asks_all_members_for_cancels() {
    // Guards against work that stands still while the store is away for all, and against an owner
    // that takes the answers of some members for those of all.
    run(async {
        let pair = Pair::new("cancel-search").await;
        pair.silence(true);
        let done = async || pair.searches("done").await >= 3;
        pair.all[0].wait_until("three complete searches", done).await;
        pair.silence(false);
        pair.add_row("127.0.0.1:9").await;
        pair.assert_incomplete().await;
    });
}

#[test]
fn a_process_does_not_answer_for_another_one_that_had_its_address() {
    // Guards against an owner that takes the empty log of a process that has just started for that
    // of its predecessor, which may have acknowledged cancels before it ended.
    run(async {
        let member = TestMember::new("cancel-address").await;
        let key = member.store.keys("dwr/t/m/").remove(0);
        let row: MemberRow = item(&member, &key);
        let layout: Layout = item(&member, "dwr/t/layout");
        let me: Incarnation = key["dwr/t/m/".len()..].parse().expect("an id");
        let view = TableView { members: [(me, row.clone())].into(), ..TableView::default() };
        let ask = async |member: Incarnation, members: u64| {
            let request =
                json!({"member": member, "shards": [0], "age_ms": 1000, "members": members});
            let (clients, limit) = (RpcClients::default(), Duration::from_secs(5));
            let answer: Result<Value, _> =
                clients.call(row.control, &layout.secret, "cancels", &request, limit).await;
            answer.expect("an answer")
        };
        assert_eq!(ask(me, view.members_hash()).await, json!([]));
        assert_eq!(ask(Incarnation(me.0 ^ 1), view.members_hash()).await, Value::Null);
        assert_eq!(ask(me, view.members_hash() ^ 1).await, Value::Null, "another table");
    });
}

fn item<T: DeserializeOwned>(member: &TestMember, key: &str) -> T {
    serde_json::from_str(&member.store.get(key).expect("an item").0).expect("JSON")
}
