//! Limits that targets name for the requests of all instances together.

use std::collections::BTreeMap;

use cactuslane_types::{Millis, TargetId};

use crate::target::Target;

/// Limits of the targets, as far as their answers have shown them.
///
/// All times are in milliseconds on the clock of this instance.
#[derive(Clone, Debug, Default)]
pub struct TargetLimits {
    /// Targets whose answers have named a limit, by id.
    targets: BTreeMap<TargetId, LimitState>,
}

/// What is known of the limit of one target.
#[derive(Clone, Debug)]
struct LimitState {
    /// Start of the target's process, in Unix milliseconds; the limit applies to that process only.
    process: Option<u64>,
    /// Requests a second that the target takes; `None` once it has ceased to name a limit.
    rate: Option<f64>,
    /// Arrival of the answer that showed the rate or its end.
    observed: Millis,
}

/// An answer of a target, as far as it concerns the target's limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitAnswer {
    /// Requests a second that the target takes from all instances together, if the answer names a
    /// limit.
    pub rate: Option<f64>,
    /// Whether the answer would name a limit if the target had one: it answers a request that ran.
    pub conclusive: bool,
    /// Time at which the request was sent.
    pub sent: Millis,
}

impl TargetLimits {
    /// Applies an answer of a target and returns whether it changed what is known of its limit.
    ///
    /// A limit ends with a conclusive answer that names none, unless the request was sent before
    /// the last answer that named it.
    pub fn observe_answer(&mut self, target: &Target, answer: LimitAnswer, now: Millis) -> bool {
        let known = self.state(target);
        let ended = answer.conclusive && known.is_some_and(|known| answer.sent > known.observed);
        if answer.rate.is_none() && !ended {
            return false;
        }
        let before = known.and_then(|known| known.rate);
        let state = LimitState {
            process: target.started_at,
            rate: answer.rate,
            observed: now,
        };
        self.targets.insert(target.id.clone(), state);
        answer.rate != before
    }

    /// Returns the requests a second that a target takes, if it has a limit.
    #[must_use]
    pub fn rate(&self, target: &Target) -> Option<f64> {
        self.state(target)?.rate
    }

    /// Returns the number of targets that have a limit.
    #[must_use]
    pub fn count(&self) -> usize {
        let states = self.targets.values();
        states.filter(|state| state.rate.is_some()).count()
    }

    /// Discards what is known of targets other than those for which `known` returns true.
    pub fn retain(&mut self, known: impl Fn(&str) -> bool) {
        self.targets.retain(|id, _| known(id));
    }

    /// Returns what is known of the limit of a target's current process.
    fn state(&self, target: &Target) -> Option<&LimitState> {
        let state = self.targets.get(&target.id)?;
        (state.process == target.started_at).then_some(state)
    }
}
