//! A small HTTP client that tells unsent requests from unanswered ones.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use http_body_util::{BodyExt, Full, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::header::{ETAG, IF_NONE_MATCH};
use hyper::{Request, Response, StatusCode};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde_json::Value;
use tokio::time::{Instant, timeout, timeout_at};

/// Longest time to make a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time that an idle connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Largest answer that is read, in bytes.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// Sends requests over kept connections.
#[derive(Clone, Debug)]
pub struct Client {
    /// The pool of connections.
    pool: hyper_util::client::legacy::Client<HttpConnector, Full<Bytes>>,
}

/// Says how far a request without an answer came.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HttpError {
    /// No connection was made: nothing was sent.
    Connect(String),
    /// The request may have been received.
    Broken(String),
}

impl fmt::Display for HttpError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connect(why) => write!(f, "connection failed: {why}"),
            Self::Broken(why) => write!(f, "no whole answer: {why}"),
        }
    }
}

impl Client {
    /// Opens a client that keeps idle connections.
    #[must_use]
    pub fn open() -> Self {
        Self::with_max_idle(usize::MAX)
    }

    /// Opens a client that makes a new connection for every request.
    ///
    /// A kept connection may have been closed by the other side just before it is used, and then
    /// nobody knows whether the request was received; a new connection leaves no such doubt.
    #[must_use]
    pub fn open_unpooled() -> Self {
        Self::with_max_idle(0)
    }

    /// Opens a client with a limit on idle connections to one address.
    fn with_max_idle(max_idle: usize) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let mut builder = hyper_util::client::legacy::Client::builder(TokioExecutor::new());
        builder.pool_timer(TokioTimer::new());
        builder.pool_idle_timeout(IDLE_TIMEOUT);
        builder.pool_max_idle_per_host(max_idle);
        // A request that may not be repeated must never be sent twice by the pool.
        builder.retry_canceled_requests(false);
        Self {
            pool: builder.build(connector),
        }
    }

    /// Sends a request and returns the answer's head with its body still to come.
    ///
    /// # Errors
    ///
    /// Returns [`HttpError::Connect`] only where nothing was sent.
    pub async fn send(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, HttpError> {
        self.pool.request(request).await.map_err(|error| {
            if error.is_connect() {
                HttpError::Connect(error_chain(&error))
            } else {
                HttpError::Broken(error_chain(&error))
            }
        })
    }

    /// Sends a request and returns the status and the whole body of the answer.
    ///
    /// # Errors
    ///
    /// Returns an error where no whole answer comes.
    pub async fn send_and_collect(
        &self,
        request: Request<Full<Bytes>>,
    ) -> Result<(u16, Bytes), HttpError> {
        let response = self.send(request).await?;
        let status = response.status().as_u16();
        Ok((status, collect_body(response).await?))
    }

    /// Posts JSON and reads the JSON answer with its status.
    ///
    /// # Errors
    ///
    /// Returns an error where no whole answer comes in time.
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

    /// Gets JSON with its status.
    ///
    /// # Errors
    ///
    /// Returns an error where no whole answer comes in time.
    pub async fn get_json(
        &self,
        address: SocketAddr,
        path: &str,
        wait: Duration,
    ) -> Result<(u16, Value), HttpError> {
        self.json(json_request("GET", address, path, None), wait)
            .await
    }

    /// Gets JSON with its entity tag, unless it still has a known one.
    ///
    /// # Errors
    ///
    /// Returns an error where no whole answer comes in time.
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
        timeout(wait, exchange)
            .await
            .unwrap_or_else(|_| Err(timeout_error(wait)))
    }

    /// Posts JSON and returns the first line of the answer that a test accepts.
    ///
    /// Returns none where other lines came, but not that one in time.
    ///
    /// # Errors
    ///
    /// Returns an error where the connection fails or ends first.
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
        let no_line = || HttpError::Broken("no line came".to_owned());
        let response = timeout_at(deadline, self.send(request))
            .await
            .map_err(|_| no_line())?;
        let mut body = response?.into_body();
        let mut buffer = Vec::new();
        let mut line_received = false;
        loop {
            let Ok(frame) = timeout_at(deadline, body.frame()).await else {
                return if line_received {
                    Ok(None)
                } else {
                    Err(no_line())
                };
            };
            let Some(frame) = frame else {
                return Err(HttpError::Broken("ended".to_owned()));
            };
            let frame = frame.map_err(|error| HttpError::Broken(error.to_string()))?;
            let Ok(data) = frame.into_data() else {
                continue;
            };
            buffer.extend_from_slice(&data);
            if buffer.len() > MAX_RESPONSE_BYTES {
                return Err(HttpError::Broken("the answer is too large".to_owned()));
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

    /// Sends a request and reads a whole JSON answer.
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
        match timeout(wait, exchange).await {
            Ok(result) => result,
            Err(_) => Err(timeout_error(wait)),
        }
    }
}

/// Reads the whole body of an answer, within the limit.
async fn collect_body(response: Response<Incoming>) -> Result<Bytes, HttpError> {
    let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES)
        .collect()
        .await;
    let body = body.map_err(|error| HttpError::Broken(error.to_string()))?;
    Ok(body.to_bytes())
}

/// The error of an answer that did not come in time.
fn timeout_error(wait: Duration) -> HttpError {
    HttpError::Broken(format!("no answer within {} ms", wait.as_millis()))
}

/// Builds a JSON request.
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

/// Describes an error with its causes.
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
