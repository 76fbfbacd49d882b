//! Member records and the rules by which a newer one replaces an older one.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use cactuslane_types::{DomainName, Incarnation, InstanceId, Revision};
use serde::{Deserialize, Serialize};

/// The gossiped state of one member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The instance, as the instance list names it.
    pub id: InstanceId,
    /// The incarnation of its process; 0 if it is known only from the instance list.
    pub incarnation: Incarnation,
    /// Version of the status within the incarnation. Only the member itself raises it: when it
    /// refutes a suspicion or starts to leave.
    pub status_version: u32,
    /// The status; of two within one version the later in [`Status`] wins.
    pub status: Status,
    /// The address for UDP and TCP between instances.
    pub gossip: SocketAddr,
    /// The address for callers; port 0 if it is known only from the instance list.
    pub serving: SocketAddr,
    /// The failure domain: from the member's settings or, until they are known, the instance list.
    pub domain: DomainName,
    /// The revisions of its documents in force.
    pub revisions: Revisions,
}

/// The status of a member, in the order of precedence within one status version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Status {
    /// Serves callers.
    Alive,
    /// Serves callers that have its address already, but its address is no longer given out.
    Leaving,
    /// Has not acknowledged a probe, directly or through other members.
    Suspect,
    /// Has not refuted the suspicion in time, and counts as failed.
    Gone,
}

/// Revisions of the documents that an instance has in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Revisions {
    /// Revision of the configuration.
    pub config: Revision,
    /// Revision of the plan for targets and their roles. An instance raises its own only when it
    /// has nothing in progress at the targets that the plan has drained.
    pub plan: Revision,
}

impl Record {
    /// Creates the record of a member that is known only from the instance list.
    #[must_use]
    pub fn from_list(id: &str, gossip: SocketAddr, domain: &DomainName) -> Self {
        Self {
            id: id.to_owned(),
            incarnation: 0,
            status_version: 0,
            status: Status::Alive,
            gossip,
            serving: SocketAddr::new(IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0),
            domain: domain.clone(),
            revisions: Revisions::default(),
        }
    }

    /// Merges another record of the same member, and returns whether anything in it was newer.
    ///
    /// A higher incarnation replaces the record, a lower one is ignored. Within an incarnation the
    /// higher status version wins, then the later status; revisions never decrease.
    pub fn merge(&mut self, other: &Self) -> bool {
        if other.incarnation < self.incarnation {
            return false;
        }
        if other.incarnation > self.incarnation {
            *self = other.clone();
            return true;
        }
        let newer = (other.status_version, other.status) > (self.status_version, self.status);
        let revisions = self.revisions.max(&other.revisions);
        let changed = newer || revisions != self.revisions;
        if newer {
            *self = other.clone();
        }
        self.revisions = revisions;
        changed
    }
}

impl Status {
    /// Returns whether the member is assumed to answer calls: it is alive or leaving.
    #[must_use]
    pub fn is_reachable(self) -> bool {
        matches!(self, Self::Alive | Self::Leaving)
    }
}

impl Revisions {
    /// Returns the higher revision of each document.
    #[must_use]
    pub fn max(&self, other: &Self) -> Self {
        Self {
            config: self.config.max(other.config),
            plan: self.plan.max(other.plan),
        }
    }

    /// Returns whether any document has a higher revision than in `other`.
    #[must_use]
    pub fn is_newer_than(&self, other: &Self) -> bool {
        self.config > other.config || self.plan > other.plan
    }
}
