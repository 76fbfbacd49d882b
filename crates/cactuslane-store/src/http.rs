//! An HTTP client that distinguishes requests that were not sent from those without a response.

use std::fmt;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::header::{ETAG, IF_NONE_MATCH};
use hyper::{Request, Response, StatusCode};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde_json::Value;
use tokio::time::{Instant, timeout, timeout_at};

/// Timeout of the TCP connect.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time after which an unused pooled connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Maximum size of a response body, in bytes; in a streamed response, of the unparsed part.
pub const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// Returns whether a status is that of a final response in the protocol.
#[must_use]
pub const fn is_final_status(status: u16) -> bool {
    matches!(status, 200..=599)
}

/// An HTTP client with a connection pool; clones share the pool.
///
/// A request that gets no response in time makes the client close all idle connections: what made the
/// connection of that request silent, such as a device on the way that lost its state, may have made
/// the others silent too, and each would cost a later request its whole time.
#[derive(Clone, Debug)]
pub struct Client {
    /// The connections.
    pool: Arc<Mutex<Pool>>,
    /// The maximum number of idle connections per address.
    max_idle: usize,
}

/// Connections that are closed together once they are idle.
#[derive(Clone, Debug)]
struct Pool {
    /// The client that makes and reuses the connections.
    client: hyper_util::client::legacy::Client<HttpConnector, Full<Bytes>>,
    /// The number of pools before this one.
    generation: u64,
}

/// The error of a request without a usable response, by whether the request may have been sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HttpError {
    /// No connection was made, so nothing was sent.
    Connect(String),
    /// No complete, well-formed response was received, but the request may have been processed.
    Broken(String),
}

impl fmt::Display for HttpError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect(why) => write!(f, "connection failed: {why}"),
            Self::Broken(why) => write!(f, "no complete response: {why}"),
        }
    }
}

impl Client {
    /// Creates a client that reuses idle connections.
    #[must_use]
    pub fn open() -> Self {
        Self::with_max_idle(usize::MAX)
    }

    /// Creates a client that makes a new connection for every request.
    ///
    /// The server may close an idle connection just before it is reused, which leaves it unknown
    /// whether the request was received. A new connection avoids this race.
    #[must_use]
    pub fn open_unpooled() -> Self {
        Self::with_max_idle(0)
    }

    /// Creates a client that keeps at most `max_idle` idle connections per address.
    fn with_max_idle(max_idle: usize) -> Self {
        let pool = Arc::new(Mutex::new(Pool::open(max_idle, 0)));
        Self { pool, max_idle }
    }

    /// Locks the pool.
    fn pool(&self) -> MutexGuard<'_, Pool> {
        self.pool.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Closes the connections that are idle, and those in use once their requests have ended.
    pub fn close_idle(&self) {
        let mut pool = self.pool();
        *pool = Pool::open(self.max_idle, pool.generation + 1);
    }

    /// Waits for an exchange, and closes the idle connections if it takes longer than `wait`, unless
    /// an exchange beside it has closed them since it began.
    async fn within<T>(
        &self,
        wait: Duration,
        exchange: impl Future<Output = Result<T, HttpError>>,
    ) -> Result<T, HttpError> {
        let generation = self.pool().generation;
        if let Ok(result) = timeout(wait, exchange).await {
            return result;
        }
        if self.max_idle > 0 && self.pool().generation == generation {
            self.close_idle();
        }
        Err(timeout_error(wait))
    }

    /// Sends a request and returns the response as soon as its head is received.
    ///
    /// # Errors
    ///
    /// Returns [`HttpError::Connect`] only if nothing was sent, and [`HttpError::Broken`] if no head
    /// is received within `wait`.
    pub async fn send_within(
        &self,
        request: Request<Full<Bytes>>,
        wait: Duration,
    ) -> Result<Response<Incoming>, HttpError> {
        self.within(wait, self.send(request)).await
    }

