//! Which requests an instance still accepts after the signal to stop.

use std::time::Duration;

/// Time after the signal during which callers may not yet know that the instance is stopping.
const DISCOVERY_TIME: Duration = Duration::from_secs(3);
/// Time at the end of the grace period in which no request may be in progress any more.
const SHUTDOWN_RESERVE: Duration = Duration::from_millis(800);

/// Returns whether a request that arrives `since_signal` after the signal to stop is accepted.
///
/// Callers cache the instance's address for a while, so in the first 3 s (at most half of the grace
/// period) every request is accepted. Later ones are accepted only if their time-out ends at least
/// 800 ms before the end of the grace period, when the process is killed.
#[must_use]
pub fn accepts_request(since_signal: Duration, grace: Duration, timeout: Duration) -> bool {
    let remaining = grace.saturating_sub(since_signal);
    let discovery = DISCOVERY_TIME.min(grace / 2);
    since_signal < discovery || timeout + SHUTDOWN_RESERVE <= remaining
}
