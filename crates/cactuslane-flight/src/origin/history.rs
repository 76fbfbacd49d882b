//! The software versions at which the streams of each service may have begun.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use cactuslane_types::{Millis, Position, ServiceName, SoftwareVersion};

use super::Evidence;
use crate::target::Target;

/// Time for which a version is kept that no target has any more, in milliseconds.
const HISTORY_RETENTION: Millis = 600_000;

/// The versions of each service at which streams may have begun, as the store lists them; `None`
/// stands for targets that state none.
pub type VersionList = BTreeMap<ServiceName, BTreeSet<Option<SoftwareVersion>>>;

/// The versions that the targets of each service have had, as seen by this instance and as listed
/// in the store.
///
/// A version is listed before a stream begins at it while the service has other targets, and until
/// no target has had it for as long as a stream may last. The list therefore outlives a loss of all
/// instances.
#[derive(Debug, Default)]
pub struct VersionHistory {
    /// Time since which all of them are known.
    since: Option<Millis>,
    /// The last time at which a target had each version; `None` stands for targets that state none.
    last: BTreeMap<(ServiceName, Option<SoftwareVersion>), Millis>,
    /// The list in the store.
    list: VersionList,
    /// Position of the list in the store; revision 0 if there is none.
    position: Position,
}

impl VersionHistory {
    /// Records that all targets were listed, and that some may have come and gone unseen before.
    pub fn record_listing(&mut self, now: Millis) {
        self.since = Some(now);
    }

    /// Records that a target has its version now, or had it until now.
    pub fn record(&mut self, target: &Target, now: Millis) {
        let key = (target.service.clone(), target.version.clone());
        self.last.insert(key, now);
        self.last.retain(|_, at| now < *at + HISTORY_RETENTION);
    }

    /// Applies the list that the store has at a position, unless a later one is known.
    pub fn set_list(&mut self, list: VersionList, position: Position) {
        if position >= self.position {
            self.list = list;
            self.position = position;
        }
    }

    /// Discards the list, before the store is read anew.
    pub fn clear_list(&mut self) {
        self.list.clear();
        self.position = Position::default();
    }

    /// Returns the position of the list in the store; revision 0 if there is none.
    #[must_use]
    pub fn position(&self) -> Position {
        self.position
    }

    /// Returns whether a stream that begins at a target begins at a listed version; any is allowed
    /// for a service that is not listed.
    #[must_use]
    pub fn is_listed(&self, target: &Target) -> bool {
        let listed = self.list.get(&target.service);
        listed.is_none_or(|listed| listed.contains(&target.version))
    }

    /// Returns whether the streams of a service may have begun at several versions within a period.
    ///
    /// `present` are the targets that have their versions now.
    #[must_use]
    pub fn is_mixed<'t>(
        &'t self,
        service: &str,
        present: impl Iterator<Item = &'t Target>,
        period: Duration,
        now: Millis,
    ) -> bool {
        self.versions(service, present, period, now).len() > 1
    }

    /// Returns the version at which all streams of a service have begun within the period before a
    /// question came up, if the store's answer to it shows only one.
    ///
    /// `present` are the targets that have their versions now.
    #[must_use]
    pub fn only_version<'t>(
        &'t self,
        service: &str,
        present: impl Iterator<Item = &'t Target>,
        period: Duration,
        now: Millis,
        evidence: Evidence<'t>,
    ) -> Option<SoftwareVersion> {
        if !evidence.lists(service) && !self.is_complete(period, now) {
            return None;
        }
        let mut versions = self.versions(service, present, period, now);
        versions.extend(evidence.versions(service));
        let mut versions = versions.into_iter();
        match (versions.next(), versions.next()) {
            (Some(only), None) => only.cloned(),
            _ => None,
        }
    }

    /// Returns the list with the versions of the targets that are there now, if they are not listed;
    /// a service that is not listed stays so.
    #[must_use]
    pub fn extended_list<'t>(
        &self,
        present: impl Iterator<Item = &'t Target>,
    ) -> Option<VersionList> {
        let mut wanted = self.list.clone();
        for target in present {
            if wanted.contains_key(&target.service) {
                insert(&mut wanted, &target.service, target.version.as_ref());
            }
        }
        (wanted != self.list).then_some(wanted)
    }

    /// Returns whether the list should be another one by what this instance has seen, which may be
    /// old.
    #[must_use]
    pub fn seems_outdated<'t>(
        &self,
        present: impl Iterator<Item = &'t Target>,
        period: Duration,
        now: Millis,
    ) -> bool {
        self.expected_list(present, period, now).is_some()
    }

    /// Returns the list that the store should have, if it differs from the one that it has, by an
    /// answer of the store to the question.
    ///
    /// `present` are the targets that have their versions now, and `period` is the longest time
    /// since the beginning of a stream that a caller takes up. A service is listed, and a version is
    /// removed from the list, only once all versions of the last period are known.
    #[must_use]
    pub fn wanted_list<'t>(
        &self,
        present: impl Iterator<Item = &'t Target>,
        period: Duration,
        now: Millis,
        evidence: Evidence<'_>,
    ) -> Option<VersionList> {
        let expected = self.expected_list(present, period, now);
        let mut wanted = expected.unwrap_or_else(|| self.list.clone());
        for (service, version) in evidence.registered() {
            if self.is_complete(period, now) || wanted.contains_key(service) {
                insert(&mut wanted, service, version);
            }
        }
        (wanted != self.list).then_some(wanted)
    }

    /// Returns the list that the store should have by what this instance has seen, if it differs from
    /// the one that it has.
    fn expected_list<'t>(
        &self,
        present: impl Iterator<Item = &'t Target>,
        period: Duration,
        now: Millis,
    ) -> Option<VersionList> {
        let is_complete = self.is_complete(period, now);
        let mut wanted = self.list.clone();
        if is_complete {
            wanted.clear();
            for ((service, version), at) in &self.last {
                if now < at + millis(period) {
                    insert(&mut wanted, service, version.as_ref());
                }
            }
        }
        for target in present {
            if is_complete || wanted.contains_key(&target.service) {
                insert(&mut wanted, &target.service, target.version.as_ref());
            }
        }
        (wanted != self.list).then_some(wanted)
    }

    /// Returns whether all versions that targets have had within a period are known.
    fn is_complete(&self, period: Duration, now: Millis) -> bool {
        self.since
            .is_some_and(|since| now >= since + millis(period))
    }

    /// Returns the versions at which streams of a service may have begun within a period, as far as
    /// they are known.
    fn versions<'t>(
        &'t self,
        service: &str,
        present: impl Iterator<Item = &'t Target>,
        period: Duration,
        now: Millis,
    ) -> BTreeSet<Option<&'t SoftwareVersion>> {
        let mut versions = BTreeSet::new();
        for ((name, version), at) in &self.last {
            if name == service && now < at + millis(period) {
                versions.insert(version.as_ref());
            }
        }
        for version in self.list.get(service).into_iter().flatten() {
            versions.insert(version.as_ref());
        }
        versions.extend(present.map(|target| target.version.as_ref()));
        versions
    }
}

/// Adds a version of a service to a list.
fn insert(list: &mut VersionList, service: &str, version: Option<&SoftwareVersion>) {
    let versions = list.entry(service.to_owned()).or_default();
    versions.insert(version.cloned());
}

/// Converts a duration to milliseconds.
fn millis(period: Duration) -> Millis {
    period.as_millis() as Millis
}
