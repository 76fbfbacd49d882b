//! What the entries of targets in the store show of their processes.

use cactuslane_flight::Presence;
use cactuslane_flight::target::TargetState;

use super::Fleet;

impl Fleet {
    /// Returns what the entry of a target's process shows of it.
    #[must_use]
    pub fn presence(&self, id: &str, started_at: Option<u64>) -> Presence {
        let Some(entry) = self.targets.get(id) else {
            return Presence::Absent;
        };
        if entry.target.started_at != started_at {
            return Presence::Replaced;
        }
        if entry.lapsed.is_some() {
            return Presence::Absent;
        }
        if entry.leaving || entry.target.state == TargetState::Draining {
            return Presence::Leaving;
        }
        Presence::Registered
    }
}
