//! Ids, roles and outcomes that every crate shares.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Names an entry instance, unique within a deployment.
pub type InstanceId = String;
/// Names a back end: a model engine or a plain service worker.
pub type TargetId = String;
/// Names the section entry of a customer.
pub type CallerId = String;
/// Names a model or a plain service.
pub type ServiceName = String;
/// Names a failure domain.
pub type DomainName = String;
/// Revision of the configuration document, assigned by the key-value service.
pub type Revision = u64;
/// Fencing token of an owner, assigned by the key-value service, only growing.
pub type FencingToken = u64;
/// Incarnation of a process: a number larger than that of any earlier run of the same instance.
pub type Incarnation = u64;
/// Milliseconds on a clock whose origin the driver chooses.
pub type Millis = u64;

/// Says whether a call that did not succeed may have been executed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// No target can have started the call.
    NotRun,
    /// A target may have started the call.
    Unknown,
}

impl Outcome {
    /// Returns the text that the outcome header carries.
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

/// The kind of work that a model engine takes.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "lowercase")]
pub enum Role {
    /// Takes prompts and generates tokens.
    #[default]
    Mixed,
    /// Computes prompts only and exports their KV cache.
    Prefill,
    /// Imports KV caches and generates tokens only.
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

    /// Returns the text used in configuration and orders.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Mixed => "mixed",
            Self::Prefill => "prefill",
            Self::Decode => "decode",
        }
    }

    /// Parses the text used in configuration and orders.
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

/// The kind of a back end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum TargetKind {
    /// A model engine.
    Engine,
    /// A worker of a plain service.
    Service,
}
