//! Detection of targets that fail, or that are alive but slow.

use cactuslane_types::Millis;

/// Weight of a new observation of slowness.
const SLOWNESS_WEIGHT: f64 = 0.2;
/// Time in which a remembered slowness halves, in milliseconds.
const SLOWNESS_HALF_LIFE: f64 = 10_000.0;
/// Slowness above which a target is tried with one request at a time.
const SUSPECT_FACTOR: f64 = 4.0;
/// Bounds of the slowness that is remembered.
const FACTOR_RANGE: (f64, f64) = (0.5, 30.0);
/// Shortest time that a failing target is left alone, in milliseconds.
const INITIAL_PAUSE: Millis = 250;
/// Longest time that a failing target is left alone, in milliseconds.
const MAX_PAUSE: Millis = 8_000;

/// What a target's own answers say of it.
#[derive(Clone, Copy, Debug)]
pub struct Health {
    /// The logarithm of observed over expected time.
    slowness: f64,
    /// The time of the last observation.
    last_answer: Millis,
    /// The number of failures in a row.
    failures: u32,
    /// The time until which the target is left alone.
    paused_until: Millis,
}

/// Says how a target may be used now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Availability {
    /// Without limit.
    Available,
    /// With one request at a time, to see whether it has recovered.
    Probe,
    /// Not at all.
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
    /// Records an answer's time against the time that was expected.
    pub fn answered(&mut self, observed_ms: f64, expected_ms: f64, now: Millis) {
        self.failures = 0;
        self.paused_until = 0;
        let ratio = (observed_ms.max(1.0) / expected_ms.max(1.0)).ln();
        let old = self.decayed_slowness(now);
        self.slowness = old + (ratio - old) * SLOWNESS_WEIGHT;
        self.last_answer = now;
    }

    /// Records a failure: the target is left alone for a time that doubles.
    pub fn failed(&mut self, now: Millis) {
        let pause = INITIAL_PAUSE << self.failures.min(5);
        self.failures += 1;
        self.paused_until = now + pause.min(MAX_PAUSE);
    }

    /// Returns the factor by which answers take longer than expected.
    #[must_use]
    pub fn factor(&self, now: Millis) -> f64 {
        let (low, high) = FACTOR_RANGE;
        self.decayed_slowness(now).exp().clamp(low, high)
    }

    /// Returns how the target may be used.
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

    /// Returns the remembered slowness, fading with time.
    fn decayed_slowness(&self, now: Millis) -> f64 {
        let age = now.saturating_sub(self.last_answer) as f64;
        self.slowness * 0.5_f64.powf(age / SLOWNESS_HALF_LIFE)
    }
}
