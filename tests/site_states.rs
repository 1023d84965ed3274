//! How jobs stand while the owner of their shard says nothing.

#[path = "site/mod.rs"]
mod cell;

use {
    cell::{Cell, forms::READS},
    std::{
        net::TcpListener,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        thread,
        time::Instant,
    },
    tokio::task::{JoinSet, LocalSet},
};

const JOB: &str = r#"{"text": "t", "steps": [{"count": 2}]}"#;
const QUESTIONS: usize = 300;

/// A member that never answers; how many connections it has had.
fn silent() -> (u16, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let port = listener.local_addr().expect("an address").port();
    let count = Arc::new(AtomicUsize::new(0));
    let seen = count.clone();
    thread::spawn(move || {
        let mut open = vec![];
        for stream in listener.incoming() {
            seen.fetch_add(1, Ordering::Relaxed);
            open.push(stream);
        }
    });
    (port, count)
}

#[test]
fn questions_for_states_do_not_take_all_that_the_store_serves() {
    // Each question that the owner left open was a call to it and two or three reads of the store, which
    // then refused the owner's renewals too: 2,800 a second, which never ended.
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    LocalSet::new().block_on(&runtime.expect("a runtime"), async {
        let cell = Arc::new(Cell::new("states").await);
        let taken = async || cell.status("POST", "/a/00000000000000c1", JOB).await == 200;
        cell.until("a job is taken in", taken).await;
        let (port, asked) = silent();
        let row = format!(r#"{{"control": "127.0.0.1:{port}", "zone": "z", "draining": false}}"#);
        cell.store.put("dwr/t/m/00000000000000ff", &row);
        let row = r#"{"owner": "00000000000000ff", "token": 9, "control": null}"#;
        cell.store.put("dwr/t/o/000", row);
        let passed = async || {
            let page = cell.page("/metrics").await.1;
            String::from_utf8_lossy(&page)
                .lines()
                .any(|l| l.contains("shards") && l.ends_with(" 0"))
        };
        cell.until("the shard has passed on", passed).await;
        let (before, begin) = (cell.store.gets(), Instant::now());
        let mut calls = JoinSet::new();
        for _ in 0..QUESTIONS {
            let cell = cell.clone();
            calls.spawn_local(async move {
                let (head, _) = cell.send("GET", "/a/00000000000000c1", "", 3000).await;
                (head.status.as_u16(), head.headers.contains_key("retry-after"))
            });
        }
        let answers = calls.join_all().await;
        // A quarter of what the store serves, between two members, and what gathered in a second.
        let share = READS / 4.0 / 2.0 * (begin.elapsed().as_secs_f64() + 1.0);
        let reads = cell.store.gets() - before;
        assert!(reads as f64 <= share, "{reads} reads, {share} allowed");
        let told = answers.iter().filter(|a| a.0 == 200).count();
        let later = answers.iter().filter(|a| **a == (503, true)).count();
        assert!(
            told > 0 && told + later == QUESTIONS,
            "{told} told, {later} told when to come back"
        );
        let asked = asked.load(Ordering::Relaxed);
        assert!(asked > 0 && asked <= QUESTIONS / 10, "{asked} calls to the owner");
    });
}
