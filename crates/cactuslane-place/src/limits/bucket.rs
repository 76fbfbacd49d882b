//! The permits that one issuer may issue for a target.

use std::time::Duration;

use cactuslane_types::Millis;

/// Time for which an issuer's share of a limit adds up while it is not used, beyond one permit.
const BURST_TIME: f64 = 500.0;
/// Lowest total rate at which permits are issued, a second: by these requests the instances learn
/// that a limit of 0 has ended.
const MIN_RATE: f64 = 0.1;

/// A token bucket.
#[derive(Clone, Copy, Debug)]
pub(super) struct PermitBucket {
    /// Permits that could be issued at `updated`.
    tokens: f64,
    /// Time of the last update, in milliseconds on the instance's clock.
    updated: Millis,
}

impl PermitBucket {
    /// Creates an empty bucket.
    pub(super) fn new(now: Millis) -> Self {
        Self {
            tokens: 0.0,
            updated: now,
        }
    }

    /// Takes one permit out of an equal share of a limit among `issuers`.
    ///
    /// `rate` is the whole limit in requests a second.
    ///
    /// # Errors
    ///
    /// Returns the time until the next permit if there is none.
    pub(super) fn take(&mut self, rate: f64, issuers: usize, now: Millis) -> Result<(), Duration> {
        let per_ms = rate.max(MIN_RATE) / 1000.0 / issuers.max(1) as f64;
        let added = now.saturating_sub(self.updated) as f64 * per_ms;
        self.tokens = (self.tokens + added).min(1.0 + BURST_TIME * per_ms);
        self.updated = self.updated.max(now);
        if self.tokens < 1.0 {
            let wait = ((1.0 - self.tokens) / per_ms).ceil();
            return Err(Duration::from_millis(wait as u64));
        }
        self.tokens -= 1.0;
        Ok(())
    }
}
