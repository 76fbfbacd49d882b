//! The processes of targets, which may start again under the ids that they had.

use cactuslane_types::SoftwareVersion;

use crate::target::Target;

/// The process of a target that serves a connection, as it stated itself on this connection.
///
/// A connection belongs to one process for as long as it is open, so that the statement holds for
/// all requests on it. The entry of a target in the store may be that of the process before.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServingProcess {
    /// Unix time of its start in milliseconds, if it stated one.
    started_at: Option<u64>,
}

impl ServingProcess {
    /// Returns the process that stated this start, as Unix time in milliseconds, or none.
    #[must_use]
    pub const fn stated(started_at: Option<u64>) -> Self {
        Self { started_at }
    }

    /// Returns the Unix time of its start in milliseconds, if it stated one.
    #[must_use]
    pub const fn started_at(self) -> Option<u64> {
        self.started_at
    }

    /// Returns whether it is the process that wrote the entry of a target, so that what the entry
    /// says applies to it.
    #[must_use]
    pub fn has_registered(self, target: &Target) -> bool {
        self.started_at == target.started_at
    }

    /// Returns the version of its software, if it is the process that wrote the entry of a target.
    #[must_use]
    pub fn version(self, target: &Target) -> Option<&SoftwareVersion> {
        target
            .version
            .as_ref()
            .filter(|_| self.has_registered(target))
    }
}
