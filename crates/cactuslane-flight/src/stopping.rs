//! What an instance still takes after it was told to stop.

use std::time::Duration;

/// Time after the signal in which callers may not yet know that the instance is leaving.
const NOTICE: Duration = Duration::from_secs(3);
/// Part of the grace at its end in which nothing may be under way any more.
const RESERVE: Duration = Duration::from_millis(800);

/// Returns whether a request is taken at a time after the signal.
///
/// Callers that keep an address for a while arrive without knowing; they are served. Later ones
/// are served only if the time that they have ends before the process does.
#[must_use]
pub fn takes(since: Duration, grace: Duration, patience: Duration) -> bool {
    let left = grace.saturating_sub(since);
    let notice = NOTICE.min(grace / 2);
    since < notice || patience + RESERVE <= left
}
