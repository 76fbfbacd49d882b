//! Bodies of answers that another task sends, and that end as whole only if it says so.

use std::fmt;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};

use hyper::body::{Body, Bytes, Frame};
use tokio::sync::mpsc;

/// Sender of the chunks of an answer.
///
/// Unless it is consumed by [`finish`](Self::finish), the answer breaks off after the chunks that
/// were sent: if it is dropped, if its task is cancelled, and if its task panics.
#[derive(Debug)]
pub struct ChunkSender {
    /// Channel to the body of the answer.
    sender: mpsc::Sender<Bytes>,
    /// Whether all chunks were sent.
    finished: Arc<AtomicBool>,
}

/// Body of an answer whose chunks are sent by another task.
#[derive(Debug)]
pub struct ChunkStream {
    /// Channel of the chunks.
    receiver: mpsc::Receiver<Bytes>,
    /// Whether a closed channel is the end of the answer.
    finished: Arc<AtomicBool>,
    /// Whether the chunks before a break were left to be written.
    written: bool,
}

/// The caller has disconnected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLeft;

/// Error of a body whose sender was dropped before its end; it closes the connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerAborted;

impl fmt::Display for AnswerAborted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the answer broke off")
    }
}

impl std::error::Error for AnswerAborted {}

/// Opens a channel of at most `capacity` unread chunks to the body of an answer.
///
/// # Panics
///
/// Panics if the capacity is 0.
#[must_use]
pub fn open(capacity: usize) -> (ChunkSender, ChunkStream) {
    let (sender, receiver) = mpsc::channel(capacity);
    let finished = Arc::new(AtomicBool::new(false));
    let stream = ChunkStream {
        receiver,
        finished: finished.clone(),
        written: false,
    };
    (ChunkSender { sender, finished }, stream)
}

impl ChunkSender {
    /// Sends a chunk, and waits for space if there is none.
    ///
    /// # Errors
    ///
    /// Returns an error if the caller has disconnected.
    pub async fn send(&self, chunk: Bytes) -> Result<(), CallerLeft> {
        self.sender.send(chunk).await.map_err(|_| CallerLeft)
    }

    /// Ends the answer as whole.
    pub fn finish(self) {
        self.finished.store(true, Ordering::Release);
    }

    /// Ends the answer as broken off, as dropping the sender does.
    pub fn abort(self) {
        drop(self);
    }

    /// Waits until the caller has disconnected.
    pub async fn closed(&self) {
        self.sender.closed().await;
    }
}

impl Body for ChunkStream {
    type Data = Bytes;
    type Error = AnswerAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerAborted>>> {
        if let Some(chunk) = ready!(self.receiver.poll_recv(context)) {
            return Poll::Ready(Some(Ok(Frame::data(chunk))));
        }
        if self.finished.load(Ordering::Acquire) {
            return Poll::Ready(None);
        }
        // Hyper writes only once a body is pending, and drops what it holds on an error.
        if !std::mem::replace(&mut self.written, true) {
            context.waker().wake_by_ref();
            return Poll::Pending;
        }
        Poll::Ready(Some(Err(AnswerAborted)))
    }
}
