//! Attempts that an instance gave up before an event.

use std::collections::VecDeque;

use cactuslane_types::TargetId;

use super::Time;
use super::suspect::Attempt;

/// Time for which a target may still begin an attempt that was given up, in milliseconds.
const BEGINNING_TIME: Time = 1_000;
/// Largest number of attempts that are kept; the oldest are discarded.
const MAX_ATTEMPTS: usize = 256;

/// Attempts that an instance gave up before an event, the oldest first.
#[derive(Debug, Default)]
pub(super) struct AbandonedAttempts {
    /// Target, attempt and time of its end.
    attempts: VecDeque<(TargetId, Attempt, Time)>,
}

impl AbandonedAttempts {
    /// Adds an attempt that is given up at `at`.
    pub(super) fn add(&mut self, target: &str, attempt: Attempt, at: Time) {
        if self.attempts.len() >= MAX_ATTEMPTS {
            self.attempts.pop_front();
        }
        self.attempts.push_back((target.to_owned(), attempt, at));
    }

    /// Removes and returns the attempts that were given up shortly before a crash of a target.
    pub(super) fn take(&mut self, target: &str, crash: Time) -> Vec<Attempt> {
        let mut taken = Vec::new();
        self.attempts.retain(|(tried, attempt, at)| {
            let matches = tried == target && *at <= crash && crash <= *at + BEGINNING_TIME;
            if matches {
                taken.push(attempt.clone());
            }
            !matches
        });
        taken
    }
}
