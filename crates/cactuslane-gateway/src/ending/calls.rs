//! Calls to the process that sent an answer, which show that it goes on.

use std::time::Duration;

use cactuslane_flight::ServingProcess;
use cactuslane_flight::target::Target;
use cactuslane_held::Framing;
use cactuslane_platform::engine;
use cactuslane_platform::exchange::{self, Verdict};
use http_body_util::{BodyExt, Limited};
use hyper::{Method, StatusCode};
use tokio::time::timeout;

use crate::engines::build_call;
use crate::limits::permits::Purpose;
use crate::request::CallerRequest;
use crate::state::Gateway;
use crate::upstream::{PooledConnection, SendError};
use crate::{answers, limits};

/// Time after which a kept connection without an answer may be silent, and a new one is used.
const KEPT_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum size of the answer to a call, in bytes.
const MAX_CONFIRM_BYTES: usize = 64 << 10;

/// Reason why a call does not show that a process goes on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Denial {
    /// Another process has its address or its id, so that it has ended.
    Ended(String),
    /// There is no answer of it, which shows nothing.
    Unknown(String),
}

/// Asks the process that sent an answer for its state, once more on a new connection if a kept one
/// fails or is silent.
pub(super) async fn ask_twice(
    gateway: &Gateway,
    request: &CallerRequest,
    target: &Target,
) -> Result<(), Denial> {
    let pool = &gateway.pool;
    let (id, address) = (&target.id, target.address);
    let kept = pool.checkout(id, address, "").await;
    let connection = kept.map_err(unknown)?;
    let asking = timeout(KEPT_TIMEOUT, ask(gateway, request, target, connection));
    if let Ok(Ok(())) = asking.await {
        return Ok(());
    }
    let connection = pool.connect(id, address).await.map_err(unknown)?;
    ask(gateway, request, target, connection).await
}

/// Asks the process that sent an answer for its state, on a connection to its address.
async fn ask(
    gateway: &Gateway,
    request: &CallerRequest,
    target: &Target,
    mut connection: PooledConnection,
) -> Result<(), Denial> {
    let service = request.config.services.get(&request.service);
    let plain = service.filter(|service| service.engine.is_none());
    let path = plain.map_or(engine::REPORT_PATH, |service| service.health_path.as_str());
    let permit = limits::acquire_in_time(gateway, target).await;
    let sent = gateway.now();
    let call = build_call(target, Method::GET, path, String::new());
    let response = connection.send(call, permit).await.map_err(unknown)?;
    let (status, headers) = (response.status(), response.headers());
    let verdict = exchange::verdict("", &target.id, status.as_u16(), headers);
    if verdict == Verdict::Replaced || exchange::names_other_target(headers, &target.id) {
        return Err(Denial::Ended("another target has the address".to_owned()));
    }
    let lives = match verdict {
        // A health check may fail, or be rejected for want of a slot; a report needs none.
        Verdict::Answer => plain.is_some() || status == StatusCode::OK,
        Verdict::NotRun => plain.is_some() && !exchange::is_misdirected(status.as_u16()),
        Verdict::WrongRole | Verdict::Replaced | Verdict::Foreign | Verdict::Invalid => false,
    };
    if !lives {
        let why = format!("status {status} does not show that it lives");
        return Err(Denial::Unknown(why));
    }
    answers::observe(gateway, target, Purpose::Call, status, headers, sent);
    let keep_alive = exchange::keep_alive_timeout(headers);
    let framing = Framing::of(&response);
    let body = Limited::new(response.into_body(), MAX_CONFIRM_BYTES).collect();
    let body = body.await;
    let body = body.map_err(|error| Denial::Unknown(error.to_string()))?;
    let body = body.to_bytes();
    let told = match engine::decode_started(&body) {
        Ok(told) => told,
        // A health check says nothing of its target, a report does.
        Err(_) if plain.is_some() => None,
        Err(why) => return Err(Denial::Unknown(format!("the report is not whole: {why}"))),
    };
    if plain.is_none() {
        connection.record_process(ServingProcess::stated(told));
        if told.is_none() && target.started_at.is_some() {
            return Err(Denial::Unknown("the report states no start".to_owned()));
        }
    }
    let known = gateway
        .fleet()
        .known(&target.id)
        .and_then(|known| known.started_at);
    for started in [told, known] {
        if started.is_some() && target.started_at.is_some() && started != target.started_at {
            return Err(Denial::Ended("the target was started again".to_owned()));
        }
    }
    if framing != Framing::Connection {
        gateway.pool.check_in(connection, keep_alive);
    }
    Ok(())
}

/// Returns why a call that has no answer shows nothing.
fn unknown(error: SendError) -> Denial {
    match error {
        SendError::Unsent(why) | SendError::Broken(why) => Denial::Unknown(why),
    }
}
