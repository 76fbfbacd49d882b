//! The configuration document: four sections, each of one team.

use std::collections::BTreeMap;
use std::time::Duration;

use cactuslane_types::{CallerId, ServiceName, TargetId};
use sha2::{Digest, Sha256};

use crate::reader::{Fault, Node, Reader};

mod sections;

/// Longest time that a bound or a timeout in the document may state, in milliseconds.
const MAX_DURATION_MS: u64 = 3_600_000;

/// The whole configuration of a deployment, checked.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Document {
    /// Holds the served models.
    pub models: BTreeMap<ServiceName, EngineModel>,
    /// Holds the plain services.
    pub services: BTreeMap<ServiceName, PlainService>,
    /// Holds the capacity of each model's roles.
    pub roles: BTreeMap<ServiceName, RoleChangePolicy>,
    /// The share of repeatable calls that may be retried.
    pub retry_share: f64,
    /// Holds the callers.
    pub callers: BTreeMap<CallerId, Caller>,
    /// Holds the planned work on targets.
    pub maintenance: Maintenance,
}

/// A section of the document, edited by one team.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Section {
    /// Which models and plain services there are, with their bounds.
    Models,
    /// How engines are divided between roles.
    Capacity,
    /// Who may call what, and how much.
    Callers,
    /// Planned work on targets.
    Maintenance,
}

/// One served model.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineModel {
    /// The bound on the time to the first token.
    pub first_token: Duration,
    /// The bound on the time between tokens.
    pub between_tokens: Duration,
    /// The number of targets that a planned change must leave serving.
    pub min_serving: usize,
    /// The version that engines shall run.
    pub version: String,
    /// The largest number of tokens of an answer.
    pub max_output: u64,
    /// Says whether its engines check fencing numbers.
    pub fencing: FencingMode,
}

/// Says whether a target refuses orders that carry an old fencing number.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum FencingMode {
    /// The target refuses old numbers.
    Checked,
    /// The target ignores the number.
    #[default]
    Ignored,
}

/// One plain service.
#[derive(Clone, Debug, PartialEq)]
pub struct PlainService {
    /// Holds the calls that may be repeated, as method and path prefix.
    pub repeatable: Vec<(String, String)>,
    /// The longest time that a call may take.
    pub timeout: Duration,
    /// The number of targets that a planned change must leave serving.
    pub min_serving: usize,
}

/// The role capacity of one model.
#[derive(Clone, Debug, PartialEq)]
pub struct RoleChangePolicy {
    /// The time that a role change takes an engine away.
    pub change_time: Duration,
    /// The deployment's weight on a role change, in lost engine seconds a change.
    pub change_weight: f64,
    /// The least time between two changes of one engine.
    pub payback: Duration,
}

/// One caller.
#[derive(Clone, Debug, PartialEq)]
pub struct Caller {
    /// The SHA-256 hash of its token, in lower-case hex.
    pub token_sha256: String,
    /// Holds the models that it may use.
    pub models: Vec<ServiceName>,
    /// Holds the plain services that it may use.
    pub services: Vec<ServiceName>,
    /// The request rate over the whole fleet, in requests a second.
    pub rate: f64,
    /// The token rate over the whole fleet, prompt and output, in tokens a second.
    pub tokens: f64,
    /// The number of requests in progress over the whole fleet.
    pub concurrency: usize,
    /// Its weight when capacity is short.
    pub weight: f64,
    /// Its priority; 0 is the most urgent.
    pub priority: u8,
}

/// The planned work on targets.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Maintenance {
    /// The name of the time zone of all windows.
    pub zone: String,
    /// Holds the windows in which planned work may be done.
    pub windows: Vec<Window>,
    /// Holds the targets to drain.
    pub drains: BTreeMap<TargetId, Drain>,
    /// The number of targets of one model that may be away at once.
    pub at_once: usize,
    /// The number of targets of one failure domain that may be away at once.
    pub per_domain: usize,
}

/// A daily window; it may end on the next day.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Window {
    /// Holds the days on which it starts, 1 for Monday to 7 for Sunday.
    pub days: Vec<i8>,
    /// The start in minutes after midnight.
    pub from: u16,
    /// The end in minutes after midnight.
    pub until: u16,
}

/// A drain of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Drain {
    /// The target gets no new work as soon as the edit is in force, whatever that costs.
    Now,
    /// The target is drained in a window and taken back after its replacement.
    Replace,
    /// The target is drained in a window and stays away.
    Withdraw,
}

impl Document {
    /// Parses and checks a document.
    ///
    /// # Errors
    ///
    /// Returns every fault of the text, each with its place.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<Fault>> {
        let mut reader = Reader::new(file, text);
        let Some(value) = reader.parse() else {
            return Err(reader.finish());
        };
        let document = sections::read(&mut reader, &Node::root(&value));
        match document {
            Some(document) if reader.is_clean() => Ok(document),
            _ => Err(reader.finish()),
        }
    }
}

impl PlainService {
    /// Returns whether a call may be repeated.
    #[must_use]
    pub fn may_repeat(&self, method: &str, path: &str) -> bool {
        let matches = |(m, prefix): &(String, String)| m == method && is_path_under(path, prefix);
        self.repeatable.iter().any(matches)
    }
}

impl Section {
    /// Holds all sections in the order of the document.
    pub const ALL: [Self; 4] = [
        Self::Models,
        Self::Capacity,
        Self::Callers,
        Self::Maintenance,
    ];

    /// Returns the section's name in the document.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Models => "models",
            Self::Capacity => "capacity",
            Self::Callers => "callers",
            Self::Maintenance => "maintenance",
        }
    }

    /// Parses a section's name.
    #[must_use]
    pub fn parse(name: &str) -> Option<Self> {
        Self::ALL
            .into_iter()
            .find(|section| section.as_str() == name)
    }
}

/// Returns the SHA-256 hash of a token in lower-case hex.
#[must_use]
pub fn hash_token(token: &str) -> String {
    hex::encode(Sha256::digest(token.as_bytes()))
}

/// Returns whether a path is a prefix's path or lies below it.
///
/// A path with dot segments or an escaped dot or slash never matches.
fn is_path_under(path: &str, prefix: &str) -> bool {
    let lower = path.to_ascii_lowercase();
    let escaped = lower.contains("%2e") || lower.contains("%2f");
    if escaped || path.split('/').any(|part| part == "." || part == "..") {
        return false;
    }
    match path.strip_prefix(prefix) {
        Some(rest) => prefix.ends_with('/') || rest.is_empty() || rest.starts_with(['/', '?']),
        None => false,
    }
}
