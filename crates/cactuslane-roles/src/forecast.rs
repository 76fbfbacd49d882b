//! Forecast of a model's prompt and output demand.
//!
//! Both demands follow Holt's linear method (exponentially smoothed level and trend) with a trend
//! that is damped in the forecast. The uncertainty comes from an exponentially weighted variance of
//! the logarithm of their ratio.

use cactuslane_types::Millis;

/// Smoothing factor of the level: weight of the error of a new observation.
const LEVEL_WEIGHT: f64 = 0.1;
/// Smoothing factor of the trend: weight of the newest change of the level.
const TREND_WEIGHT: f64 = 0.02;
/// Smoothing factor of the mean and the variance of the logarithm of the ratio.
const RATIO_WEIGHT: f64 = 0.02;
/// Damping factor: share of the trend that still applies after each further interval.
const DAMPING: f64 = 0.97;
/// Interval between two observations, in milliseconds; it also converts the time ahead of a
/// forecast to a number of intervals.
///
/// The caller keeps the interval between calls of [`Forecast::observe`], which reads no clock.
pub const OBSERVATION_INTERVAL: Millis = 5_000;

/// Forecast of the prompt and output demand of one model, with the variability of their ratio.
#[derive(Clone, Copy, Debug, Default)]
pub struct Forecast {
    /// Level and trend of the prompt demand.
    prefill: Trend,
    /// Level and trend of the output demand.
    decode: Trend,
    /// Exponentially weighted mean of the natural logarithm of prompt demand over output demand.
    log_ratio: f64,
    /// Exponentially weighted variance of that logarithm.
    ratio_variance: f64,
    /// Number of calls of [`Forecast::observe`] so far.
    observations: u32,
}

/// Demand for prefill and decode work, in tokens per millisecond.
///
/// [`Planner::plan_for`](crate::Planner::plan_for) also accepts other units of work, as long as
/// [`UnitCosts`](crate::UnitCosts) states the engine time of the same units: `cactuslane-place`
/// counts concurrent streams as decode work.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Workload {
    /// Prompt tokens to compute per millisecond. The observations of `cactuslane-entry` also count
    /// the prompt tokens that an engine had cached.
    pub prefill: f64,
    /// Output tokens to generate per millisecond.
    pub decode: f64,
}

/// Exponentially smoothed level and trend of one demand.
#[derive(Clone, Copy, Debug, Default)]
struct Trend {
    /// Smoothed demand, in tokens per millisecond.
    level: f64,
    /// Smoothed change of the level per observation interval.
    slope: f64,
}

impl Forecast {
    /// Records the demand of one interval of [`OBSERVATION_INTERVAL`].
    pub fn observe(&mut self, workload: Workload) {
        let first = self.observations == 0;
        self.prefill.observe(workload.prefill, first);
        self.decode.observe(workload.decode, first);
        self.observe_ratio(workload, first);
        self.observations += 1;
    }

    /// Returns the demand that is expected `ahead_ms` milliseconds after the last observation, or
    /// `None` after fewer than 10 observations.
    #[must_use]
    pub fn predict(&self, ahead_ms: f64) -> Option<Workload> {
        /// Least number of observations for a forecast.
        const MIN_OBSERVATIONS: u32 = 10;
        if self.observations < MIN_OBSERVATIONS {
            return None;
        }
        let steps = ahead_ms / OBSERVATION_INTERVAL as f64;
        Some(Workload {
            prefill: self.prefill.predict(steps),
            decode: self.decode.predict(steps),
        })
    }

    /// Returns the relative error of either demand at one standard deviation of the logarithm of
    /// their ratio, with 0.6 as the upper bound.
    #[must_use]
    pub fn uncertainty(&self) -> f64 {
        /// Largest uncertainty that plans account for.
        const MAX_UNCERTAINTY: f64 = 0.6;
        // The deviation of the logarithm is split evenly between both demands.
        (self.ratio_variance.sqrt() / 2.0).min(MAX_UNCERTAINTY)
    }

    /// Updates the mean and the variance of the logarithm of the ratio of both demands, each of
    /// which is taken as at least 0.001 to keep the logarithm finite.
    fn observe_ratio(&mut self, workload: Workload, first: bool) {
        let log_ratio = (workload.prefill.max(1e-3) / workload.decode.max(1e-3)).ln();
        if first {
            self.log_ratio = log_ratio;
            return;
        }
        let difference = log_ratio - self.log_ratio;
        self.log_ratio += difference * RATIO_WEIGHT;
        self.ratio_variance =
            (1.0 - RATIO_WEIGHT) * (self.ratio_variance + RATIO_WEIGHT * difference * difference);
    }
}

impl Workload {
    /// Returns the workload with its prompt demand increased and its output demand reduced by a
    /// relative `share`; a negative share does the reverse.
    #[must_use]
    pub fn shifted(self, share: f64) -> Self {
        Self {
            prefill: self.prefill * (1.0 + share),
            decode: self.decode * (1.0 - share),
        }
    }
}

impl Trend {
    /// Updates the level and the trend with one observation; the first one sets only the level.
    fn observe(&mut self, value: f64, first: bool) {
        if first {
            self.level = value;
            return;
        }
        let expected = self.level + self.slope;
        let error = value - expected;
        let level = expected + error * LEVEL_WEIGHT;
        self.slope += (level - self.level - self.slope) * TREND_WEIGHT;
        self.level = level;
    }

    /// Returns the expected demand after `steps` intervals, with a damped trend and at least 0.
    fn predict(&self, steps: f64) -> f64 {
        let damped_steps = DAMPING * (1.0 - DAMPING.powf(steps)) / (1.0 - DAMPING);
        (self.level + self.slope * damped_steps).max(0.0)
    }
}
