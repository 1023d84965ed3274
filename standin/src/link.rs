//! A TCP forwarder that stands for the network between two endpoints, with faults that a test sets.

use {
    crate::web::Reply,
    dogwoodreach::http::answer,
    serde::Deserialize,
    std::{
        io,
        net::SocketAddr,
        sync::{
            Arc,
            atomic::{AtomicBool, Ordering},
        },
        time::Duration,
    },
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt, copy},
        net::{
            TcpListener, TcpStream,
            tcp::{OwnedReadHalf, OwnedWriteHalf},
        },
        sync::watch,
    },
};

/// How a link treats connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum Mode {
    /// All data is forwarded.
    Open,
    /// Present connections stay open but forward no more data; new connections work.
    Silent,
    /// Present connections are closed and new ones refused until the link is open again.
    Cut,
    /// Each answer is truncated in the middle and its connection closed.
    Truncate,
}

/// A request to change the mode.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Fault {
    mode: Mode,
}

#[derive(Clone, Copy, Default, PartialEq, Eq)]
struct State {
    cut: bool,
    /// Number of times that the present connections were silenced.
    silenced: u64,
}

/// A link to one address.
#[derive(Clone)]
pub struct Link {
    to: SocketAddr,
    state: Arc<watch::Sender<State>>,
    truncate: Arc<AtomicBool>,
}

impl Link {
    /// Creates an open link that doesn't listen yet.
    pub fn new(to: SocketAddr) -> Self {
        Link { to, state: Arc::new(watch::Sender::default()), truncate: Arc::default() }
    }

    /// Listens on a free port and forwards its connections until the process ends. Returns the
    /// address.
    pub async fn listen(&self) -> io::Result<SocketAddr> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let addr = listener.local_addr()?;
        tokio::spawn(self.clone().run(listener, addr));
        Ok(addr)
    }

    /// Sets the mode that a request body names.
    pub fn fault(&self, body: &[u8]) -> Reply {
        match serde_json::from_slice::<Fault>(body) {
            Ok(fault) => {
                self.set(fault.mode);
                answer(200, "{}")
            }
            Err(e) => answer(400, e.to_string()),
        }
    }

    /// Sets the mode.
    pub fn set(&self, mode: Mode) {
        self.truncate.store(mode == Mode::Truncate, Ordering::Relaxed);
        self.state.send_modify(|s| {
            s.cut = mode == Mode::Cut;
            s.silenced += u64::from(mode == Mode::Silent);
        });
    }

    async fn run(self, mut listener: TcpListener, addr: SocketAddr) {
        let mut state = self.state.subscribe();
        loop {
            tokio::select! {
                _ = state.wait_for(|s| s.cut) => {}
                accepted = listener.accept() => {
                    if let Ok((client, _)) = accepted {
                        tokio::spawn(self.clone().forward(client));
                    }
                    continue;
                }
            }
            drop(listener);
            let _ = state.wait_for(|s| !s.cut).await;
            listener = loop {
                match TcpListener::bind(addr).await {
                    Ok(listener) => break listener,
                    Err(_) => tokio::time::sleep(Duration::from_millis(20)).await,
                }
            };
        }
    }

    async fn forward(self, client: TcpStream) {
        let mut state = self.state.subscribe();
        let silenced = state.borrow().silenced;
        let Ok(server) = TcpStream::connect(self.to).await else { return };
        let _ = (client.set_nodelay(true), server.set_nodelay(true));
        let (mut from_client, mut to_client) = client.into_split();
        let (mut from_server, mut to_server) = server.into_split();
        tokio::select! {
            _ = copy(&mut from_client, &mut to_server) => return,
            _ = self.forward_answers(&mut from_server, &mut to_client) => return,
            _ = state.wait_for(|s| s.cut || s.silenced != silenced) => {}
        }
        // The four halves stay alive here, so the connection is open but forwards no data.
        let _ = state.wait_for(|s| s.cut).await;
    }

    async fn forward_answers(
        &self,
        from: &mut OwnedReadHalf,
        to: &mut OwnedWriteHalf,
    ) -> io::Result<()> {
        let mut buffer = vec![0; 64 << 10];
        loop {
            let n = from.read(&mut buffer).await?;
            if n == 0 {
                return Ok(());
            }
            if self.truncate.load(Ordering::Relaxed) {
                return to.write_all(&buffer[..middle(&buffer[..n])]).await;
            }
            to.write_all(&buffer[..n]).await?;
        }
    }
}

/// Returns the offset at which to truncate an answer: the middle of its body, if it has one.
fn middle(answer: &[u8]) -> usize {
    let head = answer.windows(4).position(|w| w == b"\r\n\r\n").map_or(0, |at| at + 4);
    let head = if head == answer.len() { 0 } else { head };
    head + (answer.len() - head) / 2
}
