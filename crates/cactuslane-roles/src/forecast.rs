//! A forecast of the mix of prompt and output work.

use cactuslane_types::Millis;

/// Weight of a new observation of the level.
const LEVEL_WEIGHT: f64 = 0.1;
/// Weight of a new observation of the trend.
const TREND_WEIGHT: f64 = 0.02;
/// Weight of a new observation of the error.
const ERROR_WEIGHT: f64 = 0.05;
/// Share of the trend that still counts after one interval.
const DAMPING: f64 = 0.97;
/// Length of the interval between observations, in milliseconds.
pub const INTERVAL: Millis = 5_000;

/// Follows both demands with a damped trend and measures its own error.
#[derive(Clone, Copy, Debug, Default)]
pub struct Forecast {
    /// Is the level of the prompt demand.
    prefill: Trend,
    /// Is the level of the output demand.
    decode: Trend,
    /// Is the number of observations.
    seen: u32,
}

/// Is a demand of both kinds, in tokens a millisecond.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Mix {
    /// Is the prompt tokens to compute.
    pub prefill: f64,
    /// Is the output tokens to generate.
    pub decode: f64,
}

/// Is a level with a trend.
#[derive(Clone, Copy, Debug, Default)]
struct Trend {
    /// Is the level.
    level: f64,
    /// Is its change an interval.
    slope: f64,
    /// Is the mean squared error of a step's forecast, as a share of the level.
    error: f64,
}

impl Forecast {
    /// Records the demand of one interval.
    pub fn observe(&mut self, mix: Mix) {
        let first = self.seen == 0;
        self.prefill.observe(mix.prefill, first);
        self.decode.observe(mix.decode, first);
        self.seen += 1;
    }

    /// Returns the mix expected after a time in milliseconds; none before enough was seen.
    #[must_use]
    pub fn at(&self, ahead_ms: f64) -> Option<Mix> {
        /// Number of observations before a forecast is given.
        const ENOUGH: u32 = 10;
        if self.seen < ENOUGH {
            return None;
        }
        let steps = ahead_ms / INTERVAL as f64;
        Some(Mix {
            prefill: self.prefill.at(steps),
            decode: self.decode.at(steps),
        })
    }

    /// Returns the doubt of the mix, as a share by which either demand may be off.
    #[must_use]
    pub fn doubt(&self) -> f64 {
        (self.prefill.error + self.decode.error).sqrt().min(1.0)
    }
}

impl Mix {
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
        let scale = self.level.abs().max(1e-9);
        let relative = (error * LEVEL_WEIGHT / scale).powi(2).min(1.0);
        self.error += (relative - self.error) * ERROR_WEIGHT;
        let level = expected + error * LEVEL_WEIGHT;
        self.slope += (level - self.level - self.slope) * TREND_WEIGHT;
        self.level = level;
    }

    /// Returns the value after a number of intervals.
    fn at(&self, steps: f64) -> f64 {
        let reach = DAMPING * (1.0 - DAMPING.powf(steps)) / (1.0 - DAMPING);
        (self.level + self.slope * reach).max(0.0)
    }
}
