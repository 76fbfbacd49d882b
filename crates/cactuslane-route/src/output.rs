//! Guesses of how many tokens an answer will have.

use std::collections::BTreeMap;

/// Weight of a new observation.
const WEIGHT: f64 = 0.05;
/// Number of standard deviations above the mean that are reserved.
const RESERVED_DEVIATIONS: f64 = 1.0;
/// Number of keys that are remembered at most.
const MAX_KEYS: usize = 4096;

/// Learns the share of the allowed tokens that answers use, for each key.
#[derive(Clone, Debug, Default)]
pub struct OutputEstimator {
    /// Holds mean and variance of the share for each key.
    shares: BTreeMap<String, (f64, f64)>,
}

impl OutputEstimator {
    /// Records an answer's length against its limit.
    pub fn record(&mut self, key: &str, tokens: u32, limit: u32) {
        if !self.shares.contains_key(key) && self.shares.len() >= MAX_KEYS {
            return;
        }
        let share = (f64::from(tokens) / f64::from(limit.max(1))).min(1.0);
        let (mean, variance) = self.shares.entry(key.to_owned()).or_insert((share, 0.05));
        let difference = share - *mean;
        *mean += difference * WEIGHT;
        *variance = (1.0 - WEIGHT) * (*variance + WEIGHT * difference * difference);
    }

    /// Returns the tokens to reserve under a limit: the mean and its doubt.
    #[must_use]
    pub fn reserve(&self, key: &str, limit: u32) -> u32 {
        let Some((mean, variance)) = self.shares.get(key) else {
            return limit;
        };
        let share = (mean + RESERVED_DEVIATIONS * variance.sqrt()).clamp(0.0, 1.0);
        ((f64::from(limit) * share).ceil() as u32).clamp(1, limit.max(1))
    }
}
