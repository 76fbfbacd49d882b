//! How long work takes at a target now, as it tells.

use cactuslane_types::Millis;

use super::memory::Memory;

/// Time between two figures from which they count as two, in milliseconds: closer ones tell of the
/// same moment.
const FIGURE_TIME: f64 = 200.0;
/// Half-life of the figures behind the average, in milliseconds.
const AVERAGE_HALF_LIFE: f64 = 10_000.0;
/// Age of the last figure at which the average counts half, in milliseconds.
const AVERAGE_FADE: f64 = 20_000.0;
/// Largest weight of the average, in figures.
const MAX_WEIGHT: f64 = 40.0;
/// Least weight of a figure that closely follows another one.
const MIN_WEIGHT: f64 = 0.05;
/// Weight of the usual time, which is the average before a figure is told.
const USUAL_WEIGHT: f64 = 1.0;

/// Figures of a target, as factors on the time that work usually takes there.
#[derive(Clone, Copy, Debug)]
pub(super) struct Figure {
    /// Last figure that this instance was told.
    last: f64,
    /// Time at which it was told; `None` before the first.
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

    /// Records a figure of an answer.
    pub(super) fn observe(&mut self, factor: f64, memory: &mut Memory, now: Millis) {
        if let Some(told) = self.told {
            let average = self.average(now);
            memory.add(
                now.saturating_sub(told),
                self.last - average,
                factor - average,
            );
        }
        let apart = self
            .told
            .map_or(1.0, |told| now.saturating_sub(told) as f64 / FIGURE_TIME);
        let weight = apart.clamp(MIN_WEIGHT, 1.0);
        self.last = factor;
        self.told = Some(now);
        self.add(factor, weight, now);
    }

    /// Adds a figure to the average.
    fn add(&mut self, factor: f64, weight: f64, now: Millis) {
        let elapsed = now.saturating_sub(self.at) as f64;
        self.weight *= 0.5_f64.powf(elapsed / AVERAGE_HALF_LIFE);
        self.at = now;
        self.weight = (self.weight + weight).min(MAX_WEIGHT.max(weight));
        self.mean += (factor - self.mean) * weight / self.weight;
    }

    /// Returns the average, which is near 1 after few figures or a long time.
    pub(super) fn average(&self, now: Millis) -> f64 {
        let age = now.saturating_sub(self.at) as f64;
        let weight = self.weight / (1.0 + age / AVERAGE_FADE);
        (self.mean * weight + USUAL_WEIGHT) / (weight + USUAL_WEIGHT)
    }

    /// Returns the factor to expect over the next `span_ms` milliseconds.
    pub(super) fn factor(&self, span_ms: f64, memory: &Memory, now: Millis) -> f64 {
        let average = self.average(now);
        let Some(told) = self.told else {
            return average;
        };
        let middle = now.saturating_sub(told) + (span_ms / 2.0) as Millis;
        average + (self.last - average) * memory.weight(middle)
    }
}
