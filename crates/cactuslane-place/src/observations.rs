//! Observations of targets that instances share, so that not every instance has to find out by
//! sending requests.

use std::collections::BTreeMap;

use cactuslane_types::{InstanceId, Millis, Role, TargetId};
use serde::{Deserialize, Serialize};

/// Interval within which failures of the same target are reported only once, in milliseconds.
const REPORT_INTERVAL: Millis = 1_000;
/// Time for which another instance's failure report counts after its arrival, in milliseconds.
const REPORT_LIFETIME: Millis = 2_000;
/// Number of other instances that must report failures of a target before this one acts on the
/// reports: a single reporter may itself be cut off from the network.
const MIN_REPORTERS: usize = 2;

/// An observation of a target that an instance shares with the others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// Target that was observed.
    pub target: TargetId,
    /// Start of the target's process in Unix milliseconds, if its registry entry states it: the
    /// observation applies to that process only. Always `None` for [`Observed::Failed`].
    pub started_at: Option<u64>,
    /// State or event that was observed.
    pub observed: Observed,
}

/// State or event of a target that an instance can observe.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Observed {
    /// An answer of the target shows that it has this role.
    Role(Role),
    /// The target's answers show first one role and then another: its role is changing.
    Changing,
    /// Another target answers at the target's address.
    Replaced,
    /// The target gave no complete answer, or rejected several requests in a row.
    Failed,
    /// An answer of the target says that it is leaving.
    Leaving,
}

/// Observations to send to the other instances, and failure reports received from them.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// Observations that have not been sent yet, oldest first.
    pending: Vec<Observation>,
    /// Times at which failures of targets were last queued for sending, on this instance's clock.
    reported: BTreeMap<TargetId, Millis>,
    /// Instances that reported failures of a target, with the arrival times of their last reports
    /// on this instance's clock.
    reporters: BTreeMap<TargetId, BTreeMap<InstanceId, Millis>>,
}

impl Observations {
    /// Queues an observation for sending to the other instances.
    pub fn add(&mut self, observation: Observation) {
        self.pending.push(observation);
    }

    /// Queues the failure of a target for sending, unless one was queued within the last second.
    pub fn failed(&mut self, target: &str, now: Millis) {
        self.reported.retain(|_, at| now < *at + REPORT_INTERVAL);
        if self.reported.contains_key(target) {
            return;
        }
        self.reported.insert(target.to_owned(), now);
        self.add(Observation {
            target: target.to_owned(),
            started_at: None,
            observed: Observed::Failed,
        });
    }

    /// Removes and returns the oldest unsent observations, at most `limit` of them.
    pub fn take(&mut self, limit: usize) -> Vec<Observation> {
        let limit = limit.min(self.pending.len());
        self.pending.drain(..limit).collect()
    }

    /// Removes the unsent failures of targets, which are kept back while they may be due to this
    /// instance's own links, and returns them.
    pub fn drop_failures(&mut self) -> Vec<Observation> {
        let failures = |observation: &Observation| observation.observed == Observed::Failed;
        let (failed, others) = self.pending.drain(..).partition(failures);
        self.pending = others;
        failed
    }

    /// Adds a failure that another instance reports of a target.
    ///
    /// Returns true, and discards the target's reports, once at least two other instances have
    /// reported failures within the last 2 s.
    pub fn add_failure_report(&mut self, target: &str, instance: &str, now: Millis) -> bool {
        let reporters = self.reporters.entry(target.to_owned()).or_default();
        reporters.insert(instance.to_owned(), now);
        reporters.retain(|_, at| now < *at + REPORT_LIFETIME);
        if reporters.len() < MIN_REPORTERS {
            return false;
        }
        self.reporters.remove(target);
        true
    }
}
