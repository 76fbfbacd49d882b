//! Accepted connections, with the limits that hold at every door.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, Waker, ready};
use std::time::Duration;

use cactuslane_flight::held_bytes::PROGRESS_BYTES;
use cactuslane_flight::{Activity, ConnectionId, Kind};
use http_body_util::BodyExt;
use hyper::body::{Body, Bytes, Frame, Incoming, SizeHint};
use hyper::header::CONTENT_LENGTH;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode, Version};
use hyper_util::rt::TokioIo;
use log::debug;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::{Instant, Sleep, timeout};

use crate::head_timer::HeadTimer;
use crate::record::{BufferError, ConnectionGuard, Held, HeldBuffer, ServingGuard};

/// Maximum number of headers of a request.
const MAX_HEADERS: usize = 100;
/// Smallest `max_buf_size` that hyper accepts, in bytes; also added to the limit on the head.
const MIN_BUFFER: usize = 8 << 10;
/// Number of bytes of a body after which they are recorded, so that small chunks cost little.
const RECORDED_BYTES: usize = PROGRESS_BYTES / 4;
/// Number of connections that wait to be accepted, beyond which callers connect only after a second
/// or more; the system may have a lower limit.
const BACKLOG: u32 = 4096;
/// Time within which a caller must take [`PROGRESS_BYTES`] of an answer, or all that is left of it.
const SEND_TIMEOUT: Duration = Duration::from_secs(20);
/// Time after which the system closes a connection whose caller acknowledges nothing or has no
/// space left (`TCP_USER_TIMEOUT`); longer than [`SEND_TIMEOUT`], which then decides.
const UNACKED_TIMEOUT: Duration = Duration::from_secs(30);
/// Number of bytes of an answer that the system takes beyond those that it can send at once
/// (`TCP_NOTSENT_LOWAT`).
const MAX_UNSENT: u32 = 64 << 10;

/// Limits on the heads of a connection's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeadLimits {
    /// Largest size of a head, in bytes.
    pub bytes: usize,
    /// Longest time to wait for a whole head.
    pub timeout: Duration,
}

/// Error of a body that could not be read.
#[derive(Debug)]
pub enum BodyError {
    /// It is larger than allowed.
    TooLarge,
    /// No bytes of it came for too long.
    Slow,
    /// There is no space for it.
    NoSpace,
    /// The connection failed, or the body is malformed.
    Broken(hyper::Error),
}

/// Connection of a caller, which is not read while the caller does not take its answers.
#[derive(Debug)]
struct CallerStream {
    /// The connection.
    stream: TcpStream,
    /// Where its state is recorded.
    held: Arc<Held>,
    /// Its number.
    connection: ConnectionId,
    /// Whether the caller takes no bytes at present.
    blocked: bool,
    /// Task that wants to read once it does.
    reader: Option<Waker>,
    /// Number of bytes that were sent since the time-out was set.
    sent: usize,
    /// End of the time to take [`PROGRESS_BYTES`]; `None` while nothing is left unsent.
    deadline: Option<Pin<Box<Sleep>>>,
    /// Whether an answer is in progress whose end is that of the connection.
    unended: Arc<AtomicBool>,
    /// Whether the system resets the connection when it is dropped.
    resets: bool,
}

/// Body of an answer, with a guard that is dropped at its end.
#[derive(Debug)]
struct GuardedBody<B> {
    /// The body.
    body: B,
    /// Cleared at the whole end of the body.
    unended: Arc<AtomicBool>,
    /// The guard.
    _guard: ServingGuard,
}

