//! Clients that misbehave, and what a process holds while they do.
//!
//! Each client opens one connection and writes raw HTTP. It ends when its crowd is dropped.

use {
    bytes::Bytes,
    derive_more::{Display, FromStr},
    platform_standin::jobs,
    std::{collections::BTreeSet, fs, io, net::SocketAddr, time::Duration},
    tokio::{
        io::{AsyncReadExt, AsyncWriteExt},
        net::TcpStream,
        task::JoinSet,
        time::sleep,
    },
};

/// The largest legal body, in bytes.
pub const BODY: usize = 262_144;
/// How many bytes short of its end a body stops.
const SHORT: usize = 10;
/// The most that a client sends of a body over the limit, in bytes.
const MAX_SENT: usize = 8 << 20;
/// How long a client of [`Kind::Repeats`] holds each connection.
const REPEAT_HOLD: Duration = Duration::from_secs(2);
const PIECE: usize = 2_048;

/// What a client sends.
#[derive(Clone, Copy, Debug, Display, FromStr, PartialEq, Eq)]
pub enum Kind {
    /// A body of legal size that stops just short of its end.
    Whole,
    /// The same in pieces of 2 KB.
    Pieces,
    /// The same, three times over, each on a connection of its own.
    Repeats,
    /// The same with `Expect: 100-continue`.
    Expect,
    /// A body in chunks of 64 KB that stops just short of its end.
    Chunks,
    /// A body in chunks of one byte, many to a packet, that stops just short of its end.
    Tiny,
    /// 2,000 chunks of one byte, a packet each.
    Drip,
    /// A body of 1 GiB is announced, and sent until the connection is closed.
    Announced,
    /// Chunks of 1 MB, sent until the connection is closed.
    Endless,
    /// A head of 55 KB that doesn't end.
    Heads,
    /// Nothing.
    Idle,
    /// Half a request line.
    HalfLine,
    /// Thousands of requests in a row, whose answers are not read.
    Pipelined,
    /// A whole body of legal size: a small job and blanks.
    Blanks,
    /// A whole job of more steps than are allowed.
    Steps,
    /// A whole job of 15,000 steps.
    LongJobs,
    /// A whole job of 3,000 steps, which is accepted.
    StoredJobs,
    /// All of these.
    Mixed,
}

impl Kind {
    /// The kinds that [`Kind::Mixed`] consists of.
    pub const PURE: [Kind; 16] = [
        Kind::Whole,
        Kind::Pieces,
        Kind::Repeats,
        Kind::Expect,
        Kind::Chunks,
        Kind::Tiny,
        Kind::Drip,
        Kind::Announced,
        Kind::Endless,
        Kind::Heads,
        Kind::Idle,
        Kind::HalfLine,
        Kind::Pipelined,
        Kind::Blanks,
        Kind::Steps,
        Kind::LongJobs,
    ];

    /// The job that a client of this kind sends whole; empty if it sends none.
    fn job(self) -> Bytes {
        match self {
            Kind::Blanks => {
                let mut body = jobs::minimal(1).to_vec();
                body.resize(BODY, b' ');
                body.into()
            }
            Kind::Steps => jobs::minimal(21_000),
            Kind::LongJobs => jobs::minimal(15_000),
            Kind::StoredJobs => jobs::minimal(3_000),
            _ => Bytes::new(),
        }
    }
}

/// The clients of a crowd; dropping it closes their connections.
pub struct Crowd {
    _clients: JoinSet<()>,
}

impl Crowd {
    /// Starts `count` clients of a kind, which keep their connections open for `hold`.
    pub fn start(kind: Kind, to: SocketAddr, count: usize, hold: Duration) -> Crowd {
        let mut clients = JoinSet::new();
        let jobs = match kind {
            Kind::Mixed => Kind::PURE.map(|kind| (kind, kind.job())).to_vec(),
            _ => vec![(kind, kind.job())],
        };
        for no in 0..count {
            let (kind, job) = jobs[no % jobs.len()].clone();
            clients.spawn(async move {
                // The server may refuse or close the connection at any point.
                let _ = play(kind, job, to, no, hold).await;
            });
        }
        Crowd { _clients: clients }
    }
}

async fn play(kind: Kind, job: Bytes, to: SocketAddr, no: usize, hold: Duration) -> io::Result<()> {
    if kind == Kind::Repeats {
        for _ in 0..3 {
            let _ = send(Kind::Whole, job.clone(), to, no, REPEAT_HOLD).await;
        }
        return Ok(());
    }
    send(kind, job, to, no, hold).await
}

