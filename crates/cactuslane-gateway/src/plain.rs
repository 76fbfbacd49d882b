//! Requests whose answers are read completely before they are forwarded.

use std::sync::Arc;
use std::time::Duration;

use cactuslane_flight::target::Target;
use cactuslane_flight::{AttemptFailure, Refusal, RequestState, Step};
use cactuslane_held::{Framing, framing};
use cactuslane_place::{Forecast, Load};
use cactuslane_platform::exchange::{self, SendParams, Verdict};
use cactuslane_types::Role;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::{Request, Response};
use log::info;
use tokio::time::{Instant, timeout};

use crate::admission::Entry;
use crate::bodies::MAX_ANSWER_BYTES;
use crate::ending::{self, Answered, Told};
use crate::limits;
use crate::limits::permits::{Denials, Permit, Purpose};
use crate::metrics;
use crate::reply::{self, AnswerBody};
use crate::request::CallerRequest;
use crate::state::Gateway;
use crate::upstream::{PooledConnection, attempt_failure};
use crate::{answers, crashes, processes, usage};

/// Maximum size of the body of a rejection, in bytes; of a larger one the connection is closed.
const MAX_REJECTION_BYTES: usize = 64 << 10;
/// Factor on the route's latency objective after which an unanswered request is sent to another
/// target, if it may be sent again.
const SLOW_ANSWER_FACTOR: u32 = 2;
/// Value of `Retry-After` when no target can serve a request.
const NO_TARGET_RETRY_AFTER: Duration = Duration::from_millis(300);
/// Cause of a refusal when no target of the service is known that takes new work.
pub const NO_TARGET: &str = "no target";
/// Share of the route's latency objective that an answer is expected to take, against which a
/// target's speed is measured.
const EXPECTED_SHARE: f64 = 0.5;

/// Result of one attempt at a target.
#[derive(Debug)]
pub struct Attempt {
    /// Kind of failure; `None` if a complete answer without a server error arrived.
    pub ending: Option<AttemptFailure>,
    /// Complete answer of the target, an error answer included, if one arrived.
    pub answer: Option<Response<AnswerBody>>,
    /// Whether a retry was already taken from the budget for the next attempt.
    pub budget_taken: bool,
}

/// Executes a request and returns its final answer.
pub async fn execute(
    gateway: &Arc<Gateway>,
    request: &CallerRequest,
    mut state: RequestState,
) -> Response<AnswerBody> {
    let mut tried: Vec<String> = Vec::new();
    let mut denials = Denials::default();
    let mut trial = crashes::TrialGrant::default();
    let mut entry = Entry::new(&gateway.admissions, request);
    loop {
        let now = gateway.now();
        let left = state.remaining(now);
        if left.is_zero() {
            return refuse(request, &state, Duration::ZERO, "the time is over");
        }
        if let Err(withheld) = crashes::admit(gateway, &request.info, &mut trial).await {
            return refuse(request, &state, withheld.wait, withheld.cause);
        }
        let Some((target, forecast)) = choose_target(gateway, request, &tried, denials) else {
            return refuse_without_target(gateway, request, &state, NO_TARGET_RETRY_AFTER);
        };
        match entry.pass(request, &forecast, left, now).await {
            Ok(true) => {}
            Ok(false) => continue,
            Err((after, cause)) => return refuse(request, &state, after, cause),
        }
        let Ok(permit) = limits::acquire(gateway, &target, &request.info.id).await else {
            denials.add();
            continue;
        };
        denials = Denials::default();
        tried.push(target.id.clone());
        let attempt = attempt(gateway, request, &state, &target, permit).await;
        let now = gateway.now();
        let Some(ending) = attempt.ending else {
            let seconds = request.arrived.elapsed().as_secs_f64();
            gateway
                .metrics
                .observe_first_byte(metrics::route_kind(&request.route), seconds);
            return attempt.answer.unwrap_or_else(|| unknown_outcome(request));
        };
        trial.record(ending);
        gateway.metrics.count_failed_attempt(failure_label(ending));
        info!(
            request = request.info.id,
            target_id = target.id,
            ending:? = ending,
            left_ms = left.as_millis() as u64;
            "attempt failed"
        );
        let budget = || attempt.budget_taken || gateway.take_retry(&request.service);
        match state.next_step(ending, now, budget) {
            Step::Retry => {}
            Step::ForwardFailure => {
                return attempt.answer.unwrap_or_else(|| unknown_outcome(request));
            }
            Step::Refuse(refusal) => {
                let cause = failure_label(ending);
                return reply::refusal(&request.info.id, refusal, NO_TARGET_RETRY_AFTER, cause);
            }
            Step::Abort => return unknown_outcome(request),
        }
    }
}

