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
/// Number of a run of the key-value service, which rises each time that the service comes back from
/// an older copy of its contents; it counts from 1, and is 0 while the service states none.
pub type Era = u64;
/// Fencing token of an owner or leader, assigned by the key-value service; it only grows from one
/// owner to the next.
pub type FencingToken = u64;
/// Number of one run of an instance, higher than that of any earlier run unless the wall clock by
/// which the instance chooses it at its start has gone back.
pub type Incarnation = u64;
/// Duration in milliseconds, or time in milliseconds on a clock whose origin the calling code
/// chooses, such as the start of the process or the Unix epoch.
pub type Millis = u64;

/// The first era of a key-value service.
pub const FIRST_ERA: Era = 1;
/// Number of low bits of a fencing token that hold a revision.
const REVISION_BITS: u32 = 40;
/// Number of bits of a fencing token, which the readers of JSON numbers represent exactly.
const TOKEN_BITS: u32 = 53;

/// A position in the history of the key-value service.
///
/// A later era is after an earlier one at any revision: the service gives out the same revisions
/// again once it has come back from an older copy.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Position {
    /// The era in which the service stated the revision.
    pub era: Era,
    /// The revision; 0 if there is none, as before the creation of a key.
    pub revision: Revision,
}

impl Position {
    /// Creates a position.
    #[must_use]
    pub const fn new(era: Era, revision: Revision) -> Self {
        Self { era, revision }
    }

    /// Returns the fencing token of a change at this position, which is higher than that of any
    /// earlier position; `None` if the era or the revision is too high for a token.
    ///
    /// In the first era it is the revision itself, as builds that know no eras have it.
    #[must_use]
    pub fn fencing_token(self) -> Option<FencingToken> {
        let era = self.era.saturating_sub(FIRST_ERA);
        let fits = era >> (TOKEN_BITS - REVISION_BITS) == 0 && self.revision >> REVISION_BITS == 0;
        fits.then_some(era << REVISION_BITS | self.revision)
    }
}

impl fmt::Display for Position {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.era, self.revision)
    }
}

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
