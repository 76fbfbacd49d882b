//! Paths for operators and monitoring, and the explanation of a caller's own requests.

use std::sync::Arc;
use std::time::Duration;

use cactuslane_authority::{keys, ownership};
use cactuslane_config::document::hash_token;
use hyper::body::Bytes;
use hyper::{HeaderMap, Method, Response};
use serde_json::{Value, json};

use super::CallerRequest;
use crate::reply::{ApiError, Body, full, json_response};
use crate::shared::Shared;
use crate::upstream::{self, FullResponse};

/// Header of a request for an explanation that an instance has passed on; its receiver does not
/// pass it on again.
const HOP_HEADER: &str = "cactuslane-hop";
/// Maximum time for an explanation from another instance.
const HOP_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum size of an explanation from another instance, in bytes.
const MAX_EXPLANATION: usize = 1 << 20;

/// Answers `/healthz`, `/readyz` and `/metrics`, which need no token; returns `None` for any other
/// request.
pub fn unauthenticated(shared: &Shared, method: &Method, path: &str) -> Option<Response<Body>> {
    if method != Method::GET {
        return None;
    }
    match path {
        "/healthz" => Some(json_response(200, &json!({ "status": "ok" }))),
        "/readyz" => Some(match shared.refusal() {
            None if shared.is_leaving() => ApiError::Leaving.response(),
            None => json_response(200, &json!({ "status": "ready" })),
            Some(error) => error.response(),
        }),
        "/metrics" => {
            let text = Bytes::from(shared.metrics.text(&shared.store, &shared.held));
            let kind = "application/openmetrics-text; version=1.0.0; charset=utf-8";
            let response = Response::builder()
                .header("content-type", kind)
                .body(full(text));
            response.ok()
        }
        _ => None,
    }
}

/// Answers the paths under `/v1/operator/`, which need the operator token of the settings.
pub async fn operator(
    shared: &Arc<Shared>,
    headers: &HeaderMap,
    path: &str,
) -> Result<Response<Body>, ApiError> {
    let header = headers
        .get("authorization")
        .and_then(|value| value.to_str().ok());
    let token = header.and_then(|header| header.strip_prefix("Bearer "));
    let hash = token.map(hash_token);
    if hash.is_none() || hash != shared.settings.operator_sha256 {
        return Err(ApiError::Unauthorized);
    }
    let unknown = || ApiError::NotFound("there is nothing at this path".to_owned());
    match path.strip_prefix("/v1/operator/") {
        Some("status") => Ok(json_response(200, &status(shared).await)),
        Some(rest) => match rest.split_once('/') {
            Some(("target", target)) => {
                Ok(json_response(200, &explain_target(shared, target).await))
            }
            Some(("request", id)) => Ok(json_response(200, &explanation(shared, id))),
            _ => Err(unknown()),
        },
        None => Err(unknown()),
    }
}

/// Explains a request that the caller sent earlier, from the spans of the instance that served it.
///
/// The first part of the request id names that instance. Requests of other callers are answered as
/// unknown.
pub async fn explain(call: &CallerRequest, path: &str) -> Result<Response<Body>, ApiError> {
    let id = path.trim_start_matches("/v1/explain/");
    let unknown = || ApiError::NotFound(format!("the request `{id}` is not known any more"));
    let instance = id.split('.').next().unwrap_or_default();
    let here = instance == call.shared.settings.instance;
    if !here && !call.headers.contains_key(HOP_HEADER) {
        let unreachable = || {
            ApiError::NotFound(format!(
                "the instance `{instance}` that served `{id}` gave no explanation; ask again"
            ))
        };
        return ask_instance(call, instance, path)
            .await
            .ok_or_else(unreachable);
    }
    let explanation = explanation(&call.shared, id);
    let spans = explanation["spans"].as_array().cloned().unwrap_or_default();
    let owns_request = spans
        .iter()
        .any(|span| span["attributes"]["caller"] == call.caller.as_str());
    if !owns_request {
        return Err(unknown());
    }
    Ok(json_response(200, &explanation))
}

