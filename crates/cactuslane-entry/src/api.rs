//! The interface for callers and operators.

mod addresses;
mod admin;
mod body;
mod completions;
mod forward;
mod services;
mod sse;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use cactuslane_config::document::hash_token;
use cactuslane_types::CallerId;
use hyper::body::Incoming;
use hyper::{HeaderMap, Method, Request, Response};

use crate::documents::Config;
use crate::metrics::AnswerLabels;
use crate::reply::{Body, Ending, OUTCOME_HEADER, json_response};
use crate::shared::Shared;
use crate::traces::{Span, TRACEPARENT};

/// Header that identifies a request.
pub const REQUEST_HEADER: &str = "x-request-id";
/// Longest request id of a caller that is taken over, in bytes.
const MAX_REQUEST_ID: usize = 128;

/// A request of a known caller.
pub struct Call {
    /// The state of the instance.
    pub shared: Arc<Shared>,
    /// The configuration under which it is served.
    pub config: Arc<Config>,
    /// The caller.
    pub caller: CallerId,
    /// Identifies the request.
    pub request: String,
    /// The request's span.
    pub span: Span,
    /// Says whether the idempotency key was looked up where it is bound, so that `not-run` is true.
    pub looked_up: Arc<AtomicBool>,
    /// The method.
    pub method: Method,
    /// The path with its query.
    pub path: String,
    /// Holds the headers.
    pub headers: HeaderMap,
}

/// Answers one request.
pub async fn handle(shared: Arc<Shared>, request: Request<Incoming>) -> Response<Body> {
    let path = request.uri().path().to_owned();
    if let Some(response) = admin::open(&shared, request.method(), &path) {
        return response;
    }
    let id = request_id(&shared, request.headers());
    let span = shared.traces.begin("request", request.headers());
    span.set("request", id.clone());
    span.set("path", path.clone());
    let keyed =
        path.starts_with("/services/") && request.headers().contains_key(services::KEY_HEADER);
    let looked_up = Arc::new(AtomicBool::new(false));
    let result = route(&shared, request, &path, &id, (span, Arc::clone(&looked_up))).await;
    let mut response = match result {
        Ok(response) => response,
        Err(ending) if keyed && !looked_up.load(Ordering::Relaxed) => {
            ending.response_with(ending.keyed_outcome())
        }
        Err(ending) => ending.response(),
    };
    if let Ok(value) = id.parse() {
        response.headers_mut().insert(REQUEST_HEADER, value);
    }
    count(&shared, &response);
    response
}

/// Authenticates a request and passes it to its handler.
async fn route(
    shared: &Arc<Shared>,
    request: Request<Incoming>,
    path: &str,
    id: &str,
    (span, looked_up): (Span, Arc<AtomicBool>),
) -> Result<Response<Body>, Ending> {
    if path.starts_with("/v1/operator/") {
        return admin::operator(shared, request.headers(), path).await;
    }
    if let Some(ending) = shared.refusal() {
        return Err(ending);
    }
    let (parts, incoming) = request.into_parts();
    let config = shared.documents.config();
    let full_path = parts
        .uri
        .path_and_query()
        .map_or_else(String::new, ToString::to_string);
    let mut call = Call {
        shared: Arc::clone(shared),
        config,
        caller: CallerId::new(),
        request: id.to_owned(),
        span,
        looked_up,
        method: parts.method,
        path: full_path,
        headers: parts.headers,
    };
    if let Some(proof) = call.headers.get(forward::FORWARD_HEADER).cloned() {
        return forward::accept(call, &proof, incoming).await;
    }
    call.caller = authenticate(&call)?;
    call.span.set("caller", call.caller.clone());
    let chat = path == "/v1/chat/completions";
    match (&call.method, path) {
        (&Method::GET, "/v1/models") => Ok(models(&call)),
        (&Method::GET, "/v1/addresses") => Ok(addresses::answer(&call)),
        (&Method::GET, path) if path.starts_with("/v1/explain/") => {
            admin::explain(&call, path).await
        }
        (&Method::POST, "/v1/chat/completions" | "/v1/completions") => {
            completions::handle(call, incoming, chat).await
        }
        (_, "/v1/models" | "/v1/addresses" | "/v1/chat/completions" | "/v1/completions") => {
            Err(Ending::WrongMethod)
        }
        (_, path) if path.starts_with("/services/") => services::handle(call, incoming).await,
        _ => Err(Ending::NotFound("there is nothing at this path".to_owned())),
    }
}

/// Returns the caller whose token the request carries.
fn authenticate(call: &Call) -> Result<CallerId, Ending> {
    let header = call
        .headers
        .get("authorization")
        .and_then(|value| value.to_str().ok());
    let token = header.and_then(|header| header.strip_prefix("Bearer "));
    let token = token.ok_or(Ending::Unauthorized)?;
    call.config
        .tokens
        .get(&hash_token(token))
        .cloned()
        .ok_or(Ending::Unauthorized)
}

/// Lists the models that the caller may use.
fn models(call: &Call) -> Response<Body> {
    let allowed = call.config.document.callers.get(&call.caller);
    let names = allowed
        .map(|caller| caller.models.clone())
        .unwrap_or_default();
    let model = |name: &String| serde_json::json!({ "id": name, "object": "model", "created": 0, "owned_by": "cactuslane" });
    let data: Vec<_> = names.iter().map(model).collect();
    json_response(200, &serde_json::json!({ "object": "list", "data": data }))
}

/// Returns the id of a request: the caller's own where it is fit, prefixed with ours.
fn request_id(shared: &Shared, headers: &HeaderMap) -> String {
    let own = shared.next_request_id();
    let given = headers
        .get(REQUEST_HEADER)
        .and_then(|value| value.to_str().ok());
    match given {
        Some(given) if is_fit(given) => format!("{own}~{given}"),
        _ => own,
    }
}

/// Returns whether a caller's request id may be taken over.
fn is_fit(id: &str) -> bool {
    let is_plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.:".contains(&byte);
    !id.is_empty() && id.len() <= MAX_REQUEST_ID && id.bytes().all(is_plain)
}

/// Counts an answer.
fn count(shared: &Shared, response: &Response<Body>) {
    let outcome = match response
        .headers()
        .get(OUTCOME_HEADER)
        .map(hyper::http::HeaderValue::as_bytes)
    {
        Some(b"not-run") => "not-run",
        Some(_) => "unknown",
        None => "answered",
    };
    let labels = AnswerLabels {
        status: response.status().as_u16(),
        outcome,
    };
    shared.metrics.answers.get_or_create(&labels).inc();
}

/// Returns the header that passes a span's context on.
pub fn trace_header(span: &Span) -> (&'static str, String) {
    (TRACEPARENT, span.traceparent())
}
