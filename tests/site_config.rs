//! A large configuration over a narrow link, and one that this member can't know.

#[path = "site/mod.rs"]
mod cell;

use {
    cell::{
        Cell,
        forms::FORMS,
        link::{self, Link},
        store::{Shut, Store},
    },
    std::{
        future::Future,
        sync::{Arc, atomic::Ordering::Relaxed},
        time::Duration,
    },
    tokio::{task::JoinSet, time::interval},
};

/// A link of 10 Mbit/s, in bytes a second.
const NARROW: u32 = 1_250_000;
/// The bytes of a large configuration: as many as an item may have, but for some.
const LARGE: usize = 1_000_000;
/// Callers at once, and the pause of each between two jobs.
const CALLERS: u32 = 10;
const PAUSE: Duration = Duration::from_millis(100);
const JOB: &str = r#"{"text": "t", "steps": [{"count": 2}]}"#;

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(test);
}

/// A large configuration with the queues `/a/` and this one.
fn large(version: u64, queue: &str) -> String {
    let more = (0..LARGE / 22).map(|n| format!(r#""/more/{n:011}/""#));
    let all: Vec<String> =
        [r#""/a/""#.into(), format!(r#""{queue}""#)].into_iter().chain(more).collect();
    format!("[{version},[{}]]", all.join(","))
}

/// A member with a narrow link to a store that has a small configuration.
async fn narrow(name: &str) -> (Cell, Link) {
    let store = Store::default();
    store.put(FORMS.config, r#"[1, ["/a/", "/b/"]]"#);
    store.put("workers/w1", "{}");
    let addr = store.serve();
    let link = link::serve(addr, NARROW);
    let mut cell = Cell::join(name, store, link.addr).await;
    cell.addr = addr;
    (cell, link)
}

#[test]
fn a_large_configuration_is_in_force_after_an_outage() {
    // A reading that is given up before the link can carry it begins anew for ever.
    run(async {
        let (cell, _) = narrow("large-outage").await;
        cell.store.shut(cell.addr, Some(Shut::Silent));
        cell.until("away", async || !cell.is_ready().await).await;
        cell.store.put(FORMS.config, &large(2, "/c/"));
        cell.store.shut(cell.addr, None);
        cell.until("in force", async || cell.status("GET", "/c/", "").await == 200).await;
    });
}

#[test]
fn jobs_do_not_each_fetch_the_configuration() {
    // Each conflict carries the configuration, and fills the link on which a newer one is to come.
    run(async {
        let (cell, link) = narrow("large-jobs").await;
        let (cell, before) = (Arc::new(cell), link.carried.load(Relaxed));
        cell.store.put(FORMS.config, &large(2, "/c/"));
        let mut callers = JoinSet::new();
        for caller in 0..CALLERS {
            let cell = cell.clone();
            callers.spawn(async move {
                let mut pause = interval(PAUSE);
                for number in 0.. {
                    pause.tick().await;
                    let path = format!("/a/{caller:08x}{number:08x}");
                    // A refusal is fine; the caller comes back with another job.
                    cell.send("POST", &path, JOB, 3000).await;
                }
            });
        }
        cell.until("in force", async || cell.status("GET", "/c/", "").await == 200).await;
        let carried = link.carried.load(Relaxed) - before;
        assert!(carried < 2 * LARGE, "{carried} bytes for a configuration of {LARGE}");
        callers.shutdown().await;
        cell.until("a job is taken in", async || {
            cell.status("POST", "/c/00000000000000c1", JOB).await == 200
        })
        .await;
    });
}

#[test]
fn a_job_handed_in_twice_beside_a_large_configuration_is_taken_in_once() {
    // A conflict for the job itself was taken for a newer configuration, which never came.
    run(async {
        let cell = Cell::new("large-twice").await;
        cell.store.put(FORMS.config, &large(2, "/c/"));
        cell.until("in force", async || cell.status("GET", "/c/", "").await == 200).await;
        for _ in 0..2 {
            assert_eq!(cell.status("POST", "/c/00000000000000c1", JOB).await, 200);
        }
        assert_eq!(cell.status("POST", "/c/00000000000000c2", JOB).await, 200);
        assert_eq!(cell.inbox().len(), 2);
    });
}

#[test]
fn a_member_that_cannot_know_the_configuration_refuses() {
    // It answered by a configuration that had been replaced seconds before.
    run(async {
        let cell = Cell::new("config-silent").await;
        cell.store.mute(FORMS.operators, true);
        cell.store.put(FORMS.config, r#"[2, ["/b/"]]"#);
        let refuses = async || cell.status("GET", "/a/", "").await == 503;
        cell.until("a count is refused", refuses).await;
        let (head, _) = cell.send("GET", "/new/", "", 1000).await;
        assert_eq!(head.status, 503);
        assert!(head.headers.contains_key("retry-after"));
        assert!(!cell.is_ready().await);
        cell.store.mute(FORMS.operators, false);
        cell.until("removed", async || cell.status("GET", "/a/", "").await == 404).await;
        cell.until("ready again", async || cell.is_ready().await).await;
    });
}
