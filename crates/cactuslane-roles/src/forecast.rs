//! A forecast of the mix of prompt and output work.

use cactuslane_types::Millis;

/// Weight of a new observation of the level.
const LEVEL_WEIGHT: f64 = 0.1;
/// Weight of a new observation of the trend.
const TREND_WEIGHT: f64 = 0.02;
/// Weight of a new observation of the swing.
const RATIO_WEIGHT: f64 = 0.02;
/// Share of the trend that still counts after one interval.
const DAMPING: f64 = 0.97;
/// Length of the interval between observations, in milliseconds.
pub const OBSERVATION_INTERVAL: Millis = 5_000;

/// Follows both demands with a damped trend and measures how far their ratio swings.
#[derive(Clone, Copy, Debug, Default)]
pub struct Forecast {
    /// The level of the prompt demand.
    prefill: Trend,
    /// The level of the output demand.
    decode: Trend,
    /// The mean logarithm of the ratio of both.
    log_ratio: f64,
    /// The variance of that logarithm.
    ratio_variance: f64,
    /// The number of observations.
    observations: u32,
}

/// A demand of both kinds, in tokens a millisecond.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Workload {
    /// The prompt tokens to compute.
    pub prefill: f64,
    /// The output tokens to generate.
    pub decode: f64,
}

/// A level with a trend.
#[derive(Clone, Copy, Debug, Default)]
struct Trend {
    /// The level.
    level: f64,
    /// Its change an interval.
    slope: f64,
}

impl Forecast {
    /// Records the demand of one interval.
    pub fn observe(&mut self, workload: Workload) {
        let first = self.observations == 0;
        self.prefill.observe(workload.prefill, first);
        self.decode.observe(workload.decode, first);
        self.observe_ratio(workload, first);
        self.observations += 1;
    }

    /// Returns the mix expected after a time in milliseconds; none before enough was seen.
    #[must_use]
    pub fn predict(&self, ahead_ms: f64) -> Option<Workload> {
        /// Number of observations before a forecast is given.
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

    /// Returns the doubt of the workload, as a share by which either demand may be off.
    #[must_use]
    pub fn uncertainty(&self) -> f64 {
        /// Largest doubt that is planned for.
        const MAX_UNCERTAINTY: f64 = 0.6;
        // Half of the ratio's swing falls on either demand.
        (self.ratio_variance.sqrt() / 2.0).min(MAX_UNCERTAINTY)
    }

    /// Records the ratio of both demands.
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
    /// Returns the mix with a share of its prompt demand turned up and its output demand down.
    #[must_use]
    pub fn shifted(self, share: f64) -> Self {
        Self {
            prefill: self.prefill * (1.0 + share),
            decode: self.decode * (1.0 - share),
        }
    }
}

impl Trend {
    /// Records one observation.
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

    /// Returns the value after a number of intervals.
    fn predict(&self, steps: f64) -> f64 {
        let damped_steps = DAMPING * (1.0 - DAMPING.powf(steps)) / (1.0 - DAMPING);
        (self.level + self.slope * damped_steps).max(0.0)
    }
}
