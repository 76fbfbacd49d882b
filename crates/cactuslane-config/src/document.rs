//! The configuration document of a deployment: four sections, each owned by one team.

use std::collections::BTreeMap;
use std::time::Duration;

use cactuslane_types::{CallerId, ServiceName, TargetId};
use sha2::{Digest, Sha256};

use crate::reader::{Diagnostic, Node, Reader};

mod sections;

/// Longest duration allowed in the document, in milliseconds: one hour.
const MAX_DURATION_MS: u64 = 3_600_000;

/// The parsed and validated configuration of a deployment.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Document {
    /// The served models by name.
    pub models: BTreeMap<ServiceName, EngineModel>,
    /// The plain services by name: those whose targets are workers rather than model engines. No
    /// name is also that of a model.
    pub services: BTreeMap<ServiceName, PlainService>,
    /// The role-change policies by model; the role planner ignores models without one.
    pub roles: BTreeMap<ServiceName, RoleChangePolicy>,
    /// The retries that each first attempt of a completion or service call adds to an instance's
    /// retry budget, from 0 to 1.
    pub retry_share: f64,
    /// The callers by id.
    pub callers: BTreeMap<CallerId, Caller>,
    /// The limits, windows and drains of planned work on targets.
    pub maintenance: Maintenance,
}

/// A section of the document, which is owned by one team and edited as a whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Section {
    /// The models and plain services, with their latency bounds and timeouts.
    Models,
    /// The retry budget, and how engines may change between roles.
    Capacity,
    /// The callers, the models and services they may use, and their limits.
    Callers,
    /// The time zone, windows and limits of planned work on targets, and the drains.
    Maintenance,
}

/// Configuration of one served model.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineModel {
    /// The bound on the time to the first token (TTFT) of a request; `first_token_ms` in the
    /// document.
    pub ttft_bound: Duration,
    /// The bound on the time between two output tokens (inter-token latency, ITL);
    /// `between_tokens_ms` in the document.
    pub itl_bound: Duration,
    /// The number of engines that the plan must leave serving when it drains one that serves, also
    /// for a change of its version or role.
    pub min_serving: usize,
    /// The version that its engines are to run; engines with another one are planned to change.
    pub version: String,
    /// The largest number of output tokens that a request may ask for.
    pub max_output: u64,
    /// Whether its engines check fencing tokens, as declared by the document; `Ignored` if not
    /// set.
    pub fencing: FencingMode,
}

/// Whether a target checks the fencing tokens of orders. Each new owner of the target's shard has
/// a higher token, so that the target can refuse orders of former owners.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum FencingMode {
    /// The target refuses orders with an outdated token.
    Checked,
    /// The target accepts an order whatever its token.
    #[default]
    Ignored,
}

/// Configuration of one plain service.
#[derive(Clone, Debug, PartialEq)]
pub struct PlainService {
    /// The calls that may run more than once (idempotent calls), as method and path prefix.
    pub repeatable: Vec<(String, String)>,
    /// The time limit of a call, all attempts included.
    pub timeout: Duration,
    /// The number of targets that the plan must leave serving when it drains one that serves.
    pub min_serving: usize,
}

/// Costs by which the role planner decides whether to change the roles of a model's engines.
#[derive(Clone, Debug, PartialEq)]
pub struct RoleChangePolicy {
    /// The time for which a role change takes an engine out of service.
    pub change_time: Duration,
    /// The cost that the deployment assigns to each role change in addition to `change_time`, in
    /// lost engine-seconds.
    pub change_weight: f64,
    /// The time over which the gain of a change must exceed its cost; also the least time between
    /// two role changes of one engine.
    pub payback: Duration,
}

