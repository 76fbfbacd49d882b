//! What answers of targets, and other instances, tell of the targets beside their entries.

use std::time::Duration;

use cactuslane_place::Observed;
use cactuslane_types::{Millis, Role, TargetId};

use super::{Entry, Fleet};

/// Time within which an engine whose answers show first one role and then the other is considered
/// to be changing its role, in milliseconds.
const CONTRADICTION_WINDOW: Millis = 3_000;
/// Time for which an engine that is changing its role gets no new work, in milliseconds; the next
/// request then shows whether the change is complete.
const CHANGING_PAUSE: Millis = 1_000;
/// Longest pause of a target that counts, in milliseconds; then a request shows whether it goes on.
const MAX_PAUSE: Millis = 60_000;
/// Time added to a pause, in milliseconds, as the target's clock may be slower.
const PAUSE_MARGIN: Millis = 20;

impl Fleet {
    /// Records that another target answered at a target's address.
    ///
    /// The target gets no new work until its entry changes. The observation applies only to the
    /// process that started at `started_at`. Returns whether it was new.
    pub fn observe_replaced(&mut self, id: &str, started_at: Option<u64>) -> bool {
        let Some(entry) = self.entry_of_process(id, started_at) else {
            return false;
        };
        !std::mem::replace(&mut entry.replaced, true)
    }

    /// Records that another process of a target answers than the one that started at `started_at` and
    /// wrote its entry: the target gets no new work until the other one registers.
    pub fn observe_restarted(&mut self, id: &str, started_at: Option<u64>, now: Millis) {
        if let Some(entry) = self.entry_of_process(id, started_at) {
            entry.restarted_at.get_or_insert(now);
        }
    }

    /// Records that an answer of a target's process said that it is leaving: it gets no new work
    /// until another process of it registers. Returns whether this was new.
    pub fn observe_leaving(&mut self, id: &str, started_at: Option<u64>) -> bool {
        let Some(entry) = self.entry_of_process(id, started_at) else {
            return false;
        };
        !std::mem::replace(&mut entry.leaving, true)
    }

    /// Returns the targets whose answers said that they are leaving, with the starts of their
    /// processes.
    #[must_use]
    pub fn leaving(&self) -> Vec<(TargetId, Option<u64>)> {
        let leaving = self.targets.iter().filter(|(_, entry)| entry.leaving);
        leaving
            .map(|(id, entry)| (id.clone(), entry.target.started_at))
            .collect()
    }

    /// Records that a target's process wants no request from this instance for a time, of which at
    /// most [`MAX_PAUSE`] counts. Returns whether the target had no pause.
    pub fn observe_pause(
        &mut self,
        id: &str,
        started_at: Option<u64>,
        pause: Duration,
        now: Millis,
    ) -> bool {
        let Some(entry) = self.entry_of_process(id, started_at) else {
            return false;
        };
        let is_new = now >= entry.paused_until;
        let pause = pause.as_millis().min(u128::from(MAX_PAUSE)) as Millis;
        entry.paused_until = entry.paused_until.max(now + pause + PAUSE_MARGIN);
        is_new
    }

    /// Returns the time for which a target wants no request from this instance; zero if it has no
    /// pause.
    #[must_use]
    pub fn pause_left(&self, id: &str, now: Millis) -> Duration {
        let until = self.targets.get(id).map_or(0, |entry| entry.paused_until);
        Duration::from_millis(until.saturating_sub(now))
    }

    /// Returns the time until the first target of a service has no pause, if all that take new work
    /// otherwise have one.
    #[must_use]
    pub fn service_pause(&self, service: &str, now: Millis) -> Option<Duration> {
        let mut least = None;
        for entry in self.targets.values() {
            let paused = entry.paused_until > now;
            if entry.target.service == service && paused && self.may_use(entry, entry.paused_until)
            {
                let left = Duration::from_millis(entry.paused_until - now);
                least = Some(least.map_or(left, |least: Duration| least.min(left)));
            }
        }
        least
    }

    /// Returns the entry of a target if it belongs to the process that started at `started_at`.
    fn entry_of_process(&mut self, id: &str, started_at: Option<u64>) -> Option<&mut Entry> {
        let known = self.targets.get_mut(id);
        known.filter(|entry| entry.target.started_at == started_at)
    }

    /// Returns whether another target answered at a target's address.
    pub(super) fn is_replaced(&self, id: &str) -> bool {
        self.targets.get(id).is_some_and(|entry| entry.replaced)
    }

    /// Records the role that an answer of a target shows.
    ///
    /// An engine that shows one role and then the other within 3 s is changing its role: it refuses
    /// work of either kind and gets none for 1 s. The observation applies only to the process that
    /// started at `started_at`. Returns the observation to share with the other instances, or
    /// `None` if it changes nothing.
    pub fn observe_role(
        &mut self,
        id: &str,
        started_at: Option<u64>,
        role: Role,
        now: Millis,
    ) -> Option<Observed> {
        let entry = self.entry_of_process(id, started_at)?;
        if entry.target.role == role || now < entry.changing_until {
            return None;
        }
        let before = entry.contradicted_at.replace(now);
        entry.stated_role.get_or_insert(entry.target.role);
        entry.target.role = role;
        if before.is_some_and(|before| now < before + CONTRADICTION_WINDOW) {
            entry.changing_until = now + CHANGING_PAUSE;
            return Some(Observed::Changing);
        }
        Some(Observed::Role(role))
    }

    /// Records that another instance observed that a target is changing its role.
    ///
    /// The observation applies only to the process that started at `started_at`. Returns whether it
    /// was new.
    pub fn observe_changing(&mut self, id: &str, started_at: Option<u64>, now: Millis) -> bool {
        let Some(entry) = self.entry_of_process(id, started_at) else {
            return false;
        };
        let new = now >= entry.changing_until;
        entry.contradicted_at = Some(now);
        entry.changing_until = now + CHANGING_PAUSE;
        new
    }
}
