//! How long a figure that a target told goes on to say something.

use cactuslane_types::Millis;

/// Bounds of the ages that are told apart, in milliseconds; older figures are a class of their own.
const AGES: [Millis; 7] = [50, 100, 200, 400, 800, 1_600, 3_200];
/// Correlations of a figure with a later one that are assumed at first, by age.
const ASSUMED: [f64; AGES.len()] = [0.8, 0.6, 0.4, 0.2, 0.05, 0.0, 0.0];
/// Number of pairs of figures that count as much as the assumption.
const ASSUMED_PAIRS: f64 = 20.0;
/// Weight of older pairs of figures when a pair of the same age is added.
const KEPT: f64 = 0.995;

/// Correlation of successive figures by the time between them, over all targets.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Memory {
    /// Pairs of figures by age.
    pairs: [Pairs; AGES.len()],
}

/// Pairs of figures of about the same age, by their distances from the averages.
#[derive(Clone, Copy, Debug, Default)]
struct Pairs {
    /// Sum of the weights.
    weight: f64,
    /// Sum of the products of both distances.
    products: f64,
    /// Sum of the squares of the first distance.
    squares: f64,
}

impl Memory {
    /// Adds a pair of figures by their distances from the average before them.
    pub(super) fn add(&mut self, age: Millis, before: f64, after: f64) {
        let Some(pairs) = class(age).and_then(|class| self.pairs.get_mut(class)) else {
            return;
        };
        pairs.weight = pairs.weight * KEPT + 1.0;
        pairs.products = pairs.products * KEPT + before * after;
        pairs.squares = pairs.squares * KEPT + before * before;
    }

    /// Returns the weight of a figure of an age over the average, from 0 to 1.
    pub(super) fn weight(&self, age: Millis) -> f64 {
        let Some(class) = class(age) else {
            return 0.0;
        };
        let pairs = self.pairs[class];
        if pairs.squares <= 0.0 {
            return ASSUMED[class];
        }
        let trust = pairs.weight / (pairs.weight + ASSUMED_PAIRS);
        let seen = (pairs.products / pairs.squares).clamp(0.0, 1.0);
        ASSUMED[class] + (seen - ASSUMED[class]) * trust
    }
}

/// Returns the class of an age; `None` if it is too old.
fn class(age: Millis) -> Option<usize> {
    AGES.iter().position(|bound| age <= *bound)
}