/// Configuration of one caller.
#[derive(Clone, Debug, PartialEq)]
pub struct Caller {
    /// The SHA-256 hash of its token, in lower-case hex.
    pub token_sha256: String,
    /// The models that it may use.
    pub models: Vec<ServiceName>,
    /// The plain services that it may use.
    pub services: Vec<ServiceName>,
    /// The limit on its completions and service calls over the whole fleet, per second.
    pub rate: f64,
    /// The limit on the tokens of its completions over the whole fleet, per second. A completion
    /// takes its prompt tokens and the output tokens that it allows; those that a complete answer
    /// has not used are returned. While the limit is exhausted, service calls are refused too.
    pub tokens: f64,
    /// The limit on its completions and service calls in progress over the whole fleet.
    pub concurrency: usize,
    /// Its weight in fair queueing, used while requests wait for capacity.
    pub weight: f64,
    /// Its priority in the queue, also sent to engines; 0 is the highest, 9 the lowest.
    pub priority: u8,
}

/// The limits, windows and drains of planned work on targets.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Maintenance {
    /// The IANA name of the time zone of all windows, such as `Europe/Zagreb`. The name is not
    /// checked here; with an unknown one, the planner treats all windows as closed.
    pub time_zone: String,
    /// The windows in which planned drains and version changes may start; if empty, they may start
    /// at any time. Role changes need no window.
    pub windows: Vec<Window>,
    /// The targets to drain, each until its entry is removed.
    pub drains: BTreeMap<TargetId, Drain>,
    /// The number of targets of one model or plain service that the plan may keep drained at once;
    /// `at_once` in the document.
    pub max_unavailable: usize,
    /// The number of targets of one failure domain that the plan may keep drained at once.
    pub per_domain: usize,
}

/// A maintenance window that recurs weekly on some days, in local time. It ends on the next day if
/// `until` is before `from`, and never opens if both are equal.
///
/// The planner shortens it at both ends by the error that it assumes for its own clock.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Window {
    /// The days of the week on which it starts, 1 for Monday to 7 for Sunday.
    pub days: Vec<i8>,
    /// The start, in minutes after midnight.
    pub from: u16,
    /// The end (exclusive), in minutes after midnight.
    pub until: u16,
}

/// How a target is drained.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Drain {
    /// Each instance stops sending new work to the target as soon as the edit is in force there,
    /// whatever the windows, `min_serving` and the limits on drained targets say.
    Now,
    /// The target is drained in a window, to be replaced and taken back into service. The planner
    /// handles it like [`Self::Withdraw`]; only the reason in the plan differs.
    Replace,
    /// The target is drained in a window and is not meant to serve again.
    Withdraw,
}

impl Document {
    /// Parses and validates a document; `file` is the name used in error messages.
    ///
    /// # Errors
    ///
    /// Returns the syntax error of the text or all errors of its values, each with its position and
    /// path.
    pub fn parse(file: &str, text: &str) -> Result<Self, Vec<Diagnostic>> {
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
    /// Returns whether a call may run more than once.
    #[must_use]
    pub fn may_repeat(&self, method: &str, path: &str) -> bool {
        let matches = |(m, prefix): &(String, String)| m == method && is_path_under(path, prefix);
        self.repeatable.iter().any(matches)
    }
}

impl Section {
    /// All sections, in the order in which the document is read.
    pub const ALL: [Self; 4] = [
        Self::Models,
        Self::Capacity,
        Self::Callers,
        Self::Maintenance,
    ];

    /// Returns the field name of the section in the document.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Models => "models",
            Self::Capacity => "capacity",
            Self::Callers => "callers",
            Self::Maintenance => "maintenance",
        }
    }

    /// Returns the section with a field name.
    #[must_use]
    pub fn parse(name: &str) -> Option<Self> {
        Self::ALL
            .into_iter()
            .find(|section| section.as_str() == name)
    }
}

/// Returns the SHA-256 hash of a token, in lower-case hex as in [`Caller::token_sha256`].
#[must_use]
pub fn hash_token(token: &str) -> String {
    hex::encode(Sha256::digest(token.as_bytes()))
}

/// Returns whether a path equals a prefix or lies below it. After the prefix only `/` or `?` may
/// follow, unless the prefix ends with `/`.
///
/// A path with dot segments or an escaped dot or slash never matches: resolved by the target, it
/// could lie outside the prefix.
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
