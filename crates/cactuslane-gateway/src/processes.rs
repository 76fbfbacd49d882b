//! Connections to the processes of engines that have registered.
//!
//! An engine may start again under its id, with another version of its software, before its entry
//! in the store says so. What an instance knows of a target is that of the process which wrote the
//! entry: a stream begins and goes on, and a prompt is computed, only on a connection whose other
//! end has stated to be this process.

use std::time::Duration;

use cactuslane_flight::target::Target;
use cactuslane_flight::{AttemptFailure, ServingProcess};
use cactuslane_platform::engine;
use hyper::Method;
use log::info;
use tokio::time::timeout;

use crate::limits::permits::Permit;
use crate::state::Gateway;
use crate::upstream::{PooledConnection, attempt_failure};
use crate::{engines, limits};

/// Maximum time for which an engine is waited for that is to state which process it is.
const REPORT_TIMEOUT: Duration = Duration::from_millis(450);
/// Maximum number of connections for one request, as targets close some after an answer.
const MAX_CONNECTIONS: usize = 2;

/// Returns a connection to the process that registered an engine, for a request with an id, and the
/// permit to send on it.
///
/// The permit is used up by the report of a connection that has not stated its process yet, and
/// another one is acquired then. If `may_reuse` is not set, the connection is a new one.
///
/// # Errors
///
/// Returns [`AttemptFailure::Unsent`] and the cause if there is no connection or no permit, or if the
/// connection leads to another process or to one that does not state which it is.
pub async fn connect(
    gateway: &Gateway,
    target: &Target,
    id: &str,
    may_reuse: bool,
    permit: Permit,
) -> Result<(PooledConnection, Permit), (AttemptFailure, String)> {
    let unsent = |why: String| (AttemptFailure::Unsent, why);
    if may_reuse && let Some(connection) = take_identified(gateway, target, id) {
        return Ok((connection, permit));
    }
    let mut permit = permit;
    for _ in 0..MAX_CONNECTIONS {
        let connection = gateway.pool.connect(&target.id, target.address).await;
        let mut connection = connection.map_err(attempt_failure)?;
        let stated = identify(gateway, target, &mut connection, permit).await;
        let process = stated.map_err(|why| unsent(format!("the process is not known: {why}")))?;
        if !process.has_registered(target) {
            record_other(gateway, target, process, id);
            let why = "another process than the registered one answers";
            return Err(unsent(why.to_owned()));
        }
        let acquired = limits::acquire(gateway, target, id).await;
        permit = acquired.map_err(|wait| unsent(format!("no permit for {wait:?}")))?;
        if connection.is_ready().await {
            return Ok((connection, permit));
        }
    }
    Err(unsent("closed after the report".to_owned()))
}

/// Records that another process of a target answers than the one that wrote its entry.
fn record_other(gateway: &Gateway, target: &Target, process: ServingProcess, request: &str) {
    info!(
        request,
        target_id = target.id,
        process:? = target.started_at,
        served_by:? = process.started_at();
        "another process than the registered one"
    );
    let now = gateway.now();
    let mut fleet = gateway.fleet();
    fleet.observe_restarted(&target.id, target.started_at, now);
}

/// Removes and returns a kept connection whose other end stated to be the process that registered a
/// target; closes those of other processes.
fn take_identified(gateway: &Gateway, target: &Target, id: &str) -> Option<PooledConnection> {
    loop {
        let connection = gateway.pool.take_idle(&target.id, id)?;
        let process = connection.process();
        if process.is_some_and(|process| process.has_registered(target)) {
            return Some(connection);
        }
    }
}

/// Asks the process at the other end of a connection which one it is.
///
/// # Errors
///
/// Returns the reason why it is not known.
async fn identify(
    gateway: &Gateway,
    target: &Target,
    connection: &mut PooledConnection,
    permit: Permit,
) -> Result<ServingProcess, String> {
    let call = (Method::GET, engine::REPORT_PATH);
    let answer = engines::call_on(gateway, target, connection, call, permit);
    let answer = timeout(REPORT_TIMEOUT, answer).await;
    let answer = answer.map_err(|_| format!("no report within {REPORT_TIMEOUT:?}"))?;
    answer.map_err(|error| format!("{error:?}"))?;
    let process = connection.process();
    let stated =
        process.filter(|process| process.started_at().is_some() || target.started_at.is_none());
    stated.ok_or_else(|| "the report states no start".to_owned())
}