async fn send(kind: Kind, job: Bytes, to: SocketAddr, no: usize, hold: Duration) -> io::Result<()> {
    let mut stream = TcpStream::connect(to).await?;
    stream.set_nodelay(true)?;
    let post = |length: &str| {
        let id = 0xc0de_0000_0000_0000 + no as u64;
        format!("POST /plain/{id:016x} HTTP/1.1\r\nHost: h\r\n{length}\r\n\r\n")
    };
    let length = |n: usize| format!("Content-Length: {n}");
    let chunked = "Transfer-Encoding: chunked";
    let short = vec![b' '; BODY - SHORT];
    match kind {
        Kind::Whole => {
            stream.write_all(post(&length(BODY)).as_bytes()).await?;
            stream.write_all(&short).await?;
        }
        Kind::Pieces => {
            stream.write_all(post(&length(BODY)).as_bytes()).await?;
            for piece in short.chunks(PIECE) {
                stream.write_all(piece).await?;
            }
        }
        Kind::Expect => {
            let head = length(BODY) + "\r\nExpect: 100-continue";
            stream.write_all(post(&head).as_bytes()).await?;
            // The answer is `100 Continue`, or a refusal.
            if stream.read(&mut [0; 64]).await? > 0 {
                stream.write_all(&short).await?;
            }
        }
        Kind::Chunks => {
            stream.write_all(post(chunked).as_bytes()).await?;
            for part in short.chunks(64 * 1024) {
                stream.write_all(format!("{:x}\r\n", part.len()).as_bytes()).await?;
                stream.write_all(part).await?;
                stream.write_all(b"\r\n").await?;
            }
        }
        Kind::Tiny => {
            stream.write_all(post(chunked).as_bytes()).await?;
            stream.write_all(&b"1\r\n \r\n".repeat(BODY - SHORT)).await?;
        }
        Kind::Drip => {
            stream.write_all(post(chunked).as_bytes()).await?;
            for _ in 0..2_000 {
                stream.write_all(b"1\r\n \r\n").await?;
            }
        }
        Kind::Announced => {
            stream.write_all(post(&length(1 << 30)).as_bytes()).await?;
            for _ in 0..MAX_SENT / short.len() {
                stream.write_all(&short).await?;
            }
        }
        Kind::Endless => {
            stream.write_all(post(chunked).as_bytes()).await?;
            let part = vec![b' '; 1 << 20];
            for _ in 0..MAX_SENT / part.len() {
                stream.write_all(format!("{:x}\r\n", part.len()).as_bytes()).await?;
                stream.write_all(&part).await?;
                stream.write_all(b"\r\n").await?;
            }
        }
        Kind::Heads => {
            let long = format!("X-Long: {}", "x".repeat(55_000));
            stream.write_all(post(&long).trim_end().as_bytes()).await?;
        }
        Kind::Idle => {}
        Kind::HalfLine => stream.write_all(b"POST /pla").await?,
        Kind::Pipelined => {
            let line = "GET /plain/ HTTP/1.1\r\nHost: h\r\n\r\n";
            stream.write_all(line.repeat(6_000).as_bytes()).await?;
            sleep(hold).await;
            return Ok(());
        }
        Kind::Blanks | Kind::Steps | Kind::LongJobs | Kind::StoredJobs => {
            stream.write_all(post(&length(job.len())).as_bytes()).await?;
            stream.write_all(&job).await?;
        }
        Kind::Repeats | Kind::Mixed => {}
    }
    let mut answer = [0; 1_024];
    let read = async {
        while stream.read(&mut answer).await.is_ok_and(|n| n > 0) {}
        // An answer that is read to its end doesn't end the client: it stays.
        sleep(hold).await;
    };
    tokio::select! {
        () = read => {}
        () = sleep(hold) => {}
    }
    Ok(())
}

/// What a process holds.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Held {
    /// Resident memory, in bytes.
    pub resident: u64,
    /// The most resident memory so far, in bytes.
    pub peak: u64,
    /// Bytes that were received at its addresses and are not yet read.
    pub unread: u64,
    /// Open descriptors.
    pub descriptors: u64,
}

impl Held {
    /// Reads what a process holds that listens at these addresses; `None` if it is gone.
    pub fn read(id: u32, addrs: &BTreeSet<SocketAddr>) -> Option<Held> {
        let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let field = |name: &str| {
            let line = status.lines().find_map(|l| l.strip_prefix(name))?;
            line.split_whitespace().next()?.parse::<u64>().ok()
        };
        let descriptors = fs::read_dir(format!("/proc/{id}/fd")).ok()?.count() as u64;
        let sockets = fs::read_to_string("/proc/net/tcp").ok()?;
        Some(Held {
            resident: field("VmRSS:")? * 1024,
            peak: field("VmHWM:")? * 1024,
            unread: sockets.lines().filter_map(|l| unread(l, addrs)).sum(),
            descriptors,
        })
    }
}

/// The bytes that lie unread at a socket, by its line of `/proc/net/tcp`; `None` if it doesn't have
/// one of these addresses or only listens.
fn unread(line: &str, addrs: &BTreeSet<SocketAddr>) -> Option<u64> {
    const LISTENS: &str = "0A";
    let words: Vec<&str> = line.split_whitespace().collect();
    let (local, state, queues) = (words.get(1)?, words.get(3)?, words.get(4)?);
    let (ip, port) = local.split_once(':')?;
    let ip = u32::from_str_radix(ip, 16).ok()?.to_ne_bytes();
    let addr = SocketAddr::from((ip, u16::from_str_radix(port, 16).ok()?));
    if *state == LISTENS || !addrs.contains(&addr) {
        return None;
    }
    u64::from_str_radix(queues.split_once(':')?.1, 16).ok()
}
