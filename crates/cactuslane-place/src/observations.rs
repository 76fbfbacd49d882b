//! What instances tell each other of targets, so that not each of them has to find out by requests.

use std::collections::BTreeMap;

use cactuslane_types::{InstanceId, Millis, Role, TargetId};
use serde::{Deserialize, Serialize};

/// Time after which a failure of a target is told again, in milliseconds.
const TELL_INTERVAL: Millis = 1_000;
/// Time for which what others tell of failures counts, in milliseconds.
const DOUBT_TIME: Millis = 2_000;
/// Instances that must tell of failures before they are believed: one alone may be cut off itself.
const REPORTERS: usize = 2;

/// What was seen of a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Observation {
    /// The target.
    pub target: TargetId,
    /// The Unix millisecond at which it started, if it said so: the observation is of that process
    /// alone.
    pub started_at: Option<u64>,
    /// What was seen.
    pub observed: Observed,
}

/// Something that can be seen of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Observed {
    /// Its answer shows that it has this role.
    Role(Role),
    /// Its answers show one role and then the other: it is changing.
    Changing,
    /// Another target was found at its address.
    Replaced,
    /// It gave no whole answer.
    Failed,
}

/// The observations to tell, and the failures that others told of.
#[derive(Clone, Debug, Default)]
pub struct Observations {
    /// The observations that the others have not been told.
    untold: Vec<Observation>,
    /// The times at which failures were last told.
    told: BTreeMap<TargetId, Millis>,
    /// The instances that told of failures, with the times.
    reporters: BTreeMap<TargetId, BTreeMap<InstanceId, Millis>>,
}

impl Observations {
    /// Adds an observation for the others.
    pub fn add(&mut self, observation: Observation) {
        self.untold.push(observation);
    }

    /// Adds that a target failed, unless that was told lately.
    pub fn failed(&mut self, target: &str, now: Millis) {
        self.told.retain(|_, at| now < *at + TELL_INTERVAL);
        if self.told.contains_key(target) {
            return;
        }
        self.told.insert(target.to_owned(), now);
        self.add(Observation {
            target: target.to_owned(),
            started_at: None,
            observed: Observed::Failed,
        });
    }

    /// Takes the oldest observations that the others have not been told, at most a number of them.
    pub fn take(&mut self, most: usize) -> Vec<Observation> {
        let most = most.min(self.untold.len());
        self.untold.drain(..most).collect()
    }

    /// Takes a failure that another instance observed; true if enough instances tell the same.
    pub fn hear_failed(&mut self, target: &str, instance: &str, now: Millis) -> bool {
        let reporters = self.reporters.entry(target.to_owned()).or_default();
        reporters.insert(instance.to_owned(), now);
        reporters.retain(|_, at| now < *at + DOUBT_TIME);
        if reporters.len() < REPORTERS {
            return false;
        }
        self.reporters.remove(target);
        true
    }
}
