//! Forwarding of keyed calls to the instance that may execute them.

use std::net::SocketAddr;
use std::time::Duration;

use cactuslane_member::Status;
use cactuslane_once::Claim;
use cactuslane_wire::Purpose;
use cactuslane_wire::token::{ForwardProof, decode, encode};
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::{HeaderMap, Response};

use super::services::{self, KEY_HEADER, ServiceCall};
use super::{Call, body, trace_header};
use crate::reply::{Body, Ending, OUTCOME_HEADER, full};
use crate::upstream;

/// Header that proves that a call comes from an instance of the deployment.
pub const FORWARD_HEADER: &str = "cactuslane-forward";
/// Largest answer that is passed on, in bytes.
const MAX_ANSWER: usize = 33 << 20;
/// Time added to a call's own for the hop between instances.
const HOP_TIME: Duration = Duration::from_secs(2);
/// Headers that are passed back to the caller.
const RETURNED: [&str; 5] = [
    "content-type",
    "etag",
    "location",
    "retry-after",
    OUTCOME_HEADER,
];

/// Forwards a call to the incarnation that its key is bound to.
pub async fn send(call: &ServiceCall, holder: &Claim) -> Result<Response<Body>, Ending> {
    let shared = &call.call.shared;
    if is_forwarded(&call.call.headers) {
        // Two instances that point at each other would forward for ever.
        return Err(Ending::HolderUnreachable);
    }
    let address = holder_address(call, holder).ok_or(Ending::AnswerUnknown)?;
    shared.metrics.forwarded.inc();
    let span = shared.traces.child("forward", &call.call.span);
    span.set("to", holder.instance.clone());
    let proof = ForwardProof {
        from: shared.settings.instance.clone(),
        from_incarnation: shared.incarnation,
        sequence: shared.next_forward(),
        to: holder.instance.clone(),
        to_incarnation: holder.incarnation,
        caller: call.call.caller.clone(),
        call_hash: call.hash(),
    };
    let proof = encode(&shared.key, Purpose::Forward, &proof);
    let key = call
        .call
        .headers
        .get(KEY_HEADER)
        .and_then(|value| value.to_str().ok());
    let (trace_name, trace) = trace_header(&span);
    let mut headers = vec![
        (FORWARD_HEADER, proof.as_str()),
        (trace_name, trace.as_str()),
    ];
    headers.push((KEY_HEADER, key.unwrap_or_default()));
    let content = call
        .call
        .headers
        .get("content-type")
        .and_then(|value| value.to_str().ok());
    headers.extend(content.map(|content| ("content-type", content)));
    let method = call.call.method.as_str();
    let request = upstream::request(
        method,
        address,
        &call.call.path,
        &headers,
        call.body.clone(),
    );
    let request = request.ok_or(Ending::HolderUnreachable)?;
    let wait = call.timeout() + HOP_TIME;
    let whole = upstream::whole(&shared.client, request, MAX_ANSWER, wait).await;
    let whole = whole.map_err(|_| Ending::HolderUnreachable)?;
    let mut builder = Response::builder().status(whole.status);
    for name in RETURNED {
        if let Some(value) = whole.headers.get(name) {
            builder = builder.header(name, value);
        }
    }
    builder
        .body(full(whole.body))
        .map_err(|_| Ending::HolderUnreachable)
}

/// Takes in a call that another instance forwards.
pub async fn accept(
    mut call: Call,
    proof: &HeaderValue,
    incoming: Incoming,
) -> Result<Response<Body>, Ending> {
    let shared = call.shared.clone();
    let text = proof.to_str().map_err(|_| Ending::Unauthorized)?;
    let proof: ForwardProof =
        decode(&shared.key, Purpose::Forward, text).map_err(|_| Ending::Unauthorized)?;
    if proof.to != shared.settings.instance {
        return Err(Ending::Unauthorized);
    }
    if proof.to_incarnation != shared.incarnation {
        // The incarnation that may execute the call is gone, with what it knew.
        return Err(Ending::AnswerUnknown);
    }
    let body = body::read(incoming, shared.settings.max_body).await?;
    call.caller.clone_from(&proof.caller);
    call.span.set("caller", proof.caller);
    call.span.set("forwarded_by", proof.from);
    services::execute_forwarded(call, body, &proof.call_hash).await
}

/// Returns the address of an incarnation; none if it is known to be gone.
fn holder_address(call: &ServiceCall, holder: &Claim) -> Option<SocketAddr> {
    let members = call.call.shared.members();
    let record = members.record(&holder.instance)?;
    let same = record.incarnation == holder.incarnation;
    let there = record.status != Status::Gone && record.serving.port() != 0;
    (same && there).then_some(record.serving)
}

/// Returns whether a call was forwarded by another instance.
fn is_forwarded(headers: &HeaderMap) -> bool {
    headers.contains_key(FORWARD_HEADER)
}
