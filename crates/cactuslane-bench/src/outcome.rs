//! Counts of what came of a run.

use hdrhistogram::Histogram;

use crate::trace::CALLERS;

/// Largest time that is told apart, in milliseconds.
const MAX_MS: u64 = 600_000;

/// What came of one run.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// The number of requests of the trace.
    pub offered: u64,
    /// The number of answers that were whole and within both bounds.
    pub good: u64,
    /// The number of answers that were whole and late.
    pub late: u64,
    /// The number of refusals, repeated ones included.
    pub refused: u64,
    /// The number of requests that were refused for good.
    pub rejected: u64,
    /// The number of role changes.
    pub role_changes: u64,
    /// The number of tokens of answers that were not good.
    pub wasted_tokens: u64,
    /// The number of streams that were cut.
    pub cut_streams: u64,
    /// The length of the run in seconds.
    pub seconds: f64,
    /// Holds the times to the first token of admitted requests, in milliseconds.
    pub ttft_ms: Histogram<u64>,
    /// Holds offered and good requests of each caller.
    pub callers: [(u64, u64); CALLERS],
}

impl Outcome {
    /// Creates an empty outcome.
    ///
    /// # Panics
    ///
    /// Panics if the histogram's bounds are wrong, which they are not.
    #[must_use]
    pub fn new(seconds: f64) -> Self {
        let ttft_ms = Histogram::new_with_bounds(1, MAX_MS, 2).expect("the bounds are in order");
        Self {
            offered: 0,
            good: 0,
            late: 0,
            refused: 0,
            rejected: 0,
            role_changes: 0,
            wasted_tokens: 0,
            cut_streams: 0,
            seconds,
            ttft_ms,
            callers: [(0, 0); CALLERS],
        }
    }

    /// Returns good answers a second.
    #[must_use]
    pub fn goodput(&self) -> f64 {
        self.good as f64 / self.seconds
    }

    /// Returns the 95th percentile of the time to the first token, in milliseconds.
    #[must_use]
    pub fn ttft_p95(&self) -> u64 {
        self.ttft_ms.value_at_quantile(0.95)
    }

    /// Returns the lowest share of good answers over callers, but for one.
    #[must_use]
    pub fn worst_share(&self, except: Option<usize>) -> f64 {
        let mut worst: f64 = 1.0;
        for (caller, (offered, good)) in self.callers.iter().enumerate() {
            if Some(caller) != except && *offered > 0 {
                worst = worst.min(*good as f64 / *offered as f64);
            }
        }
        worst
    }
}
