//! The routing configuration in force and the targets, as read from the store and corrected by
//! observations of the targets' answers.

mod observed;
mod presence;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use cactuslane_flight::VersionHistory;
use cactuslane_flight::origin::{Evidence, VersionList};
use cactuslane_flight::routing_config::RoutingConfig;
use cactuslane_flight::target::{Target, TargetState};
use cactuslane_types::{Era, Millis, Position, Role, ServiceName, SoftwareVersion, TargetId};

/// Time after the last store failure within which targets whose entries lapsed meanwhile are
/// expected to register again, in milliseconds.
const REREGISTRATION_TIME: Millis = 2200;
/// Time after an entry vanished within which its target may have been started again and register,
/// in milliseconds.
const RESTART_TIME: Millis = 5000;
/// Time in a new era of the store for which a target that had left gets no new work although the
/// older copy lists it, in milliseconds: within it, the target or the platform has written its entry
/// again.
const RETURNED_HOLD: Millis = 10_000;
/// Time for which a target is remembered that left while it was draining, in milliseconds; older
/// copies of the store list it.
const DEPARTED_RETENTION: Millis = 60_000;

/// The routing configuration and the targets.
///
/// All times are in milliseconds on the clock of this instance.
#[derive(Debug, Default)]
pub struct Fleet {
    /// The routing configuration in force, once one was read.
    routing_config: Option<Arc<RoutingConfig>>,
    /// The time at which it came into force.
    configured_at: Millis,
    /// The targets by id.
    targets: BTreeMap<TargetId, Entry>,
    /// The software versions that targets have had.
    versions: VersionHistory,
    /// The time at which the store last answered, or a relay of its changes was last applied.
    store_contact: Option<Millis>,
    /// The time at which reading or watching the store last failed, or another instance last
    /// reported that the store had recovered.
    store_failure: Option<Millis>,
    /// The time of the first failure of the disruption that `store_failure` belongs to.
    disrupted_since: Millis,
    /// The time for which a target whose entry vanished may be used if no other target is left, in
    /// milliseconds.
    fallback_period: Millis,
    /// The era of the store in which the entries were read.
    era: Era,
    /// The targets that left while they were draining, with the starts of their processes and the
    /// times at which they left.
    departed: BTreeMap<TargetId, (Option<u64>, Millis)>,
    /// The time until which targets that had left before this era get no new work.
    hold_until: Millis,
}

/// A target with what was observed of it.
#[derive(Debug)]
struct Entry {
    /// The target as it registered itself, except that an observed role replaces the stated one.
    target: Target,
    /// The time at which its entry vanished from the store, unless it was written again.
    lapsed: Option<Millis>,
    /// Whether another target answered at its address.
    replaced: bool,
    /// The time at which another process of the target answered, whose entry has not arrived yet.
    restarted_at: Option<Millis>,
    /// Whether an answer of its process said that it is leaving.
    leaving: bool,
    /// The time until which it gets no new work, as it had left before the era of the store.
    held_until: Millis,
    /// The time until which it wants no request from this instance.
    paused_until: Millis,
    /// The role in the store entry, if an answer of the target has shown another one since.
    stated_role: Option<Role>,
    /// The time at which an answer last contradicted the known role, or another instance last
    /// reported a role change.
    contradicted_at: Option<Millis>,
    /// The time until which it gets no new work because its role seems to be changing.
    changing_until: Millis,
}

/// The effect of a registry entry on the known targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The target is new, has restarted or has another address.
    Started,
    /// The entry of a known target changed, or was written again after it had vanished.
    Changed,
    /// The entry repeats what is known.
    Same,
}

impl Fleet {
    /// Returns the routing configuration in force, or `None` before the first one.
    #[must_use]
    pub fn routing_config(&self) -> Option<Arc<RoutingConfig>> {
        self.routing_config.clone()
    }