/// Binds a listener that a burst of connections does not fill.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    let socket = match address {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    // Otherwise the port stays in use for a minute after a restart.
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Serves the requests of an accepted connection until it ends or must be closed.
///
/// A request that has begun is not cut when another connection needs its place; the connection then
/// ends after it.
///
/// Of `limits`, the size of heads is that in force when the connection is accepted, and the time
/// that in force while a head is awaited.
///
/// Once `stop` completes, it ends after the request in progress.
pub async fn serve<B, F>(
    guard: ConnectionGuard,
    stream: TcpStream,
    limits: impl Fn() -> HeadLimits + Send + Sync + 'static,
    stop: impl Future<Output = ()>,
    respond: impl Fn(Request<Incoming>, ConnectionId) -> F,
) where
    F: Future<Output = Response<B>>,
    B: Body<Data = Bytes> + Unpin + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let id = guard.id;
    set_socket_options(&stream);
    let stream = CallerStream {
        stream,
        held: guard.held().clone(),
        connection: id,
        blocked: false,
        reader: None,
        sent: 0,
        deadline: None,
        unended: Arc::default(),
        resets: false,
    };
    let ending = stream.unended.clone();
    let service = service_fn(|request| {
        let serving = guard.held().serve(id);
        let has_chunks = request.version() >= Version::HTTP_11;
        let is_bodiless = request.method() == Method::HEAD;
        let response = respond(request, id);
        let unended = ending.clone();
        async move {
            let response = response.await;
            let is_framed = has_chunks || is_bodiless || has_length(&response);
            unended.store(!is_framed, Ordering::Relaxed);
            Ok::<_, Infallible>(response.map(|body| GuardedBody {
                body,
                unended,
                _guard: serving,
            }))
        }
    });
    let accepted = limits();
    let connection = http1::Builder::new()
        .timer(HeadTimer(Arc::new(move || limits().timeout)))
        .header_read_timeout(accepted.timeout)
        .max_headers(MAX_HEADERS)
        .max_buf_size(accepted.bytes.max(MIN_BUFFER) + MIN_BUFFER)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection, stop);
    let mut stopping = false;
    let result = loop {
        tokio::select! {
            // A request that has arrived is begun before its connection counts as idle.
            biased;
            result = connection.as_mut() => break result,
            () = guard.closer.notified() => {
                if guard.held().confirm_close(id) {
                    return;
                }
                connection.as_mut().graceful_shutdown();
            }
            () = &mut stop, if !stopping => {
                stopping = true;
                connection.as_mut().graceful_shutdown();
            }
        }
    };
    if let Err(error) = result {
        debug!(error:% = error; "caller's connection ended");
    }
}

/// Sets the TCP options of an accepted connection; an option that can't be set is only logged.
fn set_socket_options(stream: &TcpStream) {
    let socket = SockRef::from(stream);
    let results = [
        ("nodelay", stream.set_nodelay(true)),
        (
            "user timeout",
            socket.set_tcp_user_timeout(Some(UNACKED_TIMEOUT)),
        ),
        ("unsent bytes", socket.set_tcp_notsent_lowat(MAX_UNSENT)),
    ];
    for (option, result) in results {
        if let Err(error) = result {
            debug!(option, error:% = error; "socket option refused");
        }
    }
}

/// Returns whether the head of an answer tells the length of its body.
fn has_length<B: Body>(response: &Response<B>) -> bool {
    let has_none = matches!(
        response.status(),
        StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED
    );
    let is_named = response.headers().contains_key(CONTENT_LENGTH);
    has_none || is_named || response.body().size_hint().exact().is_some()
}

