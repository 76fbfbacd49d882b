//! A budget that keeps retries from adding to an overload.

/// Largest number of retries that can be saved up.
const MAX_SAVED: f64 = 50.0;
/// Number of retries that are free at the start.
const INITIAL: f64 = 5.0;

/// Allows retries as a share of first attempts.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// The share of first attempts that may be retried.
    pub share: f64,
    /// The number of retries that are allowed now.
    saved: f64,
}

impl RetryBudget {
    /// Creates a budget for a share of first attempts.
    #[must_use]
    pub fn new(share: f64) -> Self {
        Self {
            share,
            saved: INITIAL,
        }
    }

    /// Counts a first attempt.
    pub fn attempted(&mut self) {
        self.saved = (self.saved + self.share).min(MAX_SAVED);
    }

    /// Takes one retry from the budget; false if none is left.
    #[must_use]
    pub fn take(&mut self) -> bool {
        if self.saved < 1.0 {
            return false;
        }
        self.saved -= 1.0;
        true
    }
}
