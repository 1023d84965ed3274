//! Tests of calls that carry the API keys of customers, against a member on a site.

#[path = "site/mod.rs"]
mod common;

use {
    common::{
        TestMember,
        forms::FORMS,
        store::{
            AddrFault, Store,
            WriteFault::{Delayed, Refused},
        },
    },
    std::future::Future,
};

const JOB: &str = r#"{"text": "t", "steps": [{"count": 2}]}"#;
const PATH: &str = "/a/00000000000000aa";

fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.expect("a runtime").block_on(test);
}

/// Starts a member of a site with the customers `ann`, who has the keys `k1` and `k2`, and `bob`.
async fn member(name: &str) -> TestMember {
    let member = TestMember::new(name).await;
    configure(&member, 2, r#"{"ann": ["k1", "k2"], "bob": ["k3"]}"#).await;
    member
}

/// Puts a configuration in force.
async fn configure(member: &TestMember, version: u64, keys: &str) {
    let queues = format!(r#"["/a/", "/v{version}/", "/public/"]"#);
    member.store.put(FORMS.config_key, &format!("[{version}, {queues}, {keys}]"));
    // A queue that is there only in this version; its path is known before a key is looked at.
    let path = format!("/v{version}/");
    member.wait_until("in force", async || member.status("GET", &path, "").await != 404).await;
}

async fn status(member: &TestMember, key: &str, method: &str, path: &str) -> u16 {
    let bearer = format!("Bearer {key}");
    let body = if method == "POST" { JOB } else { "" };
    let (head, _) = member.send_with(&[&bearer], method, path, body, 1000).await;
    head.status.as_u16()
}

#[test]
fn a_call_without_a_valid_key_is_refused_at_once_with_its_reason() {
    // A job that no customer has sent would run, at nobody's cost.
    run(async {
        let member = member("keys-refused").await;
        let cases: [(&[&str], &str); 7] = [
            (&[], "the call has no key"),
            (&["Bearer"], "holds no key"),
            (&["Bearer  "], "holds no key"),
            (&["Bearer k1 k2"], "holds no key"),
            (&["Basic k1"], "is not Bearer"),
            (&["Bearer k9"], "no customer has key"),
            (&["Bearer k1", "Bearer k1"], "several keys"),
        ];
        for (headers, reason) in cases {
            for method in ["POST", "GET", "DELETE"] {
                let (head, body) = member.send_with(headers, method, PATH, JOB, 1000).await;
                let text = String::from_utf8_lossy(&body).into_owned();
                assert_eq!(head.status.as_u16(), 401, "{method} with {headers:?}: {text}");
                assert!(text.contains(reason), "{method} with {headers:?}: {text}");
                assert!(!text.contains("k9"), "the answer holds the key: {text}");
                assert_eq!(head.headers["www-authenticate"], "Bearer");
            }
        }
        assert_eq!(member.inbox(), Vec::<String>::new());
    });
}

#[test]
fn the_scheme_is_taken_in_any_case_and_with_any_spacing() {
    // Clients that spell the scheme in another way would be refused though their key is valid.
    run(async {
        let member = member("keys-spelling").await;
        for header in ["Bearer k1", "bearer k1", "BEARER   k1", "  Bearer k1  "] {
            let (head, _) = member.send_with(&[header], "POST", PATH, JOB, 1000).await;
            assert_eq!(head.status.as_u16(), 200, "{header:?}");
        }
    });
}

#[test]
fn a_public_queue_needs_no_key() {
    run(async {
        let member = member("keys-public").await;
        let path = "/public/00000000000000ab";
        assert_eq!(member.status("POST", path, JOB).await, 200);
        assert_eq!(member.status("GET", path, "").await, 200);
        assert_eq!(member.status("DELETE", path, "").await, 200);
    });
}

#[test]
fn a_job_outlives_the_key_that_it_came_with() {
    // A customer that changes its keys could neither see nor cancel its own jobs.
    run(async {
        let member = member("keys-changed").await;
        assert_eq!(status(&member, "k1", "POST", PATH).await, 200);
        configure(&member, 3, r#"{"ann": ["k4"], "bob": ["k3"]}"#).await;
        for method in ["POST", "GET", "DELETE"] {
            assert_eq!(status(&member, "k1", method, PATH).await, 401, "{method}");
        }
        assert_eq!(status(&member, "k4", "GET", PATH).await, 200);
        assert_eq!(status(&member, "k4", "DELETE", PATH).await, 200);
    });
}

#[test]
fn another_customer_cannot_cancel_a_job() {
    // A customer could end the work of another one. The owner removes the row of a cancel once it has
    // stored the job as cancelled, so the row and then the state are looked at.
    run(async {
        let member = member("keys-foreign").await;
        assert_eq!(status(&member, "k1", "POST", PATH).await, 200);
        assert_eq!(status(&member, "k3", "DELETE", PATH).await, 410);
        let cancels = member.inbox().iter().filter(|k| k.contains("/c/")).count();
        assert_eq!(cancels, 0);
        let state = async || member.send_with(&["Bearer k1"], "GET", PATH, "", 1000).await.1;
        assert_ne!(&state().await[..], b"cancelled");
        assert_eq!(status(&member, "k2", "DELETE", PATH).await, 200);
        let cancelled = async || &state().await[..] == b"cancelled";
        member.wait_until("the cancelled state", cancelled).await;
    });
}

#[test]
fn another_customer_cannot_cancel_a_job_before_it_is_stored() {
    // Guards against a cancel that is stored before its job and ends the job of another customer.
    run(async {
        let member = member("keys-early").await;
        assert_eq!(status(&member, "k3", "DELETE", PATH).await, 410);
        assert_eq!(status(&member, "k1", "POST", PATH).await, 200);
        let next = "/a/00000000000000b9";
        assert_eq!(status(&member, "k1", "DELETE", next).await, 410);
        assert_eq!(status(&member, "k1", "POST", next).await, 200);
        let state = async |path| member.send_with(&["Bearer k1"], "GET", path, "", 1000).await.1;
        let cancelled = async || &state(next).await[..] == b"cancelled";
        member.wait_until("the cancelled state of the customer's own job", cancelled).await;
        assert_ne!(&state(PATH).await[..], b"cancelled");
    });
}

#[test]
fn a_second_customers_cancel_leaves_the_first_ones_in_force() {
    // Guards against a request of another customer that replaces the stored cancel of a job whose
    // write is still on its way.
    run(async {
        let member = member("keys-second").await;
        member.store.plan_faults(&[Delayed, Refused]);
        let post = member.send_with(&["Bearer k1"], "POST", PATH, JOB, 3000).await;
        assert_eq!(post.0.status, 504);
        assert_eq!(status(&member, "k1", "DELETE", PATH).await, 410);
        assert_eq!(status(&member, "k3", "DELETE", PATH).await, 410);
        member.store.apply_delayed();
        let state = async || member.send_with(&["Bearer k1"], "GET", PATH, "", 1000).await.1;
        let cancelled = async || &state().await[..] == b"cancelled";
        member.wait_until("the cancelled state", cancelled).await;
    });
}

#[test]
fn a_key_that_was_taken_away_admits_nothing_at_a_member_without_a_store() {
    // The member can't hear that the key was taken away, and would answer by it for good.
    run(async {
        let store = Store::default();
        store.put(FORMS.config_key, r#"[1, ["/a/", "/b/"]]"#);
        store.put("workers/w1", "{}");
        let addr = store.serve();
        let member = TestMember::join("keys-cut", store, addr).await;
        configure(&member, 2, r#"{"ann": ["k1"]}"#).await;
        assert_eq!(status(&member, "k1", "POST", PATH).await, 200);
        member.store.set_fault(addr, Some(AddrFault::Silent));
        member.store.put(FORMS.config_key, r#"[3, ["/a/"], {"ann": []}]"#);
        member.wait_until("stale", async || status(&member, "k1", "GET", PATH).await == 503).await;
        for method in ["POST", "GET", "DELETE"] {
            assert_eq!(status(&member, "k1", method, PATH).await, 503, "{method}");
        }
        // The key may be a new one, so that the caller has to come back.
        assert_eq!(status(&member, "k9", "GET", PATH).await, 503);
        member.store.set_fault(addr, None);
        member
            .wait_until("refused", async || status(&member, "k1", "GET", PATH).await == 401)
            .await;
    });
}

#[test]
fn a_key_is_in_no_record_of_the_store() {
    run(async {
        let member = member("keys-secret").await;
        assert_eq!(status(&member, "k1", "POST", PATH).await, 200);
        for key in member.store.keys("dwr/") {
            let row = member.store.get(&key).expect("a row");
            assert!(!format!("{key} {row:?}").contains("k1"), "{key}: {row:?}");
        }
    });
}
