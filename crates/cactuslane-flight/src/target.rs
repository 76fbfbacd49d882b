//! The targets that requests are sent to.

use std::net::SocketAddr;
use std::time::Duration;

use cactuslane_types::{DomainName, Role, ServiceName, SoftwareVersion, TargetId};

/// A target, as it registered itself in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// Id of the target, taken from the key of its entry in the store.
    pub id: TargetId,
    /// Name of the service that the target belongs to.
    pub service: ServiceName,
    /// Address at which the target accepts connections.
    pub address: SocketAddr,
    /// Failure domain in which the target runs.
    pub domain: DomainName,
    /// Number of requests that the target executes at the same time.
    pub slots: u32,
    /// Phases of a request that the target runs: prefill, decode or both.
    pub role: Role,
    /// Whether the target accepts new requests.
    pub state: TargetState,
    /// Unix time of its start in milliseconds, if registered; a changed value means a restart.
    pub started_at: Option<u64>,
    /// Names of the models that the target serves; if empty, it is used for any model.
    pub models: Vec<String>,
    /// Version of the software that the target's process runs, if registered; not that of a model.
    pub version: Option<SoftwareVersion>,
    /// Whether the platform may reclaim it, with all such targets of its failure domain at once.
    pub reclaimable: bool,
    /// Time until a draining target is gone, as stated when it registered that it is draining.
    pub leaves_in: Option<Duration>,
}

impl Target {
    /// Returns whether both targets are known to run the same version of the software, so that one
    /// may use what the other has written.
    #[must_use]
    pub fn has_version_of(&self, other: &Self) -> bool {
        self.version.is_some() && self.version == other.version
    }
}

/// Whether a target accepts new requests, as it registered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetState {
    /// It accepts new requests.
    Ready,
    /// It is about to stop and accepts no new requests.
    Draining,
}
