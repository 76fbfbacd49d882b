//! The share of the recently admitted work that each caller has received.

use std::collections::BTreeMap;

use cactuslane_types::{CallerId, Millis};

/// Time constant of the decay of admitted work (to 1/e, about a third), in milliseconds.
const DECAY_TIME: f64 = 10_000.0;
/// Ratio of a caller's share to its fair share above which its bound shrinks.
const TOLERANCE: f64 = 1.15;
/// Least factor to which a caller's bound shrinks.
const MIN_FACTOR: f64 = 0.3;
/// Number of callers at which those with at most one token of decayed work are dropped.
const MAX_CALLERS: usize = 4_096;

/// The callers' shares of the recently admitted work.
///
/// Under overload, a caller above its fair share is refused first: its requests are held to a
/// smaller bound on the time to the first token, which leaves the capacity between the smaller and
/// the full bound to the other callers.
#[derive(Clone, Debug, Default)]
pub struct CallerShares {
    /// The recently admitted work of each caller.
    callers: BTreeMap<CallerId, CallerWork>,
}

/// The admitted work of one caller.
#[derive(Clone, Copy, Debug)]
struct CallerWork {
    /// The admitted work as of the last change, decayed, in tokens.
    work: f64,
    /// The caller's weight as of its last admitted request.
    weight: f64,
    /// The time of the last admitted request.
    changed: Millis,
}

impl CallerShares {
    /// Records admitted work of a caller, in prompt and reserved output tokens, with its weight.
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

    /// Returns the factor, from 0.3 to 1, for the bound that a caller's requests are held to.
    ///
    /// A caller with no recorded work, or with no competing caller, gets 1.
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
        bound_factor(over)
    }

    /// Returns the callers with their recently admitted work in tokens, decayed to a time.
    pub fn work(&self, now: Millis) -> impl Iterator<Item = (&str, f64)> {
        let callers = self.callers.iter();
        callers.map(move |(caller, state)| (caller.as_str(), state.decayed(now)))
    }
}

/// Returns the factor, from 0.3 to 1, for the bound of a caller with `over` times its fair share.
#[must_use]
pub fn bound_factor(over: f64) -> f64 {
    (1.0 - (over - TOLERANCE)).clamp(MIN_FACTOR, 1.0)
}

impl CallerWork {
    /// Returns the admitted work in tokens, decayed to a time.
    fn decayed(&self, now: Millis) -> f64 {
        self.work * (-(now.saturating_sub(self.changed) as f64) / DECAY_TIME).exp()
    }
}
