//! Where a request would go now, and why, without sending it.

use std::sync::{Mutex, PoisonError};

use cactuslane_flight::origin::StreamOrigin;
use cactuslane_flight::routing_config::RoutingConfig;
use cactuslane_flight::target::Target;
use cactuslane_held::NO_CONNECTION;
use cactuslane_place::{Candidate, Decision, Placement, Preview, Verdict};
use cactuslane_platform::exchange;
use cactuslane_types::Millis;
use hyper::body::Bytes;
use hyper::header::HOST;
use hyper::{Request, StatusCode, Uri};
use log::info;
use serde_json::{Value, json};
use tokio::time::Instant;

use crate::admission::cause_label;
use crate::crashes;
use crate::customers;
use crate::fleet::Fleet;
use crate::generation::{eligible, placement_request, time_to_first};
use crate::request::CallerRequest;
use crate::state::Gateway;

/// What stands before the path of the request that is asked about.
pub const PREFIX: &str = "/preview/";
/// Time between two answers, as each copies the state of the placer, in milliseconds.
const INTERVAL: Millis = 500;
/// Largest number of routes that an error names.
const MAX_NAMED: usize = 10;

/// Reason why there is no preview, with the status of the answer.
type Unanswered = (StatusCode, String);

/// Returns what would become of a request with the head of `asked`, whose path begins with
/// [`PREFIX`], for each service of its route.
///
/// # Errors
///
/// Returns the status and a message if the head is malformed or fits no route, if no configuration is
/// known, or if another preview was answered just now.
pub fn preview<B>(gateway: &Gateway, asked: &Request<B>) -> Result<Value, Unanswered> {
    let uri = requested_uri(asked.uri())?;
    let Some(config) = gateway.routing_config() else {
        let message = "the instance knows no configuration yet; ask again once it is ready";
        return Err((StatusCode::SERVICE_UNAVAILABLE, message.to_owned()));
    };
    let host = asked
        .headers()
        .get(HOST)
        .and_then(|host| host.to_str().ok());
    let host = host
        .and_then(|host| host.split(':').next())
        .unwrap_or_default();
    let Some(route) = config.find_route(host, uri.path()).cloned() else {
        return Err((StatusCode::NOT_FOUND, no_route(&config, host, uri.path())));
    };
    if route.stream
        && let Err(error) = exchange::stream_place(asked.headers())
    {
        let message = format!("{}, so that the request is refused", error.reason());
        return Err((StatusCode::BAD_REQUEST, message));
    }
    let info = exchange::request_info(asked.headers());
    if info.last_event.is_some() || info.resumes.is_some() {
        let message = "a stream that goes on depends on where it began, which other instances are asked \
                       for; leave out the headers that name an event";
        return Err((StatusCode::BAD_REQUEST, message.to_owned()));
    }
    take_turn(gateway)?;
    let caller = customers::identify(&config, &route, asked.headers());
    let denied = caller.as_ref().err().map(|denial| denial.cause());
    let (customer, priority) = match caller {
        Ok(caller) => (caller.customer, caller.priority),
        Err(_) => (None, route.priority),
    };
    let mut services = Vec::new();
    for (service, weight) in &route.services {
        let request = CallerRequest {
            info: info.clone(),
            route: route.clone(),
            customer: customer.clone(),
            priority,
            service: service.clone(),
            config: config.clone(),
            method: asked.method().clone(),
            uri: uri.clone(),
            headers: asked.headers().clone(),
            body: Bytes::new(),
            connection: NO_CONNECTION,
            arrived: Instant::now(),
            taken: None,
            targets: Mutex::default(),
        };
        let mut value = preview_service(gateway, &request, denied);
        value["weight"] = json!(weight);
        services.push(value);
    }
    let outcomes: Vec<&Value> = services.iter().map(|value| &value["outcome"]).collect();
    info!(route = route.name, outcomes:? = outcomes; "placement previewed");
    Ok(json!({
        "instance": gateway.settings().instance,
        "configuration": config.version,
        "route": route.name,
        "customer": customer,
        "priority": priority,
        "ages_ms": ages(gateway),
        "services": services,
    }))
}