/// Passes a request for an explanation on to the instance that served the explained request.
/// Returns `None` if that instance gives no explanation.
async fn ask_instance(call: &CallerRequest, instance: &str, path: &str) -> Option<Response<Body>> {
    let address = call.shared.members().record(instance)?.serving;
    let token = call.headers.get("authorization")?.to_str().ok()?;
    let headers = [("authorization", token), (HOP_HEADER, "1")];
    let request = upstream::request("GET", address, path, &headers, Bytes::new())?;
    let client = &call.shared.client;
    let response = upstream::send_and_collect(client, request, MAX_EXPLANATION, HOP_TIMEOUT)
        .await
        .and_then(FullResponse::require_framing)
        .ok()?;
    let value: Value = serde_json::from_slice(&response.body).ok()?;
    (response.status == 200).then(|| json_response(200, &value))
}

/// Builds the explanation of a request from the ended spans of its trace that this instance still
/// holds.
fn explanation(shared: &Shared, id: &str) -> Value {
    json!({
        "request": id,
        "instance": shared.settings.instance,
        "spans": shared.traces.of_request(id),
    })
}

/// Builds the status of the fleet as this instance sees it.
async fn status(shared: &Shared) -> Value {
    let owners = owners(shared).await;
    let members: Vec<Value> = shared
        .members()
        .records()
        .map(|record| {
            json!({
                "instance": record.id,
                "status": format!("{:?}", record.status).to_lowercase(),
                "failure_domain": record.domain,
                "incarnation": record.incarnation,
                "config": record.revisions.config,
                "plan": record.revisions.plan,
                "serving": record.serving.to_string(),
            })
        })
        .collect();
    let plan = shared.documents.plan();
    let routing = shared.routing();
    let mut targets: Vec<Value> = Vec::new();
    for (id, target) in routing.targets() {
        let facts = routing
            .routers
            .get(&target.service)
            .and_then(|router| router.fleet.target(id))
            .map(|known| (known.facts.serving, known.facts.role.as_str()));
        let planned = plan.plan.targets.get(id);
        targets.push(json!({
            "target": id,
            "service": target.service,
            "failure_domain": target.domain,
            "leaving": target.leaving,
            "serving": facts.map(|(serving, _)| serving),
            "role": facts.map(|(_, role)| role),
            "planned": planned.map(|planned| planned.reason.clone()),
        }));
    }
    drop(routing);
    let standing = shared.refusal().map_or("serves", |error| error.row().0);
    json!({
        "instance": shared.settings.instance,
        "standing": standing,
        "leaving": shared.is_leaving(),
        "revision": shared.documents.config().revision,
        "plan": plan.revision,
        "members": members,
        "targets": targets,
        "owned": shared.authority().owned(),
        "owners": owners,
    })
}

/// Returns the owner of each shard as stored in the key-value service, with its fencing token, the
/// revision at which the record was created; null if the service does not answer.
async fn owners(shared: &Shared) -> Value {
    let Ok(found) = shared.store.range(keys::OWNERS).await else {
        return Value::Null;
    };
    let mut owners = serde_json::Map::new();
    for record in &found {
        let name = record.key.trim_start_matches(keys::OWNERS).to_owned();
        let mut owner = parse_value(&record.value);
        owner["fencing"] = json!(record.created);
        owners.insert(name, owner);
    }
    Value::Object(owners)
}

/// Explains the orders for a target: its entry in the plan, its records in the key-value service,
/// and the authority task's notes on its orders, which only the owner of its shard has.
async fn explain_target(shared: &Shared, target: &str) -> Value {
    let plan = shared.documents.plan();
    let mut records = serde_json::Map::new();
    for (name, key) in [
        ("owner", keys::owner(&ownership::shard_of(target))),
        ("hold", keys::hold(target)),
        ("last_order", keys::intent(target)),
    ] {
        let record = shared.store.get(&key).await.ok().flatten();
        records.insert(
            name.to_owned(),
            record.map_or(Value::Null, |r| parse_value(&r.value)),
        );
    }
    json!({
        "target": target,
        "planned": plan.plan.targets.get(target),
        "plan_revision": plan.revision,
        "records": records,
        "orders": shared.authority().explain(target),
    })
}

/// Parses the value of a record; returns null if it is not JSON.
fn parse_value(value: &[u8]) -> Value {
    serde_json::from_slice(value).unwrap_or(Value::Null)
}
