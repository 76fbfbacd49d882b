//! Callers' connections, and the reading and answering of their requests.

use std::future::pending;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use cactuslane_flight::request_info::fingerprint;
use cactuslane_flight::routing_config::Limits;
use cactuslane_flight::{
    AttemptFailure, ConnectionId, Door, Refusal, RequestInfo, RequestState, stopping,
};
use cactuslane_held::{BodyError, ConnectionGuard, HeadLimits, connections};
use cactuslane_platform::exchange;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HOST, HeaderValue};
use hyper::http::uri::PathAndQuery;
use hyper::{Request, Response, StatusCode};
use log::{info, warn};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

use crate::passing;
use crate::reply::{self, AnswerBody, Cause};
use crate::request::CallerRequest;
use crate::state::Gateway;
use crate::taken::TakenGuard;
use crate::{customers, generation, metrics, plain};

/// Delay before the next `accept` after a failed one.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);
/// Value of `Retry-After` when no configuration is known or the route has no service.
const UNCONFIGURED_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Value of `Retry-After` when this instance is stopping: the caller may send the request to
/// another instance immediately.
const STOPPING_RETRY_AFTER: Duration = Duration::ZERO;
/// Cause of a refusal after attempts of which none was sent.
const UNSENT: &str = plain::failure_label(AttemptFailure::Unsent);
/// Causes of refusals of which another instance may know more than this one, if it has read more of
/// the store.
const OWN_IGNORANCE: [&str; 2] = [plain::NO_TARGET, generation::VERSION_UNKNOWN];
/// Value of `Retry-After` when there is no space for a body.
const NO_SPACE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Where a request comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestSource {
    /// A caller sent it to this instance.
    Caller,
    /// Another instance passed it on, so that this one does not do so again.
    Instance,
}

/// Guard that logs and counts a request that gets no answer.
///
/// It is dropped with the handler of the request if the caller disconnects first.
#[derive(Debug)]
struct AnswerGuard {
    /// State of the instance, for its metrics.
    gateway: Arc<Gateway>,
    /// Id of the request, for the log line.
    request: String,
    /// Time at which the head had arrived.
    arrived: Instant,
    /// Whether the handler has returned an answer.
    answered: bool,
}

impl Drop for AnswerGuard {
    fn drop(&mut self) {
        if self.answered {
            return;
        }
        self.gateway.metrics.count_answer("none", "left", None);
        info!(
            request = self.request,
            since_arrival_ms = self.arrived.elapsed().as_millis() as u64;
            "caller left without an answer"
        );
    }
}

/// Accepts callers' connections until the task is aborted.
pub async fn serve(gateway: Arc<Gateway>, listener: TcpListener) {
    accept(gateway, listener, RequestSource::Caller).await;
}

/// Accepts requests that other instances pass on, until the task is aborted.
pub async fn serve_passed(gateway: Arc<Gateway>, listener: TcpListener) {
    accept(gateway, listener, RequestSource::Instance).await;
}

