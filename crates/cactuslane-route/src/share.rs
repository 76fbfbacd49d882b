//! How much of the admitted work each caller has had lately.

use std::collections::BTreeMap;

use cactuslane_types::{CallerId, Millis};

/// Time in which admitted work fades to a third, in milliseconds.
const FADE: f64 = 10_000.0;
/// Share above its fair one at which a caller's bound begins to shrink.
const TOLERANCE: f64 = 1.15;
/// Part of its bound that is left to a caller with the largest share.
const LEAST: f64 = 0.3;
/// Number of callers that are remembered at most.
const MAX_CALLERS: usize = 4_096;

/// Measures callers' shares of the admitted work.
///
/// When work has to be refused, a caller above its fair share is refused first: its requests
/// count against a smaller bound, so that the room between is left to the others.
#[derive(Clone, Debug, Default)]
pub struct CallerShares {
    /// Holds the admitted work of each caller with its weight and the time of the last change.
    used: BTreeMap<CallerId, Used>,
}

/// The admitted work of one caller.
#[derive(Clone, Copy, Debug)]
struct Used {
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
        if self.used.len() >= MAX_CALLERS {
            self.used.retain(|_, used| used.faded(now) > 1.0);
        }
        let used = self.used.entry(caller.to_owned()).or_insert(Used {
            work: 0.0,
            weight,
            changed: now,
        });
        used.work = used.faded(now) + work;
        used.weight = weight;
        used.changed = now;
    }

    /// Returns the part of its bound that a caller's requests count against, from 0 to 1.
    #[must_use]
    pub fn bound_factor(&self, caller: &str, now: Millis) -> f64 {
        let Some(own) = self.used.get(caller) else {
            return 1.0;
        };
        let (mut work, mut weight) = (0.0, 0.0);
        for used in self.used.values() {
            let faded = used.faded(now);
            if faded > 1.0 {
                work += faded;
                weight += used.weight;
            }
        }
        if work <= 0.0 || weight <= own.weight {
            return 1.0;
        }
        let over = own.faded(now) / work / (own.weight / weight);
        (1.0 - (over - TOLERANCE)).clamp(LEAST, 1.0)
    }
}

impl Used {
    /// Returns the work faded to now.
    fn faded(&self, now: Millis) -> f64 {
        self.work * (-(now.saturating_sub(self.changed) as f64) / FADE).exp()
    }
}
