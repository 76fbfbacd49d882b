//! Calls to plain services.

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

/// Header that carries the key of a call that may not be repeated.
pub const KEY_HEADER: &str = "idempotency-key";
/// Longest idempotency key, in bytes.
const MAX_KEY: usize = 512;
/// Headers of a call that are passed to the target.
const PASSED_HEADERS: [&str; 6] = [
    "content-type",
    "accept",
    "accept-language",
    "if-match",
    "if-none-match",
    KEY_HEADER,
];
/// Headers of an answer that are passed to the caller.
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
    /// The caller's request.
    pub request: CallerRequest,
    /// The service's name.
    pub service: String,
    /// The service.
    pub config: PlainService,
    /// The path at the target, with its query.
    pub path: String,
    /// The body.
    pub body: Bytes,
    /// Says whether the call may be repeated.
    pub repeatable: bool,
}

/// The whole answer of a target, with the headers that the caller gets.
#[derive(Clone, Debug)]
pub struct ServiceAnswer {
    /// The status.
    pub status: u16,
    /// Holds the headers.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Bytes,
}

/// Answers a call to a plain service.
pub async fn handle(
    request: CallerRequest,
    incoming: Incoming,
) -> Result<Response<Body>, ApiError> {
    let body = body::read(incoming, request.shared.settings.max_body).await?;
    execute(request, body).await
}

/// Executes a call whose body was read.
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

/// Sends a call on its way by whether it may be repeated.
async fn dispatch(call: ServiceCall) -> Result<Response<Body>, ApiError> {
    match call.key()? {
        Some(key) if !call.repeatable => {
            // The work goes on in a task of its own: a caller that hangs up neither stops it
            // half way nor loses its answer, which a retry gets.
            let task = tokio::spawn(keyed::execute(call, key));
            task.await
                .unwrap_or_else(|error| Err(ApiError::Broken(error.to_string())))
        }
        _ => Ok(attempt::execute(&call).await?.response()),
    }
}

/// Executes a call that another instance forwards, if it is the one that was proved.
pub async fn execute_forwarded(
    request: CallerRequest,
    body: Bytes,
    proven_hash: &[u8; 32],
) -> Result<Response<Body>, ApiError> {
    if hash(&request, &body) != *proven_hash {
        return Err(ApiError::Unauthorized);
    }
    // The forwarding instance has counted the call against the caller's limits.
    dispatch(ServiceCall::parse(request, body)?).await
}

impl ServiceCall {
    /// Finds the service that a path names, if the caller may use it.
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
        let plain = path.split('?').next().unwrap_or_default();
        let repeatable = config.may_repeat(request.method.as_str(), plain);
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

    /// Returns the idempotency key of the call.
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

    /// Returns the hash by which repetitions are recognised.
    pub fn hash(&self) -> [u8; 32] {
        hash(&self.request, &self.body)
    }

    /// Returns the longest time that the call may take.
    pub fn timeout(&self) -> Duration {
        self.config.timeout
    }

    /// Returns the headers that are passed to the target.
    pub fn passed_headers(&self) -> Vec<(&'static str, String)> {
        select_headers(&self.request.headers, &PASSED_HEADERS)
    }
}

impl ServiceAnswer {
    /// Takes over a target's answer.
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

/// Returns the hash of method, path, key and body.
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

/// Returns those of some headers that are present.
fn select_headers(headers: &HeaderMap, names: &[&'static str]) -> Vec<(&'static str, String)> {
    let mut selected = Vec::new();
    for name in names {
        if let Some(value) = headers.get(*name).and_then(|value| value.to_str().ok()) {
            selected.push((*name, value.to_owned()));
        }
    }
    selected
}
