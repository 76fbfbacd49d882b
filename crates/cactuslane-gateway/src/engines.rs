//! Calls to engines beside callers' requests: for their state, their caches and computed prompts.

use std::sync::Arc;
use std::time::Duration;

use cactuslane_flight::request_info::PromptPart;
use cactuslane_flight::target::Target;
use cactuslane_flight::{ServingProcess, StatedRun};
use cactuslane_held::NO_CONNECTION;
use cactuslane_place::Observed;
use cactuslane_platform::engine::{self, Report};
use cactuslane_platform::exchange::{self, Verdict};
use http_body_util::Full;
use hyper::body::Bytes;
use hyper::{Method, Request, StatusCode};
use log::info;
use tokio::time::timeout;

use crate::answers;
use crate::bodies::read_body;
use crate::limits;
use crate::limits::permits::{Permit, Purpose};
use crate::state::Gateway;
use crate::upstream::{PooledConnection, SendError};

/// Maximum duration of one call to an engine.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum size of the answer to a call, in bytes.
const MAX_CALL_BYTES: usize = 16 << 20;

/// Reason why a call to an engine has no result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallError {
    /// Nothing was sent, so that the call had no effect.
    Unsent(String),
    /// The call may have taken effect.
    Unknown(String),
}

impl From<SendError> for CallError {
    fn from(error: SendError) -> Self {
        match error {
            SendError::Unsent(why) => Self::Unsent(why),
            SendError::Broken(why) => Self::Unknown(why),
        }
    }
}

/// Requests the state of an engine.
///
/// # Errors
///
/// Returns an error if no valid answer arrives within [`CALL_TIMEOUT`].
pub async fn report(gateway: &Gateway, target: &Target) -> Result<Report, CallError> {
    let body = send_call(gateway, target, Method::GET, engine::REPORT_PATH).await?;
    engine::decode_report(&body).map_err(CallError::Unknown)
}

/// Requests the runs of an engine, and the start of the process that states them, if it does.
///
/// # Errors
///
/// Returns an error if no valid answer arrives within [`CALL_TIMEOUT`].
pub async fn stated_runs(
    gateway: &Gateway,
    target: &Target,
) -> Result<(Vec<StatedRun>, Option<u64>), CallError> {
    let body = send_call(gateway, target, Method::GET, engine::REPORT_PATH).await?;
    let runs = engine::decode_runs(&body).map_err(CallError::Unknown)?;
    let started_at = engine::decode_started(&body).map_err(CallError::Unknown)?;
    Ok((runs, started_at))
}

/// Asks an engine that turned a request away whether it is carrying out an order, unless it was asked
/// just now; if it is, it gets no new work for a time, and the other instances are told.
///
/// Otherwise each instance would learn by rejections of its own that an engine changes its role whose
/// order they do not know, as the instance that gave it has ended.
pub fn ask_rejecting(gateway: &Arc<Gateway>, target: &Target) {
    if !gateway.may_ask(&target.id) {
        return;
    }
    let (gateway, target) = (gateway.clone(), target.clone());
    tokio::spawn(async move {
        let (is_busy, role) = match report(&gateway, &target).await {
            Ok(report) => (report.busy, report.role),
            Err(error) => {
                info!(target_id = target.id, error:? = error; "rejecting engine gave no report");
                return;
            }
        };
        let now = gateway.now();
        let mut fleet = gateway.fleet();
        let is_new = is_busy && fleet.observe_changing(&target.id, target.started_at, now);
        drop(fleet);
        if is_new {
            info!(target_id = target.id, role:? = role; "engine carries out an order");
            gateway.queue_observation(&target, Observed::Changing);
        }
    });
}

/// Requests the list of the prompt parts that an engine caches.
///
/// # Errors
///
/// Returns an error if no valid answer arrives within [`CALL_TIMEOUT`].
pub async fn cached_parts(
    gateway: &Gateway,
    target: &Target,
) -> Result<Vec<PromptPart>, CallError> {
    let body = send_call(gateway, target, Method::GET, engine::PARTS_PATH).await?;
    engine::decode_parts(&body).map_err(CallError::Unknown)
}

