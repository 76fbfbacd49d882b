//! Connections to the processes of engines that have registered.
//!
//! An engine may start again under its id, with another version of its software, before its entry
//! in the store says so. What an instance knows of a target is that of the process which wrote the
//! entry: a stream begins and goes on, and a prompt is computed, only on a connection whose other
//! end has stated to be this process.

use std::sync::Arc;
use std::time::Duration;

use cactuslane_flight::target::Target;
use cactuslane_flight::{AttemptFailure, ServingProcess};
use cactuslane_platform::engine;
use hyper::Method;
use log::info;
use tokio::time::timeout;

use crate::limits::permits::Permit;
use crate::plain::attempt_failure;
use crate::state::Gateway;
use crate::upstream::PooledConnection;
use crate::{answers, engines, limits};

/// Maximum time for which an engine is waited for that is to state which process it is.
const REPORT_TIMEOUT: Duration = Duration::from_millis(450);

/// Returns a connection to the process that registered an engine, for a request with an id, and the
/// permit to send on it.
///
/// The permit is used up by the report of a connection that has not stated its process yet, and
/// another one is acquired then. If `may_reuse` is not set, the connection is a new one.
///
/// # Errors
///
/// Returns [`AttemptFailure::Unsent`] and the cause if there is no connection, or if it leads to
/// another process.
pub async fn connect(
    gateway: &Arc<Gateway>,
    target: &Target,
    id: &str,
    may_reuse: bool,
    mut permit: Permit,
) -> Result<(PooledConnection, Permit), (AttemptFailure, String)> {
    let pool = &gateway.pool;
    let mut may_reuse = may_reuse;
    loop {
        let kept = if may_reuse {
            pool.take_idle(&target.id, id)
        } else {
            None
        };
        let is_kept = kept.is_some();
        let mut connection = match kept {
            Some(connection) => connection,
            None => pool
                .connect(&target.id, target.address)
                .await
                .map_err(attempt_failure)?,
        };
        if let Some(process) = connection.process() {
            if process.has_registered(target) {
                return Ok((connection, permit));
            }
            // The connection of a process that has ended.
            continue;
        }
        let stated = identify(gateway, target, &mut connection, permit).await;
        permit = limits::acquire_in_time(gateway, target).await;
        match stated {
            Ok(process) if process.has_registered(target) => return Ok((connection, permit)),
            Ok(process) if !is_kept => {
                info!(
                    request = id,
                    target_id = target.id,
                    process:? = target.started_at,
                    served_by:? = process.started_at();
                    "another process than the registered one"
                );
                answers::record_replaced(gateway, target);
                let why = "another process than the registered one answers";
                return Err((AttemptFailure::Unsent, why.to_owned()));
            }
            Err(why) if !is_kept => {
                let why = format!("the process is not known: {why}");
                return Err((AttemptFailure::Unsent, why));
            }
            // A kept connection may have failed unnoticed.
            Ok(_) | Err(_) => may_reuse = false,
        }
    }
}

/// Asks the process at the other end of a connection which one it is.
///
/// # Errors
///
/// Returns the reason why it is not known.
async fn identify(
    gateway: &Arc<Gateway>,
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
    process.ok_or_else(|| "the report cannot be decoded".to_owned())
}
