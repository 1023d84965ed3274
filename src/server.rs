//! An HTTP server with limits: on each request, and on what all clients together make it hold.

use {
    crate::{
        client_stream::{ClientStream, Drain, drain},
        connections::{Connection, Connections, Reached, SharedLimits},
        error::{Error, Kind},
        http::error_response,
        metrics::Metrics,
    },
    bytes::Bytes,
    http_body_util::{BodyExt, Full},
    hyper::{
        Request, Response,
        body::{Body, Incoming},
        header::{CONNECTION, CONTENT_LENGTH, HeaderValue},
        http::request::Parts,
        rt::{Sleep, Timer},
        server::conn::http1,
        service::service_fn,
    },
    hyper_util::{rt::TokioIo, server::graceful::GracefulShutdown},
    socket2::SockRef,
    std::{
        convert::Infallible,
        future::Future,
        pin::Pin,
        sync::Arc,
        task::{Context, Poll},
        time::{Duration, Instant},
    },
    tokio::{
        io::AsyncWriteExt,
        net::{TcpListener, TcpStream},
        sync::Semaphore,
        time::{sleep, sleep_until, timeout},
    },
};

/// How long a connection stays open after its header time-out, to read what has arrived already.
///
/// The timers of a process that stood still have elapsed before it reads from its sockets. Without
/// this time it would close connections on which complete requests lie, and their callers would not
/// know whether they ran.
const READ_GRACE: Duration = Duration::from_millis(100);
/// How long a connection that must close may take to send its refusal, besides the draining.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(1);
/// How long to wait after the system has refused a connection, as it is out of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// How long a client of a page may take for its request, and to read its answer.
const PAGE_TIMEOUT: Duration = Duration::from_secs(5);
/// The smallest limit on a head that the library takes, in bytes.
pub const MIN_HEAD: usize = 8 * 1024;
const CLOSE: HeaderValue = HeaderValue::from_static("close");

/// Limits of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// The largest body, in bytes.
    pub body: usize,
    /// The largest head, in bytes; at least [`MIN_HEAD`].
    pub head: usize,
    /// How long a sender may take for its headers, and separately for its body, and a receiver for
    /// its answer.
    pub read_timeout: Duration,
    /// The size of a connection's receive buffer in the system, in bytes; the system decides if there
    /// is none.
    pub receive_buffer: Option<usize>,
    /// The same of its send buffer.
    pub send_buffer: Option<usize>,
    /// How much is read after a refusal.
    pub drain: Drain,
    /// The limits of all clients together.
    pub shared: SharedLimits,
}

impl Limits {
    /// Limits of each request, for servers that only known processes reach: up to `connections`
    /// requests of any legal size.
    pub const fn new(body: usize, connections: usize, read_timeout: Duration) -> Self {
        Limits {
            body,
            head: 64 * 1024,
            read_timeout,
            receive_buffer: None,
            send_buffer: None,
            drain: Drain { bytes: 1 << 20, time: Duration::from_secs(1) },
            shared: SharedLimits { connections, closing: connections, held: usize::MAX },
        }
    }
}

/// The limits of a server of pages, whose requests have no body.
pub(crate) fn page_limits(connections: usize) -> Limits {
    Limits {
        receive_buffer: Some(MIN_HEAD),
        head: MIN_HEAD,
        shared: SharedLimits::new(connections, connections * MIN_HEAD),
        ..Limits::new(0, connections, PAGE_TIMEOUT)
    }
}

/// Serves requests with `handle` until `stop` completes, then lets open requests finish.
pub async fn serve<F, A>(
    listener: TcpListener,
    limits: Limits,
    stop: impl Future<Output = ()> + Send,
    handle: F,
) where
    F: Fn(Parts, Result<Bytes, Error>) -> A + Clone + Send + 'static,
    A: Future<Output = Response<Full<Bytes>>> + Send + 'static,
{
    let admit = move |_: &Parts| Ok(limits.body);
    Server { listener, name: "", limits, metrics: None }.run(stop, admit, handle).await
}

