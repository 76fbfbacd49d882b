//! The configuration in force and the targets, as the store tells them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use cactuslane_flight::routing_config::RoutingConfig;
use cactuslane_flight::target::{Target, TargetState};
use cactuslane_place::Observed;
use cactuslane_types::{Millis, Role, TargetId};

/// Time in which an engine that showed one role and then the other counts as changing, in
/// milliseconds.
const CONTRADICTION_WINDOW: Millis = 3_000;
/// Time for which an engine that is changing gets no work, in milliseconds; then one request shows
/// whether it is done.
const CHANGING_PAUSE: Millis = 1_000;
/// Time after the return of the store within which lapsed targets register again, in milliseconds.
const REREGISTRATION_TIME: Millis = 2200;

/// The configuration and the targets.
#[derive(Debug, Default)]
pub struct Fleet {
    /// The configuration in force.
    routing_config: Option<Arc<RoutingConfig>>,
    /// The targets by id.
    targets: BTreeMap<TargetId, Entry>,
    /// The time at which the store last answered.
    store_contact: Option<Millis>,
    /// The time until which the store was in trouble.
    store_failure: Option<Millis>,
    /// The time for which a target that vanished from the store may be used if no other is left.
    fallback_period: Millis,
}

/// One target.
#[derive(Debug)]
struct Entry {
    /// The target as it registered itself.
    target: Target,
    /// The time at which it vanished from the store.
    lapsed: Option<Millis>,
    /// Whether another target was found at its address.
    replaced: bool,
    /// The role that the store names, where the target's own answers name another.
    stated_role: Option<Role>,
    /// When its own answer last showed a role.
    contradicted_at: Option<Millis>,
    /// Until when it gets no work, as it seems to be changing its role.
    changing_until: Millis,
}

/// What a change made of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// It is new, or has started anew.
    Started,
    /// Its entry changed.
    Changed,
    /// Nothing changed.
    Same,
}

impl Fleet {
    /// Returns the configuration in force.
    #[must_use]
    pub fn routing_config(&self) -> Option<Arc<RoutingConfig>> {
        self.routing_config.clone()
    }

    /// Puts a configuration in force unless it is older than the one that is; false if it is not
    /// newer.
    pub fn set_routing_config(&mut self, config: RoutingConfig) -> bool {
        let known = self.routing_config.as_ref();
        if known.is_some_and(|known| known.version >= config.version) {
            return false;
        }
        self.routing_config = Some(Arc::new(config));
        true
    }

    /// Sets the time for which a vanished target may be used if no other is left.
    pub fn set_fallback_period(&mut self, drain: Duration) {
        self.fallback_period = (drain.as_millis() as Millis) / 2;
    }

    /// Records that the store is in trouble now.
    pub fn record_store_failure(&mut self, now: Millis) {
        self.store_failure = Some(now);
    }

    /// Records that the store answers now.
    pub fn record_store_contact(&mut self, now: Millis) {
        self.store_contact = Some(now);
    }

    /// Returns the time at which the store last answered, if it ever did.
    #[must_use]
    pub fn store_contact(&self) -> Option<Millis> {
        self.store_contact
    }

    /// Returns the number of targets that take new work.
    #[must_use]
    pub fn count_usable(&self, now: Millis) -> usize {
        let usable = |entry: &&Entry| self.may_use(entry, now);
        self.targets.values().filter(usable).count()
    }

    /// Takes a target's entry.
    pub fn put(&mut self, target: Target) -> Effect {
        let old = self.targets.get(&target.id);
        // An entry that names the same role as before is no news of a role that was seen since.
        let unchanged = old.filter(|old| {
            old.stated_role == Some(target.role) && old.target.started_at == target.started_at
        });
        let (stated_role, role) = match unchanged {
            Some(old) => (old.stated_role, old.target.role),
            None => (None, target.role),
        };
        let target = Target { role, ..target };
        let effect = match old {
            None => Effect::Started,
            Some(old) if old.target.started_at != target.started_at => Effect::Started,
            Some(old) if old.target.address != target.address => Effect::Started,
            Some(old) if old.target == target && old.lapsed.is_none() => Effect::Same,
            Some(_) => Effect::Changed,
        };
        let id = target.id.clone();
        let lapsed = None;
        let replaced = effect == Effect::Same && self.is_replaced(&id);
        let entry = Entry {
            target,
            lapsed,
            replaced,
            stated_role,
            contradicted_at: unchanged.and_then(|old| old.contradicted_at),
            changing_until: unchanged.map_or(0, |old| old.changing_until),
        };
        self.targets.insert(id, entry);
        effect
    }

