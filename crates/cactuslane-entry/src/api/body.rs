//! Reading of request bodies, with limits on size and time.

use std::sync::Arc;
use std::time::Duration;

use cactuslane_flight::ConnectionId;
use cactuslane_held::{BodyError, Held, connections};
use hyper::body::{Bytes, Incoming};
use tokio::time::timeout;

use crate::reply::ApiError;

/// Maximum time until the next bytes of a body arrive.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum time for the whole body.
const BODY_TIMEOUT: Duration = Duration::from_mins(1);

/// Reads a whole body of at most `limit` bytes, which are held for its connection.
///
/// # Errors
///
/// Returns [`ApiError::TooLarge`] for a larger body, before it is read if its length is announced,
/// [`ApiError::SlowBody`] after a time-out, [`ApiError::Busy`] if there is no space for it, and
/// [`ApiError::BadRequest`] if reading fails.
pub async fn read(
    held: &Arc<Held>,
    connection: ConnectionId,
    body: Incoming,
    limit: u64,
) -> Result<Bytes, ApiError> {
    let reading = connections::read_body(held, connection, body, limit as usize, IDLE_TIMEOUT);
    match timeout(BODY_TIMEOUT, reading).await {
        Ok(Ok(body)) => Ok(body),
        Ok(Err(BodyError::TooLarge)) => Err(ApiError::TooLarge),
        Ok(Err(BodyError::NoSpace)) => {
            held.report("body refused", "bodies", connection);
            Err(ApiError::Busy)
        }
        Ok(Err(BodyError::Broken(error))) => Err(ApiError::BadRequest(error.to_string())),
        Ok(Err(BodyError::Slow)) | Err(_) => Err(ApiError::SlowBody),
    }
}
