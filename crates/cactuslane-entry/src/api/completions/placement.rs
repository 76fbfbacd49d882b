//! Admission of completions: caller limits, the fair queue and the choice of targets.

use std::sync::Arc;
use std::time::Duration;

use cactuslane_config::Caller;
use cactuslane_route::{CallerLimit, Choice, Decision, DispatchId, LimitError, Plan, RouteRequest};
use tokio::time::sleep;

use crate::reply::ApiError;
use crate::shared::Shared;

/// Interval at which the placement of a queued request is decided again.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Number of requests at the head of a queue that may be placed, in any order, so that one that
/// cannot be placed yet does not block those behind it.
const QUEUE_WINDOW: usize = 4;
/// Waiting time after which a request is refused if no target can execute it, in milliseconds.
const NO_TARGET_TIMEOUT: f64 = 1_000.0;

/// A request admitted within the limits of its caller. Dropping it removes the request from those
/// in progress and returns its unused tokens.
#[derive(Debug)]
pub struct Admission {
    /// State that holds the limits.
    shared: Arc<Shared>,
    /// Caller whose limits apply.
    caller: String,
    /// Number of tokens to return, which were taken from the limit at admission but not generated;
    /// set at the end of a complete answer, 0 before.
    pub unused: f64,
}

/// The targets chosen for a request, with their dispatches, which count in the load estimates.
#[derive(Debug)]
pub struct Placement {
    /// Plan with its expected timing.
    pub choice: Choice,
    /// Dispatch to the only target, or to the one that computes the prompt.
    pub first: DispatchId,
    /// Dispatch to the target that generates, if another one computes the prompt.
    pub second: Option<DispatchId>,
}

/// A request in the queue; dropping it removes it.
struct QueueEntry<'s> {
    /// State that holds the queue.
    shared: &'s Shared,
    /// Model whose queue it is.
    service: &'s str,
    /// Ticket of the request in the queue.
    ticket: u64,
    /// Whether the request got a placement; if so, its removal advances the virtual time of the
    /// queue.
    served: bool,
}

impl Admission {
    /// Admits a request within the limits of its caller, and takes `tokens` from the token limit.
    ///
    /// # Errors
    ///
    /// Returns [`ApiError::Limited`] if a limit is reached.
    pub fn acquire(
        shared: &Arc<Shared>,
        id: &str,
        caller: &Caller,
        tokens: f64,
    ) -> Result<Self, ApiError> {
        let limit = CallerLimit {
            rate: caller.rate,
            tokens: caller.tokens,
            concurrency: caller.concurrency,
        };
        let now = shared.now();
        let result = shared.routing().limits.admit(id, &limit, tokens, now);
        result.map_err(|error| limit_error(&error))?;
        Ok(Self {
            shared: Arc::clone(shared),
            caller: id.to_owned(),
            unused: 0.0,
        })
    }
}

impl Drop for Admission {
    fn drop(&mut self) {
        self.shared
            .routing()
            .limits
            .finish(&self.caller, self.unused);
    }
}

impl Drop for QueueEntry<'_> {
    fn drop(&mut self) {
        if let Some(queue) = self.shared.routing().queues.get_mut(self.service) {
            queue.remove(self.ticket, self.served);
        }
    }
}

/// Queues the request until it can be sent. `waited` is the time before this call that counts
/// towards its latency bound.
///
/// # Errors
///
/// Returns [`ApiError::Overloaded`] if its latency bound cannot be met, and [`ApiError::NoTarget`]
/// if no target can execute it after it has waited for [`NO_TARGET_TIMEOUT`].
pub async fn wait_for_placement(
    shared: &Shared,
    request: &RouteRequest,
    caller: (&str, &Caller),
    waited: Duration,
) -> Result<Placement, ApiError> {
    let (id, caller) = caller;
    let cost = f64::from(request.prompt + request.output);
    let ticket = {
        let mut routing = shared.routing();
        let queue = routing.queues.entry(request.service.clone()).or_default();
        queue.push(id, caller.priority, cost, caller.weight)
    };
    let mut entry = QueueEntry {
        shared,
        service: &request.service,
        ticket,
        served: false,
    };
    let start = shared.now();
    loop {
        let waited_ms = (shared.now() - start) as f64 + waited.as_secs_f64() * 1000.0;
        if let Some(placement) = try_place(shared, request, (id, caller), ticket, waited_ms)? {
            entry.served = true;
            return Ok(placement);
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Places the request and records its dispatches, if it is among the first [`QUEUE_WINDOW`] of the
/// queue and a target can meet its bound. Returns `None` if it has to wait.
fn try_place(
    shared: &Shared,
    request: &RouteRequest,
    (id, caller): (&str, &Caller),
    ticket: u64,
    waited_ms: f64,
) -> Result<Option<Placement>, ApiError> {
    let cost = f64::from(request.prompt + request.output);
    let now = shared.now();
    let mut routing = shared.routing();
    let position = routing
        .queues
        .get(&request.service)
        .and_then(|queue| queue.position(ticket));
    let Some(router) = routing.routers.get_mut(&request.service) else {
        return if waited_ms > NO_TARGET_TIMEOUT {
            Err(ApiError::NoTarget)
        } else {
            Ok(None)
        };
    };
    match router.decide(request, waited_ms, now) {
        Decision::Run(choice) if position.is_none_or(|position| position < QUEUE_WINDOW) => {
            let first =
                router
                    .fleet
                    .sent(first_target(&choice), choice.work, choice.first_token, now);
            let second = match &choice.plan {
                Plan::Whole(_) => None,
                Plan::Split { decode, .. } => Some(router.fleet.sent(
                    decode,
                    choice.decode_work,
                    choice.first_token,
                    now,
                )),
            };
            shared.publish_now.notify_one();
            routing.shares.admitted(id, cost, caller.weight, now);
            Ok(Some(Placement {
                choice,
                first,
                second,
            }))
        }
        Decision::Refuse(wait) => Err(ApiError::Overloaded(wait)),
        Decision::NoTarget if waited_ms > NO_TARGET_TIMEOUT => Err(ApiError::NoTarget),
        Decision::Run(_) | Decision::Wait | Decision::NoTarget => Ok(None),
    }
}

/// Returns the only target of a choice, or the one that computes the prompt.
fn first_target(choice: &Choice) -> &str {
    match &choice.plan {
        Plan::Whole(target) => target,
        Plan::Split { prefill, .. } => prefill,
    }
}

/// Converts the refusal by a limit to an API error.
fn limit_error(error: &LimitError) -> ApiError {
    match error {
        LimitError::Rate(wait) => ApiError::Limited("request rate".to_owned(), *wait),
        LimitError::Tokens(wait) => ApiError::Limited("token rate".to_owned(), *wait),
        LimitError::Concurrency(wait) => {
            ApiError::Limited("requests in progress".to_owned(), *wait)
        }
    }
}
