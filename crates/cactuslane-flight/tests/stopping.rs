//! What is taken after the signal to stop.

use std::time::Duration;

use cactuslane_flight::stopping::accepts_request;
use yare::parameterized;

/// The time between the signal and the end of the process, in milliseconds.
const GRACE: u64 = 8_000;

#[parameterized(
    at_once = { 0, 6_000, true },
    before_callers_know = { 2_900, 6_000, true },
    stream_that_would_outlive_the_process = { 3_600, 6_000, false },
    short_request = { 3_600, 1_000, true },
    short_request_near_the_end = { 6_500, 1_000, false },
    after_the_end = { 9_000, 100, false },
)]
fn requests_are_taken_only_if_they_can_end(since_signal: u64, timeout: u64, accepted: bool) {
    let millis = Duration::from_millis;
    assert_eq!(
        accepts_request(millis(since_signal), millis(GRACE), millis(timeout)),
        accepted
    );
}
