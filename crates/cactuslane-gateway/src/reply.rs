//! Answers to callers.

use std::time::Duration;

use cactuslane_flight::Refusal;
use cactuslane_held::ChunkStream;
use cactuslane_platform::exchange;
use http_body_util::{Either, Full};
use hyper::body::Bytes;
use hyper::header::{CONTENT_TYPE, HeaderMap, HeaderValue};
use hyper::{Response, StatusCode};

/// Body of an answer: complete in memory, or a stream.
pub type AnswerBody = Either<Full<Bytes>, ChunkStream>;

/// Returns an answer whose body is complete.
#[must_use]
pub fn buffered(status: StatusCode, headers: HeaderMap, body: Bytes) -> Response<AnswerBody> {
    let mut response = Response::new(Either::Left(Full::new(body)));
    *response.status_mut() = status;
    *response.headers_mut() = headers;
    response
}

/// Cause of an unsuccessful answer that the gateway generates itself, in a few words.
///
/// It is stored in the answer's extensions, for the log line and the failure counter.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cause(pub &'static str);

/// Returns the answer to a request that was refused, with `Retry-After` if it was not run.
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
        let (name, value) = exchange::retry_after(retry_after);
        response.headers_mut().insert(name, value);
    }
    response.extensions_mut().insert(Cause(cause));
    response
}

/// Returns an error answer by the gateway itself, with a text that is also its cause.
#[must_use]
pub fn error(id: &str, status: StatusCode, text: &'static str) -> Response<AnswerBody> {
    let mut headers = exchange::id_headers(id);
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    let body = serde_json::json!({ "error": text }).to_string();
    let mut response = buffered(status, headers, Bytes::from(body));
    response.extensions_mut().insert(Cause(text));
    response
}
