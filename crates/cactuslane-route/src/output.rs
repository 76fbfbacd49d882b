//! Estimates of the number of tokens that an answer will have.

use std::collections::BTreeMap;

/// Weight of a new observation in the moving averages.
const WEIGHT: f64 = 0.05;
/// Number of standard deviations above the mean share that are reserved.
const RESERVED_DEVIATIONS: f64 = 1.0;
/// Largest number of keys; further ones are not recorded.
const MAX_KEYS: usize = 4096;

/// An estimator of the share of their token limit that answers use, for each key, such as a caller
/// and a model.
///
/// The estimate decides how much memory of an engine is reserved for an answer.
#[derive(Clone, Debug, Default)]
pub struct OutputEstimator {
    /// The mean and the variance of the share for each key.
    shares: BTreeMap<String, (f64, f64)>,
}

impl OutputEstimator {
    /// Records the length of an answer and its limit, in tokens.
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

    /// Returns the number of output tokens to reserve: the mean plus one standard deviation.
    ///
    /// The whole limit is reserved for a key that has no observations.
    #[must_use]
    pub fn reserve(&self, key: &str, limit: u32) -> u32 {
        let Some((mean, variance)) = self.shares.get(key) else {
            return limit;
        };
        let share = (mean + RESERVED_DEVIATIONS * variance.sqrt()).clamp(0.0, 1.0);
        ((f64::from(limit) * share).ceil() as u32).clamp(1, limit.max(1))
    }
}