/// Accepts connections and serves their requests until the task is aborted.
async fn accept(gateway: Arc<Gateway>, listener: TcpListener, source: RequestSource) {
    let door = match source {
        RequestSource::Caller => Door::Front,
        RequestSource::Instance => Door::Instances,
    };
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                if let Some(guard) = gateway.held.open(door).await {
                    tokio::spawn(serve_connection(gateway.clone(), guard, stream, source));
                }
            }
            Err(error) => {
                info!(error:% = error; "caller not accepted");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves the requests of one connection, with the limit on the size of heads that is in force when
/// it is accepted, and those on their time and on idle time that are in force later on.
async fn serve_connection(
    gateway: Arc<Gateway>,
    guard: ConnectionGuard,
    stream: TcpStream,
    source: RequestSource,
) {
    let _count = gateway.count_connection();
    let limiting = gateway.clone();
    let limits = move || {
        let limits = limiting
            .routing_config()
            .map_or_else(Limits::default, |config| config.limits);
        HeadLimits {
            bytes: limits.header_bytes,
            timeout: limits.header_timeout.max(limits.idle_timeout),
        }
    };
    let respond = |request, connection| {
        let gateway = gateway.clone();
        async move { respond(&gateway, request, source, connection).await }
    };
    connections::serve(guard, stream, limits, pending(), respond).await;
}

/// Answers one request; counts the final answer, and logs it unless it is a success.
async fn respond(
    gateway: &Arc<Gateway>,
    request: Request<Incoming>,
    source: RequestSource,
    connection: ConnectionId,
) -> Response<AnswerBody> {
    let guard = gateway.count_request();
    let arrived = Instant::now();
    let info = exchange::request_info(request.headers());
    let id = info.id.clone();
    let mut answer_guard = AnswerGuard {
        gateway: gateway.clone(),
        request: id.clone(),
        arrived,
        answered: false,
    };
    let (kind, mut response) = match read_request(gateway, info, request, source, connection).await
    {
        Ok(caller_request) => (
            metrics::route_kind(&caller_request.route),
            execute(gateway, caller_request, source).await,
        ),
        Err(response) => ("none", response),
    };
    drop(guard);
    answer_guard.answered = true;
    let status = response.status();
    let cause = response.extensions().get::<Cause>().map(|cause| cause.0);
    gateway
        .metrics
        .count_answer(kind, outcome_label(status), cause);
    if status.is_client_error() || status.is_server_error() {
        warn!(
            request = id,
            status = status.as_u16(),
            cause = cause.unwrap_or("the target's answer"),
            since_arrival_ms = arrived.elapsed().as_millis() as u64;
            "answered without success"
        );
    }
    if gateway.is_leaving() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
    response
}

/// Reads a request with its body, or returns the answer to one that can't be executed.
async fn read_request(
    gateway: &Arc<Gateway>,
    info: RequestInfo,
    request: Request<Incoming>,
    source: RequestSource,
    connection: ConnectionId,
) -> Result<CallerRequest, Response<AnswerBody>> {
    let arrived = Instant::now();
    let config = gateway.routing_config();
    if source == RequestSource::Instance {
        let own = config.as_ref().map(|config| config.config_position());
        if !passing::may_decide(own, request.headers()) {
            return Err(passing::decline_behind(&info.id, own, request).await);
        }
    }
    let Some(config) = config else {
        let cause = "no configuration is known";
        return Err(reply::refusal(
            &info.id,
            Refusal::NotRun,
            UNCONFIGURED_RETRY_AFTER,
            cause,
        ));
    };
    let host = host_name(&request);
    let Some(route) = config.find_route(&host, request.uri().path()).cloned() else {
        // A caller cannot name an instance.
        let peer = match source {
            RequestSource::Caller => "",
            RequestSource::Instance => exchange::passed_by(request.headers()),
        };
        let configuration = config.config_position();
        info!(request = info.id, host, version = config.version, configuration:%, peer; "no route fits");
        return Err(reply::error(&info.id, StatusCode::NOT_FOUND, "no route"));
    };
    let caller = match customers::identify(&config, &route, request.headers()) {
        Ok(caller) => caller,
        Err(denial) => {
            info!(request = info.id, host, reason = denial.cause(); "key not accepted");
            return Err(customers::deny(&info.id, denial));
        }
    };
    // The target must not go by another place in the stream than this instance.
    if route.stream
        && let Err(error) = exchange::stream_place(request.headers())
    {
        info!(request = info.id, route = route.name, error:? = error; "place in a stream not clear");
        let status = StatusCode::BAD_REQUEST;
        return Err(reply::error(&info.id, status, error.reason()));
    }
    let Some(service) = route.pick_service(rand::random()).cloned() else {
        info!(request = info.id, route = route.name; "route has no service");
        let cause = "the route has no service";
        return Err(reply::refusal(
            &info.id,
            Refusal::NotRun,
            UNCONFIGURED_RETRY_AFTER,
            cause,
        ));
    };
    let (parts, body) = request.into_parts();
    let body_timeout = info.timeout.unwrap_or(route.timeout).min(route.timeout);
    let reading = connections::read_body(
        &gateway.held,
        connection,
        body,
        config.limits.body_bytes,
        body_timeout,
    );
    let body = match tokio::time::timeout(body_timeout, reading).await {
        Ok(Ok(body)) => body,
        Ok(Err(error)) => return Err(refuse_body(gateway, &info.id, connection, error)),
        Err(_) => return Err(refuse_body(gateway, &info.id, connection, BodyError::Slow)),
    };
    let path = parts.uri.path_and_query();
    let info = RequestInfo {
        fingerprint: fingerprint(&[
            parts.method.as_str().as_bytes(),
            host.as_bytes(),
            path.map_or("/", PathAndQuery::as_str).as_bytes(),
            caller.credentials(&parts.headers),
            &body,
        ]),
        ..info
    };
    Ok(CallerRequest {
        info,
        route,
        customer: caller.customer,
        priority: caller.priority,
        service,
        config: config.clone(),
        method: parts.method,
        uri: parts.uri,
        headers: parts.headers,
        body,
        connection,
        arrived,
        taken: None,
        targets: Mutex::default(),
    })
}

/// Returns the answer to a request whose body was not read.
fn refuse_body(
    gateway: &Gateway,
    id: &str,
    connection: ConnectionId,
    error: BodyError,
) -> Response<AnswerBody> {
    match error {
        BodyError::TooLarge => {
            let status = StatusCode::PAYLOAD_TOO_LARGE;
            reply::error(id, status, "the body is too large")
        }
        BodyError::NoSpace => {
            gateway.held.report("body refused", "bodies", connection);
            let cause = "no space for the body";
            reply::refusal(id, Refusal::NotRun, NO_SPACE_RETRY_AFTER, cause)
        }
        BodyError::Broken(error) => {
            info!(request = id, error:% = error; "body not read");
            reply::error(id, StatusCode::BAD_REQUEST, "the body can't be read")
        }
        BodyError::Slow => {
            let status = StatusCode::REQUEST_TIMEOUT;
            reply::error(id, status, "the body did not come in time")
        }
    }
}

/// Executes a request, unless the instance is stopping and might not complete it before the end of
/// the grace period.
async fn execute(
    gateway: &Arc<Gateway>,
    mut request: CallerRequest,
    source: RequestSource,
) -> Response<AnswerBody> {
    let time_limit = request.time_left();
    let state = begin_state(gateway, &request, source, time_limit);
    let grace = gateway.settings().grace;
    if let Some(since) = gateway.since_stop()
        && !stopping::accepts_request(since, grace, time_limit)
    {
        info!(
            request = request.info.id,
            since_ms = since.as_millis() as u64;
            "not taken while stopping"
        );
        let refusal = state.refusal();
        return reply::refusal(&request.info.id, refusal, STOPPING_RETRY_AFTER, "stopping");
    }
    let may_pass = source == RequestSource::Caller;
    if may_pass && gateway.pool.reach().is_cut() {
        return passing::pass_on(gateway, &request, state).await;
    }
    if may_pass {
        let request = Arc::new(request);
        let response = execute_here(gateway, &request, state.clone()).await;
        // Only the refusals of this instance itself promise that the request did not run.
        let is_unsent = response.extensions().get::<Cause>() == Some(&Cause(UNSENT));
        let is_refused = response.status() == StatusCode::SERVICE_UNAVAILABLE;
        if is_refused && is_unsent && gateway.pool.reach().is_unreached() {
            return passing::pass_on(gateway, &request, state).await;
        }
        return response;
    }
    let peer = exchange::passed_by(&request.headers).to_owned();
    let taken = TakenGuard::take(&gateway.taken, request.body.len());
    let is_cut = gateway.pool.reach().is_cut();
    let configuration = request.config.config_position();
    if is_cut || taken.is_none() {
        info!(request = request.info.id, peer, is_cut; "request of another instance not taken");
        return passing::decline(&request.info.id, Some(configuration));
    }
    if exchange::is_recent_only(&request.headers) && !gateway.is_recent() {
        info!(request = request.info.id, peer; "request of another instance not taken, the store is not known recently");
        return passing::decline_outdated(&request.info.id, configuration);
    }
    let theirs = exchange::configuration(&request.headers).unwrap_or_default();
    info!(request = request.info.id, peer, configuration:%, theirs:%; "request of another instance taken");
    request.taken = taken;
    let request = Arc::new(request);
    let response = execute_here(gateway, &request, state).await;
    let cause = response.extensions().get::<Cause>().map(|cause| cause.0);
    let is_refused = response.status() == StatusCode::SERVICE_UNAVAILABLE;
    if is_refused && let Some(cause) = cause.filter(|cause| OWN_IGNORANCE.contains(cause)) {
        info!(request = request.info.id, peer, cause; "request of another instance given back");
        return passing::decline(&request.info.id, Some(configuration));
    }
    response
}

/// Returns the state of a request before its first attempt here.
fn begin_state(
    gateway: &Gateway,
    request: &CallerRequest,
    source: RequestSource,
    time_limit: Duration,
) -> RequestState {
    let (retry, max_attempts) = (request.route.retry, request.route.max_attempts);
    let state = RequestState::new(retry, max_attempts, gateway.now(), time_limit);
    if source != RequestSource::Caller && exchange::may_have_run(&request.headers) {
        state.after_unknown_run()
    } else {
        state
    }
}

/// Executes a request at the targets.
async fn execute_here(
    gateway: &Arc<Gateway>,
    request: &Arc<CallerRequest>,
    state: RequestState,
) -> Response<AnswerBody> {
    gateway.record_request(&request.service);
    if request.route.stream {
        generation::execute(gateway, request.clone(), state).await
    } else {
        plain::execute(gateway, request, state).await
    }
}

/// Returns the host that a request is addressed to, without the port.
fn host_name(request: &Request<Incoming>) -> String {
    let named = request
        .headers()
        .get(HOST)
        .and_then(|host| host.to_str().ok());
    let host = named.or(request.uri().host()).unwrap_or_default();
    host.split(':').next().unwrap_or_default().to_owned()
}

/// Returns the metric label for the status of a final answer.
fn outcome_label(status: StatusCode) -> &'static str {
    match status.as_u16() {
        200..=299 => "success",
        503 | 429 => "refused",
        400..=499 => "rejected",
        _ => "failed",
    }
}
