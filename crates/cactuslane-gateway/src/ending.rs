//! How the answers of targets end, and how that is known.
//!
//! The end of an answer that has no length looks the same whether its target ended it or was killed:
//! the system closes the connections of a process that ends. Such an answer is whole only if the
//! process that sent it answers a call afterwards. A target also ends what it has not finished when
//! the time that it was given is over.

use std::time::Duration;

use cactuslane_flight::target::Target;
use cactuslane_flight::{AttemptFailure, ServingProcess};
use cactuslane_held::Framing;
use cactuslane_platform::engine;
use cactuslane_platform::exchange::{self, Verdict};
use cactuslane_types::Millis;
use http_body_util::{BodyExt, Limited};
use hyper::body::{Bytes, Incoming};
use hyper::{Method, StatusCode};
use log::info;
use tokio::time::{Instant, timeout};

use crate::bodies::read_body;
use crate::engines::build_call;
use crate::leadership::boot_millis;
use crate::limits::permits::Purpose;
use crate::request::CallerRequest;
use crate::state::Gateway;
use crate::upstream::{PooledConnection, SendError};
use crate::{answers, limits};

/// Time after which a kept connection without an answer may be silent, and a new one is used.
const KEPT_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum size of the answer to that call, in bytes.
const MAX_CONFIRM_BYTES: usize = 64 << 10;

/// An answer of a target whose head has arrived.
#[derive(Clone, Copy, Debug)]
pub struct Answered<'a> {
    /// The target.
    pub target: &'a Target,
    /// What ends the body.
    pub framing: Framing,
    /// Time at which the target was told to stop work, in milliseconds of [`boot_millis`].
    pub told_deadline: Millis,
}

/// Returns the time that a target is told, of which a part has passed; it is told in whole milliseconds,
/// and an earlier end than its answer is judged by would pass for a regular one.
#[must_use]
pub fn told_time(left: Duration, passed: Duration) -> Duration {
    let passed = Duration::from_millis(passed.as_millis() as Millis);
    left.saturating_sub(passed)
}

/// Reads the body of a target's answer, which must be whole.
///
/// # Errors
///
/// Returns [`AttemptFailure::Broken`] and the cause if the body is incomplete or cannot be held in
/// memory, and the errors of [`confirm`].
pub async fn read_whole(
    gateway: &Gateway,
    request: &CallerRequest,
    answered: Answered<'_>,
    body: Incoming,
) -> Result<Bytes, (AttemptFailure, String)> {
    let body = read_body(gateway, request.connection, body).await?;
    confirm(gateway, request, answered).await?;
    Ok(body)
}

/// Confirms that an answer whose body has ended is whole: by its length, by its last chunk or, if it
/// has neither, by a call that the process which sent it must answer now.
///
/// # Errors
///
/// Returns [`AttemptFailure::Late`] if the target was to stop work before the end, so that it may have
/// ended an answer that is not whole, and [`AttemptFailure::Broken`] if the call is not answered while
/// the request has time left.
pub async fn confirm(
    gateway: &Gateway,
    request: &CallerRequest,
    answered: Answered<'_>,
) -> Result<(), (AttemptFailure, String)> {
    let Answered {
        target, framing, ..
    } = answered;
    if framing == Framing::Length {
        return Ok(());
    }
    if boot_millis() >= answered.told_deadline || request.time_left().is_zero() {
        let why = "the end came after the deadline".to_owned();
        return Err((AttemptFailure::Late, why));
    }
    if framing == Framing::Chunks {
        return Ok(());
    }
    let began = Instant::now();
    let asking = timeout(request.time_left(), ask_twice(gateway, request, target));
    let result = asking.await;
    let result = result.unwrap_or_else(|_| Err("no answer in time".to_owned()));
    gateway.metrics.count_end(result.is_ok());
    info!(
        request = request.info.id,
        target_id = target.id,
        process:? = target.started_at,
        confirmed = result.is_ok(),
        why = result.as_ref().err().map_or("", String::as_str),
        elapsed_ms = began.elapsed().as_millis() as u64;
        "end without a length"
    );
    let broken = |why| format!("the end is not confirmed: {why}");
    result.map_err(|why| (AttemptFailure::Broken, broken(why)))
}

/// Asks the process that sent an answer for its state, once more on a new connection if a kept one
/// fails or is silent.
async fn ask_twice(
    gateway: &Gateway,
    request: &CallerRequest,
    target: &Target,
) -> Result<(), String> {
    let pool = &gateway.pool;
    let (id, address) = (&target.id, target.address);
    let kept = pool.checkout(id, address, "").await;
    let connection = kept.map_err(describe)?;
    let asking = timeout(KEPT_TIMEOUT, ask(gateway, request, target, connection));
    if let Ok(Ok(())) = asking.await {
        return Ok(());
    }
    let connection = pool.connect(id, address).await.map_err(describe)?;
    ask(gateway, request, target, connection).await
}

/// Asks the process that sent an answer for its state, on a connection to its address.
async fn ask(
    gateway: &Gateway,
    request: &CallerRequest,
    target: &Target,
    mut connection: PooledConnection,
) -> Result<(), String> {
    let service = request.config.services.get(&request.service);
    let plain = service.filter(|service| service.engine.is_none());
    let path = plain.map_or(engine::REPORT_PATH, |service| service.health_path.as_str());
    let permit = limits::acquire_in_time(gateway, target).await;
    let sent = gateway.now();
    let call = build_call(target, Method::GET, path, String::new());
    let response = connection.send(call, permit).await.map_err(describe)?;
    let (status, headers) = (response.status(), response.headers());
    let lives = match exchange::verdict("", &target.id, status.as_u16(), headers) {
        // A health check may fail, or be rejected for want of a slot; a report needs none.
        Verdict::Answer => plain.is_some() || status == StatusCode::OK,
        Verdict::NotRun => plain.is_some() && !exchange::is_misdirected(status.as_u16()),
        Verdict::WrongRole | Verdict::Replaced | Verdict::Foreign => false,
    };
    if !lives {
        return Err(format!("status {status} does not show that it lives"));
    }
    if exchange::names_other_target(headers, &target.id) {
        return Err("another target has the address".to_owned());
    }
    answers::observe(gateway, target, Purpose::Call, status, headers, sent);
    let keep_alive = exchange::keep_alive_timeout(headers);
    let framing = Framing::of(&response);
    let body = Limited::new(response.into_body(), MAX_CONFIRM_BYTES).collect();
    let body = body.await.map_err(|error| error.to_string())?.to_bytes();
    let told = match engine::decode_started(&body) {
        Ok(told) => told,
        // A health check says nothing of its target, a report does.
        Err(_) if plain.is_some() => None,
        Err(why) => return Err(format!("the report is not whole: {why}")),
    };
    if plain.is_none() {
        connection.record_process(ServingProcess::stated(told));
    }
    let known = gateway
        .fleet()
        .known(&target.id)
        .and_then(|known| known.started_at);
    for started in [told, known] {
        if started.is_some() && target.started_at.is_some() && started != target.started_at {
            return Err("the target was started again".to_owned());
        }
    }
    if framing != Framing::Connection {
        gateway.pool.check_in(connection, keep_alive);
    }
    Ok(())
}

/// Returns the cause for which a call has no answer.
fn describe(error: SendError) -> String {
    match error {
        SendError::Unsent(why) | SendError::Broken(why) => why,
    }
}
