//! Pauses of an instance between calls to the store that fail.

use std::time::Duration;

use cactuslane_store::kv::KvError;
use rand::Rng;

use crate::ranking::is_small_deployment;

/// Longest pause after the first failure.
pub const FIRST_PAUSE: Duration = Duration::from_millis(300);
/// Longest pause after any number of failures: an instance that the store serves again is up to date
/// before it counts as in touch, and failures in a row remain one disruption.
const LONGEST_PAUSE: Duration = Duration::from_millis(1_500);
/// Share of the longest pause that is always waited; the rest is random, so that instances do not
/// call at the same time.
const FIXED_SHARE: f64 = 1.0 / 3.0;
/// Range of the pause after a failed call to the store, in milliseconds.
const RETRY_PAUSE: std::ops::Range<u64> = 100..300;
/// Number of instances that without a backoff factor would retry about as often as a large
/// deployment does in all while the store fails, as far as [`MAX_BACKOFF_FACTOR`] allows.
const RETRYING_INSTANCES: f64 = 8.0;
/// Largest factor on the pause after a failed call: several calls must fit in the time to live of a
/// lease.
const MAX_BACKOFF_FACTOR: f64 = 8.0;

/// The pauses of one series of calls, which grow while the store answers that it rejects them.
///
/// Calls without an answer do not make them grow, as each takes its time-out. After such a call the
/// pause is a first one, whatever failed before.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backoff {
    /// Number of rejections in a row.
    rejections: u32,
}

impl Backoff {
    /// Records that a call succeeded.
    pub fn reset(&mut self) {
        self.rejections = 0;
    }

    /// Returns the pause after a call that failed, for a random number in `0.0..1.0`.
    #[must_use]
    pub fn pause(&mut self, error: &KvError, draw: f64) -> Duration {
        let is_rejection = matches!(error, KvError::Refused(_));
        let before = if is_rejection { self.rejections } else { 0 };
        self.rejections = if is_rejection { before + 1 } else { 0 };
        let longest = FIRST_PAUSE.saturating_mul(1 << before.min(8));
        let share = FIXED_SHARE + (1.0 - FIXED_SHARE) * draw;
        longest.min(LONGEST_PAUSE).mul_f64(share)
    }
}

/// Returns the factor on the pause after a failed call by which a large deployment as a whole calls
/// the store about as often as 8 instances without a factor would; the factor is at most 8.
///
/// `others` is the number of other instances that are reachable and not leaving.
#[must_use]
pub fn backoff_factor(others: usize) -> f64 {
    if is_small_deployment(others) {
        return 1.0;
    }
    (others as f64 / RETRYING_INSTANCES).clamp(1.0, MAX_BACKOFF_FACTOR)
}

/// Returns a random pause of 100 to 300 ms, so that instances do not retry at the same time.
#[must_use]
pub fn random_pause() -> Duration {
    Duration::from_millis(rand::rng().random_range(RETRY_PAUSE))
}