/// Returns the URI of the request that is asked about.
fn requested_uri(uri: &Uri) -> Result<Uri, Unanswered> {
    let text = uri.path_and_query().map_or("", |path| path.as_str());
    // The slash at the end of the prefix begins the path.
    let path = text.get(PREFIX.len() - 1..).unwrap_or_default();
    path.parse().map_err(|error| {
        let message = format!("`{path}` is no path of a request: {error}");
        (StatusCode::BAD_REQUEST, message)
    })
}

/// Returns the message that no route fits, with the routes that there are.
fn no_route(config: &RoutingConfig, host: &str, path: &str) -> String {
    let mut routes = Vec::new();
    for route in config.routes.iter().take(MAX_NAMED) {
        routes.push(format!("{}{}", route.host, route.prefix));
    }
    let more = config.routes.len().saturating_sub(MAX_NAMED);
    format!(
        "no route of configuration {} fits host `{host}` and path `{path}`; there are {} and {more} more",
        config.version,
        routes.join(", ")
    )
}

/// Returns whether a preview may be answered at a time, after the last one was at another.
#[must_use]
pub fn may_answer(last: Option<Millis>, now: Millis) -> bool {
    last.is_none_or(|at| now >= at + INTERVAL)
}

/// Records that a preview is answered now, unless one was just before.
fn take_turn(gateway: &Gateway) -> Result<(), Unanswered> {
    let now = gateway.now();
    let previewed = &gateway.previewed;
    let mut previewed = previewed.lock().unwrap_or_else(PoisonError::into_inner);
    if !may_answer(*previewed, now) {
        let message = format!("previews are answered every {INTERVAL} ms; ask again");
        return Err((StatusCode::TOO_MANY_REQUESTS, message));
    }
    *previewed = Some(now);
    Ok(())
}

/// Returns the ages of what the instance knows, in milliseconds; `null` of what it does not know.
fn ages(gateway: &Gateway) -> Value {
    let now = gateway.now();
    let age = |seen: Millis| now.saturating_sub(seen);
    let progress = gateway.progress();
    let (instances, loads) = gateway.placer().load_view.update_age(now);
    json!({
        "targets": progress.map(|known| age(known.entries_seen)),
        "configuration": progress.map(|known| age(known.document_seen)),
        "loads": (instances > 0).then_some(loads),
        "limit": gateway.knowledge_limit().as_millis() as u64,
    })
}

