//! How long work takes at a target now, as it tells.

use cactuslane_types::Millis;

/// Time constant of the weight of the last figure over the average, in milliseconds: targets share
/// their machines, and the figure changes many times a second.
const FIGURE_TIME: f64 = 200.0;
/// Age from which the last figure counts no more than the average, in milliseconds.
const FIGURE_LIFETIME: Millis = 1_000;
/// Half-life of the figures behind the average, in milliseconds.
const AVERAGE_HALF_LIFE: f64 = 10_000.0;
/// Age of the last figure at which the average counts half, in milliseconds.
const AVERAGE_FADE: f64 = 20_000.0;
/// Largest weight of the average, in figures.
const MAX_WEIGHT: f64 = 40.0;
/// Least weight of a figure that closely follows another one: both tell of the same moment.
const MIN_WEIGHT: f64 = 0.05;
/// Weight of the usual time, which is the average before a figure is told.
const USUAL_WEIGHT: f64 = 1.0;

/// Figures of a target, as factors on the time that work usually takes there.
#[derive(Clone, Copy, Debug)]
pub(super) struct Figure {
    /// Last figure that this instance was told.
    last: f64,
    /// Time at which it was told; `None` if only other instances were told any.
    told: Option<Millis>,
    /// Average of the figures.
    mean: f64,
    /// Weight of the average, in figures.
    weight: f64,
    /// Time up to which the weight has decayed.
    at: Millis,
}

impl Figure {
    /// Creates a record without figures.
    pub(super) fn new(now: Millis) -> Self {
        Self {
            last: 1.0,
            told: None,
            mean: 1.0,
            weight: 0.0,
            at: now,
        }
    }

    /// Records a figure of an answer; returns its weight.
    pub(super) fn observe(&mut self, factor: f64, now: Millis) -> f64 {
        let apart = self
            .told
            .map_or(1.0, |told| now.saturating_sub(told) as f64 / FIGURE_TIME);
        let weight = apart.clamp(MIN_WEIGHT, 1.0);
        self.last = factor;
        self.told = Some(now);
        self.add(factor, weight, now);
        weight
    }

    /// Adds the average of some figures that were told to this instance or to others.
    pub(super) fn add(&mut self, mean: f64, weight: f64, now: Millis) {
        let elapsed = now.saturating_sub(self.at) as f64;
        self.weight *= 0.5_f64.powf(elapsed / AVERAGE_HALF_LIFE);
        self.at = now;
        self.weight = (self.weight + weight).min(MAX_WEIGHT.max(weight));
        self.mean += (mean - self.mean) * weight / self.weight;
    }

    /// Returns the average, which is near 1 after few figures or a long time.
    pub(super) fn average(&self, now: Millis) -> f64 {
        let age = now.saturating_sub(self.at) as f64;
        let weight = self.weight / (1.0 + age / AVERAGE_FADE);
        (self.mean * weight + USUAL_WEIGHT) / (weight + USUAL_WEIGHT)
    }

    /// Returns the factor to expect over the next `span_ms` milliseconds.
    pub(super) fn factor(&self, span_ms: f64, now: Millis) -> f64 {
        let average = self.average(now);
        let age = self.told.map(|told| now.saturating_sub(told));
        match age {
            Some(age) if age < FIGURE_LIFETIME => {
                let start = (-(age as f64) / FIGURE_TIME).exp();
                let weight = start / (1.0 + span_ms.max(0.0) / (2.0 * FIGURE_TIME));
                average + (self.last - average) * weight
            }
            _ => average,
        }
    }
}