/// Reads a body of at most `limit` bytes, which are held for its connection; `idle` is the longest
/// time until the next bytes arrive.
///
/// # Errors
///
/// Returns an error if the body announces or has more bytes, if there is no space for it, or if it
/// can't be read.
pub async fn read_body(
    held: &Arc<Held>,
    connection: ConnectionId,
    mut body: Incoming,
    limit: usize,
    idle: Duration,
) -> Result<Bytes, BodyError> {
    let announced = body.size_hint();
    if announced.lower() > limit as u64 {
        return Err(BodyError::TooLarge);
    }
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    let limit = announced
        .exact()
        .map_or(limit, |announced| announced as usize);
    held.set_activity(connection, Activity::Reading);
    let mut buffer = HeldBuffer::new(held, connection, Kind::Body, limit);
    let mut unrecorded = 0;
    while let Some(frame) = timeout(idle, body.frame())
        .await
        .map_err(|_| BodyError::Slow)?
    {
        let Ok(data) = frame.map_err(BodyError::Broken)?.into_data() else {
            continue;
        };
        unrecorded += data.len();
        if unrecorded >= RECORDED_BYTES {
            held.record_bytes(connection, unrecorded);
            unrecorded = 0;
        }
        match buffer.extend(&data).await {
            Ok(()) => {}
            Err(BufferError::TooLarge) => return Err(BodyError::TooLarge),
            Err(BufferError::NoSpace) => return Err(BodyError::NoSpace),
        }
    }
    held.set_activity(connection, Activity::Serving);
    Ok(buffer.into_bytes())
}

impl CallerStream {
    /// Sets whether the system resets the connection when it is dropped or its process ends.
    fn set_reset(&mut self, resets: bool) -> io::Result<()> {
        if std::mem::replace(&mut self.resets, resets) == resets {
            return Ok(());
        }
        SockRef::from(&self.stream).set_linger(resets.then_some(Duration::ZERO))
    }

    /// Has the connection reset in place of closed while an answer without a length or chunks is in
    /// progress, so that its caller can tell a break from the end.
    ///
    /// # Errors
    ///
    /// Returns an error if the system does not allow it.
    fn begin_write(&mut self) -> io::Result<()> {
        if self.unended.load(Ordering::Relaxed) {
            return self.set_reset(true);
        }
        Ok(())
    }

    /// Records the result of a write; returns an error if the caller has taken too little for too
    /// long.
    fn record_write(
        &mut self,
        context: &mut Context<'_>,
        result: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        match result {
            Poll::Ready(Ok(sent)) => {
                self.sent += sent;
                if std::mem::replace(&mut self.blocked, false) {
                    self.held.set_blocked(self.connection, false);
                    self.held.record_bytes(self.connection, sent);
                    if let Some(reader) = self.reader.take() {
                        reader.wake();
                    }
                }
                Poll::Ready(Ok(sent))
            }
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
            Poll::Pending => {
                if !std::mem::replace(&mut self.blocked, true) {
                    self.held.set_blocked(self.connection, true);
                }
                if self.sent >= PROGRESS_BYTES {
                    self.sent = 0;
                    if let Some(deadline) = &mut self.deadline {
                        deadline.as_mut().reset(Instant::now() + SEND_TIMEOUT);
                    }
                }
                let deadline = self
                    .deadline
                    .get_or_insert_with(|| Box::pin(tokio::time::sleep(SEND_TIMEOUT)));
                ready!(deadline.as_mut().poll(context));
                self.held
                    .report("answer not taken", "answers", self.connection);
                let error = io::Error::new(io::ErrorKind::TimedOut, "the answer is not taken");
                Poll::Ready(Err(error))
            }
        }
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        // Hyper would otherwise go on reading requests, and keep the heads of their answers.
        if self.blocked {
            self.reader = Some(context.waker().clone());
            return Poll::Pending;
        }
        Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.begin_write()?;
        let result = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record_write(context, result)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        // Hyper flushes once all that it has is written.
        if self.deadline.take().is_some() {
            self.held.record_bytes(self.connection, PROGRESS_BYTES);
        }
        self.sent = 0;
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        // Hyper also shuts a connection down when the caller has ended its side of it.
        if self.unended.load(Ordering::Relaxed) {
            return Poll::Ready(Ok(()));
        }
        self.set_reset(false)?;
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.begin_write()?;
        let result = Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.record_write(context, result)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

impl<B: Body + Unpin> Body for GuardedBody<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        let is_end = match &frame {
            Some(Ok(_)) => self.body.is_end_stream(),
            Some(Err(_)) => false,
            None => true,
        };
        if is_end {
            self.unended.store(false, Ordering::Relaxed);
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