    /// Puts a routing configuration in force if its version is higher than that of the current one.
    ///
    /// The same document at a later position, as in a new era of the store, confirms the current one
    /// there; another one with the same version does not. Returns whether it was put in force.
    pub fn set_routing_config(&mut self, config: RoutingConfig) -> bool {
        if let Some(known) = &self.routing_config
            && known.version >= config.version
        {
            if config.position > known.position && known.has_same_content(&config) {
                self.routing_config = Some(Arc::new(config));
            }
            return false;
        }
        self.routing_config = Some(Arc::new(config));
        true
    }

    /// Records that a configuration came into force at `now`.
    pub fn record_configured(&mut self, now: Millis) {
        self.configured_at = now;
    }

    /// Returns the time since the configuration came into force, in milliseconds.
    #[must_use]
    pub fn config_age(&self, now: Millis) -> Millis {
        now.saturating_sub(self.configured_at)
    }

    /// Sets the time for which a target whose entry vanished may be used if no other is left: half
    /// of `drain`, the time within which a leaving target must stop receiving new work.
    pub fn set_fallback_period(&mut self, drain: Duration) {
        self.fallback_period = (drain.as_millis() as Millis) / 2;
    }

    /// Records that reading or watching the store failed, or that a relay reported that the store
    /// had recovered.
    ///
    /// Failures that follow each other within the time to register again are one disruption.
    pub fn record_store_failure(&mut self, now: Millis) {
        if !self.store_failed_recently(now) {
            self.disrupted_since = now;
        }
        self.store_failure = Some(now);
    }

    /// Records that the store answered, or that a relay of its changes was applied.
    pub fn record_store_contact(&mut self, now: Millis) {
        self.store_contact = Some(now);
    }

    /// Returns the time at which the store last answered or a relay of its changes was last
    /// applied, if either ever happened.
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

    /// Returns the targets that take new work, with their services.
    #[must_use]
    pub fn usable(&self, now: Millis) -> Vec<(TargetId, ServiceName)> {
        let mut usable = Vec::new();
        for (id, entry) in &self.targets {
            if self.may_use(entry, now) {
                usable.push((id.clone(), entry.target.service.clone()));
            }
        }
        usable
    }

    /// Begins to apply the entries of an era; returns whether an older copy has replaced those that
    /// were applied before.
    ///
    /// Entries may be missing from it until their targets register again, and entries of targets that
    /// have left may be there again.
    pub fn begin_era(&mut self, era: Era, now: Millis) -> bool {
        let known = std::mem::replace(&mut self.era, era);
        if known == 0 || era <= known {
            return false;
        }
        self.hold_until = now + RETURNED_HOLD;
        let failed_recently = self.store_failed_recently(now);
        for entry in self.targets.values_mut() {
            let may_return = |at| at >= self.disrupted_since && failed_recently;
            if entry.lapsed.is_some_and(|at| !may_return(at)) {
                entry.held_until = self.hold_until;
            }
            // A process that was draining does not take work again.
            entry.leaving |= entry.target.state == TargetState::Draining;
        }
        self.record_store_failure(now);
        true
    }

    /// Records that all targets were listed at `now`.
    pub fn record_listing(&mut self, now: Millis) {
        self.versions.record_listing(now);
    }

    /// Returns the software version at which all streams of a service have begun within the period
    /// before a question came up, if the store's answer to it shows only one, the store did not fail
    /// recently, and the answer is of the era of the entries.
    #[must_use]
    pub fn only_version(
        &self,
        service: &str,
        period: Duration,
        now: Millis,
        evidence: Evidence<'_>,
    ) -> Option<SoftwareVersion> {
        if self.store_failed_recently(now) || evidence.era() != self.era {
            return None;
        }
        let present = self.present().filter(|target| target.service == service);
        self.versions
            .only_version(service, present, period, now, evidence)
    }