/// Returns the target of the next attempt, with the expected times there; one that was tried before
/// only if no other is left.
fn choose_target(
    gateway: &Gateway,
    request: &CallerRequest,
    tried: &[String],
    denials: Denials,
) -> Option<(Target, Forecast)> {
    let now = gateway.now();
    let fleet = gateway.fleet();
    let mut targets = fleet.targets(&request.service, None, now);
    let mut placer = gateway.placer();
    denials.filter(&mut targets, &placer.limits);
    let chosen = placer
        .place_plain(&targets, tried, now)
        .or_else(|| placer.place_plain(&targets, &[], now))?;
    let target = targets.iter().find(|target| target.id == chosen)?;
    let forecast = placer.forecast_plain(target, targets.len(), now);
    Some(((*target).clone(), forecast))
}

/// Sends a request to a target, reads its answer, and records how the target performed.
async fn attempt(
    gateway: &Arc<Gateway>,
    request: &CallerRequest,
    state: &RequestState,
    target: &Target,
    permit: Permit,
) -> Attempt {
    let told = Told::read(|| state.remaining(gateway.now()));
    let left = told.left();
    let load = Load {
        running: 1,
        ..Load::default()
    };
    let ahead = gateway.placer().count_plain(&target.id, gateway.now());
    let _load = gateway.track_load(&target.id, load);
    let began = Instant::now();
    let params = SendParams {
        target: &target.id,
        identity: request.identity(),
        ..SendParams::default()
    };
    let mut sent = crashes::SentAttempt::new(gateway, &request.info, target);
    let run = usage::RunGuard::new(gateway, request);
    let pending = async {
        let answer = send_and_read(
            gateway,
            request,
            target,
            &params,
            (told, state.may_retry(), &run),
            permit,
        )
        .await;
        sent.settle();
        if matches!(answer, Err((AttemptFailure::Broken, _))) {
            crashes::check_lost(gateway, &request.info, target, began);
        }
        answer
    };
    tokio::pin!(pending);
    let slow_after = request.route.latency_objective * SLOW_ANSWER_FACTOR;
    let mut budget_taken = false;
    let mut result = None;
    if state.may_retry() && slow_after < left {
        result = timeout(slow_after, &mut pending).await.ok();
        // Silence alone is no reason to abandon an attempt: without budget to send the request
        // elsewhere, the answer is awaited until the deadline.
        budget_taken = result.is_none() && gateway.take_retry(&request.service);
    }
    let result = match result {
        Some(result) => result,
        None if budget_taken => Err((AttemptFailure::Broken, "no answer in time".to_owned())),
        None => timeout(left.saturating_sub(began.elapsed()), pending)
            .await
            .unwrap_or_else(|_| Err((AttemptFailure::Late, "no answer in time".to_owned()))),
    };
    let now = gateway.now();
    let (ending, answer) = match result {
        // The target ran the request, so that its status must not promise the opposite.
        Ok(answer) if exchange::promises_not_run(answer.status().as_u16()) => {
            gateway.placer().answered_failure(&target.id, now);
            (Some(AttemptFailure::Failed), None)
        }
        Ok(answer) if answer.status().is_server_error() => {
            gateway.placer().answered_failure(&target.id, now);
            (Some(AttemptFailure::Failed), Some(answer))
        }
        Ok(answer) => {
            let observed = began.elapsed().as_secs_f64() * 1000.0;
            let expected = request.route.latency_objective.as_secs_f64() * 1000.0 * EXPECTED_SHARE;
            let mut placer = gateway.placer();
            placer.answered_plain(target, observed, expected, ahead, now);
            let changes = placer.paces.take_changes();
            drop(placer);
            answers::log_changes(&changes);
            crashes::record_begun(gateway, &request.info, now);
            (None, Some(answer))
        }
        Err((ending, why)) => {
            gateway.record_failure(&target.id, ending);
            info!(request = request.info.id, target_id = target.id, why; "no answer of a target");
            (Some(ending), None)
        }
    };
    run.end(ending);
    Attempt {
        ending,
        answer,
        budget_taken,
    }
}

