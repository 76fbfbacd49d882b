//! Calls to plain services, which are targets other than model engines.

mod attempt;
mod keyed;

use std::time::Duration;

use cactuslane_config::PlainService;
use hyper::body::{Bytes, Incoming};
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Response};
use sha2::{Digest, Sha256};

use super::completions::Admission;
use super::{CallerRequest, body};
use crate::reply::{ApiError, Body, full};

/// Header with the idempotency key of a call. It limits a call that may not be repeated to at most
/// one execution; the key of any call is passed to the target.
pub const KEY_HEADER: &str = "idempotency-key";
/// Maximum length of an idempotency key, in bytes.
const MAX_KEY: usize = 512;
/// Headers of a call that are passed to the target; all others are dropped.
const PASSED_HEADERS: [&str; 6] = [
    "content-type",
    "accept",
    "accept-language",
    "if-match",
    "if-none-match",
    KEY_HEADER,
];
/// Headers of an answer that are passed to the caller; all others are dropped.
const RETURNED_HEADERS: [&str; 6] = [
    "content-type",
    "etag",
    "last-modified",
    "location",
    "cache-control",
    "retry-after",
];

/// A call to a plain service.
pub struct ServiceCall {
    /// Request as it came from the caller or the forwarding instance.
    pub request: CallerRequest,
    /// Name of the service.
    pub service: String,
    /// Configuration of the service.
    pub config: PlainService,
    /// Path at the target, with its query.
    pub path: String,
    /// Whole body, kept for further attempts.
    pub body: Bytes,
    /// Whether the call may be executed more than once, by the configuration of the service.
    pub repeatable: bool,
}

/// The complete answer of a target, with the headers that are passed to the caller.
#[derive(Clone, Debug)]
pub struct ServiceAnswer {
    /// HTTP status.
    pub status: u16,
    /// Names and values of the headers in [`RETURNED_HEADERS`].
    pub headers: Vec<(String, String)>,
    /// Complete body.
    pub body: Bytes,
}

/// Answers a call to a plain service.
pub async fn handle(
    request: CallerRequest,
    incoming: Incoming,
) -> Result<Response<Body>, ApiError> {
    let body = body::read(
        &request.shared.held,
        request.connection,
        incoming,
        request.shared.settings.max_body,
    )
    .await?;
    execute(request, body).await
}

/// Executes a call within the limits of its caller.
async fn execute(request: CallerRequest, body: Bytes) -> Result<Response<Body>, ApiError> {
    let call = ServiceCall::parse(request, body)?;
    let caller = call
        .request
        .config
        .document
        .callers
        .get(&call.request.caller);
    let caller = caller.ok_or(ApiError::Unauthorized)?;
    let _admission = Admission::acquire(&call.request.shared, &call.request.caller, caller, 0.0)?;
    dispatch(call).await
}

/// Executes a call with an idempotency key at most once if it may not be repeated, and any other
/// call directly.
async fn dispatch(call: ServiceCall) -> Result<Response<Body>, ApiError> {
    match call.key()? {
        Some(key) if !call.repeatable => {
            // The call runs in its own task: a caller that disconnects does not stop it half-way,
            // and a retry with the same key gets its answer.
            let task = tokio::spawn(keyed::execute(call, key));
            task.await
                .unwrap_or_else(|error| Err(ApiError::Broken(error.to_string())))
        }
        _ => Ok(attempt::execute(&call).await?.response()),
    }
}

/// Executes a call that another instance has forwarded, if it has the hash in the proof.
pub async fn execute_forwarded(
    request: CallerRequest,
    body: Bytes,
    proven_hash: &[u8; 32],
) -> Result<Response<Body>, ApiError> {
    if hash(&request, &body) != *proven_hash {
        return Err(ApiError::Unauthorized);
    }
    // The forwarding instance has already counted the call in the caller's limits.
    dispatch(ServiceCall::parse(request, body)?).await
}

