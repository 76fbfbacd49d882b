//! Connections from which a bounded number of bytes is read, as a target may send bytes without end.

use std::io;
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use cactuslane_types::Millis;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::arrivals::{Arrivals, Line};

/// Number of bytes that may still be read from a connection.
#[derive(Clone, Debug)]
pub struct Allowance(Arc<AtomicUsize>);

/// The time at which a byte of any target last arrived.
#[derive(Clone, Debug)]
pub struct Heard {
    /// The time that counts as 0.
    origin: Instant,
    /// Milliseconds since then, plus 1; 0 if no byte arrived.
    at: Arc<AtomicU64>,
}

impl Heard {
    /// Creates the record, with the origin of the instance's clock.
    #[must_use]
    pub fn new(origin: Instant) -> Self {
        let at = Arc::default();
        Self { origin, at }
    }

    /// Records that a byte arrives now.
    fn record(&self) {
        let now = self.origin.elapsed().as_millis() as u64;
        self.at.store(now + 1, Ordering::Relaxed);
    }

    /// Returns the time at which a byte last arrived.
    #[must_use]
    pub fn last(&self) -> Option<Millis> {
        self.at.load(Ordering::Relaxed).checked_sub(1)
    }
}

/// A connection that fails when more bytes arrive than its allowance.
#[derive(Debug)]
pub struct MeteredStream {
    /// The connection.
    stream: Arc<TcpStream>,
    /// Number of bytes that may still be read.
    allowance: Allowance,
    /// Record of the arrival of bytes.
    heard: Heard,
    /// The connection, as tasks that await bytes of a process know it.
    line: Arc<Line>,
    /// Those tasks.
    arrivals: Arrivals,
    /// Whether all bytes that had arrived were read since the last ones.
    is_drained: bool,
}

impl Default for Allowance {
    fn default() -> Self {
        Self(Arc::new(AtomicUsize::new(usize::MAX)))
    }
}

impl Allowance {
    /// Sets the number of bytes that may be read from now on.
    pub fn set(&self, bytes: usize) {
        self.0.store(bytes, Ordering::Relaxed);
    }

    /// Subtracts bytes that were read; returns false if there were too many.
    fn take(&self, bytes: usize) -> bool {
        let left = self.0.load(Ordering::Relaxed);
        self.set(left.saturating_sub(bytes));
        left >= bytes
    }
}

impl MeteredStream {
    /// Creates a stream of which no more is read than the allowance says.
    #[must_use]
    pub fn new(
        stream: Arc<TcpStream>,
        allowance: Allowance,
        heard: Heard,
        line: Arc<Line>,
        arrivals: Arrivals,
    ) -> Self {
        Self {
            stream,
            allowance,
            heard,
            line,
            arrivals,
            is_drained: false,
        }
    }

    /// Records that bytes were read.
    fn record_read(&mut self) {
        self.heard.record();
        if std::mem::take(&mut self.is_drained) {
            self.arrivals.record(&self.line);
        }
    }

    /// Writes with a function once the connection takes bytes.
    fn poll_write_with(
        &self,
        context: &mut Context<'_>,
        mut write: impl FnMut(&TcpStream) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.stream.poll_write_ready(context))?;
            match write(&self.stream) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
        }
    }
}

/// Returns whether a connection on which nothing is due has unread bytes or was closed by its peer.
#[must_use]
pub fn is_disturbed(stream: &TcpStream) -> bool {
    let mut byte = [MaybeUninit::uninit()];
    let peeked = SockRef::from(stream).peek(&mut byte);
    !peeked.is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let read = loop {
            let readiness = self.stream.poll_read_ready(context);
            self.is_drained |= readiness.is_pending();
            ready!(readiness)?;
            match self.stream.try_read(buffer.initialize_unfilled()) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                result => break result?,
            }
        };
        buffer.advance(read);
        if read > 0 {
            self.record_read();
        }
        if !self.allowance.take(read) {
            let error = io::Error::new(io::ErrorKind::InvalidData, "the target sends too much");
            return Poll::Ready(Err(error));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(context, |stream| stream.try_write(bytes))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(SockRef::from(&*self.stream).shutdown(Shutdown::Write))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(context, |stream| stream.try_write_vectored(slices))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }
}
