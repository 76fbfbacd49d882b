//! A budget that keeps retries from adding to an overload.

/// Largest number of retries that can be saved up.
const MAX_AVAILABLE: f64 = 50.0;
/// Number of retries that are free at the start.
const INITIAL_RETRIES: f64 = 5.0;

/// Allows retries as a share of first attempts.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// The share of first attempts that may be retried.
    pub share: f64,
    /// The number of retries that are allowed now.
    available: f64,
}

impl RetryBudget {
    /// Creates a budget for a share of first attempts.
    #[must_use]
    pub fn new(share: f64) -> Self {
        Self {
            share,
            available: INITIAL_RETRIES,
        }
    }

    /// Counts a first attempt.
    pub fn attempted(&mut self) {
        self.available = (self.available + self.share).min(MAX_AVAILABLE);
    }

    /// Takes one retry from the budget; false if none is left.
    #[must_use]
    pub fn take(&mut self) -> bool {
        if self.available < 1.0 {
            return false;
        }
        self.available -= 1.0;
        true
    }
}