/// A server of one listener.
pub(crate) struct Server {
    pub listener: TcpListener,
    /// The listener's name in metrics and log lines.
    pub name: &'static str,
    pub limits: Limits,
    pub metrics: Option<Arc<Metrics>>,
}

impl Server {
    /// Serves as [`serve`] does.
    ///
    /// `admit` decides by a request's head how large its body may be, or refuses it before its body
    /// is read.
    pub async fn run<C, F, A>(self, stop: impl Future<Output = ()> + Send, admit: C, handle: F)
    where
        C: Fn(&Parts) -> Result<usize, Error> + Clone + Send + 'static,
        F: Fn(Parts, Result<Bytes, Error>) -> A + Clone + Send + 'static,
        A: Future<Output = Response<Full<Bytes>>> + Send + 'static,
    {
        let Server { listener, name, limits, metrics } = self;
        limit_buffers(&listener, &limits);
        let connections = Connections::new(name, &limits.shared, metrics.as_deref());
        let graceful = GracefulShutdown::new();
        let refusals = Arc::new(Semaphore::new(limits.shared.closing));
        tokio::pin!(stop);
        loop {
            let stream = tokio::select! {
                () = &mut stop => break,
                accepted = listener.accept() => match accepted {
                    Ok((stream, _)) => stream,
                    Err(_) => {
                        // Retrying `accept` at once would spin.
                        sleep(ACCEPT_PAUSE).await;
                        continue;
                    }
                },
            };
            let _ = stream.set_nodelay(true);
            let connection = match connections.open() {
                Ok(connection) => Arc::new(connection),
                Err(e) => {
                    refuse_connection(stream, &e, &connections, &refusals, limits.drain);
                    continue;
                }
            };
            let (admit, handle, served) = (admit.clone(), handle.clone(), connection.clone());
            let service = service_fn(move |request| {
                handle_request(request, limits, served.clone(), admit.clone(), handle.clone())
            });
            let io =
                ClientStream::new(stream, connection.clone(), limits.drain, limits.read_timeout);
            let http = http1::Builder::new()
                .timer(HeaderTimer)
                .header_read_timeout(limits.read_timeout)
                .max_buf_size(limits.head.max(MIN_HEAD))
                .serve_connection(TokioIo::new(io), service);
            tokio::spawn(run_connection(graceful.watch(http), connection, limits.drain));
        }
        drop(listener);
        graceful.shutdown().await;
    }
}

/// Runs a connection until it ends or has to make room; then it may still send its refusal.
async fn run_connection(http: impl Future, connection: Arc<Connection>, limits: Drain) {
    let closing = async {
        connection.wait_closing().await;
        if connection.is_in_request() {
            sleep(REFUSAL_TIMEOUT + limits.time).await;
        }
    };
    tokio::select! {
        _ = http => {}
        () = closing => {}
    }
}

/// Bounds what the system keeps for each connection of a listener.
fn limit_buffers(listener: &TcpListener, limits: &Limits) {
    let socket = SockRef::from(listener);
    let received = limits.receive_buffer.map_or(Ok(()), |n| socket.set_recv_buffer_size(n));
    let sent = limits.send_buffer.map_or(Ok(()), |n| socket.set_send_buffer_size(n));
    if let Err(e) = received.and(sent) {
        log::warn!(target: "clients", "The buffers of connections can't be bounded: {e}.");
    }
}

async fn handle_request<C, F, A>(
    request: Request<Incoming>,
    limits: Limits,
    connection: Arc<Connection>,
    admit: C,
    handle: F,
) -> Result<Response<Full<Bytes>>, Infallible>
where
    C: Fn(&Parts) -> Result<usize, Error>,
    F: Fn(Parts, Result<Bytes, Error>) -> A,
    A: Future<Output = Response<Full<Bytes>>>,
{
    connection.start_body();
    let (mut head, body) = request.into_parts();
    let body = match admit(&head) {
        Ok(max) => read(body, max.min(limits.body), limits.read_timeout, &connection).await,
        Err(refusal) => Err(refusal),
    };
    let body = body.and_then(|body| connection.start_serving().map(|()| body));
    let failed = body.is_err();
    head.extensions.insert(connection.clone());
    let mut response = handle(head, body).await;
    if failed {
        // The rest of the body is unread, so the connection can't carry another request.
        response.headers_mut().insert(CONNECTION, CLOSE);
    }
    connection.finish();
    Ok(response)
}

