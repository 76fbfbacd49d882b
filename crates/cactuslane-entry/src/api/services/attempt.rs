//! Sending of calls to the targets of plain services.

use std::time::Duration;

use cactuslane_route::{Decision, Plan, RouteRequest};
use cactuslane_types::TargetId;
use tokio::time::{Instant, sleep};

use super::{ServiceAnswer, ServiceCall};
use crate::api::{REQUEST_HEADER, trace_header};
use crate::metrics::TargetLabels;
use crate::reply::Ending;
use crate::routing::Dispatch;
use crate::upstream::{self, CallError};

/// Largest answer of a target, in bytes.
const MAX_ANSWER: usize = 32 << 20;
/// Number of targets that one call tries at most.
const MAX_ATTEMPTS: u32 = 3;
/// Longest time that a call waits for any target.
const TARGET_WAIT: Duration = Duration::from_secs(1);
/// Time between two looks for a target.
const LOOK_INTERVAL: Duration = Duration::from_millis(20);

/// Executes a call, trying other targets where that is safe.
///
/// A call that may be repeated is tried again within the retry budget. One that may not is tried
/// again only where no byte was sent.
pub async fn execute(call: &ServiceCall) -> Result<ServiceAnswer, Ending> {
    let shared = &call.call.shared;
    shared.routing().retries.attempted();
    let deadline = Instant::now() + call.timeout();
    let mut tried: Vec<TargetId> = Vec::new();
    loop {
        let (target, dispatch) = place(call, &tried).await?;
        let error = match attempt(call, &target, &dispatch, tried.len(), deadline).await {
            Ok(answer) => return Ok(answer),
            Err(error) => error,
        };
        call.call
            .span
            .event("attempt failed", format!("{target}: {error:?}"));
        tried.push(target);
        let sent = !matches!(error, CallError::NotSent(_));
        let again = !sent || call.repeatable;
        let left = tried.len() < MAX_ATTEMPTS as usize && Instant::now() < deadline;
        if !again || !left || !shared.routing().retries.take() {
            return Err(given_up(error));
        }
        shared.metrics.retries.inc();
    }
}

/// Chooses a target, waiting a little for one to serve.
async fn place(call: &ServiceCall, tried: &[TargetId]) -> Result<(TargetId, Dispatch), Ending> {
    let shared = &call.call.shared;
    let request = RouteRequest {
        service: call.service.clone(),
        domain: shared.settings.domain.clone(),
        ttft_bound: f64::INFINITY,
        itl_bound: f64::INFINITY,
        bound_factor: 1.0,
        tried: tried.to_vec(),
        ..RouteRequest::default()
    };
    let until = Instant::now() + TARGET_WAIT;
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
            return Err(Ending::NoTarget);
        }
        sleep(LOOK_INTERVAL).await;
    }
}

/// Sends a call to one target and checks that the answer is its own.
async fn attempt(
    call: &ServiceCall,
    target: &str,
    dispatch: &Dispatch,
    number: usize,
    deadline: Instant,
) -> Result<ServiceAnswer, CallError> {
    let shared = &call.call.shared;
    let span = shared.traces.child("service", &call.call.span);
    span.set("target", target.to_owned());
    let not_sent = |why: &str| CallError::NotSent(why.to_owned());
    let address = shared.routing().address(target);
    let address = address.ok_or_else(|| not_sent("no address is known"))?;
    let id = format!("{}/{}", call.call.request, number + 1);
    let (trace_name, trace) = trace_header(&span);
    let passed = call.passed_headers();
    let mut headers: Vec<(&str, &str)> = passed.iter().map(|(n, v)| (*n, v.as_str())).collect();
    headers.push((REQUEST_HEADER, &id));
    headers.push((trace_name, &trace));
    let method = call.call.method.as_str();
    let request = upstream::request(method, address, &call.path, &headers, call.body.clone());
    let request = request.ok_or_else(|| not_sent("the request could not be built"))?;
    let wait = deadline.saturating_duration_since(Instant::now());
    let client = if call.repeatable {
        &shared.client
    } else {
        &shared.fresh
    };
    let labels = TargetLabels {
        target: target.to_owned(),
    };
    shared.metrics.dispatches.get_or_create(&labels).inc();
    let whole = upstream::whole(client, request, MAX_ANSWER, wait).await;
    let whole = whole.inspect_err(|_| dispatch.record_failure())?;
    let echoed = whole.headers.get(REQUEST_HEADER);
    if echoed.is_some_and(|echoed| echoed.as_bytes() != id.as_bytes()) {
        dispatch.record_failure();
        return Err(CallError::Broken("an answer to another request".to_owned()));
    }
    dispatch.record_answer();
    Ok(ServiceAnswer::new(whole.status, &whole.headers, whole.body))
}

/// Returns the ending of a call that is given up.
fn given_up(error: CallError) -> Ending {
    match error {
        CallError::NotSent(_) => Ending::NotSent,
        CallError::Broken(why) => Ending::Broken(why),
        CallError::TimedOut => Ending::TimedOut,
    }
}