    /// Returns whether the streams of a service may have begun at several versions within a period.
    #[must_use]
    pub fn is_mixed(&self, service: &str, period: Duration, now: Millis) -> bool {
        let present = self.present().filter(|target| target.service == service);
        self.versions.is_mixed(service, present, period, now)
    }

    /// Returns whether the store lists the version of a target, so that a stream may begin at it
    /// while other targets are left; any may for a service that is not listed.
    #[must_use]
    pub fn is_listed(&self, target: &Target) -> bool {
        self.versions.is_listed(target)
    }

    /// Applies the list of versions that the store has at a position.
    pub fn set_version_list(&mut self, list: VersionList, position: Position) {
        self.versions.set_list(list, position);
    }

    /// Discards the list of versions, before the store is read anew.
    pub fn clear_version_list(&mut self) {
        self.versions.clear_list();
    }

    /// Returns the list of versions with those of targets that it lacks, and the position of the one
    /// that the store has, if they differ and the store did not fail recently.
    #[must_use]
    pub fn extended_versions(&self, now: Millis) -> Option<(VersionList, Position)> {
        if self.store_failed_recently(now) {
            return None;
        }
        let extended = self.versions.extended_list(self.present())?;
        Some((extended, self.versions.position()))
    }

    /// Returns whether the store should have another list of versions by what this instance has seen,
    /// and the store did not fail recently.
    #[must_use]
    pub fn seems_outdated(&self, period: Duration, now: Millis) -> bool {
        let failed = self.store_failed_recently(now);
        !failed && self.versions.seems_outdated(self.present(), period, now)
    }

    /// Returns the list of versions that the store should have by its answer to this question, with
    /// the position of the one that it has, if they differ, the store did not fail recently and the
    /// answer is of the era of the entries.
    #[must_use]
    pub fn wanted_versions(
        &self,
        period: Duration,
        now: Millis,
        evidence: Evidence<'_>,
    ) -> Option<(VersionList, Position)> {
        if self.store_failed_recently(now) || evidence.era() != self.era {
            return None;
        }
        let present = self.present();
        let wanted = self.versions.wanted_list(present, period, now, evidence)?;
        Some((wanted, self.versions.position()))
    }

    /// Returns the targets that are registered.
    pub fn present(&self) -> impl Iterator<Item = &Target> {
        let entries = self.targets.values();
        let present = entries.filter(|entry| entry.lapsed.is_none());
        present.map(|entry| &entry.target)
    }

    /// Returns the targets of a service that are registered and not leaving, also those that take no
    /// new work for the moment.
    pub fn registered(&self, service: &str) -> impl Iterator<Item = &Target> {
        let stays = move |entry: &&Entry| {
            let leaving = entry.leaving || entry.target.state == TargetState::Draining;
            entry.target.service == service && entry.lapsed.is_none() && !leaving
        };
        self.targets
            .values()
            .filter(stays)
            .map(|entry| &entry.target)
    }

    /// Records that a target has its version at `now`, before and after its entry changes.
    pub fn record_version(&mut self, id: &str, now: Millis) {
        if let Some(entry) = self.targets.get(id) {
            self.versions.record(&entry.target, now);
        }
    }

    /// Applies a target's registry entry.
    pub fn put(&mut self, target: Target) -> Effect {
        let old = self.targets.get(&target.id);
        // An entry that repeats the role of the same process's previous entry does not override a
        // role that the target's answers have shown since.
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
        let same_process = self.targets.get(&id).filter(|_| effect != Effect::Started);
        let leaving = same_process.is_some_and(|old| old.leaving);
        let departed = self.departed.get(&id);
        let is_returned = departed.is_some_and(|(started, _)| *started == target.started_at);
        let held_until = match same_process {
            Some(old) => old.held_until,
            None if is_returned => self.hold_until,
            None => 0,
        };
        let paused_until = same_process.map_or(0, |old| old.paused_until);
        let entry = Entry {
            target,
            lapsed,
            replaced,
            restarted_at: same_process.and_then(|old| old.restarted_at),
            leaving,
            held_until,
            paused_until,
            stated_role,
            contradicted_at: unchanged.and_then(|old| old.contradicted_at),
            changing_until: unchanged.map_or(0, |old| old.changing_until),
        };
        self.targets.insert(id, entry);
        effect
    }

