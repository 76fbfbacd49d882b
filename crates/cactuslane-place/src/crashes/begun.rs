//! The last time at which a target began to answer a request with each part.

use std::collections::{BTreeMap, BTreeSet};

use cactuslane_flight::request_info::PartId;

use super::Time;

/// Largest number of parts; those begun longest ago are discarded.
const MAX_PARTS: usize = 4096;

/// Parts that targets have begun to answer requests with.
#[derive(Debug, Default)]
pub(super) struct BegunParts {
    /// Time of the last beginning by part.
    last: BTreeMap<PartId, Time>,
    /// The same entries in the order of their times.
    order: BTreeSet<(Time, PartId)>,
}

impl BegunParts {
    /// Records that a target began to answer a request with a part.
    pub(super) fn record(&mut self, part: PartId, at: Time) {
        if let Some(last) = self.last.get(&part) {
            if *last >= at {
                return;
            }
            self.order.remove(&(*last, part));
        }
        self.last.insert(part, at);
        self.order.insert((at, part));
        if self.order.len() > MAX_PARTS
            && let Some((_, oldest)) = self.order.pop_first()
        {
            self.last.remove(&oldest);
        }
    }

    /// Returns the time at which a target last began to answer a request with a part.
    pub(super) fn last(&self, part: PartId) -> Option<Time> {
        self.last.get(&part).copied()
    }
}
