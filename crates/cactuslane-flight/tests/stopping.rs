//! Which requests are accepted after the signal to stop.

use std::time::Duration;

use cactuslane_flight::stopping::accepts_request;
use yare::parameterized;

/// Time between the signal to stop and the end of the process, in milliseconds.
const GRACE_MS: u64 = 8_000;

#[parameterized(
    right_after_the_signal = { 0, 6_000, true },
    before_callers_notice = { 2_900, 6_000, true },
    long_request_after_callers_notice = { 3_600, 6_000, false },
    short_request_after_callers_notice = { 3_600, 1_000, true },
    short_request_near_the_end = { 6_500, 1_000, false },
    after_the_grace_period = { 9_000, 100, false },
)]
fn requests_are_accepted_only_if_they_can_end_in_time(
    since_signal: u64,
    timeout: u64,
    accepted: bool,
) {
    let millis = Duration::from_millis;
    assert_eq!(
        accepts_request(millis(since_signal), millis(GRACE_MS), millis(timeout)),
        accepted
    );
}
