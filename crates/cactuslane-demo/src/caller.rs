//! An HTTP client that calls entry instances, for tests and benchmarks.

use std::net::SocketAddr;
use std::time::Duration;

use cactuslane_standin::engine::prompt::CompletionRequest;
use cactuslane_store::http::{Client, HttpError};
use http_body_util::{BodyExt, Full};
use hyper::body::Bytes;
use hyper::{HeaderMap, Request};
use serde_json::{Value, json};
use tokio::time::timeout;

use crate::CALLER_TOKEN;

/// Timeout of a request, from the connect to the end of the response body.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(90);

/// A client of one entry instance.
#[derive(Clone, Debug)]
pub struct Caller {
    /// The address at which the instance serves callers.
    pub address: SocketAddr,
    /// The bearer token sent with every request.
    pub token: String,
    /// The underlying HTTP client.
    client: Client,
}

/// A response; if it was cut off, it holds what was received until then.
#[derive(Clone, Debug)]
pub struct Response {
    /// The HTTP status; 0 if no response head was received.
    pub status: u16,
    /// The response headers; empty if no response head was received.
    pub headers: HeaderMap,
    /// The bytes of the body that were received.
    pub body: Vec<u8>,
    /// Whether the body was received to its regular end.
    pub complete: bool,
}

impl Caller {
    /// Creates a caller that sends [`CALLER_TOKEN`] and makes a new connection for every request.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            token: CALLER_TOKEN.to_owned(),
            client: Client::open_unpooled(),
        }
    }

    /// Creates a caller that sends [`CALLER_TOKEN`] and reuses idle connections.
    #[must_use]
    pub fn pooled(address: SocketAddr) -> Self {
        Self {
            client: Client::open(),
            ..Self::new(address)
        }
    }

    /// Sends a GET request without a body.
    pub async fn get(&self, path: &str) -> Response {
        self.send("GET", path, &[], Bytes::new()).await
    }

    /// Sends a POST request with an idempotency key.
    pub async fn post_keyed(&self, path: &str, key: &str, body: &str) -> Response {
        self.send(
            "POST",
            path,
            &[("idempotency-key", key)],
            Bytes::from(body.to_owned()),
        )
        .await
    }

    /// Requests a completion of at most `tokens` tokens at `/v1/completions`.
    pub async fn complete(&self, model: &str, prompt: &str, tokens: u32, stream: bool) -> Response {
        self.complete_with(model, prompt, tokens, stream, &[]).await
    }

    /// Requests a completion as [`Self::complete`] does, with additional headers.
    pub async fn complete_with(
        &self,
        model: &str,
        prompt: &str,
        tokens: u32,
        stream: bool,
        headers: &[(&str, &str)],
    ) -> Response {
        let body = completion_body(model, prompt, tokens, stream);
        self.send("POST", "/v1/completions", headers, Bytes::from(body))
            .await
    }

    /// Sends a request and reads the response until its end, an error or the timeout of 90 s.
    ///
    /// Errors and the timeout show only in the response: as a status of 0 or an incomplete body.
    ///
    /// # Panics
    ///
    /// Panics if the method, a header or the path is malformed.
    pub async fn send(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Response {
        let mut builder = Request::builder()
            .method(method)
            .uri(format!("http://{}{path}", self.address))
            .header("authorization", format!("Bearer {}", self.token));
        for (name, value) in headers {
            builder = builder.header(*name, *value);
        }
        let request = builder
            .body(Full::new(body))
            .expect("the request is well formed");
        let mut response = Response {
            status: 0,
            headers: HeaderMap::new(),
            body: Vec::new(),
            complete: false,
        };
        // `exchange` fills the response as it reads, so what arrived before an error or the timeout
        // is kept.
        let _ = timeout(REQUEST_TIMEOUT, self.exchange(request, &mut response)).await;
        response
    }

    /// Sends a request and fills `response` as its parts are received.
    ///
    /// # Errors
    ///
    /// Returns an error if no complete response is received.
    async fn exchange(
        &self,
        request: Request<Full<Bytes>>,
        response: &mut Response,
    ) -> Result<(), HttpError> {
        let incoming = self.client.send(request).await?;
        response.status = incoming.status().as_u16();
        response.headers = incoming.headers().clone();
        let mut body = incoming.into_body();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| HttpError::Broken(error.to_string()))?;
            if let Ok(data) = frame.into_data() {
                response.body.extend_from_slice(&data);
            }
        }
        response.complete = true;
        Ok(())
    }
}

impl Response {
    /// Returns the body as text, with invalid UTF-8 replaced.
    #[must_use]
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Returns the body as JSON, or null if it is not valid JSON.
    #[must_use]
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }

    /// Returns the value of a header, or an empty string if it is absent or not text.
    #[must_use]
    pub fn header(&self, name: &str) -> &str {
        self.headers
            .get(name)
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
    }

    /// Returns the concatenated text of all events of a streamed completion or chat completion.
    #[must_use]
    pub fn streamed_text(&self) -> String {
        let mut text = String::new();
        for line in self.text().lines() {
            let Some(data) = line.strip_prefix("data: ") else {
                continue;
            };
            let chunk: Value = serde_json::from_str(data).unwrap_or(Value::Null);
            let choice = &chunk["choices"][0];
            let token = choice["text"]
                .as_str()
                .or_else(|| choice["delta"]["content"].as_str());
            text.push_str(token.unwrap_or_default());
        }
        text
    }

    /// Returns the last event ID of a streamed response, or 0 if it has none.
    #[must_use]
    pub fn last_event_id(&self) -> u32 {
        let text = self.text();
        let mut ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
        ids.next_back()
            .and_then(|id| id.parse().ok())
            .unwrap_or_default()
    }
}

/// Builds the JSON body of a request to `/v1/completions`.
#[must_use]
pub fn completion_body(model: &str, prompt: &str, tokens: u32, stream: bool) -> String {
    json!({ "model": model, "prompt": prompt, "max_tokens": tokens, "stream": stream }).to_string()
}

/// Returns the text of the first `tokens` tokens that every stand-in engine generates for a prompt.
///
/// # Panics
///
/// Never panics in practice: the request that is built here is always well formed.
#[must_use]
pub fn expected_text(prompt: &str, tokens: u32) -> String {
    let body = completion_body("any", prompt, tokens, false);
    CompletionRequest::parse(body.as_bytes(), false)
        .expect("the request is well formed")
        .text(tokens)
}
