//! Attempts that an instance gave up before an event.

use std::collections::VecDeque;

use cactuslane_flight::request_info::PartId;
use cactuslane_types::TargetId;

use super::Time;

/// Time for which a target may still begin an attempt that was given up, in milliseconds.
const BEGINNING_TIME: Time = 1_000;
/// Largest number of attempts that are kept; the oldest are discarded.
const MAX_ATTEMPTS: usize = 256;

/// Attempts that an instance gave up before an event, the oldest first.
#[derive(Debug, Default)]
pub(super) struct AbandonedAttempts {
    /// Target, shared parts of the prompt, and time, of each attempt.
    attempts: VecDeque<(TargetId, Vec<PartId>, Time)>,
}

impl AbandonedAttempts {
    /// Adds an attempt that is given up at `at`.
    pub(super) fn add(&mut self, target: &str, parts: Vec<PartId>, at: Time) {
        if self.attempts.len() >= MAX_ATTEMPTS {
            self.attempts.pop_front();
        }
        self.attempts.push_back((target.to_owned(), parts, at));
    }

    /// Removes the attempts that were given up shortly before a crash of a target, and returns their
    /// parts.
    pub(super) fn take(&mut self, target: &str, crash: Time) -> Vec<PartId> {
        let mut taken = Vec::new();
        self.attempts.retain(|(tried, parts, at)| {
            let matches = tried == target && *at <= crash && crash <= *at + BEGINNING_TIME;
            if matches {
                taken.extend(parts);
            }
            !matches
        });
        taken
    }
}
