//! Answers to callers.

use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use cactuslane_flight::Refusal;
use cactuslane_platform::exchange;
use http_body_util::{Either, Full};
use hyper::body::{Body, Bytes, Frame};
use hyper::header::{CONTENT_TYPE, HeaderMap, HeaderValue};
use hyper::{Response, StatusCode};
use tokio::sync::mpsc;

/// The body of an answer: whole, or a stream.
pub type AnswerBody = Either<Full<Bytes>, ChunkStream>;

/// A stream of pieces that another task sends.
#[derive(Debug)]
pub struct ChunkStream {
    /// The pieces; an error breaks the connection off.
    receiver: mpsc::Receiver<Result<Bytes, AnswerAborted>>,
}

/// The error of an answer that does not come to its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AnswerAborted;

impl fmt::Display for AnswerAborted {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the answer broke off")
    }
}

impl std::error::Error for AnswerAborted {}

impl ChunkStream {
    /// Creates a stream of received pieces.
    #[must_use]
    pub fn new(receiver: mpsc::Receiver<Result<Bytes, AnswerAborted>>) -> Self {
        Self { receiver }
    }
}

impl Body for ChunkStream {
    type Data = Bytes;
    type Error = AnswerAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, AnswerAborted>>> {
        let chunk = self.receiver.poll_recv(context);
        chunk.map(|chunk| chunk.map(|chunk| chunk.map(Frame::data)))
    }
}

/// Returns an answer with a whole body.
#[must_use]
pub fn buffered(status: StatusCode, headers: HeaderMap, body: Bytes) -> Response<AnswerBody> {
    let mut response = Response::new(Either::Left(Full::new(body)));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// The cause of an answer of the system's own that is no success, in a few words.
///
/// It stands in the answer's extensions, for the line and the counter of the final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cause(pub &'static str);

/// Returns the answer to a request that was refused for a cause.
#[must_use]
pub fn refusal(
    id: &str,
    refusal: Refusal,
    retry_after: Duration,
    cause: &'static str,
) -> Response<AnswerBody> {
    let (status, text) = match refusal {
        Refusal::NotRun => (StatusCode::SERVICE_UNAVAILABLE, "not run"),
        Refusal::Unknown => (StatusCode::BAD_GATEWAY, "no whole answer from a target"),
        Refusal::TimedOut => (StatusCode::GATEWAY_TIMEOUT, "no answer in time"),
    };
    let mut response = error(id, status, text);
    if refusal == Refusal::NotRun {
        let (name, value) = exchange::come_back(retry_after);
        response.headers_mut().insert(name, value);
    }
    response.extensions_mut().insert(Cause(cause));
    response
}

/// Returns an error of this system; its text is the cause.
#[must_use]
pub fn error(id: &str, status: StatusCode, text: &'static str) -> Response<AnswerBody> {
    let mut headers = exchange::own_headers(id);
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    let body = serde_json::json!({ "error": text }).to_string();
    let mut response = buffered(status, headers, Bytes::from(body));
    response.extensions_mut().insert(Cause(text));
    response
}
