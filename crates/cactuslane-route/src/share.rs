//! How much of the admitted work each caller has had lately.

use std::collections::BTreeMap;

use cactuslane_types::{CallerId, Millis};

/// Time in which admitted work fades to a third, in milliseconds.
const DECAY_TIME: f64 = 10_000.0;
/// Share above its fair one at which a caller's bound begins to shrink.
const TOLERANCE: f64 = 1.15;
/// Part of its bound that is left to a caller with the largest share.
const MIN_FACTOR: f64 = 0.3;
/// Number of callers that are remembered at most.
const MAX_CALLERS: usize = 4_096;

/// Measures callers' shares of the admitted work.
///
/// When work has to be refused, a caller above its fair share is refused first: its requests
/// count against a smaller bound, so that the room between is left to the others.
#[derive(Clone, Debug, Default)]
pub struct CallerShares {
    /// Holds the admitted work of each caller with its weight and the time of the last change.
    callers: BTreeMap<CallerId, CallerWork>,
}

/// The admitted work of one caller.
#[derive(Clone, Copy, Debug)]
struct CallerWork {
    /// The faded work, in tokens.
    work: f64,
    /// The caller's weight.
    weight: f64,
    /// The time of the last change.
    changed: Millis,
}

impl CallerShares {
    /// Records admitted work.
    pub fn admitted(&mut self, caller: &str, work: f64, weight: f64, now: Millis) {
        if self.callers.len() >= MAX_CALLERS {
            self.callers.retain(|_, state| state.decayed(now) > 1.0);
        }
        let state = self.callers.entry(caller.to_owned()).or_insert(CallerWork {
            work: 0.0,
            weight,
            changed: now,
        });
        state.work = state.decayed(now) + work;
        state.weight = weight;
        state.changed = now;
    }

    /// Returns the part of its bound that a caller's requests count against, from 0 to 1.
    #[must_use]
    pub fn bound_factor(&self, caller: &str, now: Millis) -> f64 {
        let Some(own) = self.callers.get(caller) else {
            return 1.0;
        };
        let (mut work, mut weight) = (0.0, 0.0);
        for state in self.callers.values() {
            let decayed = state.decayed(now);
            if decayed > 1.0 {
                work += decayed;
                weight += state.weight;
            }
        }
        if work <= 0.0 || weight <= own.weight {
            return 1.0;
        }
        let over = own.decayed(now) / work / (own.weight / weight);
        (1.0 - (over - TOLERANCE)).clamp(MIN_FACTOR, 1.0)
    }
}

impl CallerWork {
    /// Returns the work faded to now.
    fn decayed(&self, now: Millis) -> f64 {
        self.work * (-(now.saturating_sub(self.changed) as f64) / DECAY_TIME).exp()
    }
}
