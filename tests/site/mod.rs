//! Test harness: a member on a thread and a site of its own, an in-memory store and an HTTP client.

#![allow(dead_code)] // each test file uses only some of the items

pub mod forms;
pub mod link;
pub mod store;

use {
    bytes::Bytes,
    dogwoodreach::{
        cli::Exit,
        http::{Client, Message, uri},
        ports::Codec,
        site,
    },
    forms::FORMS,
    http_body_util::Full,
    hyper::{Request, http::response::Parts},
    serde_json::json,
    std::{
        net::{SocketAddr, TcpListener},
        path::PathBuf,
        process,
        sync::atomic::{AtomicU32, Ordering},
        thread::{self, JoinHandle},
        time::{Duration, Instant},
    },
    store::Store,
};

/// Limit for each wait of a test.
const WAIT_LIMIT: Duration = Duration::from_secs(10);

/// A running member.
pub struct TestMember {
    /// The member's store, for reads, writes and fault injection by the test.
    pub store: Store,
    /// Address of the store's server for this member; [`Store::set_fault`] takes it.
    pub store_addr: SocketAddr,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address of the readiness check for the load balancer.
    pub ready: SocketAddr,
    /// Address of the metrics pages.
    pub metrics: SocketAddr,
    /// The thread that runs the member.
    pub thread: JoinHandle<Exit>,
    client: Client,
}

/// Returns a free address to listen on. Its port is below the range for outgoing connections: the
/// system could assign a port of that range between this check and the start of the member.
fn free_addr() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let n = process::id() * 64 + NEXT.fetch_add(1, Ordering::Relaxed);
        let port = u16::try_from(12_000 + n % 20_000).expect("a port");
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener.local_addr().expect("an address");
        }
    }
}

impl TestMember {
    /// Starts a member with a new store that holds a configuration and a worker, and waits until
    /// the member is ready.
    pub async fn new(name: &str) -> TestMember {
        let store = Store::default();
        store.put(FORMS.config_key, r#"[1, ["/a/", "/b/"]]"#);
        store.put("workers/w1", "{}");
        let store_addr = store.serve();
        TestMember::join(name, store, store_addr).await
    }

    /// Starts a member with an existing store and waits until the member is ready.
    pub async fn join(name: &str, store: Store, store_addr: SocketAddr) -> TestMember {
        TestMember::join_with(&FORMS, name, store, store_addr).await
    }

    /// Starts a member with this wire format, as [`TestMember::join`] does.
    pub async fn join_with(
        codec: &'static Codec,
        name: &str,
        store: Store,
        store_addr: SocketAddr,
    ) -> TestMember {
        let (callers, ready, metrics) = (free_addr(), free_addr(), free_addr());
        let settings = json!({
            "callers": callers, "ready": ready, "control": free_addr(), "metrics": metrics,
            "store": store_addr,
        });
        let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.json"));
        std::fs::write(&path, settings.to_string()).expect("written");
        let thread = thread::spawn(move || site::run(codec, &path));
        let member = TestMember {
            store,
            store_addr,
            callers,
            ready,
            metrics,
            thread,
            client: Client::new(4),
        };
        let ready = async || {
            assert!(!member.thread.is_finished(), "the member has ended");
            member.is_ready().await
        };
        member.wait_until("ready", ready).await;
        member.wait_until("owned", async || member.store.get("dwr/t/o/000").is_some()).await;
        // Owners answer with the length of a queue only after they have read their shards.
        member.wait_until("at work", async || member.status("GET", "/a/", "").await == 200).await;
        member
    }

    /// Returns whether the readiness check succeeds.
    pub async fn is_ready(&self) -> bool {
        let request =
            Request::get(uri(self.ready, "/ready")).body(Full::default()).expect("a request");
        let answer = self.client.send(request, WAIT_LIMIT).await;
        answer.is_ok_and(|(head, _)| head.status == 200)
    }

    /// Fetches a page from the metrics address.
    pub async fn page(&self, path: &str) -> Message<Parts> {
        let request =
            Request::get(uri(self.metrics, path)).body(Full::default()).expect("a request");
        self.client.send(request, WAIT_LIMIT).await.expect("an answer")
    }

    /// Polls `condition` until it holds; panics with `what` after [`WAIT_LIMIT`].
    pub async fn wait_until(&self, what: &str, mut condition: impl AsyncFnMut() -> bool) {
        let end = Instant::now() + WAIT_LIMIT;
        while !condition().await {
            assert!(Instant::now() < end, "timed out waiting for: {what}");
            tokio::task::yield_now().await;
        }
    }

    /// Sends a caller's request with a deadline of `wait_ms` milliseconds.
    pub async fn send(&self, method: &str, path: &str, body: &str, wait_ms: u64) -> Message<Parts> {
        self.send_with(&[], method, path, body, wait_ms).await
    }

    /// Sends a caller's request with these values of the header `Authorization`.
    pub async fn send_with(
        &self,
        authorizations: &[&str],
        method: &str,
        path: &str,
        body: &str,
        wait_ms: u64,
    ) -> Message<Parts> {
        let mut request = Request::builder()
            .method(method)
            .uri(uri(self.callers, path))
            .header("host", "host.example")
            .header("x-deadline", wait_ms.to_string());
        for value in authorizations {
            request = request.header("authorization", *value);
        }
        let request =
            request.body(Full::new(Bytes::copy_from_slice(body.as_bytes()))).expect("a request");
        self.client.send(request, WAIT_LIMIT).await.expect("an answer")
    }

    /// Sends a caller's request with a deadline of 1 s and returns the status of the response.
    pub async fn status(&self, method: &str, path: &str, body: &str) -> u16 {
        self.send(method, path, body, 1000).await.0.status.as_u16()
    }

    /// Returns the keys of submitted jobs and cancels that are in the store.
    pub fn inbox(&self) -> Vec<String> {
        self.store.keys("dwr/in/")
    }
}