    /// Removes a target whose entry cannot be decoded.
    pub fn remove(&mut self, id: &str) {
        self.targets.remove(id);
    }

    /// Records that a target's entry vanished from the store.
    ///
    /// A draining target is removed immediately. Returns whether the target was known.
    pub fn lapse(&mut self, id: &str, now: Millis) -> bool {
        let Some(entry) = self.targets.get_mut(id) else {
            return false;
        };
        if entry.lapsed.is_none() {
            self.versions.record(&entry.target, now);
        }
        if entry.target.state == TargetState::Draining {
            let started = entry.target.started_at;
            self.targets.remove(id);
            self.departed
                .retain(|_, (_, at)| now < *at + DEPARTED_RETENTION);
            self.departed.insert(id.to_owned(), (started, now));
            return true;
        }
        entry.lapsed.get_or_insert(now);
        true
    }

    /// Records that the entries of all targets but `present` have vanished from the store.
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

    /// Returns a target whether or not it takes new work.
    #[must_use]
    pub fn known(&self, id: &str) -> Option<&Target> {
        Some(&self.targets.get(id)?.target)
    }

    /// Returns the targets of a service that take new work and serve `model`, if one is given.
    ///
    /// Targets whose entries vanished are returned only if that may be due to a recent failure of
    /// the store, or if there are no others and the fallback period has not passed. A target that
    /// lists no models serves any.
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
            if entry.lapsed.is_none_or(|at| self.is_excused(at, now)) {
                ready.push(target);
            } else {
                lapsed.push(target);
            }
        }
        if ready.is_empty() { lapsed } else { ready }
    }

    /// Returns whether the entry of a target of a service that fulfils a condition vanished, or
    /// another process of such a target answered, within the last 5 seconds, though the target was not
    /// leaving: it may register again.
    #[must_use]
    pub fn vanished_lately(
        &self,
        service: &str,
        condition: impl Fn(&Target) -> bool,
        now: Millis,
    ) -> bool {
        self.targets.values().any(|entry| {
            let lately = |at: Option<Millis>| at.is_some_and(|at| now < at + RESTART_TIME);
            let lately = lately(entry.lapsed) || lately(entry.restarted_at);
            let left = entry.leaving || entry.replaced;
            lately && !left && entry.target.service == service && condition(&entry.target)
        })
    }

    /// Returns whether a target takes new work; one whose entry vanished does for the fallback
    /// period, or if that may be due to a recent failure of the store.
    fn may_use(&self, entry: &Entry, now: Millis) -> bool {
        let leaving = entry.target.state == TargetState::Draining;
        let held_until = entry.held_until.max(entry.paused_until);
        let held_back = now < entry.changing_until.max(held_until);
        let restarted = entry.restarted_at.is_some();
        if leaving || entry.leaving || entry.replaced || restarted || held_back {
            return false;
        }
        let Some(lapsed) = entry.lapsed else {
            return true;
        };
        now < lapsed + self.fallback_period || self.is_excused(lapsed, now)
    }

    /// Returns whether an entry may have vanished at `lapsed` only because the store failed: not if
    /// it vanished before the disruption, as its target is then gone.
    fn is_excused(&self, lapsed: Millis, now: Millis) -> bool {
        lapsed >= self.disrupted_since && self.store_failed_recently(now)
    }

    /// Returns whether the store failed so recently that entries may be missing or out of date.
    #[must_use]
    pub fn store_failed_recently(&self, now: Millis) -> bool {
        self.store_failure
            .is_some_and(|at| now < at + REREGISTRATION_TIME)
    }
}
