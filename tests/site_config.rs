//! Tests of a large configuration over a slow link, and of a configuration that a member cannot
//! confirm as current.

#[path = "site/mod.rs"]
mod common;

use {
    common::{
        TestMember,
        forms::FORMS,
        link::{self, Link},
        store::{AddrFault, Store},
    },
    std::{
        future::Future,
        sync::{Arc, atomic::Ordering::Relaxed},
        time::Duration,
    },
    tokio::{task::JoinSet, time::interval},
};

/// 10 Mbit/s.
const LINK_BYTES_PER_S: u32 = 1_250_000;
/// Approximate size of a large configuration, just below the size limit of an item.
const CONFIG_BYTES: usize = 1_000_000;
/// Number of concurrent callers.
const CALLERS: u32 = 10;
/// Pause of each caller between two jobs.
const CALLER_PAUSE: Duration = Duration::from_millis(100);
const JOB: &str = r#"{"text": "t", "steps": [{"count": 2}]}"#;

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(test);
}

/// Returns a large configuration with the queues `/a/`, `queue` and many others.
fn large_config(version: u64, queue: &str) -> String {
    let more = (0..CONFIG_BYTES / 22).map(|n| format!(r#""/more/{n:011}/""#));
    let all: Vec<String> =
        [r#""/a/""#.into(), format!(r#""{queue}""#)].into_iter().chain(more).collect();
    format!("[{version},[{}]]", all.join(","))
}

/// Starts a member with a slow link to a store that holds a small configuration.
async fn member_on_narrow_link(name: &str) -> (TestMember, Link) {
    let store = Store::default();
    store.put(FORMS.config_key, r#"[1, ["/a/", "/b/"]]"#);
    store.put("workers/w1", "{}");
    let store_addr = store.serve();
    let link = link::serve(store_addr, LINK_BYTES_PER_S);
    let mut member = TestMember::join(name, store, link.addr).await;
    member.store_addr = store_addr;
    (member, link)
}

#[test]
fn a_large_configuration_is_in_force_after_an_outage() {
    // A read of the configuration that times out before the link has carried it would restart
    // forever.
    run(async {
        let (member, _) = member_on_narrow_link("large-outage").await;
        member.store.set_fault(member.store_addr, Some(AddrFault::Silent));
        member.wait_until("away", async || !member.is_ready().await).await;
        member.store.put(FORMS.config_key, &large_config(2, "/c/"));
        member.store.set_fault(member.store_addr, None);
        member.wait_until("in force", async || member.status("GET", "/c/", "").await == 200).await;
    });
}

#[test]
fn jobs_do_not_each_fetch_the_configuration() {
    // Each conflict reply carries the whole configuration. These replies would fill the link and
    // delay the newer configuration.
    run(async {
        let (member, link) = member_on_narrow_link("large-jobs").await;
        let (member, before) = (Arc::new(member), link.bytes_sent.load(Relaxed));
        member.store.put(FORMS.config_key, &large_config(2, "/c/"));
        let mut callers = JoinSet::new();
        for caller in 0..CALLERS {
            let member = member.clone();
            callers.spawn(async move {
                let mut pause = interval(CALLER_PAUSE);
                for number in 0.. {
                    pause.tick().await;
                    let path = format!("/a/{caller:08x}{number:08x}");
                    // Refusals are expected; the caller goes on with another job.
                    member.send("POST", &path, JOB, 3000).await;
                }
            });
        }
        member.wait_until("in force", async || member.status("GET", "/c/", "").await == 200).await;
        let sent = link.bytes_sent.load(Relaxed) - before;
        assert!(sent < 2 * CONFIG_BYTES, "{sent} bytes for a configuration of {CONFIG_BYTES}");
        callers.shutdown().await;
        member
            .wait_until("an accepted job", async || {
                member.status("POST", "/c/00000000000000c1", JOB).await == 200
            })
            .await;
    });
}

#[test]
fn a_job_handed_in_twice_beside_a_large_configuration_is_taken_in_once() {
    // A conflict on the job's own key was mistaken for a newer configuration, for which the member
    // then waited in vain.
    run(async {
        let member = TestMember::new("large-twice").await;
        member.store.put(FORMS.config_key, &large_config(2, "/c/"));
        member.wait_until("in force", async || member.status("GET", "/c/", "").await == 200).await;
        for _ in 0..2 {
            assert_eq!(member.status("POST", "/c/00000000000000c1", JOB).await, 200);
        }
        assert_eq!(member.status("POST", "/c/00000000000000c2", JOB).await, 200);
        assert_eq!(member.inbox().len(), 2);
    });
}

#[test]
fn a_member_that_cannot_know_the_configuration_refuses() {
    // A member without answers to its reads and watches served requests by a configuration that had
    // been replaced seconds before.
    run(async {
        let member = TestMember::new("config-silent").await;
        member.store.set_muted(FORMS.operator_prefix, true);
        member.store.put(FORMS.config_key, r#"[2, ["/b/"]]"#);
        let refuses = async || member.status("GET", "/a/", "").await == 503;
        member.wait_until("a refused queue count", refuses).await;
        let (head, _) = member.send("GET", "/new/", "", 1000).await;
        assert_eq!(head.status, 503);
        assert!(head.headers.contains_key("retry-after"));
        assert!(!member.is_ready().await);
        member.store.set_muted(FORMS.operator_prefix, false);
        member.wait_until("removed", async || member.status("GET", "/a/", "").await == 404).await;
        member.wait_until("ready again", async || member.is_ready().await).await;
    });
}