/// Adds bytes to what a request holds until it is answered.
///
/// # Errors
///
/// [`Kind::Memory`] if there is no room for them.
pub(crate) fn hold(head: &Parts, bytes: usize) -> Result<(), Error> {
    head.extensions.get::<Arc<Connection>>().map_or(Ok(()), |c| c.hold(bytes))
}

/// Reads a complete body of up to `max` bytes.
///
/// The bytes are copied: a frame is a part of the connection's buffer, and one of a single byte would
/// keep all of it.
async fn read(
    mut body: Incoming,
    max: usize,
    limit: Duration,
    connection: &Connection,
) -> Result<Bytes, Error> {
    let announced = body.size_hint();
    if announced.lower() > max as u64 {
        return Err(Kind::TooLarge.into());
    }
    let most = announced.upper().map_or(max, |n| usize::try_from(n).unwrap_or(max));
    let mut whole = Vec::new();
    let fill = async {
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.map_err(|_| Kind::BadRequest)?.into_data() else { continue };
            let size = whole.len() + data.len();
            if size > max {
                return Err(Kind::TooLarge.into());
            }
            if size > whole.capacity() {
                let capacity = (2 * whole.capacity()).min(most).max(size);
                connection.hold(capacity - whole.capacity())?;
                whole.reserve_exact(capacity - whole.len());
            }
            whole.extend_from_slice(&data);
        }
        Ok::<_, Error>(())
    };
    tokio::select! {
        filled = timeout(limit, fill) => filled.map_err(|_| Kind::SlowSender)??,
        () = connection.wait_closing() => connection.check()?,
    }
    Ok(whole.into())
}

/// Refuses a connection over the limit with a response; a silent close would look like a network
/// fault. If too many are being refused already, it is closed at once: they take descriptors, too.
fn refuse_connection(
    mut stream: TcpStream,
    error: &Error,
    connections: &Connections,
    refusals: &Arc<Semaphore>,
    limits: Drain,
) {
    let Ok(permit) = refusals.clone().try_acquire_owned() else {
        return connections.count(Reached::Dropped);
    };
    connections.count(Reached::Refused);
    let response = encode(error);
    tokio::spawn(async move {
        let sent = async {
            stream.write_all(response.as_bytes()).await?;
            stream.shutdown().await
        };
        if let Ok(Ok(())) = timeout(REFUSAL_TIMEOUT, sent).await {
            drain(&mut stream, limits).await;
        }
        drop(permit);
    });
}

/// The bytes of the response for an error, after which the connection is closed.
fn encode(error: &Error) -> String {
    let response = error_response(error);
    let text = format!("{error}\n");
    let mut lines = format!("HTTP/1.1 {}\r\n", response.status());
    for (name, value) in response.headers() {
        lines += &format!("{name}: {}\r\n", value.to_str().unwrap_or_default());
    }
    lines + &format!("{CONNECTION}: close\r\n{CONTENT_LENGTH}: {}\r\n\r\n{text}", text.len())
}

/// The timer of header time-outs, which end [`READ_GRACE`] after the process has seen them elapse.
#[derive(Clone, Copy)]
struct HeaderTimer;

struct HeaderSleep(Pin<Box<dyn Future<Output = ()> + Send + Sync>>);

impl Timer for HeaderTimer {
    fn sleep(&self, duration: Duration) -> Pin<Box<dyn Sleep>> {
        self.sleep_until(Instant::now() + duration)
    }

    fn sleep_until(&self, deadline: Instant) -> Pin<Box<dyn Sleep>> {
        Box::pin(HeaderSleep(Box::pin(async move {
            sleep_until(deadline.into()).await;
            sleep(READ_GRACE).await;
        })))
    }
}

impl Sleep for HeaderSleep {}

impl Future for HeaderSleep {
    type Output = ();

    fn poll(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<()> {
        self.0.as_mut().poll(context)
    }
}
