//! Requests that an instance without links to targets passes on to another instance, once.
//!
//! The other instance serves such a request as one of its own callers', except that it never passes
//! it on again. It takes them at the address for messages between instances.

use std::sync::Arc;
use std::time::Duration;

use cactuslane_flight::{AttemptFailure, Refusal, RequestState, Step};
use cactuslane_held::Framing;
use cactuslane_platform::exchange;
use cactuslane_store::http::HttpError;
use cactuslane_types::InstanceId;
use http_body_util::{BodyExt, Either, Full};
use hyper::body::{Bytes, Incoming};
use hyper::{Request, Response, Uri};
use log::{info, warn};
use tokio::time::{Instant, timeout};

use crate::plain::unknown_outcome;
use crate::queue;
use crate::reply::{self, AnswerBody};
use crate::request::CallerRequest;
use crate::state::Gateway;

/// Number of instances that are asked to serve a request.
const MAX_HELPERS: usize = 3;
/// Time beyond a request's deadline for which the other instance's own answer is awaited.
const ANSWER_GRACE: Duration = Duration::from_millis(100);
/// Value of `Retry-After` when no instance takes a request.
const NO_HELPER_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Cause of the refusal of a request that no instance takes.
const NO_INSTANCE: &str = "no instance";

/// Returns the answer of an instance that takes no request of others' callers at present.
#[must_use]
pub fn decline(id: &str) -> Response<AnswerBody> {
    let mut response = refuse(id);
    exchange::decline(response.headers_mut());
    response
}

/// Passes a request on to another instance and returns its answer; a separate task forwards the
/// body.
///
/// The request must not have run, and must not have been passed on before. It is sent to a second
/// instance only if the first one cannot be reached or declines it, or if it may be repeated
/// and the retry budget allows that.
pub async fn pass_on(
    gateway: &Arc<Gateway>,
    request: &CallerRequest,
    mut state: RequestState,
) -> Response<AnswerBody> {
    let id = &request.info.id;
    let mut asked = Vec::new();
    while asked.len() < MAX_HELPERS {
        let left = request.time_left();
        if left.is_zero() {
            break;
        }
        let Some((helper, mut outgoing)) = prepare(gateway, request, left, &asked) else {
            break;
        };
        let may_have_run = state.refusal() != Refusal::NotRun;
        exchange::set_may_have_run(outgoing.headers_mut(), may_have_run);
        info!(
            request = id,
            helper,
            left_ms = left.as_millis() as u64,
            last_event = request.info.last_event.unwrap_or(0),
            resumes = request.info.resumes.as_deref().unwrap_or(""),
            odd_headers = request.route.stream && request.has_odd_place();
            "request passed on"
        );
        asked.push(helper);
        let began = Instant::now();
        let sending = gateway.helpers.send(outgoing);
        let result = timeout(left + ANSWER_GRACE, sending).await;
        let after_ms = began.elapsed().as_millis() as u64;
        match result {
            Ok(Ok(response))
                if exchange::is_declined(response.status().as_u16(), response.headers()) =>
            {
                gateway.metrics.count_passed("declined");
                info!(request = id, after_ms; "other instance takes no request");
            }
            Ok(Ok(response)) => {
                gateway.metrics.count_passed("answered");
                let status = response.status().as_u16();
                // It is true of the other instance's part alone.
                if may_have_run && exchange::promises_not_run(status) {
                    warn!(request = id, status; "refused after an attempt that may have run");
                    return unknown_outcome(request);
                }
                return return_answer(gateway, request, response);
            }
            Ok(Err(HttpError::Connect(why))) => {
                gateway.metrics.count_passed("unsent");
                warn!(request = id, why, after_ms; "other instance not reached");
            }
            Ok(Err(HttpError::Broken(why))) => {
                gateway.metrics.count_passed("broken");
                warn!(request = id, why, after_ms; "other instance gave no answer");
                let budget = || gateway.take_retry(&request.service);
                let step = state.next_step(AttemptFailure::Broken, gateway.now(), budget);
                if step != Step::Retry {
                    return unknown_outcome(request);
                }
            }
            Err(_) => {
                gateway.metrics.count_passed("late");
                return reply::refusal(id, Refusal::TimedOut, Duration::ZERO, "late");
            }
        }
    }
    let refusal = state.refusal();
    warn!(request = id, asked = asked.len(), refusal:?; "no instance takes the request");
    reply::refusal(id, refusal, NO_HELPER_RETRY_AFTER, NO_INSTANCE)
}

/// Chooses an instance that was not asked yet, and builds the request for it.
fn prepare(
    gateway: &Gateway,
    request: &CallerRequest,
    left: Duration,
    asked: &[InstanceId],
) -> Option<(InstanceId, Request<Full<Bytes>>)> {
    let now = gateway.now();
    let settings = gateway.settings();
    let mut candidates = gateway.members().helpers(now);
    candidates.retain(|(instance, _)| !asked.contains(instance));
    let mut reach = gateway.pool.reach();
    let helper = reach.choose_helper(&candidates, &settings.domain, &mut rand::rng(), now)?;
    drop(reach);
    let address = gateway.members().reachable_address(&helper, now)?;
    let path = request
        .uri
        .path_and_query()
        .map_or("/", |path| path.as_str());
    let uri: Uri = format!("http://{address}{path}").parse().ok()?;
    let mut outgoing = Request::new(Full::new(request.body.clone()));
    *outgoing.method_mut() = request.method.clone();
    *outgoing.uri_mut() = uri;
    let mut headers = exchange::passed_headers(&request.headers, &settings.instance, left);
    if request.route.stream {
        let place = request.info.place(request.info.last_event);
        exchange::set_place(&mut headers, place);
    }
    *outgoing.headers_mut() = headers;
    Some((helper, outgoing))
}

/// Returns another instance's answer, and starts a task that forwards its body.
fn return_answer(
    gateway: &Arc<Gateway>,
    request: &CallerRequest,
    response: Response<Incoming>,
) -> Response<AnswerBody> {
    let framing = Framing::of(&response);
    let (head, mut body) = response.into_parts();
    let mut bytes = 0;
    let (sender, queued) = queue::open(&gateway.held, request.connection);
    let guard = gateway.count_request();
    let id = request.info.id.clone();
    let end = Instant::now() + request.time_left() + ANSWER_GRACE;
    tokio::spawn(async move {
        let _guard = guard;
        loop {
            let frame = tokio::select! {
                frame = tokio::time::timeout_at(end, body.frame()) => frame,
                () = sender.closed() => return,
            };
            let data = match frame {
                // An instance states where its answers end.
                Ok(None) if framing != Framing::Connection => {
                    info!(request = id, framing = framing.label(), bytes; "passed answer ended");
                    return sender.finish();
                }
                Ok(Some(Ok(frame))) => match frame.into_data() {
                    Ok(data) => data,
                    Err(_) => continue,
                },
                Ok(None | Some(Err(_))) | Err(_) => {
                    warn!(request = id; "answer of the other instance broke off");
                    return sender.abort();
                }
            };
            bytes += data.len();
            if sender.send(data.to_vec()).await.is_err() {
                info!(request = id, bytes; "caller left a passed answer");
                return;
            }
        }
    });
    let mut answer = Response::new(Either::Right(queued));
    *answer.status_mut() = head.status;
    *answer.headers_mut() = exchange::returned_headers(&head.headers);
    answer
}

/// Returns the refusal of a request that has not run, and that this instance does not take.
fn refuse(id: &str) -> Response<AnswerBody> {
    reply::refusal(id, Refusal::NotRun, NO_HELPER_RETRY_AFTER, NO_INSTANCE)
}
