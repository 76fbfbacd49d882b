//! Results of one simulation.

use hdrhistogram::Histogram;

use crate::trace::CALLERS;

/// Upper bound of the histogram, in milliseconds; longer times count as this one.
const MAX_MS: u64 = 600_000;

/// Counts and latencies of one simulation.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Number of requests that arrived, without retries after refusals. Under a policy without the
    /// product's router, a request that is sent again after its engine failed counts once more.
    pub offered: u64,
    /// Number of complete answers within the bounds: the first token in time, and at most 5% as
    /// many gaps above the bound between tokens as tokens.
    pub good: u64,
    /// Number of complete answers out of bounds, and of requests still open when the simulation
    /// ended.
    pub late: u64,
    /// Number of refusals; a request that is refused several times counts each time.
    pub refused: u64,
    /// Number of requests that were refused and not retried: after the last retry, or with a part
    /// of the answer already streamed.
    pub rejected: u64,
    /// Number of role changes that were planned.
    pub role_changes: u64,
    /// Number of tokens of answers that were late, rejected or still open at the end.
    pub wasted_tokens: u64,
    /// Number of dispatches that failed because an engine was down: cut streams, and dispatches to
    /// an engine that the entry instance still took for serving.
    pub cut_streams: u64,
    /// Length of the scenario, in seconds.
    pub seconds: f64,
    /// Times to the first token of admitted requests since their last arrival, in milliseconds.
    pub ttft_ms: Histogram<u64>,
    /// Offered and good requests of each caller, counted like [`Outcome::offered`] and
    /// [`Outcome::good`].
    pub callers: [(u64, u64); CALLERS],
}

impl Outcome {
    /// Creates an outcome without requests for a scenario of `seconds`.
    ///
    /// # Panics
    ///
    /// Panics if the histogram rejects its bounds, which are constants in ascending order.
    #[must_use]
    pub fn new(seconds: f64) -> Self {
        let ttft_ms =
            Histogram::new_with_bounds(1, MAX_MS, 2).expect("the bounds are in ascending order");
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

    /// Returns the number of good answers per second of the scenario.
    #[must_use]
    pub fn goodput(&self) -> f64 {
        self.good as f64 / self.seconds
    }

    /// Returns the 95th percentile of [`Outcome::ttft_ms`], in milliseconds.
    #[must_use]
    pub fn ttft_p95(&self) -> u64 {
        self.ttft_ms.value_at_quantile(0.95)
    }

    /// Returns the lowest share of good answers of any caller except `except`; callers without
    /// requests do not count.
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
