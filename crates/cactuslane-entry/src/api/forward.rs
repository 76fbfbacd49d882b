//! Forwarding of calls with an idempotency key to the only instance that may execute them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use cactuslane_member::Status;
use cactuslane_once::Claim;
use cactuslane_types::Revision;
use cactuslane_wire::Purpose;
use cactuslane_wire::token::{ForwardProof, decode, encode};
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Response};
use tokio::time::timeout;

use super::services::{self, KEY_HEADER, ServiceCall};
use super::{CallerRequest, body, trace_header};
use crate::documents::ConfigInForce;
use crate::reply::{ApiError, Body, OUTCOME_HEADER, full};
use crate::shared::Shared;
use crate::upstream::{self, FullResponse};

/// Header with the proof that a call comes from an instance of the same deployment.
pub const FORWARD_HEADER: &str = "cactuslane-forward";
/// Header with the revision of the configuration by which the forwarding instance has decided.
const REVISION_HEADER: &str = "cactuslane-config-revision";
/// Longest time for which a forwarded call waits until that configuration is in force here; within
/// [`HOP_ALLOWANCE`], so that the forwarding instance still gets the answer.
const CONFIG_WAIT: Duration = Duration::from_secs(1);
/// Maximum size of an answer that is passed back, in bytes: 1 MiB more than that of a target.
const MAX_ANSWER: usize = 33 << 20;
/// Time for the hop between instances, added to the time-out of the call.
const HOP_ALLOWANCE: Duration = Duration::from_secs(2);
/// Headers that are passed back to the caller.
const RETURNED_HEADERS: [&str; 5] = [
    "content-type",
    "etag",
    "location",
    "retry-after",
    OUTCOME_HEADER,
];

/// Forwards a call to the incarnation that its key is bound to, and passes the answer back.
pub async fn send(call: &ServiceCall, holder: &Claim) -> Result<Response<Body>, ApiError> {
    let shared = &call.request.shared;
    if is_forwarded(&call.request.headers) {
        // A forwarded call is not forwarded again: two instances that take each other for the
        // holder would forward it for ever.
        return Err(ApiError::HolderUnreachable);
    }
    let address = holder_address(call, holder).ok_or(ApiError::AnswerUnknown)?;
    shared.metrics.forwarded.inc();
    let span = shared.traces.child("forward", &call.request.span);
    span.set("to", holder.instance.clone());
    let proof = ForwardProof {
        from: shared.settings.instance.clone(),
        from_incarnation: shared.incarnation,
        sequence: shared.next_forward_sequence(),
        to: holder.instance.clone(),
        to_incarnation: holder.incarnation,
        caller: call.request.caller.clone(),
        call_hash: call.hash(),
    };
    let proof = encode(&shared.key, Purpose::Forward, &proof);
    let key = call
        .request
        .headers
        .get(KEY_HEADER)
        .and_then(|value| value.to_str().ok());
    let (trace_name, trace) = trace_header(&span);
    let revision = call.request.config.revision.to_string();
    let mut headers = vec![
        (FORWARD_HEADER, proof.as_str()),
        (REVISION_HEADER, revision.as_str()),
        (trace_name, trace.as_str()),
    ];
    headers.push((KEY_HEADER, key.unwrap_or_default()));
    let content = call
        .request
        .headers
        .get("content-type")
        .and_then(|value| value.to_str().ok());
    headers.extend(content.map(|content| ("content-type", content)));
    let method = call.request.method.as_str();
    let request = upstream::request(
        method,
        address,
        &call.request.path,
        &headers,
        call.body.clone(),
    );
    let request = request.ok_or(ApiError::HolderUnreachable)?;
    let wait = call.timeout() + HOP_ALLOWANCE;
    let response = upstream::send_and_collect(&shared.client, request, MAX_ANSWER, wait).await;
    let response = response.and_then(FullResponse::require_framing);
    let response = response.map_err(|_| ApiError::HolderUnreachable)?;
    let mut builder = Response::builder().status(response.status);
    for name in RETURNED_HEADERS {
        if let Some(value) = response.headers.get(name) {
            builder = builder.header(name, value);
        }
    }
    builder
        .body(full(response.body))
        .map_err(|_| ApiError::HolderUnreachable)
}

/// Verifies and executes a call that another instance has forwarded, once the configuration by which
/// that one has decided is in force here.
pub async fn accept(
    mut call: CallerRequest,
    proof: &HeaderValue,
    incoming: Incoming,
) -> Result<Response<Body>, ApiError> {
    let shared = call.shared.clone();
    let text = proof.to_str().map_err(|_| ApiError::Unauthorized)?;
    let proof: ForwardProof =
        decode(&shared.key, Purpose::Forward, text).map_err(|_| ApiError::Unauthorized)?;
    if proof.to != shared.settings.instance {
        return Err(ApiError::Unauthorized);
    }
    if proof.to_incarnation != shared.incarnation {
        // The incarnation that may execute the call has ended, and its table of calls is lost.
        return Err(ApiError::AnswerUnknown);
    }
    let body = body::read(
        &shared.held,
        call.connection,
        incoming,
        shared.settings.max_body,
    )
    .await?;
    call.caller.clone_from(&proof.caller);
    call.span.set("caller", proof.caller);
    call.span.set("forwarded_by", proof.from);
    let stated = stated_revision(&call.headers);
    call.config = config_since(&shared, stated).await?;
    call.span
        .set("config_revision", call.config.revision.to_string());
    match services::execute_forwarded(call, body, &proof.call_hash).await {
        // Nothing shows that the configuration here is no older than that of the forwarding instance.
        Err(ApiError::NotFound(_)) if stated.is_none() => Err(ApiError::NotConfigured),
        result => result,
    }
}

/// Returns the revision of the configuration by which the forwarding instance has decided; `None` if
/// it states none, as earlier builds do not.
fn stated_revision(headers: &HeaderMap) -> Option<Revision> {
    headers.get(REVISION_HEADER)?.to_str().ok()?.parse().ok()
}

/// Returns the configuration in force once its revision is at least the stated one.
///
/// Only this instance may execute the call, so that it waits for the configuration.
async fn config_since(
    shared: &Shared,
    stated: Option<Revision>,
) -> Result<Arc<ConfigInForce>, ApiError> {
    let wanted = stated.unwrap_or_default();
    let waiting = async {
        loop {
            let changed = shared.documents_changed.notified();
            tokio::pin!(changed);
            // Registers for changes before the document is read, so that none in between is missed.
            changed.as_mut().enable();
            let config = shared.documents.config();
            if config.revision >= wanted {
                return config;
            }
            changed.await;
        }
    };
    timeout(CONFIG_WAIT, waiting).await.map_err(|_| {
        let revision = shared.documents.config().revision;
        log::warn!("forwarded call refused: configuration {wanted} is not in force, {revision} is");
        ApiError::NotConfigured
    })
}

/// Returns the address at which an incarnation serves callers; `None` if the incarnation has ended,
/// its instance is gone or its address is not known.
fn holder_address(call: &ServiceCall, holder: &Claim) -> Option<SocketAddr> {
    let members = call.request.shared.members();
    let record = members.record(&holder.instance)?;
    let same = record.incarnation == holder.incarnation;
    let reachable = record.status != Status::Gone && record.serving.port() != 0;
    (same && reachable).then_some(record.serving)
}

/// Returns whether a call has the header of a forwarded call.
fn is_forwarded(headers: &HeaderMap) -> bool {
    headers.contains_key(FORWARD_HEADER)
}
