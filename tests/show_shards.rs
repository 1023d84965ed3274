//! What operators see of shards: the page of a member, and `show --shards` over many members.

#[path = "site/mod.rs"]
mod common;
mod yard;

use {
    common::{TestMember, forms::FORMS},
    dogwoodreach::{
        ids::CustomerId,
        shard::{
            record::ShardNo,
            view::{Limits, MAX_WORKERS, MemberView, ShardView, WorkerState},
        },
        show_shards::{AskError, ShardsReport, ask},
        units::{Memory, Size},
        work::{Job, Step},
    },
    serde_json::Value,
    std::{
        collections::BTreeMap,
        net::SocketAddr,
        process::Command,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::net::TcpListener,
    yard::{ShardSim, customers::with_customers, workers},
};

const JOB: &str = r#"{"text": "t", "steps": [{"count": 2}]}"#;

fn tasks(count: u32, ms: u64) -> Job {
    let step = Step { count, estimate: ms, size: Size::new(1, 64, 0), ..Step::default() };
    Job { text: "do it".into(), steps: [step].into(), times: None }
}

fn view(y: &ShardSim) -> ShardView {
    y.owners.iter().rfind(|o| !o.ended).expect("an owner").shard.view(y.now)
}

/// Runs `show --shards`; returns the exit code, standard output and standard error.
fn show(addrs: &str, more: &[&str]) -> (i32, String, String) {
    let mut command = Command::new(env!("CARGO_BIN_EXE_dogwoodreach"));
    let output = command.args(["show", "--shards", addrs]).args(more).output();
    let output = output.expect("the binary runs");
    let text = |bytes: &[u8]| String::from_utf8_lossy(bytes).into_owned();
    (output.status.code().expect("a code"), text(&output.stdout), text(&output.stderr))
}

#[test]
fn a_customer_is_shown_with_what_runs_and_what_waits_for_whatever_reason() {
    // `did=capped` names only customers whom a cap keeps waiting; one that waits for capacity could
    // not be seen at all.
    let caps = [("ann", Size::new(6, 0, 0)), ("bob", Size::default())];
    let mut y = ShardSim::with(1, with_customers(1, &caps), workers(8), 2);
    y.resend_list = true;
    y.run_until(500);
    y.submit_for(Some(CustomerId::from("ann")), 1, "open", tasks(30, 4_000));
    y.submit_for(Some(CustomerId::from("bob")), 2, "open", tasks(30, 4_000));
    y.run_until(3_000);
    let view = view(&y);
    let by_name =
        |name: &str| view.customers.iter().find(|c| c.name.as_str() == name).expect("the customer");
    let (ann, bob) = (by_name("ann"), by_name("bob"));
    assert_eq!(ann.running.cores.0 + bob.running.cores.0, 16_000, "the pool is full");
    assert_eq!(ann.running.cores.0 / 1_000 + ann.waiting_tasks, 30);
    assert_eq!(bob.running.cores.0 / 1_000 + bob.waiting_tasks, 30);
    assert!(bob.waiting_tasks > 0 && bob.longest_wait_ms > 1_000, "{bob:?}");
    assert_eq!((ann.cap.cores.map(|c| c.0), bob.cap.cores), (Some(6_000), None));
    assert_eq!((ann.allotted.cores.map(|c| c.0), ann.allotted.memory), (Some(6_000), None));
    assert_eq!(bob.allotted, Limits::default(), "a part of no limit is shown as a number");
    assert_eq!(
        (ann.weight, view.waiting_tasks),
        (Some(1.0), ann.waiting_tasks + bob.waiting_tasks)
    );
    let pool = view.pools.iter().find(|p| p.pool.as_str() == "open").expect("the pool");
    assert_eq!(
        (pool.workers, pool.used.cores, pool.capacity.cores.0),
        (4, pool.capacity.cores, 16_000)
    );
}

#[test]
fn a_quarantined_worker_stands_first_and_the_view_is_bounded() {
    let mut y = ShardSim::with(2, with_customers(1, &[]), workers(MAX_WORKERS + 20), 2);
    y.resend_list = true;
    y.world.workers[2].failing = true;
    y.run_until(500);
    for no in 1..40 {
        y.submit_for(None, no, "open", tasks(60, 400));
    }
    y.run_until(4_000);
    let view = view(&y);
    let bad = y.world.id(2);
    let shown = view.workers.iter().find(|w| w.id == bad).expect("the worker");
    assert!(shown.quarantined && shown.state == WorkerState::Quarantined, "{shown:?}");
    assert!(view.workers.is_sorted_by_key(|w| w.state));
    assert_eq!((view.workers.len(), view.omitted_workers), (MAX_WORKERS, 20));
    assert_eq!(view.pools.iter().map(|p| p.workers).sum::<usize>(), MAX_WORKERS + 20);
}

#[test]
fn sums_of_huge_sizes_saturate() {
    // Sizes come from callers, and the sum of two huge waiting steps must not end the owner.
    let caps = [("ann", Size::default())];
    let mut y = ShardSim::with(4, with_customers(1, &caps), workers(8), 2);
    let huge = Size { memory: Memory(u64::MAX), ..Size::new(1, 0, 0) };
    for no in 1..3 {
        let step = Step { size: huge, ..tasks(2, 4_000).steps[0].clone() };
        let job = Job { steps: [step].into(), ..tasks(2, 4_000) };
        y.submit_for(Some(CustomerId::from("ann")), no, "open", job);
    }
    y.run_until(1_000);
    let shard = view(&y);
    assert_eq!(shard.customers[0].waiting_tasks, 4);
    assert_eq!(shard.customers[0].waiting.memory, Memory(u64::MAX));
    let mut other = shard.clone();
    (other.shard, other.customers[0].waiting_tasks) = (ShardNo(1), u64::MAX);
    let page = MemberView {
        member: dogwoodreach::ids::Incarnation(1),
        node: "node-1".into(),
        shard_count: 2,
        shards: vec![shard, other],
    };
    let addr = SocketAddr::from(([10, 0, 0, 1], 1));
    let report = ShardsReport::new(BTreeMap::from([(addr, Ok(page))]));
    assert_eq!(report.customers[0].waiting.memory, Memory(u64::MAX));
    assert_eq!(report.customers[0].waiting_tasks, u64::MAX);
    assert!(report.to_string().contains("customer ann"));
}

#[test]
fn of_two_members_that_show_a_shard_the_later_owner_counts() {
    // A former owner that has not learnt of its successor shows the shard too, and its customers would
    // be counted twice.
    let caps = [("ann", Size::new(6, 0, 0))];
    let mut y = ShardSim::with(3, with_customers(1, &caps), workers(8), 2);
    y.submit_for(Some(CustomerId::from("ann")), 1, "open", tasks(30, 4_000));
    y.run_until(2_000);
    let shard = view(&y);
    let member = |member: u64, token: u64| MemberView {
        member: dogwoodreach::ids::Incarnation(member),
        node: format!("node-{member}").into(),
        shard_count: 2,
        shards: vec![ShardView { token, ..shard.clone() }],
    };
    let addr = |port: u16| SocketAddr::from(([10, 0, 0, 1], port));
    let error = AskError { addr: addr(3), cause: "no answer".into(), unreachable: true };
    let pages = BTreeMap::from([
        (addr(1), Ok(member(1, 7))),
        (addr(2), Ok(member(2, 8))),
        (addr(3), Err(error)),
    ]);
    let report = ShardsReport::new(pages);
    assert_eq!(report.shards.iter().map(|s| s.view.token).collect::<Vec<_>>(), [8]);
    assert_eq!(report.customers[0].running, shard.customers[0].running);
    assert_eq!((report.missing_shards.clone(), report.ok), (vec![ShardNo(1)], false));
    let text = report.to_string();
    for part in ["shard 000 at node-2 (10.0.0.1:2)", "by no member asked: 001", "cap of 6 cores"] {
        assert!(text.contains(part), "{text}");
    }
}

#[test]
fn the_command_shows_a_member_and_names_what_it_could_not_ask() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(async {
        let member = TestMember::new("show-shards").await;
        member.store.put(FORMS.config_key, r#"[2, ["/a/", "/b/"], {"ann": ["k1"]}]"#);
        let path = "/a/00000000000000e1";
        let sent = async || {
            let (head, _) = member.send_with(&["Bearer k1"], "POST", path, JOB, 1000).await;
            head.status == 200
        };
        member.wait_until("an accepted job", sent).await;
        let page = async || -> Value {
            let (head, body) = member.page("/shards").await;
            assert_eq!(head.headers["content-type"], "application/json");
            serde_json::from_slice(&body).expect("JSON")
        };
        let waits = async || page().await["shards"][0]["customers"][0]["waiting_tasks"] == 2;
        member.wait_until("the customer's tasks", waits).await;
        let addr = member.metrics.to_string();
        let (code, out, err) = show(&addr, &[]);
        assert_eq!((code, &*err), (0, ""), "{out}");
        assert!(out.contains("customer ann: ") && out.contains("2 tasks wait"), "{out}");
        assert!(!out.contains("k1") && !page().await.to_string().contains("k1"), "a key is shown");

        // Port 1 is closed, and the readiness check has no such page.
        let (code, out, err) = show(&format!("{addr},127.0.0.1:1"), &[]);
        assert!(code == 6 && out.contains("customer ann"), "{code}: {out}");
        assert!(err.contains("127.0.0.1:1: the member cannot be reached"), "{err}");
        let (code, out, err) = show(&member.ready.to_string(), &[]);
        assert!((code, &*out) == (1, "") && err.contains("no page /shards there"), "{code}: {err}");
        let (code, out, err) = show("127.0.0.1:1", &["--json"]);
        let report: Value = serde_json::from_str(&out).expect("JSON");
        assert_eq!((code, &*err, report["ok"].as_bool()), (6, "", Some(false)));
        assert_eq!(report["errors"][0]["unreachable"], true);
    });
}

#[test]
fn at_most_eight_members_are_asked_at_once() {
    // Two hundred pages of full size at once would take gigabytes of memory.
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(async {
        let (open, most) = (Arc::new(AtomicUsize::new(0)), Arc::new(AtomicUsize::new(0)));
        let mut addrs = vec![];
        for _ in 0..20 {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
            addrs.push(listener.local_addr().expect("an address"));
            let (open, most) = (open.clone(), most.clone());
            tokio::spawn(async move {
                let call = listener.accept().await.expect("a call");
                most.fetch_max(open.fetch_add(1, Ordering::SeqCst) + 1, Ordering::SeqCst);
                tokio::time::sleep(Duration::from_millis(100)).await;
                open.fetch_sub(1, Ordering::SeqCst);
                drop(call);
            });
        }
        let report = ask(&addrs).await;
        assert_eq!((report.errors.len(), report.ok), (20, false), "all were asked");
        assert_eq!(most.load(Ordering::SeqCst), 8);
    });
}

#[test]
fn wrong_addresses_are_refused_before_any_call() {
    for (addrs, more, want) in [
        ("10.0.0.1", &[][..], "--shards cannot have \"10.0.0.1\"; IP numbers and ports"),
        ("10.0.0.1:1,,", &[], "--shards cannot have \"\"; IP numbers and ports"),
        ("10.0.0.1:1", &["--to", "10.0.0.1:2"], "show takes no --to"),
    ] {
        let (code, out, err) = show(addrs, more);
        assert_eq!((code, &*out), (2, ""), "{addrs}");
        assert!(err.contains(want), "{err}");
    }
    let many: Vec<String> = (1..=201).map(|port| format!("10.0.0.1:{port}")).collect();
    let (code, _, err) = show(&many.join(","), &[]);
    assert!(code == 2 && err.contains("up to 200 addresses"), "{err}");
}
