//! Which requests an instance still accepts after the signal to stop.

use std::time::Duration;

/// Time after the signal during which callers may not yet know that the instance is stopping.
const NOTICE: Duration = Duration::from_secs(3);
/// Time at the end of the grace period by which all requests must have ended.
const RESERVE: Duration = Duration::from_millis(800);

/// Returns whether a request that arrives `since` after the signal to stop is accepted.
///
/// Callers cache the instance's address for a while, so in the first 3 s (at most half of the grace
/// period) every request is accepted. Later ones are accepted only if their time-out, `patience`,
/// ends at least 800 ms before the grace period does, after which the process is killed.
#[must_use]
pub fn takes(since: Duration, grace: Duration, patience: Duration) -> bool {
    let left = grace.saturating_sub(since);
    let notice = NOTICE.min(grace / 2);
    since < notice || patience + RESERVE <= left
}
