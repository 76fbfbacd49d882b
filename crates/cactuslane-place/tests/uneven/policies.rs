//! Other ways to choose a target, by what one instance knows.

use rand::Rng;
use rand_pcg::Pcg64Mcg;

use crate::fleet::{Nature, SLOTS};

/// Weight of a new answer in the moving averages.
const WEIGHT: f64 = 0.1;

/// A way to choose a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Policy {
    /// The placer.
    Paces,
    /// The placer without the speed of targets.
    Before,
    /// At random by weights that the operator set by the average speeds at the beginning.
    FixedWeights,
    /// The target with the fewest requests.
    LeastOutstanding,
    /// That with the fewer requests of two random ones.
    TwoChoices,
    /// The least part of a limit that follows the least time over the average one.
    Gradient,
    /// The least load, times the average time with its deviation.
    Variance,
    /// The least load, times the last figure.
    FigureAlone,
}

/// What the other ways to choose know at one instance.
#[derive(Clone, Debug)]
pub struct Rivals {
    /// Knowledge by target.
    targets: Vec<Known>,
}

/// What they know of a target.
#[derive(Clone, Copy, Debug)]
struct Known {
    /// Weight that the operator set.
    weight: f64,
    /// Average and least time of an answer in milliseconds; 0 before the first.
    mean: f64,
    least: f64,
    /// Average squared distance from the average time.
    variance: f64,
    /// Limit of the gradient, in requests.
    limit: f64,
    /// Last figure.
    figure: f64,
}

impl Rivals {
    /// Knows the average speeds at the beginning.
    pub fn new(natures: &[Nature]) -> Self {
        let known = |nature: &Nature| Known {
            weight: 1.0 / nature.slow,
            mean: 0.0,
            least: 0.0,
            variance: 0.0,
            limit: f64::from(SLOTS),
            figure: 1.0,
        };
        Self {
            targets: natures.iter().map(known).collect(),
        }
    }

    /// Records an answer.
    pub fn answered(&mut self, target: usize, elapsed: f64, figure: Option<f64>) {
        let known = &mut self.targets[target];
        if known.mean == 0.0 {
            (known.mean, known.least) = (elapsed, elapsed);
        }
        let error = elapsed - known.mean;
        known.mean += error * WEIGHT;
        known.variance += (error * error - known.variance) * WEIGHT;
        known.least = known.least.min(elapsed) * 1.001;
        let gradient = (known.least * 2.0 / known.mean).clamp(0.5, 1.0);
        let limit = known.limit * gradient + known.limit.sqrt() / 4.0;
        known.limit += (limit.clamp(1.0, f64::from(SLOTS)) - known.limit) * WEIGHT;
        known.figure = figure.unwrap_or(1.0);
    }

    /// Returns the chosen target, by the number of requests at each.
    pub fn choose(&self, policy: Policy, counts: &[f64], random: &mut Pcg64Mcg) -> Option<usize> {
        let first = random.random_range(0..counts.len());
        let second = random.random_range(0..counts.len());
        if policy == Policy::FixedWeights {
            let sum: f64 = self.targets.iter().map(|known| known.weight).sum();
            let mut left = random.random_range(0.0..sum);
            return self.targets.iter().position(|known| {
                left -= known.weight;
                left < 0.0
            });
        }
        let cost = |index: usize| {
            let known = &self.targets[index];
            let load = counts[index] + 1.0;
            match policy {
                Policy::Gradient => load / known.limit,
                Policy::Variance => load * (known.mean + 2.0 * known.variance.sqrt()).max(1.0),
                Policy::FigureAlone => load * known.figure,
                _ => load,
            }
        };
        if policy == Policy::TwoChoices {
            return Some(if cost(first) <= cost(second) {
                first
            } else {
                second
            });
        }
        // Equal costs are decided by the random first one.
        let order = (0..counts.len()).map(|index| (first + index) % counts.len());
        order.min_by(|one, other| cost(*one).total_cmp(&cost(*other)))
    }
}
