//! The HTTP interface for callers and operators.

mod addresses;
mod admin;
mod body;
mod completions;
mod forward;
mod json_size;
mod services;
mod sse;

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use cactuslane_config::document::hash_token;
use cactuslane_flight::ConnectionId;
use cactuslane_held::Reserved;
use cactuslane_types::CallerId;
use hyper::body::Incoming;
use hyper::{HeaderMap, Method, Request, Response};

use crate::documents::ConfigInForce;
use crate::metrics::AnswerLabels;
use crate::reply::{ApiError, Body, OUTCOME_HEADER, json_response};
use crate::shared::Shared;
use crate::traces::{Span, TRACEPARENT};

/// Header with the request id, on calls to plain services and on answers; callers may send it with
/// an id of their own. Answers of the paths that need no token and of the limit on requests in
/// progress lack it.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Maximum length of a request id that is taken over from a caller, in bytes.
const MAX_REQUEST_ID: usize = 128;

/// A request of an authenticated caller.
pub struct CallerRequest {
    /// State of the instance.
    pub shared: Arc<Shared>,
    /// Connection of the caller.
    pub connection: ConnectionId,
    /// Memory that is held for the parsed body.
    pub reserved: Option<Reserved>,
    /// Configuration that was in force when the request arrived and that applies until it ends.
    pub config: Arc<ConfigInForce>,
    /// Caller; for a forwarded request the one that the forwarding instance has authenticated.
    pub caller: CallerId,
    /// Request id that this instance has assigned; its first part names the instance. A valid id of
    /// the caller's own is appended.
    pub request_id: String,
    /// Span of the request, parent of the spans of its attempts.
    pub span: Span,
    /// Set once the idempotency key is known to be bound to this incarnation, whose table shows no
    /// earlier execution. Until then, the outcome `not-run` could be wrong for an earlier
    /// call with the key.
    pub key_verified: Arc<AtomicBool>,
    /// HTTP method.
    pub method: Method,
    /// Path with its query, as the caller sent it.
    pub path: String,
    /// Headers as the caller or the forwarding instance sent them.
    pub headers: HeaderMap,
}

/// Answers one HTTP request. Answers are counted, except those of the paths that need no token.
pub async fn handle(
    shared: Arc<Shared>,
    request: Request<Incoming>,
    connection: ConnectionId,
) -> Response<Body> {
    let path = request.uri().path().to_owned();
    if let Some(response) = admin::unauthenticated(&shared, request.method(), &path) {
        return response;
    }
    let id = request_id(&shared, request.headers());
    let span = shared.traces.begin("request", request.headers());
    span.set("request", id.clone());
    span.set("path", path.clone());
    let keyed =
        path.starts_with("/services/") && request.headers().contains_key(services::KEY_HEADER);
    let key_verified = Arc::new(AtomicBool::new(false));
    let result = route(
        &shared,
        request,
        &path,
        &id,
        (span, Arc::clone(&key_verified)),
        connection,
    )
    .await;
    let mut response = match result {
        Ok(response) => response,
        Err(error) if keyed && !key_verified.load(Ordering::Relaxed) => {
            error.response_with(error.keyed_outcome())
        }
        Err(error) => error.response(),
    };
    if let Ok(value) = id.parse() {
        response.headers_mut().insert(REQUEST_ID_HEADER, value);
    }
    count_answer(&shared, &response);
    response
}

/// Authenticates a request and passes it to its handler. The span and the flag `key_verified`
/// become part of the [`CallerRequest`].
async fn route(
    shared: &Arc<Shared>,
    request: Request<Incoming>,
    path: &str,
    id: &str,
    (span, key_verified): (Span, Arc<AtomicBool>),
    connection: ConnectionId,
) -> Result<Response<Body>, ApiError> {
    if path.starts_with("/v1/operator/") {
        return admin::operator(shared, request.headers(), path).await;
    }
    if let Some(error) = shared.refusal() {
        return Err(error);
    }
    let (parts, incoming) = request.into_parts();
    let config = shared.documents.config();
    let full_path = parts
        .uri
        .path_and_query()
        .map_or_else(String::new, ToString::to_string);
    let mut call = CallerRequest {
        shared: Arc::clone(shared),
        connection,
        reserved: None,
        config,
        caller: CallerId::new(),
        request_id: id.to_owned(),
        span,
        key_verified,
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
            Err(ApiError::WrongMethod)
        }
        (_, path) if path.starts_with("/services/") => services::handle(call, incoming).await,
        _ => Err(ApiError::NotFound(
            "there is nothing at this path".to_owned(),
        )),
    }
}

/// Returns the caller whose bearer token the request carries.
fn authenticate(call: &CallerRequest) -> Result<CallerId, ApiError> {
    let header = call
        .headers
        .get("authorization")
        .and_then(|value| value.to_str().ok());
    let token = header.and_then(|header| header.strip_prefix("Bearer "));
    let token = token.ok_or(ApiError::Unauthorized)?;
    call.config
        .tokens
        .get(&hash_token(token))
        .cloned()
        .ok_or(ApiError::Unauthorized)
}

/// Lists the models that the caller may use, in the format of the `OpenAI` API.
fn models(call: &CallerRequest) -> Response<Body> {
    let allowed = call.config.document.callers.get(&call.caller);
    let names = allowed
        .map(|caller| caller.models.clone())
        .unwrap_or_default();
    let model = |name: &String| serde_json::json!({ "id": name, "object": "model", "created": 0, "owned_by": "cactuslane" });
    let data: Vec<_> = names.iter().map(model).collect();
    json_response(200, &serde_json::json!({ "object": "list", "data": data }))
}

/// Returns a new request id. A valid id in the headers is appended to the one that this instance
/// assigns, after a `~`.
fn request_id(shared: &Shared, headers: &HeaderMap) -> String {
    let own = shared.next_request_id();
    let given = headers
        .get(REQUEST_ID_HEADER)
        .and_then(|value| value.to_str().ok());
    match given {
        Some(given) if is_valid_request_id(given) => format!("{own}~{given}"),
        _ => own,
    }
}

/// Returns whether a caller's request id may be taken over: 1 to [`MAX_REQUEST_ID`] ASCII letters,
/// digits and `-_.:`.
fn is_valid_request_id(id: &str) -> bool {
    let is_plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.:".contains(&byte);
    !id.is_empty() && id.len() <= MAX_REQUEST_ID && id.bytes().all(is_plain)
}

/// Counts an answer by its status and outcome; one without an outcome header counts as `answered`.
fn count_answer(shared: &Shared, response: &Response<Body>) {
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

/// Returns the name and value of the header that makes a target's or instance's span a child of
/// this span.
pub fn trace_header(span: &Span) -> (&'static str, String) {
    (TRACEPARENT, span.traceparent())
}
