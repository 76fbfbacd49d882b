//! A caller of a deployment, for demonstrations and tests.

use std::net::SocketAddr;
use std::time::Duration;

use cactuslane_standin::engine::prompt::CompletionRequest;
use cactuslane_store::http::{Client, HttpError};
use http_body_util::{BodyExt, Full};
use hyper::body::Bytes;
use hyper::{HeaderMap, Request};
use serde_json::{Value, json};
use tokio::time::timeout;

use crate::TOKEN;

/// Longest time that a caller waits for a whole answer.
const PATIENCE: Duration = Duration::from_secs(90);

/// Calls one entry instance.
#[derive(Clone, Debug)]
pub struct Caller {
    /// The instance's address.
    pub address: SocketAddr,
    /// The token that it sends.
    pub token: String,
    /// Sends the requests.
    client: Client,
}

/// An answer; one that broke off holds what came before.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The status; 0 where no answer came.
    pub status: u16,
    /// Holds the headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Vec<u8>,
    /// Says whether the body came to its proper end.
    pub whole: bool,
}

impl Caller {
    /// Creates a caller with the token of the demonstration.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            token: TOKEN.to_owned(),
            client: Client::open_unpooled(),
        }
    }

    /// Creates a caller that keeps its connections.
    #[must_use]
    pub fn kept(address: SocketAddr) -> Self {
        Self {
            client: Client::open(),
            ..Self::new(address)
        }
    }

    /// Sends a GET request.
    pub async fn get(&self, path: &str) -> Reply {
        self.send("GET", path, &[], Bytes::new()).await
    }

    /// Sends a keyed POST request.
    pub async fn post_keyed(&self, path: &str, key: &str, body: &str) -> Reply {
        self.send(
            "POST",
            path,
            &[("idempotency-key", key)],
            Bytes::from(body.to_owned()),
        )
        .await
    }

    /// Asks for a completion.
    pub async fn complete(&self, model: &str, prompt: &str, tokens: u32, stream: bool) -> Reply {
        self.complete_with(model, prompt, tokens, stream, &[]).await
    }

    /// Asks for a completion with more headers.
    pub async fn complete_with(
        &self,
        model: &str,
        prompt: &str,
        tokens: u32,
        stream: bool,
        headers: &[(&str, &str)],
    ) -> Reply {
        let body = completion_body(model, prompt, tokens, stream);
        self.send("POST", "/v1/completions", headers, Bytes::from(body))
            .await
    }

    /// Sends a request and reads the answer as far as it comes.
    ///
    /// # Panics
    ///
    /// Panics if a header or the path is malformed.
    pub async fn send(
        &self,
        method: &str,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Reply {
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
        let mut reply = Reply {
            status: 0,
            headers: HeaderMap::new(),
            body: Vec::new(),
            whole: false,
        };
        // What has come when the time runs out is kept.
        let _ = timeout(PATIENCE, self.exchange(request, &mut reply)).await;
        reply
    }

    /// Sends a request and fills the reply.
    async fn exchange(
        &self,
        request: Request<Full<Bytes>>,
        reply: &mut Reply,
    ) -> Result<(), HttpError> {
        let response = self.client.send(request).await?;
        reply.status = response.status().as_u16();
        reply.headers = response.headers().clone();
        let mut body = response.into_body();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|error| HttpError::Broken(error.to_string()))?;
            if let Ok(data) = frame.into_data() {
                reply.body.extend_from_slice(&data);
            }
        }
        reply.whole = true;
        Ok(())
    }
}

impl Reply {
    /// Returns the body as text.
    #[must_use]
    pub fn text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    /// Returns the body as JSON; null where it is none.
    #[must_use]
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).unwrap_or(Value::Null)
    }

    /// Returns a header; empty where it is absent.
    #[must_use]
    pub fn header(&self, name: &str) -> &str {
        self.headers
            .get(name)
            .and_then(|value| value.to_str().ok())
            .unwrap_or_default()
    }

    /// Returns the text of all tokens of a streamed answer.
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

    /// Returns the number of the last event of a streamed answer.
    #[must_use]
    pub fn last_event(&self) -> u32 {
        let text = self.text();
        let mut ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
        ids.next_back()
            .and_then(|id| id.parse().ok())
            .unwrap_or_default()
    }
}

/// Builds the body of a completion request.
#[must_use]
pub fn completion_body(model: &str, prompt: &str, tokens: u32, stream: bool) -> String {
    json!({ "model": model, "prompt": prompt, "max_tokens": tokens, "stream": stream }).to_string()
}

/// Returns the text that any engine generates for a prompt.
///
/// # Panics
///
/// Panics if the request is malformed, which it is not.
#[must_use]
pub fn expected_text(prompt: &str, tokens: u32) -> String {
    let body = completion_body("any", prompt, tokens, false);
    CompletionRequest::parse(body.as_bytes(), false)
        .expect("the request is well formed")
        .text(tokens)
}
