//! Reading of request bodies, with limits on size and time.

use std::time::Duration;

use http_body_util::BodyExt;
use hyper::body::{Body as _, Bytes, Incoming};
use tokio::time::timeout;

use crate::reply::ApiError;

/// Maximum time until the next frame of a body arrives.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// Maximum time for the whole body.
const BODY_TIMEOUT: Duration = Duration::from_mins(1);

/// Reads a whole body of at most `limit` bytes.
///
/// # Errors
///
/// Returns [`ApiError::TooLarge`] for a larger body, before it is read if its length is announced,
/// [`ApiError::SlowBody`] after a time-out, and [`ApiError::BadRequest`] if reading fails.
pub async fn read(body: Incoming, limit: u64) -> Result<Bytes, ApiError> {
    if body.size_hint().lower() > limit {
        return Err(ApiError::TooLarge);
    }
    match timeout(BODY_TIMEOUT, collect(body, limit)).await {
        Ok(result) => result,
        Err(_) => Err(ApiError::SlowBody),
    }
}

/// Collects the data frames of a body; trailers are ignored.
async fn collect(mut body: Incoming, limit: u64) -> Result<Bytes, ApiError> {
    let mut bytes = Vec::new();
    loop {
        let Ok(frame) = timeout(IDLE_TIMEOUT, body.frame()).await else {
            return Err(ApiError::SlowBody);
        };
        let Some(frame) = frame else {
            return Ok(Bytes::from(bytes));
        };
        let frame = frame.map_err(|error| ApiError::BadRequest(error.to_string()))?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if (bytes.len() + data.len()) as u64 > limit {
            return Err(ApiError::TooLarge);
        }
        bytes.extend_from_slice(&data);
    }
}
