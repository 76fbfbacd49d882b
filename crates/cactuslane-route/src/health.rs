//! Detection of failing and of slow targets from the outcomes of their requests.

use cactuslane_types::Millis;

/// Weight of a new observation in the moving average of the slowness.
const SLOWNESS_WEIGHT: f64 = 0.2;
/// Half-life of the slowness since the last observation, in milliseconds.
const SLOWNESS_HALF_LIFE: f64 = 10_000.0;
/// Slowdown factor above which a target gets one request at a time.
const SUSPECT_FACTOR: f64 = 4.0;
/// Least and largest slowdown factor that [`Health::factor`] returns.
const FACTOR_RANGE: (f64, f64) = (0.5, 30.0);
/// Pause after the first failure, in milliseconds.
const INITIAL_PAUSE: Millis = 250;
/// Longest pause after repeated failures, in milliseconds.
const MAX_PAUSE: Millis = 8_000;

/// The health of a target, as derived from its answers and failures.
#[derive(Clone, Copy, Debug)]
pub struct Health {
    /// The moving average of the natural logarithm of observed over expected time.
    slowness: f64,
    /// The time of the last answer, that is of its first token.
    last_answer: Millis,
    /// The number of consecutive failures.
    failures: u32,
    /// The time until which the target gets no requests.
    paused_until: Millis,
}

/// Whether a target may get requests now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// Any number of requests.
    Available,
    /// One request at a time, to find out whether the target has recovered.
    Probe,
    /// No requests until the pause after a failure has passed.
    Paused,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            slowness: 0.0,
            last_answer: 0,
            failures: 0,
            paused_until: 0,
        }
    }
}

impl Health {
    /// Records an answer with its observed and expected time to the first token; ends a pause.
    pub fn answered(&mut self, observed_ms: f64, expected_ms: f64, now: Millis) {
        self.failures = 0;
        self.paused_until = 0;
        let ratio = (observed_ms.max(1.0) / expected_ms.max(1.0)).ln();
        let old = self.decayed_slowness(now);
        self.slowness = old + (ratio - old) * SLOWNESS_WEIGHT;
        self.last_answer = now;
    }

    /// Records a failure and pauses the target.
    ///
    /// The pause doubles with each consecutive failure.
    pub fn failed(&mut self, now: Millis) {
        let pause = INITIAL_PAUSE << self.failures.min(5);
        self.failures += 1;
        self.paused_until = now + pause.min(MAX_PAUSE);
    }

    /// Returns the factor by which answers take longer than expected, from 0.5 to 30.
    #[must_use]
    pub fn factor(&self, now: Millis) -> f64 {
        let (low, high) = FACTOR_RANGE;
        self.decayed_slowness(now).exp().clamp(low, high)
    }

    /// Returns whether the target may get requests at the time `now`.
    #[must_use]
    pub fn availability(&self, now: Millis) -> Availability {
        if now < self.paused_until {
            return Availability::Paused;
        }
        if self.failures > 0 || self.factor(now) > SUSPECT_FACTOR {
            return Availability::Probe;
        }
        Availability::Available
    }

    /// Returns the logarithmic slowness, decayed since the last answer.
    fn decayed_slowness(&self, now: Millis) -> f64 {
        let age = now.saturating_sub(self.last_answer) as f64;
        self.slowness * 0.5_f64.powf(age / SLOWNESS_HALF_LIFE)
    }
}
