//! A retry budget, which keeps retries from amplifying an overload.

/// Largest number of retries that can accumulate.
const MAX_AVAILABLE: f64 = 50.0;
/// Number of retries that are available at the start.
const INITIAL_RETRIES: f64 = 5.0;

/// A budget that allows retries as a share of first attempts.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// The number of retries that each first attempt adds, set by the configuration.
    pub share: f64,
    /// The number of retries that are available now; fractions accumulate.
    available: f64,
}

impl RetryBudget {
    /// Creates a budget that gains `share` retries with each first attempt.
    #[must_use]
    pub fn new(share: f64) -> Self {
        Self {
            share,
            available: INITIAL_RETRIES,
        }
    }

    /// Records a first attempt, which adds to the budget.
    pub fn attempted(&mut self) {
        self.available = (self.available + self.share).min(MAX_AVAILABLE);
    }

    /// Takes one retry from the budget; returns false if less than one is available.
    #[must_use]
    pub fn take(&mut self) -> bool {
        if self.available < 1.0 {
            return false;
        }
        self.available -= 1.0;
        true
    }
}