    /// Records that another target was found at a target's address.
    ///
    /// It gets no more work until its entry changes. The observation is of the process that started
    /// at a time; false if it changes nothing for the one that is known.
    pub fn observe_replaced(&mut self, id: &str, started_at: Option<u64>) -> bool {
        let Some(entry) = self.entry_of_process(id, started_at) else {
            return false;
        };
        !std::mem::replace(&mut entry.replaced, true)
    }

    /// Returns the entry of a target if it is that of the process that started at a time.
    fn entry_of_process(&mut self, id: &str, started_at: Option<u64>) -> Option<&mut Entry> {
        let known = self.targets.get_mut(id);
        known.filter(|entry| entry.target.started_at == started_at)
    }

    /// Returns whether another target was found at a target's address.
    fn is_replaced(&self, id: &str) -> bool {
        self.targets.get(id).is_some_and(|entry| entry.replaced)
    }

    /// Records that a target's own answer shows another role than the store names.
    ///
    /// An engine that shows one role and soon the other is changing: it refuses work of either kind,
    /// and gets none for a while. The observation is of the process that started at a time;
    /// nothing is returned if it changes nothing for the one that is known.
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

    /// Records that another instance saw that a target is changing its role; false if that
    /// was known.
    pub fn observe_changing(&mut self, id: &str, started_at: Option<u64>, now: Millis) -> bool {
        let Some(entry) = self.entry_of_process(id, started_at) else {
            return false;
        };
        let new = now >= entry.changing_until;
        entry.contradicted_at = Some(now);
        entry.changing_until = now + CHANGING_PAUSE;
        new
    }

    /// Removes a target whose entry can't be read.
    pub fn remove(&mut self, id: &str) {
        self.targets.remove(id);
    }

    /// Records that a target vanished from the store; false if it was not known.
    pub fn lapse(&mut self, id: &str, now: Millis) -> bool {
        let Some(entry) = self.targets.get_mut(id) else {
            return false;
        };
        if entry.target.state == TargetState::Draining {
            self.targets.remove(id);
            return true;
        }
        entry.lapsed.get_or_insert(now);
        true
    }

    /// Records that only these targets are in the store.
    pub fn retain(&mut self, present: &[TargetId], now: Millis) {
        let known: Vec<TargetId> = self.targets.keys().cloned().collect();
        for id in known {
            if !present.contains(&id) {
                self.lapse(&id, now);
            }
        }
    }

    /// Returns a target if it takes new work.
    #[must_use]
    pub fn target(&self, id: &str, now: Millis) -> Option<&Target> {
        let entry = self.targets.get(id)?;
        self.may_use(entry, now).then_some(&entry.target)
    }

    /// Returns a target, whether it takes work or not.
    #[must_use]
    pub fn known(&self, id: &str) -> Option<&Target> {
        Some(&self.targets.get(id)?.target)
    }

    /// Returns the targets of a service that take new work and serve a model.
    #[must_use]
    pub fn targets(&self, service: &str, model: Option<&str>, now: Millis) -> Vec<&Target> {
        let mut ready = Vec::new();
        let mut lapsed = Vec::new();
        for entry in self.targets.values() {
            let target = &entry.target;
            let serves = model.is_none_or(|model| {
                target.models.is_empty() || target.models.iter().any(|name| name == model)
            });
            if target.service != service || !serves || !self.may_use(entry, now) {
                continue;
            }
            if entry.lapsed.is_none() || self.store_failed_recently(now) {
                ready.push(target);
            } else {
                lapsed.push(target);
            }
        }
        if ready.is_empty() { lapsed } else { ready }
    }

    /// Returns whether a target takes new work, if need be after it vanished.
    fn may_use(&self, entry: &Entry, now: Millis) -> bool {
        let leaving = entry.target.state == TargetState::Draining;
        if leaving || entry.replaced || now < entry.changing_until {
            return false;
        }
        let Some(lapsed) = entry.lapsed else {
            return true;
        };
        now < lapsed + self.fallback_period || self.store_failed_recently(now)
    }

    /// Returns whether entries may be missing or old because of trouble of the store.
    #[must_use]
    pub fn store_failed_recently(&self, now: Millis) -> bool {
        self.store_failure
            .is_some_and(|at| now < at + REREGISTRATION_TIME)
    }
}
