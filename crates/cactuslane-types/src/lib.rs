//! Identifiers, roles and outcomes that several crates share.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Id of an entry or gateway instance, unique within a deployment; in the platform's instance list,
/// also of an engine or worker.
pub type InstanceId = String;
/// Id of a target: a model engine or a worker of a plain service.
pub type TargetId = String;

/// Version of the software of a target.
pub type SoftwareVersion = String;
/// Id of a customer: the key of its entry in the `callers` section of the configuration document.
pub type CallerId = String;
/// Name of a customer in the routing configuration, which targets may see.
pub type CustomerName = String;
/// Name of a model or a plain service.
pub type ServiceName = String;
/// Name of a failure domain, a group of instances and targets that may fail together.
pub type DomainName = String;
/// Revision of a stored document or entry, assigned by the key-value service.
pub type Revision = u64;
/// Fencing token of an owner or leader, assigned by the key-value service; it only grows from one
/// owner to the next.
pub type FencingToken = u64;
/// Number of one run of an instance, higher than that of any earlier run unless the wall clock by
/// which the instance chooses it at its start has gone back.
pub type Incarnation = u64;
/// Duration in milliseconds, or time in milliseconds on a clock whose origin the calling code
/// chooses, such as the start of the process or the Unix epoch.
pub type Millis = u64;

/// Whether a call that did not succeed may have been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// No target can have started the call, so that it can be repeated safely.
    NotRun,
    /// A target may have started the call, or even have completed it.
    Unknown,
}

impl Outcome {
    /// Returns the value sent in the `cactuslane-outcome` header.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Phases of generation that a model engine performs.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Computes prompts and generates tokens.
    #[default]
    Mixed,
    /// Computes prompts only, and exports their KV caches.
    Prefill,
    /// Generates tokens only, from KV caches that it imports.
    Decode,
}

impl Role {
    /// Returns whether the role computes prompts.
    #[must_use]
    pub fn prefills(self) -> bool {
        !matches!(self, Self::Decode)
    }

    /// Returns whether the role generates tokens.
    #[must_use]
    pub fn decodes(self) -> bool {
        !matches!(self, Self::Prefill)
    }

    /// Returns the name used in configuration, reports and orders.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Mixed => "mixed",
            Self::Prefill => "prefill",
            Self::Decode => "decode",
        }
    }

    /// Parses the name used in configuration, reports and orders; returns `None` if it is unknown.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        match text {
            "mixed" => Some(Self::Mixed),
            "prefill" => Some(Self::Prefill),
            "decode" => Some(Self::Decode),
            _ => None,
        }
    }
}

/// Kind of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TargetKind {
    /// An engine that serves a model.
    Engine,
    /// A worker of a plain service.
    Service,
}
