//! A slow network link: a TCP proxy whose connections share one rate limit towards the client.

use {
    std::{
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        thread,
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt, copy},
        net::{TcpListener, TcpStream, tcp::OwnedReadHalf, tcp::OwnedWriteHalf},
        sync::Mutex,
        time::{Instant, sleep_until},
    },
};

/// Number of bytes forwarded at a time.
const CHUNK_BYTES: usize = 8 * 1024;

/// Time at which the link has sent all bytes accepted so far.
type FreeAt = Arc<Mutex<Instant>>;

/// A running proxy.
pub struct Link {
    /// Address that clients connect to.
    pub addr: SocketAddr,
    /// Number of bytes sent to clients so far.
    pub bytes_sent: Arc<AtomicUsize>,
}

/// Starts a proxy to `target` on a thread of its own, limited to `bytes_per_s` towards the client.
pub fn serve(target: SocketAddr, bytes_per_s: u32) -> Link {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.set_nonblocking(true).expect("set");
    let addr = listener.local_addr().expect("an address");
    let bytes_sent = Arc::new(AtomicUsize::new(0));
    let count = bytes_sent.clone();
    thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        runtime.expect("a runtime").block_on(async move {
            let listener = TcpListener::from_std(listener).expect("a listener");
            let free_at: FreeAt = Arc::new(Mutex::new(Instant::now()));
            loop {
                let (client, _) = listener.accept().await.expect("a connection");
                let (free_at, count) = (free_at.clone(), count.clone());
                tokio::spawn(async move {
                    let Ok(server) = TcpStream::connect(target).await else { return };
                    let (from_client, to_client) = client.into_split();
                    let (from_server, to_server) = server.into_split();
                    // Either side may close the connection at any time.
                    tokio::select! {
                        _ = forward(from_client, to_server) => {}
                        () = throttle(from_server, to_client, &free_at, bytes_per_s, &count) => {}
                    }
                });
            }
        });
    });
    Link { addr, bytes_sent }
}

async fn forward(mut from: OwnedReadHalf, mut to: OwnedWriteHalf) -> std::io::Result<u64> {
    copy(&mut from, &mut to).await
}

async fn throttle(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    free_at: &FreeAt,
    bytes_per_s: u32,
    bytes_sent: &AtomicUsize,
) {
    let mut chunk = vec![0; CHUNK_BYTES];
    while let Ok(n) = from.read(&mut chunk).await
        && n > 0
    {
        let at = {
            let mut free_at = free_at.lock().await;
            let duration = Duration::from_secs(n as u64) / bytes_per_s;
            *free_at = (*free_at).max(Instant::now()) + duration;
            *free_at
        };
        sleep_until(at).await;
        bytes_sent.fetch_add(n, Ordering::Relaxed);
        if to.write_all(&chunk[..n]).await.is_err() {
            return;
        }
    }
}