/// Sends a request and reads the complete answer; a success must carry the target's signature.
///
/// `told` is the end that the target is told, `goes_on` whether the request can be sent elsewhere; `run` counts the run once the head of its answer has arrived.
async fn send_and_read(
    gateway: &Arc<Gateway>,
    request: &CallerRequest,
    target: &Target,
    params: &SendParams<'_>,
    (told, goes_on, run): (Told, bool, &usage::RunGuard<'_>),
    permit: Permit,
) -> Result<Response<AnswerBody>, (AttemptFailure, String)> {
    let sent = Instant::now();
    let (connection, response) = send(gateway, request, target, params, told, permit).await?;
    run.answered();
    let keep_alive = exchange::keep_alive_timeout(response.headers());
    let framing = Framing::of(&response);
    let (head, body) = response.into_parts();
    connection.allow(MAX_ANSWER_BYTES);
    let answered = Answered {
        target,
        framing,
        told,
        sent,
        goes_on,
    };
    let body = ending::read_whole(gateway, request, answered, body).await?;
    info!(
        request = request.info.id,
        target_id = target.id,
        process:? = target.started_at,
        status = head.status.as_u16(),
        framing = framing.label(),
        closes = framing::announces_close(&head.headers),
        bytes = body.len();
        "answer ended"
    );
    if head.status.is_success() && !exchange::is_signed(&head.headers) {
        return Err((
            AttemptFailure::Broken,
            "the answer is not signed".to_owned(),
        ));
    }
    gateway.pool.check_in(connection, keep_alive);
    let headers = exchange::answer_headers(&head.headers);
    Ok(reply::buffered(head.status, headers, body))
}

/// Sends a request and returns the answer once its head has arrived; `told` is the end that the target is
/// told, in place of the time-out in `params`.
///
/// If the head shows that the target has another role, or that another target has the address, this
/// is recorded and queued for the other instances.
///
/// # Errors
///
/// Returns the kind of failure and its cause, also if the target did not run the request or the
/// answer does not belong to it.
pub async fn send(
    gateway: &Arc<Gateway>,
    request: &CallerRequest,
    target: &Target,
    params: &SendParams<'_>,
    told: Told,
    permit: Permit,
) -> Result<(PooledConnection, Response<Incoming>), (AttemptFailure, String)> {
    // A target may answer twice, and on the same connection the second copy of a rejection would
    // be taken for the answer to the repeated request, which has the same id or none.
    let id = &request.info.id;
    let may_reuse = request.record_send(&target.id) && !id.is_empty();
    let service = request.config.services.get(&request.service);
    let (mut connection, permit) = if service.is_some_and(|service| service.engine.is_some()) {
        processes::connect(gateway, target, id, may_reuse, permit).await?
    } else {
        let connection = if may_reuse {
            gateway.pool.checkout(&target.id, target.address, id).await
        } else {
            gateway.pool.connect(&target.id, target.address).await
        };
        (connection.map_err(attempt_failure)?, permit)
    };
    // The target may have begun to drain, or may have been started again, while the connection was
    // being established.
    let usable = gateway.target(&target.id);
    if usable.is_none_or(|usable| usable.started_at != target.started_at) {
        let why = "the target is leaving or was started again";
        return Err((AttemptFailure::Unsent, why.to_owned()));
    }
    let mut outgoing = Request::new(Full::new(request.body.clone()));
    *outgoing.method_mut() = request.method.clone();
    *outgoing.uri_mut() = origin_form(&request.uri);
    let params = SendParams {
        timeout: told.left(),
        ..params.clone()
    };
    *outgoing.headers_mut() = exchange::request_headers(&request.headers, &params);
    let sent = gateway.now();
    gateway.pool.reach().record_sent(sent);
    let response = connection.send(outgoing, permit).await;
    let response = response.map_err(|error| {
        gateway.pool.reach().record_failure(gateway.now());
        attempt_failure(error)
    })?;
    let status = response.status().as_u16();
    let verdict = exchange::verdict(&request.info.id, &target.id, status, response.headers());
    let is_own = matches!(
        verdict,
        Verdict::Answer | Verdict::NotRun | Verdict::WrongRole
    );
    if is_own {
        let (status, headers) = (response.status(), response.headers());
        answers::observe(gateway, target, Purpose::Request, status, headers, sent);
    }
    if verdict == Verdict::WrongRole {
        let role = match target.role {
            Role::Prefill => Role::Decode,
            Role::Decode => Role::Prefill,
            Role::Mixed => Role::Mixed,
        };
        let observed =
            gateway
                .fleet()
                .observe_role(&target.id, target.started_at, role, gateway.now());
        if let Some(observed) = observed {
            info!(target_id = target.id, observed:? = observed; "target has another role");
            gateway.queue_observation(target, observed);
        }
    }
    if verdict == Verdict::Replaced {
        answers::record_replaced(gateway, target);
    }
    match verdict {
        Verdict::Answer => Ok((connection, response)),
        Verdict::NotRun | Verdict::WrongRole | Verdict::Replaced => {
            let keep_alive = exchange::keep_alive_timeout(response.headers());
            let body = Limited::new(response.into_body(), MAX_REJECTION_BYTES)
                .collect()
                .await;
            if body.is_ok() {
                connection.record_rejected(id);
                gateway.pool.check_in(connection, keep_alive);
            }
            Err((
                AttemptFailure::Rejected,
                format!("status {status}, not run"),
            ))
        }
        Verdict::Foreign => Err((
            AttemptFailure::Broken,
            format!("status {status}, the answer does not belong to the request"),
        )),
        Verdict::Invalid => Err((
            AttemptFailure::Broken,
            format!("status {status} is not that of an answer"),
        )),
    }
}

/// Returns the answer to a request that is refused; it states whether one of the attempts so far
/// may have run the request.
pub fn refuse(
    request: &CallerRequest,
    state: &RequestState,
    after: Duration,
    cause: &'static str,
) -> Response<AnswerBody> {
    reply::refusal(&request.info.id, state.refusal(), after, cause)
}

/// Returns the answer to a request for which there is no target, or only such whose limits allow
/// no request now.
///
/// The caller is told to come back when a limit allows one, but not before `after`, which is
/// shortened to a third of the time left.
pub fn refuse_without_target(
    gateway: &Gateway,
    request: &CallerRequest,
    state: &RequestState,
    after: Duration,
) -> Response<AnswerBody> {
    let now = gateway.now();
    let fleet = gateway.fleet();
    let model = request.info.model.as_deref();
    let targets = fleet.targets(&request.service, model, now);
    let placer = gateway.placer();
    let waits = targets
        .iter()
        .filter_map(|target| placer.limits.wait(target, now));
    match waits.min() {
        Some(wait) => {
            let after = wait.max(after).min(state.remaining(now) / 3);
            refuse(request, state, after, "limited")
        }
        None => match fleet.service_pause(&request.service, now) {
            Some(pause) => {
                let after = pause.max(after).min(state.remaining(now) / 3);
                refuse(request, state, after, "paused")
            }
            None => refuse(request, state, after, NO_TARGET),
        },
    }
}

/// Returns the metric label for a kind of failure, which is also the cause of a refusal after it.
#[must_use]
pub const fn failure_label(ending: AttemptFailure) -> &'static str {
    match ending {
        AttemptFailure::Unsent => "unsent",
        AttemptFailure::Rejected => "rejected",
        AttemptFailure::Failed => "failed",
        AttemptFailure::Broken => "broken",
        AttemptFailure::Late => "late",
    }
}

/// Returns the answer to a request that may have run without a complete answer of a target.
pub fn unknown_outcome(request: &CallerRequest) -> Response<AnswerBody> {
    let cause = "no whole answer";
    reply::refusal(&request.info.id, Refusal::Unknown, Duration::ZERO, cause)
}

/// Returns the origin form of a URI: its path and query.
fn origin_form(uri: &hyper::Uri) -> hyper::Uri {
    let path = uri.path_and_query().map_or("/", |path| path.as_str());
    path.parse().unwrap_or_default()
}
