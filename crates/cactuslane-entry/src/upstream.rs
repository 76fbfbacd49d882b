//! HTTP calls to targets and to other instances.

use std::net::SocketAddr;
use std::time::Duration;

use cactuslane_held::Framing;
use cactuslane_store::http::{Client, HttpError};
use http_body_util::{BodyExt, Full};
use hyper::body::{Bytes, Incoming};
use hyper::{HeaderMap, Request, Response};
use tokio::time::{Instant, timeout_at};

/// Path at which all targets tell their load.
pub const LOAD_PATH: &str = "/load";
/// Maximum time for the call that confirms the end of an answer.
const CONFIRM_TIMEOUT: Duration = Duration::from_secs(1);

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

/// An answer with its body in memory.
#[derive(Clone, Debug)]
pub struct FullResponse {
    /// The HTTP status code.
    pub status: u16,
    /// The headers as received.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// Whether a length or a last chunk shows that the body is complete. If not, the end of the
    /// connection ended it, which is also what a process that is killed leaves.
    pub framed: bool,
}

impl FullResponse {
    /// Returns an answer of another instance, whose end the framing must show.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::Broken`] if it has neither a length nor a last chunk.
    pub fn require_framing(self) -> Result<Self, CallError> {
        if self.framed {
            return Ok(self);
        }
        let why = "an answer of another instance without a length";
        Err(CallError::Broken(why.to_owned()))
    }

    /// Returns an answer of a target at `address`. If it has no length, the target must answer a
    /// call on a new connection now; `unpooled` is the client for that.
    ///
    /// # Errors
    ///
    /// Returns [`CallError::Broken`] if the target does not answer within 1 s and before the
    /// deadline, as then it may have ended in the middle of the body.
    pub async fn confirm(
        self,
        unpooled: &Client,
        address: SocketAddr,
        deadline: Instant,
    ) -> Result<Self, CallError> {
        if self.framed {
            return Ok(self);
        }
        let broken = |why: String| CallError::Broken(format!("the end is not confirmed: {why}"));
        let call = request("GET", address, LOAD_PATH, &[], Bytes::new());
        let call = call.ok_or_else(|| broken("the call could not be built".to_owned()))?;
        let until = deadline.min(Instant::now() + CONFIRM_TIMEOUT);
        match send(unpooled, call, until).await {
            Ok(_) => Ok(self),
            Err(error) => Err(broken(format!("{error:?}"))),
        }
    }
}

/// Sends a call and reads its answer within the time `wait`.
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
    let framed = Framing::of(&response) != Framing::Connection;
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
        framed,
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

/// Returns the next bytes of a body, or `None` at its end. Without a length or a last chunk that is
/// the end of the connection, which does not show that the body is complete.
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
