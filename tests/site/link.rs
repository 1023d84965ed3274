//! A narrow link: all connections through it share its rate towards who connects.

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

/// The bytes that are sent at once.
const PART: usize = 8 * 1024;

/// When the link is free again.
type Free = Arc<Mutex<Instant>>;

/// A link.
pub struct Link {
    /// Where it begins.
    pub addr: SocketAddr,
    /// How many bytes it has carried.
    pub carried: Arc<AtomicUsize>,
}

/// Serves a link to an address on a thread of its own, of so many bytes a second.
pub fn serve(to: SocketAddr, rate: u32) -> Link {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port");
    listener.set_nonblocking(true).expect("set");
    let addr = listener.local_addr().expect("an address");
    let carried = Arc::new(AtomicUsize::new(0));
    let count = carried.clone();
    thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
        runtime.expect("a runtime").block_on(async move {
            let listener = TcpListener::from_std(listener).expect("a listener");
            let free: Free = Arc::new(Mutex::new(Instant::now()));
            loop {
                let (near, _) = listener.accept().await.expect("a connection");
                let (free, count) = (free.clone(), count.clone());
                tokio::spawn(async move {
                    let Ok(far) = TcpStream::connect(to).await else { return };
                    let (from_near, to_near) = near.into_split();
                    let (from_far, to_far) = far.into_split();
                    // Either end may close at any time.
                    tokio::select! {
                        _ = pass(from_near, to_far) => {}
                        () = narrow(from_far, to_near, &free, rate, &count) => {}
                    }
                });
            }
        });
    });
    Link { addr, carried }
}

async fn pass(mut from: OwnedReadHalf, mut to: OwnedWriteHalf) -> std::io::Result<u64> {
    copy(&mut from, &mut to).await
}

async fn narrow(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    free: &Free,
    rate: u32,
    carried: &AtomicUsize,
) {
    let mut part = vec![0; PART];
    while let Ok(n) = from.read(&mut part).await
        && n > 0
    {
        let at = {
            let mut free = free.lock().await;
            let takes = Duration::from_secs(n as u64) / rate;
            *free = (*free).max(Instant::now()) + takes;
            *free
        };
        sleep_until(at).await;
        carried.fetch_add(n, Ordering::Relaxed);
        if to.write_all(&part[..n]).await.is_err() {
            return;
        }
    }
}