    /// Sends a request and returns the response as soon as its head is received.
    ///
    /// # Errors
    ///
    /// Returns [`HttpError::Connect`] only if nothing was sent.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, HttpError> {
        let client = self.pool().client.clone();
        let response = client.request(request).await.map_err(|error| {
            if error.is_connect() {
                HttpError::Connect(error_chain(&error))
            } else {
                HttpError::Broken(error_chain(&error))
            }
        })?;
        let status = response.status().as_u16();
        if !is_final_status(status) {
            let why = format!("status {status} is not that of a response");
            return Err(HttpError::Broken(why));
        }
        Ok(response)
    }

    /// Sends a request and returns the status and the complete body of the response.
    ///
    /// There is no timeout other than that of the connect.
    ///
    /// # Errors
    ///
    /// Returns an error if no complete response is received, or its body is over 8 MiB.
    pub async fn send_and_collect(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<(u16, Bytes), HttpError> {
        let response = self.send(request).await?;
        let status = response.status().as_u16();
        Ok((status, collect_body(response).await?))
    }

    /// Posts JSON and returns the status and the JSON body of the response.
    ///
    /// # Errors
    ///
    /// Returns an error if no complete response is received within `wait`, or a response with
    /// status 200 is not JSON.
    pub async fn post_json(
        &self,
        address: SocketAddr,
        path: &str,
        body: &Value,
        wait: Duration,
    ) -> Result<(u16, Value), HttpError> {
        let request = json_request("POST", address, path, Some(body));
        self.json(request, wait).await
    }

    /// Sends a GET request and returns the status and the JSON body of the response.
    ///
    /// # Errors
    ///
    /// Returns an error if no complete response is received within `wait`, or a response with
    /// status 200 is not JSON.
    pub async fn get_json(
        &self,
        address: SocketAddr,
        path: &str,
        wait: Duration,
    ) -> Result<(u16, Value), HttpError> {
        self.json(json_request("GET", address, path, None), wait)
            .await
    }

    /// Gets JSON and its entity tag; returns `None` if the resource still has the known tag.
    ///
    /// # Errors
    ///
    /// Returns an error if no complete response is received within `wait`, its status is
    /// neither 200 nor 304, or a new body is not JSON.
    pub async fn get_if_changed(
        &self,
        address: SocketAddr,
        path: &str,
        known_tag: Option<String>,
        wait: Duration,
    ) -> Result<Option<(Option<String>, Value)>, HttpError> {
        let mut request = json_request("GET", address, path, None);
        if let Some(known) = known_tag.and_then(|tag| tag.parse().ok()) {
            request.headers_mut().insert(IF_NONE_MATCH, known);
        }
        let exchange = async {
            let response = self.send(request).await?;
            let status = response.status();
            if status == StatusCode::NOT_MODIFIED {
                return Ok(None);
            }
            if status != StatusCode::OK {
                return Err(HttpError::Broken(format!("status {status}")));
            }
            let tag = response
                .headers()
                .get(ETAG)
                .and_then(|tag| tag.to_str().ok());
            let tag = tag.map(str::to_owned);
            let bytes = collect_body(response).await?;
            let value = serde_json::from_slice(&bytes);
            Ok(Some((
                tag,
                value.map_err(|error| HttpError::Broken(error.to_string()))?,
            )))
        };
        self.within(wait, exchange).await
    }

    /// Posts JSON and returns the first line of the streamed response that `accept` matches.
    ///
    /// Returns `None` if JSON lines were received within `wait`, but none matched. Lines that are
    /// not JSON are skipped.
    ///
    /// # Errors
    ///
    /// Returns an error if no JSON line is received within `wait`, or if the response fails, ends
    /// or needs a buffer of more than 8 MiB first.
    pub async fn first_matching_line(
        &self,
        address: SocketAddr,
        path: &str,
        body: &Value,
        wait: Duration,
        accept: fn(&Value) -> bool,
    ) -> Result<Option<Value>, HttpError> {
        let deadline = Instant::now() + wait;
        let request = json_request("POST", address, path, Some(body));
        let response = self.send_within(request, wait).await?;
        let mut body = response.into_body();
        let mut buffer = Vec::new();
        let mut line_received = false;
        loop {
            let Ok(frame) = timeout_at(deadline, body.frame()).await else {
                if line_received {
                    return Ok(None);
                }
                self.close_idle();
                return Err(HttpError::Broken("no line received in time".to_owned()));
            };
            let Some(frame) = frame else {
                return Err(HttpError::Broken("the response ended early".to_owned()));
            };
            let frame = frame.map_err(|error| HttpError::Broken(error.to_string()))?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            buffer.extend_from_slice(&data);
            if buffer.len() > MAX_RESPONSE_BYTES {
                return Err(HttpError::Broken("the response is too large".to_owned()));
            }
            while let Some(end) = buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = buffer.drain(..=end).collect();
                let Ok(value) = serde_json::from_slice::<Value>(&line) else {
                    continue;
                };
                line_received = true;
                if accept(&value) {
                    return Ok(Some(value));
                }
            }
        }
    }

    /// Sends a request and returns the status and the JSON body of the response.
    ///
    /// A body that is not JSON becomes a JSON string unless the status is 200.
    async fn json(
        &self,
        request: Request<Full<Bytes>>,
        wait: Duration,
    ) -> Result<(u16, Value), HttpError> {
        let exchange = async {
            let (status, bytes) = self.send_and_collect(request).await?;
            let value = match serde_json::from_slice(&bytes) {
                Ok(value) => value,
                Err(error) if status == 200 => return Err(HttpError::Broken(error.to_string())),
                Err(_) => Value::String(String::from_utf8_lossy(&bytes).into_owned()),
            };
            Ok((status, value))
        };
        self.within(wait, exchange).await
    }
}

impl Pool {
    /// Creates a pool without connections that keeps at most `max_idle` idle ones per address.
    fn open(max_idle: usize, generation: u64) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let mut builder = hyper_util::client::legacy::Client::builder(TokioExecutor::new());
        builder.pool_timer(TokioTimer::new());
        builder.pool_idle_timeout(IDLE_TIMEOUT);
        builder.pool_max_idle_per_host(max_idle);
        // The pool must not resend requests: one that is not safe to repeat must be sent only once.
        builder.retry_canceled_requests(false);
        let client = builder.build(connector);
        Self { client, generation }
    }
}

/// Reads the complete body of a response, up to [`MAX_RESPONSE_BYTES`].
async fn collect_body(response: Response<Incoming>) -> Result<Bytes, HttpError> {
    let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
        .collect()
        .await;
    let body = body.map_err(|error| HttpError::Broken(error.to_string()))?;
    Ok(body.to_bytes())
}

/// Returns the error of a response that was not complete within `wait`.
fn timeout_error(wait: Duration) -> HttpError {
    HttpError::Broken(format!(
        "no complete response within {} ms",
        wait.as_millis()
    ))
}

/// Builds a request with a JSON body, or an empty one.
fn json_request(
    method: &str,
    address: SocketAddr,
    path: &str,
    body: Option<&Value>,
) -> Request<Full<Bytes>> {
    let bytes = body
        .map(|value| Bytes::from(value.to_string()))
        .unwrap_or_default();
    Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"))
        .header("content-type", "application/json")
        .body(Full::new(bytes))
        .expect("the parts of the request are valid")
}

/// Returns the messages of an error and of its sources, separated by colons.
fn error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(inner) = cause {
        text.push_str(": ");
        text.push_str(&inner.to_string());
        cause = inner.source();
    }
    text
}
