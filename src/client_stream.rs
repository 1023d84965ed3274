//! The byte stream of a client's connection: counts what it sends, bounds how long it may leave an
//! answer unread, and reads on for a while after a refusal.

use {
    crate::connections::Connection,
    std::{
        future::{Future, poll_fn},
        io,
        pin::Pin,
        sync::Arc,
        task::{Context, Poll, Waker, ready},
        time::Duration,
    },
    tokio::{
        io::{AsyncRead, AsyncWrite, ReadBuf},
        net::TcpStream,
        time::{Sleep, sleep},
    },
};

/// Size of the buffer for bytes that are dropped.
const DROP_BUFFER: usize = 4 * 1024;

/// How much of a refused request is read and dropped before its connection is closed.
///
/// Closing a connection on which bytes lie unread resets it, and a client that still sends would
/// lose the refusal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Drain {
    /// The most bytes.
    pub bytes: usize,
    /// The longest time.
    pub time: Duration,
}

/// A client's connection.
pub(crate) struct ClientStream {
    stream: TcpStream,
    connection: Arc<Connection>,
    drain: Drain,
    write_timeout: Duration,
    /// The time-out of a write that the client's full receive buffer blocks.
    blocked: Option<Pin<Box<Sleep>>>,
    /// The reader that waits until the write is done.
    reader: Option<Waker>,
    /// What is read after the end of the answers.
    draining: Option<Draining>,
}

impl ClientStream {
    pub fn new(
        stream: TcpStream,
        connection: Arc<Connection>,
        drain: Drain,
        write_timeout: Duration,
    ) -> Self {
        let (blocked, reader, draining) = Default::default();
        ClientStream { stream, connection, drain, write_timeout, blocked, reader, draining }
    }

    /// Records the result of a write, and returns an error if the client has not read for too long.
    fn note_write(
        &mut self,
        cx: &mut Context<'_>,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        if written.is_ready() {
            self.blocked = None;
            if let Some(reader) = self.reader.take() {
                reader.wake();
            }
            return written;
        }
        let limit = self.write_timeout;
        let blocked = self.blocked.get_or_insert_with(|| Box::pin(sleep(limit)));
        ready!(blocked.as_mut().poll(cx));
        self.connection.count_unread();
        Poll::Ready(Err(io::ErrorKind::TimedOut.into()))
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.blocked.is_some() {
            // A client that doesn't read its answers gets no further ones.
            self.reader = Some(cx.waker().clone());
            return Poll::Pending;
        }
        let before = buffer.filled().len();
        let read = ready!(Pin::new(&mut self.stream).poll_read(cx, buffer));
        let count = buffer.filled().len() - before;
        if count > 0 {
            self.connection.received(count);
        }
        Poll::Ready(read)
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.note_write(cx, written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bytes);
        self.note_write(cx, written)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = &mut *self;
        if this.draining.is_none() {
            ready!(Pin::new(&mut this.stream).poll_shutdown(cx))?;
        }
        if this.connection.is_unfinished() {
            let draining = this.draining.get_or_insert_with(|| Draining::new(this.drain));
            ready!(draining.poll(&mut this.stream, cx));
        }
        Poll::Ready(Ok(()))
    }
}

/// The reading and dropping of what a client sends.
struct Draining {
    timeout: Pin<Box<Sleep>>,
    bytes_left: usize,
}

impl Draining {
    fn new(limits: Drain) -> Self {
        Draining { timeout: Box::pin(sleep(limits.time)), bytes_left: limits.bytes }
    }

    /// Completes at the client's end or at a limit.
    fn poll(&mut self, stream: &mut TcpStream, cx: &mut Context<'_>) -> Poll<()> {
        if self.timeout.as_mut().poll(cx).is_ready() {
            return Poll::Ready(());
        }
        while self.bytes_left > 0 {
            let mut bytes = [0; DROP_BUFFER];
            let mut buffer = ReadBuf::new(&mut bytes);
            let read = ready!(Pin::new(&mut *stream).poll_read(cx, &mut buffer));
            let count = buffer.filled().len();
            if read.is_err() || count == 0 {
                break;
            }
            self.bytes_left = self.bytes_left.saturating_sub(count);
        }
        Poll::Ready(())
    }
}

/// Reads and drops what a client sends, within these limits.
pub(crate) async fn drain(stream: &mut TcpStream, limits: Drain) {
    let mut draining = Draining::new(limits);
    poll_fn(|cx| draining.poll(stream, cx)).await;
}
