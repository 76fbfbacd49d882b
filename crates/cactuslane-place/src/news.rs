//! What instances tell each other of targets, so that not each of them has to find out by requests.

use std::collections::BTreeMap;

use cactuslane_types::{InstanceId, Millis, Role, TargetId};
use serde::{Deserialize, Serialize};

/// Time after which a failure of a target is told again, in milliseconds.
const TELL_INTERVAL: Millis = 1_000;
/// Time for which what others tell of failures counts, in milliseconds.
const DOUBT_TIME: Millis = 2_000;
/// Instances that must tell of failures before they are believed: one alone may be cut off itself.
const WITNESSES: usize = 2;

/// What was seen of a target.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct News {
    /// The target.
    pub target: TargetId,
    /// The Unix millisecond at which it started, if it said so: the news is of that process alone.
    pub born: Option<u64>,
    /// What was seen.
    pub sight: Sight,
}

/// Something that can be seen of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Sight {
    /// Its answer shows that it has this role.
    Role(Role),
    /// Its answers show one role and then the other: it is changing.
    Changing,
    /// Another target was found at its address.
    Replaced,
    /// It gave no whole answer.
    Failed,
}

/// The news to tell, and the failures that others told of.
#[derive(Clone, Debug, Default)]
pub struct Newsroom {
    /// The news that the others have not been told.
    untold: Vec<News>,
    /// The times at which failures were last told.
    told: BTreeMap<TargetId, Millis>,
    /// The instances that told of failures, with the times.
    witnesses: BTreeMap<TargetId, BTreeMap<InstanceId, Millis>>,
}

impl Newsroom {
    /// Adds news for the others.
    pub fn add(&mut self, news: News) {
        self.untold.push(news);
    }

    /// Adds the news that a target failed, unless that was told lately.
    pub fn failed(&mut self, target: &str, now: Millis) {
        self.told.retain(|_, at| now < *at + TELL_INTERVAL);
        if self.told.contains_key(target) {
            return;
        }
        self.told.insert(target.to_owned(), now);
        self.add(News {
            target: target.to_owned(),
            born: None,
            sight: Sight::Failed,
        });
    }

    /// Takes the oldest news that the others have not been told, at most a number of them.
    pub fn take(&mut self, most: usize) -> Vec<News> {
        let most = most.min(self.untold.len());
        self.untold.drain(..most).collect()
    }

    /// Takes another instance's news of a failure; true if enough instances tell the same.
    pub fn hear_failed(&mut self, target: &str, instance: &str, now: Millis) -> bool {
        let witnesses = self.witnesses.entry(target.to_owned()).or_default();
        witnesses.insert(instance.to_owned(), now);
        witnesses.retain(|_, at| now < *at + DOUBT_TIME);
        if witnesses.len() < WITNESSES {
            return false;
        }
        self.witnesses.remove(target);
        true
    }
}
