//! The back ends that requests are sent to.

use std::net::SocketAddr;

use cactuslane_types::{DomainName, Role, ServiceName, TargetId};

/// A back end as it registered itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Target {
    /// The target's id.
    pub id: TargetId,
    /// The service that it belongs to.
    pub service: ServiceName,
    /// The address that it serves.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainName,
    /// The number of requests that it executes at a time.
    pub slots: u32,
    /// The part of a request that it takes.
    pub role: Role,
    /// Whether it takes new work.
    pub state: TargetState,
    /// The Unix millisecond at which it started, if it said so.
    pub born: Option<u64>,
    /// The models that it serves.
    pub models: Vec<String>,
}

/// Whether a target takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TargetState {
    /// It takes new work.
    Ready,
    /// It is about to leave and takes no new work.
    Draining,
}
