//! HTTP calls to targets and to other instances.

use std::net::SocketAddr;
use std::time::Duration;

use cactuslane_store::http::{Client, HttpError};
use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper::{HeaderMap, Request, Response};
use tokio::time::{Instant, timeout_at};

/// The reason for which a call has no complete answer, and whether it may have been executed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallError {
    /// Nothing was sent: there was no connection, or the request could not be built.
    NotSent(String),
    /// The connection broke off, or the answer is not usable; the target may have started the call.
    Broken(String),
    /// The deadline passed; the target may have started the call.
    TimedOut,
}

/// A complete answer with its body in memory.
#[derive(Clone, Debug)]
pub struct FullResponse {
    /// The HTTP status code.
    pub status: u16,
    /// The headers as received.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

/// Sends a call and reads its complete answer within the time `wait`.
///
/// # Errors
///
/// Returns an error if the call fails, or if the body is longer than `limit` bytes.
pub async fn send_and_collect(
    client: &Client,
    request: Request<Full<Bytes>>,
    limit: usize,
    wait: Duration,
) -> Result<FullResponse, CallError> {
    let deadline = Instant::now() + wait;
    let response = send(client, request, deadline).await?;
    let (parts, body) = response.into_parts();
    let mut body = body;
    let mut bytes = Vec::new();
    while let Some(data) = next_data(&mut body, deadline).await? {
        if bytes.len() + data.len() > limit {
            return Err(CallError::Broken("the answer is too large".to_owned()));
        }
        bytes.extend_from_slice(&data);
    }
    Ok(FullResponse {
        status: parts.status.as_u16(),
        headers: parts.headers,
        body: Bytes::from(bytes),
    })
}

/// Sends a call and returns its answer once the status and headers have arrived.
///
/// # Errors
///
/// Returns [`CallError::NotSent`] only if no connection was made.
pub async fn send(
    client: &Client,
    request: Request<Full<Bytes>>,
    deadline: Instant,
) -> Result<Response<Incoming>, CallError> {
    match timeout_at(deadline, client.send(request)).await {
        Ok(Ok(response)) => Ok(response),
        Ok(Err(HttpError::Connect(why))) => Err(CallError::NotSent(why)),
        Ok(Err(HttpError::Broken(why))) => Err(CallError::Broken(why)),
        Err(_) => Err(CallError::TimedOut),
    }
}

/// Returns the next bytes of a body, or `None` at its regular end.
///
/// # Errors
///
/// Returns an error if the connection fails first or the deadline passes.
pub async fn next_data(body: &mut Incoming, deadline: Instant) -> Result<Option<Bytes>, CallError> {
    loop {
        let Ok(frame) = timeout_at(deadline, body.frame()).await else {
            return Err(CallError::TimedOut);
        };
        let Some(frame) = frame else { return Ok(None) };
        let frame = frame.map_err(|error| CallError::Broken(error.to_string()))?;
        if let Ok(data) = frame.into_data() {
            return Ok(Some(data));
        }
    }
}

/// Builds a request with a complete body; `None` if the method, the path or a header is invalid.
pub fn request(
    method: &str,
    address: SocketAddr,
    path: &str,
    headers: &[(&str, &str)],
    body: Bytes,
) -> Option<Request<Full<Bytes>>> {
    let mut builder = Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"));
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    builder.body(Full::new(body)).ok()
}
