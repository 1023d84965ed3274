//! A member on a site of its own: a store in memory, and a caller.

#![allow(dead_code)] // each test file uses a part

pub mod forms;
pub mod link;
pub mod store;

use {
    bytes::Bytes,
    dogwoodreach::{
        cli::Exit,
        http::{Client, Whole, uri},
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

/// How long anything may take that is waited for.
const LONG: Duration = Duration::from_secs(10);

/// A member that runs.
pub struct Cell {
    /// The store.
    pub store: Store,
    /// Where it is.
    pub addr: SocketAddr,
    /// Where callers come in.
    pub callers: SocketAddr,
    /// Where the balancer asks.
    pub ready: SocketAddr,
    /// Where it shows metrics.
    pub metrics: SocketAddr,
    /// The member's thread.
    pub member: JoinHandle<Exit>,
    client: Client,
}

/// An address to listen on, below the ports that the system gives to outgoing connections: one of
/// these may be given away between the look and the member's own start.
fn free() -> SocketAddr {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    loop {
        let n = process::id() * 64 + NEXT.fetch_add(1, Ordering::Relaxed);
        let port = u16::try_from(12_000 + n % 20_000).expect("a port");
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener.local_addr().expect("an address");
        }
    }
}

impl Cell {
    /// A member with a store that has a configuration and a worker, once it is ready.
    pub async fn new(name: &str) -> Cell {
        let store = Store::default();
        store.put(FORMS.config, r#"[1, ["/a/", "/b/"]]"#);
        store.put("workers/w1", "{}");
        let addr = store.serve();
        Cell::join(name, store, addr).await
    }

    /// A member with a store that there is already, once it is ready.
    pub async fn join(name: &str, store: Store, addr: SocketAddr) -> Cell {
        let (callers, ready, metrics) = (free(), free(), free());
        let settings = json!({
            "callers": callers, "ready": ready, "control": free(), "metrics": metrics,
            "store": addr,
        });
        let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}.json"));
        std::fs::write(&path, settings.to_string()).expect("written");
        let member = thread::spawn(move || site::run(&FORMS, &path));
        let cell = Cell { store, addr, callers, ready, metrics, member, client: Client::new(4) };
        let ready = async || {
            assert!(!cell.member.is_finished(), "the member has ended");
            cell.is_ready().await
        };
        cell.until("ready", ready).await;
        cell.until("owned", async || cell.store.get("dwr/t/o/000").is_some()).await;
        // The length of a queue comes from owners that have read their shards.
        cell.until("at work", async || cell.status("GET", "/a/", "").await == 200).await;
        cell
    }

    /// Whether the member says that it is ready.
    pub async fn is_ready(&self) -> bool {
        let ask = Request::get(uri(self.ready, "/ready")).body(Full::default()).expect("a request");
        let answer = self.client.send(ask, LONG).await;
        answer.is_ok_and(|(head, _)| head.status == 200)
    }

    /// A page of the member's metrics.
    pub async fn page(&self, path: &str) -> Whole<Parts> {
        let ask = Request::get(uri(self.metrics, path)).body(Full::default()).expect("a request");
        self.client.send(ask, LONG).await.expect("an answer")
    }

    /// Waits for something.
    pub async fn until(&self, what: &str, mut is: impl AsyncFnMut() -> bool) {
        let end = Instant::now() + LONG;
        while !is().await {
            assert!(Instant::now() < end, "{what} never came");
            tokio::task::yield_now().await;
        }
    }

    /// Sends a caller's request; it waits so many milliseconds for its answer.
    pub async fn send(&self, method: &str, path: &str, body: &str, wait: u64) -> Whole<Parts> {
        let ask = Request::builder()
            .method(method)
            .uri(uri(self.callers, path))
            .header("host", "host.example")
            .header("x-deadline", wait.to_string())
            .body(Full::new(Bytes::copy_from_slice(body.as_bytes())))
            .expect("a request");
        self.client.send(ask, LONG).await.expect("an answer")
    }

    /// The status of the answer to a caller's request.
    pub async fn status(&self, method: &str, path: &str, body: &str) -> u16 {
        self.send(method, path, body, 1000).await.0.status.as_u16()
    }

    /// The keys of jobs and cancels.
    pub fn inbox(&self) -> Vec<String> {
        self.store.keys("dwr/in/")
    }
}
