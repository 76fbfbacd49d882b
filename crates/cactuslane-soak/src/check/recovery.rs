//! Whether requests are served again after the last disruption of a run.

use std::time::Duration;

use super::{Observations, RECOVERY_TIME};
use crate::load::{LoadSpec, Outcome, RequestRecord};

/// Minimum share that must be served of the requests due later than [`RECOVERY_TIME`] after the end
/// of the last fault or planned change.
const MIN_SERVED_SHARE: f64 = 0.95;
/// Smallest number of requests that are judged: of fewer, each one that is not served would be more
/// than the share that need not be.
pub const MIN_JUDGED: u32 = 20;
/// Mean number of requests that are sent per request that must be judged, as rejections of a removed
/// key and callers that leave do not count.
const SENT_PER_JUDGED: u32 = 4;
/// Part of the seed of the load after the recovery that tells its requests from those before.
const LOAD_SEED: u64 = 1 << 40;
/// Maximum number of requests that are named if they were not served.
const MAX_NAMED: usize = 20;

/// The result of the check.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Recovery {
    /// Whether enough requests were served.
    pub holds: bool,
    /// The numbers of requests, and those that were not served with their results.
    pub observed: String,
}

/// Returns the load that is sent after the recovery so that enough requests are judged.
#[must_use]
pub fn load_after(spec: &LoadSpec) -> LoadSpec {
    let sent = f64::from(MIN_JUDGED * SENT_PER_JUDGED);
    LoadSpec {
        length: Duration::from_secs_f64(sent / spec.rate),
        bursts: Vec::new(),
        seed: spec.seed ^ LOAD_SEED,
        ..spec.clone()
    }
}

/// Checks that requests are served again once [`RECOVERY_TIME`] has passed since the last fault or
/// planned change; returns `None` if there was none, or if fewer than [`MIN_JUDGED`] requests count.
///
/// Rejections of a key that was removed are left out, as they are the proper answer, and so are
/// requests whose callers left in the middle of a successful answer.
#[must_use]
pub fn judge(records: &[RequestRecord], observations: &Observations) -> Option<Recovery> {
    let from = observations.disruption_end? + RECOVERY_TIME;
    let removed = observations.revoked;
    let (mut total, mut served) = (0_u32, 0_u32);
    let mut others = Vec::new();
    for record in records {
        let is_removed = record.key == Some(0) && removed.is_some_and(|at| at <= record.ended);
        let is_rejection =
            is_removed && matches!(record.outcome, Outcome::Whole { status: 401, .. });
        let has_left = matches!(record.outcome, Outcome::Left { status: 200, .. });
        if record.due <= from || is_rejection || has_left {
            continue;
        }
        total += 1;
        if record.outcome.is_served() {
            served += 1;
        } else if others.len() < MAX_NAMED {
            others.push(format!("{} {}", record.id, name(&record.outcome)));
        }
    }
    (total >= MIN_JUDGED).then(|| Recovery {
        holds: f64::from(served) >= f64::from(total) * MIN_SERVED_SHARE,
        observed: format!("{served} of {total} served, others: {others:?}"),
    })
}

/// Returns the kind of a result, with its status if there is one.
fn name(outcome: &Outcome) -> String {
    let name = match outcome {
        Outcome::Unsent => "not sent",
        Outcome::Cut { .. } => "cut",
        Outcome::GaveUp => "given up",
        Outcome::Left { .. } => "left",
        Outcome::Whole { .. } => "whole",
    };
    format!("{name} {:?}", outcome.status())
}
