//! Requests that an instance without links to targets passes on to another instance, once.
//!
//! The other instance serves such a request as one of its own callers', except that it never passes
//! it on again. It takes them at the address for messages between instances.

use std::sync::Arc;
use std::time::Duration;

use cactuslane_flight::{AttemptFailure, ConfigPosition, Refusal, RequestState, Step};
use cactuslane_held::Framing;
use cactuslane_place::{HelperSearch, SearchStep, Unserved};
use cactuslane_platform::exchange;
use cactuslane_store::http::HttpError;
use cactuslane_types::InstanceId;
use http_body_util::{BodyExt, Either, Full};
use hyper::body::{Bytes, Incoming};
use hyper::header::HeaderMap;
use hyper::{Request, Response, Uri};
use log::{info, warn};
use tokio::time::{Instant, sleep, timeout};

use crate::plain::unknown_outcome;
use crate::queue;
use crate::reply::{self, AnswerBody};
use crate::request::CallerRequest;
use crate::state::Gateway;

/// Time beyond a request's deadline for which the other instance's own answer is awaited.
const ANSWER_GRACE: Duration = Duration::from_millis(100);
/// Value of `Retry-After` when no instance takes a request.
const NO_HELPER_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Largest size of the body of a declined request that is read, in bytes.
const MAX_DISCARDED_BYTES: usize = 16 << 20;
/// Longest time for which it is read.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(1);

/// Returns the answer of an instance that does not take a request of another one's caller, with the
/// configuration by which it would have decided, if it has one.
#[must_use]
pub fn decline(id: &str, config: Option<ConfigPosition>) -> Response<AnswerBody> {
    let cause = Unserved::NoInstance.cause();
    let mut response = reply::refusal(id, Refusal::NotRun, NO_HELPER_RETRY_AFTER, cause);
    let headers = response.headers_mut();
    exchange::decline(headers);
    // One without any is behind each other.
    exchange::set_configuration(headers, config.unwrap_or_default());
    response
}

/// Declines a request that only an instance which knows the store recently is to take.
#[must_use]
pub fn decline_outdated(id: &str, config: ConfigPosition) -> Response<AnswerBody> {
    let mut response = decline(id, Some(config));
    exchange::set_outdated(response.headers_mut());
    response
}

/// Declines a request of another instance whose configuration this one lacks.
pub async fn decline_behind(
    id: &str,
    own: Option<ConfigPosition>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let stated = exchange::configuration(request.headers());
    let position = |config: Option<ConfigPosition>| config.map(|config| config.to_string());
    info!(
        request = id,
        peer = exchange::passed_by(request.headers()),
        configuration = position(own).as_deref().unwrap_or("none"),
        theirs = position(stated).as_deref().unwrap_or("not stated");
        "request of another instance not taken, its configuration is not known"
    );
    discard_body(request.into_body()).await;
    decline(id, own)
}

/// Returns whether this instance may decide on a request that another one passed on, by the
/// configuration that it has in force.
///
/// The other one states its own in the request; an earlier build does not, so that nothing shows that
/// this one knows as much.
#[must_use]
pub fn may_decide(config: Option<ConfigPosition>, request: &HeaderMap) -> bool {
    let stated = exchange::configuration(request);
    config
        .zip(stated)
        .is_some_and(|(own, theirs)| own.covers(theirs))
}

/// Reads and discards the body of a request that is declined, so that the connection does not break
/// before the other instance has read the answer.
async fn discard_body(mut body: Incoming) {
    let reading = async {
        let mut bytes = 0;
        while let Some(Ok(frame)) = body.frame().await {
            bytes += frame.data_ref().map_or(0, Bytes::len);
            if bytes > MAX_DISCARDED_BYTES {
                return;
            }
        }
    };
    let _ = timeout(DISCARD_TIMEOUT, reading).await;
}

