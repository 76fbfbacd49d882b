//! The last time at which a target began to answer a request with each suspect.

use std::collections::{BTreeMap, BTreeSet};

use super::Time;
use super::suspect::Suspect;

/// Largest number of prompt parts and of requests; those begun longest ago are discarded.
const MAX_KEPT: usize = 4096;

/// Suspects that targets have begun to answer requests with.
#[derive(Debug, Default)]
pub(super) struct BegunSuspects {
    /// Prompt parts.
    parts: LatestTimes,
    /// Whole requests, kept apart as there are more of them.
    requests: LatestTimes,
}

impl BegunSuspects {
    /// Records that a target began to answer a request with a suspect.
    pub(super) fn record(&mut self, suspect: Suspect, at: Time) {
        let (times, id) = match suspect {
            Suspect::Part(part) => (&mut self.parts, part),
            Suspect::Request(request) => (&mut self.requests, request),
        };
        times.record(id, at);
    }

    /// Returns the time at which a target last began to answer a request with a suspect.
    pub(super) fn last(&self, suspect: Suspect) -> Option<Time> {
        let (times, id) = match suspect {
            Suspect::Part(part) => (&self.parts, part),
            Suspect::Request(request) => (&self.requests, request),
        };
        times.last.get(&id).copied()
    }
}

/// The latest time for each of a bounded number of ids.
#[derive(Debug, Default)]
struct LatestTimes {
    /// Latest time by id.
    last: BTreeMap<u64, Time>,
    /// The same entries in the order of their times.
    order: BTreeSet<(Time, u64)>,
}

impl LatestTimes {
    /// Records a time for an id.
    fn record(&mut self, id: u64, at: Time) {
        if let Some(last) = self.last.get(&id) {
            if *last >= at {
                return;
            }
            self.order.remove(&(*last, id));
        }
        self.last.insert(id, at);
        self.order.insert((at, id));
        if self.order.len() > MAX_KEPT
            && let Some((_, oldest)) = self.order.pop_first()
        {
            self.last.remove(&oldest);
        }
    }
}
