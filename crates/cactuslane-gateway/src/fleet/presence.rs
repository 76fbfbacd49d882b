//! What the entries of targets in the store show of their processes.

use std::time::Duration;

use cactuslane_flight::target::TargetState;
use cactuslane_flight::{Presence, Removal};
use cactuslane_types::{Era, Millis};

use super::{Entry, Fleet};

impl Entry {
    /// Returns the removal of the entry from the store by `now`.
    pub(super) fn removal(&self, now: Millis) -> Removal {
        Removal {
            written_after: self.written_after,
            removed_by: now,
        }
    }
}

impl Fleet {
    /// Records that a target's process wrote its entry after a time at which all changes before were
    /// known.
    pub fn record_written(&mut self, id: &str, after: Millis) {
        if let Some(entry) = self.targets.get_mut(id) {
            entry.written_after = after;
        }
    }

    /// Returns what the entry of a target's process shows of it; `heartbeat` is the interval at which
    /// targets write their entries, if it is known.
    ///
    /// While the store is in trouble, and after it came back from an older copy, entries may be
    /// missing for other reasons, so that a removal shows nothing.
    #[must_use]
    pub fn presence(
        &self,
        id: &str,
        started_at: Option<u64>,
        heartbeat: Option<Duration>,
        now: Millis,
    ) -> Presence {
        let heartbeat = heartbeat.filter(|_| !self.store_failed_recently(now));
        let Some(entry) = self.targets.get(id) else {
            let departed = self.departed.get(id);
            let removal = departed.filter(|(started, _)| *started == started_at);
            let has_left = removal.is_some_and(|(_, removal)| removal.is_deliberate(heartbeat));
            return if has_left {
                Presence::Left
            } else {
                Presence::Absent
            };
        };
        if entry.target.started_at != started_at {
            return Presence::Replaced;
        }
        let is_leaving = entry.leaving || entry.target.state == TargetState::Draining;
        match entry.lapsed {
            Some(at) if !entry.removal(at).is_deliberate(heartbeat) => Presence::Absent,
            None if !is_leaving => Presence::Registered,
            _ => Presence::Leaving,
        }
    }

    /// Returns whether a target's process has left in order if its entry is not in the store at `now`,
    /// with the parameters of [`Fleet::presence`].
    #[must_use]
    pub fn has_left(
        &self,
        id: &str,
        started_at: Option<u64>,
        heartbeat: Option<Duration>,
        now: Millis,
    ) -> bool {
        let heartbeat = heartbeat.filter(|_| !self.store_failed_recently(now));
        let entry = self.targets.get(id);
        let entry = entry.filter(|entry| entry.target.started_at == started_at);
        entry.is_some_and(|entry| {
            entry.target.state == TargetState::Draining
                && entry.removal(now).is_deliberate(heartbeat)
        })
    }

    /// Returns the era of the store in which the entries were read.
    #[must_use]
    pub fn era(&self) -> Era {
        self.era
    }
}
