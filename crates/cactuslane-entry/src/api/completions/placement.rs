//! Admission of a completion: limits, the queue and the choice of targets.

use std::sync::Arc;
use std::time::Duration;

use cactuslane_config::Caller;
use cactuslane_route::{CallerLimit, Choice, Decision, DispatchId, LimitError, Plan, RouteRequest};
use tokio::time::sleep;

use crate::reply::ApiError;
use crate::shared::Shared;

/// Time between two looks at the queue.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Number of requests at the head of a queue that may be sent out of order.
const QUEUE_WINDOW: usize = 4;
/// Longest time that a request waits for any target, in milliseconds.
const NO_TARGET_TIMEOUT: f64 = 1_000.0;

/// A request's share of its caller's limits; dropping it gives the share back.
#[derive(Debug)]
pub struct Admission {
    /// The state that holds the limits.
    shared: Arc<Shared>,
    /// The caller.
    caller: String,
    /// The number of tokens that were taken and not used.
    pub unused: f64,
}

/// A place found for a request.
#[derive(Debug)]
pub struct Placement {
    /// The plan with what is expected of it.
    pub choice: Choice,
    /// The dispatch to the only target, or to the one that computes the prompt.
    pub first: DispatchId,
    /// The dispatch to the target that generates after another.
    pub second: Option<DispatchId>,
}

/// A waiting ticket; dropping it leaves the queue.
struct QueueEntry<'s> {
    /// The state that holds the queue.
    shared: &'s Shared,
    /// The model.
    service: &'s str,
    /// The ticket.
    ticket: u64,
    /// Says whether the request was sent.
    served: bool,
}

impl Admission {
    /// Takes a request's share of its caller's limits.
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

/// Waits in the queue until the request can be sent, or refuses it.
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
        let passed = (shared.now() - start) as f64 + waited.as_secs_f64() * 1000.0;
        if let Some(placement) = try_place(shared, request, (id, caller), ticket, passed)? {
            entry.served = true;
            return Ok(placement);
        }
        sleep(POLL_INTERVAL).await;
    }
}

/// Sends the request if it is its turn and a target can meet its bound.
fn try_place(
    shared: &Shared,
    request: &RouteRequest,
    (id, caller): (&str, &Caller),
    ticket: u64,
    waited: f64,
) -> Result<Option<Placement>, ApiError> {
    let cost = f64::from(request.prompt + request.output);
    let now = shared.now();
    let mut routing = shared.routing();
    let position = routing
        .queues
        .get(&request.service)
        .and_then(|queue| queue.position(ticket));
    let Some(router) = routing.routers.get_mut(&request.service) else {
        return if waited > NO_TARGET_TIMEOUT {
            Err(ApiError::NoTarget)
        } else {
            Ok(None)
        };
    };
    match router.decide(request, waited, now) {
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
        Decision::NoTarget if waited > NO_TARGET_TIMEOUT => Err(ApiError::NoTarget),
        Decision::Run(_) | Decision::Wait | Decision::NoTarget => Ok(None),
    }
}

/// Returns the target to which a choice sends first.
fn first_target(choice: &Choice) -> &str {
    match &choice.plan {
        Plan::Whole(target) => target,
        Plan::Split { prefill, .. } => prefill,
    }
}

/// Turns the refusal of a limit into an ending.
fn limit_error(error: &LimitError) -> ApiError {
    match error {
        LimitError::Rate(wait) => ApiError::Limited("request rate".to_owned(), *wait),
        LimitError::Tokens(wait) => ApiError::Limited("token rate".to_owned(), *wait),
        LimitError::Concurrency(wait) => {
            ApiError::Limited("requests in progress".to_owned(), *wait)
        }
    }
}
