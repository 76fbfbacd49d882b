//! Records of members and which of two is newer.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};

use cactuslane_types::{DomainName, Incarnation, InstanceId, Revision};
use serde::{Deserialize, Serialize};

/// What is known of one member.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Names the instance.
    pub id: InstanceId,
    /// Its incarnation; 0 where only the instance list has named it.
    pub incarnation: Incarnation,
    /// Counts its answers to suspicions within the incarnation.
    pub status_version: u32,
    /// Its status.
    pub status: Status,
    /// Its address for UDP and TCP between instances.
    pub gossip: SocketAddr,
    /// Its address for callers.
    pub serving: SocketAddr,
    /// Its failure domain.
    pub domain: DomainName,
    /// Holds the revisions of its documents.
    pub revisions: Revisions,
}

/// The status of a member.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Status {
    /// It serves.
    Alive,
    /// It serves those who hold its address, and takes no new callers.
    Leaving,
    /// It gave no sign of life.
    Suspect,
    /// It counts as gone.
    Gone,
}

/// Holds the revisions of the documents that an instance has in force.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Revisions {
    /// That of the configuration.
    pub config: Revision,
    /// That of the plan.
    pub plan: Revision,
}

impl Record {
    /// Creates the record of a member that only the instance list has named.
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

    /// Takes in another record of the same member; false if nothing in it is newer.
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
    /// Returns whether the member answers calls, as far as is known.
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

    /// Returns whether any document is newer than another's.
    #[must_use]
    pub fn is_newer_than(&self, other: &Self) -> bool {
        self.config > other.config || self.plan > other.plan
    }
}
