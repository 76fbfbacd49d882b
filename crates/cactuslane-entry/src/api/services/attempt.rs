//! Attempts to execute calls on the targets of plain services.

use std::time::Duration;

use cactuslane_route::{Decision, Plan, RouteRequest};
use cactuslane_types::TargetId;
use tokio::time::{Instant, sleep};

use super::{ServiceAnswer, ServiceCall};
use crate::api::{REQUEST_ID_HEADER, trace_header};
use crate::metrics::TargetLabels;
use crate::reply::ApiError;
use crate::routing::Dispatch;
use crate::upstream::{self, CallError};

/// Maximum size of the answer of a target, in bytes.
const MAX_ANSWER: usize = 32 << 20;
/// Maximum number of attempts for one call.
const MAX_ATTEMPTS: u32 = 3;
/// Maximum time that an attempt waits while no target can execute the call.
const NO_TARGET_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval at which the selection of a target is repeated.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Executes a call, with retries on other targets where that is safe.
///
/// A repeatable call is retried after any failure, any other call only if nothing was sent. Retries
/// also need the retry budget, time before the deadline and fewer than [`MAX_ATTEMPTS`] attempts.
/// An answer with any HTTP status is no failure.
///
/// # Errors
///
/// Returns the error of the last attempt that may have run the call, if one did; otherwise that of the
/// last attempt, or [`ApiError::NoTarget`].
pub async fn execute(call: &ServiceCall) -> Result<ServiceAnswer, ApiError> {
    let shared = &call.request.shared;
    shared.routing().retries.attempted();
    let deadline = Instant::now() + call.timeout();
    let mut tried: Vec<TargetId> = Vec::new();
    let mut unknown = None;
    loop {
        let selected = select_target(call, &tried).await;
        let (target, dispatch) = match selected {
            Ok(selected) => selected,
            Err(error) => return Err(unknown.map_or(error, final_error)),
        };
        let error = match attempt(call, &target, &dispatch, tried.len(), deadline).await {
            Ok(answer) => return Ok(answer),
            Err(error) => error,
        };
        call.request
            .span
            .event("attempt failed", format!("{target}: {error:?}"));
        tried.push(target);
        let sent = !matches!(error, CallError::NotSent(_));
        if sent {
            unknown = Some(error.clone());
        }
        let may_retry = !sent || call.repeatable;
        let attempts_left = tried.len() < MAX_ATTEMPTS as usize && Instant::now() < deadline;
        if !may_retry || !attempts_left || !shared.routing().retries.take() {
            return Err(final_error(unknown.unwrap_or(error)));
        }
        shared.metrics.retries.inc();
    }
}

/// Selects a target and records the dispatch to it; waits up to [`NO_TARGET_TIMEOUT`] for a target
/// that can execute the call.
async fn select_target(
    call: &ServiceCall,
    tried: &[TargetId],
) -> Result<(TargetId, Dispatch), ApiError> {
    let shared = &call.request.shared;
    let request = RouteRequest {
        service: call.service.clone(),
        domain: shared.settings.domain.clone(),
        ttft_bound: f64::INFINITY,
        itl_bound: f64::INFINITY,
        bound_factor: 1.0,
        tried: tried.to_vec(),
        ..RouteRequest::default()
    };
    let until = Instant::now() + NO_TARGET_TIMEOUT;
    loop {
        let now = shared.now();
        {
            let mut routing = shared.routing();
            if let Some(router) = routing.routers.get_mut(&call.service)
                && let Decision::Run(choice) = router.decide(&request, 0.0, now)
                && let Plan::Whole(target) = &choice.plan
            {
                let id = router
                    .fleet
                    .sent(target, choice.work, choice.first_token, now);
                drop(routing);
                let dispatch = Dispatch::new(shared, &call.service, id);
                return Ok((target.clone(), dispatch));
            }
        }
        if Instant::now() >= until {
            return Err(ApiError::NoTarget);
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Sends a call to one target and checks that a request id in the answer is that of the attempt.
/// `earlier_attempts` is the number of attempts of the call before this one.
async fn attempt(
    call: &ServiceCall,
    target: &str,
    dispatch: &Dispatch,
    earlier_attempts: usize,
    deadline: Instant,
) -> Result<ServiceAnswer, CallError> {
    let shared = &call.request.shared;
    let span = shared.traces.child("service", &call.request.span);
    span.set("target", target.to_owned());
    let not_sent = |text: &str| CallError::NotSent(text.to_owned());
    let address = shared.routing().address(target);
    let address = address.ok_or_else(|| not_sent("no address is known"))?;
    let id = format!("{}/{}", call.request.request_id, earlier_attempts + 1);
    let (trace_name, trace) = trace_header(&span);
    let passed = call.passed_headers();
    let mut headers: Vec<(&str, &str)> = passed.iter().map(|(n, v)| (*n, v.as_str())).collect();
    headers.push((REQUEST_ID_HEADER, &id));
    headers.push((trace_name, &trace));
    let method = call.request.method.as_str();
    let request = upstream::request(method, address, &call.path, &headers, call.body.clone());
    let request = request.ok_or_else(|| not_sent("the request could not be built"))?;
    let wait = deadline.saturating_duration_since(Instant::now());
    // The target may close a pooled connection just as the call is sent, and then it is unknown
    // whether the call was received. A call that may not be repeated gets a new connection.
    let client = if call.repeatable {
        &shared.client
    } else {
        &shared.unpooled
    };
    let labels = TargetLabels {
        target: target.to_owned(),
    };
    shared.metrics.dispatches.get_or_create(&labels).inc();
    let response = upstream::send_and_collect(client, request, MAX_ANSWER, wait).await;
    let response = match response {
        Ok(response) => response.confirm(&shared.unpooled, address, deadline).await,
        Err(error) => Err(error),
    };
    let response = response.inspect_err(|_| dispatch.record_failure())?;
    let echoed = response.headers.get(REQUEST_ID_HEADER);
    if echoed.is_some_and(|echoed| echoed.as_bytes() != id.as_bytes()) {
        dispatch.record_failure();
        return Err(CallError::Broken("an answer to another request".to_owned()));
    }
    dispatch.record_answer();
    Ok(ServiceAnswer::new(
        response.status,
        &response.headers,
        response.body,
    ))
}

/// Returns the error of a call that is not retried.
fn final_error(error: CallError) -> ApiError {
    match error {
        CallError::NotSent(_) => ApiError::NotSent,
        CallError::Broken(text) => ApiError::Broken(text),
        CallError::TimedOut => ApiError::TimedOut,
    }
}