/// Requests that an engine frees a computed prompt.
///
/// # Errors
///
/// Returns an error if the engine does not confirm within [`CALL_TIMEOUT`]; the engine frees the
/// prompt itself after the configured `handle_ttl`.
pub async fn free_prompt(
    gateway: &Gateway,
    target: &Target,
    handle: &str,
) -> Result<(), CallError> {
    let path = engine::release_path(handle);
    send_call(gateway, target, Method::DELETE, &path).await?;
    Ok(())
}

/// Builds the HTTP request of a call to an engine.
///
/// A header names the engine, so that no other target that has its address accepts the call.
#[must_use]
pub fn build_call(
    target: &Target,
    method: Method,
    path: &str,
    body: String,
) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(Bytes::from(body)));
    *request.method_mut() = method;
    *request.uri_mut() = path.parse().unwrap_or_default();
    *request.headers_mut() = exchange::call_headers(&target.id, target.address);
    request
}

/// Sends a call without a body and returns the body of the answer.
async fn send_call(
    gateway: &Gateway,
    target: &Target,
    method: Method,
    path: &str,
) -> Result<Bytes, CallError> {
    let answer = async {
        let pause = gateway.fleet().pause_left(&target.id, gateway.now());
        if !pause.is_zero() {
            return Err(CallError::Unsent(format!(
                "the target wants a pause of {pause:?}"
            )));
        }
        let permit = limits::acquire(gateway, target, "").await;
        let permit = permit.map_err(|wait| {
            CallError::Unsent(format!("the target's limit allows no call for {wait:?}"))
        })?;
        let mut connection = gateway
            .pool
            .checkout(&target.id, target.address, "")
            .await?;
        let call = (method, path);
        let (body, keep_alive) = call_on(gateway, target, &mut connection, call, permit).await?;
        gateway.pool.check_in(connection, keep_alive);
        Ok(body)
    };
    let result = timeout(CALL_TIMEOUT, answer).await;
    result.unwrap_or_else(|_| Err(CallError::Unknown("no answer in time".to_owned())))
}

/// Sends a call without a body, given by its method and path, on a connection to an engine, and
/// returns the body of the answer with the time after which the engine closes the idle connection,
/// if it states one.
///
/// # Errors
///
/// Returns an error if there is no complete answer with status 200; the connection must not be used
/// again then.
pub async fn call_on(
    gateway: &Gateway,
    target: &Target,
    connection: &mut PooledConnection,
    (method, path): (Method, &str),
    permit: Permit,
) -> Result<(Bytes, Option<Duration>), CallError> {
    let sent = gateway.now();
    let call = build_call(target, method, path, String::new());
    let response = connection.send(call, permit).await?;
    let (status, headers) = (response.status(), response.headers());
    if !exchange::answers_call(headers) {
        let why = format!("status {status}, the answer belongs to a request");
        return Err(CallError::Unknown(why));
    }
    answers::observe(gateway, target, Purpose::Call, status, headers, sent);
    if exchange::verdict("", &target.id, status.as_u16(), headers) == Verdict::Replaced {
        answers::record_replaced(gateway, target);
    }
    let keep_alive = exchange::keep_alive_timeout(headers);
    connection.allow(MAX_CALL_BYTES);
    let body = read_body(gateway, NO_CONNECTION, response.into_body()).await;
    let body = body.map_err(|(_, why)| CallError::Unknown(why))?;
    if status != StatusCode::OK {
        return Err(CallError::Unknown(format!("status {status}")));
    }
    if path == engine::REPORT_PATH
        && let Ok(started_at) = engine::decode_started(&body)
    {
        connection.record_process(ServingProcess::stated(started_at));
    }
    Ok((body, keep_alive))
}
