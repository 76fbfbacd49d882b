//! What the store said of the versions of streams, and to which questions that is an answer.

use std::collections::BTreeSet;
use std::time::Duration;

use cactuslane_types::{Era, Position, ServiceName, SoftwareVersion};

use super::VersionList;

/// Versions that targets have had by service; `None` stands for targets that state none.
pub type RegisteredVersions = BTreeSet<(ServiceName, Option<SoftwareVersion>)>;

/// What the store said, in reads that were sent together, of the versions at which streams may have
/// begun.
#[derive(Clone, Debug)]
pub struct StoreReads {
    /// Time at which the reads were sent, since the clock of the instance showed 0.
    asked: Duration,
    /// List of versions.
    list: VersionList,
    /// Position of the store at the read of the list.
    position: Position,
    /// Versions of the targets that registered after the changes that the instance had applied when
    /// it sent the reads.
    registered: RegisteredVersions,
}

impl StoreReads {
    /// Creates what linearizable reads showed that were sent at `asked`: the list of versions at a
    /// position, and the versions of the targets that registered after the changes that the instance
    /// had applied by then.
    #[must_use]
    pub fn new(
        asked: Duration,
        list: VersionList,
        position: Position,
        registered: RegisteredVersions,
    ) -> Self {
        Self {
            asked,
            list,
            position,
            registered,
        }
    }

    /// Returns what the reads prove about the time before `arrived`, at which a question came up;
    /// `None` if they were sent earlier, as the store may have changed in between.
    #[must_use]
    pub fn evidence(&self, arrived: Duration) -> Option<Evidence<'_>> {
        (self.asked >= arrived).then_some(Evidence(self))
    }
}

/// Proof of what the store showed after a question came up; it cannot be had without an answer of the
/// store.
#[derive(Clone, Copy, Debug)]
pub struct Evidence<'r>(&'r StoreReads);

impl<'r> Evidence<'r> {
    /// Returns the era of the store in which it answered.
    #[must_use]
    pub fn era(self) -> Era {
        self.0.position.era
    }

    /// Returns whether the store lists the versions of a service.
    pub(super) fn lists(self, service: &str) -> bool {
        self.0.list.contains_key(service)
    }

    /// Returns the versions that the store shows for a service: those listed, and those of targets
    /// that the instance has not seen yet.
    pub(super) fn versions(
        self,
        service: &str,
    ) -> impl Iterator<Item = Option<&'r SoftwareVersion>> {
        let listed = self.0.list.get(service).into_iter().flatten();
        let registered = self.registered();
        let registered = registered.filter(move |(name, _)| *name == service);
        let registered = registered.map(|(_, version)| version);
        listed.map(Option::as_ref).chain(registered)
    }

    /// Returns the services and versions of the targets that the instance has not seen yet.
    pub(super) fn registered(
        self,
    ) -> impl Iterator<Item = (&'r ServiceName, Option<&'r SoftwareVersion>)> {
        let registered = self.0.registered.iter();
        registered.map(|(service, version)| (service, version.as_ref()))
    }
}