/// Passes a request on to another instance and returns its answer; a separate task forwards the
/// body.
///
/// The request must not have run, and must not have been passed on before. It is sent to a second
/// instance only if the first one cannot be reached or declines it, or if it may be repeated
/// and the retry budget allows that. An instance declines it if its configuration is older than the
/// one by which the request is decided here.
pub async fn pass_on(
    gateway: &Arc<Gateway>,
    request: &CallerRequest,
    mut state: RequestState,
) -> Response<AnswerBody> {
    let id = &request.info.id;
    let own = request.config.config_position();
    let config_age = Duration::from_millis(gateway.fleet().config_age(gateway.now()));
    let mut search = HelperSearch::begin(config_age, request.time_left(), gateway.elapsed());
    loop {
        let left = request.time_left();
        if left.is_zero() {
            return refuse_unserved(request, &state, &search, Unserved::NoInstance);
        }
        let Some((helper, mut outgoing)) = prepare(gateway, request, left, &mut search) else {
            match search.end_round(gateway.elapsed()) {
                SearchStep::Wait(pause) => sleep(pause).await,
                SearchStep::GiveUp(unserved) => {
                    return refuse_unserved(request, &state, &search, unserved);
                }
            }
            continue;
        };
        let may_have_run = state.refusal() != Refusal::NotRun;
        exchange::set_may_have_run(outgoing.headers_mut(), may_have_run);
        info!(
            request = id,
            helper,
            left_ms = left.as_millis() as u64,
            last_event = request.info.last_event.unwrap_or(0),
            resumes = request.info.resumes.as_deref().unwrap_or(""),
            odd_headers = request.route.stream && request.has_odd_place(),
            configuration:% = own;
            "request passed on"
        );
        search.record_asked(&helper);
        let began = Instant::now();
        let sending = gateway.helpers.send(outgoing);
        let result = timeout(left + ANSWER_GRACE, sending).await;
        let after_ms = began.elapsed().as_millis() as u64;
        match result {
            Ok(Ok(response))
                if exchange::is_declined(response.status().as_u16(), response.headers()) =>
            {
                let stated = exchange::configuration(response.headers());
                if let Some(theirs) = stated.filter(|theirs| !theirs.covers(own)) {
                    gateway.metrics.count_passed("behind");
                    gateway.pool.reach().record_behind(&helper, gateway.now());
                    search.record_behind(&helper);
                    info!(request = id, helper, configuration:% = own, theirs:%, after_ms; "other instance is behind");
                } else if exchange::is_outdated(response.headers()) {
                    gateway.metrics.count_passed("outdated");
                    search.record_outdated(&helper);
                    info!(request = id, helper, after_ms; "other instance is outdated");
                } else {
                    search.record_failed();
                    gateway.metrics.count_passed("declined");
                    info!(request = id, helper, after_ms; "other instance takes no request");
                }
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
                search.record_failed();
                gateway.metrics.count_passed("unsent");
                warn!(request = id, why, after_ms; "other instance not reached");
            }
            Ok(Err(HttpError::Broken(why))) => {
                search.record_failed();
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
}

/// Returns the refusal of a request that no instance serves.
fn refuse_unserved(
    request: &CallerRequest,
    state: &RequestState,
    search: &HelperSearch,
    unserved: Unserved,
) -> Response<AnswerBody> {
    let (id, refusal, cause) = (&request.info.id, state.refusal(), unserved.cause());
    let configuration = request.config.config_position();
    let failed = search.failed();
    warn!(request = id, failed, refusal:?, cause, configuration:%; "no instance takes the request");
    reply::refusal(id, refusal, NO_HELPER_RETRY_AFTER, cause)
}

/// Chooses an instance that may be asked in this round, and builds the request for it.
fn prepare(
    gateway: &Gateway,
    request: &CallerRequest,
    left: Duration,
    search: &mut HelperSearch,
) -> Option<(InstanceId, Request<Full<Bytes>>)> {
    if !search.may_ask() {
        return None;
    }
    let now = gateway.now();
    let settings = gateway.settings();
    let mut candidates = gateway.members().helpers(now);
    let mut reach = gateway.pool.reach();
    candidates.retain(|(instance, _)| {
        if !search.is_open(instance) {
            return false;
        }
        let was_behind = reach.was_behind(instance, now);
        if was_behind {
            search.record_passed_over();
        }
        !was_behind
    });
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
    exchange::set_configuration(&mut headers, request.config.config_position());
    if gateway.is_recent() && !search.takes_outdated() {
        exchange::set_recent_only(&mut headers);
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