impl ServiceCall {
    /// Parses the path, which names the service after `/services/`, and finds the service, if the
    /// caller may use it.
    fn parse(request: CallerRequest, body: Bytes) -> Result<Self, ApiError> {
        let rest = request.path.strip_prefix("/services/").unwrap_or_default();
        let end = rest.find(['/', '?']).unwrap_or(rest.len());
        let (name, path) = rest.split_at(end);
        let path = if path.starts_with('/') {
            path.to_owned()
        } else {
            format!("/{path}")
        };
        let unknown = || ApiError::NotFound(format!("the service `{name}` does not exist"));
        let document = &request.config.document;
        let caller = document.callers.get(&request.caller).ok_or_else(unknown)?;
        if !caller.services.iter().any(|service| service == name) {
            return Err(unknown());
        }
        let config = document.services.get(name).cloned().ok_or_else(unknown)?;
        let path_without_query = path.split('?').next().unwrap_or_default();
        let repeatable = config.may_repeat(request.method.as_str(), path_without_query);
        let service = name.to_owned();
        Ok(Self {
            request,
            service,
            config,
            path,
            body,
            repeatable,
        })
    }

    /// Returns the idempotency key of the call, if it has one.
    fn key(&self) -> Result<Option<String>, ApiError> {
        let Some(value) = self.request.headers.get(KEY_HEADER) else {
            return Ok(None);
        };
        let key = value.to_str().unwrap_or_default();
        if key.is_empty() || key.len() > MAX_KEY {
            let message = format!("`{KEY_HEADER}` is empty, too long or no plain text");
            return Err(ApiError::BadRequest(message));
        }
        Ok(Some(key.to_owned()))
    }

    /// Returns the hash of method, path, key and body, by which repetitions of the call are
    /// recognised.
    pub fn hash(&self) -> [u8; 32] {
        hash(&self.request, &self.body)
    }

    /// Returns the time limit of all attempts of the call, from the start of the first one.
    pub fn timeout(&self) -> Duration {
        self.config.timeout
    }

    /// Returns the headers that are passed to the target.
    pub fn passed_headers(&self) -> Vec<(&'static str, String)> {
        select_headers(&self.request.headers, &PASSED_HEADERS)
    }
}

impl ServiceAnswer {
    /// Creates the answer from a target's response, without the headers that are not passed on.
    pub fn new(status: u16, headers: &HeaderMap, body: Bytes) -> Self {
        let headers = select_headers(headers, &RETURNED_HEADERS);
        let headers = headers
            .into_iter()
            .map(|(name, value)| (name.to_owned(), value))
            .collect();
        Self {
            status,
            headers,
            body,
        }
    }

    /// Builds the answer to the caller.
    pub fn response(&self) -> Response<Body> {
        let mut builder = Response::builder().status(self.status);
        for (name, value) in &self.headers {
            builder = builder.header(name, value);
        }
        let response = builder.body(full(self.body.clone()));
        response.unwrap_or_else(|error| ApiError::Broken(error.to_string()).response())
    }
}

/// Returns the SHA-256 hash of method, path, key and body, each preceded by its length so that the
/// parts cannot be confused.
fn hash(request: &CallerRequest, body: &Bytes) -> [u8; 32] {
    let key = request
        .headers
        .get(KEY_HEADER)
        .map(HeaderValue::as_bytes)
        .unwrap_or_default();
    let mut hasher = Sha256::new();
    for part in [
        request.method.as_str().as_bytes(),
        request.path.as_bytes(),
        key,
        body,
    ] {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    hasher.finalize().into()
}

/// Returns the headers with the given names that are present and are visible ASCII.
fn select_headers(headers: &HeaderMap, names: &[&'static str]) -> Vec<(&'static str, String)> {
    let mut selected = Vec::new();
    for name in names {
        if let Some(value) = headers.get(*name).and_then(|value| value.to_str().ok()) {
            selected.push((*name, value.to_owned()));
        }
    }
    selected
}