/// Returns what would become of a request at the targets of its service.
fn preview_service(gateway: &Gateway, request: &CallerRequest, denied: Option<&str>) -> Value {
    let now = gateway.now();
    let left = request.time_left();
    let fleet = gateway.fleet();
    let service = request.config.services.get(&request.service);
    let engine = service.and_then(|service| service.engine.as_ref());
    let targets = if request.route.stream {
        eligible(&fleet, request, &StreamOrigin::NotBegun, now)
    } else {
        fleet.targets(&request.service, None, now)
    };
    let placer = gateway.placer();
    let preview = match engine.filter(|_| request.route.stream) {
        Some(engine) => {
            let asked = placement_request(request, engine, time_to_first(request, left));
            placer.preview_generation(&targets, &asked, now)
        }
        None => placer.preview_plain(&targets, now),
    };
    drop(placer);
    let excluded = excluded(&fleet, &request.service, &targets, now);
    drop(fleet);
    let verdict = match preview.placement {
        Placement::Run(_) => gateway
            .admissions
            .preview(request, &preview.forecast, left, now),
        _ => None,
    };
    let (outcome, cause) = if let Some(cause) = denied {
        ("refuse", cause)
    } else if gateway.is_leaving() {
        ("refuse", "the instance is stopping")
    } else if gateway.pool.reach().is_cut() {
        ("pass on", "the instance is cut off from all targets")
    } else if crashes::is_held(gateway, &request.info) {
        ("refuse", "targets crash on a part of the prompt")
    } else {
        outcome(&preview, verdict.as_ref())
    };
    let plan = match &preview.placement {
        Placement::Run(plan) | Placement::Overloaded { plan, .. } => Some(plan),
        Placement::NoTarget => None,
    };
    json!({
        "service": request.service,
        "outcome": outcome,
        "cause": cause,
        "left_ms": left.as_millis() as u64,
        "target": plan.map(|plan| &plan.decode),
        "prefill": plan.and_then(|plan| plan.prefill.as_ref()),
        "fetch": plan.and_then(|plan| plan.fetch.as_ref()),
        "uncached": plan.map(|plan| plan.uncached),
        "ahead": plan.map(|plan| plan.ahead),
        "service_ms": preview.forecast.service_ms,
        "wait_ms": preview.forecast.wait_ms,
        "admission": verdict.as_ref().map(admission),
        "candidates": preview.candidates.iter().map(candidate).collect::<Vec<Value>>(),
        "excluded": excluded,
    })
}

/// Returns what would become of a request by its placement and the decision about its admission, and
/// why.
fn outcome(preview: &Preview, verdict: Option<&Verdict>) -> (&'static str, &'static str) {
    match preview.placement {
        Placement::NoTarget => return ("refuse", "no target takes new work"),
        Placement::Overloaded { .. } => return ("refuse", "overloaded"),
        Placement::Run(_) => {}
    }
    match verdict.map(|verdict| verdict.decision) {
        Some(Decision::Refuse { cause, .. }) => ("refuse", cause_label(cause)),
        Some(Decision::Wait(_)) => ("wait", "too little room"),
        Some(Decision::Run) | None => ("run", "lowest cost"),
    }
}

/// Returns what the decision about the admission went by.
fn admission(verdict: &Verdict) -> Value {
    let after = match verdict.decision {
        Decision::Refuse { after, .. } | Decision::Wait(after) => Some(after.as_millis() as u64),
        Decision::Run => None,
    };
    json!({
        "rank": verdict.rank,
        "share": verdict.share,
        "bound_ms": verdict.bound_ms.is_finite().then_some(verdict.bound_ms),
        "reports_age_ms": verdict.reports_age,
        "after_ms": after,
    })
}

/// Returns a candidate as JSON.
fn candidate(candidate: &Candidate) -> Value {
    json!({
        "target": candidate.target,
        "domain": candidate.domain,
        "role": candidate.role,
        "running": candidate.running,
        "cost_ms": candidate.cost,
        "wait_ms": candidate.wait_ms,
        "slowdown": candidate.slowdown,
        "avoided": candidate.avoided,
        "limit_per_s": candidate.rate,
        "permit_in_ms": candidate.permit_in.map(|left| left.as_millis() as u64),
    })
}

/// Returns the registered targets of a service that are not among the candidates, with the reasons.
fn excluded(fleet: &Fleet, service: &str, targets: &[&Target], now: Millis) -> Vec<Value> {
    let mut excluded = Vec::new();
    for target in fleet.present() {
        if target.service != service || targets.iter().any(|other| other.id == target.id) {
            continue;
        }
        let pause = fleet.pause_left(&target.id, now);
        let is_leaving = fleet.registered(service).all(|other| other.id != target.id);
        let reason = if is_leaving {
            "it is leaving".to_owned()
        } else if !pause.is_zero() {
            format!("it wants no request for {} ms", pause.as_millis())
        } else {
            "it has another model or version, was replaced or changes its role".to_owned()
        };
        excluded.push(json!({ "target": target.id, "reason": reason }));
    }
    excluded
}
